package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	standingAfter     = 100 * time.Millisecond // a queue is standing when its oldest call has been over the target waiting time for this long
	targetCompletions = 4                      // the target waiting time is at least this many intervals between completions
	deadlineMargin    = 1.0                    // multiple of the expected latency that must remain before the deadline
	maxTurns          = 12                     // longest wait in a standing queue, in turns of all waiting workspaces
	maxStandingWait   = 300 * time.Millisecond // longest wait in a standing queue, unless the target waiting time is longer
	runIntervalWindow = 16                     // number of calls over which runInterval is averaged
)

// Controller is the admission control of one upstream. It is not safe for
// concurrent use.
type Controller struct {
	cfg                Config
	limiter            limiter
	queue              queue
	cut                cutState
	pendingRefusals    []QueueDecision // evicted calls not yet returned by Next
	inFlight           int
	awaitingDownstream int // calls in flight that wait for downstream calls
	slots              int // calls that the upstream reports it can run at a time; zero means not reported
	draining           bool
	standing           [mesh.NumClasses]standingState
	newestFirst        [mesh.NumClasses]bool // classes that have a standing queue, which is served newest first
}

// standingState detects whether the queue of one class is a standing queue or a burst.
type standingState struct {
	aboveSince  time.Duration // since when the oldest call has waited longer than the target; negative if it has not
	lastDrop    time.Duration // when a call was last refused because of its age, or the queue became standing, whichever is later
	lastRun     time.Duration // when a call of the class last started to run
	runInterval time.Duration // moving average of the time between two calls of the class that run
}

func (s *standingState) recordRun(now time.Duration) {
	s.runInterval += (now - s.lastRun - s.runInterval) / runIntervalWindow
	s.lastRun = now
}

// maxWait returns the time in which each of the waiting workspaces gets maxTurns turns.
func (s *standingState) maxWait(now time.Duration, workspaces int) time.Duration {
	return maxTurns * max(s.runInterval, now-s.lastRun) * time.Duration(workspaces+1)
}

// New returns a controller for an upstream that has just started.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg.withDefaults(), queue: newQueue()}
	c.cut.cut = mesh.OpenCut
	for class := range c.standing {
		c.standing[class].aboveSince = -1
	}
	c.limiter = newLimiter(c.cfg.InitialLimit, c.cfg.MaxLimit)
	return c
}

// Restarted discards what the limiter has learned: the upstream starts cold, so the limit
// starts low again. Calls in flight and in the queue are kept.
func (c *Controller) Restarted(now time.Duration) {
	c.limiter = newLimiter(c.cfg.InitialLimit, c.bound())
	c.limiter.window.start = now
	c.limiter.countFrom = now
}

// SetWeights replaces the fair-share weights of the workspaces.
func (c *Controller) SetWeights(weights []Weight) {
	for i := range c.queue.flows {
		c.queue.flows[i].cost = 1
	}
	for _, w := range weights {
		if w.Weight > 0 {
			c.queue.flows[c.queue.flowOf(w.Workspace)].cost = 1 / w.Weight
		}
	}
}

// SetSlots sets the numbers of calls and of connections that the upstream reports it can
// handle at a time. Both are only upper bounds; zero means not reported.
func (c *Controller) SetSlots(now time.Duration, slots, connections int) {
	c.slots = slots
	if connections > 0 && (slots <= 0 || connections < slots) {
		c.slots = connections
	}
	c.limiter.bound = float64(c.bound())
	c.limiter.clamp()
}

// bound returns the upper bound of the limit: the reported slots, or else the configured
// maximum.
func (c *Controller) bound() int {
	if c.slots > 0 {
		return c.slots
	}
	return c.cfg.MaxLimit
}

// Arrive decides on an arriving call. The reason is set if the decision is Refuse.
func (c *Controller) Arrive(now time.Duration, r Request) (Decision, outcome.Reason) {
	if c.draining {
		return Refuse, outcome.Draining
	}
	r.Class = min(r.Class, mesh.NumClasses-1)
	c.tick(now)
	if c.missesDeadline(now, r.Deadline) {
		return Refuse, outcome.DeadlineExceeded
	}
	flow := c.queue.flowOf(r.Workspace)
	c.cut.windowArrivals++
	c.countArrival(now, flow, r.Class)
	if c.queue.queued == 0 && c.hasCapacity(c.allowedFor(r.Class)) {
		c.startCall(now, c.queue.allocate(r, flow, now))
		return Run, outcome.None
	}
	if c.queue.queued >= c.maxQueue() && !c.evict(r.Class, flow) {
		c.countRefusal(now, flow, r.Class)
		return Refuse, outcome.Overloaded
	}
	c.recordBlocked()
	c.queue.enqueue(c.queue.allocate(r, flow, now))
	return Queue, outcome.None
}

// reportedLimit returns the limit to report. Under PolicyFull it includes the slots that
// are briefly held back after refusals by the upstream.
func (c *Controller) reportedLimit() int {
	if c.cfg.Policy == PolicyFull {
		return int(c.limiter.limit)
	}
	return c.allowed()
}

// allowed returns the number of calls that may be in flight.
func (c *Controller) allowed() int {
	switch c.cfg.Policy {
	case PolicyNone:
		return int(^uint(0) >> 1)
	case PolicyStatic:
		if c.slots > 0 {
			return c.slots
		}
		return c.cfg.StaticLimit
	}
	return c.limiter.allowed()
}

func (c *Controller) allowedFor(class mesh.Class) int {
	if c.cfg.Policy != PolicyFull {
		return c.allowed()
	}
	return c.limiter.allowedFor(class)
}

func (c *Controller) maxQueue() int {
	if c.cfg.Policy == PolicyStatic {
		return c.cfg.StaticQueue
	}
	return c.cfg.MaxQueue
}

// missesDeadline reports whether a call that starts now is expected to miss its deadline.
// With nothing in flight no measurement would ever correct the expectation, so only the
// deadline itself counts then.
func (c *Controller) missesDeadline(now, deadline time.Duration) bool {
	if deadline == 0 || c.cfg.Policy != PolicyFull {
		return false
	}
	expected := time.Duration(0)
	if c.inFlight > 0 {
		expected = time.Duration(deadlineMargin * float64(c.limiter.expected(now)))
	}
	return now+expected >= deadline
}

// evict refuses a queued call to make room for an arrival of the given class and flow: the
// oldest call of the least important class that waits. If the arrival has the same class
// and its workspace has more than an equal share of the queue, the workspace's oldest call
// that starts a new action (laneNew) is refused instead, if there is one. evict returns false
// if all queued calls are more important than the arrival, or if the policy is not PolicyFull.
func (c *Controller) evict(class mesh.Class, flow int32) bool {
	if c.cfg.Policy != PolicyFull {
		return false
	}
	for least := mesh.Class(mesh.NumClasses - 1); ; least-- {
		if least < class {
			return false
		}
		if c.queue.queuedByClass[least] == 0 {
			continue
		}
		victim := c.queue.byArrival[least].head
		if least == class && int(c.queue.flows[flow].queued)*c.queue.backloggedFlows(class) > c.queue.queued {
			if oldestOwn := c.queue.flows[flow].lanes[class][numLanes-1].head; oldestOwn != none {
				victim = oldestOwn
			}
		}
		c.pendingRefusals = append(c.pendingRefusals, c.refuseQueued(victim, outcome.Overloaded))
		return true
	}
}

// refuseQueued removes a call from the queue and returns its refusal.
func (c *Controller) refuseQueued(i int32, reason outcome.Reason) QueueDecision {
	q := &c.queue
	refusal := QueueDecision{Call: q.calls[i].id, Decision: Refuse, Reason: reason}
	c.countRefusal(q.calls[i].at, q.calls[i].flow, q.calls[i].class)
	q.dequeue(i)
	q.release(i)
	return refusal
}

func (c *Controller) startCall(now time.Duration, i int32) {
	c.inFlight++
	call := &c.queue.calls[i]
	call.running = true
	call.at = now
	call.inFlight = int32(c.countedInFlight())
	c.cut.windowStarts++
	c.queue.charge(i)
	c.standing[call.class].recordRun(now)
	c.limiter.recordStart(c.countedInFlight())
}

// countedInFlight returns the calls in flight that count towards the limit. A call that
// waits for downstream calls uses none of the upstream's own capacity, only one of its
// slots. If it counted, a slower downstream service would need a higher limit, which takes
// several latencies to learn.
func (c *Controller) countedInFlight() int {
	if c.cfg.Policy != PolicyFull {
		return c.inFlight
	}
	return c.inFlight - c.awaitingDownstream
}

// hasCapacity reports whether one more call may run under the given limit and the slots.
func (c *Controller) hasCapacity(limit int) bool {
	return c.countedInFlight() < limit && (c.cfg.Policy != PolicyFull || c.inFlight < c.bound())
}

// recordBlocked records that a call has to wait because of the limit, unless all slots are
// in use.
func (c *Controller) recordBlocked() {
	if c.inFlight < c.bound() {
		c.limiter.window.blocked = true
	}
}

func (c *Controller) removeInFlight(call *call) {
	c.inFlight--
	if call.awaitingDownstream {
		c.awaitingDownstream--
	}
}

// SetDownstreamWait records that a running call starts or stops waiting for downstream
// calls. Once a call waits, Next may return queued calls.
func (c *Controller) SetDownstreamWait(call mesh.CallID, waiting bool) {
	i, ok := c.queue.index[call]
	if !ok || !c.queue.calls[i].running || c.queue.calls[i].awaitingDownstream == waiting {
		return
	}
	c.queue.calls[i].awaitingDownstream = waiting
	if waiting {
		c.awaitingDownstream++
		return
	}
	c.awaitingDownstream--
}

// Done ends a call that ran. Next may return queued calls afterwards.
func (c *Controller) Done(now time.Duration, call mesh.CallID, s Sample) {
	i, ok := c.queue.index[call]
	if !ok || !c.queue.calls[i].running {
		return
	}
	c.removeInFlight(&c.queue.calls[i])
	c.recordSample(now, &c.queue.calls[i], s)
	c.queue.release(i)
	c.tick(now)
}

// recordSample passes the sample to the limiter. A failure that is faster than the expected
// latency says nothing about capacity and is ignored; a slower failure or cancellation does.
func (c *Controller) recordSample(now time.Duration, call *call, s Sample) {
	switch {
	case s.Result == Shed:
		c.limiter.recordShed(now, int(call.inFlight))
	case s.Result == OK, s.Latency > c.limiter.expected(now):
		c.limiter.addSample(now, call.at, s)
	}
}

// Cancel ends a queued or running call whose caller gave up, without a sample. A node that
// has a sample of the call uses Done with result Cancelled instead. Only the first of Done
// and Cancel for a call has an effect.
func (c *Controller) Cancel(now time.Duration, call mesh.CallID) {
	i, ok := c.queue.index[call]
	if !ok {
		return
	}
	if c.queue.calls[i].running {
		c.removeInFlight(&c.queue.calls[i])
	} else {
		c.queue.dequeue(i)
	}
	c.queue.release(i)
}

// Next returns one queued call that is to run or to be refused now. It must be called on
// every tick and after Arrive, Done, Cancel, SetDownstreamWait, SetSlots and Drain, each time
// until the second result is false.
func (c *Controller) Next(now time.Duration) (QueueDecision, bool) {
	if n := len(c.pendingRefusals); n > 0 {
		refusal := c.pendingRefusals[n-1]
		c.pendingRefusals = c.pendingRefusals[:n-1]
		return refusal, true
	}
	if c.queue.queued == 0 {
		return QueueDecision{}, false
	}
	if c.draining {
		return c.refuseQueued(c.oldest(), outcome.Draining), true
	}
	c.tick(now)
	if c.cfg.Policy == PolicyFull {
		if i := c.nextOverdue(now); i != none {
			return c.refuseQueued(i, outcome.QueueTimeout), true
		}
	}
	if !c.hasCapacity(c.allowed()) {
		c.recordBlocked()
		return QueueDecision{}, false
	}
	i := c.nextQueued()
	if i == none {
		return QueueDecision{}, false
	}
	call := &c.queue.calls[i]
	if c.missesDeadline(now, call.deadline) {
		return c.refuseQueued(i, outcome.DeadlineExceeded), true
	}
	c.queue.dequeue(i)
	decision := QueueDecision{Call: call.id, Decision: Run}
	c.startCall(now, i)
	return decision, true
}

// nextQueued returns the queued call to run next, or none. A slot above limiter.provenLimit,
// where the upstream may shed the call, is given to the least important class that waits.
// Critical calls get such a slot only once they wait longer than the target waiting time; if
// they never got one, the limit could not grow while only critical calls wait.
func (c *Controller) nextQueued() int32 {
	if c.cfg.Policy != PolicyFull {
		return c.oldest()
	}
	i := c.queue.next(&c.newestFirst, mesh.ClassCritical)
	if c.hasCapacity(c.allowedFor(c.queue.calls[i].class)) {
		return i
	}
	for class := mesh.Class(mesh.NumClasses - 1); class > mesh.ClassCritical; class-- {
		if leastImportant := c.queue.next(&c.newestFirst, class); leastImportant != none {
			return leastImportant
		}
	}
	if c.standing[mesh.ClassCritical].aboveSince < 0 && !c.newestFirst[mesh.ClassCritical] {
		return none
	}
	return i
}

// oldest returns the queued call that arrived first.
func (c *Controller) oldest() int32 {
	first := none
	for class := range c.queue.byArrival {
		i := c.queue.byArrival[class].head
		if i != none && (first == none || c.queue.calls[i].at < c.queue.calls[first].at) {
			first = i
		}
	}
	return first
}

// completionInterval returns the expected time between two completions.
func (c *Controller) completionInterval(now time.Duration) time.Duration {
	return c.limiter.expected(now) / time.Duration(max(c.allowed(), 1))
}

// nextOverdue returns a call that has waited too long in a standing queue, or none, and
// updates which classes have a standing queue. A queue counts as standing once its oldest
// call has been over the target waiting time for standingAfter, so that a burst is served in
// order of arrival and a lasting overload newest first.
func (c *Controller) nextOverdue(now time.Duration) int32 {
	interval := c.completionInterval(now)
	target := max(c.cfg.QueueTarget, targetCompletions*interval)
	for class := mesh.NumClasses - 1; class >= 0; class-- {
		s := &c.standing[class]
		i := c.queue.byArrival[class].head
		if i == none || now-c.queue.calls[i].at <= target {
			s.aboveSince = -1
		} else if s.aboveSince < 0 {
			s.aboveSince = now
		}
		if !c.newestFirst[class] {
			c.newestFirst[class] = s.aboveSince >= 0 && now-s.aboveSince > standingAfter
			s.lastDrop = now
		}
		if !c.newestFirst[class] {
			continue
		}
		waitLimit := max(target, min(s.maxWait(now, c.queue.backloggedFlows(mesh.Class(class))), maxStandingWait))
		if i != none && now-c.queue.calls[i].at > waitLimit {
			s.lastDrop = now
			return i
		}
		if now-s.lastDrop > standingAfter {
			c.newestFirst[class] = false
		}
	}
	return none
}

// tick updates the limit and the cut.
func (c *Controller) tick(now time.Duration) {
	if c.cfg.Policy != PolicyFull {
		return
	}
	c.limiter.tick(now, c.countedInFlight())
	if !c.hasCapacity(c.limiter.allowed()) {
		c.cut.slotsFree = false
	}
	c.updateCut(now)
}

// Drain makes the controller refuse every further arrival and, through Next, every queued
// call.
func (c *Controller) Drain() { c.draining = true }

// Cut returns the cut to publish to callers.
func (c *Controller) Cut(now time.Duration) mesh.Cut {
	c.tick(now)
	return c.cut.cut
}

// Load returns the load to publish to callers.
func (c *Controller) Load(now time.Duration) Load {
	l := Load{
		InFlight: c.countedInFlight(),
		Queued:   c.queue.queued,
		Latency:  c.limiter.expected(now),
		Draining: c.draining,
	}
	if c.cfg.Policy != PolicyNone {
		l.Limit = c.reportedLimit()
		// Report the slots instead of the limit if a larger fraction of them is in use.
		if c.inFlight*l.Limit > l.InFlight*c.bound() {
			l.InFlight, l.Limit = c.inFlight, c.bound()
		}
		l.QueueWait = c.completionInterval(now) * time.Duration(l.Queued)
	}
	return l
}
