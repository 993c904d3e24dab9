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

// Scenario is a disturbance, called its cause, with the goals that depend on it. The
// cause is overload, a fault or both, and lasts from Phases.CauseStart to CauseEnd.
type Scenario struct {
	Name string
	// DemandFactor multiplies the arrivals of every workspace during the cause.
	DemandFactor float64
	// GreedyFactor is the demand of the largest workspace during the cause, as a multiple
	// of its declared rate; zero means that no workspace exceeds its rate.
	GreedyFactor float64
	TightRates   bool // declared rates are close to the demand
	// ClientRetries is the number of client retries per request. Their delay starts at
	// 50 ms and ignores the delay that a refusal advises.
	ClientRetries int
	// SlowFactor multiplies the service time of the profile's slowed service during
	// the cause; zero means 1.
	SlowFactor float64
	// DegradedService returns the service that has one upstream less during the
	// cause; nil means that no service loses one.
	DegradedService func(*Plan) mesh.Service
	// Begin injects the fault at the start of the cause, and Finish removes it at the
	// end; nil means that there is nothing to do.
	Begin, Finish func(context.Context, *run) error
	// MaxRefused bounds each share in Figures.WrongfulRefusals. Zero means that the
	// scenario is expected to cause refusals for load and other reasons, so that only
	// those for rate are bounded, by goalRefusedSteady.
	MaxRefused float64
}

// Goals of docs/design.md that a run of the full policy must meet.
const (
	goalGoodput        = 0.95            // minimum of GoodputRatio
	goalCritical       = 0.995           // minimum of CriticalSuccess
	goalRecovery       = 2 * time.Second // maximum recovery time
	goalWorstWorkspace = 0.9             // minimum of WorstWorkspaceShare
	goalRefusedSteady  = 0.001           // MaxRefused without a fault of a node or upstream
	goalRefusedFaults  = 0.01            // MaxRefused with such a fault
	goalExcess         = 0               // maximum of QuotaExcess, in calls
)

// Values of SlowFactor. That of dinner-rush is smaller than that of deep-slow, so that
// the slots can still serve all critical calls.
const (
	deepSlowFactor   = 5
	dinnerSlowFactor = 3
)

var scenarios = []*Scenario{
	{Name: "steady", MaxRefused: goalRefusedSteady},
	{Name: "surge", DemandFactor: 3},
	{Name: "deep-slow", SlowFactor: deepSlowFactor, Begin: startSlowdown, Finish: endSlowdown},
	{Name: "retry-storm", DemandFactor: 2, ClientRetries: 4},
	{Name: "greedy", GreedyFactor: 5, TightRates: true, MaxRefused: goalRefusedSteady},
	{Name: "lying-health", DegradedService: (*Plan).bottleneck, Begin: startFalseReports, Finish: endFalseReports, MaxRefused: goalRefusedFaults},
	{Name: "cold-start", Begin: restartCold, MaxRefused: goalRefusedFaults},
	{Name: "node-loss", DegradedService: (*Plan).bottleneck, Begin: killNode, Finish: restartNode, MaxRefused: goalRefusedFaults},
	{Name: "log-outage", Begin: startLogOutage, Finish: endLogOutage, MaxRefused: goalRefusedSteady},
	{Name: "dinner-rush", DemandFactor: 2, SlowFactor: dinnerSlowFactor, DegradedService: secondaryService, Begin: startDinnerRush, Finish: endDinnerRush},
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.Name
	}
	return names
}

func findScenario(name string) (*Scenario, error) {
	for _, s := range scenarios {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, errors.Errorf("unknown scenario %q: want one of %s", name, strings.Join(Scenarios(), ", "))
}

// graphDuring returns the call graph with the capacity that remains during the cause.
func (s *Scenario) graphDuring(p *Plan) *Graph {
	g := &Graph{Slots: maps.Clone(p.Graph.Slots), ServiceTime: maps.Clone(p.Graph.ServiceTime), Edges: p.Graph.Edges}
	g.ServiceTime[p.slowed] = time.Duration(float64(g.ServiceTime[p.slowed]) * cmp.Or(s.SlowFactor, 1))
	if s.DegradedService != nil {
		lost := s.DegradedService(p)
		g.Slots[lost] -= p.slotsPerUpstream(lost)
	}
	return g
}

func (p *Plan) slotsPerUpstream(s mesh.Service) int { return p.upstreamSlots[s] }

func secondaryService(p *Plan) mesh.Service { return p.secondary }

func (r *run) setFaults(s mesh.Service, f upstream.Faults) {
	for _, h := range r.hosts(s) {
		h.Upstream.SetFaults(f)
	}
}

func startSlowdown(_ context.Context, r *run) error {
	r.setFaults(r.plan.slowed, upstream.Faults{SlowFactor: r.scenario.SlowFactor})
	return nil
}

func endSlowdown(_ context.Context, r *run) error {
	r.setFaults(r.plan.slowed, upstream.Faults{})
	return nil
}

// startFalseReports makes one upstream of the most loaded service fail every call
// immediately while it announces that it is idle and ready.
func startFalseReports(_ context.Context, r *run) error {
	r.targetHost().Upstream.SetFaults(upstream.Faults{FailFast: true, ReportIdle: true})
	return nil
}

func endFalseReports(_ context.Context, r *run) error {
	r.targetHost().Upstream.SetFaults(upstream.Faults{})
	return nil
}

// targetHost returns the host that the fault affects: the first one of the scenario's
// degraded service, or of the most loaded service if there is none.
func (r *run) targetHost() *dev.Host {
	if r.scenario.DegradedService != nil {
		return r.hosts(r.scenario.DegradedService(r.plan))[0]
	}
	return r.hosts(r.plan.bottleneck())[0]
}

func killNode(_ context.Context, r *run) error {
	h := r.targetHost()
	r.targets.remove(h.CallerURL)
	r.addKeysSeen(h) // the upstream and its counts are replaced when the host restarts
	h.Kill()
	return nil
}

func restartNode(_ context.Context, r *run) error { return r.restart(r.targetHost()) }

// restartCold stops one host of the most loaded service in a planned stop and restarts
// it with a cold upstream.
func restartCold(ctx context.Context, r *run) error {
	h := r.targetHost()
	r.targets.remove(h.CallerURL)
	if err := h.Stop(ctx); err != nil {
		return err
	}
	r.addKeysSeen(h) // the restart replaces the upstream and its counts
	r.coldStart.Store(true)
	defer r.coldStart.Store(false)
	return r.restart(h)
}

func startLogOutage(_ context.Context, r *run) error {
	return r.mesh.Log.SetFault(logserver.Fault{Outage: logserver.OutageHang})
}

func endLogOutage(_ context.Context, r *run) error { return r.mesh.Log.SetFault(logserver.Fault{}) }

func startDinnerRush(ctx context.Context, r *run) error {
	if err := startSlowdown(ctx, r); err != nil {
		return err
	}
	return killNode(ctx, r)
}

func endDinnerRush(ctx context.Context, r *run) error {
	if err := endSlowdown(ctx, r); err != nil {
		return err
	}
	return restartNode(ctx, r)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
