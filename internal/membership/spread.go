package membership

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// maxRumors bounds the updates waiting to be told; the oldest is dropped.
	maxRumors = 1024
	// updatesPerMessage keeps a Spread within a few kilobytes.
	updatesPerMessage = 16
	// entriesPerRoster keeps a Roster within about 40 kB.
	entriesPerRoster = 256
	// leaveFanout is how many peers a stopping node tells; it has one attempt.
	leaveFanout = 16
	// challengers is about how many nodes of the fleet question a host whose
	// incarnation changed without the log; its answer then spreads to all.
	challengers = 16
	// askEvery and repeatEvery are in intervals: the wait for a Roster before the
	// question is repeated, and between repetitions of the node's own join.
	askEvery    = 5
	repeatEvery = 50
)

// rumor is an update that is still to be told in some rounds.
type rumor struct {
	update Update
	rounds int
}

// spread is the state of the exchange with peers.
type spread struct {
	logDown    bool
	rumors     []rumor
	nextRound  time.Duration
	nextRepeat time.Duration
	nextAsk    time.Duration
	nextForget time.Duration
	upSince    time.Duration
	cursor     int
	asked      mesh.NodeID
	synced     bool
}

// SetLogDown says whether the log is out of reach. Only then are joins and
// leaves spread among peers; while it is in reach, it tells everyone.
func (d *Directory) SetLogDown(down bool) { d.spread.logDown = down }

// Leave tells peers that this node stops and who its successor is. The node must
// not send anything afterwards.
func (d *Directory) Leave(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	u := Update{Member: mesh.Member{Node: d.self.Node}, Left: true, Successor: successor}
	peers := d.peers(leaveFanout)
	if !successor.IsZero() && !slices.Contains(peers, successor) {
		peers = append(peers, successor)
	}
	for _, peer := range peers {
		out = d.send(peer, Spread{Updates: []Update{u}}, out)
	}
	return out
}

// Deliver takes a control message.
func (d *Directory) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Spread:
		for _, u := range m.Updates {
			out = d.heard(now, from, u, out)
		}
	case Ask:
		out = d.send(from, d.roster(m.Cursor), out)
	case Roster:
		out = d.rostered(now, from, m, out)
	}
	return out
}

// heard applies an update told by a peer, and passes it on if it was news.
func (d *Directory) heard(now time.Duration, from mesh.NodeID, u Update, out []mesh.Envelope) []mesh.Envelope {
	node := u.Member.Node
	if node.Host == d.self.Node.Host {
		return d.refute(from, u, out)
	}
	if u.Left {
		if d.leave(node, u.Successor) && d.spread.logDown {
			d.tell(u)
		}
		return out
	}
	conflict, news := d.join(now, u)
	if news && d.spread.logDown {
		d.tell(u)
	}
	if conflict && d.random.IntN(d.Len()) < challengers {
		out = d.challenge(node.Host, out)
	}
	return out
}

// challenge sends the current claim to whichever incarnation runs on the host. If
// it is another one, it answers with a higher counter.
func (d *Directory) challenge(host mesh.Host, out []mesh.Envelope) []mesh.Envelope {
	index, known := d.hosts[host]
	if !known {
		return out
	}
	e := &d.entries[index]
	claim := Update{Member: e.member, Counter: max(e.counter, 1)}
	return d.send(mesh.NodeID{Host: host}, Spread{Updates: []Update{claim}}, out)
}

// join applies a join. conflict is true if it meets another incarnation of its
// host and neither is known to have ended.
func (d *Directory) join(now time.Duration, u Update) (conflict, news bool) {
	if _, departed := d.left[u.Member.Node]; departed || u.Member.Node.Incarnation == 0 {
		return false, false
	}
	index, known := d.hosts[u.Member.Node.Host]
	if !known {
		return false, d.insert(entry{member: u.Member, counter: u.Counter, since: now})
	}
	e := &d.entries[index]
	if e.member.Node == u.Member.Node {
		news = u.Counter > e.counter
		e.counter = max(e.counter, u.Counter)
		return false, news
	}
	if newer(u, e) {
		d.replace(index, u.Member, u.Counter, now)
		return true, true
	}
	return u.Counter == e.counter, false
}

// newer orders two incarnations on one host that the log does not order.
func newer(u Update, e *entry) bool {
	if u.Counter != e.counter {
		return u.Counter > e.counter
	}
	return u.Member.Node.Incarnation > e.member.Node.Incarnation
}

// refute raises this node's join counter above that of another incarnation on
// its host: a host runs one node, so the other one has ended.
func (d *Directory) refute(from mesh.NodeID, u Update, out []mesh.Envelope) []mesh.Envelope {
	if u.Member.Node == d.self.Node || u.Left {
		return out
	}
	own := &d.entries[d.hosts[d.self.Node.Host]]
	own.counter = max(own.counter, u.Counter+1)
	d.tell(d.ownJoin())
	return d.send(from, Spread{Updates: []Update{d.ownJoin()}}, out)
}

func (d *Directory) ownJoin() Update {
	return Update{Member: d.self, Counter: d.entries[d.hosts[d.self.Node.Host]].counter}
}

// tell queues an update; a newer one about the same host replaces a queued one.
func (d *Directory) tell(u Update) {
	same := func(r rumor) bool {
		return r.update.Member.Node.Host == u.Member.Node.Host && r.update.Left == u.Left
	}
	d.spread.rumors = slices.DeleteFunc(d.spread.rumors, same)
	d.spread.rumors = append(d.spread.rumors, rumor{u, d.cfg.RoundsPerUpdate})
	if len(d.spread.rumors) > maxRumors {
		d.spread.rumors = slices.Delete(d.spread.rumors, 0, 1)
	}
}

// roster returns a part of the directory. The cursor is the index of an entry.
func (d *Directory) roster(cursor int) Roster {
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

// rostered applies a part of a peer's directory and asks for the next one.
func (d *Directory) rostered(now time.Duration, from mesh.NodeID, r Roster, out []mesh.Envelope) []mesh.Envelope {
	for _, u := range r.Updates {
		if u.Member.Node.Host == d.self.Node.Host {
			out = d.refute(from, u, out)
			continue
		}
		if conflict, _ := d.join(now, u); conflict {
			out = d.challenge(u.Member.Node.Host, out)
		}
	}
	if d.spread.asked.Host == "" {
		d.spread.asked = from // a seed known by its address alone
	}
	if d.spread.synced || from.Host != d.spread.asked.Host {
		return out
	}
	if r.Next <= d.spread.cursor {
		d.spread.synced = r.Next == 0
		return out
	}
	d.spread.cursor = r.Next
	return d.ask(now, out)
}

// Tick sends what is due.
func (d *Directory) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	s := &d.spread
	if !s.logDown && d.Len() > 1 {
		s.synced = true
	}
	if !s.synced && now >= s.nextAsk {
		out = d.askSeed(now, out)
	}
	if s.logDown && now >= s.nextRepeat {
		s.nextRepeat = now + repeatEvery*d.cfg.Interval
		d.repeatJoin()
	}
	if now >= s.nextRound {
		s.nextRound = now + d.cfg.Interval
		out = d.round(out)
	}
	d.forget(now)
	return out
}

// repeatJoin tells peers about this node while the log does not name it.
func (d *Directory) repeatJoin() {
	if !d.entries[d.hosts[d.self.Node.Host]].inLog() {
		d.tell(d.ownJoin())
	}
}

// askSeed asks the seeds in turn; each repetition starts over, since another seed
// orders its directory differently.
func (d *Directory) askSeed(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	seeds := d.cfg.Seeds
	if len(seeds) == 0 {
		d.spread.synced = true
		return out
	}
	d.spread.asked = seeds[d.random.IntN(len(seeds))].Node
	d.spread.cursor = 0
	if d.spread.asked.Host == d.self.Node.Host {
		return out
	}
	out = d.send(d.spread.asked, Spread{Updates: []Update{d.ownJoin()}}, out)
	return d.ask(now, out)
}

func (d *Directory) ask(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	d.spread.nextAsk = now + askEvery*d.cfg.Interval
	return d.send(d.spread.asked, Ask{Cursor: d.spread.cursor}, out)
}

// round tells the oldest queued updates to a few random peers.
func (d *Directory) round(out []mesh.Envelope) []mesh.Envelope {
	s := &d.spread
	n := min(len(s.rumors), updatesPerMessage)
	if n == 0 {
		return out
	}
	updates := make([]Update, n)
	for i := range updates {
		updates[i] = s.rumors[i].update
		s.rumors[i].rounds--
	}
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.rounds <= 0 })
	for _, peer := range d.peers(d.cfg.Fanout) {
		out = d.send(peer, Spread{Updates: updates}, out)
	}
	return out
}

// peers returns up to n different members other than this node, at random.
func (d *Directory) peers(n int) []mesh.NodeID {
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

// forget drops members that are known only from peers, once the log has been in
// reach for Config.Unfolded.
func (d *Directory) forget(now time.Duration) {
	s := &d.spread
	if s.logDown {
		s.upSince = now
		return
	}
	if now-s.upSince < d.cfg.UnconfirmedTTL || now < s.nextForget {
		return
	}
	s.nextForget = now + d.cfg.UnconfirmedTTL/4
	for i := range d.entries {
		e := &d.entries[i]
		if e.used() && e.member.Node != d.self.Node && !e.inLog() && now-e.since >= d.cfg.UnconfirmedTTL {
			d.remove(int32(i))
		}
	}
}

func (d *Directory) send(to mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	return append(out, mesh.Envelope{From: d.self.Node, To: to, Message: m})
}
