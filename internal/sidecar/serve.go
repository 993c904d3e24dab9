package sidecar

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/shutdown"
	"cardamomhatch/internal/slots"
	"cardamomhatch/internal/upstream"
)

const (
	// nonIdempotentMaxIdle is the longest idle time of a connection that carries a
	// request which is not idempotent. An upstream that has dropped an idle connection
	// resets it when the next request arrives, and such a request cannot be retried.
	nonIdempotentMaxIdle = 500 * time.Millisecond
	// maxContenders bounds the number of entry nodes that are assumed to send requests to
	// one upstream.
	maxContenders = 32
	// maxPause is the longest time for which an entry node is told to send no request to
	// an upstream whose limit is used up, so that it soon learns when the limit is lifted.
	maxPause = 3 * time.Second
)

// servedRequest is one request at the serving node, the node next to the upstream
// that is to run it.
type servedRequest struct {
	hop
	id      string // request ID set by the caller
	request exchange.Request
	conn    *clientConn // that carries a body that has not been read; nil if there is none
}

// upstreamResult is the result of a request at the local upstream.
type upstreamResult struct {
	response *exchange.Response // nil if there is none
	refusal  outcome.Refusal
	release  func(complete bool) // releases the slot; set if response is not nil
}

// serveUpstream waits for a slot and runs a request at the local upstream.
func (n *Node) serveUpstream(ctx context.Context, req *servedRequest) upstreamResult {
	arrived := n.now()
	deadline := arrived + req.Remaining
	id := n.lastID.Add(1)
	if refusal, ok := n.waitForSlot(ctx, id, req, arrived, deadline); !ok {
		return upstreamResult{refusal: refusal}
	}
	began := n.now()
	n.metrics.queueTime.Update((began - arrived).Microseconds())
	response, refusal := n.runUpstream(ctx, id, req, deadline)
	if response == nil {
		n.recordEnd(id, req, began, false)
		return upstreamResult{refusal: refusal}
	}
	return upstreamResult{response: response, release: func(complete bool) { n.recordEnd(id, req, began, complete) }}
}

// waitForSlot waits in the queue of the gate until the request may run. It returns
// false and the refusal if the request is refused, its wait exceeds req.MaxWait or the
// caller disconnects. id identifies the request at the gate.
func (n *Node) waitForSlot(ctx context.Context, id uint64, req *servedRequest, now, deadline time.Duration) (outcome.Refusal, bool) {
	n.mu.Lock()
	if refusal, ok := n.acceptsRequest(req, now); !ok {
		n.mu.Unlock()
		return refusal, false
	}
	n.refreshCold(now)
	n.recordArrival(now, req)
	verdict, reason := n.gate.Arrive(now, slots.Request{
		ID: id, Level: req.Level, Nested: req.Nested || n.meter.QueuesAsNested(req.Origin, req.Level), LatestStart: now + req.MaxWait, Deadline: deadline,
	})
	if verdict != slots.Wait {
		refusal := n.slotRefusal(reason)
		n.mu.Unlock()
		return refusal, verdict == slots.Run
	}
	decisions := make(chan slots.Decision, 1)
	n.slotWaiters[id] = decisions
	n.mu.Unlock()
	timer := time.NewTimer(req.MaxWait)
	defer timer.Stop()
	if err := req.bufferBody(n.started.Add(deadline)); err != nil {
		reason = outcome.CallerGone
	} else {
		select {
		case decision := <-decisions:
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.slotRefusal(decision.Reason), decision.Verdict == slots.Run
		case <-timer.C:
		case <-ctx.Done():
			reason = outcome.CallerGone
		}
	}
	n.mu.Lock()
	delete(n.slotWaiters, id)
	cancelled := n.gate.Cancel(id)
	if reason == outcome.None {
		reason = n.gate.TimeoutReason()
	}
	refusal := n.slotRefusal(reason)
	n.mu.Unlock()
	if !cancelled {
		// The gate decided just as the wait ended.
		if decision := <-decisions; decision.Verdict == slots.Run {
			if reason != outcome.CallerGone {
				return outcome.Refusal{}, true
			}
			n.releaseSlot(n.now(), false)
		}
	}
	return refusal, false
}

// slotRefusal returns the refusal of a request that gets no slot for the given reason. If
// the upstream's limit is used up, the refusal asks the entry node to stay away for the
// time in which each of the entry nodes gets one request. n.mu must be held.
func (n *Node) slotRefusal(reason outcome.Reason) outcome.Refusal {
	refusal := n.refusal(outcome.NotRun, reason, "")
	if reason == outcome.Evacuated {
		n.metrics.evacuationRefusals.Inc(1)
		refusal.Detail = evacuatedDetail(n.roster.Evacuations())
	}
	if limit := n.gate.RateLimit(); reason == outcome.UpstreamLimited && limit > 0 {
		contenders := float64(min(n.roster.Len(n.now()), maxContenders))
		refusal.RetryAfter = min(time.Duration(contenders/limit*float64(time.Second)), maxPause)
		refusal.Detail = "the upstream takes " + strconv.FormatFloat(limit, 'f', 1, 64) + " requests a second"
		if n.gate.ColdLimit() == limit {
			refusal.RetryAfter = n.coldPause(n.now(), refusal.RetryAfter)
			refusal.Detail += " while it is cold"
		}
	}
	return refusal
}

// acceptsRequest reports whether the request may be sent to the local upstream. n.mu
// must be held.
func (n *Node) acceptsRequest(req *servedRequest, now time.Duration) (outcome.Refusal, bool) {
	refusal, evacuated := n.evacuationRefusal(now)
	switch {
	case req.Target.Host != n.cfg.Self.Node.Host || req.Service != n.cfg.Self.Service:
		return n.refusal(outcome.NotRun, outcome.NoUpstream, "the request is for another node"), false
	case evacuated:
		return refusal, false
	case n.tracker.Accepts(now):
		return outcome.Refusal{}, true
	}
	if refusal, leaving := n.leavingRefusal(now); leaving {
		return refusal, false
	}
	return n.refusal(outcome.NotRun, outcome.NoUpstream, "the upstream is absent"), false
}

// leavingRefusal returns the refusal of a request, also of one that was queued before, because the
// local upstream leaves and gets no more requests; ok is false if there is none. n.mu must be held.
func (n *Node) leavingRefusal(now time.Duration) (r outcome.Refusal, ok bool) {
	if n.tracker.Phase(now) != roster.Leaving || n.tracker.Accepts(now) {
		return outcome.Refusal{}, false
	}
	return n.refusal(outcome.NotRun, outcome.Draining, ""), true
}

// releaseSlot releases the slot of a request and dispatches queued requests.
func (n *Node) releaseSlot(began time.Duration, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.gate.Done(now-began, complete)
	n.refreshCold(now)
	n.dispatchQueued(now)
}

// dispatchQueued delivers the decisions of the gate to queued requests. n.mu must be
// held.
func (n *Node) dispatchQueued(now time.Duration) {
	if _, leaving := n.leavingRefusal(now); leaving {
		n.deliverSlotDecisions(n.gate.Flush(outcome.Draining))
		return
	}
	for {
		decision, ok := n.gate.Next(now)
		if !ok {
			return
		}
		if decisions := n.slotWaiters[decision.ID]; decisions != nil {
			delete(n.slotWaiters, decision.ID)
			decisions <- decision
		}
	}
}

// runUpstream sends the request to the upstream and waits for the header of the
// response.
func (n *Node) runUpstream(ctx context.Context, id uint64, req *servedRequest, deadline time.Duration) (*exchange.Response, outcome.Refusal) {
	d := &n.cfg.Dialect
	now := n.now()
	remaining := max((deadline - now).Milliseconds(), 1)
	n.mu.Lock()
	refusal, ok := n.evacuationRefusal(now) // since the gate has let the request run
	if !ok {
		refusal, ok = n.leavingRefusal(now)
	}
	if ok {
		n.mu.Unlock()
		return nil, refusal
	}
	sentTo := n.tracker.Current()
	n.recordStart(now, id, req, now+time.Duration(remaining)*time.Millisecond)
	start := n.capacityAtStart(now)
	n.mu.Unlock()
	r := req.request
	r.Header = endToEndHeaders(r.Header, d.Key, d.Workspace, d.Caller, d.Instance)
	r.Header[d.Remaining] = []string{strconv.FormatInt(remaining, 10)}
	r.Header[d.Caller] = []string{string(req.Caller)}
	if sentTo.Instance != "" {
		r.Header[d.Instance] = []string{sentTo.Instance}
	}
	if req.Workspace != "" {
		r.Header[d.Workspace] = []string{string(req.Workspace)}
	}
	r.Deadline = n.started.Add(deadline + req.Grace)
	if req.NonIdempotent {
		r.MaxIdle = nonIdempotentMaxIdle
	}
	r.Matches = func(h http.Header) bool {
		echo := h.Get(d.RequestID)
		return echo == "" || echo == req.id
	}
	response, err := n.upstreamPool.Do(ctx, &r)
	if err != nil {
		return nil, n.handleUpstreamError(ctx, now, err)
	}
	n.recordCapacity(req, start, response)
	return n.checkResponse(ctx, now, req, sentTo, response)
}

// handleUpstreamError converts an error of the exchange with the upstream into a
// refusal that states whether the request may have run. If the connection failed, it
// also marks the upstream as down. sentAt is when the request was sent.
//
// An upstream that cannot queue a request may never respond to it, instead of refusing it. It
// answers a slow request at its deadline at the latest, so a silence beyond the deadline, while
// others are answered, counts as a refusal for load, except that the request may have run.
func (n *Node) handleUpstreamError(ctx context.Context, sentAt time.Duration, err error) outcome.Refusal {
	execution, reason := outcome.MayHaveRun, outcome.UpstreamFailed
	var failure *exchange.Failure
	switch {
	case errors.As(err, &failure) && !failure.Sent && ctx.Err() == nil:
		execution, reason = outcome.NotRun, outcome.ConnectFailed
		n.mu.Lock()
		n.tracker.RecordRefusedConnection(n.now())
		n.refreshCold(n.now())
		n.publishPhase(n.now())
		out := n.roster.Outgoing()
		n.mu.Unlock()
		n.send(out)
	case errors.As(err, &failure) && !failure.Sent:
		execution, reason = outcome.NotRun, outcome.CallerGone
	case ctx.Err() != nil:
		reason = outcome.CallerGone
	case failure != nil && failure.Timeout:
		reason = outcome.DeadlineExceeded
		n.mu.Lock()
		if n.tracker.AnsweredSince(sentAt) {
			reason = outcome.UpstreamSilent
			n.gate.RecordShed(n.now())
		}
		n.mu.Unlock()
	case failure != nil: // the upstream may have crashed
		n.mu.Lock()
		n.tracker.RecordReset(n.now())
		n.refreshCold(n.now())
		n.mu.Unlock()
	}
	n.metrics.upstreamFailures.Inc(1)
	return n.refusal(execution, reason, err.Error())
}

// checkResponse returns the response if the upstream ran the request, and a refusal if
// the upstream states that it did not. The statement does not hold if the trailer is malformed.
// The request was sent to the upstream sentTo at the time sentAt.
func (n *Node) checkResponse(ctx context.Context, sentAt time.Duration, req *servedRequest, sentTo upstream.Announcement, response *exchange.Response) (*exchange.Response, outcome.Refusal) {
	d := &n.cfg.Dialect
	status := response.StatusCode
	if response.Header.Get(d.RequestID) == "" {
		if response.Reused {
			// It may be a late copy of an earlier response. That of this request may follow.
			response.Abort()
			n.metrics.upstreamFailures.Inc(1)
			return nil, n.refusal(outcome.MayHaveRun, outcome.UpstreamFailed, "the upstream answered "+strconv.Itoa(status)+" without a request ID on a kept connection")
		}
		response.DoNotReuse() // the next response could not be told from a copy of this one
	}
	misdirected := status == http.StatusMisdirectedRequest
	if !misdirected {
		n.recordRateLimit(response.Header)
		n.recordLeaving(response.Header, sentTo)
	}
	if !misdirected && response.Header.Get(d.NotRun) == "" {
		n.mu.Lock()
		n.tracker.RecordResponse(n.now())
		n.mu.Unlock()
		return response, outcome.Refusal{}
	}
	_, err := discardBody(response)
	response.Close()
	if exchange.IsTrailerError(err) {
		return nil, n.handleUpstreamError(ctx, sentAt, &exchange.Failure{Sent: true, Cause: err})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if misdirected {
		n.tracker.RecordReplacement(sentTo)
		n.publishPhase(n.now())
		return nil, n.refusal(outcome.NotRun, outcome.Draining, "another upstream answers at the address")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		n.gate.RecordShed(n.now())
	}
	n.metrics.upstreamSheds.Inc(1)
	return nil, n.refusal(outcome.NotRun, outcome.UpstreamShed, "the upstream answered "+strconv.Itoa(status))
}

// recordRateLimit records the limit on requests per second that a response of the local
// upstream names, or that it names none.
func (n *Node) recordRateLimit(h http.Header) {
	value := h.Get(n.cfg.Dialect.RateLimit)
	perSecond, ok := n.cfg.Dialect.ParseRateLimit(value)
	if !ok && value != "" {
		return // malformed: neither a limit nor the absence of one
	}
	n.mu.Lock()
	old := n.gate.NamedLimit()
	changed := n.gate.RecordRateLimit(n.now(), perSecond, ok)
	limit := n.gate.NamedLimit()
	n.publishLimited()
	if changed {
		n.updateSpill(n.now())
	}
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
	if changed {
		n.cfg.Log.Write(eventlog.Observation, "upstream limit changed", "per_second", limit, "before", old, "header", value)
	}
}

// recordLeaving records that the local upstream leaves if the response to a request that was
// sent to the given upstream says so.
func (n *Node) recordLeaving(h http.Header, sentTo upstream.Announcement) {
	const leaving = "1"
	if h.Get(n.cfg.Dialect.Leaving) != leaving {
		return
	}
	n.mu.Lock()
	now := n.now()
	n.tracker.RecordLeaving(now, sentTo)
	n.publishPhase(now)
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
}

// updateSpill lets the gate refuse at once what exceeds the limit that the local upstream
// names, unless all upstreams of the service name one. n.mu must be held.
func (n *Node) updateSpill(now time.Duration) {
	if n.gate.RateLimit() == 0 {
		return
	}
	spills := false
	for _, r := range n.roster.Members(now, n.cfg.Self.Service) {
		spills = spills || !r.Limited
	}
	n.gate.SetSpill(spills)
}

// refusal returns a refusal issued by this node.
func (n *Node) refusal(e outcome.Execution, r outcome.Reason, detail string) outcome.Refusal {
	return outcome.Refusal{Execution: e, Reason: r, Node: string(n.cfg.Self.Node.Host), Detail: detail}
}

// report returns the state of this node, to be sent with the response to a request.
func (n *Node) report(h *hop) report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	r := report{
		Cut: n.cut.Tighter(n.callGraph.CalleeCut(now, h.Route, n.cuts)),
		Load: routing.Report{
			InFlight: n.gate.Running(), Queued: n.gate.Queued(), Limit: n.gate.Limit(),
			UsualLatency: n.learner.RouteLatency(now, h.Route), Slowness: n.learner.Slowness(now),
		},
		Phase: n.tracker.Phase(now),

		Evacuated: n.evacuated, EvacuatedAt: n.roster.Evacuations().At(n.cfg.Self.DataCentre),
	}
	r.Origin, r.HasOrigin = n.reportedOrigin(now, h, r.Cut)
	return r
}

// servePeer handles requests from other nodes: forwarded requests and, with CONNECT,
// net/rpc connections.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		n.receiver.ServeHTTP(w, r)
		return
	}
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	h, err := parseHop(r.Header.Get(hopHeader))
	if err != nil {
		n.writePeerRefusal(w, &hop{}, n.refusal(outcome.NotRun, outcome.BadRequest, err.Error()))
		return
	}
	h.parseOrigin(r.Header.Get(originHeader))
	req := &servedRequest{hop: h, id: r.Header.Get(n.cfg.Dialect.RequestID), request: exchange.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: exchange.Body{Source: r.Body, Length: r.ContentLength},
	}}
	if r.ContentLength != 0 {
		req.conn = clientConnOf(r)
	}
	if p, ok := n.stopProgress(); ok && !shutdown.AcceptsFromPeer(p, shutdown.Request{Limit: h.Remaining, Idempotent: !h.NonIdempotent}) {
		n.writePeerRefusal(w, &h, n.stopRefusal(p))
		return
	}
	result := n.serveUpstream(r.Context(), req)
	if result.response == nil {
		n.logPeerRefusal(req, result.refusal)
		n.writePeerRefusal(w, &h, result.refusal)
		return
	}
	n.relayToPeer(w, req, result)
}

// stopProgress returns the state of the stop; ok is false if the node is not stopping.
func (n *Node) stopProgress() (p shutdown.Progress, ok bool) {
	if !n.stopping.Load() {
		return p, false
	}
	p = shutdown.Progress{Elapsed: n.since(&n.stopBegan), Left: math.MaxInt64}
	if ends := time.Duration(n.stopEnds.Load()); ends > 0 {
		p.Left = ends - n.now()
	}
	return p, true
}

// stopRefusal returns the refusal of a request that a stopping node does not accept.
func (n *Node) stopRefusal(p shutdown.Progress) outcome.Refusal {
	detail := "the node stops"
	if p.Left < math.MaxInt64 {
		detail += " in " + strconv.FormatInt(p.Left.Milliseconds(), 10) + " ms at the latest"
	}
	return n.refusal(outcome.NotRun, outcome.Draining, detail)
}

// writePeerRefusal sends a refusal and the state of this node to a peer.
func (n *Node) writePeerRefusal(w http.ResponseWriter, h *hop, r outcome.Refusal) {
	w.Header()[loadHeader] = []string{n.peerReport(h).encode()}
	if r.Reason == outcome.Evacuated {
		r.Reason = outcome.NoUpstream // nodes of earlier versions know it, and others see the report
	}
	if err := r.Write(w); err != nil {
		n.metrics.brokenResponses.Inc(1)
	}
}

func (n *Node) logPeerRefusal(req *servedRequest, r outcome.Refusal) {
	kind := eventlog.Refused
	if r.Execution != outcome.NotRun {
		kind = eventlog.Failed
	}
	if !n.cfg.Log.Enabled(kind) {
		return
	}
	rep := n.report(&req.hop)
	fields := []any{"request", logText(req.id), "service", logText(string(req.Service)), "workspace", logText(string(req.Workspace)),
		"rank", req.Level, "inner", req.Nested, "execution", r.Execution.String(), "reason", r.Reason.String(), "detail", r.Detail,
		"running", rep.Load.InFlight, "queued", rep.Load.Queued, "limit", rep.Load.Limit, "remaining_ms", req.Remaining.Milliseconds()}
	if rep.HasOrigin {
		fields = append(fields, "origin", req.Origin, "cost", rep.Origin.Cost, "short", rep.Origin.Service)
	}
	n.cfg.Log.Write(kind, "serving node refused", fields...)
}

// relayToPeer streams the upstream's response to the peer. If the response is truncated,
// the connection is aborted, so that the peer does not take the response for complete.
func (n *Node) relayToPeer(w http.ResponseWriter, req *servedRequest, result upstreamResult) {
	complete := false
	defer func() {
		result.response.Close()
		result.release(complete)
	}()
	copyHeader(w.Header(), endToEndHeaders(result.response.Header))
	w.Header()[loadHeader] = []string{n.peerReport(&req.hop).encode()}
	if result.response.ContentLength >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(result.response.ContentLength, 10)}
	}
	w.WriteHeader(result.response.StatusCode)
	if err := copyResponse(w, result.response); err != nil {
		n.metrics.brokenResponses.Inc(1)
		n.cfg.Log.Write(eventlog.Failed, "response to peer truncated", "request", logText(req.id), "service", logText(string(req.Service)), "err", err)
		panic(http.ErrAbortHandler)
	}
	complete = true
}

// copyHeader copies header fields. It prevents net/http from adding a Content-Type or a
// Date that the original lacks.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}

// isSelf reports whether the member is the node on this host, in any incarnation.
func (n *Node) isSelf(m mesh.Member) bool { return m.Node.Host == n.cfg.Self.Node.Host }
