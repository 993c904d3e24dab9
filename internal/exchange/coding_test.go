package exchange

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"
)

// lookalike is a body that resembles the head of a malformed response.
const lookalike = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// The scan must find a transfer coding however the bytes arrive, and only in heads of HTTP/1.0.
func TestCodingScan(t *testing.T) {
	const found = "Transfer-Encoding: chunked\r\n\r\n"
	for head, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\n" + found:                                         true,
		"HTTP/1.0 200\n" + found:                                              true,
		"HTTP/1.0   200 OK\r\nX: y\r\n" + found:                               true,
		"HTTP/1.0 200 OK\r\ntRANSFER-ENCODING:\r\n\r\n":                       true,
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.0 200 OK\r\n" + found: true,
		"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n" + found:            true,
		"HTTP/1.1 200 OK\r\n" + found:                                         false,
		"HTTP/1.1 200 OK\r\n\r\n" + lookalike:                                 false,
		"HTTP/1.0 200 OK\r\n\r\n" + lookalike:                                 false,
		"HTTP/1.0 200 OK\r\nX-" + found:                                       false,
		"HTTP/1.0 200 OK\r\nX: " + found:                                      false,
		"HTTP/1.0 200 OK\r\nX: y\r\n " + found:                                false,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + found:         false,
	} {
		for size := 1; size <= len(head); size++ {
			var s codingScan
			for p := []byte(head); len(p) > 0; p = p[min(size, len(p)):] {
				s.scan(p[:min(size, len(p))])
			}
			if s.found != want {
				t.Errorf("%q in pieces of %d bytes: found %t, want %t", head, size, s.found, want)
			}
		}
	}
}

// Well-formed responses of HTTP/1.0 must be taken, with a length and without one, and whatever
// their bodies resemble.
func TestHTTP10(t *testing.T) {
	for name, raw := range map[string]string{
		"length":      "HTTP/1.0 200 OK\r\nContent-Length: 47\r\n\r\n" + lookalike,
		"no length":   "HTTP/1.0 200 OK\r\n\r\n" + lookalike,
		"after 103":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n\r\n" + lookalike,
		"in HTTP/1.1": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2f\r\n" + lookalike + "\r\n0\r\n\r\n",
	} {
		address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.Copy(c, iotest.OneByteReader(strings.NewReader(raw)))
			return false
		})
		r := newGet("1")
		r.Matches = nil
		if body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), r); err != nil || body != lookalike {
			t.Errorf("%s: got %q, %v", name, body, err)
		}
		if body, err := get(&http.Client{Transport: Strict(&http.Transport{})}, "http://"+address); err != nil || body != lookalike {
			t.Errorf("%s, Strict: got %q, %v", name, body, err)
		}
	}
}

// A transfer coding must also be found in a later response on a connection, and must not make the
// transport send the request once more.
func TestCodingOnAKeptConnection(t *testing.T) {
	var requests atomic.Int64
	address, accepted := startUpstream(t, func(n int, c net.Conn, _ *http.Request) bool {
		requests.Add(1)
		head := "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 47\r\n"
		if n == 3 {
			head += "Transfer-Encoding: chunked\r\n"
		}
		io.WriteString(c, head+"\r\n"+lookalike)
		return true
	})
	client := &http.Client{Transport: Strict(&http.Transport{})}
	for range 2 {
		if body, err := get(client, "http://"+address); err != nil || body != lookalike {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if body, err := get(client, "http://"+address); err == nil || requests.Load() != 3 || accepted.Load() != 1 {
		t.Errorf("got %q, %v after %d requests on %d connections, want an error after 3 on one", body, err, requests.Load(), accepted.Load())
	}
}

// Behind TLS, the decrypted bytes must be checked, and the certificate of the server as before.
func TestStrictWithTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		if r.URL.Path == "/sound" {
			io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n"+lookalike)
			return
		}
		io.WriteString(conn, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwrong")
	}))
	defer server.Close()
	client := &http.Client{Transport: Strict(server.Client().Transport.(*http.Transport).Clone())}
	if body, err := get(client, server.URL+"/sound"); err != nil || body != lookalike {
		t.Errorf("got %q, %v", body, err)
	}
	if body, err := get(client, server.URL); err == nil {
		t.Errorf("a malformed response was accepted: %q", body)
	}
	if body, err := get(&http.Client{Transport: Strict(&http.Transport{})}, server.URL+"/sound"); err == nil {
		t.Errorf("a certificate of an unknown authority was accepted: %q", body)
	}
}

// get returns the body of the response to a GET request.
func get(c *http.Client, url string) (string, error) {
	resp, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
