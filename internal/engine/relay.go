package engine

import (
	"cmp"
	"slices"

	"cardamomhatch/internal/mesh"
)

// In a large fleet, nodes obtain evidence through two levels of relays, so that
// the load of panel members and relays does not grow with the fleet: relays of a
// data centre ask the panel, relays of a group ask the relays of their data centre,
// and all other nodes ask the relays of their group.
const (
	relayMinFleet = 24 // fleet size, in nodes, from which relays are used
	relayCount    = 3  // relays per data centre, and per group
	groupSize     = 48 // average nodes per group; a relay answers each of them 0.7 times a second
)

// relaysOf returns the relays that self asks for evidence. The list is empty in a
// small fleet, where every node asks the panel, and contains self if self is a
// relay of its data centre.
func relaysOf(self mesh.Member, members []mesh.Member) []mesh.NodeID {
	if len(members) < relayMinFleet {
		return nil
	}
	var local []mesh.Member
	for _, m := range members {
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
		}
	}
	dataCentreRelays := highestRanked("relay", local)
	groups := (len(local) + groupSize - 1) / groupSize
	if groups <= 1 || slices.Contains(dataCentreRelays, self.Node) {
		return dataCentreRelays
	}
	ownGroup := groupOf(self, groups)
	group := slices.DeleteFunc(local, func(m mesh.Member) bool {
		return groupOf(m, groups) != ownGroup || slices.Contains(dataCentreRelays, m.Node)
	})
	if relays := highestRanked("group relay", group); !slices.Contains(relays, self.Node) {
		return relays
	}
	return dataCentreRelays
}

func groupOf(m mesh.Member, groups int) int {
	return int(mesh.RendezvousScore("group", m.Node) % uint64(groups))
}

// highestRanked returns the relayCount members with the highest rendezvous scores
// for a key, in descending order.
func highestRanked(key string, members []mesh.Member) []mesh.NodeID {
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

// logRelayMinFleet is the fleet size, in nodes, from which only the relays of a data
// centre read the log, so that the load on the log does not grow with the fleet.
const logRelayMinFleet = 64

// ReadsLog reports whether this node should read the log now. In a large fleet only
// the relays of each data centre read it all the time and pass on records and
// evidence. Other nodes read it until they have reached its head once, while one of
// their proposals is undecided, and while their evidence has lapsed, since they may
// be cut off from the relays.
func (n *Node) ReadsLog() bool {
	lapsed := n.lastNow >= n.control.freshUntil
	return !n.control.readsViaRelays || !n.control.reachedHead || lapsed || len(n.control.proposals) > 0
}
