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
	copyBufferSize = 32 << 10 // bytes
	// maxStoredBody is the largest response body, in bytes, that is stored for a
	// ticket.
	maxStoredBody = 256 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

func drainReader(r io.Reader) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		if _, err := r.Read(buffer[:]); err != nil {
			return
		}
	}
}

// transfer is the state of copying one response body to the caller.
type transfer struct {
	written  int64  // bytes of the body written to the caller
	stored   []byte // body read so far, while storing is set
	storing  bool   // the response is to be stored and so far is short enough
	readErr  error  // error of reading the response; nil if the copy stopped at writeErr
	writeErr error  // error of writing to the caller
}

// relay streams the pending response to the caller and reports the result. A
// truncated response aborts the caller's connection. If the caller disconnects,
// a response that is to be stored is still read to its end: RelayEnded then has
// Complete false and Stored set.
func (c *call) relay(e *engine.Effect) callState {
	resp := c.response
	if resp == nil {
		return callAborted
	}
	c.setCancel(c.responseCancel)
	defer c.clearCancel()
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedBody {
		defer c.setWriteDeadline()()
	}
	c.copyResponseHeader(resp)
	c.addReportHeaders(e)
	c.w.WriteHeader(resp.StatusCode)
	t := transfer{storing: e.Store && resp.ContentLength <= maxStoredBody}
	t.copy(c.w, resp)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && t.readErr == nil && c.stream != nil && !c.stream.finished() {
		t.readErr = io.ErrUnexpectedEOF // the upstream closed the connection during the upload
	}
	if t.readErr == nil && t.writeErr == nil {
		c.copyResponseTrailers(resp)
		t.writeErr = flushFixedLength(c.w, resp)
	}
	c.responseCancel()
	resp.Body.Close()
	c.response, c.responseCancel = nil, nil
	c.discardPending() // abandons an upload that the response did not wait for
	complete := t.readErr == nil && t.writeErr == nil
	ended := &engine.RelayEnded{Call: c.id, Attempt: e.Attempt, Complete: complete, Bytes: t.written}
	if t.storing && t.readErr == nil {
		ended.Stored = &engine.Response{Status: resp.StatusCode, Header: storableHeader(resp.Header), Body: t.stored}
	}
	c.node.Step(ended)
	if !complete {
		c.node.metrics.incompleteResponses.Inc(1)
		return callAborted
	}
	c.node.metrics.relayedResponses.Inc(1)
	return callCompleted
}

// setWriteDeadline limits writes to the deadline of the attempt, so that a slow
// caller cannot hold the slot of its call. relay does not call it for responses of
// up to maxBufferedBody bytes: they fit into the buffers of the connection.
func (c *call) setWriteDeadline() (reset func()) {
	control := http.NewResponseController(c.w)
	if control.SetWriteDeadline(c.responseDeadline) != nil {
		return func() {}
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) } // for the next call on the connection
}

// copy passes the body of a response to the caller. After a write error it reads on
// only while the response is to be stored.
func (t *transfer) copy(w http.ResponseWriter, resp *http.Response) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			t.write(w, buffer[:n], resp.ContentLength < 0)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			t.readErr = err
			return
		}
		if t.writeErr != nil && !t.storing {
			return
		}
	}
}

// write passes one piece of the body to the caller. Responses of unknown length
// are flushed after each piece, because the sender may pause between pieces.
func (t *transfer) write(w http.ResponseWriter, p []byte, flush bool) {
	if t.storing && len(t.stored)+len(p) <= maxStoredBody {
		t.stored = append(t.stored, p...)
	} else {
		t.storing, t.stored = false, nil
	}
	if t.writeErr != nil {
		return
	}
	n, err := w.Write(p)
	t.written += int64(n)
	if err == nil && flush {
		err = flushError(w)
	}
	t.writeErr = err
}

func flushError(w http.ResponseWriter) error {
	if f, ok := w.(interface{ FlushError() error }); ok {
		return f.FlushError()
	}
	return nil
}

// flushFixedLength flushes a response of known length to the connection, so
// that a broken connection is detected before the response is reported as
// complete.
func flushFixedLength(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength < 0 {
		return nil // already flushed after each piece
	}
	return flushError(w)
}

func (c *call) copyResponseHeader(resp *http.Response) {
	out := c.w.Header()
	copyForwardableHeader(out, resp.Header)
	for name := range resp.Trailer {
		if !isInternalHeader(name) {
			out.Add("Trailer", name)
		}
	}
}

func (c *call) copyResponseTrailers(resp *http.Response) {
	for name, values := range resp.Trailer {
		if !isInternalHeader(name) && !hopByHopHeaders[name] {
			c.w.Header()[name] = values
		}
	}
}

// addReportHeaders adds the load report and the ticket of the effect to the
// response.
func (c *call) addReportHeaders(e *engine.Effect) {
	if e.Load != nil {
		c.w.Header().Set(engine.LoadHeader, e.Load.Encode())
	}
	if e.Ticket != "" {
		c.w.Header().Set(engine.TicketHeader, e.Ticket)
	}
}

// storableHeader returns the response header to store for a replay. It copies
// the values, so that the stored response does not keep the memory of the
// received header in use.
func storableHeader(h http.Header) http.Header {
	out := forwardableHeader(h)
	for name, values := range out {
		copied := make([]string, len(values))
		for i, value := range values {
			copied[i] = strings.Clone(value)
		}
		out[name] = copied
	}
	return out
}

func (c *call) replay(e *engine.Effect) callState {
	h := c.w.Header()
	copyForwardableHeader(h, e.Response.Header)
	c.addReportHeaders(e)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(e.Response.Body)))
	}
	c.w.WriteHeader(e.Response.Status)
	if _, err := c.w.Write(e.Response.Body); err != nil && err != http.ErrBodyNotAllowed {
		return callAborted
	}
	return callCompleted
}

// ticketBody is the response body of POST /.cardamomhatch/ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

func (c *call) issueTicket(ticket string) callState {
	c.w.Header().Set(engine.TicketHeader, ticket)
	c.w.Header().Set("Content-Type", "application/json")
	return stateAfterWrite(json.NewEncoder(c.w).Encode(ticketBody{Ticket: ticket}))
}
