package peer

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/standin/silence"
)

// serveSilenceable serves a receiver on connections that can go silent, and returns its listener
// and the member under which it is reached.
func serveSilenceable(t *testing.T, deliver func(mesh.Envelope)) (*silence.Listener, mesh.Member) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, r := &silence.Listener{Listener: inner}, NewReceiver(metrics.NewRegistry(), deliver)
	server := &http.Server{Handler: r}
	go server.Serve(l)
	t.Cleanup(func() {
		server.Close()
		r.Close()
	})
	return l, mesh.Member{Node: remote, PeerAddress: l.Addr().String()}
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
	network, member := serveSilenceable(t, func(e mesh.Envelope) { got <- e })
	c, sent := newClient(t, nil, unreachable)
	sendAndAwait(t, c, sent, member, got, 1)
	network.Silence()
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
	var networks []*silence.Listener
	var members []mesh.Member
	for range 3 {
		l, m := serveSilenceable(t, func(e mesh.Envelope) { got <- e })
		networks, members = append(networks, l), append(members, m)
		sendAndAwait(t, c, sent, m, got, len(members))
	}
	for _, l := range networks {
		l.Silence()
	}
	sendAndAwait(t, c, sent, members[0], got, 10)
	eventuallyCounted(t, sent, "peer.silent_connections", 1)
	for i, m := range members[1:] {
		sendAndAwait(t, c, sent, m, got, 20+i)
	}
	if n := counterValue(sent, "peer.silent_connections"); n != 1 {
		t.Errorf("%d connections were found silent by waiting, want 1", n)
	}
	for i, l := range networks { // all are on their second connection now, which is kept
		sendAndAwait(t, c, sent, members[i], got, 30+i)
		if n := l.Silence(); n != 2 {
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

// Guards against a peer that is only short of processor time and is taken for a silent
// connection again and again: each false alarm costs connections when there is least time.
func TestSlowPeerIsNotTakenForASilentConnection(t *testing.T) {
	got, unreachable := make(chan mesh.Envelope, 16), make(chan mesh.NodeID, 8)
	network, member := serveSilenceable(t, func(e mesh.Envelope) { time.Sleep(silenceTimeout + 50*time.Millisecond); got <- e })
	c, sent := newClient(t, nil, unreachable)
	for number := range 4 {
		c.Send(member, mesh.Envelope{From: self, To: remote, Message: testMessage{number}})
		eventuallyCounted(t, sent, "peer.sent.messages", int64(number)+1)
	}
	if n := counterValue(sent, "peer.silent_connections"); n != 0 {
		t.Errorf("%d silent connections counted, want none", n)
	}
	if n := network.Silence(); n != 2 {
		t.Errorf("%d connections to a slow peer, want 2: only the first message is sent twice", n)
	}
	if len(got) != 5 {
		t.Errorf("%d messages arrived, want 4 and one repeat", len(got))
	}
}

// Guards against a peer that is paused for a moment and is taken for a silent connection: the
// nodes that wait for it once closed their idle connections.
func TestPausedPeerIsNotTakenForASilentConnection(t *testing.T) {
	for _, pause := range []time.Duration{silenceTimeout * 5 / 2, 2 * dialTimeout} {
		got, unreachable := make(chan mesh.Envelope, 8), make(chan mesh.NodeID, 8)
		network, member := serveSilenceable(t, func(e mesh.Envelope) { got <- e })
		c, sent := newClient(t, nil, unreachable)
		sendAndAwait(t, c, sent, member, got, 1)
		network.Pause(pause)
		c.Send(member, mesh.Envelope{From: self, To: remote, Message: testMessage{2}})
		receive(t, got)
		time.Sleep(deliverTimeout / 4) // until the repeat is acknowledged
		if n := counterValue(sent, "peer.silent_connections"); n != 0 {
			t.Errorf("%d silent connections counted after a pause of %s, want none", n, pause)
		}
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
	network, member := serveSilenceable(t, func(e mesh.Envelope) { got <- e })
	c, sent := newClient(t, nil, unreachable)
	sendAndAwait(t, c, sent, member, got, 1)
	network.Stall()
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
