package node

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptPollTimeout is how long a closing listener waits for the next
	// connection in the accept queue.
	acceptPollTimeout = time.Millisecond
	// maxAcceptPolls limits the polls of one Accept on a host so slow that every
	// poll ends late.
	maxAcceptPolls = 50
)

// gracefulListener can stop without resetting connections in the accept queue.
// A plain Close resets them and loses the requests that they carry.
type gracefulListener struct{ net.Listener }

type deadlineSetter interface{ SetDeadline(time.Time) error }

// stopAccepting makes Accept close the listener once the accept queue is empty.
func (l gracefulListener) stopAccepting() {
	listener, ok := l.Listener.(deadlineSetter)
	if !ok || listener.SetDeadline(time.Now()) != nil {
		l.Close()
	}
}

// Accept implements net.Listener. A deadline error means that stopAccepting was
// called. Accept then polls with a new deadline, since after the old one it would not
// return connections that are still queued, and closes the listener once a poll finds
// none. A poll that ends late is repeated, because a connection can arrive between
// the deadline of the poll and the close.
func (l gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for range maxAcceptPolls {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		start := time.Now()
		if l.Listener.(deadlineSetter).SetDeadline(start.Add(acceptPollTimeout)) != nil {
			break
		}
		conn, err = l.Listener.Accept()
		if err != nil && time.Since(start) < 2*acceptPollTimeout {
			break
		}
	}
	l.Close()
	return nil, net.ErrClosed
}
