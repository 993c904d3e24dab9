package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// chunks returns a reader of the given number of bytes whose length is not known, in pieces.
func chunks(size int) io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", size))) }

// A server that is in trouble answers an upload at once without a length, and its connection
// breaks while the upload is still being written. The part that has arrived must not be taken for
// the answer: the writer of the upload may be the one that the kernel tells of the reset.
func TestAnswerThatEndsWithAReset(t *testing.T) {
	const body = 3000
	for name, test := range map[string]struct {
		head  string
		reset bool // instead of closing the connection with the upload unread
		pause time.Duration
	}{
		"200, closed":            {head: "HTTP/1.1 200 OK\r\n"},
		"200, reset":             {head: "HTTP/1.1 200 OK\r\n", reset: true},
		"404, reset":             {head: "HTTP/1.1 404 Not Found\r\n", reset: true},
		"200 after 103, reset":   {head: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n", reset: true},
		"200, reset after 10 ms": {head: "HTTP/1.1 200 OK\r\n", reset: true, pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
				io.WriteString(c, test.head+"X-Id: 1\r\n\r\n"+strings.Repeat("a", body))
				time.Sleep(test.pause)
				if test.reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			p := New(Config{Address: address, DialTimeout: time.Second})
			for _, size := range []int{20_000, 720_000, 8 << 20} {
				whole := 0
				for range 20 {
					r := newGet("1")
					r.Method, r.Body = "POST", Body{Source: chunks(size), Length: -1}
					if got, err := fetch(t, p, r); err == nil {
						whole++
						if len(got) != body {
							t.Errorf("%d of %d bytes were taken for the answer", len(got), body)
						}
					}
				}
				if whole > 0 {
					t.Errorf("upload of %d bytes: %d of 20 answers were taken for complete", size, whole)
				}
			}
		})
	}
}

// A server may answer a long upload without a length, and close its side of the connection before
// it has read the upload to its end. Such an answer is complete.
func TestAnswerThatEndsBeforeTheUpload(t *testing.T) {
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
		c.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		return true // reads the rest of the upload
	})
	for range 5 {
		r := newGet("1")
		r.Method, r.Body = "POST", Body{Source: chunks(8 << 20), Length: -1}
		if got, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), r); err != nil || got != "abc" {
			t.Errorf("got %q, %v, want \"abc\"", got, err)
		}
	}
}

// The check of the end of a connection must end with the context of the exchange.
func TestCallerLeavesBeforeTheEndOfTheUpload(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address, _ := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
		c.(*net.TCPConn).CloseWrite()
		<-release
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newGet("1")
	r.Method, r.Body = "POST", Body{Source: chunks(32 << 20), Length: -1}
	resp, err := New(Config{Address: address, DialTimeout: time.Second}).Do(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	if _, err := io.ReadAll(resp); err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("reading ended after %v with error %v, want an error when the caller has left", time.Since(began), err)
	}
}
