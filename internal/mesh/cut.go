package mesh

import (
	"cmp"
	"slices"
)

// CutScale is the value of Cut.Share that admits a whole class.
const CutScale = 1024

// Cut is the load-shedding threshold of a service: every class below Class is
// admitted, Class itself for Share/CutScale of the actions, and no class above.
type Cut struct {
	Class Class  `json:"class"`
	Share uint16 `json:"share"`
}

// OpenCut admits every call.
var OpenCut = Cut{Class: NumClasses - 1, Share: CutScale}

// Admits reports whether a call of the class and action passes the cut. The
// decision within a class depends on the action alone, so that all calls of one
// action agree at every service.
func (c Cut) Admits(class Class, action ActionID) bool {
	if class != c.Class {
		return class < c.Class
	}
	return uint16(mix(uint64(action))%CutScale) < c.Share
}

// Tighter returns the cut that admits less.
func (c Cut) Tighter(other Cut) Cut {
	if other.Class < c.Class || (other.Class == c.Class && other.Share < c.Share) {
		return other
	}
	return c
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RankMembers sorts members by their rendezvous scores for a key, the highest first.
func RankMembers(key string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(RendezvousScore(key, b.Node), RendezvousScore(key, a.Node)),
			cmp.Compare(a.Node.Host, b.Node.Host),
		)
	})
}

// RendezvousScore ranks a node for a key: the nodes with the highest scores are
// chosen, and a change of one node moves only that node's keys.
func RendezvousScore(key string, node NodeID) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * prime
	}
	h = (h ^ 0xff) * prime
	for i := 0; i < len(node.Host); i++ {
		h = (h ^ uint64(node.Host[i])) * prime
	}
	return mix(h)
}
