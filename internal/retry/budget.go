package retry

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// The platform bounds the repeats at one service over the whole fleet in any
// window: a ratio of the requests for it, plus an allowance. Nodes keep the
// bound without talking to each other: each spends its part of the ratio on its
// own requests and its part of the allowance. What a repeated request calls counts
// as repeats at the services below it, so it is taken from their budgets first.
const (
	budgetBuckets = 20
	// spendShare is the part of the ratio that is spent. The rest covers calls of
	// repeated requests that are attributed to others.
	spendShare = 0.6
	// allowanceShare is the part of the allowance that is spent. A repeat at a service
	// is one for each of its calls at those below, which have only the same allowance.
	allowanceShare = 0.2
)

// classShares are the parts of the budget up to which the requests of a class may
// be repeated; each class leaves about 0.4 of it to the ones above. When more fail than
// can be repeated, those that matter most are served: a request with several calls
// needs a repeat for most of them, and one for each of any requests would complete
// none.
var classShares = [mesh.NumClasses]float64{1, 0.6, 0.3, 0.3}

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

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Duration, cfg BudgetConfig) { b.at(now, cfg).firsts++ }

// Inherited records the first attempt of a call that a repeated request makes.
func (b *Budget) Inherited(now time.Duration, cfg BudgetConfig) { b.at(now, cfg).repeated++ }

// Allow reports whether one more repeat of a request of the class is within the
// node's part, with so many nodes in the fleet, and takes it. Zero nodes means that
// the fleet is not known; then there is no allowance.
func (b *Budget) Allow(now time.Duration, cfg BudgetConfig, nodes int, class mesh.Class) bool {
	current := b.at(now, cfg)
	firsts, repeated := 0, 0
	for i := range b.buckets {
		if current.slot-b.buckets[i].slot < budgetBuckets {
			firsts += b.buckets[i].firsts
			repeated += b.buckets[i].repeated
		}
	}
	limit := cfg.Ratio * spendShare * float64(firsts)
	if nodes > 0 {
		limit += cfg.Allowance * allowanceShare / float64(nodes)
	}
	if float64(repeated+1) > limit*classShares[min(class, mesh.NumClasses-1)] {
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
