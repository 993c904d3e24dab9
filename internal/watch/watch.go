// Package watch plans the reads by which a node waits for a new declaration at the store.
//
// A response can be lost without the connection being closed, so that only a time limit
// ends the read. Each read therefore waits for a short time only. A read that the store
// did not answer is followed by reads that do not wait, until the store answers again.
package watch

import (
	"math/rand/v2"
	"time"
)

const (
	// minWait and usualWait bound the wait of a read in fleets of up to 160 nodes. The
	// longest wait and the first answer limit together are 2.7 s: the platform lets a node
	// be out of date for 3 s after its connections or the store have failed.
	minWait   = 1700 * time.Millisecond
	usualWait = 2 * time.Second
	// maxWait is the longest wait that the platform allows.
	maxWait = 30 * time.Second
	// readsPerSecond bounds the reads of all nodes together in which no declaration
	// arrives, as long as maxWait is not reached. It is less than a twentieth of what the
	// stores of small deployments answer. The nodes of larger fleets learn of a new
	// declaration from each other.
	readsPerSecond = 90
	// minAnswerLimit and maxAnswerLimit bound the time for the response after the wait.
	// A store under load can take some hundred milliseconds.
	minAnswerLimit = 700 * time.Millisecond
	maxAnswerLimit = 2 * time.Second
)

// Read is the plan of one read: how long the store waits for a new declaration before it
// responds without one, and how long the response may take in addition.
type Read struct{ Wait, AnswerLimit time.Duration }

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

// Next returns the plan of the next read of a node that knows of the given number of
// nodes, itself included. first states that the node has no position at the store yet, so
// that there is nothing to wait for.
func (p *Planner) Next(nodes int, first bool) Read {
	if first || p.unanswered > 0 {
		return Read{AnswerLimit: min(minAnswerLimit<<p.unanswered, maxAnswerLimit)}
	}
	// The reads of all nodes start at the same moment after each declaration. The random
	// wait spreads them, so that some node of a large fleet always reads soon.
	longest := min(max(2*time.Duration(nodes)*time.Second/readsPerSecond-minWait, usualWait), maxWait)
	return Read{Wait: minWait + time.Duration(p.random.Int64N(int64(longest-minWait))), AnswerLimit: minAnswerLimit}
}

// Answered records that the store answered the last read, be it with an error.
func (p *Planner) Answered() { p.unanswered = 0 }

// Unanswered records that the store did not answer the last read in time.
func (p *Planner) Unanswered() {
	const enough = 8 // lost reads after which the limit has reached maxAnswerLimit
	p.unanswered = min(p.unanswered+1, enough)
}
