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

// Retry-After values of refusals decided here.
const (
	retryAfterOverRate = time.Second
	retryAfterOverload = 500 * time.Millisecond
	retryAfterStale    = time.Second
)

// MaxDepth is the longest chain of calls of one customer action.
const MaxDepth = 15

// authenticate checks a caller's key and that this node's keys are current.
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
	if n.control.handedOver && ev.Ticket == "" {
		n.refuseArrival(now, ev, outcome.Draining)
		return
	}
	c := n.newCall(now, ev.Call, fromCaller)
	c.action = mesh.ActionID(n.random.Uint64())
	c.workspace = workspace
	c.service = route.Service
	c.class = route.Class
	c.idempotent = route.Idempotent
	c.deadline = now + shorter(route.Timeout, ev.Timeout)
	c.pool = retry.NewPool(n.cfg.Allowance)
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

// refuseArrival refuses a call before its ticket was looked up. An earlier call
// with the same ticket may have run, so "not run" would not be true for it.
func (n *Node) refuseArrival(now time.Duration, ev *CallArrived, r outcome.Reason) {
	execution := outcome.NotRun
	if ev.Ticket != "" {
		execution = outcome.MayHaveRun
	}
	n.refuseEarly(now, ev.Call, execution, r, retryAfterOf(r))
}

// admit checks a call against the load of its service and its workspace's rate.
func (n *Node) admit(now time.Duration, c *call) {
	if !n.routing.Cut(now, c.service).Admits(c.class, c.action) {
		n.refuse(now, c, outcome.NotRun, outcome.Overloaded, retryAfterOverload)
		return
	}
	n.takeCredit(now, c)
}

func shorter(limit, asked time.Duration) time.Duration {
	if asked > 0 && asked < limit {
		return asked
	}
	return limit
}

func retryAfterOf(r outcome.Reason) time.Duration {
	if r == outcome.KeysStale || r == outcome.NoConfiguration {
		return retryAfterStale
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

// takeCredit charges the call to its workspace's rate.
func (n *Node) takeCredit(now time.Duration, c *call) {
	if n.cfg.Policy == admission.PolicyNone {
		n.admitted(now, c)
		return
	}
	n.creditDecided(now, c, n.quota.Take(now, c.workspace, c.id))
}

func (n *Node) creditDecided(now time.Duration, c *call, r quota.Result) {
	switch r {
	case quota.Taken:
		n.admitted(now, c)
	case quota.Waiting:
		c.phase = waitsForCredit
	case quota.OverRate:
		n.refuse(now, c, outcome.NotRun, outcome.OverRate, retryAfterOverRate)
	default:
		n.refuse(now, c, outcome.NotRun, outcome.NoCredit, retryAfterStale)
	}
}

// admitted continues a call that passed the checks at its entry node.
func (n *Node) admitted(now time.Duration, c *call) {
	n.record(now, timeline.Admitted, c, outcome.None, int64(c.class))
	n.route(now, c)
}

// beginTicket looks up the ticket of a call before anything can refuse it: "not
// run" would be wrong if an earlier call with this ticket has run.
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
		n.fail(now, c, n.named(b.Refusal))
	}
}

func (n *Node) named(r outcome.Refusal) outcome.Refusal {
	if r.Node == "" {
		r.Node = string(n.cfg.Self.Node.Host)
	}
	return r
}

func (n *Node) replay(now time.Duration, c *call, a ticket.Answer) {
	n.record(now, timeline.Replayed, c, outcome.None, 0)
	n.emit(Effect{Kind: Replay, Call: c.id, Answer: &Answer{Status: a.Status, Header: a.Header, Body: a.Body}})
	n.finish(now, c)
}

// redirect forwards a call to the node that owns its ticket.
func (n *Node) redirect(now time.Duration, c *call, owner mesh.NodeID) {
	member, ok := n.members.Lookup(owner)
	if successor, left := n.members.Successor(owner); !ok && left {
		member, ok = n.members.Lookup(successor)
	}
	if !ok || c.origin == fromNode {
		n.refuse(now, c, outcome.MayHaveRun, outcome.TicketOwnerGone, 0)
		return
	}
	c.redirected = true
	n.send(now, c, member)
}

// settleTicket reports the end of an execution to the ticket book.
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

// resumeWaiting lets calls that waited for the same ticket continue.
func (n *Node) resumeWaiting(now time.Duration, waiting []mesh.CallID) {
	for _, id := range waiting {
		if c := n.calls[id]; c != nil && c.phase == waitsForTicket {
			n.beginTicket(now, c)
		}
	}
}

func (n *Node) childArrived(now time.Duration, ev *DownstreamCallArrived) {
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
	c.resumed = true
	c.continued = parent.continued || parent.progressed
	c.depth = parent.depth + 1
	c.deadline = parent.deadline
	if edge.timeout > 0 {
		c.deadline = min(c.deadline, now+edge.timeout)
	}
	c.ratio = &edge.ratio
	parent.childStarted(now, c)
	n.admission.SetDownstreamWait(parent.id, true)
	n.route(now, c)
	n.pump(now)
}

// route sends the next attempt of a call to a node of its service.
func (n *Node) route(now time.Duration, c *call) {
	if now >= c.deadline {
		n.refuse(now, c, c.ranAs, outcome.DeadlineExceeded, 0)
		return
	}
	if c.attempt == 0 {
		c.ratio.RecordFirst(now)
	}
	member, reason := n.routing.Pick(now, c.service, c.class, c.target)
	if reason != outcome.None {
		n.refuse(now, c, c.ranAs, reason, retryAfterOverload)
		return
	}
	if member.Node == n.cfg.Self.Node {
		c.target = member.Node
		c.attempt++
		n.serve(now, c)
		return
	}
	n.send(now, c, member)
}

// send forwards a call to another node.
func (n *Node) send(now time.Duration, c *call, member mesh.Member) {
	c.phase = waitsForPeer
	c.attempt++
	c.sentAt = now
	c.target = member.Node
	c.lent = c.budget().Lend(n.partToLend(c))
	if !c.redirected {
		n.routing.RecordSent(now, member.Node)
	}
	hop := Hop{
		Action: c.action, Workspace: c.workspace, Service: c.service, Class: c.class,
		Remaining: c.deadline - now, Allowance: c.lent, Attempt: c.attempt, Depth: c.depth,
		Resumed: c.resumed, Continued: c.continued, Idempotent: c.idempotent,
	}
	if c.redirected {
		hop.Ticket = c.ticket
	}
	stamp := n.clock.Now(n.wall(now))
	hop.Wall, hop.Logical = stamp.Wall, stamp.Logical
	n.record(now, timeline.Started, c, outcome.None, int64(c.attempt))
	n.emit(Effect{Kind: Forward, At: now, Call: c.id, Attempt: c.attempt, Member: member, Hop: hop})
}

// parallelChildren is the number of downstream calls that are expected to share an
// allowance at the same time.
const parallelChildren = 2

// partToLend returns how much of the allowance travels with an attempt. The
// entry node keeps one retry for the case that the attempt is lost together
// with its report; parallel downstream calls leave half for each other.
func (n *Node) partToLend(c *call) int {
	if c.origin == fromUpstream {
		return c.budget().ChildShare(parallelChildren)
	}
	return max(c.budget().Remaining()-1, 0)
}
