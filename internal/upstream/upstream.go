// Package upstream tracks the upstream beside a node from what it announces and
// from what happens to the requests sent to it.
//
// Announcements arrive late and out of order, also from an earlier start of the
// upstream at the same address, and an upstream that crashes announces nothing.
// The tracker orders announcements by start and sequence, and ends new work well
// before the time until which a leaving upstream promises to serve.
package upstream

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/roster"
)

// State is what an upstream says of itself.
type State uint8

// The states. A gone upstream has deregistered and serves a little longer.
const (
	Ready State = iota
	Draining
	Deregistered
)

var stateNames = [...]string{"ready", "draining", "gone"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Announcement is one statement of an upstream about itself.
type Announcement struct {
	Instance string // identifies one start, mostly
	Service  mesh.Service
	Address  string
	Born     int64  // time of its start, Unix milliseconds; zero: not stated
	Sequence uint64 // grows with each announcement of one start
	State    State
	Slots    int
}

const (
	// silentBeats is how many announcement periods may pass before the upstream
	// counts as absent; an announcement may be seconds late.
	silentBeats = 2.5
	// provenFor is how long an answer shows that a silent upstream is alive.
	provenFor = time.Second
	// retryDown is how long an upstream that refused a connection gets no work.
	retryDown = 300 * time.Millisecond
	// drainShare is the part of the drain time in which a leaving upstream still
	// takes what other nodes have sent on before they learned that it leaves.
	drainShare = 0.4
)

// Config holds the parameters of a tracker.
type Config struct {
	Service mesh.Service
	Address string
	Period  time.Duration // between announcements
	Drain   time.Duration // how long a leaving upstream takes new work at least
}

// Tracker is the state. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	last      Announcement
	known     bool
	heard     time.Duration // last announcement that was not out of date
	answered  time.Duration // last answer
	refused   time.Duration // last refused connection
	down      bool          // it refused a connection and has not answered since
	leaving   time.Duration // since when it leaves
	announced bool          // by the upstream itself, not by a probe
}

// New returns a tracker that knows no upstream.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Result says what an announcement changed.
type Result struct {
	Foreign   bool // not the upstream beside this node
	Stale     bool // an earlier start or an earlier announcement
	Restarted bool // another start than before
	Changed   bool // state or slots differ
}

// Announced takes an announcement.
func (t *Tracker) Announced(now time.Duration, a Announcement) Result {
	if t.cfg.Service != "" && a.Service != "" && a.Service != t.cfg.Service {
		return Result{Foreign: true}
	}
	if a.Address != "" && t.cfg.Address != "" && a.Address != t.cfg.Address {
		return Result{Foreign: true}
	}
	if t.stale(a) {
		return Result{Stale: true}
	}
	v := Result{Restarted: !t.same(a)}
	v.Changed = v.Restarted || t.last.State != a.State || t.last.Slots != a.Slots
	if a.State != Ready && (v.Restarted || t.last.State == Ready) {
		t.leaving = now
	}
	if a.Slots == 0 && !v.Restarted {
		a.Slots = t.last.Slots
	}
	t.last, t.known, t.announced, t.heard, t.down = a, true, true, now, false
	return v
}

func (t *Tracker) same(a Announcement) bool {
	if !t.known || a.Instance != t.last.Instance {
		return false
	}
	return a.Born == t.last.Born || a.Born == 0 || t.last.Born == 0
}

// stale reports whether a newer announcement has been seen. A leaving upstream
// does not become ready again within one start.
func (t *Tracker) stale(a Announcement) bool {
	if !t.known || !t.announced {
		return false
	}
	if a.Born != 0 && t.last.Born != 0 && a.Born != t.last.Born {
		return a.Born < t.last.Born
	}
	if a.Instance != t.last.Instance {
		return false
	}
	if a.State == Deregistered {
		return t.last.State == Deregistered
	}
	return a.Sequence <= t.last.Sequence || t.last.State == Deregistered
}

// Probed takes the answer to a health probe. It tells the start of an upstream
// whose announcements this node has not seen yet.
func (t *Tracker) Probed(now time.Duration, instance string, slots int) bool {
	if t.known {
		return false
	}
	t.last = Announcement{Instance: instance, Service: t.cfg.Service, Address: t.cfg.Address, Slots: slots}
	t.known, t.heard = true, now
	return true
}

// Known reports whether anything is known of the upstream.
func (t *Tracker) Known() bool { return t.known }

// Answered records that the upstream answered a request.
func (t *Tracker) Answered(now time.Duration) { t.answered, t.down = now, false }

// Refused records that the upstream did not accept a connection.
func (t *Tracker) Refused(now time.Duration) { t.refused, t.down = now, true }

// Replaced records that another start answers at the address. Nothing is sent
// until it has announced itself.
func (t *Tracker) Replaced() { t.known, t.announced = false, false }

// Phase returns whether the upstream takes new work, for other nodes to know.
func (t *Tracker) Phase(now time.Duration) roster.Phase {
	switch {
	case !t.known, t.silent(now), t.down:
		return roster.Absent
	case t.last.State != Ready:
		return roster.Leaving
	}
	return roster.Ready
}

func (t *Tracker) silent(now time.Duration) bool {
	limit := time.Duration(silentBeats * float64(t.cfg.Period))
	return now-t.heard > limit && now-t.answered > provenFor
}

// Accepts reports whether a request may be sent to the upstream now.
func (t *Tracker) Accepts(now time.Duration) bool {
	if !t.known || t.silent(now) {
		return false
	}
	if t.down && now-t.refused < retryDown {
		return false
	}
	return t.last.State == Ready || now-t.leaving < time.Duration(drainShare*float64(t.cfg.Drain))
}

// Current returns the last announcement.
func (t *Tracker) Current() Announcement { return t.last }

// Age returns the time since the last announcement.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.heard }
