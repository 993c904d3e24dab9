package experiment

import (
	"math"
	"testing"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %g, want %g", what, got, want)
	}
}

// chainGraph returns the graph of two services: front, with 10 slots and a service time
// of 0.1 s, calls leaf twice; leaf has 4 slots and a service time of 0.2 s.
func chainGraph() *Graph {
	return &Graph{
		Slots:       map[mesh.Service]int{"front": 10, "leaf": 4},
		ServiceTime: map[mesh.Service]time.Duration{"front": 100 * time.Millisecond, "leaf": 200 * time.Millisecond},
		Edges:       []declaration.Edge{{From: "front", To: "leaf", CallsPerParent: 2}},
	}
}

// Guards against achievable rates that ignore the slots held during downstream calls,
// the number of calls per parent, or the order of the classes.
func TestGraphFill(t *testing.T) {
	g := chainGraph()
	expectNear(t, "holding time of the front", g.HoldingTime("front").Seconds(), 0.5)
	expectNear(t, "leaf calls per front call", g.Visits("front")["leaf"], 2)
	// The leaf serves 20 calls/s: 4 critical ones and, of the normal demand, the same half
	// of both routes: 12 calls on behalf of 6 front calls, and 4 leaf calls.
	served := g.AchievableRates([]Demand{
		{Service: "front", Class: mesh.ClassNormal, Rate: 12},
		{Service: "leaf", Class: mesh.ClassNormal, Rate: 8},
		{Service: "leaf", Class: mesh.ClassCritical, Rate: 4},
		{Service: "front", Class: mesh.ClassBulk, Rate: 5},
	})
	for i, want := range []float64{6, 4, 4, 0} {
		expectNear(t, "served rate", served[i], want)
	}
}

// Guards against fair shares that exceed the demand of a workspace or leave capacity
// unassigned that others could use.
func TestFairShares(t *testing.T) {
	shares := FairShares(100, []float64{10, 200, 200}, []float64{1, 1, 2})
	for i, want := range []float64{10, 30, 60} {
		expectNear(t, "share", shares[i], want)
	}
	for i, got := range FairShares(100, []float64{10, 20}, []float64{1, 1}) {
		expectNear(t, "share below capacity", got, []float64{10, 20}[i])
	}
}

// Guards against a recovery time that ends at the first good bin although goodput
// falls again, or that counts failures before the end of the cause.
func TestRecovery(t *testing.T) {
	p := Phases{Measure: 0, CauseStart: time.Second, CauseEnd: 2 * time.Second, End: 4 * time.Second}
	var starts []time.Duration
	var good []bool
	for at := time.Duration(0); at < p.End; at += 5 * time.Millisecond {
		bad := at >= p.CauseStart && at < 2200*time.Millisecond || at >= 2500*time.Millisecond && at < 2600*time.Millisecond
		starts, good = append(starts, at), append(good, !bad)
	}
	if got, ok := RecoveryTime(starts, good, p); got != 600*time.Millisecond || !ok {
		t.Errorf("recovery after %s (recovered %v), want 600 ms (true)", got, ok)
	}
	for i, at := range starts {
		good[i] = at < p.CauseStart
	}
	if _, ok := RecoveryTime(starts, good, p); ok {
		t.Error("a run without a good request after the cause counts as recovered")
	}
}

// Guards against an excess in a short window that is hidden by the average over the
// whole run.
func TestExcess(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms ...int) []time.Time {
		var out []time.Time
		for _, m := range ms {
			out = append(out, start.Add(time.Duration(m)*time.Millisecond))
		}
		return out
	}
	expectNear(t, "excess within the burst", RateExcess(at(0, 0, 500, 1000), 2, 2), 0)
	// Three calls within 100 ms after an idle period: 3 - 2×0.1 - 2.
	expectNear(t, "excess of a late window", RateExcess(at(0, 5000, 5050, 5100), 2, 2), 0.8)
}

// recordedRun returns a run of two routes and two workspaces with recorded events.
func recordedRun() *run {
	p := &Plan{
		Graph: chainGraph(),
		Routes: []declaration.Route{
			{Service: "leaf", Class: mesh.ClassCritical}, {Service: "leaf", Class: mesh.ClassNormal},
		},
		Mix: []float64{0.5, 0.5},
		Workspaces: []WorkspaceDemand{
			{Workspace: declaration.Workspace{Name: "a", Weight: 3, RatePerSecond: 100, Burst: 10}},
			{Workspace: declaration.Workspace{Name: "b", Weight: 1, RatePerSecond: 100, Burst: 10}},
		},
	}
	startTime := time.Unix(100, 0)
	r := &run{
		plan: p, scenario: &Scenario{}, startTime: startTime, recorder: newRecorder(), options: Options{Policy: admission.PolicyFull},
		// Figures are measured from one mean response time, 0.2 s, after CauseStart, which
		// is the first arrival.
		phases: Phases{CauseStart: -200 * time.Millisecond, CauseEnd: 10 * time.Second, End: 20 * time.Second},
	}
	// The leaf can serve 200 calls in 10 s. Each workspace sends 10 critical and 190
	// normal calls; workspace a has 10 + 135 of them served, b has 10 + 25.
	for i := range 200 {
		for w, normal := range []int{135, 25} {
			request := load.RequestResult{Workspace: w, Route: 1, Start: startTime.Add(time.Duration(i) * 50 * time.Millisecond), InTime: i < 10+normal}
			if i < 10 {
				request.Route = 0
			}
			if !request.InTime {
				request.Kind, request.Refusal = load.Refused, outcome.Refusal{Reason: outcome.Overloaded}
			}
			r.recorder.recordRequest(request)
		}
	}
	return r
}

// Guards against figures that do not agree with the recorded events.
func TestFigures(t *testing.T) {
	f := recordedRun().figures()
	expectNear(t, "answers", f.AnswersRatio, 180.0/200)
	expectNear(t, "goodput", f.GoodputRatio, 180.0/200)
	expectNear(t, "critical success", f.CriticalSuccess, 1)
	// The leaf can serve 20 critical and 180 normal calls. The fair share of b is 10 of the
	// former and, by weight, a quarter of the latter, 45.
	expectNear(t, "worst workspace", f.WorstWorkspaceShare, 35.0/55)
	expectNear(t, "refused for load", f.WrongfulRefusals.Load, 220.0/400)
	if f.WorstWorkspace != "b" {
		t.Errorf("worst workspace is %q, want b", f.WorstWorkspace)
	}
}

// Guards against violations of the guarantees to callers that a run does not report.
func TestViolations(t *testing.T) {
	r := recordedRun()
	if found := r.violations(); len(found) != 0 {
		t.Fatalf("violations in a correct run: %v", found)
	}
	r.keysSeen = 1 // an upstream received an API key
	observe := r.recorder.observer("leaf")
	for _, marker := range []string{"1.1.1", "1.2.1", "1.2.2"} {
		observe(marker, false) // the call arrives
		observe(marker, true)  // it was executed
	}
	notRun := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.Overloaded}
	for _, a := range []load.Attempt{
		{Marker: "1.1.1", Request: "1.1", Kind: load.Refused, Refusal: notRun}, // refused as not run, but executed
		{Marker: "1.2.1", Request: "1.2", Kind: load.Failed, Ticketed: true},
		{Marker: "1.2.2", Request: "1.2", Kind: load.Complete, Bytes: answerBytes, Ticketed: true},   // executed again
		{Marker: "1.3.1", Request: "1.3", Kind: load.Complete, Bytes: answerBytes - 1},               // incomplete
		{Marker: "1.4.1", Request: "1.4", Kind: load.Complete, Bytes: answerBytes, Mismatched: true}, // the answer to another request
	} {
		r.recorder.recordAttempt(a)
	}
	got := map[string]int{}
	for _, v := range r.violations() {
		got[v.Promise] = v.Count
	}
	if len(got) != 4 || got["a whole answer is complete and belongs to its call"] != 2 {
		t.Fatalf("broken guarantees by count: %v; want 4, with 2 incomplete or foreign answers", got)
	}
}

// Guards against a missed goal that is not reported, and against a goal that is met
// exactly and is reported as missed.
func TestMisses(t *testing.T) {
	met := &Result{Figures: Figures{GoodputRatio: 0.95, CriticalSuccess: 0.995, Recovered: true, RecoverySeconds: 2, WorstWorkspaceShare: 0.9}}
	s := &Scenario{MaxRefused: goalRefusedSteady}
	if misses := s.misses(met); len(misses) != 0 {
		t.Fatalf("misses although all goals are met: %v", misses)
	}
	// Misses the goals for goodput, critical success, recovery, worst workspace, three
	// kinds of refusals, quota excess, and violations.
	missed := &Result{Figures: Figures{RecoverySeconds: 2.1, WrongfulRefusals: Refusals{Rate: 0.002, Load: 0.002, Other: 0.002}, QuotaExcess: 1},
		Violations: []Violation{{}}}
	if misses := s.misses(missed); len(misses) != 9 {
		t.Fatalf("got %d misses, want 9: %v", len(misses), misses)
	}
}

// Guards against deployments whose slots cannot serve the demand without a scenario's
// disturbance, or the critical calls during it.
func TestPlans(t *testing.T) {
	for _, deployment := range sortedKeys(profiles) {
		for _, s := range scenarios {
			p, err := newPlan(deployment, s)
			if err != nil {
				t.Fatal(err)
			}
			demands := make([]Demand, len(p.Routes))
			for i, r := range p.Routes {
				demands[i] = Demand{Service: r.Service, Class: r.Class, Rate: p.Rate * p.Mix[i]}
			}
			expectNear(t, deployment+": calls served without a disturbance", sum(p.Graph.AchievableRates(demands)), p.Rate)
			for i := range demands {
				demands[i].Rate *= max(s.DemandFactor, 1)
			}
			for i, served := range s.graphDuring(p).AchievableRates(demands) {
				if demands[i].Class == mesh.ClassCritical {
					expectNear(t, deployment+" "+s.Name+": critical calls served during the disturbance", served, demands[i].Rate)
				}
			}
		}
	}
}
