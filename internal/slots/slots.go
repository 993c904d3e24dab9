// Package slots limits the concurrency of one upstream and queues the requests that
// exceed the limit. The limit follows the number of slots that the upstream reports. An
// upstream in need may also name a limit on its requests per second, which the package
// enforces for the whole fleet, since all requests for the upstream pass through its node. It
// enforces the declared limit of a cold upstream in the same way: one that has just started, or
// lost its caches, crashes if it gets many requests a second.
//
// The package is designed for a demand that stays above the capacity for long. Requests
// that queue inside the upstream would occupy slots and connections after their callers
// have given up, so they wait in a short queue at the node instead.
//
// The queue is ordered by level, the most important first. Within a level, nested calls,
// which an upstream makes for a request that it runs, go before new requests, because
// refusing them wastes the work already done. New requests go before the nested calls of
// less important levels, because they may wait only for a fraction of their target
// latency and nested calls can wait longer. Otherwise the order is that of arrival. A
// request starts only if it can still complete in time.
package slots

import (
	"slices"
	"time"

	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/pressure"
)

const (
	defaultLimit = 32 // limit while the upstream has not reported its slots
	// UsableShare is the largest fraction of the slots that is used, because some upstreams
	// become slower when all slots are in use.
	UsableShare = 0.94
	// growInterval is the time in which a limit that was lowered after a refusal by the
	// upstream grows by one slot.
	growInterval = 50 * time.Millisecond
	minLimit     = 2   // lowest limit, unless the upstream reports fewer slots
	latencyGain  = 0.1 // weight of a new sample in the moving average of the latency
	minTimeShare = 0.5 // a request starts only if this fraction of the average latency is left before its deadline
	// Each level has one queue for nested calls and one for new requests.
	numQueues        = 2 * pressure.NumLevels
	decreaseFactor   = 0.9 // new limit after a refusal, as a fraction of the requests that were running
	maxQueuedPerSlot = 4   // longest queue, as a multiple of the limit; minLimit is added to it
)

// Request is one request at the upstream.
type Request struct {
	ID          uint64
	Level       pressure.Level
	Nested      bool          // a call made by an upstream on behalf of a running request
	LatestStart time.Duration // the request is refused if it has not started by then
	Deadline    time.Duration // by which the upstream must have completed it
}

// Verdict states what is to be done with a request.
type Verdict uint8

const (
	Run    Verdict = iota // send the request to the upstream now
	Wait                  // the request is queued; Next decides on it later
	Refuse                // respond with a refusal
)

// Decision is the verdict on one queued request, Run or Refuse.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  outcome.Reason
}

// Gate is the admission control of one upstream: a concurrency limit with a priority
// queue. All times are durations since one arbitrary start. A Gate is not safe for
// concurrent use.
type Gate struct {
	slots int     // as reported by the upstream; zero: none reported
	limit float64 // requests that may run at a time
	// concurrency bounds limit; zero: UsableShare of the slots does.
	concurrency float64
	running     int // requests at the upstream
	queues      [numQueues][]*queuedRequest
	queued      int                       // requests in the queues
	byID        map[uint64]*queuedRequest // queued requests
	latency     float64                   // moving average of the time from the start to the end of a request, ns
	// earlierLatency is the average before the upstream restarted.
	earlierLatency float64
	grownAt        time.Duration // time up to which growth has been added to limit
	rate           rate          // limit on the requests per second
	spills         bool          // requests that the rate limit holds back are refused and not queued
	// provisional is set while the rate limit is likely to be lifted or confirmed very soon.
	provisional bool
	// awaitsAnswer is set until the upstream has answered. askedAt is the time of the first
	// request in that state, or negative before it.
	awaitsAnswer bool
	askedAt      time.Duration
}

type queuedRequest struct{ Request }

// New returns a gate for an upstream whose slots are not known yet.
func New() *Gate {
	return &Gate{limit: defaultLimit, byID: map[uint64]*queuedRequest{}}
}

// SetSlots sets the number of slots that the upstream reports, and resets the limit
// if the number has changed. Zero means that the upstream reports none.
func (g *Gate) SetSlots(slots int) {
	if slots == g.slots {
		return
	}
	g.slots = slots
	g.limit = g.maxLimit()
}

// SetConcurrency sets the number of requests that the upstream takes well at a time, instead
// of a fixed share of its slots. Zero means that it is not known. A limit that was lowered
// after a refusal by the upstream still grows slowly.
func (g *Gate) SetConcurrency(limit float64) {
	lowered := g.limit < g.maxLimit()
	g.concurrency = limit
	g.limit = min(g.limit, g.maxLimit())
	if !lowered {
		g.limit = g.maxLimit()
	}
}

// Reset discards the limits and the latency learned before the upstream restarted.
func (g *Gate) Reset() {
	g.limit = g.maxLimit()
	if g.latency > 0 {
		g.earlierLatency = g.latency
	}
	g.latency = 0
	g.rate.reset()
	g.awaitsAnswer = false
}

// AwaitAnswer makes the gate send few requests at a time until RecordRateLimit is called. It
// is called when the upstream may have named a limit that this node does not know.
func (g *Gate) AwaitAnswer() { g.awaitsAnswer, g.askedAt = true, -1 }

// RecordRateLimit records the limit on requests per second that a response of the upstream
// named, if named is set, or that it named none. It reports whether the limit has changed.
func (g *Gate) RecordRateLimit(now time.Duration, perSecond float64, named bool) (changed bool) {
	g.awaitsAnswer = false
	if !named {
		return g.rate.lapse(now)
	}
	return g.rate.set(now, perSecond)
}

// SetSpill sets whether requests that the rate limit holds back are refused at once, so that
// another upstream can run them, or wait in the queue.
func (g *Gate) SetSpill(spills bool) { g.spills = spills }

// Spills reports whether requests that a rate limit holds back are refused at once.
func (g *Gate) Spills() bool { return g.spills && g.rate.limit() > 0 }

// SetColdLimit sets the limit on requests per second of an upstream that is or may be cold, or
// lifts it if perSecond is zero. tolerated is the largest number of requests that a cold
// upstream may get in any second. SetColdLimit reports whether the limit has changed.
func (g *Gate) SetColdLimit(now time.Duration, perSecond, tolerated float64) bool {
	return g.rate.setCold(now, perSecond, tolerated)
}

// SetProvisional sets whether the limit that SetColdLimit has set is likely to be lifted or
// confirmed very soon. While it is, the requests that it holds back wait in the queue.
func (g *Gate) SetProvisional(provisional bool) { g.provisional = provisional }

// ColdLimit returns the limit that SetColdLimit has set.
func (g *Gate) ColdLimit() float64 { return g.rate.cold }

// NamedLimit returns the limit that the upstream names, or zero if it names none.
func (g *Gate) NamedLimit() float64 { return g.rate.named }

// RateLimit returns the limit on requests per second, the lower one of NamedLimit and
// ColdLimit, or zero if there is none.
func (g *Gate) RateLimit() float64 { return g.rate.limit() }

// Capacity returns the mean number of requests that run at a time if the upstream gets as
// many as its limits allow. A provisional limit does not count: a cut that follows from it
// would outlast it.
func (g *Gate) Capacity() float64 {
	latency := g.latency
	if latency == 0 && g.rate.cold > 0 {
		latency = g.earlierLatency // a cold upstream completes the first request late
	}
	if g.rate.limit() == 0 || latency == 0 || g.provisional {
		return float64(g.Limit())
	}
	return min(float64(g.Limit()), g.rate.limit()*time.Duration(latency).Seconds())
}

// TimeoutReason returns the reason why a queued request has not started in time.
func (g *Gate) TimeoutReason() outcome.Reason {
	if g.heldByRate() {
		return outcome.UpstreamLimited
	}
	return outcome.QueueTimeout
}

// heldByRate reports whether the rate limit and not the slots make requests wait.
func (g *Gate) heldByRate() bool { return g.rate.limit() > 0 && g.running < int(g.limit) }

// startsNow reports whether the limits allow another request to start.
func (g *Gate) startsNow(now time.Duration) bool {
	return g.running < min(int(g.limit), g.unansweredLimit(now)) && g.rate.allows(now)
}

// start records that a request is sent to the upstream.
func (g *Gate) start(now time.Duration) {
	g.running++
	g.rate.take(now)
	if g.awaitsAnswer && g.askedAt < 0 {
		g.askedAt = now
	}
}

// unansweredLimit returns the number of requests that may run at a time while the upstream
// has not answered.
func (g *Gate) unansweredLimit(now time.Duration) int {
	const steps = 10 // after which it is above the slots of any upstream
	if !g.awaitsAnswer {
		return unansweredLimit << steps
	}
	if g.askedAt < 0 {
		return unansweredLimit
	}
	return unansweredLimit << min((now-g.askedAt)/unansweredStep, steps)
}

// startsTooLate reports whether the rate limit makes a queued request wait beyond its latest
// start, as far as the requests that go before it tell.
func (g *Gate) startsTooLate(now time.Duration, r Request) bool {
	if g.rate.limit() == 0 {
		return false
	}
	before := 0
	for i := range queueIndex(r) + 1 {
		before += len(g.queues[i])
	}
	return now+g.rate.wait(now, before) > r.LatestStart
}

// maxLimit returns the highest limit for the reported number of slots.
func (g *Gate) maxLimit() float64 {
	if g.slots <= 0 {
		return defaultLimit
	}
	usable := float64(g.slots) * UsableShare
	if g.concurrency > 0 {
		usable = min(usable, g.concurrency)
	}
	return max(usable, min(float64(g.slots), minLimit))
}

// Limit returns the number of requests that may run at a time.
func (g *Gate) Limit() int { return int(g.limit) }

// Running returns the number of running requests.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of queued requests.
func (g *Gate) Queued() int { return g.queued }

// Latency returns the moving average of the time from the start to the end of a request
// that the upstream completed.
func (g *Gate) Latency() time.Duration { return time.Duration(g.latency) }

// queueIndex returns the index of the queue for a request. Queues with a lower index
// are served first.
func queueIndex(r Request) int {
	i := 2 * int(min(r.Level, pressure.NumLevels-1))
	if r.Nested {
		return i
	}
	return i + 1
}

// Arrive decides whether a new request runs, waits in the queue or is refused.
func (g *Gate) Arrive(now time.Duration, r Request) (Verdict, outcome.Reason) {
	g.growLimit(now)
	if g.tooLate(now, r) {
		return Refuse, outcome.DeadlineExceeded
	}
	if g.queued == 0 && g.startsNow(now) {
		g.start(now)
		return Run, outcome.None
	}
	if !g.provisional && (g.startsTooLate(now, r) || (g.Spills() && g.heldByRate())) {
		return Refuse, outcome.UpstreamLimited
	}
	if r.LatestStart <= now || g.queued >= maxQueuedPerSlot*int(g.limit)+minLimit {
		return Refuse, outcome.Overloaded
	}
	item := &queuedRequest{Request: r}
	i := queueIndex(r)
	g.queues[i] = append(g.queues[i], item)
	g.byID[r.ID] = item
	g.queued++
	return Wait, outcome.None
}

// tooLate reports whether the request can no longer complete before its deadline.
// The average latency is taken into account only while other requests run: otherwise an
// average that is too high could refuse all requests, and none would correct it.
func (g *Gate) tooLate(now time.Duration, r Request) bool {
	needed := time.Duration(0)
	if g.running > 0 {
		needed = time.Duration(minTimeShare * g.latency)
	}
	return now+needed >= r.Deadline
}

// Done records the end of a running request. completed states whether the upstream
// completed it; only then is latency, the time since its start, used.
func (g *Gate) Done(latency time.Duration, completed bool) {
	g.running--
	if !completed {
		return
	}
	if g.latency == 0 {
		g.latency = float64(latency)
	}
	g.latency += latencyGain * (float64(latency) - g.latency)
}

// RecordShed lowers the limit after the upstream refused a running request because of
// overload. The limit stays if the upstream reports its slots and no more requests run
// than it has slots: the refusal then has another cause, and a lower limit would only
// lead to more refusals.
func (g *Gate) RecordShed(now time.Duration) {
	if g.slots > 0 && g.running <= g.slots {
		return
	}
	g.limit = min(max(minLimit, min(g.limit, decreaseFactor*float64(g.running))), g.maxLimit())
	g.grownAt = now
}

// Cancel removes a request from the queue. It returns false if the request is not
// queued.
func (g *Gate) Cancel(id uint64) bool {
	item := g.byID[id]
	if item == nil {
		return false
	}
	delete(g.byID, id)
	queue := &g.queues[queueIndex(item.Request)]
	if i := slices.Index(*queue, item); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
	g.queued--
	return true
}

// Flush removes all requests from the queue and returns their refusals, the most important
// first.
func (g *Gate) Flush(reason outcome.Reason) []Decision {
	var out []Decision
	for i := range g.queues {
		for _, item := range g.queues[i] {
			out = append(out, Decision{item.ID, Refuse, reason})
		}
		g.queues[i] = nil
	}
	clear(g.byID)
	g.queued = 0
	return out
}

// growLimit raises a lowered limit by one slot per growInterval.
func (g *Gate) growLimit(now time.Duration) {
	if maxLimit := g.maxLimit(); g.limit < maxLimit {
		g.limit = min(maxLimit, g.limit+float64(now-g.grownAt)/float64(growInterval))
	}
	g.grownAt = now
}

// Next returns the decision on one queued request, if one is due. Requests whose latest
// start has passed are refused first. Several decisions can be due, so Next is to be
// called until it returns false.
func (g *Gate) Next(now time.Duration) (Decision, bool) {
	if g.queued == 0 {
		return Decision{}, false
	}
	g.growLimit(now)
	if decision, ok := g.refuseOverdue(now); ok {
		return decision, true
	}
	if !g.startsNow(now) {
		return Decision{}, false
	}
	for i := range g.queues {
		if len(g.queues[i]) == 0 {
			continue
		}
		item := g.queues[i][0]
		g.Cancel(item.ID)
		if g.tooLate(now, item.Request) {
			return Decision{item.ID, Refuse, outcome.DeadlineExceeded}, true
		}
		g.start(now)
		return Decision{item.ID, Run, outcome.None}, true
	}
	return Decision{}, false
}

// refuseOverdue removes one request whose latest start has passed and returns its refusal.
func (g *Gate) refuseOverdue(now time.Duration) (Decision, bool) {
	for i := range g.queues {
		for _, item := range g.queues[i] {
			if item.LatestStart <= now {
				g.Cancel(item.ID)
				return Decision{item.ID, Refuse, g.TimeoutReason()}, true
			}
		}
	}
	return Decision{}, false
}
