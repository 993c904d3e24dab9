package sidecar

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/routing"
)

const (
	headerPrefix = "Cardamomhatch-" // of all header fields that nodes exchange
	hopHeader    = "Cardamomhatch-Hop"
	loadHeader   = "Cardamomhatch-Load"
	originHeader = "Cardamomhatch-Origin" // origin and fanout of a nested call; see origin.go
	hopFields    = 12                     // least number of fields in hopHeader, separated by semicolons
	reportFields = 5                      // positional fields in loadHeader, separated by commas; named ones may follow
)

// hop is the metadata that an entry node sends with a request to the serving node, in
// the header hopHeader.
type hop struct {
	Target        mesh.NodeID
	Service       mesh.Service
	Workspace     mesh.Workspace
	Caller        mesh.Service // service of the entry node
	Route         string
	Level         pressure.Level
	Weight        float64       // number of requests of the level that this one represents
	Nested        bool          // made by an upstream on behalf of a running request
	NonIdempotent bool          // must not run twice
	Retry         bool          // a retry, or a nested call of a retry
	Remaining     time.Duration // until the deadline
	MaxWait       time.Duration // longest time in the queue of the serving node
	Grace         time.Duration // for which a response is awaited beyond the deadline
	NamedReport   bool          // the entry node reads the cut for an origin in the report
	Origin        string        // entry route of the request, or of the request on whose behalf it is made; empty: not known
	Fanout        float64       // requests like this one for each entry request of the origin
	WantsCapacity bool          // the entry node reads the capacity in the report
}

// encode returns the value of hopHeader. Names are not escaped: catalog.New rejects
// declared names that contain a separator. The names of the caller and the target host
// come from settings, which do not reject separators; the peer refuses a request with
// such a name. The first field is the version of the format. Earlier versions left the last
// field, the grace, empty, and refuse a header with more fields.
func (h *hop) encode() string {
	flags := ""
	for _, flag := range []struct {
		set  bool
		name string
	}{{h.Nested, "i"}, {h.NonIdempotent, "o"}, {h.Retry, "r"}, {h.NamedReport, "n"}, {h.WantsCapacity, "c"}} {
		if flag.set {
			flags += flag.name
		}
	}
	return strings.Join([]string{
		"1", peer.FormatNode(h.Target), string(h.Service), string(h.Workspace), string(h.Caller),
		strconv.Itoa(int(h.Level)), flags,
		strconv.FormatInt(h.Remaining.Milliseconds(), 10), strconv.FormatInt(h.MaxWait.Milliseconds(), 10), h.Route,
		strconv.FormatFloat(h.Weight, 'f', 2, 64), strconv.FormatInt(h.Grace.Milliseconds(), 10),
	}, ";")
}

// parseHop parses a header value written by hop.encode. Further fields are ignored.
func parseHop(value string) (hop, error) {
	fields := strings.Split(value, ";")
	if len(fields) < hopFields || fields[0] != "1" {
		return hop{}, fmt.Errorf("header %s has %d fields and version %q", hopHeader, len(fields), fields[0])
	}
	target, err := peer.ParseNode(fields[1])
	if err != nil {
		return hop{}, err
	}
	numbers := [4]int64{}
	for i, text := range []string{fields[5], fields[7], fields[8], cmp.Or(fields[11], "0")} {
		if numbers[i], err = strconv.ParseInt(text, 10, 64); err != nil {
			return hop{}, fmt.Errorf("header %s: %q is not a number", hopHeader, text)
		}
	}
	weight, err := strconv.ParseFloat(fields[10], 64)
	if err != nil {
		return hop{}, fmt.Errorf("header %s: %q is not a number", hopHeader, fields[10])
	}
	return hop{
		Weight: weight,
		Target: target, Service: mesh.Service(fields[2]), Workspace: mesh.Workspace(fields[3]), Caller: mesh.Service(fields[4]),
		Route: fields[9], Level: pressure.Level(min(max(numbers[0], 0), pressure.NumLevels-1)),
		Nested: strings.Contains(fields[6], "i"), NonIdempotent: strings.Contains(fields[6], "o"), Retry: strings.Contains(fields[6], "r"),
		NamedReport:   strings.Contains(fields[6], "n"),
		WantsCapacity: strings.Contains(fields[6], "c"),
		Remaining:     time.Duration(numbers[1]) * time.Millisecond,
		MaxWait:       time.Duration(numbers[2]) * time.Millisecond,
		Grace:         min(max(time.Duration(numbers[3])*time.Millisecond, 0), maxGrace),
	}, nil
}

// report is the state of a serving node. Every response to a forwarded request carries
// it in the header loadHeader.
type report struct {
	Load  routing.Report
	Phase roster.Phase
	Cut   pressure.Cut // level-wise minimum of the cuts of the upstream and of all services that the route calls
	// Origin is the cut for the origin of the request. It is valid if HasOrigin is set, which it
	// is only if that cut differs from Cut and the entry node reads it.
	Origin    pressure.OriginCut
	HasOrigin bool
	// Evacuated states that the data centre of the node is evacuated, by the record at
	// EvacuatedAt.
	Evacuated   bool
	EvacuatedAt evacuation.Position
}

// encode returns the value of loadHeader.
func (r report) encode() string {
	value := fmt.Sprintf("%d,%d,%d,%d,%s", r.Load.InFlight, r.Load.Queued, r.Load.Limit, r.Phase, r.Cut.Encode())
	if r.HasOrigin {
		value += encodeOriginCut(r.Origin)
	}
	if r.Load.UsualLatency > 0 {
		value += fmt.Sprintf(",%s=%d,%s=%.2f", usualLatencyKey, r.Load.UsualLatency.Microseconds(), slownessKey, r.Load.Slowness)
	}
	return value + encodeEvacuated(r.Evacuated, r.EvacuatedAt)
}

// parseReport parses the report in the header of a response. It returns false if the
// report is missing or malformed. Named fields follow the positional ones in any order; those
// that are not known or malformed are ignored.
func parseReport(h http.Header) (report, bool) {
	fields := strings.Split(h.Get(loadHeader), ",")
	if len(fields) < reportFields {
		return report{}, false
	}
	var numbers [reportFields - 1]int
	for i := range numbers {
		var err error
		if numbers[i], err = strconv.Atoi(fields[i]); err != nil {
			return report{}, false
		}
	}
	cut, err := pressure.ParseCut(fields[reportFields-1])
	if err != nil {
		return report{}, false
	}
	r := report{Load: routing.Report{InFlight: numbers[0], Queued: numbers[1], Limit: numbers[2]}, Phase: roster.Phase(numbers[3]), Cut: cut}
	r.Origin, r.HasOrigin = parseOriginCut(fields[reportFields:])
	for _, field := range fields[reportFields:] {
		key, value, _ := strings.Cut(field, "=")
		r.setCapacity(key, value)
	}
	r.Evacuated, r.EvacuatedAt = parseEvacuated(fields[reportFields:])
	return r, true
}

// unforwardedHeaders are the header fields that are not forwarded: those that apply to
// a single connection (RFC 9110, section 7.6.1), and Expect and Content-Length, which
// each node handles itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// endToEndHeaders returns the header fields to be forwarded: all except
// unforwardedHeaders, the fields that Connection names, the fields that nodes exchange,
// and the fields in drop.
func endToEndHeaders(h http.Header, drop ...string) http.Header {
	out := make(http.Header, len(h)+4) // runUpstream adds up to four fields
	for name, values := range h {
		if !unforwardedHeaders[name] && !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range drop {
		delete(out, name)
	}
	return out
}
