package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// maxSuccessors bounds the length of the chain of planned stops that Successor
// follows.
const maxSuccessors = 16

// Directory is the membership state of one node. It is not safe for concurrent use.
//
// A host runs one node at a time, so there is one entry per host. Conflicts between
// incarnations of one host are resolved as follows. An incarnation that a peer or the
// log reported as departed is not accepted again from peers. If it has a successor, it
// is not accepted from the log either. If the log contains both incarnations, the later
// one replaces the earlier one. Otherwise the one with the higher join counter is
// current: a node raises its own counter above that of any other incarnation it learns
// of on its host.
type Directory struct {
	self            mesh.Member
	cfg             Config
	random          *rand.Rand
	entries         []entry
	freeIndexes     []int32
	byHost          map[mesh.Host]int32            // index into entries
	byService       map[mesh.Service][]int32       // indexes into entries
	sorted          map[mesh.Service][]mesh.Member // result of Service, built on demand
	changedServices map[mesh.Service]struct{}      // see TakeChangedServices
	departed        map[mesh.NodeID]mesh.NodeID    // departed node to its successor, zero if none
	departedOrder   []mesh.NodeID                  // keys of departed, oldest first
	foldGeneration  uint32                         // number of calls of FoldMembers
	refusedJoins    int
	gossip          gossip
	upstream        upstream
}

// entry is the current incarnation of one host.
type entry struct {
	member            mesh.Member
	counter           uint64           // Update.Counter; zero for a join known only from the log
	loggedIncarnation mesh.Incarnation // incarnation the log names for the host; zero if none
	foldGeneration    uint32           // generation in which the log last named the host
	learnedAt         time.Duration    // when the current incarnation was learned from a peer
}

// used reports whether the entry holds a member; unused entries are reused.
func (e *entry) used() bool { return !e.member.Node.IsZero() }

// inLog reports whether the current incarnation is the one the log names.
func (e *entry) inLog() bool {
	return e.loggedIncarnation != 0 && e.loggedIncarnation == e.member.Node.Incarnation
}

// New returns the Directory of a node. It contains the node itself.
func New(self mesh.Member, cfg Config) *Directory {
	d := &Directory{
		self:            self,
		cfg:             cfg.withDefaults(),
		random:          rand.New(rand.NewPCG(cfg.Seed, uint64(self.Node.Incarnation))),
		byHost:          map[mesh.Host]int32{},
		byService:       map[mesh.Service][]int32{},
		sorted:          map[mesh.Service][]mesh.Member{},
		changedServices: map[mesh.Service]struct{}{},
		departed:        map[mesh.NodeID]mesh.NodeID{},
	}
	d.insert(entry{member: self, counter: 1})
	return d
}

func (c Config) withDefaults() Config {
	c.AnnouncementTimeout = cmp.Or(c.AnnouncementTimeout, DefaultAnnouncementTimeout)
	c.MaxMembers = cmp.Or(c.MaxMembers, DefaultMaxMembers)
	c.MaxDeparted = cmp.Or(c.MaxDeparted, DefaultMaxDeparted)
	c.Fanout = cmp.Or(c.Fanout, DefaultFanout)
	c.RoundsPerUpdate = cmp.Or(c.RoundsPerUpdate, DefaultRoundsPerUpdate)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.UnconfirmedTTL = cmp.Or(c.UnconfirmedTTL, DefaultUnconfirmedTTL)
	return c
}

// FoldMembers applies the complete list of members in the log, in the order of their
// joins. Members of an earlier list that are missing from this one have left.
func (d *Directory) FoldMembers(members []mesh.Member) {
	d.foldGeneration++
	for i := range members {
		d.foldJoin(&members[i])
	}
	for i := range d.entries {
		e := &d.entries[i]
		if !e.used() || e.loggedIncarnation == 0 || e.foldGeneration == d.foldGeneration {
			continue
		}
		departed := e.inLog() && e.member.Node != d.self.Node
		e.loggedIncarnation = 0
		if departed {
			d.removeNode(e.member.Node, mesh.NodeID{})
		}
	}
}

// foldJoin applies one member of the log's list. Only a member that the log names
// for the first time can replace another one. Otherwise each fold would revert newer
// updates from peers.
func (d *Directory) foldJoin(m *mesh.Member) {
	if successor, departed := d.departed[m.Node]; departed && !successor.IsZero() {
		return
	} else if departed {
		// Without a successor the node was removed as unreachable, and now the log
		// contains it again.
		d.clearDeparture(m.Node)
	}
	index, known := d.byHost[m.Node.Host]
	if !known {
		d.insert(entry{member: *m, loggedIncarnation: m.Node.Incarnation, foldGeneration: d.foldGeneration})
		return
	}
	e := &d.entries[index]
	e.foldGeneration = d.foldGeneration
	if e.loggedIncarnation == m.Node.Incarnation {
		return
	}
	replaced := e.member.Node
	replacedInLog := e.inLog()
	e.loggedIncarnation = m.Node.Incarnation
	if replaced == m.Node || m.Node.Host == d.self.Node.Host {
		return
	}
	if replacedInLog {
		d.recordDeparture(replaced, mesh.NodeID{})
	}
	d.replace(index, *m, 0, 0)
}

// FoldJoin applies one node-joined record of the log. It is cheaper than FoldMembers,
// which is needed only when a node starts from a snapshot.
func (d *Directory) FoldJoin(m mesh.Member) { d.foldJoin(&m) }

// FoldLeave applies a node-left record of the log.
func (d *Directory) FoldLeave(node, successor mesh.NodeID) {
	if node != d.self.Node {
		d.removeNode(node, successor)
	}
}

// insert adds the entry of a new host. It returns false if the directory is full.
func (d *Directory) insert(e entry) bool {
	if len(d.byHost) >= d.cfg.MaxMembers {
		d.refusedJoins++
		return false
	}
	index := int32(len(d.entries))
	if n := len(d.freeIndexes); n > 0 {
		index = d.freeIndexes[n-1]
		d.freeIndexes = d.freeIndexes[:n-1]
		d.entries[index] = e
	} else {
		d.entries = append(d.entries, e)
	}
	d.byHost[e.member.Node.Host] = index
	d.addToService(index)
	return true
}

// replace stores another incarnation in the entry of its host.
func (d *Directory) replace(index int32, m mesh.Member, counter uint64, learnedAt time.Duration) {
	d.removeFromService(index)
	e := &d.entries[index]
	e.member, e.counter, e.learnedAt = m, counter, learnedAt
	d.addToService(index)
}

func (d *Directory) remove(index int32) {
	d.removeFromService(index)
	delete(d.byHost, d.entries[index].member.Node.Host)
	d.entries[index] = entry{}
	d.freeIndexes = append(d.freeIndexes, index)
}

func (d *Directory) addToService(index int32) {
	s := d.entries[index].member.Service
	d.byService[s] = append(d.byService[s], index)
	d.markChanged(s)
}

func (d *Directory) removeFromService(index int32) {
	s := d.entries[index].member.Service
	list := d.byService[s]
	position := slices.Index(list, index)
	list[position] = list[len(list)-1]
	d.byService[s] = list[:len(list)-1]
	if len(list) == 1 {
		delete(d.byService, s)
	}
	d.markChanged(s)
}

// markChanged discards the sorted members of a service and lists it for
// TakeChangedServices.
func (d *Directory) markChanged(s mesh.Service) {
	delete(d.sorted, s)
	d.changedServices[s] = struct{}{}
}

// removeNode removes a node and reports whether its departure or its successor was
// not known before.
func (d *Directory) removeNode(node, successor mesh.NodeID) bool {
	changed := d.recordDeparture(node, successor)
	if index, ok := d.byHost[node.Host]; ok && d.entries[index].member.Node == node {
		d.remove(index)
	}
	return changed
}

// recordDeparture records that an incarnation has ended and reports whether that or
// its successor was not known before.
func (d *Directory) recordDeparture(node, successor mesh.NodeID) bool {
	knownSuccessor, known := d.departed[node]
	if known && (successor.IsZero() || knownSuccessor == successor) {
		return false
	}
	d.departed[node] = successor
	if known {
		return true
	}
	d.departedOrder = append(d.departedOrder, node)
	if len(d.departedOrder) > d.cfg.MaxDeparted {
		delete(d.departed, d.departedOrder[0])
		d.departedOrder = slices.Delete(d.departedOrder, 0, 1)
	}
	return true
}

func (d *Directory) clearDeparture(node mesh.NodeID) {
	delete(d.departed, node)
	d.departedOrder = slices.DeleteFunc(d.departedOrder, func(n mesh.NodeID) bool { return n == node })
}

// Service returns the members of a service, sorted by host. The slice is shared
// and must not be modified.
func (d *Directory) Service(s mesh.Service) []mesh.Member {
	if list, ok := d.sorted[s]; ok {
		return list
	}
	indexes := d.byService[s]
	if len(indexes) == 0 {
		return nil
	}
	list := make([]mesh.Member, len(indexes))
	for i, index := range indexes {
		list[i] = d.entries[index].member
	}
	slices.SortFunc(list, func(a, b mesh.Member) int { return cmp.Compare(a.Node.Host, b.Node.Host) })
	d.sorted[s] = list
	return list
}

// TakeChangedServices returns the services whose members changed since the last call,
// sorted by name.
func (d *Directory) TakeChangedServices() []mesh.Service {
	if len(d.changedServices) == 0 {
		return nil
	}
	list := make([]mesh.Service, 0, len(d.changedServices))
	for s := range d.changedServices {
		list = append(list, s)
	}
	clear(d.changedServices)
	slices.Sort(list)
	return list
}

// Lookup returns the member with the given node ID, or else the seed with that ID.
// For incarnation zero it returns the current member of the host, or else its seed.
func (d *Directory) Lookup(n mesh.NodeID) (mesh.Member, bool) {
	index, ok := d.byHost[n.Host]
	if ok && (n.Incarnation == 0 || d.entries[index].member.Node == n) {
		return d.entries[index].member, true
	}
	for _, seed := range d.cfg.Seeds {
		if seed.Node == n {
			return seed, true
		}
	}
	return mesh.Member{}, false
}

// Successor returns the node that took over from a departed node, or the last node of
// the chain if successors have also departed. The second result is false if no
// successor is known.
func (d *Directory) Successor(n mesh.NodeID) (mesh.NodeID, bool) {
	last := n
	for range maxSuccessors {
		next := d.departed[last]
		if next.IsZero() {
			break
		}
		last = next
	}
	return last, last != n
}

// ChooseSuccessor returns the member that should take over when this node stops: the
// one with the highest rendezvous score in the same data centre, or in any other if
// there is none.
func (d *Directory) ChooseSuccessor() (mesh.Member, bool) {
	var best mesh.Member
	var bestScore uint64
	for i := range d.entries {
		m := &d.entries[i].member
		if m.Node.IsZero() || m.Node.Host == d.self.Node.Host {
			continue
		}
		sameDC := m.DataCentre == d.self.DataCentre
		bestSameDC := best.DataCentre == d.self.DataCentre && !best.Node.IsZero()
		score := mesh.RendezvousScore(string(d.self.Node.Host), m.Node)
		if best.Node.IsZero() || (sameDC && !bestSameDC) || (sameDC == bestSameDC && score > bestScore) {
			best, bestScore = *m, score
		}
	}
	return best, !best.Node.IsZero()
}

// Len returns the number of members, including this node.
func (d *Directory) Len() int { return len(d.byHost) }

// RefusedJoins returns the number of joins refused because the directory held
// Config.MaxMembers members.
func (d *Directory) RefusedJoins() int { return d.refusedJoins }
