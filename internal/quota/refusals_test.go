package quota

import (
	"math"
	"testing"
	"time"
)

// idealBucket is the reference: a single token bucket that sees every call without delay.
type idealBucket struct {
	rate, burst, level float64
	last               time.Duration
}

func (b *idealBucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// generateLoad makes calls with Poisson arrivals, unevenly spread: the i-th node has
// weight 1/(i+1), and the nodes rotate every second. Calls that the reference bucket
// refuses are not made, so that every refusal by the ledgers is wrongful.
func (f *cluster) generateLoad(until time.Duration, load float64, made *int) {
	ref := &idealBucket{rate: f.limit.RatePerSecond, burst: f.limit.Burst, level: f.limit.Burst, last: f.now}
	var sum float64
	for i := range f.procs {
		sum += 1 / float64(i+1)
	}
	var next func()
	next = func() {
		gap := -math.Log(1-f.rng.Float64()) / (load * f.limit.RatePerSecond)
		f.after(time.Duration(gap*float64(time.Second)), func() {
			if f.now >= until {
				return
			}
			pick, i := f.rng.Float64()*sum, 0
			for pick -= 1; pick > 0 && i < len(f.procs)-1; pick -= 1 / float64(i+1) {
				i++
			}
			p := f.procs[(i+int(f.now/time.Second)*5)%len(f.procs)]
			if !p.dead && ref.take(f.now) {
				*made++
				p.call()
			}
			next()
		})
	}
	next()
}

// Guards against refusals within the rate because unused credit is held by other nodes.
// The goal without faults is at most 0.1 % of the calls.
func TestWrongfulRefusalsSteady(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, burst float64
		load        float64
	}{
		{"small burst", 100, 20, 0.95},
		{"one share", 400, 60, 1.5},
		{"large burst", 2000, 1000, 1},
		{"low rate", 5, 10, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCluster(7, 16, Limit{ws, c.rate, c.burst})
			f.assignInitial(ShareCount(c.burst, 16))
			f.runTo(10 * time.Second)
			made := 0
			f.generateLoad(70*time.Second, c.load, &made)
			f.runTo(72 * time.Second)
			refused := made - f.results[Taken]
			t.Logf("%d calls, %d refused (%.3f %%): %v, %.1f messages/s/node", made, refused,
				100*float64(refused)/float64(made), f.results, float64(f.messages)/62/16)
			if float64(refused) > 0.001*float64(made) {
				t.Errorf("%d of %d calls within the rate were refused, goal 0.1 %%", refused, made)
			}
			checkBound(t, f.uses, f.limit)
		})
	}
}

// Guards against refusals within a small burst whose calls arrive at many nodes.
func TestSmallBurstOverManyNodes(t *testing.T) {
	f := newCluster(3, 16, Limit{ws, 10, 20})
	f.assignInitial(1)
	f.runTo(5 * time.Second)
	for i := range 20 {
		f.procs[i%16].call()
	}
	f.runTo(6 * time.Second)
	if f.results[Taken] != 20 {
		t.Fatalf("%d calls of a burst of 20 over 16 nodes were taken, want all: %v", f.results[Taken], f.results)
	}
	checkBound(t, f.uses, f.limit)
}

// Guards against refusals beyond the failed holder's share of the rate. The goal is at
// most 1 % of the calls in the minute in which a node fails, is detected as failed after
// 10 s, and its successor waits 3.1 s: the freshness period of 3 s plus clock drift.
func TestWrongfulRefusalsHolderFailure(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, burst float64
		load        float64
	}{
		{"large burst", 2000, 1000, 0.9},
		{"small burst", 40, 80, 0.6},
		{"smallest example", 20, 64, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCluster(11, 16, Limit{ws, c.rate, c.burst})
			f.assignInitial(ShareCount(c.burst, 16))
			f.runTo(10 * time.Second)
			made := 0
			f.generateLoad(70*time.Second, c.load, &made)
			f.runTo(20 * time.Second)
			f.procs[1].dead = true
			f.runTo(30 * time.Second)
			next := append([]Share(nil), f.shares...)
			for i := range next {
				next[i].Epoch = 2
			}
			next[1].Holder, next[1].First = f.procs[15].id, false
			f.assign(next...)
			f.after(3100*time.Millisecond, func() {
				f.procs[15].ledger.Activate(f.procs[15].clock(), ws, 1)
			})
			f.runTo(71 * time.Second)
			refused := made - f.results[Taken]
			t.Logf("%d calls, %d refused (%.3f %%): %v", made, refused, 100*float64(refused)/float64(made), f.results)
			if float64(refused) > 0.01*float64(made) {
				t.Errorf("%d of %d calls within the rate were refused through a holder's death, goal 1 %%", refused, made)
			}
			checkBound(t, f.uses, f.limit)
		})
	}
}

// Guards against a message for every call of a workspace that is over its rate.
func TestOverRateSendsFewMessages(t *testing.T) {
	f := newCluster(5, 16, Limit{ws, 100, 40})
	f.assignInitial(1)
	f.runTo(time.Second)
	f.messages = 0
	calls := 0
	for f.now < 6*time.Second {
		f.runTo(f.now + 200*time.Microsecond)
		f.procs[calls%16].call()
		calls++
	}
	t.Logf("%d calls, %d messages, %v", calls, f.messages, f.results)
	if f.results[Taken] < 480 {
		t.Errorf("%d calls were taken, want at least 480 of 540", f.results[Taken])
	}
	if f.messages > calls/4 {
		t.Errorf("%d messages for %d calls at 50 times the rate, want at most a quarter", f.messages, calls)
	}
	checkBound(t, f.uses, f.limit)
}
