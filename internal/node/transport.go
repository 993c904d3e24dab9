package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	dialTimeout         = time.Second
	keepAliveInterval   = 15 * time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConnsPerHost = 64
	// peerContinueTimeout exceeds declaration.MaxTimeout, the longest deadline of
	// a call. The deadline therefore ends the wait for 100 Continue first: a peer
	// reads the body only once the call runs.
	peerContinueTimeout = time.Hour
	// upstreamContinueTimeout is short because an upstream may not support
	// Expect: 100-continue.
	upstreamContinueTimeout = time.Second
	connBufferSize          = 16 << 10 // bytes, for each direction
	maxResponseHead         = 96 << 10 // bytes
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:        dialTracked,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		ReadBufferSize:     connBufferSize,
		WriteBufferSize:    connBufferSize,
		Protocols:          http1(),
		// A faulty upstream may send a response head without end.
		MaxResponseHeaderBytes: maxResponseHead,
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// upstreamTransport returns a transport with at most the announced number of
// connections, or without a limit if that is 0.
func upstreamTransport(connections int) *exchange.StrictTransport {
	t := newTransport()
	t.MaxConnsPerHost = connections
	t.MaxIdleConnsPerHost = max(connections, maxIdleConnsPerHost)
	t.ExpectContinueTimeout = upstreamContinueTimeout
	return exchange.Strict(t)
}

// forwarder holds the connections to the peer listeners of other nodes.
// Requests are addressed to the peer's host name, which TLS verifies; dialling
// maps the name to the peer's address.
type forwarder struct {
	transport *exchange.StrictTransport
	useTLS    bool
	mu        sync.RWMutex
	addresses map[string]string // peer addresses by authority
	byHost    map[mesh.Host]peerEndpoint
}

func newForwarder(config *tls.Config) *forwarder {
	f := &forwarder{
		addresses: map[string]string{}, byHost: map[mesh.Host]peerEndpoint{}, useTLS: config != nil,
	}
	transport := newTransport()
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.ExpectContinueTimeout = peerContinueTimeout
	if config != nil {
		transport.TLSClientConfig = config.Clone()
	}
	transport.DialContext = func(ctx context.Context, network, authority string) (net.Conn, error) {
		f.mu.RLock()
		address, ok := f.addresses[authority]
		f.mu.RUnlock()
		if !ok {
			return nil, &net.AddrError{Err: "no known address for peer", Addr: authority}
		}
		return dialTracked(ctx, network, address)
	}
	f.transport = exchange.Strict(transport)
	return f
}

// resolve returns the scheme and authority for requests to the member. The
// authority is the member's host name with the port of its peer address.
func (f *forwarder) resolve(m mesh.Member) (scheme, authority string) {
	scheme = "http"
	if f.useTLS {
		scheme = "https"
	}
	f.mu.RLock()
	endpoint := f.byHost[m.Node.Host]
	f.mu.RUnlock()
	if endpoint.address == m.PeerAddress {
		return scheme, endpoint.authority
	}
	_, port, err := net.SplitHostPort(m.PeerAddress)
	if err != nil {
		port = "0" // dialling fails with an error that contains the address
	}
	authority = net.JoinHostPort(string(m.Node.Host), port)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[authority] = m.PeerAddress
	f.byHost[m.Node.Host] = peerEndpoint{m.PeerAddress, authority}
	return scheme, authority
}

// peerEndpoint is a peer's address and the authority that maps to it.
type peerEndpoint struct{ address, authority string }

// trackedConn counts the bytes passed to Write, so that a failed attempt can be
// shown to have sent nothing, and tells the end of the stream from a broken connection.
type trackedConn struct {
	net.Conn
	written    atomic.Int64
	writeError atomic.Value // a writeFailure; the first error of Write
}

type writeFailure struct{ error }

// Write adds to the count before it writes, because bytes that are counted
// afterwards could already have been sent.
func (t *trackedConn) Write(p []byte) (int, error) {
	t.written.Add(int64(len(p)))
	n, err := t.Conn.Write(p)
	if err != nil {
		t.writeError.CompareAndSwap(nil, writeFailure{err})
	}
	return n, err
}

// Read returns an error instead of io.EOF if the connection broke: the kernel may have reported a
// reset to Write only, and a server that has not received the whole request resets the connection
// after its end.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure, ok := t.writeError.Load().(writeFailure); ok {
		return n, failure.error
	}
	if broken := exchange.AwaitReceipt(t.Conn); broken != nil {
		return n, broken
	}
	return n, io.EOF
}

func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// sendTracker records whether anything of an attempt was sent.
type sendTracker struct {
	mu        sync.Mutex
	conn      *trackedConn
	baseline  int64 // conn.written when the attempt obtained the connection
	connected bool  // the attempt obtained a connection
}

// gotConn returns the function that updates the tracker when the attempt obtains a
// connection. A second connection for the same attempt means that http.Transport is
// about to send the request again. The attempt is then cancelled unless nothing was
// written on the first connection.
func (s *sendTracker) gotConn(cancel context.CancelFunc) func(net.Conn) {
	return func(conn net.Conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.connected && !s.closeAndCheckUnsent() {
			cancel()
			return
		}
		s.connected = true
		s.conn = asTrackedConn(conn)
		if s.conn != nil {
			s.baseline = s.conn.written.Load()
		}
	}
}

// asTrackedConn returns the trackedConn below the layers of a connection, or nil if there is none.
func asTrackedConn(conn net.Conn) *trackedConn {
	for {
		switch layer := conn.(type) {
		case *trackedConn:
			return layer
		case interface{ NetConn() net.Conn }:
			conn = layer.NetConn()
		default:
			return nil
		}
	}
}

// closeAndCheckUnsent closes the connection and reports whether the attempt has
// written nothing on it. After the close no write can succeed, so the count is
// final. The underlying connection is closed instead of the TLS one, because
// closing TLS writes an alert.
func (s *sendTracker) closeAndCheckUnsent() bool {
	if s.conn == nil {
		return false
	}
	s.conn.Close()
	return s.conn.written.Load() == s.baseline
}

// execution returns NotRun only if no byte of the request was written, and
// MayHaveRun otherwise. It closes the connection of the attempt.
func (s *sendTracker) execution() outcome.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connected || s.closeAndCheckUnsent() {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}
