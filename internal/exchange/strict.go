package exchange

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// StrictTransport is an http.Transport that fails requests whose responses are malformed. It speaks
// HTTP/1.1 only.
type StrictTransport struct{ base *http.Transport }

// Strict returns a StrictTransport that sends requests with base. It replaces the functions with
// which base connects, so base must not be in use yet, nor reach https servers through a proxy.
func Strict(base *http.Transport) *StrictTransport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: c}, nil
	}
	// The scan needs the decrypted bytes.
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config, err := serverConfig(base.TLSClientConfig, address)
		if err != nil {
			c.Close()
			return nil, err
		}
		secure := tls.Client(c, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		return &scannedConn{Conn: secure}, nil
	}
	return &StrictTransport{base}
}

// serverConfig returns a copy of config that verifies the host of address, unless config names another.
func serverConfig(config *tls.Config, address string) (*tls.Config, error) {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	return config, nil
}

// RoundTrip implements http.RoundTripper.
func (t *StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.RoundTripTraced(r, func(net.Conn) {})
}

// RoundTripTraced is RoundTrip with a function that is called with each connection that the request
// obtains. With a httptrace.ClientTrace for that in the context of r, two would be combined by reflection.
func (t *StrictTransport) RoundTripTraced(r *http.Request, gotConn func(net.Conn)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*scannedConn); ok {
			c.beginExchange()
		}
		gotConn(info.Conn)
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *StrictTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// scannedConn is a connection of a StrictTransport. Reads fail from a transfer coding in HTTP/1.0 on,
// so that the head that contains it never ends.
type scannedConn struct {
	net.Conn
	mu   sync.Mutex
	scan codingScan
}

// beginExchange is called when a request has obtained the connection. The next byte that is read
// belongs to its response.
func (c *scannedConn) beginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan = codingScan{}
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	if c.hasCoding() {
		return 0, errTransferCoding
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.scan.scan(p[:n])
	switch {
	case !c.scan.found:
		return n, err
	case before > 0:
		return before, nil
	}
	return 0, errTransferCoding
}

func (c *scannedConn) hasCoding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.found
}

// NetConn returns the connection that is read.
func (c *scannedConn) NetConn() net.Conn { return c.Conn }
