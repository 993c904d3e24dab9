package node

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// replayLimit is the largest request body that is held in memory so that it
// can be sent again. Longer bodies are streamed after Expect: 100-continue.
const replayLimit = 64 << 10

// upload is the body of a call.
type upload struct {
	request  *http.Request
	length   int64 // -1 if unknown
	buffered []byte
	read     bool        // buffered holds the body
	consumed atomic.Bool // bytes of a streamed body have been taken
	failed   atomic.Bool // the caller's side of the upload broke
	dropped  atomic.Bool // the node has stopped reading the upload
}

func (u *upload) init(r *http.Request) {
	u.request = r
	u.length = r.ContentLength
}

func (u *upload) streamed() bool { return u.length < 0 || u.length > replayLimit }

// replayable reports whether the whole body can be sent (again).
func (u *upload) replayable() bool {
	return !u.failed.Load() && (!u.streamed() || !u.consumed.Load())
}

// prepare reads a short body into memory, within the limit. It must be called
// before attempt.
func (u *upload) prepare(w http.ResponseWriter, limit time.Duration) error {
	if u.streamed() || u.read || u.length == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	// The recorder of a test has no read deadline; a real connection has.
	limited := control.SetReadDeadline(time.Now().Add(limit)) == nil
	u.buffered = make([]byte, u.length)
	if _, err := io.ReadFull(u.request.Body, u.buffered); err != nil {
		u.failed.Store(true)
		return errors.Wrap(err, "request body")
	}
	if limited {
		_ = control.SetReadDeadline(time.Time{})
	}
	u.read = true
	return nil
}

// attempt returns the body for one attempt and whether it is streamed. It is
// never nil and the request has no GetBody, so that http.Transport cannot send
// the request a second time by itself. A buffered body is of a type that
// http.Transport knows to be in memory, which saves a write for the header.
func (u *upload) attempt() (body io.ReadCloser, stream *attemptBody) {
	if !u.streamed() {
		return io.NopCloser(bytes.NewReader(u.buffered)), nil
	}
	stream = &attemptBody{upload: u}
	return stream, stream
}

var errAttemptOver = errors.New("the attempt that read this body is over")

// attemptBody is the view that one attempt has of a streamed upload.
type attemptBody struct {
	upload  *upload
	trailer http.Header // of the attempt's request; filled at the end

	mu   sync.Mutex
	over bool // the attempt has ended
	done bool // the whole upload has been read
}

// start reports whether the attempt may read from the caller.
func (b *attemptBody) start() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.over {
		b.upload.consumed.Store(true)
	}
	return !b.over
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.start() {
		return 0, errAttemptOver
	}
	n, err := b.upload.request.Body.Read(p)
	switch {
	case err == io.EOF:
		b.copyTrailers()
		b.mu.Lock()
		b.done = true
		b.mu.Unlock()
	case err != nil:
		b.upload.failed.Store(true)
	}
	return n, err
}

// abandon ends the attempt's use of the upload, and a read that waits for a
// caller that has stalled: http.Transport returns from a broken connection only
// after that read, and the server sends no refusal before it. The connection to
// the caller is closed after the answer, since the rest of the upload is on it.
func (b *attemptBody) abandon(w http.ResponseWriter) {
	b.mu.Lock()
	b.over = true
	blocked := b.upload.consumed.Load() && !b.done
	b.mu.Unlock()
	if blocked {
		b.upload.dropped.Store(true)
		// The error means that the connection is gone, and the read with it.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

const (
	// unreadLimit and unreadTimeout bound what is read of an upload that nobody
	// wanted, so that its connection can be used again.
	unreadLimit   = 64 << 10
	unreadTimeout = time.Second
)

// finish reads the rest of a short streamed upload after the answer has been
// sent. In full-duplex mode the server reads it after the handler has returned,
// and then its own next read panics ("invalid concurrent Body.Read call").
func (u *upload) finish(w http.ResponseWriter) {
	if !u.streamed() || u.dropped.Load() || u.request.Header.Get("Expect") != "" {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(unreadTimeout)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, u.request.Body, unreadLimit)
	if err == io.EOF {
		_ = control.SetReadDeadline(time.Time{})
		return
	}
	// The server closes the connection when it cannot read the rest either.
	_ = control.SetReadDeadline(time.Now())
}

func (b *attemptBody) copyTrailers() {
	for name := range b.trailer {
		b.trailer[name] = b.upload.request.Trailer[name]
	}
}

// Close implements io.Closer. The caller's body stays open for a later attempt.
func (b *attemptBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
	return nil
}
