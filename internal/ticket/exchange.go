package ticket

import (
	"fmt"
	"time"

	"cardamomhatch/internal/mesh"
)

// resendInterval is the time between two sends of a handover that has not been
// answered. One send can be several megabytes.
const resendInterval = 2 * time.Second

// Taken answers a Handover.
type Taken struct {
	Owner   mesh.NodeID // Handover.From
	Problem string      // why it was not accepted; empty if it was
}

// MessageName implements mesh.Message.
func (Taken) MessageName() string { return "ticket-taken" }

func init() { mesh.RegisterMessage(Taken{}) }

// outgoing is the handover of this node on its way.
type outgoing struct {
	handover Handover
	nextSend time.Duration
	answered bool
	problem  string
}

// Deliver takes a Handover, which it passes to Accept and answers, or a Taken.
func (b *Registry) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Handover:
		answer := Taken{Owner: m.From}
		if err := b.Accept(now, m); err != nil {
			answer.Problem = err.Error()
		}
		out = append(out, mesh.Envelope{From: b.self, To: from, Message: answer})
	case Taken:
		if m.Owner == b.self && b.sealed && from == b.successor && !b.out.answered {
			b.out.answered, b.out.problem = true, m.Problem
		}
	}
	return out
}

// Tick sends the handover to the successor after Seal, again and again until it
// is answered. It is never sent to another node: the first one may have accepted
// it although its answer is missing.
func (b *Registry) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	if !b.sealed || b.successor.IsZero() || b.out.answered || now < b.out.nextSend {
		return out
	}
	b.out.nextSend = now + resendInterval
	return append(out, mesh.Envelope{From: b.self, To: b.successor, Message: b.out.handover})
}

// HandedOver reports whether the successor has answered the handover. The error
// names the successor if it did not accept; the tickets are then lost, and calls
// that present them are refused as may-have-run.
func (b *Registry) HandedOver() (bool, error) {
	if b.out.problem != "" {
		return true, fmt.Errorf("ticket handover to %s was not accepted: %s", b.successor, b.out.problem)
	}
	return b.out.answered, nil
}
