package membership

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Directory is the membership state of one node. It is not safe for concurrent use.
type Directory struct{}

// New returns the Directory of a node.
func New(self mesh.Member, cfg Config) *Directory { return &Directory{} }

// Fold takes the complete list of members in the log, in the order of their joins.
func (d *Directory) Fold(members []mesh.Member) {}

// FoldLeft takes a node-left record of the log.
func (d *Directory) FoldLeft(node, successor mesh.NodeID) {}

// SetLogDown says whether the log is out of reach; only then are joins spread.
func (d *Directory) SetLogDown(down bool) {}

// Announced takes an announcement of the local upstream.
func (d *Directory) Announced(now time.Duration, a Announcement) {}

// Local returns the state of the local upstream.
func (d *Directory) Local(now time.Duration) LocalState { return LocalState{} }

// Drain ends the admission of new work for good.
func (d *Directory) Drain(now time.Duration) {}

// Leave tells peers that this node stops and who its successor is.
func (d *Directory) Leave(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	return out
}

// Service returns the members of a service, sorted by host. The slice is shared
// and must not be changed.
func (d *Directory) Service(s mesh.Service) []mesh.Member { return nil }

// Changed returns the services whose members changed since the last call, sorted.
func (d *Directory) Changed() []mesh.Service { return nil }

// Lookup returns the member of a node.
func (d *Directory) Lookup(n mesh.NodeID) (mesh.Member, bool) { return mesh.Member{}, false }

// Successor returns the node that took over from a departed one.
func (d *Directory) Successor(n mesh.NodeID) (mesh.NodeID, bool) { return mesh.NodeID{}, false }

// ChooseSuccessor returns the member that should take over when this node stops.
func (d *Directory) ChooseSuccessor() (mesh.Member, bool) { return mesh.Member{}, false }

// Len returns the number of members, this node included.
func (d *Directory) Len() int { return 0 }

// Deliver takes a control message.
func (d *Directory) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	return out
}

// Tick sends what is due.
func (d *Directory) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope { return out }
