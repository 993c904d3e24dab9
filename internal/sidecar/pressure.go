package sidecar

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/pressure"
)

const (
	// A line tells of the cut at most so often, and only of a change so large.
	cutLogEvery = time.Second
	cutLogStep  = 0.1
)

// begin records a request that the local upstream works on until expires. n.mu is
// held.
func (n *Node) begin(now time.Duration, id uint64, w *work, expires time.Duration) {
	n.running.Began(now, id, pressure.Request{
		Route: w.Route, Level: w.Level, Weight: w.Weight, Repeat: w.Repeat, Expires: expires,
	})
}

// end records the end of a request at the local upstream.
func (n *Node) end(id uint64, w *work, began time.Duration, whole bool) {
	n.mu.Lock()
	n.running.Ended(n.now(), id)
	if whole {
		n.meter.Worked(w.Level, w.Inner, n.now()-began)
	}
	n.mu.Unlock()
	n.finish(began, whole)
}

// updateCut moves the cut of the local upstream. n.mu is held.
func (n *Node) updateCut(now time.Duration) {
	n.cut = n.meter.Cut(now, float64(n.gate.Limit()), n.gate.Queued())
	if now-n.cutLogged < cutLogEvery || n.cut.Distance(n.lastCut) < cutLogStep {
		return
	}
	n.cutLogged, n.lastCut = now, n.cut
	n.cfg.Log.Write(eventlog.Belief, "cut moved", "cut", n.cut.String(), "cut_from_rank", n.cut.Tightest(), "demand_slots", n.meter.Demand(), "limit", n.gate.Limit(),
		"running", n.gate.Running(), "queued", n.gate.Queued(), "latency_ms", n.gate.Latency().Milliseconds())
}

// rank sets the level and weight of the request, and reports whether the cut
// admits it. A call of the local upstream has those of a request there and is
// always admitted. n.mu is held.
func (c *call) rank() (pressure.Cut, bool) {
	if c.inner {
		c.weight = 1
		now := c.n.now()
		if q := c.n.running.Parent(now, c.target(), c.expires-now, rand.Float64()); q != nil {
			c.level, c.weight, c.ofRepeat = q.Level, q.Weight, q.Repeat
		}
		return pressure.OpenCut, true
	}
	workspace := mesh.Class(0)
	if c.workspace != nil {
		workspace = c.workspace.Class
	}
	c.level = pressure.LevelOf(workspace, c.route.Class)
	cut := c.n.view.Cut(c.n.now(), c.target())
	c.weight = 1 / cut.Share(c.level)
	return cut, cut.Admits(c.level, drawOf(c.id))
}

func (c *call) target() pressure.Target {
	return pressure.Target{Service: c.service, Route: c.route.Name}
}

// drawOf maps a request to a number in [0, 1) that is the same at every node.
func drawOf(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
