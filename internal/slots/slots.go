// Package slots decides which requests run at one upstream whose number of
// slots is known.
//
// The load pattern it answers is a demand above the capacity that lasts: waiting
// inside the upstream would use a slot and a connection for work that nobody
// waits for any more. Requests wait at the node instead, in a short queue.
// Levels come in their order; within one, calls of requests that already run come
// before new requests, since refusing them wastes the work above; then arrival. A
// new request of a higher level goes before the calls of less important ones: it
// may wait only for a part of its target, and they can wait longer. A request
// starts only if it can still be answered in time.
package slots

import (
	"time"

	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/pressure"
)

const (
	unknownSlots = 32 // limit while the upstream has not stated its slots
	// usableShare keeps an upstream below the point from which some work slower.
	usableShare = 0.94
	// regrow is the time in which a limit lowered by a refusal grows by one slot.
	regrow       = 50 * time.Millisecond
	minLimit     = 2
	latencyGain  = 0.1
	startShare   = 0.5 // part of the usual latency that must be left to start
	numLevels    = 2 * pressure.NumLevels
	lowerFactor  = 0.9 // of the requests in flight when the upstream refused one
	maxQueueLoad = 4   // queued requests per slot
)

// Request is one request at the upstream.
type Request struct {
	ID       uint64
	Level    pressure.Level
	Inner    bool          // a call of a request that already runs
	Start    time.Duration // latest start; it is refused afterwards
	Deadline time.Duration
}

// Verdict is what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Decision is the verdict on one waiting request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  outcome.Reason
}

// Gate is the admission of one upstream. It is not safe for concurrent use.
type Gate struct {
	slots   int
	limit   float64
	running int
	queue   [numLevels][]*waiting
	queued  int
	byID    map[uint64]*waiting
	latency float64 // of an answer, ns
	grown   time.Duration
}

type waiting struct {
	Request
	arrived time.Duration
	gone    bool
}

// New returns the gate of an upstream that is not known yet.
func New() *Gate {
	return &Gate{limit: unknownSlots, byID: map[uint64]*waiting{}}
}

// SetSlots sets the number of slots that the upstream states; zero means none.
func (g *Gate) SetSlots(slots int) {
	if slots == g.slots {
		return
	}
	g.slots = slots
	g.limit = g.bound()
}

// Restarted forgets what was learned of an earlier start.
func (g *Gate) Restarted() {
	g.limit = g.bound()
	g.latency = 0
}

func (g *Gate) bound() float64 {
	if g.slots <= 0 {
		return unknownSlots
	}
	return max(float64(g.slots)*usableShare, min(float64(g.slots), minLimit))
}

// Limit returns the number of requests that may run.
func (g *Gate) Limit() int { return int(g.limit) }

// Running returns the number of requests that run.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int { return g.queued }

// Latency returns the usual time of an answer once a request runs.
func (g *Gate) Latency() time.Duration { return time.Duration(g.latency) }

func level(w Request) int {
	l := 2 * int(min(w.Level, pressure.NumLevels-1))
	if w.Inner {
		return l
	}
	return l + 1
}

// Arrive decides on a request.
func (g *Gate) Arrive(now time.Duration, w Request) (Verdict, outcome.Reason) {
	g.tick(now)
	if g.late(now, w) {
		return Refuse, outcome.DeadlineExceeded
	}
	if g.running < int(g.limit) && g.queued == 0 {
		g.running++
		return Run, outcome.None
	}
	if w.Start <= now || g.queued >= maxQueueLoad*int(g.limit)+minLimit {
		return Refuse, outcome.Overloaded
	}
	item := &waiting{Request: w, arrived: now}
	l := level(w)
	g.queue[l] = append(g.queue[l], item)
	g.byID[w.ID] = item
	g.queued++
	return Wait, outcome.None
}

// late reports whether the request can no longer be answered in time.
func (g *Gate) late(now time.Duration, w Request) bool {
	needed := time.Duration(0)
	if g.running > 0 {
		needed = time.Duration(startShare * g.latency)
	}
	return now+needed >= w.Deadline
}

// Done ends a request that ran. answered is whether the upstream worked on it to
// its end, so that latency says something.
func (g *Gate) Done(now, latency time.Duration, answered bool) {
	g.running--
	if !answered {
		return
	}
	if g.latency == 0 {
		g.latency = float64(latency)
	}
	g.latency += latencyGain * (float64(latency) - g.latency)
}

// Shed records that the upstream refused a request for load although the gate
// let it run. An upstream that states its slots and has some free refuses for
// another reason, and a lower limit would only refuse more.
func (g *Gate) Shed(now time.Duration) {
	if g.slots > 0 && g.running <= g.slots {
		return
	}
	g.limit = max(minLimit, min(g.limit, lowerFactor*float64(g.running)))
	g.grown = now
}

// Gone removes a request that waits. The result is false if it does not wait.
func (g *Gate) Gone(id uint64) bool {
	item := g.byID[id]
	if item == nil {
		return false
	}
	delete(g.byID, id)
	item.gone = true
	g.queued--
	return true
}

func (g *Gate) tick(now time.Duration) {
	if bound := g.bound(); g.limit < bound {
		g.limit = min(bound, g.limit+float64(now-g.grown)/float64(regrow))
	}
	g.grown = now
}

// Next returns a verdict on a waiting request, if there is one to give now.
func (g *Gate) Next(now time.Duration) (Decision, bool) {
	if g.queued == 0 {
		return Decision{}, false
	}
	g.tick(now)
	if step, ok := g.overdue(now); ok {
		return step, true
	}
	if g.running >= int(g.limit) {
		return Decision{}, false
	}
	for l := range g.queue {
		item := g.head(l)
		if item == nil {
			continue
		}
		g.pop(l)
		if g.late(now, item.Request) {
			return Decision{item.ID, Refuse, outcome.DeadlineExceeded}, true
		}
		g.running++
		return Decision{item.ID, Run, outcome.None}, true
	}
	return Decision{}, false
}

// overdue returns a refusal of a request whose latest start has passed.
func (g *Gate) overdue(now time.Duration) (Decision, bool) {
	for l := range g.queue {
		for _, item := range g.queue[l] {
			if !item.gone && item.Start <= now {
				g.Gone(item.ID)
				return Decision{item.ID, Refuse, outcome.QueueTimeout}, true
			}
		}
	}
	return Decision{}, false
}

// head returns the first request that waits at a level, or nil.
func (g *Gate) head(l int) *waiting {
	for len(g.queue[l]) > 0 && g.queue[l][0].gone {
		g.queue[l][0] = nil
		g.queue[l] = g.queue[l][1:]
	}
	if len(g.queue[l]) == 0 {
		g.queue[l] = nil
		return nil
	}
	return g.queue[l][0]
}

func (g *Gate) pop(l int) {
	g.Gone(g.queue[l][0].ID)
	g.queue[l] = g.queue[l][1:]
}
