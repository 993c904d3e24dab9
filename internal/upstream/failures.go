package upstream

import (
	"math"
	"time"
)

const (
	// resultHalfLife is the time after which a result counts half. An upstream that gets no
	// requests because it failed many is tried again after a few of them.
	resultHalfLife = 2 * time.Second
	// priorSuccesses is the number of successes that is added to the counts, so that a few
	// failures of a rarely used upstream do not count as a high share.
	priorSuccesses = 2
)

// failureShare estimates the fraction of requests that fail, from counts that decay.
type failureShare struct {
	failed, succeeded float64
	at                time.Duration // time up to which the counts have decayed
}

func (f *failureShare) add(now time.Duration, failed bool) {
	f.decay(now)
	if failed {
		f.failed++
	} else {
		f.succeeded++
	}
}

func (f *failureShare) share(now time.Duration) float64 {
	f.decay(now)
	return f.failed / (f.failed + f.succeeded + priorSuccesses)
}

func (f *failureShare) decay(now time.Duration) {
	if now <= f.at {
		return
	}
	factor := math.Exp2(-float64(now-f.at) / float64(resultHalfLife))
	f.failed *= factor
	f.succeeded *= factor
	f.at = now
}
