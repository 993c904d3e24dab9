package policymodel

import (
	"time"

	"cardamomhatch/internal/admission"
)

// Chain is a list of services, each of which calls the next.
type Chain struct {
	Name   string
	Layers []Layer
}

// Chains are the chains for which the goals are checked.
var Chains = []Chain{
	{"single", []Layer{{50, 20 * ms}}},
	{"chain", []Layer{{60, 10 * ms}, {40, 10 * ms}, {20, 10 * ms}}},
}

func fiveTimesSlower(time.Duration) float64 { return 5 }

// warmUpFactor falls linearly from 5 at the start of the cause to 1 after 2 s.
func warmUpFactor(t time.Duration) float64 { return 5 - 4*float64(t-causeStart)/float64(2*time.Second) }

// Scenarios are the overload scenarios for which the goals are checked.
var Scenarios = []Scenario{
	{Name: "surge", utilisation: 0.7, surgeFactor: 3},
	{Name: "deep-slow", utilisation: 0.7, slowFactor: fiveTimesSlower},
	{Name: "retry-storm", utilisation: 0.7, surgeFactor: 2, retries: 3},
	{Name: "greedy", utilisation: 0.8, greedyFactor: 5},
	{Name: "cold-start", utilisation: 0.5, slowFactor: warmUpFactor, restarts: true, causeEndsAt: causeStart + 2*time.Second},
	{Name: "oscillation", utilisation: 0.7, surgeFactor: 2.2},
	{Name: "fewer-slots", utilisation: 0.7, slotFactor: func(time.Duration) float64 { return 0.4 }},
}

// Variant changes what the controllers know about the upstreams.
type Variant struct {
	Name  string
	Apply func(*Scenario)
}

// Variants are the variants for which the goals are checked.
var Variants = []Variant{
	{"reported", func(*Scenario) {}},
	{"unknown", func(s *Scenario) { s.slotsUnknown = true }},
	{"shedding", func(s *Scenario) { s.slotsUnknown, s.sheds = true, true }},
	{"untimed", func(s *Scenario) { s.downstreamUnknown = true }},
}

// Run simulates a policy on a chain in a scenario and returns its figures.
func Run(policy admission.Policy, chain Chain, sc Scenario, seed uint64) Figures {
	m := newModel(policy, chain.Layers, sc, seed)
	m.run()
	return m.figures()
}
