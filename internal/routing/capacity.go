package routing

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Where the serving nodes tell how fast their upstreams are, requests are placed in
// proportion to speed and limit: a few candidates are drawn with such probabilities, and the
// one of the lowest cost gets the request. Many entry nodes that choose the best of all
// candidates by the same reports would all choose the same one until the next reports
// arrive; among candidates that are drawn at random, they don't.
//
// The cost of a candidate is the fourth power of the ratio of the expected latency to the
// target, plus a cost of its load, plus the cost of traffic to another data centre. The
// first term is small unless the target is at risk, so it decides for routes with a short
// target while the host is slow or the upstream is full. Otherwise the load decides. With
// the square of the ratio, as in PickForLatency, fast upstreams got 1.2 of their fair share
// in the replay of package capacity.
const (
	drawnPerSide = 2 // candidates drawn in the local data centre, and in the others
	// loadCost is the cost of a full upstream, and remoteWeight the factor of the cost of
	// traffic to another data centre. Another data centre gets a request whose target is not at
	// risk if its upstream is loaded less by about 0.1 of the limit.
	loadCost     = 0.7
	remoteWeight = 4.0
	// indifference is the difference of costs up to which chance decides, so that idle upstreams
	// get their shares, too.
	indifference = 0.01
	// fullLoad is the load from which on requests wait, and maxLoad the highest one that counts.
	fullLoad = 0.95
	maxLoad  = 1.5
	// speedSpread bounds a speed, as a multiple of the mean and its inverse, so that a wrong
	// one neither draws all requests nor none.
	speedSpread = 4.0
	speedGain   = 0.1 // weight of one report in the speed of a node
	usualGain   = 0.1 // weight of one report in the latency of a route
	// The local upstreams may be loaded localExcess more than all candidates before other data
	// centres cost nothing. Loads below idleLoad do not count: there is no demand that would
	// need balance.
	localExcess = 0.03
	idleLoad    = 0.3
	// slownessTTL is the age up to which a report of a slow host has an effect, which falls
	// linearly: such episodes last about 600 ms.
	slownessTTL = 600 * time.Millisecond
	// meanLoadTime is the averaging time of the load by which data centres are compared. The
	// load of one upstream at one moment varies by over 10 %.
	meanLoadTime = time.Second
	maxRate      = 1e7 // requests per second
	// knownShare is the least fraction of the candidates that must tell their capacity.
	knownShare = 0.5
)

// nodeCapacity is what a node tells about the capacity of its upstream.
type nodeCapacity struct {
	rate       float64 // requests per second, from its record; zero: not told
	speed      float64 // relative to the other upstreams, from its reports; zero: not known
	meanLoad   float64 // moving average of the reported load as a fraction of the limit
	meanLoadAt time.Duration
}

// SetRate sets the requests per second that a node says its upstream takes; zero: it does
// not say.
func (t *Table) SetRate(id mesh.NodeID, rate float64) {
	if n := t.nodes[id]; n != nil {
		n.capacity.rate = 0
		if rate > 0 && rate <= maxRate { // also false for NaN
			n.capacity.rate = rate
		}
	}
}

// TellsRate reports whether the node has said how many requests per second its upstream takes.
func (t *Table) TellsRate(id mesh.NodeID) bool {
	n := t.nodes[id]
	return n != nil && n.capacity.rate > 0
}

// addLoad adds a report to the average load.
func (c *nodeCapacity) addLoad(now time.Duration, r Report) {
	gain := 1.0
	if c.meanLoadAt > 0 {
		gain = min(float64(now-c.meanLoadAt)/float64(meanLoadTime), 1)
	}
	c.meanLoad += gain * (float64(r.InFlight+r.Queued)/float64(r.Limit) - c.meanLoad)
	c.meanLoadAt = now
}

// recordUsualLatency updates the speed of a node and the usual latency of a route with a
// report. The latency at a node is taken for that of the route divided by the node's speed,
// so that nodes that get more of the long routes do not count as slow.
func (t *Table) recordUsualLatency(n *node, s Sample) {
	r := t.route(s)
	mean := t.meanSpeed(n.member.Service)
	speed := n.capacity.speed
	if speed == 0 {
		speed = mean
	}
	usual := float64(s.Report.UsualLatency)
	if r.usual == 0 {
		r.usual = usual * speed / mean
	}
	speed += speedGain * (min(max(r.usual/usual, 1/speedSpread), speedSpread) - speed)
	n.capacity.speed = speed
	r.usual += usualGain * (usual*speed/mean - r.usual)
}

// meanSpeed returns the mean speed of the candidates of a service, 1 if none is known.
func (t *Table) meanSpeed(name mesh.Service) float64 {
	sum, known := 0.0, 0
	if s := t.services[name]; s != nil {
		for _, c := range s.candidates {
			if c.capacity.speed > 0 {
				sum += c.capacity.speed
				known++
			}
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
}

// slowness returns the factor by which work is expected to take longer than usual at the
// node because its host is slow at the moment.
func (n *node) slowness(now time.Duration) float64 {
	age := now - n.reportAt
	if n.lastReport.Slowness <= 1 || age >= slownessTTL {
		return 1
	}
	return 1 + (n.lastReport.Slowness-1)*(1-float64(age)/float64(slownessTTL))
}

// load returns the reported load plus the attempts sent since, as a fraction of the limit,
// or the given value if there is no recent report.
func (n *node) load(now time.Duration, unknown float64) float64 {
	if n.lastReport.Limit <= 0 || now-n.reportAt > reportTTL {
		return unknown
	}
	return float64(n.lastReport.InFlight+n.lastReport.Queued+max(n.inFlight-n.inFlightAtReport, 0)) / float64(n.lastReport.Limit)
}

// placement holds what one choice by capacity needs to know of all candidates.
type placement struct {
	meanRate     float64 // of the candidates that tell it
	meanSpeed    float64
	meanLimit    float64
	weights      [2]float64 // of the usable candidates in the local data centre, and in the others
	load         float64    // mean of all candidates
	remoteFactor float64    // share of the cost of other data centres that counts
}

// sideOf returns the index of a candidate's side in placement.weights.
func sideOf(n *node) int {
	if n.remote {
		return 1
	}
	return 0
}

// plan returns the placement for a request; ok is false if too few candidates tell their
// capacity.
func (t *Table) plan(now time.Duration, s *service, r Request) (p placement, ok bool) {
	rates, limits := 0, 0
	for _, c := range s.candidates {
		if c.capacity.rate > 0 {
			rates++
			p.meanRate += c.capacity.rate
		}
		if c.lastReport.Limit > 0 {
			limits++
			p.meanLimit += float64(c.lastReport.Limit)
		}
	}
	if rates == 0 || float64(rates) < knownShare*float64(len(s.candidates)) {
		return p, false
	}
	p.meanRate /= float64(rates)
	p.meanLimit /= float64(max(limits, 1))
	p.meanSpeed = t.meanSpeed(r.Service)
	var loads, loadWeights [2]float64
	for _, c := range s.candidates {
		weight := p.weight(c)
		side := sideOf(c)
		if c.capacity.meanLoadAt > 0 && now-c.reportAt <= reportTTL {
			loads[side] += weight * c.capacity.meanLoad
			loadWeights[side] += weight
		}
		if c.member.Node != r.Exclude && c.usable(now, r.Class) {
			p.weights[side] += weight * c.rampShare(now, t.cfg.RampTime)
		}
	}
	p.remoteFactor = 1
	if all := loadWeights[0] + loadWeights[1]; all > 0 {
		p.load = (loads[0] + loads[1]) / all
	}
	if loadWeights[0] > 0 {
		excess := loads[0]/loadWeights[0]/max(p.load, idleLoad) - 1
		p.remoteFactor = 1 - min(max(excess/localExcess, 0), 1)
	}
	return p, true
}

// speed returns the speed of a candidate relative to the mean, within its bounds.
func (p *placement) speed(n *node) float64 {
	speed := 1.0
	switch {
	case n.capacity.speed > 0:
		speed = n.capacity.speed / p.meanSpeed
	case n.capacity.rate > 0:
		speed = n.capacity.rate / p.meanRate
	}
	return min(max(speed, 1/speedSpread), speedSpread)
}

// weight returns the weight of a candidate: its speed and its limit, relative to the mean.
func (p *placement) weight(n *node) float64 {
	weight := p.speed(n)
	if n.lastReport.Limit > 0 {
		weight *= float64(n.lastReport.Limit) / p.meanLimit
	}
	return weight
}

// pickByCapacity chooses the node for a request in proportion to the capacities that the
// nodes tell. It returns nil if no candidate is usable.
func (t *Table) pickByCapacity(now time.Duration, s *service, r Request, p *placement) *node {
	latencyRatio, addedCost := t.routeEstimate(r)
	var best choice
	for side, total := range p.weights {
		for range drawnPerSide {
			c := t.drawByWeight(now, s, r, p, side, total)
			if c == nil {
				break
			}
			load := min(c.load(now, p.load), maxLoad)
			ratio := latencyRatio / p.speed(c) * c.slowness(now) * (1 + c.decayedPenalty(now)) * (1 + loadSlope*max(load-fullLoad, 0))
			cost := ratio*ratio*ratio*ratio + loadCost*load*load + indifference*t.randomFraction()
			if c.remote {
				cost += remoteWeight * addedCost * p.remoteFactor
			}
			best.improve(c, cost)
		}
	}
	return best.node
}

// drawByWeight draws a usable candidate of one side.
func (t *Table) drawByWeight(now time.Duration, s *service, r Request, p *placement, side int, total float64) *node {
	x := t.randomFraction() * total
	var last *node
	for _, c := range s.candidates {
		if sideOf(c) != side || c.member.Node == r.Exclude || !c.usable(now, r.Class) {
			continue
		}
		last = c
		if x -= p.weight(c) * c.rampShare(now, t.cfg.RampTime); x < 0 {
			break
		}
	}
	return last
}
