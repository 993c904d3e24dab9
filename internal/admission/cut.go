package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	cutWindow            = 20 * time.Millisecond // interval between adjustments of the cut
	cutTightenAbove      = 0.15                  // fraction of arrivals refused by the queue above which the cut tightens
	cutLoosenBelow       = 0.04                  // refused fraction of the least refused workspace up to which the cut loosens
	cutResidual          = 0.08                  // refused fraction that a tightened cut leaves to the queue, so that slots do not idle
	cutLowRefusalWindows = 4                     // windows with few refusals before the cut loosens
	cutStep              = mesh.CutScale / 64    // smallest step that loosens the cut
	cutFreeSlotStep      = mesh.CutScale / 16    // base step while slots are free, before doubling
	cutMaxDoublings      = 5                     // maximum number of doublings of cutFreeSlotStep
	cutMinCount          = 0.1                   // decayed arrivals below which a workspace's counts are dropped
	cutMinArrivalRatio   = 0.8                   // arrivals per started call below which the cut is too tight
	cutMinFactor         = 0.5                   // smallest factor by which one step reduces the share
	cutSettleTime        = 60 * time.Millisecond // time until arriving calls reflect a changed cut
	cutDecay             = 0.95                  // factor by which the counts decay per window
	cutMinArrivals       = 8                     // decayed arrivals from which a workspace's counts are considered
)

// counts are exponentially decayed sums of one workspace's arrivals and queue refusals in
// one class.
type counts struct{ arrived, refused float32 }

// cutState derives the published cut from the refusals of the queue.
type cutState struct {
	cut               mesh.Cut // admits all calls of the classes before Class, Share/mesh.CutScale of those of Class, and no others
	windowStart       time.Duration
	lowRefusalWindows int           // consecutive windows with at most cutLoosenBelow refused
	slotsFree         bool          // slots were free during the whole window, or soon will be
	freeSlotWindows   int           // consecutive windows with slotsFree set
	windowArrivals    int           // calls that arrived in the window
	windowStarts      int           // calls that started to run in the window
	counted           []int32       // flows that have counts, as indexes into queue.flows
	countFrom         time.Duration // earlier arrivals were subject to another cut and are not counted
}

// updateCut adjusts the cut at the end of each window. The gap between cutLoosenBelow and
// cutTightenAbove provides hysteresis.
func (c *Controller) updateCut(now time.Duration) {
	s := &c.cut
	if now-s.windowStart < cutWindow {
		return
	}
	s.windowStart = now
	// With clearly fewer arrivals than started calls the queue empties, and slots will be
	// free.
	s.slotsFree = s.slotsFree || float64(s.windowArrivals) < cutMinArrivalRatio*float64(s.windowStarts)
	s.windowArrivals, s.windowStarts = 0, 0
	if s.slotsFree {
		s.freeSlotWindows++
		c.resetCounts()
	} else {
		s.freeSlotWindows = 0
	}
	class, refused := c.refusedFraction()
	switch {
	case now < s.countFrom && !s.slotsFree: // no counts under the changed cut yet
	case refused > cutTightenAbove && class <= s.cut.Class:
		s.lowRefusalWindows = 0
		c.tighten(class, refused)
		c.resetCounts()
		s.countFrom = now + cutSettleTime
	case refused > cutLoosenBelow:
		s.lowRefusalWindows = 0
	default:
		s.lowRefusalWindows++
		if s.slotsFree || s.lowRefusalWindows >= cutLowRefusalWindows {
			c.loosen()
		}
	}
	s.slotsFree = true
}

// refusedFraction returns the most important class of which the queue refuses more than
// cutLoosenBelow, and the refused fraction, which is 0 if there is no such class. It also
// decays the counts, so it must be called once per window.
//
// The fraction is that of the least refused workspace: a cut refuses the same share of every
// workspace, so it may only refuse what even the workspace with the smallest demand relative
// to its fair share cannot get. The queue refuses the rest by fair share.
func (c *Controller) refusedFraction() (mesh.Class, float64) {
	var least [mesh.NumClasses]float64
	var seen [mesh.NumClasses]bool
	for class := range least {
		least[class] = 1
	}
	kept := c.cut.counted[:0]
	for _, i := range c.cut.counted {
		f := &c.queue.flows[i]
		f.hasCounts = false
		for class := range f.counts {
			sums := &f.counts[class]
			if sums.arrived >= cutMinArrivals {
				seen[class] = true
				least[class] = min(least[class], float64(sums.refused/sums.arrived))
			}
			sums.arrived *= cutDecay
			sums.refused *= cutDecay
			f.hasCounts = f.hasCounts || sums.arrived >= cutMinCount
		}
		if f.hasCounts {
			kept = append(kept, i)
		} else {
			f.counts = [mesh.NumClasses]counts{}
		}
	}
	c.cut.counted = kept
	for class := range least {
		if seen[class] && least[class] > cutLoosenBelow {
			return mesh.Class(class), least[class]
		}
	}
	return 0, 0
}

// resetCounts discards the counts, because they were made under another cut or while slots
// were free.
func (c *Controller) resetCounts() {
	for _, i := range c.cut.counted {
		f := &c.queue.flows[i]
		f.hasCounts = false
		f.counts = [mesh.NumClasses]counts{}
	}
	c.cut.counted = c.cut.counted[:0]
}

// countArrival counts a call that arrived at the given time, unless another cut applied to
// the call.
func (c *Controller) countArrival(at time.Duration, flow int32, class mesh.Class) {
	if at < c.cut.countFrom {
		return
	}
	f := &c.queue.flows[flow]
	f.counts[class].arrived++
	if !f.hasCounts {
		f.hasCounts = true
		c.cut.counted = append(c.cut.counted, flow)
	}
}

// countRefusal counts the refusal of a call that arrived at the given time, unless another
// cut applied to the call.
func (c *Controller) countRefusal(at time.Duration, flow int32, class mesh.Class) {
	if at >= c.cut.countFrom {
		c.queue.flows[flow].counts[class].refused++
	}
}

// tighten reduces the share that the cut admits of the class by about the refused fraction.
func (c *Controller) tighten(class mesh.Class, refused float64) {
	cut := &c.cut.cut
	if class < cut.Class {
		*cut = mesh.Cut{Class: class, Share: mesh.CutScale}
	}
	share := float64(cut.Share) * max(1-refused+cutResidual, cutMinFactor)
	cut.Share = uint16(min(max(share, 1), mesh.CutScale))
}

// loosen opens the cut by one step; the steps double while slots stay free. A step may
// continue into the next class.
func (c *Controller) loosen() {
	s := &c.cut
	share := int(s.cut.Share)
	step := share/16 + cutStep
	if s.slotsFree {
		step = cutFreeSlotStep << min(s.freeSlotWindows, cutMaxDoublings)
	}
	level := int(s.cut.Class)*mesh.CutScale + share + step
	if level > mesh.NumClasses*mesh.CutScale {
		s.cut = mesh.OpenCut
		return
	}
	class := (level - 1) / mesh.CutScale
	s.cut = mesh.Cut{Class: mesh.Class(class), Share: uint16(level - class*mesh.CutScale)}
}
