package peer

import (
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the first pause before the jitter.
	initialBackoff = 50 * time.Millisecond
	// maxRedialBackoff is the longest pause before a client connects to a peer again. It
	// is well below evidence.FreshFor (3 s), after which the evidence of a node lapses,
	// so that connections are restored in time once a peer is reachable again.
	maxRedialBackoff = 500 * time.Millisecond
)

// Backoff is an exponential backoff with jitter, so that nodes that lost the same
// peer do not all reconnect to it at the same moment.
type Backoff struct {
	random          *rand.Rand
	pause, maxPause time.Duration
}

// NewBackoff returns a backoff that starts at initialBackoff and never exceeds maxPause.
func NewBackoff(r *rand.Rand, maxPause time.Duration) *Backoff {
	return &Backoff{random: r, pause: min(initialBackoff, maxPause), maxPause: maxPause}
}

// Next returns a random pause between half the current pause and all of it, and
// doubles the current pause up to the maximum.
func (b *Backoff) Next() time.Duration {
	p := b.pause/2 + time.Duration(b.random.Int64N(int64(b.pause/2)+1))
	b.pause = min(2*b.pause, b.maxPause)
	return p
}

// Reset returns to the first pause. It is to be called after a success.
func (b *Backoff) Reset() { b.pause = min(initialBackoff, b.maxPause) }
