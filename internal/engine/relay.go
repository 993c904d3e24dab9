package engine

import (
	"cmp"
	"slices"

	"cardamomhatch/internal/mesh"
)

// Evidence reaches a large fleet through two levels of relays, so that neither
// the panel's nor a relay's work grows with the fleet: relays of a data centre
// ask the panel, relays of a group ask those of their data centre, and all
// others ask the relays of their group.
const (
	relayFleet = 24 // members of the fleet from which relays are used
	relayCount = 3  // relays of a data centre, and of a group
	groupSize  = 48 // members of a group; a relay answers each 0.7 times a second
)

// relaysOf returns the nodes that self asks for evidence. The list is empty in
// a small fleet, where every node asks the panel, and holds self if self is a
// relay of its data centre.
func relaysOf(self mesh.Member, members []mesh.Member) []mesh.NodeID {
	if len(members) < relayFleet {
		return nil
	}
	var local []mesh.Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
		}
	}
	top := firstByRank("relay", local)
	groups := (len(local) + groupSize - 1) / groupSize
	if groups <= 1 || slices.Contains(top, self.Node) {
		return top
	}
	own := groupOf(self, groups)
	group := slices.DeleteFunc(local, func(m mesh.Member) bool {
		return groupOf(m, groups) != own || slices.Contains(top, m.Node)
	})
	if relays := firstByRank("group relay", group); !slices.Contains(relays, self.Node) {
		return relays
	}
	return top
}

func groupOf(m mesh.Member, groups int) int {
	return int(mesh.RendezvousScore("group", m.Node) % uint64(groups))
}

// firstByRank returns the best ranked members for a key, best first.
func firstByRank(key string, members []mesh.Member) []mesh.NodeID {
	best := make([]mesh.NodeID, 0, relayCount+1)
	for _, m := range members {
		i, _ := slices.BinarySearchFunc(best, m.Node, func(a, b mesh.NodeID) int {
			return cmp.Or(
				-cmp.Compare(mesh.RendezvousScore(key, a), mesh.RendezvousScore(key, b)),
				cmp.Compare(a.Host, b.Host))
		})
		if i < relayCount {
			best = slices.Insert(best, i, m.Node)
			best = best[:min(len(best), relayCount)]
		}
	}
	return best
}

// readerFleet is the number of members from which only the relays of a data
// centre read the log, so that the log's work does not grow with the fleet.
const readerFleet = 64

// ReadsLog reports whether this node reads the log now. In a large fleet the
// relays of each data centre do and pass records and evidence on. Others read
// until they have been at the head, while a record of theirs is not decided, and
// while their evidence has lapsed, since they may be cut off from the relays.
func (n *Node) ReadsLog() bool {
	lapsed := n.lastNow >= n.control.freshUntil
	return !n.control.relayed || !n.control.atHead || lapsed || len(n.control.proposals) > 0
}
