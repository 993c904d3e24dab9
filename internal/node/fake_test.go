package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// fakeMachine is a Machine that forwards calls of callers and downstream calls
// to member, runs forwarded calls, relays every response and refuses a call if
// its attempt is refused or fails.
type fakeMachine struct {
	self   mesh.NodeID
	member mesh.Member // target of Forward effects
	// hook is called with each event first; if it returns true, decide is not called.
	hook func(ev engine.Event, out []engine.Effect) ([]engine.Effect, bool)

	forwarded map[mesh.CallID]bool // calls forwarded by another node, until their relay has ended
	mu        sync.Mutex           // guards events
	events    []engine.Event       // every event except Tick, if seen is set
	seen      chan engine.Event    // gets the same events for await; those that exceed its buffer are dropped
}

// testDeadline is the deadline of calls, and of tests that wait for an event or a
// response.
const testDeadline = 20 * time.Second

// Step sets the time of effects to now unless the hook has set it.
func (m *fakeMachine) Step(now time.Duration, ev engine.Event, out []engine.Effect) []engine.Effect {
	before := len(out)
	out = m.step(ev, out)
	for i := before; i < len(out); i++ {
		if out[i].At == 0 {
			out[i].At = now
		}
	}
	return out
}

func (m *fakeMachine) step(ev engine.Event, out []engine.Effect) []engine.Effect {
	if _, tick := ev.(*engine.Tick); !tick && m.seen != nil {
		m.mu.Lock()
		m.events = append(m.events, ev)
		m.mu.Unlock()
		select {
		case m.seen <- ev:
		default:
		}
	}
	if m.hook != nil {
		if effects, handled := m.hook(ev, out); handled {
			return effects
		}
	}
	return m.decide(ev, out)
}

func (m *fakeMachine) decide(ev engine.Event, out []engine.Effect) []engine.Effect {
	hop := engine.Hop{Workspace: "w1", Remaining: testDeadline}
	switch e := ev.(type) {
	case *engine.CallArrived:
		return append(out, engine.Effect{Kind: engine.Forward, Call: e.Call, Attempt: 1, Member: m.member, Hop: hop})
	case *engine.DownstreamCallArrived:
		return append(out, engine.Effect{Kind: engine.Forward, Call: e.Call, Attempt: 1, Member: m.member, Hop: hop})
	case *engine.RelayEnded:
		delete(m.forwarded, e.Call)
	case *engine.ForwardedCallArrived:
		m.forwarded[e.Call] = true
		return append(out, engine.Effect{Kind: engine.Run, Call: e.Call, Attempt: 1, Remaining: e.Hop.Remaining})
	case *engine.ResponseReceived:
		if e.Refusal != nil {
			return append(out, engine.Effect{Kind: engine.Refuse, Call: e.Call, Refusal: *e.Refusal})
		}
		effect := engine.Effect{Kind: engine.Relay, Call: e.Call, Attempt: e.Attempt}
		if m.forwarded[e.Call] { // the forwarding node gets a load report; OpenCut admits every call
			effect.Load = &engine.Load{InFlight: 1, Cut: mesh.OpenCut}
		}
		return append(out, effect)
	case *engine.AttemptFailed:
		refusal := outcome.Refusal{Execution: e.Execution, Reason: e.Reason, Node: string(m.self.Host)}
		return append(out, engine.Effect{Kind: engine.Refuse, Call: e.Call, Refusal: refusal})
	case *engine.CallCancelled:
		return append(out, engine.Effect{Kind: engine.Cancel, Call: e.Call})
	case *engine.TicketRequested:
		return append(out, engine.Effect{Kind: engine.IssueTicket, Call: e.Call, Ticket: "ticket-1"})
	case *engine.StopRequested:
		return append(out, engine.Effect{Kind: engine.Stopped})
	}
	return out
}

// await waits until m.seen has an event of the type and discards the events before
// it.
func await[E engine.Event](t testing.TB, m *fakeMachine) E {
	t.Helper()
	timeout := time.After(testDeadline)
	for {
		select {
		case ev := <-m.seen:
			if e, ok := ev.(E); ok {
				return e
			}
		case <-timeout:
			var zero E
			t.Fatalf("timed out waiting for event %T", zero)
		}
	}
}

// testNode is a started node with its fakeMachine and the URLs of its listeners.
type testNode struct {
	*Node
	machine        *fakeMachine
	callers, local string
	member         mesh.Member
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// refusingAddress returns a loopback address that refuses connections until the test
// ends. The port stays bound: that of a closed listener could be taken by another
// process in the meantime.
func refusingAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// startNode starts a node on the given host. If ca is not nil, callers and peers
// use TLS. If configure is not nil, it may adjust the configuration.
func startNode(t testing.TB, host mesh.Host, ca *devtls.Authority, configure func(*Config)) *testNode {
	t.Helper()
	self := mesh.NodeID{Host: host, Incarnation: 7}
	m := &fakeMachine{self: self, forwarded: map[mesh.CallID]bool{}, seen: make(chan engine.Event, 1<<12)}
	cfg := Config{Self: self, Machine: m, AllowPlaintext: ca == nil,
		Listeners: Listeners{Callers: listen(t), Local: listen(t), Peers: listen(t)}}
	scheme := "http://"
	if ca != nil {
		cfg.TLS.Peer = must(ca.PeerConfig(host))
		cfg.TLS.Callers = must(ca.ServerConfig(host))
		scheme = "https://"
	}
	if configure != nil {
		configure(&cfg)
	}
	n := must(New(cfg))
	n.Start()
	t.Cleanup(n.Close)
	return &testNode{
		Node:    n,
		machine: m,
		callers: scheme + cfg.Listeners.Callers.Addr().String(),
		local:   "http://" + cfg.Listeners.Local.Addr().String(),
		member:  mesh.Member{Node: self, PeerAddress: cfg.Listeners.Peers.Addr().String()},
	}
}

// setHook sets fakeMachine.hook. If f returns false, the machine decides on the
// event as without a hook.
func (n *testNode) setHook(f func(engine.Event, []engine.Effect) ([]engine.Effect, bool)) {
	n.WithLock(func() { n.machine.hook = f })
}

// forwardTo makes the machine forward calls to the member.
func (n *testNode) forwardTo(m mesh.Member) {
	n.WithLock(func() { n.machine.member = m })
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// announce announces an upstream to the node.
func (n *testNode) announce(t testing.TB, url string) {
	t.Helper()
	body := `{"service":"orders","url":"` + url + `","slots":4,"connections":8,"ready":true}`
	resp := must(http.Post(n.local+"/announce", "application/json", strings.NewReader(body)))
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("announcement: %s", resp.Status)
	}
}

// pair is an entry node and a serving node with an upstream.
type pair struct{ entry, serving *testNode }

// startPair starts two nodes and an upstream. The entry node forwards calls to the
// serving node, which also forwards downstream calls to itself. The upstream is
// announced to the serving node.
func startPair(t testing.TB, ca *devtls.Authority, upstream http.Handler) pair {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	p := pair{entry: startNode(t, "entry", ca, nil), serving: startNode(t, "serving", ca, nil)}
	p.entry.forwardTo(p.serving.member)
	p.serving.forwardTo(p.serving.member)
	p.serving.announce(t, server.URL)
	return p
}

// newClient returns an HTTP client with its own connections.
func newClient(t testing.TB, ca *devtls.Authority) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableCompression: true}
	if ca != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: ca.CertPool()}
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testDeadline}
}

// newRequest returns a request with testKey as bearer token.
func newRequest(t testing.TB, method, url, body string) *http.Request {
	t.Helper()
	r := must(http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body)))
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

const testKey = "ch_id_secret"

// doRequest sends the request and returns the response and its body. The error is
// that of the request or of reading the body.
func doRequest(c *http.Client, r *http.Request) (*http.Response, string, error) {
	resp, err := c.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
