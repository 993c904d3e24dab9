package admission

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	minLimit        = 2
	minWindow       = 50 * time.Millisecond
	maxWindow       = time.Second
	minSamples      = 16
	maxBlind        = 3   // doublings of the limit before the first base
	settleTimes     = 2   // latencies until a sample is free of bias to calls that end early
	maxVerify       = 100 // samples after which a verification is decided in any case
	verifyFactor    = 0.8 // limit during a verification, of the limit before
	growBelow       = 1.1 // own time over base up to which the limit grows
	verifyAbove     = 1.3 // own time over base from which congestion is verified
	kneeMargin      = 1.1 // limit over the estimated knee, keeps the slots busy
	baseMemory      = 256 // samples over which the base is averaged
	clearlyFaster   = 0.8 // own time over base from which the base is replaced at once
	clearNoise      = 3.0 // standard errors of a clear fall
	minRecalibrate  = time.Second
	maxRecalibrate  = 8 * time.Second
	significance    = 2.0 // standard errors
	fullShare       = 0.9 // part of the limit from which a window counts as full
	minHold         = 100 * time.Millisecond
	maxHold         = time.Second
	shedSlotHold    = 100 * time.Millisecond // longest time a shed call's slot stays unused
	serviceGain     = 0.05
	serviceHalfLife = 500 * time.Millisecond
)

// limiter learns the concurrency limit of one upstream.
//
// A rise of latency has two causes that need opposite answers: too many calls in
// flight (own time grows in proportion to the limit), and a slower service (own
// time does not depend on the limit, and every slot is needed). The limiter tells
// them apart by lowering the limit for a moment and comparing. Time spent
// waiting for downstream calls is left out of own time: it depends on the limit
// of another upstream.
type limiter struct {
	limit       float64
	step        float64 // next growth; doubles while growth causes no harm
	floor       float64 // latency alone does not lower the limit below it
	bound       float64 // reported slots or configured bound
	base        float64 // own time without congestion, ns
	baseWeight  float64 // samples in the base
	win         window
	since       time.Duration // only calls that started since count
	verify      verification
	suspected   bool          // the last window looked congested
	fell        bool          // the last window was clearly faster
	grew        bool          // the limit grew, so calls that end early are over-represented in the window
	proven      float64       // limit up to which the upstream did not shed; zero until it has shed
	blind       int           // growth steps before there was a base
	heldSince   time.Duration // since when calls wait for a limit that does not grow
	recalibrate time.Duration // time calls wait at the limit until the base is measured again
	hold        time.Duration // pause after a refusal by the upstream
	growAt      time.Duration // no growth before
	service     float64       // expected latency of a call, ns
	sampled     time.Duration // time of the last latency sample
	held        int           // slots of shed calls that are not yet reused
	heldAt      time.Duration
}

// window collects samples between two decisions.
type window struct {
	start   time.Duration
	n       int
	sum, sq float64
	peak    int  // most calls in flight
	blocked bool // a call had to wait for the limit
	shed    int
}

// verification is a test whether own time depends on the limit.
type verification struct {
	active bool
	limit  float64 // limit before
	own    float64 // own time before
}

func newLimiter(initial, bound int) limiter {
	l := limiter{limit: float64(initial), floor: float64(initial), step: float64(initial), bound: float64(bound), hold: minHold, recalibrate: minRecalibrate}
	l.clamp()
	return l
}

func (l *limiter) clamp() {
	l.limit = max(min(l.limit, l.bound), min(minLimit, l.bound), 1)
}

// allowed returns how many calls may be in flight.
func (l *limiter) allowed() int { return max(int(l.limit)-l.held, 0) }

// allowedFor returns how many calls may be in flight for a call of the class to
// run. With an upstream that sheds, a grown limit is tried with the less
// important classes first.
func (l *limiter) allowedFor(class mesh.Class) int {
	if class > mesh.ClassHigh || l.proven == 0 {
		return l.allowed()
	}
	return max(int(min(l.limit, l.proven))-l.held, 0)
}

// started records a call sent to the upstream.
func (l *limiter) started(inFlight int) { l.win.peak = max(l.win.peak, inFlight) }

// shed records a refusal by the upstream of a call that was the inFlight-th in
// flight when it was sent. The slot stays unused until another call ends:
// refusals are fast, and reusing the slot at once would send the whole queue
// into the same refusal.
func (l *limiter) shed(now time.Duration, inFlight int) {
	l.held++
	l.heldAt = now
	l.win.shed++
	l.limit = min(l.limit, max(float64(inFlight-1), l.limit/2))
	l.clamp()
	l.proven = l.limit
	l.step = 1
	l.growAt = now + l.hold
}

// sample records the latency of a call that the upstream worked on.
func (l *limiter) sample(now, started time.Duration, s Sample) {
	l.held = max(l.held-1, 0)
	if started < l.since {
		return
	}
	l.sampled = now
	if l.service == 0 {
		l.service = float64(s.Latency)
	}
	l.service += serviceGain * (float64(s.Latency) - l.service)
	if now < l.since+settleTimes*time.Duration(l.service) {
		return
	}
	own := float64(max(s.Latency-s.Downstream, 0))
	l.win.n++
	l.win.sum += own
	l.win.sq += own * own
}

// expected returns the expected latency of a call. It decays while nothing is
// measured, so that an estimate from a bad time cannot keep every call out.
func (l *limiter) expected(now time.Duration) time.Duration {
	idle := now - l.sampled
	if idle <= serviceHalfLife {
		return time.Duration(l.service)
	}
	return time.Duration(l.service * math.Exp2(-float64(idle-serviceHalfLife)/float64(serviceHalfLife)))
}

// tick ends the window if it is long enough and moves the limit.
func (l *limiter) tick(now time.Duration, inFlight int) {
	if l.held > 0 && now-l.heldAt >= shedSlotHold {
		l.held = 0
	}
	length := now - l.win.start
	if length < minWindow {
		return
	}
	if l.base == 0 && l.proven == 0 && l.win.blocked && l.blind < maxBlind {
		l.blind++
		l.grow()
		l.win = window{start: now, peak: inFlight}
		return
	}
	if length < min(time.Duration(l.service), maxWindow) {
		return
	}
	if l.win.n < minSamples && length < maxWindow {
		return
	}
	if l.win.n > 0 {
		if !l.decide(now) {
			return
		}
	}
	l.win = window{start: now, peak: inFlight}
}

// decide moves the limit by the window's samples. It returns false if it needs
// more of them.
func (l *limiter) decide(now time.Duration) bool {
	n := float64(l.win.n)
	mean := l.win.sum / n
	spread := math.Sqrt(max(l.win.sq/n-mean*mean, 0))
	if l.verify.active {
		return l.verified(mean, spread/math.Sqrt(n))
	}
	// The base is a mean of samples too, so its error counts as well.
	deviation := spread * math.Sqrt(1/n+1/max(l.baseWeight, 1))
	full := float64(l.win.peak) >= fullShare*math.Floor(l.limit)
	if !l.grew {
		l.rebase(mean, deviation)
	}
	l.grew = false
	if l.proven > 0 && l.win.shed == 0 {
		l.proven = max(l.proven, min(float64(l.win.peak), l.limit))
	}
	congested := mean-significance*deviation > verifyAbove*l.base
	held := l.win.blocked && l.limit < l.bound
	if !held {
		l.heldSince = now
	}
	switch {
	case l.win.shed > 0:
		l.hold = min(2*l.hold, maxHold)
	case congested && !full:
		// The limit has no effect on what is in flight, so it cannot be tested.
		l.limit = max(float64(l.win.peak), l.floor)
		l.clamp()
	case l.limit > l.floor && (congested && l.suspected || held && now-l.heldSince >= l.recalibrate):
		l.startVerify(now, mean)
	case l.win.blocked && (l.proven == 0 || l.proven >= math.Floor(l.limit)) && mean-deviation <= growBelow*l.base && now >= l.growAt:
		l.heldSince = now
		l.grow()
	}
	l.suspected = congested && !l.verify.active
	return true
}

// rebase follows the own time without congestion: every fall, and a rise only
// within the noise, because a rise may come from more calls in flight. A slower
// service is recognized by a verification, and drift by recalibration.
func (l *limiter) rebase(mean, deviation float64) {
	fell := mean+clearNoise*deviation < clearlyFaster*l.base
	switch {
	case l.base == 0, fell && l.fell:
		l.setBase(mean)
	case fell:
	case mean-significance*deviation < l.base:
		l.baseWeight = min(l.baseWeight+float64(l.win.n), baseMemory)
		l.base += float64(l.win.n) / l.baseWeight * (mean - l.base)
	}
	l.fell = fell
}

func (l *limiter) setBase(own float64) {
	l.base = own
	l.baseWeight = float64(l.win.n)
}

// startVerify lowers the limit for a moment. The own time to compare with must
// come from a window that was not picked for being slow, so the window that
// raised the suspicion does not count.
func (l *limiter) startVerify(now time.Duration, own float64) {
	l.verify = verification{active: true, limit: l.limit, own: own}
	l.since = now
	l.heldSince = now
	l.limit = max(l.limit*verifyFactor, min(l.floor, l.limit))
	l.clamp()
}

// verified ends a verification. The limit falls only on clear evidence that own
// time fell with it, and by no more than own time fell: a limit that is too high
// costs latency, one that is too low costs goodput. Without such evidence the
// service is slower, and its own time is the new base.
func (l *limiter) verified(mean, deviation float64) bool {
	before := l.verify
	midpoint := before.own * (1 + l.limit/before.limit) / 2
	if math.Abs(mean-midpoint) < significance*deviation && l.win.n < maxVerify {
		return false
	}
	l.verify = verification{}
	l.step = 1
	if mean+significance*deviation >= midpoint {
		l.setBase(mean)
		l.limit = before.limit
		l.recalibrate = minRecalibrate
		return true
	}
	l.limit = max(min(kneeMargin*mean/before.own, 1)*before.limit, l.limit)
	l.setBase(min(l.base, mean))
	l.recalibrate = min(2*l.recalibrate, maxRecalibrate)
	l.clamp()
	return true
}

func (l *limiter) grow() {
	l.limit += l.step
	l.step = min(2*l.step, l.limit)
	l.hold = minHold
	l.grew = true
	l.clamp()
}
