// Package silence is a stand-in for a network on which open connections go silent: they stay
// open, nothing more arrives on them in either direction, and new connections work. It can also
// pause all connections, as if the process that accepts them were paused.
package silence

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections that can go silent.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open []*conn // all that were accepted

	pausedUntil atomic.Int64 // Unix nanoseconds
}

// conn discards what is read and written while silent. While stalled, it reads nothing, so that
// the buffers between the two ends fill up.
type conn struct {
	net.Conn
	listener        *Listener
	silent, stalled atomic.Bool
	closeOnce       sync.Once
	closed          chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	return c, nil
}

// Silence makes the connections that were accepted before silent, and returns their number.
func (l *Listener) Silence() int { return l.forEach(func(c *conn) { c.silent.Store(true) }) }

// Stall ends all reads of the connections that were accepted before.
func (l *Listener) Stall() { l.forEach(func(c *conn) { c.stalled.Store(true) }) }

// Pause delays all reads, also those of later connections, until the time d from now.
func (l *Listener) Pause(d time.Duration) { l.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

func (l *Listener) forEach(f func(*conn)) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		f(c)
	}
	return len(l.open)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		time.Sleep(time.Until(time.Unix(0, c.listener.pausedUntil.Load())))
		if c.stalled.Load() {
			<-c.closed
			return 0, net.ErrClosed
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
