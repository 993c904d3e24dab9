package catalog

import "cardamomhatch/internal/mesh"

// Splitter distributes the requests of routes over their parts in proportion to
// the weights. It keeps the difference between what each part is due and what
// it got, so that short runs match the weights too, which a random choice does
// not. It is not safe for concurrent use.
type Splitter struct {
	debts map[string][]debt
}

type debt struct {
	part WeightedService
	due  float64
}

// Pick returns the service of the next request on the route.
func (s *Splitter) Pick(r *Route) mesh.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	debts := s.debts[r.Name]
	if !sameParts(debts, r.Parts) {
		debts = make([]debt, len(r.Parts))
		for i, p := range r.Parts {
			debts[i].part = p
		}
		if s.debts == nil {
			s.debts = map[string][]debt{}
		}
		s.debts[r.Name] = debts
	}
	total, best := 0.0, 0
	for i := range debts {
		total += debts[i].part.Weight
		debts[i].due += debts[i].part.Weight
		if debts[i].due > debts[best].due {
			best = i
		}
	}
	debts[best].due -= total
	return debts[best].part.Service
}

func sameParts(debts []debt, parts []WeightedService) bool {
	if len(debts) != len(parts) {
		return false
	}
	for i := range parts {
		if debts[i].part != parts[i] {
			return false
		}
	}
	return true
}
