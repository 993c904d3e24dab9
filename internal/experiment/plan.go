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

// TimeScale is the factor on the service times of the deployment. It keeps the
// calls per second at which the slots are full affordable on one machine.
const TimeScale = 4

// Deadlines grow by less than service times, and are bounded so that a run ends
// soon after its last arrival.
const (
	deadlineScale = 2
	maxDeadline   = 6 * time.Second
)

// spread is the standard deviation of the logarithm of service times.
const spread = 0.3

// steadyLoad is the share of the slots of the fullest service that the demand
// without a cause needs.
const steadyLoad = 0.6

// profile is what a deployment's declaration does not say: service times and the
// mix of the routes.
type profile struct {
	deep   mesh.Service // the service that causes slow down
	lost   mesh.Service // the service that loses a node besides the fullest one
	median map[mesh.Service]time.Duration
	mix    map[string]float64 // by "METHOD pattern"
}

var profiles = map[string]profile{
	"hanskasmidjan": {
		deep: "stock",
		lost: "catalogue",
		median: map[mesh.Service]time.Duration{
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
		deep: "order-history",
		lost: "order-history",
		median: map[mesh.Service]time.Duration{
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

// Plan is the mesh and the demand of one scenario.
type Plan struct {
	profile
	Declaration *declaration.Mesh
	Graph       *Graph
	Routes      []declaration.Route
	Mix         []float64 // share of each route
	Workspaces  []WorkspaceDemand
	Rate        float64              // actions per second without a cause
	each        map[mesh.Service]int // slots of one upstream
}

// WorkspaceDemand is one workspace and its demand.
type WorkspaceDemand struct {
	declaration.Workspace
	Demand float64 // actions per second without a cause
}

func planOf(deployment string, s *Scenario) (*Plan, error) {
	d, err := examples.Get(deployment)
	if err != nil {
		return nil, err
	}
	base, err := declaration.Parse(d.Declaration)
	if err != nil {
		return nil, err
	}
	p := &Plan{profile: profiles[deployment], Declaration: base, each: map[mesh.Service]int{}}
	for i := range base.Routes {
		base.Routes[i].Timeout = scaled(base.Routes[i].Timeout)
	}
	for i := range base.Edges {
		base.Edges[i].Timeout = scaled(base.Edges[i].Timeout)
	}
	p.Routes = base.Routes
	p.Graph = p.graphOf(d)
	if err := p.setMix(); err != nil {
		return nil, err
	}
	p.Rate = p.rateAt(steadyLoad)
	p.setWorkspaces(s)
	return p, nil
}

func scaled(d time.Duration) time.Duration { return min(deadlineScale*d, maxDeadline) }

func (p *Plan) graphOf(d examples.Deployment) *Graph {
	g := &Graph{
		Slots: map[mesh.Service]int{}, Own: map[mesh.Service]time.Duration{}, Edges: p.Declaration.Edges,
	}
	for _, u := range d.Upstreams {
		p.each[u.Service] = u.Slots
		g.Slots[u.Service] = u.Count * u.Slots
		g.Own[u.Service] = meanOf(TimeScale * p.median[u.Service])
	}
	return g
}

// meanOf returns the mean of the lognormal service time of that median.
func meanOf(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*spread/2))
}

func (p *Plan) setMix() error {
	sum := 0.0
	for _, r := range p.Routes {
		share, ok := p.mix[r.Method+" "+r.Pattern]
		if !ok {
			return errors.Errorf("route %s %s has no share in the mix", r.Method, r.Pattern)
		}
		p.Mix = append(p.Mix, share)
		sum += share
	}
	for i := range p.Mix {
		p.Mix[i] /= sum
	}
	return nil
}

// rateAt returns the actions per second that need a share of the fullest
// service's slots.
func (p *Plan) rateAt(share float64) float64 {
	use := map[mesh.Service]float64{}
	for i, r := range p.Routes {
		for s, slots := range p.Graph.occupancy(Demand{Service: r.Service, Rate: p.Mix[i]}) {
			use[s] += slots
		}
	}
	rate := math.Inf(1)
	for s, slots := range use {
		rate = min(rate, share*float64(p.Graph.Slots[s])/slots)
	}
	return rate
}

// bottleneck returns the service whose slots fill first.
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

// Rates leave the slots to decide unless the scenario measures rates.
const (
	ampleRate    = 20
	tightRate    = 1.25
	burstSeconds = 1
	minBurst     = 64
)

func (p *Plan) setWorkspaces(s *Scenario) {
	weights := 0.0
	for _, w := range p.Declaration.Workspaces {
		weights += w.Weight
	}
	factor := float64(ampleRate)
	if s.TightRates {
		factor = tightRate
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

// routes returns the routes as the load generator takes them.
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

// uploadBytes is the size of the bodies of POST requests.
const uploadBytes = 2048

// samplePath replaces the wildcards of a route pattern.
func samplePath(pattern string) string {
	segments := strings.Split(pattern, "/")
	for i, s := range segments {
		if strings.HasPrefix(s, "{") {
			segments[i] = "1"
		}
	}
	return strings.Join(segments, "/")
}
