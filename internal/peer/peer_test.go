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

type note struct{ Number int }

func (note) MessageName() string { return "note" }

func init() { mesh.RegisterMessage(note{}) }

var (
	self   = mesh.NodeID{Host: "sender", Incarnation: 1}
	remote = mesh.NodeID{Host: "receiver", Incarnation: 2}
)

const patience = 20 * time.Second

// endpointOn serves a receiver with the certificate and returns its member.
func endpointOn(t *testing.T, config *tls.Config, r *Receiver) mesh.Member {
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
	config, err := ca.Peer(host)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func newClient(t *testing.T, config *tls.Config, lost chan mesh.NodeID) (*Client, metrics.Registry) {
	registry := metrics.NewRegistry()
	c := NewClient(Config{Self: self, TLS: config, Metrics: registry,
		Unreachable: func(n mesh.NodeID) { lost <- n }})
	t.Cleanup(c.Close)
	return c, registry
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func count(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// Guards against messages that are lost, reordered, or changed on a healthy
// connection, and against a peer that does not recover from a broken one.
func TestDeliverInOrderAndRedial(t *testing.T) {
	ca, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	got, lost := make(chan mesh.Envelope, 4*batchLength), make(chan mesh.NodeID, 8)
	received := metrics.NewRegistry()
	r := NewReceiver(received, func(e mesh.Envelope) { got <- e })
	member := endpointOn(t, peerTLS(t, ca, "receiver"), r)
	c, sent := newClient(t, peerTLS(t, ca, "sender"), lost)
	for i := range 3 * batchLength {
		c.Send(member, mesh.Envelope{From: self, To: remote, Message: note{i}})
	}
	for i := range 3 * batchLength {
		if e := receive(t, got); e.Message != (note{i}) || e.From != self || e.To != remote {
			t.Fatalf("message %d: %+v", i, e)
		}
	}
	if count(received, "peer.received.messages") != 3*batchLength || count(sent, "peer.sent.bytes") == 0 {
		t.Fatalf("%d messages, %d bytes counted", count(received, "peer.received.messages"), count(sent, "peer.sent.bytes"))
	}
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	for number := -1; ; number-- {
		c.Send(member, mesh.Envelope{From: self, Message: note{number}})
		select {
		case <-got:
			return
		case <-lost: // the batch that met the broken connection
		case <-time.After(patience):
			t.Fatal("no message after the connection broke")
		}
	}
}

// Guards against messages from or to a host that the certificate does not
// name.
func TestIdentityIsChecked(t *testing.T) {
	ca, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	got, lost := make(chan mesh.Envelope, 1), make(chan mesh.NodeID, 8)
	r := NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e })
	member := endpointOn(t, peerTLS(t, ca, "receiver"), r)
	envelope := mesh.Envelope{From: self, Message: note{1}}

	intruder, _ := newClient(t, peerTLS(t, ca, "intruder"), lost)
	intruder.Send(member, envelope)
	receive(t, lost)

	honest, _ := newClient(t, peerTLS(t, ca, "sender"), lost)
	renamed := member
	renamed.Node.Host = "elsewhere"
	honest.Send(renamed, envelope)
	receive(t, lost)

	plain, _ := newClient(t, nil, lost)
	plain.Send(member, envelope)
	receive(t, lost)

	if len(got) != 0 {
		t.Fatalf("message %+v was delivered", <-got)
	}
	seed := member
	seed.Node = mesh.NodeID{}
	honest.Send(seed, envelope)
	if e := receive(t, got); e.From != self {
		t.Fatalf("seed got %+v", e)
	}

	other, err := devtls.New()
	if err != nil {
		t.Fatal(err)
	}
	stranger := peerTLS(t, other, "receiver")
	stranger.ClientCAs = ca.Pool()
	member = endpointOn(t, stranger, NewReceiver(metrics.NewRegistry(), func(e mesh.Envelope) { got <- e }))
	member.Node = mesh.NodeID{}
	if _, err := honest.dial(member.PeerAddress, ""); err == nil {
		t.Fatal("a seed with a certificate of another CA was accepted")
	}
}

// Guards against a queue that grows without bound for a peer that takes
// nothing, or that keeps the oldest messages instead of the newest.
func TestFullQueueDropsTheOldest(t *testing.T) {
	registry := metrics.NewRegistry()
	c := NewClient(Config{Self: self, Metrics: registry})
	q := &queue{ready: make(chan struct{}, 1)}
	c.queues["a"] = q // without a goroutine that empties it
	for i := range queueLength + 3 {
		c.Send(mesh.Member{PeerAddress: "a"}, mesh.Envelope{Message: note{i}})
	}
	_, batch := c.take(q)
	if batch[0].Message != (note{3}) || len(batch) != batchLength || len(q.items) != queueLength-batchLength {
		t.Fatalf("first of %d is %+v, %d left", len(batch), batch[0], len(q.items))
	}
	if n := count(registry, "peer.dropped.messages"); n != 3 {
		t.Fatalf("%d drops counted, want 3", n)
	}
}

// Guards against pauses that leave their bounds, do not grow, or are the same
// on every node.
// A peer that takes connections and says nothing must not hold up Close: a process
// that was told to stop was still there when its time had ended (soak, seed 53).
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
		time.Sleep(patience)
	}()
	c := NewClient(Config{Self: self, Metrics: metrics.NewRegistry()})
	c.Send(mesh.Member{Node: remote, PeerAddress: l.Addr().String()}, mesh.Envelope{From: self, To: remote, Message: note{1}})
	<-accepted
	begin := time.Now()
	c.Close()
	if took := time.Since(begin); took > dialTimeout/2 {
		t.Errorf("Close took %s while a handshake was under way", took)
	}
}

func TestBackoff(t *testing.T) {
	a := NewBackoff(rand.New(rand.NewPCG(1, 1)), redialMax)
	b := NewBackoff(rand.New(rand.NewPCG(1, 2)), redialMax)
	differ := false
	for pause := backoffMin; pause < 4*redialMax; pause *= 2 {
		full := min(pause, redialMax)
		x, y := a.Next(), b.Next()
		if x < full/2 || x > full || y < full/2 || y > full {
			t.Fatalf("pauses %s and %s, want %s to %s", x, y, full/2, full)
		}
		differ = differ || x != y
	}
	if a.Reset(); !differ || a.Next() > backoffMin {
		t.Fatalf("pauses differ: %v; after a reset it does not start again", differ)
	}
}
