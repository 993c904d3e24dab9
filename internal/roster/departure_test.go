package roster

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// A node that starts again knows nothing of the departure that its earlier incarnation
// acknowledged. Its peers must return it, whichever of the two records has the higher claim:
// claims follow the time of day, which may jump back.
func TestPeersReturnADeparture(t *testing.T) {
	departure := Departure{Instance: "i", StartTime: 100, Sequence: 7}
	for _, claim := range []uint64{4, 6} {
		member := func(host mesh.Host, incarnation mesh.Incarnation) mesh.Member {
			return mesh.Member{Node: mesh.NodeID{Host: host, Incarnation: incarnation}, DataCentre: "dc", Service: "web", PeerAddress: string(host)}
		}
		peer := New(member("b", 1), 1, 1)
		before := New(member("a", 1), 5, 2)
		before.Update(true, func(r *Record) { r.Phase, r.Departure = Leaving, departure })
		peer.Deliver(0, before.Self().Member.Node, News{Records: []Record{before.Self()}})
		after := New(member("a", 2), claim, 3)
		nodes := map[string]*Roster{"a": after, "b": peer}
		peer.Outgoing()
		now := time.Second
		after.Merge(now, peer.Self()) // as the store lists it
		for range 60 {
			now += digestInterval / 4
			for _, from := range nodes {
				for _, o := range from.Tick(now) {
					nodes[o.To.PeerAddress].Deliver(now, from.Self().Member.Node, o.Message)
				}
			}
		}
		if got := after.EarlierDeparture(); got != departure {
			t.Errorf("claim %d after 5: departure %+v, want %+v", claim, got, departure)
		}
		if after.Self().Member.Node.Incarnation != 2 || peer.Len(now) != 2 {
			t.Errorf("claim %d after 5: the peer knows %d nodes, want 2", claim, peer.Len(now))
		}
	}
}
