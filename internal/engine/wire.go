package engine

import (
	"crypto/subtle"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// Headers between nodes and between a node and its upstream. TicketHeader and
// TimeoutHeader are also used between callers and nodes. A node removes all headers
// with HeaderPrefix from a request or response before it passes it on, and then sets
// those for the receiver.
const (
	HeaderPrefix    = "Cardamomhatch-"
	HopHeader       = "Cardamomhatch-Hop"  // Hop of a forwarded call
	LoadHeader      = "Cardamomhatch-Load" // Load reported by the serving node
	CallHeader      = "Cardamomhatch-Call" // Token of the call that the upstream runs
	WorkspaceHeader = "Cardamomhatch-Workspace"
	TimeoutHeader   = "Cardamomhatch-Timeout-Ms"
	TicketHeader    = "Cardamomhatch-Ticket"
	// ShedHeader is set by an upstream on a 503 to state that it did not run
	// the call.
	ShedHeader = "Cardamomhatch-Shed"
)

// Token identifies a running call to the local upstream. It is random, so that
// an upstream can refer only to calls that were sent to it.
type Token [16]byte

// String returns the value of CallHeader.
func (t Token) String() string { return hex.EncodeToString(t[:]) }

// Equal compares in constant time.
func (t Token) Equal(other Token) bool { return subtle.ConstantTimeCompare(t[:], other[:]) == 1 }

// ParseToken is the inverse of Token.String.
func ParseToken(s string) (Token, error) {
	var t Token
	if len(s) != hex.EncodedLen(len(t)) {
		return t, errors.Errorf("call token has %d characters, want %d", len(s), hex.EncodedLen(len(t)))
	}
	if _, err := hex.Decode(t[:], []byte(s)); err != nil {
		return t, errors.Wrap(err, "call token")
	}
	return t, nil
}

// Hop holds the metadata of a call that one node forwards to another.
type Hop struct {
	Action     mesh.ActionID
	Workspace  mesh.Workspace
	Service    mesh.Service
	Class      mesh.Class
	Remaining  time.Duration // time left until the deadline, when sent
	Allowance  int           // retries that the receiver may use
	Attempt    int
	Depth      int
	Resumed    bool // an earlier call of the action was admitted
	Continued  bool // an earlier downstream call of the action has returned a response
	Idempotent bool
	Ticket     string // set if the call is forwarded to the owner of its ticket
	Wall       int64  // wall time of the sender's hybrid logical clock, in nanoseconds since the Unix epoch
	Logical    uint32 // logical part of that clock
}

// Encode returns the value of HopHeader.
func (h Hop) Encode() string {
	b := make([]byte, 0, 128)
	appendHex := func(name string, v uint64) {
		b = append(b, name...)
		b = strconv.AppendUint(b, v, 16)
	}
	appendDecimal := func(name string, v int64) {
		b = append(b, name...)
		b = strconv.AppendInt(b, v, 10)
	}
	appendText := func(name, v string) {
		b = append(b, name...)
		b = append(b, url.QueryEscape(v)...)
	}
	appendHex("a=", uint64(h.Action))
	appendDecimal("&c=", int64(h.Class))
	appendDecimal("&d=", int64(h.Depth))
	appendText("&i=", boolDigit(h.Idempotent))
	appendDecimal("&l=", int64(h.Allowance))
	appendDecimal("&m=", progressBits(h))
	appendDecimal("&n=", int64(h.Attempt))
	appendHex("&p=", uint64(h.Wall))
	appendHex("&q=", uint64(h.Logical))
	appendDecimal("&r=", h.Remaining.Microseconds())
	appendText("&s=", string(h.Service))
	appendText("&t=", h.Ticket)
	appendText("&w=", string(h.Workspace))
	return string(b)
}

// The bits of field m, which encodes Hop.Resumed and Hop.Continued.
const (
	progressResumed   = 1
	progressContinued = 2
	maxProgress       = progressResumed | progressContinued
)

func progressBits(h Hop) int64 {
	progress := 0
	if h.Resumed {
		progress |= progressResumed
	}
	if h.Continued {
		progress |= progressContinued
	}
	return int64(progress)
}

func boolDigit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// ParseHop is the inverse of Hop.Encode. The error names the invalid field.
func ParseHop(s string) (Hop, error) {
	v, err := parseFields(s)
	if err != nil {
		return Hop{}, errors.Wrap(err, "hop header")
	}
	p := fieldParser{values: v}
	progress := p.parseAtMost("m", maxProgress)
	h := Hop{
		Action:     mesh.ActionID(p.parseUint("a", 16, 64)),
		Workspace:  mesh.Workspace(v.Get("w")),
		Service:    mesh.Service(v.Get("s")),
		Class:      mesh.Class(p.parseAtMost("c", mesh.NumClasses-1)),
		Remaining:  time.Duration(p.parseAtMost("r", int(maxHopRemaining.Microseconds()))) * time.Microsecond,
		Allowance:  p.parseAtMost("l", maxHopAllowance),
		Attempt:    p.parseAtMost("n", maxHopAttempt),
		Depth:      p.parseAtMost("d", maxHopDepth),
		Resumed:    progress&progressResumed != 0,
		Continued:  progress&progressContinued != 0,
		Idempotent: v.Get("i") == "1",
		Ticket:     v.Get("t"),
		Wall:       int64(p.parseUint("p", 16, 63)),
		Logical:    uint32(p.parseUint("q", 16, 32)),
	}
	return h, p.err
}

// Limits on the fields of a hop, so that values from a faulty peer cannot
// overflow sums.
const (
	maxHopRemaining = time.Hour
	maxHopAllowance = 1 << 10
	maxHopAttempt   = 1 << 10
	maxHopDepth     = 1 << 8
)

// fields holds the values of a hop header, indexed by the one-letter name of the
// field.
type fields ['z' - 'a' + 1]string

// Get returns the value of a field, or an empty string.
func (f *fields) Get(name string) string { return f[name[0]-'a'] }

func parseFields(s string) (*fields, error) {
	var f fields
	for pair := range strings.SplitSeq(s, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if len(name) != 1 || name[0] < 'a' || name[0] > 'z' {
			return nil, errors.Errorf("field %q does not exist", name)
		}
		decoded, err := url.QueryUnescape(value)
		if err != nil {
			return nil, errors.Wrapf(err, "field %q", name)
		}
		f[name[0]-'a'] = decoded
	}
	return &f, nil
}

// fieldParser converts fields to numbers and retains the first error.
type fieldParser struct {
	values *fields
	err    error
}

func (p *fieldParser) parseUint(name string, base, bits int) uint64 {
	n, err := strconv.ParseUint(p.values.Get(name), base, bits)
	if err != nil && p.err == nil {
		p.err = errors.Wrapf(err, "field %q", name)
	}
	return n
}

func (p *fieldParser) parseAtMost(name string, limit int) int {
	n := p.parseUint(name, 10, 63)
	if n > uint64(limit) && p.err == nil {
		p.err = errors.Errorf("field %q is %d, above %d", name, n, limit)
	}
	return int(min(n, uint64(limit)))
}

// Load is the load report that a serving node adds to a response.
type Load struct {
	InFlight  int           // calls that the upstream is running
	Limit     int           // calls that admission control lets the upstream run at once
	QueueWait time.Duration // expected wait in the admission queue of a call that arrives now
	Cut       mesh.Cut      // load-shedding threshold of the serving node and its downstream services
	Returned  int           // part of Hop.Allowance that was not used
}

// Encode returns the value of LoadHeader.
func (l Load) Encode() string {
	b := make([]byte, 0, 48)
	for i, v := range [loadFieldCount]int64{
		int64(l.InFlight), int64(l.Limit), l.QueueWait.Microseconds(),
		int64(l.Cut.Class), int64(l.Cut.Share), int64(l.Returned),
	} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, v, 10)
	}
	return string(b)
}

const loadFieldCount = 6

// ParseLoad is the inverse of Load.Encode.
func ParseLoad(s string) (Load, error) {
	var values [loadFieldCount]int
	count := 0
	for part := range strings.SplitSeq(s, " ") {
		if count == loadFieldCount {
			return Load{}, errors.Errorf("load header has more than %d fields", loadFieldCount)
		}
		value, err := strconv.ParseUint(part, 10, 31)
		if err != nil {
			return Load{}, errors.Wrapf(err, "load header, field %d", count)
		}
		values[count] = int(value)
		count++
	}
	if count != loadFieldCount {
		return Load{}, errors.Errorf("load header has %d fields, want %d", count, loadFieldCount)
	}
	if values[3] >= mesh.NumClasses || values[4] > mesh.CutScale || values[5] > maxHopAllowance {
		return Load{}, errors.Errorf("load header %q: class, share or returned retries above the limit", s)
	}
	return Load{
		InFlight:  values[0],
		Limit:     values[1],
		QueueWait: time.Duration(values[2]) * time.Microsecond,
		Cut:       mesh.Cut{Class: mesh.Class(values[3]), Share: uint16(values[4])},
		Returned:  values[5],
	}, nil
}
