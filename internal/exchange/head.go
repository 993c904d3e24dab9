package exchange

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the head of a parsed response is malformed. The parser of net/http
// lets such heads through: it takes any two digits for a version, any three characters that are a
// number for a status, and keeps a field name with a blank as it is, so that "Content-Length : 5"
// states no length. CheckHead also refuses 101 Switching Protocols, as no request asks for an upgrade.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 || r.ProtoMinor > 1 {
		return errors.Errorf("malformed response: version %q", r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Errorf("malformed response: status %q", r.Status)
	}
	if r.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the response switches protocols, and the request did not ask for it")
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("malformed response: name of a header field %q", name)
		}
	}
	return nil
}
