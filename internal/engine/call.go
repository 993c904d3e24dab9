package engine

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/timeline"
)

// origin says who a call came from.
type origin uint8

const (
	fromCaller   origin = iota // a customer, on the caller listener
	fromUpstream               // the local upstream, for a parent call
	fromNode                   // another node, which chose this one
)

// phase says what a call waits for.
type phase uint8

const (
	waitsForCredit   phase = iota // an answer from a quota holder
	waitsForTicket                // another execution under the same ticket
	waitsForRetry                 // the time of the next attempt
	waitsForPeer                  // an attempt at another node
	waitsForSlot                  // the local admission queue
	waitsForUpstream              // the local upstream
	relaying                      // the body of the answer is passed on
	ended
)

// call is the state of one call at this node, from arrival to the end of the
// answer.
type call struct {
	id         mesh.CallID
	origin     origin
	phase      phase
	action     mesh.ActionID
	workspace  mesh.Workspace
	service    mesh.Service
	class      mesh.Class
	idempotent bool
	resumed    bool
	continued  bool // an earlier downstream call of the action has been answered
	progressed bool // a downstream call of this call has been answered
	depth      int
	arrived    time.Duration
	deadline   time.Duration

	pool     retry.Pool // unused for calls of the local upstream; see budget
	parent   *call      // for calls of the local upstream
	children []*call    // running downstream calls of the local upstream
	ratio    *retry.Ratio

	attempt    int
	sentAt     time.Duration
	target     mesh.NodeID // node of the current or last attempt
	lent       int         // allowance lent to the current attempt
	retryAt    time.Duration
	redirected bool // forwarded to the owner of its ticket
	serving    bool // another node chose this one; it decides on retries

	ticket     string
	ownsTicket bool // this execution must be reported to the ticket book

	token           Token
	runAt           time.Duration
	downstream      time.Duration // time with a downstream call outstanding
	downstreamSince time.Duration
	shed            bool // the upstream refused the call for load
	failed          bool // the answer being relayed is an error of the upstream
	remoteAnswer    bool // the answer being relayed comes from another node
	report          routing.Report
	ranAs           outcome.Execution // what is known of all ended attempts
}

// budget returns the pool that pays for retries of the call. A call of the
// local upstream shares the pool of its parent.
func (c *call) budget() *retry.Pool {
	if c.parent != nil {
		return c.parent.budget()
	}
	return &c.pool
}

func (n *Node) newCall(now time.Duration, id mesh.CallID, from origin) *call {
	c := n.spare
	if c == nil {
		c = &call{}
	} else {
		n.spare = nil
		children := c.children[:0]
		*c = call{children: children}
	}
	c.id = id
	c.origin = from
	c.arrived = now
	n.calls[id] = c
	return c
}

// refuse ends a call with a refusal decided here.
func (n *Node) refuse(now time.Duration, c *call, e outcome.Execution, r outcome.Reason, retryAfter time.Duration) {
	n.fail(now, c, n.refusal(e, r, retryAfter))
}

func (n *Node) refusal(e outcome.Execution, r outcome.Reason, retryAfter time.Duration) outcome.Refusal {
	return outcome.Refusal{Execution: e, Reason: r, Node: string(n.cfg.Self.Node.Host), RetryAfter: retryAfter}
}

// fail ends a call with a refusal.
func (n *Node) fail(now time.Duration, c *call, r outcome.Refusal) {
	n.record(now, timeline.Refused, c, r.Reason, int64(c.class))
	effect := Effect{Kind: Refuse, Call: c.id, Attempt: c.attempt, Refusal: r}
	if c.origin == fromNode {
		effect.Load = n.loadReport(now, c)
	}
	n.emit(effect) // also when the caller has gone: every call ends with an effect
	n.settleTicket(now, c, r)
	n.finish(now, c)
}

// refuseEarly answers a call for which no state was created.
func (n *Node) refuseEarly(now time.Duration, id mesh.CallID, e outcome.Execution, r outcome.Reason, retryAfter time.Duration) {
	n.emit(Effect{Kind: Refuse, Call: id, Refusal: n.refusal(e, r, retryAfter)})
	n.recordEvent(now, timeline.Event{Kind: timeline.Refused, Reason: r})
}

// finish removes a call and cancels what it left running.
func (n *Node) finish(now time.Duration, c *call) {
	answered := c.phase == relaying && !c.failed
	c.phase = ended
	delete(n.calls, c.id)
	if c.token != (Token{}) {
		delete(n.running, c.token)
	}
	for _, child := range c.children {
		child.parent = nil
		n.abandon(now, child)
	}
	c.children = c.children[:0]
	if c.parent != nil {
		c.parent.progressed = c.parent.progressed || answered
		c.parent.childEnded(now, c)
		n.admission.Downstream(c.parent.id, len(c.parent.children) > 0)
		c.parent = nil
	}
	n.spare = c
}

// abandon ends a call whose requester has gone.
func (n *Node) abandon(now time.Duration, c *call) {
	if n.attemptOutstanding(c) {
		n.endAttempt(now, c, routing.Cancelled)
	}
	switch c.phase {
	case waitsForCredit:
		n.quota.Forget(c.workspace, c.id)
	case waitsForTicket:
		n.tickets.CancelWait(c.ticket, c.id)
	case waitsForSlot, waitsForUpstream:
		n.admission.Gone(now, c.id)
	case relaying:
		if !c.remoteAnswer {
			n.admission.Gone(now, c.id)
		}
	}
	n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	execution := worse(c.ranAs, c.executionIfStopped())
	n.settleTicket(now, c, n.refusal(execution, outcome.CallerGone, 0))
	n.record(now, timeline.Cancelled, c, outcome.CallerGone, 0)
	n.finish(now, c)
	n.pump(now)
}

// attemptOutstanding reports whether routing counts an attempt of the call.
func (n *Node) attemptOutstanding(c *call) bool {
	switch c.phase {
	case waitsForPeer:
		return !c.redirected
	case waitsForSlot, waitsForUpstream:
		return c.target == n.cfg.Self.Node
	case relaying:
		return !c.redirected && (c.remoteAnswer || c.target == n.cfg.Self.Node)
	default:
		return false
	}
}

// executionIfStopped returns what is known if the call ends in this phase
// without an answer.
func (c *call) executionIfStopped() outcome.Execution {
	switch c.phase {
	case waitsForPeer, waitsForUpstream:
		return outcome.MayHaveRun
	case relaying:
		return outcome.Ran
	default:
		return outcome.NotRun
	}
}

func (c *call) childStarted(now time.Duration, child *call) {
	if len(c.children) == 0 {
		c.downstreamSince = now
	}
	c.children = append(c.children, child)
}

func (c *call) childEnded(now time.Duration, child *call) {
	for i, other := range c.children {
		if other == child {
			last := len(c.children) - 1
			c.children[i] = c.children[last]
			c.children[last] = nil
			c.children = c.children[:last]
			break
		}
	}
	if len(c.children) == 0 {
		c.downstream += now - c.downstreamSince
	}
}
