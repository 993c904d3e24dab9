package quota

import (
	"math"
	"math/bits"
	"time"
)

// maxAccrual limits the time for which one update of a bucket accrues credit. At 1e9 calls
// per second, the limit of microCalls, the credit of six hours would exceed 64 bits, and
// bits.Div64 would panic.
const maxAccrual = time.Hour

// microCalls converts calls to micro-calls. It rounds down, limits the result to 1e9 calls,
// and returns 0 for a negative number or NaN.
func microCalls(calls float64) int64 {
	if calls <= 0 || math.IsNaN(calls) {
		return 0
	}
	return int64(min(calls, 1e9) * float64(Call))
}

// burstOfShare returns the burst of one of count shares. The burst is split into whole
// calls, so that no credit is lost in fractions that cannot admit a call. The first shares
// get one call more if the calls do not divide evenly, and share 0 also gets the fraction
// of a call that is left. The sum over all shares is the burst.
func burstOfShare(burst int64, index, count int) int64 {
	calls, n := burst/Call, int64(count)
	part := calls / n * Call
	if int64(index) < calls%n {
		part += Call
	}
	if index == 0 {
		part += burst % Call
	}
	return part
}

// tokenBucket is a token bucket whose capacity is reduced by the outstanding credit:
// level + outstanding <= burst, so that lent credit does not accrue a second time.
type tokenBucket struct {
	level       int64
	outstanding int64
	burst       int64
	rate        int64  // micro-calls per second
	remainder   uint64 // fraction of a micro-call carried over, in units of 1e-9
	updatedAt   time.Duration
}

// accrue adds rate x elapsed time up to now. Credit beyond the capacity is dropped.
func (b *tokenBucket) accrue(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	hi, lo := bits.Mul64(uint64(b.rate), uint64(min(now-b.updatedAt, maxAccrual)))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	gained, rest := bits.Div64(hi+carry, lo, uint64(time.Second))
	b.remainder = rest
	b.updatedAt = now
	b.level += int64(min(gained, uint64(math.MaxInt64/2)))
	b.clamp()
}

// clamp limits the level to the capacity that is not outstanding.
func (b *tokenBucket) clamp() {
	if capacity := max(0, b.burst-b.outstanding); b.level >= capacity {
		b.level = capacity
		b.remainder = 0
	}
}

// resize accrues at the current rate up to now and then sets rate and burst.
func (b *tokenBucket) resize(now time.Duration, rate, burst int64) {
	b.accrue(now)
	if rate != b.rate {
		b.remainder = 0
	}
	b.rate, b.burst = rate, burst
	b.clamp()
}

// timeUntilCalls returns the time until the level reaches n calls, at most 10 s, and 1 s
// if the rate is zero.
func (b *tokenBucket) timeUntilCalls(n int64) time.Duration {
	if b.rate == 0 {
		return time.Second
	}
	missing := max(0, n*Call-b.level)
	return time.Duration(min(float64(missing)/float64(b.rate), 10) * float64(time.Second))
}
