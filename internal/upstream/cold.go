package upstream

import "time"

const (
	// coldMargin is added to the reported time for which an upstream is still cold. Reports
	// are rounded to milliseconds, and a request that is sent at its very end may arrive
	// before an upstream whose timer is late.
	coldMargin = 20 * time.Millisecond
	// gapIntervals is the number of announcement intervals without an announcement after
	// which the upstream may have become cold. At two, one lost announcement is a gap, and one
	// that is late is none.
	gapIntervals = 2
	// answerTime is the time in which a healthy upstream answers a health probe, with a margin
	// for a busy host.
	answerTime = 100 * time.Millisecond
)

// coldState tells whether the upstream is cold. An upstream can become cold at any moment,
// and a crash can replace it by a cold one, so the last report is not always valid: some
// events make it suspected to be cold for as long as a start takes, unless a health probe
// says otherwise.
type coldState struct {
	startTime   time.Duration // for which an upstream is cold after a start, as declared
	until       time.Duration // reported end of the time for which it is cold
	byProbe     bool          // until is from a health probe
	suspected   bool
	suspectedAt time.Duration
	check       coldCheck
	checkedAt   time.Duration // time of the last health probe because of a suspicion
	checked     bool          // checkedAt is set
	inGap       bool          // the present gap in the announcements has led to a suspicion
}

// coldCheck states when the health path is to be asked whether the upstream is cold.
type coldCheck uint8

const (
	noCheck        coldCheck = iota
	checkNow                 // as soon as possible
	checkOnContact           // when the upstream is heard of again: it cannot be reached
	checking                 // the health path is being asked
)

// SetColdStart sets how long an upstream is cold after a start.
func (t *Tracker) SetColdStart(d time.Duration) { t.cold.startTime = d }

// ColdLeft returns how much longer the upstream is or may be cold.
func (t *Tracker) ColdLeft(now time.Duration) time.Duration {
	if !t.known {
		return 0
	}
	t.detectGap(now)
	left := t.cold.until - now
	if t.cold.suspected {
		left = max(left, t.cold.suspectedAt+t.cold.startTime-now)
	}
	return max(left, 0)
}

// SuspectedCold reports whether the upstream is only suspected to be cold.
func (t *Tracker) SuspectedCold(now time.Duration) bool {
	return t.cold.suspected && t.cold.until <= now
}

// SuspectCold records that the upstream may have become cold without having reported it. A
// health probe is due.
func (t *Tracker) SuspectCold(now time.Duration) { t.suspectCold(now, checkNow) }

func (t *Tracker) suspectCold(now time.Duration, check coldCheck) {
	t.cold.suspected, t.cold.suspectedAt, t.cold.check = true, now, check
}

// RecordReset records that the upstream ended a connection instead of responding, as one that
// crashes does. A health probe is due. Some upstreams do so often, so it is ignored for an
// announcement interval after a health probe: a crash shows by refused connections, too.
func (t *Tracker) RecordReset(now time.Duration) {
	if t.cold.checked && now-t.cold.checkedAt < t.cfg.AnnounceInterval {
		return
	}
	t.suspectCold(now, checkNow)
}

// detectGap suspects the upstream to be cold if it has not announced itself for too long.
func (t *Tracker) detectGap(now time.Duration) {
	if !t.announced || t.cold.inGap || now-t.lastContact <= gapIntervals*t.cfg.AnnounceInterval {
		return
	}
	t.cold.inGap = true
	t.suspectCold(now, checkNow)
}

// ColdCheckDue reports whether the health path is to be asked whether the upstream is cold.
func (t *Tracker) ColdCheckDue() bool { return t.known && t.cold.check == checkNow }

// ColdAnswerExpected reports whether a health probe is likely to tell very soon whether the
// upstream is cold.
func (t *Tracker) ColdAnswerExpected(now time.Duration) bool {
	return t.SuspectedCold(now) && (t.cold.check == checkNow || t.cold.check == checking) && now-t.cold.suspectedAt < answerTime
}

// BeginColdCheck records that a health probe is sent.
func (t *Tracker) BeginColdCheck(now time.Duration) {
	t.cold.check, t.cold.checkedAt, t.cold.checked = checking, now, true
}

// EndColdCheck records that a health probe has ended, whether or not it was answered.
func (t *Tracker) EndColdCheck() {
	if t.cold.check == checking {
		t.cold.check = noCheck
	}
}

// HandleColdProbe records what the response to a health probe tells: how much longer the
// instance is cold, if stated is set. sentAt is when the probe was sent. The response is
// ignored if the upstream was suspected to be cold since then, or if another instance answers.
func (t *Tracker) HandleColdProbe(now, sentAt time.Duration, instance string, left time.Duration, stated bool) {
	if !t.known || instance != t.last.Instance || !stated {
		return
	}
	if left > 0 {
		t.reportCold(now, left, true)
		return
	}
	if t.cold.suspected && t.cold.suspectedAt > sentAt {
		return
	}
	t.cold.until, t.cold.suspected, t.cold.check = 0, false, noCheck
}

// RecordProbeRefused records that the upstream did not accept the connection of a health probe.
// If the probe was due to a suspicion, the upstream is down.
func (t *Tracker) RecordProbeRefused(now time.Duration) {
	if t.cold.check == checking {
		t.RecordRefusedConnection(now)
	}
}

func (t *Tracker) reportCold(now, left time.Duration, byProbe bool) {
	t.cold.until, t.cold.byProbe = now+left+coldMargin, byProbe
	t.cold.suspected, t.cold.check = false, noCheck
}

// startCold records that a start of the upstream is seen for the first time. Nothing is known
// of it yet.
func (t *Tracker) startCold(now time.Duration) {
	t.cold = coldState{startTime: t.cold.startTime, suspected: true, suspectedAt: now}
}

// recordColdReport records what an accepted announcement tells. That an upstream is not cold
// is believed of a start that is seen for the first time and after earlier announcements. The
// announcement may have been sent before a health probe that told the contrary. It may also have
// been sent before a suspicion, which therefore stays for an announcement interval, and until
// the health probe that is due.
func (t *Tracker) recordColdReport(now time.Duration, a Announcement, firstSeen bool) {
	t.cold.inGap = false
	if firstSeen {
		t.startCold(now)
	}
	t.recordContact()
	switch {
	case !a.ColdStated:
	case a.ColdLeft > 0:
		t.reportCold(now, a.ColdLeft, false)
	case firstSeen:
		t.cold.suspected = false
	default:
		if !t.cold.byProbe {
			t.cold.until = 0
		}
		if t.cold.check == noCheck && now-t.cold.suspectedAt >= t.cfg.AnnounceInterval {
			t.cold.suspected = false
		}
	}
}

// recordContact makes a health probe due that waits until the upstream is heard of again.
func (t *Tracker) recordContact() {
	if t.cold.check == checkOnContact {
		t.cold.check = checkNow
	}
}
