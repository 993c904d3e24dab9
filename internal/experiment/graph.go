package experiment

import (
	"math"
	"time"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// Graph computes the capacity of a call graph with a limited number of slots per
// service. An upstream holds its slot while its downstream calls run, so a call
// occupies a slot for its own service time plus that of all calls below it.
type Graph struct {
	Slots       map[mesh.Service]int
	ServiceTime map[mesh.Service]time.Duration // mean, without downstream calls
	Edges       []declaration.Edge
}

// HoldingTime returns the mean time that a call of a service occupies a slot if no
// call has to wait.
func (g *Graph) HoldingTime(s mesh.Service) time.Duration {
	holdingTime := g.ServiceTime[s]
	for _, e := range g.Edges {
		if e.From == s {
			holdingTime += time.Duration(e.CallsPerParent) * g.HoldingTime(e.To)
		}
	}
	return holdingTime
}

// Visits returns how many calls of each service one call of s causes, including
// itself.
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

// AchievableRates returns the part of each demand's rate that the slots allow. Classes
// are served in order of importance; within a class, the served share of all routes
// grows equally until a service on a route's path is full.
func (g *Graph) AchievableRates(demands []Demand) []float64 {
	free := make(map[mesh.Service]float64, len(g.Slots))
	for s, n := range g.Slots {
		free[s] = float64(n)
	}
	served := make([]float64, len(demands))
	for class := range mesh.Class(mesh.NumClasses) {
		g.serveClass(class, demands, free, served)
	}
	return served
}

// serveClass divides the free slots among the demands of one class. It adds the rates
// that they allow to served, and removes the slots that this takes from free.
func (g *Graph) serveClass(class mesh.Class, demands []Demand, free map[mesh.Service]float64, served []float64) {
	unsaturated := map[int]map[mesh.Service]float64{} // slots occupied if all demand is served, by index of the demand
	for i, d := range demands {
		if d.Class == class && d.Rate > 0 {
			unsaturated[i] = g.occupancy(d)
		}
	}
	fraction := 0.0 // of their demand that all unsaturated demands are served
	for len(unsaturated) > 0 && fraction < 1 {
		step := 1 - fraction
		use := totalOccupancy(unsaturated)
		for s, slots := range use {
			step = min(step, max(free[s], 0)/slots)
		}
		for i := range unsaturated {
			served[i] += step * demands[i].Rate
		}
		for s, slots := range use {
			free[s] -= step * slots
		}
		fraction += step
		dropSaturated(unsaturated, free)
	}
}

// occupancy returns the mean number of slots of each service that a demand occupies if
// it is fully served.
func (g *Graph) occupancy(d Demand) map[mesh.Service]float64 {
	slots := map[mesh.Service]float64{}
	for s, n := range g.Visits(d.Service) {
		slots[s] = d.Rate * n * g.HoldingTime(s).Seconds()
	}
	return slots
}

func totalOccupancy(unsaturated map[int]map[mesh.Service]float64) map[mesh.Service]float64 {
	use := map[mesh.Service]float64{}
	for _, occupancy := range unsaturated {
		for s, slots := range occupancy {
			use[s] += slots
		}
	}
	return use
}

// epsilon absorbs rounding errors in comparisons of free slots, of the rest to share, and
// of served rates with their demand.
const epsilon = 1e-9

// dropSaturated deletes the demands that need a service without free slots.
func dropSaturated(unsaturated map[int]map[mesh.Service]float64, free map[mesh.Service]float64) {
	for i, occupancy := range unsaturated {
		for s := range occupancy {
			if free[s] <= epsilon {
				delete(unsaturated, i)
				break
			}
		}
	}
}

// FairShares divides total by weighted max-min fairness: in proportion to the weights,
// and at most the demand of each.
func FairShares(total float64, demands, weights []float64) []float64 {
	shares := make([]float64, len(demands))
	unsatisfied := make(map[int]bool)
	for i := range demands {
		unsatisfied[i] = true
	}
	for len(unsatisfied) > 0 && total > epsilon {
		level := nextLevel(total, unsatisfied, shares, demands, weights)
		for i := range unsatisfied {
			given := level * weights[i]
			if given >= demands[i]-shares[i] {
				given = demands[i] - shares[i]
				delete(unsatisfied, i)
			}
			shares[i] += given
			total -= given
		}
	}
	return shares
}

// nextLevel returns the amount per unit of weight that satisfies the next demand or
// uses up the total.
func nextLevel(total float64, unsatisfied map[int]bool, shares, demands, weights []float64) float64 {
	sum, level := 0.0, math.Inf(1)
	for i := range unsatisfied {
		sum += weights[i]
		level = min(level, (demands[i]-shares[i])/weights[i])
	}
	return min(level, total/sum)
}
