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
	// hopGrace is added to the time of an attempt, so that the serving node's
	// statement whether the request ran arrives before this node gives up.
	hopGrace = 15 * time.Millisecond
	// maxPlacements bounds the nodes that are asked for one request.
	maxPlacements = 3
	// leastRemaining is the time below which another attempt is pointless.
	leastRemaining = 15 * time.Millisecond
	// stopRefusalAfter is the time from SIGTERM after which new requests are
	// refused: they would not end before the process does.
	stopRefusalAfter = 2800 * time.Millisecond
)

// attempt is the result of sending a request to one node.
type attempt struct {
	target  mesh.Member
	answer  *exchange.Response
	refusal outcome.Refusal
	report  report
	known   bool             // report is set
	done    func(whole bool) // of a local attempt
	began   time.Duration
}

// attempt sends the request to a node, which may be this one.
func (c *call) attempt(target mesh.Member) attempt {
	n := c.n
	h := c.hop(target)
	c.tried = append(c.tried, target.Node)
	if c.peers != "" {
		c.peers += ","
	}
	c.peers += string(target.Node.Host)
	a := attempt{target: target, began: n.now()}
	request := exchange.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.r.Header, Body: c.attemptBody(),
	}
	if n.isSelf(target) {
		s := n.serveUpstream(c.context(), &work{hop: h, id: c.id, request: request})
		a.answer, a.refusal, a.done = s.answer, s.refusal, s.done
		a.report, a.known = n.report(h.Route), true
		return a
	}
	c.forward(&a, h, request)
	return a
}

// forward sends the request to a peer.
func (c *call) forward(a *attempt, h hop, r exchange.Request) {
	n := c.n
	r.Header = forwardable(r.Header, n.cfg.Dialect.Key)
	r.Header[hopHeader] = []string{h.encode()}
	r.Deadline = n.started.Add(c.deadline + hopGrace)
	n.mu.Lock()
	pool := n.pool(a.target.PeerAddress)
	n.mu.Unlock()
	answer, err := pool.Do(c.context(), &r)
	if err != nil {
		a.refusal = c.forwardFailed(err)
		return
	}
	a.report, a.known = parseReport(answer.Header)
	if refusal, ok := outcome.Parse(answer.Header); ok {
		_, _ = discard(answer)
		answer.Close()
		a.refusal = refusal
		return
	}
	a.answer = answer
}

func (c *call) forwardFailed(err error) outcome.Refusal {
	var f *exchange.Failure
	if !errors.As(err, &f) {
		f = &exchange.Failure{Sent: true, Cause: err}
	}
	execution, reason := outcome.MayHaveRun, outcome.PeerLost
	if !f.Sent {
		execution, reason = outcome.NotRun, outcome.ConnectFailed
	}
	switch {
	case c.context().Err() != nil:
		reason = outcome.CallerGone
	case f.Timeout && f.Sent:
		reason = outcome.DeadlineExceeded
	}
	return c.n.refusal(execution, reason, err.Error())
}

// ended records the result of an attempt.
func (c *call) ended(target mesh.Member, a *attempt) {
	n := c.n
	if a.answer != nil || a.refusal.Execution != outcome.NotRun || a.refusal.Reason == outcome.UpstreamShed {
		c.attempts++
	}
	sample := routing.Sample{Latency: n.now() - a.began, Route: c.route.Name, Bytes: int64(len(c.body))}
	if a.known {
		sample.Report = a.report.Load
	}
	switch {
	case a.answer != nil && a.answer.StatusCode < http.StatusInternalServerError:
		sample.Result = routing.OK
		sample.Bytes += max(a.answer.ContentLength, 0)
	case a.answer != nil:
		sample.Result = routing.Failed
	default:
		sample.Result = resultOf(a.refusal)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordEnd(n.now(), target.Node, sample)
	if a.known {
		n.view.Observe(n.now(), c.target(), a.report.Cut)
	}
}

func resultOf(r outcome.Refusal) routing.Result {
	switch r.Reason {
	case outcome.CallerGone:
		return routing.Cancelled
	case outcome.Overloaded, outcome.QueueTimeout, outcome.UpstreamShed:
		return routing.Refused
	case outcome.Draining, outcome.NoUpstream:
		return routing.NotServing
	case outcome.ConnectFailed, outcome.PeerLost:
		return routing.Lost
	}
	return routing.Failed
}

// again decides whether the request is sent to another node.
func (c *call) again(a *attempt) bool {
	r := a.refusal
	if c.context().Err() != nil || c.stream || c.deadline-c.n.now() < leastRemaining {
		return false
	}
	switch r.Reason {
	case outcome.CallerGone, outcome.DeadlineExceeded, outcome.BadRequest:
		return false
	}
	if len(c.tried) >= maxPlacements+c.attempts {
		return false
	}
	if r.Execution == outcome.NotRun && r.Reason != outcome.UpstreamShed {
		return true
	}
	return c.repeat(r.Execution)
}

// repeat decides whether a request that has reached an upstream is sent once
// more.
func (c *call) repeat(e outcome.Execution) bool {
	n := c.n
	if e != outcome.NotRun && !c.route.Idempotent || (c.route.MaxAttempts > 0 && c.attempts >= c.route.MaxAttempts) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := 0
	if n.listed {
		nodes = n.roster.Len()
	}
	ok := n.budget(c.service).Allow(n.now(), n.cfg.Bounds.Retry, nodes, c.level.RouteClass())
	if ok {
		n.metrics.repeats.Inc(1)
	}
	return ok
}

// relay sends the answer to the caller. If it breaks off before anything was
// sent, done is false and the refusal says so.
func (c *call) relay(a *attempt) (refusal outcome.Refusal, done bool) {
	n := c.n
	whole := false
	defer func() {
		a.answer.Close()
		if a.done != nil {
			a.done(whole)
		}
	}()
	body, complete, err := hold(a.answer)
	if err != nil {
		n.metrics.brokenAnswers.Inc(1)
		reason := outcome.AnswerCut
		if c.context().Err() != nil {
			reason = outcome.CallerGone
		}
		return n.refusal(outcome.MayHaveRun, reason, err.Error()), false
	}
	copyHeader(c.w.Header(), forwardable(a.answer.Header))
	switch {
	case complete && (c.r.Method != http.MethodHead):
		c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	case a.answer.ContentLength >= 0:
		c.w.Header()["Content-Length"] = []string{strconv.FormatInt(a.answer.ContentLength, 10)}
	}
	c.w.WriteHeader(a.answer.StatusCode)
	if _, err = c.w.Write(body); err == nil && !complete {
		err = copyAnswer(c.w, a.answer)
	}
	c.logAnswer(a, err)
	if err != nil && !complete {
		n.metrics.brokenAnswers.Inc(1)
		panic(http.ErrAbortHandler)
	}
	whole = true
	return outcome.Refusal{}, true
}
