package sidecar

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstBodyBuffer is the size in bytes of the first buffer for a body. Longer bodies get
	// larger buffers as they arrive, since a caller may announce a length and send nothing.
	firstBodyBuffer = 16 << 10
	// bodyGrowth is the factor by which the buffer grows.
	bodyGrowth = 2
	// streamCost is what a body that is not buffered completely takes besides the buffered
	// part, in bytes: a copy buffer, a goroutine and the buffers of the exchange.
	streamCost = 32 << 10
)

// errNoMemoryForBody states that the caller holds its share of the memory.
var errNoMemoryForBody = errors.New("no memory for the request body")

// limitBodyTime bounds the time in which the body must arrive by the time for which the
// caller waits.
func (c *call) limitBodyTime() {
	if c.r.ContentLength != 0 && c.conn != nil {
		// An error means that the connection has ended.
		_ = c.conn.SetReadDeadline(c.node.started.Add(c.expires + bodySlack))
	}
}

// readBody buffers the request body in memory. A body larger than maxBufferedBody is
// marked for streaming; c.body then holds the part that has been read.
func (c *call) readBody() error {
	length := c.r.ContentLength
	switch {
	case length == 0:
		return nil
	case length > maxBufferedBody:
		return c.streamBody()
	case length < 0:
		length = maxBufferedBody + 1 // one more byte tells whether the body is longer
	}
	size := min(length, firstBodyBuffer)
	if !c.conn.grow(int(size)) {
		return errNoMemoryForBody
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := c.r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF && c.r.ContentLength >= 0 && int64(len(buffer)) < length:
			return errors.Wrap(io.ErrUnexpectedEOF, "read the request body")
		case err == io.EOF, err == nil && c.r.ContentLength >= 0 && int64(len(buffer)) == length:
			c.body, c.bodyComplete = buffer, true
			c.r.Trailer = nil // trailers are not passed on; net/http keeps them until the next request
			return nil
		case err != nil:
			return errors.Wrap(err, "read the request body")
		case int64(len(buffer)) == length: // only of an unknown length
			c.body = buffer
			return c.streamBody()
		case len(buffer) == cap(buffer):
			if buffer, err = c.growBody(buffer, length); err != nil {
				return err
			}
		}
	}
}

// bufferBody reads the body of a request that a peer has forwarded, before the request waits:
// net/http notices the end of a connection only once the body has been read. A body that the peer
// has not buffered either, or for which there is little memory, stays unread. An error means that
// the peer has gone or does not send the body by the deadline.
func (req *servedRequest) bufferBody(deadline time.Time) error {
	length := req.request.Body.Length
	if req.conn == nil || length <= 0 || length > maxBufferedBody || !req.conn.growIfPlenty(int(length)) {
		return nil
	}
	// An error of a deadline means that the connection has ended, which the read reports.
	_ = req.conn.SetReadDeadline(deadline)
	buffer := make([]byte, length)
	if _, err := io.ReadFull(req.request.Body.Source, buffer); err != nil {
		return errors.Wrap(err, "read the forwarded request body")
	}
	_ = req.conn.SetReadDeadline(time.Now().Add(defaultTimeout + bodySlack))
	req.request.Body.Source, req.conn = bytes.NewReader(buffer), nil
	return nil
}

// growBody returns a larger buffer with the same content, of at most the given size.
func (c *call) growBody(buffer []byte, limit int64) ([]byte, error) {
	size := int(min(int64(bodyGrowth*cap(buffer)), limit))
	if !c.conn.grow(size - cap(buffer)) {
		return nil, errNoMemoryForBody
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// streamBody marks the body for streaming.
func (c *call) streamBody() error {
	if !c.conn.grow(streamCost) {
		return errNoMemoryForBody
	}
	c.stream = true
	c.conn.prepareStream()
	return nil
}

// limitAnswerTime bounds the time for which the caller may take to read an answer that is
// passed on while it is read. After the deadline, no more of it can be read.
func (c *call) limitAnswerTime() {
	const slack = 250 * time.Millisecond // for what was read by then
	if c.conn != nil {
		_ = c.conn.SetWriteDeadline(c.node.started.Add(c.deadline + c.grace() + slack)) // fails only if the connection has ended
	}
}
