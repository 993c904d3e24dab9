// Package pressure refuses at the entry what would fail deep in the call graph.
//
// The load pattern it answers: a service at the end of a chain has less capacity
// than the requests at the entry need, so calls are refused there after the
// services above have done their work, the requests fail and their callers repeat
// them. Nobody declares the call graph. Each node therefore meters the load that
// its upstream is offered and states a cut: the least important requests to be
// admitted. Cuts travel on the answers, to whoever calls, and a node passes on
// the tightest cut of all that the requests of a route call below it. The entry
// refuses by that cut, so that work is admitted whole or not at all.
package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Level orders requests: the class of the workspace goes first, then that of the
// route. Lower levels are refused later.
type Level uint8

// NumLevels is the number of levels.
const NumLevels = mesh.NumClasses * mesh.NumClasses

// LevelOf returns the level of a request.
func LevelOf(workspace, route mesh.Class) Level {
	return Level(min(workspace, mesh.NumClasses-1))*mesh.NumClasses + Level(min(route, mesh.NumClasses-1))
}

// RouteClass returns the class of the request's route.
func (l Level) RouteClass() mesh.Class { return mesh.Class(l % mesh.NumClasses) }

const (
	meterSlot = 50 * time.Millisecond // over which arrivals are counted
	meterGain = 0.1                   // weight of the last slot: a memory of about 500 ms
	// slowest bounds by how much longer the memory of a level is whose requests
	// stand for several each: a fifth of the requests tells as much in five times
	// the time.
	slowest = 4.0
	// aim is the part of the capacity that admitted work may use. The rest takes
	// up the variation of arrivals.
	aim         = 0.97
	latencyGain = 0.05
	// drainTime is how fast the cut makes room for a queue to be worked off.
	drainTime = 800 * time.Millisecond
	// usualQueue is the part of the capacity that waits for moments while arrivals
	// vary; it needs no room.
	usualQueue = 0.3
	// standingQueue is the part of the capacity from which a queue takes from what is
	// admitted: each call waits for as long as it then works.
	standingQueue = 1.0
	// trimRate is the part of the capacity a second by which what is admitted
	// shrinks while a queue stands, and grows again without one. It is slow against
	// the second that an admitted request takes to make its calls. maxTrim bounds
	// the part that it may take.
	trimRate = 0.1
	maxTrim  = 0.5
	// leastCapacity is the part of the capacity that is admitted beside any queue.
	leastCapacity = 0.2
	// cheapPart is the part of the capacity that levels behind the first one that
	// does not fit may need together to be admitted like that one. It costs the
	// first level a quarter of its requests at most.
	cheapPart = 0.25
	// maxWeight bounds what one request can stand for.
	maxWeight = 1 / probeShare
)

// flow is one level's requests, those of callers and calls of upstreams apart.
type flow struct {
	arrivals float64 // in the current slot, each with its weight
	requests int     // in the current slot
	weight   float64 // mean of what a request stands for, at least 1; zero: none seen
	rate     float64 // per second, with their weights
	arriving float64 // per second, without
	latency  float64 // seconds at the upstream
}

// Meter determines the cut of one upstream. It estimates the load that the
// upstream would be offered without any cut: each request carries a weight, the
// inverse of the share with which its level was admitted. The estimate does not
// depend on the cut, so the cut cannot oscillate although it takes effect only
// after the requests admitted before have made their calls. A Meter is not safe
// for concurrent use.
type Meter struct {
	flows   [NumLevels][2]flow
	overall float64 // latency of all flows, for those not measured yet
	slot    time.Duration
	trim    float64 // slots by which the demand turned out larger than estimated
	trimmed time.Duration
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter { return &Meter{} }

func kind(inner bool) int {
	if inner {
		return 1
	}
	return 0
}

// Arrived counts a request that is to run at the upstream, whether or not it is
// admitted there.
func (m *Meter) Arrived(now time.Duration, level Level, inner bool, weight float64) {
	m.roll(now)
	f := &m.flows[min(level, NumLevels-1)][kind(inner)]
	f.arrivals += min(max(weight, 1), maxWeight)
	f.requests++
}

// Worked records how long the upstream worked on a request.
func (m *Meter) Worked(level Level, inner bool, latency time.Duration) {
	f := &m.flows[min(level, NumLevels-1)][kind(inner)]
	s := latency.Seconds()
	if f.latency == 0 {
		f.latency = s
	}
	if m.overall == 0 {
		m.overall = s
	}
	f.latency += latencyGain * (s - f.latency)
	m.overall += latencyGain * (s - m.overall)
}

func (m *Meter) roll(now time.Duration) {
	const memory = 60 * meterSlot // after which the rates have decayed
	if now-m.slot > memory {
		m.slot = now - memory
	}
	for now-m.slot >= meterSlot {
		m.slot += meterSlot
		for l := range m.flows {
			for k := range m.flows[l] {
				m.flows[l][k].endSlot()
			}
		}
	}
}

// endSlot takes the arrivals of a slot into the rate.
func (f *flow) endSlot() {
	if f.requests > 0 {
		mean := f.arrivals / float64(f.requests)
		if f.weight == 0 {
			f.weight = mean
		}
		f.weight += meterGain * (mean - f.weight)
	}
	gain := meterGain / min(max(f.weight, 1), slowest)
	f.rate += gain * (f.arrivals/meterSlot.Seconds() - f.rate)
	f.arriving += meterGain * (float64(f.requests)/meterSlot.Seconds() - f.arriving)
	f.arrivals, f.requests = 0, 0
}

// load returns the slots that a level would need without a cut.
func (m *Meter) load(l int) float64 {
	return m.slots(l, func(f *flow) float64 { return f.rate })
}

// present returns the slots that the requests of a level need which come now.
func (m *Meter) present(l int) float64 {
	return m.slots(l, func(f *flow) float64 { return f.arriving })
}

func (m *Meter) slots(l int, rate func(*flow) float64) float64 {
	sum := 0.0
	for k := range m.flows[l] {
		f := &m.flows[l][k]
		latency := f.latency
		if latency == 0 {
			latency = m.overall
		}
		sum += rate(f) * latency
	}
	return sum
}

// Demand returns the slots that all requests would need without a cut.
func (m *Meter) Demand() float64 {
	sum := 0.0
	for l := range m.flows {
		sum += m.load(l)
	}
	return sum
}

// Cut returns the cut for a capacity in slots: levels in their order for as long
// as the capacity lasts. A queue that has formed takes its part of the capacity
// until it is worked off; without that it would stand for as long as the overload
// lasts, and every call of a request would wait in it again.
func (m *Meter) Cut(now time.Duration, capacity float64, queued int) Cut {
	m.roll(now)
	m.updateTrim(now, capacity, float64(queued))
	backlog := max(float64(queued)-usualQueue*capacity, 0) * m.overall / drainTime.Seconds()
	left := max(aim*capacity-backlog-m.trim, leastCapacity*capacity)
	for l := range m.flows {
		load := m.load(l)
		if load > left {
			return m.shared(l, left, cheapPart*capacity)
		}
		left -= load
	}
	return OpenCut
}

// updateTrim corrects the capacity by the queue: where the demand is estimated too
// low, a queue would stand that the part for its backlog alone does not end.
func (m *Meter) updateTrim(now time.Duration, capacity, queued float64) {
	elapsed := min(now-m.trimmed, time.Second)
	m.trimmed = now
	most := max(standingQueue*capacity, 1)
	excess := min(max((queued-most)/most, -1), 1)
	m.trim = min(max(m.trim+excess*trimRate*capacity*elapsed.Seconds(), 0), maxTrim*capacity)
}

// shared returns the cut that divides the slots left between the first level that
// does not fit and those behind it that are cheap: together, they need no more
// than spare. The order of the levels is kept, since none gets a larger share than
// the one before it.
func (m *Meter) shared(first int, left, spare float64) Cut {
	last, extra := first, 0.0
	for l := first + 1; l < NumLevels; l++ {
		load := m.load(l)
		if extra+load > spare {
			break
		}
		last, extra = l, extra+load
	}
	// Requests of refused levels come all the same: those that pass any cut, and
	// calls that are attributed to the wrong request.
	for l := last + 1; l < NumLevels; l++ {
		left -= m.present(l)
	}
	share := max(left, 0) / (m.load(first) + extra)
	var cut Cut
	for l := range cut {
		switch {
		case l < first:
			cut[l] = 1
		case l <= last:
			cut[l] = float32(share)
		}
	}
	return cut
}
