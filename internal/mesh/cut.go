package mesh

import (
	"cmp"
	"slices"
)

// CutScale is the value of Cut.Share that admits all calls of a class.
const CutScale = 1024

// Cut is the load-shedding threshold of a service. Calls of more important classes than
// Class are admitted, calls of Class for Share/CutScale of the actions, and calls of
// less important classes are not admitted.
type Cut struct {
	Class Class  `json:"class"`
	Share uint16 `json:"share"`
}

// OpenCut admits every call.
var OpenCut = Cut{Class: NumClasses - 1, Share: CutScale}

// Admits reports whether the cut admits a call of the given class and action. Within
// Class the decision depends on the action only, so that all services with the same cut
// make the same decision for all calls of an action.
func (c Cut) Admits(class Class, action ActionID) bool {
	if class != c.Class {
		return class < c.Class
	}
	return uint16(mix(uint64(action))%CutScale) < c.Share
}

// Tighter returns whichever of c and other admits fewer calls.
func (c Cut) Tighter(other Cut) Cut {
	if other.Class < c.Class || (other.Class == c.Class && other.Share < c.Share) {
		return other
	}
	return c
}

// mix is the finalizer of the SplitMix64 generator. It makes all bits of the result
// depend on all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RankMembers sorts members by their rendezvous score for a key, highest first.
func RankMembers(key string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(RendezvousScore(key, b.Node), RendezvousScore(key, a.Node)),
			cmp.Compare(a.Node.Host, b.Node.Host),
		)
	})
}

// RendezvousScore returns the score of a node for a key in rendezvous (highest random
// weight) hashing. Keys are assigned to the nodes with the highest scores, so that a
// change of one node moves only the keys of that node. The score depends on the host
// and not on the incarnation.
func RendezvousScore(key string, node NodeID) uint64 {
	const ( // parameters of 64-bit FNV-1a
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * prime
	}
	h = (h ^ 0xff) * prime // separates the key from the host; 0xff does not occur in UTF-8
	for i := 0; i < len(node.Host); i++ {
		h = (h ^ uint64(node.Host[i])) * prime
	}
	return mix(h)
}
