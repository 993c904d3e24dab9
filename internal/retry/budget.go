package retry

import (
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/mesh"
)

// The platform bounds the retries at one service over the whole fleet in any window: to a
// ratio of the requests for the service, plus an allowance. Nodes keep the bound without
// coordination: each spends the ratio of its own requests and its share of the allowance.
// The calls of a retried request count as retries at the services that it calls, so they
// are charged to the budgets of those services before any retry there.
//
// In a large fleet the share of a node is often less than one retry in a window. It is rounded
// at random, so that the nodes together may spend what the bound permits: rounded down, the
// shares of 95 nodes would permit none.
const (
	budgetBuckets = 20 // per window
	// ratioShare is the fraction of the ratio that is spent. The rest covers calls of
	// retried requests that are wrongly attributed to other requests.
	ratioShare = 0.6
	// allowanceShare is the fraction of the allowance that is spent. A retry at a service
	// causes a retry for each of its calls to other services, whose allowance is no
	// larger.
	allowanceShare = 0.2
	// roundingWindows is the number of windows after which a node draws again how it rounds
	// its share. It is large because a window with two draws can hold two rounded-up retries.
	roundingWindows = 6
)

// classShares are the fractions of the budget up to which the requests of a class may be
// retried; all retries use up the one budget. High requests leave 0.4 of it to critical
// ones, and normal and bulk requests leave 0.7 to critical and high ones. If more requests
// fail than can be retried, the most important ones are completed: a request with several
// calls needs a retry for most of them, so a budget that is spread evenly over all requests
// would complete none.
var classShares = [mesh.NumClasses]float64{1, 0.6, 0.3, 0.3}

// BudgetConfig is the bound over the whole fleet.
type BudgetConfig struct {
	Ratio     float64       // retries per request
	Allowance float64       // retries per window beyond the ratio
	Window    time.Duration // length of the sliding window
}

// Budget is one node's share of the bound at one service.
type Budget struct {
	seed    uint64
	buckets [budgetBuckets]bucket // ring buffer
}

// NewBudget returns a budget. The seeds of different nodes and services must differ.
func NewBudget(seed uint64) *Budget { return &Budget{seed: seed} }

// bucket counts one interval of the window.
type bucket struct {
	interval        int64 // number of the interval since time zero
	firsts, retries int   // attempts
}

// RecordFirst records a first attempt of a request at the service.
func (b *Budget) RecordFirst(now time.Duration, cfg BudgetConfig) { b.currentBucket(now, cfg).firsts++ }

// RecordInherited records the first attempt of a call that a retried request makes. It
// counts as a retry.
func (b *Budget) RecordInherited(now time.Duration, cfg BudgetConfig) {
	b.currentBucket(now, cfg).retries++
}

// Allow reports whether one more retry of a request of the class is within this node's
// share of the bound, and records the retry if it is. nodes is the size of the fleet. If it
// is zero, which means not known, the node has no allowance.
func (b *Budget) Allow(now time.Duration, cfg BudgetConfig, nodes int, class mesh.Class) bool {
	current := b.currentBucket(now, cfg)
	firsts, retries := 0, 0
	for i := range b.buckets {
		if current.interval-b.buckets[i].interval < budgetBuckets {
			firsts += b.buckets[i].firsts
			retries += b.buckets[i].retries
		}
	}
	limit := cfg.Ratio * ratioShare * float64(firsts)
	if nodes > 0 {
		limit += cfg.Allowance * allowanceShare / float64(nodes)
	}
	if float64(retries+1) > limit*classShares[min(class, mesh.NumClasses-1)]+b.rounding(now, cfg) {
		return false
	}
	current.retries++
	return true
}

// rounding returns what is added to the limit before it is rounded down, at least 0 and less
// than 1. Nodes draw at different times.
func (b *Budget) rounding(now time.Duration, cfg BudgetConfig) float64 {
	period := uint64(max(roundingWindows*cfg.Window, 1))
	offset := rand.NewPCG(b.seed, 0).Uint64() % period
	draw := rand.New(rand.NewPCG(b.seed, 1+(uint64(max(now, 0))+offset)/period))
	return draw.Float64()
}

// currentBucket returns the bucket of the current interval. It clears the bucket if it
// still counts an earlier interval.
func (b *Budget) currentBucket(now time.Duration, cfg BudgetConfig) *bucket {
	width := max(cfg.Window/budgetBuckets, time.Millisecond)
	interval := int64(now / width)
	current := &b.buckets[interval%budgetBuckets]
	if current.interval != interval {
		*current = bucket{interval: interval}
	}
	return current
}
