package sidecar

import (
	"hash/fnv"
	"math"
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
		Origin: req.Origin, Fanout: req.Fanout,
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
		n.meter.RecordOriginLatency(req.Origin, n.now()-began)
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
	_, originShare := n.meter.Origins()
	moved := max(n.cut.Distance(n.loggedCut), math.Abs(originShare-n.origins.loggedShare))
	if now-n.cutLoggedAt < cutLogInterval || moved < cutLogStep {
		return
	}
	n.cutLoggedAt, n.loggedCut, n.origins.loggedShare = now, n.cut, originShare
	fields := []any{"cut", n.cut.String(), "cut_from_rank", n.cut.FirstRestricted(), "demand_slots", n.meter.Demand(), "limit", n.gate.Limit(),
		"running", n.gate.Running(), "queued", n.gate.Queued(), "latency_ms", n.gate.Latency().Milliseconds()}
	if origins := n.meter.OriginSummary(); origins != "" {
		fields = append(fields, "origins", origins)
	}
	n.cfg.Log.Write(eventlog.Observation, "cut moved", fields...)
}

// assignLevel sets the level and weight of the request and reports whether the cut
// admits it. A call made by the local upstream inherits both from the running request
// that most likely made it, and is always admitted. If the expiry times do not identify
// that request, it is drawn at random. n.mu must be held.
func (c *call) assignLevel() (pressure.OriginCut, bool) {
	if c.nested {
		c.weight = 1
		now := c.node.now()
		if parent := c.node.inFlight.Parent(now, c.cutTarget(), c.expires-now, rand.Float64()); parent != nil {
			c.level, c.weight, c.parentIsRetry = parent.Level, parent.Weight, parent.Retry
			c.origin, c.fanout = parent.Origin, c.node.callGraph.CallFanout(parent, c.cutTarget())
		}
		return pressure.OriginCut{Cut: pressure.OpenCut}, true
	}
	workspaceClass := mesh.Class(0) // ClassCritical: without a workspace, only the class of the route counts
	if c.workspace != nil {
		workspaceClass = c.workspace.Class
	}
	c.level = pressure.LevelOf(workspaceClass, c.route.Class)
	c.origin, c.fanout = c.route.Name, 1
	now := c.node.now()
	cut := c.node.cuts.OriginCut(now, c.cutTarget(), c.origin)
	c.share = cut.Cut.Share(c.level)
	c.weight = 1 / c.share
	if !cut.Divided(c.level) {
		return cut, cut.Cut.Admits(c.level, hashFraction(c.id))
	}
	c.byOrigin = true
	if cut.Service == c.service {
		c.longestWait = cut.LongestWait(c.route.TargetLatency)
	}
	if c.workspace != nil {
		c.weight = 1 / c.node.origins.fair.Share(now, c.cutTarget(), c.level, c.share, c.workspace.Name, c.workspace.RatePerSecond)
	}
	return cut, c.node.origins.returns.Admits(now, c.returnAttempt(now, ""))
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
