// Package evacuation holds which data centres the operator has evacuated, as one node knows
// it.
//
// An operator evacuates a data centre because its upstreams must get no request any more, at
// any time: while the store is down or forgets its history, while nodes restart or are paused,
// and while another data centre is being evacuated. What is known therefore arrives in any
// order, from the store and from peers, and may be late. Each statement about a data centre has
// the position in the store's log of the record that made it, and the newest position wins. In
// addition, a set knows up to which position it is complete. A statement from before that
// position about a data centre that is not in the set is late and has no effect, so that the
// data centres that were taken back need not be remembered for ever.
//
// The store may also come back from an older copy. It then counts its positions in a new era,
// and lacks records that the operator has been told are stored, until the operator writes them
// again. What was known from the era before is kept until then.
package evacuation

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// SettleTime is the time since an era was first seen after which a listing of the store
	// lacks only data centres that are not evacuated. The operator needs some seconds to
	// write again what the store has lost.
	SettleTime = 5 * time.Second
	// maxEntries and maxNameLength, in bytes, bound what peers can make a node hold.
	maxEntries    = 256
	maxNameLength = 255
	// maxOffset bounds the offsets that are accepted of peers: a larger one than any of the
	// store would hide all later records.
	maxOffset = 1 << 62
)

// Position is a position in the log of the operator's records: the era of the store and the
// offset after the last record before the position.
type Position struct{ Era, Offset uint64 }

// Compare orders positions from the oldest to the newest.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// String formats the position as era.offset.
func (p Position) String() string {
	return strconv.FormatUint(p.Era, 10) + "." + strconv.FormatUint(p.Offset, 10)
}

// valid reports whether a position received from a peer can be one of the store.
func (p Position) valid() bool { return p.Era <= maxOffset && p.Offset <= maxOffset }

// Entry states whether a data centre is evacuated, by a record or a listing that ends at the
// position At.
type Entry struct {
	DataCentre mesh.DataCentre
	Evacuated  bool
	At         Position
}

// State is what one node tells another. If Known is set, it is complete up to Through; the
// entries may include newer ones. Settled states that this holds for the earlier eras, too.
type State struct {
	Entries        []Entry
	Through        Position
	Known, Settled bool
}

// covers reports whether the state includes what a record before the position says.
func (s *State) covers(at Position) bool {
	if !s.Known || at.Compare(s.Through) > 0 {
		return false
	}
	return at.Era == s.Through.Era || s.Settled
}

// lacks reports whether the data centre of the entry is not evacuated because the complete
// state does not name it.
func (s *State) lacks(e Entry) bool {
	return s.covers(e.At) && !slices.ContainsFunc(s.Entries, func(other Entry) bool { return other.DataCentre == e.DataCentre })
}

// Set holds what one node knows. It is not safe for concurrent use. Times are durations since
// one arbitrary start.
type Set struct {
	entries  map[mesh.DataCentre]Entry
	complete State         // its Entries are not used
	hash     uint64        // of the entries
	era      uint64        // highest seen
	eraSince time.Duration // when it was first seen
	changes  []Entry
}

// New returns a set that knows nothing.
func New() *Set { return &Set{entries: map[mesh.DataCentre]Entry{}} }

// SeeEra records that the store or a peer has named an era, and reports whether it is higher
// than all before.
func (s *Set) SeeEra(now time.Duration, era uint64) bool {
	if era <= s.era || era > maxOffset {
		return false
	}
	s.era, s.eraSince = era, now
	return true
}

// Era returns the highest era seen.
func (s *Set) Era() uint64 { return s.era }

// Listed takes over a complete listing of the store. It includes all records before the
// position through; evacuated are the data centres that it names.
func (s *Set) Listed(now time.Duration, through Position, evacuated []Entry) {
	s.SeeEra(now, through.Era)
	settled := through.Era == s.era && now-s.eraSince >= SettleTime
	s.merge(State{Entries: evacuated, Through: through, Known: true, Settled: settled})
}

// Read takes over the records between the position up to which the set is complete and
// through, in their order.
func (s *Set) Read(now time.Duration, through Position, records []Entry) {
	s.SeeEra(now, through.Era)
	for _, e := range records {
		s.put(e)
	}
	if s.complete.Known && through.Era == s.complete.Through.Era && through.Offset > s.complete.Through.Offset {
		s.complete.Through = through
	}
}

// Merge takes over the state of a peer, as far as it is newer. Entries of a state that is not
// Known are single statements.
func (s *Set) Merge(now time.Duration, state State) {
	if !state.Through.valid() || len(state.Entries) > maxEntries {
		return
	}
	for _, e := range state.Entries {
		if !e.At.valid() || e.DataCentre == "" || len(e.DataCentre) > maxNameLength {
			return
		}
	}
	for _, e := range state.Entries {
		s.SeeEra(now, e.At.Era)
	}
	s.SeeEra(now, state.Through.Era)
	s.merge(state)
}

func (s *Set) merge(state State) {
	for _, e := range state.Entries {
		s.put(e)
	}
	if !state.Known {
		return
	}
	for _, e := range s.entries {
		if state.lacks(e) {
			s.remove(e, state.Through)
		}
	}
	c := &s.complete
	switch {
	case !c.Known || state.Through.Era > c.Through.Era:
		c.Through, c.Known, c.Settled = state.Through, true, state.Settled
	case state.Through.Era == c.Through.Era:
		c.Through.Offset = max(c.Through.Offset, state.Through.Offset)
		c.Settled = c.Settled || state.Settled
	}
}

// put takes over an entry if it is newer than what is known of its data centre.
func (s *Set) put(e Entry) {
	old, known := s.entries[e.DataCentre]
	switch {
	case known && e.At.Compare(old.At) <= 0, !known && s.complete.covers(e.At):
		return
	case !known && len(s.entries) >= maxEntries:
		return
	}
	if known {
		s.hash ^= old.hash()
	}
	s.entries[e.DataCentre] = e
	s.hash ^= e.hash()
	if e.Evacuated != old.Evacuated {
		s.changes = append(s.changes, e)
	}
}

// remove forgets a data centre that a complete state does not name.
func (s *Set) remove(e Entry, through Position) {
	delete(s.entries, e.DataCentre)
	s.hash ^= e.hash()
	if e.Evacuated {
		s.changes = append(s.changes, Entry{DataCentre: e.DataCentre, At: through})
	}
}

func (e Entry) hash() uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(string(e.DataCentre) + "\n" + e.At.String() + "\n" + strconv.FormatBool(e.Evacuated)))
	return h.Sum64()
}

// Evacuated reports whether the data centre is evacuated.
func (s *Set) Evacuated(d mesh.DataCentre) bool { return s.entries[d].Evacuated }

// At returns the position of the last known statement about the data centre.
func (s *Set) At(d mesh.DataCentre) Position { return s.entries[d].At }

// Active returns the evacuated data centres in the order of their names.
func (s *Set) Active() []mesh.DataCentre {
	var out []mesh.DataCentre
	for d, e := range s.entries {
		if e.Evacuated {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// Known reports whether the set was complete at some position: the store or a peer has told
// the state of all data centres.
func (s *Set) Known() bool { return s.complete.Known }

// Hash returns a hash of the entries, which is zero if there are none.
func (s *Set) Hash() uint64 { return s.hash }

// State returns what another node may be told.
func (s *Set) State() State {
	out := s.complete
	for _, d := range slices.Sorted(maps.Keys(s.entries)) {
		out.Entries = append(out.Entries, s.entries[d])
	}
	return out
}

// Changes returns the changes of which data centres are evacuated since the last call.
func (s *Set) Changes() []Entry {
	out := s.changes
	s.changes = nil
	return out
}

// ListingDue reports whether a listing would show which data centres that were evacuated in an
// earlier era still are.
func (s *Set) ListingDue(now time.Duration) bool {
	if now-s.eraSince < SettleTime {
		return false
	}
	for _, e := range s.entries {
		if e.Evacuated && e.At.Era < s.era {
			return true
		}
	}
	return false
}
