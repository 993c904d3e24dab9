package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/fleet"
	"cardamomhatch/internal/mesh"
)

// maxNodesPerRelay is the maximum number of nodes that ask one relay. Each node asks
// one of three relays twice a second and a reply has 100 bytes, so the replies to 100
// nodes take 6.7 KB/s of the 9 KB/s that a node may use for control messages.
const maxNodesPerRelay = 100

// Guards against a relay whose load grows with the fleet, and against a node that is
// more than two relays away from the panel, the nodes whose majority confirms that a
// configuration is current.
func TestRelaysSpreadOverALargeFleet(t *testing.T) {
	f := fleet.Fleet{Nodes: 25_000, Services: 2_700}
	for i := range f.Nodes {
		f.Members = append(f.Members, f.Member(i))
	}
	relays := map[mesh.NodeID][]mesh.NodeID{}
	nodesPerRelay := map[mesh.NodeID]int{}
	for _, m := range f.Members {
		if m.DataCentre != "dc-00" && m.DataCentre != "dc-07" {
			continue // the other data centres are alike, and relaysOf scans the fleet for each node
		}
		relays[m.Node] = relaysOf(m, f.Members)
		for _, relay := range relays[m.Node] {
			nodesPerRelay[relay]++
		}
	}
	for relay, count := range nodesPerRelay {
		if count > maxNodesPerRelay {
			t.Errorf("relay %s is asked by %d nodes, want at most maxNodesPerRelay", relay, count)
		}
	}
	for node := range relays {
		hops := 0
		// A node that is among its own relays is a relay that asks the panel.
		for at := node; !contains(relays[at], at); at = relays[at][0] {
			if hops++; hops > 2 {
				t.Fatalf("node %s is more than two relays from the panel", node)
			}
		}
	}
}

func contains(nodes []mesh.NodeID, node mesh.NodeID) bool {
	for _, n := range nodes {
		if n == node {
			return true
		}
	}
	return false
}

// Guards against a large fleet in which every node reads the log instead of asking a
// relay, and against nodes that do not read it although they have not reached its head,
// their evidence that their configuration is current has lapsed, or the fleet is small.
func TestReadersOfALargeFleet(t *testing.T) {
	f := fleet.Fleet{Nodes: 100, Services: 2}
	for i := range f.Nodes {
		m := f.Member(i)
		m.DataCentre = "dc" // one for all, so that there are relayCount relays
		f.Members = append(f.Members, m)
	}
	readers := 0
	for _, m := range f.Members {
		n := New(Config{Self: m})
		n.control.foldedMembers = f.Members
		if !n.ReadsLog() {
			t.Fatalf("%s does not read the log before it has reached the head", m.Node)
		}
		n.foldMembers(0, changes{})
		n.control.reachedHead, n.control.freshUntil = true, time.Second
		if n.ReadsLog() {
			readers++
		}
		if n.lastNow = 2 * time.Second; !n.ReadsLog() {
			t.Fatalf("%s does not read the log although its evidence has lapsed", m.Node)
		}
		n.control.foldedMembers = f.Members[:logRelayMinFleet-1]
		n.foldMembers(0, changes{})
		if n.lastNow = 0; !n.ReadsLog() {
			t.Fatalf("%s does not read the log in a small fleet", m.Node)
		}
	}
	if readers != relayCount {
		t.Errorf("%d of %d nodes read the log, want %d", readers, f.Nodes, relayCount)
	}
}
