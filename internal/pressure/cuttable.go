package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	observeGain = 0.15 // weight of the cut of one response in the moving average
	// staleAfter is the time without a new response after which a cut relaxes.
	// relaxRate is the amount per second by which the admitted share of each level then grows.
	staleAfter = time.Second
	relaxRate  = 0.4
	maxTargets = 4096 // limit of the tracked targets; a full CutTable is cleared for a new one
)

// Target is a route of a service that is called. Each target has its own cut.
type Target struct {
	Service mesh.Service
	Route   string
}

// CutTable holds the cuts of other services as observed by this node. It is not
// safe for concurrent use.
type CutTable struct {
	cuts         map[Target]*observedCut
	origins      map[originTarget]*observedOrigin
	originsSwept time.Duration
}

type observedCut struct {
	cut        Cut
	observedAt time.Duration // of the last response
}

// NewCutTable returns an empty table, in which every cut is open.
func NewCutTable() *CutTable {
	return &CutTable{cuts: map[Target]*observedCut{}, origins: map[originTarget]*observedOrigin{}}
}

// Observe adds the cut that a response carried. The nodes of a service report
// slightly different cuts, so the table keeps a moving average.
func (ct *CutTable) Observe(now time.Duration, t Target, c Cut) {
	o := ct.cuts[t]
	if o == nil {
		if len(ct.cuts) >= maxTargets {
			clear(ct.cuts)
		}
		o = &observedCut{cut: OpenCut}
		ct.cuts[t] = o
	}
	o.cut = ct.relaxed(now, o).toward(c, observeGain)
	o.observedAt = now
}

// relaxed returns the observed cut, relaxed for the time beyond staleAfter since its last
// observation.
func (ct *CutTable) relaxed(now time.Duration, o *observedCut) Cut {
	age := now - o.observedAt - staleAfter
	if age <= 0 {
		return o.cut
	}
	return o.cut.relaxed(float32(relaxRate * age.Seconds()))
}

// Cut returns the current cut of a target. It is open if none was observed.
func (ct *CutTable) Cut(now time.Duration, t Target) Cut {
	o := ct.cuts[t]
	if o == nil {
		return OpenCut
	}
	return ct.relaxed(now, o)
}
