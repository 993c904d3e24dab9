package experiment

import (
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/examples"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

// TimeScale multiplies the service times of the deployment, so that one machine can
// generate the calls per second that fill the slots.
const TimeScale = 4

// Deadlines are scaled by less than the service times, and are bounded so that a run
// ends soon after its last arrival.
const (
	deadlineScale = 2
	maxDeadline   = 6 * time.Second
)

// serviceTimeSigma is the standard deviation of the logarithm of service times.
const serviceTimeSigma = 0.3

// steadyUtilisation is the utilisation of the most loaded service without the
// scenario's disturbance.
const steadyUtilisation = 0.6

// profile holds the parameters of a deployment that its declaration does not contain:
// the service times, the mix of the routes, and the services that faults affect.
type profile struct {
	slowed    mesh.Service // the service that slows down during a cause
	secondary mesh.Service // the service that loses a node in dinner-rush
	// medianServiceTime excludes downstream calls and the factor TimeScale.
	medianServiceTime map[mesh.Service]time.Duration
	mix               map[string]float64 // weight by "METHOD pattern"
}

var profiles = map[string]profile{
	"hanskasmidjan": {
		slowed:    "stock",
		secondary: "catalogue",
		medianServiceTime: map[mesh.Service]time.Duration{
			"catalogue": 12 * time.Millisecond, "orders-and-payments": 15 * time.Millisecond,
			"media-uploads": 20 * time.Millisecond, "stock": 25 * time.Millisecond,
		},
		mix: map[string]float64{
			"GET /catalogue": 28, "GET /catalogue/{item}": 26, "GET /catalogue/{item}/stock": 10,
			"GET /search": 9, "POST /orders": 4, "POST /orders/{order}/payment": 3,
			"GET /orders/{order}": 5, "POST /uploads": 4, "GET /uploads/{upload}": 6, "GET /reports/stock": 5,
		},
	},
	"himalaya": {
		slowed:    "order-history",
		secondary: "order-history",
		medianServiceTime: map[mesh.Service]time.Duration{
			"order-history": 10 * time.Millisecond, "booking-and-billing": 15 * time.Millisecond,
			"scan-intake": 20 * time.Millisecond, "proofs": 20 * time.Millisecond,
		},
		mix: map[string]float64{
			"GET /history": 20, "GET /history/{order}": 10, "GET /history/export": 4,
			"POST /orders": 4, "POST /orders/{order}/bill": 3, "GET /orders/{order}": 7,
			"POST /scans": 6, "GET /scans/{scan}": 10, "GET /proofs/urgent/{proof}": 8,
			"GET /proofs/{proof}": 25, "POST /proofs/{proof}/comment": 3,
		},
	},
}

// Plan describes the mesh and the demand of one scenario.
type Plan struct {
	profile
	Declaration   *declaration.Mesh
	Graph         *Graph
	Routes        []declaration.Route
	Mix           []float64 // share of each route in the client requests
	Workspaces    []WorkspaceDemand
	Rate          float64              // client requests per second without the scenario's disturbance
	upstreamSlots map[mesh.Service]int // slots of one upstream, by service
}

// WorkspaceDemand is a declared workspace and the demand that it generates.
type WorkspaceDemand struct {
	declaration.Workspace
	Demand float64 // client requests per second without the scenario's disturbance
}

func newPlan(deployment string, s *Scenario) (*Plan, error) {
	d, err := examples.Get(deployment)
	if err != nil {
		return nil, err
	}
	base, err := declaration.Parse(d.Declaration)
	if err != nil {
		return nil, err
	}
	p := &Plan{profile: profiles[deployment], Declaration: base, upstreamSlots: map[mesh.Service]int{}}
	for i := range base.Routes {
		base.Routes[i].Timeout = scaledTimeout(base.Routes[i].Timeout)
	}
	for i := range base.Edges {
		base.Edges[i].Timeout = scaledTimeout(base.Edges[i].Timeout)
	}
	p.Routes = base.Routes
	p.Graph = p.newGraph(d)
	if err := p.setMix(); err != nil {
		return nil, err
	}
	p.Rate = p.rateForUtilisation(steadyUtilisation)
	p.setWorkspaces(s)
	return p, nil
}

func scaledTimeout(d time.Duration) time.Duration { return min(deadlineScale*d, maxDeadline) }

// newGraph returns the call graph with the scaled service times. It also sets
// p.upstreamSlots.
func (p *Plan) newGraph(d examples.Deployment) *Graph {
	g := &Graph{
		Slots: map[mesh.Service]int{}, ServiceTime: map[mesh.Service]time.Duration{}, Edges: p.Declaration.Edges,
	}
	for _, u := range d.Upstreams {
		p.upstreamSlots[u.Service] = u.Slots
		g.Slots[u.Service] = u.Count * u.Slots
		g.ServiceTime[u.Service] = lognormalMean(TimeScale * p.medianServiceTime[u.Service])
	}
	return g
}

// lognormalMean returns the mean of the lognormal service time with that median.
func lognormalMean(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(serviceTimeSigma*serviceTimeSigma/2))
}

// setMix sets p.Mix from the weights of the profile.
func (p *Plan) setMix() error {
	sum := 0.0
	for _, r := range p.Routes {
		weight, ok := p.mix[r.Method+" "+r.Pattern]
		if !ok {
			return errors.Errorf("route %s %s has no weight in the profile of its deployment", r.Method, r.Pattern)
		}
		p.Mix = append(p.Mix, weight)
		sum += weight
	}
	for i := range p.Mix {
		p.Mix[i] /= sum
	}
	return nil
}

// rateForUtilisation returns the client requests per second that occupy this share of
// the most loaded service's slots.
func (p *Plan) rateForUtilisation(utilisation float64) float64 {
	use := map[mesh.Service]float64{}
	for i, r := range p.Routes {
		for s, slots := range p.Graph.occupancy(Demand{Service: r.Service, Rate: p.Mix[i]}) {
			use[s] += slots
		}
	}
	rate := math.Inf(1)
	for s, slots := range use {
		rate = min(rate, utilisation*float64(p.Graph.Slots[s])/slots)
	}
	return rate
}

// bottleneck returns the service with the highest utilisation.
func (p *Plan) bottleneck() mesh.Service {
	var fullest mesh.Service
	most := 0.0
	for s, n := range p.Graph.Slots {
		use := 0.0
		for i, r := range p.Routes {
			use += p.Graph.occupancy(Demand{Service: r.Service, Rate: p.Mix[i]})[s]
		}
		if use/float64(n) > most {
			fullest, most = s, use/float64(n)
		}
	}
	return fullest
}

// A workspace's declared rate is its demand multiplied by ampleRateFactor, so that only
// the slots limit the goodput, or by tightRateFactor if the scenario tests the
// enforcement of rates. The burst allows burstSeconds of the declared rate, and at least
// minBurst calls.
const (
	ampleRateFactor = 20
	tightRateFactor = 1.25
	burstSeconds    = 1
	minBurst        = 64
)

// setWorkspaces divides p.Rate among the workspaces by weight, and sets their declared
// rates and bursts.
func (p *Plan) setWorkspaces(s *Scenario) {
	weights := 0.0
	for _, w := range p.Declaration.Workspaces {
		weights += w.Weight
	}
	factor := float64(ampleRateFactor)
	if s.TightRates {
		factor = tightRateFactor
	}
	for _, name := range sortedKeys(p.Declaration.Workspaces) {
		w := p.Declaration.Workspaces[name]
		demand := p.Rate * w.Weight / weights
		w.RatePerSecond = math.Ceil(factor * demand)
		w.Burst = max(math.Ceil(burstSeconds*w.RatePerSecond), minBurst)
		p.Declaration.Workspaces[name] = w
		p.Workspaces = append(p.Workspaces, WorkspaceDemand{Workspace: w, Demand: demand})
	}
}

// routes converts the routes to those of the load generator.
func (p *Plan) routes() []load.Route {
	routes := make([]load.Route, len(p.Routes))
	for i, r := range p.Routes {
		routes[i] = load.Route{
			Method: r.Method, Path: samplePath(r.Pattern), Weight: p.Mix[i],
			Idempotent: r.Idempotent, Timeout: r.Timeout,
		}
		if r.Method == "POST" {
			routes[i].Body = make([]byte, uploadBytes)
		}
	}
	return routes
}

// uploadBytes is the size of the bodies of all POST requests.
const uploadBytes = 2048

// samplePath returns a path that matches the route pattern.
func samplePath(pattern string) string {
	segments := strings.Split(pattern, "/")
	for i, s := range segments {
		if strings.HasPrefix(s, "{") {
			segments[i] = "1"
		}
	}
	return strings.Join(segments, "/")
}
