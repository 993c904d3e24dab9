package ticket

import (
	"hash"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// bucketsPerTTL is into how many parts by issue time the markers of a ticket
// life are divided. Whole parts expire, so that no marker needs a timer.
const bucketsPerTTL = 64

// owner is the state for the tickets of one owner.
type owner struct {
	owner    mesh.NodeID
	key      [32]byte
	mac      hash.Hash
	own      bool
	anchor   time.Duration // local time of acceptance
	fast     time.Duration // owner's clock at anchor, upper estimate
	slow     time.Duration // owner's clock at anchor, lower estimate
	sealedAt time.Duration // last issue time that can be genuine; not used if own
	drift    time.Duration // per mille
	running  map[uint64]*run
	buckets  map[int64]*bucket
}

// run is a ticket whose execution is under way.
type run struct {
	issued  time.Duration
	waiting []mesh.CallID
}

// bucket holds the finished tickets of one part of the issue times.
type bucket struct {
	markers map[uint64]marker
}

// marker is a finished ticket.
type marker struct {
	issued    time.Duration
	answer    *Answer // nil if not stored
	execution outcome.Execution
	reason    outcome.Reason
}

// fastClock returns the latest time the owner's clock can show.
func (e *owner) fastClock(now time.Duration) time.Duration {
	elapsed := now - e.anchor
	return e.fast + elapsed + elapsed*e.drift/1000
}

// slowClock returns the earliest time the owner's clock can show.
func (e *owner) slowClock(now time.Duration) time.Duration {
	elapsed := now - e.anchor
	return e.slow + elapsed - elapsed*e.drift/1000
}

// expired reports whether the ticket may no longer start.
func (e *owner) expired(now, issued, ttl time.Duration) bool {
	return e.fastClock(now) >= issued+ttl
}

// plausible reports whether the owner can have issued a ticket at that time.
func (e *owner) plausible(now, issued time.Duration) bool {
	if e.own {
		return issued <= e.fastClock(now)
	}
	return issued <= e.sealedAt
}

func bucketWidth(ttl time.Duration) time.Duration {
	return max(ttl/bucketsPerTTL, 1)
}

func (e *owner) find(f fields, ttl time.Duration) (marker, bool) {
	b := e.buckets[int64(f.issued/bucketWidth(ttl))]
	if b == nil {
		return marker{}, false
	}
	m, ok := b.markers[f.sequence]
	return m, ok
}

func (e *owner) put(sequence uint64, m marker, ttl time.Duration) {
	index := int64(m.issued / bucketWidth(ttl))
	b := e.buckets[index]
	if b == nil {
		b = &bucket{markers: map[uint64]marker{}}
		e.buckets[index] = b
	}
	b.markers[sequence] = m
}

// sweep drops the buckets whose last ticket has expired by the slow clock and
// returns the number of markers and stored bytes dropped.
func (e *owner) sweep(now, ttl time.Duration) (markers, bytes int) {
	width := bucketWidth(ttl)
	for index, b := range e.buckets {
		if e.slowClock(now) < time.Duration(index+1)*width+ttl {
			continue
		}
		markers += len(b.markers)
		for _, m := range b.markers {
			bytes += size(m.answer)
		}
		delete(e.buckets, index)
	}
	return markers, bytes
}

// size is the number of bytes an answer counts for.
func size(a *Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
