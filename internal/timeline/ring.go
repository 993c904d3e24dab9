package timeline

import (
	"cmp"
	"slices"
)

// Ring is a ring buffer of the most recent events of one node. It is not safe for
// concurrent use.
type Ring struct {
	events      []Event
	next        int
	full        bool
	overwritten uint64
}

// NewRing returns a ring that holds capacity events, or one if capacity is less
// than one.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, max(capacity, 1))}
}

// Add stores an event. If the ring is full, it overwrites the oldest one.
func (r *Ring) Add(e Event) {
	if r.full {
		r.overwritten++
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

// Overwritten returns the number of events lost because the ring was full.
func (r *Ring) Overwritten() uint64 { return r.overwritten }

// Merge returns the events of all lists, sorted by stamp and then by host. Events
// of one host with the same stamp keep their order.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return merged
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Host, b.Host))
}
