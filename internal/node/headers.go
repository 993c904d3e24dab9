package node

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cardamomhatch/internal/engine"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// keyParameters are the query parameters in which a caller may present its key.
var keyParameters = []string{"key", "api_key", "access_token"}

// forwardable returns a copy of h without hop-by-hop headers, headers named by
// Connection, and internal headers.
func forwardable(h http.Header) http.Header {
	const added = 5 // headers that a node adds to an attempt
	out := make(http.Header, len(h)+added)
	copyForwardable(out, h)
	return out
}

func copyForwardable(out, h http.Header) {
	for name, values := range h {
		if !hopByHop[name] && !internal(name) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

func internal(name string) bool {
	return len(name) >= len(engine.HeaderPrefix) && strings.EqualFold(name[:len(engine.HeaderPrefix)], engine.HeaderPrefix)
}

// takeKey removes the caller's key from the header and query of a call and
// returns it. Every place a key can be in is emptied, also those not used.
func takeKey(header http.Header, target *url.URL) []byte {
	key, bearer := bearerKey(header["Authorization"])
	delete(header, "Authorization")
	query, inQuery := stripKeyParameters(target.RawQuery)
	target.RawQuery = query
	if bearer {
		return []byte(key)
	}
	return []byte(inQuery)
}

func bearerKey(lines []string) (string, bool) {
	const scheme = "Bearer "
	for _, line := range lines {
		if len(line) > len(scheme) && strings.EqualFold(line[:len(scheme)], scheme) {
			return strings.TrimSpace(line[len(scheme):]), true
		}
	}
	return "", false
}

// stripKeyParameters returns the query without key parameters and the value of
// the first one. The rest of the query keeps its bytes. Semicolons separate
// parameters as well, because some upstreams read them so.
func stripKeyParameters(raw string) (rest, key string) {
	var kept strings.Builder
	for raw != "" {
		end := strings.IndexAny(raw, "&;")
		if end < 0 {
			end = len(raw)
		}
		pair := raw[:end]
		following := raw[min(end+1, len(raw)):]
		name, value, _ := strings.Cut(pair, "=")
		if !isKeyParameter(name) {
			kept.WriteString(raw[:len(raw)-len(following)])
		} else if v, err := url.QueryUnescape(value); err == nil && key == "" {
			key = v
		}
		raw = following
	}
	return strings.TrimRight(kept.String(), "&;"), key
}

// isKeyParameter also matches other cases and spellings with escapes, because an
// upstream may read them leniently.
func isKeyParameter(name string) bool {
	if plain, err := url.QueryUnescape(name); err == nil {
		name = plain
	}
	for _, parameter := range keyParameters {
		if strings.EqualFold(name, parameter) {
			return true
		}
	}
	return false
}

// withheldTrailer reports whether a trailer of a request must not be forwarded.
func withheldTrailer(name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return name == "Authorization" || hopByHop[name] || internal(name) || isKeyParameter(name)
}

// callerTimeout reads the caller's own limit. Zero means none.
func callerTimeout(h http.Header) time.Duration {
	const limit = uint64(time.Hour / time.Millisecond)
	value := h.Get(engine.TimeoutHeader)
	if value == "" {
		return 0 // without the error value that parsing would allocate
	}
	ms, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0
	}
	return time.Duration(min(ms, limit)) * time.Millisecond
}

// milliseconds formats a remaining time, rounded up so that a positive one
// never reads as zero.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}

// shed reports whether an upstream states that it did not run the call.
func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(engine.ShedHeader) != ""
}
