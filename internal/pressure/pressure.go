// Package pressure sheds, at the entry nodes, the requests that would otherwise fail deep
// in the call graph.
//
// It handles this load pattern: a service at the end of a call chain has less capacity
// than the requests at the entry nodes need. Its nodes refuse calls after the services
// above have done their work, the requests fail, and their callers retry them. The call
// graph is not declared. Each node therefore measures the load that is offered to its
// upstream and reports a cut: the share of each level of importance that is to be
// admitted. Responses carry the cut to the calling node, which reports in turn the
// level-wise minimum of the cuts of all services that the requests of a route call. The
// entry nodes shed by that cut, so that a request is admitted with all its calls or not
// at all.
//
// Requests of one level can need very different amounts of the short service. The meter
// therefore also counts by origin, the entry route of a request, and learns the cost of an
// entry request of each origin: the slot seconds that it takes here with all its calls. Within
// the first level that does not fit, origins of a low cost are admitted ahead of others.
package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Level is the importance of a request, by the class of the workspace first and that
// of the route second. Lower levels are more important and are refused later.
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
	meterInterval = 50 * time.Millisecond // over which arrivals are counted
	meterGain     = 0.1                   // weight of one interval in the averages, which cover about 500 ms
	// maxAveragingFactor bounds the factor by which the averaging time of a level grows
	// when each of its requests represents several. If only a fifth of the requests
	// arrive, the same accuracy takes five times as long.
	maxAveragingFactor = 4.0
	// targetUtilization is the fraction of the capacity that admitted work may use. The
	// rest absorbs the variation of arrivals.
	targetUtilization = 0.97
	latencyGain       = 0.05 // weight of one request in the mean latencies
	// queueDrainTime is the time in which an existing queue is to drain. The cut leaves
	// capacity for that.
	queueDrainTime = 800 * time.Millisecond
	// normalQueue is the queue length, as a fraction of the capacity, that varying
	// arrivals cause for short times. No capacity is set aside for it.
	normalQueue = 0.3
	// standingQueue is the queue length, as a fraction of the capacity, above which less
	// is admitted. At this length, each call waits for as long as it then runs.
	standingQueue = 1.0
	// reductionRate is the fraction of the capacity per second by which the admitted load
	// is reduced while there is a standing queue, and by which the reduction is undone
	// otherwise. It is slow compared with the second that an admitted request takes to
	// make its calls. maxReduction bounds the reduction, as a fraction of the capacity.
	reductionRate = 0.1
	maxReduction  = 0.5
	// minCapacityShare is the fraction of the capacity that is used however long the
	// queue is.
	minCapacityShare = 0.2
	// cheapShare is the fraction of the capacity that the cheap levels may need together.
	// They are the levels that directly follow the first level that does not fit, and get
	// the same admitted share as that level, which can lose this fraction to them.
	cheapShare = 0.25
	// maxWeight bounds the number of requests that one admitted request represents.
	maxWeight = 1 / probeShare
)

// flow holds the statistics of one part of a level's requests: those from callers, or the
// nested calls that upstreams make.
type flow struct {
	weightedArrivals float64 // sum of weights in the current interval
	requests         int     // in the current interval
	meanWeight       float64 // of a request, at least 1; zero: no request yet
	weightedRate     float64 // sum of weights per second
	rate             float64 // requests per second
	latency          float64 // mean seconds at the upstream; zero: no request yet
}

// Meter determines the cut of one upstream. It estimates the load that would be
// offered to the upstream without any cut: each request carries a weight, the number of
// requests that it represents, which is the inverse of the admitted share of its level. A
// cut takes effect only after the requests admitted before have made their calls, but since
// the estimate does not depend on the cut, the delay cannot make the cut oscillate. Load
// and capacity are measured in slots, each of which runs one request at a time. A Meter is
// not safe for concurrent use.
type Meter struct {
	flows              [NumLevels][2]flow // by level and flowIndex
	meanLatency        float64            // of all flows, in seconds; used for flows without a measurement
	intervalStart      time.Duration
	reduction          float64 // slots that are left unused because of a standing queue
	reductionUpdatedAt time.Duration
	origins            map[string]*originStats
	originMissed       bool      // in the current interval, a request of an origin came that is not tracked
	division           *division // of the last cut; nil if the requests of all origins get the same cut
}

// NewMeter returns a meter without measurements.
func NewMeter() *Meter { return &Meter{} }

// flowIndex returns the index of a flow within its level in Meter.flows.
func flowIndex(nested bool) int {
	if nested {
		return 1
	}
	return 0
}

// RecordArrival counts a request for the upstream, whether or not it is admitted
// there. nested states whether an upstream makes it on behalf of a running request.
func (m *Meter) RecordArrival(now time.Duration, level Level, nested bool, weight float64) {
	m.advance(now)
	f := &m.flows[min(level, NumLevels-1)][flowIndex(nested)]
	f.weightedArrivals += min(max(weight, 1), maxWeight)
	f.requests++
}

// RecordLatency records how long the upstream worked on a request.
func (m *Meter) RecordLatency(level Level, nested bool, latency time.Duration) {
	f := &m.flows[min(level, NumLevels-1)][flowIndex(nested)]
	s := latency.Seconds()
	if f.latency == 0 {
		f.latency = s
	}
	if m.meanLatency == 0 {
		m.meanLatency = s
	}
	f.latency += latencyGain * (s - f.latency)
	m.meanLatency += latencyGain * (s - m.meanLatency)
}

// advance closes the intervals that have ended.
func (m *Meter) advance(now time.Duration) {
	// Older intervals are skipped: without arrivals, the rates fall in this time to 0.002 of
	// their value, and the weighted rate of a level with maxAveragingFactor to 0.2 of it.
	const maxElapsed = 60 * meterInterval
	if now-m.intervalStart > maxElapsed {
		m.intervalStart = now - maxElapsed
	}
	for now-m.intervalStart >= meterInterval {
		m.intervalStart += meterInterval
		for l := range m.flows {
			for k := range m.flows[l] {
				m.flows[l][k].endInterval()
			}
		}
		m.endOriginIntervals()
	}
}

// endInterval adds the arrivals of the interval to the moving averages and resets them.
func (f *flow) endInterval() {
	if f.requests > 0 {
		mean := f.weightedArrivals / float64(f.requests)
		if f.meanWeight == 0 {
			f.meanWeight = mean
		}
		f.meanWeight += meterGain * (mean - f.meanWeight)
	}
	gain := meterGain / min(max(f.meanWeight, 1), maxAveragingFactor)
	f.weightedRate += gain * (f.weightedArrivals/meterInterval.Seconds() - f.weightedRate)
	f.rate += meterGain * (float64(f.requests)/meterInterval.Seconds() - f.rate)
	f.weightedArrivals, f.requests = 0, 0
}

// demand returns the slots that the requests of a level would need without a cut.
func (m *Meter) demand(l int) float64 {
	return m.slots(l, func(f *flow) float64 { return f.weightedRate })
}

// arrivingDemand returns the slots that a level needs for the requests that arrive under the
// current cut.
func (m *Meter) arrivingDemand(l int) float64 {
	return m.slots(l, func(f *flow) float64 { return f.rate })
}

// slots returns the slots that a level needs at the given rate of each flow.
func (m *Meter) slots(l int, rate func(*flow) float64) float64 {
	sum := 0.0
	for k := range m.flows[l] {
		f := &m.flows[l][k]
		latency := f.latency
		if latency == 0 {
			latency = m.meanLatency
		}
		sum += rate(f) * latency
	}
	return sum
}

// Demand returns the slots that all requests would need without a cut.
func (m *Meter) Demand() float64 {
	sum := 0.0
	for l := range m.flows {
		sum += m.demand(l)
	}
	return sum
}

// Cut returns the cut for a capacity in slots. Levels are admitted in order until
// the capacity is used up. Some of the capacity is set aside until an existing
// queue has drained; otherwise the queue would persist for as long as the overload lasts,
// and each call of a request would wait in it.
func (m *Meter) Cut(now time.Duration, capacity float64, queued int) Cut {
	m.advance(now)
	m.updateReduction(now, capacity, float64(queued))
	utilization, usualQueue := targetUtilization, normalQueue
	if m.division != nil {
		utilization, usualQueue = dividedUtilization, dividedNormalQueue
		m.division = nil
	}
	backlog := max(float64(queued)-usualQueue*capacity, 0) * m.meanLatency / queueDrainTime.Seconds()
	left := max(utilization*capacity-backlog-m.reduction, minCapacityShare*capacity)
	for l := range m.flows {
		demand := m.demand(l)
		if demand > left {
			cut, last := m.splitCut(l, left, cheapShare*capacity)
			m.division = m.divide(cut, l, last)
			return cut
		}
		left -= demand
	}
	return OpenCut
}

// updateReduction adapts the reduction of the capacity to the queue length. If the demand
// is underestimated, the capacity that Cut sets aside for the backlog does not suffice, and
// the reduction drains the queue.
func (m *Meter) updateReduction(now time.Duration, capacity, queued float64) {
	elapsed := min(now-m.reductionUpdatedAt, time.Second)
	m.reductionUpdatedAt = now
	limit := max(standingQueue*capacity, 1)
	excess := min(max((queued-limit)/limit, -1), 1)
	m.reduction = min(max(m.reduction+excess*reductionRate*capacity*elapsed.Seconds(), 0), maxReduction*capacity)
}

// splitCut returns the cut that divides the slots that are left between the first level
// that does not fit and the cheap levels after it, which together need at most spare slots.
// The order of the levels is kept: none gets a larger share than the one before it. It also
// returns the last of these levels.
func (m *Meter) splitCut(first int, left, spare float64) (cut Cut, last int) {
	last = first
	cheapDemand := 0.0
	for l := first + 1; l < NumLevels; l++ {
		demand := m.demand(l)
		if cheapDemand+demand > spare {
			break
		}
		last, cheapDemand = l, cheapDemand+demand
	}
	// Some requests of refused levels still arrive: those that every cut admits, and
	// calls that are attributed to the wrong request.
	for l := last + 1; l < NumLevels; l++ {
		left -= m.arrivingDemand(l)
	}
	share := max(left, 0) / (m.demand(first) + cheapDemand)
	for l := range cut {
		switch {
		case l < first:
			cut[l] = 1
		case l <= last:
			cut[l] = float32(share)
		}
	}
	return cut, last
}
