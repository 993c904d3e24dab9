package experiment

import (
	"math"
	"time"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// Graph computes what the slots of a call graph allow. An upstream holds its
// slot while its downstream calls run, so the time a call occupies a slot is its
// own time plus that of everything below it.
type Graph struct {
	Slots       map[mesh.Service]int
	ServiceTime map[mesh.Service]time.Duration // mean
	Edges       []declaration.Edge
}

// HoldingTime returns the mean time that a call of a service occupies a slot, without
// any waiting.
func (g *Graph) HoldingTime(s mesh.Service) time.Duration {
	hold := g.ServiceTime[s]
	for _, e := range g.Edges {
		if e.From == s {
			hold += time.Duration(e.CallsPerParent) * g.HoldingTime(e.To)
		}
	}
	return hold
}

// Visits returns how many calls of each service one call of s makes, itself
// included.
func (g *Graph) Visits(s mesh.Service) map[mesh.Service]float64 {
	visits := map[mesh.Service]float64{s: 1}
	for _, e := range g.Edges {
		if e.From != s {
			continue
		}
		for below, n := range g.Visits(e.To) {
			visits[below] += n * float64(e.CallsPerParent)
		}
	}
	return visits
}

// Demand is the rate of the calls of one route, in calls per second.
type Demand struct {
	Service mesh.Service
	Class   mesh.Class
	Rate    float64
}

// AchievableRates returns the rates that the slots allow: the classes in order of
// importance, and within a class the same share of every route until a service
// on its path is full.
func (g *Graph) AchievableRates(demands []Demand) []float64 {
	free := make(map[mesh.Service]float64, len(g.Slots))
	for s, n := range g.Slots {
		free[s] = float64(n)
	}
	served := make([]float64, len(demands))
	for class := range mesh.Class(mesh.NumClasses) {
		g.fillClass(class, demands, free, served)
	}
	return served
}

func (g *Graph) fillClass(class mesh.Class, demands []Demand, free map[mesh.Service]float64, served []float64) {
	rising := map[int]map[mesh.Service]float64{} // slots per share of the demand
	for i, d := range demands {
		if d.Class == class && d.Rate > 0 {
			rising[i] = g.occupancy(d)
		}
	}
	reached := 0.0
	for len(rising) > 0 && reached < 1 {
		step := 1 - reached
		use := totalUse(rising)
		for s, slots := range use {
			step = min(step, max(free[s], 0)/slots)
		}
		for i := range rising {
			served[i] += step * demands[i].Rate
		}
		for s, slots := range use {
			free[s] -= step * slots
		}
		reached += step
		dropFull(rising, free)
	}
}

func (g *Graph) occupancy(d Demand) map[mesh.Service]float64 {
	slots := map[mesh.Service]float64{}
	for s, n := range g.Visits(d.Service) {
		slots[s] = d.Rate * n * g.HoldingTime(s).Seconds()
	}
	return slots
}

func totalUse(rising map[int]map[mesh.Service]float64) map[mesh.Service]float64 {
	use := map[mesh.Service]float64{}
	for _, occupancy := range rising {
		for s, slots := range occupancy {
			use[s] += slots
		}
	}
	return use
}

// fullBelow is the number of slots below which a service counts as full; it
// absorbs rounding.
const fullBelow = 1e-9

func dropFull(rising map[int]map[mesh.Service]float64, free map[mesh.Service]float64) {
	for i, occupancy := range rising {
		for s := range occupancy {
			if free[s] <= fullBelow {
				delete(rising, i)
				break
			}
		}
	}
}

// FairShares divides total by max-min fairness: in proportion to the weights,
// nobody more than its demand.
func FairShares(total float64, demands, weights []float64) []float64 {
	shares := make([]float64, len(demands))
	open := make(map[int]bool)
	for i := range demands {
		open[i] = true
	}
	for len(open) > 0 && total > fullBelow {
		level := levelOf(total, open, shares, demands, weights)
		for i := range open {
			given := level * weights[i]
			if given >= demands[i]-shares[i] {
				given = demands[i] - shares[i]
				delete(open, i)
			}
			shares[i] += given
			total -= given
		}
	}
	return shares
}

// levelOf returns the amount per weight that satisfies somebody or divides all.
func levelOf(total float64, open map[int]bool, shares, demands, weights []float64) float64 {
	sum, level := 0.0, math.Inf(1)
	for i := range open {
		sum += weights[i]
		level = min(level, (demands[i]-shares[i])/weights[i])
	}
	return min(level, total/sum)
}
