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

// hopByHopHeaders lists the headers that are not forwarded: those that apply to a
// single connection (RFC 9110, section 7.6.1), those between a client and a proxy,
// and Expect, which call.newRequest sets anew for each streamed attempt.
var hopByHopHeaders = map[string]bool{
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

// keyParameters lists the query parameters in which a caller may send its key.
var keyParameters = []string{"key", "api_key", "access_token"}

// forwardableHeader returns a copy of h without hop-by-hop headers, headers
// named by Connection, and internal headers.
func forwardableHeader(h http.Header) http.Header {
	const maxAdded = 5 // headers that a node adds to an attempt
	out := make(http.Header, len(h)+maxAdded)
	copyForwardableHeader(out, h)
	return out
}

func copyForwardableHeader(out, h http.Header) {
	for name, values := range h {
		if !hopByHopHeaders[name] && !isInternalHeader(name) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

func isInternalHeader(name string) bool {
	return len(name) >= len(engine.HeaderPrefix) && strings.EqualFold(name[:len(engine.HeaderPrefix)], engine.HeaderPrefix)
}

// extractKey removes the caller's key from the header and query of a call and
// returns it. A bearer token takes precedence over a query parameter. Every place
// that can hold a key is cleared, including those whose value is not returned.
func extractKey(header http.Header, target *url.URL) []byte {
	key, bearer := bearerKey(header["Authorization"])
	delete(header, "Authorization")
	query, queryKey := stripKeyParameters(target.RawQuery)
	target.RawQuery = query
	if bearer {
		return []byte(key)
	}
	return []byte(queryKey)
}

// bearerKey returns the token of the first Authorization line with the scheme
// Bearer.
func bearerKey(lines []string) (string, bool) {
	const scheme = "Bearer "
	for _, line := range lines {
		if len(line) > len(scheme) && strings.EqualFold(line[:len(scheme)], scheme) {
			return strings.TrimSpace(line[len(scheme):]), true
		}
	}
	return "", false
}

// stripKeyParameters returns the query without key parameters, and the first of
// their values that can be decoded and is not empty. The remaining bytes of the
// query are unchanged, except that separators at its end are removed. Semicolons
// also separate parameters, because some upstreams parse them that way.
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

// isKeyParameter ignores case and decodes percent-encoding, because an upstream
// may parse parameter names leniently.
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

// isWithheldTrailer reports whether a request trailer must not be forwarded.
func isWithheldTrailer(name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return name == "Authorization" || hopByHopHeaders[name] || isInternalHeader(name) || isKeyParameter(name)
}

// callerTimeout returns the timeout that the caller asked for, at most one
// hour. It returns zero if the header is missing or malformed.
func callerTimeout(h http.Header) time.Duration {
	const limit = uint64(time.Hour / time.Millisecond)
	value := h.Get(engine.TimeoutHeader)
	if value == "" {
		return 0 // avoids the allocation of a parse error
	}
	ms, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0
	}
	return time.Duration(min(ms, limit)) * time.Millisecond
}

// formatMilliseconds formats a remaining time, rounded up so that a positive
// duration is never sent as zero.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}

// isShedResponse reports whether the upstream states that it shed the call
// without running it.
func isShedResponse(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(engine.ShedHeader) != ""
}
