package slots

import "time"

const (
	// rateBurst is the time for which unused rate is kept. An upstream that names a limit
	// counts over seconds, and its excess at the start must stay small.
	rateBurst = 200 * time.Millisecond
	// minRate is the rate in requests per second at which an upstream with a lower limit
	// is still used: only a response shows that the limit has been lifted.
	minRate = 1.0
	// rateLapse is the time for which a limit applies after the last response that named
	// it. Responses that were sent before the first one with the limit may arrive later.
	rateLapse = 500 * time.Millisecond
	// After AwaitAnswer, the upstream gets unansweredLimit requests at a time at first, and
	// twice as many after each unansweredStep, in case it is only slow. Queued requests
	// wait at least 100 ms on most routes, so some steps fall into that time.
	unansweredLimit = 4
	unansweredStep  = 50 * time.Millisecond
)

// rate limits the requests that are sent to the upstream per second, by a token bucket. It
// follows the limit that the upstream names in its responses.
type rate struct {
	perSecond float64       // zero: no limit
	namedAt   time.Duration // time of the last response that named the limit
	tokens    float64       // requests that may be sent now
	updatedAt time.Duration // time up to which tokens have been added
}

// set sets the limit that a response named, and reports whether it has changed.
func (r *rate) set(now time.Duration, perSecond float64) (changed bool) {
	r.update(now)
	r.namedAt = now
	perSecond = max(perSecond, minRate)
	if perSecond == r.perSecond {
		return false
	}
	if r.perSecond == 0 {
		r.tokens = 0 // the requests that were sent before used the limit up
	}
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.burst())
	return true
}

// lapse lifts the limit after a response that named none, unless another one has named it
// shortly before. It reports whether it has lifted a limit.
func (r *rate) lapse(now time.Duration) (changed bool) {
	if r.perSecond == 0 || now-r.namedAt < rateLapse {
		return false
	}
	*r = rate{}
	return true
}

// burst returns the largest number of tokens, which is at least one.
func (r *rate) burst() float64 { return max(r.perSecond*rateBurst.Seconds(), 1) }

// update adds the tokens for the time that has passed.
func (r *rate) update(now time.Duration) {
	r.tokens = min(r.tokens+r.perSecond*(now-r.updatedAt).Seconds(), r.burst())
	r.updatedAt = now
}

// allows reports whether a request may be sent now.
func (r *rate) allows(now time.Duration) bool {
	if r.perSecond == 0 {
		return true
	}
	r.update(now)
	return r.tokens >= 1
}

// take uses a token for a request that is sent now.
func (r *rate) take() {
	if r.perSecond > 0 {
		r.tokens--
	}
}

// wait returns the time until a request with the given number of requests before it may be
// sent.
func (r *rate) wait(now time.Duration, before int) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.update(now)
	missing := float64(before) + 1 - r.tokens
	return time.Duration(max(missing, 0) / r.perSecond * float64(time.Second))
}
