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
	if len(n.calls) > 0 && now < n.control.stopBy {
		return // calls that were redirected here meanwhile
	}
	taken, _ := n.tickets.HandedOver() // a refusal by the successor is final too
	waited := now >= n.control.lingerUntil+handoverLimit
	if now >= n.control.lingerUntil && (taken || waited || n.control.successor.IsZero()) {
		n.stopped = true
		n.emit(Effect{Kind: Stopped})
	}
}

func (n *Node) handOver(now time.Duration) {
	n.control.handedOver = true
	n.control.lingerUntil = now + stopLinger
	h := n.tickets.Seal(now)
	if !n.control.successor.IsZero() {
		n.envelopes = n.quota.HandOver(now, n.control.successor, n.envelopes)
	}
	n.recordEvent(now, timeline.Event{Kind: timeline.HandedOver, Value: int64(len(h.Estates))})
	n.envelopes = n.members.Leave(now, n.control.successor, n.envelopes)
	n.proposeOnce(now, "leave", func(h config.Header) ([]byte, error) {
		return config.NewNodeLeft(h, n.cfg.Self.Node, n.control.successor)
	})
}
