package shutdown

import "time"

// window is the time for which a duration counts as recent, at least; it counts for at most
// twice as long.
const window = 10 * time.Second

// Durations holds how long the recent requests of each route took. It is not safe for
// concurrent use. Times are durations since one arbitrary start.
type Durations struct {
	routes    map[string]*longest
	nextSweep time.Duration // when routes without recent requests are removed next
}

// longest holds the longest durations of two successive windows.
type longest struct {
	began             time.Duration // start of the current window
	current, previous time.Duration
}

// advance starts a new window if the current one has ended.
func (l *longest) advance(now time.Duration) {
	switch {
	case now-l.began < window:
		return
	case now-l.began < 2*window:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.current, l.began = 0, now
}

// NewDurations returns an empty set.
func NewDurations() *Durations { return &Durations{routes: map[string]*longest{}} }

// Record records how long a request of the route took.
func (d *Durations) Record(now time.Duration, route string, took time.Duration) {
	if now >= d.nextSweep {
		d.nextSweep = now + 2*window
		for name, l := range d.routes {
			if now-l.began >= 2*window {
				delete(d.routes, name)
			}
		}
	}
	l := d.routes[route]
	if l == nil {
		l = &longest{began: now}
		d.routes[route] = l
	}
	l.advance(now)
	l.current = max(l.current, took)
}

// Longest returns the longest duration of the recent requests of the route, or zero if there
// are none.
func (d *Durations) Longest(now time.Duration, route string) time.Duration {
	l := d.routes[route]
	if l == nil {
		return 0
	}
	l.advance(now)
	return max(l.current, l.previous)
}
