// Package watch plans the reads by which the nodes of a fleet learn of a new declaration
// from the store.
//
// It handles five load patterns. Several declarations in quick succession must not cost a
// read of each by every node: in each data centre a few nodes, the readers, keep a read open
// at the store, and the others learn from them. The store may stop answering, or turn some
// nodes away, and peers may be lost or cut off: a node reads by itself once the knowledge
// that its version is the newest has become too old, few nodes first, so that an outage of
// the store does not make all of them read. The store may lose a response without the
// connection being closed, so that only a time limit ends the read: each read waits for a
// short time only, and a read that the store did not answer is followed by reads that do not
// wait, until the store answers again. And the store may answer none of the readers, but other
// nodes: one reader of each data centre waits for a very short time, and if it is not answered,
// the others read once, until the store answers one of them, which then reads in its place.
// Open connections may go silent while new ones work: a lost read is repeated once without a
// pause.
package watch

import (
	"math/rand/v2"
	"time"
)

const (
	// readers is the number of nodes in each data centre that keep a read open.
	readers = 2
	// substitutes is the number of nodes of a data centre that read once if the store does not
	// answer its readers.
	substitutes = 20
	// checkStep is the time between the reads of two of these nodes, and maxCheckDelay the
	// longest time until such a read. Most of these nodes hear that the store has answered
	// another one and do not read.
	checkStep     = 10 * time.Millisecond
	maxCheckDelay = 150 * time.Millisecond
	// recheckInterval is the time until such a node reads again because of the same doubt, if
	// its knowledge is older than recheckAge. The platform lets a node be out of date for 3 s
	// after the store has begun to answer it.
	recheckInterval = 2700 * time.Millisecond
	recheckAge      = 1500 * time.Millisecond
	// minWait and maxWait bound the wait of a read. The longest wait and the first answer
	// limit together are 2.7 s: the platform lets a node be out of date for 3 s after its
	// connections or the store have failed.
	minWait = 1700 * time.Millisecond
	maxWait = 2 * time.Second
	// minPromptWait, maxPromptWait and promptAnswerLimit take the place of minWait, maxWait and
	// minAnswerLimit in reads which are to show soon that the store does not answer. With the
	// reads of the others after it, a declaration is known within the operator's two seconds.
	minPromptWait     = 700 * time.Millisecond
	maxPromptWait     = 900 * time.Millisecond
	promptAnswerLimit = 400 * time.Millisecond
	// staleStep is the age of the knowledge after which twice as many nodes of a data centre
	// read, and after each further staleStep twice as many again. Usually some node of the
	// data centre has had an answer of the store in the last two seconds.
	staleStep = 3 * time.Second
	// maxDelay is the longest delay of a node that need not read, since the readers may be
	// lost meanwhile.
	maxDelay = 500 * time.Millisecond
	// refusedInterval is the least time between two reads that the store refuses, so that an
	// outage costs few calls. It is well below the 3 s after which a node must be up to date.
	refusedInterval = 1200 * time.Millisecond
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
	// Substitute is set if the data centre relies on this node although it is no reader.
	Substitute bool
	// Doubt is the number of the doubt in which the data centre is, zero for none: the store did
	// not answer a node on which the data centre relies, and has not answered another one since.
	// A new doubt has a higher number. DoubtAge is the time since the node heard of it.
	Doubt    uint64
	DoubtAge time.Duration
}

// Read is the plan of one read: how long the store waits for a new declaration before it
// responds without one, and how long the response may take in addition. If Delay is not
// zero, the node does not read now, but plans again after it. Check is set if the node is no
// reader and reads because of a doubt.
type Read struct {
	Delay, Wait, AnswerLimit time.Duration
	Check                    bool
}

// Limit returns the time after which the read has failed.
func (r Read) Limit() time.Duration { return r.Wait + r.AnswerLimit }

// Planner plans the reads of one node.
type Planner struct {
	random     *rand.Rand
	unanswered int           // reads since the last answered one
	checked    uint64        // last doubt because of which the node has read
	checkedAt  time.Duration // uptime at that read
}

// NewPlanner returns a planner that spreads the reads of nodes with different seeds.
func NewPlanner(seed uint64) *Planner {
	return &Planner{random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the plan of the next read.
func (p *Planner) Next(v View) Read {
	isReader := v.Rank < readers || v.Isolated || v.Substitute
	// The last of the readers and a substitute show soon that the store does not answer.
	prompt := v.Rank == readers-1 || v.Substitute
	answerLimit := minAnswerLimit
	if prompt {
		answerLimit = promptAnswerLimit
	}
	switch {
	case v.First:
	case v.Uptime < settleTime:
		return Read{Delay: min(settleTime-v.Uptime, maxDelay)}
	case !isReader && v.Doubt > 0 && v.Rank < readers+substitutes:
		return p.check(v)
	case !isReader && v.Rank>>stalePeriods(v.Age) >= readers:
		return Read{Delay: min(staleStep-v.Age%staleStep, maxDelay)}
	}
	if v.First || p.unanswered > 0 || !isReader {
		return Read{AnswerLimit: min(answerLimit<<p.unanswered, maxAnswerLimit)}
	}
	if prompt {
		return Read{Wait: p.between(minPromptWait, maxPromptWait), AnswerLimit: answerLimit}
	}
	// The reads of all readers start at the same moment after each declaration. The random
	// wait spreads them.
	return Read{Wait: p.between(minWait, maxWait), AnswerLimit: answerLimit}
}

// between returns a random time of at least low and less than high.
func (p *Planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// check plans the read of a node that is no reader while its data centre is in doubt.
func (p *Planner) check(v View) Read {
	wait := min(time.Duration(v.Rank-readers)*checkStep, maxCheckDelay) - v.DoubtAge
	if v.Doubt == p.checked {
		wait = max(recheckInterval-(v.Uptime-p.checkedAt), recheckAge-v.Age)
	}
	if wait > 0 {
		return Read{Delay: min(wait, maxDelay)}
	}
	p.checked, p.checkedAt = v.Doubt, v.Uptime
	return Read{AnswerLimit: promptAnswerLimit, Check: true}
}

// RetryPause returns the least pause after a read that the store did not answer in time, once
// that is recorded. The first such read is repeated at once, on another connection: its own may
// have gone silent while the store answers on new ones. A reader must find out soon that the
// store answers it again, so the time of the read counts.
func (p *Planner) RetryPause(r Read, v View) time.Duration {
	if p.unanswered == 1 {
		return 0
	}
	return max(ErrorPause(v)-r.Limit(), 0)
}

// ErrorPause returns the least time from the start of a read that has failed to the next one.
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

// RefusalPause returns the least pause after a read that the store has refused. The store
// refuses reads sooner than it leaves them without a response.
func RefusalPause(v View) time.Duration {
	if v.First {
		return 0
	}
	return max(ErrorPause(v), refusedInterval)
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
