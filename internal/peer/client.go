package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/mesh"
)

const (
	maxQueued = 1024 // messages that wait for one peer
	maxBatch  = 256  // messages in one call
	// dialTimeout limits the TCP connect, and separately the handshakes after it.
	dialTimeout    = time.Second
	deliverTimeout = 2 * time.Second // for one call
	// defaultIdleTimeout is the time without messages to a peer after which its
	// goroutine and connection end.
	defaultIdleTimeout = time.Minute
)

// Config holds the parameters of a client.
type Config struct {
	Self mesh.NodeID
	TLS  *tls.Config // nil means no TLS, which is meant for loopback
	// Acknowledged is called with the receiver of each batch that was delivered, unless the
	// receiver is known only by its address. It may be nil.
	Acknowledged func(mesh.NodeID)
	// Unreachable is called with the receiver of each batch that could not be
	// delivered, unless the receiver is known only by its address. It may be nil.
	Unreachable func(mesh.NodeID)
	Metrics     metrics.Registry
	Seed        uint64        // for the jitter of the backoff
	Idle        time.Duration // after which an unused connection is closed; zero means a minute
}

// Client sends control messages, over one connection per peer.
type Client struct {
	cfg                      Config
	sent, dropped, sentBytes metrics.Counter // sent and dropped count messages; bytes are counted before encryption

	mu     sync.Mutex
	queues map[string]*queue // by peer address
	closed bool
	done   chan struct{}   // closed by Close
	ctx    context.Context // ended by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Metrics) }
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdleTimeout
	}
	return &Client{
		ctx:       ctx,
		cancel:    cancel,
		cfg:       cfg,
		sent:      counter("peer.sent.messages"),
		dropped:   counter("peer.dropped.messages"),
		sentBytes: counter("peer.sent.bytes"),
		queues:    map[string]*queue{},
		done:      make(chan struct{}),
	}
}

// queue holds the messages that wait to be sent to one address.
type queue struct {
	member mesh.Member     // receiver of the latest message
	items  []mesh.Envelope // oldest first
	ready  chan struct{}   // receives a value when a message is added
}

// Send queues a message for the member's PeerAddress without blocking. If the queue
// is full, its oldest message is dropped. If the member has no host, because it is a
// seed known only by its address, any certificate of the CA is accepted.
func (c *Client) Send(to mesh.Member, e mesh.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || to.PeerAddress == "" {
		c.dropped.Inc(1)
		return
	}
	q := c.queues[to.PeerAddress]
	if q == nil {
		q = &queue{ready: make(chan struct{}, 1)}
		c.queues[to.PeerAddress] = q
		c.wg.Add(1)
		go c.run(to.PeerAddress, q)
	}
	q.member = to
	if len(q.items) == maxQueued {
		q.items = append(q.items[:0], q.items[1:]...)
		c.dropped.Inc(1)
	}
	q.items = append(q.items, e)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Close drops queued messages, closes all connections and waits for their
// goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
		c.cancel()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// nextBatch removes the oldest messages from a queue and returns them with their
// receiver. The batch is empty if the queue is.
func (c *Client) nextBatch(q *queue) (mesh.Member, []mesh.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(q.items), maxBatch)
	batch := append([]mesh.Envelope(nil), q.items[:n]...)
	rest := copy(q.items, q.items[n:])
	clear(q.items[rest:])
	q.items = q.items[:rest]
	return q.member, batch
}

// removeIfEmpty removes a queue if it is empty, and reports whether it was.
func (c *Client) removeIfEmpty(address string, q *queue) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q.items) > 0 {
		return false
	}
	delete(c.queues, address)
	return true
}

// peerConn is the connection to one peer, if there is one.
type peerConn struct {
	host mesh.Host   // for which the certificate was checked
	rpc  *rpc.Client // nil if there is no connection
}

func (pc *peerConn) close() {
	if pc.rpc != nil {
		pc.rpc.Close()
		pc.rpc = nil
	}
}

// run sends the messages of one queue until the client is closed or the queue has
// been idle for too long.
func (c *Client) run(address string, q *queue) {
	defer c.wg.Done()
	var pc peerConn
	defer pc.close()
	pairHash := mesh.RendezvousScore(address, c.cfg.Self) // so that the jitter differs between connections
	backoff := NewBackoff(rand.New(rand.NewPCG(c.cfg.Seed, pairHash)), maxRedialBackoff)
	idle := time.NewTimer(c.cfg.Idle)
	defer idle.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-idle.C:
			if c.removeIfEmpty(address, q) {
				return
			}
		case <-q.ready:
		}
		idle.Reset(c.cfg.Idle)
		if !c.sendQueued(address, q, &pc, backoff) {
			return
		}
	}
}

// sendQueued sends the queued messages in batches. A batch that cannot be delivered is
// dropped, and the next one waits for the backoff. sendQueued returns false if the
// client was closed during that wait.
func (c *Client) sendQueued(address string, q *queue, pc *peerConn, backoff *Backoff) bool {
	for {
		member, batch := c.nextBatch(q)
		if len(batch) == 0 {
			return true
		}
		err := c.deliver(address, member, batch, pc)
		if err == nil {
			c.sent.Inc(int64(len(batch)))
			backoff.Reset()
			if !member.Node.IsZero() && c.cfg.Acknowledged != nil {
				c.cfg.Acknowledged(member.Node)
			}
			continue
		}
		c.dropped.Inc(int64(len(batch)))
		if !member.Node.IsZero() && c.cfg.Unreachable != nil {
			c.cfg.Unreachable(member.Node)
		}
		select {
		case <-time.After(backoff.Next()):
		case <-c.done:
			return false
		}
	}
}

// deliver sends a batch and waits for the acknowledgement. If the peer has closed the idle
// connection, for example because it restarted, the batch is sent on a new one.
func (c *Client) deliver(address string, to mesh.Member, batch []mesh.Envelope, pc *peerConn) error {
	reused := pc.rpc != nil
	err := c.deliverOnce(address, to, batch, pc)
	// net/rpc returns ErrShutdown if it had seen the end of the connection before the call,
	// so that the batch was not sent.
	if reused && errors.Is(err, rpc.ErrShutdown) && c.ctx.Err() == nil {
		return c.deliverOnce(address, to, batch, pc)
	}
	return err
}

// deliverOnce makes one attempt to deliver a batch. It connects first if there is no
// connection or its certificate was checked for another host, and closes the connection
// after an error.
func (c *Client) deliverOnce(address string, to mesh.Member, batch []mesh.Envelope, pc *peerConn) error {
	if pc.rpc != nil && pc.host != to.Node.Host {
		pc.close()
	}
	if pc.rpc == nil {
		client, err := c.dial(address, to.Node.Host)
		if err != nil {
			return err
		}
		pc.rpc, pc.host = client, to.Node.Host
	}
	timer := time.NewTimer(deliverTimeout)
	defer timer.Stop()
	call := pc.rpc.Go(deliverMethod, batch, &Ack{}, make(chan *rpc.Call, 1))
	var err error
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errors.Errorf("peer %s did not acknowledge a batch within %s", address, deliverTimeout)
	case <-c.done:
		err = rpc.ErrShutdown
	}
	if err != nil {
		pc.close()
	}
	return err
}

// dial connects to the address and checks that the peer's certificate names the host.
func (c *Client) dial(address string, host mesh.Host) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", host)
	}
	// A peer that does not answer the handshake must not delay Close.
	raw := conn
	defer context.AfterFunc(c.ctx, func() { raw.Close() })()
	// The deadline applies to the handshake only: an idle connection may stay open.
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "set the deadline of the handshake with peer %s", host)
	}
	conn, err = c.handshake(conn, host)
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "handshake with peer %s at %s", host, address)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "clear the deadline of the connection to peer %s", host)
	}
	return rpc.NewClient(&countedConn{Conn: conn, written: c.sentBytes}), nil
}

// handshake performs the TLS handshake, which checks the peer's certificate, and
// requests net/rpc with CONNECT. The returned connection is never nil; after an error,
// the caller must close it.
func (c *Client) handshake(conn net.Conn, host mesh.Host) (net.Conn, error) {
	if c.cfg.TLS != nil {
		secure := tls.Client(conn, clientTLS(c.cfg.TLS, host))
		conn = secure
		if err := secure.Handshake(); err != nil {
			return conn, err
		}
	}
	if _, err := io.WriteString(conn, "CONNECT "+connectPath+" HTTP/1.0\r\n\r\n"); err != nil {
		return conn, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return conn, err
	}
	if resp.Status != connectStatus {
		return conn, errors.Errorf("peer answered CONNECT with status %q", resp.Status)
	}
	return conn, nil
}
