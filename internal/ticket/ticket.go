// Package ticket makes a non-idempotent action run at most once across retries
// by the caller. A ticket names its owner, the node that issued it, which alone may
// run it. The owner's Registry keeps a marker of every running or finished ticket
// until the ticket expires, stores answers for replay within configured bounds, and
// in a planned stop hands this state over to exactly one successor, which from then
// on is the only node that may run the owner's tickets.
//
// Times in a ticket are on the monotonic clock of the node that issued it and
// cannot be compared with another node's clock. A handover therefore contains the
// reading of the owner's clock, and the successor extrapolates it as an interval.
// The upper bound (the reading plus Config.HandoverDelay, advancing faster than
// real time by Config.DriftPerMille) decides whether a ticket has expired. The
// lower bound (the reading as sent, advancing slower by the same rate) decides
// whether a marker may be removed, so that a marker always outlives its ticket.
// Clock drift and a message delay of up to Config.HandoverDelay make a ticket
// expire early, never late. A longer delay extends the lifetime of ticket and
// marker alike by the excess, which cannot cause a second execution.
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

// Config sets the bounds of a Registry. A zero field takes its default.
type Config struct {
	TTL            time.Duration // lifetime of a ticket from its issue
	MaxMarkers     int           // number of running and finished tickets held
	MaxStoredBytes int           // total size of the stored answers
	MaxAnswerBytes int           // size of one stored answer
	MaxWaiting     int           // number of calls that wait for one running ticket
	HandoverBytes  int           // size of the answers in one handover; the newest of each owner are kept first
	HandoverDelay  time.Duration // assumed longest delay of a handover message
	DriftPerMille  int           // largest difference in rate between two clocks
}

// Answer is a complete HTTP answer, stored for replay.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Kind is the action to take for a call that presents a ticket.
type Kind uint8

// The kinds of Decision.
const (
	Execute Kind = iota // run the call, then use Finish, RecordFailure or Release
	Wait                // the ticket is running; Finish, RecordFailure or Release returns the call
	Replay              // answer with Decision.Answer
	Forward             // forward the call to Decision.Node
	Reject              // answer with Decision.Refusal
)

// Decision is the result of Registry.Begin.
type Decision struct {
	Kind    Kind
	Answer  Answer          // Kind Replay
	Node    mesh.NodeID     // Kind Forward
	Refusal outcome.Refusal // Kind Reject
}

// Marker is one used ticket in a handover: a finished one, or one that was running
// at the seal.
type Marker struct {
	Sequence  uint64
	Issued    time.Duration // owner's clock
	Execution outcome.Execution
	Reason    outcome.Reason
	Answer    *Answer // nil if the answer is not stored
}

// OwnerState is the state that a node needs to accept the tickets of one owner.
type OwnerState struct {
	Owner    mesh.NodeID
	Key      [32]byte      // MAC key of the owner's tickets
	Fast     time.Duration // owner's clock at the seal, upper bound
	Slow     time.Duration // owner's clock at the seal, lower bound
	SealedAt time.Duration // owner's clock when the owner itself stopped issuing
	Markers  []Marker
}

// Handover moves the state of all owners held by a stopping node to one successor.
// It is a control message that contains MAC keys and is sent only between
// authenticated nodes.
type Handover struct {
	From, To mesh.NodeID
	Owners   []OwnerState
}

// MessageName implements mesh.Message.
func (Handover) MessageName() string { return "ticket-handover" }

func init() { mesh.RegisterMessage(Handover{}) }
