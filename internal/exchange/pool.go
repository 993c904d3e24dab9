// Package exchange is an HTTP/1.1 client with pooled connections, which carry one
// request at a time.
//
// http.Transport does not expose three facts that a node needs: whether any byte of
// a request was written, whether a response belongs to the request that was sent,
// and whether bytes followed a complete response. Without them, the second response
// of an upstream that responds twice to a request would be taken for the response to
// the next request on the connection. Responses are parsed by net/http, which takes some malformed
// ones; CheckHead and Strict refuse them, also for clients that use http.Transport.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize = 4 << 10 // bytes
	// maxHead is the largest size in bytes of the head of a response, together with those
	// of the interim responses before it and, in part, of skipped ones. It is more than the
	// 64 KiB that nodes accept of requests, since nodes add fields to what they pass on.
	maxHead = 96 << 10
	// maxHeadLines is the largest number of lines in the head of a response that is longer
	// than readBufferSize. A parsed header field takes over a hundred bytes, however short
	// it is.
	maxHeadLines = 256
	// The TCP keep-alive settings end a connection after about two seconds if the server
	// has disappeared without a reset.
	keepAliveIdle        = time.Second
	keepAliveInterval    = 500 * time.Millisecond
	keepAliveProbes      = 2
	optionTCPUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall does not define
	// userTimeout is how long sent bytes may remain unacknowledged before the connection
	// ends.
	userTimeout = 2 * time.Second
	// receiptPollInterval is the time between two questions whether the server has acknowledged
	// all bytes. userTimeout ends a connection on which it does not.
	receiptPollInterval = 2 * time.Millisecond
	// expiryMargin is subtracted from the idle timeout that the server states,
	// so that no request is sent while the server is closing the connection.
	expiryMargin = time.Second
)

// Config configures a pool. A zero duration means no limit.
type Config struct {
	Address     string // host:port
	DialTimeout time.Duration
	IdleTimeout time.Duration // how long an idle connection is kept
	OnConnect   func()        // called for each new connection; may be nil
}

// Pool holds the idle connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg        Config
	mu         sync.Mutex
	idle       []*conn // least recently used first
	generation int     // incremented by Invalidate; connections of an earlier one are not reused
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// conn is a connection with the state that determines whether it may be reused.
type conn struct {
	net.Conn
	reader            *bufio.Reader
	head              headLimit
	generation        int           // of the pool when the connection was dialled
	lastUsed          time.Time     // when it was returned to the pool
	serverIdleTimeout time.Duration // as stated by the server, less expiryMargin; zero if not stated
}

// headLimit bounds the bytes that are read of a connection while response heads are
// parsed, because net/http holds a head in memory however long it is. It also looks for the transfer
// coding that net/http hides.
type headLimit struct {
	source io.Reader
	active bool
	left   int // bytes that may be read while active
	lines  int // that were read of the current head, and of what followed it in the last read
	coding codingScan
}

var (
	errHeadTooLong      = errors.Errorf("the response head is longer than %d bytes", maxHead)
	errHeadTooManyLines = errors.Errorf("the response head has more than %d lines", maxHeadLines)
)

// begin is called before a head is parsed. buffered are the bytes that have been read of it already.
func (l *headLimit) begin(buffered []byte) {
	l.active, l.lines, l.coding = true, 0, codingScan{}
	l.coding.scan(buffered)
}

// end is called after a head was parsed.
func (l *headLimit) end() { l.active = false }

func (l *headLimit) Read(p []byte) (int, error) {
	switch {
	case !l.active:
		return l.source.Read(p)
	case l.left <= 0:
		return 0, errHeadTooLong
	case l.lines > maxHeadLines: // the head did not end in the last read
		return 0, errHeadTooManyLines
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	l.coding.scan(p[:n])
	return n, err
}

// get returns an idle connection that has been idle for at most maxIdle (zero means any
// time), or a new one.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(maxIdle)
		if c == nil {
			return p.dial(ctx)
		}
		if c.reusable() {
			return c, nil
		}
		c.Close()
	}
}

// popIdle removes the most recently used idle connection from the pool and returns it.
// It returns nil if there is none that has been idle for at most maxIdle.
func (p *Pool) popIdle(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if maxIdle > 0 && time.Since(c.lastUsed) > maxIdle {
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// closeExpired closes the connections that have been idle for longer than the pool's
// idle timeout or that of the server. p.mu must be held.
func (p *Pool) closeExpired() {
	kept := p.idle[:0]
	for _, c := range p.idle {
		limit := p.cfg.IdleTimeout
		if c.serverIdleTimeout > 0 && (limit == 0 || c.serverIdleTimeout < limit) {
			limit = c.serverIdleTimeout
		}
		if limit > 0 && time.Since(c.lastUsed) > limit {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// NewDialer returns a dialer of connections that end soon if the other host has disappeared
// without a reset. The keep-alive and TCP_USER_TIMEOUT do not reveal a connection on which
// only the data is lost while segments are still acknowledged.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err == nil {
				err = optionErr
			}
			return errors.Wrap(err, "set TCP_USER_TIMEOUT")
		},
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	netConn, err := NewDialer(p.cfg.DialTimeout).DialContext(ctx, "tcp", p.cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", p.cfg.Address)
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect()
	}
	c := &conn{Conn: netConn, generation: generation}
	c.head.source = netConn
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// put returns a connection to the pool. Its last response must have been read to its
// end. A connection of an earlier generation is closed instead.
func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.generation != p.generation {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Invalidate closes the idle connections and prevents the reuse of those that are in
// use now. It is called when the server has restarted.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// CloseUnusedSince closes the idle connections whose last response came before the given time.
// They may have gone silent.
func (p *Pool) CloseUnusedSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		unused := c.lastUsed.Before(t)
		if unused {
			c.Close()
		}
		return unused
	})
}

// Trim closes the connections that have been idle for too long. It is to be called
// regularly, as the pool itself closes them only when a connection is requested.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
}

// AwaitReceipt waits until the server has acknowledged all bytes that were written to a connection.
// It returns an error if the connection was reset, or broke in another way.
func AwaitReceipt(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		unacknowledged, code := 0, 0
		err := raw.Control(func(fd uintptr) {
			// Errors mean that the kernel cannot tell.
			unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			code, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		switch {
		case err != nil: // the connection was closed, for example because the caller has gone
			return err
		case code != 0:
			return syscall.Errno(code)
		case unacknowledged == 0:
			return nil
		}
		time.Sleep(receiptPollInterval)
	}
}

// reusable reports whether the server has neither closed the idle connection nor sent
// bytes on it. Such bytes belong to no request.
func (c *conn) reusable() bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
