package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/mesh"
)

// silentProxy forwards connections to a target. Connections that were open when silence was
// called carry nothing from then on, in either direction, and are not closed.
type silentProxy struct {
	target string
	mu     sync.Mutex
	open   []*link
}

// link is one connection through the proxy. After stall, it is not read either.
type link struct{ silent, stalled bool }

// silentProxyTo starts a proxy for the member and returns the member under which the proxy
// is reached.
func silentProxyTo(t *testing.T, m mesh.Member) (*silentProxy, mesh.Member) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &silentProxy{target: m.PeerAddress}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", p.target)
			if err != nil {
				client.Close()
				continue
			}
			l := &link{}
			p.mu.Lock()
			p.open = append(p.open, l)
			p.mu.Unlock()
			go p.forward(server, client, l)
			go p.forward(client, server, l)
		}
	}()
	m.PeerAddress = l.Addr().String()
	return p, m
}

func (p *silentProxy) forward(to, from net.Conn, l *link) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		state := *l
		p.mu.Unlock()
		switch {
		case state.stalled:
			time.Sleep(waitTimeout)
		case !state.silent:
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// silence makes the open connections silent and returns how many there were.
func (p *silentProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.open {
		l.silent = true
	}
	return len(p.open)
}

// stall makes the proxy read nothing more of the open connections.
func (p *silentProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.open {
		l.stalled = true
	}
}

// sendAndAwait sends a message, waits until it is acknowledged and returns how long it took to
// arrive.
func sendAndAwait(t *testing.T, c *Client, sent metrics.Registry, m mesh.Member, got <-chan mesh.Envelope, number int) time.Duration {
	t.Helper()
	before := counterValue(sent, "peer.sent.messages")
	began := time.Now()
	c.Send(m, mesh.Envelope{From: self, To: m.Node, Message: testMessage{number}})
	if e := receive(t, got); e.Message != (testMessage{number}) {
		t.Fatalf("message %+v arrived, want number %d", e, number)
	}
	took := time.Since(began)
	eventuallyCounted(t, sent, "peer.sent.messages", before+1)
	return took
}

// Guards against a message that is lost because its connection has gone silent. A change of
// the declaration was handed on up to 2 s late for each of its three messages, and the
// message itself was dropped.
func TestMessageOnASilentConnectionArrives(t *testing.T) {
	got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
	member := serveReceiver(t, nil, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e }))
	proxy, member := silentProxyTo(t, member)
	c, sent := newClient(t, nil, unreachable)
	sendAndAwait(t, c, sent, member, got, 1)
	proxy.silence()
	if took := sendAndAwait(t, c, sent, member, got, 2); took > silenceTimeout+time.Second {
		t.Errorf("a message took %s after its connection had gone silent, want about %s", took, silenceTimeout)
	}
	eventuallyCounted(t, sent, "peer.silent_connections", 1)
	if n := counterValue(sent, "peer.dropped.messages"); n != 0 || len(unreachable) != 0 {
		t.Errorf("%d messages dropped and %d times unreachable, want none: the peer lives", n, len(unreachable))
	}
}

// Guards against waiting for each connection in turn: once one has gone silent, others that
// have not carried an acknowledgement since are not used again.
func TestOneSilentConnectionMakesOthersSuspect(t *testing.T) {
	got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
	c, sent := newClient(t, nil, unreachable)
	var proxies []*silentProxy
	var members []mesh.Member
	for range 3 {
		p, m := silentProxyTo(t, serveReceiver(t, nil, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e })))
		proxies, members = append(proxies, p), append(members, m)
		sendAndAwait(t, c, sent, m, got, len(members))
	}
	for _, p := range proxies {
		p.silence()
	}
	sendAndAwait(t, c, sent, members[0], got, 10)
	eventuallyCounted(t, sent, "peer.silent_connections", 1)
	for i, m := range members[1:] {
		sendAndAwait(t, c, sent, m, got, 20+i)
	}
	if n := counterValue(sent, "peer.silent_connections"); n != 1 {
		t.Errorf("%d connections were found silent by waiting, want 1", n)
	}
	for i, p := range proxies { // all are on their second connection now, which is kept
		sendAndAwait(t, c, sent, members[i], got, 30+i)
		if n := p.silence(); n != 2 {
			t.Errorf("%d connections to peer %d, want 2", n, i)
		}
	}
}

// Guards against a silent peer that is taken for a silent connection without end, and that
// delays the messages to others.
func TestSilentPeerDelaysNoOther(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
	member := serveReceiver(t, nil, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e }))
	c, sent := newClient(t, nil, unreachable)
	silent := mesh.Member{Node: mesh.NodeID{Host: "silent", Incarnation: 1}, PeerAddress: l.Addr().String()}
	for number := range 4 {
		c.Send(silent, mesh.Envelope{From: self, To: silent.Node, Message: testMessage{-1}})
		if took := sendAndAwait(t, c, sent, member, got, number); took > dialTimeout/2 {
			t.Errorf("a message took %s while another peer was silent", took)
		}
	}
	if node := receive(t, unreachable); node != silent.Node {
		t.Errorf("%s is unreachable, want %s", node, silent.Node)
	}
	if n := counterValue(sent, "peer.silent_connections"); n != 0 {
		t.Errorf("%d silent connections counted, want none: the peer is silent", n)
	}
}

func eventuallyCounted(t *testing.T, r metrics.Registry, name string, want int64) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); counterValue(r, name) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is %d, want %d", name, counterValue(r, name), want)
		}
	}
}

// Guards against a large batch that blocks in its write: the peer reads nothing, so that the
// buffers of the connection fill up.
func TestLargeMessageOnASilentConnectionArrives(t *testing.T) {
	got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
	member := serveReceiver(t, nil, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e }))
	proxy, member := silentProxyTo(t, member)
	c, sent := newClient(t, nil, unreachable)
	sendAndAwait(t, c, sent, member, got, 1)
	proxy.stall()
	large := largeMessage{Raw: make([]byte, 16<<20)}
	began := time.Now()
	c.Send(member, mesh.Envelope{From: self, To: remote, Message: large})
	receive(t, got)
	if took := time.Since(began); took > maxSilenceTimeout+3*time.Second { // 3 s for 16 MB under the race detector
		t.Errorf("a large message took %s after its connection had stalled", took)
	}
}

type largeMessage struct{ Raw []byte }

func (largeMessage) MessageName() string { return "large-note" }

func init() { mesh.RegisterMessage(largeMessage{}) }
