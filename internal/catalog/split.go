package catalog

import "cardamomhatch/internal/mesh"

// Splitter distributes the requests of each route over its services in proportion to
// their weights, by smooth weighted round-robin. Unlike a random choice, this follows
// the weights also over a few requests. A Splitter is not safe for concurrent use.
type Splitter struct {
	candidates map[string][]candidate // by route name
}

// candidate is the state of one service of a route in the round-robin.
type candidate struct {
	service       WeightedService
	currentWeight float64 // requests due minus requests received, times the sum of the weights
}

// Pick returns the service for the next request of the route. The state of a route
// is reset when its services or weights change.
func (s *Splitter) Pick(r *Route) mesh.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	candidates := s.candidates[r.Name]
	if !sameServices(candidates, r.Services) {
		candidates = make([]candidate, len(r.Services))
		for i, ws := range r.Services {
			candidates[i].service = ws
		}
		if s.candidates == nil {
			s.candidates = map[string][]candidate{}
		}
		s.candidates[r.Name] = candidates
	}
	total, best := 0.0, 0
	for i := range candidates {
		total += candidates[i].service.Weight
		candidates[i].currentWeight += candidates[i].service.Weight
		if candidates[i].currentWeight > candidates[best].currentWeight {
			best = i
		}
	}
	candidates[best].currentWeight -= total
	return candidates[best].service.Service
}

// sameServices reports whether the candidates have the given services and weights.
func sameServices(candidates []candidate, services []WeightedService) bool {
	if len(candidates) != len(services) {
		return false
	}
	for i := range services {
		if candidates[i].service != services[i] {
			return false
		}
	}
	return true
}
