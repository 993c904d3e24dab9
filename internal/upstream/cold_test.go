package upstream

import (
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	coldStart = 3 * time.Second
)

// coldTracker returns a tracker with a warm upstream that announced itself at zero.
func coldTracker() *Tracker {
	t := New(Config{Service: "s", AnnounceInterval: 1500 * ms})
	t.SetColdStart(coldStart)
	t.RecordHistory()
	t.HandleAnnouncement(0, coldAnnouncement("i", 1, 1, 0))
	return t
}

func coldAnnouncement(instance string, start int64, sequence uint64, left time.Duration) Announcement {
	return Announcement{Instance: instance, Service: "s", StartTime: start, Sequence: sequence, Slots: 8, ColdLeft: left, ColdStated: left >= 0}
}

// wantCold checks how much longer the upstream counts as cold and whether a probe is due.
func wantCold(t *testing.T, tr *Tracker, now, left time.Duration, check bool) {
	t.Helper()
	if got := tr.ColdLeft(now); got != left {
		t.Errorf("at %v: cold for %v, want %v", now, got, left)
	}
	if got := tr.ColdCheckDue(); got != check {
		t.Errorf("at %v: probe due is %v, want %v", now, got, check)
	}
}

// An upstream must count as cold for as long as it says, and a new start that says nothing
// for as long as a start takes.
func TestColdReports(t *testing.T) {
	tr := coldTracker()
	wantCold(t, tr, 0, 0, false)
	tr.HandleAnnouncement(1500*ms, coldAnnouncement("i", 1, 2, 2*time.Second))
	wantCold(t, tr, 1500*ms, 2*time.Second+coldMargin, false)
	tr.HandleAnnouncement(3*time.Second, coldAnnouncement("i", 1, 3, 0))
	wantCold(t, tr, 3*time.Second, 0, false)
	tr.HandleAnnouncement(4*time.Second, coldAnnouncement("j", 4, 1, -1))
	wantCold(t, tr, 4*time.Second, coldStart, false)
	tr.HandleAnnouncement(5500*ms, coldAnnouncement("j", 4, 2, 0))
	wantCold(t, tr, 5500*ms, 0, false)
}

// An announcement that says that the upstream is warm may have been sent before a health
// response that says it is cold, or before a refused connection.
func TestLateAnnouncementDoesNotMakeAnUpstreamWarm(t *testing.T) {
	tr := coldTracker()
	tr.SuspectCold(time.Second)
	wantCold(t, tr, time.Second, coldStart, true)
	tr.BeginColdCheck(time.Second)
	tr.HandleColdProbe(1010*ms, time.Second, "i", 2*time.Second, true)
	tr.HandleAnnouncement(1500*ms, coldAnnouncement("i", 1, 2, 0))
	wantCold(t, tr, 2*time.Second, 1010*ms+coldMargin, false)
	tr = coldTracker()
	tr.RecordRefusedConnection(1400 * ms)
	wantCold(t, tr, 1400*ms, coldStart, false)
	tr.HandleAnnouncement(1500*ms, coldAnnouncement("i", 1, 2, 0))
	wantCold(t, tr, 1500*ms, coldStart-100*ms, true)
	// A probe that was sent before the next refusal, or that another start answers, is not valid.
	tr.BeginColdCheck(1500 * ms)
	tr.RecordRefusedConnection(1501 * ms)
	tr.HandleColdProbe(1502*ms, 1500*ms, "i", 0, true)
	tr.HandleColdProbe(1502*ms, 1501*ms, "j", 0, true)
	wantCold(t, tr, 1502*ms, coldStart-ms, false)
	tr.RecordResponse(1600 * ms)
	wantCold(t, tr, 1600*ms, coldStart-99*ms, true)
	tr.BeginColdCheck(1600 * ms)
	tr.HandleColdProbe(1601*ms, 1600*ms, "i", 0, true)
	wantCold(t, tr, 1601*ms, 0, false)
}

// After a gap in the announcements, one probe must be due, not a series, and upstreams that
// end connections often must not lead to a probe each time.
func TestFewProbes(t *testing.T) {
	tr := coldTracker()
	wantCold(t, tr, 3*time.Second, 0, false)
	wantCold(t, tr, 3001*ms, coldStart, true)
	tr.BeginColdCheck(3001 * ms)
	tr.HandleColdProbe(3002*ms, 3001*ms, "i", 0, true)
	wantCold(t, tr, 9*time.Second, 0, false)
	tr.RecordReset(9 * time.Second)
	wantCold(t, tr, 9*time.Second, coldStart, false) // only when the upstream responds again
	tr.RecordResponse(9 * time.Second)
	wantCold(t, tr, 9*time.Second, coldStart, true)
	tr.BeginColdCheck(9 * time.Second)
	tr.HandleColdProbe(9001*ms, 9*time.Second, "i", 0, true)
	tr.RecordReset(9100 * ms)
	wantCold(t, tr, 9100*ms, 0, false)
}
