package pressure

import "time"

const (
	// The counts are multiplied by decayFactor every decayInterval, so that they
	// cover about the last ten seconds.
	decayInterval = time.Second
	decayFactor   = 0.9
	maxDecaySteps = 120 // after which nothing is left of any count
	// priorBusySeconds and priorCalls are added to the counts of each route, so that the
	// estimate for a route without any count is one call per second spent at the upstream.
	priorBusySeconds = 0.2
	priorCalls       = 0.2
	// minRelevantCalls is the mean number of calls per request from which the cut of a
	// target applies to a route.
	minRelevantCalls = 0.05
	minRetained      = 0.01 // an idle route is deleted when its completed requests and its busy seconds are below this
	maxRoutes        = 4096 // limit of the tracked routes, and of the targets of each route
)

// CallGraph learns which targets the requests of each route call. A call whose parent
// InFlight finds is counted for the parent's route. Any other call is divided among the
// routes of its candidates, in proportion to their number and to the estimated call rate of
// one running request of the route. This is expectation maximization on decaying counts:
// the calls that are wrongly counted for a route become fewer, because calls also arrive
// while none of its requests runs. CallGraph is not safe for concurrent use.
type CallGraph struct {
	routes       map[string]*routeStats
	countedUntil time.Duration // time up to which busySeconds is counted
	decayedUntil time.Duration // time up to which the counts are decayed
}

// routeStats holds the counts of one route at the local upstream. All but running
// decay.
type routeStats struct {
	running       int     // requests at the upstream now
	busySeconds   float64 // time that its requests spent at the upstream
	completed     float64 // requests
	calls         float64 // to all targets
	callsByTarget map[Target]float64
}

// rate returns the estimated calls per second of one running request.
func (r *routeStats) rate() float64 {
	return (r.calls + priorCalls) / (r.busySeconds + priorBusySeconds)
}

// NewCallGraph returns an empty call graph.
func NewCallGraph() *CallGraph { return &CallGraph{routes: map[string]*routeStats{}} }

// advance adds the time since the last event to the busy times, and decays the counts.
func (g *CallGraph) advance(now time.Duration) {
	if elapsed := now - g.countedUntil; elapsed > 0 {
		for _, r := range g.routes {
			r.busySeconds += float64(r.running) * elapsed.Seconds()
		}
		g.countedUntil = now
	}
	g.decayedUntil = max(g.decayedUntil, now-maxDecaySteps*decayInterval)
	for ; now-g.decayedUntil >= decayInterval; g.decayedUntil += decayInterval {
		for route, r := range g.routes {
			r.decay()
			if r.running == 0 && r.completed < minRetained && r.busySeconds < minRetained {
				delete(g.routes, route)
			}
		}
	}
}

func (r *routeStats) decay() {
	r.busySeconds *= decayFactor
	r.completed *= decayFactor
	r.calls *= decayFactor
	for t := range r.callsByTarget {
		r.callsByTarget[t] *= decayFactor
	}
}

// RequestStarted records that a request of the route starts to run at the upstream.
func (g *CallGraph) RequestStarted(now time.Duration, route string) {
	g.advance(now)
	r := g.routes[route]
	if r == nil {
		if len(g.routes) >= maxRoutes {
			return
		}
		r = &routeStats{callsByTarget: map[Target]float64{}}
		g.routes[route] = r
	}
	r.running++
}

// RequestEnded records the end of a request of the route.
func (g *CallGraph) RequestEnded(now time.Duration, route string) {
	g.advance(now)
	if r := g.routes[route]; r != nil && r.running > 0 {
		r.running--
		r.completed++
	}
}

// RecordCall records a call that was made by a request of the route.
func (g *CallGraph) RecordCall(now time.Duration, route string, t Target) {
	g.advance(now)
	if r := g.routes[route]; r != nil {
		r.count(t, 1)
	}
}

// AttributeCall records a call that the upstream made, divided among the routes of the
// candidates, and draws the one request to which the call is attributed. It returns the
// route of that request and its index among the candidates of the route, or an empty route
// if no candidate is of a tracked route. draw is uniformly distributed in [0, 1).
func (g *CallGraph) AttributeCall(now time.Duration, t Target, candidates []Candidates, draw float64) (route string, index int) {
	g.advance(now)
	total := 0.0
	for _, c := range candidates {
		total += g.callRate(c)
	}
	if total <= 0 {
		return "", 0
	}
	left := draw * total
	for _, c := range candidates {
		rate := g.callRate(c)
		if rate <= 0 {
			continue
		}
		g.routes[c.Route].count(t, rate/total)
		if route == "" || left >= 0 {
			route, index = c.Route, min(int(max(left, 0)/rate*float64(c.Count)), c.Count-1)
		}
		left -= rate
	}
	return route, index
}

// callRate returns the estimated calls per second of all candidates of a route together.
// The probability that one of them made a call is proportional to it.
func (g *CallGraph) callRate(c Candidates) float64 {
	if r := g.routes[c.Route]; r != nil {
		return float64(c.Count) * r.rate()
	}
	return 0
}

// count adds a call to the target, or the given fraction of a call.
func (r *routeStats) count(t Target, fraction float64) {
	r.calls += fraction
	if _, known := r.callsByTarget[t]; known || len(r.callsByTarget) < maxRoutes {
		r.callsByTarget[t] += fraction
	}
}

// CallsPerRequest returns the mean number of calls to the target that a request of
// the route makes. One request without calls is added, which keeps the estimate low while
// few requests are counted.
func (g *CallGraph) CallsPerRequest(route string, t Target) float64 {
	r := g.routes[route]
	if r == nil {
		return 0
	}
	return r.callsByTarget[t] / (r.completed + float64(r.running) + 1)
}

// CallFanout returns the number of calls to the target for each entry request, for a call
// that the parent makes.
func (g *CallGraph) CallFanout(parent *Request, t Target) float64 {
	calls := g.CallsPerRequest(parent.Route, t)
	if calls <= 0 {
		calls = 1 // the route is not tracked
	}
	return ClampFanout(parent.Fanout * calls)
}

// CalleeOriginCut is CalleeCut for the requests of one origin. The cause is that of the
// target with the least share of the level.
func (g *CallGraph) CalleeOriginCut(now time.Duration, route, origin string, level Level, cuts *CutTable) OriginCut {
	cut := OriginCut{Cut: OpenCut}
	r := g.routes[route]
	if r == nil {
		return cut
	}
	for t := range r.callsByTarget {
		if g.CallsPerRequest(route, t) >= minRelevantCalls {
			cut = cut.Tighter(cuts.OriginCut(now, t, origin), level)
		}
	}
	return cut
}

// CalleeCut returns the level-wise minimum of the cuts of all targets that a request of
// the route calls at least minRelevantCalls times on average.
func (g *CallGraph) CalleeCut(now time.Duration, route string, cuts *CutTable) Cut {
	cut := OpenCut
	r := g.routes[route]
	if r == nil {
		return cut
	}
	for t := range r.callsByTarget {
		if g.CallsPerRequest(route, t) >= minRelevantCalls {
			cut = cut.Tighter(cuts.Cut(now, t))
		}
	}
	return cut
}
