package roster

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// askTimeout is how long a node waits for a declaration that it has requested from one peer
// before it requests it from another. Peers announce a new declaration almost at the same
// time, and it can be large.
const askTimeout = 400 * time.Millisecond

// declarationState is what a node knows about the operator's declaration.
type declarationState struct {
	version   uint64        // that the node holds; zero if none
	learnedAt time.Duration // when the node got it
	// confirmedAt is the time of the newest answer of the store to any node by which version
	// is the newest, if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	asked       uint64        // version that was requested last
	askedAt     time.Duration // when it was requested
}

// SetDeclarationVersion sets the version of the declaration that the node holds. A newer
// version is announced to some partners in the node's data centre at once; an older one is
// ignored. Other data centres have readers of their own, and the digests reach them.
func (r *Roster) SetDeclarationVersion(now time.Duration, version uint64) {
	if version <= r.declaration.version {
		return
	}
	r.declaration = declarationState{version: version, learnedAt: now}
	r.gossipTo(r.localPartnersOf(r.currentPartners().chosen), r.announcement(now))
}

// ConfirmDeclaration records that, by an answer of the store at the given time, the version
// which the node holds was the newest.
func (r *Roster) ConfirmDeclaration(at time.Duration) {
	if d := &r.declaration; !d.confirmed || at > d.confirmedAt {
		d.confirmedAt, d.confirmed = at, true
	}
}

// DeclarationAge returns how long ago the node got the declaration, or the store last
// confirmed to any node that it is the newest.
func (r *Roster) DeclarationAge(now time.Duration) time.Duration {
	d := &r.declaration
	if d.confirmed {
		return now - max(d.learnedAt, d.confirmedAt)
	}
	return now - d.learnedAt
}

// announcement returns a digest without the hash of the records.
func (r *Roster) announcement(now time.Duration) Digest {
	d := Digest{
		From: r.self.Member, Version: r.declaration.version, Confirmed: r.declaration.confirmed,
		ReadRound: r.reads.round, Substitute: r.reads.substitute, Evacuations: r.evacuations.Hash(),
		Era: r.evacuations.Era(),
	}
	if d.Confirmed {
		d.Age = now - r.declaration.confirmedAt
	}
	return d
}

// compareDeclaration requests the declaration if the sender of a digest holds a newer one,
// and announces this node's if it holds an older one.
func (r *Roster) compareDeclaration(now time.Duration, d Digest) {
	own := &r.declaration
	switch {
	case d.Version > own.version:
		if own.asked < d.Version || now-own.askedAt > askTimeout {
			own.asked, own.askedAt = d.Version, now
			r.send(d.From, Ask{From: r.self.Member, Declaration: true})
		}
	case d.Version < own.version:
		r.send(d.From, r.announcement(now))
	case d.Confirmed && own.version > 0:
		r.ConfirmDeclaration(now - d.Age)
	}
}

// ReaderRank returns how many live nodes of the node's data centre are to read the
// declaration from the store rather than this node. The order is the same at all nodes that
// know the same nodes.
func (r *Roster) ReaderRank() int {
	dataCentre := r.self.Member.DataCentre
	own := mesh.RendezvousScore(string(dataCentre), r.self.Member.Node)
	rank := 0
	for _, e := range r.entries {
		m := &e.record.Member
		if m.DataCentre == dataCentre && e.confirmed && !e.silent && !e.record.Left && !e.record.Stopping && mesh.RendezvousScore(string(dataCentre), m.Node) > own {
			rank++
		}
	}
	return rank
}
