package routing

import (
	"cmp"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Table holds the state and measurements of the upstreams that one node calls. It is not
// safe for concurrent use.
type Table struct {
	cfg         Config
	randomState uint64
	nodes       map[mesh.NodeID]*node
	services    map[mesh.Service]*service
	routes      map[string]*routeStats
}

// service holds the state of one service.
type service struct {
	candidates []*node       // subset of the members, those in the local data centre first
	localCount int           // candidates in the local data centre
	latency    float64       // mean latency of all responses, ns; zero without a sample
	cut        cutLevel      // at cutAt
	cutAt      time.Duration // of the last response that carried a cut
	since      time.Duration // when it first had members; valid if known is set
	known      bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:         cfg.withDefaults(),
		randomState: cfg.Seed,
		nodes:       map[mesh.NodeID]*node{},
		services:    map[mesh.Service]*service{},
		routes:      map[string]*routeStats{},
	}
}

// SetMembers replaces the members of a service. Nodes that stay keep their measurements.
// A node that joins a service that already has members ramps up, unless the service became
// known just now: the nodes of a fleet become known one after the other.
func (t *Table) SetMembers(now time.Duration, name mesh.Service, members []mesh.Member) {
	s := t.service(name)
	if !s.known && len(members) > 0 {
		s.since, s.known = now, true
	}
	rampsUp := len(s.candidates) > 0 && now-s.since >= settleTime
	old := s.candidates
	subset := t.subset(name, members)
	s.candidates = make([]*node, 0, len(subset))
	s.localCount = 0
	for _, m := range subset {
		n := t.node(now, m, rampsUp)
		n.services++
		s.candidates = append(s.candidates, n)
		if !n.remote {
			s.localCount++
		}
	}
	for _, n := range old {
		n.services--
		t.dropIfUnused(n)
	}
}

// service returns the state of a service, which it creates if needed.
func (t *Table) service(name mesh.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{cut: openCutLevel}
		t.services[name] = s
	}
	return s
}

// subset returns the members to use as candidates, at most Config.SubsetSize. It prefers
// members in the local data centre, and among equals those with a higher rendezvous score.
func (t *Table) subset(name mesh.Service, members []mesh.Member) []mesh.Member {
	key := t.cfg.Self.String() + "/" + string(name)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b mesh.Member) int {
		aLocal, bLocal := a.DataCentre == t.cfg.DataCentre, b.DataCentre == t.cfg.DataCentre
		if aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(mesh.RendezvousScore(key, b.Node), mesh.RendezvousScore(key, a.Node)),
			cmp.Compare(a.Node.Host, b.Node.Host),
			cmp.Compare(a.Node.Incarnation, b.Node.Incarnation),
		)
	})
	return ranked[:min(len(ranked), t.cfg.SubsetSize)]
}

// node returns the state of a node, which it creates if needed.
func (t *Table) node(now time.Duration, m mesh.Member, rampsUp bool) *node {
	n := t.nodes[m.Node]
	if n == nil {
		n = &node{joined: now, rampsUp: rampsUp}
		t.nodes[m.Node] = n
	}
	n.member = m
	n.remote = m.DataCentre != t.cfg.DataCentre
	return n
}

// dropIfUnused removes a node that is a candidate of no service and has no attempt in flight.
func (t *Table) dropIfUnused(n *node) {
	if n.services == 0 && n.inFlight == 0 {
		delete(t.nodes, n.member.Node)
	}
}

// Pick chooses the node for one attempt: the better of two random candidates, the first
// of which is in the local data centre if possible. exclude is the node of the previous
// attempt, which is chosen only if there is no other. The reason is NoUpstream if the
// service has no member, and None otherwise.
func (t *Table) Pick(now time.Duration, name mesh.Service, class mesh.Class, exclude mesh.NodeID) (mesh.Member, outcome.Reason) {
	s := t.services[name]
	if s == nil || len(s.candidates) == 0 {
		return mesh.Member{}, outcome.NoUpstream
	}
	typicalLatency := s.latency
	if typicalLatency == 0 {
		typicalLatency = float64(initialLatency)
	}
	first := t.drawCandidate(now, s, max(s.localCount, 1), class, exclude, nil)
	second := t.drawCandidate(now, s, len(s.candidates), class, exclude, first)
	switch {
	case first == nil && second == nil:
		return t.fallback(now, s, exclude).member, outcome.None
	case first == nil:
		return second.member, outcome.None
	case second == nil, first.cost(now, typicalLatency) <= second.cost(now, typicalLatency):
		return first.member, outcome.None
	}
	return second.member, outcome.None
}

// drawCandidate returns the first usable candidate in the order of the list, starting at a
// random one of the first n, or nil if there is none. It never returns exclude or drawn, the
// candidate already drawn for the same attempt. A node that ramps up is accepted with the
// probability of its ramp share; the first draw, for which drawn is nil, also returns it if
// no other candidate is usable.
func (t *Table) drawCandidate(now time.Duration, s *service, n int, class mesh.Class, exclude mesh.NodeID, drawn *node) *node {
	start := t.randomBelow(n)
	var ramping *node
	for i := range s.candidates {
		c := s.candidates[(start+i)%len(s.candidates)]
		if c == drawn || !c.usable(now, class) || c.member.Node == exclude {
			continue
		}
		if share := c.rampShare(now, t.cfg.RampTime); share < 1 && t.randomFraction() >= share {
			ramping = cmp.Or(ramping, c)
			continue
		}
		return c
	}
	if drawn != nil {
		return nil
	}
	return ramping
}

// fallback returns the candidate whose suspension or pause ends first; among equals, the one
// with the fewest attempts in flight. It returns exclude only if there is no other.
func (t *Table) fallback(now time.Duration, s *service, exclude mesh.NodeID) *node {
	var best *node
	for _, c := range s.candidates {
		if c.member.Node == exclude {
			continue
		}
		if best == nil || c.excludedUntil() < best.excludedUntil() || (c.excludedUntil() == best.excludedUntil() && c.inFlight < best.inFlight) {
			best = c
		}
	}
	if best == nil {
		return s.candidates[0]
	}
	return best
}

// nextRandom returns the next number of the SplitMix64 generator.
func (t *Table) nextRandom() uint64 {
	t.randomState += 0x9e3779b97f4a7c15
	x := t.randomState
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// randomBelow returns a random number in [0, n).
func (t *Table) randomBelow(n int) int { return int(t.nextRandom() >> 32 * uint64(n) >> 32) }

// randomFraction returns a random number in [0, 1).
func (t *Table) randomFraction() float64 { return float64(t.nextRandom()>>11) / (1 << 53) }

// RecordSent records that an attempt was sent to a node.
func (t *Table) RecordSent(now time.Duration, id mesh.NodeID) {
	if n := t.nodes[id]; n != nil {
		n.inFlight++
	}
}

// RecordEnd records the end of an attempt for which RecordSent was called.
func (t *Table) RecordEnd(now time.Duration, id mesh.NodeID, sample Sample) {
	n := t.nodes[id]
	if n == nil {
		return
	}
	if sample.Result == Limited {
		// The pauses differ, so that the nodes that were refused do not all return at once.
		sample.Pause = time.Duration((0.5 + t.randomFraction()) * float64(sample.Pause))
	}
	n.addSample(now, sample)
	if sample.Report.UsualLatency > 0 {
		t.recordUsualLatency(n, sample)
	}
	if sample.Result == OK && sample.Route != "" {
		t.recordResponse(n, sample)
	}
	if sample.Result == OK {
		if s := t.services[n.member.Service]; s != nil {
			if s.latency == 0 {
				s.latency = float64(sample.Latency)
			}
			s.latency += latencyGain * (float64(sample.Latency) - s.latency)
		}
	}
	t.dropIfUnused(n)
}
