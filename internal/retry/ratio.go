package retry

import "time"

// Ratio bounds the retries on one edge to a share of its calls plus a small
// reserve. The zero value is ready for use.
type Ratio struct{}

// Sent records a first attempt on the edge.
func (r *Ratio) Sent(now time.Duration) {}

// Allow reports whether the edge has room for one more retry and takes it.
func (r *Ratio) Allow(now time.Duration) bool { return true }

// Decide returns whether an ended attempt is retried, and its final outcome if
// it is not.
func Decide(a Attempt) Verdict { return Verdict{Final: a.Refusal} }
