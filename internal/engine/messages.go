package engine

import (
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
)

// RecordsRequest asks a node for log records from offset From on.
type RecordsRequest struct{ From uint64 }

// RecordsReply carries the requested records, or a snapshot if the sender no
// longer holds them, and the sender's pending key withdrawals.
type RecordsReply struct {
	Records  []logservice.Record
	Snapshot []byte
	Pending  []keys.ID
}

// StatusRequest asks a node up to which offset it has folded the log.
type StatusRequest struct{}

// StatusReply reports what the sender has folded.
type StatusReply struct {
	Offset   uint64 // next offset to fold
	Revision uint64 // of the folded configuration
	Digest   string // of the folded configuration
}

// DrainRequest asks a node to drain its upstream on behalf of an operator. Token is
// NodeDrainRequested.Token at the sender.
type DrainRequest struct{ Token string }

// DrainReply confirms that the sender drains its upstream, with the token of the
// request.
type DrainReply struct{ Token string }

// Suspect reports that the sender cannot reach Node. It is sent to the node that
// is responsible for removing Node.
type Suspect struct{ Node mesh.NodeID }

// MessageName implements mesh.Message.
func (Suspect) MessageName() string { return "suspect" }

// MessageName implements mesh.Message.
func (RecordsRequest) MessageName() string { return "records-request" }

// MessageName implements mesh.Message.
func (RecordsReply) MessageName() string { return "records-reply" }

// MessageName implements mesh.Message.
func (StatusRequest) MessageName() string { return "status-request" }

// MessageName implements mesh.Message.
func (StatusReply) MessageName() string { return "status-reply" }

// MessageName implements mesh.Message.
func (DrainRequest) MessageName() string { return "drain-request" }

// MessageName implements mesh.Message.
func (DrainReply) MessageName() string { return "drain-reply" }

func init() {
	mesh.RegisterMessage(RecordsRequest{})
	mesh.RegisterMessage(RecordsReply{})
	mesh.RegisterMessage(StatusRequest{})
	mesh.RegisterMessage(StatusReply{})
	mesh.RegisterMessage(Suspect{})
	mesh.RegisterMessage(DrainRequest{})
	mesh.RegisterMessage(DrainReply{})
}
