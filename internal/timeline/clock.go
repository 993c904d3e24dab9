package timeline

import (
	"math"
	"time"
)

// DefaultMaxDrift is how far a stamp may run ahead of the local wall clock.
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

// Clock is a hybrid logical clock. Its stamps only increase. The zero value is
// ready for use. It is not safe for concurrent use.
type Clock struct {
	// MaxDrift bounds how far a received stamp can move the clock ahead of the
	// local wall clock; zero means DefaultMaxDrift.
	MaxDrift time.Duration
	last     Stamp
	rejected uint64
}

// Now returns the next stamp. wall is the local wall clock in nanoseconds since
// the Unix epoch; it may step backwards.
func (c *Clock) Now(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Observe takes the stamp of a received message and returns a stamp after it.
// A stamp more than MaxDrift ahead of the local wall clock is not followed: one
// host with a wrong clock must not move the clocks of all others.
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

// Rejected returns the number of stamps that were too far ahead.
func (c *Clock) Rejected() uint64 { return c.rejected }

func (s Stamp) next() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}
