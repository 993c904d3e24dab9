// Package retry bounds the retries of one customer action end to end, and the
// share of retries on each edge, so that layers that retry do not multiply each
// other's load.
package retry

import (
	"strings"
	"time"

	"cardamomhatch/internal/outcome"
)

// Attempt is everything that the decision on one ended attempt depends on.
type Attempt struct {
	Refusal    outcome.Refusal   // how the attempt ended; Reason None means a whole answer
	Earlier    outcome.Execution // the highest Execution of the earlier attempts of this call
	Idempotent bool              // declared on the route
	Started    bool              // part of the answer has reached the caller
	Now        time.Duration
	Deadline   time.Duration // same clock as Now; zero means none
	Expected   time.Duration // expected latency of another attempt
	Pool       *Pool         // allowance of the action at this node
	Ratio      *Ratio        // retry ratio of the edge
}

// Decision is the decision: Retry after Wait, or end with Final. Final is set in
// both cases, and its Execution covers all attempts so far, so a retry passes it
// on as Earlier.
type Decision struct {
	Retry bool
	Wait  time.Duration
	Final outcome.Refusal
}

// overloadWait delays a retry after a refusal for load, so that the retry does
// not meet the same full queues.
const overloadWait = 10 * time.Millisecond

// Decide returns whether an ended attempt is retried, and its final outcome if
// it is not. A retry takes one unit from the pool and from the ratio. An edge
// without room closes the pool: the layers above would otherwise run the failing
// call again, and the ratios of the layers would compound.
func Decide(a Attempt) Decision {
	final := a.Refusal
	if final.Reason == outcome.None {
		return Decision{Final: final}
	}
	final.Execution = max(final.Execution, a.Earlier)
	if !a.safe() || !helps(final.Reason) {
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

// safe reports whether a further attempt can have no second effect. Only the
// last attempt is asked: an earlier one that may have run was retried only
// because the route is idempotent.
func (a *Attempt) safe() bool {
	if a.Started {
		return false
	}
	return a.Idempotent || (a.Refusal.Execution == outcome.NotRun && a.Earlier == outcome.NotRun)
}

// helps reports whether another attempt at another node can end differently.
func helps(r outcome.Reason) bool {
	switch r {
	case outcome.Overloaded, outcome.QueueTimeout, outcome.NoUpstream, outcome.Draining,
		outcome.ConnectFailed, outcome.AnswerCut, outcome.UpstreamFailed, outcome.PeerLost:
		return true
	}
	return false
}

func waitBefore(r outcome.Reason) time.Duration {
	switch r {
	case outcome.Overloaded, outcome.QueueTimeout, outcome.NoUpstream:
		return overloadWait
	}
	return 0
}

// exhausted changes the reason, so that no layer above retries the same failure
// again, and keeps the cause as the detail.
func exhausted(r outcome.Refusal) outcome.Refusal {
	if r.Detail == "" {
		r.Detail = lastAttempt[r.Reason]
	}
	r.Reason = outcome.RetriesExhausted
	return r
}

// lastAttempt holds the details of exhausted; built once, so that Decide does
// not allocate.
var lastAttempt = buildLastAttempt()

func buildLastAttempt() [256]string {
	var details [256]string
	for i := range details {
		name := outcome.Reason(i).String()
		if !strings.HasPrefix(name, "reason(") {
			details[i] = "last attempt: " + name
		}
	}
	return details
}
