package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Many nodes that all see failures must keep the fleet's bound in every window
// although they do not talk to each other.
func TestBudgetOverTheFleet(t *testing.T) {
	cfg := BudgetConfig{Ratio: 0.2, Allowance: 48, Window: 10 * time.Second}
	const nodes = 15
	random := rand.New(rand.NewPCG(1, 1))
	budgets := make([]Budget, nodes)
	type count struct{ firsts, repeats int }
	var slots []count // of 100 ms
	for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
		var c count
		rate := 20
		if now > 15*time.Second && now < 20*time.Second {
			rate = 200
		}
		for range rate {
			i := random.IntN(nodes)
			budgets[i].First(now, cfg)
			c.firsts++
			if budgets[i].Allow(now, cfg, nodes) {
				c.repeats++
			}
		}
		slots = append(slots, c)
	}
	const window = 100
	total := 0
	for i := range slots {
		total += slots[i].repeats
		if i < 2*window {
			continue
		}
		most, repeats := 0, 0
		for _, back := range []int{0, window / 2, window} {
			firsts := 0
			for j := i - back - window + 1; j <= i-back; j++ {
				firsts += slots[j].firsts
			}
			most = max(most, firsts)
		}
		for j := i - window + 1; j <= i; j++ {
			repeats += slots[j].repeats
		}
		if limit := cfg.Ratio*float64(most) + cfg.Allowance; float64(repeats) > limit {
			t.Fatalf("%d repeats in the window that ends at %d00 ms, allowed %.0f", repeats, i, limit)
		}
	}
	if total == 0 {
		t.Error("no repeat was allowed at all")
	}
}
