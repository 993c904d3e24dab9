package roster

import "cardamomhatch/internal/mesh"

// departureReturns is the mean number of nodes that return a departure for one record of the
// new incarnation. Fleets of fewer nodes return it from each.
const departureReturns = 8

// Departure is the first announcement by which a start of an upstream said that it leaves.
// Once the node beside the upstream has acknowledged it, the upstream gets no new work, also
// if that node starts again and an earlier announcement arrives late. The node therefore
// keeps it in its record and in the platform's store; its peers return it to the node's next
// incarnation.
type Departure struct {
	Instance     string // empty: no departure
	StartTime    int64  // of the upstream, in Unix milliseconds; zero: not known
	Sequence     uint64 // of the announcement; a deregistration has none
	Deregistered bool   // only a restart makes the upstream ready again
}

// IsZero reports whether there is no departure.
func (d Departure) IsZero() bool { return d.Instance == "" }

// NewerThan reports whether the departure is to replace another one of the same host.
func (d Departure) NewerThan(other Departure) bool {
	switch {
	case d.IsZero() || other.IsZero():
		return !d.IsZero()
	case d.StartTime != other.StartTime:
		return d.StartTime > other.StartTime
	case d.Deregistered != other.Deregistered:
		return d.Deregistered
	}
	return d.Sequence > other.Sequence
}

// EarlierDeparture returns the newest departure that an earlier incarnation of this node has
// acknowledged, as far as the peers have returned it.
func (r *Roster) EarlierDeparture() Departure { return r.earlierDeparture }

// OrphanedDepartures returns the departures of hosts whose nodes have left or are silent, so that
// they cannot write them to the store again, as far as this node is the one that is to do so
// among the live ones.
func (r *Roster) OrphanedDepartures() map[mesh.Host]Departure {
	out := map[mesh.Host]Departure{}
	for host, e := range r.entries {
		if e.departure.IsZero() || !e.silent && !e.record.Left {
			continue
		}
		own, chosen := mesh.RendezvousScore(string(host), r.self.Member.Node), true
		for _, other := range r.entries {
			if other.confirmed && !other.silent && !other.record.Left && mesh.RendezvousScore(string(host), other.record.Member.Node) > own {
				chosen = false
				break
			}
		}
		if chosen {
			out[host] = e.departure
		}
	}
	return out
}

// learnDeparture takes the departure from a record of this node's host.
func (r *Roster) learnDeparture(rec *Record) {
	if rec.Departure.NewerThan(r.earlierDeparture) {
		r.earlierDeparture = rec.Departure
	}
}

// keepDeparture keeps the departure of a record in its entry. If the record is that of a new
// incarnation, which does not know of the departure, some of the nodes return it.
func (r *Roster) keepDeparture(e *entry, rec *Record) {
	if !rec.Departure.IsZero() {
		e.departure = rec.Departure
		return
	}
	if !e.departure.IsZero() && r.random.Float64()*float64(len(r.entries)) < departureReturns {
		r.send(rec.Member, News{Records: []Record{{Member: rec.Member, Departure: e.departure}}})
	}
}
