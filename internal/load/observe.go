package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cardamomhatch/internal/outcome"
)

// Kind says how a request or an attempt ended.
type Kind uint8

const (
	Complete  Kind = iota // a complete answer was received
	Refused               // refused by a node: the answer has an outcome header
	Failed                // no answer, or a server error without an outcome header
	Truncated             // the connection failed in the middle of the answer
	Dropped               // not sent, MaxInFlight reached
)

// Attempt is one attempt of a request as seen by the client.
type Attempt struct {
	Workspace, Route int // indices in Config
	// Marker is "<seed>.<request>.<attempt>"; it is unique across runs with different
	// seeds.
	Marker     string
	Request    string // "<seed>.<request>", common to the attempts of a request
	Ticketed   bool
	Kind       Kind
	Refusal    outcome.Refusal // if Refused
	Bytes      int64           // length of the response body
	Mismatched bool            // the answer carries the marker of another request
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

func (c *client) requestMarker() string {
	return fmt.Sprintf("%d.%d", c.runner.cfg.Seed, c.arrival.number)
}

func (c *client) attemptMarker() string { return fmt.Sprintf("%s.%d", c.requestMarker(), c.attempts) }

func (c *client) reportAttempt(result attemptResult, header http.Header) {
	observe := c.runner.cfg.OnAttempt
	if observe == nil {
		return
	}
	a := Attempt{
		Workspace: c.arrival.workspace, Route: c.arrival.route,
		Marker: c.attemptMarker(), Request: c.requestMarker(), Ticketed: c.ticket != "",
		Kind: result.kind, Refusal: result.refusal, Bytes: result.bytes,
	}
	if name := c.runner.cfg.MarkerHeader; name != "" && result.kind == complete {
		// A ticket's stored answer carries the marker of an earlier attempt.
		a.Mismatched = !strings.HasPrefix(header.Get(name), a.Request+".")
	}
	observe(a)
}

func (r *runner) reportRequest(a arrival, result attemptResult, latency time.Duration) {
	if r.cfg.OnRequestEnd == nil {
		return
	}
	r.cfg.OnRequestEnd(RequestResult{
		Workspace: a.workspace, Route: a.route, Start: a.at, Latency: latency,
		Kind: result.kind, InTime: result.kind == complete && result.inTime, Refusal: result.refusal,
	})
}
