package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/peer"
)

// forwardGrace is added to the remaining time of a forwarded call. It lets the
// serving node's refusal, which states whether the call ran, arrive before the
// entry node times out without that information.
const forwardGrace = 50 * time.Millisecond

// maxHeldBody bounds the memory for the body of a response that states that the call did
// not run, in bytes.
const maxHeldBody = 16 << 10

// attempt is one request to a peer or to the local upstream.
type attempt struct {
	number     int // assigned by the state machine
	url        url.URL
	header     http.Header
	timeout    time.Duration // until the end of the response body
	transport  *exchange.StrictTransport
	toPeer     bool           // the request goes to a peer, not to the local upstream
	lostReason outcome.Reason // reported if the connection fails after the request may have been sent
}

// forward sends the call to the peer listener of another node.
func (c *call) forward(e *engine.Effect) {
	if c.failIfExpired(e) {
		return
	}
	header := c.attemptHeader()
	header[engine.HopHeader] = []string{e.Hop.Encode()}
	header[peer.FromHeader] = []string{peer.FormatNode(c.node.cfg.Self)}
	target := c.target
	target.Scheme, target.Host = c.node.forwarder.resolve(e.Member)
	c.sendAttempt(&attempt{
		number:     e.Attempt,
		url:        target,
		header:     header,
		timeout:    e.Hop.Remaining + forwardGrace,
		transport:  c.node.forwarder.transport,
		toPeer:     true,
		lostReason: outcome.PeerLost,
	})
}

// run sends the call to the local upstream.
func (c *call) run(e *engine.Effect) {
	if c.failIfExpired(e) {
		return
	}
	up := c.node.upstream.Load()
	if up == nil {
		c.reportFailure(e.Attempt, outcome.NotRun, outcome.ConnectFailed)
		return
	}
	workspace := e.Hop.Workspace
	if workspace == "" { // a Machine may omit it for a forwarded call
		workspace = c.workspace
	}
	header := c.attemptHeader()
	header[engine.CallHeader] = []string{e.Token.String()}
	header[engine.WorkspaceHeader] = []string{string(workspace)}
	header[engine.TimeoutHeader] = []string{formatMilliseconds(e.Remaining)}
	c.sendAttempt(&attempt{
		number:     e.Attempt,
		url:        up.target(c.target),
		header:     header,
		timeout:    e.Remaining,
		transport:  up.transport,
		lostReason: outcome.UpstreamFailed,
	})
}

// failIfExpired reports the attempt as failed, and returns true, if more than
// engine.MaxDecisionAge has passed since the decision, for example because the
// process was paused. Meanwhile the key can have been withdrawn or the quota credit
// of the call can have expired.
func (c *call) failIfExpired(e *engine.Effect) bool {
	if c.node.now()-e.At <= engine.MaxDecisionAge {
		return false
	}
	c.reportFailure(e.Attempt, outcome.NotRun, outcome.DecisionExpired)
	return true
}

// attemptHeader returns the header for the next attempt without the internal
// headers of earlier ones. The first attempt uses the call's own header. Later
// attempts use a copy, because a cancelled attempt may still be reading its
// header.
func (c *call) attemptHeader() http.Header {
	if !c.headerUsed {
		c.headerUsed = true
		return c.header
	}
	out := make(http.Header, len(c.header))
	for name, values := range c.header {
		if !isInternalHeader(name) && name != "Expect" {
			out[name] = values
		}
	}
	return out
}

// sendAttempt sends one request and reports its response header or its failure.
func (c *call) sendAttempt(a *attempt) {
	c.discardPending()
	if err := c.upload.readIntoMemory(c.w, a.timeout); err != nil {
		c.reportFailure(a.number, outcome.NotRun, outcome.CallerGone)
		return
	}
	deadline := time.Now().Add(a.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	tracker := &sendTracker{}
	request, stream := c.newRequest(ctx, a)
	stopAbandon := func() bool { return true }
	if c.stream = stream; stream != nil {
		stopAbandon = context.AfterFunc(ctx, func() { stream.abandon(c.w) })
	}
	c.setCancel(cancel)
	resp, err := a.transport.RoundTripTraced(request, tracker.gotConn(cancel))
	if err == nil && len(resp.TransferEncoding) > 0 && a.statesNotRun(resp) {
		if err = checkTrailer(resp); err != nil {
			resp.Body.Close()
		}
	}
	c.clearCancel()
	if err != nil {
		ctxErr := ctx.Err() // read before cancel, which would set it
		execution := tracker.execution()
		cancel() // also abandons a streamed body
		c.reportFailure(a.number, execution, c.failureReason(a, execution, ctxErr))
		return
	}
	c.response, c.responseDeadline = resp, deadline
	c.responseCancel = func() {
		stopAbandon()
		cancel()
	}
	c.node.Step(c.responseEvent(a, resp))
}

// statesNotRun reports whether the head of a response states that the call did not run.
func (a *attempt) statesNotRun(resp *http.Response) bool {
	if !a.toPeer {
		return isShedResponse(resp)
	}
	refusal, ok := outcome.Parse(resp.Header)
	return ok && refusal.Execution == outcome.NotRun
}

// checkTrailer returns an error if the trailer of a response is malformed. It reads up to maxHeldBody
// bytes of the body, which is then read from memory first.
func checkTrailer(resp *http.Response) error {
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBody))
	if exchange.IsTrailerError(err) {
		return err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(held), resp.Body), resp.Body}
	return nil
}

// newRequest returns the request of an attempt, and its body if it is streamed.
func (c *call) newRequest(ctx context.Context, a *attempt) (*http.Request, *attemptBody) {
	body, stream := c.upload.newBody()
	request := &http.Request{
		Method:        c.r.Method,
		URL:           &a.url,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		Host:          c.r.Host,
		ContentLength: c.upload.length,
		Body:          body,
	}
	if _, ok := a.header["User-Agent"]; !ok {
		a.header["User-Agent"] = []string{""} // otherwise http.Transport adds its own
	}
	if stream != nil {
		a.header["Expect"] = []string{"100-continue"}
		stream.trailer = forwardableTrailers(c.r.Trailer)
		request.Trailer = stream.trailer
	}
	if c.upload.length == 0 {
		// Keeps http.Transport from sending an empty body as chunked, which the
		// next node would treat as an upload of unknown length.
		request.TransferEncoding = []string{"identity"}
	}
	return request.WithContext(ctx), stream
}

// forwardableTrailers returns the names of the trailers to forward. attemptBody
// fills in their values at EOF.
func forwardableTrailers(trailers http.Header) http.Header {
	var out http.Header
	for name := range trailers {
		if isWithheldTrailer(name) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = nil
	}
	return out
}

func (c *call) reportFailure(number int, execution outcome.Execution, reason outcome.Reason) {
	c.node.metrics.failedAttempts.Inc(1)
	c.node.Step(&engine.AttemptFailed{
		Call:       c.id,
		Attempt:    number,
		Execution:  execution,
		Reason:     reason,
		Replayable: c.upload.replayable(),
	})
}

// failureReason returns the reason of a failed attempt; ctxErr is the error of its
// context. A context that was cancelled before its deadline counts as a caller that
// is gone.
func (c *call) failureReason(a *attempt, execution outcome.Execution, ctxErr error) outcome.Reason {
	switch {
	case ctxErr == context.DeadlineExceeded:
		return outcome.DeadlineExceeded
	case c.upload.failed.Load() || ctxErr != nil:
		return outcome.CallerGone
	case execution == outcome.NotRun:
		return outcome.ConnectFailed
	}
	return a.lostReason
}

// responseEvent returns the event for a response header. Outcome and load
// headers are trusted only from nodes. An upstream is trusted only to state that
// it shed the call.
func (c *call) responseEvent(a *attempt, resp *http.Response) *engine.ResponseReceived {
	ev := &engine.ResponseReceived{
		Call:       c.id,
		Attempt:    a.number,
		Status:     resp.StatusCode,
		Replayable: c.upload.replayable(),
	}
	if !a.toPeer {
		ev.NotRun = isShedResponse(resp)
		return ev
	}
	if refusal, ok := outcome.Parse(resp.Header); ok {
		ev.Refusal = &refusal
	}
	if value := resp.Header.Get(engine.LoadHeader); value != "" {
		load, err := engine.ParseLoad(value)
		if err != nil {
			c.node.logger.Warn("malformed load report from peer", "peer", a.url.Host, "err", err)
			return ev
		}
		ev.Load = &load
	}
	return ev
}

// localUpstream is the upstream on the same host, as it was last announced.
type localUpstream struct {
	service     mesh.Service
	base        url.URL // scheme and host
	connections int     // 0 if not limited
	transport   *exchange.StrictTransport
}

// target returns t with the scheme and host of the upstream.
func (u *localUpstream) target(t url.URL) url.URL {
	t.Scheme, t.Host = u.base.Scheme, u.base.Host
	return t
}
