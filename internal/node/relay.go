package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomhatch/internal/engine"
)

const (
	copySize = 32 << 10
	// storeLimit is the longest answer that is kept for a ticket.
	storeLimit = 256 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

func copyDiscard(r io.Reader) {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	for {
		if _, err := r.Read(buffer[:]); err != nil {
			return
		}
	}
}

// transfer is the body of one answer on its way to the caller.
type transfer struct {
	bytes   int64
	stored  []byte
	store   bool  // the answer is still short enough to be kept
	readErr error // nil if the whole answer arrived
	lost    error // the caller could not be written to
}

// relay streams the held answer to the caller and reports its end. An answer
// that was cut short aborts the caller's connection. When the caller is gone,
// an answer that is to be stored is still read to its end: then RelayEnded has
// Whole false and Stored set.
func (c *call) relay(e *engine.Effect) ending {
	resp := c.held
	if resp == nil {
		return aborted // Relay without an answer: nothing truthful can be sent
	}
	c.begin(c.heldCancel)
	defer c.end()
	if resp.ContentLength < 0 || resp.ContentLength > replayLimit {
		defer c.limitWrites()()
	}
	c.copyAnswerHeader(resp)
	c.addReports(e)
	c.w.WriteHeader(resp.StatusCode)
	t := transfer{store: e.Store && resp.ContentLength <= storeLimit}
	t.copy(c.w, resp)
	if t.readErr == nil && t.lost == nil {
		c.copyAnswerTrailers(resp)
		t.lost = flushWhole(c.w, resp)
	}
	c.heldCancel()
	resp.Body.Close()
	c.held, c.heldCancel = nil, nil
	c.discard() // of an upload that the answer did not wait for
	whole := t.readErr == nil && t.lost == nil
	ended := &engine.RelayEnded{Call: c.id, Attempt: e.Attempt, Complete: whole, Bytes: t.bytes}
	if t.store && t.readErr == nil {
		ended.Stored = &engine.Response{Status: resp.StatusCode, Header: storable(resp.Header), Body: t.stored}
	}
	c.node.Step(ended)
	if !whole {
		c.node.metrics.cut.Inc(1)
		return aborted
	}
	c.node.metrics.relayed.Inc(1)
	return finished
}

// limitWrites ends writes at the deadline of the attempt: a caller that reads
// too slowly must not hold the slot of its call. Short answers fit the buffers
// of the connection and need no limit.
func (c *call) limitWrites() (reset func()) {
	control := http.NewResponseController(c.w)
	if control.SetWriteDeadline(c.heldUntil) != nil {
		return func() {}
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) } // for the next call
}

func (t *transfer) copy(w http.ResponseWriter, resp *http.Response) {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			t.pass(w, buffer[:n], resp.ContentLength < 0)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			t.readErr = err
			return
		}
		if t.lost != nil && !t.store {
			return
		}
	}
}

// pass writes one piece to the caller. Answers of unknown length are flushed
// piece by piece, because their sender may pause between pieces.
func (t *transfer) pass(w http.ResponseWriter, p []byte, flush bool) {
	if t.store && len(t.stored)+len(p) <= storeLimit {
		t.stored = append(t.stored, p...)
	} else {
		t.store, t.stored = false, nil
	}
	if t.lost != nil {
		return
	}
	n, err := w.Write(p)
	t.bytes += int64(n)
	if err == nil && flush {
		err = flushError(w)
	}
	t.lost = err
}

func flushError(w http.ResponseWriter) error {
	if f, ok := w.(interface{ FlushError() error }); ok {
		return f.FlushError()
	}
	return nil
}

// flushWhole pushes an answer of known length to the connection, so that a
// broken connection is noticed before the answer is reported as passed on.
func flushWhole(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength < 0 {
		return nil // flushed piece by piece
	}
	return flushError(w)
}

func (c *call) copyAnswerHeader(resp *http.Response) {
	out := c.w.Header()
	copyForwardable(out, resp.Header)
	for name := range resp.Trailer {
		if !internal(name) {
			out.Add("Trailer", name)
		}
	}
}

func (c *call) copyAnswerTrailers(resp *http.Response) {
	for name, values := range resp.Trailer {
		if !internal(name) && !hopByHop[name] {
			c.w.Header()[name] = values
		}
	}
}

// addReports adds what the machine tells the calling node or the caller.
func (c *call) addReports(e *engine.Effect) {
	if e.Load != nil {
		c.w.Header().Set(engine.LoadHeader, e.Load.Encode())
	}
	if e.Ticket != "" {
		c.w.Header().Set(engine.TicketHeader, e.Ticket)
	}
}

// storable is the header of an answer as a later caller will receive it. The
// values are copied, because the answer outlives the connection's buffers.
func storable(h http.Header) http.Header {
	out := forwardable(h)
	for name, values := range out {
		copied := make([]string, len(values))
		for i, value := range values {
			copied[i] = strings.Clone(value)
		}
		out[name] = copied
	}
	return out
}

func (c *call) replay(e *engine.Effect) ending {
	h := c.w.Header()
	copyForwardable(h, e.Response.Header)
	c.addReports(e)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(e.Response.Body)))
	}
	c.w.WriteHeader(e.Response.Status)
	if _, err := c.w.Write(e.Response.Body); err != nil && err != http.ErrBodyNotAllowed {
		return aborted
	}
	return finished
}

// ticketBody is the body of the answer to POST /.cardamomhatch/ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

func (c *call) issueTicket(ticket string) ending {
	c.w.Header().Set(engine.TicketHeader, ticket)
	c.w.Header().Set("Content-Type", "application/json")
	return written(json.NewEncoder(c.w).Encode(ticketBody{Ticket: ticket}))
}
