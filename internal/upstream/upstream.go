// Package upstream tracks the state of the upstream next to a node from its
// announcements and from the results of the requests sent to it.
//
// Announcements can arrive late and out of order, even from an earlier start of the
// upstream at the same address, and an upstream that crashes announces nothing. The
// tracker orders announcements by start and sequence number. It stops sending new
// requests to a draining upstream well before the end of the time for which the
// upstream still serves.
package upstream

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/roster"
)

// State is the state that an upstream announces.
type State uint8

// The states.
const (
	Ready        State = iota
	Draining           // it is about to stop
	Deregistered       // it has deregistered and serves only a little longer
)

var stateNames = [...]string{"ready", "draining", "gone"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Announcement is an announcement of an upstream: a heartbeat or a deregistration.
type Announcement struct {
	Instance string // usually identifies one start, but may be reused
	Service  mesh.Service
	Address  string
	Born     int64  // time of its start, Unix milliseconds; zero: not stated
	Sequence uint64 // grows with each announcement of one start
	State    State
	Slots    int
}

const (
	// silentPeriods is the number of announcement periods without an announcement
	// after which the upstream counts as absent. An announcement may be seconds late.
	silentPeriods = 2.5
	// answerValidFor is how long after an answer an upstream without announcements
	// still counts as alive.
	answerValidFor = time.Second
	// reconnectDelay is how long no request is sent to an upstream after it has refused
	// a connection.
	reconnectDelay = 300 * time.Millisecond
	// drainAcceptShare is the fraction of the drain time in which a draining upstream
	// still gets requests. Other nodes may have forwarded them before they learned that
	// it drains.
	drainAcceptShare = 0.4
)

// Config holds the parameters of a tracker.
type Config struct {
	Service mesh.Service
	Address string
	Period  time.Duration // between announcements
	DrainTime   time.Duration // how long a draining upstream accepts new requests at least
}

// Tracker tracks the state of one upstream. It is not safe for concurrent use.
type Tracker struct {
	cfg          Config
	last         Announcement
	known        bool          // last is set
	lastHeard    time.Duration // time of the last accepted announcement or probe
	lastAnswer   time.Duration // time of the last answer to a request
	lastRefused  time.Duration // time of the last refused connection
	down         bool          // it refused a connection and has not answered or announced itself since
	leavingSince time.Duration // time of the announcement that it drains or has deregistered
	announced    bool          // known from an announcement, not only from a probe
}

// New returns a tracker of an upstream that has not been seen yet.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Result describes the effect of an announcement.
type Result struct {
	Foreign   bool // ignored: not from the upstream next to this node
	Stale     bool // ignored: older than the last announcement
	Restarted bool // from another start of the upstream than before
	Changed   bool // the start, the state or the slots have changed
}

// HandleAnnouncement updates the state from an announcement, unless the announcement
// is foreign or stale. An announcement without slots keeps the number stated before.
func (t *Tracker) HandleAnnouncement(now time.Duration, a Announcement) Result {
	if t.cfg.Service != "" && a.Service != "" && a.Service != t.cfg.Service {
		return Result{Foreign: true}
	}
	if a.Address != "" && t.cfg.Address != "" && a.Address != t.cfg.Address {
		return Result{Foreign: true}
	}
	if t.stale(a) {
		return Result{Stale: true}
	}
	result := Result{Restarted: !t.sameStart(a)}
	result.Changed = result.Restarted || t.last.State != a.State || t.last.Slots != a.Slots
	if a.State != Ready && (result.Restarted || t.last.State == Ready) {
		t.leavingSince = now
	}
	if a.Slots == 0 && !result.Restarted {
		a.Slots = t.last.Slots
	}
	t.last, t.known, t.announced, t.lastHeard, t.down = a, true, true, now, false
	return result
}

// sameStart reports whether the announcement is from the known start of the upstream.
// An unknown time of the start matches any.
func (t *Tracker) sameStart(a Announcement) bool {
	if !t.known || a.Instance != t.last.Instance {
		return false
	}
	return a.Born == t.last.Born || a.Born == 0 || t.last.Born == 0
}

// stale reports whether the announcement is older than the last one. Announcements
// after a deregistration are stale, too, since a deregistered upstream does not become
// ready again within one start. A deregistration needs no sequence number.
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

// HandleProbe records the instance and slots from the answer to a health probe. It
// returns false and changes nothing if the upstream is known already.
func (t *Tracker) HandleProbe(now time.Duration, instance string, slots int) bool {
	if t.known {
		return false
	}
	t.last = Announcement{Instance: instance, Service: t.cfg.Service, Address: t.cfg.Address, Slots: slots}
	t.known, t.lastHeard = true, now
	return true
}

// Known reports whether the upstream has announced itself or answered a probe.
func (t *Tracker) Known() bool { return t.known }

// RecordAnswer records that the upstream answered a request.
func (t *Tracker) RecordAnswer(now time.Duration) { t.lastAnswer, t.down = now, false }

// RecordRefusedConnection records that the upstream did not accept a connection.
func (t *Tracker) RecordRefusedConnection(now time.Duration) { t.lastRefused, t.down = now, true }

// RecordReplacement records that another instance answers at the address. No request is
// sent to it until it has announced itself or answered a probe.
func (t *Tracker) RecordReplacement() { t.known, t.announced = false, false }

// Phase returns the phase of the upstream to be published to other nodes.
func (t *Tracker) Phase(now time.Duration) roster.Phase {
	switch {
	case !t.known, t.silent(now), t.down:
		return roster.Absent
	case t.last.State != Ready:
		return roster.Leaving
	}
	return roster.Ready
}

// silent reports whether the upstream has neither announced itself nor answered for
// too long.
func (t *Tracker) silent(now time.Duration) bool {
	limit := time.Duration(silentPeriods * float64(t.cfg.Period))
	return now-t.lastHeard > limit && now-t.lastAnswer > answerValidFor
}

// Accepts reports whether a request may be sent to the upstream now. An upstream that
// is down is tried again after reconnectDelay.
func (t *Tracker) Accepts(now time.Duration) bool {
	if !t.known || t.silent(now) {
		return false
	}
	if t.down && now-t.lastRefused < reconnectDelay {
		return false
	}
	return t.last.State == Ready || now-t.leavingSince < time.Duration(drainAcceptShare*float64(t.cfg.DrainTime))
}

// Current returns the last announcement, or the instance and slots from a probe.
func (t *Tracker) Current() Announcement { return t.last }

// Age returns the time since the last announcement or probe.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.lastHeard }
