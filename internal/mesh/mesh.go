// Package mesh defines the identifiers and basic types that the packages of
// cardamomhatch share. It has no state and imports no other package of the module, so
// that packages can use the same types without depending on each other.
package mesh

import (
	"encoding/gob"
	"fmt"
)

// Host is the name of one machine of the fleet.
type Host string

// DataCentre is the name of the data centre in which a host is located.
type DataCentre string

// Service is the name of a group of upstreams that serve the same calls.
type Service string

// Workspace is the name of a tenant, whose keys, rate and burst limits apply to a call.
type Workspace string

// Incarnation identifies one start of a node process. It is chosen at random at each
// start.
type Incarnation uint64

// NodeID identifies one incarnation of the node on a host.
type NodeID struct {
	Host        Host
	Incarnation Incarnation
}

// String formats the node as host/incarnation.
func (n NodeID) String() string {
	return fmt.Sprintf("%s/%x", n.Host, uint64(n.Incarnation))
}

// IsZero reports whether n is the zero value, which identifies no node.
func (n NodeID) IsZero() bool { return n == NodeID{} }

// CallID identifies one call within one incarnation of a node.
type CallID uint64

// ActionID identifies one customer action. All calls that result from the action, at any
// depth and on any node, have the same ActionID.
type ActionID uint64

// Class is the priority class of a call. Lower values are more important and are shed
// later.
type Class uint8

// The classes, most important first.
const (
	ClassCritical Class = iota
	ClassHigh
	ClassNormal
	ClassBulk

	NumClasses = 4
)

var classNames = [NumClasses]string{"critical", "high", "normal", "bulk"}

// String returns the name of the class in declarations and reports.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass is the inverse of Class.String.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if name == s {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("class %q is none of critical, high, normal, bulk", s)
}

// Member describes one node and the service of its local upstream.
type Member struct {
	Node            NodeID     `json:"node"`
	DataCentre      DataCentre `json:"data_centre"`
	Service         Service    `json:"service"`
	PeerAddress     string     `json:"peer_address"`
	CallerAddress   string     `json:"caller_address"`
	OperatorAddress string     `json:"operator_address"`
}

// Message is a control message between nodes. Each implementation must be registered
// with RegisterMessage, so that it can be encoded in an Envelope.
type Message interface {
	// MessageName returns the name of the message type in the encoding and in logs.
	// It must not change.
	MessageName() string
}

// RegisterMessage registers a message type with gob under its MessageName. The default
// name contains the import path and would double the size of a probe message.
func RegisterMessage(m Message) { gob.RegisterName(m.MessageName(), m) }

// Envelope is a control message with its sender and receiver.
type Envelope struct {
	From, To NodeID
	Message  Message
}

// Outgoing is a control message and the member to which it is sent. Unlike an Envelope, it
// contains the receiver's address.
type Outgoing struct {
	To      Member
	Message Message
}
