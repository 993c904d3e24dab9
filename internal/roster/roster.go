// Package roster is what one node knows of the other nodes: how to reach them,
// which upstream stands beside each, and what each workspace asks of them.
//
// No service keeps a list of nodes. A node publishes its address once, in the
// platform's store, and learns the rest from its peers: every node sends a
// digest of what it knows to one partner at a time, and the partner answers
// with what is newer. A change of state is told to some nodes at once, so
// that it reaches all nodes in a few rounds without a message from each node to
// each other one. A node that starts while the store is away is found by its
// peers, who keep sending digests to the address they know.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// roundEvery is the time between two digests of one node.
	roundEvery = 500 * time.Millisecond
	// partners is how many nodes a node exchanges digests with by choice. A
	// rumour needs about log(n)/log(partners) rounds to reach n nodes.
	partners = 8
	// rumourFanout is how many partners hear of a change at once.
	rumourFanout = 3
	// strangerShare is the part of the rounds that goes to any known node, so
	// that groups that lost sight of each other meet again. Each takes a connection
	// of its own for a while.
	strangerShare = 0.1
	// silentAfter is the time without a newer beat after which a node counts as
	// silent: several rounds, in which a beat reaches all nodes.
	silentAfter = 4 * time.Second
	// forgetAfter is the time without a newer beat after which a node is dropped.
	forgetAfter = 60 * time.Second
	// leftFor is how long the record of a node that has left is kept, so that
	// an older record of it that is still under way does not bring it back.
	leftFor = 30 * time.Second
)

// Phase is the state of the upstream beside a node, as far as new work goes.
type Phase uint8

// The phases.
const (
	Absent  Phase = iota // not known, or silent
	Ready                // takes work
	Leaving              // takes no new work
)

// Record is what a node says of itself. Newer claims replace older ones; within
// a claim the higher serial does.
type Record struct {
	Member   mesh.Member
	Claim    uint64 // orders the incarnations on one host
	Serial   uint64 // grows with each change
	Phase    Phase
	Instance string // start of the upstream
	Slots    int
	Stopping bool // the node takes no new work and ends soon
	Left     bool // the node has ended in order
	Demand   map[mesh.Workspace]float64
}

// newer reports whether r replaces the version named by claim and serial.
func (r *Record) newer(claim, serial uint64) bool {
	return r.Claim > claim || (r.Claim == claim && r.Serial > serial)
}

// AcceptsWork reports whether the node says that new work can be sent to it.
func (r *Record) AcceptsWork() bool { return r.Phase == Ready && !r.Stopping && !r.Left }

// entry is a record and when it was last known to be alive.
type entry struct {
	record Record
	beat   uint64
	heard  time.Duration // last newer record or beat
}

// Roster is the state. It is not safe for concurrent use.
type Roster struct {
	self     Record
	beat     uint64
	entries  map[mesh.Host]*entry // without the node itself
	random   *rand.Rand
	next     time.Duration
	version  uint64 // of the declaration held
	changed  bool
	synced   bool          // a peer or the store has told of other nodes
	heard    time.Duration // when a peer last sent anything
	outgoing []mesh.Outgoing
}

// New returns a roster that knows its own node only. claim should be larger
// than that of earlier incarnations on the host; where it is not, peers say so
// and the roster raises it.
func New(self mesh.Member, claim, seed uint64) *Roster {
	return &Roster{
		self:    Record{Member: self, Claim: claim, Serial: 1},
		entries: map[mesh.Host]*entry{},
		random:  rand.New(rand.NewPCG(seed, claim)),
	}
}

// Self returns the node's own record.
func (r *Roster) Self() Record { return r.self }

// Update changes the node's own record. Some nodes hear of it at once if urgent.
func (r *Roster) Update(urgent bool, change func(*Record)) {
	change(&r.self)
	r.self.Serial++
	if urgent {
		r.rumour(News{Records: []Record{r.self}})
	}
}

// SetDeclarationVersion sets the version of the declaration that the node holds. Some nodes
// hear of a newer one at once.
func (r *Roster) SetDeclarationVersion(version uint64) {
	if version <= r.version {
		return
	}
	r.version = version
	r.rumour(Digest{From: r.self.Member, Claim: r.self.Claim, Version: version})
}

// Synced reports whether the node has heard of the rest of the fleet.
func (r *Roster) Synced() bool { return r.synced }

// MarkSynced records that the store has listed the nodes.
func (r *Roster) MarkSynced() { r.synced = true }

// Isolated reports whether no peer has sent anything for longer than silentAfter: the
// nodes that this one knows may be gone, and the store may name others.
func (r *Roster) Isolated(now time.Duration) bool { return now-r.heard > silentAfter }

// Merge takes a record that the store holds. It may be old.
func (r *Roster) Merge(now time.Duration, rec Record) {
	r.take(now, rec)
}

// take merges a record and reports whether it says something new about where
// work can go.
func (r *Roster) take(now time.Duration, rec Record) bool {
	host := rec.Member.Node.Host
	if host == r.self.Member.Node.Host {
		r.defend(&rec)
		return false
	}
	e := r.entries[host]
	if e == nil {
		if rec.Left {
			return false
		}
		r.entries[host] = &entry{record: rec, heard: now}
		r.changed = true
		return true
	}
	if !rec.newer(e.record.Claim, e.record.Serial) {
		return false
	}
	old := e.record
	if rec.Claim != old.Claim {
		e.beat = 0
	}
	e.record, e.heard = rec, now
	material := old.AcceptsWork() != rec.AcceptsWork() || old.Member != rec.Member || old.Instance != rec.Instance || old.Slots != rec.Slots
	r.changed = r.changed || material
	return material
}

// defend raises the node's claim above that of another incarnation on its host.
func (r *Roster) defend(other *Record) {
	if other.Member.Node == r.self.Member.Node || other.Claim < r.self.Claim {
		return
	}
	r.self.Claim = other.Claim + 1
	r.self.Serial++
	r.rumour(News{Records: []Record{r.self}})
}

// Changed reports whether the set of usable nodes may have changed since the
// last call.
func (r *Roster) Changed() bool {
	c := r.changed
	r.changed = false
	return c
}

// Each calls f for every other node that is known, with the time since it was
// last known to be alive.
func (r *Roster) Each(now time.Duration, f func(rec *Record, silent time.Duration)) {
	for _, e := range r.entries {
		f(&e.record, now-e.heard)
	}
}

// Member returns how another node is reached.
func (r *Roster) Member(host mesh.Host) (mesh.Member, bool) {
	e := r.entries[host]
	if e == nil {
		return mesh.Member{}, false
	}
	return e.record.Member, true
}

// Len returns the number of nodes that have not left, the own one included.
func (r *Roster) Len() int {
	n := 1
	for _, e := range r.entries {
		if !e.record.Left {
			n++
		}
	}
	return n
}

// Members returns the nodes of a service to which work can be sent, the own one
// included. Silent nodes are left out while others remain.
func (r *Roster) Members(now time.Duration, service mesh.Service) []Record {
	var live, silent []Record
	if r.self.Member.Service == service && r.self.AcceptsWork() {
		live = append(live, r.self)
	}
	for _, e := range r.entries {
		if e.record.Member.Service != service || !e.record.AcceptsWork() {
			continue
		}
		if now-e.heard > silentAfter {
			silent = append(silent, e.record)
			continue
		}
		live = append(live, e.record)
	}
	if len(live) == 0 {
		live = silent
	}
	slices.SortFunc(live, func(a, b Record) int {
		return cmp.Compare(a.Member.Node.Host, b.Member.Node.Host)
	})
	return live
}

// Tick sends the digest of a round when it is due, and returns what is to be
// sent.
func (r *Roster) Tick(now time.Duration) []mesh.Outgoing {
	if now >= r.next {
		r.next = now + roundEvery*3/4 + time.Duration(r.random.Int64N(int64(roundEvery/2)))
		r.beat++
		r.forget(now)
		if to, ok := r.partner(); ok {
			r.send(to, r.digest())
		}
	}
	return r.Outgoing()
}

// Outgoing returns the messages that wait to be sent.
func (r *Roster) Outgoing() []mesh.Outgoing {
	out := r.outgoing
	r.outgoing = nil
	return out
}

func (r *Roster) forget(now time.Duration) {
	for host, e := range r.entries {
		age := now - e.heard
		if age > forgetAfter || (e.record.Left && age > leftFor) {
			delete(r.entries, host)
			r.changed = true
		} else if age > silentAfter && age <= silentAfter+2*roundEvery {
			r.changed = true
		}
	}
}

// partner picks the receiver of this round's digest.
func (r *Roster) partner() (mesh.Member, bool) {
	candidates := r.reachable()
	if len(candidates) == 0 {
		return mesh.Member{}, false
	}
	if r.random.Float64() >= strangerShare {
		candidates = r.ranked(candidates)
	}
	return candidates[r.random.IntN(len(candidates))], true
}

// ranked returns the partners of this node among the members.
func (r *Roster) ranked(members []mesh.Member) []mesh.Member {
	if len(members) <= partners {
		return members
	}
	mesh.RankMembers(string(r.self.Member.Node.Host), members)
	return members[:partners]
}

func (r *Roster) reachable() []mesh.Member {
	members := make([]mesh.Member, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.record.Left {
			members = append(members, e.record.Member)
		}
	}
	slices.SortFunc(members, func(a, b mesh.Member) int { return cmp.Compare(a.Node.Host, b.Node.Host) })
	return members
}

func (r *Roster) send(to mesh.Member, m mesh.Message) {
	r.outgoing = append(r.outgoing, mesh.Outgoing{To: to, Message: m})
}

// rumour tells some of the partners at once. Partners differ from node to node, so
// that a change spreads as fast as between any nodes, over connections that are open.
func (r *Roster) rumour(m mesh.Message) {
	candidates := r.ranked(r.reachable())
	r.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, to := range candidates[:min(rumourFanout, len(candidates))] {
		r.send(to, m)
	}
}

// Leave tells all partners that the node has ended in order.
func (r *Roster) Leave() []mesh.Outgoing {
	r.self.Left = true
	r.self.Serial++
	m := News{Records: []Record{r.self}}
	for _, to := range r.ranked(r.reachable()) {
		r.send(to, m)
	}
	return r.Outgoing()
}
