// Package exchange sends one HTTP/1.1 request at a time on pooled connections
// and reads its answer.
//
// http.Transport hides three facts that a node needs: whether any byte of a
// request was written, whether an answer belongs to the request that was sent,
// and whether bytes followed a complete answer. An upstream that answers a
// request twice would otherwise have its second answer taken for that of the
// next request on the connection. Parsing is that of net/http.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10
	// keepAliveIdle and keepAliveProbes end a connection whose other side has
	// vanished without a reset after about two seconds.
	keepAliveIdle   = time.Second
	keepAlivePeriod = 500 * time.Millisecond
	keepAliveProbes = 2
	tcpUserTimeout  = 18 // TCP_USER_TIMEOUT, which package syscall does not name
	// unackedLimit is how long sent bytes may stay unacknowledged.
	unackedLimit = 2 * time.Second
	// expiryMargin is subtracted from the idle time that the other side states,
	// so that a request does not meet its close.
	expiryMargin = time.Second
)

// Config holds the parameters of a pool. Zero fields mean no bound.
type Config struct {
	Address     string
	DialTimeout time.Duration
	IdleTimeout time.Duration // how long an idle connection is kept
	Opened      func()        // called for every new connection
}

// Pool holds the idle connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	idle []*conn // the most recently used is last
	era  int     // connections of an earlier era are not kept
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// conn is one connection and what is known of its reuse.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	era     int
	used    time.Time     // when its last answer ended
	expires time.Duration // idle time after which the other side closes; zero: not stated
	reused  bool
}

// get returns an idle connection that was used within fresh (zero: any), or a
// new one.
func (p *Pool) get(ctx context.Context, fresh time.Duration) (*conn, error) {
	for {
		c := p.take(fresh)
		if c == nil {
			return p.dial(ctx)
		}
		if c.silent() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// take removes the most recently used idle connection from the pool.
func (p *Pool) take(fresh time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if fresh > 0 && time.Since(c.used) > fresh {
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// expire closes the connections that have been idle for too long. p.mu is held.
func (p *Pool) expire() {
	kept := p.idle[:0]
	for _, c := range p.idle {
		limit := p.cfg.IdleTimeout
		if c.expires > 0 && (limit == 0 || c.expires < limit) {
			limit = c.expires
		}
		if limit > 0 && time.Since(c.used) > limit {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{
		Timeout: p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
			})
			if err == nil {
				err = failed
			}
			return errors.Wrap(err, "set TCP_USER_TIMEOUT")
		},
	}
	p.mu.Lock()
	era := p.era
	p.mu.Unlock()
	raw, err := d.DialContext(ctx, "tcp", p.cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", p.cfg.Address)
	}
	if p.cfg.Opened != nil {
		p.cfg.Opened()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), era: era}, nil
}

// put keeps a connection whose last answer was read completely.
func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.era != p.era {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Invalidate closes the idle connections and keeps none that is in use now. It is
// called when the other side restarted or one connection to it fell silent.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Trim closes the connections that have been idle for too long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
}

// silent reports whether the other side has neither closed the connection nor
// sent anything on it: bytes that nobody asked for belong to no request.
func (c *conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
