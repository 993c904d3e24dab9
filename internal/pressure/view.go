package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	viewGain = 0.15 // weight of one answer
	// staleAfter is the age from which a cut that no answer has confirmed relaxes,
	// and relaxRate the part of each level by which it does, per second.
	staleAfter = time.Second
	relaxRate  = 0.4
	maxTargets = 4096 // targets whose cuts are kept
)

// Target is a route of a service: what a cut applies to.
type Target struct {
	Service mesh.Service
	Route   string
}

// CutTable is what a node knows of the cuts of others. It is not safe for concurrent
// use.
type CutTable struct{ cuts map[Target]*heard }

type heard struct {
	cut Cut
	at  time.Duration
}

// NewCutTable returns a view without knowledge: every cut is open.
func NewCutTable() *CutTable {
	return &CutTable{cuts: map[Target]*heard{}}
}

// Heard takes the cut that an answer carried. The nodes of a service state
// slightly different ones; the mean is kept.
func (v *CutTable) Heard(now time.Duration, t Target, c Cut) {
	h := v.cuts[t]
	if h == nil {
		if len(v.cuts) >= maxTargets {
			clear(v.cuts)
		}
		h = &heard{cut: OpenCut}
		v.cuts[t] = h
	}
	h.cut = v.relaxed(now, h).toward(c, viewGain)
	h.at = now
}

func (v *CutTable) relaxed(now time.Duration, h *heard) Cut {
	age := now - h.at - staleAfter
	if age <= 0 {
		return h.cut
	}
	return h.cut.relaxed(float32(relaxRate * age.Seconds()))
}

// Cut returns the cut for a target.
func (v *CutTable) Cut(now time.Duration, t Target) Cut {
	h := v.cuts[t]
	if h == nil {
		return OpenCut
	}
	return v.relaxed(now, h)
}
