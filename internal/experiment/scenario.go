package experiment

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/dev"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/standin/logserver"
	"cardamomhatch/internal/standin/upstream"
)

// Scenario is a cause and the outcomes that are expected of it.
type Scenario struct {
	Name string
	// Demand multiplies the arrivals of every workspace during the cause.
	Demand float64
	// Greedy is how many times its declared rate the largest workspace sends
	// during the cause; zero: none does.
	Greedy     float64
	TightRates bool // rates are close to the demand
	// ClientRetries are hard: after 50 ms, whatever the refusal advises.
	ClientRetries int
	// Slow is the factor on the deep service's time during the cause.
	Slow float64
	// DegradedService returns the service that is without one upstream during the cause.
	DegradedService          func(*Plan) mesh.Service
	Begin, Finish func(context.Context, *run) error
	// MaxRefused is the bound on the share of calls refused within their rate,
	// for rate and for load each; zero: refusals for load are rightful here.
	MaxRefused float64
}

// The goals of the design page.
const (
	goalGoodput       = 0.95
	goalCritical      = 0.995
	goalRecovery      = 2 * time.Second
	goalWorst         = 0.9
	goalRefusedSteady = 0.001
	goalRefusedFaults = 0.01
	goalExcess        = 0
)

// slowFactor is that of deep-slow; dinner-rush uses a smaller one, so that the
// critical calls alone still fit the slots.
const (
	slowFactor       = 5
	dinnerSlowFactor = 3
)

var scenarios = []*Scenario{
	{Name: "steady", MaxRefused: goalRefusedSteady},
	{Name: "surge", Demand: 3},
	{Name: "deep-slow", Slow: slowFactor, Begin: slowDown, Finish: speedUp},
	{Name: "retry-storm", Demand: 2, ClientRetries: 4},
	{Name: "greedy", Greedy: 5, TightRates: true, MaxRefused: goalRefusedSteady},
	{Name: "lying-health", DegradedService: (*Plan).bottleneck, Begin: lie, Finish: tellTruth, MaxRefused: goalRefusedFaults},
	{Name: "cold-start", Begin: restartCold, MaxRefused: goalRefusedFaults},
	{Name: "node-loss", DegradedService: (*Plan).bottleneck, Begin: killNode, Finish: restartNode, MaxRefused: goalRefusedFaults},
	{Name: "log-outage", Begin: logDown, Finish: logUp, MaxRefused: goalRefusedSteady},
	{Name: "dinner-rush", Demand: 2, Slow: dinnerSlowFactor, DegradedService: lostService, Begin: dinnerRush, Finish: dinnerOver},
}

// Scenarios lists the names.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.Name
	}
	return names
}

func scenarioOf(name string) (*Scenario, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, errors.Errorf("scenario %q is none of %s", name, strings.Join(Scenarios(), ", "))
}

// graphDuring returns the graph while the cause lasts.
func (s *Scenario) graphDuring(p *Plan) *Graph {
	g := &Graph{Slots: maps.Clone(p.Graph.Slots), Own: maps.Clone(p.Graph.Own), Edges: p.Graph.Edges}
	g.Own[p.deep] = time.Duration(float64(g.Own[p.deep]) * cmp.Or(s.Slow, 1))
	if s.DegradedService != nil {
		lost := s.DegradedService(p)
		g.Slots[lost] -= p.slotsEach(lost)
	}
	return g
}

func (p *Plan) slotsEach(s mesh.Service) int { return p.each[s] }

func lostService(p *Plan) mesh.Service { return p.lost }

func (r *run) setFaults(s mesh.Service, f upstream.Faults) {
	for _, h := range r.hosts(s) {
		h.Upstream.SetFaults(f)
	}
}

func slowDown(_ context.Context, r *run) error {
	r.setFaults(r.plan.deep, upstream.Faults{Slow: r.scenario.Slow})
	return nil
}

func speedUp(_ context.Context, r *run) error {
	r.setFaults(r.plan.deep, upstream.Faults{})
	return nil
}

// lie makes one upstream of the fullest service fail every call at once while it
// announces that it is idle and ready.
func lie(_ context.Context, r *run) error {
	r.victim().Upstream.SetFaults(upstream.Faults{FailFast: true, LieIdle: true})
	return nil
}

func tellTruth(_ context.Context, r *run) error {
	r.victim().Upstream.SetFaults(upstream.Faults{})
	return nil
}

// victim returns the first host of the service that loses one, or of the fullest
// service.
func (r *run) victim() *dev.Host {
	if r.scenario.DegradedService != nil {
		return r.hosts(r.scenario.DegradedService(r.plan))[0]
	}
	return r.hosts(r.plan.bottleneck())[0]
}

func killNode(_ context.Context, r *run) error {
	h := r.victim()
	r.targets.remove(h.CallerURL)
	r.noteEnd(h)
	h.Kill()
	return nil
}

func restartNode(_ context.Context, r *run) error { return r.restart(r.victim()) }

// restartCold replaces one host of the fullest service in a planned stop. Its
// upstream starts cold.
func restartCold(ctx context.Context, r *run) error {
	h := r.victim()
	r.targets.remove(h.CallerURL)
	if err := h.Stop(ctx); err != nil {
		return err
	}
	r.noteEnd(h)
	r.cold.Store(true)
	defer r.cold.Store(false)
	return r.restart(h)
}

func logDown(_ context.Context, r *run) error {
	return r.mesh.Log.SetFault(logserver.Fault{Outage: logserver.OutageHang})
}

func logUp(_ context.Context, r *run) error { return r.mesh.Log.SetFault(logserver.Fault{}) }

func dinnerRush(ctx context.Context, r *run) error {
	if err := slowDown(ctx, r); err != nil {
		return err
	}
	return killNode(ctx, r)
}

func dinnerOver(ctx context.Context, r *run) error {
	if err := speedUp(ctx, r); err != nil {
		return err
	}
	return restartNode(ctx, r)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
