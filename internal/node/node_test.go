package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
)

// Guards against a call that is altered on its way through two nodes, with and
// without TLS, for buffered and streamed bodies.
func TestCallOverTwoNodes(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+r.Host)
		w.Header().Set("Set-Cookie", r.Header.Get("Cookie"))
		w.WriteHeader(http.StatusCreated)
		w.Write(body)
	}
	for name, ca := range map[string]*devtls.Authority{"plain": nil, "tls": must(devtls.New())} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t, ca, http.HandlerFunc(echo))
			for _, size := range []int{0, 10, maxBufferedBody, 3 * maxBufferedBody} {
				r := newRequest(t, "POST", p.entry.callers+"/orders/a%2Fb?x=1", strings.Repeat("x", size))
				r.Header.Set("Cookie", "basket=1")
				r.Host = "shop.example"
				resp, body, err := doRequest(newClient(t, ca), r)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != http.StatusCreated || len(body) != size ||
					resp.Header.Get("X-Seen") != "POST /orders/a%2Fb?x=1 shop.example" ||
					resp.Header.Get("Set-Cookie") != "basket=1" {
					t.Fatalf("body of %d bytes: got %s, %d bytes, header %v", size, resp.Status, len(body), resp.Header)
				}
				if !await[*engine.RelayEnded](t, p.entry.machine).Complete {
					t.Fatal("a complete response was reported as truncated")
				}
			}
		})
	}
}

// Guards against an empty body that is forwarded as an upload of unknown
// length, which costs a wait for 100 Continue at every hop.
func TestEmptyBodyStaysEmpty(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 || r.Header.Get("Expect") != "" {
			t.Errorf("%s: upstream got Content-Length %d, Expect %q; want 0 and none", r.Method, r.ContentLength, r.Header.Get("Expect"))
		}
	}))
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		resp, _, err := doRequest(newClient(t, nil), newRequest(t, method, p.entry.callers+"/x", ""))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
}

// Guards against response trailers that are lost, and internal ones that are
// passed on.
func TestResponseTrailers(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum, "+engine.LoadHeader)
		io.WriteString(w, "body")
		w.Header().Set("X-Sum", "1")
		w.Header().Set(engine.LoadHeader, "forged")
	}))
	resp, _, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/x", ""))
	if err != nil || len(resp.Trailer) != 1 || resp.Trailer.Get("X-Sum") != "1" {
		t.Fatalf("trailers %v, error %v; want only X-Sum: 1", resp.Trailer, err)
	}
}

// Guards against listeners without TLS that are not explicitly allowed or not
// on loopback.
func TestPlaintextRequiresFlagAndLoopback(t *testing.T) {
	allInterfaces := must(net.Listen("tcp", "0.0.0.0:0"))
	defer allInterfaces.Close()
	for _, cfg := range []Config{
		{Machine: &fakeMachine{}, Listeners: Listeners{Callers: allInterfaces}},
		{Machine: &fakeMachine{}, Listeners: Listeners{Callers: allInterfaces}, AllowPlaintext: true},
		{Machine: &fakeMachine{}, Listeners: Listeners{Peers: allInterfaces}, AllowPlaintext: true},
	} {
		if _, err := New(cfg); err == nil {
			t.Errorf("accepted a plaintext listener on 0.0.0.0, AllowPlaintext %v", cfg.AllowPlaintext)
		}
	}
}

// Guards against tickets that do not reach the caller.
func TestTicketIsIssued(t *testing.T) {
	n := startNode(t, "entry", nil, nil)
	resp, body, err := doRequest(newClient(t, nil), newRequest(t, "POST", n.callers+ticketPath, ""))
	if err != nil || resp.Header.Get(engine.TicketHeader) != "ticket-1" || strings.TrimSpace(body) != `{"ticket":"ticket-1"}` {
		t.Fatal(resp, body, err)
	}
	if e := await[*engine.TicketRequested](t, n.machine); string(e.Secret) != testKey {
		t.Fatalf("state machine got secret %q, want testKey", e.Secret)
	}
}

// Guards against a call that cannot run on the upstream of its entry node after
// a failed forward, and against headers of an earlier attempt that reach the
// upstream.
func TestRunAfterFailedForward(t *testing.T) {
	seen := make(chan http.Header, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen <- r.Header.Clone()
		w.Write(body)
	}))
	defer upstream.Close()
	n := startNode(t, "entry", nil, nil)
	n.announce(t, upstream.URL)
	n.forwardTo(mesh.Member{Node: mesh.NodeID{Host: "dead"}, PeerAddress: "127.0.0.1:1"})
	n.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		e, ok := ev.(*engine.AttemptFailed)
		if !ok || !e.Replayable {
			return out, false
		}
		return append(out, engine.Effect{Kind: engine.Run, Call: e.Call, Attempt: 2, Token: engine.Token{1},
			Remaining: testDeadline, Hop: engine.Hop{Workspace: "w2"}}), true
	})
	_, body, err := doRequest(newClient(t, nil), newRequest(t, "POST", n.callers+"/x", "body"))
	if err != nil || body != "body" {
		t.Fatalf("response body %q, error %v; want body and no error", body, err)
	}
	h := <-seen
	if h.Get(engine.HopHeader) != "" || h.Get(peer.FromHeader) != "" || h.Get("Authorization") != "" {
		t.Errorf("upstream saw Authorization or a header of the failed forward: %v", h)
	}
	token := engine.Token{1}
	// The timeout is testDeadline in milliseconds.
	if h.Get(engine.CallHeader) != token.String() || h.Get(engine.WorkspaceHeader) != "w2" || h.Get(engine.TimeoutHeader) != "20000" {
		t.Errorf("upstream saw %v, want the headers of the second attempt", h)
	}
}
