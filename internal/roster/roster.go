// Package roster holds what one node knows about the other nodes: their addresses, the
// state of their upstreams, and the request rate of each workspace at each of them.
//
// There is no central list of nodes. A node publishes its address once, in the
// platform's store, and learns everything else from its peers by gossip. Each node has a
// few other nodes as its partners. In every round it sends a digest of the versions it
// knows to one node, usually a partner, which replies with newer records. Changes of
// state are also sent to some partners immediately, so that they reach all nodes in a few
// rounds without a message between every pair of nodes. A node that starts while the
// store is unavailable still joins if its peers know its address, because they keep
// sending digests to it.
package roster

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

const (
	// digestInterval is the mean time between two digests of one node.
	digestInterval = 500 * time.Millisecond
	// partnerCount is the number of nodes that a node chooses to exchange digests
	// with. The shortest path over partners from a node to any of n nodes has about
	// log(n)/log(partnerCount) hops.
	partnerCount = 8
	// gossipFanout is the maximum number of partners that a change is sent to
	// immediately.
	gossipFanout = 3
	// randomPeerShare is the fraction of rounds in which the digest goes to any known
	// node instead of a partner, so that groups of nodes that have lost contact with
	// each other reconnect. Each such round keeps an additional connection open until
	// its idle timeout.
	randomPeerShare = 0.1
	// silentAfter is the time without a newer heartbeat after which a node is
	// considered silent. It is eight digest rounds long, so that a heartbeat can reach
	// all nodes within it.
	silentAfter = 4 * time.Second
	// removeAfter is the time without a newer heartbeat after which a node is removed.
	removeAfter = 60 * time.Second
	// leftRetention is how long the record of a node that has left is kept, so that
	// an older record still in transit does not add the node again.
	leftRetention = 30 * time.Second
)

// Phase is the state of a node's upstream with regard to new work.
type Phase uint8

// The phases.
const (
	Absent  Phase = iota // the upstream is not known, silent or refuses connections
	Ready                // accepts new work
	Leaving              // accepts no new work
)

// Record is the state that a node publishes about itself. A record with a higher
// claim replaces one with a lower claim; within a claim, the higher serial wins.
type Record struct {
	Member   mesh.Member
	Claim    uint64 // orders the incarnations on one host
	Serial   uint64 // incremented with each change
	Phase    Phase
	Instance string                     // usually identifies one start of the upstream
	Slots    int                        // requests that the upstream can run at the same time
	Limited  bool                       // the upstream names a limit on its requests per second
	Stopping bool                       // the node accepts no new work and shuts down soon
	Left     bool                       // the node has shut down cleanly
	Demand   map[mesh.Workspace]float64 // requests per second that arrive at the node
}

// maxClaim bounds the claims that are accepted of records. Claims are times in Unix
// milliseconds or follow others by one, so a larger one is not that of a node.
const maxClaim = 1 << 62

// Check returns an error if the record cannot be that of a node: other writers may leave
// records at the same place.
func (r *Record) Check() error {
	m := r.Member
	address, err := netip.ParseAddrPort(m.PeerAddress)
	switch {
	case m.Node.Host == "" || m.Node.IsZero():
		return errors.New("the record names no node")
	case err != nil:
		return errors.Wrapf(err, "peer address of %s", m.Node.Host)
	case address.Port() == 0:
		return errors.Errorf("peer address %q of %s has no port", m.PeerAddress, m.Node.Host)
	case r.Claim > maxClaim:
		return errors.Errorf("claim %d of %s is too large", r.Claim, m.Node.Host)
	case r.Slots < 0:
		return errors.Errorf("%s has %d slots", m.Node.Host, r.Slots)
	}
	return nil
}

// newer reports whether r is newer than the version given by claim and serial.
func (r *Record) newer(claim, serial uint64) bool {
	return r.Claim > claim || (r.Claim == claim && r.Serial > serial)
}

// AcceptsWork reports whether new work can be sent to the node, according to its
// record.
func (r *Record) AcceptsWork() bool { return r.Phase == Ready && !r.Stopping && !r.Left }

// entry is the record of another node and the time at which it was last known to be
// alive.
type entry struct {
	record    Record
	heartbeat uint64        // highest known heartbeat counter of the record's incarnation
	lastAlive time.Duration // arrival of the last newer record or heartbeat
}

// Roster holds what one node knows about the fleet. It is not safe for concurrent use.
// Times are durations since the node was created.
type Roster struct {
	self               Record
	heartbeat          uint64               // incremented in every digest round
	entries            map[mesh.Host]*entry // other nodes only
	random             *rand.Rand
	nextDigest         time.Duration // when the next digest is due
	declarationVersion uint64        // zero if the node has no declaration
	changed            bool          // result of the next call of Changed
	synced             bool          // records from a peer or the store have arrived
	lastMessage        time.Duration // arrival of the last message from a peer
	outgoing           []mesh.Outgoing
}

// New returns a roster that knows only its own node. claim should be higher than that of
// all earlier incarnations on the host. If it is not, the roster raises it when the record
// of an earlier incarnation arrives.
func New(self mesh.Member, claim, seed uint64) *Roster {
	return &Roster{
		self:    Record{Member: self, Claim: claim, Serial: 1},
		entries: map[mesh.Host]*entry{},
		random:  rand.New(rand.NewPCG(seed, claim)),
	}
}

// Self returns the node's own record.
func (r *Roster) Self() Record { return r.self }

// Update changes the node's own record. An urgent change is sent to some partners
// immediately; others spread with the digests.
func (r *Roster) Update(urgent bool, change func(*Record)) {
	change(&r.self)
	r.self.Serial++
	if urgent {
		r.gossip(News{Records: []Record{r.self}})
	}
}

// SetDeclarationVersion sets the version of the declaration that the node holds. A
// newer version is announced to some partners immediately; an older one is ignored.
func (r *Roster) SetDeclarationVersion(version uint64) {
	if version <= r.declarationVersion {
		return
	}
	r.declarationVersion = version
	r.gossip(Digest{From: r.self.Member, Claim: r.self.Claim, Version: version})
}

// Synced reports whether a peer has sent records or their versions, or MarkSynced was
// called. Before that, the roster cannot know the other nodes.
func (r *Roster) Synced() bool { return r.synced }

// MarkSynced is to be called once the records that the store lists have been merged.
func (r *Roster) MarkSynced() { r.synced = true }

// Isolated reports whether no message from a peer has arrived for longer than
// silentAfter. The known nodes may then have shut down, and the store may list others.
func (r *Roster) Isolated(now time.Duration) bool { return now-r.lastMessage > silentAfter }

// Merge adds a record from the store. It ignores a record that is not newer than the
// known one.
func (r *Roster) Merge(now time.Duration, rec Record) {
	r.merge(now, rec)
}

// merge adds a record if it is newer than the known one, and reports whether it may
// change where work can be sent. A record of this node's own host is not added, but
// may raise the node's claim.
func (r *Roster) merge(now time.Duration, rec Record) bool {
	host := rec.Member.Node.Host
	if host == r.self.Member.Node.Host {
		r.raiseClaim(&rec)
		return false
	}
	e := r.entries[host]
	if e == nil {
		if rec.Left {
			return false
		}
		r.entries[host] = &entry{record: rec, lastAlive: now}
		r.changed = true
		return true
	}
	if !rec.newer(e.record.Claim, e.record.Serial) {
		return false
	}
	old := e.record
	if rec.Claim != old.Claim {
		e.heartbeat = 0
	}
	e.record, e.lastAlive = rec, now
	routingChanged := old.AcceptsWork() != rec.AcceptsWork() || old.Member != rec.Member || old.Instance != rec.Instance || old.Slots != rec.Slots
	r.changed = r.changed || routingChanged
	return routingChanged
}

// raiseClaim raises the node's claim above that of another incarnation on the same
// host, unless it is higher already. Otherwise the other nodes would keep the record of
// that incarnation.
func (r *Roster) raiseClaim(other *Record) {
	if other.Member.Node == r.self.Member.Node || other.Claim < r.self.Claim {
		return
	}
	r.self.Claim = other.Claim + 1
	r.self.Serial++
	r.gossip(News{Records: []Record{r.self}})
}

// Changed reports whether the nodes to which work can be sent may have changed since
// the previous call.
func (r *Roster) Changed() bool {
	c := r.changed
	r.changed = false
	return c
}

// ForEach calls f for every other known node, including those that have left. silent is
// the time since the node was last known to be alive.
func (r *Roster) ForEach(now time.Duration, f func(rec *Record, silent time.Duration)) {
	for _, e := range r.entries {
		f(&e.record, now-e.lastAlive)
	}
}

// Member returns the identity and the addresses of another node.
func (r *Roster) Member(host mesh.Host) (mesh.Member, bool) {
	e := r.entries[host]
	if e == nil {
		return mesh.Member{}, false
	}
	return e.record.Member, true
}

// Len returns the number of nodes that have not left, including the node itself.
func (r *Roster) Len() int {
	n := 1
	for _, e := range r.entries {
		if !e.record.Left {
			n++
		}
	}
	return n
}

// Members returns the nodes of a service to which work can be sent, including the
// node itself. Silent nodes are returned only if there are no others: to a node
// that has lost its connections, all others appear silent, and trying them is better
// than failing.
func (r *Roster) Members(now time.Duration, service mesh.Service) []Record {
	var live, silent []Record
	if r.self.Member.Service == service && r.self.AcceptsWork() {
		live = append(live, r.self)
	}
	for _, e := range r.entries {
		if e.record.Member.Service != service || !e.record.AcceptsWork() {
			continue
		}
		if now-e.lastAlive > silentAfter {
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

// Tick queues the digest of a round when it is due, and returns the queued messages.
func (r *Roster) Tick(now time.Duration) []mesh.Outgoing {
	if now >= r.nextDigest {
		r.nextDigest = now + digestInterval*3/4 + time.Duration(r.random.Int64N(int64(digestInterval/2)))
		r.heartbeat++
		r.expire(now)
		if to, ok := r.chooseReceiver(); ok {
			r.send(to, r.digest())
		}
	}
	return r.Outgoing()
}

// Outgoing returns the queued messages and empties the queue.
func (r *Roster) Outgoing() []mesh.Outgoing {
	out := r.outgoing
	r.outgoing = nil
	return out
}

// expire removes the nodes that have been silent for longer than removeAfter and those
// that left longer than leftRetention ago. It sets the changed flag when a node is
// removed or has just become silent.
func (r *Roster) expire(now time.Duration) {
	for host, e := range r.entries {
		age := now - e.lastAlive
		if age > removeAfter || (e.record.Left && age > leftRetention) {
			delete(r.entries, host)
			r.changed = true
		} else if age > silentAfter && age <= silentAfter+2*digestInterval {
			// No round is as long as this interval, so at least one call of expire falls into it.
			r.changed = true
		}
	}
}

// chooseReceiver returns the node that receives the digest of this round: mostly a
// partner, sometimes any node. It returns false if no other node is known.
func (r *Roster) chooseReceiver() (mesh.Member, bool) {
	candidates := r.activeMembers()
	if len(candidates) == 0 {
		return mesh.Member{}, false
	}
	if r.random.Float64() >= randomPeerShare {
		candidates = r.partners(candidates)
	}
	return candidates[r.random.IntN(len(candidates))], true
}

// partners returns the partners of this node: the partnerCount members with the highest
// rendezvous scores for its host. It may reorder members.
func (r *Roster) partners(members []mesh.Member) []mesh.Member {
	if len(members) <= partnerCount {
		return members
	}
	mesh.RankMembers(string(r.self.Member.Node.Host), members)
	return members[:partnerCount]
}

// activeMembers returns the other nodes that have not left, sorted by host.
func (r *Roster) activeMembers() []mesh.Member {
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

// gossip queues a message to up to gossipFanout random partners. The partners differ from
// node to node, so a change spreads as fast as with random receivers, but over connections
// that are already open.
func (r *Roster) gossip(m mesh.Message) {
	candidates := r.partners(r.activeMembers())
	r.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, to := range candidates[:min(gossipFanout, len(candidates))] {
		r.send(to, m)
	}
}

// Leave marks the node's own record as left and returns the queued messages, which now
// include one to every partner.
func (r *Roster) Leave() []mesh.Outgoing {
	r.self.Left = true
	r.self.Serial++
	m := News{Records: []Record{r.self}}
	for _, to := range r.partners(r.activeMembers()) {
		r.send(to, m)
	}
	return r.Outgoing()
}
