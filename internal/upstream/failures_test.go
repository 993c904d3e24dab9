package upstream

import (
	"testing"
	"time"
)

// The share must rise with a few failures in a row, must not with one, and must fall again
// while no request is sent, so that the upstream is tried again.
func TestFailureShare(t *testing.T) {
	tracker := newTracker()
	tracker.RecordResult(0, true)
	if got := tracker.FailureShare(0); got > 0.4 {
		t.Errorf("the share is %.2f after one failure, want at most 0.4", got)
	}
	for range 9 {
		tracker.RecordResult(time.Second, true)
	}
	if got := tracker.FailureShare(time.Second); got < 0.75 {
		t.Errorf("the share is %.2f after ten failures, want at least 0.75", got)
	}
	if got := tracker.FailureShare(11 * time.Second); got >= 0.2 {
		t.Errorf("the share is %.2f ten seconds after the last failure, want less than the 0.2 from which it is published", got)
	}
	tracker.HandleAnnouncement(11*time.Second, readyAnnouncement("a", 100, 1))
	tracker.RecordResult(11*time.Second, true)
	tracker.HandleAnnouncement(12*time.Second, readyAnnouncement("a", 200, 1))
	if got := tracker.FailureShare(12 * time.Second); got != 0 {
		t.Errorf("the share of a new start is %.2f, want 0", got)
	}
}
