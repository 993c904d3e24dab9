package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/upstream"
)

// phase returns the phase of the local upstream that the node knows.
func (h *host) phase() roster.Phase {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.tracker.Phase(h.node.now())
}

// A node acknowledged that its upstream leaves and died. Its next incarnation knew nothing of
// it, took a heartbeat that had been delayed on the way for the state of the upstream, and the
// fleet sent orders to an upstream that was about to exit. The acknowledgement must outlive
// the node, its peers if the store is well, and an outage of the store if the peers live. A
// later start of the upstream must be used at once.
func TestLateHeartbeatAfterARestartOfTheNode(t *testing.T) {
	for _, test := range []struct {
		name                  string
		storeDown, killsPeers bool
		state                 upstream.State // that is acknowledged
	}{
		{"deregistered", false, false, upstream.Deregistered},
		{"draining", false, false, upstream.Draining},
		{"all nodes die", false, true, upstream.Deregistered},
		{"without the store", true, false, upstream.Deregistered},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, a, b, c := startSmallMesh(t)
			a.stopAnnouncing()
			a.mu.Lock()
			late := upstream.Announcement{Instance: a.instance, Service: a.service, Address: a.upstreamAddress, StartTime: 1, Sequence: a.sequence + 1, Slots: a.slots}
			a.sequence += 2
			a.mu.Unlock()
			s.mu.Lock()
			s.unavailable[""] = test.storeDown
			s.mu.Unlock()
			leaving := upstream.Announcement{Instance: a.instance, StartTime: 1, State: test.state}
			if test.state == upstream.Draining {
				leaving.Service, leaving.Address, leaving.Sequence, leaving.Slots = a.service, a.upstreamAddress, late.Sequence+1, a.slots
			}
			a.node.HandleAnnouncement(leaving) // returns when the announcement is acknowledged
			killed := []*host{a}
			if test.killsPeers {
				killed = append(killed, b, c)
			}
			for _, h := range killed {
				h.node.shutdown()
			}
			for _, h := range killed {
				h.restartBesideSilentUpstream(t, h.node.cfg.Self.PeerAddress)
				if h != a {
					h.startAnnouncing(t)
				}
			}
			began := time.Now()
			for i := 0; time.Since(began) < 2*time.Second; i++ {
				late.Sequence -= uint64(i % 2) // the same heartbeat, or the one before
				a.node.HandleAnnouncement(late)
				late.Sequence += uint64(i % 2)
				if a.phase() == roster.Ready {
					t.Fatalf("the upstream that left is in use %v after the restart of its node", time.Since(began))
				}
				time.Sleep(50 * time.Millisecond)
			}
			for i := range 10 {
				id := fmt.Sprint("after-", i)
				if got := c.call(id, "POST", "/order/1", "k1", "x"); a.runCount(id) > 0 {
					t.Fatalf("order %s reached the upstream that left (status %d)", id, got.status)
				}
			}
			a.node.HandleAnnouncement(upstream.Announcement{
				Instance: a.instance, Service: a.service, Address: a.upstreamAddress, StartTime: 2, Sequence: 1, Slots: a.slots,
			})
			if a.phase() != roster.Ready {
				t.Error("a later start of the upstream is not in use")
			}
		})
	}
}

// The acknowledgement that an upstream leaves must not go out before the store holds it, also
// if the store holds a departure with a later start time: clocks may jump back.
func TestDepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	for name, stored := range map[string]string{
		"none":    "",
		"earlier": `{"DepartureOf":"a","Departure":{"Instance":"i-before","StartTime":0,"Deregistered":true}}`,
		"later":   `{"DepartureOf":"a","Departure":{"Instance":"i-before","StartTime":1000,"Deregistered":true}}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(shopDeclaration)
			if stored != "" {
				s.records["departure/a"] = []byte(stored)
			}
			a := startHost(t, s, "a", "web", 8)
			eventually(t, "the upstream is in use", func() bool { return a.phase() == roster.Ready })
			a.stopAnnouncing()
			a.node.HandleAnnouncement(upstream.Announcement{Instance: a.instance, StartTime: 1, State: upstream.Deregistered})
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := string(s.records["departure/a"]); !strings.Contains(got, a.instance) {
				t.Errorf("after the acknowledgement, the store holds the departure %q, want that of %s", got, a.instance)
			}
		})
	}
}

// While the store is down, the acknowledgement that an upstream leaves must not wait longer than
// upstreams do, and the departure must get into the store once it is back.
func TestDepartureDuringAnOutageOfTheStore(t *testing.T) {
	const upstreamsWait = time.Second // for an acknowledgement
	s := newStore(shopDeclaration)
	a := startHost(t, s, "a", "web", 8)
	eventually(t, "the upstream is in use", func() bool { return a.phase() == roster.Ready })
	a.stopAnnouncing()
	setUnavailable := func(unavailable bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unavailable[""] = unavailable
	}
	setUnavailable(true)
	began := time.Now()
	a.node.HandleAnnouncement(upstream.Announcement{Instance: a.instance, StartTime: 1, State: upstream.Deregistered})
	if elapsed := time.Since(began); elapsed > upstreamsWait {
		t.Errorf("the acknowledgement took %v, want at most %v", elapsed, upstreamsWait)
	}
	setUnavailable(false)
	eventually(t, "the store holds the departure", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strings.Contains(string(s.records["departure/a"]), a.instance)
	})
}
