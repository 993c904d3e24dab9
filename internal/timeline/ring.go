package timeline

import (
	"cmp"
	"slices"
)

// Ring keeps the most recent events of one node. It is not safe for concurrent use.
type Ring struct {
	events []Event
	next   int
	full   bool
	lost   uint64
}

// NewRing returns a ring that holds capacity events, at least one.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, max(capacity, 1))}
}

// Add stores an event and overwrites the oldest one when the ring is full.
func (r *Ring) Add(e Event) {
	if r.full {
		r.lost++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Events returns a copy of the stored events, oldest first.
func (r *Ring) Events() []Event {
	if !r.full {
		return slices.Clone(r.events[:r.next])
	}
	return append(slices.Clone(r.events[r.next:]), r.events[:r.next]...)
}

// Overwritten returns the number of events overwritten since the start.
func (r *Ring) Overwritten() uint64 { return r.lost }

// Merge returns the events of all rings in one order: by stamp, then by host.
// Events of one host with the same stamp keep their order.
func Merge(rings ...[]Event) []Event {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, compare)
	return merged
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Host, b.Host))
}
