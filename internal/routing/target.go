package routing

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// An answer that comes within the target of its route is worth the same however
// early it is, and traffic between data centres has a price. So a request goes to
// the own data centre for as long as it is expected to be well within its target
// there, and to the fastest upstream anywhere as the target comes close. The
// cost of a node is the square of the expected part of the target that an answer
// takes, plus the price of the distance.
const (
	remotePrice      = 0.03  // of leaving the data centre
	remotePricePerKB = 0.004 // of each kilobyte of request and answer
	speedGain        = 0.05
	routeGain        = 0.02
	// busyFrom is the load from which an answer takes longer, and busySlope by how
	// much for each further part of the limit.
	busyFrom      = 0.7
	busySlope     = 4.0
	maxBusy       = 8.0
	costSpread    = 0.15 // random part of a cost, so that entries do not all choose the same node
	defaultTarget = time.Second
	kilobyte      = 1024.0
)

// Request is what the choice of a node depends on.
type Request struct {
	Service mesh.Service
	Route   string
	Target  time.Duration // latency within which the answer has its full value; zero: not stated
	Class   mesh.Class    // a critical request does not try a node that was suspended
	Exclude mesh.NodeID   // node of the previous attempt
}

// route is what is known of the requests of one route, wherever they run.
type route struct {
	latency   float64 // mean of answers, ns
	kilobytes float64 // mean of request and answer together
}

// PickForTarget chooses the node for one attempt by the target of its route. The
// excluded node is chosen only if there is no other.
func (t *Table) PickForTarget(now time.Duration, r Request) (mesh.Member, outcome.Reason) {
	s := t.services[r.Service]
	if s == nil || len(s.candidates) == 0 {
		return mesh.Member{}, outcome.NoUpstream
	}
	typical, away := t.expectation(r)
	var best *node
	least := 0.0
	for _, c := range s.candidates {
		if c.member.Node == r.Exclude || !c.usable(now, r.Class) {
			continue
		}
		if share := c.rampShare(now, t.cfg.Ramp); share < 1 && t.fraction() >= share && best != nil {
			continue
		}
		part := typical * c.slowness(now)
		cost := part * part
		if c.remote {
			cost += away
		}
		cost *= 1 + costSpread*t.fraction()
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	if best == nil {
		best = t.lastResort(now, s, r.Exclude)
	}
	return best.member, outcome.None
}

// expectation returns the part of its target that a request of the route takes
// on average, and its price of another data centre.
func (t *Table) expectation(r Request) (typical, away float64) {
	target := r.Target
	if target <= 0 {
		target = defaultTarget
	}
	latency, kilobytes := float64(initialLatency), 0.0
	if known := t.routes[r.Route]; known != nil {
		latency, kilobytes = known.latency, known.kilobytes
	}
	return latency / float64(target), remotePrice + remotePricePerKB*kilobytes
}

// slowness is how much longer than usual an answer of the node is expected to
// take.
func (n *node) slowness(now time.Duration) float64 {
	speed := n.speed
	if speed == 0 {
		speed = 1
	}
	return speed * (1 + n.decayed(now)) * n.busy(now)
}

// busy is the factor of the node's load: as it was reported, and what was sent
// since.
func (n *node) busy(now time.Duration) float64 {
	if n.last.Limit <= 0 || now-n.reportAt > reportLife {
		return 1
	}
	load := float64(n.last.InFlight+n.last.Queued+max(n.sent-n.sentAt, 0)) / float64(n.last.Limit)
	return min(1+busySlope*max(load-busyFrom, 0), maxBusy)
}

// learn takes an answer into what is known of the route and of the node's speed.
func (t *Table) learn(n *node, s Sample) {
	r := t.routes[s.Route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &route{latency: float64(s.Latency), kilobytes: float64(s.Bytes) / kilobyte}
		t.routes[s.Route] = r
	}
	if n.speed == 0 {
		n.speed = 1
	}
	n.speed += speedGain * (float64(s.Latency)/max(r.latency, 1) - n.speed)
	r.latency += routeGain * (float64(s.Latency) - r.latency)
	r.kilobytes += routeGain * (float64(s.Bytes)/kilobyte - r.kilobytes)
}

const maxRoutes = 8192 // routes that are remembered
