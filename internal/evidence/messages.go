package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// Deliver handles a control message: it answers a Probe and records an Answer.
// Other messages are ignored.
func (t *Tracker) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	switch m := m.(type) {
	case Probe:
		return append(out, mesh.Envelope{From: t.self, To: from, Message: t.newAnswer(now, from, m)})
	case Answer:
		t.handleAnswer(now, from, m)
	}
	return out
}

func (t *Tracker) newAnswer(now time.Duration, asker mesh.NodeID, p Probe) Answer {
	a := Answer{
		Asker: asker, Asked: p.Asked, Relay: p.Relay,
		Offset: t.knowledge.Offset, Pending: t.knowledge.Pending, Counted: t.Counted(),
	}
	if date := t.evidenceDate(); p.Relay && now < date+validFor {
		a.Fresh = true
		a.Age = max(0, now-date)
	}
	return a
}

func (t *Tracker) handleAnswer(now time.Duration, from mesh.NodeID, a Answer) {
	if a.Asker != t.self || a.Asked > now {
		return // not an answer to a probe of this incarnation; Asked is on another clock
	}
	r := report{date: a.Asked, offset: a.Offset, pending: a.Pending, node: from}
	if a.Relay {
		if a.Fresh {
			t.relayAnswered = true
			r.date -= a.Age + drift(a.Age)
			t.addReport(t.relay, r)
		}
		return
	}
	s := t.members[from.Host]
	if s == nil || !a.Counted {
		return
	}
	t.addReport(s, r)
	t.acknowledge(now, from.Host, a.Offset)
}

// Tick sends probes when they are due.
func (t *Tracker) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	t.updateWatches(now)
	if now < t.nextProbe {
		return out
	}
	t.nextProbe = now + t.cfg.ProbeInterval
	if len(t.relays) > 0 && slices.Contains(t.relays, t.self) {
		t.nextProbe = now + t.cfg.ProbeInterval*relayIntervalPercent/100
	}
	if now < t.log.date+noProbesAfterLogRead && !t.awaitsAcknowledgements() {
		return out
	}
	if t.shouldProbePanel(now) {
		return t.appendProbes(now, t.panelNodes(), false, out)
	}
	return t.appendProbes(now, t.relaysToProbe(), true, out)
}

// relaysToProbe returns one relay in round-robin order, or all relays if none has
// answered with fresh evidence since the previous call.
func (t *Tracker) relaysToProbe() []mesh.NodeID {
	answered := t.relayAnswered
	t.relayAnswered = false
	if !answered {
		return t.relays
	}
	t.lastRelay++
	i := t.lastRelay % len(t.relays)
	return t.relays[i : i+1]
}

// shouldProbePanel reports whether this node probes the panel itself: if it is a
// panel member or a relay, if it has no relays, while it waits for acknowledgements,
// or if its evidence is older than relayMaxAge.
func (t *Tracker) shouldProbePanel(now time.Duration) bool {
	if len(t.relays) == 0 || slices.Contains(t.relays, t.self) || t.members[t.self.Host] != nil {
		return true
	}
	return now > t.evidenceDate()+relayMaxAge || t.awaitsAcknowledgements()
}

func (t *Tracker) awaitsAcknowledgements() bool {
	for _, w := range t.watches {
		if w.majorityAt == never {
			return true
		}
	}
	return false
}

func (t *Tracker) appendProbes(now time.Duration, nodes []mesh.NodeID, relay bool, out []mesh.Envelope) []mesh.Envelope {
	for _, node := range nodes {
		if node.Host == t.self.Host {
			continue
		}
		out = append(out, mesh.Envelope{From: t.self, To: node, Message: Probe{Asked: now, Relay: relay}})
	}
	return out
}

// CatchUpSource returns a node that holds records or pending withdrawals which this
// node lacks, and from which it can fetch them. It considers relays and panel
// members, not the log itself.
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
