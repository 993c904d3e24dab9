package upstream

import (
	"testing"
	"time"

	"cardamomhatch/internal/roster"
)

// newTracker returns a tracker that accepts the announcements of readyAnnouncement.
func newTracker() *Tracker {
	return New(Config{Service: "orders", Address: "10.0.0.1:80", AnnounceInterval: 1500 * time.Millisecond, DrainTime: 2 * time.Second})
}

func readyAnnouncement(instance string, startTime int64, sequence uint64) Announcement {
	return Announcement{Instance: instance, Service: "orders", Address: "10.0.0.1:80", StartTime: startTime, Sequence: sequence, Slots: 10}
}

// An announcement of an earlier start that a network partition has delayed must be
// ignored. Otherwise requests would be sent for an instance that no longer runs.
func TestLateAnnouncementOfEarlierStart(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 5))
	if result := tracker.HandleAnnouncement(time.Second, readyAnnouncement("b", 200, 1)); !result.Restarted {
		t.Fatal("the announcement of a new start is not reported as a restart")
	}
	if result := tracker.HandleAnnouncement(2*time.Second, readyAnnouncement("a", 100, 6)); !result.Stale {
		t.Fatal("a late announcement of the earlier start is not reported as stale")
	}
	if got := tracker.Current().Instance; got != "b" {
		t.Fatalf("instance is %q, want b", got)
	}
}

// A restart must be detected when the upstream reuses its instance name and its
// sequence numbers start again.
func TestRestartUnderTheSameInstance(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 50))
	if result := tracker.HandleAnnouncement(time.Second, readyAnnouncement("a", 300, 1)); !result.Restarted || result.Stale {
		t.Fatalf("result is %+v, want a restart", result)
	}
}

// A ready announcement that arrives after a later draining one must not make the
// upstream ready again.
func TestLeavingDoesNotTurnReady(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 3))
	a := readyAnnouncement("a", 100, 5)
	a.State = Draining
	tracker.HandleAnnouncement(time.Second, a)
	tracker.HandleAnnouncement(1100*time.Millisecond, readyAnnouncement("a", 100, 4))
	if got := tracker.Phase(1200 * time.Millisecond); got != roster.Leaving {
		t.Fatalf("phase is %d, want leaving", got)
	}
	if !tracker.Accepts(1500 * time.Millisecond) {
		t.Error("a request forwarded by another node was refused right after the announcement")
	}
	if tracker.Accepts(2 * time.Second) {
		t.Error("a request was accepted when half of the drain time had passed")
	}
}

// A deregistration, which has no sequence number, must end new work even if no draining
// announcement came before it, and must keep the known number of slots. A late heartbeat
// must not make the upstream ready again.
func TestDeregistrationWithoutDraining(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 3))
	tracker.HandleAnnouncement(time.Second, Announcement{Instance: "a", State: Deregistered})
	if got := tracker.Phase(time.Second); got != roster.Leaving {
		t.Fatalf("phase is %d, want leaving", got)
	}
	if got := tracker.Current().Slots; got != 10 {
		t.Errorf("slots are %d after a deregistration that states none, want 10", got)
	}
	tracker.HandleAnnouncement(2*time.Second, readyAnnouncement("a", 100, 9))
	if got := tracker.Phase(2 * time.Second); got != roster.Leaving {
		t.Fatalf("phase is %d after a late heartbeat, want leaving", got)
	}
}

// An upstream that stops announcing itself must count as absent, unless it responds to
// requests. An upstream that refuses a connection must be tried again only after a delay.
func TestSilence(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 1))
	tracker.RecordResponse(4 * time.Second) // the announcement counts for 3.75 s, a response for 1 s
	if !tracker.Accepts(4500 * time.Millisecond) {
		t.Error("an upstream that has just responded gets no requests")
	}
	if tracker.Accepts(6 * time.Second) {
		t.Error("a silent upstream gets requests")
	}
	tracker.HandleAnnouncement(7*time.Second, readyAnnouncement("a", 100, 2))
	tracker.RecordRefusedConnection(7100 * time.Millisecond) // reconnectDelay is 300 ms
	if tracker.Accepts(7200 * time.Millisecond) {
		t.Error("an upstream that refused a connection gets requests after 100 ms")
	}
	if !tracker.Accepts(7500 * time.Millisecond) {
		t.Error("an upstream that refused a connection is not tried again after 400 ms")
	}
}

// Announcements from another address or for another service must be ignored.
func TestForeignAnnouncement(t *testing.T) {
	tracker := newTracker()
	a := readyAnnouncement("a", 1, 1)
	a.Address = "10.0.0.2:80"
	if result := tracker.HandleAnnouncement(0, a); !result.Foreign {
		t.Error("an announcement from another address is not reported as foreign")
	}
	a = readyAnnouncement("a", 1, 1)
	a.Service = "web"
	if result := tracker.HandleAnnouncement(0, a); !result.Foreign {
		t.Error("an announcement for another service is not reported as foreign")
	}
}

// The response to a probe must make the upstream usable until it announces itself, and
// must not replace an announcement.
func TestProbe(t *testing.T) {
	tracker := newTracker()
	if !tracker.HandleProbe(0, "a", 10) || !tracker.Accepts(0) {
		t.Fatal("an upstream that answered a probe gets no requests")
	}
	if result := tracker.HandleAnnouncement(time.Second, readyAnnouncement("a", 100, 7)); result.Stale || result.Restarted {
		t.Fatalf("result of its first announcement is %+v, want neither stale nor restarted", result)
	}
	if tracker.HandleProbe(time.Second, "b", 10) {
		t.Error("a probe replaced an announcement")
	}
}

// An upstream may say in a response that it leaves before its announcements do. Only a
// restart makes it ready again, and a later announcement must not extend the time in which
// it still gets requests.
func TestResponseSaysThatTheUpstreamLeaves(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 3))
	sentTo := tracker.Current()
	tracker.RecordLeaving(time.Second, sentTo)
	tracker.HandleAnnouncement(1100*time.Millisecond, readyAnnouncement("a", 100, 4))
	if got := tracker.Phase(1200 * time.Millisecond); got != roster.Leaving {
		t.Errorf("phase is %d after a late ready announcement, want leaving", got)
	}
	draining := readyAnnouncement("a", 100, 5)
	draining.State = Draining
	tracker.HandleAnnouncement(1700*time.Millisecond, draining)
	if !tracker.Accepts(1700*time.Millisecond) || tracker.Accepts(1900*time.Millisecond) {
		t.Error("requests are not accepted until 0.8 s after the response, or longer")
	}
	tracker.HandleAnnouncement(3*time.Second, readyAnnouncement("b", 200, 1))
	tracker.RecordLeaving(3100*time.Millisecond, sentTo)
	if got := tracker.Phase(3200 * time.Millisecond); got != roster.Ready {
		t.Errorf("phase is %d after the restart and a response of the earlier start, want ready", got)
	}
}

// Another writer may have announced the upstream with a high sequence. That it drains must take
// effect all the same, since it is acknowledged and the upstream exits soon after.
func TestDrainingTakesEffectWhateverItsSequence(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 5))
	tracker.HandleAnnouncement(time.Second, readyAnnouncement("a", 100, 60))
	draining := readyAnnouncement("a", 100, 7)
	draining.State = Draining
	if result := tracker.HandleAnnouncement(2*time.Second, draining); result.Stale || !result.Changed {
		t.Errorf("result is %+v, want a change", result)
	}
	if got := tracker.Phase(2 * time.Second); got != roster.Leaving {
		t.Errorf("phase is %d, want leaving", got)
	}
	late := readyAnnouncement("a", 100, 6)
	if result := tracker.HandleAnnouncement(2100*time.Millisecond, late); !result.Stale {
		t.Errorf("result of an earlier ready announcement is %+v, want stale", result)
	}
}

// An upstream that was replaced at its address may have announcements in transit. They must
// not bring it back: requests would be sent for an instance that no longer runs.
func TestLateAnnouncementOfAReplacedUpstream(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 5))
	tracker.RecordReplacement(tracker.Current())
	if result := tracker.HandleAnnouncement(time.Second, readyAnnouncement("a", 100, 6)); !result.Stale || tracker.Accepts(time.Second) {
		t.Errorf("result of a late announcement of the replaced upstream is %+v, accepts requests: %v; want stale and none", result, tracker.Accepts(time.Second))
	}
	if result := tracker.HandleAnnouncement(time.Second, readyAnnouncement("a", 200, 1)); !result.Restarted || !tracker.Accepts(time.Second) {
		t.Errorf("result of the announcement of a later start is %+v, accepts requests: %v; want a restart and requests", result, tracker.Accepts(time.Second))
	}
}

// The response to a request for the earlier start may arrive after the announcement of its
// successor. The successor must stay in use.
func TestReplacementOfAnEarlierStart(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 5))
	sentTo := tracker.Current()
	tracker.HandleAnnouncement(time.Second, readyAnnouncement("b", 200, 1))
	tracker.RecordReplacement(sentTo)
	if !tracker.Accepts(time.Second) {
		t.Error("no request is accepted for the new start after a response about the earlier one")
	}
}

// Heartbeats that do not state the slots must not count as changes: each would write a line.
func TestHeartbeatWithoutSlotsChangesNothing(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 1))
	a := readyAnnouncement("a", 100, 2)
	a.Slots = 0
	if result := tracker.HandleAnnouncement(time.Second, a); result.Changed {
		t.Errorf("result is %+v, want no change", result)
	}
}
