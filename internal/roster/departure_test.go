package roster

import (
	"strconv"
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

// In a large fleet, a node that starts again must not get its departure back from every node,
// which would each open a connection for it. Some of them must return it, since messages may
// be lost.
func TestFewPeersReturnADeparture(t *testing.T) {
	const nodes = 300
	member := func(host string, incarnation mesh.Incarnation) mesh.Member {
		return mesh.Member{Node: mesh.NodeID{Host: mesh.Host(host), Incarnation: incarnation}, DataCentre: "dc", Service: "web", PeerAddress: host}
	}
	before := New(member("a", 1), 5, 1)
	before.Update(true, func(r *Record) {
		r.Phase, r.Departure = Leaving, Departure{Instance: "i", StartTime: 100, Sequence: 7}
	})
	var known News
	for i := range nodes {
		known.Records = append(known.Records, New(member("n"+strconv.Itoa(i), 1), 1, 1).Self())
	}
	known.Records = append(known.Records, before.Self())
	after := New(member("a", 2), 6, 2)
	returned := 0
	for i := range nodes {
		peer := New(member("n"+strconv.Itoa(i), 1), 1, uint64(i))
		peer.Deliver(0, before.Self().Member.Node, known)
		peer.Outgoing()
		peer.Deliver(time.Second, after.Self().Member.Node, News{Records: []Record{after.Self()}})
		for _, o := range peer.Outgoing() {
			if news, ok := o.Message.(News); ok && o.To.Node.Host == "a" && len(news.Records) == 1 && !news.Records[0].Departure.IsZero() {
				returned++
			}
		}
	}
	if returned == 0 || returned > 4*departureReturns {
		t.Errorf("%d of %d nodes return the departure, want about %d", returned, nodes, departureReturns)
	}
}

// After a rollback of the store, the departure of an upstream whose node is gone must be written
// again by exactly one of the others, and that of a live node by itself only.
func TestOneNodeWritesTheDepartureOfALostNode(t *testing.T) {
	n := newNetwork(12, 5)
	gone, live := member(3, 1).Node.Host, member(4, 1).Node.Host
	for _, host := range []mesh.Host{gone, live} {
		n.rosters[host].Update(true, func(r *Record) { r.Phase, r.Departure = Leaving, Departure{Instance: "i", StartTime: 100} })
	}
	n.mergeFromStore()
	n.run(3 * time.Second)
	n.down[gone] = true
	n.run(8 * time.Second)
	writers := 0
	for host, r := range n.rosters {
		if host == gone {
			continue
		}
		orphaned := r.OrphanedDepartures()
		if _, ok := orphaned[live]; ok {
			t.Errorf("%s writes the departure of a live node", host)
		}
		if _, ok := orphaned[gone]; ok {
			writers++
		}
	}
	if writers != 1 {
		t.Errorf("%d nodes write the departure of the lost node, want 1", writers)
	}
}
