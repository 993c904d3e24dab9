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
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
)

const (
	maxQueued = 1024 // messages that wait for one peer
	maxBatch  = 256  // messages in one call
	// dialTimeout limits the TCP connect, and separately the handshakes after it.
	dialTimeout = time.Second
	// silenceTimeout is how long a call may remain without acknowledgement before its
	// connection is taken for silent. Nodes acknowledge within milliseconds, those of other
	// data centres within a tenth of a second. A declaration reaches a node in three messages,
	// which the users' platform grants two seconds together.
	silenceTimeout = 300 * time.Millisecond
	// maxSilenceTimeout bounds the limit for a peer that acknowledges slowly.
	maxSilenceTimeout = time.Second
	// bytesPerMillisecond is the rate that a peer needs at least to read and handle a large
	// batch: a declaration of 8 MB may take 0.8 s longer.
	bytesPerMillisecond = 10_000
	deliverTimeout      = 2 * time.Second // for the second call, on a new connection
	// suspicionInterval is the least time between two silences that make other connections
	// suspect. It bounds the rate of new connections if peers that are short of processor time
	// are taken for silent connections.
	suspicionInterval = 2 * time.Second
	// timerSlack is how late a timer may fire. A later one shows that this process was paused or
	// had no processor time, so that an acknowledgement may still wait to be read.
	timerSlack = 100 * time.Millisecond
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
	// Silent is called with the receiver of each batch that was not acknowledged on one
	// connection but at once on a new one, and the time at which it was sent first. It may be
	// nil.
	Silent  func(to mesh.NodeID, sent time.Time)
	Metrics metrics.Registry
	Seed    uint64        // for the jitter of the backoff
	Idle    time.Duration // after which an unused connection is closed; zero means a minute
}

// Client sends control messages, over one connection per peer. Open connections can go silent
// without being closed, many at one moment. A batch that is not acknowledged soon is therefore
// sent once more, on a new connection, so that a receiver may get a message twice. If that
// succeeds, connections that have not carried an acknowledgement since are not used again.
type Client struct {
	cfg                      Config
	sent, dropped, sentBytes metrics.Counter // sent and dropped count messages; bytes are counted before encryption
	silent, suspected        metrics.Counter // connections found silent, and closed because others were

	mu            sync.Mutex
	queues        map[string]*queue // by peer address
	suspectBefore time.Time         // connections without an acknowledgement since are not used
	suspectedAt   time.Time         // when suspectBefore was set
	closed        bool
	done          chan struct{}   // closed by Close
	ctx           context.Context // ended by Close
	cancel        context.CancelFunc
	wg            sync.WaitGroup
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
		silent:    counter("peer.silent_connections"),
		suspected: counter("peer.suspect_connections"),
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
	conn *countedConn
	// acknowledgedAt is the time of the last acknowledgement, or of the handshake.
	acknowledgedAt time.Time
	// slowest is the longest time until a recent acknowledgement, an eighth less with each.
	slowest time.Duration
}

// silenceLimit returns the time after which the connection is taken for silent.
func (pc *peerConn) silenceLimit() time.Duration {
	return min(max(silenceTimeout, 3*pc.slowest), maxSilenceTimeout)
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

// Suspect prevents the use of connections that have not carried an acknowledgement since the
// given time: they may have gone silent.
func (c *Client) Suspect(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.suspectedAt) >= suspicionInterval {
		c.suspectBefore, c.suspectedAt = before, now
	}
}

// closeSuspect closes a connection that may have gone silent.
func (c *Client) closeSuspect(pc *peerConn) {
	c.mu.Lock()
	before := c.suspectBefore
	c.mu.Unlock()
	if pc.rpc != nil && pc.acknowledgedAt.Before(before) {
		c.suspected.Inc(1)
		pc.close()
	}
}

// deliver sends a batch and waits for the acknowledgement. The batch is sent once more, on a
// new connection, if the peer has closed the idle connection, for example because it
// restarted, or if the connection seems to be silent.
func (c *Client) deliver(address string, to mesh.Member, batch []mesh.Envelope, pc *peerConn) error {
	c.closeSuspect(pc)
	reused := pc.rpc != nil
	began := time.Now()
	err := c.deliverOnce(address, to, batch, pc, pc.silenceLimit())
	silent := errors.Is(err, errUnacknowledged)
	// net/rpc returns ErrShutdown if it had seen the end of the connection before the call,
	// so that the batch was not sent.
	if c.ctx.Err() != nil || !silent && !(reused && errors.Is(err, rpc.ErrShutdown)) {
		return err
	}
	repeated := time.Now()
	err = c.deliverOnce(address, to, batch, pc, deliverTimeout)
	// A peer that is only slow or paused does not acknowledge soon on the new connection either.
	if silent && err == nil && time.Since(repeated) < silenceTimeout && pc.slowest < silenceTimeout {
		c.silent.Inc(1)
		c.Suspect(began)
		if !to.Node.IsZero() && c.cfg.Silent != nil {
			c.cfg.Silent(to.Node, began)
		}
	}
	return err
}

// errUnacknowledged is the cause of the error if a batch was not acknowledged in time.
var errUnacknowledged = errors.New("the batch was not acknowledged")

// deliverOnce makes one attempt to deliver a batch. It connects first if there is no
// connection or its certificate was checked for another host, and closes the connection
// after an error.
func (c *Client) deliverOnce(address string, to mesh.Member, batch []mesh.Envelope, pc *peerConn, limit time.Duration) error {
	if pc.rpc != nil && pc.host != to.Node.Host {
		pc.close()
	}
	if pc.rpc == nil {
		conn, err := c.dial(address, to.Node.Host)
		if err != nil {
			return err
		}
		pc.conn = &countedConn{Conn: conn, written: c.sentBytes}
		pc.rpc, pc.host, pc.acknowledgedAt = rpc.NewClient(pc.conn), to.Node.Host, time.Now()
	}
	began := time.Now()
	// Writing blocks if the connection is silent and the batch is larger than its buffers. An
	// error of SetWriteDeadline shows in the call, too.
	_ = pc.conn.SetWriteDeadline(began.Add(max(limit, maxSilenceTimeout)))
	before := pc.conn.total
	call := pc.rpc.Go(deliverMethod, batch, &Ack{}, make(chan *rpc.Call, 1))
	limit += time.Duration((pc.conn.total-before)/bytesPerMillisecond) * time.Millisecond
	err := c.awaitAcknowledgement(call, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) { // of the write
		err = errUnacknowledged
	}
	if errors.Is(err, errUnacknowledged) {
		err = errors.Wrapf(err, "peer %s, within %s", address, limit)
	}
	if err != nil {
		pc.close()
		return err
	}
	pc.acknowledgedAt = time.Now()
	pc.slowest = max(pc.acknowledgedAt.Sub(began), pc.slowest-pc.slowest/8)
	return nil
}

// awaitAcknowledgement waits until the call ends, for at most the limit.
func (c *Client) awaitAcknowledgement(call *rpc.Call, limit time.Duration) error {
	due := time.Now().Add(limit)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return call.Error
		case <-c.done:
			return rpc.ErrShutdown
		case <-timer.C:
			if time.Since(due) < timerSlack {
				return errUnacknowledged
			}
			due = time.Now().Add(limit)
			timer.Reset(limit)
		}
	}
}

// dial connects to the address and checks that the peer's certificate names the host.
func (c *Client) dial(address string, host mesh.Host) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := exchange.NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
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
	return conn, nil
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
	if err == nil {
		err = exchange.CheckHead(resp)
	}
	if err != nil {
		return conn, err
	}
	if resp.Status != connectStatus {
		return conn, errors.Errorf("peer answered CONNECT with status %q", resp.Status)
	}
	return conn, nil
}
