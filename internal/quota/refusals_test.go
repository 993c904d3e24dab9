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

// generateLoad makes calls with Poisson arrivals at load times the rate, unevenly spread:
// the i-th node has weight 1/(i+1), and every second the weights move on by five nodes.
// Calls that the reference bucket refuses are not made, so that every refusal by the
// limiters is wrongful. made counts the calls.
func (c *cluster) generateLoad(until time.Duration, load float64, made *int) {
	ref := &idealBucket{rate: c.limit.RatePerSecond, burst: c.limit.Burst, level: c.limit.Burst, last: c.now}
	var sum float64
	for i := range c.nodes {
		sum += 1 / float64(i+1)
	}
	var next func()
	next = func() {
		gap := -math.Log(1-c.rng.Float64()) / (load * c.limit.RatePerSecond)
		c.after(time.Duration(gap*float64(time.Second)), func() {
			if c.now >= until {
				return
			}
			pick, i := c.rng.Float64()*sum, 0
			for pick -= 1; pick > 0 && i < len(c.nodes)-1; pick -= 1 / float64(i+1) {
				i++
			}
			n := c.nodes[(i+int(c.now/time.Second)*5)%len(c.nodes)]
			if !n.dead && ref.take(c.now) {
				*made++
				n.call()
			}
			next()
		})
	}
	next()
}

// Guards against refusals within the rate because unused credit is held by other nodes.
// The goal without faults is at most 0.1 % of the calls.
func TestWrongfulRefusalsSteady(t *testing.T) {
	for _, tt := range []struct {
		name        string
		rate, burst float64
		load        float64 // multiple of the rate
	}{
		{"small burst", 100, 20, 0.95},
		{"three shares", 400, 60, 1.5},
		{"large burst", 2000, 1000, 1},
		{"low rate", 5, 10, 0.6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(7, 16, Limit{ws, tt.rate, tt.burst})
			c.assignInitial(ShareCount(tt.burst, 16))
			c.runTo(10 * time.Second)
			made := 0
			c.generateLoad(70*time.Second, tt.load, &made)
			c.runTo(72 * time.Second)
			refused := made - c.results[Taken]
			t.Logf("%d calls, %d refused (%.3f %%): %v, %.1f messages/s/node", made, refused,
				100*float64(refused)/float64(made), c.results, float64(c.messages)/62/16) // 62 s, 16 nodes
			if float64(refused) > 0.001*float64(made) {
				t.Errorf("%d of %d calls within the rate were refused, want at most 0.1 %%", refused, made)
			}
			checkBound(t, c.taken, c.limit)
		})
	}
}

// Guards against refusals within a small burst whose calls arrive at many nodes.
func TestSmallBurstOverManyNodes(t *testing.T) {
	c := newCluster(3, 16, Limit{ws, 10, 20})
	c.assignInitial(1)
	c.runTo(5 * time.Second)
	for i := range 20 {
		c.nodes[i%16].call()
	}
	c.runTo(6 * time.Second)
	if c.results[Taken] != 20 {
		t.Fatalf("%d calls of a burst of 20 over 16 nodes were taken, want all: %v", c.results[Taken], c.results)
	}
	checkBound(t, c.taken, c.limit)
}

// Guards against refusals beyond the failed holder's share of the rate. The goal is at
// most 1 % of the calls in the minute in which a node fails, is detected as failed after
// 10 s, and its successor waits 3.1 s: the freshness period of 3 s plus clock drift.
func TestWrongfulRefusalsHolderFailure(t *testing.T) {
	for _, tt := range []struct {
		name        string
		rate, burst float64
		load        float64 // multiple of the rate
	}{
		{"large burst", 2000, 1000, 0.9},
		{"small burst", 40, 80, 0.6},
		{"smallest example", 20, 64, 0.6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(11, 16, Limit{ws, tt.rate, tt.burst})
			c.assignInitial(ShareCount(tt.burst, 16))
			c.runTo(10 * time.Second)
			made := 0
			c.generateLoad(70*time.Second, tt.load, &made)
			c.runTo(20 * time.Second)
			c.nodes[1].dead = true
			c.runTo(30 * time.Second)
			reassigned := append([]Share(nil), c.shares...)
			for i := range reassigned {
				reassigned[i].Epoch = 2
			}
			reassigned[1].Holder, reassigned[1].First = c.nodes[15].id, false
			c.assign(reassigned...)
			c.after(3100*time.Millisecond, func() {
				c.nodes[15].limiter.Activate(c.nodes[15].clock(), ws, 1)
			})
			c.runTo(71 * time.Second)
			refused := made - c.results[Taken]
			t.Logf("%d calls, %d refused (%.3f %%): %v", made, refused, 100*float64(refused)/float64(made), c.results)
			if float64(refused) > 0.01*float64(made) {
				t.Errorf("%d of %d calls within the rate were refused after a holder failed, want at most 1 %%", refused, made)
			}
			checkBound(t, c.taken, c.limit)
		})
	}
}

// Guards against a message for every call of a workspace that is over its rate.
func TestOverRateSendsFewMessages(t *testing.T) {
	c := newCluster(5, 16, Limit{ws, 100, 40})
	c.assignInitial(1)
	c.runTo(time.Second)
	c.messages = 0
	calls := 0
	for c.now < 6*time.Second {
		c.runTo(c.now + 200*time.Microsecond)
		c.nodes[calls%16].call()
		calls++
	}
	t.Logf("%d calls, %d messages, %v", calls, c.messages, c.results)
	if c.results[Taken] < 480 {
		t.Errorf("%d calls were taken, want at least 480 of 540", c.results[Taken])
	}
	if c.messages > calls/4 {
		t.Errorf("%d messages for %d calls at 50 times the rate, want at most a quarter", c.messages, calls)
	}
	checkBound(t, c.taken, c.limit)
}
