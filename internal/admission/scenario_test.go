package admission

import (
	"testing"
	"time"
)

// Goals of docs/design.md section 1.
const (
	goalGoodput  = 0.95
	goalCritical = 0.995
	goalRecovery = 2 * time.Second
	goalWorst    = 0.9
)

const modelSeed = 1

var chains = []struct {
	name   string
	layers []layer
}{
	{"single", []layer{{50, 20 * ms}}},
	{"chain", []layer{{60, 10 * ms}, {40, 10 * ms}, {20, 10 * ms}}},
}

func fiveTimesSlower(time.Duration) float64 { return 5 }

func warmingUp(t time.Duration) float64 { return 5 - 4*float64(t-from)/float64(2*time.Second) }

var scenarios = []scenario{
	{name: "surge", demand: 0.7, surge: 3},
	{name: "deep-slow", demand: 0.7, slow: fiveTimesSlower},
	{name: "retry-storm", demand: 0.7, surge: 2, retries: 3},
	{name: "greedy", demand: 0.8, greedy: 5},
	{name: "cold-start", demand: 0.5, slow: warmingUp, cold: true, endsAt: from + 2*time.Second},
	{name: "oscillation", demand: 0.7, surge: 2.2},
	{name: "fewer-slots", demand: 0.7, slots: func(time.Duration) float64 { return 0.4 }},
}

// variants change what the controller can know of the upstreams.
var variants = []struct {
	name  string
	apply func(*scenario)
}{
	{"reported", func(*scenario) {}},
	{"unknown", func(s *scenario) { s.unknown = true }},
	{"shedding", func(s *scenario) { s.unknown, s.shed = true, true }},
	{"untimed", func(s *scenario) { s.untimed = true }},
}

func run(policy Policy, layers []layer, sc scenario, seed uint64) figures {
	m := newModel(policy, layers, sc, seed)
	m.run()
	return m.figures()
}

// Guards against a policy that misses a goal of the design page. Each goal is a
// test of its own, so that a known miss names exactly one figure.
func TestModelGoals(t *testing.T) {
	for _, chain := range chains {
		for _, variant := range variants {
			for _, sc := range scenarios {
				variant.apply(&sc)
				t.Run(chain.name+"/"+variant.name+"/"+sc.name, func(t *testing.T) {
					t.Parallel()
					checkGoals(t, run(PolicyFull, chain.layers, sc, modelSeed), sc)
				})
			}
		}
	}
}

func checkGoals(t *testing.T, f figures, sc scenario) {
	t.Log(f)
	atLeast := func(name string, got, goal float64) {
		t.Run(name, func(t *testing.T) {
			if got < goal {
				t.Errorf("%.4f, goal %.4f, seed %d", got, goal, modelSeed)
			}
		})
	}
	atLeast("goodput", f.goodput, goalGoodput)
	atLeast("critical", f.critical, goalCritical)
	atLeast("worst-workspace", f.worst, goalWorst)
	atLeast("recovery", float64(goalRecovery), float64(f.recovery))
	if sc.name == "oscillation" {
		atLeast("no-limit-cycle", f.swing, goalGoodput)
	}
}

// Guards against a full policy that recovers later than the static one. The
// figures have a resolution of one bin.
func TestModelRecoversBeforeStatic(t *testing.T) {
	for _, chain := range chains {
		for _, sc := range scenarios {
			t.Run(chain.name+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				full := run(PolicyFull, chain.layers, sc, modelSeed)
				static := run(PolicyStatic, chain.layers, sc, modelSeed)
				none := run(PolicyNone, chain.layers, sc, modelSeed)
				t.Logf("full   %v", full)
				t.Logf("static %v", static)
				t.Logf("none   %v", none)
				if full.recovery > static.recovery+binSize {
					t.Errorf("full recovers in %v, static in %v", full.recovery, static.recovery)
				}
			})
		}
	}
}
