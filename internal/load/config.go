// Package load generates open-loop HTTP load: requests start when a seeded
// Poisson process says so, whether or not earlier ones have been answered, and
// latencies count from the intended start. A slow server therefore cannot hide
// its latency by slowing the generator down.
package load

import (
	"context"
	"net/http"
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
	Weight     float64 // share in the mix, relative to the other routes
	Idempotent bool
	Body       []byte
	Timeout    time.Duration // from the intended start; zero means Config.Timeout
}

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
	Timeout     time.Duration // of routes without their own
	Retries     int           // client retries per request
	RetryDelay  time.Duration // before the first retry; doubles with each
	Tickets     bool          // use tickets on routes that are not idempotent
	Transport   http.RoundTripper
	Progress    func(Progress) // called about once a second and at the end; may be nil
}

// Progress is a running total.
type Progress struct {
	Elapsed  time.Duration
	Counts   Counts
	InFlight int
}

// Run generates the load and waits for the last answer. It fails for an invalid
// config; failed requests are results. Cancellation of ctx ends the arrivals
// and the requests under way.
func Run(ctx context.Context, cfg Config) (Result, error) { return Result{}, nil }
