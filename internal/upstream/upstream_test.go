package upstream

import (
	"testing"
	"time"

	"cardamomhatch/internal/roster"
)

func tracker() *Tracker {
	return New(Config{Service: "orders", Address: "10.0.0.1:80", Period: 1500 * time.Millisecond, Drain: 2 * time.Second})
}

func ready(instance string, born int64, sequence uint64) Announcement {
	return Announcement{Instance: instance, Service: "orders", Address: "10.0.0.1:80", Born: born, Sequence: sequence, Slots: 10}
}

// An announcement that a partition held back must not bring an earlier start of
// the upstream back: requests would name an instance that is gone.
func TestLateAnnouncementOfEarlierStart(t *testing.T) {
	k := tracker()
	k.Announced(0, ready("a", 100, 5))
	if v := k.Announced(time.Second, ready("b", 200, 1)); !v.Restarted {
		t.Fatal("a new start was not noticed")
	}
	if v := k.Announced(2*time.Second, ready("a", 100, 6)); !v.Stale {
		t.Fatal("an announcement of the earlier start was taken")
	}
	if got := k.Current().Instance; got != "b" {
		t.Fatalf("instance is %q, want b", got)
	}
}

// The same instance may start again and count from the beginning.
func TestRestartUnderTheSameInstance(t *testing.T) {
	k := tracker()
	k.Announced(0, ready("a", 100, 50))
	if v := k.Announced(time.Second, ready("a", 300, 1)); !v.Restarted || v.Stale {
		t.Fatalf("verdict %+v, want a restart", v)
	}
}

// A ready announcement that arrives after the draining one must not make a
// leaving upstream take work again.
func TestLeavingDoesNotTurnReady(t *testing.T) {
	k := tracker()
	k.Announced(0, ready("a", 100, 3))
	a := ready("a", 100, 5)
	a.State = Draining
	k.Announced(time.Second, a)
	k.Announced(1100*time.Millisecond, ready("a", 100, 4))
	if got := k.Phase(1200 * time.Millisecond); got != roster.Leaving {
		t.Fatalf("phase is %d, want leaving", got)
	}
	if !k.Accepts(1500 * time.Millisecond) {
		t.Error("what other nodes sent on before they knew was refused")
	}
	if k.Accepts(2 * time.Second) {
		t.Error("a request was taken half of the drain time after the notice")
	}
}

// A deregistration without a sequence ends new work as well.
func TestGoneWithoutNotice(t *testing.T) {
	k := tracker()
	k.Announced(0, ready("a", 100, 3))
	k.Announced(time.Second, Announcement{Instance: "a", State: Deregistered})
	if got := k.Phase(time.Second); got != roster.Leaving {
		t.Fatalf("phase is %d, want leaving", got)
	}
	if got := k.Current().Slots; got != 10 {
		t.Errorf("slots are %d, want 10", got)
	}
	k.Announced(2*time.Second, ready("a", 100, 9))
	if got := k.Phase(2 * time.Second); got != roster.Leaving {
		t.Fatalf("a late heartbeat made the phase %d", got)
	}
}

// A crashed upstream announces nothing; one that answers is alive.
func TestSilence(t *testing.T) {
	k := tracker()
	k.Announced(0, ready("a", 100, 1))
	k.Answered(4 * time.Second)
	if !k.Accepts(4500 * time.Millisecond) {
		t.Error("an upstream that answers counts as silent")
	}
	if k.Accepts(6 * time.Second) {
		t.Error("a silent upstream takes work")
	}
	k.Announced(7*time.Second, ready("a", 100, 2))
	k.Refused(7100 * time.Millisecond)
	if k.Accepts(7200 * time.Millisecond) {
		t.Error("an upstream that refused a connection takes work at once")
	}
	if !k.Accepts(7500 * time.Millisecond) {
		t.Error("it is not tried again")
	}
}

// What stands at another address or serves another service is not the upstream
// beside this node.
func TestForeignAnnouncement(t *testing.T) {
	k := tracker()
	a := ready("a", 1, 1)
	a.Address = "10.0.0.2:80"
	if v := k.Announced(0, a); !v.Foreign {
		t.Error("another address was taken")
	}
	a = ready("a", 1, 1)
	a.Service = "web"
	if v := k.Announced(0, a); !v.Foreign {
		t.Error("another service was taken")
	}
}

// A probe tells who stands there until the upstream announces itself, and never
// replaces what it said.
func TestProbe(t *testing.T) {
	k := tracker()
	if !k.Probed(0, "a", 10) || !k.Accepts(0) {
		t.Fatal("a probed upstream takes no work")
	}
	if v := k.Announced(time.Second, ready("a", 100, 7)); v.Stale || v.Restarted {
		t.Fatalf("verdict on its announcement is %+v", v)
	}
	if k.Probed(time.Second, "b", 10) {
		t.Error("a probe replaced an announcement")
	}
}
