package upstream

import (
	"testing"
	"time"

	"cardamomhatch/internal/roster"
)

// restartedTracker returns the tracker of a node that has just started again and expects to
// hear of earlier departures within two seconds.
func restartedTracker() *Tracker {
	t := newTracker()
	t.cfg.HistoryWait = 2 * time.Second
	return t
}

func withState(a Announcement, s State) Announcement {
	a.State = s
	return a
}

// An announcement that reaches a restarted node before it can know what its earlier
// incarnation acknowledged must not put the upstream into use. A healthy answer to a probe
// shows that the upstream is not leaving, and the wait ends if nobody can be asked.
func TestAnnouncementBeforeTheHistoryIsKnown(t *testing.T) {
	ready := readyAnnouncement("a", 100, 7)
	tracker := restartedTracker()
	tracker.HandleAnnouncement(0, ready)
	if tracker.Accepts(time.Second) || tracker.Phase(time.Second) != roster.Absent {
		t.Error("the upstream is in use before the history is known")
	}
	tracker.RecordHistory()
	if !tracker.Accepts(time.Second) || tracker.Phase(time.Second) != roster.Ready {
		t.Error("the upstream is not in use although no departure was acknowledged")
	}
	tracker = restartedTracker()
	tracker.HandleAnnouncement(0, ready)
	if !tracker.Accepts(2*time.Second) || tracker.Phase(2*time.Second) != roster.Ready {
		t.Error("the upstream is not in use after the wait for the history")
	}
	tracker = restartedTracker()
	if !tracker.HandleProbe(0, "a", 10) || !tracker.Accepts(0) {
		t.Error("a healthy upstream that answered a probe is not in use")
	}
	tracker = restartedTracker()
	tracker.HandleAnnouncement(0, ready)
	if tracker.HandleProbe(500*time.Millisecond, "b", 20) || tracker.Accepts(500*time.Millisecond) {
		t.Error("the answer of another instance put the announced one into use")
	}
	if !tracker.HandleProbe(500*time.Millisecond, "a", 20) || !tracker.Accepts(500*time.Millisecond) {
		t.Error("a healthy upstream that announced itself and answered a probe is not in use")
	}
	if got := tracker.Current(); got != ready {
		t.Errorf("the announcement is %+v after the probe, want %+v", got, ready)
	}
}

// Announcements of all states arrive late, repeated and reordered around the moment at which
// a restarted node learns that its upstream has left. None of the start that left may put the
// upstream into use or reopen the drain time; a later start must be used at once.
func TestLateAnnouncementsAroundALearnedDeparture(t *testing.T) {
	left := roster.Departure{Instance: "a", StartTime: 100, Sequence: 8}
	deregistered := left
	deregistered.Deregistered = true
	late := []Announcement{
		readyAnnouncement("a", 100, 7), readyAnnouncement("a", 100, 8), readyAnnouncement("a", 0, 6), readyAnnouncement("a", 50, 90),
		withState(readyAnnouncement("a", 100, 9), Draining), withState(readyAnnouncement("a", 100, 0), Deregistered),
	}
	for _, departure := range []roster.Departure{left, deregistered} {
		for learnedAfter := range late {
			for first := range late {
				tracker := restartedTracker()
				now := time.Duration(0)
				for i := range late {
					if i == learnedAfter {
						tracker.LearnDeparture(now, departure)
						tracker.RecordHistory()
					}
					a := late[(first+i)%len(late)]
					tracker.HandleAnnouncement(now, a)
					if tracker.Accepts(now) || tracker.Phase(now) == roster.Ready {
						t.Fatalf("departure %+v learned after %d announcements: in use after %+v", departure, learnedAfter, a)
					}
					now += 100 * time.Millisecond
				}
				tracker.HandleAnnouncement(now, readyAnnouncement("a", 200, 1))
				if !tracker.Accepts(now) || tracker.Phase(now) != roster.Ready {
					t.Fatalf("departure %+v learned after %d announcements: a later start of the upstream is not in use", departure, learnedAfter)
				}
			}
		}
	}
}

// A probe does not tell the start of the upstream, so that a false healthy answer must not
// bring back an instance that left.
func TestProbeOfAnInstanceThatLeft(t *testing.T) {
	tracker := restartedTracker()
	tracker.LearnDeparture(0, roster.Departure{Instance: "a", StartTime: 100, Deregistered: true})
	if tracker.HandleProbe(0, "a", 10) {
		t.Error("a probe put an instance into use that had left")
	}
	tracker = restartedTracker()
	tracker.HandleProbe(0, "a", 10)
	tracker.LearnDeparture(time.Second, roster.Departure{Instance: "a", StartTime: 100, Deregistered: true})
	if tracker.Accepts(time.Second) {
		t.Error("an instance that answered a probe is in use although it has left")
	}
}

// A draining upstream may turn ready again, which its sequence numbers show, and drain once
// more. The second departure begins a drain time of its own.
func TestUpstreamThatDrainsTwice(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, withState(readyAnnouncement("a", 100, 3), Draining))
	first := tracker.Departure()
	tracker.HandleAnnouncement(5*time.Second, readyAnnouncement("a", 100, 4))
	if !tracker.Accepts(5 * time.Second) {
		t.Fatal("an upstream that is ready again is not in use")
	}
	tracker.HandleAnnouncement(6*time.Second, withState(readyAnnouncement("a", 100, 5), Draining))
	if !tracker.Accepts(6*time.Second) || !tracker.Departure().NewerThan(first) {
		t.Errorf("accepts requests: %v, departure %+v; want a new departure that begins now", tracker.Accepts(6*time.Second), tracker.Departure())
	}
}

// A deregistration may state no start time. The upstream must still be used when it starts
// again under the same instance.
func TestRestartAfterADeregistrationWithoutStartTime(t *testing.T) {
	tracker := newTracker()
	tracker.HandleAnnouncement(0, readyAnnouncement("a", 100, 3))
	tracker.HandleAnnouncement(time.Second, Announcement{Instance: "a", State: Deregistered})
	tracker.HandleAnnouncement(2*time.Second, readyAnnouncement("a", 200, 1))
	if !tracker.Accepts(2 * time.Second) {
		t.Error("an upstream that has started again is not in use")
	}
}
