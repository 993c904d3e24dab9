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
	"cardamomhatch/internal/evacuation"
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
	ProbeCold     string // time for which the upstream that answers a health probe is still cold
	// ParseLoad parses the value of the Load header.
	ParseLoad func(string) (Load, bool)
	// ParseRateLimit parses the value of the RateLimit header, in requests per second. It
	// returns false if the header is missing or malformed.
	ParseRateLimit func(string) (float64, bool)
	// ParseCold parses the value of the ProbeCold header, which is empty if the header is
	// missing. It returns false if the value does not tell whether the upstream is cold.
	ParseCold func(string) (time.Duration, bool)
}

// Load is the load that an upstream reports. Slots is the number of requests that it can
// run at a time. Slowness is how long work takes on its host at the moment, in percent of
// the usual time; zero: not stated.
type Load struct{ Running, Waiting, Slots, Slowness int }

// Cursor is a position in the platform's store. The zero value is the beginning.
type Cursor struct {
	Era    uint64 // of the store, in which it gave out the offset; zero if the store has none
	Offset uint64
	Known  bool // Offset is set
}

// position returns the position in the log of the operator's records.
func (c Cursor) position() evacuation.Position {
	return evacuation.Position{Era: c.Era, Offset: c.Offset}
}

// Update is what the operator has written since a position at the store.
type Update struct {
	Declaration []byte // the newest one; nil if there is none
	// Evacuations are the changes of which data centres are evacuated, in their order. If Listed
	// is set, they are instead all data centres that are evacuated.
	Evacuations []evacuation.Entry
	Listed      bool
	Next        Cursor // the position that follows
}

// Source reads what the operator writes: the declaration and the evacuations of data centres.
type Source interface {
	// Next returns what was written after the cursor. If that is nothing, Next waits for it, for
	// up to the given time.
	Next(ctx context.Context, after Cursor, wait time.Duration) (Update, error)
	// SeeEra records the highest era of the store that a peer has named, and returns the highest
	// one that a peer or any response of the store has named; zero if the store has none.
	// Responses of earlier eras are ignored.
	SeeEra(era uint64) uint64
	// Decode parses and validates a declaration.
	Decode(raw []byte) (*catalog.Catalog, error)
}

// Directory stores the newest record for each key. The store may come back from an older copy,
// in a new era, and lose what it has acknowledged in earlier ones.
type Directory interface {
	Publish(ctx context.Context, key string, record []byte) (era uint64, err error)
	List(ctx context.Context) (records [][]byte, era uint64, err error)
}

// Bounds holds the operator's time limits, retry budget and rate limit tolerance.
type Bounds struct {
	Drain     time.Duration // how long an upstream still serves after it has announced that it is draining
	Heartbeat time.Duration // interval between announcements of an upstream
	Retry     retry.BudgetConfig
	Quota     ratelimit.Tolerance // how far a workspace may exceed its rate limit
	Evacuate  time.Duration       // from the request to evacuate a data centre until its upstreams get no request; zero: data centres are not evacuated
	Cold      ColdTolerance
}

// ColdTolerance states how many requests a cold upstream tolerates in any second: Overage
// times its declared rate, and Slack.
type ColdTolerance struct{ Overage, Slack float64 }

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
	UnsetSettings   string      // optional settings that are present without a value, for the log
	Log             *eventlog.Log
	Metrics         metrics.Registry
	// Announcements returns the handler for announcements of the upstream.
	Announcements func(*Node) http.Handler
	// Ready returns the handler for readiness checks of the platform.
	Ready func(*Node) http.Handler
}
