package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// maxSuccessors bounds how many planned stops in a row Successor follows.
const maxSuccessors = 16

// Directory is the membership state of one node. It is not safe for concurrent use.
//
// A host runs one node, so there is one entry per host. A departed incarnation
// never comes back. Among others, one that the log orders later replaces one it
// orders earlier; an incarnation not in the log is ordered by the join counter
// that its node raises above every other incarnation it hears of on its host.
type Directory struct {
	self     mesh.Member
	cfg      Config
	random   *rand.Rand
	entries  []entry
	free     []int32
	hosts    map[mesh.Host]int32
	services map[mesh.Service][]int32
	lists    map[mesh.Service][]mesh.Member // built on demand
	changed  map[mesh.Service]struct{}
	left     map[mesh.NodeID]mesh.NodeID // departed node to its successor
	leftAge  []mesh.NodeID               // oldest first
	fold     uint32
	refused  int
	spread   spread
	local    local
}

// entry is the current incarnation of one host.
type entry struct {
	member  mesh.Member
	counter uint64           // zero for a join known only from the log
	folded  mesh.Incarnation // incarnation the log names for the host; zero if none
	fold    uint32           // last Fold that named it
	since   time.Duration    // when it was learnt from a peer
}

func (e *entry) used() bool { return !e.member.Node.IsZero() }

// inLog reports whether the current incarnation is the one the log names.
func (e *entry) inLog() bool { return e.folded != 0 && e.folded == e.member.Node.Incarnation }

// New returns the Directory of a node. It contains the node itself.
func New(self mesh.Member, cfg Config) *Directory {
	d := &Directory{
		self:     self,
		cfg:      cfg.withDefaults(),
		random:   rand.New(rand.NewPCG(cfg.Seed, uint64(self.Node.Incarnation))),
		hosts:    map[mesh.Host]int32{},
		services: map[mesh.Service][]int32{},
		lists:    map[mesh.Service][]mesh.Member{},
		changed:  map[mesh.Service]struct{}{},
		left:     map[mesh.NodeID]mesh.NodeID{},
	}
	d.insert(entry{member: self, counter: 1})
	return d
}

func (c Config) withDefaults() Config {
	c.Lapse = cmp.Or(c.Lapse, DefaultAnnouncementTimeout)
	c.MaxMembers = cmp.Or(c.MaxMembers, DefaultMaxMembers)
	c.MaxLeft = cmp.Or(c.MaxLeft, DefaultMaxDeparted)
	c.Fanout = cmp.Or(c.Fanout, DefaultFanout)
	c.Rounds = cmp.Or(c.Rounds, DefaultRoundsPerUpdate)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Unfolded = cmp.Or(c.Unfolded, DefaultUnconfirmedTTL)
	return c
}

// FoldMembers takes the complete list of members in the log, in the order of their
// joins. A member missing from it that an earlier list contained has left.
func (d *Directory) FoldMembers(members []mesh.Member) {
	d.fold++
	for i := range members {
		d.foldJoin(&members[i])
	}
	for i := range d.entries {
		e := &d.entries[i]
		if !e.used() || e.folded == 0 || e.fold == d.fold {
			continue
		}
		gone := e.inLog() && e.member.Node != d.self.Node
		e.folded = 0
		if gone {
			d.leave(e.member.Node, mesh.NodeID{})
		}
	}
}

// foldJoin takes one member of the list. Only a member that the list names for
// the first time can replace another: a list that is older than what peers said
// since must not undo it each time it is folded.
func (d *Directory) foldJoin(m *mesh.Member) {
	if successor, departed := d.left[m.Node]; departed && !successor.IsZero() {
		return
	} else if departed {
		d.returned(m.Node) // others had removed it while they did not reach it
	}
	index, known := d.hosts[m.Node.Host]
	if !known {
		d.insert(entry{member: *m, folded: m.Node.Incarnation, fold: d.fold})
		return
	}
	e := &d.entries[index]
	e.fold = d.fold
	if e.folded == m.Node.Incarnation {
		return
	}
	replaced := e.member.Node
	ordered := e.inLog()
	e.folded = m.Node.Incarnation
	if replaced == m.Node || m.Node.Host == d.self.Node.Host {
		return
	}
	if ordered {
		d.depart(replaced, mesh.NodeID{})
	}
	d.replace(index, *m, 0, 0)
}

// FoldJoined takes one node-joined record of the log. It is cheaper than Fold,
// which a node needs only when it starts from a snapshot.
func (d *Directory) FoldJoined(m mesh.Member) { d.foldJoin(&m) }

// FoldLeft takes a node-left record of the log.
func (d *Directory) FoldLeft(node, successor mesh.NodeID) {
	if node != d.self.Node {
		d.leave(node, successor)
	}
}

// insert adds the entry of a new host.
func (d *Directory) insert(e entry) bool {
	if len(d.hosts) >= d.cfg.MaxMembers {
		d.refused++
		return false
	}
	index := int32(len(d.entries))
	if n := len(d.free); n > 0 {
		index = d.free[n-1]
		d.free = d.free[:n-1]
		d.entries[index] = e
	} else {
		d.entries = append(d.entries, e)
	}
	d.hosts[e.member.Node.Host] = index
	d.link(index)
	return true
}

// replace puts another incarnation into the entry of its host.
func (d *Directory) replace(index int32, m mesh.Member, counter uint64, since time.Duration) {
	d.unlink(index)
	e := &d.entries[index]
	e.member, e.counter, e.since = m, counter, since
	d.link(index)
}

func (d *Directory) remove(index int32) {
	d.unlink(index)
	delete(d.hosts, d.entries[index].member.Node.Host)
	d.entries[index] = entry{}
	d.free = append(d.free, index)
}

func (d *Directory) link(index int32) {
	s := d.entries[index].member.Service
	d.services[s] = append(d.services[s], index)
	d.touch(s)
}

func (d *Directory) unlink(index int32) {
	s := d.entries[index].member.Service
	list := d.services[s]
	at := slices.Index(list, index)
	list[at] = list[len(list)-1]
	d.services[s] = list[:len(list)-1]
	if len(list) == 1 {
		delete(d.services, s)
	}
	d.touch(s)
}

func (d *Directory) touch(s mesh.Service) {
	delete(d.lists, s)
	d.changed[s] = struct{}{}
}

// leave removes a node and reports whether that was news.
func (d *Directory) leave(node, successor mesh.NodeID) bool {
	news := d.depart(node, successor)
	if index, ok := d.hosts[node.Host]; ok && d.entries[index].member.Node == node {
		d.remove(index)
	}
	return news
}

// depart remembers that an incarnation has ended.
func (d *Directory) depart(node, successor mesh.NodeID) bool {
	before, known := d.left[node]
	if known && (successor.IsZero() || before == successor) {
		return false
	}
	d.left[node] = successor
	if known {
		return true
	}
	d.leftAge = append(d.leftAge, node)
	if len(d.leftAge) > d.cfg.MaxLeft {
		delete(d.left, d.leftAge[0])
		d.leftAge = slices.Delete(d.leftAge, 0, 1)
	}
	return true
}

// returned forgets a departure.
func (d *Directory) returned(node mesh.NodeID) {
	delete(d.left, node)
	d.leftAge = slices.DeleteFunc(d.leftAge, func(n mesh.NodeID) bool { return n == node })
}

// Service returns the members of a service, sorted by host. The slice is shared
// and must not be changed.
func (d *Directory) Service(s mesh.Service) []mesh.Member {
	if list, ok := d.lists[s]; ok {
		return list
	}
	indexes := d.services[s]
	if len(indexes) == 0 {
		return nil
	}
	list := make([]mesh.Member, len(indexes))
	for i, index := range indexes {
		list[i] = d.entries[index].member
	}
	slices.SortFunc(list, func(a, b mesh.Member) int { return cmp.Compare(a.Node.Host, b.Node.Host) })
	d.lists[s] = list
	return list
}

// Changed returns the services whose members changed since the last call, sorted.
func (d *Directory) Changed() []mesh.Service {
	if len(d.changed) == 0 {
		return nil
	}
	list := make([]mesh.Service, 0, len(d.changed))
	for s := range d.changed {
		list = append(list, s)
	}
	clear(d.changed)
	slices.Sort(list)
	return list
}

// Lookup returns the member of a node. For incarnation zero it returns the
// current member of the host, or else the seed of that host.
func (d *Directory) Lookup(n mesh.NodeID) (mesh.Member, bool) {
	index, ok := d.hosts[n.Host]
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

// Successor returns the node that took over from a departed one; if that one has
// left too, its successor, and so on.
func (d *Directory) Successor(n mesh.NodeID) (mesh.NodeID, bool) {
	last := n
	for range maxSuccessors {
		next := d.left[last]
		if next.IsZero() {
			break
		}
		last = next
	}
	return last, last != n
}

// ChooseSuccessor returns the member that should take over when this node stops:
// one of the same data centre if there is any, else any other.
func (d *Directory) ChooseSuccessor() (mesh.Member, bool) {
	var best mesh.Member
	var bestScore uint64
	for i := range d.entries {
		m := &d.entries[i].member
		if m.Node.IsZero() || m.Node.Host == d.self.Node.Host {
			continue
		}
		near := m.DataCentre == d.self.DataCentre
		bestNear := best.DataCentre == d.self.DataCentre && !best.Node.IsZero()
		score := mesh.RendezvousScore(string(d.self.Node.Host), m.Node)
		if best.Node.IsZero() || (near && !bestNear) || (near == bestNear && score > bestScore) {
			best, bestScore = *m, score
		}
	}
	return best, !best.Node.IsZero()
}

// Len returns the number of members, this node included.
func (d *Directory) Len() int { return len(d.hosts) }

// RefusedJoins returns the number of joins that did not fit into Config.MaxMembers.
func (d *Directory) RefusedJoins() int { return d.refused }
