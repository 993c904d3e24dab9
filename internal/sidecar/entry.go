package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/routing"
)

const (
	// bufferedBody is the largest request body that is held so that it can be
	// sent again; longer ones are streamed to one upstream only.
	bufferedBody = 512 << 10
	// defaultTimeout bounds a request whose caller and route state no time.
	defaultTimeout = 30 * time.Second
	// waitShare is the part of a route's target latency that a request may wait
	// in one queue before it is refused, so that the refusal is still early.
	waitShare = 0.125
	// innerWaitShare is that of a call of a running request: refusing it wastes
	// the work of the request, so it waits for as long as it can still be served.
	innerWaitShare = 0.6
	// timeoutMargin is subtracted from the time of a request, so that an answer of
	// this node still reaches the caller in time.
	timeoutMargin = 20 * time.Millisecond
	// maxExcessDelay bounds how much later callers of a workspace far above its
	// rate come back.
	maxExcessDelay = 3.0
)

// call is one request of a caller at its entry node.
type call struct {
	n         *Node
	w         http.ResponseWriter
	r         *http.Request
	id        string
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace
	service   mesh.Service
	level     pressure.Level
	weight    float64 // inverse of the share with which its level was admitted
	inner     bool    // made by an upstream on behalf of a running request
	ofRepeat  bool    // that request has been sent before
	arrived   time.Duration
	deadline  time.Duration // of the answer
	expires   time.Duration // when the caller stops waiting
	body      []byte
	stream    bool // body is not held, so there is one attempt
	charged   bool // a token of the workspace was taken
	attempts  int  // attempts that may have reached an upstream
	tried     []mesh.NodeID
	peers     string // hosts tried, for the log
}

// serveCaller handles every request on the caller listener.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.open.Add(1)
	defer n.open.Add(-1)
	c := &call{n: n, w: w, r: r, id: r.Header.Get(n.cfg.Dialect.Request), arrived: n.now(), catalog: n.current.Load()}
	if n.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	if refusal, ok := c.accept(); !ok {
		c.refuse(refusal)
		return
	}
	c.run()
}

// accept checks what needs no other node.
func (c *call) accept() (outcome.Refusal, bool) {
	n := c.n
	if c.catalog == nil {
		return n.refusal(outcome.NotRun, outcome.NoConfiguration, ""), false
	}
	if n.stoppingFor() > stopRefusalAfter {
		return n.refusal(outcome.NotRun, outcome.Draining, "the node stops"), false
	}
	if !strings.HasPrefix(c.r.URL.Path, "/") || c.r.Method == http.MethodConnect {
		return n.refusal(outcome.NotRun, outcome.BadRequest, "the request target is not a path"), false
	}
	c.route = c.catalog.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return n.refusal(outcome.NotRun, outcome.NoRoute, ""), false
	}
	c.setDeadline()
	if refusal, ok := c.identify(); !ok {
		return refusal, false
	}
	if limit := c.catalog.Limits.MaxBody; limit > 0 && c.r.ContentLength > limit {
		return n.refusal(outcome.NotRun, outcome.TooLarge, strconv.FormatInt(c.r.ContentLength, 10)), false
	}
	return c.admit()
}

// identify finds the workspace that holds the caller's key.
func (c *call) identify() (outcome.Refusal, bool) {
	keys := c.r.Header[c.n.cfg.Dialect.Key]
	if c.route.Open || len(c.catalog.Workspaces) == 0 {
		c.inner = len(keys) == 0 && c.route.Open
		return outcome.Refusal{}, true
	}
	if len(keys) != 1 {
		return c.n.refusal(outcome.NotRun, outcome.KeyMissing, ""), false
	}
	c.workspace = c.catalog.WorkspaceForKey(keys[0])
	if c.workspace == nil {
		return c.n.refusal(outcome.NotRun, outcome.KeyInvalid, ""), false
	}
	return outcome.Refusal{}, true
}

func (c *call) setDeadline() {
	limit := defaultTimeout
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.n.cfg.Dialect.Remaining), 10, 64); err == nil && ms >= 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.expires = c.arrived + limit
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	c.deadline = c.arrived + limit - timeoutMargin
}

// admit applies the limits of the workspace and of overload.
func (c *call) admit() (outcome.Refusal, bool) {
	n := c.n
	n.mu.Lock()
	c.service = n.splitter.Pick(c.route)
	cut, admitted := c.rank()
	if c.ofRepeat {
		n.budget(c.service).Inherited(n.now(), n.cfg.Bounds.Retry)
	} else {
		n.budget(c.service).First(n.now(), n.cfg.Bounds.Retry)
	}
	n.mu.Unlock()
	if !admitted {
		refusal := n.refusal(outcome.NotRun, outcome.Overloaded, "cut "+cut.String())
		refusal.RetryAfter = c.returnAfter()
		return refusal, false
	}
	if c.workspace == nil {
		return outcome.Refusal{}, true
	}
	if n.take(c.context(), c.workspace.Name) {
		c.charged = true
		return outcome.Refusal{}, true
	}
	n.mu.Lock()
	excess := n.ledger.Excess(c.workspace.Name)
	n.mu.Unlock()
	refusal := n.refusal(outcome.NotRun, outcome.OverRate, "demand of "+strconv.FormatFloat(excess, 'f', 2, 64)+" times the rate")
	refusal.RetryAfter = time.Duration(min(max(excess/2, 1), maxExcessDelay) * float64(c.returnAfter()))
	return refusal, false
}

// run makes attempts until one is answered or no further one makes sense.
func (c *call) run() {
	if err := c.readBody(); err != nil {
		c.refuse(c.n.refusal(outcome.NotRun, outcome.CallerGone, err.Error()))
		return
	}
	execution := outcome.NotRun
	last := c.n.refusal(outcome.NotRun, outcome.NoUpstream, "")
	for {
		target, ok := c.place()
		if !ok {
			c.refuse(last)
			return
		}
		a := c.attempt(target)
		c.ended(target, &a)
		if a.answer != nil {
			refusal, done := c.relay(&a)
			if done {
				return
			}
			a.refusal = refusal
		}
		execution = max(execution, a.refusal.Execution)
		a.refusal.Execution = execution
		last = a.refusal
		if !c.again(&a) {
			c.refuse(a.refusal)
			return
		}
	}
}

// readBody reads a short request body into memory.
func (c *call) readBody() error {
	length := c.r.ContentLength
	if length == 0 {
		return nil
	}
	if length > bufferedBody {
		c.stream = true
		return nil
	}
	if length > 0 {
		c.body = make([]byte, length)
		_, err := io.ReadFull(c.r.Body, c.body)
		return errors.Wrap(err, "read the request body")
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, bufferedBody+1))
	c.body = body
	if err == nil && len(body) > bufferedBody {
		c.stream = true
	}
	return errors.Wrap(err, "read the request body")
}

// attemptBody returns the body of one attempt.
func (c *call) attemptBody() exchange.Body {
	switch {
	case !c.stream:
		return exchange.Body{Source: bytes.NewReader(c.body), Length: int64(len(c.body))}
	case len(c.body) > 0:
		return exchange.Body{Source: io.MultiReader(bytes.NewReader(c.body), c.r.Body), Length: -1}
	}
	return exchange.Body{Source: c.r.Body, Length: c.r.ContentLength}
}

// place chooses the node for the next attempt. A node that has been tried is not
// asked again: what it refused or lost, it would most likely refuse or lose again.
func (c *call) place() (mesh.Member, bool) {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	var exclude mesh.NodeID
	if len(c.tried) > 0 {
		exclude = c.tried[len(c.tried)-1]
	}
	class := mesh.ClassNormal
	if !c.route.Idempotent {
		class = mesh.ClassCritical
	}
	m, reason := n.table.PickFor(n.now(), routing.Request{
		Service: c.service, Route: c.route.Name, Target: c.route.Target, Class: class, Exclude: exclude,
	})
	if reason != outcome.None || slices.Contains(c.tried, m.Node) {
		return mesh.Member{}, false
	}
	n.table.Sent(n.now(), m.Node)
	return m, true
}

// waitLimit is how long the request may wait in the queue of one node.
func (c *call) waitLimit(remaining time.Duration) time.Duration {
	if c.inner {
		return time.Duration(innerWaitShare * float64(remaining))
	}
	limit := time.Duration(waitShare * float64(c.route.Target))
	if limit <= 0 {
		limit = time.Duration(waitShare * float64(remaining))
	}
	return max(min(limit-(c.n.now()-c.arrived), remaining), 0)
}

func (c *call) hop(target mesh.Member) hop {
	remaining := max(c.deadline-c.n.now(), time.Millisecond)
	h := hop{
		Target: target.Node, Service: c.service, Caller: c.n.cfg.Self.Service, Route: c.route.Name, Level: c.level, Weight: c.weight, Inner: c.inner,
		Once: !c.route.Idempotent, Repeat: c.ofRepeat || c.attempts > 0, Remaining: remaining, Wait: c.waitLimit(remaining),
	}
	if c.workspace != nil {
		h.Workspace = c.workspace.Name
	}
	return h
}

// context returns the context of the caller's connection.
func (c *call) context() context.Context { return c.r.Context() }
