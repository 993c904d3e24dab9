package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/roster"
)

// When all upstreams of a service become cold at once, each node must learn of it earlier than
// from the next announcement of its own upstream, without many health probes.
func TestWholeServiceBecomesCold(t *testing.T) {
	const interval, runs = 1500 * ms, 40
	random := rand.New(rand.NewPCG(5, 6))
	for _, size := range []int{2, 4, 30} {
		var alone, together time.Duration
		for range runs {
			records := make([]roster.Record, size)
			announcedAt, noticedAt := make([]time.Duration, size), make([]time.Duration, size)
			others := make([]*Others, size)
			for i := range records {
				records[i].Member.Node.Host, records[i].Instance = mesh.Host(fmt.Sprint("h", i)), "i"
				announcedAt[i], others[i] = time.Duration(random.Int64N(int64(interval))), NewOthers(interval)
				noticedAt[i] = announcedAt[i]
			}
			for now := time.Duration(0); now < interval; now += 50 * ms {
				for i, o := range others {
					if o.Observe(now, records[i].Member.Node.Host, records) {
						noticedAt[i] = min(noticedAt[i], now)
					}
				}
				for i := range records {
					records[i].Limited = announcedAt[i] <= now || noticedAt[i] <= now
				}
			}
			for i := range records {
				alone += announcedAt[i]
				together += noticedAt[i]
			}
		}
		n := time.Duration(size * runs)
		t.Logf("%d upstreams: noticed after %v alone, %v together", size, alone/n, together/n)
		if together > alone*8/10 {
			t.Errorf("%d upstreams are noticed to be cold after %v, want at most 0.8 of %v", size, together/n, alone/n)
		}
	}
}

// A restart of some upstreams, or the limits that others have had for long, must not lead to
// health probes of the rest, and a series of limits to one in an interval at most.
func TestRestartsOfOthersAreNoSuspicion(t *testing.T) {
	o := NewOthers(1500 * ms)
	record := func(host, instance string, limited bool) roster.Record {
		return roster.Record{Member: mesh.Member{Node: mesh.NodeID{Host: mesh.Host(host)}}, Instance: instance, Limited: limited}
	}
	observe := func(now time.Duration, want bool, records ...roster.Record) {
		t.Helper()
		if got := o.Observe(now, "self", append(records, record("self", "s", true))); got != want {
			t.Errorf("at %v: suspicion is %v, want %v", now, got, want)
		}
	}
	observe(0, false, record("a", "a1", false), record("b", "b1", true))
	observe(ms, false, record("a", "a2", true), record("b", "b1", true))
	observe(2*ms, false, record("a", "a2", false), record("b", "b1", true))
	observe(3*ms, true, record("a", "a2", true), record("b", "b1", true))
	observe(4*ms, false, record("a", "a2", true), record("b", "b1", false))
	observe(5*ms, false, record("a", "a2", true), record("b", "b1", true))
	observe(1600*ms, false, record("a", "a2", true), record("b", "b1", true))
}
