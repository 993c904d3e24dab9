package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	viewGain = 0.15 // weight of one answer
	// staleAfter is the age from which a cut that no answer has confirmed relaxes,
	// and relaxRate the levels per second by which it does.
	staleAfter = time.Second
	relaxRate  = 1.0
	// callGain is the weight of one request in the mean number of its calls.
	callGain = 0.05
	// relevantCalls is the mean number of calls from which a path counts.
	relevantCalls = 0.02
	maxRoutes     = 4096 // routes whose paths are kept
)

// Target is a route of a service: what a cut applies to.
type Target struct {
	Service mesh.Service
	Route   string
}

// View is what a node knows of the cuts of others and of the paths of the
// requests at its own upstream. It is not safe for concurrent use.
type View struct {
	cuts  map[Target]*heard
	paths map[string]map[Target]*calls // by route at the own upstream
}

type heard struct {
	cut Cut
	at  time.Duration
}

type calls struct{ mean float64 }

// NewView returns a view without knowledge: every cut is open.
func NewView() *View {
	return &View{cuts: map[Target]*heard{}, paths: map[string]map[Target]*calls{}}
}

// Heard takes the cut that an answer carried. The nodes of a service state
// slightly different ones; the mean is kept.
func (v *View) Heard(now time.Duration, t Target, c Cut) {
	h := v.cuts[t]
	if h == nil {
		if len(v.cuts) >= maxRoutes {
			clear(v.cuts)
		}
		h = &heard{cut: Open}
		v.cuts[t] = h
	}
	h.cut = v.relaxed(now, h)
	h.cut += viewGain * (c - h.cut)
	h.at = now
}

func (v *View) relaxed(now time.Duration, h *heard) Cut {
	age := now - h.at - staleAfter
	if age <= 0 {
		return h.cut
	}
	return min(h.cut+Cut(relaxRate*age.Seconds()), Open)
}

// Cut returns the cut for a target.
func (v *View) Cut(now time.Duration, t Target) Cut {
	h := v.cuts[t]
	if h == nil {
		return Open
	}
	return v.relaxed(now, h)
}

// Served records the calls that one request of a route made at the own upstream.
func (v *View) Served(route string, made map[Target]int) {
	path := v.paths[route]
	if path == nil {
		if len(made) == 0 {
			return
		}
		if len(v.paths) >= maxRoutes {
			clear(v.paths)
		}
		path = map[Target]*calls{}
		v.paths[route] = path
	}
	for t := range made {
		if path[t] == nil {
			path[t] = &calls{mean: float64(made[t])}
		}
	}
	for t, c := range path {
		c.mean += callGain * (float64(made[t]) - c.mean)
		if c.mean < relevantCalls/2 {
			delete(path, t)
		}
	}
}

// Below returns the tightest cut of what requests of the route call.
func (v *View) Below(now time.Duration, route string) Cut {
	tightest := Open
	for t, c := range v.paths[route] {
		if c.mean >= relevantCalls {
			tightest = min(tightest, v.Cut(now, t))
		}
	}
	return tightest
}
