package main

import (
	"fmt"
	"text/tabwriter"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/policymodel"
)

type modelCommand struct {
	Seed    uint64 `default:"1" help:"Random seed for arrivals and service times."`
	Variant string `enum:"reported,unknown,shedding,untimed" default:"reported" help:"What nodes know about the upstreams: reported, unknown, shedding or untimed."`
}

// Run prints the results of every scenario under every policy.
func (c *modelCommand) Run(s *streams) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "chain\tscenario\tpolicy\tgoodput\tcritical\trecovery\tworst workspace\tworst second\tlimit")
	for _, chain := range policymodel.Chains {
		for _, sc := range policymodel.Scenarios {
			c.apply(&sc)
			for _, policy := range []admission.Policy{admission.PolicyFull, admission.PolicyStatic, admission.PolicyNone} {
				figures := policymodel.Run(policy, chain, sc, c.Seed)
				fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.4f\t%.1f s\t%.3f\t%.3f\t%.0f-%.0f\n", chain.Name, sc.Name, policy,
					figures.Goodput, figures.CriticalSuccess, figures.Recovery.Seconds(), figures.WorstWorkspace, figures.WorstSecond, figures.MinLimit, figures.MaxLimit)
			}
		}
	}
	return w.Flush()
}

// apply changes the scenario to the variant given on the command line.
func (c *modelCommand) apply(sc *policymodel.Scenario) {
	for _, v := range policymodel.Variants {
		if v.Name == c.Variant {
			v.Apply(sc)
		}
	}
}
