package sidecar

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/slots"
)

const (
	// cutLogInterval is the least time between log lines about the cut, and cutLogStep
	// the least change of a share that is logged.
	cutLogInterval = time.Second
	cutLogStep     = 0.1
)

// recordStart records that a request is sent to the local upstream. expires is the time
// at which the upstream stops working on it. n.mu must be held.
func (n *Node) recordStart(now time.Duration, id uint64, req *servedRequest, expires time.Duration) {
	n.inFlight.RequestStarted(now, id, pressure.Request{
		Route: req.Route, Level: req.Level, Weight: req.Weight, Retry: req.Retry, Expires: expires,
	})
}

// recordEnd records the end of a request at the local upstream and releases its slot.
// complete reports whether the whole response was relayed; only then is the latency
// recorded.
func (n *Node) recordEnd(id uint64, req *servedRequest, began time.Duration, complete bool) {
	n.mu.Lock()
	n.inFlight.RequestEnded(n.now(), id)
	if complete {
		n.meter.RecordLatency(req.Level, req.Nested, n.now()-began)
	}
	n.mu.Unlock()
	n.releaseSlot(began, complete)
}

// updateCut recalculates the overload cut of the local upstream and logs large
// changes. n.mu must be held.
func (n *Node) updateCut(now time.Duration) {
	// What a named limit holds back runs at other upstreams of the service, if it spills.
	capacity, queued := n.gate.Capacity(), n.gate.Queued()
	if n.gate.Spills() {
		capacity = float64(n.gate.Limit())
	}
	if n.gate.RateLimit() == 0 {
		capacity *= n.learner.DipFactor(now, slots.UsableShare)
	}
	n.cut = n.meter.Cut(now, capacity, queued)
	if now-n.cutLoggedAt < cutLogInterval || n.cut.Distance(n.loggedCut) < cutLogStep {
		return
	}
	n.cutLoggedAt, n.loggedCut = now, n.cut
	n.cfg.Log.Write(eventlog.Observation, "cut moved", "cut", n.cut.String(), "cut_from_rank", n.cut.FirstRestricted(), "demand_slots", n.meter.Demand(), "limit", n.gate.Limit(),
		"running", n.gate.Running(), "queued", n.gate.Queued(), "latency_ms", n.gate.Latency().Milliseconds())
}

// assignLevel sets the level and weight of the request and reports whether the cut
// admits it. A call made by the local upstream inherits both from the running request
// that most likely made it, and is always admitted. If the expiry times do not identify
// that request, it is drawn at random. n.mu must be held.
func (c *call) assignLevel() (pressure.Cut, bool) {
	if c.nested {
		c.weight = 1
		now := c.node.now()
		if parent := c.node.inFlight.Parent(now, c.cutTarget(), c.expires-now, rand.Float64()); parent != nil {
			c.level, c.weight, c.parentIsRetry = parent.Level, parent.Weight, parent.Retry
		}
		return pressure.OpenCut, true
	}
	workspaceClass := mesh.Class(0) // ClassCritical: without a workspace, only the class of the route counts
	if c.workspace != nil {
		workspaceClass = c.workspace.Class
	}
	c.level = pressure.LevelOf(workspaceClass, c.route.Class)
	cut := c.node.cuts.Cut(c.node.now(), c.cutTarget())
	c.weight = 1 / cut.Share(c.level)
	return cut, cut.Admits(c.level, hashFraction(c.id))
}

// cutTarget returns the service and route to which the cut of the request applies.
func (c *call) cutTarget() pressure.Target {
	return pressure.Target{Service: c.service, Route: c.route.Name}
}

// hashFraction maps a request ID to a number in [0, 1) that is the same at every node.
func hashFraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	x := h.Sum64()             // mixed below as in the first half of MurmurHash3's fmix64
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
