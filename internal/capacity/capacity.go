// Package capacity learns how much work one upstream takes well: its speed, the number of
// requests from which on it becomes slower, and whether its host is slow at the moment.
//
// It is designed for this load pattern: the upstreams of a service have the same slots but
// differ in speed by a factor of two and more, some become slower before all their slots
// are in use, and each host is slow for fractions of a second at a time, as the upstream
// reports. Equal shares of the requests overload the slow upstreams, and a choice by
// latency alone overloads the fast ones. The node beside an upstream sees all its responses,
// so it learns within seconds, and tells the entry nodes.
//
// What an upstream reports about its host has an effect only as far as the latencies of its
// responses confirm it.
package capacity

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportTTL is the time without a report of the slowness after which the package has no
	// effect any more.
	reportTTL = 30 * time.Second
	// speedTime is the averaging time of the mean latency. Momentary slowness lasts for less
	// than a second, and changes of the speed are to be followed within seconds.
	speedTime = 4 * time.Second
	// minSpeedSamples bounds the error of the mean latency: at a coefficient of variation of
	// 1, the mean of 100 samples is off by 0.1. With fewer samples in speedTime, the average
	// covers a longer time.
	minSpeedSamples = 100
	// minSamples is the number of responses before which no speed is known.
	minSamples = 30
	// minRouteSamples is the number of responses of a route before its latency is told.
	minRouteSamples = 10
	// settleTime is the time after a start of the upstream in which its responses are not
	// used: caches are empty and connections are set up.
	settleTime = 3 * time.Second
	// maxRoutes is the limit of the tracked routes.
	maxRoutes   = 1024
	usualFigure = 100 // reported slowness in percent of a host that is not slow
	// slowFigure is the reported slowness in percent from which on the host counts as slow.
	slowFigure = 150
	// maxFigure bounds the reported slowness in percent.
	maxFigure = 1000
	// maxSlowness bounds Slowness.
	maxSlowness = 4.0
	// trustSamples is the number of responses from a slow host, and from one that is not,
	// that confirm the reported slowness or disprove it.
	trustSamples = 20
	// trustTime is the time after which the weight of these responses has fallen to 1/e.
	trustTime = 30 * time.Second
	// figureTTL is the age up to which a report of the slowness applies. Episodes last about
	// 600 ms.
	figureTTL = 600 * time.Millisecond
)

// Response describes one response of the upstream, or its refusal of a request.
type Response struct {
	Route    string
	Latency  time.Duration // from when the request was sent
	Running  int           // requests at the upstream when this one was sent, with it
	Slots    int           // as the upstream reports them
	Refused  bool          // the upstream has not run the request because of load
	Slowness int           // reported, in percent of the usual time; zero: not reported
	// SlownessAtStart is the last report before the request was sent; zero: none.
	SlownessAtStart int
}

// average is a moving average that starts as the mean of its first samples.
type average struct {
	value   float64
	samples int
	at      time.Duration // of the last sample
}

// add adds a sample. The average covers speedTime, or minSpeedSamples if these take longer.
func (a *average) add(now time.Duration, x float64) {
	a.samples++
	gain := min(1-math.Exp(-float64(now-a.at)/float64(speedTime)), 1.0/minSpeedSamples)
	a.value += max(gain, 1/float64(a.samples)) * (x - a.value)
	a.at = now
}

// mean is an average whose samples lose weight over time.
type mean struct {
	weight, sum, squares float64
	at                   time.Duration
}

func (m *mean) decay(now, constant time.Duration) {
	factor := math.Exp(-float64(max(now-m.at, 0)) / float64(constant))
	m.weight *= factor
	m.sum *= factor
	m.squares *= factor
	m.at = now
}

func (m *mean) add(now, constant time.Duration, x float64) {
	m.decay(now, constant)
	m.weight++
	m.sum += x
	m.squares += x * x
}

func (m *mean) value() float64 { return m.sum / m.weight }

// errorSquared returns the square of the standard error of the mean.
func (m *mean) errorSquared() float64 {
	v := m.value()
	return max(m.squares/m.weight-v*v, 0) / m.weight
}

// Learner learns the capacity of one upstream from its responses. All times are durations
// since one arbitrary start. A Learner is not safe for concurrent use.
type Learner struct {
	reportedAt  time.Duration // time of the last report of the slowness; valid if reported is set
	reported    bool
	figure      int           // last reported slowness in percent
	settledAt   time.Duration // responses to requests that were sent before are not used
	slots       int
	routes      map[string]*average // latency by route without momentary slowness, ns
	latency     average             // of all routes
	slow, usual mean                // latency relative to the mean of its route, of a slow host and one that is not
	slowFigures mean                // reported slowness of the samples in slow, as a factor
	knee        knee
}

// New returns a learner that knows nothing. seed is that of its random numbers.
func New(seed uint64) *Learner {
	return &Learner{routes: map[string]*average{}, knee: newKnee(0, rand.New(rand.NewPCG(seed, seed)))}
}

// Restart records that the upstream has started again. Its speed is mostly that of its
// host and is kept.
func (l *Learner) Restart(now time.Duration) {
	l.settledAt = now + settleTime
	l.figure = 0
	l.knee = newKnee(now, l.knee.random)
}

// Ignore makes the latencies of all requests that were sent until now not count. It is to be
// called while the upstream is cold without having started again.
func (l *Learner) Ignore(now time.Duration) { l.settledAt = max(l.settledAt, now) }

// Active reports whether the upstream reports how slow its host is.
func (l *Learner) Active(now time.Duration) bool {
	return l.reported && now-l.reportedAt < reportTTL
}

// Figure returns the last reported slowness in percent, or zero if there is none.
func (l *Learner) Figure() int { return l.figure }

// Record adds a response or a refusal of the upstream.
func (l *Learner) Record(now time.Duration, r Response) {
	if r.Slowness > 0 {
		l.figure = min(r.Slowness, maxFigure)
		l.reportedAt, l.reported = now, true
	}
	if r.Slots > 0 {
		l.slots = r.Slots
	}
	if !l.Active(now) || now-r.Latency < l.settledAt {
		return
	}
	before := l.figure
	if r.SlownessAtStart > 0 {
		before = min(r.SlownessAtStart, maxFigure)
	}
	slow := before >= slowFigure && l.figure >= slowFigure
	usual := before < slowFigure && l.figure < slowFigure
	counts := usual || l.trust() == 0
	if r.Refused {
		if counts {
			l.knee.record(now, r.Running, l.slots, refusalCost)
		}
		return
	}
	relative := l.relative(now, r, counts)
	switch {
	case slow:
		l.slow.add(now, trustTime, relative)
		l.slowFigures.add(now, trustTime, float64(before+l.figure)/2/usualFigure)
	case usual:
		l.usual.add(now, trustTime, relative)
	}
	if counts {
		l.knee.record(now, r.Running, l.slots, relative)
		l.latency.add(now, float64(r.Latency))
	}
}

// relative returns the latency of a response relative to the mean of its route. If the
// response counts, it is added to that mean.
func (l *Learner) relative(now time.Duration, r Response, counts bool) float64 {
	m := l.routes[r.Route]
	if m == nil {
		if !counts {
			return 1
		}
		if len(l.routes) >= maxRoutes {
			clear(l.routes)
		}
		m = &average{}
		l.routes[r.Route] = m
	}
	relative := 1.0
	if m.samples > 0 {
		relative = float64(r.Latency) / max(m.value, 1)
	}
	if counts {
		m.add(now, float64(r.Latency))
	}
	return relative
}

// trust returns how far the latencies confirm the reported slowness: 0 if responses take no
// longer while the host is reported to be slow, and 1 if they take as much longer as reported.
func (l *Learner) trust() float64 {
	if l.slow.weight < trustSamples || l.usual.weight < trustSamples {
		return 0
	}
	claimed := l.slowFigures.value() - 1
	observed := l.slow.value()/l.usual.value() - 1
	return min(max(observed/claimed, 0), 1)
}

// Slowness returns the factor by which work takes longer at the moment than usual, at
// least 1.
func (l *Learner) Slowness(now time.Duration) float64 {
	if !l.reported || now-l.reportedAt >= figureTTL {
		return 1
	}
	return min(max(1+l.trust()*(float64(l.figure)/usualFigure-1), 1), maxSlowness)
}

// Limit returns the number of requests that may run at a time, or zero if nothing is to be
// said about it. running is the number of those that run, usable the largest fraction of the
// slots that is used in any case.
func (l *Learner) Limit(now time.Duration, running int, usable float64) float64 {
	if !l.Active(now) || l.slots <= 0 {
		return 0
	}
	return l.knee.share(now, running, l.slots, usable) * float64(l.slots)
}

// DipFactor returns how much higher the limit would be if it were not lowered for a moment to
// look for a knee. The dip says nothing about what the upstream takes.
func (l *Learner) DipFactor(now time.Duration, usable float64) float64 {
	return l.knee.dipFactor(now, usable)
}

// Knee returns the fraction of the slots from which on the upstream becomes slower, or 1 if
// none is known.
func (l *Learner) Knee() float64 { return l.knee.at }

// RouteLatency returns the mean latency of a route while the host is not slow, or zero if it
// is not known.
func (l *Learner) RouteLatency(now time.Duration, route string) time.Duration {
	m := l.routes[route]
	if m == nil || m.samples < minRouteSamples || !l.Active(now) {
		return 0
	}
	return time.Duration(m.value)
}

// Rate returns the requests per second that the upstream takes while its host is not slow, or
// zero if it is not known. usable is as for Limit.
func (l *Learner) Rate(now time.Duration, usable float64) float64 {
	if !l.Active(now) || l.latency.samples < minSamples {
		return 0
	}
	return min(l.knee.at, usable) * float64(l.slots) / time.Duration(max(l.latency.value, 1)).Seconds()
}
