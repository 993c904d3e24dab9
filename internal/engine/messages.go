package engine

import (
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
)

// RecordsRequest asks a node for log records from an offset on.
type RecordsRequest struct{ From uint64 }

// RecordsReply carries records, or a snapshot if the sender no longer has the
// records, and the sender's pending withdrawals.
type RecordsReply struct {
	Records  []logservice.Record
	Snapshot []byte
	Pending  []keys.ID
}

// StatusRequest asks a node how far it has folded the log.
type StatusRequest struct{}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Offset   uint64
	Revision uint64
	Digest   string
}

// DrainRequest asks a node to drain its upstream on behalf of an operator.
type DrainRequest struct{ Token string }

// DrainReply says that the sender's upstream drains.
type DrainReply struct{ Token string }

// Suspect tells the node that would remove another one that the sender cannot
// reach it.
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
