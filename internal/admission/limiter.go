package admission

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	minLimit               = 2 // unless the upstream has fewer slots
	minWindow              = 50 * time.Millisecond
	maxWindow              = time.Second
	minSamples             = 16          // a window with fewer samples is extended to maxWindow
	maxInitialGrowth       = 3           // doublings of the limit before the first baseline
	settleLatencies        = 2           // latencies after limiter.countFrom until samples count; earlier ones are biased towards short calls
	maxVerificationSamples = 100         // a verification is decided after this many samples in any case
	verificationFactor     = 0.8         // factor applied to the limit during a verification
	growBelow              = 1.1         // ratio of local latency to baseline up to which the limit grows
	congestedAbove         = 1.3         // ratio of local latency to baseline above which congestion is suspected
	kneeMargin             = 1.1         // limit relative to the estimated knee of the latency curve; above 1 to keep the slots busy
	maxBaselineWeight      = 256         // number of samples over which the baseline is averaged
	resetBelow             = 0.8         // ratio of local latency to baseline below which the baseline is reset
	resetSignificance      = 3.0         // standard errors by which a window must be below resetBelow
	minRecalibrate         = time.Second // bounds of limiter.recalibrateAfter
	maxRecalibrate         = 8 * time.Second
	significance           = 2.0                    // standard errors that make any other difference significant
	fullFraction           = 0.9                    // fraction of the limit from which the peak in flight counts as full
	minGrowthPause         = 100 * time.Millisecond // bounds of limiter.growthPause
	maxGrowthPause         = time.Second
	shedSlotHold           = 100 * time.Millisecond // longest time for which the slot of a shed call stays unused
	latencyWeight          = 0.05                   // weight of a new sample in the latency average
	latencyHalfLife        = 500 * time.Millisecond // half-life of the expected latency while nothing is measured
)

// limiter learns the concurrency limit of one upstream.
//
// It works on local latency: the latency of a call without the time spent waiting for
// downstream calls, which depends on the limit of another upstream.
//
// A rise of latency has two causes that need opposite reactions: too many calls in flight
// (local latency grows in proportion to the limit), and a slower service (local latency does
// not depend on the limit, and every slot is needed). The limiter tells them apart by a
// verification: it lowers the limit for a short time and compares.
type limiter struct {
	limit            float64
	step             float64 // next growth; doubles with each growth and falls to 1 after a shed or a verification
	floor            float64 // latency alone does not lower the limit below this value
	bound            float64 // reported slots or configured maximum
	baseline         float64 // local latency without congestion, in ns
	baselineWeight   float64 // number of samples in the baseline
	window           window
	countFrom        time.Duration // samples of calls that started earlier are ignored
	verification     verification
	wasCongested     bool          // the previous window looked congested
	wasFaster        bool          // the previous window was significantly faster than the baseline
	grew             bool          // the limit grew, so calls that end early are over-represented in the window
	provenLimit      float64       // limit up to which the upstream did not shed; zero until it first sheds
	initialGrowth    int           // growth steps made before there was a baseline
	blockedSince     time.Duration // since when calls wait for a limit that does not grow
	recalibrateAfter time.Duration // time of waiting at the limit after which the baseline is measured again
	growthPause      time.Duration // pause of growth after the upstream sheds a call
	noGrowthBefore   time.Duration // the limit does not grow earlier
	latency          float64       // moving average of the latency of a call, in ns
	lastSample       time.Duration // time of the last latency sample
	heldSlots        int           // slots of shed calls that are not yet reused
	heldSlotsSince   time.Duration // time of the last shed call
}

// window accumulates samples of local latency, in ns, between two decisions.
type window struct {
	start           time.Duration
	samples         int
	sum, sumSquares float64
	peak            int  // most calls in flight
	blocked         bool // a call had to wait for the limit
	shed            int  // calls that the upstream shed
}

// verification is a test of whether local latency depends on the limit.
type verification struct {
	active       bool
	limit        float64 // limit before the verification
	localLatency float64 // local latency before the verification, in ns
}

func newLimiter(initial, bound int) limiter {
	l := limiter{limit: float64(initial), floor: float64(initial), step: float64(initial), bound: float64(bound), growthPause: minGrowthPause, recalibrateAfter: minRecalibrate}
	l.clamp()
	return l
}

func (l *limiter) clamp() {
	l.limit = max(min(l.limit, l.bound), min(minLimit, l.bound), 1)
}

// allowed returns how many calls may be in flight.
func (l *limiter) allowed() int { return max(int(l.limit)-l.heldSlots, 0) }

// allowedFor returns how many calls may be in flight for a call of the class to run. If the
// upstream sheds, a limit above the proven one is tried with the less important classes
// first.
func (l *limiter) allowedFor(class mesh.Class) int {
	if class > mesh.ClassHigh || l.provenLimit == 0 {
		return l.allowed()
	}
	return max(int(min(l.limit, l.provenLimit))-l.heldSlots, 0)
}

// recordStart records that a call was sent to the upstream.
func (l *limiter) recordStart(inFlight int) { l.window.peak = max(l.window.peak, inFlight) }

// recordShed records that the upstream refused a call. inFlight is the number of calls in
// flight when the call was sent, itself included. The slot stays unused until another call
// ends or shedSlotHold has passed: refusals are fast, and reusing the slot at once would send
// the whole queue into the same refusal.
func (l *limiter) recordShed(now time.Duration, inFlight int) {
	l.heldSlots++
	l.heldSlotsSince = now
	l.window.shed++
	l.limit = min(l.limit, max(float64(inFlight-1), l.limit/2))
	l.clamp()
	l.provenLimit = l.limit
	l.step = 1
	l.noGrowthBefore = now + l.growthPause
}

// addSample records the latency of a call that the upstream processed.
func (l *limiter) addSample(now, startedAt time.Duration, s Sample) {
	l.heldSlots = max(l.heldSlots-1, 0)
	if startedAt < l.countFrom {
		return
	}
	l.lastSample = now
	if l.latency == 0 {
		l.latency = float64(s.Latency)
	}
	l.latency += latencyWeight * (float64(s.Latency) - l.latency)
	if now < l.countFrom+settleLatencies*time.Duration(l.latency) {
		return
	}
	localLatency := float64(max(s.Latency-s.Downstream, 0))
	l.window.samples++
	l.window.sum += localLatency
	l.window.sumSquares += localLatency * localLatency
}

// expected returns the expected latency of a call. It decays while nothing is measured, so
// that an outdated high estimate does not keep out every call.
func (l *limiter) expected(now time.Duration) time.Duration {
	idle := now - l.lastSample
	if idle <= latencyHalfLife {
		return time.Duration(l.latency)
	}
	return time.Duration(l.latency * math.Exp2(-float64(idle-latencyHalfLife)/float64(latencyHalfLife)))
}

// tick ends the window once it is long enough and adjusts the limit.
func (l *limiter) tick(now time.Duration, inFlight int) {
	if l.heldSlots > 0 && now-l.heldSlotsSince >= shedSlotHold {
		l.heldSlots = 0
	}
	length := now - l.window.start
	if length < minWindow {
		return
	}
	if l.baseline == 0 && l.provenLimit == 0 && l.window.blocked && l.initialGrowth < maxInitialGrowth {
		l.initialGrowth++
		l.grow()
		l.window = window{start: now, peak: inFlight}
		return
	}
	if length < min(time.Duration(l.latency), maxWindow) {
		return
	}
	if l.window.samples < minSamples && length < maxWindow {
		return
	}
	if l.window.samples > 0 {
		if !l.decide(now) {
			return
		}
	}
	l.window = window{start: now, peak: inFlight}
}

// decide adjusts the limit by the window's samples. It returns false if it needs more
// samples.
func (l *limiter) decide(now time.Duration) bool {
	n := float64(l.window.samples)
	mean := l.window.sum / n
	stdDev := math.Sqrt(max(l.window.sumSquares/n-mean*mean, 0))
	if l.verification.active {
		return l.endVerification(mean, stdDev/math.Sqrt(n))
	}
	// The baseline is a mean of samples too, so its error is included.
	standardError := stdDev * math.Sqrt(1/n+1/max(l.baselineWeight, 1))
	full := float64(l.window.peak) >= fullFraction*math.Floor(l.limit)
	if !l.grew {
		l.updateBaseline(mean, standardError)
	}
	l.grew = false
	if l.provenLimit > 0 && l.window.shed == 0 {
		l.provenLimit = max(l.provenLimit, min(float64(l.window.peak), l.limit))
	}
	congested := mean-significance*standardError > congestedAbove*l.baseline
	blocked := l.window.blocked && l.limit < l.bound
	if !blocked {
		l.blockedSince = now
	}
	switch {
	case l.window.shed > 0:
		l.growthPause = min(2*l.growthPause, maxGrowthPause)
	case congested && !full:
		// Fewer calls than the limit are in flight, so a verification would not show the
		// effect of a lower limit.
		l.limit = max(float64(l.window.peak), l.floor)
		l.clamp()
	case l.limit > l.floor && (congested && l.wasCongested || blocked && now-l.blockedSince >= l.recalibrateAfter):
		l.startVerification(now, mean)
	case l.window.blocked && (l.provenLimit == 0 || l.provenLimit >= math.Floor(l.limit)) && mean-standardError <= growBelow*l.baseline && now >= l.noGrowthBefore:
		l.blockedSince = now
		l.grow()
	}
	l.wasCongested = congested && !l.verification.active
	return true
}

// updateBaseline makes the baseline follow a fall of local latency, a large one once two
// consecutive windows show it. It follows a rise only within the noise, because a rise may
// come from more calls in flight. A slower service is detected by a verification, and drift
// by recalibration.
func (l *limiter) updateBaseline(mean, standardError float64) {
	fell := mean+resetSignificance*standardError < resetBelow*l.baseline
	switch {
	case l.baseline == 0, fell && l.wasFaster:
		l.setBaseline(mean)
	case fell:
	case mean-significance*standardError < l.baseline:
		l.baselineWeight = min(l.baselineWeight+float64(l.window.samples), maxBaselineWeight)
		l.baseline += float64(l.window.samples) / l.baselineWeight * (mean - l.baseline)
	}
	l.wasFaster = fell
}

func (l *limiter) setBaseline(localLatency float64) {
	l.baseline = localLatency
	l.baselineWeight = float64(l.window.samples)
}

// startVerification lowers the limit for a short time. The local latency to compare with must
// come from a window that was not selected for being slow, so decide passes that of the
// window after the one that raised the suspicion.
func (l *limiter) startVerification(now time.Duration, localLatency float64) {
	l.verification = verification{active: true, limit: l.limit, localLatency: localLatency}
	l.countFrom = now
	l.blockedSince = now
	l.limit = max(l.limit*verificationFactor, min(l.floor, l.limit))
	l.clamp()
}

// endVerification decides a verification; it returns false if it needs more samples. The
// limit falls only on significant evidence that local latency fell with it, and by no more
// than local latency fell: a limit that is too high costs latency, one that is too low costs
// goodput. Without such evidence the service is slower, and its local latency is the new
// baseline.
func (l *limiter) endVerification(mean, standardError float64) bool {
	before := l.verification
	// Halfway between an unchanged local latency and one that fell in proportion to the limit.
	midpoint := before.localLatency * (1 + l.limit/before.limit) / 2
	if math.Abs(mean-midpoint) < significance*standardError && l.window.samples < maxVerificationSamples {
		return false
	}
	l.verification = verification{}
	l.step = 1
	if mean+significance*standardError >= midpoint {
		l.setBaseline(mean)
		l.limit = before.limit
		l.recalibrateAfter = minRecalibrate
		return true
	}
	l.limit = max(min(kneeMargin*mean/before.localLatency, 1)*before.limit, l.limit)
	l.setBaseline(min(l.baseline, mean))
	l.recalibrateAfter = min(2*l.recalibrateAfter, maxRecalibrate)
	l.clamp()
	return true
}

// grow raises the limit by one step and doubles the step, up to doubling the limit.
func (l *limiter) grow() {
	l.limit += l.step
	l.step = min(2*l.step, l.limit)
	l.growthPause = minGrowthPause
	l.grew = true
	l.clamp()
}
