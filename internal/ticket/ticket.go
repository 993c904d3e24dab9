// Package ticket makes a non-idempotent action run at most once across retries
// by the caller. A ticket names the one node whose Book may run it; the Book
// keeps a marker of every running or finished ticket until the ticket expires,
// stores answers within bounds for replay, and in a planned stop hands all of
// this over to exactly one successor.
//
// Times inside a ticket are on the monotonic clock of the node that issued it
// and mean nothing elsewhere. A handover therefore carries the owner's clock,
// and the successor continues it as an interval: the fast edge (the clock plus
// Config.HandoverDelay, advancing faster than real time by Config.DriftPerMille)
// decides whether a ticket has expired, the slow edge (the clock as sent,
// advancing slower by the same amount) decides whether a marker may be dropped.
// A marker therefore always outlasts its ticket. Drift and a message delay up to
// Config.HandoverDelay make a ticket expire early, never late; a longer delay
// lets ticket and marker live longer by the excess, which cannot run one twice.
package ticket

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Defaults of Config.
const (
	DefaultTTL            = 10 * time.Minute
	DefaultMaxMarkers     = 1 << 18
	DefaultMaxStoredBytes = 32 << 20
	DefaultMaxAnswerBytes = 256 << 10
	DefaultMaxWaiting     = 64
	DefaultHandoverBytes  = 8 << 20
	DefaultHandoverDelay  = 5 * time.Second
	DefaultDriftPerMille  = 10
)

// Config bounds a Book. A zero field takes its default.
type Config struct {
	TTL            time.Duration // life of a ticket from its issue
	MaxMarkers     int           // running and finished tickets held
	MaxStoredBytes int           // all stored answers together
	MaxAnswerBytes int           // one stored answer
	MaxWaiting     int           // calls that wait for one running ticket
	HandoverBytes  int           // stored answers in one handover, newest first
	HandoverDelay  time.Duration // assumed delay of a handover message
	DriftPerMille  int           // largest difference in rate of two clocks
}

// Answer is a whole stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Kind says what a call with a ticket must do next.
type Kind uint8

// The kinds of Beginning.
const (
	Execute     Kind = iota // run it, then report Finish, Failed or NotRun
	Wait               // the call waits; Finish, Failed or NotRun names it
	Replay              // replay Beginning.Answer
	Forward             // forward the call to Beginning.Node
	Reject              // answer with Beginning.Refusal
)

// Decision is the decision on a call that presents a ticket.
type Decision struct {
	Kind    Kind
	Answer  Answer          // Finished
	Node    mesh.NodeID     // Elsewhere
	Refusal outcome.Refusal // Rejected
}

// Marker is one finished ticket in a handover.
type Marker struct {
	Sequence  uint64
	Issued    time.Duration // owner's clock
	Execution outcome.Execution
	Reason    outcome.Reason
	Answer    *Answer // nil if the answer is not stored
}

// OwnerState is what a node needs to accept the tickets of one owner.
type OwnerState struct {
	Owner    mesh.NodeID
	Key      [32]byte
	Fast     time.Duration // owner's clock at the seal, upper estimate
	Slow     time.Duration // owner's clock at the seal, lower estimate
	SealedAt time.Duration // owner's clock when the owner itself stopped issuing
	Markers  []Marker
}

// Handover moves the state of every owner at a stopping node to one successor. It is a
// control message and contains MAC keys, so it travels only between
// authenticated nodes.
type Handover struct {
	From, To mesh.NodeID
	Owners   []OwnerState
}

// MessageName implements mesh.Message.
func (Handover) MessageName() string { return "ticket-handover" }

func init() { mesh.RegisterMessage(Handover{}) }
