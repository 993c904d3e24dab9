package peer

import (
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/mesh"
)

type testMessage struct{ Number int }

func (testMessage) MessageName() string { return "note" }

func init() { mesh.RegisterMessage(testMessage{}) }

var (
	self   = mesh.NodeID{Host: "sender", Incarnation: 1}
	remote = mesh.NodeID{Host: "receiver", Incarnation: 2}
)

const waitTimeout = 20 * time.Second // after which a test that waits for an event fails

// serveReceiver serves a receiver with the TLS configuration, or without TLS if it
// is nil, and returns the member under which it is reached.
func serveReceiver(t *testing.T, config *tls.Config, r *Receiver) mesh.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if config != nil {
		c := config.Clone()
		c.ClientAuth = tls.RequireAndVerifyClientCert
		l = tls.NewListener(l, c)
	}
	server := &http.Server{Handler: r}
	go server.Serve(l)
	t.Cleanup(func() {
		server.Close()
		r.Close()
	})
	return mesh.Member{Node: remote, PeerAddress: address}
}

func peerTLS(t *testing.T, ca *devtls.Authority, host mesh.Host) *tls.Config {
	t.Helper()
	config, err := ca.PeerConfig(host)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// newClient returns a client that reports unreachable peers to the channel, and the
// registry of its metrics.
func newClient(t *testing.T, config *tls.Config, unreachable chan mesh.NodeID) (*Client, metrics.Registry) {
	registry := metrics.NewRegistry()
	c := NewClient(Config{Self: self, TLS: config, Metrics: registry,
		Unreachable: func(n mesh.NodeID) { unreachable <- n }})
	t.Cleanup(c.Close)
	return c, registry
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		t.Fatal("no message or unreachable peer was reported within the wait timeout")
		panic("unreachable")
	}
}

func counterValue(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// Guards against messages that are lost, reordered or altered on a healthy
// connection, and against a client that does not reconnect after a connection broke.
func TestDeliverInOrderAndRedial(t *testing.T) {
	ca, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	got, unreachable := make(chan mesh.Envelope, 4*maxBatch), make(chan mesh.NodeID, 8)
	received := metrics.NewRegistry()
	r := NewReceiver(received, func(e mesh.Envelope) { got <- e })
	member := serveReceiver(t, peerTLS(t, ca, "receiver"), r)
	c, sent := newClient(t, peerTLS(t, ca, "sender"), unreachable)
	for i := range 3 * maxBatch {
		c.Send(member, mesh.Envelope{From: self, To: remote, Message: testMessage{i}})
	}
	for i := range 3 * maxBatch {
		if e := receive(t, got); e.Message != (testMessage{i}) || e.From != self || e.To != remote {
			t.Fatalf("message %d arrived as %+v", i, e)
		}
	}
	if counterValue(received, "peer.received.messages") != 3*maxBatch || counterValue(sent, "peer.sent.bytes") == 0 {
		t.Fatalf("counted %d received messages and %d sent bytes, want every message once and more than 0 bytes", counterValue(received, "peer.received.messages"), counterValue(sent, "peer.sent.bytes"))
	}
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	for number := -1; ; number-- {
		c.Send(member, mesh.Envelope{From: self, Message: testMessage{number}})
		select {
		case <-got:
			return
		case <-unreachable: // the batch that was sent on the broken connection
		case <-time.After(waitTimeout):
			t.Fatal("no message was received within the wait timeout after the connection broke")
		}
	}
}

// Guards against a lost message after a planned restart: the peer closes the idle
// connection, and the first message after that must reach its next incarnation. A node that
// starts would otherwise miss the first reply of each peer.
func TestFirstMessageAfterARestartArrives(t *testing.T) {
	got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
	r := NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e })
	member := serveReceiver(t, nil, r)
	c, sent := newClient(t, nil, unreachable)
	for number := range 5 {
		c.Send(member, mesh.Envelope{From: self, To: remote, Message: testMessage{number}})
		select {
		case e := <-got:
			if e.Message != (testMessage{number}) {
				t.Fatalf("message %+v arrived, want number %d", e, number)
			}
		case <-unreachable:
			t.Fatalf("message %d was lost", number)
		case <-time.After(waitTimeout):
			t.Fatalf("message %d did not arrive", number)
		}
		for end := time.Now().Add(waitTimeout); counterValue(sent, "peer.sent.messages") <= int64(number); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("message %d was not acknowledged", number)
			}
		}
		r.mu.Lock()
		for conn := range r.conns {
			conn.Close()
		}
		r.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // until the client has seen the end of the connection
	}
}

// Guards against messages from or to a host that the certificate of the connection
// does not name. A seed is a peer of which only the address is known, so any certificate
// of the CA is accepted for it.
func TestIdentityIsChecked(t *testing.T) {
	ca, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	got, unreachable := make(chan mesh.Envelope, 1), make(chan mesh.NodeID, 8)
	r := NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e })
	member := serveReceiver(t, peerTLS(t, ca, "receiver"), r)
	envelope := mesh.Envelope{From: self, Message: testMessage{1}}

	otherSender, _ := newClient(t, peerTLS(t, ca, "intruder"), unreachable)
	otherSender.Send(member, envelope)
	receive(t, unreachable)

	client, _ := newClient(t, peerTLS(t, ca, "sender"), unreachable)
	renamed := member
	renamed.Node.Host = "elsewhere"
	client.Send(renamed, envelope)
	receive(t, unreachable)

	withoutTLS, _ := newClient(t, nil, unreachable)
	withoutTLS.Send(member, envelope)
	receive(t, unreachable)

	if len(got) != 0 {
		t.Fatalf("message %+v was delivered although a certificate did not match or was missing", <-got)
	}
	seed := member
	seed.Node = mesh.NodeID{}
	client.Send(seed, envelope)
	if e := receive(t, got); e.From != self {
		t.Fatalf("seed got %+v, want a message from the sender", e)
	}

	otherCA, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	otherConfig := peerTLS(t, otherCA, "receiver")
	otherConfig.ClientCAs = ca.CertPool()
	member = serveReceiver(t, otherConfig, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e }))
	member.Node = mesh.NodeID{}
	if _, err := client.dial(member.PeerAddress, ""); err == nil {
		t.Fatal("a seed with a certificate of another CA was accepted")
	}
}

// Guards against a queue that grows without bound for a peer that accepts nothing, or
// that keeps the oldest messages instead of the newest.
func TestFullQueueDropsTheOldest(t *testing.T) {
	registry := metrics.NewRegistry()
	c := NewClient(Config{Self: self, Metrics: registry})
	q := &queue{ready: make(chan struct{}, 1)}
	c.queues["a"] = q // no goroutine sends from it
	for i := range maxQueued + 3 {
		c.Send(mesh.Member{PeerAddress: "a"}, mesh.Envelope{Message: testMessage{i}})
	}
	_, batch := c.nextBatch(q)
	if batch[0].Message != (testMessage{3}) || len(batch) != maxBatch || len(q.items) != maxQueued-maxBatch {
		t.Fatalf("batch of %d messages begins with %+v, %d left in the queue; want a full batch that begins with message 3", len(batch), batch[0], len(q.items))
	}
	if n := counterValue(registry, "peer.dropped.messages"); n != 3 {
		t.Fatalf("%d drops counted, want 3", n)
	}
}

// A peer that accepts connections but sends nothing must not delay Close. Otherwise a
// process that was told to stop is still running when its time limit for stopping has
// passed (seen in the soak test with seed 53).
func TestCloseDuringHandshake(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		close(accepted)
		defer conn.Close()
		time.Sleep(waitTimeout)
	}()
	c := NewClient(Config{Self: self, Metrics: metrics.NewRegistry()})
	c.Send(mesh.Member{Node: remote, PeerAddress: l.Addr().String()}, mesh.Envelope{From: self, To: remote, Message: testMessage{1}})
	<-accepted
	begin := time.Now()
	c.Close()
	if took := time.Since(begin); took > dialTimeout/2 {
		t.Errorf("Close took %s during a handshake, want at most half of the dial timeout", took)
	}
}

// Guards against pauses that are out of bounds, do not grow, or are equal on all
// nodes.
func TestBackoff(t *testing.T) {
	a := NewBackoff(rand.New(rand.NewPCG(1, 1)), maxRedialBackoff)
	b := NewBackoff(rand.New(rand.NewPCG(1, 2)), maxRedialBackoff)
	differ := false
	for pause := initialBackoff; pause < 4*maxRedialBackoff; pause *= 2 {
		full := min(pause, maxRedialBackoff)
		x, y := a.Next(), b.Next()
		if x < full/2 || x > full || y < full/2 || y > full {
			t.Fatalf("pauses %s and %s, want %s to %s", x, y, full/2, full)
		}
		differ = differ || x != y
	}
	if a.Reset(); !differ || a.Next() > initialBackoff {
		t.Fatalf("pauses of two nodes differ: %v, want true; the pause after Reset must be at most initialBackoff", differ)
	}
}
