package capacity

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// The responses are compared by the share of the slots in use when the request was sent,
	// in steps of 1/steps. Above step minStep, the limit is lowered if the next step is too
	// slow, so the limit is at least minStep/steps of the slots.
	steps   = 10
	minStep = 5
	// kneeTime is the time after which the weight of a response has fallen to 1/e.
	kneeTime = 15 * time.Second
	// kneeSamples is the least weight of the responses of a step for a comparison.
	kneeSamples = 30
	// kneeErrors is the number of standard errors by which the slowdown between two steps must
	// exceed the gain in concurrency. The comparisons are repeated many times a second.
	kneeErrors = 3.0
	// refusalCost is the relative latency with which a refusal counts.
	refusalCost = 2.0
	// A lowered limit is raised by a step every trialTime until the upstream becomes slower,
	// and then tried one step higher after raiseAfter, with twice the time after each trial in
	// vain, up to maxInterval.
	trialTime  = 2 * time.Second
	raiseAfter = 10 * time.Second
	// While many requests run, nothing shows that a lower limit would be better. The limit is
	// then lowered for dipTime by one of dips. Without a knee, the times between two dips grow
	// by dipGrowth from dipAfter to maxInterval, so that dips cost less than 1 % of the capacity
	// at first, and 0.1 % later. With dips to half of the slots for 300 ms each time, 0.8 % were
	// refused at 0.9 of the capacity in a replay, and fewer knees were found.
	dipTime     = 200 * time.Millisecond
	dipAfter    = 10 * time.Second
	dipGrowth   = 2
	maxInterval = time.Minute
	// fullDelay is added while the limit is reached: what a dip then refuses is lost, if the
	// other upstreams are full, too.
	fullDelay = 20 * time.Second
)

// dips are the steps by which the limit is lowered to look for a knee, in turn.
var dips = [...]int{4, 2, 3}

// knee finds the share of the slots above which more concurrency brings fewer responses
// per second: from one step to the next, the latency grows more than the concurrency.
type knee struct {
	at            float64       // share of the slots above which the upstream becomes slower; 1: none known
	raiseAt       time.Duration // when a lowered limit is tried one step higher
	raiseInterval time.Duration
	dip           int           // index in dips of the next dip
	dipLimit      float64       // share of the slots in the current dip
	dipAt         time.Duration // when the next dip may begin
	dipEnds       time.Duration
	dipInterval   time.Duration
	byStep        [steps + 1]mean // relative latency
	random        *rand.Rand
}

func newKnee(now time.Duration, random *rand.Rand) knee {
	k := knee{at: 1, raiseInterval: raiseAfter, dipInterval: dipAfter, random: random}
	k.dipAt = now + k.spread(dipAfter)
	return k
}

// spread returns a random time of the given mean, from half to one and a half of it, so that
// the upstreams of a fleet that started at once do not dip at once.
func (k *knee) spread(mean time.Duration) time.Duration {
	return time.Duration((0.5 + k.random.Float64()) * float64(mean))
}

// step returns the step of a number of running requests, or -1 if the slots are not known.
func step(running, slots int) int {
	if slots <= 0 {
		return -1
	}
	return min(max(running-1, 0)*steps/slots, steps)
}

func (k *knee) record(now time.Duration, running, slots int, relative float64) {
	if s := step(running, slots); s >= 0 {
		k.byStep[s].add(now, kneeTime, relative)
	}
}

// share returns the share of the slots that is to be used.
func (k *knee) share(now time.Duration, running, slots int, usable float64) float64 {
	k.update(now, usable)
	share := min(k.at, usable)
	if k.at < 1 && now >= k.raiseAt && running >= int(share*float64(slots)) {
		k.raise(now, usable)
		share = min(k.at, usable)
	}
	dipAt := k.dipAt
	if running >= int(share*float64(slots)) {
		dipAt += fullDelay
	}
	if lower := max(share-float64(dips[k.dip])/steps, float64(minStep)/steps); now >= dipAt && running > int(lower*float64(slots)) {
		k.dip = (k.dip + 1) % len(dips)
		k.dipLimit, k.dipEnds = lower, now+dipTime
		k.dipAt = now + k.spread(k.dipInterval)
		k.dipInterval = min(dipGrowth*k.dipInterval, maxInterval)
	}
	if now < k.dipEnds {
		return min(share, k.dipLimit)
	}
	return share
}

// dipFactor returns the limit without a dip relative to the present one.
func (k *knee) dipFactor(now time.Duration, usable float64) float64 {
	share := min(k.at, usable)
	if now >= k.dipEnds || k.dipLimit >= share {
		return 1
	}
	return share / k.dipLimit
}

// update lowers the limit if the responses show a knee.
func (k *knee) update(now time.Duration, usable float64) {
	best, above, ok := k.find(now, usable)
	if !ok {
		return
	}
	k.at, k.dipEnds = float64(best+1)/steps, 0
	k.raiseAt = now + trialTime
	if above == best+1 {
		k.raiseAt = now + k.raiseInterval
		k.raiseInterval = min(2*k.raiseInterval, maxInterval)
	}
}

// raise tries a lowered limit one step higher, without the responses of that step from
// before.
func (k *knee) raise(now time.Duration, usable float64) {
	k.byStep[int(math.Round(k.at*steps))] = mean{}
	k.at += 1.0 / steps
	k.raiseAt = now + trialTime
	if k.at >= usable {
		k.at = 1
		k.raiseInterval = raiseAfter
	}
}

// find returns the step in which the upstream brings the most responses per second, and a
// higher one in use in which it brings clearly fewer; ok is false if there is none.
func (k *knee) find(now time.Duration, usable float64) (best, above int, ok bool) {
	most := 0.0
	for s := minStep - 1; s < steps; s++ {
		k.byStep[s].decay(now, kneeTime)
		if k.byStep[s].weight < kneeSamples {
			continue
		}
		if perSecond := min(float64(s+1)/steps, usable) / k.byStep[s].value(); perSecond > most {
			best, most = s, perSecond
		}
	}
	for above = best + 1; most > 0 && above < steps && float64(above)/steps < k.at; above++ {
		if k.slowsDown(best, above, usable) {
			return best, above, true
		}
	}
	return 0, 0, false
}

// slowsDown reports whether requests that start in the higher one of two steps bring fewer
// responses per second.
func (k *knee) slowsDown(low, high int, usable float64) bool {
	below, above := &k.byStep[low], &k.byStep[high]
	if below.weight < kneeSamples || above.weight < kneeSamples {
		return false
	}
	gain := min(float64(high+1)/steps, usable) * steps / float64(low+1)
	slowdown := above.value() / below.value()
	relativeError := math.Sqrt(above.errorSquared()/(above.value()*above.value()) + below.errorSquared()/(below.value()*below.value()))
	return slowdown*(1-kneeErrors*relativeError) > gain
}
