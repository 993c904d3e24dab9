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

// one returns a controller with a limit of one slot, taken by call 1.
func one(t *testing.T) *Controller {
	t.Helper()
	c := New(Config{InitialLimit: 1, MaxLimit: 1})
	if d, _ := c.Arrive(0, Request{Call: 1, Workspace: "x"}); d != Run {
		t.Fatalf("first call: %v", d)
	}
	return c
}

// order ends the running call again and again and returns the calls that run.
func order(c *Controller, now time.Duration, running mesh.CallID) []mesh.CallID {
	var ran []mesh.CallID
	for {
		c.Done(now, running, Sample{Latency: ms})
		step, ok := c.Next(now)
		if !ok {
			return ran
		}
		if step.Decision == Run {
			ran = append(ran, step.Call)
			running = step.Call
		}
	}
}

// Guards against an order of service other than class, resumed calls, fair
// share, arrival.
func TestOrderOfService(t *testing.T) {
	c := one(t)
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
			t.Fatalf("call %d: %v", r.Call, d)
		}
	}
	// The resumed call 15 counts for workspace b, so call 14 comes after 12.
	want := []mesh.CallID{16, 15, 11, 12, 14, 13, 10}
	if got := order(c, ms, 1); !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against calls of actions that have answers from downstream behind
// calls whose refusal wastes less.
func TestContinuedActionsFirst(t *testing.T) {
	c := one(t)
	for i, r := range []Request{
		{Workspace: "a", Class: mesh.ClassNormal},
		{Workspace: "a", Class: mesh.ClassNormal, Resumed: true},
		{Workspace: "a", Class: mesh.ClassNormal, Resumed: true, Continued: true},
		{Workspace: "b", Class: mesh.ClassHigh},
	} {
		r.Call = mesh.CallID(10 + i)
		c.Arrive(0, r)
	}
	if got, want := order(c, ms, 1), []mesh.CallID{13, 12, 11, 10}; !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against calls that wait for a slow service below and keep calls out that
// this upstream could work on, and against more calls in flight than slots.
func TestDownstreamLeavesTheLimit(t *testing.T) {
	c := one(t)
	c.SetSlots(0, 2, 0)
	c.limiter.limit = 1
	c.Arrive(0, Request{Call: 2})
	c.Downstream(1, true)
	if step, ok := c.Next(0); !ok || step.Call != 2 || step.Decision != Run {
		t.Fatalf("beside a call that waits below: %v %v", step, ok)
	}
	c.Downstream(2, true)
	c.Arrive(0, Request{Call: 3})
	if step, ok := c.Next(0); ok {
		t.Fatalf("a third call with two slots: %v", step)
	}
	c.Gone(0, 1)
	if step, ok := c.Next(0); !ok || step.Call != 3 {
		t.Fatalf("after a waiting call has gone: %v %v", step, ok)
	}
	c.Downstream(2, false)
	c.Done(ms, 2, Sample{Latency: ms})
	c.Done(ms, 3, Sample{Latency: ms})
	if c.inFlight != 0 || c.away != 0 {
		t.Fatalf("%d in flight and %d waiting below at the end", c.inFlight, c.away)
	}
}

// Guards against weights that do not set the workspaces' shares.
func TestWeights(t *testing.T) {
	c := one(t)
	c.SetWeights([]Weight{{"a", 3}, {"b", 1}})
	for i := range 80 {
		c.Arrive(0, Request{Call: mesh.CallID(10 + i), Class: mesh.ClassNormal, Workspace: workspaceNames[i%2]})
	}
	a := 0
	for _, id := range order(c, ms, 1)[:40] {
		if id%2 == 0 {
			a++
		}
	}
	if a < 29 || a > 31 {
		t.Fatalf("a workspace of weight 3 of 4 got %d of 40 calls", a)
	}
}

// Guards against running work that cannot end in time, and against an
// expectation from a bad time that keeps every later call out.
func TestDeadlines(t *testing.T) {
	c := one(t)
	c.Done(100*ms, 1, Sample{Latency: 100 * ms})
	c.Arrive(100*ms, Request{Call: 2})
	if d, reason := c.Arrive(100*ms, Request{Call: 3, Deadline: 150 * ms}); d != Refuse || reason != outcome.DeadlineExceeded {
		t.Fatalf("a call that cannot end in time: %v %v", d, reason)
	}
	c.Arrive(100*ms, Request{Call: 4, Deadline: 250 * ms})
	c.Done(200*ms, 2, Sample{Latency: 100 * ms})
	c.Arrive(200*ms, Request{Call: 5})
	if step, ok := c.Next(200 * ms); !ok || step.Call != 4 && step.Call != 5 {
		t.Fatalf("next: %v %v", step, ok)
	}
	idle := one(t)
	idle.Done(10*time.Second, 1, Sample{Latency: 10 * time.Second})
	if d, reason := idle.Arrive(10*time.Second, Request{Call: 2, Deadline: 11 * time.Second}); d != Run {
		t.Fatalf("a call at an idle upstream after a slow one: %v %v", d, reason)
	}
}

// Guards against an upstream's calls counted twice when a caller gives up, and
// against work admitted while draining.
func TestGoneAndDrain(t *testing.T) {
	c := one(t)
	c.Arrive(0, Request{Call: 2})
	c.Arrive(0, Request{Call: 3})
	c.Gone(ms, 2)
	c.Gone(ms, 1)
	c.Done(ms, 1, Sample{Latency: ms})
	if step, ok := c.Next(ms); !ok || step != (QueueDecision{Call: 3, Decision: Run}) {
		t.Fatalf("next: %v %v", step, ok)
	}
	c.Arrive(ms, Request{Call: 4})
	c.Drain()
	if d, reason := c.Arrive(ms, Request{Call: 5}); d != Refuse || reason != outcome.Draining {
		t.Fatalf("arrival while draining: %v %v", d, reason)
	}
	if step, ok := c.Next(ms); !ok || step != (QueueDecision{Call: 4, Decision: Refuse, Reason: outcome.Draining}) {
		t.Fatalf("queued call while draining: %v %v", step, ok)
	}
	if l := c.Load(ms); l.InFlight != 1 || l.Queued != 0 || !l.Draining {
		t.Fatalf("load %+v", l)
	}
}

// Guards against more calls in flight than the upstream reports, whatever it
// answers, against lost or doubled verdicts, and against an endless Next.
func TestEveryCallGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		c := New(Config{MaxQueue: 8})
		c.SetSlots(0, slots, 0)
		now := time.Duration(0)
		queued, running := map[mesh.CallID]bool{}, map[mesh.CallID]time.Duration{}
		pump := func() {
			for range 1000 {
				step, ok := c.Next(now)
				if !ok {
					return
				}
				if !queued[step.Call] {
					t.Fatalf("verdict %v on call %d that is not queued", step.Decision, step.Call)
				}
				delete(queued, step.Call)
				if step.Decision == Run {
					running[step.Call] = now
				}
			}
			t.Fatal("Next does not end")
		}
		for id := mesh.CallID(1); id < 200; id++ {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap ms")) * ms
			r := Request{Call: id, Class: mesh.Class(rapid.IntRange(0, 3).Draw(t, "class")), Workspace: workspaceNames[id%8],
				Deadline: now + time.Duration(rapid.IntRange(1, 500).Draw(t, "patience ms"))*ms, Resumed: id%3 == 0}
			switch d, _ := c.Arrive(now, r); d {
			case Run:
				running[id] = now
			case Queue:
				queued[id] = true
			}
			pump()
			for _, id := range rapid.SliceOfN(rapid.Uint64Range(1, uint64(id)), 0, 3).Draw(t, "ended") {
				call := mesh.CallID(id)
				if at, ok := running[call]; ok {
					result := Result(rapid.IntRange(0, 3).Draw(t, "result"))
					c.Done(now, call, Sample{Latency: now - at, Result: result})
				} else {
					c.Gone(now, call)
				}
				delete(running, call)
				delete(queued, call)
				pump()
			}
			l := c.Load(now)
			if len(running) > slots || l.InFlight != len(running) || l.Queued != len(queued) || l.Queued > 8 {
				t.Fatalf("%d running of %d slots, %d queued, load %+v", len(running), slots, len(queued), l)
			}
		}
	})
}

// Guards against a limit that stays low after the upstream has shed, because the
// slots above it are kept from critical calls and nothing else waits.
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
		for step, ok := c.Next(now); ok; step, ok = c.Next(now) {
			if step.Decision == Run {
				start(step.Call)
			}
		}
	}
	if l := c.Load(4 * time.Second); l.Limit < 45 {
		t.Fatalf("limit %d of 50 slots 2 s after they came back", l.Limit)
	}
}
