package node

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// call is one call and the state of its handler goroutine. The goroutine waits
// for effects of the call and executes them in order. It reports exactly one
// result for every Forward or Run, and exactly one RelayEnded for every Relay of
// a received response, even if the call was cancelled. When the node is closed,
// the goroutine ends at its next wait for an effect.
type call struct {
	node       *Node
	id         mesh.CallID
	w          http.ResponseWriter
	r          *http.Request
	target     url.URL        // path and query that are sent to the upstream
	header     http.Header    // header without keys, hop-by-hop and internal fields
	headerUsed bool           // an attempt has used header
	workspace  mesh.Workspace // workspace of a forwarded call; empty for other calls
	upload     upload

	response         *http.Response // response whose header was reported and whose body is unread
	responseCancel   context.CancelFunc
	responseDeadline time.Time    // deadline of the attempt that received response
	stream           *attemptBody // body of the last attempt if the upload is streamed

	mu          sync.Mutex
	inbox       []engine.Effect
	ready       chan struct{}      // receives a value after an effect was queued
	cancel      context.CancelFunc // set while an attempt or relay is in progress
	inboxBuffer [1]engine.Effect   // initial storage of inbox, which seldom holds more than one effect
}

// callState tells the handler whether and how to return.
type callState uint8

const (
	callInProgress callState = iota
	callCompleted
	callAborted // the connection must be closed without a complete response
)

func (n *Node) newCall(w http.ResponseWriter, r *http.Request, target url.URL) *call {
	c := &call{
		node:   n,
		id:     mesh.CallID(n.lastCallID.Add(1)),
		w:      w,
		r:      r,
		target: target,
		header: forwardableHeader(r.Header),
		ready:  make(chan struct{}, 1),
	}
	c.inbox = c.inboxBuffer[:0]
	c.upload.init(r)
	if c.upload.streamed() {
		// Without full duplex the server reads the rest of an upload before it
		// sends the first byte of the response. httptest.ResponseRecorder does
		// not support the mode.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	return c
}

// serve passes the arrival to the state machine and executes effects until the
// call ends. Loss of the caller's connection does not cancel the call by
// itself: it is reported to the state machine, which decides.
func (c *call) serve(arrival engine.Event) {
	if c.node.stopping.Load() {
		c.w.Header().Set("Connection", "close")
	}
	c.node.addCall(c)
	defer c.node.removeCall(c)
	stop := context.AfterFunc(c.r.Context(), c.callerDisconnected)
	defer stop()
	defer c.discardPending()
	c.node.Step(arrival)
	for {
		e, ok := c.nextEffect()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		switch c.execute(&e) {
		case callCompleted:
			c.upload.drain(c.w)
			return
		case callAborted:
			panic(http.ErrAbortHandler)
		}
	}
}

// callerDisconnected reports that the caller's connection ended. It does
// nothing if the node set the read deadline to abandon an upload: that caller
// still gets a response.
func (c *call) callerDisconnected() {
	if !c.upload.abandoned.Load() {
		c.node.Step(&engine.CallCancelled{Call: c.id})
	}
}

// enqueue queues an effect and cancels the attempt or relay in progress at once,
// except for Relay, which continues the attempt.
func (c *call) enqueue(e *engine.Effect) {
	c.mu.Lock()
	c.inbox = append(c.inbox, *e)
	if c.cancel != nil && e.Kind != engine.Relay {
		c.cancel()
	}
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// cancelAttempt cancels the attempt or relay in progress.
func (c *call) cancelAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// nextEffect waits for an effect. It returns false if the node was closed.
func (c *call) nextEffect() (engine.Effect, bool) {
	for {
		c.mu.Lock()
		if len(c.inbox) > 0 {
			e := c.inbox[0]
			c.inbox = slices.Delete(c.inbox, 0, 1)
			c.mu.Unlock()
			return e, true
		}
		c.mu.Unlock()
		select {
		case <-c.ready:
		case <-c.node.closed:
			return engine.Effect{}, false
		}
	}
}

// setCancel registers the cancel function of an attempt or relay and calls it
// at once if another effect is already queued.
func (c *call) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if len(c.inbox) > 0 {
		cancel()
	}
}

func (c *call) clearCancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *call) execute(e *engine.Effect) callState {
	switch e.Kind {
	case engine.Forward:
		c.forward(e)
	case engine.Run:
		c.run(e)
	case engine.Relay:
		return c.relay(e)
	case engine.Refuse:
		c.discardPending()
		c.addReportHeaders(e)
		c.node.metrics.refusedCalls.Inc(1)
		return stateAfterWrite(e.Refusal.Write(c.w))
	case engine.Replay:
		c.discardPending()
		return c.replay(e)
	case engine.IssueTicket:
		return c.issueTicket(e.Ticket)
	case engine.Cancel:
		c.discardPending()
		return callAborted
	}
	return callInProgress
}

func stateAfterWrite(err error) callState {
	if err != nil {
		return callAborted
	}
	return callCompleted
}

// refuse responds to a request that never became a call.
func (n *Node) refuse(w http.ResponseWriter, reason outcome.Reason, detail string) {
	r := outcome.Refusal{Execution: outcome.NotRun, Reason: reason, Node: string(n.cfg.Self.Host), Detail: detail}
	if err := r.Write(w); err != nil {
		n.logger.Debug("cannot write refusal", "reason", reason, "err", err)
	}
}

// responseDrainLimit, in bytes, and responseDrainTimeout limit how much of an
// unwanted response is read and discarded to make its connection reusable.
const (
	responseDrainLimit   = 4 << 10
	responseDrainTimeout = time.Second
)

// discardPending drops the pending response and the rest of the upload. A short
// response is read to its end so that its connection can be reused. The
// connection of a longer one, or of one of unknown length, is closed.
func (c *call) discardPending() {
	if c.stream != nil {
		c.stream.abandon(c.w)
	}
	if c.response == nil {
		return
	}
	resp, cancel := c.response, c.responseCancel
	c.response, c.responseCancel = nil, nil
	if resp.ContentLength < 0 || resp.ContentLength > responseDrainLimit {
		cancel()
		resp.Body.Close()
		return
	}
	go func() {
		timer := time.AfterFunc(responseDrainTimeout, cancel)
		defer timer.Stop()
		defer cancel()
		drainReader(resp.Body)
		resp.Body.Close()
	}()
}
