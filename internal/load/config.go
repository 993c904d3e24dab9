// Package load generates open-loop HTTP load: requests start at the times of a seeded
// Poisson process, whether or not earlier ones have been answered, and latencies are
// measured from the intended start. A slow server therefore cannot hide its latency by
// slowing the generator down (coordinated omission).
package load

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cardamomhatch/internal/exchange"
)

// Defaults for the fields of Config that are zero.
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

// Name returns "METHOD path".
func (r Route) Name() string { return r.Method + " " + r.Path }

// Workspace is a workspace with its API key and its demand.
type Workspace struct {
	Name   string
	Key    string
	Rate   float64 // mean of the Poisson process, in requests per second
	Routes []Route
}

// Config describes a run.
type Config struct {
	Seed       uint64
	Duration   time.Duration // time in which requests start
	Targets    []string      // base URLs of entry nodes; each attempt picks one at random
	Workspaces []Workspace
	// MaxInFlight bounds concurrent requests. An arrival above the bound is counted
	// as dropped and not sent.
	MaxInFlight int
	// Timeout is the time after which an answer counts as late, for routes without a
	// timeout of their own. A request is cancelled after twice its timeout.
	Timeout    time.Duration
	Retries    int           // maximum number of client retries per request
	RetryDelay time.Duration // before the first retry; doubles with each retry, plus up to 50 % jitter
	// RespectRetryAfter makes clients wait at least as long as a refusal advises.
	RespectRetryAfter bool
	// Tickets sends a ticket with each request of a route that is not idempotent, so
	// that clients can retry it safely. Without tickets, such a request is retried
	// only if a refusal says that it has not run.
	Tickets bool
	// TicketPerRequest requests a new ticket for each request instead of using one
	// that an earlier answer carried, whose owner may have left since.
	TicketPerRequest bool
	Transport        http.RoundTripper // nil means a strict transport for this run only
	Progress         func(Progress)    // called every second and at the end; may be nil
	// Usable reports whether a target accepts connections; nil means that all do.
	// Clients skip targets that are not usable.
	Usable func(target string) bool
	// MarkerHeader is the name of the header that carries Attempt.Marker on each
	// attempt; empty means none.
	MarkerHeader string
	// OnAttempt and OnRequestEnd receive each attempt and the end of each request. They
	// are called concurrently and may be nil.
	OnAttempt    func(Attempt)
	OnRequestEnd func(RequestResult)
}

// Progress holds the totals since the start of the run.
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
		c.Transport = exchange.Strict(&http.Transport{
			MaxIdleConnsPerHost: c.MaxInFlight,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		})
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
		return fmt.Errorf("load: workspace %q: rate of %v requests per second is not between 0 and %v", w.Name, w.Rate, maxRate)
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

// maxRate is in requests per second. It keeps the mean time between two arrivals well
// above the clock's resolution.
const maxRate = 1_000_000.0
