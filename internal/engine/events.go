// Package engine implements the state machine of one node. It combines
// admission, quota, routing, tickets, membership, keys and configuration. It has
// no I/O, goroutines or clock of its own: it takes events and the current time
// and returns effects, and for a given seed equal inputs produce equal outputs.
// Package node performs the I/O that the effects describe; tests drive the same
// interface event by event.
//
// All nodes read the same log of configuration records; folding a record applies it
// to a config.State. Evidence shows that what a node has folded is current. It comes
// from the log or, during an outage of the log, from a majority of the panel, a set of
// nodes that the log names. A record of shares or of a panel is in force once no node
// can still act on the assignment before it: a majority of the panel has acknowledged
// the record, and evidence from before then has lapsed. Package ticket makes calls that
// are not idempotent run at most once, and package quota divides the rate of a workspace
// into shares that nodes hold.
package engine

import (
	"time"

	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Event is one input of a node.
type Event interface{ event() }

// CallArrived reports a call on the caller listener. Package node has removed
// the key from everything that will be forwarded.
type CallArrived struct {
	Call    mesh.CallID
	Secret  []byte // the caller's key; not retained by the engine
	Method  string
	Path    string
	Ticket  string        // from TicketHeader, or empty
	Timeout time.Duration // requested by the caller, or zero
}

// TicketRequested reports a request for a ticket on the caller listener.
type TicketRequested struct {
	Call   mesh.CallID
	Secret []byte
}

// DownstreamCallArrived reports a call that the local upstream makes to another
// service while it runs the parent call.
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

// ResponseReceived reports that the response header has arrived for an attempt
// of a call at a peer or for its run at the local upstream. The body has not been
// read. The engine reacts with Relay, Refuse, Forward or Run.
type ResponseReceived struct {
	Call       mesh.CallID
	Attempt    int
	Status     int
	Refusal    *outcome.Refusal // refusal by the serving node, or nil
	Load       *Load            // load report of the serving node, or nil
	NotRun     bool             // the upstream set ShedHeader: it did not run the call
	Replayable bool             // the request body can be sent again
}

// AttemptFailed reports that an attempt or run ended without a response header.
// Execution is NotRun only if no byte of the request was sent.
type AttemptFailed struct {
	Call       mesh.CallID
	Attempt    int
	Execution  outcome.Execution
	Reason     outcome.Reason
	Replayable bool // the request body can be sent again
}

// RelayEnded reports that relaying a response body has ended.
type RelayEnded struct {
	Call     mesh.CallID
	Attempt  int
	Complete bool      // the complete response was received and passed on
	Stored   *Response // the response, if Relay set Store and it was within the size limit
	Bytes    int64
}

// CallCancelled reports that the caller, or the calling node or upstream, closed
// its connection before it had received the complete response.
type CallCancelled struct{ Call mesh.CallID }

// MessageReceived reports a control message from another node.
type MessageReceived struct{ Envelope mesh.Envelope }

// PeerUnreachable reports that a control message to a node could not be sent.
type PeerUnreachable struct{ Node mesh.NodeID }

// LogRead reports a successful read of the config stream.
type LogRead struct {
	SentAt time.Duration // time at which the read was sent, as passed to Node.Step
	From   uint64        // requested offset
	Page   logservice.Page
}

// LogReadFailed reports a failed read of the config stream.
type LogReadFailed struct{ Err error }

// SnapshotRead reports the newest snapshot in the snapshots stream.
type SnapshotRead struct{ Data []byte }

// AppendEnded reports the result of an Append or AppendSnapshot effect.
type AppendEnded struct {
	RequestID string
	Err       error // nil, or a typed error of package logservice
}

// RecordProposed requests the append of a record on behalf of an operator.
type RecordProposed struct {
	Token string // token in the record's header, as text
	Data  []byte // encoded record
}

// KeyWithdrawalRequested requests the withdrawal of a key on behalf of an
// operator.
type KeyWithdrawalRequested struct{ KeyID string }

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

// LocalDrainRequested requests the drain of the local upstream.
type LocalDrainRequested struct{}

// NodeDrainRequested requests, on behalf of an operator, the drain of the
// upstream of the given node, which may be this node or another one. The effect
// Decided reports the result.
type NodeDrainRequested struct {
	Token string
	Node  mesh.NodeID
}

// StatusRequested asks the other members, or a sample of them in a large fleet, up to
// which offset they have folded the log. If Offset is above zero, members that are
// known to have folded the record at that offset are skipped.
type StatusRequested struct{ Offset uint64 }

// StopRequested requests a planned stop of the node.
type StopRequested struct{}

// Tick reports that time has passed. Package node sends it every TickInterval.
type Tick struct{}

// MaxDecisionAge is the maximum time between the decision on a Forward or Run and
// its execution. The process can be paused in between, and meanwhile the key can
// be withdrawn or the quota credit of the call can be counted as expired. Package
// node does not execute an older decision and reports it as AttemptFailed with
// NotRun and DecisionExpired.
const MaxDecisionAge = 500 * time.Millisecond

// TickInterval is the interval between Tick events.
const TickInterval = 10 * time.Millisecond

func (*CallArrived) event()            {}
func (*TicketRequested) event()        {}
func (*DownstreamCallArrived) event()  {}
func (*ForwardedCallArrived) event()   {}
func (*ResponseReceived) event()       {}
func (*AttemptFailed) event()          {}
func (*RelayEnded) event()             {}
func (*CallCancelled) event()          {}
func (*MessageReceived) event()        {}
func (*PeerUnreachable) event()        {}
func (*LogRead) event()                {}
func (*LogReadFailed) event()          {}
func (*SnapshotRead) event()           {}
func (*AppendEnded) event()            {}
func (*RecordProposed) event()         {}
func (*KeyWithdrawalRequested) event() {}
func (*UpstreamAnnounced) event()      {}
func (*LocalDrainRequested) event()    {}
func (*NodeDrainRequested) event()     {}
func (*StatusRequested) event()        {}
func (*StopRequested) event()          {}
func (*Tick) event()                   {}

// Response is a complete response held in memory. Only responses to calls with a
// ticket are stored.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// EffectKind selects which fields of an Effect are set.
type EffectKind uint8

// The kinds before Send concern the call that Effect.Call identifies.
const (
	// Refuse responds to the call with Refusal and discards a response that was
	// received but not relayed.
	Refuse EffectKind = iota
	// Forward sends the call to the peer listener of Member with Hop.
	Forward
	// Run sends the call to the local upstream with Token and Remaining. Only Action,
	// Workspace and Service of Hop are set.
	Run
	// Relay passes on the response whose header was reported by ResponseReceived
	// and adds Load for a calling node or Ticket for a caller.
	Relay
	// Replay responds to the call with the stored Response.
	Replay
	// Cancel cancels the current attempt or run of the call. It sends no response.
	Cancel
	// IssueTicket responds to a TicketRequested with Ticket.
	IssueTicket
	// Send sends the control message in Envelope to Member.
	Send
	// Append appends Data to the config stream; AppendEnded reports the result with
	// the same RequestID.
	Append
	// AppendSnapshot appends Data to the snapshots stream in the same way.
	AppendSnapshot
	// Decided reports the Decision on a RecordProposed, KeyWithdrawalRequested or
	// NodeDrainRequested event. RequestID is the event's token or key ID.
	Decided
	// Stopped reports that a planned stop is complete and the process may exit.
	Stopped
)

// Effect is one output of a node. It is a struct and not an interface, so that a
// step does not allocate for each effect.
type Effect struct {
	Kind      EffectKind
	At        time.Duration // time of the decision, set on Forward and Run
	Call      mesh.CallID
	Attempt   int
	Refusal   outcome.Refusal
	Member    mesh.Member
	Hop       Hop
	Token     Token         // identifies a running call to the local upstream
	Remaining time.Duration // Run: time left until the deadline
	Load      *Load
	Ticket    string
	Store     bool // Relay: keep the response and report it in RelayEnded
	Response  *Response
	Envelope  mesh.Envelope
	RequestID string // identifies the append in AppendEnded, or the operator's request that was decided
	Data      []byte // record or snapshot to append
	Decision  *Decision
}

// Decision is the outcome of an operator's request.
type Decision struct {
	Accepted    bool
	Undecided   bool          // not accepted yet, but may still take effect
	Reason      string        // why it was not accepted
	Offset      uint64        // of an accepted record
	Confirmed   []mesh.NodeID // nodes that are known to apply it
	Unconfirmed []mesh.NodeID
}
