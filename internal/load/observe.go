package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cardamomhatch/internal/outcome"
)

// Kind is how a request or an attempt ended.
type Kind uint8

// The kinds of ends.
const (
	Complete   Kind = iota // answered, and the answer did not break off
	Refused             // answered with an outcome header
	Failed              // no answer, or a server error without an outcome
	Truncated              // the answer broke off
	Dropped             // not sent, MaxInFlight reached
)

// Attempt is one attempt of a request as its client saw it.
type Attempt struct {
	Workspace, Route int // indices in Config
	// Marker is "<seed>.<request>.<attempt>", unique over runs of different seeds.
	Marker   string
	Request  string // "<seed>.<request>", common to the attempts of a request
	Ticketed bool
	Kind     Kind
	Refusal  outcome.Refusal // if Refused
	Bytes    int64           // of the body
	Foreign  bool            // the answer carries the marker of another request
}

// RequestResult is the end of a request after its last attempt.
type RequestResult struct {
	Workspace, Route int
	Start            time.Time // intended
	Latency          time.Duration
	Kind             Kind
	InTime           bool
	Refusal          outcome.Refusal // if Refused
}

func (c *client) request() string {
	return fmt.Sprintf("%d.%d", c.runner.cfg.Seed, c.arrival.number)
}

func (c *client) marker() string { return fmt.Sprintf("%s.%d", c.request(), c.attempts) }

// report passes an attempt to the observer.
func (c *client) report(end ending, header http.Header) {
	observe := c.runner.cfg.Attempted
	if observe == nil {
		return
	}
	a := Attempt{
		Workspace: c.arrival.workspace, Route: c.arrival.route,
		Marker: c.marker(), Request: c.request(), Ticketed: c.ticket != "",
		Kind: end.kind, Refusal: end.refusal, Bytes: end.bytes,
	}
	if name := c.runner.cfg.MarkerHeader; name != "" && end.kind == whole {
		// A ticket's stored answer carries the marker of an earlier attempt.
		a.Foreign = !strings.HasPrefix(header.Get(name), a.Request+".")
	}
	observe(a)
}

func (r *runner) reportEnd(a arrival, end ending, latency time.Duration) {
	if r.cfg.Ended == nil {
		return
	}
	r.cfg.Ended(RequestResult{
		Workspace: a.workspace, Route: a.route, Start: a.at, Latency: latency,
		Kind: end.kind, InTime: end.kind == whole && end.inTime, Refusal: end.refusal,
	})
}
