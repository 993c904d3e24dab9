package routing

import (
	"cmp"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// All responses within the target latency of their route have the same value, and traffic
// between data centres has a cost. A request is therefore sent to the local data centre
// while its expected latency there is well below the target, and to the fastest upstream
// anywhere as the expected latency approaches the target. The cost of a node is the square
// of the ratio of the expected latency to the target, plus the cost of traffic to another
// data centre.
const (
	remoteCost          = 0.03  // added for a node in another data centre
	remoteCostPerKB     = 0.004 // added to remoteCost for each kilobyte of request and response
	relativeLatencyGain = 0.05  // weight of one response in node.relativeLatency
	routeGain           = 0.02  // weight of one response in routeStats
	// loadThreshold is the load, as a fraction of the limit, above which the latency
	// grows. loadSlope is the increase of the latency factor per unit of load above it.
	loadThreshold = 0.7
	loadSlope     = 4.0
	maxLoadFactor = 8.0
	// rampPenalty is the penalty of the best node from which a node that ramps up gets the
	// request instead. It is that of one refusal in the last second.
	rampPenalty   = 0.5
	costSpread    = 0.15 // largest random increase of a cost, as a fraction of it, so that entry nodes choose different nodes
	defaultTarget = time.Second
	kilobyte      = 1024.0 // bytes
)

// Request describes the request for which a node is chosen.
type Request struct {
	Service       mesh.Service
	Route         string
	TargetLatency time.Duration // of the route; zero: defaultTarget
	Class         mesh.Class    // a critical request is sent to a node that has not responded since its suspension only if there is no other
	Exclude       mesh.NodeID   // node of the previous attempt
}

// routeStats holds the measurements of the requests of one route on all nodes.
type routeStats struct {
	latency   float64 // mean of responses, ns
	kilobytes float64 // mean size of request and response together
	usual     float64 // latency at an upstream of speed 1 whose host is not slow, ns; zero: not known
}

// PickForLatency chooses the node for one attempt by the target latency of its route. The
// excluded node is chosen only if there is no other. The reason is NoUpstream if the
// service has no member, and None otherwise.
func (t *Table) PickForLatency(now time.Duration, r Request) (mesh.Member, outcome.Reason) {
	s := t.services[r.Service]
	if s == nil || len(s.candidates) == 0 {
		return mesh.Member{}, outcome.NoUpstream
	}
	if p, ok := t.plan(now, s, r); ok {
		if n := t.pickByCapacity(now, s, r, &p); n != nil {
			return n.member, outcome.None
		}
		return t.fallback(now, s, r.Exclude).member, outcome.None
	}
	latencyRatio, addedCost := t.routeEstimate(r)
	var best, bestRamping choice
	for _, c := range s.candidates {
		if c.member.Node == r.Exclude || !c.usable(now, r.Class) {
			continue
		}
		expectedRatio := latencyRatio * c.latencyFactor(now)
		cost := expectedRatio * expectedRatio
		if c.remote {
			cost += addedCost
		}
		cost *= 1 + costSpread*t.randomFraction()
		if share := c.rampShare(now, t.cfg.RampTime); share < 1 && t.randomFraction() >= share {
			bestRamping.improve(c, cost)
		} else {
			best.improve(c, cost)
		}
	}
	if best.node == nil || bestRamping.node != nil && best.node.decayedPenalty(now) >= rampPenalty && bestRamping.cost < best.cost {
		// Nodes that ramp up get more than their share rather than a request that would
		// probably be refused elsewhere.
		best = cmp.Or(bestRamping, best)
	}
	if best.node == nil {
		best.node = t.fallback(now, s, r.Exclude)
	}
	return best.node.member, outcome.None
}

// choice is the node of the lowest cost so far; its node is nil if there is none.
type choice struct {
	node *node
	cost float64
}

func (b *choice) improve(n *node, cost float64) {
	if b.node == nil || cost < b.cost {
		b.node, b.cost = n, cost
	}
}

// routeEstimate returns the mean latency of a request of the route, as a fraction of its
// target latency, and the cost that is added for a node in another data centre.
func (t *Table) routeEstimate(r Request) (latencyRatio, addedCost float64) {
	target := r.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	latency, kilobytes := float64(initialLatency), 0.0
	if stats := t.routes[r.Route]; stats != nil {
		latency, kilobytes = stats.latency, stats.kilobytes
	}
	return latency / float64(target), remoteCost + remoteCostPerKB*kilobytes
}

// latencyFactor returns the expected latency of the node's next response, relative to the
// mean of the route.
func (n *node) latencyFactor(now time.Duration) float64 {
	relative := n.relativeLatency
	if relative == 0 {
		relative = 1
	}
	return relative * (1 + n.decayedPenalty(now)) * n.loadFactor(now)
}

// loadFactor returns the factor by which the node's load increases the latency. The load
// is the reported one plus the attempts sent since the report.
func (n *node) loadFactor(now time.Duration) float64 {
	if n.lastReport.Limit <= 0 || now-n.reportAt > reportTTL {
		return 1
	}
	load := float64(n.lastReport.InFlight+n.lastReport.Queued+max(n.inFlight-n.inFlightAtReport, 0)) / float64(n.lastReport.Limit)
	return min(1+loadSlope*max(load-loadThreshold, 0), maxLoadFactor)
}

// recordResponse updates the measurements of the route and the relative latency of the
// node with a response.
func (t *Table) recordResponse(n *node, s Sample) {
	r := t.route(s)
	if n.relativeLatency == 0 {
		n.relativeLatency = 1
	}
	n.relativeLatency += relativeLatencyGain * (float64(s.Latency)/max(r.latency, 1) - n.relativeLatency)
	r.latency += routeGain * (float64(s.Latency) - r.latency)
	r.kilobytes += routeGain * (float64(s.Bytes)/kilobyte - r.kilobytes)
}

// route returns the measurements of the sample's route, which it creates if needed.
func (t *Table) route(s Sample) *routeStats {
	r := t.routes[s.Route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &routeStats{latency: float64(s.Latency), kilobytes: float64(s.Bytes) / kilobyte}
		t.routes[s.Route] = r
	}
	return r
}

const maxRoutes = 8192 // limit of the tracked routes; Table.route clears a full Table.routes for a new one
