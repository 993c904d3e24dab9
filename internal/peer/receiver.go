package peer

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/mesh"
)

const (
	serviceName   = "Peer"
	deliverMethod = serviceName + ".Deliver"
	connectPath   = "/rpc"
	connectStatus = "200 Connected"
)

// Receiver is the HTTP handler that accepts net/rpc connections, which begin with a
// CONNECT request, on the peer listener.
type Receiver struct {
	// Host, if set, is the host of this node: messages to other hosts are refused, since
	// their sender would take this node for one that is gone. It must be set before the first
	// connection.
	Host     mesh.Host
	deliver  func(mesh.Envelope)
	messages metrics.Counter
	bytes    metrics.Counter // of net/rpc, after decryption

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewReceiver returns a receiver that passes every message to deliver. Messages of one
// connection are passed in the order in which they were sent, because a client waits for
// the reply to a batch before it sends the next one.
func NewReceiver(registry metrics.Registry, deliver func(mesh.Envelope)) *Receiver {
	return &Receiver{
		deliver:  deliver,
		messages: metrics.GetOrRegisterCounter("peer.received.messages", registry),
		bytes:    metrics.GetOrRegisterCounter("peer.received.bytes", registry),
		conns:    map[net.Conn]struct{}{},
	}
}

// ServeHTTP takes over the connection and serves net/rpc on it.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if !r.track(conn) {
		return
	}
	defer r.untrack(conn)
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectStatus+"\r\n\r\n"); err != nil {
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &endpoint{receiver: r, tls: req.TLS}); err != nil {
		panic(err) // cannot happen: endpoint has a method that net/rpc accepts
	}
	server.ServeConn(&countedConn{Conn: conn, read: r.bytes})
}

// track records an open connection. It returns false if the receiver is closed.
func (r *Receiver) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Receiver) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// Close closes all connections and refuses new ones.
func (r *Receiver) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		conn.Close()
	}
}

// endpoint is the RPC service of one connection.
type endpoint struct {
	receiver *Receiver
	tls      *tls.ConnectionState
}

// Ack is the empty reply of Deliver.
type Ack struct{}

// Deliver accepts a batch of messages. The whole batch is refused if any envelope has no
// message, a sender that the connection's certificate does not name, or another receiver.
func (e *endpoint) Deliver(batch []mesh.Envelope, _ *Ack) error {
	for i := range batch {
		if err := CheckIdentity(e.tls, batch[i].From.Host); err != nil {
			return err
		}
		if own := e.receiver.Host; own != "" && batch[i].To.Host != own {
			return errors.Errorf("envelope %d of %s is for %s, not for this host %s", i, batch[i].From, batch[i].To, own)
		}
		if batch[i].Message == nil {
			return errors.Errorf("envelope %d of %s has no message", i, batch[i].From)
		}
	}
	e.receiver.messages.Inc(int64(len(batch)))
	for i := range batch {
		e.receiver.deliver(batch[i])
	}
	return nil
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	read, written metrics.Counter // not counted if nil
	total         int64           // bytes written; for the goroutine that writes
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.read != nil {
		c.read.Inc(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total += int64(n)
	if c.written != nil {
		c.written.Inc(int64(n))
	}
	return n, err
}
