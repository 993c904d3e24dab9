package sidecar

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cardamomhatch/internal/exchange"
)

const (
	// responseBufferLimit is the size up to which a response is buffered completely before
	// its header is sent to the caller, so that a truncated response can be replaced.
	responseBufferLimit = 64 << 10
	copyBuffer          = 16 << 10
	// discardLimit limits how much of an unused response is read so that its connection
	// can be reused.
	discardLimit = 16 << 10
)

// discard reads up to discardLimit bytes of a response that is not used.
func discard(a *exchange.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(a, discardLimit))
}

// copyResponse streams the body of a response to w. It fails if the response cannot be
// read to its end or if w cannot be written.
func copyResponse(w http.ResponseWriter, a *exchange.Response) error {
	buf := make([]byte, min(copyBuffer, bufferFor(a.ContentLength)))
	for {
		k, err := a.Read(buf)
		if k > 0 {
			if _, werr := w.Write(buf[:k]); werr != nil {
				return errors.Wrap(werr, "write the answer")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
	}
}

// bufferFor returns the buffer size for a body of the given length. The buffer is one
// byte larger than the body, so that the last read also returns the end of the body.
func bufferFor(length int64) int64 {
	if length < 0 {
		return copyBuffer
	}
	return length + 1
}

// bufferResponse reads up to responseBufferLimit bytes of a response. complete is false if
// the response is longer.
func bufferResponse(a *exchange.Response) (body []byte, complete bool, err error) {
	if a.ContentLength > responseBufferLimit {
		return nil, false, nil
	}
	size := a.ContentLength
	if size < 0 {
		size = 4 << 10
	}
	body = make([]byte, 0, size+1)
	for len(body) <= responseBufferLimit {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		k, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+k]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, errors.Wrap(err, "read the answer")
		}
	}
	return body, false, nil
}
