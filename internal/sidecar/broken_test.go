package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/standin/malformed"
)

// answerRaw returns a handler of an upstream that writes the given bytes at once, whatever is left
// of the request, and ends the connection, with a reset if reset is set.
func answerRaw(answer string, reset bool) func(*host, http.ResponseWriter, *http.Request) {
	return func(_ *host, w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get(dialect.RequestID)))
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// upload sends a body of unknown length to the node and returns the response.
func (h *host) upload(id string, size int) response {
	r, err := http.NewRequest("POST", "http://"+h.callerAddress+"/order/1", io.MultiReader(bytes.NewReader(make([]byte, size))))
	if err != nil {
		return response{err: err}
	}
	r.Host = "shop"
	r.Header.Set(dialect.RequestID, id)
	r.Header.Set(dialect.Remaining, "3000")
	r.Header.Set(dialect.Key, "k1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(data), resp.Header, resp.Close, err}
}

// An answer of an upstream that is broken, or that breaks off while an upload is still written,
// must not reach a caller as a complete one: neither from the node beside the upstream nor over
// another node.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	const body = "the part that has arrived"
	withoutLength := dialect.RequestID + ": ID\r\n\r\n" + body
	for name, test := range map[string]struct {
		answer string
		reset  bool
	}{
		"closed with the upload unread": {"HTTP/1.1 200 OK\r\n" + withoutLength, false},
		"reset":                         {"HTTP/1.1 200 OK\r\n" + withoutLength, true},
		"404 and reset":                 {"HTTP/1.1 404 Not Found\r\n" + withoutLength, true},
		"status 000":                    {"HTTP/1.1 000 Broken\r\nContent-Length: 25\r\n" + withoutLength, false},
		"status 000 before an answer":   {"HTTP/1.1 000 Broken\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 25\r\n" + withoutLength, false},
		"blank in a field name":         {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 25\r\n" + withoutLength, false},
		"reset after an interim answer": {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n" + withoutLength, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, a, b, c := startSmallMesh(t)
			a.setHandler(answerRaw(test.answer, test.reset))
			b.setHandler(answerRaw(test.answer, test.reset))
			whole := 0
			for i := range 12 {
				for _, entry := range []*host{a, c} {
					got := entry.upload(fmt.Sprint("u", i), 720_000)
					if got.err == nil && strings.Contains(got.body, body) {
						whole++
					}
				}
			}
			if whole > 0 {
				t.Errorf("%d of 24 broken answers reached a caller as complete ones", whole)
			}
		})
	}
}

// A malformed response of an upstream must not reach a caller: the order may have run, and counts
// as a failure of the upstream. Neither the node beside the upstream nor one that takes the response
// from a peer may pass it on.
func TestMalformedResponsesOfAnUpstream(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	for name, raw := range malformed.Responses("wrong") {
		answer := func(_ *host, w http.ResponseWriter, r *http.Request) { malformed.Handler(raw).ServeHTTP(w, r) }
		a.setHandler(answer)
		b.setHandler(answer)
		before, ran := brokenResponses(a, b), 0
		for i, entry := range []*host{a, c, a, c} {
			id := fmt.Sprint(name, i)
			got := entry.call(id, "POST", "/order/1", "k1", "x")
			if a.runCount(id)+b.runCount(id) == 0 {
				continue // the upstream counts as failed
			}
			ran++
			requireMayHaveRun(t, name, got)
		}
		if ran == 0 {
			t.Errorf("%s: no request reached an upstream", name)
		}
		if counted := brokenResponses(a, b) - before; counted < int64(ran) {
			t.Errorf("%s: %d of %d responses counted as failures of the upstream", name, counted, ran)
		}
	}
}

// A malformed response must not be believed when its head states that the request did not run,
// neither one of an upstream nor one of a peer.
func TestNotRunWithAMalformedTrailer(t *testing.T) {
	const raw = "HTTP/1.1 503 Service Unavailable\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX Y: z\r\n\r\n"
	_, a, b, c := startSmallMesh(t)
	upstream := malformed.Handler(fmt.Sprintf(raw, dialect.NotRun+": 1"))
	answer := func(_ *host, w http.ResponseWriter, r *http.Request) { upstream.ServeHTTP(w, r) }
	a.setHandler(answer)
	b.setHandler(answer)
	for i, entry := range []*host{a, c} {
		requireMayHaveRun(t, "upstream", entry.call(fmt.Sprint("n", i), "POST", "/order/1", "k1", "x"))
	}
	refusal := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.Overloaded, Node: "a"}
	replacePeers(t, c, malformed.Handler(fmt.Sprintf(raw, outcome.Header+": "+refusal.HeaderValue())), a, b)
	requireMayHaveRun(t, "peer", c.call("p", "POST", "/order/1", "k1", "x"))
}

// The head of a response that breaks off stays in force: the order did not run and may be sent again.
func TestNotRunInAResponseThatBreaksOff(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	upstream := malformed.Handler("HTTP/1.1 503 Service Unavailable\r\n" + dialect.NotRun + ": 1\r\nContent-Length: 10\r\n\r\nfull")
	answer := func(_ *host, w http.ResponseWriter, r *http.Request) { upstream.ServeHTTP(w, r) }
	a.setHandler(answer)
	b.setHandler(answer)
	for i, entry := range []*host{a, c} {
		got := entry.call(fmt.Sprint("cut", i), "POST", "/order/1", "k1", "x")
		if refusal, ok := outcome.Parse(got.header); got.status != http.StatusServiceUnavailable || !ok || refusal.Execution != outcome.NotRun {
			t.Errorf("got status %d, %q, error %v, want a 503 that states that the order did not run", got.status, got.body, got.err)
		}
	}
}

// The node beside the upstream must log what is wrong with a response.
func TestMalformedResponseIsLogged(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	answer := func(_ *host, w http.ResponseWriter, r *http.Request) {
		malformed.Handler("HTTP/3.7 200 OK\r\nContent-Length: 0\r\n\r\n").ServeHTTP(w, r)
	}
	a.setHandler(answer)
	b.setHandler(answer)
	for _, entry := range []*host{a, c} {
		id := "logged-" + entry.instance
		entry.call(id, "POST", "/order/1", "k1", "x")
		eventually(t, "a line names the malformed response to request "+id, func() bool {
			for _, line := range append(a.log.lines(), b.log.lines()...) {
				detail, _ := line["detail"].(string)
				if line["request"] == id && line["execution"] == "may-have-run" && strings.Contains(detail, "malformed response") {
					return true
				}
			}
			return false
		})
	}
}

// A response that is too long to be held until its end must not look complete if its trailer is malformed.
func TestMalformedTrailerOfALongResponse(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	const size = 2 * responseBufferLimit
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Y: z\r\n\r\n", size, strings.Repeat("a", size))
	answer := func(_ *host, w http.ResponseWriter, r *http.Request) { malformed.Handler(raw).ServeHTTP(w, r) }
	a.setHandler(answer)
	b.setHandler(answer)
	for i, entry := range []*host{a, c} {
		if got := entry.call(fmt.Sprint("l", i), "POST", "/order/1", "k1", "x"); got.err == nil && got.status == http.StatusOK {
			t.Errorf("got status %d and %d bytes without an error", got.status, len(got.body))
		}
	}
}

// The same responses must not reach a caller when a peer sends them.
func TestMalformedResponsesOfAPeer(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	for name, raw := range malformed.Responses("wrong") {
		replacePeers(t, c, malformed.Handler(raw), a, b)
		requireMayHaveRun(t, name, c.call(name, "POST", "/order/1", "k1", "x"))
	}
}

// No node may ask an upstream for an upgrade, as a response that switches protocols is refused.
func TestUpgradeIsNotForwarded(t *testing.T) {
	_, a, _, c := startSmallMesh(t)
	for _, entry := range []*host{a, c} {
		r, err := http.NewRequest("GET", "http://"+entry.callerAddress+"/feed/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "shop"
		r.Header = http.Header{dialect.RequestID: {"r"}, "Connection": {"Upgrade"}, "Upgrade": {"x"}}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		c.mu.Lock()
		if resp.StatusCode != http.StatusOK || c.lastHeader.Get("Upgrade") != "" || c.lastHeader.Get("Connection") != "" {
			t.Errorf("got status %d, and the upstream the header %v, want 200 and no upgrade", resp.StatusCode, c.lastHeader)
		}
		c.mu.Unlock()
	}
}

// replacePeers makes a node send what it forwards to the given peers to a stand-in.
func replacePeers(t *testing.T, h *host, standin http.Handler, peers ...*host) {
	t.Helper()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	for _, p := range peers {
		h.node.pools[p.node.cfg.Self.PeerAddress] = exchange.New(exchange.Config{Address: server.Listener.Addr().String(), DialTimeout: dialTimeout})
	}
}

// brokenResponses returns how many malformed or truncated responses the nodes have counted.
func brokenResponses(hosts ...*host) (n int64) {
	for _, h := range hosts {
		n += h.node.metrics.upstreamFailures.Count() + h.node.metrics.brokenResponses.Count()
	}
	return n
}

func requireMayHaveRun(t *testing.T, name string, got response) {
	t.Helper()
	refusal, ok := outcome.Parse(got.header)
	if got.status != http.StatusBadGateway || !ok || refusal.Execution != outcome.MayHaveRun {
		t.Errorf("%s: got status %d, %q, error %v, want a 502 that states that the order may have run", name, got.status, got.body, got.err)
	}
}
