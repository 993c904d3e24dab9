package engine

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/timeline"
)

type origin uint8

const (
	fromCaller   origin = iota // a caller, on the caller listener
	fromUpstream               // the local upstream, as a downstream call of a running call
	fromNode                   // another node, which forwarded the call to this one
)

// phase is what a call waits for.
type phase uint8

const (
	waitsForCredit   phase = iota // quota credit from a share holder
	waitsForTicket                // another execution under the same ticket
	waitsForRetry                 // the time of the next attempt
	waitsForPeer                  // the response of another node
	waitsForSlot                  // a slot of the local upstream, in the admission queue
	waitsForUpstream              // the response of the local upstream
	relaying                      // the response body is being passed on
	ended
)

// call is the state of one call at this node, from its arrival to the end of the
// response.
type call struct {
	id               mesh.CallID
	origin           origin
	phase            phase
	action           mesh.ActionID
	workspace        mesh.Workspace
	service          mesh.Service
	class            mesh.Class
	idempotent       bool
	actionAdmitted   bool // an earlier call of the action was admitted
	actionProgressed bool // an earlier downstream call of the action has returned a response
	childResponded   bool // a downstream call of this call has returned a response other than a server error
	depth            int
	arrived          time.Duration
	deadline         time.Duration

	pool     retry.Pool   // unused if parent is set; see retryPool
	parent   *call        // the running call that made this downstream call, or nil
	children []*call      // downstream calls that have not ended
	ratio    *retry.Ratio // retry ratio of the call's edge; see ratioOf

	attempt       int           // number of the current or last attempt, 0 before the first
	sentAt        time.Duration // time at which that attempt started
	target        mesh.NodeID   // node of the current or last attempt; zero if a peer forwarded the call here to be served
	lent          int           // retries lent to the node of the current attempt
	retryAt       time.Duration // when the next attempt starts, in waitsForRetry
	redirected    bool          // forwarded to the owner of its ticket
	retriedByPeer bool          // forwarded to this node, and the sender decides on retries

	ticket     string
	ownsTicket bool // the ticket registry waits for the result of this call

	token           Token // identifies the run at the local upstream; zero if none
	runStart        time.Duration
	downstreamTime  time.Duration     // time with at least one downstream call outstanding
	downstreamSince time.Duration     // start of the outstanding time that downstreamTime does not include yet
	shed            bool              // the upstream responded with 429 or 503, which counts as load shedding
	failed          bool              // the upstream responded with a server error
	remoteResponse  bool              // the response being relayed comes from another node
	report          routing.Report    // from the load report of the current attempt's response
	knownExecution  outcome.Execution // combined over all ended attempts
}

// retryPool returns the pool that retries of the call are taken from. A downstream
// call shares the pool of its parent.
func (c *call) retryPool() *retry.Pool {
	if c.parent != nil {
		return c.parent.retryPool()
	}
	return &c.pool
}

func (n *Node) newCall(now time.Duration, id mesh.CallID, from origin) *call {
	c := n.freeCall
	if c == nil {
		c = &call{}
	} else {
		n.freeCall = nil
		children := c.children[:0]
		*c = call{children: children}
	}
	c.id = id
	c.origin = from
	c.arrived = now
	n.calls[id] = c
	return c
}

// refuse ends a call with a refusal by this node.
func (n *Node) refuse(now time.Duration, c *call, e outcome.Execution, r outcome.Reason, retryAfter time.Duration) {
	n.refuseWith(now, c, n.refusal(e, r, retryAfter))
}

func (n *Node) refusal(e outcome.Execution, r outcome.Reason, retryAfter time.Duration) outcome.Refusal {
	return outcome.Refusal{Execution: e, Reason: r, Node: string(n.cfg.Self.Node.Host), RetryAfter: retryAfter}
}

// refuseWith ends a call with a refusal, which another node may have issued.
func (n *Node) refuseWith(now time.Duration, c *call, r outcome.Refusal) {
	n.recordCallEvent(now, timeline.Refused, c, r.Reason, int64(c.class))
	effect := Effect{Kind: Refuse, Call: c.id, Attempt: c.attempt, Refusal: r}
	if c.origin == fromNode {
		effect.Load = n.loadReport(now, c)
	}
	n.emit(effect) // even if the caller has disconnected: every call ends with an effect
	n.settleTicket(now, c, r)
	n.finish(now, c)
}

// refuseEarly refuses a call for which no state was created.
func (n *Node) refuseEarly(now time.Duration, id mesh.CallID, e outcome.Execution, r outcome.Reason, retryAfter time.Duration) {
	n.emit(Effect{Kind: Refuse, Call: id, Refusal: n.refusal(e, r, retryAfter)})
	n.recordEvent(now, timeline.Event{Kind: timeline.Refused, Reason: r})
}

// finish removes a call and cancels its downstream calls that are still running.
func (n *Node) finish(now time.Duration, c *call) {
	responded := c.phase == relaying && !c.failed
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
		c.parent.childResponded = c.parent.childResponded || responded
		c.parent.childEnded(now, c)
		n.admission.SetDownstreamWait(c.parent.id, len(c.parent.children) > 0)
		c.parent = nil
	}
	n.freeCall = c
}

// abandon ends a call whose requester no longer waits for the response.
func (n *Node) abandon(now time.Duration, c *call) {
	if n.attemptOutstanding(c) {
		n.reportAttempt(now, c, routing.Cancelled)
	}
	switch c.phase {
	case waitsForCredit:
		n.quota.Cancel(c.workspace, c.id)
	case waitsForTicket:
		n.tickets.CancelWait(c.ticket, c.id)
	case waitsForSlot, waitsForUpstream:
		n.admission.Cancel(now, c.id)
	case relaying:
		if !c.remoteResponse {
			n.admission.Cancel(now, c.id)
		}
	}
	n.emit(Effect{Kind: Cancel, Call: c.id, Attempt: c.attempt})
	execution := mergeExecution(c.knownExecution, c.executionIfAborted())
	n.settleTicket(now, c, n.refusal(execution, outcome.CallerGone, 0))
	n.recordCallEvent(now, timeline.Cancelled, c, outcome.CallerGone, 0)
	n.finish(now, c)
	n.dispatchQueued(now)
}

// attemptOutstanding reports whether the routing table counts an attempt of the
// call as in flight. It counts only attempts whose node it has picked: not a redirect
// to the owner of a ticket, nor a call that another node has forwarded here to be
// served.
func (n *Node) attemptOutstanding(c *call) bool {
	switch c.phase {
	case waitsForPeer:
		return !c.redirected
	case waitsForSlot, waitsForUpstream:
		return c.target == n.cfg.Self.Node
	case relaying:
		return !c.redirected && (c.remoteResponse || c.target == n.cfg.Self.Node)
	default:
		return false
	}
}

// executionIfAborted returns what is known about the execution if the call ends
// in its current phase without a response. It leaves out an execution of another call
// that this one waits for in waitsForTicket.
func (c *call) executionIfAborted() outcome.Execution {
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
		c.downstreamTime += now - c.downstreamSince
	}
}
