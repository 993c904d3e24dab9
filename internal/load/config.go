// Package load generates open-loop HTTP load: requests start when a seeded
// Poisson process says so, whether or not earlier ones have been answered, and
// latencies count from the intended start. A slow server therefore cannot hide
// its latency by slowing the generator down.
package load

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxInFlight = 1024
	DefaultTimeout     = 5 * time.Second
	DefaultRetryDelay  = 100 * time.Millisecond
)

// Route is one kind of request in the mix of a workspace.
type Route struct {
	Method     string
	Path       string
	Weight     float64 // share in the mix, relative to the other routes; zero means 1
	Idempotent bool
	Body       []byte
	Timeout    time.Duration // from the intended start; zero means Config.Timeout
}

// Name returns the method and the path.
func (r Route) Name() string { return r.Method + " " + r.Path }

// Workspace is one tenant with its key and demand.
type Workspace struct {
	Name   string
	Key    string
	Rate   float64 // requests per second
	Routes []Route
}

// Config describes a run.
type Config struct {
	Seed       uint64
	Duration   time.Duration // in which requests start
	Targets    []string      // base URLs of entry nodes, chosen at random per attempt
	Workspaces []Workspace
	// MaxInFlight bounds concurrent requests; an arrival beyond it is counted
	// as dropped and not sent.
	MaxInFlight int
	// Timeout is when an answer counts as late, for routes without their own. The
	// request is given up after twice this time.
	Timeout    time.Duration
	Retries    int           // client retries per request
	RetryDelay time.Duration // before the first retry; doubles with each, plus up to half
	// RespectRetryAfter waits at least as long as a refusal advises.
	RespectRetryAfter bool
	// Tickets uses a ticket on routes that are not idempotent, and thereby allows
	// client retries of them. Without, they are retried only if proven not run.
	Tickets bool
	// FreshTickets gets a ticket per request instead of using those of earlier
	// answers, whose owners may be gone by then.
	FreshTickets bool
	Transport    http.RoundTripper // nil means one of the run's own
	Progress     func(Progress)    // called every second and at the end; may be nil
	// Usable reports whether a target accepts connections; nil means all do. A
	// client with several addresses skips one that refuses connections.
	Usable func(target string) bool
	// MarkerHeader, if not empty, carries Attempt.Marker on each attempt.
	MarkerHeader string
	// Attempted and Ended receive each attempt and the end of each request. They
	// are called concurrently and may be nil.
	Attempted func(Attempt)
	Ended     func(RequestResult)
}

// Progress is a running total.
type Progress struct {
	Elapsed  time.Duration
	Counts   Counts
	InFlight int
}

func (c Config) withDefaults() Config {
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.RetryDelay = cmp.Or(c.RetryDelay, DefaultRetryDelay)
	if c.Transport == nil {
		c.Transport = &http.Transport{
			MaxIdleConnsPerHost: c.MaxInFlight,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
	}
	return c
}

func (c *Config) check() error {
	if c.Duration <= 0 {
		return fmt.Errorf("load: duration %s is not positive", c.Duration)
	}
	if len(c.Targets) == 0 || len(c.Workspaces) == 0 {
		return fmt.Errorf("load: at least one target and one workspace are needed")
	}
	for _, target := range c.Targets {
		u, err := url.Parse(target)
		if err != nil || u.Host == "" {
			return fmt.Errorf("load: target %q is not a base URL", target)
		}
	}
	for _, w := range c.Workspaces {
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *Workspace) check() error {
	if !(w.Rate >= 0) || w.Rate > maxRate {
		return fmt.Errorf("load: workspace %q: rate %v is not between 0 and %v", w.Name, w.Rate, maxRate)
	}
	if len(w.Routes) == 0 {
		return fmt.Errorf("load: workspace %q has no routes", w.Name)
	}
	for _, r := range w.Routes {
		if r.Method == "" || len(r.Path) == 0 || r.Path[0] != '/' || !(r.Weight >= 0) {
			return fmt.Errorf("load: workspace %q: route %q needs a method, a path and a weight of at least 0", w.Name, r.Name())
		}
	}
	return nil
}

// maxRate keeps the time between two arrivals well above the clock's resolution.
const maxRate = 1_000_000.0
