package routing

import (
	"math"
	"time"

	"cardamomhatch/internal/mesh"
)

// level is a cut as one number: the classes that are admitted, with the share
// of the last one as the fraction.
type level float64

const open = level(mesh.NumClasses)

const (
	cutLife   = time.Second            // time after which a cut without refresh is open
	cutGain   = 0.2                    // least weight of one answer's cut
	cutSmooth = 100 * time.Millisecond // a cut this old has lost most of its weight
)

func levelOf(c mesh.Cut) level {
	return level(c.Class) + level(min(c.Share, mesh.CutScale))/mesh.CutScale
}

func (l level) cut() mesh.Cut {
	if l >= open {
		return mesh.OpenCut
	}
	class := math.Floor(float64(l))
	return mesh.Cut{Class: mesh.Class(class), Share: uint16((float64(l) - class) * mesh.CutScale)}
}

// ObserveCut takes in the cut that one answer carried. The nodes of a service
// publish different cuts, so the table keeps their moving average: calls spread
// over all of them.
func (t *Table) ObserveCut(now time.Duration, name mesh.Service, cut mesh.Cut) {
	s := t.service(name)
	current := s.levelAt(now)
	age := max(now-s.cutAt, 0)
	gain := max(cutGain, 1-math.Exp(-float64(age)/float64(cutSmooth)))
	s.cut = current + level(gain)*(levelOf(cut)-current)
	s.cutAt = now
}

// Cut returns the cut of a service. It opens steadily within a second unless
// answers refresh it, so that a cut which keeps every call out ends by itself.
func (t *Table) Cut(now time.Duration, name mesh.Service) mesh.Cut {
	s := t.services[name]
	if s == nil {
		return mesh.OpenCut
	}
	return s.levelAt(now).cut()
}

func (s *service) levelAt(now time.Duration) level {
	age := min(max(now-s.cutAt, 0), cutLife)
	return s.cut + (open-s.cut)*level(float64(age)/float64(cutLife))
}
