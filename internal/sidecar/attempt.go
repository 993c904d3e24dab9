package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/routing"
)

const (
	// maxGrace is the longest time beyond the deadline of a request for which this node
	// waits for the response.
	maxGrace = 60 * time.Millisecond
	// responseMargin is the part of timeoutMargin that is left for the way of the response to
	// the caller.
	responseMargin = 4 * time.Millisecond
	// maxNodesTried limits the nodes tried for one request. Attempts that may have
	// reached an upstream do not count.
	maxNodesTried = 3
	// minRemaining is the least time before the deadline at which another attempt
	// is made; with less, it could not complete.
	minRemaining = 15 * time.Millisecond
)

// attempt is the result of sending a request to one node.
type attempt struct {
	target    mesh.Member
	response  *exchange.Response
	refusal   outcome.Refusal
	report    report // valid if hasReport is set
	hasReport bool
	release   func(complete bool) // releases the upstream slot; set for local attempts only
	began     time.Duration
}

// attempt sends the request to the target node. If that is this node, the request
// goes directly to the local upstream.
func (c *call) attempt(target mesh.Member) attempt {
	n := c.node
	h := c.hop(target)
	c.triedNodes = append(c.triedNodes, target.Node)
	if c.triedHosts != "" {
		c.triedHosts += ","
	}
	c.triedHosts += string(target.Node.Host)
	a := attempt{target: target, began: n.now()}
	request := exchange.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.r.Header, Body: c.attemptBody(),
	}
	if n.isSelf(target) {
		result := n.serveUpstream(c.context(), &servedRequest{hop: h, id: c.id, request: request})
		a.response, a.refusal, a.release = result.response, result.refusal, result.release
		a.report, a.hasReport = n.report(&h), true
		return a
	}
	c.forward(&a, h, request)
	return a
}

// grace returns how long beyond the deadline this node waits for a response that was sent at
// the deadline. If the route's timeout ends the request, the caller still waits, too.
func (c *call) grace() time.Duration {
	return min(c.expires-c.deadline-responseMargin, maxGrace)
}

// forward sends the request to a peer and stores the outcome in a.
func (c *call) forward(a *attempt, h hop, r exchange.Request) {
	n := c.node
	r.Header = endToEndHeaders(r.Header, n.cfg.Dialect.Key)
	r.Header[hopHeader] = []string{h.encode()}
	if value := h.encodeOrigin(); value != "" {
		r.Header[originHeader] = []string{value}
	}
	r.Deadline = n.started.Add(c.deadline + c.grace())
	n.mu.Lock()
	pool := n.pool(a.target.PeerAddress)
	n.mu.Unlock()
	response, err := pool.Do(c.context(), &r)
	if err != nil {
		a.refusal = c.forwardRefusal(err)
		return
	}
	a.report, a.hasReport = parseReport(response.Header)
	if refusal, ok := outcome.Parse(response.Header); ok {
		_, err := discardBody(response)
		response.Close()
		if exchange.IsTrailerError(err) {
			a.refusal = c.forwardRefusal(err)
			return
		}
		if a.report.Evacuated && refusal.Execution == outcome.NotRun && refusal.Reason == outcome.NoUpstream {
			refusal.Reason, refusal.Detail = outcome.Evacuated, "evacuated data centre: "+string(a.target.DataCentre)
		}
		a.refusal = refusal
		return
	}
	a.response = response
}

// forwardRefusal converts an error of forwarding to a peer into a refusal. If the
// request was sent, it may have run.
func (c *call) forwardRefusal(err error) outcome.Refusal {
	var failure *exchange.Failure
	if !errors.As(err, &failure) {
		failure = &exchange.Failure{Sent: true, Cause: err}
	}
	execution, reason := outcome.MayHaveRun, outcome.PeerLost
	if !failure.Sent {
		execution, reason = outcome.NotRun, outcome.ConnectFailed
	}
	switch {
	case c.context().Err() != nil:
		reason = outcome.CallerGone
	case failure.Timeout && failure.Sent:
		reason = outcome.DeadlineExceeded
	}
	return c.node.refusal(execution, reason, err.Error())
}

// recordAttempt updates the attempt count, the routing table and the table of overload
// cuts with the result of an attempt, before its response is relayed.
func (c *call) recordAttempt(target mesh.Member, a *attempt) {
	n := c.node
	if a.response != nil || a.refusal.Execution != outcome.NotRun || a.refusal.Reason == outcome.UpstreamShed {
		c.attempts++
	}
	sample := routing.Sample{Latency: n.now() - a.began, Route: c.route.Name, Bytes: int64(len(c.body))}
	if a.hasReport && !a.report.Evacuated {
		sample.Report = a.report.Load
	}
	switch {
	case a.response != nil && a.response.StatusCode < http.StatusInternalServerError:
		sample.Result = routing.OK
		sample.Bytes += max(a.response.ContentLength, 0)
	case a.response != nil:
		sample.Result = routing.Failed
	default:
		sample.Result = routingResult(a.refusal)
	}
	if a.refusal.Reason == outcome.UpstreamLimited {
		// The pause is meant for this node. Other upstreams may take the caller's retry earlier.
		sample.Pause, a.refusal.RetryAfter = a.refusal.RetryAfter, 0
	}
	if a.refusal.Reason == outcome.Evacuated {
		sample.Pause = evacuatedPause
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordEnd(n.now(), target.Node, sample)
	switch {
	case a.report.Evacuated:
		n.learnEvacuation(n.now(), target, a.report.EvacuatedAt)
	case a.hasReport:
		n.cuts.Observe(n.now(), c.cutTarget(), a.report.Cut)
		n.cuts.ObserveOrigin(n.now(), c.cutTarget(), c.origin, a.report.Origin, a.report.HasOrigin)
	}
}

// routingResult maps a refusal to the result that the routing table records.
func routingResult(r outcome.Refusal) routing.Result {
	switch r.Reason {
	case outcome.CallerGone:
		return routing.Cancelled
	case outcome.Overloaded, outcome.QueueTimeout, outcome.UpstreamShed, outcome.UpstreamSilent:
		return routing.Refused
	case outcome.UpstreamLimited, outcome.Evacuated: // neither says anything about the latency
		return routing.Limited
	case outcome.Draining, outcome.NoUpstream:
		return routing.NotServing
	case outcome.ConnectFailed, outcome.PeerLost:
		return routing.Lost
	}
	return routing.Failed
}

// shouldRetry reports whether the request is to be sent to another node. An attempt
// that did not reach an upstream does not count against the retry budget.
func (c *call) shouldRetry(a *attempt) bool {
	r := a.refusal
	if c.context().Err() != nil || c.stream || c.remaining() < minRemaining {
		return false
	}
	switch r.Reason {
	case outcome.CallerGone, outcome.DeadlineExceeded, outcome.UpstreamSilent, outcome.BadRequest:
		return false
	}
	if len(c.triedNodes) >= maxNodesTried+c.attempts {
		return false
	}
	if r.Execution == outcome.NotRun && r.Reason != outcome.UpstreamShed {
		return true
	}
	return c.allowRetry(r.Execution)
}

// allowRetry reports whether a request that has reached an upstream may be sent
// again. If so, allowRetry charges the retry to the budget of the service. The budget is
// this node's share of a bound for the whole fleet, so it depends on the number of nodes.
// Requests of less important classes may use less of it.
func (c *call) allowRetry(e outcome.Execution) bool {
	n := c.node
	if e != outcome.NotRun && !c.route.Idempotent || (c.route.MaxAttempts > 0 && c.attempts >= c.route.MaxAttempts) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := 0 // size of the fleet; zero: not known
	if n.storeListed {
		nodes = n.roster.Len(n.now())
	}
	ok := n.budget(c.service).Allow(n.now(), n.cfg.Bounds.Retry, nodes, c.level.RouteClass())
	if ok {
		n.metrics.retries.Inc(1)
	}
	return ok
}

// relayResponse sends the response to the caller. If reading the response fails before
// anything was sent to the caller, done is false and the refusal states the cause. If
// streaming fails later, relayResponse panics with http.ErrAbortHandler to abort the
// caller's connection.
func (c *call) relayResponse(a *attempt) (refusal outcome.Refusal, done bool) {
	n := c.node
	complete, ended := false, false
	end := func() {
		if ended {
			return
		}
		ended = true
		a.response.Close()
		if a.release != nil {
			a.release(complete)
		}
	}
	defer end()
	body, buffered, err := bufferResponse(a.response, c.conn)
	if err != nil {
		n.metrics.brokenResponses.Inc(1)
		reason := outcome.AnswerCut
		if c.context().Err() != nil {
			reason = outcome.CallerGone
		}
		return n.refusal(outcome.MayHaveRun, reason, err.Error()), false
	}
	copyHeader(c.w.Header(), endToEndHeaders(a.response.Header))
	if buffered {
		// A caller that reads slowly must not hold a slot of the upstream.
		complete = true
		end()
	} else {
		c.limitAnswerTime()
	}
	switch {
	case buffered && (c.r.Method != http.MethodHead):
		c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	case a.response.ContentLength >= 0:
		c.w.Header()["Content-Length"] = []string{strconv.FormatInt(a.response.ContentLength, 10)}
	}
	c.w.WriteHeader(a.response.StatusCode)
	if _, err = c.w.Write(body); err == nil && !buffered {
		err = copyResponse(c.w, a.response)
	}
	c.logResponse(a, err)
	if err != nil && !buffered {
		n.metrics.brokenResponses.Inc(1)
		panic(http.ErrAbortHandler)
	}
	complete = true
	c.recordAnswer()
	if c.nested {
		n.mu.Lock()
		n.nestedDurations.Record(n.now(), c.route.Name, n.now()-c.arrived)
		n.mu.Unlock()
	}
	return outcome.Refusal{}, true
}
