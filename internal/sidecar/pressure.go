package sidecar

import (
	"hash/fnv"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/pressure"
)

// parentTolerance is how far the deadline of an upstream's call may be from that
// of the request on whose behalf it is made. Both are stated in milliseconds.
const parentTolerance = 3 * time.Millisecond

// running is a request at the local upstream.
type running struct {
	route    string
	level    pressure.Level
	weight   float64
	deadline time.Duration
	made     map[pressure.Target]int // calls that it has made
}

func (n *Node) begin(id uint64, w *work, deadline time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[id] = &running{route: w.Route, level: w.Level, weight: w.Weight, deadline: deadline}
}

// end records the end of a request at the local upstream.
func (n *Node) end(id uint64, w *work, began time.Duration, whole bool) {
	n.mu.Lock()
	if r := n.running[id]; r != nil {
		delete(n.running, id)
		if whole {
			n.view.Served(r.route, r.made)
		}
	}
	if whole {
		n.meter.Worked(w.Level, w.Inner, n.now()-began)
	}
	n.mu.Unlock()
	n.finish(began, whole)
}

// updateCut moves the cut of the local upstream. n.mu is held.
func (n *Node) updateCut(now time.Duration) {
	n.cut = n.meter.Cut(now, float64(n.gate.Limit()))
}

// parent returns the request at the local upstream on whose behalf a call is
// made, or nil. The call carries no name of it, but expires with it. n.mu is
// held.
func (n *Node) parent(deadline time.Duration) *running {
	var best *running
	least := parentTolerance
	for _, r := range n.running {
		if d := (r.deadline - deadline).Abs(); d <= least {
			best, least = r, d
		}
	}
	return best
}

// rank sets the level and weight of the request and reports whether the cut
// admits it. A call of the local upstream has those of its parent and is always
// admitted. n.mu is held.
func (c *call) rank() (pressure.Cut, bool) {
	if !c.inner {
		workspace := mesh.Class(0)
		if c.workspace != nil {
			workspace = c.workspace.Class
		}
		c.level = pressure.LevelOf(workspace, c.route.Class)
		cut := c.n.view.Cut(c.n.now(), c.target())
		c.weight = 1 / cut.Share(c.level)
		return cut, cut.Admits(c.level, drawOf(c.id))
	}
	parent := c.n.parent(c.expires)
	if parent == nil {
		c.n.metrics.orphans.Inc(1)
		c.weight = 1
		return pressure.Open, true
	}
	if parent.made == nil {
		parent.made = map[pressure.Target]int{}
	}
	parent.made[c.target()]++
	c.level, c.weight = parent.level, parent.weight
	return pressure.Open, true
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
