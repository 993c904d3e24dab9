package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// Deliver takes a Probe or an Answer. Messages of other packages are ignored.
func (t *Tracker) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Probe:
		return append(out, mesh.Envelope{From: t.self, To: from, Message: t.answer(now, from, m)})
	case Answer:
		t.take(now, from, m)
	}
	return out
}

func (t *Tracker) answer(now time.Duration, asker mesh.NodeID, p Probe) Answer {
	a := Answer{
		Asker: asker, Asked: p.Asked, Relay: p.Relay,
		Offset: t.known.Offset, Pending: t.known.Pending, Counted: t.Counted(),
	}
	if date := t.date(); p.Relay && now < date+usable {
		a.Fresh = true
		a.Age = max(0, now-date)
	}
	return a
}

func (t *Tracker) take(now time.Duration, from mesh.NodeID, a Answer) {
	if a.Asker != t.self || a.Asked > now {
		return // asked by an earlier incarnation, whose clock differs
	}
	c := claim{at: a.Asked, offset: a.Offset, pending: a.Pending, node: from}
	if a.Relay {
		if a.Fresh {
			t.relayAnswered = true
			c.at -= a.Age + drift(a.Age)
			t.add(t.relay, c)
		}
		return
	}
	s := t.members[from.Host]
	if s == nil || !a.Counted {
		return
	}
	t.add(s, c)
	t.acknowledge(now, from.Host, a.Offset)
}

// Tick sends probes when they are due.
func (t *Tracker) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	t.recount(now)
	if now < t.nextProbe {
		return out
	}
	t.nextProbe = now + t.cfg.ProbeInterval
	if len(t.relays) > 0 && slices.Contains(t.relays, t.self) {
		t.nextProbe = now + t.cfg.ProbeInterval*relayInterval/100
	}
	if now < t.log.at+logPatience && !t.awaitsAcknowledgements() {
		return out
	}
	if t.probesPanel(now) {
		return t.probe(now, t.panelNodes(), false, out)
	}
	return t.probe(now, t.nextRelays(), true, out)
}

// nextRelays returns one relay, each in its turn, or all of them if the last
// one has not answered.
func (t *Tracker) nextRelays() []mesh.NodeID {
	answered := t.relayAnswered
	t.relayAnswered = false
	if !answered {
		return t.relays
	}
	t.turn++
	i := t.turn % len(t.relays)
	return t.relays[i : i+1]
}

// probesPanel reports whether this node asks the panel itself: as a member, as
// a relay, while it awaits acknowledgements, or when the relays fail it.
func (t *Tracker) probesPanel(now time.Duration) bool {
	if len(t.relays) == 0 || slices.Contains(t.relays, t.self) || t.members[t.self.Host] != nil {
		return true
	}
	return now > t.date()+relayPatience || t.awaitsAcknowledgements()
}

func (t *Tracker) awaitsAcknowledgements() bool {
	for _, w := range t.watches {
		if w.reached == never {
			return true
		}
	}
	return false
}

func (t *Tracker) probe(now time.Duration, nodes []mesh.NodeID, relay bool, out []mesh.Envelope) []mesh.Envelope {
	for _, node := range nodes {
		if node.Host == t.self.Host {
			continue
		}
		out = append(out, mesh.Envelope{From: t.self, To: node, Message: Probe{Asked: now, Relay: relay}})
	}
	return out
}

// CatchUpSource returns a node that knows more than this one, to fetch records and
// pending withdrawals from. The log itself is no such node.
func (t *Tracker) CatchUpSource() (mesh.NodeID, bool) {
	if len(t.relay.uncovered) > 0 {
		return t.relay.uncovered[len(t.relay.uncovered)-1].node, true
	}
	for _, node := range t.panelNodes() {
		s := t.members[node.Host]
		if s != nil && len(s.uncovered) > 0 {
			return s.uncovered[len(s.uncovered)-1].node, true
		}
	}
	return mesh.NodeID{}, false
}
