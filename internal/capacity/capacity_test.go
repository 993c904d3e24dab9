package capacity

import (
	"math/rand/v2"
	"testing"
	"time"
)

const usableShare = 0.94

// upstream is a simulated upstream with 100 slots that answers 200 requests a second.
type upstream struct {
	random  *rand.Rand
	now     time.Duration
	learner *Learner
	running int
	latency func(running int) time.Duration // mean
	figure  func() int
	slow    bool // 2.5 times slower in 600 ms of 3.6 s
}

func newUpstream() *upstream {
	return &upstream{
		random: rand.New(rand.NewPCG(1, 2)), learner: New(5), running: 50,
		latency: func(int) time.Duration { return 100 * time.Millisecond },
		figure:  func() int { return usualFigure },
	}
}

// isSlow reports whether the host is in a slow episode.
func (u *upstream) isSlow() bool {
	return u.slow && u.now%(3600*time.Millisecond) < 600*time.Millisecond
}

func (u *upstream) run(d time.Duration) {
	for end := u.now + d; u.now < end; u.now += 5 * time.Millisecond {
		running := min(max(u.running+u.random.IntN(21)-10, 1), 100)
		if limit := u.learner.Limit(u.now, running, usableShare); limit > 0 {
			running = min(running, int(limit))
		}
		latency := float64(u.latency(running)) * (u.random.ExpFloat64() + u.random.ExpFloat64()) / 2
		if u.isSlow() {
			latency *= 2.5
		}
		u.learner.Record(u.now, Response{
			Route: "r", Latency: time.Duration(latency), Running: running, Slots: 100, Slowness: u.figure(), SlownessAtStart: u.learner.Figure(),
		})
	}
}

// A report of the slowness counts as far as the latencies confirm it. One that is constant,
// absurd or random must not make the upstream look slow or fast.
func TestSlowness(t *testing.T) {
	for _, test := range []struct {
		name      string
		slow      bool
		figure    func(*upstream) int
		low, high float64 // expected slowness in a slow episode
	}{
		{"true", true, func(u *upstream) int {
			if u.isSlow() {
				return 250
			}
			return usualFigure
		}, 2.2, 2.6},
		{"constant", true, func(*upstream) int { return 400 }, 1, 1},
		{"random", false, func(u *upstream) int { return 1 + u.random.IntN(100_000) }, 1, 1.6},
	} {
		u := newUpstream()
		u.slow = test.slow
		u.figure = func() int { return test.figure(u) }
		u.run(36200 * time.Millisecond)
		if got := u.learner.Slowness(u.now); got < test.low || got > test.high {
			t.Errorf("%s reports: slowness %.2f, want %v to %v", test.name, got, test.low, test.high)
		}
		if latency := u.learner.RouteLatency(u.now, "r"); latency < 80*time.Millisecond || latency > 150*time.Millisecond {
			t.Errorf("%s reports: latency %v, want about 100 ms", test.name, latency)
		}
	}
}

// The limit must fall below a knee, return when the knee has gone, and stay where it is if
// latencies only vary. It must not depend on few responses.
func TestKnee(t *testing.T) {
	u := newUpstream()
	u.run(100 * time.Millisecond)
	if rate := u.learner.Rate(u.now, usableShare); rate != 0 {
		t.Errorf("after 20 responses, the rate is %.0f, want none", rate)
	}
	u.running = 85
	u.run(2 * time.Minute)
	if k := u.learner.Knee(); k != 1 {
		t.Errorf("an upstream without a knee has one at %.1f", k)
	}
	if rate := u.learner.Rate(u.now, usableShare); rate < 800 || rate > 1100 {
		t.Errorf("rate %.0f, want about 940", rate)
	}
	even := u.latency
	u.latency = func(running int) time.Duration {
		if running > 70 {
			return 180 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	u.run(4 * time.Minute)
	if k := u.learner.Knee(); k < 0.6 || k > 0.8 {
		t.Errorf("the knee is %.1f, want about 0.7", k)
	}
	u.latency = even
	u.run(2 * time.Minute)
	if k := u.learner.Knee(); k != 1 {
		t.Errorf("two minutes after the knee has gone it is %.1f, want none", k)
	}
}

// The limit must dip for a small part of the time, and the capacity that cuts count must not
// dip with it: entry nodes would refuse requests that other upstreams take.
func TestDips(t *testing.T) {
	u := newUpstream()
	u.running = 80
	dips, ticks := 0, 0
	for ; u.now < 2*time.Minute; ticks++ {
		u.run(50 * time.Millisecond)
		limit := u.learner.Limit(u.now, u.running, usableShare)
		if limit < 90 {
			dips++
		}
		if steady := limit * u.learner.DipFactor(u.now, usableShare); steady < 93.9 || steady > 94.1 {
			t.Fatalf("at %v the limit without dips is %.1f, want 94", u.now, steady)
		}
	}
	if dips == 0 || dips > ticks/50 {
		t.Errorf("the limit dips in %d of %d ticks, want some, at most one in 50", dips, ticks)
	}
}

// Without reports of the slowness, and some time after the last one, the package must have
// no effect. A restart of the upstream must keep the speed of its host, and the responses
// of the cold upstream must not count.
func TestWithoutReports(t *testing.T) {
	u := newUpstream()
	u.figure = func() int { return 0 }
	u.run(10 * time.Second)
	if u.learner.Active(u.now) || u.learner.Limit(u.now, 90, usableShare) != 0 || u.learner.Rate(u.now, usableShare) != 0 {
		t.Errorf("an upstream that does not report its slowness has a capacity")
	}
	u.figure = func() int { return usualFigure }
	u.run(10 * time.Second)
	before := u.learner.Rate(u.now, usableShare)
	u.learner.Restart(u.now)
	u.latency = func(int) time.Duration { return time.Second }
	u.run(2 * time.Second)
	if after := u.learner.Rate(u.now, usableShare); before == 0 || after != before {
		t.Errorf("the rate is %.0f after a restart, want %.0f as before", after, before)
	}
	u.now += settleTime
	for end := u.now + 2*time.Second; u.now < end; {
		u.learner.Ignore(u.now)
		u.run(5 * time.Millisecond)
	}
	if after := u.learner.Rate(u.now, usableShare); after != before {
		t.Errorf("the rate is %.0f after 2 s in which the upstream was cold, want %.0f as before", after, before)
	}
	if later := u.now + reportTTL; u.learner.Rate(later, usableShare) != 0 || u.learner.RouteLatency(later, "r") != 0 {
		t.Errorf("the capacity still counts %v after the last report", reportTTL)
	}
}
