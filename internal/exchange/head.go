package exchange

import (
	"io"
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the head of a parsed response is malformed. The parser of net/http
// lets such heads through: it takes any two digits for a version, any three characters that are a
// number for a status, any bytes for a reason, and keeps a field name with a blank as it is, so that
// "Content-Length : 5" states no length. CheckHead also refuses 101 Switching Protocols, as no request
// asks for an upgrade.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 || r.ProtoMinor > 1 {
		return errors.Errorf("malformed response: version %q", r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || !httpguts.ValidHeaderFieldValue(r.Status) {
		return errors.Errorf("malformed response: status %q", r.Status)
	}
	if r.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("malformed response: 101 Switching Protocols to a request without an upgrade")
	}
	if err := checkNames(r.Header); err != nil {
		return err
	}
	return checkNames(r.Trailer)
}

func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("malformed response: name of a field %q", name)
		}
	}
	return nil
}

// checkResponse is CheckHead for a response with a body. It also makes reads of the body fail at its
// end if the trailer is malformed.
func checkResponse(r *http.Response) error {
	if err := CheckHead(r); err != nil {
		return err
	}
	if len(r.TransferEncoding) > 0 {
		r.Body = &bodyWithTrailer{r.Body, r}
	}
	return nil
}

// bodyWithTrailer is the body of a response that may have a trailer.
type bodyWithTrailer struct {
	io.ReadCloser
	response *http.Response // its trailer is complete at the end of the body
}

// Read implements io.Reader.
func (b *bodyWithTrailer) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var protocolErr textproto.ProtocolError // from the parser of the trailer
	if err == io.EOF {
		if namesErr := checkNames(b.response.Trailer); namesErr != nil {
			err = &TrailerError{namesErr}
		}
	} else if errors.As(err, &protocolErr) {
		err = &TrailerError{err}
	}
	return n, err
}

// TrailerError is the error of reading a body whose trailer is malformed.
type TrailerError struct{ cause error }

// Error implements error.
func (e *TrailerError) Error() string { return e.cause.Error() }

// IsTrailerError reports whether err is or wraps a TrailerError. Other errors of reading a body mean
// that the response broke off, which leaves its head in force.
func IsTrailerError(err error) bool {
	var trailerErr *TrailerError
	return errors.As(err, &trailerErr)
}
