// Package sidecar implements a node that runs next to one upstream, on a platform
// that stores the operator's declaration as a single document and keeps no list of
// nodes. The package performs all I/O. Decisions are made by packages without I/O:
// catalog, roster, upstream, slots, pressure, ratelimit, routing and retry.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/intake"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
)

// Dialect holds the header names that callers and upstreams of a platform use, in
// canonical form.
type Dialect struct {
	RequestID     string // request ID; upstreams echo it
	Remaining     string // milliseconds until the caller stops waiting
	Key           string // API key of the workspace
	Workspace     string // workspace of the request, set for the upstream
	Caller        string // calling service, set for the upstream
	Instance      string // instance of the upstream that the request is meant for
	NotRun        string // set by an upstream that did not run the request
	Load          string // load of the upstream
	RateLimit     string // requests per second that the upstream takes from all nodes together
	Leaving       string // "1" if the upstream leaves
	ProbeInstance string // instance of the upstream that answers a health probe
	// ParseLoad parses the value of the Load header.
	ParseLoad func(string) (Load, bool)
	// ParseRateLimit parses the value of the RateLimit header, in requests per second. It
	// returns false if the header is missing or malformed.
	ParseRateLimit func(string) (float64, bool)
}

// Load is the load that an upstream reports. Slots is the number of requests that it can
// run at a time.
type Load struct{ Running, Waiting, Slots int }

// Cursor is a position in the platform's store. The zero value is the beginning.
type Cursor struct {
	Offset uint64
	Known  bool // Offset is set
}

// Source reads the operator's declaration.
type Source interface {
	// Next returns the newest declaration after the cursor and the cursor that
	// follows it. If there is none, Next waits for one, for up to the given time; raw
	// is nil if none arrives.
	Next(ctx context.Context, after Cursor, wait time.Duration) (raw []byte, next Cursor, err error)
	// Decode parses and validates a declaration.
	Decode(raw []byte) (*catalog.Catalog, error)
}

// Directory stores the newest record for each key, durably.
type Directory interface {
	Publish(ctx context.Context, key string, record []byte) error
	List(ctx context.Context) ([][]byte, error)
}

// Bounds holds the operator's time limits, retry budget and rate limit tolerance.
type Bounds struct {
	Drain     time.Duration // how long an upstream still serves after it has announced that it is draining
	Heartbeat time.Duration // interval between announcements of an upstream
	Retry     retry.BudgetConfig
	Quota     ratelimit.Tolerance // how far a workspace may exceed its rate limit
}

// Listeners are the listening sockets of a node. A nil listener is not served.
type Listeners struct{ Callers, Peers, Announcements, Ready, Metrics net.Listener }

// Config configures a node.
type Config struct {
	Self            mesh.Member
	Claim           uint64 // orders the incarnations of the node on this host
	Seed            uint64 // of the node's pseudo-random number generators
	UpstreamAddress string
	Listeners       Listeners
	Dialect         Dialect
	Source          Source
	Directory       Directory
	Bounds          Bounds
	HostLimits      intake.Host // what the host has; zero values stand for the smallest host
	Log             *eventlog.Log
	Metrics         metrics.Registry
	// Announcements returns the handler for announcements of the upstream.
	Announcements func(*Node) http.Handler
	// Ready returns the handler for readiness checks of the platform.
	Ready func(*Node) http.Handler
}
