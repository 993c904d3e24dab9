package timeline

import (
	"math"
	"time"
)

// DefaultMaxDrift is the default of Clock.MaxDrift.
const DefaultMaxDrift = 500 * time.Millisecond

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	Wall    int64  `json:"wall"` // nanoseconds since the Unix epoch
	Logical uint32 `json:"logical"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// Clock is a hybrid logical clock: every stamp it returns is greater than the one
// before. The zero value is ready to use. A Clock is not safe for concurrent use.
type Clock struct {
	// MaxDrift limits how far a received stamp can advance the clock beyond the
	// local wall clock. Zero means DefaultMaxDrift.
	MaxDrift time.Duration
	last     Stamp
	rejected uint64
}

// Now returns the next stamp. wall is the local wall clock in nanoseconds since
// the Unix epoch; it may go backwards.
func (c *Clock) Now(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Observe advances the clock to the stamp of a received message and returns a
// later stamp. It ignores a received stamp that is more than MaxDrift ahead of the
// local wall clock, so that one host with a wrong clock does not advance the clocks
// of all others.
func (c *Clock) Observe(wall int64, received Stamp) Stamp {
	limit := c.MaxDrift
	if limit == 0 {
		limit = DefaultMaxDrift
	}
	if received.Wall > wall && received.Wall-wall > int64(limit) {
		c.rejected++
		return c.Now(wall)
	}
	if c.last.Before(received) {
		c.last = received
	}
	return c.Now(wall)
}

// Rejected returns the number of received stamps that were too far ahead.
func (c *Clock) Rejected() uint64 { return c.rejected }

// next returns the smallest stamp after s.
func (s Stamp) next() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}
