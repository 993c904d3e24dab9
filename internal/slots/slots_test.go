package slots

import (
	"testing"
	"time"

	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/pressure"
)

const second = time.Second

// newFullGate returns a gate that runs as many requests as its limit allows.
func newFullGate(t *testing.T, slots int) *Gate {
	t.Helper()
	g := New()
	g.SetSlots(slots)
	for i := range g.Limit() {
		if v, _ := g.Arrive(0, Request{ID: uint64(1000 + i), LatestStart: second, Deadline: 10 * second}); v != Run {
			t.Fatalf("request %d of %d does not run at once", i, g.Limit())
		}
	}
	return g
}

// The queue must be ordered by level and, within a level, nested calls must go first. If
// nested calls of level 6 went before new requests of level 5, short requests of level 5
// would starve under lasting overload (in one case, only 44 % of them were served).
func TestOrderOfTheQueue(t *testing.T) {
	g := newFullGate(t, 10)
	for _, r := range []Request{
		{ID: 1, Level: 6}, {ID: 2, Level: 4}, {ID: 3, Level: 6, Nested: true}, {ID: 4, Level: 4, Nested: true}, {ID: 5, Level: 5},
	} {
		r.LatestStart, r.Deadline = second, 10*second
		if v, _ := g.Arrive(0, r); v != Wait {
			t.Fatalf("request %d is not queued", r.ID)
		}
	}
	for _, want := range []uint64{4, 2, 5, 3, 1} {
		g.Done(0, false)
		decision, ok := g.Next(0)
		if !ok || decision.ID != want || decision.Verdict != Run {
			t.Fatalf("next decision is %+v, want request %d to run", decision, want)
		}
	}
}

// A queued request must be refused when its latest start has passed. A new request must
// be refused if it cannot complete before its deadline, or if it would have to wait
// although its latest start has passed.
func TestLateRequest(t *testing.T) {
	g := newFullGate(t, 10)
	// The completed request sets the average latency to 200 ms. At least half of that must
	// be left before the deadline of a new request. Request 99 fills the gate again.
	g.Done(200*time.Millisecond, true)
	g.Arrive(0, Request{ID: 99, LatestStart: second, Deadline: 10 * second})
	if v, r := g.Arrive(0, Request{ID: 1, LatestStart: second, Deadline: 50 * time.Millisecond}); v != Refuse || r != outcome.DeadlineExceeded {
		t.Fatalf("verdict on a request without enough time is %v, reason %v; want Refuse and deadline-exceeded", v, r)
	}
	g.Arrive(0, Request{ID: 2, LatestStart: 20 * time.Millisecond, Deadline: second})
	decision, ok := g.Next(30 * time.Millisecond)
	if !ok || decision.ID != 2 || decision.Verdict != Refuse || decision.Reason != outcome.QueueTimeout {
		t.Fatalf("next decision is %+v, want the refusal of request 2 with reason queue-timeout", decision)
	}
	if v, _ := g.Arrive(0, Request{ID: 3, Deadline: second}); v != Refuse {
		t.Error("a request whose latest start has passed is not refused although it would have to wait")
	}
}

// Refusals by an upstream that has free slots must not lower the limit. Otherwise an
// upstream that responds to failed requests with an overload status is limited to 2
// requests at a time, and all others are refused.
func TestFalseShedKeepsTheLimit(t *testing.T) {
	g := New()
	g.SetSlots(50)
	limit := g.Limit()
	for range 100 {
		g.Arrive(0, Request{ID: 1, LatestStart: second, Deadline: second})
		g.RecordShed(0)
		g.Done(0, false)
	}
	if g.Limit() != limit {
		t.Fatalf("limit changed from %d to %d after refusals by an upstream with free slots", limit, g.Limit())
	}
}

// For an upstream that does not report its slots, the limit must fall from defaultLimit,
// which is 32, after a refusal and grow again afterwards.
func TestUnknownSlots(t *testing.T) {
	g := New()
	for i := range 20 {
		g.Arrive(0, Request{ID: uint64(i), LatestStart: second, Deadline: 10 * second})
	}
	g.RecordShed(0)
	if g.Limit() > 20 {
		t.Fatalf("limit is %d after a refusal with 20 running requests, want at most 20", g.Limit())
	}
	g.Arrive(10*second, Request{ID: 77, LatestStart: 11 * second, Deadline: 20 * second})
	if g.Limit() < 20 {
		t.Errorf("limit is %d 10 s after a refusal, want at least 20", g.Limit())
	}
}

// A request whose caller disconnects must leave the queue.
func TestCancel(t *testing.T) {
	g := newFullGate(t, 5)
	g.Arrive(0, Request{ID: 1, LatestStart: second, Deadline: 10 * second})
	g.Arrive(0, Request{ID: 2, LatestStart: second, Deadline: 10 * second})
	if !g.Cancel(1) || g.Cancel(1) {
		t.Fatal("Cancel of request 1 does not return true while it is queued and false after that")
	}
	g.Done(0, false)
	if decision, ok := g.Next(0); !ok || decision.ID != 2 {
		t.Fatalf("next decision is %+v, want request 2", decision)
	}
}

// While more important requests keep the slots in use, requests of a less important level
// that give up must not stay in memory.
func TestCancelledRequestsAreNotKept(t *testing.T) {
	g := newFullGate(t, 10)
	for id := uint64(1); id <= 1000; id++ {
		g.Arrive(0, Request{ID: id, Level: 6, LatestStart: second, Deadline: 10 * second})
		if id > 10 {
			g.Cancel(id - 10)
		}
	}
	kept := 0
	for i := range g.queues {
		kept += len(g.queues[i])
	}
	if kept > 10 {
		t.Errorf("%d entries are kept for 10 queued requests", kept)
	}
}

// A refusal by the upstream must not raise the limit above the slots that it reports.
func TestLimitAfterAShedStaysWithinTheSlots(t *testing.T) {
	g := New()
	g.SetSlots(1)
	g.Arrive(0, Request{ID: 1, LatestStart: second, Deadline: second})
	g.running = 2 // one more than the slots, for example after a restart of the upstream
	g.RecordShed(0)
	if g.Limit() > 1 {
		t.Errorf("the limit is %d after a refusal, want the one slot", g.Limit())
	}
}

// A limit on the concurrency must apply at once, follow the upstream up again, and neither
// exceed the usable share of the slots nor undo a limit that a refusal has lowered.
func TestSetConcurrency(t *testing.T) {
	g := New()
	g.SetSlots(100)
	for _, step := range []struct {
		limit float64
		want  int
	}{{60, 60}, {500, 94}, {0.5, 0}, {70, 70}, {0, 94}} {
		if g.SetConcurrency(step.limit); g.Limit() != max(step.want, minLimit) {
			t.Errorf("after SetConcurrency(%v), the limit is %d, want %d", step.limit, g.Limit(), step.want)
		}
	}
	g.SetSlots(0)
	for i := range 20 {
		g.Arrive(0, Request{ID: uint64(i), LatestStart: second, Deadline: 10 * second})
	}
	g.RecordShed(0)
	if g.SetConcurrency(90); g.Limit() != 18 {
		t.Errorf("the limit is %d after a refusal of one of 20 running requests, want 18", g.Limit())
	}
}

// A request that stays in the queue of an evacuated upstream would run there once a slot is free.
func TestFlushEmptiesTheQueue(t *testing.T) {
	g := New()
	g.SetSlots(1)
	for id := range uint64(4) {
		g.Arrive(0, Request{ID: id, Level: pressure.Level(id), LatestStart: time.Second, Deadline: time.Minute})
	}
	decisions := g.Flush(outcome.Evacuated)
	if len(decisions) != 3 || g.Queued() != 0 || g.Cancel(2) {
		t.Errorf("%d requests are refused and %d remain, want 3 and none", len(decisions), g.Queued())
	}
	for _, d := range decisions {
		if d.Verdict != Refuse || d.Reason != outcome.Evacuated {
			t.Errorf("decision %+v, want a refusal for the evacuation", d)
		}
	}
	g.Done(time.Millisecond, true)
	if _, ok := g.Next(time.Millisecond); ok || g.Running() != 0 {
		t.Error("a refused request runs after the end of another")
	}
}
