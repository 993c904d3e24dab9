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

// State is what is known of a confirmation.
type State string

// The states. Unknown can still become one of the others.
const (
	Accepted State = "accepted"
	Rejected State = "rejected"
	Unknown  State = "unknown"
)

// Result answers a confirmation.
type Result struct {
	State State  `json:"state"`
	Token string `json:"token,omitempty"`
	// Reason is the kind of the fold's verdict (conflict, invalid), or
	// log-unavailable, or drain.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Object, WithRecord and WithToken name the conflicting object and record.
	Object     string  `json:"object,omitempty"`
	WithRecord *uint64 `json:"with_record,omitempty"`
	WithToken  string  `json:"with_token,omitempty"`
	Record     *uint64 `json:"record,omitempty"` // offset of the accepted record
	// PollPath is the path at which to ask again, at any node, while State is unknown.
	PollPath         string      `json:"ask,omitempty"`
	InForce     *InForce    `json:"in_force,omitempty"`
	KeyID       string      `json:"key_id,omitempty"`
	Secret      string      `json:"secret,omitempty"`      // of a key just issued; never shown again
	Unconfirmed []mesh.Host `json:"unconfirmed,omitempty"` // hosts that may not act on it yet
}

// InForce tells how far an accepted record has come.
type InForce struct {
	Nodes   int         `json:"nodes"`   // nodes that say they have it in force
	Queried      int         `json:"of"`      // nodes asked; in a large fleet a sample
	Members int         `json:"members"` // nodes in the log
	Missing []mesh.Host `json:"missing"` // nodes asked that have not said so
}

// Reasons that do not come from the fold.
const (
	reasonLog   = "log-unavailable"
	reasonDrain = "drain"
)

func (v Result) status() int {
	switch v.State {
	case Accepted:
		return http.StatusOK
	case Unknown:
		return http.StatusAccepted
	}
	if v.Reason == reasonLog {
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

func (v Result) answer() (int, any, error) { return v.status(), v, nil }

// folded describes the verdict of the fold on a record.
func folded(token config.Token, offset uint64, v config.Verdict) Result {
	out := Result{State: Accepted, Token: token.String(), Record: &offset}
	if v.Kind == config.Accepted || v.Kind == config.Duplicate {
		return out
	}
	out.State, out.Reason, out.Detail, out.Object = Rejected, v.Kind.String(), v.String(), v.Object
	if v.Kind == config.Conflict {
		out.WithRecord = &v.Offset
	}
	if v.Token != (config.Token{}) {
		out.WithToken = v.Token.String()
	}
	return out
}

// lookUp returns the verdict on a token if its record is folded here.
func (a *api) lookUp(token config.Token) (v Result, found bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		var offset uint64
		var verdict config.Verdict
		if offset, verdict, found = n.State().FindByToken(token); found {
			v = folded(token, offset, verdict)
		}
	})
	return v, found
}

// propose appends a record and returns what is known of it.
func (a *api) propose(ctx context.Context, token config.Token, data []byte) Result {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	d, err := a.cfg.Node.Propose(ctx, token.String(), data)
	if v, found := a.lookUp(token); found {
		return v
	}
	if err != nil {
		return undecided(token, "the node has not answered: "+err.Error())
	}
	if d.Undecided || d.Accepted {
		return undecided(token, d.Reason)
	}
	return Result{State: Rejected, Token: token.String(), Reason: reasonLog, Detail: d.Reason}
}

func undecided(token config.Token, detail string) Result {
	return Result{
		State: Unknown, Token: token.String(), Reason: reasonLog, Detail: detail,
		PollPath: "/v1/proposals/" + token.String(),
	}
}

// proposal tells what became of the record with a token.
func (a *api) proposal(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	token, err := config.ParseToken(r.PathValue("token"))
	if err != nil {
		return 0, nil, fail(http.StatusBadRequest, CodeBadRequest, "the token is not %d hexadecimal digits", 2*len(token))
	}
	if v, found := a.lookUp(token); found {
		return v.answer()
	}
	return undecided(token, fmt.Sprintf("no record with this token is among the last %d folded here; "+
		"if the log is behind, ask again; to confirm the same plan again is safe, it takes effect at most once", config.Window)).answer()
}

// Intervals between questions to the members that do not have a record yet.
const (
	minAskInterval = 20 * time.Millisecond
	maxAskInterval = time.Second
)

// awaitInForce asks the other members until all have folded the record at
// offset or the wait is over.
func (a *api) awaitInForce(ctx context.Context, offset uint64, wait time.Duration) *InForce {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	interval := minAskInterval
	for {
		a.cfg.Node.Step(&engine.StatusRequested{Offset: offset})
		done := !pause(ctx, interval)
		state := a.inForce(offset)
		if done || len(state.Missing) == 0 {
			return state
		}
		interval = min(2*interval, maxAskInterval)
	}
}

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
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
	f := &InForce{Missing: []mesh.Host{}}
	a.cfg.Node.View(func(n *engine.Node) {
		asked, missing := n.InForce(offset)
		f.Nodes, f.Queried, f.Members = asked-len(missing), asked, n.Report().Members
		f.Missing = append(f.Missing, missing...)
	})
	return f
}
