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
	"cardamomhatch/internal/shutdown"
)

const (
	// maxBufferedBody is the size in bytes of the largest request body that is buffered
	// in memory so that the request can be retried. Larger bodies are streamed and sent
	// only once.
	maxBufferedBody = 512 << 10
	// defaultTimeout is the time limit of a request for which neither the caller nor the
	// route sets a shorter one.
	defaultTimeout = 30 * time.Second
	// unknownDurationShare is the fraction of its time limit that a nested call is expected to
	// take, at least, if its route has no recent calls.
	unknownDurationShare = 0.5
	// queueWaitShare is the fraction of the route's target latency within which a request
	// must start at an upstream after its arrival at the entry node. It is small so that
	// a request is refused early. If the route declares no target latency, the remaining
	// time is used instead.
	queueWaitShare = 0.125
	// nestedQueueWaitShare is the fraction of the remaining time that a nested call may
	// wait in the queue of one node. It is larger than queueWaitShare because refusing a
	// nested call wastes the work already done for the request that made the call.
	nestedQueueWaitShare = 0.6
	// timeoutMargin is subtracted from the time limit of a request, so that the response
	// of this node reaches the caller before the caller times out.
	timeoutMargin = 20 * time.Millisecond
	// maxRetryAfterFactor caps the factor by which the Retry-After of a workspace above
	// its rate limit is multiplied. The factor grows with the demand, so that a workspace
	// with more demand retries less often: it is half the ratio of the demand at this node
	// to the node's share of the rate, but at least 1.
	maxRetryAfterFactor = 3.0
)

// call is one caller request at the entry node, the node that accepted it.
type call struct {
	node          *Node
	w             http.ResponseWriter
	r             *http.Request
	id            string             // request ID set by the caller
	catalog       *catalog.Catalog   // of the declaration in force at arrival
	route         *catalog.Route     // nil until a route has been found
	workspace     *catalog.Workspace // nil if no key is needed or the key is not accepted
	service       mesh.Service
	level         pressure.Level
	weight        float64 // requests of the level that this one represents: the inverse of the admitted share
	origin        string  // see hop.Origin
	fanout        float64 // see hop.Fanout
	share         float64 // of the requests of its origin and level that is admitted
	byOrigin      bool    // the cut depends on the origin
	booked        bool    // room is booked for the return of this refused request
	nested        bool    // made by an upstream on behalf of a running request
	parentIsRetry bool    // the running request that made this nested call is a retry
	arrived       time.Duration
	deadline      time.Duration // by which the response must be ready
	expires       time.Duration // when the caller stops waiting
	longestWait   time.Duration // in the queues of the short service, from the arrival; zero: waitLimit alone decides
	body          []byte        // buffered part of the request body
	stream        bool          // the body is not buffered completely, so only one attempt is possible
	bodyComplete  bool          // the body was read to its end
	conn          *clientConn   // nil in tests without a listener
	tokenTaken    bool          // a token of the workspace was taken; it is refunded if the request does not run
	attempts      int           // attempts that may have reached an upstream
	triedNodes    []mesh.NodeID
	triedHosts    string // comma-separated, for the log
	wantsCapacity bool   // the node of the next attempt tells the capacity of its upstream
}

// serveCaller handles requests on the caller listener.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	c := &call{node: n, w: w, r: r, id: r.Header.Get(n.cfg.Dialect.RequestID), arrived: n.now(), catalog: n.current.Load(), conn: clientConnOf(r)}
	if n.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	if refusal, ok := c.accept(); !ok {
		c.refuse(refusal)
		return
	}
	c.run()
}

// accept validates the request, identifies its workspace and applies admission
// control. It returns false and the refusal if the request is refused.
func (c *call) accept() (outcome.Refusal, bool) {
	n := c.node
	if c.catalog == nil {
		return n.refusal(outcome.NotRun, outcome.NoConfiguration, ""), false
	}
	if !strings.HasPrefix(c.r.URL.Path, "/") || c.r.Method == http.MethodConnect {
		return n.refusal(outcome.NotRun, outcome.BadRequest, "the request target is not a path"), false
	}
	c.route = c.catalog.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return n.refusal(outcome.NotRun, outcome.NoRoute, ""), false
	}
	c.setDeadline()
	c.limitBodyTime()
	if refusal, ok := c.identify(); !ok {
		return refusal, false
	}
	if p, ok := n.stopProgress(); ok && !shutdown.Accepts(p, c.stopRequest()) {
		return n.stopRefusal(p), false
	}
	if limit := c.catalog.Limits.MaxBody; limit > 0 && c.r.ContentLength > limit {
		return n.refusal(outcome.NotRun, outcome.TooLarge, strconv.FormatInt(c.r.ContentLength, 10)), false
	}
	return c.admit()
}

// stopRequest describes the request to the decision on what a stopping node accepts. Calls of a
// route without recent ones may take much longer than its target latency, which is a goal and no
// bound.
func (c *call) stopRequest() shutdown.Request {
	n := c.node
	now := n.now()
	r := shutdown.Request{Limit: c.deadline - now, Idempotent: c.route.Idempotent, Nested: c.nested}
	if !c.nested {
		return r
	}
	n.mu.Lock()
	r.Expected = n.nestedDurations.Longest(now, c.route.Name)
	n.mu.Unlock()
	if r.Expected == 0 {
		r.Expected = max(c.route.TargetLatency, time.Duration(unknownDurationShare*float64(r.Limit)))
	}
	return r
}

// remaining returns the time left for another attempt.
func (c *call) remaining() time.Duration {
	left := c.deadline - c.node.now()
	if p, ok := c.node.stopProgress(); ok {
		left = shutdown.GrantedTime(p, left)
	}
	return left
}

// identify looks up the workspace that holds the caller's key. Keys are not forwarded to
// upstreams, so an upstream makes its calls without one, on routes that are AuthExempt.
// Every request without a key on such a route therefore counts as a call made by the local
// upstream.
func (c *call) identify() (outcome.Refusal, bool) {
	keys := c.r.Header[c.node.cfg.Dialect.Key]
	if c.route.AuthExempt || len(c.catalog.Workspaces) == 0 {
		c.nested = len(keys) == 0 && c.route.AuthExempt
		return outcome.Refusal{}, true
	}
	if len(keys) != 1 {
		return c.node.refusal(outcome.NotRun, outcome.KeyMissing, ""), false
	}
	c.workspace = c.catalog.WorkspaceForKey(keys[0])
	if c.workspace == nil {
		return c.node.refusal(outcome.NotRun, outcome.KeyInvalid, ""), false
	}
	return outcome.Refusal{}, true
}

// setDeadline sets c.expires from the caller's remaining time, limited to
// defaultTimeout, and c.deadline from the shorter of that time and the route's timeout.
func (c *call) setDeadline() {
	limit := defaultTimeout
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.node.cfg.Dialect.Remaining), 10, 64); err == nil && ms >= 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.expires = c.arrived + limit
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	c.deadline = c.arrived + limit - timeoutMargin
}

// admit applies the overload cut, which refuses the less important requests if the service
// is overloaded, and then the rate limit of the workspace.
func (c *call) admit() (outcome.Refusal, bool) {
	n := c.node
	n.mu.Lock()
	c.service = n.splitter.Pick(c.route)
	cut, admitted := c.assignLevel()
	if c.parentIsRetry {
		// The calls of a retried request count as retries at the services that it calls.
		n.budget(c.service).RecordInherited(n.now(), n.cfg.Bounds.Retry)
	} else {
		n.budget(c.service).RecordFirst(n.now(), n.cfg.Bounds.Retry)
	}
	n.mu.Unlock()
	if !admitted {
		return n.refusal(outcome.NotRun, outcome.Overloaded, c.cutDetail(cut)), false
	}
	if c.workspace == nil {
		return outcome.Refusal{}, true
	}
	if n.takeToken(c.context(), c.workspace.Name) {
		c.tokenTaken = true
		return outcome.Refusal{}, true
	}
	n.mu.Lock()
	demandRatio := n.limiter.DemandRatio(c.workspace.Name)
	n.mu.Unlock()
	refusal := n.refusal(outcome.NotRun, outcome.OverRate, "demand of "+strconv.FormatFloat(demandRatio, 'f', 2, 64)+" times the rate")
	refusal.RetryAfter = time.Duration(min(max(demandRatio/2, 1), maxRetryAfterFactor) * float64(c.retryDelay()))
	return refusal, false
}

// run makes attempts until one gets a response, pickNode finds no node or no retry is
// allowed.
func (c *call) run() {
	if err := c.readBody(); err != nil {
		reason := outcome.CallerGone
		if errors.Is(err, errNoMemoryForBody) {
			reason = outcome.Overloaded
		}
		c.refuse(c.node.refusal(outcome.NotRun, reason, err.Error()))
		return
	}
	if c.r.ContentLength != 0 {
		c.conn.bodyRead()
	}
	if p, ok := c.node.stopProgress(); ok && !shutdown.Forwards(p, c.stopRequest()) {
		c.refuse(c.node.stopRefusal(p))
		return
	}
	execution := outcome.NotRun // of all attempts together; NotRun is the lowest value
	var last outcome.Refusal
	for {
		target, ok := c.pickNode()
		if !ok {
			if len(c.triedNodes) == 0 {
				last = c.noNodeRefusal()
			}
			c.refuse(last)
			return
		}
		a := c.attempt(target)
		c.recordAttempt(target, &a)
		if a.response != nil {
			refusal, done := c.relayResponse(&a)
			if done {
				return
			}
			a.refusal = refusal
		}
		execution = max(execution, a.refusal.Execution)
		a.refusal.Execution = execution
		last = a.refusal
		if !c.shouldRetry(&a) {
			c.refuse(a.refusal)
			return
		}
	}
}

// attemptBody returns the request body for the next attempt. A streamed body is consumed
// by the first attempt.
func (c *call) attemptBody() exchange.Body {
	switch {
	case !c.stream:
		return exchange.Body{Source: bytes.NewReader(c.body), Length: int64(len(c.body))}
	case len(c.body) > 0:
		return exchange.Body{Source: io.MultiReader(bytes.NewReader(c.body), c.r.Body), Length: -1}
	}
	return exchange.Body{Source: c.r.Body, Length: c.r.ContentLength}
}

// pickNode selects the node for the next attempt. Nodes that were tried before are
// not used again, because another attempt there would most likely fail for the same
// reason: pickNode returns false if the routing table selects one of them.
func (c *call) pickNode() (mesh.Member, bool) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	var exclude mesh.NodeID
	if len(c.triedNodes) > 0 {
		exclude = c.triedNodes[len(c.triedNodes)-1]
	}
	// A request that is not idempotent could not be retried if it were lost. It counts as
	// critical here, because the routing table sends no critical request to a node that
	// has not responded since its suspension.
	class := mesh.ClassNormal
	if !c.route.Idempotent {
		class = mesh.ClassCritical
	}
	m, reason := n.table.PickForLatency(n.now(), routing.Request{
		Service: c.service, Route: c.route.Name, TargetLatency: c.route.TargetLatency, Class: class, Exclude: exclude,
	})
	if reason != outcome.None || slices.Contains(c.triedNodes, m.Node) {
		return mesh.Member{}, false
	}
	c.wantsCapacity = n.table.TellsRate(m.Node)
	n.table.RecordSent(n.now(), m.Node)
	return m, true
}

// waitLimit returns how long the request may wait in the queue of one node.
func (c *call) waitLimit(remaining time.Duration) time.Duration {
	if c.nested {
		return time.Duration(nestedQueueWaitShare * float64(remaining))
	}
	limit := time.Duration(queueWaitShare * float64(c.route.TargetLatency))
	if limit <= 0 {
		limit = time.Duration(queueWaitShare * float64(remaining))
	}
	limit = max(limit, c.longestWait)
	return max(min(limit-(c.node.now()-c.arrived), remaining), 0)
}

// hop returns the metadata that is sent with the request to the target node.
func (c *call) hop(target mesh.Member) hop {
	remaining := max(c.remaining(), time.Millisecond)
	h := hop{
		Target: target.Node, Service: c.service, Caller: c.node.cfg.Self.Service, Route: c.route.Name, Level: c.level, Weight: c.weight, Nested: c.nested,
		WantsCapacity: c.wantsCapacity,
		NonIdempotent: !c.route.Idempotent, Retry: c.parentIsRetry || c.attempts > 0, Remaining: remaining, MaxWait: c.waitLimit(remaining), Grace: c.grace() / 2, // the rest is for the way back
		NamedReport: true, Origin: c.origin, Fanout: c.fanout,
	}
	if c.workspace != nil {
		h.Workspace = c.workspace.Name
	}
	return h
}

// context returns the request context, which ends when the caller disconnects.
func (c *call) context() context.Context { return c.r.Context() }
