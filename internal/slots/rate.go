package slots

import (
	"math"
	"time"
)

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
// follows the limit that the upstream names in its responses and the declared limit of a
// cold upstream; the lower one applies. For a cold upstream, the requests of the last second
// are limited, too: they include those that were sent before it was known to be cold, which
// no token was taken for.
type rate struct {
	named     float64       // requests per second that responses name; zero: no limit
	namedAt   time.Duration // time of the last response that named the limit
	cold      float64       // requests per second while the upstream is cold; zero: not cold
	coldMax   int           // requests in a second while the upstream is cold
	tokens    float64       // requests that may be sent now
	updatedAt time.Duration // time up to which tokens have been added
	sent      sendWindow    // requests that were sent to the upstream
}

// limit returns the limit in requests per second, or zero if there is none.
func (r *rate) limit() float64 {
	if r.named == 0 || r.cold == 0 {
		return max(r.named, r.cold)
	}
	return min(r.named, r.cold)
}

// set sets the limit that a response named, and reports whether it has changed.
func (r *rate) set(now time.Duration, perSecond float64) (changed bool) {
	r.namedAt = now
	return r.change(now, &r.named, max(perSecond, minRate))
}

// setCold sets the limit of a cold upstream, or lifts it if perSecond is zero, and reports
// whether it has changed. tolerated is the largest number of requests that it may get in a
// second. The limit does not use up what is tolerated above perSecond: that is for requests
// that are sent before this node learns that the upstream is cold.
func (r *rate) setCold(now time.Duration, perSecond, tolerated float64) (changed bool) {
	r.coldMax = max(int(min(math.Ceil(perSecond), tolerated)), 1)
	return r.change(now, &r.cold, perSecond)
}

// change sets one of the limits. Tokens count from the time at which there is a limit: the
// requests that were sent before used it up.
func (r *rate) change(now time.Duration, limit *float64, perSecond float64) (changed bool) {
	if *limit == perSecond {
		return false
	}
	r.update(now)
	if r.limit() == 0 {
		r.tokens = 0
	}
	*limit = perSecond
	r.tokens = min(r.tokens, r.burst())
	return true
}

// lapse lifts the named limit after a response that named none, unless another one has named
// it shortly before. It reports whether it has lifted a limit.
func (r *rate) lapse(now time.Duration) (changed bool) {
	if r.named == 0 || now-r.namedAt < rateLapse {
		return false
	}
	return r.change(now, &r.named, 0)
}

// reset discards the named limit. That of a cold upstream stays until setCold is called, and
// the requests of the last second count for the next start of the upstream, because some of
// them may reach it.
func (r *rate) reset() {
	*r = rate{cold: r.cold, coldMax: r.coldMax, updatedAt: r.updatedAt, sent: r.sent}
}

// burst returns the largest number of tokens, which is at least one.
func (r *rate) burst() float64 { return max(r.limit()*rateBurst.Seconds(), 1) }

// update adds the tokens for the time that has passed.
func (r *rate) update(now time.Duration) {
	r.tokens = min(r.tokens+r.limit()*(now-r.updatedAt).Seconds(), r.burst())
	r.updatedAt = now
}

// allows reports whether a request may be sent now.
func (r *rate) allows(now time.Duration) bool {
	if r.limit() == 0 {
		return true
	}
	r.update(now)
	return r.tokens >= 1 && (r.cold == 0 || r.sent.wait(now, r.coldMax-1) == 0)
}

// take uses a token for a request that is sent now.
func (r *rate) take(now time.Duration) {
	r.sent.add(now)
	if r.limit() > 0 {
		r.tokens--
	}
}

// wait returns the time until a request with the given number of requests before it may be
// sent.
func (r *rate) wait(now time.Duration, before int) time.Duration {
	if r.limit() == 0 {
		return 0
	}
	r.update(now)
	missing := float64(before) + 1 - r.tokens
	wait := time.Duration(max(missing, 0) / r.limit() * float64(time.Second))
	if r.cold > 0 {
		wait = max(wait, r.sent.wait(now, r.coldMax-1))
	}
	return wait
}

const (
	// sendInterval is the resolution of sendWindow. The window is longer than a second by at
	// most this time.
	sendInterval  = 50 * time.Millisecond
	sendIntervals = int(time.Second/sendInterval) + 1
)

// sendWindow counts the requests that were sent in the last second, by interval.
type sendWindow struct {
	counts [sendIntervals]int // the interval with number i is at index i modulo sendIntervals
	last   int                // number of the latest interval
}

// advance begins the intervals up to the present one.
func (w *sendWindow) advance(now time.Duration) {
	present := int(now / sendInterval)
	for w.last = max(w.last, present-sendIntervals); w.last < present; {
		w.last++
		w.counts[w.last%sendIntervals] = 0
	}
}

// add counts a request that is sent now.
func (w *sendWindow) add(now time.Duration) {
	w.advance(now)
	w.counts[w.last%sendIntervals]++
}

// wait returns the time until at most the given number of the requests sent so far are in
// the window.
func (w *sendWindow) wait(now time.Duration, most int) time.Duration {
	w.advance(now)
	sum := 0
	for i := w.last; i > w.last-sendIntervals && i >= 0; i-- {
		sum += w.counts[i%sendIntervals]
		if sum > most {
			return time.Duration(i+sendIntervals)*sendInterval - now
		}
	}
	return 0
}
