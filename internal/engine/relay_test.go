package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/fleet"
	"cardamomhatch/internal/mesh"
)

// maxAskers bounds the nodes that ask one relay. Each asks one of three relays
// twice a second, and an answer has 100 bytes, so 100 askers take 6.7 KB/s of the
// 9 KB/s that a node may use for control.
const maxAskers = 100

// Guards against a relay whose work grows with the fleet, and against a node
// that no path of relays connects to the panel.
func TestRelaysSpreadOverALargeFleet(t *testing.T) {
	f := fleet.Fleet{Nodes: 25_000, Services: 2_700}
	for i := range f.Nodes {
		f.Members = append(f.Members, f.Member(i))
	}
	asks := map[mesh.NodeID][]mesh.NodeID{}
	askers := map[mesh.NodeID]int{}
	for _, m := range f.Members {
		if m.DataCentre != "dc-00" && m.DataCentre != "dc-07" {
			continue // the others are alike, and each node scans the fleet
		}
		asks[m.Node] = relaysOf(m, f.Members)
		for _, relay := range asks[m.Node] {
			askers[relay]++
		}
	}
	for relay, count := range askers {
		if count > maxAskers {
			t.Errorf("relay %s is asked by %d nodes", relay, count)
		}
	}
	for node := range asks {
		hops := 0
		for at := node; !contains(asks[at], at); at = asks[at][0] {
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

// Guards against a fleet in which every node reads the log, or one in which a
// node that is cut off from its relays does not.
func TestReadersOfALargeFleet(t *testing.T) {
	f := fleet.Fleet{Nodes: 100, Services: 2}
	for i := range f.Nodes {
		m := f.Member(i)
		m.DataCentre = "dc"
		f.Members = append(f.Members, m)
	}
	readers := 0
	for _, m := range f.Members {
		n := New(Config{Self: m})
		n.control.folded = f.Members
		if !n.ReadsLog() {
			t.Fatalf("%s does not read before it has been at the head", m.Node)
		}
		n.foldMembers(0, changes{})
		n.control.atHead, n.control.freshUntil = true, time.Second
		if n.ReadsLog() {
			readers++
		}
		if n.lastNow = 2 * time.Second; !n.ReadsLog() {
			t.Fatalf("%s does not read although its evidence has lapsed", m.Node)
		}
		n.control.folded = f.Members[:readerFleet-1]
		n.foldMembers(0, changes{})
		if n.lastNow = 0; !n.ReadsLog() {
			t.Fatalf("%s does not read in a small fleet", m.Node)
		}
	}
	if readers != relayCount {
		t.Errorf("%d of %d nodes read the log, want %d", readers, f.Nodes, relayCount)
	}
}
