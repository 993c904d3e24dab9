package sidecar

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cardamomhatch/internal/exchange"
)

const (
	// holdLimit is the size up to which an answer is read completely before its
	// header is sent on, so that one that breaks off can be replaced.
	holdLimit  = 64 << 10
	copyBuffer = 16 << 10
	// discardLimit bounds what is read of an answer that is not sent on, so that
	// its connection can be used again.
	discardLimit = 16 << 10
)

// discard reads the rest of a short answer.
func discard(a *exchange.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(a, discardLimit))
}

// copyAnswer streams a body. The error is that of the answer; a receiver that
// does not read any more ends the copy as well.
func copyAnswer(w http.ResponseWriter, a *exchange.Response) error {
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

// bufferFor returns a buffer size for a body; one byte more lets the end be
// seen with the last read.
func bufferFor(length int64) int64 {
	if length < 0 {
		return copyBuffer
	}
	return length + 1
}

// hold reads an answer up to holdLimit. The result is false if it is longer.
func hold(a *exchange.Response) (body []byte, whole bool, err error) {
	if a.ContentLength > holdLimit {
		return nil, false, nil
	}
	size := a.ContentLength
	if size < 0 {
		size = 4 << 10
	}
	body = make([]byte, 0, size+1)
	for len(body) <= holdLimit {
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
