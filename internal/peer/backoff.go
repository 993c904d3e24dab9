package peer

import (
	"math/rand/v2"
	"time"
)

const (
	backoffMin = 50 * time.Millisecond
	// redialMax is well below the 2 s after which a node's evidence lapses, so
	// that a node is reached in time after its peers come back.
	redialMax = 500 * time.Millisecond
)

// Backoff yields growing pauses with jitter, so that many nodes that lost the
// same peer do not return to it at the same moment.
type Backoff struct {
	rand           *rand.Rand
	pause, longest time.Duration
}

// NewBackoff returns a backoff that starts at its shortest pause and never
// exceeds the longest.
func NewBackoff(r *rand.Rand, longest time.Duration) *Backoff {
	return &Backoff{rand: r, pause: min(backoffMin, longest), longest: longest}
}

// Next returns a pause between half and the whole of the current one, and
// doubles it up to the longest.
func (b *Backoff) Next() time.Duration {
	p := b.pause/2 + time.Duration(b.rand.Int64N(int64(b.pause/2)+1))
	b.pause = min(2*b.pause, b.longest)
	return p
}

// Reset returns to the shortest pause after a success.
func (b *Backoff) Reset() { b.pause = min(backoffMin, b.longest) }
