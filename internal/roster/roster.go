// Package roster holds what one node knows about the other nodes: their addresses, the
// state of their upstreams, and the request rate of each workspace at each of them.
//
// There is no central list of nodes. A node publishes its address once, in the
// platform's store, and learns everything else from its peers by gossip. Each node has a
// few other nodes as its partners, most of them in its own data centre. In every round it
// sends a digest to one node, usually a partner. The digest has the same size in fleets of
// any size: it holds a hash of all records, and only if the hashes of two nodes differ do
// they compare versions, of the parts that differ. Changes are also sent to some partners
// at once, together with other changes of the same moment, so that they reach all nodes in
// a few rounds without a message between every pair of nodes.
//
// A node is found dead by those that send digests to it, since its partners are not told
// that it lives: after two digests that were not acknowledged, they tell the others that
// it is silent. A node that learns that it is taken for silent publishes a newer record.
//
// A node that starts while the store is unavailable still joins if its peers know its
// address, because they keep sending digests to it.
package roster

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
)

const (
	// digestInterval is the mean time between two digests of one node.
	digestInterval = 500 * time.Millisecond
	// localPartners and remotePartners are the numbers of nodes in the same and in other
	// data centres that a node chooses to exchange digests with. If its data centre has
	// fewer other nodes, the node has more partners elsewhere. The shortest path over
	// partners from a node to any of n nodes has about log(n)/log(partnerCount) hops.
	localPartners  = 4
	remotePartners = 2
	partnerCount   = localPartners + remotePartners
	// gossipFanout is the maximum number of partners that a change is sent to
	// immediately.
	gossipFanout = 3
	// silentPartnerShare is the fraction of rounds in which the digest goes to a partner
	// that is taken for silent, if there is one: it may have started again without access
	// to the store.
	silentPartnerShare = 0.25
	// randomPeerShare is the fraction of rounds in which the digest goes to any node that
	// is not silent instead of a partner, so that groups of nodes that have lost contact with
	// each other reconnect. Each such round keeps an additional connection open until
	// its idle timeout.
	randomPeerShare = 0.1
	// silentAfter is the time without contact to any peer after which a node counts itself
	// as isolated, and the silence of a node that has just been found silent.
	silentAfter = 4 * time.Second
	// forgottenAfter is the silence after which a node no longer counts as one of those among
	// which bounds of the fleet are divided.
	forgottenAfter = 10 * time.Second
	// removeAfter is the time after which a silent node is removed, and a node that only the
	// store lists and no peer knows.
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
	// Departure is that of the node's upstream, or of the one before it.
	Departure Departure `json:",omitzero"`
	// Capacity is the number of requests per second that the upstream takes while its host is
	// not slow; zero: not known, or the upstream does not report how slow its host is.
	Capacity float64 `json:",omitzero"`
	// Evacuated states that the operator has evacuated the node's data centre, so that the node
	// sends no request to its upstream. In all else the node takes part in the fleet.
	Evacuated bool `json:",omitempty"`
}

// seen returns the version of the record.
func (r *Record) seen(silent bool) Seen {
	return Seen{Host: r.Member.Node.Host, Claim: r.Claim, Serial: r.Serial, Silent: silent}
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

// AcceptsWork reports whether new work can be sent to the node, according to its
// record.
func (r *Record) AcceptsWork() bool {
	return r.Phase == Ready && !r.Stopping && !r.Left && !r.Evacuated
}

// Roster holds what one node knows about the fleet. It is not safe for concurrent use.
// Times are durations since the node was created.
type Roster struct {
	self                Record
	selfHash            uint64               // share of the own record in the hashes of its bucket
	entries             map[mesh.Host]*entry // other nodes only
	buckets             [bucketCount]uint64  // hashes of the records in each bucket
	random              *rand.Rand
	nextDigest          time.Duration // when the next digest is due
	declaration         declarationState
	evacuations         *evacuation.Set
	reads               readState
	changed             bool          // result of the next call of Changed
	synced              bool          // records from a peer or the store have arrived
	lastMessage         time.Duration // arrival of the last message from a peer
	lastAcknowledgement time.Duration // of a message, by any peer
	silencesSince       time.Duration // start of the window in which silences counts
	silences            int           // nodes found silent in the window
	partners            partnerSet    // valid while partnersKnown is set
	partnersKnown       bool
	nextPartner         int         // index of the partner that gets the next digest
	changedHosts        []mesh.Host // whose records are to be sent to some partners
	earlierDeparture    Departure   // returned by peers to this incarnation of the node
	outgoing            []mesh.Outgoing
}

// New returns a roster that knows only its own node. claim should be higher than that of
// all earlier incarnations on the host. If it is not, the roster raises it when the record
// of an earlier incarnation arrives.
func New(self mesh.Member, claim, seed uint64) *Roster {
	r := &Roster{
		self:    Record{Member: self, Claim: claim, Serial: 1},
		entries: map[mesh.Host]*entry{},
		random:  rand.New(rand.NewPCG(seed, claim)),

		evacuations: evacuation.New(),
	}
	r.rehashSelf()
	return r
}

// Self returns the node's own record.
func (r *Roster) Self() Record { return r.self }

// Update changes the node's own record. An urgent change is sent to some partners
// immediately; others spread with the digests.
func (r *Roster) Update(urgent bool, change func(*Record)) {
	change(&r.self)
	r.self.Serial++
	r.rehashSelf()
	if urgent {
		r.gossip(News{Records: []Record{r.self}})
	}
}

// Synced reports whether a peer has sent records or their versions, or MarkSynced was
// called. Before that, the roster cannot know the other nodes.
func (r *Roster) Synced() bool { return r.synced }

// MarkSynced is to be called once the records that the store lists have been merged.
func (r *Roster) MarkSynced() { r.synced = true }

// Merge adds a record from the store, unless a record of the host is known. Until a peer
// knows the node too, it is only sent digests: the store keeps the records of nodes that
// have gone.
func (r *Roster) Merge(now time.Duration, rec Record) {
	host := rec.Member.Node.Host
	if host == r.self.Member.Node.Host {
		r.raiseClaim(&rec)
		r.learnDeparture(&rec)
		return
	}
	e := r.entries[host]
	if e != nil && (e.confirmed || !e.record.seen(false).olderThan(rec.seen(false))) || e == nil && rec.Left {
		return
	}
	r.entries[host] = &entry{record: rec, since: now}
	r.changed, r.partnersKnown = true, false
}

// merge adds a record from a peer if it is newer than the known one, and reports whether it
// may change where work can be sent. A record of this node's own host is not added, but
// may raise the node's claim and return a departure.
func (r *Roster) merge(now time.Duration, rec Record) bool {
	host := rec.Member.Node.Host
	if host == r.self.Member.Node.Host {
		r.raiseClaim(&rec)
		r.learnDeparture(&rec)
		return false
	}
	e := r.entries[host]
	if e == nil {
		if rec.Left {
			return false
		}
		e = &entry{}
		r.entries[host] = e
	} else if e.confirmed && !e.seen().olderThan(rec.seen(false)) {
		return false
	}
	old := *e
	r.keepDeparture(e, &rec)
	if old.record.Claim != rec.Claim || !old.confirmed {
		e.patience = 0
	}
	e.record, e.confirmed, e.unknown, e.silent, e.since, e.failures = rec, true, false, false, now, 0
	r.rehash(e, now)
	if old.record.Member != rec.Member || old.silent || old.record.Left != rec.Left || !old.confirmed {
		r.partnersKnown = false
	}
	routingChanged := !old.confirmed || old.silent || old.record.AcceptsWork() != rec.AcceptsWork() || old.record.Member != rec.Member ||
		old.record.Instance != rec.Instance || old.record.Slots != rec.Slots
	r.changed = r.changed || routingChanged || old.record.Capacity != rec.Capacity
	return routingChanged
}

// raiseClaim raises the node's claim above that of another incarnation on the same
// host, unless it is higher already. Otherwise the other nodes would keep the record of
// that incarnation.
func (r *Roster) raiseClaim(other *Record) {
	if other.Member.Node == r.self.Member.Node || other.Claim < r.self.Claim {
		return
	}
	r.supersede(other.Claim+1, r.self.Serial+1)
}

// supersede publishes the node's own record with a higher version.
func (r *Roster) supersede(claim, serial uint64) {
	r.self.Claim, r.self.Serial = claim, serial
	r.rehashSelf()
	r.gossip(News{Records: []Record{r.self}})
}

// Changed reports whether the nodes to which work can be sent may have changed since
// the previous call.
func (r *Roster) Changed() bool {
	c := r.changed
	r.changed = false
	return c
}

// ForEachCounted calls f for every other node that counts, also for silent ones: a node that is
// cut off goes on using its share of the limits. silent is the time for which it has been silent.
func (r *Roster) ForEachCounted(now time.Duration, f func(rec *Record, silent time.Duration)) {
	for _, e := range r.entries {
		if e.counts(now) {
			f(&e.record, e.silence(now))
		}
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

// Len returns the number of nodes that count, including the node itself, without those that
// have been silent for longer than forgottenAfter.
func (r *Roster) Len(now time.Duration) int {
	n := 1
	for _, e := range r.entries {
		if e.counts(now) && e.silence(now) <= forgottenAfter {
			n++
		}
	}
	return n
}

// Members returns the nodes of a service to which work can be sent, including the
// node itself. Silent nodes and nodes that no peer knows are returned only if there are no
// others: to a node that has lost its connections, all others appear silent, and trying
// them is better than failing.
func (r *Roster) Members(now time.Duration, service mesh.Service) []Record {
	var live, doubtful []Record
	if r.self.Member.Service == service && r.self.AcceptsWork() && !r.evacuated(&r.self) {
		live = append(live, r.self)
	}
	for _, e := range r.entries {
		if e.record.Member.Service != service || !e.record.AcceptsWork() || r.evacuated(&e.record) {
			continue
		}
		if e.silent || !e.confirmed {
			doubtful = append(doubtful, e.record)
			continue
		}
		live = append(live, e.record)
	}
	if len(live) == 0 {
		live = doubtful
	}
	slices.SortFunc(live, func(a, b Record) int {
		return cmp.Compare(a.Member.Node.Host, b.Member.Node.Host)
	})
	return live
}

// Tick queues the changes since the last call, and the digest of a round when it is due,
// and returns the queued messages.
func (r *Roster) Tick(now time.Duration) []mesh.Outgoing {
	r.sendChanges()
	if now >= r.nextDigest {
		r.nextDigest = now + digestInterval*3/4 + time.Duration(r.random.Int64N(int64(digestInterval/2)))
		r.expire(now)
		if to, ok := r.chooseReceiver(now); ok {
			r.send(to, r.digest(now))
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

// expire removes the nodes that have been silent or unconfirmed for longer than
// removeAfter and those that left longer than leftRetention ago.
func (r *Roster) expire(now time.Duration) {
	for host, e := range r.entries {
		age := now - e.since
		switch {
		case (e.silent || !e.confirmed) && age > removeAfter, e.record.Left && age > leftRetention:
			r.buckets[bucketOf(host)] ^= e.hash
			delete(r.entries, host)
			r.changed, r.partnersKnown = true, false
		case e.silent && age > unlistedAfter && e.hash != 0:
			r.rehash(e, now)
		}
	}
}

func (r *Roster) send(to mesh.Member, m mesh.Message) {
	r.outgoing = append(r.outgoing, mesh.Outgoing{To: to, Message: m})
}

// Leave marks the node's own record as left and returns the queued messages, which now
// include one to every partner.
func (r *Roster) Leave() []mesh.Outgoing {
	r.self.Left = true
	r.self.Serial++
	r.rehashSelf()
	m := News{Records: []Record{r.self}}
	for _, to := range r.currentPartners().chosen {
		r.send(to, m)
	}
	return r.Outgoing()
}
