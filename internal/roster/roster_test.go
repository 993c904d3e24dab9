package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// net is a number of rosters that exchange messages in virtual time.
type net struct {
	now     time.Duration
	random  *rand.Rand
	rosters map[mesh.Host]*Roster
	down    map[mesh.Host]bool
	queue   []delivery
	sent    int
	links   map[[2]mesh.Host]bool // pairs that exchanged a message
	raw     map[mesh.Host]uint64  // version of the declaration held
}

type delivery struct {
	at      time.Duration
	to      mesh.Host
	message mesh.Message
}

func member(i int, incarnation uint64) mesh.Member {
	return mesh.Member{
		Node:    mesh.NodeID{Host: mesh.Host(fmt.Sprintf("host-%03d", i)), Incarnation: mesh.Incarnation(incarnation)},
		Service: "web", PeerAddress: fmt.Sprint(i),
	}
}

func newNet(nodes int, seed uint64) *net {
	n := &net{
		random: rand.New(rand.NewPCG(seed, 1)), rosters: map[mesh.Host]*Roster{}, down: map[mesh.Host]bool{}, raw: map[mesh.Host]uint64{},
		links: map[[2]mesh.Host]bool{},
	}
	for i := range nodes {
		m := member(i, 1)
		n.rosters[m.Node.Host] = New(m, 1000, seed+uint64(i))
	}
	return n
}

func (n *net) deliver(from mesh.Host, out []mesh.Outgoing) {
	for _, o := range out {
		n.sent++
		n.links[[2]mesh.Host{from, o.To.Node.Host}] = true
		if n.down[from] || n.down[o.To.Node.Host] {
			continue
		}
		n.queue = append(n.queue, delivery{n.now + time.Duration(1+n.random.IntN(5))*time.Millisecond, o.To.Node.Host, o.Message})
	}
}

func (n *net) run(length time.Duration) {
	for end := n.now + length; n.now < end; n.now += 10 * time.Millisecond {
		due := n.queue
		n.queue = nil
		for _, d := range due {
			if d.at > n.now {
				n.queue = append(n.queue, d)
				continue
			}
			r := n.rosters[d.to]
			if r == nil || n.down[d.to] {
				continue
			}
			if m, ok := d.message.(Declaration); ok {
				n.raw[d.to] = max(n.raw[d.to], m.Version)
				r.SetDeclarationVersion(m.Version)
			}
			if to, lacks := r.Deliver(n.now, d.message); lacks && n.raw[d.to] > 0 {
				n.deliver(d.to, []mesh.Outgoing{{To: to, Message: Declaration{Version: n.raw[d.to]}}})
			}
			n.deliver(d.to, r.Outgoing())
		}
		for host, r := range n.rosters {
			if !n.down[host] {
				n.deliver(host, r.Tick(n.now))
			}
		}
	}
}

// listed gives every roster the records that the store would list.
func (n *net) listed() {
	for _, r := range n.rosters {
		for _, other := range n.rosters {
			r.Merge(n.now, other.Self())
		}
	}
}

// A change of state must reach every node in well under the time in which a
// leaving upstream ends, without a message from each node to each other one.
func TestChangeReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 15, 88} {
		n := newNet(nodes, 1)
		n.listed()
		n.run(3 * time.Second)
		host := member(0, 1).Node.Host
		n.rosters[host].Update(true, func(r *Record) { r.Phase = Ready; r.Instance = "i-1" })
		n.deliver(host, n.rosters[host].Outgoing())
		n.sent = 0
		n.run(1500 * time.Millisecond)
		for h, r := range n.rosters {
			if got := len(r.Members(n.now, "web")); got != 1 {
				t.Errorf("%d nodes: %s knows %d ready nodes after 1.5 s, want 1", nodes, h, got)
			}
		}
		if most := nodes * 25; n.sent > most {
			t.Errorf("%d nodes: %d messages, want at most %d", nodes, n.sent, most)
		}
	}
}

// A node that hears of its peers must not ask the store for them again, since each
// call has a price; one that is cut off from them must.
func TestAlone(t *testing.T) {
	n := newNet(15, 4)
	n.listed()
	cut := member(3, 1).Node.Host
	for range 20 {
		n.run(time.Second)
		if n.now > silentAfter && n.rosters[cut].Isolated(n.now) {
			t.Fatalf("at %v a node among 14 others counts as alone", n.now)
		}
	}
	n.down[cut] = true
	n.run(silentAfter + time.Second)
	if !n.rosters[cut].Isolated(n.now) {
		t.Error("a node that hears of nobody does not count as alone")
	}
}

// Each node must keep connections to a few others only. With rumours to any node and
// a quarter of the rounds to strangers, each had one to every other node after a
// minute, which took a third of its memory at 62 nodes.
func TestFewLinks(t *testing.T) {
	const nodes = 88
	n := newNet(nodes, 3)
	n.listed()
	n.run(3 * time.Second)
	clear(n.links)
	for i := range 10 {
		r := n.rosters[member(i, 1).Node.Host]
		r.Update(true, func(r *Record) { r.Phase = Ready })
		n.deliver(r.Self().Member.Node.Host, r.Outgoing())
		n.run(time.Second)
	}
	// Eight partners of its own, as many that chose it, and in ten seconds two
	// strangers each way.
	if mean := float64(len(n.links)) / nodes; mean > 2*partners+4 {
		t.Errorf("a node sent to %.1f others in ten seconds, want at most %d", mean, 2*partners+4)
	}
}

// The store is away when a node restarts: its peers know its address and tell it
// of the fleet, also if its clock was stepped back.
func TestRestartWithoutTheStore(t *testing.T) {
	n := newNet(15, 2)
	n.listed()
	n.run(5 * time.Second)
	m := member(3, 2)
	n.rosters[m.Node.Host] = New(m, 400, 99) // an older claim than before
	n.rosters[m.Node.Host].Update(true, func(r *Record) { r.Phase = Ready })
	n.run(5 * time.Second)
	if got := n.rosters[m.Node.Host].Len(); got != 15 {
		t.Errorf("the restarted node knows %d nodes, want 15", got)
	}
	for h, r := range n.rosters {
		members := r.Members(n.now, "web")
		if len(members) != 1 || members[0].Member.Node.Incarnation != 2 {
			t.Errorf("%s does not know the new incarnation: %v", h, members)
		}
	}
}

// A node that is cut off from the store, but not from its peers, must get the
// declaration from them.
func TestDeclarationSpreads(t *testing.T) {
	n := newNet(88, 3)
	n.listed()
	n.run(2 * time.Second)
	host := member(7, 1).Node.Host
	n.raw[host] = 12
	n.rosters[host].SetDeclarationVersion(12)
	n.deliver(host, n.rosters[host].Outgoing())
	n.run(1500 * time.Millisecond)
	missing := 0
	for h := range n.rosters {
		if n.raw[h] != 12 {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of 88 nodes lack the declaration after 1.5 s", missing)
	}
}

// A dead node must not count as a place for work while others live; when all are
// silent, as seen from a node that is cut off, they are better than nothing.
func TestSilentNodes(t *testing.T) {
	n := newNet(5, 4)
	for _, r := range n.rosters {
		r.Update(false, func(r *Record) { r.Phase = Ready })
	}
	n.listed()
	n.run(2 * time.Second)
	dead := member(1, 1).Node.Host
	n.down[dead] = true
	n.run(6 * time.Second)
	r := n.rosters[member(0, 1).Node.Host]
	if got := len(r.Members(n.now, "web")); got != 4 {
		t.Errorf("%d nodes take work, want 4", got)
	}
	delete(n.down, dead)
	n.run(3 * time.Second)
	if got := len(r.Members(n.now, "web")); got != 5 {
		t.Errorf("%d nodes take work after the cut, want 5", got)
	}
}

// A node that ended in order is no place for work, and an old record of it that
// the store still holds does not bring it back.
func TestFarewell(t *testing.T) {
	n := newNet(5, 5)
	for _, r := range n.rosters {
		r.Update(false, func(r *Record) { r.Phase = Ready })
	}
	n.listed()
	n.run(2 * time.Second)
	host := member(2, 1).Node.Host
	old := n.rosters[host].Self()
	n.deliver(host, n.rosters[host].Leave())
	delete(n.rosters, host)
	n.run(2 * time.Second)
	for h, r := range n.rosters {
		r.Merge(n.now, old)
		if got := len(r.Members(n.now, "web")); got != 4 {
			t.Errorf("%s knows %d nodes that take work, want 4", h, got)
		}
	}
}
