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

func (n *Node) forwardedCallArrived(now time.Duration, ev *ForwardedCallArrived) {
	n.clock.Observe(n.unixNano(now), timeline.Stamp{Wall: ev.Hop.Wall, Logical: ev.Hop.Logical})
	c := n.newCall(now, ev.Call, fromNode)
	hop := ev.Hop
	c.action = hop.Action
	c.workspace = hop.Workspace
	c.service = hop.Service
	c.class = hop.Class
	c.idempotent = hop.Idempotent
	c.actionAdmitted = hop.Resumed
	c.actionProgressed = hop.Continued
	c.depth = hop.Depth
	c.deadline = now + hop.Remaining
	c.pool = retry.NewPool(hop.Allowance)
	c.ratio = n.ratioOf(c.service)
	if hop.Ticket != "" {
		// The peer has redirected the call to the holder of its ticket and does not retry it.
		c.ticket = hop.Ticket
		n.beginTicket(now, c)
		return
	}
	c.retriedByPeer = true
	n.serve(now, c)
}

// serve passes a call to the admission control of the local upstream.
func (n *Node) serve(now time.Duration, c *call) {
	local := n.members.LocalUpstream(now)
	if c.service != n.cfg.Self.Service || !local.Serving {
		n.refuseBeforeAdmission(now, c, notServingReason(local.Draining || local.Lapsed))
		return
	}
	if now >= c.deadline {
		n.refuseBeforeAdmission(now, c, outcome.DeadlineExceeded)
		return
	}
	if c.target == n.cfg.Self.Node { // picked by the routing table here, not by that of a peer
		n.routing.RecordSent(now, c.target)
		c.sentAt = now
	}
	decision, reason := n.admission.Arrive(now, admission.Request{
		Call: c.id, Action: c.action, Class: c.class, Workspace: c.workspace,
		Deadline: c.deadline, Resumed: c.actionAdmitted, Continued: c.actionProgressed,
	})
	switch decision {
	case admission.Run:
		n.run(now, c)
	case admission.Queue:
		c.phase = waitsForSlot
	default:
		n.refuseAttempt(now, c, reason)
	}
	n.dispatchQueued(now)
}

func notServingReason(drainingOrLapsed bool) outcome.Reason {
	if drainingOrLapsed {
		return outcome.Draining
	}
	return outcome.NoUpstream
}

// refuseBeforeAdmission refuses an attempt that has not reached admission control. The
// routing table must know its start, since afterFailedAttempt reports its end.
func (n *Node) refuseBeforeAdmission(now time.Duration, c *call, reason outcome.Reason) {
	if c.target == n.cfg.Self.Node {
		n.routing.RecordSent(now, c.target)
		c.sentAt = now
	}
	n.refuseAttempt(now, c, reason)
}

// refuseAttempt ends an attempt that this node refuses to run. The call may be retried.
func (n *Node) refuseAttempt(now time.Duration, c *call, reason outcome.Reason) {
	n.afterFailedAttempt(now, c, n.notRunRefusal(reason), true)
}

func (n *Node) notRunRefusal(reason outcome.Reason) outcome.Refusal {
	return n.refusal(outcome.NotRun, reason, retryAfterOverload)
}

// run sends a call to the local upstream.
func (n *Node) run(now time.Duration, c *call) {
	c.phase = waitsForUpstream
	c.runStart = now
	c.downstreamTime = 0
	for i := 0; i < len(c.token); i += 8 {
		word := n.random.Uint64()
		for j := 0; j < 8; j++ {
			c.token[i+j] = byte(word >> (8 * j))
		}
	}
	n.running[c.token] = c
	n.recordCallEvent(now, timeline.Started, c, outcome.None, int64(c.attempt))
	n.emit(Effect{Kind: Run, At: now, Call: c.id, Attempt: c.attempt, Token: c.token, Remaining: c.deadline - now,
		Hop: Hop{Workspace: c.workspace, Service: c.service, Action: c.action}})
}

// dispatchQueued runs or refuses queued calls as decided by admission control.
func (n *Node) dispatchQueued(now time.Duration) {
	if n.dispatching {
		return
	}
	n.dispatching = true
	defer func() { n.dispatching = false }()
	for {
		next, ok := n.admission.Next(now)
		if !ok {
			return
		}
		c := n.calls[next.Call]
		if c == nil || c.phase != waitsForSlot {
			n.admission.Cancel(now, next.Call)
			continue
		}
		// An upstream that no longer announces itself gets no queued calls; a draining one does.
		if next.Decision == admission.Run && !n.members.LocalUpstream(now).Lapsed {
			n.run(now, c)
			continue
		}
		if next.Decision == admission.Run {
			n.admission.Cancel(now, next.Call)
			next.Reason = outcome.Draining
		}
		n.refuseAttempt(now, c, next.Reason)
	}
}

// finishRun ends a run at the local upstream and reports it to admission control.
func (n *Node) finishRun(now time.Duration, c *call, result admission.Result) {
	delete(n.running, c.token)
	c.token = Token{}
	if len(c.children) > 0 {
		c.downstreamTime += now - c.downstreamSince
		c.downstreamSince = now
	}
	n.admission.Done(now, c.id, admission.Sample{
		Latency: now - c.runStart, Downstream: c.downstreamTime, Result: result,
	})
}

// responseReceived handles a response header from a peer or the local upstream.
func (n *Node) responseReceived(now time.Duration, ev *ResponseReceived) {
	c := n.calls[ev.Call]
	if c == nil || c.attempt != ev.Attempt || (c.phase != waitsForPeer && c.phase != waitsForUpstream) {
		return
	}
	if c.phase == waitsForUpstream {
		n.upstreamResponded(now, c, ev)
		return
	}
	n.peerResponded(now, c, ev)
}

func (n *Node) upstreamResponded(now time.Duration, c *call, ev *ResponseReceived) {
	shed := ev.Status == statusTooManyRequests || ev.Status == statusUnavailable
	if ev.NotRun {
		n.finishRun(now, c, admission.Shed)
		n.afterFailedAttempt(now, c, n.notRunRefusal(outcome.Overloaded), ev.Replayable)
		n.dispatchQueued(now)
		return
	}
	c.shed = shed
	c.failed = ev.Status >= statusServerError
	// The peer that forwarded a call here decides on its retries.
	if c.failed && c.origin != fromNode && n.mayRetryResponse(now, c, ev) {
		n.finishRun(now, c, runResult(c, true))
		n.dispatchQueued(now)
		n.retryLater(now, c, 0)
		return
	}
	n.relay(now, c)
}

// The HTTP status codes that affect admission and retries.
const (
	statusTooManyRequests = 429
	statusServerError     = 500
	statusUnavailable     = 503
)

func (n *Node) peerResponded(now time.Duration, c *call, ev *ResponseReceived) {
	delete(n.control.unreachableSince, c.target)
	if ev.Load != nil {
		c.retryPool().Return(min(ev.Load.Returned, c.lent))
		c.lent = 0
		if !c.redirected {
			n.routing.ObserveCut(now, c.service, ev.Load.Cut)
		}
	}
	c.report = toRoutingReport(ev.Load)
	if ev.Refusal != nil {
		n.afterFailedAttempt(now, c, *ev.Refusal, ev.Replayable)
		return
	}
	c.failed = ev.Status >= statusServerError
	if c.failed && n.mayRetryResponse(now, c, ev) {
		n.reportAttempt(now, c, routing.Failed)
		n.retryLater(now, c, 0)
		return
	}
	n.relay(now, c)
}

// mayRetryResponse decides whether an error response of an upstream is to be discarded
// and the call retried; a retry is then taken from the pool. It records that the call
// has run and failed. A redirected call is not retried, since only the owner of its
// ticket may run it.
func (n *Node) mayRetryResponse(now time.Duration, c *call, ev *ResponseReceived) bool {
	earlier := c.knownExecution
	c.knownExecution = mergeExecution(c.knownExecution, outcome.RanFailed)
	if !ev.Replayable || c.redirected || n.cfg.Policy == admission.PolicyNone {
		return false
	}
	decision := n.decideRetry(now, c, outcome.Refusal{Execution: outcome.RanFailed, Reason: outcome.UpstreamFailed}, earlier)
	return decision.Retry
}

// relay passes on the response of the current attempt. A caller whose call was not
// idempotent also gets a ticket for its next one.
func (n *Node) relay(now time.Duration, c *call) {
	remote := c.phase == waitsForPeer
	c.phase = relaying
	c.remoteResponse = remote
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
	failed := c.failed || !ev.Complete
	if c.remoteResponse {
		n.reportAttempt(now, c, relayResult(failed))
	} else {
		n.finishRun(now, c, runResult(c, failed))
		if c.target == n.cfg.Self.Node {
			n.reportAttempt(now, c, relayResult(failed))
		}
	}
	n.storeResponse(now, c, ev)
	n.recordResponseEnd(now, c, ev.Complete)
	n.finish(now, c)
	n.dispatchQueued(now)
}

func (n *Node) recordResponseEnd(now time.Duration, c *call, complete bool) {
	if complete {
		n.recordCallEvent(now, timeline.Answered, c, outcome.None, (now - c.arrived).Microseconds())
		return
	}
	n.recordCallEvent(now, timeline.Failed, c, outcome.AnswerCut, int64(c.attempt))
}

// storeResponse reports the response of a call that owns its ticket to the ticket
// registry.
func (n *Node) storeResponse(now time.Duration, c *call, ev *RelayEnded) {
	if !c.ownsTicket {
		return
	}
	c.ownsTicket = false
	if ev.Stored != nil {
		stored := ev.Stored
		n.resumeWaiting(now, n.tickets.Finish(now, c.ticket,
			ticket.Answer{Status: stored.Status, Header: stored.Header, Body: stored.Body}))
		return
	}
	r := n.refusal(outcome.Ran, outcome.AnswerNotStored, 0)
	if !ev.Complete {
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
		// An earlier call with this ticket may have run at the ticket's owner.
		r = n.refusal(outcome.MayHaveRun, outcome.TicketOwnerGone, 0)
	}
	if c.phase == waitsForPeer && ev.Reason == outcome.ConnectFailed {
		n.peerUnreachable(now, c.target)
	}
	switch c.phase {
	case waitsForUpstream:
		n.finishRun(now, c, admission.Failed)
		n.afterFailedAttempt(now, c, r, ev.Replayable)
		n.dispatchQueued(now)
	case waitsForPeer:
		if ev.Execution == outcome.NotRun {
			c.retryPool().Return(c.lent)
			c.lent = 0
		}
		n.afterFailedAttempt(now, c, r, ev.Replayable)
	}
}

// afterFailedAttempt retries a call, or ends it, after an attempt without a usable
// response.
func (n *Node) afterFailedAttempt(now time.Duration, c *call, r outcome.Refusal, replayable bool) {
	if c.target == n.cfg.Self.Node || c.phase == waitsForPeer {
		n.reportAttempt(now, c, refusalResult(r))
	}
	earlier := c.knownExecution
	c.knownExecution = mergeExecution(c.knownExecution, r.Execution)
	if c.redirected {
		n.refuseWith(now, c, r) // only the owner of the ticket may run the call
		return
	}
	if c.retriedByPeer || !replayable || n.cfg.Policy == admission.PolicyNone {
		r.Execution = c.knownExecution
		n.refuseWith(now, c, r)
		return
	}
	decision := n.decideRetry(now, c, r, earlier)
	if decision.Retry {
		n.retryLater(now, c, decision.Wait)
		return
	}
	decision.Final.Execution = c.knownExecution
	n.refuseWith(now, c, n.withNode(decision.Final))
}

func (n *Node) decideRetry(now time.Duration, c *call, r outcome.Refusal, earlier outcome.Execution) retry.Decision {
	return retry.Decide(retry.Attempt{
		Refusal: r, Earlier: earlier, Idempotent: c.idempotent, Now: now, Deadline: c.deadline,
		Pool: c.retryPool(), Ratio: c.ratio,
	})
}

func (n *Node) retryLater(now time.Duration, c *call, wait time.Duration) {
	n.recordCallEvent(now, timeline.Retried, c, outcome.None, int64(c.attempt))
	c.phase = waitsForRetry
	c.failed = false
	c.retryAt = now + wait
	if wait == 0 {
		n.route(now, c)
	}
}

// reportAttempt reports the end of the current attempt to the routing table.
func (n *Node) reportAttempt(now time.Duration, c *call, result routing.Result) {
	if c.redirected {
		return
	}
	n.routing.RecordEnd(now, c.target, routing.Sample{Latency: now - c.sentAt, Result: result, Report: c.report})
	c.report = routing.Report{}
}

// runResult returns the result of a finished run for admission control.
func runResult(c *call, failed bool) admission.Result {
	switch {
	case c.shed:
		return admission.Shed
	case failed:
		return admission.Failed
	default:
		return admission.OK
	}
}

// relayResult returns the result of a relayed response for the routing table.
func relayResult(failed bool) routing.Result {
	if failed {
		return routing.Failed
	}
	return routing.OK
}

// refusalResult returns the result of an attempt without a usable response for the
// routing table.
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

func toRoutingReport(l *Load) routing.Report {
	if l == nil {
		return routing.Report{}
	}
	return routing.Report{InFlight: l.InFlight, Limit: l.Limit}
}

// mergeExecution combines the executions of earlier attempts and of the latest one. If
// the latest attempt ran, its response was not usable, so it counts as RanFailed. The
// maximum is right, since the values are ordered NotRun, MayHaveRun, RanFailed.
func mergeExecution(earlier, latest outcome.Execution) outcome.Execution {
	if latest == outcome.Ran {
		latest = outcome.RanFailed
	}
	return max(earlier, latest)
}

// loadReport returns the load report for the calling node. The report gives back
// the unused retries of the call, which leaves its pool empty.
func (n *Node) loadReport(now time.Duration, c *call) *Load {
	load := n.admission.Load(now)
	cut := n.admission.Cut(now)
	for _, service := range n.downstreamOf(n.cfg.Self.Service) {
		cut = cut.Tighter(n.routing.Cut(now, service))
	}
	returned := c.pool.Remaining()
	c.pool = retry.Pool{}
	report := n.newLoad()
	*report = Load{InFlight: load.InFlight, Limit: load.Limit, QueueWait: load.QueueWait, Cut: cut, Returned: returned}
	return report
}

// loadSlabSize is the number of load reports that are allocated together. Otherwise
// the report would be the only allocation of each serving decision.
const loadSlabSize = 64

func (n *Node) newLoad() *Load {
	if len(n.loadSlab) == 0 {
		n.loadSlab = make([]Load, loadSlabSize)
	}
	report := &n.loadSlab[0]
	n.loadSlab = n.loadSlab[1:]
	return report
}

func (n *Node) callCancelled(now time.Duration, ev *CallCancelled) {
	c := n.calls[ev.Call]
	if c == nil {
		return
	}
	if c.ownsTicket {
		return // the call continues, so that a retry with the ticket gets the response
	}
	n.abandon(now, c)
}

// handleDueCalls ends calls whose deadline has passed and starts retries that are due. A
// response that is being relayed is ended by package node.
func (n *Node) handleDueCalls(now time.Duration) {
	n.dueCalls = n.dueCalls[:0]
	for id, c := range n.calls {
		if now >= c.deadline && c.phase != relaying || c.phase == waitsForRetry && now >= c.retryAt {
			n.dueCalls = append(n.dueCalls, id)
		}
	}
	slices.Sort(n.dueCalls) // effects must not depend on the iteration order of the map
	for _, id := range n.dueCalls {
		n.handleDueCall(now, id)
	}
}

func (n *Node) handleDueCall(now time.Duration, id mesh.CallID) {
	c := n.calls[id]
	switch {
	case c == nil:
	case now < c.deadline:
		n.route(now, c)
	default:
		n.timeOut(now, c)
	}
}

// timeOut ends a call whose deadline has passed.
func (n *Node) timeOut(now time.Duration, c *call) {
	execution := mergeExecution(c.knownExecution, c.executionIfAborted())
	if n.attemptOutstanding(c) {
		n.reportAttempt(now, c, routing.Lost)
	}
	switch c.phase {
	case waitsForPeer:
		n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	case waitsForUpstream:
		n.finishRun(now, c, admission.Failed)
		n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	case waitsForSlot:
		n.admission.Cancel(now, c.id)
	case waitsForCredit:
		n.quota.Cancel(c.workspace, c.id)
	case waitsForTicket:
		n.tickets.CancelWait(c.ticket, c.id)
		execution = outcome.MayHaveRun // another call with the ticket may be running
	}
	n.refuse(now, c, execution, outcome.DeadlineExceeded, 0)
	n.dispatchQueued(now)
}
