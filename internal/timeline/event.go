// Package timeline records the decisions of a node as events. The events of all
// nodes can be merged into one causal order, printed, and checked against rules.
// Events have no field for API keys or other caller data.
package timeline

import (
	"fmt"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Kind is the kind of an event.
type Kind uint8

// Event kinds. After the first semicolon, each comment gives the meaning of
// Event.Value.
const (
	Admitted         Kind = iota // a call passed the entry checks; class
	Refused                      // a call was rejected with Event.Reason; class, or 0 if the class was not known yet
	Started                      // an attempt was sent to a serving node, or that node passed it to its upstream; attempt number
	Answered                     // a complete response was relayed; time since the call arrived, in µs
	Failed                       // a response was truncated while it was relayed; attempt number
	Retried                      // a retry of the call was scheduled; number of the attempt that failed
	Cancelled                    // the caller disconnected; unused
	Replayed                     // the stored response of a ticket was sent; unused
	CreditLent                   // quota credit was lent; micro-calls; not recorded yet
	KeyWithdrawn                 // a key withdrawal took effect here; unused
	Revision                     // a configuration took effect; revision
	Joined                       // the local upstream began to serve; incarnation of this node
	Left                         // the local upstream announced that it no longer serves; incarnation of this node
	Draining                     // a drain of the local upstream or a planned stop of this node began; unused
	LimitChanged                 // the concurrency limit changed; new limit; not recorded yet
	CutChanged                   // the published load-shedding threshold (mesh.Cut) changed; class*1024+share; not recorded yet
	Expired                      // the evidence that the configuration is current expired; unused
	EvidenceFresh                // the evidence that the configuration is current is fresh again; unused
	SharesReassigned             // quota shares were reassigned; epoch; not recorded yet
	HandedOver                   // a stopping node began the handover of its tickets; number of ticket owners

	numKinds
)

var kindNames = [numKinds]string{
	"admitted", "refused", "started", "answered", "failed", "retried", "cancelled",
	"replayed", "lent", "withdrawn", "revision", "joined", "left", "draining",
	"limit", "cut", "lapsed", "fresh", "shares", "handed-over",
}

// String returns the name used in files and filters.
func (k Kind) String() string {
	if k < numKinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ParseKind is the inverse of Kind.String.
func ParseKind(s string) (Kind, error) {
	for i, name := range kindNames {
		if name == s {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("event kind %q does not exist", s)
}

// Event is one decision or change at one node.
type Event struct {
	Stamp     Stamp
	Host      mesh.Host
	Kind      Kind
	Action    mesh.ActionID
	Workspace mesh.Workspace
	Service   mesh.Service
	Reason    outcome.Reason
	Value     int64 // its meaning depends on Kind
}
