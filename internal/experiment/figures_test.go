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

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %g, want %g", what, got, want)
	}
}

// chain is a front with 10 slots and 0.1 s of its own that calls a leaf with 4
// slots and 0.2 s twice.
func chain() *Graph {
	return &Graph{
		Slots: map[mesh.Service]int{"front": 10, "leaf": 4},
		Own:   map[mesh.Service]time.Duration{"front": 100 * time.Millisecond, "leaf": 200 * time.Millisecond},
		Edges: []declaration.Edge{{From: "front", To: "leaf", CallsPerParent: 2}},
	}
}

// Guards against a best that leaves out the slots held during downstream calls,
// the calls per parent, or the order of the classes.
func TestGraphFill(t *testing.T) {
	g := chain()
	near(t, "hold of the front", g.Hold("front").Seconds(), 0.5)
	near(t, "leaf calls per front call", g.Visits("front")["leaf"], 2)
	// The leaf serves 20 calls/s: 4 critical ones, 12 for 6 of the 12 normal front
	// calls and 4 of the 8 normal leaf calls.
	served := g.Fill([]Demand{
		{Service: "front", Class: mesh.ClassNormal, Rate: 12},
		{Service: "leaf", Class: mesh.ClassNormal, Rate: 8},
		{Service: "leaf", Class: mesh.ClassCritical, Rate: 4},
		{Service: "front", Class: mesh.ClassBulk, Rate: 5},
	})
	for i, want := range []float64{6, 4, 4, 0} {
		near(t, "served", served[i], want)
	}
}

// Guards against fair shares that give a workspace more than it asks for, or
// that leave over what others could use.
func TestFairShares(t *testing.T) {
	shares := FairShares(100, []float64{10, 200, 200}, []float64{1, 1, 2})
	for i, want := range []float64{10, 30, 60} {
		near(t, "share", shares[i], want)
	}
	for i, got := range FairShares(100, []float64{10, 20}, []float64{1, 1}) {
		near(t, "satisfied share", got, []float64{10, 20}[i])
	}
}

// Guards against a recovery time that ends at the first good moment although
// goodput falls again, or that counts bad moments before the end of the cause.
func TestRecovery(t *testing.T) {
	p := Phases{Measure: 0, CauseStart: time.Second, CauseEnd: 2 * time.Second, End: 4 * time.Second}
	var starts []time.Duration
	var good []bool
	for at := time.Duration(0); at < p.End; at += 5 * time.Millisecond {
		bad := at >= p.CauseStart && at < 2200*time.Millisecond || at >= 2500*time.Millisecond && at < 2600*time.Millisecond
		starts, good = append(starts, at), append(good, !bad)
	}
	if got, ok := RecoveryTime(starts, good, p); got != 600*time.Millisecond || !ok {
		t.Errorf("recovery after %s (%v), want 600 ms", got, ok)
	}
	for i, at := range starts {
		good[i] = at < p.CauseStart
	}
	if _, ok := RecoveryTime(starts, good, p); ok {
		t.Error("a run without a good moment after the cause counts as recovered")
	}
}

// Guards against an excess that only whole-run windows show.
func TestExcess(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms ...int) []time.Time {
		var out []time.Time
		for _, m := range ms {
			out = append(out, start.Add(time.Duration(m)*time.Millisecond))
		}
		return out
	}
	near(t, "excess within the burst", RateExcess(at(0, 0, 500, 1000), 2, 2), 0)
	// Three calls within 100 ms after a quiet second: 3 - 2×0.1 - 2.
	near(t, "excess of a late window", RateExcess(at(0, 5000, 5050, 5100), 2, 2), 0.8)
}

// recorded is a run of two routes and two workspaces with recorded events.
func recorded() *run {
	p := &Plan{
		Graph: chain(),
		Routes: []declaration.Route{
			{Service: "leaf", Class: mesh.ClassCritical}, {Service: "leaf", Class: mesh.ClassNormal},
		},
		Mix: []float64{0.5, 0.5},
		Workspaces: []WorkspaceDemand{
			{Workspace: declaration.Workspace{Name: "a", Weight: 3, RatePerSecond: 100, Burst: 10}},
			{Workspace: declaration.Workspace{Name: "b", Weight: 1, RatePerSecond: 100, Burst: 10}},
		},
	}
	began := time.Unix(100, 0)
	r := &run{
		plan: p, scenario: &Scenario{}, began: began, log: newEvents(), options: Options{Policy: admission.PolicyFull},
		// The settling time, 0.2 s, ends at the first arrival.
		phases: Phases{CauseStart: -200 * time.Millisecond, CauseEnd: 10 * time.Second, End: 20 * time.Second},
	}
	// The leaf serves 200 calls in 10 s. Each workspace asks for 10 critical and
	// 190 normal ones, and a gets 10 + 135, b 10 + 25 of them.
	for i := range 200 {
		for w, normal := range []int{135, 25} {
			e := load.RequestResult{Workspace: w, Route: 1, Start: began.Add(time.Duration(i) * 50 * time.Millisecond), InTime: i < 10+normal}
			if i < 10 {
				e.Route = 0
			}
			if !e.InTime {
				e.Kind, e.Refusal = load.Refused, outcome.Refusal{Reason: outcome.Overloaded}
			}
			r.log.ended(e)
		}
	}
	return r
}

// Guards against figures that follow anything but the recorded ends.
func TestFigures(t *testing.T) {
	f := recorded().figures()
	near(t, "answers", f.AnswersRatio, 180.0/200)
	near(t, "goodput", f.GoodputRatio, 180.0/200)
	near(t, "critical success", f.CriticalSuccess, 1)
	// Of 180 normal calls b is owed a quarter, 45, and 10 critical ones.
	near(t, "worst workspace", f.WorstWorkspaceShare, 35.0/55)
	near(t, "refused for load", f.WrongfulRefusals.Load, 220.0/400)
	if f.WorstWorkspace != "b" {
		t.Errorf("worst workspace is %q", f.WorstWorkspace)
	}
}

// Guards against broken promises that the run does not report.
func TestViolations(t *testing.T) {
	r := recorded()
	if found := r.violations(); len(found) != 0 {
		t.Fatalf("violations without cause: %v", found)
	}
	r.keysSeen = 1
	seen := r.log.observer("leaf")
	for _, marker := range []string{"1.1.1", "1.2.1", "1.2.2"} {
		seen(marker, false)
		seen(marker, true)
	}
	notRun := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.Overloaded}
	for _, a := range []load.Attempt{
		{Marker: "1.1.1", Request: "1.1", Kind: load.Refused, Refusal: notRun},
		{Marker: "1.2.1", Request: "1.2", Kind: load.Failed, Ticketed: true},
		{Marker: "1.2.2", Request: "1.2", Kind: load.Complete, Bytes: answerBytes, Ticketed: true},
		{Marker: "1.3.1", Request: "1.3", Kind: load.Complete, Bytes: answerBytes - 1},
		{Marker: "1.4.1", Request: "1.4", Kind: load.Complete, Bytes: answerBytes, Foreign: true},
	} {
		r.log.attempted(a)
	}
	got := map[string]int{}
	for _, v := range r.violations() {
		got[v.Promise] = v.Count
	}
	if len(got) != 4 || got["a whole answer is complete and belongs to its call"] != 2 {
		t.Fatalf("violations %v", got)
	}
}

// Guards against a missed goal that does not fail the command.
func TestMisses(t *testing.T) {
	met := &Result{Figures: Figures{GoodputRatio: 0.95, CriticalSuccess: 0.995, Recovered: true, RecoverySeconds: 2, WorstWorkspaceShare: 0.9}}
	s := &Scenario{MaxRefused: goalRefusedSteady}
	if misses := s.misses(met); len(misses) != 0 {
		t.Fatalf("goals that are just met: %v", misses)
	}
	missed := &Result{Figures: Figures{RecoverySeconds: 2.1, WrongfulRefusals: Refusals{Rate: 0.002, Load: 0.002, Other: 0.002}, QuotaExcess: 1},
		Violations: []Violation{{}}}
	if misses := s.misses(missed); len(misses) != 9 {
		t.Fatalf("%d of 9 misses: %v", len(misses), misses)
	}
}

// Guards against deployments whose demand does not fit their slots, or whose
// critical calls alone do not fit during a cause.
func TestPlans(t *testing.T) {
	for _, deployment := range sortedKeys(profiles) {
		for _, s := range scenarios {
			p, err := planOf(deployment, s)
			if err != nil {
				t.Fatal(err)
			}
			demands := make([]Demand, len(p.Routes))
			for i, r := range p.Routes {
				demands[i] = Demand{Service: r.Service, Class: r.Class, Rate: p.Rate * p.Mix[i]}
			}
			near(t, deployment+": served without a cause", sum(p.Graph.Fill(demands)), p.Rate)
			for i := range demands {
				demands[i].Rate *= max(s.Demand, 1)
			}
			for i, served := range s.graphDuring(p).Fill(demands) {
				if demands[i].Class == mesh.ClassCritical {
					near(t, deployment+" "+s.Name+": critical calls served", served, demands[i].Rate)
				}
			}
		}
	}
}
