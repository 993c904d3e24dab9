package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/upstream"
)

// All open connections between nodes and to the store go silent at one moment, and a declaration
// follows 0.6 s later. It must be in force at all nodes 3 s after the silence: it once took 3 s
// from the acknowledgement.
func TestDeclarationAfterAllConnectionsWentSilent(t *testing.T) {
	s := newStore(shopDeclaration)
	var hosts []*host
	for i := range 5 {
		hosts = append(hosts, startHost(t, s, fmt.Sprint("host-", i), "web", 8))
	}
	hosts = append(hosts, startHost(t, s, "host-5", "stock", 8))
	for _, h := range hosts {
		eventually(t, "the host knows the others", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			return h.node.roster.Len(h.node.now()) == len(hosts) && h.node.current.Load() != nil
		})
	}
	time.Sleep(3 * time.Second) // until the readers follow the declaration and all partners are connected
	for round := uint64(2); round < 4; round++ {
		s.loseOpenReads()
		for _, h := range hosts {
			h.peers.Silence()
		}
		began := time.Now()
		time.Sleep(600 * time.Millisecond)
		s.declare(shopDeclaration)
		time.Sleep(time.Until(began.Add(3 * time.Second)))
		for _, h := range hosts {
			if v := h.node.declarationVersion(); v != round {
				t.Errorf("%s: version %d is in force 3 s after the silence, want %d", h.instance, v, round)
			}
		}
		time.Sleep(time.Second)
	}
}

// A request must not be sent on an idle connection that has been silent since another one was
// found silent: it would be lost, and wait until its deadline.
func TestRequestsAfterAllConnectionsWentSilent(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	for i := range 20 {
		c.call(fmt.Sprint("before-", i), "GET", "/read/1", "k1", "")
	}
	for _, h := range []*host{a, b, c} {
		h.peers.Silence()
	}
	eventually(t, "the silence is logged", func() bool {
		for _, line := range c.log.lines() {
			if line["msg"] == "connection silent" {
				return true
			}
		}
		return false
	})
	time.Sleep(100 * time.Millisecond)
	for i := range 20 {
		began := time.Now()
		if got := c.call(fmt.Sprint("after-", i), "GET", "/read/1", "k1", ""); got.status != http.StatusOK || time.Since(began) > time.Second {
			t.Errorf("a request got status %d after %v, want 200 at once", got.status, time.Since(began))
		}
	}
}

// The connection on which a departure is written may have gone silent. The acknowledgement must
// not go out without the store, which answers on a new connection.
func TestDepartureOnASilentConnection(t *testing.T) {
	s := newStore(shopDeclaration)
	a := startHost(t, s, "a", "web", 8)
	eventually(t, "the upstream is in use", func() bool { return a.phase() == roster.Ready })
	a.stopAnnouncing()
	s.mu.Lock()
	s.lostWrites = 1
	s.mu.Unlock()
	a.node.HandleAnnouncement(upstream.Announcement{Instance: a.instance, StartTime: 1, State: upstream.Deregistered})
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := string(s.records["departure/a"]); !strings.Contains(got, a.instance) {
		t.Errorf("after the acknowledgement, the store holds the departure %q, want that of %s", got, a.instance)
	}
}
