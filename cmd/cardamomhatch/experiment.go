package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/experiment"
)

type experimentCommand struct {
	Deployment  string        `enum:"hanskasmidjan,himalaya" default:"hanskasmidjan" help:"Deployment: hanskasmidjan or himalaya."`
	Scenario    []string      `default:"all" help:"Scenarios to run, or all."`
	Policy      string        `enum:"full,none,static" default:"full" help:"Policy: full, none or static. Only the results of full are checked."`
	AllPolicies bool          `help:"Run each scenario under the policies full, static and none in turn."`
	Seed        uint64        `default:"1" help:"Random seed for arrivals, choices and service times."`
	Duration    time.Duration `default:"16s" help:"Measured time of a scenario, excluding the warm-up."`
	JSON        string        `placeholder:"FILE" help:"Write the results as JSON to FILE; - is standard output."`
	Plot        string        `placeholder:"DIR" help:"Write an SVG chart of each run to DIR."`
}

// Run runs the scenarios. It returns an error if the full policy misses a goal.
func (c *experimentCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	policies, err := c.policies()
	if err != nil {
		return err
	}
	scenarios := c.Scenario
	if len(scenarios) == 1 && scenarios[0] == "all" {
		scenarios = experiment.Scenarios()
	}
	var results []*experiment.Result
	for _, scenario := range scenarios {
		for _, policy := range policies {
			result, err := experiment.Run(ctx, experiment.Options{
				Deployment: c.Deployment, Scenario: scenario, Policy: policy, Seed: c.Seed, Duration: c.Duration,
			})
			if err != nil {
				return errors.Wrapf(err, "scenario %s under policy %s", scenario, policy)
			}
			result.WriteDetails(os.Stderr)
			results = append(results, result)
		}
	}
	if err := c.write(results); err != nil {
		return err
	}
	return reportMisses(results)
}

func (c *experimentCommand) policies() ([]admission.Policy, error) {
	if c.AllPolicies {
		return []admission.Policy{admission.PolicyFull, admission.PolicyStatic, admission.PolicyNone}, nil
	}
	policy, err := admission.ParsePolicy(c.Policy)
	return []admission.Policy{policy}, err
}

func (c *experimentCommand) write(results []*experiment.Result) error {
	if c.Plot != "" {
		if err := c.plot(results); err != nil {
			return err
		}
	}
	if c.JSON == "-" {
		return experiment.WriteJSON(os.Stdout, results)
	}
	if c.JSON != "" {
		err := writeFile(c.JSON, func(w io.Writer) error { return experiment.WriteJSON(w, results) })
		if err != nil {
			return err
		}
	}
	return experiment.WriteTable(os.Stdout, results)
}

// plot writes one chart per result to the directory c.Plot.
func (c *experimentCommand) plot(results []*experiment.Result) error {
	if err := os.MkdirAll(c.Plot, 0o755); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	for _, r := range results {
		name := fmt.Sprintf("%s-%s-%s-%d.svg", r.Deployment, r.Scenario, r.Policy, r.Seed)
		if err := writeFile(filepath.Join(c.Plot, name), r.WriteSVG); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// reportMisses prints every goal that was missed, and returns an error if there are
// any.
func reportMisses(results []*experiment.Result) error {
	missed := 0
	for _, r := range results {
		for _, miss := range r.Misses {
			fmt.Fprintf(os.Stderr, "goal missed in deployment %s, scenario %s, seed %d: %s\n", r.Deployment, r.Scenario, r.Seed, miss)
			missed++
		}
	}
	if missed > 0 {
		return errors.Errorf("%d goals were missed", missed)
	}
	return nil
}
