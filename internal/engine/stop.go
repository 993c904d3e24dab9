package engine

import (
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/timeline"
)

// stopGrace bounds how long a planned stop waits for calls in flight.
const stopGrace = 20 * time.Second

// handoverLimit bounds how long a stopping node waits for its successor to take
// its tickets.
const handoverLimit = 5 * time.Second

// successorGone is how long a successor must be unreachable until a stopping
// node gives the handover up: nodes that stop together choose each other.
const successorGone = time.Second

// stopLinger is how long a stopped node goes on sending tickets and releases,
// and redirecting calls, so that its peers learn of its successor.
const stopLinger = 500 * time.Millisecond

// stop begins a planned stop: no new work, then the end of the calls in flight,
// then the handover of tickets and shares.
func (n *Node) stop(now time.Duration) {
	if n.stopping {
		return
	}
	n.stopping = true
	n.control.stopBy = now + stopGrace
	n.members.Drain(now)
	n.recordEvent(now, timeline.Event{Kind: timeline.Draining, Service: n.cfg.Self.Service})
	successor, ok := n.members.ChooseSuccessor()
	if !ok {
		return
	}
	n.control.successor = successor.Node
	n.tickets.Close(now, successor.Node)
}

// stopIfDone ends a planned stop once nothing is in flight.
func (n *Node) stopIfDone(now time.Duration) {
	if !n.stopping || n.stopped {
		return
	}
	if !n.control.handedOver {
		if len(n.calls) == 0 || now >= n.control.stopBy {
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
	if len(n.calls) > 0 && now < n.control.stopBy {
		return // calls that were redirected here meanwhile
	}
	if now >= n.control.lingerUntil {
		n.stopped = true
		n.emit(Effect{Kind: Stopped})
	}
}

// handoverEnded reports whether nothing is left to wait for. A refusal by the
// successor is final too.
func (n *Node) handoverEnded(now time.Duration) bool {
	taken, _ := n.tickets.HandedOver()
	waited := now >= n.control.handoverBy
	since, unreachable := n.control.unreachable[n.control.successor]
	_, known := n.members.Lookup(n.control.successor)
	gone := !known || unreachable && now >= since+successorGone
	return taken || waited || gone || n.control.successor.IsZero()
}

func (n *Node) handOver(now time.Duration) {
	n.control.handedOver = true
	n.control.handoverBy = now + handoverLimit
	h := n.tickets.Seal(now)
	if !n.control.successor.IsZero() {
		n.envelopes = n.quota.HandOver(now, n.control.successor, n.envelopes)
	}
	n.recordEvent(now, timeline.Event{Kind: timeline.HandedOver, Value: int64(len(h.Owners))})
}

// leave tells the others that this node has left. It comes after the answer to
// the handover: the successor does not send to a node that has left.
func (n *Node) leave(now time.Duration) {
	n.control.lingerUntil = now + stopLinger
	n.envelopes = n.members.Leave(now, n.control.successor, n.envelopes)
	n.proposeOnce(now, "leave", func(h config.Header) ([]byte, error) {
		return config.NewNodeLeft(h, n.cfg.Self.Node, n.control.successor)
	})
}
