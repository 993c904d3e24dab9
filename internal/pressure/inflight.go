package pressure

import (
	"math"
	"time"
)

const (
	// expiryTolerance is the difference of the expiry times up to which a call and a
	// request count as expiring together. Both remaining times are transmitted in whole
	// milliseconds, and each is delayed slightly on its way.
	expiryTolerance = 4 * time.Millisecond
	// maxReadDelay is the longest time after which an upstream is assumed to read a request.
	// It counts the remaining time from then on, so that its calls seem to expire later than
	// the request.
	maxReadDelay = 250 * time.Millisecond
	// offsetGain is the weight of one call and its parent in the moving average
	// InFlight.expiryOffset.
	offsetGain = 0.02
	// longestRemainingDecay is the fraction of the difference by which a call lowers
	// InFlight.longestRemaining towards its own remaining time, so that the maximum falls
	// slowly.
	longestRemainingDecay = 1e-4
)

// Request is a request that runs at the local upstream.
type Request struct {
	Route   string
	Level   Level
	Weight  float64       // see Meter
	Retry   bool          // a retry, or made for a request that is a retry
	Origin  string        // entry route of the request on whose behalf this one is made; empty: not known
	Fanout  float64       // requests like this one for each entry request of the origin
	Expires time.Duration // when the upstream stops working on it
}

// InFlight tracks the requests that run at the local upstream and finds the parent
// of a call, the request on whose behalf the call is made. Calls do not identify
// their parent, but they expire when it does. Among many concurrent requests, the
// parent is therefore most likely the one that expires together with the call. Calls
// whose own route has a shorter timeout expire earlier than their parent; CallGraph chooses
// their parent by the routes that usually make such calls. InFlight is not safe for
// concurrent use.
type InFlight struct {
	requests         []inFlightRequest // in an arbitrary but deterministic order
	index            map[uint64]int    // position in requests by request id
	graph            *CallGraph
	expiryOffset     float64                  // mean time from the expiry of a request to that of its call, ns
	longestRemaining map[Target]time.Duration // of the calls to each target at their arrival
}

type inFlightRequest struct {
	Request
	id uint64
}

// Candidates are the requests of one route that may have made a call.
type Candidates struct {
	Route string
	Count int
}

// NewInFlight returns an InFlight without requests, which records requests and calls in
// the given graph.
func NewInFlight(graph *CallGraph) *InFlight {
	return &InFlight{index: map[uint64]int{}, graph: graph, longestRemaining: map[Target]time.Duration{}}
}

// RequestStarted adds a request.
func (f *InFlight) RequestStarted(now time.Duration, id uint64, q Request) {
	f.index[id] = len(f.requests)
	f.requests = append(f.requests, inFlightRequest{q, id})
	f.graph.RequestStarted(now, q.Route)
}

// RequestEnded removes a request. Unknown ids are ignored.
func (f *InFlight) RequestEnded(now time.Duration, id uint64) {
	i, ok := f.index[id]
	if !ok {
		return
	}
	f.graph.RequestEnded(now, f.requests[i].Route)
	last := len(f.requests) - 1
	f.requests[i] = f.requests[last]
	f.index[f.requests[i].id] = i
	f.requests[last] = inFlightRequest{}
	f.requests = f.requests[:last]
	delete(f.index, id)
}

// Parent returns the most likely parent of a call to the target that has the given
// time remaining, or nil if no running request can have made it. draw is uniformly
// distributed in [0, 1).
func (f *InFlight) Parent(now time.Duration, t Target, remaining time.Duration, draw float64) *Request {
	expires := now + remaining
	if !f.limitedByRoute(t, remaining) {
		if q := f.closestExpiry(expires); q != nil {
			f.graph.RecordCall(now, q.Route, t)
			return q
		}
	}
	return f.sampleByRoute(now, t, expires, draw)
}

// limitedByRoute reports whether a call has about the longest remaining time of all calls
// to the target, and updates that maximum. The time of such a call is limited by its own
// route and not by its parent.
func (f *InFlight) limitedByRoute(t Target, remaining time.Duration) bool {
	longest := f.longestRemaining[t]
	if remaining >= longest {
		if _, known := f.longestRemaining[t]; known || len(f.longestRemaining) < maxTargets {
			f.longestRemaining[t] = remaining
		}
		return true
	}
	f.longestRemaining[t] = longest - time.Duration(longestRemainingDecay*float64(longest-remaining))
	return longest-remaining <= expiryTolerance
}

// closestExpiry returns the request that expires together with a call, or nil, and updates
// expiryOffset.
func (f *InFlight) closestExpiry(expires time.Duration) *Request {
	var best *Request
	leastDistance := float64(expiryTolerance)
	for i := range f.requests {
		q := &f.requests[i].Request
		if distance := math.Abs(float64(expires-q.Expires) - f.expiryOffset); distance < leastDistance {
			best, leastDistance = q, distance
		}
	}
	if best != nil {
		f.expiryOffset += offsetGain * (float64(expires-best.Expires) - f.expiryOffset)
	}
	return best
}

// sampleByRoute draws one of the requests that expire no earlier than the call, in
// proportion to the call rates of their routes. If there is none, requests that expire up to
// maxReadDelay earlier are drawn from. It returns nil if there is none of them either.
func (f *InFlight) sampleByRoute(now time.Duration, t Target, expires time.Duration, draw float64) *Request {
	earliest := expires - expiryTolerance
	candidates := f.candidates(earliest)
	if len(candidates) == 0 {
		earliest = expires - maxReadDelay
		candidates = f.candidates(earliest)
	}
	route, index := f.graph.AttributeCall(now, t, candidates, draw)
	for i := range f.requests {
		q := &f.requests[i].Request
		if q.Route != route || q.Expires < earliest {
			continue
		}
		if index--; index < 0 {
			return q
		}
	}
	return nil
}

// candidates counts the requests by route that expire at the given time or later.
func (f *InFlight) candidates(earliest time.Duration) []Candidates {
	var out []Candidates
	for i := range f.requests {
		if q := &f.requests[i]; q.Expires >= earliest {
			out = addCandidate(out, q.Route)
		}
	}
	return out
}

// addCandidate counts one more request of the route.
func addCandidate(c []Candidates, route string) []Candidates {
	for i := range c {
		if c[i].Route == route {
			c[i].Count++
			return c
		}
	}
	return append(c, Candidates{route, 1})
}
