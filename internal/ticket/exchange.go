package ticket

import (
	"fmt"
	"time"

	"cardamomhatch/internal/mesh"
)

// resendInterval is the time after which an unanswered handover is sent again. It
// leaves time to transmit a handover, which can be several megabytes long.
const resendInterval = 2 * time.Second

// Taken is the successor's answer to a Handover, whether it accepted it or not.
type Taken struct {
	Owner   mesh.NodeID // Handover.From, the node that stops
	Problem string      // why the handover was not accepted; empty if it was accepted
}

// MessageName implements mesh.Message.
func (Taken) MessageName() string { return "ticket-taken" }

func init() { mesh.RegisterMessage(Taken{}) }

// outgoing is this node's own handover and the state of its delivery.
type outgoing struct {
	handover Handover
	nextSend time.Duration
	answered bool
	problem  string // Taken.Problem
}

// Deliver handles a control message: it passes a Handover to Accept and answers
// it, and records a Taken from the successor. Other messages are ignored.
func (reg *Registry) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Handover:
		answer := Taken{Owner: m.From}
		if err := reg.Accept(now, m); err != nil {
			answer.Problem = err.Error()
		}
		out = append(out, mesh.Envelope{From: reg.self, To: from, Message: answer})
	case Taken:
		if m.Owner == reg.self && reg.sealed && from == reg.successor && !reg.outgoing.answered {
			reg.outgoing.answered, reg.outgoing.problem = true, m.Problem
		}
	}
	return out
}

// Tick sends the handover to the successor after Seal, and repeats it every
// resendInterval until it is answered. The handover is never sent to another
// node, because the successor may have accepted it and its answer may be lost.
func (reg *Registry) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	if !reg.sealed || reg.successor.IsZero() || reg.outgoing.answered || now < reg.outgoing.nextSend {
		return out
	}
	reg.outgoing.nextSend = now + resendInterval
	return append(out, mesh.Envelope{From: reg.self, To: reg.successor, Message: reg.outgoing.handover})
}

// HandedOver reports whether the successor has answered the handover. The error
// is not nil if the successor did not accept it; the tickets are then lost, and
// calls that present them are refused as may-have-run.
func (reg *Registry) HandedOver() (bool, error) {
	if reg.outgoing.problem != "" {
		return true, fmt.Errorf("ticket handover to %s was not accepted: %s", reg.successor, reg.outgoing.problem)
	}
	return reg.outgoing.answered, nil
}
