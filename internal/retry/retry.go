// Package retry bounds the retries of one customer action end to end, and the
// share of retries on each edge, so that layers that retry do not multiply each
// other's load.
package retry

import (
	"time"

	"cardamomhatch/internal/outcome"
)

// Attempt is everything a decision on one ended attempt depends on.
type Attempt struct {
	Refusal    outcome.Refusal // how the attempt ended; Reason None means a whole answer
	Idempotent bool            // declared on the route
	Started    bool            // part of the answer has reached the caller
	Now        time.Duration
	Deadline   time.Duration // same clock as Now; zero means none
	Expected   time.Duration // expected latency of another attempt
	Pool       *Pool         // allowance of the action at this node
	Ratio      *Ratio        // retry ratio of the edge
}

// Verdict is the decision: Retry after Wait, or end with Final.
type Verdict struct {
	Retry bool
	Wait  time.Duration
	Final outcome.Refusal
}
