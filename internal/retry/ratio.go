package retry

import "time"

const (
	ratioShare   = 0.1 // retries per call
	ratioReserve = 10  // retries that an edge may make ahead of its calls
	ratioRefill  = 0.5 // retries per second that the reserve regains on an idle edge
)

// Ratio bounds the retries on one edge: in any window at most a tenth of its
// calls, plus the reserve and its slow refill. The zero value is ready for use.
type Ratio struct {
	used float64 // part of the reserve in use
	last time.Duration
}

// RecordFirst records a first attempt on the edge.
func (r *Ratio) RecordFirst(now time.Duration) {
	r.refill(now)
	r.used = max(r.used-ratioShare, 0)
}

// Allow reports whether the edge has room for one more retry, and takes it.
func (r *Ratio) Allow(now time.Duration) bool {
	r.refill(now)
	if r.used+1 > ratioReserve {
		return false
	}
	r.used++
	return true
}

func (r *Ratio) refill(now time.Duration) {
	if now <= r.last {
		return
	}
	r.used = max(r.used-ratioRefill*(now-r.last).Seconds(), 0)
	r.last = now
}
