package membership

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// maxQueuedUpdates bounds the queue of updates; the oldest one is dropped.
	maxQueuedUpdates = 1024
	// updatesPerMessage limits a Spread to a few kilobytes.
	updatesPerMessage = 16
	// entriesPerRoster limits a Roster to about 40 kB.
	entriesPerRoster = 256
	// leaveFanout is the number of peers to which a stopping node sends its leave. It
	// exceeds DefaultFanout because the leave is sent only once.
	leaveFanout = 16
	// expectedChallengers is the expected number of nodes in the fleet that send a
	// challenge to a host with conflicting incarnations. The answer of the host
	// reaches the other nodes by gossip.
	expectedChallengers = 16
	// askRetryIntervals is the time to wait for a Roster before Ask is repeated, and
	// joinRepeatIntervals the time between repetitions of the node's own join. Both
	// are multiples of Config.Interval.
	askRetryIntervals   = 5
	joinRepeatIntervals = 50
)

// queuedUpdate is an update and the number of rounds in which it is still to be sent.
type queuedUpdate struct {
	update Update
	rounds int
}

// gossip is the state of the exchange with peers.
type gossip struct {
	logDown        bool
	queue          []queuedUpdate // oldest first
	nextRound      time.Duration
	nextRepeat     time.Duration // of the node's own join
	nextAsk        time.Duration
	nextCleanup    time.Duration // see removeUnconfirmed
	logUpSince     time.Duration // last Tick with the log unreachable
	cursor         int           // of the next part of the roster to request
	askedSeed      mesh.NodeID   // seed from which the roster is requested
	rosterComplete bool          // no further parts of a roster are needed
}

// SetLogDown sets whether the log is unreachable. Joins and leaves are forwarded from
// peer to peer only while it is; otherwise all nodes learn of them from the log.
func (d *Directory) SetLogDown(down bool) { d.gossip.logDown = down }

// Leave informs peers that this node stops and which node is its successor. They
// remove this node from their directories.
func (d *Directory) Leave(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	u := Update{Member: mesh.Member{Node: d.self.Node}, Left: true, Successor: successor}
	peers := d.randomPeers(leaveFanout)
	if !successor.IsZero() && !slices.Contains(peers, successor) {
		peers = append(peers, successor)
	}
	for _, peer := range peers {
		out = d.send(peer, Spread{Updates: []Update{u}}, out)
	}
	return out
}

// Deliver handles a control message. Messages of other packages are ignored.
func (d *Directory) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Spread:
		for _, u := range m.Updates {
			out = d.handleUpdate(now, from, u, out)
		}
	case Ask:
		out = d.send(from, d.rosterPart(m.Cursor), out)
	case Roster:
		out = d.handleRoster(now, from, m, out)
	}
	return out
}

// handleUpdate applies an update from a peer, and forwards it if it changed the
// directory and the log is unreachable.
func (d *Directory) handleUpdate(now time.Duration, from mesh.NodeID, u Update, out []mesh.Envelope) []mesh.Envelope {
	node := u.Member.Node
	if node.Host == d.self.Node.Host {
		return d.refute(from, u, out)
	}
	if u.Left {
		if d.removeNode(node, u.Successor) && d.gossip.logDown {
			d.enqueue(u)
		}
		return out
	}
	conflict, changed := d.applyJoin(now, u)
	if changed && d.gossip.logDown {
		d.enqueue(u)
	}
	if conflict && d.random.IntN(d.Len()) < expectedChallengers {
		out = d.challengeHost(node.Host, out)
	}
	return out
}

// challengeHost sends the join that this node considers current to the host, whichever
// incarnation runs there. If the running incarnation is a different one, it answers
// with a higher counter.
func (d *Directory) challengeHost(host mesh.Host, out []mesh.Envelope) []mesh.Envelope {
	index, known := d.byHost[host]
	if !known {
		return out
	}
	e := &d.entries[index]
	// At least 1, the counter with which each node starts, so that the answer exceeds it.
	claim := Update{Member: e.member, Counter: max(e.counter, 1)}
	return d.send(mesh.NodeID{Host: host}, Spread{Updates: []Update{claim}}, out)
}

// applyJoin applies a join from a peer. conflict is true if the directory contained
// another incarnation of the host, with a counter not higher than that of the join, and
// neither is known to have ended. changed is true if the directory was changed.
func (d *Directory) applyJoin(now time.Duration, u Update) (conflict, changed bool) {
	if _, departed := d.departed[u.Member.Node]; departed || u.Member.Node.Incarnation == 0 {
		return false, false
	}
	index, known := d.byHost[u.Member.Node.Host]
	if !known {
		return false, d.insert(entry{member: u.Member, counter: u.Counter, learnedAt: now})
	}
	e := &d.entries[index]
	if e.member.Node == u.Member.Node {
		changed = u.Counter > e.counter
		e.counter = max(e.counter, u.Counter)
		return false, changed
	}
	if supersedes(u, e) {
		d.replace(index, u.Member, u.Counter, now)
		return true, true
	}
	return u.Counter == e.counter, false
}

// supersedes reports whether the join in u takes precedence over e, which holds another
// incarnation of the same host: the higher counter wins, then the higher incarnation.
func supersedes(u Update, e *entry) bool {
	if u.Counter != e.counter {
		return u.Counter > e.counter
	}
	return u.Member.Node.Incarnation > e.member.Node.Incarnation
}

// refute answers an update that names another incarnation on this node's host. A host
// runs one node at a time, so the other incarnation has ended; this node raises its
// join counter above the other one's and sends its own join.
func (d *Directory) refute(from mesh.NodeID, u Update, out []mesh.Envelope) []mesh.Envelope {
	if u.Member.Node == d.self.Node || u.Left {
		return out
	}
	own := &d.entries[d.byHost[d.self.Node.Host]]
	own.counter = max(own.counter, u.Counter+1)
	d.enqueue(d.ownJoin())
	return d.send(from, Spread{Updates: []Update{d.ownJoin()}}, out)
}

func (d *Directory) ownJoin() Update {
	return Update{Member: d.self, Counter: d.entries[d.byHost[d.self.Node.Host]].counter}
}

// enqueue queues an update for the next rounds. It replaces a queued update of the
// same kind for the same host.
func (d *Directory) enqueue(u Update) {
	same := func(q queuedUpdate) bool {
		return q.update.Member.Node.Host == u.Member.Node.Host && q.update.Left == u.Left
	}
	d.gossip.queue = slices.DeleteFunc(d.gossip.queue, same)
	d.gossip.queue = append(d.gossip.queue, queuedUpdate{u, d.cfg.RoundsPerUpdate})
	if len(d.gossip.queue) > maxQueuedUpdates {
		d.gossip.queue = slices.Delete(d.gossip.queue, 0, 1)
	}
}

// rosterPart returns a part of the directory. The cursor is the index of an entry.
func (d *Directory) rosterPart(cursor int) Roster {
	var r Roster
	for i := max(cursor, 0); i < len(d.entries); i++ {
		if len(r.Updates) == entriesPerRoster {
			r.Next = i
			break
		}
		if e := &d.entries[i]; e.used() {
			r.Updates = append(r.Updates, Update{Member: e.member, Counter: e.counter})
		}
	}
	return r
}

// handleRoster applies a part of a peer's directory and requests the next one.
func (d *Directory) handleRoster(now time.Duration, from mesh.NodeID, r Roster, out []mesh.Envelope) []mesh.Envelope {
	for _, u := range r.Updates {
		if u.Member.Node.Host == d.self.Node.Host {
			out = d.refute(from, u, out)
			continue
		}
		if conflict, _ := d.applyJoin(now, u); conflict {
			out = d.challengeHost(u.Member.Node.Host, out)
		}
	}
	if d.gossip.askedSeed.Host == "" {
		d.gossip.askedSeed = from // the seed was configured with its address only
	}
	if d.gossip.rosterComplete || from.Host != d.gossip.askedSeed.Host {
		return out
	}
	if r.Next <= d.gossip.cursor { // the last part, or a duplicate
		d.gossip.rosterComplete = r.Next == 0
		return out
	}
	d.gossip.cursor = r.Next
	return d.sendAsk(now, out)
}

// Tick sends the messages that are due and removes members that the log has not
// confirmed in time.
func (d *Directory) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	g := &d.gossip
	if !g.logDown && d.Len() > 1 {
		g.rosterComplete = true // the log provides the members
	}
	if !g.rosterComplete && now >= g.nextAsk {
		out = d.askSeed(now, out)
	}
	if g.logDown && now >= g.nextRepeat {
		g.nextRepeat = now + joinRepeatIntervals*d.cfg.Interval
		d.repeatJoin()
	}
	if now >= g.nextRound {
		g.nextRound = now + d.cfg.Interval
		out = d.sendRound(out)
	}
	d.removeUnconfirmed(now)
	return out
}

// repeatJoin queues this node's own join unless the log contains it.
func (d *Directory) repeatJoin() {
	if !d.entries[d.byHost[d.self.Node.Host]].inLog() {
		d.enqueue(d.ownJoin())
	}
}

// askSeed requests the directory from a random seed. Each repetition starts at the
// beginning, because the order of entries differs between seeds.
func (d *Directory) askSeed(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	seeds := d.cfg.Seeds
	if len(seeds) == 0 {
		d.gossip.rosterComplete = true
		return out
	}
	d.gossip.askedSeed = seeds[d.random.IntN(len(seeds))].Node
	d.gossip.cursor = 0
	if d.gossip.askedSeed.Host == d.self.Node.Host {
		return out
	}
	out = d.send(d.gossip.askedSeed, Spread{Updates: []Update{d.ownJoin()}}, out)
	return d.sendAsk(now, out)
}

// sendAsk requests the part of the roster at the cursor.
func (d *Directory) sendAsk(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	d.gossip.nextAsk = now + askRetryIntervals*d.cfg.Interval
	return d.send(d.gossip.askedSeed, Ask{Cursor: d.gossip.cursor}, out)
}

// sendRound sends the oldest queued updates to Config.Fanout random peers.
func (d *Directory) sendRound(out []mesh.Envelope) []mesh.Envelope {
	g := &d.gossip
	n := min(len(g.queue), updatesPerMessage)
	if n == 0 {
		return out
	}
	updates := make([]Update, n)
	for i := range updates {
		updates[i] = g.queue[i].update
		g.queue[i].rounds--
	}
	g.queue = slices.DeleteFunc(g.queue, func(q queuedUpdate) bool { return q.rounds <= 0 })
	for _, peer := range d.randomPeers(d.cfg.Fanout) {
		out = d.send(peer, Spread{Updates: updates}, out)
	}
	return out
}

// randomPeers returns up to n distinct members other than this node.
func (d *Directory) randomPeers(n int) []mesh.NodeID {
	n = min(n, d.Len()-1)
	chosen := make([]mesh.NodeID, 0, max(n, 0))
	for len(chosen) < n {
		peer := d.entries[d.random.IntN(len(d.entries))].member.Node
		if peer.IsZero() || peer == d.self.Node || slices.Contains(chosen, peer) {
			continue
		}
		chosen = append(chosen, peer)
	}
	return chosen
}

// removeUnconfirmed removes members that are known only from peers, once the log has
// been reachable for Config.UnconfirmedTTL.
func (d *Directory) removeUnconfirmed(now time.Duration) {
	g := &d.gossip
	if g.logDown {
		g.logUpSince = now
		return
	}
	if now-g.logUpSince < d.cfg.UnconfirmedTTL || now < g.nextCleanup {
		return
	}
	g.nextCleanup = now + d.cfg.UnconfirmedTTL/4
	for i := range d.entries {
		e := &d.entries[i]
		if e.used() && e.member.Node != d.self.Node && !e.inLog() && now-e.learnedAt >= d.cfg.UnconfirmedTTL {
			d.remove(int32(i))
		}
	}
}

func (d *Directory) send(to mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	return append(out, mesh.Envelope{From: d.self.Node, To: to, Message: m})
}
