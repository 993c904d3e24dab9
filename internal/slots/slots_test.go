package slots

import (
	"testing"
	"time"

	"cardamomhatch/internal/outcome"
)

const second = time.Second

func full(t *testing.T, slots int) *Gate {
	t.Helper()
	g := New()
	g.SetSlots(slots)
	for i := range g.Limit() {
		if v, _ := g.Arrive(0, Request{ID: uint64(1000 + i), Start: second, Deadline: 10 * second}); v != Run {
			t.Fatalf("request %d of %d does not run", i, g.Limit())
		}
	}
	return g
}

// Under a lasting overload, refusing the calls of running requests wastes the
// work above them, and a less important request must not take the next slot. A
// short request of level 5 starved behind the calls of level 6 (proof checks of
// bhasha-mesh, 0.44 of them served).
func TestOrderOfTheQueue(t *testing.T) {
	g := full(t, 10)
	for _, w := range []Request{
		{ID: 1, Level: 6}, {ID: 2, Level: 4}, {ID: 3, Level: 6, Inner: true}, {ID: 4, Level: 4, Inner: true}, {ID: 5, Level: 5},
	} {
		w.Start, w.Deadline = second, 10*second
		if v, _ := g.Arrive(0, w); v != Wait {
			t.Fatalf("request %d does not wait", w.ID)
		}
	}
	for _, want := range []uint64{4, 2, 5, 3, 1} {
		g.Done(0, 0, false)
		step, ok := g.Next(0)
		if !ok || step.ID != want || step.Verdict != Run {
			t.Fatalf("next is %+v, want %d", step, want)
		}
	}
}

// A request whose latest start has passed is refused rather than run late, and
// one that cannot be answered in time does not start.
func TestLateWork(t *testing.T) {
	g := full(t, 10)
	g.Done(0, 200*time.Millisecond, true)
	g.Arrive(0, Request{ID: 99, Start: second, Deadline: 10 * second})
	if v, r := g.Arrive(0, Request{ID: 1, Start: second, Deadline: 50 * time.Millisecond}); v != Refuse || r != outcome.DeadlineExceeded {
		t.Fatalf("a request without time left: %v %v", v, r)
	}
	g.Arrive(0, Request{ID: 2, Start: 20 * time.Millisecond, Deadline: second})
	step, ok := g.Next(30 * time.Millisecond)
	if !ok || step.ID != 2 || step.Verdict != Refuse || step.Reason != outcome.QueueTimeout {
		t.Fatalf("next is %+v, want the refusal of 2", step)
	}
	if v, _ := g.Arrive(0, Request{ID: 3, Deadline: second}); v != Refuse {
		t.Error("a request that may not wait waits")
	}
}

// An upstream that fails requests with the status of overload while it has slots
// free must not lose its limit: it went to 2 and refused everything else.
func TestFalseShedKeepsTheLimit(t *testing.T) {
	g := New()
	g.SetSlots(50)
	limit := g.Limit()
	for range 100 {
		g.Arrive(0, Request{ID: 1, Start: second, Deadline: second})
		g.Shed(0)
		g.Done(0, 0, false)
	}
	if g.Limit() != limit {
		t.Fatalf("limit fell from %d to %d", limit, g.Limit())
	}
}

// An upstream that does not state its slots has a limit that follows its
// refusals, and grows again.
func TestUnknownSlots(t *testing.T) {
	g := New()
	for i := range 20 {
		g.Arrive(0, Request{ID: uint64(i), Start: second, Deadline: 10 * second})
	}
	g.Shed(0)
	if g.Limit() > 20 {
		t.Fatalf("limit is %d after a refusal at 20", g.Limit())
	}
	g.Arrive(10*second, Request{ID: 77, Start: 11 * second, Deadline: 20 * second})
	if g.Limit() < 20 {
		t.Errorf("limit is still %d after 10 s", g.Limit())
	}
}

// A caller that leaves frees its place in the queue.
func TestGone(t *testing.T) {
	g := full(t, 5)
	g.Arrive(0, Request{ID: 1, Start: second, Deadline: 10 * second})
	g.Arrive(0, Request{ID: 2, Start: second, Deadline: 10 * second})
	if !g.Gone(1) || g.Gone(1) {
		t.Fatal("Gone does not report whether the request waited")
	}
	g.Done(0, 0, false)
	if step, ok := g.Next(0); !ok || step.ID != 2 {
		t.Fatalf("next is %+v, want 2", step)
	}
}
