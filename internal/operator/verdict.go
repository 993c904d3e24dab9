package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
)

// State is the state of a confirmation.
type State string

// States of a confirmation. Unknown can still become Accepted or Rejected.
const (
	Accepted State = "accepted"
	Rejected State = "rejected"
	Unknown  State = "unknown"
)

// Result is the response to a confirmation.
type Result struct {
	State State  `json:"state"`
	Token string `json:"token,omitempty"`
	// Reason is the kind of the configuration's verdict on the record (conflict,
	// invalid), or log-unavailable, or drain.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Object, ConflictRecord and ConflictToken identify the object in conflict and
	// the record with which the confirmation conflicts.
	Object         string  `json:"object,omitempty"`
	ConflictRecord *uint64 `json:"with_record,omitempty"`
	ConflictToken  string  `json:"with_token,omitempty"`
	Record         *uint64 `json:"record,omitempty"` // log offset of the accepted record
	// PollPath is the path to poll, at any node, while State is unknown.
	PollPath    string      `json:"ask,omitempty"`
	InForce     *InForce    `json:"in_force,omitempty"`
	KeyID       string      `json:"key_id,omitempty"`
	Secret      string      `json:"secret,omitempty"`      // secret of a newly issued key; returned only once
	Unconfirmed []mesh.Host `json:"unconfirmed,omitempty"` // hosts that have not acknowledged the change
}

// InForce reports how many nodes have applied an accepted record.
type InForce struct {
	Nodes   int         `json:"nodes"`   // queried nodes that have applied the record
	Queried int         `json:"of"`      // nodes queried; a sample in a large fleet
	Members int         `json:"members"` // members of the mesh
	Missing []mesh.Host `json:"missing"` // queried nodes that have not reported the record as applied
}

// Values of Result.Reason besides the kinds of a configuration verdict.
const (
	// This node has no verdict on the record. If the result is rejected, the log did not
	// take the record from this node; if it is unknown, the log may contain the record.
	reasonLogUnavailable = "log-unavailable"
	reasonDrain          = "drain" // for drains, which have no record in the log
)

func (r Result) status() int {
	switch r.State {
	case Accepted:
		return http.StatusOK
	case Unknown:
		return http.StatusAccepted
	}
	if r.Reason == reasonLogUnavailable {
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

func (r Result) response() (int, any, error) { return r.status(), r, nil }

// newResult converts the configuration's verdict on the record at offset.
func newResult(token config.Token, offset uint64, verdict config.Verdict) Result {
	result := Result{State: Accepted, Token: token.String(), Record: &offset}
	if verdict.Kind == config.Accepted || verdict.Kind == config.Duplicate {
		return result
	}
	result.State, result.Reason, result.Detail, result.Object = Rejected, verdict.Kind.String(), verdict.String(), verdict.Object
	if verdict.Kind == config.Conflict {
		result.ConflictRecord = &verdict.Offset
	}
	if verdict.Token != (config.Token{}) {
		result.ConflictToken = verdict.Token.String()
	}
	return result
}

// lookUp returns the result for a token if this node has applied its record.
func (a *api) lookUp(token config.Token) (result Result, found bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		var offset uint64
		var verdict config.Verdict
		if offset, verdict, found = n.State().FindByToken(token); found {
			result = newResult(token, offset, verdict)
		}
	})
	return result, found
}

// propose appends a record to the log and returns its result, which is unknown if
// no decision arrives in time.
func (a *api) propose(ctx context.Context, token config.Token, data []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	decision, err := a.cfg.Node.Propose(ctx, token.String(), data)
	if result, found := a.lookUp(token); found {
		return result
	}
	if err != nil {
		return unknownResult(token, "the node has not answered: "+err.Error())
	}
	// A record that was accepted but is no longer found must not be reported as rejected.
	if decision.Undecided || decision.Accepted {
		return unknownResult(token, decision.Reason)
	}
	return Result{State: Rejected, Token: token.String(), Reason: reasonLogUnavailable, Detail: decision.Reason}
}

func unknownResult(token config.Token, detail string) Result {
	return Result{
		State: Unknown, Token: token.String(), Reason: reasonLogUnavailable, Detail: detail,
		PollPath: "/v1/proposals/" + token.String(),
	}
}

// proposal returns the result for a token.
func (a *api) proposal(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	token, err := config.ParseToken(r.PathValue("token"))
	if err != nil {
		return 0, nil, newError(http.StatusBadRequest, CodeBadRequest, "the token is not %d hexadecimal digits", 2*len(token))
	}
	if result, found := a.lookUp(token); found {
		return result.response()
	}
	return unknownResult(token, fmt.Sprintf("no record with this token is among the last %d folded here; "+
		"if the log is behind, ask again; to confirm the same plan again is safe, it takes effect at most once", config.Window)).response()
}

// Bounds of the interval between status queries to members that have not yet
// applied a record; the interval doubles after each query. queryMembers sends one
// query and checks for the responses every minQueryInterval.
const (
	minQueryInterval = 20 * time.Millisecond
	maxQueryInterval = time.Second
)

// awaitInForce queries the other members until all have applied the record at
// offset, or until the wait time has passed.
func (a *api) awaitInForce(ctx context.Context, offset uint64, wait time.Duration) *InForce {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	interval := minQueryInterval
	for {
		a.cfg.Node.Step(&engine.StatusRequested{Offset: offset})
		done := !sleep(ctx, interval)
		progress := a.inForce(offset)
		if done || len(progress.Missing) == 0 {
			return progress
		}
		interval = min(2*interval, maxQueryInterval)
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *api) inForce(offset uint64) *InForce {
	progress := &InForce{Missing: []mesh.Host{}}
	a.cfg.Node.View(func(n *engine.Node) {
		queried, missing := n.MembersWithout(offset)
		progress.Nodes, progress.Queried, progress.Members = queried-len(missing), queried, n.Report().Members
		progress.Missing = append(progress.Missing, missing...)
	})
	return progress
}
