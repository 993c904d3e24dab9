package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const ms = time.Millisecond

var workspaceNames = [...]mesh.Workspace{"a", "b", "c", "d", "e", "f", "g", "h"}

// newSaturatedController returns a controller with a limit of one, used up by call 1.
func newSaturatedController(t *testing.T) *Controller {
	t.Helper()
	c := New(Config{InitialLimit: 1, MaxLimit: 1})
	if d, _ := c.Arrive(0, Request{Call: 1, Workspace: "x"}); d != Run {
		t.Fatalf("decision on the first call: %v, want Run", d)
	}
	return c
}

// runOrder ends the running call repeatedly and returns the calls in the order in which they
// run.
func runOrder(c *Controller, now time.Duration, running mesh.CallID) []mesh.CallID {
	var ran []mesh.CallID
	for {
		c.Done(now, running, Sample{Latency: ms})
		next, ok := c.Next(now)
		if !ok {
			return ran
		}
		if next.Decision == Run {
			ran = append(ran, next.Call)
			running = next.Call
		}
	}
}

// Guards against an order of service other than by class, then resumed calls (those of
// actions that were already admitted) first, then fair share, then arrival.
func TestOrderOfService(t *testing.T) {
	c := newSaturatedController(t)
	for i, r := range []Request{
		{Class: mesh.ClassBulk, Workspace: "a"},
		{Class: mesh.ClassNormal, Workspace: "a"},
		{Class: mesh.ClassNormal, Workspace: "a"},
		{Class: mesh.ClassNormal, Workspace: "a"},
		{Class: mesh.ClassNormal, Workspace: "b"},
		{Class: mesh.ClassNormal, Workspace: "b", Resumed: true},
		{Class: mesh.ClassCritical, Workspace: "a"},
	} {
		r.Call = mesh.CallID(10 + i)
		if d, _ := c.Arrive(0, r); d != Queue {
			t.Fatalf("decision on call %d: %v, want Queue", r.Call, d)
		}
	}
	// The resumed call 15 is charged to workspace b, so call 14 comes after call 12.
	want := []mesh.CallID{16, 15, 11, 12, 14, 13, 10}
	if got := runOrder(c, ms, 1); !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against serving the calls of actions that already have downstream answers later than
// other calls of their class, whose refusal wastes less work.
func TestContinuedActionsFirst(t *testing.T) {
	c := newSaturatedController(t)
	for i, r := range []Request{
		{Workspace: "a", Class: mesh.ClassNormal},
		{Workspace: "a", Class: mesh.ClassNormal, Resumed: true},
		{Workspace: "a", Class: mesh.ClassNormal, Resumed: true, Continued: true},
		{Workspace: "b", Class: mesh.ClassHigh},
	} {
		r.Call = mesh.CallID(10 + i)
		c.Arrive(0, r)
	}
	if got, want := runOrder(c, ms, 1), []mesh.CallID{13, 12, 11, 10}; !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against calls that wait for a slow downstream service and thereby keep out calls for
// which this upstream has capacity, and against more calls in flight than slots.
func TestDownstreamWaitFreesTheLimit(t *testing.T) {
	c := newSaturatedController(t)
	c.SetSlots(0, 2, 0) // two slots, connections not reported
	c.limiter.limit = 1 // SetSlots raised it to 2
	c.Arrive(0, Request{Call: 2})
	c.SetDownstreamWait(1, true)
	if next, ok := c.Next(0); !ok || next.Call != 2 || next.Decision != Run {
		t.Fatalf("beside a call that waits for downstream calls: next is %v (%v), want call 2 to run", next, ok)
	}
	c.SetDownstreamWait(2, true)
	c.Arrive(0, Request{Call: 3})
	if next, ok := c.Next(0); ok {
		t.Fatalf("a third call with two slots: next is %v, want none", next)
	}
	c.Cancel(0, 1)
	if next, ok := c.Next(0); !ok || next.Call != 3 {
		t.Fatalf("after a call that waits for downstream calls was cancelled: next is %v (%v), want call 3", next, ok)
	}
	c.SetDownstreamWait(2, false)
	c.Done(ms, 2, Sample{Latency: ms})
	c.Done(ms, 3, Sample{Latency: ms})
	if c.inFlight != 0 || c.awaitingDownstream != 0 {
		t.Fatalf("%d in flight and %d waiting for downstream calls at the end, want none", c.inFlight, c.awaitingDownstream)
	}
}

// Guards against weights that do not determine the workspaces' shares.
func TestWeights(t *testing.T) {
	c := newSaturatedController(t)
	c.SetWeights([]Weight{{"a", 3}, {"b", 1}})
	for i := range 80 {
		c.Arrive(0, Request{Call: mesh.CallID(10 + i), Class: mesh.ClassNormal, Workspace: workspaceNames[i%2]})
	}
	a := 0
	for _, id := range runOrder(c, ms, 1)[:40] {
		if id%2 == 0 {
			a++
		}
	}
	if a < 29 || a > 31 {
		t.Fatalf("a workspace with 3/4 of the weight got %d of 40 calls, want 29 to 31", a)
	}
}

// Guards against running calls that cannot end in time, and against an outdated high latency
// estimate that keeps out every later call.
func TestDeadlines(t *testing.T) {
	c := newSaturatedController(t)
	c.Done(100*ms, 1, Sample{Latency: 100 * ms})
	c.Arrive(100*ms, Request{Call: 2})
	if d, reason := c.Arrive(100*ms, Request{Call: 3, Deadline: 150 * ms}); d != Refuse || reason != outcome.DeadlineExceeded {
		t.Fatalf("a call that cannot end in time: decision %v, reason %v, want Refuse and deadline-exceeded", d, reason)
	}
	c.Arrive(100*ms, Request{Call: 4, Deadline: 250 * ms})
	c.Done(200*ms, 2, Sample{Latency: 100 * ms})
	c.Arrive(200*ms, Request{Call: 5})
	// Checks only that a queued call is decided on, not which one or how.
	if next, ok := c.Next(200 * ms); !ok || next.Call != 4 && next.Call != 5 {
		t.Fatalf("next is %v (%v), want call 4 or 5", next, ok)
	}
	idle := newSaturatedController(t)
	idle.Done(10*time.Second, 1, Sample{Latency: 10 * time.Second})
	if d, reason := idle.Arrive(10*time.Second, Request{Call: 2, Deadline: 11 * time.Second}); d != Run {
		t.Fatalf("a call at an idle upstream after a slow one: decision %v, reason %v, want Run", d, reason)
	}
}

// Guards against a call that is subtracted twice from the calls in flight when its caller
// gives up, and against calls that are admitted while draining.
func TestCancelAndDrain(t *testing.T) {
	c := newSaturatedController(t)
	c.Arrive(0, Request{Call: 2})
	c.Arrive(0, Request{Call: 3})
	c.Cancel(ms, 2)
	c.Cancel(ms, 1)
	c.Done(ms, 1, Sample{Latency: ms})
	if next, ok := c.Next(ms); !ok || next != (QueueDecision{Call: 3, Decision: Run}) {
		t.Fatalf("after calls 1 and 2 were cancelled: next is %v (%v), want call 3 to run", next, ok)
	}
	c.Arrive(ms, Request{Call: 4})
	c.Drain()
	if d, reason := c.Arrive(ms, Request{Call: 5}); d != Refuse || reason != outcome.Draining {
		t.Fatalf("arrival while draining: decision %v, reason %v, want Refuse and draining", d, reason)
	}
	if next, ok := c.Next(ms); !ok || next != (QueueDecision{Call: 4, Decision: Refuse, Reason: outcome.Draining}) {
		t.Fatalf("queued call while draining: next is %v (%v), want call 4 refused as draining", next, ok)
	}
	if l := c.Load(ms); l.InFlight != 1 || l.Queued != 0 || !l.Draining {
		t.Fatalf("load %+v, want 1 in flight, none queued, draining", l)
	}
}

// Guards against more calls in flight than the slots that the upstream reports, whatever it
// answers, against missing or repeated decisions, and against a Next that does not end.
func TestEveryCallGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		c := New(Config{MaxQueue: 8})
		c.SetSlots(0, slots, 0) // connections not reported
		now := time.Duration(0)
		queued, running := map[mesh.CallID]bool{}, map[mesh.CallID]time.Duration{}
		collect := func() {
			for range 1000 {
				next, ok := c.Next(now)
				if !ok {
					return
				}
				if !queued[next.Call] {
					t.Fatalf("decision %v on call %d, which is not queued", next.Decision, next.Call)
				}
				delete(queued, next.Call)
				if next.Decision == Run {
					running[next.Call] = now
				}
			}
			t.Fatal("Next still returns decisions after 1000 calls")
		}
		for id := mesh.CallID(1); id < 200; id++ {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap ms")) * ms
			r := Request{Call: id, Class: mesh.Class(rapid.IntRange(0, 3).Draw(t, "class")), Workspace: workspaceNames[id%8],
				Deadline: now + time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline ms"))*ms, Resumed: id%3 == 0}
			switch d, _ := c.Arrive(now, r); d {
			case Run:
				running[id] = now
			case Queue:
				queued[id] = true
			}
			collect()
			for _, id := range rapid.SliceOfN(rapid.Uint64Range(1, uint64(id)), 0, 3).Draw(t, "ended") {
				call := mesh.CallID(id)
				if at, ok := running[call]; ok {
					result := Result(rapid.IntRange(0, 3).Draw(t, "result"))
					c.Done(now, call, Sample{Latency: now - at, Result: result})
				} else {
					c.Cancel(now, call)
				}
				delete(running, call)
				delete(queued, call)
				collect()
			}
			l := c.Load(now)
			if len(running) > slots || l.InFlight != len(running) || l.Queued != len(queued) || l.Queued > 8 {
				t.Fatalf("%d running of %d slots, %d queued of at most 8, load %+v", len(running), slots, len(queued), l)
			}
		}
	})
}

// Guards against a limit that stays low after the upstream has shed calls, because only
// critical calls wait. Slots above the limit up to which the upstream did not shed are
// tried with less important calls first.
func TestCriticalCallsAloneGrowTheLimit(t *testing.T) {
	c := New(Config{})
	running := map[mesh.CallID]time.Duration{}
	id := mesh.CallID(0)
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		slots := 10
		if now > 2*time.Second {
			slots = 50
		}
		for call := id - min(id, 200); call <= id; call++ { // in order, so that the run is deterministic
			if at, ok := running[call]; ok && now-at >= 20*ms {
				c.Done(now, call, Sample{Latency: now - at})
				delete(running, call)
			}
		}
		start := func(call mesh.CallID) {
			if len(running) >= slots {
				c.Done(now, call, Sample{Latency: ms, Result: Shed})
				return
			}
			running[call] = now
		}
		for range 3 {
			id++
			if d, _ := c.Arrive(now, Request{Call: id, Class: mesh.ClassCritical, Deadline: now + 50*ms}); d == Run {
				start(id)
			}
		}
		for next, ok := c.Next(now); ok; next, ok = c.Next(now) {
			if next.Decision == Run {
				start(next.Call)
			}
		}
	}
	if l := c.Load(4 * time.Second); l.Limit < 45 {
		t.Fatalf("limit %d of 50 slots, 2 s after the slots rose from 10 to 50; want at least 45", l.Limit)
	}
}
