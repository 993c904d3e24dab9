package slots

import (
	"fmt"
	"testing"
	"time"

	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/pressure"
)

// load offers requests to a gate at a steady rate. The upstream completes each after the
// latency and names the limit in the response.
type load struct {
	gate      *Gate
	interval  time.Duration // between requests
	latency   time.Duration
	limit     float64 // that the upstream names
	levels    int     // the requests have these levels by turns
	maxWait   time.Duration
	nextID    uint64
	running   []time.Duration // when each running request ends, in order
	startedAt []time.Duration // of all requests
	byLevel   map[uint64]int  // number of started requests, by ID modulo levels
}

// run offers requests from the first time to the second one, in steps of a millisecond.
func (l *load) run(from, to time.Duration) {
	if l.byLevel == nil {
		l.byLevel = map[uint64]int{}
	}
	for now := from; now < to; now += time.Millisecond {
		for len(l.running) > 0 && l.running[0] <= now {
			l.running = l.running[1:]
			l.gate.RecordRateLimit(now, l.limit, l.limit >= 0)
			l.gate.Done(l.latency, true)
		}
		for d, ok := l.gate.Next(now); ok; d, ok = l.gate.Next(now) {
			if d.Verdict == Run {
				l.start(now, d.ID)
			}
		}
		if now%l.interval == 0 {
			l.nextID++
			r := Request{ID: l.nextID, Level: pressure.Level(l.nextID % uint64(l.levels)), LatestStart: now + l.maxWait, Deadline: now + 10*time.Second}
			if v, _ := l.gate.Arrive(now, r); v == Run {
				l.start(now, r.ID)
			}
		}
	}
}

func (l *load) start(now time.Duration, id uint64) {
	l.running = append(l.running, now+l.latency)
	l.startedAt = append(l.startedAt, now)
	l.byLevel[id%uint64(l.levels)]++
}

// mostWithin returns the largest number of starts in a window of four seconds that begins
// at or after the given time.
func (l *load) mostWithin(from time.Duration) int {
	most := 0
	for i, first := range l.startedAt {
		if first < from {
			continue
		}
		count := 0
		for _, at := range l.startedAt[i:] {
			if at < first+4*time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// An upstream whose demand is several times the limit that it names must not get more than
// one and a half times the limit and five requests in any four seconds, and should get
// what it takes. One that takes less than a request a second still gets the requests that
// show when the limit is lifted.
func TestNamedLimitHoldsInEveryWindow(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 1, 4.7, 44.5, 150} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			l := &load{gate: New(), interval: 5 * time.Millisecond, latency: 60 * time.Millisecond, limit: -1, levels: 1, maxWait: 180 * time.Millisecond}
			l.gate.SetSlots(121)
			l.run(0, 3*time.Second)
			l.limit = limit
			l.run(3*time.Second, 20*time.Second)
			// The first response with the limit arrives a latency after the limit begins.
			if most, allowed := l.mostWithin(3*time.Second+2*l.latency), int(1.5*4*limit)+5; most > allowed {
				t.Errorf("%d requests in four seconds, want at most %d", most, allowed)
			}
			started := 0
			for _, at := range l.startedAt {
				if at >= 4*time.Second {
					started++
				}
			}
			if want := int(0.9 * limit * 16); started < want {
				t.Errorf("%d requests in 16 seconds, want at least %d", started, want)
			}
		})
	}
}

// A response that was sent before the upstream named its limit must not lift it, but the
// responses that no longer name it must.
func TestNamedLimitIsLifted(t *testing.T) {
	g := New()
	if !g.RecordRateLimit(second, 10, true) || g.RateLimit() != 10 {
		t.Fatalf("limit is %v, want 10", g.RateLimit())
	}
	if g.RecordRateLimit(second+100*time.Millisecond, 0, false); g.RateLimit() != 10 {
		t.Error("a response 100 ms after the one with the limit has lifted it")
	}
	if g.RecordRateLimit(2*second, 0, false); g.RateLimit() != 0 {
		t.Error("a response a second after the last one with the limit has not lifted it")
	}
	g.RecordRateLimit(3*second, 5, true)
	if g.Reset(); g.RateLimit() != 0 {
		t.Error("a restarted upstream keeps the limit of the one before")
	}
}

// Where all upstreams are limited, the more important half of the requests must be served
// before the other one.
func TestNamedLimitServesImportantRequestsFirst(t *testing.T) {
	l := &load{gate: New(), interval: 10 * time.Millisecond, latency: 60 * time.Millisecond, limit: 50, levels: 2, maxWait: 180 * time.Millisecond}
	l.gate.SetSlots(121)
	l.run(0, 10*time.Second)
	if important, others := l.byLevel[0], l.byLevel[1]; important < 9*others {
		t.Errorf("%d important requests and %d others started, want at least nine times as many", important, others)
	}
}

// While another upstream has room, what exceeds the limit must not wait: it would be late
// there although it need not be.
func TestExcessSpillsAtOnce(t *testing.T) {
	g := New()
	g.SetSlots(10)
	g.RecordRateLimit(0, 10, true)
	r := Request{ID: 1, LatestStart: second, Deadline: 10 * second}
	if v, _ := g.Arrive(0, r); v != Wait {
		t.Errorf("verdict is %v, want Wait while no other upstream has room", v)
	}
	g.SetSpill(true)
	r.ID = 2
	if v, reason := g.Arrive(0, r); v != Refuse || reason != outcome.UpstreamLimited {
		t.Errorf("verdict is %v, reason %v, want Refuse and upstream-limited", v, reason)
	}
}

// A request that would not get its turn before its latest start must be refused when it
// arrives.
func TestHopelessRequestDoesNotWait(t *testing.T) {
	g := New()
	g.RecordRateLimit(0, 10, true)
	for i := range 5 {
		r := Request{ID: uint64(i), LatestStart: 350 * time.Millisecond, Deadline: 10 * second}
		v, reason := g.Arrive(0, r)
		if want := map[bool]Verdict{true: Wait, false: Refuse}[i < 3]; v != want {
			t.Errorf("verdict on request %d is %v, %v, want %v", i, v, reason, want)
		}
	}
}

// A node that starts beside an upstream with many slots must send few requests until the
// first response shows whether the upstream names a limit, and must not do so for long if
// the upstream is only slow.
func TestFewRequestsUntilTheFirstResponse(t *testing.T) {
	start := func(g *Gate, now time.Duration) (started int) {
		for i := range 200 {
			v, _ := g.Arrive(now, Request{ID: uint64(now) + uint64(i), Deadline: now + 10*second})
			if v == Run {
				started++
			}
		}
		return started
	}
	g := New()
	g.SetSlots(100)
	g.AwaitAnswer()
	if n := start(g, 0); n != unansweredLimit {
		t.Errorf("%d requests run before the first response, want %d", n, unansweredLimit)
	}
	if n := start(g, 2*second); n < 80 {
		t.Errorf("%d more requests run two seconds later, want nearly all slots used", n)
	}
	answered := New()
	answered.SetSlots(100)
	answered.AwaitAnswer()
	answered.RecordRateLimit(0, 0, false)
	if n := start(answered, 0); n != answered.Limit() {
		t.Errorf("%d requests run after a response without a limit, want %d", n, answered.Limit())
	}
}
