package ticket

import (
	"hash"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// bucketsPerTTL is the number of buckets into which the markers of one ticket
// lifetime are grouped by issue time. A bucket expires as a whole, so that no
// marker needs its own timer.
const bucketsPerTTL = 64

// ownerEntry holds the state of the tickets that one node, the owner, issued.
type ownerEntry struct {
	id               mesh.NodeID
	key              [32]byte
	mac              hash.Hash
	local            bool                      // this node is the owner; both bounds then equal its own clock
	acceptedAt       time.Duration             // this node's clock when the handover was accepted
	latestAtAccept   time.Duration             // upper bound of the owner's clock at acceptedAt
	earliestAtAccept time.Duration             // lower bound of the owner's clock at acceptedAt
	sealedAt         time.Duration             // latest possible issue time; unused if local
	driftPerMille    time.Duration             // largest difference in clock rate, per mille
	running          map[uint64]*runningTicket // by sequence number
	buckets          map[int64]*bucket         // by issue time divided by bucketWidth
}

// runningTicket is a ticket whose execution is in progress.
type runningTicket struct {
	issued  time.Duration // owner's clock
	waiting []mesh.CallID // retries that get the outcome of this execution
}

// bucket holds the finished tickets of one interval of issue times.
type bucket struct {
	markers map[uint64]marker // by sequence number
}

// marker is the record of a finished ticket.
type marker struct {
	issued    time.Duration // owner's clock
	answer    *Answer       // nil if not stored
	execution outcome.Execution
	reason    outcome.Reason
}

// latestClock returns the upper bound of the owner's clock.
func (e *ownerEntry) latestClock(now time.Duration) time.Duration {
	elapsed := now - e.acceptedAt
	return e.latestAtAccept + elapsed + elapsed*e.driftPerMille/1000
}

// earliestClock returns the lower bound of the owner's clock.
func (e *ownerEntry) earliestClock(now time.Duration) time.Duration {
	elapsed := now - e.acceptedAt
	return e.earliestAtAccept + elapsed - elapsed*e.driftPerMille/1000
}

// expired reports whether a ticket with this issue time may no longer be executed.
func (e *ownerEntry) expired(now, issued, ttl time.Duration) bool {
	return e.latestClock(now) >= issued+ttl
}

// couldHaveIssued reports whether the owner can have issued a ticket at the given
// time on its clock. If not, the ticket is forged even if its MAC is correct.
func (e *ownerEntry) couldHaveIssued(now, issued time.Duration) bool {
	if e.local {
		return issued <= e.latestClock(now)
	}
	return issued <= e.sealedAt
}

// bucketWidth returns the length of the interval of issue times of one bucket.
func bucketWidth(ttl time.Duration) time.Duration {
	return max(ttl/bucketsPerTTL, 1)
}

func (e *ownerEntry) find(f fields, ttl time.Duration) (marker, bool) {
	b := e.buckets[int64(f.issued/bucketWidth(ttl))]
	if b == nil {
		return marker{}, false
	}
	m, ok := b.markers[f.sequence]
	return m, ok
}

func (e *ownerEntry) put(sequence uint64, m marker, ttl time.Duration) {
	index := int64(m.issued / bucketWidth(ttl))
	b := e.buckets[index]
	if b == nil {
		b = &bucket{markers: map[uint64]marker{}}
		e.buckets[index] = b
	}
	b.markers[sequence] = m
}

// sweep removes the buckets whose last ticket has expired by earliestClock and
// returns the number of markers and of stored bytes removed.
func (e *ownerEntry) sweep(now, ttl time.Duration) (markers, bytes int) {
	width := bucketWidth(ttl)
	for index, b := range e.buckets {
		if e.earliestClock(now) < time.Duration(index+1)*width+ttl {
			continue
		}
		markers += len(b.markers)
		for _, m := range b.markers {
			bytes += answerSize(m.answer)
		}
		delete(e.buckets, index)
	}
	return markers, bytes
}

// answerSize returns the number of bytes that an answer counts towards the bounds.
func answerSize(a *Answer) int {
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
