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

// call is one call in the hands of its handler goroutine. The goroutine waits
// for the effects of its call and executes them one after the other. After
// every Forward or Run it reports exactly one Answered or AttemptFailed, and
// after every Relay exactly one RelayEnded, also when the call was cancelled.
type call struct {
	node      *Node
	id        mesh.CallID
	w         http.ResponseWriter
	r         *http.Request
	target    url.URL     // path and query as the upstream will see them
	header    http.Header // what the upstream may see
	tried     bool        // header has been given to an attempt
	workspace mesh.Workspace
	upload    upload

	held       *http.Response // answer whose header was reported by Answered
	heldCancel context.CancelFunc
	heldUntil  time.Time    // deadline of the attempt
	stream     *attemptBody // of the last attempt, if the upload is streamed

	mu     sync.Mutex
	inbox  []engine.Effect
	ready  chan struct{}
	cancel context.CancelFunc // set while an attempt or relay is in progress
	first  [1]engine.Effect   // backs inbox, which seldom holds more than one
}

// ending tells the handler how to leave.
type ending uint8

const (
	proceed ending = iota
	finished
	aborted // the connection must be closed without a complete answer
)

func (n *Node) newCall(w http.ResponseWriter, r *http.Request, target url.URL) *call {
	c := &call{
		node:   n,
		id:     mesh.CallID(n.lastID.Add(1)),
		w:      w,
		r:      r,
		target: target,
		header: forwardable(r.Header),
		ready:  make(chan struct{}, 1),
	}
	c.inbox = c.first[:0]
	c.upload.init(r)
	if c.upload.streamed() {
		// Otherwise the server reads the rest of an upload before it sends the
		// first byte of the answer. A recorder in a test knows no such mode.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	return c
}

// serve feeds the arrival to the machine and executes effects until the call
// has ended. The caller's connection does not cancel the call: the machine
// learns of its loss and decides.
func (c *call) serve(arrival engine.Event) {
	if c.node.stopping.Load() {
		c.w.Header().Set("Connection", "close")
	}
	c.node.add(c)
	defer c.node.remove(c)
	stop := context.AfterFunc(c.r.Context(), c.gone)
	defer stop()
	defer c.discard()
	c.node.Step(arrival)
	for {
		e, ok := c.next()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		switch c.execute(&e) {
		case finished:
			c.upload.finish(c.w)
			return
		case aborted:
			panic(http.ErrAbortHandler)
		}
	}
}

// gone reports that the caller's connection has ended, unless the node ended
// its reading side to drop the rest of an upload: that caller still gets an
// answer.
func (c *call) gone() {
	if !c.upload.dropped.Load() {
		c.node.Step(&engine.CallCancelled{Call: c.id})
	}
}

// post queues an effect. Any effect but Relay supersedes an attempt or relay
// that is in progress, which is cancelled at once.
func (c *call) post(e *engine.Effect) {
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

// interrupt cancels an attempt or relay that is in progress.
func (c *call) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// next waits for an effect. The result is false if the node has been closed.
func (c *call) next() (engine.Effect, bool) {
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

// begin registers the cancellation of an attempt or relay. It is cancelled at
// once if an effect that supersedes it is waiting already.
func (c *call) begin(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if len(c.inbox) > 0 {
		cancel()
	}
}

func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

func (c *call) execute(e *engine.Effect) ending {
	switch e.Kind {
	case engine.Forward:
		c.forward(e)
	case engine.Run:
		c.run(e)
	case engine.Relay:
		return c.relay(e)
	case engine.Refuse:
		c.discard()
		c.addReports(e)
		c.node.metrics.refused.Inc(1)
		return written(e.Refusal.Write(c.w))
	case engine.Replay:
		c.discard()
		return c.replay(e)
	case engine.IssueTicket:
		return c.issueTicket(e.Ticket)
	case engine.Cancel:
		c.discard()
		return aborted
	}
	return proceed
}

func written(err error) ending {
	if err != nil {
		return aborted
	}
	return finished
}

// refuse answers a request that never became a call.
func (n *Node) refuse(w http.ResponseWriter, reason outcome.Reason, detail string) {
	r := outcome.Refusal{Execution: outcome.NotRun, Reason: reason, Node: string(n.cfg.Self.Host), Detail: detail}
	if err := r.Write(w); err != nil {
		n.logger.Debug("refusal was not delivered", "reason", reason, "err", err)
	}
}

// discardLimit bounds what is read of an unwanted answer so that its
// connection can be used again.
const (
	discardLimit   = 4 << 10
	discardTimeout = time.Second
)

// discard drops the held answer and what is left of the upload. A short answer
// is read to its end first; with a longer one the connection is closed.
func (c *call) discard() {
	if c.stream != nil {
		c.stream.abandon(c.w)
	}
	if c.held == nil {
		return
	}
	resp, cancel := c.held, c.heldCancel
	c.held, c.heldCancel = nil, nil
	if resp.ContentLength < 0 || resp.ContentLength > discardLimit {
		cancel()
		resp.Body.Close()
		return
	}
	go func() {
		timer := time.AfterFunc(discardTimeout, cancel)
		defer timer.Stop()
		defer cancel()
		copyDiscard(resp.Body)
		resp.Body.Close()
	}()
}
