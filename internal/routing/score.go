package routing

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	latencyGain          = 0.1                   // weight of one response in the mean latencies
	initialLatency       = 10 * time.Millisecond // assumed for a service without any sample
	failedPenalty        = 4.0                   // added to the penalty by a failure; a penalty of p multiplies the expected latency by 1+p
	refusedPenalty       = 1.0                   // added to the penalty by a refusal
	maxPenalty           = 64.0
	penaltyFactorAfterOK = 0.8 // factor by which a response reduces the penalty
	penaltyHalfLife      = time.Second
	failuresToSuspend    = 5                      // consecutive failures after which a node is suspended
	minSuspension        = 250 * time.Millisecond // each further suspension is twice as long, up to maxSuspension
	maxSuspension        = 8 * time.Second
	reportTTL            = time.Second // age up to which a report has an effect
	maxReportFactor      = 4.0         // largest factor by which a report increases the cost
	reportThreshold      = 0.8         // reported load above which a report has an effect
	// reportSlope is the increase of the cost factor per unit of reported load above
	// reportThreshold. A node at full load costs 1.8 times as much, more than remoteFactor.
	reportSlope  = 4.0
	remoteFactor = 1.25 // cost of a node in another data centre, relative to a local one
	// settleTime is the time since a service first had members in which nodes that join it do
	// not ramp up. A node that has just started learns of the others in this time.
	settleTime   = 2 * time.Second
	minRampShare = 0.05 // fraction of its full share of calls that a new node gets at first
)

// node holds the measurements and the state of one node.
type node struct {
	member           mesh.Member
	services         int  // services of which it is a candidate; zero once it has left
	inFlight         int  // attempts that were sent and have not ended
	remote           bool // in another data centre
	joined           time.Duration
	rampsUp          bool    // when it joined, its service already had members
	latency          float64 // mean latency of responses, ns; zero without a sample
	penalty          float64 // at penaltyAt; see failedPenalty
	penaltyAt        time.Duration
	failures         int           // failures and lost attempts since the last response
	suspendedUntil   time.Duration // end of the last suspension; zero after a response
	suspension       time.Duration // length of the last suspension; zero after a response
	notServing       bool          // it refused a call because it accepts no work
	reportFactor     float64       // factor of the cost by the last report, at least 1
	reportAt         time.Duration
	pausedUntil      time.Duration // end of the pause that a Limited attempt asked for
	lastReport       Report
	inFlightAtReport int     // attempts in flight when the report arrived
	relativeLatency  float64 // latency of responses, relative to the mean of their routes; zero: not known
	capacity         nodeCapacity
}

// addSample updates the node with the sample of an ended attempt.
func (n *node) addSample(now time.Duration, s Sample) {
	n.inFlight = max(n.inFlight-1, 0)
	if s.Result == Cancelled {
		return
	}
	n.penalty = n.decayedPenalty(now)
	n.penaltyAt = now
	switch s.Result {
	case OK:
		n.addResponse(now, s.Latency)
	case Refused:
		n.penalty = min(n.penalty+refusedPenalty, maxPenalty)
	case Limited:
		n.pausedUntil = now + s.Pause
	case Failed:
		n.failures++
		n.penalty = min(n.penalty+failedPenalty, maxPenalty)
		if n.failures >= failuresToSuspend {
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
		n.addReport(now, s.Report)
	}
}

// addResponse updates the node with a successful response, which ends a suspension.
func (n *node) addResponse(now time.Duration, latency time.Duration) {
	if n.latency == 0 {
		n.latency = float64(latency)
	}
	n.latency += latencyGain * (float64(latency) - n.latency)
	n.penalty *= penaltyFactorAfterOK
	n.failures = 0
	if n.notServing && now-latency < n.suspendedUntil-n.suspension {
		return // the attempt was sent before the suspension, and a draining node still completes its calls
	}
	n.notServing = false
	n.suspension = 0
	n.suspendedUntil = 0
}

// suspend excludes the node from the choice for a time that doubles with each suspension
// until the node responds. Attempts that were in flight when it was suspended do not
// prolong the suspension.
func (n *node) suspend(now time.Duration) {
	if now < n.suspendedUntil {
		return
	}
	n.suspension = min(max(2*n.suspension, minSuspension), maxSuspension)
	n.suspendedUntil = now + n.suspension
}

// addReport updates the node with a load report. A load below reportThreshold does not
// change the cost.
func (n *node) addReport(now time.Duration, r Report) {
	load := float64(r.InFlight+r.Queued) / float64(r.Limit)
	n.reportFactor = min(1+reportSlope*max(load-reportThreshold, 0), maxReportFactor)
	n.reportAt = now
	n.lastReport, n.inFlightAtReport = r, n.inFlight
	n.capacity.addLoad(now, r)
}

// excludedUntil returns the end of the last suspension or pause.
func (n *node) excludedUntil() time.Duration { return max(n.suspendedUntil, n.pausedUntil) }

// decayedPenalty returns the penalty at the given time, after its exponential decay.
func (n *node) decayedPenalty(now time.Duration) float64 {
	if n.penalty == 0 {
		return 0
	}
	return n.penalty * math.Exp2(-float64(now-n.penaltyAt)/float64(penaltyHalfLife))
}

// usable reports whether the node may be chosen. Only Table.fallback chooses a node that is
// not usable. After a suspension, a node gets one attempt at a time until it has responded,
// and none of the critical class.
func (n *node) usable(now time.Duration, class mesh.Class) bool {
	if now < n.pausedUntil {
		return false
	}
	if n.suspension == 0 {
		return true
	}
	return now >= n.suspendedUntil && n.inFlight == 0 && class != mesh.ClassCritical
}

// cost returns the expected time of another attempt, in arbitrary units. Lower is better.
// typicalLatency, in ns, is assumed for a node without a sample.
func (n *node) cost(now time.Duration, typicalLatency float64) float64 {
	latency := n.latency
	if latency == 0 {
		latency = typicalLatency
	}
	cost := latency * float64(n.inFlight+1) * (1 + n.decayedPenalty(now))
	if n.reportFactor > 1 && now-n.reportAt < reportTTL {
		cost *= n.reportFactor
	}
	if n.remote {
		cost *= remoteFactor
	}
	return cost
}

// rampShare returns the fraction of its full share of calls that the node gets at the
// given time.
func (n *node) rampShare(now, ramp time.Duration) float64 {
	age := now - n.joined
	if !n.rampsUp || age >= ramp {
		return 1
	}
	return max(float64(age)/float64(ramp), minRampShare)
}
