// Package timeline records what a node decided, so that the decisions of all
// nodes can be merged into one causal order, read by people and checked against
// stated outcomes. Events have no field for a key or other caller data.
package timeline

import (
	"fmt"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Kind is what happened.
type Kind uint8

// The kinds of events. The comment gives the meaning of Event.Value.
const (
	Admitted    Kind = iota // a call passed the entry checks; class
	Refused                 // a call was refused, with Event.Reason; class
	Started                 // the upstream was called; attempt
	Answered                // a whole answer was passed on; duration in µs
	Failed                  // an attempt failed, with Event.Reason; attempt
	Retried                 // a call was sent again; attempt
	Cancelled               // the caller disconnected; unused
	Replayed                // a stored answer of a ticket was sent; unused
	CreditLent                    // quota credit was lent; micro-calls
	KeyWithdrawn               // a key withdrawal took effect here; unused
	Revision                // a configuration came into force; revision
	Joined                  // an upstream joined; incarnation of its node
	Left                    // an upstream left; incarnation of its node
	Draining                // the local upstream stopped admission; unused
	LimitChanged                   // the concurrency limit moved; new limit
	CutChanged                // the published cut moved; class*1024+share
	Expired                  // evidence or announcements lapsed; unused
	EvidenceFresh                   // evidence is fresh again; unused
	SharesReassigned             // quota shares were reassigned; epoch
	HandedOver              // tickets were handed over; number of markers

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
	Value     int64
}
