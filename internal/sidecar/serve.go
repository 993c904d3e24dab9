package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/slots"
)

const (
	// onceFresh is how recently a connection must have been used to carry a
	// request that must not run twice: an upstream that forgot an idle connection
	// resets what comes next, and such a request could not be sent again.
	onceFresh = 500 * time.Millisecond
	// answerGrace is added to the time that an upstream is given, so that its own
	// answer at the deadline arrives.
	answerGrace = 30 * time.Millisecond
)

// work is one request at the serving node.
type work struct {
	hop
	id      string // of the request, as its caller sent it
	request exchange.Request
}

// served is what became of a request at the upstream beside this node.
type served struct {
	answer  *exchange.Response // nil if there is none
	refusal outcome.Refusal
	done    func(whole bool) // ends the request at the gate; set with answer
}

// serveUpstream runs a request at the upstream beside this node.
func (n *Node) serveUpstream(ctx context.Context, w *work) served {
	arrived := n.now()
	deadline := arrived + w.Remaining
	id := n.nextID.Add(1)
	if refusal, ok := n.admit(ctx, id, w, arrived, deadline); !ok {
		return served{refusal: refusal}
	}
	began := n.now()
	n.metrics.queueTime.Update((began - arrived).Microseconds())
	answer, refusal := n.runUpstream(ctx, id, w, deadline)
	if answer == nil {
		n.end(id, w, began, false)
		return served{refusal: refusal}
	}
	return served{answer: answer, done: func(whole bool) { n.end(id, w, began, whole) }}
}

// admit waits until the request may run.
func (n *Node) admit(ctx context.Context, id uint64, w *work, now, deadline time.Duration) (outcome.Refusal, bool) {
	n.mu.Lock()
	if refusal, ok := n.takesWork(w, now); !ok {
		n.mu.Unlock()
		return refusal, false
	}
	n.meter.Arrived(now, w.Level, w.Inner, n.paths.Below(now, w.Route, n.view).Weight(w.Weight, w.Level))
	verdict, reason := n.gate.Arrive(now, slots.Request{
		ID: id, Level: w.Level, Inner: w.Inner, Start: now + w.Wait, Deadline: deadline,
	})
	if verdict != slots.Wait {
		n.mu.Unlock()
		return n.refusal(outcome.NotRun, reason, ""), verdict == slots.Run
	}
	turn := make(chan slots.Decision, 1)
	n.waiters[id] = turn
	n.mu.Unlock()
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	select {
	case step := <-turn:
		return n.refusal(outcome.NotRun, step.Reason, ""), step.Verdict == slots.Run
	case <-timer.C:
		reason = outcome.QueueTimeout
	case <-ctx.Done():
		reason = outcome.CallerGone
	}
	n.mu.Lock()
	delete(n.waiters, id)
	waited := n.gate.Gone(id)
	n.mu.Unlock()
	if !waited {
		// The verdict came at the same moment.
		if step := <-turn; step.Verdict == slots.Run {
			if reason != outcome.CallerGone {
				return outcome.Refusal{}, true
			}
			n.finish(n.now(), false)
		}
	}
	return n.refusal(outcome.NotRun, reason, ""), false
}

// takesWork reports whether new work may go to the upstream. n.mu is held.
func (n *Node) takesWork(w *work, now time.Duration) (outcome.Refusal, bool) {
	switch {
	case w.Target.Host != n.cfg.Self.Node.Host || w.Service != n.cfg.Self.Service:
		return n.refusal(outcome.NotRun, outcome.NoUpstream, "the request is for another node"), false
	case n.tracker.Accepts(now):
		return outcome.Refusal{}, true
	case n.tracker.Phase(now) == roster.Leaving:
		return n.refusal(outcome.NotRun, outcome.Draining, ""), false
	}
	return n.refusal(outcome.NotRun, outcome.NoUpstream, "the upstream is absent"), false
}

// finish gives a slot back, and starts requests that waited for it.
func (n *Node) finish(began time.Duration, answered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.gate.Done(now, now-began, answered)
	n.wake(now)
}

// wake tells waiting requests their verdicts. n.mu is held.
func (n *Node) wake(now time.Duration) {
	for {
		step, ok := n.gate.Next(now)
		if !ok {
			return
		}
		if turn := n.waiters[step.ID]; turn != nil {
			delete(n.waiters, step.ID)
			turn <- step
		}
	}
}

// runUpstream sends the request to the upstream and reads the header of its
// answer.
func (n *Node) runUpstream(ctx context.Context, id uint64, w *work, deadline time.Duration) (*exchange.Response, outcome.Refusal) {
	d := &n.cfg.Dialect
	now := n.now()
	remaining := max((deadline - now).Milliseconds(), 1)
	n.mu.Lock()
	instance := n.tracker.Current().Instance
	n.begin(now, id, w, now+time.Duration(remaining)*time.Millisecond)
	n.mu.Unlock()
	r := w.request
	r.Header = forwardable(r.Header, d.Key, d.Workspace, d.Caller, d.Instance)
	r.Header[d.Remaining] = []string{strconv.FormatInt(remaining, 10)}
	r.Header[d.Caller] = []string{string(w.Caller)}
	if instance != "" {
		r.Header[d.Instance] = []string{instance}
	}
	if w.Workspace != "" {
		r.Header[d.Workspace] = []string{string(w.Workspace)}
	}
	r.Deadline = n.started.Add(deadline + answerGrace)
	if w.Once {
		r.Fresh = onceFresh
	}
	r.Belongs = func(h http.Header) bool {
		echo := h.Get(d.Request)
		return echo == "" || echo == w.id
	}
	answer, err := n.local.Do(ctx, &r)
	if err != nil {
		return nil, n.upstreamFailed(ctx, w, err)
	}
	return n.checkAnswer(w, answer)
}

// upstreamFailed turns a failure into what is known about the request.
func (n *Node) upstreamFailed(ctx context.Context, w *work, err error) outcome.Refusal {
	execution, reason := outcome.MayHaveRun, outcome.UpstreamFailed
	var f *exchange.Failure
	switch {
	case errors.As(err, &f) && !f.Sent && ctx.Err() == nil:
		execution, reason = outcome.NotRun, outcome.ConnectFailed
		n.mu.Lock()
		n.tracker.Refused(n.now())
		n.publishPhase(n.now())
		out := n.roster.Outgoing()
		n.mu.Unlock()
		n.send(out)
	case errors.As(err, &f) && !f.Sent:
		execution, reason = outcome.NotRun, outcome.CallerGone
	case ctx.Err() != nil:
		reason = outcome.CallerGone
	case f != nil && f.Timeout:
		reason = outcome.DeadlineExceeded
	}
	n.metrics.upstreamFailures.Inc(1)
	return n.refusal(execution, reason, err.Error())
}

// checkAnswer tells an answer of the upstream from its refusal to run the
// request.
func (n *Node) checkAnswer(w *work, answer *exchange.Response) (*exchange.Response, outcome.Refusal) {
	d := &n.cfg.Dialect
	misdirected := answer.StatusCode == http.StatusMisdirectedRequest
	if !misdirected && answer.Header.Get(d.Unrun) == "" {
		n.mu.Lock()
		n.tracker.Answered(n.now())
		n.mu.Unlock()
		return answer, outcome.Refusal{}
	}
	status := answer.StatusCode
	_, _ = discard(answer)
	answer.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if misdirected {
		n.tracker.Replaced()
		n.publishPhase(n.now())
		return nil, n.refusal(outcome.NotRun, outcome.Draining, "another upstream answers at the address")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		n.gate.Shed(n.now())
	}
	n.metrics.upstreamSheds.Inc(1)
	return nil, n.refusal(outcome.NotRun, outcome.UpstreamShed, "the upstream answered "+strconv.Itoa(status))
}

// refusal makes a refusal of this node.
func (n *Node) refusal(e outcome.Execution, r outcome.Reason, detail string) outcome.Refusal {
	return outcome.Refusal{Execution: e, Reason: r, Node: string(n.cfg.Self.Node.Host), Detail: detail}
}

// report returns the state of this node for an answer to a request of a route.
func (n *Node) report(route string) report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return report{
		Cut:   n.cut.Tighter(n.paths.Below(n.now(), route, n.view)),
		Load:  routing.Report{InFlight: n.gate.Running(), Queued: n.gate.Queued(), Limit: n.gate.Limit()},
		Phase: n.tracker.Phase(n.now()),
	}
}

// servePeer handles what other nodes send: requests and, by CONNECT, net/rpc.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		n.receive.ServeHTTP(w, r)
		return
	}
	n.open.Add(1)
	defer n.open.Add(-1)
	h, err := parseHop(r.Header.Get(hopHeader))
	if err != nil {
		n.writePeerRefusal(w, "", n.refusal(outcome.NotRun, outcome.BadRequest, err.Error()))
		return
	}
	one := &work{hop: h, id: r.Header.Get(n.cfg.Dialect.Request), request: exchange.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: exchange.Body{Source: r.Body, Length: r.ContentLength},
	}}
	if n.leaving() {
		n.writePeerRefusal(w, h.Route, n.refusal(outcome.NotRun, outcome.Draining, "the node stops"))
		return
	}
	s := n.serveUpstream(r.Context(), one)
	if s.answer == nil {
		n.logPeerRefusal(one, s.refusal)
		n.writePeerRefusal(w, h.Route, s.refusal)
		return
	}
	n.relayToPeer(w, one, s)
}

// leaving reports whether a stopping node has told its peers long enough ago.
func (n *Node) leaving() bool {
	const noticed = 300 * time.Millisecond // in which a rumour reaches the peers
	return n.stoppingFor() > announceStopAfter+noticed
}

// stoppingFor returns the time since the node began to stop, or zero.
func (n *Node) stoppingFor() time.Duration {
	if !n.stopping.Load() {
		return 0
	}
	return n.now() - time.Duration(n.stopAt.Load())
}

func (n *Node) writePeerRefusal(w http.ResponseWriter, route string, r outcome.Refusal) {
	w.Header()[loadHeader] = []string{n.report(route).encode()}
	if err := r.Write(w); err != nil {
		n.metrics.brokenAnswers.Inc(1)
	}
}

func (n *Node) logPeerRefusal(w *work, r outcome.Refusal) {
	kind := eventlog.Refused
	if r.Execution != outcome.NotRun {
		kind = eventlog.Failed
	}
	if !n.cfg.Log.Enabled(kind) {
		return
	}
	rep := n.report(w.Route)
	n.cfg.Log.Write(kind, "serving node refused", "request", w.id, "service", w.Service, "workspace", w.Workspace,
		"rank", w.Level, "inner", w.Inner, "execution", r.Execution.String(), "reason", r.Reason.String(), "detail", r.Detail,
		"running", rep.Load.InFlight, "queued", rep.Load.Queued, "limit", rep.Load.Limit, "remaining_ms", w.Remaining.Milliseconds())
}

// relayToPeer streams the upstream's answer. A connection that breaks tells the
// peer that the answer is not complete.
func (n *Node) relayToPeer(w http.ResponseWriter, one *work, s served) {
	whole := false
	defer func() {
		s.answer.Close()
		s.done(whole)
	}()
	copyHeader(w.Header(), forwardable(s.answer.Header))
	w.Header()[loadHeader] = []string{n.report(one.Route).encode()}
	if s.answer.ContentLength >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(s.answer.ContentLength, 10)}
	}
	w.WriteHeader(s.answer.StatusCode)
	if err := copyAnswer(w, s.answer); err != nil {
		n.metrics.brokenAnswers.Inc(1)
		n.cfg.Log.Write(eventlog.Failed, "answer broke off", "request", one.id, "service", one.Service, "err", err)
		panic(http.ErrAbortHandler)
	}
	whole = true
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // net/http would guess one
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}

// isSelf reports whether the member is this node.
func (n *Node) isSelf(m mesh.Member) bool { return m.Node.Host == n.cfg.Self.Node.Host }
