package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/catalog"
)

const (
	coldPerSecond = 6.2
	coldTolerated = 17 // in any second: 6.2 * 1.5 + 8
	coldTime      = 2500 * time.Millisecond
)

func coldDeclaration(version uint64) catalog.Declaration {
	d := shopDeclaration(version)
	d.Services[0] = catalog.Service{Name: "web", HealthPath: healthPath, ColdPerSecond: coldPerSecond, ColdStart: 3 * time.Second}
	return d
}

// startColdMesh starts two web hosts, whose upstreams count the requests that they get, and
// one stock host.
func startColdMesh(t *testing.T) (s *store, a, b, c *host, seen [2]*arrivals) {
	s = newStore(coldDeclaration)
	a, b, c = startHost(t, s, "a", "web", 8), startHost(t, s, "b", "web", 8), startHost(t, s, "c", "stock", 8)
	waitForSmallMesh(t, a, b, c)
	for i, h := range []*host{a, b} {
		seen[i] = &arrivals{}
		h.setHandler(func(*host, http.ResponseWriter, *http.Request) {
			seen[i].add()
			time.Sleep(20 * time.Millisecond)
		})
		h.waitUntilWarm(t)
	}
	return s, a, b, c, seen
}

func (h *host) waitUntilWarm(t *testing.T) {
	t.Helper()
	eventually(t, "no limit applies to the upstream", func() bool { return h.coldLimit() == 0 })
}

func (h *host) coldLimit() float64 {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.gate.ColdLimit()
}

// turnCold makes the upstream cold. announced states whether its announcements tell so.
func (h *host) turnCold(announced bool) {
	h.mu.Lock()
	h.coldUntil, h.announcesWarm = time.Now().Add(coldTime), !announced
	h.mu.Unlock()
	h.announceTo(h.node)
}

func (h *host) probes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healthProbes
}

// A cold upstream must not get more than it tolerates, from all nodes together, while another
// one takes the rest. When both are cold, both must get what they take and no more, and all
// requests must be served once they are warm.
func TestColdUpstreamsGetFewRequests(t *testing.T) {
	_, a, b, c, seen := startColdMesh(t)
	all := []*host{a, b, c}
	sendSteadily(all, 30*time.Millisecond, time.Second)
	cold, probes := time.Now(), b.probes()
	a.turnCold(true)
	if served, sent := sendSteadily(all, 30*time.Millisecond, 2*time.Second); served < sent*98/100 {
		t.Errorf("%d of %d requests were served, want at least 98 in 100, since the other upstream has room", served, sent)
	}
	if most := seen[0].mostWithin(time.Second, cold); most > coldTolerated {
		t.Errorf("the cold upstream got %d requests in a second, want at most %d", most, coldTolerated)
	}
	if b.probes() != probes+1 {
		t.Errorf("the other upstream was asked %d times whether it is cold, too, want once", b.probes()-probes)
	}
	cold = time.Now()
	a.turnCold(true)
	b.turnCold(true)
	served, _ := sendSteadily(all, 30*time.Millisecond, 2400*time.Millisecond)
	const want = 12 // 0.7 of what they take in 1.4 s; earlier requests use up the first second
	if served < want {
		t.Errorf("%d requests were served by two cold upstreams in 2.4 s, want at least %d", served, want)
	}
	for i, s := range seen {
		if most := s.mostWithin(time.Second, cold); most > coldTolerated {
			t.Errorf("upstream %d got %d requests in a second, want at most %d", i, most, coldTolerated)
		}
	}
	a.waitUntilWarm(t)
	b.waitUntilWarm(t)
	sendSteadily(all, 30*time.Millisecond, 2*time.Second) // until the cut is open
	if served, sent := sendSteadily(all, 30*time.Millisecond, 2*time.Second); served < sent*98/100 {
		t.Errorf("%d of %d requests were served by warm upstreams, want at least 98 in 100", served, sent)
	}
	if log := fmt.Sprint(a.log.lines()); strings.Count(log, "upstream cold") != strings.Count(log, "upstream warm") {
		t.Errorf("the log does not tell when the upstream was cold: %s", log)
	}
}

// A node that starts beside a cold upstream must ask the health path once before it sends
// much, even if an announcement that was sent earlier says that the upstream is warm.
func TestStartedNodeAsksWhetherTheUpstreamIsCold(t *testing.T) {
	s, a, b, c, seen := startColdMesh(t)
	probes := a.probes()
	old := a.node
	old.shutdown()
	a.turnCold(false)
	began := time.Now()
	a.restartNode(t, s, "a", old.cfg.Self.PeerAddress)
	sendSteadily([]*host{a, b, c}, 10*time.Millisecond, 2*time.Second)
	if most := seen[0].mostWithin(time.Second, began); most > coldTolerated {
		t.Errorf("the upstream got %d requests in a second, want at most %d", most, coldTolerated)
	}
	if got := a.probes() - probes; got != 1 {
		t.Errorf("%d health probes were sent, want one", got)
	}
	if a.coldLimit() != coldPerSecond {
		t.Errorf("the limit is %v, want %v", a.coldLimit(), coldPerSecond)
	}
	a.waitUntilWarm(t)
	// The upstream of a data centre that is taken back must be asked, too.
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	if a.node.confirmWarm(); a.node.gate.ColdLimit() != coldPerSecond || !a.node.tracker.ColdCheckDue() {
		t.Errorf("the limit is %v before the health path has answered, want %v", a.node.gate.ColdLimit(), coldPerSecond)
	}
}

// Without a declared rate, cold upstreams must get as many requests as others, although they
// report that they are cold in all deployments.
func TestColdReportsWithoutADeclaredRate(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	a.turnCold(true)
	b.turnCold(true)
	if served, sent := sendSteadily([]*host{a, b, c}, 30*time.Millisecond, time.Second); served != sent {
		t.Errorf("%d of %d requests were served, want all", served, sent)
	}
	if a.coldLimit() != 0 || a.probes() != 0 {
		t.Errorf("the limit is %v after %d probes, want none", a.coldLimit(), a.probes())
	}
}
