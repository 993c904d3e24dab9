package pressure

import (
	"math"
	"time"
)

const (
	// expiryTolerance is the difference up to which a call and a request count as
	// ending together: both times are told in whole milliseconds, and each takes a
	// moment to arrive.
	expiryTolerance = 4 * time.Millisecond
	// offsetGain is the weight of one pair in the usual difference of the two.
	offsetGain = 0.02
	// limitFade is how fast the longest time that calls to a target were given is
	// forgotten, as a part of it for each call.
	limitFade = 1e-4
)

// Request is one that runs at the own upstream.
type Request struct {
	Route   string
	Level   Level
	Weight  float64
	Repeat  bool          // an earlier attempt of it may have reached an upstream
	Expires time.Duration // when the upstream stops working on it
}

// InFlight holds the requests at the own upstream and finds the one on whose behalf
// a call is made. Calls do not name it, but they end when it does, so of many
// requests that run at once, the one that ends with the call is the most likely.
// Calls whose own route allows less time than that end before; for those, the
// routes that usually make such calls decide (see Paths). InFlight is not safe for
// concurrent use.
type InFlight struct {
	requests []entry        // in no order that matters, but the same in each replay
	index    map[uint64]int // of an id in requests
	paths    *CallGraph
	offset   float64                  // usual end of a call after that of its request, ns
	limits   map[Target]time.Duration // longest time that calls were given
}

type entry struct {
	Request
	id uint64
}

// Candidates are the requests of one route that may have made a call.
type Candidates struct {
	Route string
	Count int
}

// NewInFlight returns an empty set. What it finds out is credited to paths.
func NewInFlight(p *CallGraph) *InFlight {
	return &InFlight{index: map[uint64]int{}, paths: p, limits: map[Target]time.Duration{}}
}

// Began records a request.
func (r *InFlight) Began(now time.Duration, id uint64, q Request) {
	r.index[id] = len(r.requests)
	r.requests = append(r.requests, entry{q, id})
	r.paths.Began(now, q.Route)
}

// Ended records its end.
func (r *InFlight) Ended(now time.Duration, id uint64) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	r.paths.Ended(now, r.requests[i].Route)
	last := len(r.requests) - 1
	r.requests[i] = r.requests[last]
	r.index[r.requests[i].id] = i
	r.requests[last] = entry{}
	r.requests = r.requests[:last]
	delete(r.index, id)
}

// Parent returns the request on whose behalf a call to the target is likely made,
// which has remaining time left, or nil if none runs. draw is uniform in [0, 1).
func (r *InFlight) Parent(now time.Duration, t Target, remaining time.Duration, draw float64) *Request {
	expires := now + remaining
	if !r.limited(t, remaining) {
		if q := r.closest(expires); q != nil {
			r.paths.CalledBy(now, q.Route, t)
			return q
		}
	}
	return r.likely(now, t, expires, draw)
}

// limited reports whether the time left of a call is as long as that of any call
// to the target: its own route limits it, and not the request that makes it.
func (r *InFlight) limited(t Target, remaining time.Duration) bool {
	longest := r.limits[t]
	if remaining >= longest {
		if _, known := r.limits[t]; known || len(r.limits) < maxTargets {
			r.limits[t] = remaining
		}
		return true
	}
	r.limits[t] = longest - time.Duration(limitFade*float64(longest-remaining))
	return longest-remaining <= expiryTolerance
}

// closest returns the request that ends with a call, or nil.
func (r *InFlight) closest(expires time.Duration) *Request {
	var best *Request
	least := float64(expiryTolerance)
	for i := range r.requests {
		q := &r.requests[i].Request
		if d := math.Abs(float64(expires-q.Expires) - r.offset); d < least {
			best, least = q, d
		}
	}
	if best != nil {
		r.offset += offsetGain * (float64(expires-best.Expires) - r.offset)
	}
	return best
}

// likely returns one of the requests that end no earlier than the call, by the
// calls that their routes usually make.
func (r *InFlight) likely(now time.Duration, t Target, expires time.Duration, draw float64) *Request {
	var candidates []Candidates
	for i := range r.requests {
		if q := &r.requests[i]; q.Expires+expiryTolerance >= expires {
			candidates = count(candidates, q.Route)
		}
	}
	route, rest := r.paths.Called(now, t, candidates, draw)
	for i := range r.requests {
		q := &r.requests[i].Request
		if q.Route != route || q.Expires+expiryTolerance < expires {
			continue
		}
		if rest--; rest < 0 {
			return q
		}
	}
	return nil
}

func count(c []Candidates, route string) []Candidates {
	for i := range c {
		if c[i].Route == route {
			c[i].Count++
			return c
		}
	}
	return append(c, Candidates{route, 1})
}
