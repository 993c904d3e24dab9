package engine

import (
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/quota"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/ticket"
	"cardamomhatch/internal/timeline"
)

// Retry-After values of refusals by this node.
const (
	retryAfterOverRate    = time.Second
	retryAfterOverload    = 500 * time.Millisecond
	retryAfterUnavailable = time.Second // no configuration, current keys or quota credit is available
)

// MaxDepth is the maximum depth of downstream calls of one action.
const MaxDepth = 15

// authenticate checks a caller's key, and that the key table of this node is current.
func (n *Node) authenticate(now time.Duration, secret []byte) (mesh.Workspace, outcome.Reason) {
	if !n.configured() {
		return "", outcome.NoConfiguration
	}
	workspace, reason := n.keys.Check(secret)
	if reason != outcome.None {
		return "", reason
	}
	if now >= n.control.freshUntil {
		return "", outcome.KeysStale
	}
	return workspace, outcome.None
}

func (n *Node) callArrived(now time.Duration, ev *CallArrived) {
	workspace, reason := n.authenticate(now, ev.Secret)
	if reason != outcome.None {
		n.refuseArrival(now, ev, reason)
		return
	}
	route, ok := n.routes.match(ev.Method, ev.Path)
	if !ok {
		n.refuseArrival(now, ev, outcome.NoRoute)
		return
	}
	// Calls with a ticket are still redirected to the successor.
	if n.control.handoverStarted && ev.Ticket == "" {
		n.refuseArrival(now, ev, outcome.Draining)
		return
	}
	c := n.newCall(now, ev.Call, fromCaller)
	c.action = mesh.ActionID(n.random.Uint64())
	c.workspace = workspace
	c.service = route.Service
	c.class = route.Class
	c.idempotent = route.Idempotent
	c.deadline = now + effectiveTimeout(route.Timeout, ev.Timeout)
	c.pool = retry.NewPool(n.cfg.RetryAllowance)
	c.ratio = n.ratioOf(c.service)
	if !route.Idempotent {
		c.ticket = ev.Ticket
	}
	if c.ticket != "" {
		n.beginTicket(now, c)
		return
	}
	n.admit(now, c)
}

// refuseArrival refuses a call before its ticket is looked up. If the call has a
// ticket, it is refused as MayHaveRun, since an earlier call with the same ticket
// may have run.
func (n *Node) refuseArrival(now time.Duration, ev *CallArrived, r outcome.Reason) {
	execution := outcome.NotRun
	if ev.Ticket != "" {
		execution = outcome.MayHaveRun
	}
	n.refuseEarly(now, ev.Call, execution, r, retryAfterOf(r))
}

// admit checks a call against the load-shedding threshold of its service and the
// rate of its workspace, and routes or refuses it.
func (n *Node) admit(now time.Duration, c *call) {
	if !n.routing.Cut(now, c.service).Admits(c.class, c.action) {
		n.refuse(now, c, outcome.NotRun, outcome.Overloaded, retryAfterOverload)
		return
	}
	n.takeCredit(now, c)
}

func effectiveTimeout(limit, requested time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

func retryAfterOf(r outcome.Reason) time.Duration {
	if r == outcome.KeysStale || r == outcome.NoConfiguration {
		return retryAfterUnavailable
	}
	return 0
}

func (n *Node) ticketRequested(now time.Duration, ev *TicketRequested) {
	workspace, reason := n.authenticate(now, ev.Secret)
	if reason == outcome.None && n.stopping {
		reason = outcome.Draining
	}
	if reason != outcome.None {
		n.refuseEarly(now, ev.Call, outcome.NotRun, reason, retryAfterOf(reason))
		return
	}
	n.emit(Effect{Kind: IssueTicket, Call: ev.Call, Ticket: n.tickets.Issue(now, workspace)})
}

// takeCredit takes quota credit of the workspace for a call. PolicyNone admits every
// call without credit.
func (n *Node) takeCredit(now time.Duration, c *call) {
	if n.cfg.Policy == admission.PolicyNone {
		n.routeAdmitted(now, c)
		return
	}
	n.creditDecided(now, c, n.quota.Take(now, c.workspace, c.id))
}

func (n *Node) creditDecided(now time.Duration, c *call, r quota.Result) {
	switch r {
	case quota.Taken:
		n.routeAdmitted(now, c)
	case quota.Waiting:
		c.phase = waitsForCredit
	case quota.OverRate:
		n.refuse(now, c, outcome.NotRun, outcome.OverRate, retryAfterOverRate)
	default: // NoCredit: a holder of the shares is unavailable, or there is no share
		n.refuse(now, c, outcome.NotRun, outcome.NoCredit, retryAfterUnavailable)
	}
}

// routeAdmitted records that a call has passed the checks of its entry node, and routes it.
func (n *Node) routeAdmitted(now time.Duration, c *call) {
	n.recordCallEvent(now, timeline.Admitted, c, outcome.None, int64(c.class))
	n.route(now, c)
}

// beginTicket looks up the ticket of a call. This happens before the checks of admit,
// since a refusal as NotRun would be wrong if an earlier call with this ticket has
// run.
func (n *Node) beginTicket(now time.Duration, c *call) {
	b := n.tickets.Begin(now, c.ticket, c.workspace, c.id)
	switch b.Kind {
	case ticket.Execute:
		c.ownsTicket = true
		n.admit(now, c)
	case ticket.Wait:
		c.phase = waitsForTicket
	case ticket.Replay:
		n.replay(now, c, b.Answer)
	case ticket.Forward:
		n.redirect(now, c, b.Node)
	case ticket.Reject:
		n.refuseWith(now, c, n.withNode(b.Refusal))
	}
}

// withNode returns the refusal with this node as its Node if it names none.
func (n *Node) withNode(r outcome.Refusal) outcome.Refusal {
	if r.Node == "" {
		r.Node = string(n.cfg.Self.Node.Host)
	}
	return r
}

func (n *Node) replay(now time.Duration, c *call, a ticket.Answer) {
	n.recordCallEvent(now, timeline.Replayed, c, outcome.None, 0)
	n.emit(Effect{Kind: Replay, Call: c.id, Response: &Response{Status: a.Status, Header: a.Header, Body: a.Body}})
	n.finish(now, c)
}

// redirect forwards a call to the node that owns its ticket, or to the successor of
// an owner that has left.
func (n *Node) redirect(now time.Duration, c *call, owner mesh.NodeID) {
	member, ok := n.members.Lookup(owner)
	if successor, left := n.members.Successor(owner); !ok && left {
		member, ok = n.members.Lookup(successor)
	}
	if !ok || c.origin == fromNode { // one redirect at most, so that calls cannot loop
		n.refuse(now, c, outcome.MayHaveRun, outcome.TicketOwnerGone, 0)
		return
	}
	c.redirected = true
	n.forward(now, c, member)
}

// settleTicket reports to the ticket registry that a call has ended without a
// response.
func (n *Node) settleTicket(now time.Duration, c *call, r outcome.Refusal) {
	if !c.ownsTicket {
		return
	}
	c.ownsTicket = false
	if r.Execution == outcome.NotRun {
		n.resumeWaiting(now, n.tickets.Release(now, c.ticket))
		return
	}
	n.resumeWaiting(now, n.tickets.RecordFailure(now, c.ticket, r))
}

// resumeWaiting looks up the ticket again for calls that waited for another call with
// the same ticket.
func (n *Node) resumeWaiting(now time.Duration, waiting []mesh.CallID) {
	for _, id := range waiting {
		if c := n.calls[id]; c != nil && c.phase == waitsForTicket {
			n.beginTicket(now, c)
		}
	}
}

func (n *Node) downstreamCallArrived(now time.Duration, ev *DownstreamCallArrived) {
	parent := n.running[ev.ParentToken]
	if parent == nil || parent.phase != waitsForUpstream {
		n.refuseEarly(now, ev.Call, outcome.NotRun, outcome.ParentUnknown, 0)
		return
	}
	edge, ok := n.edges[edgeKey{parent.service, ev.Service}]
	if !ok || parent.depth+1 > MaxDepth {
		n.refuseEarly(now, ev.Call, outcome.NotRun, outcome.EdgeUndeclared, 0)
		return
	}
	// Each call beyond callsPerParent costs a retry.
	if _, ok := parent.pool.ChargeCall(edge.index, edge.callsPerParent); !ok && n.cfg.Policy != admission.PolicyNone {
		n.refuseEarly(now, ev.Call, outcome.NotRun, outcome.RetriesExhausted, 0)
		return
	}
	c := n.newCall(now, ev.Call, fromUpstream)
	c.parent = parent
	c.action = parent.action
	c.workspace = parent.workspace
	c.class = parent.class
	c.service = ev.Service
	c.idempotent = edge.idempotent
	c.actionAdmitted = true
	c.actionProgressed = parent.actionProgressed || parent.childResponded
	c.depth = parent.depth + 1
	c.deadline = parent.deadline
	if edge.timeout > 0 {
		c.deadline = min(c.deadline, now+edge.timeout)
	}
	c.ratio = &edge.ratio
	parent.childStarted(now, c)
	n.admission.SetDownstreamWait(parent.id, true)
	n.route(now, c)
	n.dispatchQueued(now)
}

// route starts the next attempt of a call, at this node or another one.
func (n *Node) route(now time.Duration, c *call) {
	if now >= c.deadline {
		n.refuse(now, c, c.knownExecution, outcome.DeadlineExceeded, 0)
		return
	}
	if c.attempt == 0 {
		c.ratio.RecordFirst(now)
	}
	// c.target, the node of the previous attempt, is picked only if there is no other.
	member, reason := n.routing.Pick(now, c.service, c.class, c.target)
	if reason != outcome.None {
		n.refuse(now, c, c.knownExecution, reason, retryAfterOverload)
		return
	}
	if member.Node == n.cfg.Self.Node {
		c.target = member.Node
		c.attempt++
		n.serve(now, c)
		return
	}
	n.forward(now, c, member)
}

// forward sends a call to another node.
func (n *Node) forward(now time.Duration, c *call, member mesh.Member) {
	c.phase = waitsForPeer
	c.attempt++
	c.sentAt = now
	c.target = member.Node
	c.lent = c.retryPool().Lend(n.retriesToLend(c))
	if !c.redirected {
		n.routing.RecordSent(now, member.Node)
	}
	hop := Hop{
		Action: c.action, Workspace: c.workspace, Service: c.service, Class: c.class,
		Remaining: c.deadline - now, Allowance: c.lent, Attempt: c.attempt, Depth: c.depth,
		Resumed: c.actionAdmitted, Continued: c.actionProgressed, Idempotent: c.idempotent,
	}
	if c.redirected {
		hop.Ticket = c.ticket
	}
	stamp := n.clock.Now(n.unixNano(now))
	hop.Wall, hop.Logical = stamp.Wall, stamp.Logical
	n.recordCallEvent(now, timeline.Started, c, outcome.None, int64(c.attempt))
	n.emit(Effect{Kind: Forward, At: now, Call: c.id, Attempt: c.attempt, Member: member, Hop: hop})
}

// assumedParallelCalls is the number of downstream calls that are assumed to share
// the retries of their parent at the same time.
const assumedParallelCalls = 2

// retriesToLend returns how many of the remaining retries the node of an attempt may
// use. The entry node keeps one retry, in case the attempt is lost together with
// its load report, which returns unused retries. A downstream call leaves half of
// the retries to parallel calls.
func (n *Node) retriesToLend(c *call) int {
	if c.origin == fromUpstream {
		return c.retryPool().ChildShare(assumedParallelCalls)
	}
	return max(c.retryPool().Remaining()-1, 0)
}
