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

// maxBufferedBody is the largest request body, in bytes, that is buffered in memory
// so that it can be sent again. Larger bodies are streamed after Expect: 100-continue.
// Longer responses are written with a deadline, see setWriteDeadline.
const maxBufferedBody = 64 << 10

// upload is the request body of a call.
type upload struct {
	request   *http.Request
	length    int64 // in bytes; -1 if unknown
	buffered  []byte
	inMemory  bool        // buffered holds the complete body
	consumed  atomic.Bool // reading of a streamed body has begun
	failed    atomic.Bool // reading from the caller failed
	abandoned atomic.Bool // the node stopped reading the upload
}

func (u *upload) init(r *http.Request) {
	u.request = r
	u.length = r.ContentLength
}

// streamed reports whether the body is too long to be buffered or of unknown
// length.
func (u *upload) streamed() bool { return u.length < 0 || u.length > maxBufferedBody }

// replayable reports whether the complete body can still be sent in another
// attempt.
func (u *upload) replayable() bool {
	return !u.failed.Load() && (!u.streamed() || !u.consumed.Load())
}

// readIntoMemory buffers a short body within the time limit. It must be called before
// newBody.
func (u *upload) readIntoMemory(w http.ResponseWriter, limit time.Duration) error {
	if u.streamed() || u.inMemory || u.length == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	// httptest.ResponseRecorder does not support read deadlines.
	deadlineSet := control.SetReadDeadline(time.Now().Add(limit)) == nil
	u.buffered = make([]byte, u.length)
	if _, err := io.ReadFull(u.request.Body, u.buffered); err != nil {
		u.failed.Store(true)
		return errors.Wrap(err, "request body")
	}
	if deadlineSet {
		_ = control.SetReadDeadline(time.Time{})
	}
	u.inMemory = true
	return nil
}

// newBody returns the body for one attempt; stream is set if the body is
// streamed. The body is never nil and the request has no GetBody, so that
// http.Transport cannot send the request again by itself. A buffered body has a
// type that http.Transport recognizes as in memory, which saves a separate
// write for the header.
func (u *upload) newBody() (body io.ReadCloser, stream *attemptBody) {
	if !u.streamed() {
		return io.NopCloser(bytes.NewReader(u.buffered)), nil
	}
	stream = &attemptBody{upload: u}
	return stream, stream
}

var errAttemptEnded = errors.New("read of request body after the attempt ended")

// attemptBody is the reader of a streamed upload that is given to one attempt.
type attemptBody struct {
	upload  *upload
	trailer http.Header // of the attempt's request; the values are set at EOF

	mu     sync.Mutex
	closed bool // the attempt ended
	eof    bool // the complete upload was read
}

// startRead reports whether the attempt may still read from the caller, and
// marks the upload as consumed if so.
func (b *attemptBody) startRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.upload.consumed.Store(true)
	}
	return !b.closed
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.startRead() {
		return 0, errAttemptEnded
	}
	n, err := b.upload.request.Body.Read(p)
	switch {
	case err == io.EOF:
		b.copyTrailers()
		b.mu.Lock()
		b.eof = true
		b.mu.Unlock()
	case err != nil:
		b.upload.failed.Store(true)
	}
	return n, err
}

// finished reports whether the complete upload was read.
func (b *attemptBody) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// abandon ends the attempt's use of the upload and unblocks a read from a
// stalled caller. Until that read ends, http.Transport does not return from a
// broken connection and the server does not send the refusal. The connection to
// the caller is closed after the response, because the rest of the upload is
// still on it.
func (b *attemptBody) abandon(w http.ResponseWriter) {
	b.mu.Lock()
	b.closed = true
	unfinished := b.upload.consumed.Load() && !b.eof
	b.mu.Unlock()
	if unfinished {
		b.upload.abandoned.Store(true)
		// An error means that the connection is closed, which also ends the read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

const (
	// uploadDrainLimit, in bytes, and uploadDrainTimeout limit how much of an
	// unread upload is read and discarded to make its connection reusable.
	uploadDrainLimit   = 64 << 10
	uploadDrainTimeout = time.Second
)

// drain reads the rest of a short streamed upload after the response was sent.
// In full-duplex mode the server would otherwise read it after the handler has
// returned, and panic on the next request of the connection ("invalid concurrent
// Body.Read call"). A request with Expect needs no drain: the server closes its
// connection if the body was not read to the end.
func (u *upload) drain(w http.ResponseWriter) {
	if !u.streamed() || u.abandoned.Load() || u.request.Header.Get("Expect") != "" {
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(uploadDrainTimeout)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, u.request.Body, uploadDrainLimit)
	if err == io.EOF {
		_ = control.SetReadDeadline(time.Time{})
		return
	}
	// Makes the server close the connection when it fails to read the rest.
	_ = control.SetReadDeadline(time.Now())
}

// copyTrailers gives the attempt's request the values of its trailers, which are
// known only at EOF.
func (b *attemptBody) copyTrailers() {
	for name := range b.trailer {
		b.trailer[name] = b.upload.request.Trailer[name]
	}
}

// Close implements io.Closer. The caller's body stays open for a later attempt.
func (b *attemptBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}
