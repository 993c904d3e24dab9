package ticket

import (
	"time"
)

// storedAnswer refers to a marker that was stored with an answer.
type storedAnswer struct {
	owner    *ownerEntry
	sequence uint64
	bucket   int64 // key in owner.buckets
}

// answerQueue is a FIFO queue of stored answers, in the order of eviction. Entries
// whose marker has expired are skipped when they reach the front.
type answerQueue struct {
	entries []storedAnswer
	head    int // index of the front of the queue
}

func (q *answerQueue) push(s storedAnswer) { q.entries = append(q.entries, s) }

func (q *answerQueue) pop() (storedAnswer, bool) {
	if q.head == len(q.entries) {
		return storedAnswer{}, false
	}
	s := q.entries[q.head]
	q.entries[q.head] = storedAnswer{}
	q.head++
	if q.head*2 > len(q.entries) {
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	return s, true
}

func (q *answerQueue) front() (storedAnswer, bool) {
	if q.head == len(q.entries) {
		return storedAnswer{}, false
	}
	return q.entries[q.head], true
}

// store adds the marker of a finished ticket and evicts the answers stored first
// while Config.MaxStoredBytes is exceeded.
func (reg *Registry) store(e *ownerEntry, sequence uint64, m marker) {
	e.put(sequence, m, reg.cfg.TTL)
	reg.finishedCount++
	if m.answer == nil {
		return
	}
	reg.storedBytes += answerSize(m.answer)
	reg.answers.push(storedAnswer{e, sequence, int64(m.issued / bucketWidth(reg.cfg.TTL))})
	for reg.storedBytes > reg.cfg.MaxStoredBytes {
		oldest, ok := reg.answers.pop()
		if !ok {
			return
		}
		reg.evict(oldest)
	}
}

// evict removes the answer of a finished ticket and keeps its marker.
func (reg *Registry) evict(s storedAnswer) {
	b := s.owner.buckets[s.bucket]
	if b == nil {
		return
	}
	m, ok := b.markers[s.sequence]
	if !ok {
		return
	}
	reg.storedBytes -= answerSize(m.answer)
	m.answer = nil
	b.markers[s.sequence] = m
}

// sweep removes expired markers, owners without valid tickets, and redirects older
// than twice Config.TTL, whose owner's last ticket has expired. The digests of
// accepted handovers are never removed: a late duplicate would otherwise be accepted
// again and renew the lifetime of its tickets.
func (reg *Registry) sweep(now time.Duration) {
	if now < reg.nextSweep {
		return
	}
	reg.nextSweep = now + bucketWidth(reg.cfg.TTL)
	for owner, e := range reg.owners {
		markers, bytes := e.sweep(now, reg.cfg.TTL)
		reg.finishedCount -= markers
		reg.storedBytes -= bytes
		if !e.local && len(e.buckets) == 0 && len(e.running) == 0 && e.expired(now, e.sealedAt, reg.cfg.TTL) {
			delete(reg.owners, owner)
		}
	}
	for owner, r := range reg.redirects {
		if now-r.at > 2*reg.cfg.TTL {
			delete(reg.redirects, owner)
		}
	}
	reg.dropExpired()
}

// dropExpired removes entries whose bucket has expired from the front of the answer
// queue.
func (reg *Registry) dropExpired() {
	for {
		s, ok := reg.answers.front()
		if !ok || s.owner.buckets[s.bucket] != nil {
			return
		}
		reg.answers.pop()
	}
}
