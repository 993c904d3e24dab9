package retry

import "time"

// The platform bounds the repeats at one service over the whole fleet in any
// window: a ratio of the requests for it, plus an allowance. Nodes keep the
// bound without talking to each other: each spends its part of the ratio on its
// own requests and its part of the allowance.
const (
	budgetBuckets = 20
	// depthShare is the part of the ratio that one layer may spend. A repeat
	// repeats the calls below it too, which count as repeats there; with four
	// layers the parts add up to the ratio.
	depthShare = 0.25
	// allowanceShare keeps a part of the allowance for nodes that are not known
	// yet.
	allowanceShare = 0.7
)

// BudgetConfig is the bound over the whole fleet.
type BudgetConfig struct {
	Ratio     float64       // repeats per request
	Allowance float64       // repeats per window beyond the ratio
	Window    time.Duration // that slides
}

// Budget is one node's part of the bound at one service. The zero value is
// ready for use.
type Budget struct {
	buckets [budgetBuckets]bucket
}

type bucket struct {
	slot             int64
	firsts, repeated int
}

// First records a first attempt.
func (b *Budget) First(now time.Duration, cfg BudgetConfig) { b.at(now, cfg).firsts++ }

// Allow reports whether one more repeat is within the node's part, with so many
// nodes in the fleet, and takes it.
func (b *Budget) Allow(now time.Duration, cfg BudgetConfig, nodes int) bool {
	current := b.at(now, cfg)
	firsts, repeated := 0, 0
	for i := range b.buckets {
		if current.slot-b.buckets[i].slot < budgetBuckets {
			firsts += b.buckets[i].firsts
			repeated += b.buckets[i].repeated
		}
	}
	limit := cfg.Ratio*depthShare*float64(firsts) + cfg.Allowance*allowanceShare/float64(max(nodes, 1))
	if float64(repeated+1) > limit {
		return false
	}
	current.repeated++
	return true
}

func (b *Budget) at(now time.Duration, cfg BudgetConfig) *bucket {
	width := max(cfg.Window/budgetBuckets, time.Millisecond)
	slot := int64(now / width)
	one := &b.buckets[slot%budgetBuckets]
	if one.slot != slot {
		*one = bucket{slot: slot}
	}
	return one
}
