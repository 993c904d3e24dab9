package sidecar

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cardamomhatch/internal/exchange"
)

const (
	// responseBufferLimit is the size in bytes up to which a response is buffered
	// completely before its header is sent to the caller, so that a truncated response
	// can be replaced by a retry or an error.
	responseBufferLimit = 64 << 10
	copyBufferSize      = 16 << 10 // bytes
	discardLimit        = 16 << 10 // bytes
)

// discardBody reads up to discardLimit bytes of an unused response, so that its connection
// can be reused.
func discardBody(resp *exchange.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(resp, discardLimit))
}

// copyResponse streams the body of a response to w. It returns an error if the response
// is truncated or w cannot be written.
func copyResponse(w http.ResponseWriter, resp *exchange.Response) error {
	buf := make([]byte, min(copyBufferSize, bufferSizeFor(resp.ContentLength)))
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write the response")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the response")
		}
	}
}

// bufferSizeFor returns the buffer size for a body of the given length. The buffer is one
// byte larger than the body, so that the last read also returns the end of the body.
func bufferSizeFor(length int64) int64 {
	if length < 0 {
		return copyBufferSize
	}
	return length + 1
}

// bufferResponse reads a response of up to responseBufferLimit bytes. If the response is
// longer, or the connection may not be charged for its memory, complete is false and body is
// the part that has been read, which may be empty.
func bufferResponse(resp *exchange.Response, conn *clientConn) (body []byte, complete bool, err error) {
	if resp.ContentLength > responseBufferLimit {
		return nil, false, nil
	}
	size := resp.ContentLength
	if size < 0 {
		size = 4 << 10 // initial capacity in bytes; the body can be longer
	}
	if size > 0 && !conn.growIfPlenty(int(size)) {
		return nil, false, nil
	}
	body = make([]byte, 0, size+1)
	for len(body) <= responseBufferLimit {
		if len(body) == cap(body) {
			if !conn.growIfPlenty(cap(body)) { // append doubles the capacity
				return body, false, nil
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, errors.Wrap(err, "read the response")
		}
	}
	return body, false, nil
}
