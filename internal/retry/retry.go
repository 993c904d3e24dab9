// Package retry bounds retries, so that the retries of several layers do not multiply. A
// Pool bounds the retries of one customer action end to end, a Ratio the ratio of retries
// to calls on one edge of the call graph (from one service to another), and a Budget the
// retries at one service over the whole fleet.
package retry

import (
	"strings"
	"time"

	"cardamomhatch/internal/outcome"
)

// Attempt describes an attempt that has ended and after which Decide may retry.
type Attempt struct {
	Refusal    outcome.Refusal   // how the attempt ended; Reason None means a complete response
	Earlier    outcome.Execution // the highest Execution of the earlier attempts of this call
	Idempotent bool              // the route is declared idempotent
	Started    bool              // some of the response has reached the caller
	Now        time.Duration
	Deadline   time.Duration // same clock as Now; zero means none
	Expected   time.Duration // expected latency of another attempt
	Pool       *Pool         // allowance of the action at this node
	Ratio      *Ratio        // retry ratio of the edge
}

// Decision states whether to retry after Wait or to end the call with Final. Final is set
// in both cases. Its Execution covers all attempts so far and is the Earlier of the next
// attempt.
type Decision struct {
	Retry bool
	Wait  time.Duration
	Final outcome.Refusal
}

// overloadWait is the delay of a retry after a refusal because of load, so that the retry
// does not find the same queues full.
const overloadWait = 10 * time.Millisecond

// Decide returns whether an attempt that has ended is retried, and the final outcome if it
// is not. A retry takes one unit from the pool and one from the ratio. If the ratio of the
// edge is used up, Decide empties the pool: the layers above would otherwise retry the
// failing call, and the ratios of the layers would compound.
func Decide(a Attempt) Decision {
	final := a.Refusal
	if final.Reason == outcome.None {
		return Decision{Final: final}
	}
	final.Execution = max(final.Execution, a.Earlier)
	if !a.safeToRetry() || !canSucceedElsewhere(final.Reason) {
		return Decision{Final: final}
	}
	wait := waitBefore(final.Reason)
	if a.Deadline != 0 && a.Now+wait+a.Expected >= a.Deadline {
		return Decision{Final: final}
	}
	if a.Pool.Remaining() == 0 {
		return Decision{Final: exhausted(final)}
	}
	if !a.Ratio.Allow(a.Now) {
		a.Pool.Exhaust()
		return Decision{Final: exhausted(final)}
	}
	a.Pool.Spend()
	return Decision{Retry: true, Wait: wait, Final: final}
}

// safeToRetry reports whether another attempt is safe: the route is idempotent, or no
// attempt so far has run, so that the call cannot take effect twice. Once the caller has
// received some of the response, no other attempt is possible.
func (a *Attempt) safeToRetry() bool {
	if a.Started {
		return false
	}
	return a.Idempotent || (a.Refusal.Execution == outcome.NotRun && a.Earlier == outcome.NotRun)
}

// canSucceedElsewhere reports whether an attempt at another node can end differently.
func canSucceedElsewhere(r outcome.Reason) bool {
	switch r {
	case outcome.Overloaded, outcome.QueueTimeout, outcome.NoUpstream, outcome.Draining,
		outcome.ConnectFailed, outcome.AnswerCut, outcome.UpstreamFailed, outcome.PeerLost:
		return true
	}
	return false
}

// waitBefore returns the delay of a retry after an attempt that ended for the given reason.
func waitBefore(r outcome.Reason) time.Duration {
	switch r {
	case outcome.Overloaded, outcome.QueueTimeout, outcome.NoUpstream:
		return overloadWait
	}
	return 0
}

// exhausted replaces the reason by RetriesExhausted, so that no layer above retries the same
// failure, and keeps the original reason in the detail.
func exhausted(r outcome.Refusal) outcome.Refusal {
	if r.Detail == "" {
		r.Detail = lastAttemptDetails[r.Reason]
	}
	r.Reason = outcome.RetriesExhausted
	return r
}

// lastAttemptDetails holds the detail that exhausted sets for each reason, by its number. It
// is built once, so that Decide does not allocate.
var lastAttemptDetails = buildLastAttemptDetails()

func buildLastAttemptDetails() [256]string {
	var details [256]string
	for i := range details {
		name := outcome.Reason(i).String()
		if !strings.HasPrefix(name, "reason(") { // the form of a number without a name
			details[i] = "last attempt: " + name
		}
	}
	return details
}
