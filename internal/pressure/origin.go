package pressure

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// dividedUtilization and dividedNormalQueue replace targetUtilization and normalQueue while
	// the share of a level is divided. Requests of the origins that are admitted ahead then wait
	// instead of coming again elsewhere, which had overstated the demand. With 0.97 and 0.3, the
	// queue of the replayed load grew to three calls for each slot in a burst.
	dividedUtilization = 0.92
	dividedNormalQueue = 0.1
	// maxOrigins limits the origins that a meter tracks, and with them its memory: about
	// 1 KB for each. All others get the cut of their level.
	maxOrigins = 64
	// minOriginRate is the number of requests per second, without any cut, from which an
	// origin gets a share of its own. With fewer, its cost is not known well.
	minOriginRate = 1.0
	// forgetOriginRate is the rate below which an origin is no longer tracked. It is reached
	// after a few seconds without requests.
	forgetOriginRate = 0.01
	// costExponent is the power of the cost by which the shares of two origins of a level
	// differ. An origin that costs twice as much gets a quarter of the share, within the
	// floor. The shares are continuous in the costs, so that two origins of about the same
	// cost do not take turns when their estimates cross.
	costExponent = 2.0
	// originFloor is the fraction of the share of its level that each origin gets at least.
	originFloor = 0.6
	// minOriginShare is the share below which no origin falls for the sake of others. Every
	// kind of request must be served at least a quarter as often as all requests; the rest
	// covers requests that fail after their admission. Where the share of the level is not much
	// higher or is lower, an origin loses at most the fraction 1-lowShareFloor of it.
	minOriginShare = 0.3
	lowShareFloor  = 0.85
	// minCost and maxCost bound a cost, in seconds of a slot, and MinFanout and MaxFanout the
	// calls for each entry request that a node accepts from another one.
	minCost   = 1e-4
	maxCost   = 60.0
	MinFanout = 0.01
	MaxFanout = 256.0
	// solveSteps is the number of bisections that determine the shares of a level, with an
	// error far below the resolution of Cut.Encode.
	solveSteps = 30
	// loggedOrigins limits the origins in Meter.OriginSummary.
	loggedOrigins = 8
)

// ClampFanout returns the number of calls for each entry request within its bounds, and 1
// for a value that is not a positive number.
func ClampFanout(f float64) float64 {
	if !(f > 0) {
		return 1
	}
	return min(max(f, MinFanout), MaxFanout)
}

// ClampCost returns a cost within its bounds, and zero for a value that is not a positive
// number.
func ClampCost(seconds float64) float64 {
	if !(seconds > 0) {
		return 0
	}
	return min(max(seconds, minCost), maxCost)
}

// originStats holds the statistics of the requests of one origin: those that entered the
// mesh by one route, and the calls that were made for them.
type originStats struct {
	flows   [NumLevels]flow // without latency
	latency float64         // mean seconds at the upstream; zero: no request yet
	fanout  float64         // mean number of calls for each entry request
}

// rate returns the requests per second of all levels without a cut.
func (o *originStats) rate() float64 {
	sum := 0.0
	for l := range o.flows {
		sum += o.flows[l].weightedRate
	}
	return sum
}

// division divides the share of one level among the origins of its requests.
type division struct {
	first    int                // the level
	last     int                // of the cheap levels after it that have demand, or first
	cut      Cut                // for the levels other than first
	shares   map[string]float64 // at level first, by origin
	minShare float64
	light    map[string]bool // origins of level first that are admitted ahead of others and need little
}

// RecordOrigin counts a request for the upstream by its origin. fanout is the number of such
// requests for each entry request. Requests of unknown origin are not counted.
func (m *Meter) RecordOrigin(now time.Duration, level Level, origin string, fanout, weight float64) {
	if origin == "" {
		return
	}
	m.advance(now)
	o := m.origins[origin]
	if o == nil {
		if len(m.origins) >= maxOrigins {
			m.originMissed = true
			return
		}
		fanout = ClampFanout(fanout)
		o = &originStats{fanout: fanout}
		if m.origins == nil {
			m.origins = map[string]*originStats{}
		}
		m.origins[origin] = o
	}
	o.fanout += latencyGain * (ClampFanout(fanout) - o.fanout)
	f := &o.flows[min(level, NumLevels-1)]
	f.weightedArrivals += min(max(weight, 1), maxWeight)
	f.requests++
}

// RecordOriginLatency records how long the upstream worked on a request of the origin.
func (m *Meter) RecordOriginLatency(origin string, latency time.Duration) {
	if o := m.origins[origin]; o != nil {
		if o.latency == 0 {
			o.latency = latency.Seconds()
		}
		o.latency += latencyGain * (latency.Seconds() - o.latency)
	}
}

// endOriginIntervals closes an interval of all origins and forgets those without requests.
// If there were requests of more origins than are tracked, the one with the least demand is
// forgotten, so that origins with much demand are tracked in the end.
func (m *Meter) endOriginIntervals() {
	least, leastDemand := "", math.Inf(1)
	for name, o := range m.origins {
		for l := range o.flows {
			o.flows[l].endInterval()
		}
		rate := o.rate()
		if rate < forgetOriginRate {
			delete(m.origins, name)
			continue
		}
		if demand := rate * o.latency; demand < leastDemand {
			least, leastDemand = name, demand
		}
	}
	if m.originMissed && len(m.origins) >= maxOrigins {
		delete(m.origins, least)
	}
	m.originMissed = false
}

// Cost returns the seconds of a slot that one entry request of the origin takes here with
// all its calls, or zero if the origin is not tracked.
func (m *Meter) Cost(origin string) float64 {
	o := m.origins[origin]
	if o == nil {
		return 0
	}
	return max(ClampCost(m.originLatency(o)*o.fanout), minCost)
}

func (m *Meter) originLatency(o *originStats) float64 {
	if o.latency == 0 {
		return m.meanLatency
	}
	return o.latency
}

// originDemand is the demand of one origin at one level.
type originDemand struct {
	name   string
	demand float64 // slots, without a cut
	cost   float64
}

// divide divides the share that the cut gives level first among the origins of the level, so
// that those with a low cost are admitted ahead of others. The slots in use stay the same. The
// cheap levels up to last get no larger share than any origin of level first. divide returns
// nil if the level does not have at least two origins.
func (m *Meter) divide(cut Cut, first, last int) *division {
	share := float64(cut[first])
	origins, sum := m.originDemands(first)
	if len(origins) < 2 || share <= 0 || share >= 1 {
		return nil
	}
	scale := 1.0 // the demand by origin is averaged in another way than that by level
	if demand := m.demand(first); sum > demand {
		scale = demand / sum
	}
	cheap := 0.0
	for l := first + 1; l <= last; l++ {
		cheap += m.demand(l)
	}
	floor := min(lowShareFloor*share, max(originFloor*share, minOriginShare))
	shareAt := func(o originDemand, price float64) float64 {
		return min(max(price*math.Pow(o.cost, -costExponent), floor), 1)
	}
	used := func(price float64) float64 {
		slots, least := 0.0, 1.0
		for _, o := range origins {
			s := shareAt(o, price)
			slots, least = slots+s*o.demand*scale, min(least, s)
		}
		return slots + least*cheap
	}
	available := share * (sum*scale + cheap)
	lowest := math.Log(floor) + costExponent*math.Log(minCost)
	highest := costExponent * math.Log(maxCost)
	for range solveSteps {
		if middle := (lowest + highest) / 2; used(math.Exp(middle)) > available {
			highest = middle
		} else {
			lowest = middle
		}
	}
	d := &division{first: first, last: first, cut: cut, shares: map[string]float64{}, minShare: 1, light: map[string]bool{}}
	for _, o := range origins {
		s := shareAt(o, math.Exp(lowest))
		d.shares[o.name] = s
		d.light[o.name] = s > share && o.demand <= cheapShare*sum
		d.minShare = min(d.minShare, s)
	}
	for l := first + 1; l <= last; l++ {
		d.cut[l] = min(d.cut[l], float32(d.minShare))
		if m.demand(l) > 0 {
			d.last = l
		}
		others, _ := m.originDemands(l)
		for _, o := range others {
			if _, ok := d.shares[o.name]; !ok {
				d.shares[o.name] = share
			}
		}
	}
	return d
}

// originDemands returns the demand of the origins of a level that have a share of their own,
// in the order of their names, and its sum.
func (m *Meter) originDemands(level int) (origins []originDemand, sum float64) {
	for name, o := range m.origins {
		if rate := o.flows[level].weightedRate; rate >= minOriginRate {
			d := originDemand{name: name, demand: rate * m.originLatency(o), cost: m.Cost(name)}
			origins = append(origins, d)
		}
	}
	slices.SortFunc(origins, func(a, b originDemand) int { return cmp.Compare(a.name, b.name) })
	for _, o := range origins {
		sum += o.demand
	}
	return origins, sum
}

// OriginCut returns the cut for the requests of an origin after the last call of Cut, at the
// given service, which is that of the upstream. It is false if they get the same cut as all
// requests.
func (m *Meter) OriginCut(service mesh.Service, origin string) (OriginCut, bool) {
	if m.division == nil {
		return OriginCut{}, false
	}
	share, ok := m.division.shares[origin]
	if !ok {
		return OriginCut{}, false
	}
	c := OriginCut{Cut: m.division.cut, Service: service, Cost: m.Cost(origin), First: Level(m.division.first), Last: Level(m.division.last)}
	c.Cut[m.division.first] = float32(share)
	return c, true
}

// QueuesAsNested reports whether a request that is not nested is to wait among the nested calls
// of its level. If its origin is admitted ahead of others, it would otherwise wait behind the calls
// of all others, and as long as there are such calls, no such request would start. Its origin
// must need little, so that these calls, for which work has been done already, hardly wait longer.
func (m *Meter) QueuesAsNested(origin string, level Level) bool {
	return m.division != nil && int(level) == m.division.first && m.division.light[origin]
}

// Origins returns the number of origins that have a share of their own, and the least share.
func (m *Meter) Origins() (count int, least float64) {
	if m.division == nil {
		return 0, 1
	}
	return len(m.division.shares), m.division.minShare
}

// OriginSummary lists the origins that have a share of their own, the most expensive first:
// name, share, and cost in seconds of a slot.
func (m *Meter) OriginSummary() string {
	if m.division == nil {
		return ""
	}
	names := make([]string, 0, len(m.division.shares))
	for name := range m.division.shares {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.Cost(b), m.Cost(a)), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), loggedOrigins)] {
		parts = append(parts, fmt.Sprintf("%s:%.2f@%.3f", name, m.division.shares[name], m.Cost(name)))
	}
	return strings.Join(parts, " ")
}
