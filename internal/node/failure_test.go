package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/peer"
)

// Guards against a truncated response that is passed on as complete, and
// against reuse of a connection with an unread response.
func TestTruncatedResponseAbortsCaller(t *testing.T) {
	for _, length := range []string{"100000", ""} {
		var remoteAddresses []string
		p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			remoteAddresses = append(remoteAddresses, r.RemoteAddr)
			if r.URL.Path == "/complete" {
				return
			}
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			io.WriteString(w, strings.Repeat("x", 50_000)) // more than the buffers between upstream and caller
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		resp, body, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/x", ""))
		if err == nil {
			t.Fatalf("Content-Length %q: caller got %s with %d bytes as a complete response", length, resp.Status, len(body))
		}
		for _, n := range []*testNode{p.entry, p.serving} {
			if await[*engine.RelayEnded](t, n.machine).Complete {
				t.Fatalf("Content-Length %q: node %s reported a complete response", length, n.member.Node.Host)
			}
		}
		if _, _, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/complete", "")); err != nil {
			t.Fatal(err)
		}
		if remoteAddresses[0] == remoteAddresses[1] {
			t.Fatalf("Content-Length %q: the connection of a truncated response was reused", length)
		}
	}
}

// Guards against a late response that is given to the next call on a reused
// connection.
func TestLateResponseReachesNoOtherCall(t *testing.T) {
	running, release, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			close(running)
			<-release
			defer close(sent)
		}
		io.WriteString(w, r.URL.Path)
	}))
	// Makes the serving node refuse the first call with deadline-exceeded once the
	// call runs on the upstream.
	var late mesh.CallID
	p.serving.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		if e, ok := ev.(*engine.ForwardedCallArrived); ok && late == 0 {
			late = e.Call
		}
		if _, ok := ev.(*engine.Tick); !ok || running == nil {
			return out, false
		}
		select {
		case <-running:
			running = nil
			refusal := outcome.Refusal{Execution: outcome.MayHaveRun, Reason: outcome.DeadlineExceeded}
			return append(out, engine.Effect{Kind: engine.Refuse, Call: late, Refusal: refusal}), true
		default:
			return out, true
		}
	})
	resp, _, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/late", ""))
	if err != nil {
		t.Fatal(err)
	}
	if refusal, _ := outcome.Parse(resp.Header); refusal.Reason != outcome.DeadlineExceeded {
		t.Fatalf("got %s %+v, want a refusal with deadline-exceeded", resp.Status, refusal)
	}
	close(release)
	<-sent
	for range 3 {
		if _, body, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/own", "")); err != nil || body != "/own" {
			t.Fatalf("response body %q, error %v; want body /own", body, err)
		}
	}
}

// rawUpstream starts a TCP server that passes each connection to serve, and returns
// the URL of the server.
func rawUpstream(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// upstreamBreakingReuse starts an upstream that answers the first request of a
// connection and closes the connection once it has received the second.
// received counts the requests.
func upstreamBreakingReuse(t *testing.T) (url string, received *atomic.Int64) {
	received = &atomic.Int64{}
	url = rawUpstream(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			received.Add(1)
			if !first {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	return url, received
}

// Guards against a second execution of a call: http.Transport sends an
// idempotent request again when a reused connection breaks.
func TestTransportDoesNotResend(t *testing.T) {
	url, received := upstreamBreakingReuse(t)
	for _, method := range []string{"GET", "POST", "HEAD"} {
		received.Store(0)
		p := startPair(t, nil, http.NotFoundHandler())
		p.serving.announce(t, url)
		call := func() *http.Response {
			r := newRequest(t, method, p.entry.callers+"/x", "")
			r.Header.Set("Idempotency-Key", "k")
			resp, _, err := doRequest(newClient(t, nil), r)
			if err != nil {
				t.Fatal(err)
			}
			return resp
		}
		call()
		refusal, ok := outcome.Parse(call().Header)
		if !ok || refusal.Execution != outcome.MayHaveRun || received.Load() != 2 {
			t.Fatalf("%s: upstream received %d requests for 2 calls; second call: %+v, want a refusal with MayHaveRun", method, received.Load(), refusal)
		}
	}
}

// Guards against attempts with a nil body, which http.Transport may send again.
// The attempt runs without the trace that would cancel a second transmission,
// so that only the body prevents it.
func TestAttemptBodyPreventsResend(t *testing.T) {
	url, received := upstreamBreakingReuse(t)
	n := startNode(t, "entry", nil, nil)
	for _, method := range []string{"GET", "POST", "HEAD"} {
		received.Store(0)
		transport := newTransport()
		t.Cleanup(transport.CloseIdleConnections)
		send := func() error {
			r := newRequest(t, method, url+"/x", "")
			r.Header.Set("Idempotency-Key", "k")
			c := n.newCall(nil, r, *r.URL)
			request, _ := c.newRequest(t.Context(), &attempt{url: c.target, header: c.header})
			resp, err := transport.RoundTrip(request)
			if err == nil {
				resp.Body.Close()
			}
			return err
		}
		if err := send(); err != nil {
			t.Fatal(err)
		}
		if err := send(); err == nil || received.Load() != 2 {
			t.Fatalf("%s: upstream received %d requests for 2 attempts; second attempt: error %v, want an error", method, received.Load(), err)
		}
	}
}

// Guards against NotRun being reported although bytes of the request may have
// been sent, and against MayHaveRun although the connection was never
// established.
func TestNotRunOnlyIfNothingWasSent(t *testing.T) {
	p := startPair(t, nil, http.NotFoundHandler())
	refusing := refusingAddress(t)
	closesEarly := rawUpstream(t, func(conn net.Conn) { conn.Read(make([]byte, 1)) })
	cases := map[string]outcome.Execution{"http://" + refusing: outcome.NotRun, closesEarly: outcome.MayHaveRun}
	for url, want := range cases {
		p.serving.announce(t, url)
		resp, _, err := doRequest(newClient(t, nil), newRequest(t, "POST", p.entry.callers+"/x", "body"))
		if err != nil {
			t.Fatal(err)
		}
		if refusal, _ := outcome.Parse(resp.Header); refusal.Execution != want || refusal.Node != "serving" {
			t.Errorf("got %+v, want %s by the serving node", refusal, want)
		}
	}
	p.entry.forwardTo(mesh.Member{Node: p.serving.member.Node, PeerAddress: refusing})
	resp, _, err := doRequest(newClient(t, nil), newRequest(t, "POST", p.entry.callers+"/x", "body"))
	if err != nil {
		t.Fatal(err)
	}
	if refusal, _ := outcome.Parse(resp.Header); refusal.Execution != outcome.NotRun || refusal.Reason != outcome.ConnectFailed {
		t.Errorf("unreachable peer: got %+v, want NotRun with ConnectFailed", refusal)
	}
}

// Guards against work that continues after the caller has disconnected: the
// cancellation must pass through both nodes to the upstream and its downstream
// calls.
func TestCallerDisconnectCancelsDownstreamCalls(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan struct{}, 2)
	var p pair
	p = startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/deep" {
			close(running)
			<-r.Context().Done()
			cancelled <- struct{}{}
			return
		}
		downstream := must(http.NewRequestWithContext(r.Context(), "GET", p.serving.local+"/call/stock/deep", nil))
		downstream.Header.Set(engine.CallHeader, r.Header.Get(engine.CallHeader))
		if _, err := http.DefaultClient.Do(downstream); err != nil {
			cancelled <- struct{}{}
		}
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	r := newRequest(t, "GET", p.entry.callers+"/top", "").WithContext(ctx)
	if _, _, err := doRequest(newClient(t, nil), r); err == nil {
		t.Fatal("the cancelled call was answered")
	}
	<-cancelled
	<-cancelled
}

// Guards against a planned stop that aborts a call, accepts new connections, or
// returns before its calls have completed.
func TestStopFinishesCalls(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-release
		io.WriteString(w, "complete")
	}))
	type result struct {
		resp *http.Response
		body string
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		resp, body, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/x", ""))
		answered <- result{resp, body, err}
	}()
	<-running
	stopped := make(chan error, 2)
	go func() { stopped <- p.entry.Stop(t.Context()) }()
	go func() { stopped <- p.serving.Stop(t.Context()) }()
	await[*engine.StopRequested](t, p.entry.machine)
	if _, err := newClient(t, nil).Get(p.entry.callers + "/new"); err == nil {
		t.Error("a stopping node accepted a new connection")
	}
	select {
	case err := <-stopped:
		t.Fatalf("a node stopped while it had a call in flight: error %v", err)
	default:
	}
	close(release)
	got := <-answered
	if got.err != nil || got.body != "complete" {
		t.Fatalf("call in flight during the stop: response body %q, error %v; want body complete and no error", got.body, got.err)
	}
	for range 2 {
		if err := <-stopped; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against calls accepted from a host that its certificate does not name,
// and calls sent to such a host.
func TestPeerWithWrongCertificateIsRefused(t *testing.T) {
	ca, otherCA := must(devtls.New()), must(devtls.New())
	ran := false
	p := startPair(t, ca, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	// from is HOST/INCARNATION; startNode gives all nodes incarnation 7.
	callAs := func(from string, transport *http.Transport) error {
		t.Cleanup(transport.CloseIdleConnections)
		r := must(http.NewRequest("GET", "https://"+p.serving.member.PeerAddress+"/x", nil))
		r.Header.Set(engine.HopHeader, engine.Hop{Workspace: "w1", Remaining: time.Second}.Encode())
		r.Header.Set(peer.FromHeader, from)
		resp, err := transport.RoundTrip(r)
		if err == nil {
			if _, refused := outcome.Parse(resp.Header); !refused {
				t.Errorf("sender %q with a wrong certificate got %s, want a refusal", from, resp.Status)
			}
			resp.Body.Close()
		}
		return err
	}
	if err := callAs("entry/7", &http.Transport{TLSClientConfig: must(ca.PeerConfig("intruder"))}); err != nil {
		t.Error(err)
	}
	otherCAConfig := must(otherCA.PeerConfig("entry"))
	otherCAConfig.RootCAs = ca.CertPool()
	if err := callAs("entry/7", &http.Transport{TLSClientConfig: otherCAConfig}); err == nil {
		t.Error("a certificate issued by another CA was accepted")
	}
	p.entry.forwardTo(mesh.Member{Node: mesh.NodeID{Host: "elsewhere"}, PeerAddress: p.serving.member.PeerAddress})
	resp, _, err := doRequest(newClient(t, ca), newRequest(t, "GET", p.entry.callers+"/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	if refusal, _ := outcome.Parse(resp.Header); refusal.Reason != outcome.ConnectFailed || refusal.Execution != outcome.NotRun || ran {
		t.Errorf("call to a host whose certificate names another host: got %+v, ran %v; want NotRun with ConnectFailed", refusal, ran)
	}
}

// Guards against a large upload that is sent to a node that refuses the call,
// or that cannot be sent again after such a refusal.
func TestRefusedUploadIsSentOnce(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n != 2*maxBufferedBody {
			t.Errorf("upstream received a body of %d bytes, want 2*maxBufferedBody", n)
		}
	}))
	attempts := 0
	p.serving.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		arrived, ok := ev.(*engine.ForwardedCallArrived)
		if attempts++; !ok || attempts > 1 {
			return out, false
		}
		refusal := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.Overloaded, Node: "serving"}
		return append(out, engine.Effect{Kind: engine.Refuse, Call: arrived.Call, Refusal: refusal}), true
	})
	p.entry.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		received, ok := ev.(*engine.ResponseReceived)
		if !ok || received.Refusal == nil {
			return out, false
		}
		if !received.Replayable {
			t.Error("a refused upload cannot be sent again")
		}
		hop := engine.Hop{Workspace: "w1", Remaining: testDeadline}
		return append(out, engine.Effect{Kind: engine.Forward, Call: received.Call, Attempt: 2, Member: p.serving.member, Hop: hop}), true
	})
	resp, _, err := doRequest(newClient(t, nil), newRequest(t, "POST", p.entry.callers+"/x", strings.Repeat("x", 2*maxBufferedBody)))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
}

// Guards against a stored response that is lost or truncated when the caller of
// a ticket disconnects: the call must continue and report the complete
// response.
func TestStoredResponseSurvivesCallerDisconnect(t *testing.T) {
	const size = 200 << 10 // more than one read of the body, less than maxStoredBody
	ctx, cancel := context.WithCancel(t.Context())
	cancelReported := make(chan struct{})
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-cancelReported
		io.WriteString(w, strings.Repeat("x", size))
	}))
	p.entry.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		switch e := ev.(type) {
		case *engine.CallCancelled:
			close(cancelReported)
			return out, true // without the Cancel of fakeMachine, so that the call continues
		case *engine.ResponseReceived:
			return append(out, engine.Effect{Kind: engine.Relay, Call: e.Call, Store: true, Ticket: "t"}), true
		}
		return out, false
	})
	if _, _, err := doRequest(newClient(t, nil), newRequest(t, "POST", p.entry.callers+"/x", "").WithContext(ctx)); err == nil {
		t.Fatal("the cancelled call was answered")
	}
	ended := await[*engine.RelayEnded](t, p.entry.machine)
	if ended.Stored == nil || len(ended.Stored.Body) != size {
		t.Fatalf("got %+v, want a stored response of 200 KiB", ended)
	}
}

// Guards against a handler that waits for the rest of a stalled upload before
// it sends its refusal when the deadline of 10 ms has passed.
func TestStalledUploadIsRefused(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
	}))
	p.entry.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		e, ok := ev.(*engine.CallArrived)
		if !ok {
			return out, false
		}
		hop := engine.Hop{Workspace: "w1", Remaining: 10 * time.Millisecond}
		return append(out, engine.Effect{Kind: engine.Forward, Call: e.Call, Attempt: 1, Member: p.serving.member, Hop: hop}), true
	})
	conn := must(net.Dial("tcp", strings.TrimPrefix(p.entry.callers, "http://")))
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testDeadline))
	// The body exceeds maxBufferedBody, so that the node streams it.
	io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 1000))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if refusal, _ := outcome.Parse(resp.Header); refusal.Execution != outcome.MayHaveRun {
		t.Fatalf("got %s %+v, want a refusal with MayHaveRun", resp.Status, refusal)
	}
}

// Guards against a caller that stops reading and thereby holds its call, and
// the slot of the call, beyond the deadline.
func TestSlowReaderIsDisconnected(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			if _, err := w.Write(make([]byte, copyBufferSize)); err != nil {
				return
			}
		}
	}))
	p.entry.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		e, ok := ev.(*engine.CallArrived)
		if !ok {
			return out, false
		}
		hop := engine.Hop{Workspace: "w1", Remaining: 100 * time.Millisecond}
		return append(out, engine.Effect{Kind: engine.Forward, Call: e.Call, Attempt: 1, Member: p.serving.member, Hop: hop}), true
	})
	conn := must(net.Dial("tcp", strings.TrimPrefix(p.entry.callers, "http://")))
	defer conn.Close()
	io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, n := range []*testNode{p.entry, p.serving} {
		if await[*engine.RelayEnded](t, n.machine).Complete {
			t.Fatalf("%s reported an endless response as complete", n.member.Node.Host)
		}
	}
}

// Guards against a planned stop that loses a request already sent on an idle
// connection, or that does not ask the caller to close the connection.
func TestStopServesIdleConnections(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "complete") })
	p := startPair(t, nil, handler)
	entry := startNode(t, "entry", nil, func(c *Config) { c.LameDuck = time.Hour })
	entry.forwardTo(p.serving.member)
	c := newClient(t, nil)
	if _, _, err := doRequest(c, newRequest(t, "POST", entry.callers+"/x", "")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- entry.Stop(ctx) }()
	await[*engine.StopRequested](t, entry.machine)
	resp, body, err := doRequest(c, newRequest(t, "POST", entry.callers+"/x", ""))
	if err != nil || body != "complete" || !resp.Close {
		t.Fatalf("request on the idle connection: body %q, error %v; want body complete and Connection: close", body, err)
	}
	cancel()
	if err := <-stopped; err != context.Canceled {
		t.Fatal(err)
	}
}

// Guards against a server panic on the next request of a connection, which fails
// that request. It occurs if the handler responds without reading a body of
// unknown length.
func TestUnreadBodyKeepsTheConnection(t *testing.T) {
	n := startNode(t, "entry", nil, nil)
	conn := must(net.Dial("tcp", strings.TrimPrefix(n.callers, "http://")))
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testDeadline))
	reader := bufio.NewReader(conn)
	for i := range 3 {
		io.WriteString(conn, "POST "+ticketPath+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			t.Fatalf("request %d: error %v, Connection: close %v; want neither", i, err, resp.Close)
		}
	}
}

// Guards against a call that is sent long after its decision because the
// process was paused: the key may have been withdrawn, or the quota credit of the
// call counted as expired, in between.
func TestExpiredDecisionIsNotExecuted(t *testing.T) {
	ran := false
	p := startPair(t, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	p.entry.setHook(func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool) {
		e, ok := ev.(*engine.CallArrived)
		if !ok {
			return out, false
		}
		hop := engine.Hop{Workspace: "w1", Remaining: testDeadline}
		return append(out, engine.Effect{Kind: engine.Forward, At: -engine.MaxDecisionAge - 1, Call: e.Call,
			Attempt: 1, Member: p.serving.member, Hop: hop}), true
	})
	resp, _, err := doRequest(newClient(t, nil), newRequest(t, "POST", p.entry.callers+"/x", "body"))
	if err != nil {
		t.Fatal(err)
	}
	refusal, _ := outcome.Parse(resp.Header)
	if refusal.Execution != outcome.NotRun || refusal.Reason != outcome.DecisionExpired || ran {
		t.Fatalf("got %s %+v, ran %t; want NotRun with DecisionExpired", resp.Status, refusal, ran)
	}
}
