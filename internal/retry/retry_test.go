package retry

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"cardamomhatch/internal/outcome"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const layerRetries = 3 // retries that each layer makes at most in simulateChain

// simulateChain simulates a chain of calls in which the leaf always fails and every layer
// retries. Each layer borrows units, each of which allows one retry, from the one above;
// lent is the number that the top layer gets. simulateChain returns the number of
// executions of the leaf and the units that the response reports as unspent, and adds the
// number of calls on all edges to calls.
func simulateChain(depth, lent int, ratios []Ratio, calls *int) (leafExecutions, unspent int) {
	*calls++
	if depth == 0 {
		return 1, lent
	}
	pool := NewPool(lent)
	earlier := outcome.NotRun
	ratio := &ratios[depth-1]
	ratio.RecordFirst(0)
	for try := 0; ; try++ {
		share := pool.Lend(pool.ChildShare(1))
		n, returned := simulateChain(depth-1, share, ratios, calls)
		leafExecutions += n
		pool.Return(returned)
		reason := outcome.UpstreamFailed
		decision := Decide(Attempt{Refusal: outcome.Refusal{Execution: outcome.RanFailed, Reason: reason},
			Earlier: earlier, Idempotent: true, Pool: &pool, Ratio: ratio})
		if !decision.Retry || try == layerRetries {
			return leafExecutions, pool.Remaining()
		}
		earlier = decision.Final.Execution
	}
}

// Guards against retries of several layers that multiply: without the bound of the
// allowance, the leaf runs (1+layerRetries)^depth times.
func TestRetryStormIsBounded(t *testing.T) {
	const allowance = 3
	for _, depth := range []int{1, 5, 15} {
		baseline := 1
		for range depth {
			baseline *= 1 + layerRetries
		}
		calls := 0
		ratios := make([]Ratio, depth)
		leafExecutions, _ := simulateChain(depth, allowance, ratios, &calls)
		t.Logf("depth %d: leaf executions per action %d (baseline %d), calls beyond the declared graph %d",
			depth, leafExecutions, baseline, calls-(depth+1))
		if leafExecutions > 1+allowance || calls-(depth+1) > 1+allowance {
			t.Fatalf("depth %d: %d leaf executions, %d calls beyond the graph, want at most %d",
				depth, leafExecutions, calls-(depth+1), 1+allowance)
		}
		const actions = 10_000
		sum := 0
		for range actions {
			n, _ := simulateChain(depth, allowance, ratios, &calls)
			if n > 1+allowance {
				t.Fatalf("depth %d: %d leaf executions of one action, want at most one more than the allowance", depth, n)
			}
			sum += n
		}
		if bound := 1 + retriesPerCall + float64(depth*retryReserve)/actions; float64(sum)/actions > bound {
			t.Errorf("depth %d: the ratios of the layers compound: %.3f leaf executions per action, want at most %.3f",
				depth, float64(sum)/actions, bound)
		}
		t.Logf("depth %d: %.3f leaf executions per action over %d actions on shared edges", depth, float64(sum)/actions, actions)
	}
}

// simulateTree simulates a random tree of concurrent calls with random failures and lost
// reports of unspent units. It returns the number of retries, including calls beyond the
// declared ones, which cost a unit each, and the units that it reports as unspent.
func simulateTree(t *rapid.T, depth, lent int) (retries, unspent int) {
	pool := NewPool(lent)
	children := rapid.IntRange(0, 4).Draw(t, "children")
	if depth == 0 {
		children = 0
	}
	declared := rapid.IntRange(0, 4).Draw(t, "declared")
	shares := make([]int, 0, children)
	for i := range children {
		free, ok := pool.ChargeCall(1, declared)
		if free != (i < declared) {
			t.Fatalf("call %d, counted from 0, on an edge with %d declared calls: free is %v", i, declared, free)
		}
		if !ok {
			break
		}
		if !free {
			retries++
		}
		shares = append(shares, pool.Lend(pool.ChildShare(children-i)))
	}
	for _, share := range shares {
		made, returned := simulateTree(t, depth-1, share)
		retries += made
		if returned > share {
			t.Fatalf("a child that was lent %d units reports %d as unspent", share, returned)
		}
		if !rapid.Bool().Draw(t, "report lost") {
			pool.Return(returned)
		}
	}
	for rapid.Bool().Draw(t, "fails") && pool.Spend() {
		retries++
	}
	return retries, pool.Remaining()
}

// Guards against a unit that two concurrent children hold, and against units that become
// available again although the report of them as unspent was lost.
func TestCallTreeStaysWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		retries, unspent := simulateTree(t, 4, allowance)
		if retries+unspent > allowance {
			t.Fatalf("allowance %d: %d retries and %d unspent units, want a sum of at most the allowance", allowance, retries, unspent)
		}
	})
}

// In any window, an edge must not make more retries than a tenth of its calls plus the
// reserve and its refill.
func TestRatioBoundsRetriesInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type point struct {
			at             time.Duration
			calls, retries int
		}
		var r Ratio
		points := []point{{}}
		now, calls, retries := time.Duration(0), 0, 0
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "gap ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "retry") {
				if r.Allow(now) {
					retries++
				}
			} else {
				r.RecordFirst(now)
				calls++
			}
			points = append(points, point{now, calls, retries})
		}
		for i, from := range points {
			for _, to := range points[i:] {
				bound := retriesPerCall*float64(to.calls-from.calls) + retryReserve + refillPerSecond*(to.at-from.at).Seconds()
				if float64(to.retries-from.retries) > bound+1e-6 {
					t.Fatalf("%d retries from %v to %v, want at most %.2f", to.retries-from.retries, from.at, to.at, bound)
				}
			}
		}
	})
}

// Guards against a second execution of a call that may have run, against retries that
// cannot end in time or cannot help, and against a final "not run" that hides an earlier
// attempt that may have run.
func TestDecide(t *testing.T) {
	refusal := func(e outcome.Execution, r outcome.Reason) outcome.Refusal {
		return outcome.Refusal{Execution: e, Reason: r}
	}
	lost, busy := refusal(outcome.MayHaveRun, outcome.PeerLost), refusal(outcome.NotRun, outcome.Overloaded)
	cases := []struct {
		name      string
		a         Attempt
		allowance int
		retry     bool
		final     outcome.Refusal
	}{
		{"not run", Attempt{Refusal: busy}, 1, true, busy},
		{"may have run, not idempotent", Attempt{Refusal: lost}, 1, false, lost},
		{"may have run, idempotent", Attempt{Refusal: lost, Idempotent: true}, 1, true, lost},
		{"response started", Attempt{Refusal: lost, Idempotent: true, Started: true}, 1, false, lost},
		{"too late", Attempt{Refusal: busy, Now: 90 * time.Millisecond, Deadline: 100 * time.Millisecond, Expected: 5 * time.Millisecond}, 1, false, busy},
		{"no allowance", Attempt{Refusal: busy}, 0, false, outcome.Refusal{Reason: outcome.RetriesExhausted, Detail: "last attempt: overloaded"}},
		{"withdrawn key", Attempt{Refusal: refusal(outcome.NotRun, outcome.KeyWithdrawn)}, 1, false, refusal(outcome.NotRun, outcome.KeyWithdrawn)},
		{"exhausted below", Attempt{Refusal: refusal(outcome.NotRun, outcome.RetriesExhausted)}, 1, false, refusal(outcome.NotRun, outcome.RetriesExhausted)},
		{"earlier attempt may have run", Attempt{Refusal: busy, Earlier: outcome.MayHaveRun}, 1, false, refusal(outcome.MayHaveRun, outcome.Overloaded)},
		{"complete response", Attempt{Refusal: refusal(outcome.Ran, outcome.None)}, 1, false, refusal(outcome.Ran, outcome.None)},
	}
	for _, c := range cases {
		pool := NewPool(c.allowance)
		c.a.Pool, c.a.Ratio = &pool, &Ratio{}
		decision := Decide(c.a)
		if decision.Retry != c.retry || decision.Final != c.final {
			t.Errorf("%s: got decision %+v, want Retry and Final as in the case", c.name, decision)
		}
		if spent := c.allowance - pool.Remaining(); (spent == 1) != c.retry {
			t.Errorf("%s: %d units spent, want 1 for a retry and 0 otherwise", c.name, spent)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	b.ReportAllocs()
	var ratio Ratio
	for b.Loop() {
		pool := NewPool(3)
		ratio.RecordFirst(0)
		decision := Decide(Attempt{Refusal: outcome.Refusal{Reason: outcome.Overloaded}, Pool: &pool, Ratio: &ratio})
		if decision.Wait < 0 {
			b.Fatal("negative wait")
		}
	}
	b.ReportMetric(float64(unsafe.Sizeof(Pool{})), "B/action")
	b.ReportMetric(float64(unsafe.Sizeof(Ratio{})), "B/edge")
}

func ExamplePool_ChildShare() {
	pool := NewPool(3)
	fmt.Println(pool.Lend(pool.ChildShare(2)), pool.Lend(pool.ChildShare(1)))
	// Output: 2 1
}
