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

var (
	single = []layer{{50, 20 * ms}}
	chain  = []layer{{60, 10 * ms}, {40, 10 * ms}, {20, 10 * ms}}
)

func fiveTimesSlower(time.Duration) float64 { return 5 }

func warmingUp(t time.Duration) float64 { return 5 - 4*float64(t-from)/float64(2*time.Second) }

var scenarios = []scenario{
	{name: "surge", demand: 0.7, surge: 3},
	{name: "deep-slow", demand: 0.7, slow: fiveTimesSlower},
	{name: "retry-storm", demand: 0.7, surge: 1.5, retries: 3},
	{name: "greedy", demand: 0.8, greedy: 5},
	{name: "cold-start", demand: 0.5, slow: warmingUp, cold: true, endsAt: from + 2*time.Second},
	{name: "oscillation", demand: 0.7, surge: 2.2},
}

func TestModelFigures(t *testing.T) {
	for _, depth := range [][]layer{single, chain} {
		for _, variant := range []scenario{{name: "reported"}, {name: "unknown", unknown: true}, {name: "shedding", unknown: true, shed: true}, {name: "untimed", untimed: true}} {
			for _, sc := range scenarios {
				sc.unknown, sc.shed, sc.untimed = variant.unknown, variant.shed, variant.untimed
				for _, policy := range []Policy{PolicyFull, PolicyStatic, PolicyNone} {
					if policy != PolicyFull && variant.name != "reported" {
						continue
					}
					m := newModel(policy, depth, sc, modelSeed)
					m.run()
					t.Logf("depth %d %-9s %-12s %-6s %v", len(depth), variant.name, sc.name, policy, m.figures())
				}
			}
		}
	}
}
