package quota

import (
	"math"
	"math/bits"
	"time"
)

const maxAccrual = time.Hour // longer gaps fill any level and could overflow

// micro converts calls to micro-calls, rounding down.
func micro(calls float64) int64 {
	if calls <= 0 || math.IsNaN(calls) {
		return 0
	}
	return int64(min(calls, 1e9) * float64(Call))
}

// partOfBurst splits a burst into whole calls, so that no share keeps a
// fraction that cannot admit a call; the sum over all shares is the burst.
func partOfBurst(burst int64, index, count int) int64 {
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

// level is a token bucket whose size is reduced by the credit that is out:
// amount + out <= burst, so credit that is out does not accrue a second time.
type level struct {
	amount int64
	out    int64
	burst  int64
	rate   int64 // micro-calls per second
	carry  uint64
	at     time.Duration
}

// accrue adds rate x time up to now. Whatever exceeds the burst is lost.
func (l *level) accrue(now time.Duration) {
	if now <= l.at {
		return
	}
	hi, lo := bits.Mul64(uint64(l.rate), uint64(min(now-l.at, maxAccrual)))
	lo, c := bits.Add64(lo, l.carry, 0)
	gained, rest := bits.Div64(hi+c, lo, uint64(time.Second))
	l.carry = rest
	l.at = now
	l.amount += int64(min(gained, uint64(math.MaxInt64/2)))
	l.clip()
}

func (l *level) clip() {
	if room := max(0, l.burst-l.out); l.amount >= room {
		l.amount = room
		l.carry = 0
	}
}

// resize changes rate and burst from now on.
func (l *level) resize(now time.Duration, rate, burst int64) {
	l.accrue(now)
	if rate != l.rate {
		l.carry = 0
	}
	l.rate, l.burst = rate, burst
	l.clip()
}

// untilCalls returns how long the level needs to hold n calls.
func (l *level) untilCalls(n int64) time.Duration {
	if l.rate == 0 {
		return time.Second
	}
	missing := max(0, n*Call-l.amount)
	return time.Duration(min(float64(missing)/float64(l.rate), 10) * float64(time.Second))
}
