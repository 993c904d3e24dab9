package pressure

import (
	"math"
	"time"
)

const (
	returnInterval = 50 * time.Millisecond // resolution of the times at which callers are to come back
	returnSlots    = 128                   // intervals that can be booked ahead: 6.4 s
	// honouredShare is the fraction of the time that a caller has left up to which it waits for
	// a Retry-After.
	honouredShare = 1.0 / 3
	// returnTolerance is how much earlier or later than told a caller that comes back may arrive.
	returnTolerance = 4 // intervals
	// freshLeft is the fraction of the longest time left that callers of the route have, from
	// which a request counts as a first attempt.
	freshLeft      = 0.9
	longestForget  = 0.02 // per second, fraction by which the longest time left falls
	returnGain     = 0.1  // weight of an interval in the mean rates
	minFreshFactor = 0.75 // least share of requests without a booking, as a fraction of the share of the route
	returnMinDelay = 50 * time.Millisecond
	// steadyShare is the fraction of what is admitted that is booked for returns while the demand
	// is expected to stay. Each return then takes the place of a first attempt, so that more
	// bookings only mean more refusals.
	steadyShare = 0.25
	// maxUnbooked is the longest time that a caller is told for which no room is expected.
	maxUnbooked = 5 * time.Second
	// returnLifetime is the time without a request after which a group is forgotten, and
	// maxReturnGroups limits the groups, each of about 0.4 KB.
	returnLifetime  = 10 * time.Second
	maxReturnGroups = 128
	// completionMargin is the factor by which the time left at the return must exceed the mean
	// time to an answer.
	completionMargin = 1.1
	// hopelessShare is the fraction of the mean time to an answer below which a caller that comes
	// back has too little time left to be served.
	hopelessShare = 1.0
)

// Attempt is a request of a caller at the entry node.
type Attempt struct {
	Target Target
	Level  Level
	Share  float64       // of its route and level that is admitted
	Fair   float64       // of its workspace there that is admitted; see Fair
	Left   time.Duration // until the caller stops waiting
	Draw   float64       // uniformly distributed in [0, 1)
}

// returnKey identifies requests that are admitted with the same share.
type returnKey struct {
	target Target
	level  Level
}

// Returns decides at an entry node when refused callers are told to come back, and admits those
// that do. It handles callers that come back again and again to an overloaded service, where
// each return counts as demand and lowers the share of all.
//
// Each caller is told a time for which room is booked, a part of what is admitted then, or, if
// there is none that it would honour, a time after its deadline. Attempts of a caller do not
// identify each other, but one that has come back has less time left than a first attempt. Such
// a request takes a booking of about this time, and is then admitted. Callers may come back at
// another node; the bookings of all nodes together match the returns to all of them. Returns is
// not safe for concurrent use.
type Returns struct {
	groups map[returnKey]*returnGroup
}

type returnGroup struct {
	interval     int64               // number of the current one
	booked       [returnSlots]uint16 // by interval number, for the current one and later ones, and returnTolerance earlier ones
	arrivals     float64             // in the current interval
	returned     float64             // of these, admitted with a booking
	arrivalRate  float64             // per interval
	returnedRate float64             // per interval
	longest      time.Duration       // longest time left of a caller
	latency      float64             // mean seconds until an answer; zero: not known
	restricted   time.Duration       // since when the share is below 1
	usedAt       time.Duration
}

// NewReturns returns a Returns without bookings.
func NewReturns() *Returns { return &Returns{groups: map[returnKey]*returnGroup{}} }

// group returns the group of the requests, or nil if there are too many groups.
func (r *Returns) group(now time.Duration, t Target, level Level) *returnGroup {
	key := returnKey{t, level}
	g := r.groups[key]
	if g == nil {
		if len(r.groups) >= maxReturnGroups {
			for k, old := range r.groups {
				if now-old.usedAt > returnLifetime {
					delete(r.groups, k)
				}
			}
			if len(r.groups) >= maxReturnGroups {
				return nil
			}
		}
		g = &returnGroup{interval: int64(now / returnInterval), restricted: now, usedAt: now}
		r.groups[key] = g
	}
	if now-g.usedAt > returnLifetime {
		*g = returnGroup{interval: int64(now / returnInterval), restricted: now}
	}
	g.usedAt = now
	g.advance(int64(now / returnInterval))
	return g
}

// advance ends the intervals before the given one.
func (g *returnGroup) advance(interval int64) {
	for ; g.interval < interval; g.interval++ {
		g.arrivalRate += returnGain * (g.arrivals - g.arrivalRate)
		g.returnedRate += returnGain * (g.returned - g.returnedRate)
		g.arrivals, g.returned = 0, 0
		g.longest -= time.Duration(longestForget * returnInterval.Seconds() * float64(g.longest))
		g.booked[(g.interval-returnTolerance+returnSlots)%returnSlots] = 0
	}
}

// Admits reports whether an attempt is admitted.
func (r *Returns) Admits(now time.Duration, a Attempt) bool {
	g := r.group(now, a.Target, a.Level)
	if g == nil {
		return a.Draw < a.Fair
	}
	if a.Share >= 1 {
		g.restricted = now
	}
	g.longest = max(g.longest, a.Left)
	g.arrivals++
	if float64(a.Left) < freshLeft*float64(g.longest) {
		if a.Left.Seconds() < hopelessShare*g.latency {
			return a.Draw < probeShare
		}
		if g.takeBooking() {
			g.returned++
			return true
		}
	}
	return a.Draw < a.Fair*g.freshFactor(a.Share)
}

// takeBooking removes a booking of about the current time, the earliest first.
func (g *returnGroup) takeBooking() bool {
	for i := g.interval - returnTolerance; i <= g.interval+returnTolerance; i++ {
		if b := &g.booked[(i+returnSlots)%returnSlots]; *b > 0 {
			*b--
			return true
		}
	}
	return false
}

// freshFactor returns the factor by which the share of requests without a booking differs, so
// that together with the bookings the given share is admitted.
func (g *returnGroup) freshFactor(share float64) float64 {
	others := g.arrivalRate - g.returnedRate
	if others <= 0 {
		return 1
	}
	return max((share*g.arrivalRate-g.returnedRate)/(others*share), minFreshFactor)
}

// Delay returns the time after which the caller of a refused attempt is to come back, and
// whether room is booked for it then.
func (r *Returns) Delay(now time.Duration, a Attempt) (delay time.Duration, booked bool) {
	unbooked := min(max(a.Left, returnMinDelay), maxUnbooked)
	g := r.group(now, a.Target, a.Level)
	if g == nil {
		return unbooked, false
	}
	longest := min(time.Duration(honouredShare*float64(a.Left)), (returnSlots-2*returnTolerance)*returnInterval)
	if g.latency > 0 {
		longest = min(longest, a.Left-time.Duration(completionMargin*g.latency*float64(time.Second)))
	}
	first, last := int64(math.Ceil(float64(returnMinDelay)/float64(returnInterval))), int64(longest/returnInterval)
	if last < first {
		return unbooked, false
	}
	// Callers with little time left have only early intervals; others start in the later half.
	start := last - int64(a.Draw*float64(last-first)/2)
	for _, step := range []int64{-1, 1} {
		for i := start; i >= first && i <= last; i += step {
			if b := &g.booked[(g.interval+i)%returnSlots]; float64(*b)+1 <= g.room(now, a.Share, i) {
				*b++
				return time.Duration(i) * returnInterval, true
			}
		}
	}
	return unbooked, false
}

// room returns the number of returns for which there is room in the interval that begins after
// the given number of intervals. The demand is expected to stay for as long as it has been above
// the share. After that, the room is all that is admitted now.
func (g *returnGroup) room(now time.Duration, share float64, after int64) float64 {
	admitted := share * g.arrivalRate
	if time.Duration(after)*returnInterval < now-g.restricted {
		admitted *= steadyShare
	}
	return admitted
}

// RecordAnswer records the time that a request took until its answer.
func (r *Returns) RecordAnswer(now time.Duration, t Target, level Level, latency time.Duration) {
	if g := r.groups[returnKey{t, level}]; g != nil {
		if g.latency == 0 {
			g.latency = latency.Seconds()
		}
		g.latency += latencyGain * (latency.Seconds() - g.latency)
	}
}
