package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/slots"
	"cardamomhatch/internal/upstream"
)

// startTwoCentres starts a web host in data centre dc and one in far, and a stock host in dc.
func startTwoCentres(t *testing.T) (s *store, near, far, stock *host) {
	s = newStore(shopDeclaration)
	near, far = startHostIn(t, s, "dc", "near", "web", 1), startHostIn(t, s, "far", "far", "web", 8)
	stock = startHostIn(t, s, "dc", "stock", "stock", 8)
	waitForSmallMesh(t, near, far, stock)
	return s, near, far, stock
}

// knows waits until the node counts the data centre as evacuated, or not.
func (h *host) knows(t *testing.T, d mesh.DataCentre, evacuated bool) {
	t.Helper()
	eventually(t, fmt.Sprint(d, " is evacuated: ", evacuated), func() bool {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		return h.node.roster.Evacuations().Evacuated(d) == evacuated
	})
}

// Requests in the queue of an upstream whose data centre is evacuated must run elsewhere, those
// that run must end, callers of that data centre must still be served, and no request may reach
// the upstream until the data centre is taken back.
func TestEvacuationMovesRequests(t *testing.T) {
	s, near, far, _ := startTwoCentres(t)
	release := make(chan struct{})
	var held sync.Once
	began := make(chan struct{})
	near.setHandler(func(_ *host, w http.ResponseWriter, _ *http.Request) {
		held.Do(func() { close(began) })
		<-release
		fmt.Fprint(w, "done")
	})
	var wg sync.WaitGroup
	answers := make(chan response, 30)
	call := func(id string) {
		wg.Go(func() { answers <- near.call(id, http.MethodPost, "/notify/x", "", "b") }) // may wait in the queue for 0.6 s
	}
	wg.Go(func() { answers <- near.call("held", http.MethodGet, "/read/x", "k1", "") })
	<-began
	for i := range 12 {
		call(fmt.Sprint("r", i))
	}
	queued := func() int {
		near.node.mu.Lock()
		defer near.node.mu.Unlock()
		return near.node.gate.Queued()
	}
	eventually(t, "requests wait in the queue", func() bool { return queued() > 0 })
	s.evacuate("dc", true)
	near.knows(t, "dc", true)
	if queued() > 0 {
		t.Error("requests still wait for the evacuated upstream")
	}
	far.knows(t, "dc", true)
	near.mu.Lock()
	before := len(near.runs)
	near.mu.Unlock()
	close(release)
	for i := range 8 {
		call(fmt.Sprint("later", i))
	}
	wg.Wait()
	close(answers)
	for r := range answers {
		if r.status != http.StatusOK {
			t.Errorf("a request was answered %d, %v, want 200", r.status, r.err)
		}
	}
	near.mu.Lock()
	after := len(near.runs)
	near.mu.Unlock()
	if after != before {
		t.Errorf("%d requests reached the upstream after its node knew of the evacuation", after-before)
	}
	if near.announce(near.state); near.phase() != roster.Ready {
		t.Error("announcements of an evacuated upstream are not handled")
	}
	s.evacuate("dc", false)
	near.knows(t, "dc", false)
	eventually(t, "the upstream that was taken back serves", func() bool {
		return strings.HasPrefix(near.call(fmt.Sprint("b", time.Now().UnixNano()), http.MethodGet, "/read/x", "k1", "").body, "done")
	})
}

// An entry node that has not heard of an evacuation must learn it from the first refusal, try
// the upstreams of another data centre, and keep its opinion of the refusing node.
func TestEntryNodeLearnsAnEvacuationFromARefusal(t *testing.T) {
	s, near, far, _ := startTwoCentres(t)
	s.mu.Lock()
	s.silent["far"], s.silent["stock"], s.silent["near"] = true, true, true
	s.mu.Unlock()
	n := near.node
	n.mu.Lock() // only the refusing node knows
	n.evacuated = true
	n.mu.Unlock()
	for i := range 20 {
		if r := far.call(fmt.Sprint("e", i), http.MethodPost, "/order/x", "k1", "b"); r.status != http.StatusOK {
			t.Errorf("request %d was answered %d, want 200", i, r.status)
		}
	}
	near.mu.Lock()
	if len(near.runs) > 0 {
		t.Errorf("%d requests reached the upstream", len(near.runs))
	}
	near.mu.Unlock()
	near.node.mu.Lock()
	near.node.evacuated = false
	near.node.mu.Unlock()
	c := &call{node: far.node, service: "web", route: far.node.current.Load().Route("shop", "/order/x")}
	c.recordAttempt(near.node.cfg.Self, &attempt{
		refusal:   near.node.refusal(outcome.NotRun, outcome.Evacuated, ""),
		report:    report{Evacuated: true, EvacuatedAt: evacuation.Position{Offset: 99}},
		hasReport: true,
	})
	far.knows(t, "dc", true)
}

// A node that has just started must not send requests to its upstream before it knows which data
// centres are evacuated, nor wait for that for ever.
func TestUpstreamWaitsForTheEvacuations(t *testing.T) {
	log := eventlog.New(&logBuffer{}, "host", "a")
	defer log.Close(0)
	start := func() *Node {
		n := New(Config{
			Self:    mesh.Member{Node: mesh.NodeID{Host: "a", Incarnation: 1}, DataCentre: "dc", Service: "web"},
			Dialect: dialect, Bounds: bounds, Log: log, Metrics: metrics.NewRegistry(), Source: storeClient{newStore(shopDeclaration), "a"},
		})
		n.HandleAnnouncement(upstream.Announcement{Instance: "i", Service: "web", StartTime: 1, Sequence: 1, Slots: 4})
		n.tracker.RecordHistory()
		return n
	}
	n := start()
	refused := func(now time.Duration) bool {
		_, ok := n.evacuationRefusal(now)
		return ok && n.upstreamPhase(now) == roster.Absent
	}
	if !refused(0) || refused(historyWait) {
		t.Errorf("refused at the start: %v, after %v: %v", refused(0), historyWait, refused(historyWait))
	}
	// A node of an earlier version tells no evacuations: the position it names is not taken over,
	// since this node would never read the evacuations before it.
	d := roster.Declaration{Version: 1, Raw: []byte("1"), Offset: 7, OffsetKnown: true}
	n.applyDeclaration(d, "peer", "old")
	if n.cursor.Known || !refused(0) {
		t.Error("the position of a node of an earlier version is taken over")
	}
	n = start()
	d.Evacuations = &evacuation.State{Known: true, Through: evacuation.Position{Offset: 7}}
	n.mergeEvacuations(d, "new")
	n.applyDeclaration(d, "peer", "new")
	if n.cursor.Offset != 7 || refused(0) {
		t.Errorf("position %+v after the state of a peer, refused: %v", n.cursor, refused(0))
	}
	// Queued requests must not wait for an upstream that is evacuated.
	n.gate.SetSlots(1)
	for id := range uint64(2) {
		n.gate.Arrive(0, slots.Request{ID: id, LatestStart: time.Minute, Deadline: time.Hour})
	}
	decisions := make(chan slots.Decision, 1)
	n.slotWaiters[1] = decisions
	n.updateEvacuations(0, "peer", "new", func(s *evacuation.Set) {
		s.Merge(0, evacuation.State{Entries: []evacuation.Entry{{DataCentre: "dc", Evacuated: true, At: evacuation.Position{Offset: 8}}}})
	})
	if len(decisions) != 1 || (<-decisions).Reason != outcome.Evacuated || !n.roster.Self().Evacuated {
		t.Error("a queued request is not refused when the data centre is evacuated")
	}
	// Nor may one be sent that has got its slot just before.
	if resp, refusal := n.runUpstream(t.Context(), 3, &servedRequest{}, time.Hour); resp != nil || refusal.Reason != outcome.Evacuated || refusal.Execution != outcome.NotRun {
		t.Errorf("a request with a slot ends as %v, want a refusal for the evacuation", refusal)
	}
}

// If all upstreams of a service are evacuated, requests must be refused as not run, and the line
// must say why.
func TestAllUpstreamsEvacuated(t *testing.T) {
	s, near, far, _ := startTwoCentres(t)
	s.evacuate("dc", true)
	s.evacuate("far", true)
	for _, h := range []*host{near, far} {
		h.knows(t, "dc", true)
		h.knows(t, "far", true)
		r := h.call("all-"+h.instance, http.MethodGet, "/read/x", "k1", "")
		if r.status != http.StatusServiceUnavailable || !strings.HasPrefix(r.header.Get("Cardamomhatch-Outcome"), "not-run; reason=evacuated") {
			t.Errorf("%d %q, want 503 and the reason evacuated", r.status, r.header)
		}
		eventually(t, "the line names the data centres", func() bool {
			for _, line := range h.log.lines() {
				if line["msg"] == "request refused" && line["detail"] == "evacuated data centres: dc far" {
					return true
				}
			}
			return false
		})
	}
}

// A node that starts again while the store answers no read must learn from its peers that its data centre
// is evacuated, before its upstream gets a request.
func TestRestartDuringAnEvacuationWithASilentStore(t *testing.T) {
	s, near, far, stock := startTwoCentres(t)
	s.evacuate("dc", true)
	far.knows(t, "dc", true)
	stock.knows(t, "dc", true)
	s.mu.Lock()
	s.silent["near"], s.silent["far"], s.silent["stock"] = true, true, true
	s.mu.Unlock()
	near.stopAnnouncing()
	near.node.shutdown()
	near.mu.Lock()
	clear(near.runs)
	near.mu.Unlock()
	near.startNode(t, s, "near")
	near.knows(t, "dc", true)
	waitForServices(t, map[mesh.Service]int{"web": 1}, near)
	if r := near.call("again", http.MethodGet, "/read/x", "k1", ""); r.status != http.StatusOK {
		t.Errorf("the restarted node answers its caller %d, want 200", r.status)
	}
	near.mu.Lock()
	defer near.mu.Unlock()
	if len(near.runs) > 0 {
		t.Errorf("%d requests reached the upstream of the restarted node", len(near.runs))
	}
}

// A report must be understood with fields of later versions, and the one of an evacuated node
// must name the position.
func TestReportWithNamedFields(t *testing.T) {
	r := report{Evacuated: true, EvacuatedAt: evacuation.Position{Era: 2, Offset: 7}}
	for value, want := range map[string]report{
		r.encode():                       r,
		"0,0,0,0,1,capacity=3,x":         {},
		"0,0,0,0,1,evacuated=7":          {},
		"0,0,0,0,1,c=1,evacuated=2.7,d=": r,
	} {
		value = strings.Replace(value, ",0,1,", ","+"0,"+r.Cut.Encode()+",", 1)
		got, ok := parseReport(http.Header{loadHeader: {value}})
		if !ok || got.Evacuated != want.Evacuated || got.EvacuatedAt != want.EvacuatedAt {
			t.Errorf("%q is parsed as %+v, %v", value, got, ok)
		}
	}
}
