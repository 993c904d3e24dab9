package routing

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	latencyGain     = 0.1
	initialLatency  = 10 * time.Millisecond // of a service without any sample
	failedPenalty   = 4.0                   // a failure weighs as an answer so many times slower
	refusedPenalty  = 1.0
	maxPenalty      = 64.0
	okPenaltyFactor = 0.8 // an answer shrinks the penalty
	penaltyHalfLife = time.Second
	failuresInRow   = 5 // failures without an answer in between that suspend a node
	minSuspension   = 250 * time.Millisecond
	maxSuspension   = 8 * time.Second
	reportLife      = time.Second
	maxReportFactor = 4.0
	busyReport      = 0.8  // reported load from which a report counts
	reportSlope     = 4.0  // a full node costs 1.8 times as much, which outweighs remoteFactor
	remoteFactor    = 1.25 // preference for the own data centre
	minRampShare    = 0.05
)

// node is what this table knows of one upstream's node.
type node struct {
	member     mesh.Member
	services   int // services that list it; zero once it has left
	sent       int // attempts under way
	remote     bool
	joined     time.Duration
	ramps      bool    // joined a service that already had members
	latency    float64 // mean latency of answers, ns; zero without a sample
	penalty    float64
	penaltyAt  time.Duration
	failures   int // failures and lost attempts since the last answer
	suspended  time.Duration
	suspension time.Duration // length of the last suspension
	notServing bool          // it refused because it takes no work
	report     float64       // factor from the last report, at least 1
	reportAt   time.Duration
	last       Report  // the last report
	sentAt     int     // attempts under way when it came
	speed      float64 // latency of answers, of what is usual for their routes; zero: not known
}

// ended takes a sample into the score.
func (n *node) ended(now time.Duration, s Sample) {
	n.sent = max(n.sent-1, 0)
	if s.Result == Cancelled {
		return
	}
	n.penalty = n.decayed(now)
	n.penaltyAt = now
	switch s.Result {
	case OK:
		n.answered(now, s.Latency)
	case Refused:
		n.penalty = min(n.penalty+refusedPenalty, maxPenalty)
	case Failed:
		n.failures++
		n.penalty = min(n.penalty+failedPenalty, maxPenalty)
		if n.failures >= failuresInRow {
			n.suspend(now)
		}
	case NotServing:
		n.notServing = true
		n.suspend(now)
	case Lost:
		n.failures++
		n.penalty = min(n.penalty+failedPenalty, maxPenalty)
		n.suspend(now)
	}
	if s.Result != Lost && s.Report.Limit > 0 {
		n.reported(now, s.Report)
	}
}

func (n *node) answered(now time.Duration, latency time.Duration) {
	if n.latency == 0 {
		n.latency = float64(latency)
	}
	n.latency += latencyGain * (float64(latency) - n.latency)
	n.penalty *= okPenaltyFactor
	n.failures = 0
	if n.notServing && now-latency < n.suspended-n.suspension {
		return // sent before the suspension: a draining node still finishes its calls
	}
	n.notServing = false
	n.suspension = 0
	n.suspended = 0
}

// suspend keeps the node out of the choice. Attempts that were under way when
// it was suspended do not lengthen the suspension.
func (n *node) suspend(now time.Duration) {
	if now < n.suspended {
		return
	}
	n.suspension = min(max(2*n.suspension, minSuspension), maxSuspension)
	n.suspended = now + n.suspension
}

// reported keeps a report that states more load than the limit allows. A report
// of little load has no effect.
func (n *node) reported(now time.Duration, r Report) {
	load := float64(r.InFlight+r.Queued) / float64(r.Limit)
	n.report = min(1+reportSlope*max(load-busyReport, 0), maxReportFactor)
	n.reportAt = now
	n.last, n.sentAt = r, n.sent
}

func (n *node) decayed(now time.Duration) float64 {
	if n.penalty == 0 {
		return 0
	}
	return n.penalty * math.Exp2(-float64(now-n.penaltyAt)/float64(penaltyHalfLife))
}

// usable reports whether the node may be chosen. After a suspension it gets one
// attempt at a time until it has answered.
func (n *node) usable(now time.Duration, class mesh.Class) bool {
	if n.suspension == 0 {
		return true
	}
	return now >= n.suspended && n.sent == 0 && class != mesh.ClassCritical
}

// cost is the expected time of another attempt, in arbitrary units; lower is
// better.
func (n *node) cost(now time.Duration, typical float64) float64 {
	latency := n.latency
	if latency == 0 {
		latency = typical
	}
	cost := latency * float64(n.sent+1) * (1 + n.decayed(now))
	if n.report > 1 && now-n.reportAt < reportLife {
		cost *= n.report
	}
	if n.remote {
		cost *= remoteFactor
	}
	return cost
}

// rampShare is the part of its full share of calls that a new upstream gets.
func (n *node) rampShare(now, ramp time.Duration) float64 {
	age := now - n.joined
	if !n.ramps || age >= ramp {
		return 1
	}
	return max(float64(age)/float64(ramp), minRampShare)
}
