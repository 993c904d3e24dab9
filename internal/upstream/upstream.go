// Package upstream tracks the state of the upstream next to a node from its
// announcements and from the results of the requests sent to it.
//
// Announcements can arrive late and out of order, even from an earlier start of the
// upstream at the same address, and an upstream that crashes announces nothing. The
// tracker orders announcements by start time and sequence number. It stops accepting new
// requests for a draining upstream well before the end of the drain time. An upstream is cold
// after a start, and may become cold at any moment; the tracker tells whether it is, or may be.
package upstream

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/roster"
)

// State is the state that an upstream announces.
type State uint8

const (
	Ready        State = iota
	Draining           // about to stop
	Deregistered       // no longer registered, and about to stop
)

var stateNames = [...]string{"ready", "draining", "gone"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Announcement is a heartbeat or a deregistration of an upstream.
type Announcement struct {
	Instance  string // usually differs with each start of the upstream, but may be reused
	Service   mesh.Service
	Address   string
	StartTime int64  // Unix milliseconds; zero: not known
	Sequence  uint64 // increases with each announcement within one start of the upstream
	State     State
	Slots     int // requests that the upstream can run at a time; zero: not stated
	// ColdLeft is how much longer the upstream was cold when it sent the announcement, if
	// ColdStated is set.
	ColdLeft   time.Duration
	ColdStated bool
}

const (
	// silentIntervals is the number of announcement intervals without an announcement
	// after which the upstream counts as absent. It leaves room for announcements that
	// are seconds late.
	silentIntervals = 2.5
	// responseValidFor is how long after a response an upstream without announcements
	// still counts as alive.
	responseValidFor = time.Second
	// reconnectDelay is how long no request is sent to an upstream that has refused a
	// connection.
	reconnectDelay = 300 * time.Millisecond
	// drainAcceptShare is the fraction of the drain time in which a draining upstream
	// still gets requests: other nodes may have forwarded them before they learned that
	// it is draining.
	drainAcceptShare = 0.4
)

// Config holds the parameters of a tracker.
type Config struct {
	Service          mesh.Service
	Address          string
	AnnounceInterval time.Duration
	DrainTime        time.Duration // how long an upstream still serves, at least, after it has announced that it is draining
	// HistoryWait is the time until which an upstream that has only announced itself is not
	// used unless RecordHistory is called: an earlier incarnation of the node may have
	// acknowledged its departure, and the announcement may have been delayed since.
	HistoryWait time.Duration
}

// Tracker tracks the state of one upstream. All times are durations since one arbitrary
// start. A Tracker is not safe for concurrent use.
type Tracker struct {
	cfg           Config
	last          Announcement
	known         bool          // an announcement or probe was accepted since the last replacement
	lastContact   time.Duration // time of the last accepted announcement or probe
	lastResponse  time.Duration // time of the last response to a request
	lastRefused   time.Duration // time of the last refused connection
	down          bool          // it refused a connection and has neither responded nor announced itself since
	leavingSince  time.Duration // time of the first announcement that it is draining or has deregistered
	announced     bool          // an announcement was accepted since the last replacement
	saidLeaving   bool          // a response of the known start said that it leaves
	replacedStart int64         // start time of the last upstream that was replaced; zero: none, or not known
	// departure is the last one that this or an earlier incarnation of the node has
	// acknowledged.
	departure    roster.Departure
	historyKnown bool // departure includes those of earlier incarnations
	cold         coldState
}

// New returns a tracker of an upstream that has not been seen yet.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Result describes the effect of an announcement.
type Result struct {
	Foreign   bool // ignored: for another service or from another address
	Stale     bool // ignored: older than the last announcement, or after a deregistration
	Restarted bool // from another start of the upstream than the known one, or none was known
	Changed   bool // the announced start, state or slots differ from the known ones
}

// HandleAnnouncement updates the state from an announcement, unless the announcement
// is foreign or stale. An announcement without slots keeps the previous number, unless
// the upstream has restarted.
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
	if !result.Restarted {
		if a.Slots == 0 {
			a.Slots = t.last.Slots
		}
		if a.StartTime == 0 {
			a.StartTime = t.last.StartTime
		}
	}
	result.Changed = result.Restarted || t.last.State != a.State || t.last.Slots != a.Slots
	if result.Restarted {
		t.saidLeaving = false
	}
	if a.State != Ready && (result.Restarted || t.last.State == Ready) {
		t.recordDeparture(now, a)
	}
	t.last, t.known, t.announced, t.lastContact, t.down = a, true, true, now, false
	t.recordColdReport(now, a, result.Restarted)
	return result
}

// recordDeparture records that the upstream starts to leave with the announcement. If an
// earlier incarnation of the node has or may have acknowledged that, the drain time began then.
func (t *Tracker) recordDeparture(now time.Duration, a Announcement) {
	readyAgain := t.announced && t.last.State == Ready // since the last known departure
	acknowledged := !readyAgain && a.Instance == t.departure.Instance && startTimesMatch(a.StartTime, t.departure.StartTime)
	switch {
	case acknowledged || t.awaitsHistory(now):
		t.leavingSince = now - t.cfg.DrainTime
	case !t.saidLeaving:
		t.leavingSince = now
	}
	d := roster.Departure{Instance: a.Instance, StartTime: a.StartTime, Sequence: a.Sequence, Deregistered: a.State == Deregistered}
	if !acknowledged || d.NewerThan(t.departure) {
		t.departure = d
	}
}

// Departure returns the last departure of an upstream that this or an earlier incarnation of
// the node has acknowledged.
func (t *Tracker) Departure() roster.Departure { return t.departure }

// LearnDeparture records a departure that an earlier incarnation of the node has
// acknowledged, and reports whether it was not known.
func (t *Tracker) LearnDeparture(now time.Duration, d roster.Departure) bool {
	if !d.NewerThan(t.departure) {
		return false
	}
	t.departure = d
	if t.known && t.departed(t.last) {
		t.last.State = Draining
		if d.Deregistered {
			t.last.State = Deregistered
		}
		if t.last.StartTime == 0 {
			t.last.StartTime = d.StartTime
		}
		t.leavingSince = now - t.cfg.DrainTime
	}
	return true
}

// RecordHistory records that the departures that earlier incarnations of the node have
// acknowledged have been learned.
func (t *Tracker) RecordHistory() { t.historyKnown = true }

// departed reports whether the announcement was made before the last known departure.
func (t *Tracker) departed(a Announcement) bool {
	d := &t.departure
	switch {
	case d.IsZero() || a.Instance != d.Instance:
		return false
	case !startTimesMatch(a.StartTime, d.StartTime):
		return a.StartTime < d.StartTime
	}
	return d.Deregistered || a.Sequence <= d.Sequence
}

// sameStart reports whether the announcement is from the known start of the upstream.
// An unknown start time matches any.
func (t *Tracker) sameStart(a Announcement) bool {
	if !t.known || a.Instance != t.last.Instance {
		return false
	}
	return startTimesMatch(a.StartTime, t.last.StartTime)
}

// startTimesMatch reports whether two start times can be the same. Zero stands for an unknown
// one.
func startTimesMatch(a, b int64) bool { return a == b || a == 0 || b == 0 }

// stale reports whether the announcement is older than the last one. Announcements
// after a deregistration are stale, too, because a deregistered upstream becomes ready
// again only by a restart. A deregistration has no sequence number, so its field is
// ignored. An announcement that the upstream drains is not stale while it counts as ready.
func (t *Tracker) stale(a Announcement) bool {
	if a.StartTime != 0 && a.StartTime <= t.replacedStart {
		return true
	}
	if a.State == Ready && t.departed(a) {
		return true
	}
	if !t.known || !t.announced {
		return false
	}
	if a.StartTime != 0 && t.last.StartTime != 0 && a.StartTime != t.last.StartTime {
		return a.StartTime < t.last.StartTime
	}
	if a.Instance != t.last.Instance {
		return false
	}
	if a.State == Deregistered {
		return t.last.State == Deregistered
	}
	if a.State == Draining && t.last.State == Ready {
		return false // the acknowledgement binds, and the sequence may be that of another writer
	}
	return a.Sequence <= t.last.Sequence || t.last.State == Deregistered
}

// HandleProbe records the response of a healthy upstream to a health probe: the upstream is not
// leaving, and if it is not known yet, the response tells its instance and slots. HandleProbe
// returns false and changes nothing if it learns neither, or if the response does not show
// whether the instance has been started again since it left.
func (t *Tracker) HandleProbe(now time.Duration, instance string, slots int) bool {
	if instance == t.departure.Instance {
		return false
	}
	if t.known {
		if !t.awaitsHistory(now) || instance != t.last.Instance {
			return false
		}
		t.historyKnown = true
		return true
	}
	t.historyKnown = true
	t.last = Announcement{Instance: instance, Service: t.cfg.Service, Address: t.cfg.Address, Slots: slots}
	t.known, t.lastContact = true, now
	t.startCold(now)
	return true
}

// NeedsProbe reports whether a health probe can tell more of the upstream: it has neither
// announced itself nor answered a probe since the last replacement, or it may have left
// before this node started.
func (t *Tracker) NeedsProbe(now time.Duration) bool { return !t.known || t.awaitsHistory(now) }

// Known reports whether the upstream has announced itself or answered a probe since
// the last replacement.
func (t *Tracker) Known() bool { return t.known }

// RecordResponse records that the upstream responded to a request.
func (t *Tracker) RecordResponse(now time.Duration) {
	t.lastResponse, t.down = now, false
	t.recordContact()
}

// AnsweredSince reports whether the upstream has responded to a request since the given time.
func (t *Tracker) AnsweredSince(since time.Duration) bool { return t.lastResponse > since }

// RecordLeaving records that a response said that the upstream leaves. sentTo is what
// Current returned when the request was sent: the response of an earlier start is ignored.
// Only a restart ends this state, since announcements may be seconds late.
func (t *Tracker) RecordLeaving(now time.Duration, sentTo Announcement) {
	if t.saidLeaving || !t.sameStart(sentTo) {
		return
	}
	if !t.leaving() {
		t.leavingSince = now
	}
	t.saidLeaving = true
}

// leaving reports whether the upstream has said that it leaves.
func (t *Tracker) leaving() bool { return t.saidLeaving || t.last.State != Ready }

// RecordRefusedConnection records that the upstream did not accept a connection.
func (t *Tracker) RecordRefusedConnection(now time.Duration) {
	t.lastRefused, t.down = now, true
	t.suspectCold(now, checkOnContact)
}

// RecordReplacement records that another instance than sentTo, which Current returned when a
// request was sent, serves at the address. No request is sent to it until the next
// announcement of a later start, or probe.
func (t *Tracker) RecordReplacement(sentTo Announcement) {
	if !t.sameStart(sentTo) {
		return
	}
	t.replacedStart = t.last.StartTime
	t.known, t.announced, t.saidLeaving = false, false, false
}

// Phase returns the phase of the upstream to be published to other nodes.
func (t *Tracker) Phase(now time.Duration) roster.Phase {
	switch {
	case !t.known, t.silent(now), t.down:
		return roster.Absent
	case t.leaving():
		return roster.Leaving
	case t.awaitsHistory(now):
		return roster.Absent
	}
	return roster.Ready
}

// awaitsHistory reports whether an upstream that has announced itself may have left before.
func (t *Tracker) awaitsHistory(now time.Duration) bool {
	return !t.historyKnown && now < t.cfg.HistoryWait
}

// silent reports whether the last announcement or probe and the last response are both
// too long ago.
func (t *Tracker) silent(now time.Duration) bool {
	limit := time.Duration(silentIntervals * float64(t.cfg.AnnounceInterval))
	return now-t.lastContact > limit && now-t.lastResponse > responseValidFor
}

// Accepts reports whether a request may be sent to the upstream now. An upstream that
// is down is tried again after reconnectDelay.
func (t *Tracker) Accepts(now time.Duration) bool {
	if !t.known || t.silent(now) || t.awaitsHistory(now) {
		return false
	}
	if t.down && now-t.lastRefused < reconnectDelay {
		return false
	}
	return !t.leaving() || now-t.leavingSince < time.Duration(drainAcceptShare*float64(t.cfg.DrainTime))
}

// Current returns the last announcement, or the instance and slots from a probe.
func (t *Tracker) Current() Announcement { return t.last }

// Age returns the time since the last announcement or probe.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.lastContact }
