package routing

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Table holds what one node knows of the upstreams it calls.
type Table struct{ cfg Config }

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg} }

// SetMembers replaces the members of a service.
func (t *Table) SetMembers(now time.Duration, service mesh.Service, members []mesh.Member) {}

// Pick chooses the node for one attempt. exclude names the node of the previous
// attempt; it is chosen only if there is no other. The reason is NoUpstream if
// the service has no member, else None.
func (t *Table) Pick(now time.Duration, service mesh.Service, class mesh.Class, exclude mesh.NodeID) (mesh.Member, outcome.Reason) {
	return mesh.Member{}, outcome.NoUpstream
}

// Sent records that an attempt was sent to a node.
func (t *Table) Sent(now time.Duration, node mesh.NodeID) {}

// Ended records the end of an attempt that was sent.
func (t *Table) Ended(now time.Duration, node mesh.NodeID, s Sample) {}

// SetCut stores the cut that an answer carried. It decays to open unless it is
// refreshed.
func (t *Table) SetCut(now time.Duration, service mesh.Service, cut mesh.Cut) {}

// Cut returns the decayed cut of a service.
func (t *Table) Cut(now time.Duration, service mesh.Service) mesh.Cut { return mesh.OpenCut }
