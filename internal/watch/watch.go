// Package watch plans the reads by which the nodes of a fleet learn of a new declaration
// from the store.
//
// It handles three load patterns. Several declarations in quick succession must not cost a
// read of each by every node: in each data centre a few nodes, the readers, keep a read open
// at the store, and the others learn from them. The store may stop answering, or turn some
// nodes away, and peers may be lost or cut off: a node reads by itself once the knowledge
// that its version is the newest has become too old, few nodes first, so that an outage of
// the store does not make all of them read. And the store may lose a response without the
// connection being closed, so that only a time limit ends the read: each read waits for a
// short time only, and a read that the store did not answer is followed by reads that do not
// wait, until the store answers again.
package watch

import (
	"math/rand/v2"
	"time"
)

const (
	// readers is the number of nodes in each data centre that keep a read open.
	readers = 2
	// minWait and maxWait bound the wait of a read. The longest wait and the first answer
	// limit together are 2.7 s: the platform lets a node be out of date for 3 s after its
	// connections or the store have failed.
	minWait = 1700 * time.Millisecond
	maxWait = 2 * time.Second
	// staleStep is the age of the knowledge after which twice as many nodes of a data centre
	// read, and after each further staleStep twice as many again. Usually some node of the
	// data centre has had an answer of the store in the last two seconds.
	staleStep = 3 * time.Second
	// maxDelay is the longest delay of a node that need not read, since the readers may be
	// lost meanwhile.
	maxDelay = 500 * time.Millisecond
	// settleTime is the time since the start in which a node does not know its peers yet. It
	// reads once in this time.
	settleTime = 1500 * time.Millisecond
	// confirmedByPeers is the age of the knowledge up to which a node whose read has failed
	// relies on its peers, so that one that the store turns away does not insist.
	confirmedByPeers = 2 * time.Second
	// minAnswerLimit and maxAnswerLimit bound the time for the response after the wait.
	// A store under load can take some hundred milliseconds.
	minAnswerLimit = 700 * time.Millisecond
	maxAnswerLimit = 2 * time.Second
)

// View is what a node knows when it plans a read.
type View struct {
	First    bool          // the node has no position at the store yet, so that there is nothing to wait for
	Uptime   time.Duration // since the start of the node
	Rank     int           // number of live nodes of the data centre that are to read rather than this one
	Isolated bool          // the node has no contact to any peer
	// Age is the time since the store last confirmed to any node that the version which this
	// node holds is the newest.
	Age time.Duration
}

// Read is the plan of one read: how long the store waits for a new declaration before it
// responds without one, and how long the response may take in addition. If Delay is not
// zero, the node does not read now, but plans again after it.
type Read struct{ Delay, Wait, AnswerLimit time.Duration }

// Limit returns the time after which the read has failed.
func (r Read) Limit() time.Duration { return r.Wait + r.AnswerLimit }

// Planner plans the reads of one node.
type Planner struct {
	random     *rand.Rand
	unanswered int // reads since the last answered one
}

// NewPlanner returns a planner that spreads the reads of nodes with different seeds.
func NewPlanner(seed uint64) *Planner {
	return &Planner{random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the plan of the next read.
func (p *Planner) Next(v View) Read {
	isReader := v.Rank < readers || v.Isolated
	switch {
	case v.First:
	case v.Uptime < settleTime:
		return Read{Delay: min(settleTime-v.Uptime, maxDelay)}
	case !isReader && v.Rank>>stalePeriods(v.Age) >= readers:
		return Read{Delay: min(staleStep-v.Age%staleStep, maxDelay)}
	}
	if v.First || p.unanswered > 0 || !isReader {
		return Read{AnswerLimit: min(minAnswerLimit<<p.unanswered, maxAnswerLimit)}
	}
	// The reads of all readers start at the same moment after each declaration. The random
	// wait spreads them.
	return Read{Wait: minWait + time.Duration(p.random.Int64N(int64(maxWait-minWait))), AnswerLimit: minAnswerLimit}
}

// ErrorPause returns the least pause after a read that has failed.
func ErrorPause(v View) time.Duration {
	switch {
	case v.First:
		return 0
	case v.Age < confirmedByPeers:
		return confirmedByPeers
	case v.Rank >= readers && !v.Isolated:
		return staleStep
	}
	return 0
}

// stalePeriods returns by how many doublings the number of nodes that read exceeds that of
// the readers.
func stalePeriods(age time.Duration) int { return int(min(max(age, 0)/staleStep, 32)) }

// Answered records that the store answered the last read, be it with an error.
func (p *Planner) Answered() { p.unanswered = 0 }

// Unanswered records that the store did not answer the last read in time.
func (p *Planner) Unanswered() {
	const enough = 8 // lost reads after which the limit has reached maxAnswerLimit
	p.unanswered = min(p.unanswered+1, enough)
}
