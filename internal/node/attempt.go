package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/peer"
)

// forwardGrace is added to the remaining time of a forwarded call, so that the
// serving node's refusal, which knows whether the call ran, arrives before the
// entry node gives up without that knowledge.
const forwardGrace = 50 * time.Millisecond

// attempt is one request to a peer or to the local upstream.
type attempt struct {
	number  int
	url     url.URL
	header  http.Header
	limit   time.Duration
	rt      http.RoundTripper
	peer    bool
	failure outcome.Reason // reported if the connection is lost
}

// forward sends the call to the peer listener of another node.
func (c *call) forward(e *engine.Effect) {
	if c.expired(e) {
		return
	}
	header := c.attemptHeader()
	header[engine.HopHeader] = []string{e.Hop.Encode()}
	header[peer.FromHeader] = []string{peer.FormatNode(c.node.cfg.Self)}
	target := c.target
	target.Scheme, target.Host = c.node.forward.address(e.Member)
	c.try(&attempt{
		number:  e.Attempt,
		url:     target,
		header:  header,
		limit:   e.Hop.Remaining + forwardGrace,
		rt:      c.node.forward.transport,
		peer:    true,
		failure: outcome.PeerLost,
	})
}

// run sends the call to the local upstream.
func (c *call) run(e *engine.Effect) {
	if c.expired(e) {
		return
	}
	up := c.node.upstream.Load()
	if up == nil {
		c.failed(e.Attempt, outcome.NotRun, outcome.ConnectFailed)
		return
	}
	workspace := e.Hop.Workspace
	if workspace == "" {
		workspace = c.workspace
	}
	header := c.attemptHeader()
	header[engine.CallHeader] = []string{e.Token.String()}
	header[engine.WorkspaceHeader] = []string{string(workspace)}
	header[engine.TimeoutHeader] = []string{milliseconds(e.Remaining)}
	c.try(&attempt{
		number:  e.Attempt,
		url:     up.target(c.target),
		header:  header,
		limit:   e.Remaining,
		rt:      up.transport,
		failure: outcome.UpstreamFailed,
	})
}

// expired reports the attempt as failed if the process was paused for too long
// between the decision and its execution.
func (c *call) expired(e *engine.Effect) bool {
	if c.node.now()-e.At <= engine.MaxDecisionAge {
		return false
	}
	c.failed(e.Attempt, outcome.NotRun, outcome.DecisionExpired)
	return true
}

// attemptHeader returns the header for the next attempt, without the internal
// headers of earlier ones. The first attempt uses the header of the call
// itself; later ones a copy, because a cancelled attempt may still read its own.
func (c *call) attemptHeader() http.Header {
	if !c.tried {
		c.tried = true
		return c.header
	}
	out := make(http.Header, len(c.header))
	for name, values := range c.header {
		if !internal(name) && name != "Expect" {
			out[name] = values
		}
	}
	return out
}

// try sends one request and reports its answer header or its failure.
func (c *call) try(a *attempt) {
	c.discard()
	if err := c.upload.prepare(c.w, a.limit); err != nil {
		c.failed(a.number, outcome.NotRun, outcome.CallerGone)
		return
	}
	until := time.Now().Add(a.limit)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	proof := &proof{}
	request, stream := c.request(httptrace.WithClientTrace(ctx, proof.trace(cancel)), a)
	keep := func() bool { return true }
	if c.stream = stream; stream != nil {
		keep = context.AfterFunc(ctx, func() { stream.abandon(c.w) })
	}
	c.begin(cancel)
	resp, err := a.rt.RoundTrip(request)
	c.end()
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		err = errSwitched
	}
	if err != nil {
		cause := ctx.Err()
		execution := proof.execution()
		cancel() // abandons a streamed body
		c.failed(a.number, execution, c.reason(a, execution, cause))
		return
	}
	c.held, c.heldUntil = resp, until
	c.heldCancel = func() {
		keep()
		cancel()
	}
	c.node.Step(c.answered(a, resp))
}

// errSwitched fails an attempt whose other side left HTTP: what follows cannot
// be told to be whole.
var errSwitched = errors.New("the other side switched protocols")

// request returns the request of an attempt and its body if that is streamed.
func (c *call) request(ctx context.Context, a *attempt) (*http.Request, *attemptBody) {
	body, stream := c.upload.attempt()
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
		a.header["User-Agent"] = []string{""} // http.Transport would add its own
	}
	if stream != nil {
		a.header["Expect"] = []string{"100-continue"}
		stream.trailer = announcedTrailers(c.r.Trailer)
		request.Trailer = stream.trailer
	}
	if c.upload.length == 0 {
		// Keeps http.Transport from sending the empty body in chunks, which
		// the next node would take for an upload of unknown length.
		request.TransferEncoding = []string{"identity"}
	}
	return request.WithContext(ctx), stream
}

func announcedTrailers(trailers http.Header) http.Header {
	var out http.Header
	for name := range trailers {
		if withheldTrailer(name) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = nil
	}
	return out
}

func (c *call) failed(number int, execution outcome.Execution, reason outcome.Reason) {
	c.node.metrics.failed.Inc(1)
	c.node.Step(&engine.AttemptFailed{
		Call:       c.id,
		Attempt:    number,
		Execution:  execution,
		Reason:     reason,
		Replayable: c.upload.replayable(),
	})
}

func (c *call) reason(a *attempt, execution outcome.Execution, cause error) outcome.Reason {
	switch {
	case cause == context.DeadlineExceeded:
		return outcome.DeadlineExceeded
	case c.upload.failed.Load() || cause != nil:
		return outcome.CallerGone
	case execution == outcome.NotRun:
		return outcome.ConnectFailed
	}
	return a.failure
}

// answered describes the answer header. What an upstream says about outcome
// and load is ignored but for the statement that it shed the call: only nodes
// are trusted with these headers.
func (c *call) answered(a *attempt, resp *http.Response) *engine.ResponseReceived {
	ev := &engine.ResponseReceived{
		Call:       c.id,
		Attempt:    a.number,
		Status:     resp.StatusCode,
		Replayable: c.upload.replayable(),
	}
	if !a.peer {
		ev.NotRun = shed(resp)
		return ev
	}
	if refusal, ok := outcome.Parse(resp.Header); ok {
		ev.Refusal = &refusal
	}
	if value := resp.Header.Get(engine.LoadHeader); value != "" {
		load, err := engine.ParseLoad(value)
		if err != nil {
			c.node.logger.Warn("load report of a peer is malformed", "peer", a.url.Host, "err", err)
			return ev
		}
		ev.Load = &load
	}
	return ev
}

// localUpstream is the upstream beside this node, from its announcement.
type localUpstream struct {
	service     mesh.Service
	base        url.URL
	connections int
	transport   *http.Transport
}

func (u *localUpstream) target(t url.URL) url.URL {
	t.Scheme, t.Host = u.base.Scheme, u.base.Host
	return t
}
