package quota

import (
	"math"
	"testing"
	"time"
)

// bucket is the reference: one token bucket that sees every call at once.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// offer makes Poisson arrivals with skew: node i has weight 1/(i+1), and the
// order of the nodes turns every second. Calls that the reference would refuse
// are not made, so that every refusal is wrongful.
func (f *fleet) offer(until time.Duration, load float64, made *int) {
	ref := &bucket{rate: f.limit.RatePerSecond, burst: f.limit.Burst, level: f.limit.Burst, last: f.now}
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

// Guards against credit that is stranded at some nodes while calls within the
// rate are refused at others. The goal for a fleet without faults is 0.1 %.
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
			f := newFleet(7, 16, Limit{ws, c.rate, c.burst})
			f.first(ShareCount(c.burst, 16))
			f.runTo(10 * time.Second)
			made := 0
			f.offer(70*time.Second, c.load, &made)
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

// Guards against a burst that works at one node but not when it is spread.
func TestSmallBurstOverManyNodes(t *testing.T) {
	f := newFleet(3, 16, Limit{ws, 10, 20})
	f.first(1)
	f.runTo(5 * time.Second)
	for i := range 20 {
		f.procs[i%16].call()
	}
	f.runTo(6 * time.Second)
	if f.results[Taken] != 20 {
		t.Fatalf("of a burst of 20 over 16 nodes %d were taken: %v", f.results[Taken], f.results)
	}
	checkBound(t, f.uses, f.limit)
}

// Guards against a dead holder that takes more than its share of the rate
// with it. The goal through a node's death is 1 %, over the minute in which the
// node dies, is found dead after 10 s and its successor waits for F and drift.
func TestWrongfulRefusalsHolderDeath(t *testing.T) {
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
			f := newFleet(11, 16, Limit{ws, c.rate, c.burst})
			f.first(ShareCount(c.burst, 16))
			f.runTo(10 * time.Second)
			made := 0
			f.offer(70*time.Second, c.load, &made)
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

// Guards against an ask for every call of a workspace that is over its rate.
func TestOverRateIsCheap(t *testing.T) {
	f := newFleet(5, 16, Limit{ws, 100, 40})
	f.first(1)
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
		t.Errorf("%d messages for %d calls at 50 times the rate", f.messages, calls)
	}
	checkBound(t, f.uses, f.limit)
}
