package node

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptPoll is how long a listener that stops waits for another connection
	// that a caller has opened already.
	acceptPoll = time.Millisecond
	// maxAcceptPolls bounds the polls on a machine that stalls after each.
	maxAcceptPolls = 50
)

// gracefulListener can stop without resetting connections that wait to be
// accepted: a plain close would end these, with the requests on them.
type gracefulListener struct{ net.Listener }

type limited interface{ SetDeadline(time.Time) error }

// stopAccepting makes Accept close the listener once nothing waits to be
// accepted.
func (l gracefulListener) stopAccepting() {
	listener, ok := l.Listener.(limited)
	if !ok || listener.SetDeadline(time.Now()) != nil {
		l.Close()
	}
}

// Accept implements net.Listener. Only stopAccepting sets a deadline. A
// connection can arrive between the end of a poll and the close, so a poll that
// ended late is repeated.
func (l gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for range maxAcceptPolls {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		began := time.Now()
		if l.Listener.(limited).SetDeadline(began.Add(acceptPoll)) != nil {
			break
		}
		conn, err = l.Listener.Accept()
		if err != nil && time.Since(began) < 2*acceptPoll {
			break
		}
	}
	l.Close()
	return nil, net.ErrClosed
}
