package exchange

import (
	"bytes"

	"github.com/pkg/errors"
)

// transferEncoding is the start of a Transfer-Encoding field in lower case.
const transferEncoding = "transfer-encoding:"

var errTransferCoding = errors.New("malformed response: transfer coding in HTTP/1.0")

// codingScan looks for a transfer coding in the heads of HTTP/1.0 responses, whose framing is faulty
// (RFC 9112, section 6.1). It reads the raw bytes, because net/http removes the field and takes the
// coded body for the body. It covers a final response and the interim responses before it.
type codingScan struct {
	line    [len(transferEncoding)]byte // the first bytes of the current line
	length  int                         // of line
	inHead  bool                        // the status line has been read
	http10  bool                        // the current head is in HTTP/1.0
	interim bool                        // another head follows the current one
	ended   bool                        // no further byte has to be looked at
	found   bool                        // a head has a transfer coding
}

// scan takes the next bytes of the responses. It returns how many of them precede the colon of the
// transfer coding that it finds, and all of them if it finds none.
func (s *codingScan) scan(p []byte) int {
	for i, b := range p {
		switch {
		case s.ended:
			return len(p)
		case b == '\n':
			s.endLine()
			continue
		case s.length == len(s.line):
			continue
		}
		s.line[s.length] = b
		s.length++
		if s.inHead && s.http10 && s.length == len(s.line) && bytes.EqualFold(s.line[:], []byte(transferEncoding)) {
			s.found, s.ended = true, true
			return i
		}
	}
	return len(p)
}

// endLine handles the end of a line.
func (s *codingScan) endLine() {
	line := bytes.TrimSuffix(s.line[:s.length], []byte("\r"))
	s.length = 0
	switch {
	case !s.inHead:
		version, status, _ := bytes.Cut(line, []byte(" "))
		status = bytes.TrimLeft(status, " ") // as net/http does
		s.inHead = true
		s.http10 = string(version) == "HTTP/1.0"
		s.interim = bytes.HasPrefix(status, []byte("1")) || len(status) == 0
		s.ended = !s.http10 && !s.interim
	case len(line) == 0:
		s.ended = !s.interim
		s.inHead = false
	}
}
