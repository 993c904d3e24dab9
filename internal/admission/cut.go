package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	cutWindow      = 20 * time.Millisecond
	cutTightenOver = 0.15                  // refused part of the queue's arrivals from which the cut tightens
	cutLoosenUnder = 0.04                  // refused part of the least refused workspace up to which it loosens
	cutAim         = 0.08                  // refused part that a tightened cut leaves, so that slots never idle
	cutCalm        = 4                     // windows without pressure before the cut loosens
	cutStep        = mesh.CutScale / 64    // least step that opens the cut
	cutIdleStep    = mesh.CutScale / 16    // first step while slots are free
	cutMaxDoubling = 5                     // doublings of the loosening step
	cutNegligible  = 0.1                   // arrivals below which a workspace's counts are dropped
	cutSlack       = 0.8                   // arrivals per call that runs below which the cut is too tight
	cutMaxStep     = 0.5                   // smallest factor by which one step tightens the share
	cutSettle      = 60 * time.Millisecond // until calls arrive under a changed cut
	cutMemory      = 0.95                  // weight of the past in the counts
	cutMinArrivals = 8                     // arrivals from which a workspace's counts have a say
)

// counts are decayed sums of one workspace's queue arrivals and refusals in one
// class.
type counts struct{ arrived, refused float32 }

// cutState derives the published cut from what the queue has to refuse.
type cutState struct {
	cut       mesh.Cut
	at        time.Duration
	calm      int           // windows without pressure
	idle      bool          // slots were free during the whole window
	idleRun   int           // windows in a row with free slots
	arrived   int           // calls that arrived in the window
	ran       int           // calls that ran in the window
	counted   []int32       // workspaces with counts
	countFrom time.Duration // calls that arrived before came under another cut
}

// updateCut ends a window. The dead band between cutLoosenUnder and
// cutTightenOver is the hysteresis.
func (c *Controller) updateCut(now time.Duration) {
	s := &c.cut
	if now-s.at < cutWindow {
		return
	}
	s.at = now
	// Fewer arrivals than calls that run drain the queue: slots will be free.
	s.idle = s.idle || float64(s.arrived) < cutSlack*float64(s.ran)
	s.arrived, s.ran = 0, 0
	if s.idle {
		s.idleRun++
		c.forgetCounts()
	} else {
		s.idleRun = 0
	}
	class, refused := c.pressure()
	switch {
	case now < s.countFrom && !s.idle:
	case refused > cutTightenOver && class <= s.cut.Class:
		s.calm = 0
		c.tighten(class, refused)
		c.forgetCounts()
		s.countFrom = now + cutSettle
	case refused > cutLoosenUnder:
		s.calm = 0
	default:
		s.calm++
		if s.idle || s.calm >= cutCalm {
			c.loosen()
		}
	}
	s.idle = true
}

// pressure returns the most important class of which the queue refuses a
// relevant part, and that part.
//
// The part is that of the least refused workspace: a cut refuses the same share
// of every workspace, so it may only refuse what even the workspace with the
// smallest demand for its share cannot get. The queue refuses the rest by fair
// share.
func (c *Controller) pressure() (mesh.Class, float64) {
	var least [mesh.NumClasses]float64
	var some [mesh.NumClasses]bool
	for class := range least {
		least[class] = 1
	}
	kept := c.cut.counted[:0]
	for _, i := range c.cut.counted {
		f := &c.queue.flows[i]
		f.counted = false
		for class := range f.counts {
			n := &f.counts[class]
			if n.arrived >= cutMinArrivals {
				some[class] = true
				least[class] = min(least[class], float64(n.refused/n.arrived))
			}
			n.arrived *= cutMemory
			n.refused *= cutMemory
			f.counted = f.counted || n.arrived >= cutNegligible
		}
		if f.counted {
			kept = append(kept, i)
		} else {
			f.counts = [mesh.NumClasses]counts{}
		}
	}
	c.cut.counted = kept
	for class := range least {
		if some[class] && least[class] > cutLoosenUnder {
			return mesh.Class(class), least[class]
		}
	}
	return 0, 0
}

// forgetCounts drops what was counted under another cut.
func (c *Controller) forgetCounts() {
	for _, i := range c.cut.counted {
		f := &c.queue.flows[i]
		f.counted = false
		f.counts = [mesh.NumClasses]counts{}
	}
	c.cut.counted = c.cut.counted[:0]
}

// countArrival and countRefusal count a call that arrived at the given time.
func (c *Controller) countArrival(at time.Duration, flow int32, class mesh.Class) {
	if at < c.cut.countFrom {
		return
	}
	f := &c.queue.flows[flow]
	f.counts[class].arrived++
	if !f.counted {
		f.counted = true
		c.cut.counted = append(c.cut.counted, flow)
	}
}

func (c *Controller) countRefusal(at time.Duration, flow int32, class mesh.Class) {
	if at >= c.cut.countFrom {
		c.queue.flows[flow].counts[class].refused++
	}
}

func (c *Controller) tighten(class mesh.Class, refused float64) {
	cut := &c.cut.cut
	if class < cut.Class {
		*cut = mesh.Cut{Class: class, Share: mesh.CutScale}
	}
	share := float64(cut.Share) * max(1-refused+cutAim, cutMaxStep)
	cut.Share = uint16(min(max(share, 1), mesh.CutScale))
}

// loosen opens the cut step by step, in doubling steps while slots stay free. A
// step may go on into the next class.
func (c *Controller) loosen() {
	s := &c.cut
	share := int(s.cut.Share)
	step := share/16 + cutStep
	if s.idle {
		step = cutIdleStep << min(s.idleRun, cutMaxDoubling)
	}
	level := int(s.cut.Class)*mesh.CutScale + share + step
	if level > mesh.NumClasses*mesh.CutScale {
		s.cut = mesh.OpenCut
		return
	}
	class := (level - 1) / mesh.CutScale
	s.cut = mesh.Cut{Class: mesh.Class(class), Share: uint16(level - class*mesh.CutScale)}
}
