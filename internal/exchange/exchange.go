package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	maxUnmatched       = 2        // responses to other requests that are skipped; one more fails the exchange
	maxUnmatchedBody   = 64 << 10 // bytes that are read of a skipped response
	sequentialWriteMax = 8 << 10  // bytes; longer request bodies are written while the response is awaited
	copyBufferSize     = 16 << 10 // bytes
	// bodyWriteTimeout bounds the wait for the writer of a request body once the
	// response has been read.
	bodyWriteTimeout = 100 * time.Millisecond
)

// Body is the body of a request. Exactly Length bytes of Source are sent; if Length
// is negative, all of Source is sent with chunked encoding.
type Body struct {
	Source io.Reader
	Length int64
}

// Request is an HTTP request. Target is the request target and is sent unchanged.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 Body
	Deadline             time.Time     // for sending the request and reading the whole response; zero: none
	MaxIdle              time.Duration // only a connection that has been idle for at most this time is reused; zero: no limit
	// Matches reports whether the response with the given header belongs to this
	// request. If it is nil, every response does.
	Matches func(http.Header) bool
}

// Failure is the error of an exchange without a response. Sent states whether the server
// may have received any of the request, and Timeout whether sending the request or
// reading the response header timed out.
type Failure struct {
	Sent    bool
	Timeout bool
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (f *Failure) Unwrap() error { return f.Cause }

// Response is a response header and the connection that its body is read from. Close
// must be called.
type Response struct {
	*http.Response
	// Reused states that the connection carried an exchange before this one, so that a
	// response that names no request may be a repetition of an earlier one.
	Reused bool
	pool   *Pool
	conn   *conn
	// stopWatch ends the watch that closes the connection when the context ends. It returns
	// false if the context has ended already.
	stopWatch   func() bool
	writeResult chan error // receives the result of writing the request body; nil if it is not written concurrently, or the result is known
	complete    bool       // the body was read to its end
	noReuse     bool       // the connection must not be reused
	// endsWithConnection states that the body ends where the server closes the connection, so
	// that only its clean end tells a complete body from a truncated one.
	endsWithConnection bool
	endErr             error // returned by all further reads
}

// Do sends a request and returns its response once the header has been read. If ctx
// ends before the response is closed, the connection is closed. Errors are of type
// *Failure. If sending or reading times out, by the deadline of the request or of ctx, the
// idle connections that have not been in use since the request was sent are closed, too:
// the connections to a server can all go silent at once.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	began := time.Now()
	_ = c.SetDeadline(r.Deadline) // fails only if the connection is closed; the write then fails, too
	resp := &Response{pool: p, conn: c, Reused: !c.lastUsed.IsZero()}
	resp.stopWatch = context.AfterFunc(ctx, func() { c.Close() })
	sent, err := resp.send(r)
	if err == nil {
		err = resp.receive(r)
	}
	if err != nil {
		resp.stopWatch()
		c.Close()
		var timeout interface{ Timeout() bool }
		timedOut := (errors.As(err, &timeout) && timeout.Timeout()) || errors.Is(ctx.Err(), context.DeadlineExceeded)
		if timedOut {
			p.CloseUnusedSince(began)
		}
		return nil, &Failure{Sent: sent, Timeout: timedOut, Cause: errors.Wrapf(err, "%s %s", r.Method, p.cfg.Address)}
	}
	return resp, nil
}

// send writes the request. It reports whether the server may have received any of it. A
// body that is longer than sequentialWriteMax or of unknown length is written
// concurrently, because the server may respond before it has read the body.
func (resp *Response) send(r *Request) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 512), r)
	if r.Body.Length == 0 || r.Body.Source == nil {
		n, err := resp.conn.Write(head)
		return n > 0, err
	}
	if r.Body.Length > 0 && r.Body.Length <= sequentialWriteMax {
		buf := bytes.NewBuffer(head)
		if _, err := io.CopyN(buf, r.Body.Source, r.Body.Length); err != nil {
			return false, errors.Wrap(err, "read the request body")
		}
		n, err := resp.conn.Write(buf.Bytes())
		return n > 0, err
	}
	if n, err := resp.conn.Write(head); err != nil {
		return n > 0, err
	}
	resp.writeResult = make(chan error, 1)
	go func() {
		err := writeBody(resp.conn, r.Body)
		if err != nil {
			resp.conn.Close() // the server must not take a truncated body for a complete one
		}
		resp.writeResult <- err
	}()
	return true, nil
}

// writeBody writes a body of known length unchanged, and one of unknown length with
// chunked encoding. The anonymous structs have no method but Write, so that
// io.CopyBuffer does not use a ReadFrom method instead of buf.
func writeBody(w io.Writer, b Body) error {
	buf := make([]byte, copyBufferSize)
	if b.Length > 0 {
		n, err := io.CopyBuffer(struct{ io.Writer }{w}, io.LimitReader(b.Source, b.Length), buf)
		if err == nil && n < b.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(w)
	if _, err := io.CopyBuffer(struct{ io.Writer }{chunked}, b.Source, buf); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n") // ends the message; Close writes only the last chunk
	return err
}

// appendHead appends the request line and the header of a request.
func appendHead(b []byte, r *Request) []byte {
	b = append(append(append(append(b, r.Method...), ' '), r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), headerValue(v)...), "\r\n"...)
		}
	}
	switch {
	case r.Body.Length > 0:
		b = strconv.AppendInt(append(b, "Content-Length: "...), r.Body.Length, 10)
		b = append(b, "\r\n"...)
	case r.Body.Length < 0 && r.Body.Source != nil:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		b = append(b, "Content-Length: 0\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headerValue replaces line breaks, which would start another header field.
func headerValue(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
	}
	return v
}

// receive reads the header of the response that belongs to the request. It skips
// interim responses, and a few responses to other requests.
func (resp *Response) receive(r *Request) error {
	resp.conn.head.left = maxHead
	for unmatched := 0; unmatched <= maxUnmatched; {
		parsed, err := resp.conn.readHead(r.Method)
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if parsed.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(parsed.Header) {
			resp.Response = parsed
			resp.endsWithConnection = parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0 && parsed.Body != http.NoBody
			return nil
		}
		unmatched++
		resp.noReuse = true
		n, err := io.Copy(io.Discard, io.LimitReader(parsed.Body, maxUnmatchedBody))
		if err != nil || n == maxUnmatchedBody {
			break
		}
	}
	return errors.New("the answer belongs to another request")
}

// readHead reads and checks the head of a response to a request with the given method.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head.begin(buffered)
	parsed, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.head.end()
	switch {
	case err != nil:
		return nil, err
	case c.head.coding.found:
		return nil, errTransferCoding
	}
	return parsed, checkResponse(parsed)
}

// Read reads the body and records whether its end was reached.
func (resp *Response) Read(p []byte) (int, error) {
	if resp.endErr != nil {
		return 0, resp.endErr
	}
	n, err := resp.Body.Read(p)
	if err == io.EOF && resp.endsWithConnection && !resp.complete {
		if endErr := resp.checkConnectionEnd(); endErr != nil {
			resp.endErr = errors.Wrap(endErr, "the connection broke before the end of the response")
			return n, resp.endErr
		}
	}
	if err == io.EOF {
		resp.complete = true
	}
	return n, err
}

// checkConnectionEnd returns an error if the server did not close the connection cleanly. The end
// of the stream alone does not show this: the kernel reports a reset once only, perhaps to the
// writer of the request body, and a server that closes the connection before the whole request
// has arrived resets it afterwards.
func (resp *Response) checkConnectionEnd() error {
	if resp.writeResult != nil {
		err := <-resp.writeResult // the deadline of the connection bounds the wait
		resp.writeResult = nil
		if err != nil {
			return errors.Wrap(err, "write the request body")
		}
	}
	return AwaitReceipt(resp.conn.Conn)
}

// Abort ends the exchange and closes the connection.
func (resp *Response) Abort() {
	resp.DoNotReuse()
	resp.Close()
}

// DoNotReuse makes Close close the connection.
func (resp *Response) DoNotReuse() { resp.noReuse = true }

// Close ends the exchange. The connection returns to the pool if the context has not
// ended, the whole request was sent, the response was read to its end, nothing follows
// it, and the server keeps the connection open. Otherwise it is closed.
func (resp *Response) Close() {
	if !resp.stopWatch() || !resp.complete || resp.noReuse || resp.Response.Close || !resp.bodySent() {
		resp.conn.Close()
		return
	}
	if resp.conn.reader.Buffered() > 0 {
		resp.conn.Close()
		return
	}
	resp.conn.serverIdleTimeout = parseKeepAlive(resp.Header)
	resp.pool.put(resp.conn)
}

// bodySent reports whether the request body was sent completely. It waits up to
// bodyWriteTimeout for a body that is written concurrently.
func (resp *Response) bodySent() bool {
	if resp.writeResult == nil {
		return true
	}
	select {
	case err := <-resp.writeResult:
		return err == nil
	case <-time.After(bodyWriteTimeout):
		return false
	}
}

// parseKeepAlive returns the idle timeout from the Keep-Alive header, in which it is a
// number of seconds, reduced by expiryMargin. It returns zero if the header states none,
// and therefore at least a millisecond if it states one.
func parseKeepAlive(h http.Header) time.Duration {
	value := h.Get("Keep-Alive")
	if value == "" {
		return 0
	}
	for field := range strings.SplitSeq(value, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(v); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-expiryMargin, time.Millisecond)
		}
	}
	return 0
}
