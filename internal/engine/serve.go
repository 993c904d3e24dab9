package engine

import (
	"slices"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/ticket"
	"cardamomhatch/internal/timeline"
)

func (n *Node) hopArrived(now time.Duration, ev *ForwardedCallArrived) {
	n.clock.Observe(n.wall(now), timeline.Stamp{Wall: ev.Hop.Wall, Logical: ev.Hop.Logical})
	c := n.newCall(now, ev.Call, fromNode)
	hop := ev.Hop
	c.action = hop.Action
	c.workspace = hop.Workspace
	c.service = hop.Service
	c.class = hop.Class
	c.idempotent = hop.Idempotent
	c.resumed = hop.Resumed
	c.continued = hop.Continued
	c.depth = hop.Depth
	c.deadline = now + hop.Remaining
	c.pool = retry.NewPool(hop.Allowance)
	c.ratio = n.ratioOf(c.service)
	if hop.Ticket != "" {
		c.ticket = hop.Ticket
		n.beginTicket(now, c)
		return
	}
	c.serving = true
	n.serve(now, c)
}

// serve offers a call to the local upstream's admission control.
func (n *Node) serve(now time.Duration, c *call) {
	local := n.members.LocalUpstream(now)
	if c.service != n.cfg.Self.Service || !local.Serving {
		n.notServed(now, c, refusalReason(local.Draining || local.Lapsed))
		return
	}
	if now >= c.deadline {
		n.notServed(now, c, outcome.DeadlineExceeded)
		return
	}
	if c.target == n.cfg.Self.Node {
		n.routing.RecordSent(now, c.target)
		c.sentAt = now
	}
	decision, reason := n.admission.Arrive(now, admission.Request{
		Call: c.id, Action: c.action, Class: c.class, Workspace: c.workspace,
		Deadline: c.deadline, Resumed: c.resumed, Continued: c.continued,
	})
	switch decision {
	case admission.Run:
		n.run(now, c)
	case admission.Queue:
		c.phase = waitsForSlot
	default:
		n.refusedLocally(now, c, reason)
	}
	n.pump(now)
}

func refusalReason(leaving bool) outcome.Reason {
	if leaving {
		return outcome.Draining
	}
	return outcome.NoUpstream
}

// notServed ends the attempt of a call that never reached admission.
func (n *Node) notServed(now time.Duration, c *call, reason outcome.Reason) {
	if c.target == n.cfg.Self.Node {
		n.routing.RecordSent(now, c.target)
		c.sentAt = now
	}
	n.refusedLocally(now, c, reason)
}

// refusedLocally ends an attempt that the local admission control refused.
func (n *Node) refusedLocally(now time.Duration, c *call, reason outcome.Reason) {
	n.attemptOver(now, c, n.notRun(reason), true)
}

func (n *Node) notRun(reason outcome.Reason) outcome.Refusal {
	return n.refusal(outcome.NotRun, reason, retryAfterOverload)
}

// run sends a call to the local upstream.
func (n *Node) run(now time.Duration, c *call) {
	c.phase = waitsForUpstream
	c.runAt = now
	c.downstream = 0
	for i := 0; i < len(c.token); i += 8 {
		word := n.random.Uint64()
		for j := 0; j < 8; j++ {
			c.token[i+j] = byte(word >> (8 * j))
		}
	}
	n.running[c.token] = c
	n.record(now, timeline.Started, c, outcome.None, int64(c.attempt))
	n.emit(Effect{Kind: Run, At: now, Call: c.id, Attempt: c.attempt, Token: c.token, Remaining: c.deadline - now,
		Hop: Hop{Workspace: c.workspace, Service: c.service, Action: c.action}})
}

// pump executes what admission decides about queued calls.
func (n *Node) pump(now time.Duration) {
	if n.pumping {
		return
	}
	n.pumping = true
	defer func() { n.pumping = false }()
	for {
		step, ok := n.admission.Next(now)
		if !ok {
			return
		}
		c := n.calls[step.Call]
		if c == nil || c.phase != waitsForSlot {
			n.admission.Cancel(now, step.Call)
			continue
		}
		if step.Decision == admission.Run && !n.members.LocalUpstream(now).Lapsed {
			n.run(now, c)
			continue
		}
		if step.Decision == admission.Run {
			n.admission.Cancel(now, step.Call)
			step.Reason = outcome.Draining
		}
		n.refusedLocally(now, c, step.Reason)
	}
}

// runOver ends a run at the local upstream.
func (n *Node) runOver(now time.Duration, c *call, result admission.Result) {
	delete(n.running, c.token)
	c.token = Token{}
	if len(c.children) > 0 {
		c.downstream += now - c.downstreamSince
		c.downstreamSince = now
	}
	n.admission.Done(now, c.id, admission.Sample{
		Latency: now - c.runAt, Downstream: c.downstream, Result: result,
	})
}

// answered handles the header of an answer from a peer or the local upstream.
func (n *Node) answered(now time.Duration, ev *ResponseReceived) {
	c := n.calls[ev.Call]
	if c == nil || c.attempt != ev.Attempt || (c.phase != waitsForPeer && c.phase != waitsForUpstream) {
		return
	}
	if c.phase == waitsForUpstream {
		n.upstreamAnswered(now, c, ev)
		return
	}
	n.peerAnswered(now, c, ev)
}

func (n *Node) upstreamAnswered(now time.Duration, c *call, ev *ResponseReceived) {
	refused := ev.Status == statusTooManyRequests || ev.Status == statusUnavailable
	if ev.NotRun {
		n.runOver(now, c, admission.Shed)
		n.attemptOver(now, c, n.notRun(outcome.Overloaded), ev.Replayable)
		n.pump(now)
		return
	}
	c.shed = refused
	c.failed = ev.Status >= statusServerError
	if c.failed && c.origin != fromNode && n.mayRetryAnswer(now, c, ev) {
		n.runOver(now, c, resultOf(c, true))
		n.pump(now)
		n.retryLater(now, c, 0)
		return
	}
	n.relay(now, c)
}

// The HTTP statuses that decide on admission and retries.
const (
	statusTooManyRequests = 429
	statusServerError     = 500
	statusUnavailable     = 503
)

func (n *Node) peerAnswered(now time.Duration, c *call, ev *ResponseReceived) {
	delete(n.control.unreachable, c.target)
	if ev.Load != nil {
		c.budget().Return(min(ev.Load.Returned, c.lent))
		c.lent = 0
		if !c.redirected {
			n.routing.ObserveCut(now, c.service, ev.Load.Cut)
		}
	}
	c.report = reportOf(ev.Load)
	if ev.Refusal != nil {
		n.attemptOver(now, c, *ev.Refusal, ev.Replayable)
		return
	}
	c.failed = ev.Status >= statusServerError
	if c.failed && n.mayRetryAnswer(now, c, ev) {
		n.endAttempt(now, c, routing.Failed)
		n.retryLater(now, c, 0)
		return
	}
	n.relay(now, c)
}

// mayRetryAnswer reports whether an error answer of an upstream is discarded in
// favour of another attempt.
func (n *Node) mayRetryAnswer(now time.Duration, c *call, ev *ResponseReceived) bool {
	earlier := c.ranAs
	c.ranAs = worse(c.ranAs, outcome.RanFailed)
	if !ev.Replayable || c.redirected || n.cfg.Policy == admission.PolicyNone {
		return false
	}
	v := n.decide(now, c, outcome.Refusal{Execution: outcome.RanFailed, Reason: outcome.UpstreamFailed}, earlier)
	return v.Retry
}

// relay passes the answer of the current attempt on.
func (n *Node) relay(now time.Duration, c *call) {
	remote := c.phase == waitsForPeer
	c.phase = relaying
	c.remoteAnswer = remote
	effect := Effect{Kind: Relay, Call: c.id, Attempt: c.attempt, Store: c.ownsTicket}
	if c.origin == fromNode {
		effect.Load = n.loadReport(now, c)
	}
	if !c.idempotent && c.origin == fromCaller && !n.stopping {
		effect.Ticket = n.tickets.Issue(now, c.workspace)
	}
	n.emit(effect)
}

func (n *Node) relayEnded(now time.Duration, ev *RelayEnded) {
	c := n.calls[ev.Call]
	if c == nil || c.phase != relaying || c.attempt != ev.Attempt {
		return
	}
	failed := c.failed || !ev.Whole
	if c.remoteAnswer {
		n.endAttempt(now, c, relayResult(failed))
	} else {
		n.runOver(now, c, resultOf(c, failed))
		if c.target == n.cfg.Self.Node {
			n.endAttempt(now, c, relayResult(failed))
		}
	}
	n.storeAnswer(now, c, ev)
	n.recordEnd(now, c, ev.Whole)
	n.finish(now, c)
	n.pump(now)
}

func (n *Node) recordEnd(now time.Duration, c *call, whole bool) {
	if whole {
		n.record(now, timeline.Answered, c, outcome.None, (now - c.arrived).Microseconds())
		return
	}
	n.record(now, timeline.Failed, c, outcome.AnswerCut, int64(c.attempt))
}

// storeAnswer reports the answer of a ticket's execution to the book.
func (n *Node) storeAnswer(now time.Duration, c *call, ev *RelayEnded) {
	if !c.ownsTicket {
		return
	}
	c.ownsTicket = false
	if ev.Stored != nil {
		a := ev.Stored
		n.resumeWaiting(now, n.tickets.Finish(now, c.ticket,
			ticket.Answer{Status: a.Status, Header: a.Header, Body: a.Body}))
		return
	}
	r := n.refusal(outcome.Ran, outcome.AnswerNotStored, 0)
	if !ev.Whole {
		r = n.refusal(outcome.RanFailed, outcome.AnswerCut, 0)
	}
	n.resumeWaiting(now, n.tickets.RecordFailure(now, c.ticket, r))
}

func (n *Node) attemptFailed(now time.Duration, ev *AttemptFailed) {
	c := n.calls[ev.Call]
	if c == nil || c.attempt != ev.Attempt {
		return
	}
	r := n.refusal(ev.Execution, ev.Reason, 0)
	if c.redirected {
		// An earlier call with this ticket may have run at its owner.
		r = n.refusal(outcome.MayHaveRun, outcome.TicketOwnerGone, 0)
	}
	if c.phase == waitsForPeer && ev.Reason == outcome.ConnectFailed {
		n.peerUnreachable(now, c.target)
	}
	switch c.phase {
	case waitsForUpstream:
		n.runOver(now, c, admission.Failed)
		n.attemptOver(now, c, r, ev.Replayable)
		n.pump(now)
	case waitsForPeer:
		if ev.Execution == outcome.NotRun {
			c.budget().Return(c.lent)
			c.lent = 0
		}
		n.attemptOver(now, c, r, ev.Replayable)
	}
}

// attemptOver decides what follows an attempt without an answer: another
// attempt or the end of the call.
func (n *Node) attemptOver(now time.Duration, c *call, r outcome.Refusal, replayable bool) {
	if c.target == n.cfg.Self.Node || c.phase == waitsForPeer {
		n.endAttempt(now, c, refusalResult(r))
	}
	earlier := c.ranAs
	c.ranAs = worse(c.ranAs, r.Execution)
	if c.redirected {
		n.fail(now, c, r) // the owner of the ticket has decided
		return
	}
	if c.serving || !replayable || n.cfg.Policy == admission.PolicyNone {
		r.Execution = c.ranAs
		n.fail(now, c, r)
		return
	}
	v := n.decide(now, c, r, earlier)
	if v.Retry {
		n.retryLater(now, c, v.Wait)
		return
	}
	v.Final.Execution = c.ranAs
	n.fail(now, c, n.named(v.Final))
}

func (n *Node) decide(now time.Duration, c *call, r outcome.Refusal, earlier outcome.Execution) retry.Decision {
	return retry.Decide(retry.Attempt{
		Refusal: r, Earlier: earlier, Idempotent: c.idempotent, Now: now, Deadline: c.deadline,
		Pool: c.budget(), Ratio: c.ratio,
	})
}

func (n *Node) retryLater(now time.Duration, c *call, wait time.Duration) {
	n.record(now, timeline.Retried, c, outcome.None, int64(c.attempt))
	c.phase = waitsForRetry
	c.failed = false
	c.retryAt = now + wait
	if wait == 0 {
		n.route(now, c)
	}
}

// endAttempt reports the end of the current attempt to routing.
func (n *Node) endAttempt(now time.Duration, c *call, result routing.Result) {
	if c.redirected {
		return
	}
	n.routing.RecordEnd(now, c.target, routing.Sample{Latency: now - c.sentAt, Result: result, Report: c.report})
	c.report = routing.Report{}
}

// resultOf classifies a finished run for admission.
func resultOf(c *call, failed bool) admission.Result {
	switch {
	case c.shed:
		return admission.Shed
	case failed:
		return admission.Failed
	default:
		return admission.OK
	}
}

// relayResult classifies a relayed answer for routing.
func relayResult(failed bool) routing.Result {
	if failed {
		return routing.Failed
	}
	return routing.OK
}

// refusalResult classifies an attempt without an answer for routing.
func refusalResult(r outcome.Refusal) routing.Result {
	switch r.Reason {
	case outcome.ConnectFailed, outcome.PeerLost, outcome.DeadlineExceeded:
		return routing.Lost
	case outcome.UpstreamFailed, outcome.AnswerCut:
		return routing.Failed
	case outcome.Draining, outcome.NoUpstream:
		return routing.NotServing
	default:
		return routing.Refused
	}
}

func reportOf(l *Load) routing.Report {
	if l == nil {
		return routing.Report{}
	}
	return routing.Report{InFlight: l.InFlight, Limit: l.Limit}
}

// worse combines what is known of two attempts. Ran without a usable answer
// counts as a failure that ran.
func worse(a, b outcome.Execution) outcome.Execution {
	if b == outcome.Ran {
		b = outcome.RanFailed
	}
	return max(a, b)
}

// loadReport returns what a serving node tells the calling node.
func (n *Node) loadReport(now time.Duration, c *call) *Load {
	load := n.admission.Load(now)
	cut := n.admission.Cut(now)
	for _, service := range n.downstreamOf(n.cfg.Self.Service) {
		cut = cut.Tighter(n.routing.Cut(now, service))
	}
	returned := c.pool.Remaining()
	c.pool = retry.Pool{}
	report := n.newLoad()
	*report = Load{InFlight: load.InFlight, Limit: load.Limit, QueueWait: load.Wait, Cut: cut, Returned: returned}
	return report
}

// loadSlab is the number of load reports that are allocated together: one
// report for each serving decision would be its only allocation.
const loadSlab = 64

func (n *Node) newLoad() *Load {
	if len(n.loads) == 0 {
		n.loads = make([]Load, loadSlab)
	}
	report := &n.loads[0]
	n.loads = n.loads[1:]
	return report
}

func (n *Node) callGone(now time.Duration, ev *CallCancelled) {
	c := n.calls[ev.Call]
	if c == nil {
		return
	}
	if c.ownsTicket {
		return // runs on, so that a retry gets its answer
	}
	n.abandon(now, c)
}

// expire ends calls that have passed their deadline and starts due retries.
func (n *Node) expire(now time.Duration) {
	n.due = n.due[:0]
	for id, c := range n.calls {
		if now >= c.deadline && c.phase != relaying || c.phase == waitsForRetry && now >= c.retryAt {
			n.due = append(n.due, id)
		}
	}
	slices.Sort(n.due) // map order must not influence effects
	for _, id := range n.due {
		n.expireCall(now, id)
	}
}

func (n *Node) expireCall(now time.Duration, id mesh.CallID) {
	c := n.calls[id]
	switch {
	case c == nil:
	case now < c.deadline:
		n.route(now, c)
	default:
		n.timeOut(now, c)
	}
}

func (n *Node) timeOut(now time.Duration, c *call) {
	execution := worse(c.ranAs, c.executionIfStopped())
	if n.attemptOutstanding(c) {
		n.endAttempt(now, c, routing.Lost)
	}
	switch c.phase {
	case waitsForPeer:
		n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	case waitsForUpstream:
		n.runOver(now, c, admission.Failed)
		n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	case waitsForSlot:
		n.admission.Cancel(now, c.id)
	case waitsForCredit:
		n.quota.Cancel(c.workspace, c.id)
	case waitsForTicket:
		n.tickets.Gone(c.ticket, c.id)
		execution = outcome.MayHaveRun
	}
	n.refuse(now, c, execution, outcome.DeadlineExceeded, 0)
	n.pump(now)
}
