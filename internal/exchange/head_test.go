package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/standin/malformed"
)

// An upstream in trouble sends a malformed response. It must fail the exchange as one whose
// request may have run, not be skipped or passed on with a body that is not the upstream's.
func TestMalformedHeads(t *testing.T) {
	for name, raw := range malformed.Responses("wrong") {
		address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, raw)
			return false
		})
		r := newGet("1")
		r.Matches = nil
		body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), r)
		if strings.HasPrefix(name, "trailer,") { // it is read with the body
			if err == nil || !strings.Contains(err.Error(), "malformed") {
				t.Errorf("%s: got body %q and error %v, want one that says malformed", name, body, err)
			}
			continue
		}
		var failure *Failure
		if !errors.As(err, &failure) || !failure.Sent || !strings.Contains(err.Error(), "malformed") {
			t.Errorf("%s: got body %q and error %v, want a failure of a request that was sent", name, body, err)
		}
	}
}

// Every well-formed reason must be taken: none, and one with a tab or with bytes beyond ASCII.
func TestReasons(t *testing.T) {
	for _, reason := range []string{"", " ", " OK", " a\tb", " \xe9t\xe9"} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200"+reason+"\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc")
			return true
		})
		if body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), newGet("1")); err != nil || body != "abc" {
			t.Errorf("%q: got %q, %v", reason, body, err)
		}
	}
}

// A well-formed trailer must be taken, stated in the head or not.
func TestTrailers(t *testing.T) {
	for _, stated := range []string{"", "Trailer: X-Sum\r\n"} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+stated+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n")
			return true
		})
		if body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), newGet("1")); err != nil || body != "abc" {
			t.Errorf("%q: got %q, %v", stated, body, err)
		}
		if body, err := get(&http.Client{Transport: Strict(&http.Transport{})}, "http://"+address); err != nil || body != "abc" {
			t.Errorf("%q, Strict: got %q, %v", stated, body, err)
		}
	}
}

// The same responses must fail where net/http's own client reads them.
func TestMalformedHeadsWithStrict(t *testing.T) {
	for name, raw := range malformed.Responses("wrong") {
		if strings.Contains(name, "interim") {
			continue // net/http.Transport does not show the heads of interim responses
		}
		server := httptest.NewServer(malformed.Handler(raw))
		client := &http.Client{Transport: Strict(&http.Transport{})}
		if resp, err := client.Get(server.URL); err == nil {
			body, bodyErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			if bodyErr == nil || !strings.HasPrefix(name, "trailer,") { // a trailer is read with the body
				t.Errorf("%s: got status %q, body %q and error %v", name, resp.Status, body, bodyErr)
			}
		}
		server.Close()
	}
}
