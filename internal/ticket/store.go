package ticket

import (
	"time"
)

// stored names a marker with an answer.
type stored struct {
	owner    *owner
	sequence uint64
	bucket   int64
}

// storeOrder is a queue of stored answers, oldest first. Entries of markers that
// have expired meanwhile are skipped when they reach the front.
type storeOrder struct {
	entries []stored
	head    int
}

func (o *storeOrder) push(s stored) { o.entries = append(o.entries, s) }

func (o *storeOrder) pop() (stored, bool) {
	if o.head == len(o.entries) {
		return stored{}, false
	}
	s := o.entries[o.head]
	o.entries[o.head] = stored{}
	o.head++
	if o.head*2 > len(o.entries) {
		o.entries = append(o.entries[:0], o.entries[o.head:]...)
		o.head = 0
	}
	return s, true
}

func (o *storeOrder) front() (stored, bool) {
	if o.head == len(o.entries) {
		return stored{}, false
	}
	return o.entries[o.head], true
}

// store keeps a finished marker and evicts the oldest answers beyond the bound.
func (b *Registry) store(e *owner, sequence uint64, m marker) {
	e.put(sequence, m, b.cfg.TTL)
	b.finished++
	if m.answer == nil {
		return
	}
	b.stored += size(m.answer)
	b.order.push(stored{e, sequence, int64(m.issued / bucketWidth(b.cfg.TTL))})
	for b.stored > b.cfg.MaxStoredBytes {
		oldest, ok := b.order.pop()
		if !ok {
			return
		}
		b.evict(oldest)
	}
}

// evict drops the answer and keeps the marker.
func (b *Registry) evict(s stored) {
	held := s.owner.buckets[s.bucket]
	if held == nil {
		return
	}
	m, ok := held.markers[s.sequence]
	if !ok {
		return
	}
	b.stored -= size(m.answer)
	m.answer = nil
	held.markers[s.sequence] = m
}

// sweep drops expired markers, owners without valid tickets, and redirects of
// owners whose last ticket has expired. Acceptance of a handover is remembered
// for good: a duplicate that arrives late must not start the clock of its
// tickets again.
func (b *Registry) sweep(now time.Duration) {
	if now < b.nextSweep {
		return
	}
	b.nextSweep = now + bucketWidth(b.cfg.TTL)
	for owner, e := range b.owners {
		markers, bytes := e.sweep(now, b.cfg.TTL)
		b.finished -= markers
		b.stored -= bytes
		if !e.own && len(e.buckets) == 0 && len(e.running) == 0 && e.expired(now, e.sealedAt, b.cfg.TTL) {
			delete(b.owners, owner)
		}
	}
	for owner, r := range b.redirects {
		if now-r.at > 2*b.cfg.TTL {
			delete(b.redirects, owner)
		}
	}
	b.skipExpired()
}

func (b *Registry) skipExpired() {
	for {
		s, ok := b.order.front()
		if !ok || s.owner.buckets[s.bucket] != nil {
			return
		}
		b.order.pop()
	}
}
