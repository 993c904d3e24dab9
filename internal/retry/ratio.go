package retry

import "time"

const (
	retriesPerCall  = 0.1 // retries by which each call refills the reserve
	retryReserve    = 10  // retries that an edge may make in advance of its calls
	refillPerSecond = 0.5 // retries per second by which the reserve is refilled also without calls
)

// Ratio bounds the retries on one edge in any window to a tenth of its calls, plus the
// reserve and its slow refill. The zero value is ready for use.
type Ratio struct {
	used       float64 // retries taken from the reserve and not refilled yet
	refilledAt time.Duration
}

// RecordFirst records a first attempt on the edge.
func (r *Ratio) RecordFirst(now time.Duration) {
	r.refill(now)
	r.used = max(r.used-retriesPerCall, 0)
}

// Allow reports whether the edge may make one more retry, and records it if so.
func (r *Ratio) Allow(now time.Duration) bool {
	r.refill(now)
	if r.used+1 > retryReserve {
		return false
	}
	r.used++
	return true
}

func (r *Ratio) refill(now time.Duration) {
	if now <= r.refilledAt {
		return
	}
	r.used = max(r.used-refillPerSecond*(now-r.refilledAt).Seconds(), 0)
	r.refilledAt = now
}
