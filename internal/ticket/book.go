package ticket

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Book decides on the tickets of one node. It is not safe for concurrent use.
type Book struct{}

// New returns the Book of a node.
func New(self mesh.NodeID, macKey [32]byte, cfg Config) *Book { return &Book{} }

// Issue returns a new ticket, or "" after Seal.
func (b *Book) Issue(now time.Duration, ws mesh.Workspace) string { return "" }

// Begin decides on a call that presents a ticket.
func (b *Book) Begin(now time.Duration, ticket string, ws mesh.Workspace, call mesh.CallID) Beginning {
	return Beginning{}
}

// Finish stores the whole answer of a fresh ticket and returns the waiting calls.
func (b *Book) Finish(now time.Duration, ticket string, answer Answer) (waiting []mesh.CallID) {
	return nil
}

// NotRun makes a fresh ticket usable again; only on proof that it did not run.
func (b *Book) NotRun(now time.Duration, ticket string) (waiting []mesh.CallID) { return nil }

// Failed finishes a fresh ticket that may have run or ran without a whole answer.
func (b *Book) Failed(now time.Duration, ticket string, r outcome.Refusal) (waiting []mesh.CallID) {
	return nil
}

// Gone removes a waiting call whose caller disconnected.
func (b *Book) Gone(ticket string, call mesh.CallID) {}

// Close stops new executions and names the successor.
func (b *Book) Close(now time.Duration, successor mesh.NodeID) {}

// Running returns the number of executions under way.
func (b *Book) Running() int { return 0 }

// Seal ends all acceptance at this node; what still runs is handed over as may-have-run.
func (b *Book) Seal(now time.Duration) Handover { return Handover{} }

// Accept takes over the estates of a stopped node.
func (b *Book) Accept(now time.Duration, h Handover) error { return nil }

// Redirect records that the tickets of a stopped owner are at its successor.
func (b *Book) Redirect(now time.Duration, owner, successor mesh.NodeID) {}

// Owner returns the node that issued the ticket; the MAC is not checked.
func Owner(ticket string) (mesh.NodeID, error) { return mesh.NodeID{}, nil }
