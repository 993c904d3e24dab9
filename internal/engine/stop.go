package engine

import (
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/timeline"
)

// stopGracePeriod is how long a planned stop waits at most for calls in flight.
const stopGracePeriod = 20 * time.Second

// handoverTimeout is how long a stopping node waits at most for its successor to
// accept its tickets.
const handoverTimeout = 5 * time.Second

// successorTimeout is how long the successor must be unreachable before a stopping
// node gives up the handover. Nodes that stop at the same time can choose each
// other as successors.
const successorTimeout = time.Second

// stopLinger is how long a node that has left continues to send its tickets and
// released shares and to redirect calls, so that its peers learn of its successor.
const stopLinger = 500 * time.Millisecond

// stop starts a planned stop. The upstream gets no new calls, and the node issues no
// tickets; if it has a successor, it also refuses new executions under its tickets.
// It forwards other calls until none is in flight or stopGracePeriod has passed, and
// then hands over its tickets and shares.
func (n *Node) stop(now time.Duration) {
	if n.stopping {
		return
	}
	n.stopping = true
	n.control.stopDeadline = now + stopGracePeriod
	n.members.Drain(now)
	n.recordEvent(now, timeline.Event{Kind: timeline.Draining, Service: n.cfg.Self.Service})
	successor, ok := n.members.ChooseSuccessor()
	if !ok {
		return
	}
	n.control.successor = successor.Node
	n.tickets.Close(now, successor.Node)
}

// continueStop takes the next step of a planned stop when it is due.
func (n *Node) continueStop(now time.Duration) {
	if !n.stopping || n.stopped {
		return
	}
	if !n.control.handoverStarted {
		if len(n.calls) == 0 || now >= n.control.stopDeadline {
			n.handOver(now)
		}
		return
	}
	if n.control.lingerUntil == 0 {
		if n.handoverEnded(now) {
			n.leave(now)
		}
		return
	}
	if len(n.calls) > 0 && now < n.control.stopDeadline {
		return // calls were redirected here in the meantime
	}
	if now >= n.control.lingerUntil {
		n.stopped = true
		n.emit(Effect{Kind: Stopped})
	}
}

// handoverEnded reports whether the node can stop waiting for the handover: the
// successor has accepted or refused it or cannot be reached, the timeout has
// passed, or there is no successor.
func (n *Node) handoverEnded(now time.Duration) bool {
	replied, _ := n.tickets.HandedOver()
	timedOut := now >= n.control.handoverDeadline
	since, unreachable := n.control.unreachableSince[n.control.successor]
	_, known := n.members.Lookup(n.control.successor)
	successorGone := !known || unreachable && now >= since+successorTimeout
	return replied || timedOut || successorGone || n.control.successor.IsZero()
}

// handOver seals the tickets, which the registry then sends to the successor, and
// releases the quota shares to it.
func (n *Node) handOver(now time.Duration) {
	n.control.handoverStarted = true
	n.control.handoverDeadline = now + handoverTimeout
	handover := n.tickets.Seal(now)
	if !n.control.successor.IsZero() {
		n.envelopes = n.quota.HandOver(now, n.control.successor, n.envelopes)
	}
	n.recordEvent(now, timeline.Event{Kind: timeline.HandedOver, Value: int64(len(handover.Owners))})
}

// leave tells the other nodes that this node has left. It must follow the reply to
// the handover, since the successor sends nothing to a node that has left.
func (n *Node) leave(now time.Duration) {
	n.control.lingerUntil = now + stopLinger
	n.envelopes = n.members.Leave(now, n.control.successor, n.envelopes)
	n.proposeOnce(now, "leave", func(h config.Header) ([]byte, error) {
		return config.NewNodeLeft(h, n.cfg.Self.Node, n.control.successor)
	})
}
