// Package engine composes the cores of all slices into one state machine per
// node. It has no I/O, goroutines or clock of its own: events and the time go
// in, effects come out, and equal inputs give equal outputs for a seed. The
// shell in package node executes the effects on sockets; a test bench can drive
// the same interface event by event.
package engine

import (
	"time"

	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Event is one input of a node.
type Event interface{ event() }

// CallArrived reports a customer call on the caller listener. The shell has
// removed the key from everything that will be forwarded.
type CallArrived struct {
	Call    mesh.CallID
	Secret  []byte // the caller's key; not kept by the engine
	Method  string
	Path    string
	Ticket  string        // from the header Cardamomhatch-Ticket, or empty
	Timeout time.Duration // the caller's own limit, or zero
}

// TicketRequested reports a request for a ticket on the caller listener.
type TicketRequested struct {
	Call   mesh.CallID
	Secret []byte
}

// DownstreamCallArrived reports a downstream call of the local upstream.
type DownstreamCallArrived struct {
	Call        mesh.CallID
	ParentToken Token
	Service     mesh.Service
}

// ForwardedCallArrived reports a call that another node forwarded to this one.
type ForwardedCallArrived struct {
	Call mesh.CallID
	From mesh.NodeID
	Hop  Hop
}

// ResponseReceived reports that the header of an answer has arrived for the attempt
// (from a peer) or the run (from the local upstream) of a call. The body has
// not been read. The engine replies with Relay, Refuse, Forward or Run.
type ResponseReceived struct {
	Call       mesh.CallID
	Attempt    int
	Status     int
	Refusal    *outcome.Refusal // parsed refusal of the serving node, or nil
	Load       *Load            // load report of the serving node, or nil
	NotRun     bool             // the upstream states that it shed the call
	Replayable bool             // the request body can be sent again
}

// AttemptFailed reports that an attempt or run ended without the header of an
// answer. Execution is NotRun only if nothing of the request was sent.
type AttemptFailed struct {
	Call       mesh.CallID
	Attempt    int
	Execution  outcome.Execution
	Reason     outcome.Reason
	Replayable bool
}

// RelayEnded reports that the body of a relayed answer is through.
type RelayEnded struct {
	Call    mesh.CallID
	Attempt int
	Whole   bool    // every byte of the answer arrived and was passed on
	Stored  *Answer // the answer, if Relay asked for it and it fitted
	Bytes   int64
}

// CallCancelled reports that the caller (or the calling node or upstream) of a call
// has closed its connection before the answer was through.
type CallCancelled struct{ Call mesh.CallID }

// MessageReceived reports a control message from another node.
type MessageReceived struct{ Envelope mesh.Envelope }

// PeerUnreachable reports that control messages to a node could not be sent.
type PeerUnreachable struct{ Node mesh.NodeID }

// LogRead reports a successful read of the config stream.
type LogRead struct {
	AskedAt time.Duration // time at which the read was sent
	From    uint64        // offset that was asked for
	Page    logservice.Page
}

// LogReadFailed reports a failed read of the config stream.
type LogReadFailed struct{ Err error }

// SnapshotRead reports the newest snapshot found in the snapshots stream.
type SnapshotRead struct{ Data []byte }

// AppendEnded reports the result of an Append effect.
type AppendEnded struct {
	Token string
	Err   error // nil, or a typed error of package logservice
}

// RecordProposed asks for a record to be appended on behalf of an operator.
type RecordProposed struct {
	Token string
	Data  []byte
}

// KeyWithdrawalRequested asks for the withdrawal of a key on behalf of an operator.
type KeyWithdrawalRequested struct{ ID string }

// UpstreamAnnounced reports an announcement of the local upstream.
type UpstreamAnnounced struct {
	Service     mesh.Service
	URL         string
	Slots       int
	Connections int
	InFlight    int
	Ready       bool
	Draining    bool
}

// LocalDrainRequested starts the drain of the local upstream.
type LocalDrainRequested struct{}

// NodeDrainRequested asks, on behalf of an operator, for the drain of the upstream
// beside a node, which need not be this one. Decided reports the result.
type NodeDrainRequested struct {
	Token string
	Node  mesh.NodeID
}

// StatusRequested asks the other members how far they have folded the log, or in a
// large fleet a sample of them. A Beyond above zero leaves out those known to
// have passed that offset.
type StatusRequested struct{ Beyond uint64 }

// StopRequested starts a planned stop of the node.
type StopRequested struct{}

// Tick reports that time has passed. The shell sends it every TickInterval.
type Tick struct{}

// MaxDecisionAge is how long after its decision a Forward or Run may be executed.
// The process can be paused in between; a key can be withdrawn meanwhile, or the
// credit that the call took be counted as expired. The shell reports a later one
// as failed with NotRun and DecisionExpired.
const MaxDecisionAge = 500 * time.Millisecond

// TickInterval is the interval at which the shell sends Tick.
const TickInterval = 10 * time.Millisecond

func (*CallArrived) event()       {}
func (*TicketRequested) event()   {}
func (*DownstreamCallArrived) event()      {}
func (*ForwardedCallArrived) event()        {}
func (*ResponseReceived) event()          {}
func (*AttemptFailed) event()     {}
func (*RelayEnded) event()        {}
func (*CallCancelled) event()          {}
func (*MessageReceived) event()      {}
func (*PeerUnreachable) event()   {}
func (*LogRead) event()           {}
func (*LogReadFailed) event()         {}
func (*SnapshotRead) event()      {}
func (*AppendEnded) event()       {}
func (*RecordProposed) event()          {}
func (*KeyWithdrawalRequested) event()      {}
func (*UpstreamAnnounced) event() {}
func (*LocalDrainRequested) event()    {}
func (*NodeDrainRequested) event()        {}
func (*StatusRequested) event()       {}
func (*StopRequested) event()     {}
func (*Tick) event()              {}

// Answer is a whole answer that is held in memory, for tickets only.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// EffectKind selects which fields of an Effect are set.
type EffectKind uint8

// The effects. Each of Refuse, Forward, Run, Relay, Replay, Abort and Ticket
// concerns one call, named by Effect.Call.
const (
	// Refuse answers the call with Refusal and discards any answer held.
	Refuse EffectKind = iota
	// Forward sends the call to the peer listener of Member with Hop.
	Forward
	// Run sends the call to the local upstream with Token and Remaining.
	Run
	// Relay passes on the answer whose header was reported by Answered, with
	// Load (to a calling node) or Ticket (to a caller) added.
	Relay
	// Replay answers the call with Answer.
	Replay
	// Cancel cancels the current attempt or run of the call; no answer is due.
	Cancel
	// IssueTicket answers a TicketRequested with Ticket.
	IssueTicket
	// Send sends Envelope to another node.
	Send
	// Append appends Data to the config stream under Token.
	Append
	// AppendSnapshot appends Data to the snapshots stream under Token.
	AppendSnapshot
	// Decided reports the outcome of a Proposed, KeyWithdrawn or DrainAsked under
	// its token.
	Decided
	// Stopped reports that a planned stop is complete and the process may end.
	Stopped
)

// Effect is one output of a node. It is a plain value so that a step does not
// allocate per effect.
type Effect struct {
	Kind      EffectKind
	At        time.Duration // time of the decision, set on Forward and Run
	Call      mesh.CallID
	Attempt   int
	Refusal   outcome.Refusal
	Member    mesh.Member
	Hop       Hop
	Token     Token // opaque name of a running call for the local upstream
	Remaining time.Duration
	Load      *Load
	Ticket    string
	Store     bool // Relay: keep the answer and report it in RelayEnded
	Answer    *Answer
	Envelope  mesh.Envelope
	AppendID  string
	Data      []byte
	Decision  *Decision
}

// Decision is the outcome of an operator's proposal.
type Decision struct {
	Accepted    bool
	Undecided   bool   // not accepted, but it may still take effect
	Reason      string // why it was not accepted
	Offset      uint64
	Confirmed   []mesh.NodeID // nodes known to have it in force
	Unconfirmed []mesh.NodeID
}
