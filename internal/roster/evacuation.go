package roster

import (
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
)

// Evacuations returns what the node knows of evacuated data centres. It is to be changed by
// UpdateEvacuations only.
func (r *Roster) Evacuations() *evacuation.Set { return r.evacuations }

// UpdateEvacuations changes what the node knows of evacuated data centres. A change is sent to
// some partners at once, of any data centre, since the readers of one may be silent.
func (r *Roster) UpdateEvacuations(now time.Duration, change func(*evacuation.Set)) {
	before := r.evacuations.Hash()
	change(r.evacuations)
	if r.evacuations.Hash() == before {
		return
	}
	r.changed = true
	d := r.announcement(now)
	d.EvacuationState = r.evacuationState()
	r.gossip(d)
}

// evacuationState returns the state that is sent to peers.
func (r *Roster) evacuationState() *evacuation.State {
	state := r.evacuations.State()
	return &state
}

// compareEvacuations takes over the state in a digest, and sends this node's if the sender knows
// another one. A reply of a reply is not answered, because nodes of earlier versions never
// agree. A repeated state has no effect.
func (r *Roster) compareEvacuations(now time.Duration, d Digest) {
	if d.EvacuationState != nil {
		r.UpdateEvacuations(now, func(s *evacuation.Set) { s.Merge(now, *d.EvacuationState) })
	}
	if d.Evacuations == r.evacuations.Hash() || d.Replies > 1 {
		return
	}
	reply := r.announcement(now)
	reply.EvacuationState, reply.Replies = r.evacuationState(), d.Replies+1
	r.send(d.From, reply)
}

// EvacuatedMembers returns the number of nodes of a service to which work could be sent if no
// data centre were evacuated.
func (r *Roster) EvacuatedMembers(service mesh.Service) int {
	count := 0
	consider := func(rec *Record) {
		if rec.Member.Service == service && r.evacuated(rec) && rec.Phase == Ready && !rec.Stopping && !rec.Left {
			count++
		}
	}
	consider(&r.self)
	for _, e := range r.entries {
		consider(&e.record)
	}
	return count
}

// evacuated reports whether the node of the record, or its data centre, is known to be
// evacuated.
func (r *Roster) evacuated(rec *Record) bool {
	return rec.Evacuated || r.evacuations.Evacuated(rec.Member.DataCentre)
}
