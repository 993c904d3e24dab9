package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startUpstream starts a server that passes each request, numbered from 1, to handle,
// which writes raw bytes to the connection and reports whether the server keeps the
// connection open. accepted counts the connections.
func startUpstream(t *testing.T, handle func(n int, c net.Conn, r *http.Request) bool) (address string, accepted *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = &atomic.Int64{}
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !handle(int(requests.Add(1)), c, r) {
						return
					}
					io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// rawResponse returns a complete response whose X-Id header is id.
func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newGet returns a request that accepts only responses whose X-Id header is id.
func newGet(id string) *Request {
	return &Request{
		Method: "GET", Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// fetch sends a request and returns the body of the response.
func fetch(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// If an upstream responds twice to a request, the second response must not be taken
// for the response to the next request.
func TestSecondAnswerBelongsToNoRequest(t *testing.T) {
	for name, delayed := range map[string]bool{"at once": false, "in place of the next response": true} {
		t.Run(name, func(t *testing.T) {
			address, accepted := startUpstream(t, func(n int, c net.Conn, r *http.Request) bool {
				id := r.Header.Get("X-Id")
				if n == 2 && delayed { // the client skips this response, because its X-Id does not match
					io.WriteString(c, rawResponse("1", "again"))
				}
				io.WriteString(c, rawResponse(id, "body "+id))
				if n == 1 && !delayed {
					io.WriteString(c, rawResponse(id, "again"))
				}
				return true
			})
			p := New(Config{Address: address, DialTimeout: time.Second})
			for _, id := range []string{"1", "2", "3"} {
				body, err := fetch(t, p, newGet(id))
				if err != nil || body != "body "+id {
					t.Fatalf("request %s got %q, %v, want its own body and no error", id, body, err)
				}
				time.Sleep(20 * time.Millisecond) // let extra bytes arrive
			}
			if got := accepted.Load(); got != 2 {
				t.Errorf("%d connections, want 2: one with extra bytes must not be reused", got)
			}
		})
	}
}

// A truncated response must be an error, even if it states no length.
func TestBrokenAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		raw   string
		reset bool
	}{
		"short body":           {raw: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc"},
		"unfinished chunks":    {raw: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		"reset without length": {raw: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
				io.WriteString(c, test.raw)
				if test.reset {
					time.Sleep(20 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			if body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), newGet("1")); err == nil {
				t.Fatalf("a truncated response was accepted: %q", body)
			}
		})
	}
	address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
		return false
	})
	if body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), newGet("1")); err != nil || body != "abc" {
		t.Errorf("a response that ends with its connection gave %q, %v, want \"abc\" and no error", body, err)
	}
}

// A failure must state correctly whether the request was sent, since this decides
// whether the request may be retried.
func TestFailureTellsWhetherTheRequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	var f *Failure
	if _, err := fetch(t, New(Config{Address: closed, DialTimeout: time.Second}), newGet("1")); !errors.As(err, &f) || f.Sent {
		t.Errorf("refused connection: got error %v, want a Failure that was not sent", err)
	}
	address, _ := startUpstream(t, func(int, net.Conn, *http.Request) bool { return false })
	if _, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), newGet("1")); !errors.As(err, &f) || !f.Sent {
		t.Errorf("connection closed without a response: got error %v, want a Failure that was sent", err)
	}
	silent, _ := startUpstream(t, func(int, net.Conn, *http.Request) bool { time.Sleep(time.Second); return false })
	r := newGet("1")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, err := fetch(t, New(Config{Address: silent, DialTimeout: time.Second}), r); !errors.As(err, &f) || !f.Timeout || !f.Sent {
		t.Errorf("no response before the deadline: got error %v, want a Failure that timed out and was sent", err)
	}
}

// An upstream may respond to a long request before it has read the body. The client must
// get the response, and the connection must not be reused.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	address, accepted := startUpstream(t, func(n int, c net.Conn, r *http.Request) bool {
		if n == 1 {
			io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "too long"))
			time.Sleep(300 * time.Millisecond)
			return false
		}
		io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "ok"))
		return true
	})
	p := New(Config{Address: address, DialTimeout: time.Second})
	r := newGet("1")
	r.Method, r.Body = "POST", Body{Source: strings.NewReader(strings.Repeat("x", 32<<20)), Length: 32 << 20}
	if body, err := fetch(t, p, r); err != nil || body != "too long" {
		t.Fatalf("response before the body was read: got %q, %v, want \"too long\"", body, err)
	}
	if body, err := fetch(t, p, newGet("2")); err != nil || body != "ok" || accepted.Load() != 2 {
		t.Fatalf("next request: got %q, %v after %d connections, want \"ok\" after 2", body, err, accepted.Load())
	}
}

// A connection that the server closed while it was idle must not be reused.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, accepted := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "ok"))
		return false
	})
	p := New(Config{Address: address, DialTimeout: time.Second})
	for _, id := range []string{"1", "2"} {
		if _, err := fetch(t, p, newGet(id)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}

// A request must not reuse a connection that was idle for longer than its MaxIdle.
// Requests that must not run twice depend on this.
func TestMaxIdle(t *testing.T) {
	address, accepted := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "ok"))
		return true
	})
	p := New(Config{Address: address, DialTimeout: time.Second})
	for i, maxIdle := range []time.Duration{0, 0, time.Millisecond} {
		r := newGet(fmt.Sprint(i))
		r.MaxIdle = maxIdle
		if _, err := fetch(t, p, r); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}

// A faulty upstream may send bytes without end where a response head is due. The exchange
// must fail before it has read many of them, and not hold them in memory until its deadline.
func TestEndlessHeadFails(t *testing.T) {
	for name, piece := range map[string]string{
		"status line": "x", "header line": "HTTP/1.1 200 OK\r\nX: ", "header fields": "HTTP/1.1 200 OK\r\n",
		"interim responses": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			repeated := strings.Repeat(map[string]string{"header fields": "A: b\r\n", "interim responses": piece}[name], 1000)
			if repeated == "" {
				repeated = strings.Repeat("x", 4000)
			}
			var written atomic.Int64
			address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
				io.WriteString(c, piece)
				for {
					n, err := io.WriteString(c, repeated)
					written.Add(int64(n))
					if err != nil {
						return false
					}
				}
			})
			p := New(Config{Address: address, DialTimeout: time.Second})
			began := time.Now()
			_, err := fetch(t, p, newGet("a"))
			var failure *Failure
			if !errors.As(err, &failure) || !failure.Sent || failure.Timeout {
				t.Errorf("error is %v, want a failure of a request that was sent, and no timeout", err)
			}
			// The sockets of both sides hold some megabytes.
			if elapsed := time.Since(began); elapsed > 2*time.Second || written.Load() > 64<<20 {
				t.Errorf("the exchange took %v and the upstream wrote %d bytes, want less than 2 s and 64 MiB", elapsed, written.Load())
			}
		})
	}
}

// Connections of a server can go silent all at once, without a reset. After a request that
// timed out by its context, no idle connection of that time may be used.
func TestTimeoutOfContextInvalidatesIdleConnections(t *testing.T) {
	var silent atomic.Bool
	address, accepted := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		if !silent.Load() {
			time.Sleep(20 * time.Millisecond) // so that concurrent requests need connections of their own
			io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "ok"))
		}
		return true
	})
	p := New(Config{Address: address, DialTimeout: time.Second})
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wg.Go(func() {
			if _, err := fetch(t, p, newGet(id)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	before := accepted.Load()
	silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var failure *Failure
	if _, err := p.Do(ctx, newGet("c")); !errors.As(err, &failure) || !failure.Timeout {
		t.Fatalf("request without a response gave %v, want a timeout", err)
	}
	silent.Store(false)
	if _, err := fetch(t, p, newGet("d")); err != nil {
		t.Fatal(err)
	}
	if got := accepted.Load() - before; got != 1 {
		t.Errorf("%d connections were opened after the timeout, want 1", got)
	}
}

// Some servers never respond to a request that they cannot queue, nor to a later one on its
// connection, while they answer others. Only that connection must be closed: new ones are
// dear, and those that have answered meanwhile are sound.
func TestSilenceOnOneConnectionKeepsTheOthers(t *testing.T) {
	silent := map[net.Conn]bool{}
	var mu sync.Mutex
	address, accepted := startUpstream(t, func(_ int, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Id")
		mu.Lock()
		silent[c] = silent[c] || id == "hangs"
		hangs := silent[c]
		mu.Unlock()
		if !hangs {
			time.Sleep(20 * time.Millisecond) // so that concurrent requests need connections of their own
			io.WriteString(c, rawResponse(id, "ok"))
		}
		return true
	})
	p := New(Config{Address: address, DialTimeout: time.Second})
	fetchFour := func() {
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				if _, err := fetch(t, p, newGet(fmt.Sprint("id", i))); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	fetchFour()
	hung := make(chan error)
	go func() {
		r := newGet("hangs")
		r.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err := p.Do(context.Background(), r)
		hung <- err
	}()
	time.Sleep(50 * time.Millisecond)
	fetchFour()
	before := accepted.Load()
	var failure *Failure
	if err := <-hung; !errors.As(err, &failure) || !failure.Timeout || !failure.Sent {
		t.Fatalf("the request without a response gave %v, want a timeout after it was sent", err)
	}
	fetchFour()
	if got := accepted.Load() - before; got != 0 {
		t.Errorf("%d connections were opened after the timeout, want none: four have answered since the request was sent", got)
	}
}

// When the context ends because the caller has disconnected, the connection must be
// closed, so that the upstream can stop its work.
func TestCallerLeaves(t *testing.T) {
	disconnected := make(chan struct{})
	address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
		c.Read(make([]byte, 1))
		close(disconnected)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := New(Config{Address: address, DialTimeout: time.Second}).Do(ctx, newGet("1")); err == nil {
		t.Fatal("want an error after the context ended")
	}
	select {
	case <-disconnected:
	case <-time.After(2 * time.Second):
		t.Error("the connection to the upstream is still open")
	}
}
