package policymodel

import (
	"testing"
	"time"

	"cardamomhatch/internal/admission"
)

// Goals of docs/design.md, section 1.
const (
	goalGoodput        = 0.95
	goalCritical       = 0.995
	goalRecovery       = 2 * time.Second
	goalWorstWorkspace = 0.9
)

const modelSeed = 1

// Guards against a policy that misses a goal of docs/design.md. Each goal is a subtest
// of its own, so that a known failure names exactly one figure.
func TestModelGoals(t *testing.T) {
	for _, chain := range Chains {
		for _, variant := range Variants {
			for _, sc := range Scenarios {
				variant.Apply(&sc)
				t.Run(chain.Name+"/"+variant.Name+"/"+sc.Name, func(t *testing.T) {
					t.Parallel()
					checkGoals(t, Run(admission.PolicyFull, chain, sc, modelSeed), sc)
				})
			}
		}
	}
}

func checkGoals(t *testing.T, f Figures, sc Scenario) {
	t.Log(f)
	atLeast := func(name string, got, goal float64) {
		t.Run(name, func(t *testing.T) {
			if got < goal {
				t.Errorf("%.4f, goal %.4f, seed %d", got, goal, modelSeed)
			}
		})
	}
	atLeast("goodput", f.Goodput, goalGoodput)
	atLeast("critical", f.CriticalSuccess, goalCritical)
	atLeast("worst-workspace", f.WorstWorkspace, goalWorstWorkspace)
	// The recovery must take at most goalRecovery, so the arguments are swapped.
	atLeast("recovery", float64(goalRecovery), float64(f.Recovery))
	if sc.Name == "oscillation" {
		atLeast("no-limit-cycle", f.WorstSecond, goalGoodput)
	}
}

// Guards against a full policy that recovers later than the static one. The tolerance
// is the resolution of the figures, one bin.
func TestModelRecoversBeforeStatic(t *testing.T) {
	for _, chain := range Chains {
		for _, sc := range Scenarios {
			t.Run(chain.Name+"/"+sc.Name, func(t *testing.T) {
				t.Parallel()
				full := Run(admission.PolicyFull, chain, sc, modelSeed)
				static := Run(admission.PolicyStatic, chain, sc, modelSeed)
				none := Run(admission.PolicyNone, chain, sc, modelSeed)
				t.Logf("full   %v", full)
				t.Logf("static %v", static)
				t.Logf("none   %v", none)
				if full.Recovery > static.Recovery+binSize {
					t.Errorf("full recovers in %v, static in %v, want full at most one bin later", full.Recovery, static.Recovery)
				}
			})
		}
	}
}
