package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

type loadCommand struct {
	ReadyFile string           `required:"" placeholder:"FILE" help:"File written by dev --ready-file: addresses, keys and routes."`
	Rate      float64          `default:"100" help:"Requests per second, total of all workspaces."`
	Duration  time.Duration    `default:"10s" help:"Time during which requests are started."`
	Seed      uint64           `default:"1" help:"Random seed for arrivals and choices."`
	Workspace []mesh.Workspace `help:"Workspaces whose keys to use; all by default."`
	Route     []string         `placeholder:"\"METHOD PATH\"" help:"Routes to call; all by default. {name} in a path is replaced by 1."`
	Retries   int              `help:"Client retries per request."`
	Tickets   bool             `help:"Send tickets on routes that are not idempotent."`
	Timeout   time.Duration    `default:"5s" help:"Responses after this time count as late."`
	JSON      bool             `help:"Print the result as JSON."`
}

func (c *loadCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.ReadyFile)
	if err != nil {
		return errors.Wrap(err, "read ready file")
	}
	var ready readyFile
	if err := json.Unmarshal(data, &ready); err != nil {
		return errors.Wrapf(err, "decode ready file %s", c.ReadyFile)
	}
	cfg, err := c.config(ready)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.JSON {
		return result.WriteJSON(os.Stdout)
	}
	return result.WriteText(os.Stdout)
}

// config returns the configuration of the load, which is divided equally among the
// workspaces.
func (c *loadCommand) config(ready readyFile) (load.Config, error) {
	cfg := load.Config{
		Seed: c.Seed, Duration: c.Duration, Targets: ready.Callers, Timeout: c.Timeout,
		Retries: c.Retries, Tickets: c.Tickets, Progress: printProgress,
	}
	routes, err := c.routes(ready)
	if err != nil {
		return cfg, err
	}
	names := c.Workspace
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(ready.Keys))
	}
	for _, name := range names {
		key, ok := ready.Keys[name]
		if !ok {
			return cfg, errors.Errorf("workspace %q has no key in ready file %s", name, c.ReadyFile)
		}
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{
			Name: string(name), Key: key, Rate: c.Rate / float64(len(names)), Routes: routes,
		})
	}
	return cfg, nil
}

func (c *loadCommand) routes(ready readyFile) ([]load.Route, error) {
	var routes []load.Route
	for _, r := range ready.Routes {
		if len(c.Route) == 0 || slices.Contains(c.Route, r.Method+" "+r.Path) {
			routes = append(routes, load.Route{Method: r.Method, Path: samplePath(r.Path), Idempotent: r.Idempotent})
		}
	}
	if len(routes) == 0 {
		return nil, errors.Errorf("none of the routes %q is in the ready file", c.Route)
	}
	return routes, nil
}

// samplePath returns a path that matches a route pattern, with 1 for each wildcard.
func samplePath(pattern string) string {
	segments := strings.Split(pattern, "/")
	for i, s := range segments {
		if strings.HasPrefix(s, "{") {
			segments[i] = "1"
		}
	}
	return strings.Join(segments, "/")
}

func printProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "%4.0fs arrivals %d in time %d refused %d failed %d in flight %d\n",
		p.Elapsed.Seconds(), p.Counts.Arrivals, p.Counts.InTime, p.Counts.Refused, p.Counts.Failed, p.InFlight)
}
