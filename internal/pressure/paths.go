package pressure

import "time"

const (
	// decayEvery and decayFactor give the counts a memory of about ten seconds.
	decayEvery  = time.Second
	decayFactor = 0.9
	// priorBusy and priorCalls are what a route counts as having done before
	// anything is known of it: one call for each second at the upstream.
	priorBusy  = 0.2
	priorCalls = 0.2
	// relevantCalls is the mean number of calls from which a path counts.
	relevantCalls = 0.05
	forgotten     = 0.01 // served requests below which a route is dropped
	maxRoutes     = 4096 // routes whose paths are kept
)

// CallGraph learns which services the requests of each route call. A call whose request
// Running finds is credited to the route of that request. Any other is credited to
// the routes of the requests that may have made it, in proportion to their number and
// to the calls that requests of the route are known to make while they run. Routes that make no calls lose their credit over time, because
// calls come also while none of their requests is there (expectation
// maximization on a sliding count). CallGraph is not safe for concurrent use.
type CallGraph struct {
	routes  map[string]*route
	accrued time.Duration // busy times are counted up to here
	decayed time.Duration
}

// route is what is counted of one route at the own upstream.
type route struct {
	running int
	busy    float64 // seconds that its requests spent at the upstream
	served  float64 // requests that ended
	calls   float64
	targets map[Target]float64 // calls by target
}

// rate is the estimate of the calls of one running request, per second.
func (r *route) rate() float64 { return (r.calls + priorCalls) / (r.busy + priorBusy) }

// NewCallGraph returns paths without knowledge.
func NewCallGraph() *CallGraph { return &CallGraph{routes: map[string]*route{}} }

// accrue counts the time since the last event, and lets old counts fade.
func (p *CallGraph) accrue(now time.Duration) {
	if elapsed := now - p.accrued; elapsed > 0 {
		for _, r := range p.routes {
			r.busy += float64(r.running) * elapsed.Seconds()
		}
		p.accrued = now
	}
	for ; now-p.decayed >= decayEvery; p.decayed += decayEvery {
		for name, r := range p.routes {
			r.fade()
			if r.running == 0 && r.served < forgotten && r.busy < forgotten {
				delete(p.routes, name)
			}
		}
		if now-p.decayed > time.Minute {
			p.decayed = now
		}
	}
}

func (r *route) fade() {
	r.busy *= decayFactor
	r.served *= decayFactor
	r.calls *= decayFactor
	for t := range r.targets {
		r.targets[t] *= decayFactor
	}
}

// Began records that a request of the route runs at the upstream.
func (p *CallGraph) Began(now time.Duration, name string) {
	p.accrue(now)
	r := p.routes[name]
	if r == nil {
		if len(p.routes) >= maxRoutes {
			return
		}
		r = &route{targets: map[Target]float64{}}
		p.routes[name] = r
	}
	r.running++
}

// Ended records that it has ended.
func (p *CallGraph) Ended(now time.Duration, name string) {
	p.accrue(now)
	if r := p.routes[name]; r != nil && r.running > 0 {
		r.running--
		r.served++
	}
}

// CalledBy records a call that a request of the route made.
func (p *CallGraph) CalledBy(now time.Duration, name string, t Target) {
	p.accrue(now)
	if r := p.routes[name]; r != nil {
		r.credit(t, 1)
	}
}

// Called records a call of the upstream and attributes it to one of the requests
// that may have made it: the result is its route, and its number among the
// candidates of that route. draw is uniform in [0, 1). The route is empty if there
// are no candidates.
func (p *CallGraph) Called(now time.Duration, t Target, candidates []Candidates, draw float64) (route string, number int) {
	p.accrue(now)
	total := 0.0
	for _, c := range candidates {
		total += p.weight(c)
	}
	if total <= 0 {
		return "", 0
	}
	left := draw * total
	for _, c := range candidates {
		weight := p.weight(c)
		if weight <= 0 {
			continue
		}
		p.routes[c.Route].credit(t, weight/total)
		if route == "" || left >= 0 {
			route, number = c.Route, min(int(max(left, 0)/weight*float64(c.Count)), c.Count-1)
		}
		left -= weight
	}
	return route, number
}

// weight is proportional to the probability that one of the candidates calls.
func (p *CallGraph) weight(c Candidates) float64 {
	if r := p.routes[c.Route]; r != nil {
		return float64(c.Count) * r.rate()
	}
	return 0
}

func (r *route) credit(t Target, part float64) {
	r.calls += part
	if _, known := r.targets[t]; known || len(r.targets) < maxRoutes {
		r.targets[t] += part
	}
}

// Calls returns the mean number of calls to the target that a request of the
// route makes.
func (p *CallGraph) Calls(name string, t Target) float64 {
	r := p.routes[name]
	if r == nil {
		return 0
	}
	return r.targets[t] / (r.served + float64(r.running) + 1)
}

// Below returns the tightest cut of what requests of the route call.
func (p *CallGraph) Below(now time.Duration, name string, v *CutTable) Cut {
	tightest := OpenCut
	r := p.routes[name]
	if r == nil {
		return tightest
	}
	for t := range r.targets {
		if p.Calls(name, t) >= relevantCalls {
			tightest = tightest.Tighter(v.Cut(now, t))
		}
	}
	return tightest
}
