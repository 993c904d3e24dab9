// Package sidecar is the shell of a node that stands beside one upstream on a
// platform which stores the operator's declaration as a whole and keeps no list
// of nodes. It does all I/O; every decision is made in the cores that it calls:
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
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
)

// Dialect names the headers that callers and upstreams of a platform use. Names
// are in canonical form.
type Dialect struct {
	Request   string // identifies one request; upstreams echo it
	Remaining string // milliseconds that the caller will wait
	Key       string // of the workspace
	Workspace string // tells an upstream whose request it runs
	Caller    string // tells an upstream which service called
	Instance  string // start of the upstream that a request is for
	Unrun     string // an upstream states that it did not run the request
	Load      string // running and waiting requests and slots of an upstream
	Answerer  string // start of the upstream that answers a probe
	// ParseLoad reads the value of the Load header.
	ParseLoad func(string) (Load, bool)
}

// Load is what an upstream reports of itself.
type Load struct{ Running, Waiting, Slots int }

// Cursor is a position in the platform's store. The zero value is the start.
type Cursor struct {
	Offset uint64
	Known  bool
}

// Source is where the operator's declaration lies.
type Source interface {
	// Next returns the newest declaration behind the cursor, or none if there is
	// no newer one within wait, and the cursor behind it.
	Next(ctx context.Context, after Cursor, wait time.Duration) (raw []byte, next Cursor, err error)
	// Decode checks and reads a declaration.
	Decode(raw []byte) (*catalog.Catalog, error)
}

// Directory is where nodes publish how peers reach them.
type Directory interface {
	Publish(ctx context.Context, host mesh.Host, record []byte) error
	List(ctx context.Context) ([][]byte, error)
}

// Bounds are the operator's terms.
type Bounds struct {
	Drain     time.Duration // a leaving upstream serves so long after its notice
	Grace     time.Duration // from SIGTERM to SIGKILL
	Heartbeat time.Duration // between announcements of an upstream
	Retry     retry.BudgetConfig
	Quota     ratelimit.Tolerance
}

// Listeners are the sockets of a node.
type Listeners struct{ Callers, Peers, Announcements, Ready, Metrics net.Listener }

// Config configures a node.
type Config struct {
	Self            mesh.Member
	Claim           uint64 // orders the incarnations on this host
	Seed            uint64
	UpstreamAddress string
	Listeners       Listeners
	Dialect         Dialect
	Source          Source
	Directory       Directory
	Bounds          Bounds
	Log             *eventlog.Log
	Metrics         metrics.Registry
	// Announcements serves what upstreams send; Ready what the platform asks.
	Announcements func(*Node) http.Handler
	Ready         func(*Node) http.Handler
}
