package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	standingAfter  = 100 * time.Millisecond // time above the target from which a queue is standing
	targetGaps     = 4                      // the target covers at least so many gaps between completions
	deadlineMargin = 1.0                    // expected latency that must be left before the deadline
	boundedTurns   = 12                     // time in a standing queue, in turns of all waiting workspaces
	boundedWait    = 300 * time.Millisecond // longest time in a standing queue
	gapWindow      = 16                     // calls over which the gap of a class is averaged
)

// Controller is the admission control of one upstream. It is not safe for
// concurrent use.
type Controller struct {
	cfg      Config
	limiter  limiter
	queue    queue
	cut      cutState
	doomed   []QueueDecision // refusals not yet returned by Next
	inFlight int
	away     int // calls in flight that wait for downstream calls
	slots    int // reported; zero means not reported
	draining bool
	standing [mesh.NumClasses]standing
	newest   [mesh.NumClasses]bool
}

// standing tells a standing queue of one class from a burst.
type standing struct {
	above   time.Duration // since when the oldest call is over the target; negative means it is not
	dropped time.Duration // last call dropped by age
	run     time.Duration // last call of the class that ran
	gap     time.Duration // mean time between two calls of the class that run
}

func (s *standing) ran(now time.Duration) {
	s.gap += (now - s.run - s.gap) / gapWindow
	s.run = now
}

// turn returns the time in which each of the waiting workspaces gets a turn.
func (s *standing) turn(now time.Duration, workspaces int) time.Duration {
	return boundedTurns * max(s.gap, now-s.run) * time.Duration(workspaces+1)
}

// New returns a controller of an upstream that has just started.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg.withDefaults(), queue: newQueue()}
	c.cut.cut = mesh.OpenCut
	for class := range c.standing {
		c.standing[class].above = -1
	}
	c.limiter = newLimiter(c.cfg.InitialLimit, c.cfg.MaxLimit)
	return c
}

// Restarted forgets what was learned: the upstream starts cold, so the limit
// starts low again. Calls in flight and in the queue stay.
func (c *Controller) Restarted(now time.Duration) {
	c.limiter = newLimiter(c.cfg.InitialLimit, c.bound())
	c.limiter.win.start = now
	c.limiter.since = now
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

// SetSlots sets what the upstream reports. Both are upper bounds only; zero
// means not reported.
func (c *Controller) SetSlots(now time.Duration, slots, connections int) {
	c.slots = slots
	if connections > 0 && (slots <= 0 || connections < slots) {
		c.slots = connections
	}
	c.limiter.bound = float64(c.bound())
	c.limiter.clamp()
}

func (c *Controller) bound() int {
	if c.slots > 0 {
		return c.slots
	}
	return c.cfg.MaxLimit
}

// Arrive decides on one call. The reason is set if the decision is Refuse.
func (c *Controller) Arrive(now time.Duration, r Request) (Decision, outcome.Reason) {
	if c.draining {
		return Refuse, outcome.Draining
	}
	r.Class = min(r.Class, mesh.NumClasses-1)
	c.tick(now)
	if c.late(now, r.Deadline) {
		return Refuse, outcome.DeadlineExceeded
	}
	f := c.queue.flowOf(r.Workspace)
	c.cut.arrived++
	c.countArrival(now, f, r.Class)
	if c.queue.queued == 0 && c.room(c.allowedFor(r.Class)) {
		c.run(now, c.queue.add(r, f, now))
		return Run, outcome.None
	}
	if c.queue.queued >= c.maxQueue() && !c.makeRoom(r.Class, f) {
		c.countRefusal(now, f, r.Class)
		return Refuse, outcome.Overloaded
	}
	c.noteBlocked()
	c.queue.push(c.queue.add(r, f, now))
	return Queue, outcome.None
}

// limit returns the limit to report: allowed without the short pauses after
// refusals by the upstream.
func (c *Controller) limit() int {
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

// late reports whether a call that runs now is expected to miss its deadline.
// With nothing in flight no measurement would ever correct the expectation, so
// then only the deadline itself counts.
func (c *Controller) late(now, deadline time.Duration) bool {
	if deadline == 0 || c.cfg.Policy != PolicyFull {
		return false
	}
	expected := time.Duration(0)
	if c.inFlight > 0 {
		expected = time.Duration(deadlineMargin * float64(c.limiter.expected(now)))
	}
	return now+expected >= deadline
}

// makeRoom dooms one queued call for an arrival of the class, if one is less
// important or has waited longer. A workspace with more than its part of the
// queue loses its own oldest call.
func (c *Controller) makeRoom(class mesh.Class, f int32) bool {
	if c.cfg.Policy != PolicyFull {
		return false
	}
	for least := mesh.Class(mesh.NumClasses - 1); ; least-- {
		if least < class {
			return false
		}
		if c.queue.waiting[least] == 0 {
			continue
		}
		victim := c.queue.ages[least].head
		if least == class && int(c.queue.flows[f].queued)*c.queue.busy(class) > c.queue.queued {
			if own := c.queue.flows[f].lanes[class][numLanes-1].head; own != none {
				victim = own
			}
		}
		c.doomed = append(c.doomed, c.refuse(victim, outcome.Overloaded))
		return true
	}
}

// refuse takes a call out of the queue.
func (c *Controller) refuse(i int32, reason outcome.Reason) QueueDecision {
	q := &c.queue
	step := QueueDecision{Call: q.calls[i].id, Decision: Refuse, Reason: reason}
	c.countRefusal(q.calls[i].at, q.calls[i].flow, q.calls[i].class)
	q.unlink(i)
	q.remove(i)
	return step
}

func (c *Controller) run(now time.Duration, i int32) {
	c.inFlight++
	call := &c.queue.calls[i]
	call.running = true
	call.at = now
	call.inFlight = int32(c.busy())
	c.cut.ran++
	c.queue.charge(i)
	c.standing[call.class].ran(now)
	c.limiter.started(c.busy())
}

// busy returns the calls in flight that the limit counts. A call that waits for
// downstream calls uses none of the upstream's own capacity, only one of its
// slots: if it counted, a slower service below would need a higher limit, which
// takes several latencies to learn.
func (c *Controller) busy() int {
	if c.cfg.Policy != PolicyFull {
		return c.inFlight
	}
	return c.inFlight - c.away
}

// room reports whether a further call may run under the limit.
func (c *Controller) room(limit int) bool {
	return c.busy() < limit && (c.cfg.Policy != PolicyFull || c.inFlight < c.bound())
}

// noteBlocked records that a call has to wait for the limit, not for the slots.
func (c *Controller) noteBlocked() {
	if c.inFlight < c.bound() {
		c.limiter.win.blocked = true
	}
}

// left takes a running call out of the calls in flight.
func (c *Controller) left(call *call) {
	c.inFlight--
	if call.away {
		c.away--
	}
}

// Downstream records that a running call begins or ends to wait for downstream
// calls. After a begin, Next may return queued calls.
func (c *Controller) Downstream(call mesh.CallID, waiting bool) {
	i, ok := c.queue.index[call]
	if !ok || !c.queue.calls[i].running || c.queue.calls[i].away == waiting {
		return
	}
	c.queue.calls[i].away = waiting
	if waiting {
		c.away++
		return
	}
	c.away--
}

// Done ends a call that ran. Next may return queued calls afterwards.
func (c *Controller) Done(now time.Duration, call mesh.CallID, s Sample) {
	i, ok := c.queue.index[call]
	if !ok || !c.queue.calls[i].running {
		return
	}
	c.left(&c.queue.calls[i])
	c.learn(now, &c.queue.calls[i], s)
	c.queue.remove(i)
	c.tick(now)
}

// learn passes the sample to the limiter. A failure that comes faster than usual
// says nothing about capacity; a slow one, or a call given up late, does.
func (c *Controller) learn(now time.Duration, call *call, s Sample) {
	switch {
	case s.Result == Shed:
		c.limiter.shed(now, int(call.inFlight))
	case s.Result == OK, s.Latency > c.limiter.expected(now):
		c.limiter.sample(now, call.at, s)
	}
}

// Gone ends a call whose caller gave up, queued or running, without a sample.
// Of Done and Gone for the same call only the first has an effect; a node that
// measured the cancelled call uses Done with Cancelled.
func (c *Controller) Gone(now time.Duration, call mesh.CallID) {
	i, ok := c.queue.index[call]
	if !ok {
		return
	}
	if c.queue.calls[i].running {
		c.left(&c.queue.calls[i])
	} else {
		c.queue.unlink(i)
	}
	c.queue.remove(i)
}

// Next returns one queued call that is to run or to be refused now. The caller
// calls it until the second result is false: after Arrive, Done, Gone, SetSlots
// and Drain, and on every tick.
func (c *Controller) Next(now time.Duration) (QueueDecision, bool) {
	if n := len(c.doomed); n > 0 {
		step := c.doomed[n-1]
		c.doomed = c.doomed[:n-1]
		return step, true
	}
	if c.queue.queued == 0 {
		return QueueDecision{}, false
	}
	if c.draining {
		return c.refuse(c.oldest(), outcome.Draining), true
	}
	c.tick(now)
	if c.cfg.Policy == PolicyFull {
		if i := c.overdue(now); i != none {
			return c.refuse(i, outcome.QueueTimeout), true
		}
	}
	if !c.room(c.allowed()) {
		c.noteBlocked()
		return QueueDecision{}, false
	}
	i := c.head()
	if i == none {
		return QueueDecision{}, false
	}
	call := &c.queue.calls[i]
	if c.late(now, call.deadline) {
		return c.refuse(i, outcome.DeadlineExceeded), true
	}
	c.queue.unlink(i)
	step := QueueDecision{Call: call.id, Decision: Run}
	c.run(now, i)
	return step, true
}

// head returns the queued call to run next, or none. A slot that the upstream
// has not proven yet goes to the least important class that waits. A critical
// call tries it only once critical calls wait longer than the target; without
// that the limit could never grow while only critical calls are left.
func (c *Controller) head() int32 {
	if c.cfg.Policy != PolicyFull {
		return c.oldest()
	}
	i := c.queue.first(&c.newest, mesh.ClassCritical)
	if c.room(c.allowedFor(c.queue.calls[i].class)) {
		return i
	}
	for class := mesh.Class(mesh.NumClasses - 1); class > mesh.ClassCritical; class-- {
		if less := c.queue.first(&c.newest, class); less != none {
			return less
		}
	}
	if c.standing[mesh.ClassCritical].above < 0 && !c.newest[mesh.ClassCritical] {
		return none
	}
	return i
}

// oldest returns the queued call that arrived first.
func (c *Controller) oldest() int32 {
	first := none
	for class := range c.queue.ages {
		i := c.queue.ages[class].head
		if i != none && (first == none || c.queue.calls[i].at < c.queue.calls[first].at) {
			first = i
		}
	}
	return first
}

// gap returns the expected time between two completions.
func (c *Controller) gap(now time.Duration) time.Duration {
	return c.limiter.expected(now) / time.Duration(max(c.allowed(), 1))
}

// overdue returns a call that has waited too long in a standing queue, or none.
// A queue counts as standing once its oldest call has been over the target for
// standingAfter, so a burst is served in order and a lasting overload newest
// first.
func (c *Controller) overdue(now time.Duration) int32 {
	gap := c.gap(now)
	target := max(c.cfg.QueueTarget, targetGaps*gap)
	for class := mesh.NumClasses - 1; class >= 0; class-- {
		s := &c.standing[class]
		i := c.queue.ages[class].head
		if i == none || now-c.queue.calls[i].at <= target {
			s.above = -1
		} else if s.above < 0 {
			s.above = now
		}
		if !c.newest[class] {
			c.newest[class] = s.above >= 0 && now-s.above > standingAfter
			s.dropped = now
		}
		if !c.newest[class] {
			continue
		}
		bound := max(target, min(s.turn(now, c.queue.busy(mesh.Class(class))), boundedWait))
		if i != none && now-c.queue.calls[i].at > bound {
			s.dropped = now
			return i
		}
		if now-s.dropped > standingAfter {
			c.newest[class] = false
		}
	}
	return none
}

func (c *Controller) tick(now time.Duration) {
	if c.cfg.Policy != PolicyFull {
		return
	}
	c.limiter.tick(now, c.busy())
	if !c.room(c.limiter.allowed()) {
		c.cut.idle = false
	}
	c.updateCut(now)
}

// Drain refuses every further arrival and every queued call.
func (c *Controller) Drain() { c.draining = true }

// Cut returns the cut to publish to callers.
func (c *Controller) Cut(now time.Duration) mesh.Cut {
	c.tick(now)
	return c.cut.cut
}

// Load returns the load to publish to callers.
func (c *Controller) Load(now time.Duration) Load {
	l := Load{
		InFlight: c.busy(),
		Queued:   c.queue.queued,
		Service:  c.limiter.expected(now),
		Draining: c.draining,
	}
	if c.cfg.Policy != PolicyNone {
		l.Limit = c.limit()
		if c.inFlight*l.Limit > l.InFlight*c.bound() {
			l.InFlight, l.Limit = c.inFlight, c.bound()
		}
		l.Wait = c.gap(now) * time.Duration(l.Queued)
	}
	return l
}
