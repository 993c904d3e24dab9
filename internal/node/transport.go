package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	dialTimeout     = time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 90 * time.Second
	peerIdlePerHost = 64
	// peerContinueTimeout never ends the wait for 100 Continue before the
	// deadline of the call does: a peer reads the body only when the call runs.
	peerContinueTimeout = time.Hour
	// upstreamContinueTimeout is short because an upstream may not know
	// Expect: 100-continue.
	upstreamContinueTimeout = time.Second
	bufferSize              = 16 << 10
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:        dialTracked,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		ReadBufferSize:     bufferSize,
		WriteBufferSize:    bufferSize,
		Protocols:          http1(),
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// upstreamTransport opens at most the announced number of connections.
func upstreamTransport(connections int) *http.Transport {
	t := newTransport()
	t.MaxConnsPerHost = connections
	t.MaxIdleConnsPerHost = max(connections, peerIdlePerHost)
	t.ExpectContinueTimeout = upstreamContinueTimeout
	return t
}

// forwarder holds the connections to the peer listeners of other nodes. A
// request is addressed to the name of the peer's host, which TLS verifies, and
// the dialler translates it into the address.
type forwarder struct {
	transport *http.Transport
	secure    bool
	mu        sync.RWMutex
	addresses map[string]string // by authority
	last      map[mesh.Host]peerName
}

func newForwarder(config *tls.Config) *forwarder {
	f := &forwarder{
		addresses: map[string]string{}, last: map[mesh.Host]peerName{}, secure: config != nil,
	}
	f.transport = newTransport()
	f.transport.MaxIdleConnsPerHost = peerIdlePerHost
	f.transport.ExpectContinueTimeout = peerContinueTimeout
	if config != nil {
		f.transport.TLSClientConfig = config.Clone()
	}
	f.transport.DialContext = func(ctx context.Context, network, name string) (net.Conn, error) {
		f.mu.RLock()
		address, ok := f.addresses[name]
		f.mu.RUnlock()
		if !ok {
			return nil, &net.AddrError{Err: "no address is known for the peer", Addr: name}
		}
		return dialTracked(ctx, network, address)
	}
	return f
}

// address returns the scheme and authority under which the transport reaches
// the member. The authority is the host's name with the port of its address.
func (f *forwarder) address(m mesh.Member) (scheme, authority string) {
	scheme = "http"
	if f.secure {
		scheme = "https"
	}
	f.mu.RLock()
	last := f.last[m.Node.Host]
	f.mu.RUnlock()
	if last.address == m.PeerAddress {
		return scheme, last.authority
	}
	_, port, err := net.SplitHostPort(m.PeerAddress)
	if err != nil {
		port = "0" // dialling fails and names the address
	}
	authority = net.JoinHostPort(string(m.Node.Host), port)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[authority] = m.PeerAddress
	f.last[m.Node.Host] = peerName{m.PeerAddress, authority}
	return scheme, authority
}

// peerName is a peer's address and the authority that stands for it.
type peerName struct{ address, authority string }

// trackedConn counts the bytes that were about to be written, so that a failed
// attempt can be shown to have sent nothing.
type trackedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: bytes that are counted late could have left.
func (t *trackedConn) Write(p []byte) (int, error) {
	t.written.Add(int64(len(p)))
	return t.Conn.Write(p)
}

func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// proof gathers whether anything of an attempt was sent.
type proof struct {
	mu     sync.Mutex
	conn   *trackedConn
	before int64
	taken  bool // a connection was given to the attempt
}

// trace returns the hooks that feed the proof. A second connection for the
// same attempt means that http.Transport is about to send the request again;
// unless nothing was written on the first, the attempt is cancelled.
func (p *proof) trace(cancel context.CancelFunc) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.taken && !p.unsent() {
			cancel()
			return
		}
		p.taken = true
		p.conn = tracked(info.Conn)
		if p.conn != nil {
			p.before = p.conn.written.Load()
		}
	}}
}

func tracked(conn net.Conn) *trackedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	t, _ := conn.(*trackedConn)
	return t
}

// unsent closes the connection and reports whether nothing was written on it.
// After the close no write can succeed, so the count is final. The socket is
// closed below TLS, because a TLS close would itself write.
func (p *proof) unsent() bool {
	if p.conn == nil {
		return false
	}
	p.conn.Close()
	return p.conn.written.Load() == p.before
}

// execution returns NotRun only if no byte of the request was written.
func (p *proof) execution() outcome.Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.taken || p.unsent() {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}
