package routing

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

// level is a cut as one number: the number of fully admitted classes, plus the admitted
// share of the next one.
type level float64

const openLevel = level(mesh.NumClasses)

const (
	cutTTL          = time.Second            // after which a cut that is not refreshed is open
	minCutGain      = 0.2                    // least weight of the cut of one answer
	cutTimeConstant = 100 * time.Millisecond // in which the weight of earlier answers falls to 1/e
)

func levelOf(c mesh.Cut) level {
	return level(c.Class) + level(min(c.Share, mesh.CutScale))/mesh.CutScale
}

func (l level) cut() mesh.Cut {
	if l >= openLevel {
		return mesh.OpenCut
	}
	class := math.Floor(float64(l))
	return mesh.Cut{Class: mesh.Class(class), Share: uint16((float64(l) - class) * mesh.CutScale)}
}

// ObserveCut adds the cut that one answer carried. The nodes of a service publish
// different cuts and calls are spread over all nodes, so the table keeps the moving
// average.
func (t *Table) ObserveCut(now time.Duration, name mesh.Service, cut mesh.Cut) {
	s := t.service(name)
	current := s.levelAt(now)
	age := max(now-s.cutAt, 0)
	gain := max(minCutGain, 1-math.Exp(-float64(age)/float64(cutTimeConstant)))
	s.cut = current + level(gain)*(levelOf(cut)-current)
	s.cutAt = now
}

// Cut returns the cut of a service. It opens linearly within cutTTL unless answers
// refresh it, so that a cut that refuses every call ends by itself.
func (t *Table) Cut(now time.Duration, name mesh.Service) mesh.Cut {
	s := t.services[name]
	if s == nil {
		return mesh.OpenCut
	}
	return s.levelAt(now).cut()
}

// levelAt returns the cut at a time after its last refresh.
func (s *service) levelAt(now time.Duration) level {
	age := min(max(now-s.cutAt, 0), cutTTL)
	return s.cut + (openLevel-s.cut)*level(float64(age)/float64(cutTTL))
}
