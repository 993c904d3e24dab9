package routing

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

// cutLevel is a cut expressed as one number: the number of fully admitted classes plus the
// admitted share of the next class.
type cutLevel float64

const openCutLevel = cutLevel(mesh.NumClasses)

const (
	cutTTL          = time.Second            // time in which a cut opens fully without a new response
	minCutGain      = 0.2                    // least weight of the cut of one response in the moving average
	cutTimeConstant = 100 * time.Millisecond // time in which the weight of earlier responses falls to 1/e
)

func toCutLevel(c mesh.Cut) cutLevel {
	return cutLevel(c.Class) + cutLevel(min(c.Share, mesh.CutScale))/mesh.CutScale
}

func (l cutLevel) cut() mesh.Cut {
	if l >= openCutLevel {
		return mesh.OpenCut
	}
	class := math.Floor(float64(l))
	return mesh.Cut{Class: mesh.Class(class), Share: uint16((float64(l) - class) * mesh.CutScale)}
}

// ObserveCut adds the cut that a response carried. The nodes of a service report
// different cuts, and calls are spread over all of them, so the table keeps a moving
// average.
func (t *Table) ObserveCut(now time.Duration, name mesh.Service, cut mesh.Cut) {
	s := t.service(name)
	current := s.levelAt(now)
	age := max(now-s.cutAt, 0)
	gain := max(minCutGain, 1-math.Exp(-float64(age)/float64(cutTimeConstant)))
	s.cut = current + cutLevel(gain)*(toCutLevel(cut)-current)
	s.cutAt = now
}

// Cut returns the cut of a service. It opens linearly within cutTTL without a new response,
// so that a cut that refuses every call, and thereby prevents responses, does not last
// forever.
func (t *Table) Cut(now time.Duration, name mesh.Service) mesh.Cut {
	s := t.services[name]
	if s == nil {
		return mesh.OpenCut
	}
	return s.levelAt(now).cut()
}

// levelAt returns the cut at the given time, relaxed for the time since the last response.
func (s *service) levelAt(now time.Duration) cutLevel {
	age := min(max(now-s.cutAt, 0), cutTTL)
	return s.cut + (openCutLevel-s.cut)*cutLevel(float64(age)/float64(cutTTL))
}
