// Package evidence decides whether this node's knowledge of the log is
// current. It exists because a node that hears nothing from the log cannot
// tell an outage of the log, in which it must go on, from its own isolation,
// in which it must stop.
package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// FreshFor is F: how long evidence counts after the request it answers.
	FreshFor = 3 * time.Second
	// MaxDriftPercent bounds how far two clocks drift apart over FreshFor.
	MaxDriftPercent = 1

	// A relay's evidence is up to one interval old, and so is the answer that
	// brought it; beyond this age the panel is asked while evidence still holds.
	relayPatience = FreshFor * 3 / 4

	defaultProbeEvery = 500 * time.Millisecond
	maxUncovered      = 4  // answers per member kept until this node catches up
	maxCovered        = 64 // digests of withdrawal sets known to be held here
	maxWatches        = 1024
	// While the log answers, its own evidence is enough and nobody is probed. The
	// rest of FreshFor is for a probe and its answer after the log goes down.
	logPatience = FreshFor * 3 / 5
	// Relays of a data centre ask the panel less often than other nodes ask their
	// relays, in percent of the interval, so that a panel of 19 answers 54 of them
	// within its share of the network.
	relayInterval = 150
)

const never = time.Duration(-1 << 62)

// Panel is the set of nodes whose majority shows that knowledge is current.
type Panel struct {
	Epoch    uint64
	Offset   uint64 // of the record that named the panel
	Members  []mesh.NodeID
	Previous []mesh.NodeID // until Settled, a majority of these is needed too
	Settled  bool
}

// Knowledge is what this node knows.
type Knowledge struct {
	Offset  uint64 // next offset to fold
	Pending uint64 // digest of pending withdrawals, see keys.Table.PendingDigest
	Counted bool   // the previous incarnation handed its knowledge over in a planned stop
}

// Config sets the intervals of a Tracker.
type Config struct {
	ProbeEvery time.Duration // 500 ms if zero
}

// Probe asks for a member's knowledge, or for a relay's evidence.
type Probe struct {
	Asked time.Duration // asker's clock, echoed in the answer
	Relay bool
}

// MessageName implements mesh.Message.
func (Probe) MessageName() string { return "probe" }

// Answer carries the sender's knowledge at the time it answered.
type Answer struct {
	Asker   mesh.NodeID // to which Asked belongs
	Asked   time.Duration
	Offset  uint64
	Pending uint64
	Counted bool
	Relay   bool
	Fresh   bool          // a relay's evidence is fresh
	Age     time.Duration // of a relay's evidence
}

// MessageName implements mesh.Message.
func (Answer) MessageName() string { return "answer" }

func init() {
	mesh.RegisterMessage(Probe{})
	mesh.RegisterMessage(Answer{})
}

// claim is knowledge that somebody had not before the date at.
type claim struct {
	at      time.Duration
	offset  uint64
	pending uint64
	node    mesh.NodeID
}

// source is one origin of evidence: a member's host, the log or a relay.
type source struct {
	at        time.Duration // this node holds everything the source knew then
	uncovered []claim
}

func newSource() *source { return &source{at: never} }

type watch struct {
	acked   map[mesh.Host]struct{}
	reached time.Duration // when the majority was complete; never if it is not
}

// Tracker keeps the dates of evidence of one node. It is not safe for
// concurrent use.
type Tracker struct {
	self     mesh.NodeID
	cfg      Config
	panel    Panel
	relays   []mesh.NodeID
	known    Knowledge
	covered  []uint64
	readHead bool // the log was read to its head in this incarnation
	log      *source
	relay    *source
	// relayAnswered is set when a relay with fresh evidence answers.
	relayAnswered bool
	members       map[mesh.Host]*source
	watches       map[uint64]*watch
	nextProbe     time.Duration
	turn          int
}

// New returns a tracker without evidence.
func New(self mesh.NodeID, cfg Config) *Tracker {
	if cfg.ProbeEvery == 0 {
		cfg.ProbeEvery = defaultProbeEvery
	}
	return &Tracker{
		self: self, cfg: cfg, log: newSource(), relay: newSource(),
		members: make(map[mesh.Host]*source), watches: make(map[uint64]*watch),
	}
}

// SetPanel replaces the panel. Dates of members that stay are kept.
func (t *Tracker) SetPanel(now time.Duration, p Panel) {
	t.panel = p
	kept := make(map[mesh.Host]*source)
	for _, node := range t.panelNodes() {
		kept[node.Host] = t.members[node.Host]
		if kept[node.Host] == nil {
			kept[node.Host] = newSource()
		}
	}
	t.members = kept
	t.recount(now)
}

// SetRelays names nodes that pass on their evidence. If it is empty or holds
// this node, this node probes the panel itself.
func (t *Tracker) SetRelays(relays []mesh.NodeID) { t.relays = relays }

// panelNodes returns the members that count, without duplicates of a host. A
// restarted member answers under a new incarnation on the same host.
func (t *Tracker) panelNodes() []mesh.NodeID {
	nodes := slices.Clone(t.panel.Members)
	if t.panel.Settled {
		return nodes
	}
	for _, node := range t.panel.Previous {
		same := func(n mesh.NodeID) bool { return n.Host == node.Host }
		if !slices.ContainsFunc(nodes, same) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// LogRead notes that records were read from the log. A read that was asked at
// askedAt and reached the head at offset is evidence once offset is folded.
func (t *Tracker) LogRead(askedAt time.Duration, toHead bool, offset uint64) {
	if !toHead {
		return
	}
	t.add(t.log, claim{at: askedAt, offset: offset})
}

// SetKnowledge states what this node has folded and holds. Offsets never move back.
func (t *Tracker) SetKnowledge(k Knowledge) {
	k.Offset = max(k.Offset, t.known.Offset)
	k.Counted = k.Counted || t.known.Counted
	t.known = k
	t.promoteAll()
}

// Covers notes that this node holds every withdrawal of a set with this
// digest, as after merging a peer's pending withdrawals.
func (t *Tracker) Covers(digest uint64) {
	if slices.Contains(t.covered, digest) {
		return
	}
	if len(t.covered) == maxCovered {
		t.covered = slices.Delete(t.covered, 0, 1)
	}
	t.covered = append(t.covered, digest)
	t.promoteAll()
}

func (t *Tracker) holds(c claim) bool {
	if t.known.Offset < c.offset {
		return false
	}
	return c.pending == 0 || c.pending == t.known.Pending || slices.Contains(t.covered, c.pending)
}

// Counted reports whether this node counts as a panel member. Catching up from
// other members is not enough after a restart: the previous incarnation may
// have acknowledged a record that none of them has.
func (t *Tracker) Counted() bool { return t.readHead || t.known.Counted }

func (t *Tracker) add(s *source, c claim) {
	if c.at <= s.at {
		return
	}
	if len(s.uncovered) == maxUncovered {
		// The oldest is kept: it is covered first while the log moves on.
		s.uncovered = slices.Delete(s.uncovered, 1, 2)
	}
	s.uncovered = append(s.uncovered, c)
	t.promote(s)
}

func (t *Tracker) promote(s *source) {
	rest := s.uncovered[:0]
	for _, c := range s.uncovered {
		if !t.holds(c) {
			rest = append(rest, c)
			continue
		}
		s.at = max(s.at, c.at)
		if s == t.log {
			t.readHead = true
		}
	}
	s.uncovered = slices.DeleteFunc(rest, func(c claim) bool { return c.at <= s.at })
}

func (t *Tracker) promoteAll() {
	t.promote(t.log)
	t.promote(t.relay)
	for _, s := range t.members {
		t.promote(s)
	}
}
