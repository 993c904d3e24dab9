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
	maxStray        = 2        // answers to other requests that are skipped before one fails
	maxStrayBody    = 64 << 10 // bytes of such an answer that are read
	concurrentWrite = 8 << 10  // body size from which the answer is awaited while the body is sent
	copyBuffer      = 16 << 10
	// drainTimeout bounds the wait for the writer of a body after its answer
	// has come.
	drainTimeout = 100 * time.Millisecond
)

// Body is the body of a request. Exactly Length bytes are sent, or, if Length
// is negative, all of Source in chunks.
type Body struct {
	Source io.Reader
	Length int64
}

// Request is one request. Target is sent as it is.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 Body
	Deadline             time.Time     // of the whole exchange
	Fresh                time.Duration // use only connections used within this time; zero: any
	// Belongs reports whether an answer is to this request. Nil: always.
	Belongs func(http.Header) bool
}

// Failure is why no answer came. Sent tells whether the other side may have
// received the request.
type Failure struct {
	Sent    bool
	Reused  bool // on a connection that had been used before
	Timeout bool
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Response is the header of an answer and the connection its body is read from.
// Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error // result of a concurrent body writer; nil if there is none
	whole   bool       // the body was read to its end
	suspect bool       // the connection must not be used again
}

// Do sends a request and returns the header of its answer. When ctx ends, the
// connection is closed. The error is a *Failure.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Fresh)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	_ = c.SetDeadline(r.Deadline) // fails only on a closed connection, where the write fails too
	a := &Response{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { c.Close() })
	sent, err := a.send(r)
	if err == nil {
		err = a.receive(r)
	}
	if err != nil {
		a.stop()
		c.Close()
		var timeout interface{ Timeout() bool }
		late := errors.As(err, &timeout) && timeout.Timeout()
		if late {
			p.Invalidate()
		}
		return nil, &Failure{Sent: sent, Reused: c.reused, Timeout: late, Cause: errors.Wrapf(err, "%s %s", r.Method, p.cfg.Address)}
	}
	return a, nil
}

// send writes the request. A long body is written concurrently, because the
// other side may answer before it has read it.
func (a *Response) send(r *Request) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 512), r)
	if r.Body.Length == 0 || r.Body.Source == nil {
		n, err := a.conn.Write(head)
		return n > 0, err
	}
	if r.Body.Length > 0 && r.Body.Length <= concurrentWrite {
		buf := bytes.NewBuffer(head)
		if _, err := io.CopyN(buf, r.Body.Source, r.Body.Length); err != nil {
			return false, errors.Wrap(err, "read the request body")
		}
		n, err := a.conn.Write(buf.Bytes())
		return n > 0, err
	}
	if n, err := a.conn.Write(head); err != nil {
		return n > 0, err
	}
	a.written = make(chan error, 1)
	go func() {
		err := writeBody(a.conn, r.Body)
		if err != nil {
			a.conn.Close() // the other side must not take a part for the whole
		}
		a.written <- err
	}()
	return true, nil
}

func writeBody(w io.Writer, b Body) error {
	buf := make([]byte, copyBuffer)
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
	_, err := io.WriteString(w, "\r\n")
	return err
}

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

// headerValue replaces line breaks, which would begin another header.
func headerValue(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
	}
	return v
}

// receive reads the header of the answer that belongs to the request.
func (a *Response) receive(r *Request) error {
	for stray := 0; stray <= maxStray; {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Belongs == nil || r.Belongs(resp.Header) {
			a.Response = resp
			return nil
		}
		stray++
		a.suspect = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
		if err != nil || n == maxStrayBody {
			break
		}
	}
	return errors.New("the answer belongs to another request")
}

// Read reads the body and notes its end.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end, nothing follows it, and the other side keeps it open.
func (a *Response) Close() {
	if !a.stop() || !a.whole || a.suspect || a.Response.Close || a.StatusCode == http.StatusSwitchingProtocols || !a.bodySent() {
		a.conn.Close()
		return
	}
	if a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.conn.expires = keepAliveOf(a.Header)
	a.pool.put(a.conn)
}

// bodySent reports whether the request body was sent completely.
func (a *Response) bodySent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	case <-time.After(drainTimeout):
		return false
	}
}

// keepAliveOf returns the idle time that the other side grants, less a margin.
func keepAliveOf(h http.Header) time.Duration {
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
