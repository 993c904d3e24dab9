package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// network simulates rosters that exchange messages in virtual time.
type network struct {
	now     time.Duration
	random  *rand.Rand
	rosters map[mesh.Host]*Roster
	down    map[mesh.Host]bool    // hosts that neither send nor receive messages
	queue   []delivery            // messages in transit
	sent    int                   // messages, including lost ones
	links   map[[2]mesh.Host]bool // sender and receiver of each message sent
	// silentLinks are those whose connection is silent, with the time at which it is replaced;
	// zero until the sender has found that out.
	silentLinks  map[[2]mesh.Host]time.Duration
	declarations map[mesh.Host]uint64 // version of the declaration that each host holds
	isCut        func(a, b mesh.Host) bool
	onSend       func(from mesh.Host, o mesh.Outgoing)
	onStep       func()
}

// delivery is a message in transit and the time at which it arrives. A message without
// receiver is lost, and its sender learns so at that time.
type delivery struct {
	at      time.Duration
	from    mesh.NodeID
	to      mesh.NodeID
	lost    bool
	message mesh.Message
}

// ackTimeout is how long a sender waits for the acknowledgement of a message.
const ackTimeout = 2 * time.Second

func member(i int, incarnation uint64) mesh.Member {
	return mesh.Member{
		Node:    mesh.NodeID{Host: mesh.Host(fmt.Sprintf("host-%03d", i)), Incarnation: mesh.Incarnation(incarnation)},
		Service: "web", PeerAddress: fmt.Sprint(i),
	}
}

func newNetwork(nodes int, seed uint64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 1)), rosters: map[mesh.Host]*Roster{}, down: map[mesh.Host]bool{}, declarations: map[mesh.Host]uint64{},
		links: map[[2]mesh.Host]bool{}, silentLinks: map[[2]mesh.Host]time.Duration{},
	}
	for i := range nodes {
		m := member(i, 1)
		n.rosters[m.Node.Host] = New(m, 1000, seed+uint64(i)) // 1000 is the claim, which orders the incarnations on one host
	}
	return n
}

// send puts messages in transit for 1 to 5 ms. Messages from or to hosts that are down
// are lost.
func (n *network) send(from mesh.Host, out []mesh.Outgoing) {
	for _, o := range out {
		n.sent++
		if n.onSend != nil {
			n.onSend(from, o)
		}
		n.links[[2]mesh.Host{from, o.To.Node.Host}] = true
		d := delivery{n.now + time.Duration(1+n.random.IntN(5))*time.Millisecond, n.rosters[from].Self().Member.Node, o.To.Node, false, o.Message}
		d.at = max(d.at, n.replaced(from, o.To.Node.Host))
		if n.cut(from, o.To.Node.Host) {
			d.at, d.lost = n.now+ackTimeout, true
		}
		n.queue = append(n.queue, d)
	}
}

// replaced returns the time at which the connection between two hosts carries messages, if it
// is silent. A host that finds one of its connections silent replaces all that may be.
func (n *network) replaced(from, to mesh.Host) time.Duration {
	if at, silent := n.silentLinks[[2]mesh.Host{from, to}]; !silent || at > 0 {
		return at
	}
	for link, at := range n.silentLinks {
		if link[0] == from && at == 0 {
			n.silentLinks[link] = n.now + replaceTime
		}
	}
	return n.now + replaceTime
}

// run advances the virtual time by length, in steps of 10 ms.
func (n *network) run(length time.Duration) {
	for end := n.now + length; n.now < end; n.now += 10 * time.Millisecond {
		due := n.queue
		n.queue = nil
		for _, d := range due {
			if d.at > n.now {
				n.queue = append(n.queue, d)
				continue
			}
			sender, r := n.rosters[d.from.Host], n.rosters[d.to.Host]
			if sender != nil && sender.Self().Member.Node == d.from {
				if d.lost || r == nil || n.cut(d.from.Host, d.to.Host) {
					sender.RecordUnreachable(n.now, d.to)
					n.send(d.from.Host, sender.Outgoing())
				} else {
					sender.RecordAcknowledged(n.now, d.to)
				}
			}
			if d.lost || r == nil || n.cut(d.from.Host, d.to.Host) {
				continue
			}
			if m, ok := d.message.(Declaration); ok {
				n.declarations[d.to.Host] = max(n.declarations[d.to.Host], m.Version)
				r.SetDeclarationVersion(n.now, m.Version)
			}
			if to, sendDeclaration := r.Deliver(n.now, d.from, d.message); sendDeclaration && n.declarations[d.to.Host] > 0 {
				n.send(d.to.Host, []mesh.Outgoing{{To: to, Message: Declaration{Version: n.declarations[d.to.Host]}}})
			}
			n.send(d.to.Host, r.Outgoing())
		}
		for host, r := range n.rosters {
			if !n.down[host] && n.now%(50*time.Millisecond) == 0 {
				n.send(host, r.Tick(n.now))
			}
		}
		if n.onStep != nil {
			n.onStep()
		}
	}
}

// cut reports whether messages between two hosts are lost.
func (n *network) cut(a, b mesh.Host) bool {
	return n.down[a] || n.down[b] || n.rosters[b] == nil || n.isCut != nil && n.isCut(a, b)
}

// mergeFromStore merges the records of all nodes into every roster, as if each had listed
// the nodes in the store.
func (n *network) mergeFromStore() {
	for _, r := range n.rosters {
		for _, other := range n.rosters {
			r.Merge(n.now, other.Self())
		}
	}
}

// A change of state must reach every node well before a draining upstream stops, without
// a message between every pair of nodes.
func TestChangeReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 15, 88} {
		n := newNetwork(nodes, 1)
		n.mergeFromStore()
		n.run(3 * time.Second)
		host := member(0, 1).Node.Host
		n.rosters[host].Update(true /* urgent */, func(r *Record) { r.Phase = Ready; r.Instance = "i-1" })
		n.send(host, n.rosters[host].Outgoing())
		n.sent = 0
		n.run(1500 * time.Millisecond)
		for h, r := range n.rosters {
			if got := len(r.Members(n.now, "web")); got != 1 {
				t.Errorf("%d nodes: %s knows %d ready nodes after 1.5 s, want 1", nodes, h, got)
			}
		}
		// With 88 nodes, a message to every other node would be 87 messages per node.
		if limit := nodes * 25; n.sent > limit {
			t.Errorf("%d nodes: %d messages, want at most %d", nodes, n.sent, limit)
		}
	}
}

// A node must be reported as isolated only if it receives no messages from its peers:
// isolated nodes list the nodes in the store again, and store calls are costly.
func TestIsolated(t *testing.T) {
	n := newNetwork(15, 4)
	n.mergeFromStore()
	isolated := member(3, 1).Node.Host
	for range 20 {
		n.run(time.Second)
		if n.now > silentAfter && n.rosters[isolated].Isolated(n.now) {
			t.Fatalf("at %v a node that exchanges messages with 14 others is reported as isolated", n.now)
		}
	}
	n.down[isolated] = true
	n.run(silentAfter + time.Second)
	if !n.rosters[isolated].Isolated(n.now) {
		t.Error("a node that receives no messages is not reported as isolated")
	}
}

// Each node must keep connections to only a few others. If changes went to arbitrary
// nodes and a quarter of the digests to random nodes, each node would have a connection
// to every other one after a minute. With 62 nodes, the connections take a third of the
// memory of a node.
func TestFewLinks(t *testing.T) {
	const nodes = 88
	n := newNetwork(nodes, 3)
	n.mergeFromStore()
	n.run(3 * time.Second)
	clear(n.links)
	for i := range 10 {
		r := n.rosters[member(i, 1).Node.Host]
		r.Update(true /* urgent */, func(r *Record) { r.Phase = Ready })
		n.send(r.Self().Member.Node.Host, r.Outgoing())
		n.run(time.Second)
	}
	// A node has partnerCount partners of its own, as many that chose it, and in ten
	// seconds about two random peers in each direction.
	if mean := float64(len(n.links)) / nodes; mean > 2*partnerCount+4 {
		t.Errorf("a node sent messages to %.1f others in ten seconds, want at most %d", mean, 2*partnerCount+4)
	}
}

// A node that restarts while the store is unavailable must learn of all nodes from its
// peers, which know its address. This must work even if its clock was set back and its
// claim is therefore lower than before.
func TestRestartWithoutTheStore(t *testing.T) {
	n := newNetwork(15, 2)
	n.mergeFromStore()
	n.run(5 * time.Second)
	m := member(3, 2)
	n.rosters[m.Node.Host] = New(m, 400, 99) // lower than the previous claim
	n.rosters[m.Node.Host].Update(true /* urgent */, func(r *Record) { r.Phase = Ready })
	n.run(5 * time.Second)
	if got := n.rosters[m.Node.Host].Len(n.now); got != 15 {
		t.Errorf("the restarted node knows %d nodes, want 15", got)
	}
	for h, r := range n.rosters {
		members := r.Members(n.now, "web")
		if len(members) != 1 || members[0].Member.Node.Incarnation != 2 {
			t.Errorf("%s knows the ready nodes %v, want only incarnation 2 of the restarted node", h, members)
		}
	}
}

// A node that cannot reach the store must get the declaration from its peers.
func TestDeclarationSpreads(t *testing.T) {
	n := newNetwork(88, 3)
	n.mergeFromStore()
	n.run(2 * time.Second)
	host := member(7, 1).Node.Host
	n.declarations[host] = 12
	n.rosters[host].SetDeclarationVersion(n.now, 12)
	n.send(host, n.rosters[host].Outgoing())
	n.run(1500 * time.Millisecond)
	missing := 0
	for h := range n.rosters {
		if n.declarations[h] != 12 {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of 88 nodes lack version 12 of the declaration after 1.5 s, want 0", missing)
	}
}

// Work must not be sent to a dead node while others are alive, and must be sent to it
// again once its heartbeats return.
func TestSilentNodesGetNoWork(t *testing.T) {
	n := newNetwork(5, 4)
	for _, r := range n.rosters {
		r.Update(false /* urgent */, func(r *Record) { r.Phase = Ready })
	}
	n.mergeFromStore()
	n.run(2 * time.Second)
	dead := member(1, 1).Node.Host
	n.down[dead] = true
	n.run(6 * time.Second) // longer than silentAfter
	r := n.rosters[member(0, 1).Node.Host]
	if got := len(r.Members(n.now, "web")); got != 4 {
		t.Errorf("%d nodes accept work while one of 5 is unreachable, want 4", got)
	}
	delete(n.down, dead)
	n.run(3 * time.Second)
	if got := len(r.Members(n.now, "web")); got != 5 {
		t.Errorf("%d nodes accept work after the node is reachable again, want 5", got)
	}
}

// A node that has left must receive no work, and its old record, which the store still
// holds, must not add it again.
func TestLeave(t *testing.T) {
	n := newNetwork(5, 5)
	for _, r := range n.rosters {
		r.Update(false /* urgent */, func(r *Record) { r.Phase = Ready })
	}
	n.mergeFromStore()
	n.run(2 * time.Second)
	host := member(2, 1).Node.Host
	old := n.rosters[host].Self()
	n.send(host, n.rosters[host].Leave())
	delete(n.rosters, host)
	n.run(2 * time.Second)
	for h, r := range n.rosters {
		r.Merge(n.now, old)
		if got := len(r.Members(n.now, "web")); got != 4 {
			t.Errorf("%s knows %d nodes that accept work, want 4", h, got)
		}
	}
}

// While a fleet is updated, nodes of the version before, whose digests list all records and
// whose nodes count as silent without a growing heartbeat, must find the updated nodes alive,
// and the updated nodes must learn their records.
func TestDigestOfAnEarlierVersion(t *testing.T) {
	r := New(member(0, 1), 1000, 1)
	old := member(1, 1)
	digest := Digest{From: old, Claim: 7, Entries: []Seen{{Host: old.Node.Host, Claim: 7, Serial: 3, Beat: 12}}}
	beat := uint64(0)
	for now := time.Second; now < 4*time.Second; now += time.Second {
		r.Deliver(now, old.Node, digest)
		asked, told := false, false
		for _, o := range r.Outgoing() {
			switch m := o.Message.(type) {
			case Ask:
				asked = len(m.Hosts) == 1 && m.Hosts[0] == old.Node.Host
			case Digest:
				for _, s := range m.Entries {
					told = told || s.Host == member(0, 1).Node.Host && s.Claim == 1000 && s.Beat > beat
					beat = s.Beat
				}
			}
		}
		if !asked || !told {
			t.Errorf("at %v the record is asked for: %v, a higher heartbeat is told: %v; want both", now, asked, told)
		}
	}
	r.Deliver(4*time.Second, old.Node, News{Records: []Record{{Member: old, Claim: 7, Serial: 3, Phase: Ready}}})
	if got := len(r.Members(4*time.Second, "web")); got != 1 {
		t.Errorf("%d nodes accept work, want the one of the earlier version", got)
	}
}
