// Package evidence decides whether this node's knowledge of the log is current. A
// node that cannot read the log cannot distinguish an outage of the log, during
// which it must continue to serve, from its own isolation, during which it must
// stop. It therefore also collects confirmations from a majority of a panel of
// nodes, directly or through relays. A relay is a node that reports the age of its own
// evidence to other nodes, so that they need not probe the panel.
package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// FreshFor is how long evidence is valid, counted from the time at which the
	// request for it was sent.
	FreshFor = 3 * time.Second
	// MaxDriftPercent is the maximum difference in rate between two clocks.
	MaxDriftPercent = 1

	// relayMaxAge is the age of the best evidence above which a node that uses
	// relays probes the panel directly. A relay's evidence is up to one probe
	// interval old when it answers, and ages by up to one more until its next answer;
	// the limit is reached while the evidence is still valid.
	relayMaxAge = FreshFor * 3 / 4

	defaultProbeInterval = 500 * time.Millisecond
	maxUncoveredReports  = 4    // reports kept per source until this node catches up
	maxCoveredDigests    = 64   // digests kept of withdrawal sets that this node holds
	maxWatches           = 1024 // records whose acknowledgements are collected at once
	// noProbesAfterLogRead is how long probes pause after a read of the log, which is
	// itself evidence. They do not pause while acknowledgements are awaited. The rest
	// of FreshFor leaves time for a probe and its answer after the log becomes
	// unavailable.
	noProbesAfterLogRead = FreshFor * 3 / 5
	// relayIntervalPercent is the probe interval of relays in percent of
	// Config.ProbeInterval. The relays of a data centre probe the panel less often
	// than other nodes probe their relays, so that a panel of 19 nodes can answer
	// 54 relays within its share of the network bandwidth.
	relayIntervalPercent = 150
)

// never is the date of evidence that does not exist and of events that have not
// happened.
const never = time.Duration(-1 << 62)

// Panel is the set of nodes whose majority can confirm that knowledge is current.
type Panel struct {
	Epoch    uint64 // number of the panel; 0 before the first one
	Offset   uint64 // of the record that named the panel
	Members  []mesh.NodeID
	Previous []mesh.NodeID // until Settled, a majority of these is needed as well
	Settled  bool
}

// Knowledge describes the state that this node holds.
type Knowledge struct {
	Offset  uint64 // of the next log record to fold
	Pending uint64 // digest of pending withdrawals, 0 if there are none; see keys.Table.PendingDigest
	Counted bool   // the previous incarnation handed its state over in a planned stop
}

// Config sets the intervals of a Tracker.
type Config struct {
	ProbeInterval time.Duration // 500 ms if zero
}

// Probe requests a panel member's knowledge, or a relay's evidence.
type Probe struct {
	Asked time.Duration // sender's clock; returned in the answer
	Relay bool          // requests the evidence of a relay
}

// MessageName implements mesh.Message.
func (Probe) MessageName() string { return "probe" }

// Answer is the response to a Probe. It contains the sender's knowledge at the
// time of the answer.
type Answer struct {
	Asker   mesh.NodeID   // sender of the Probe, on whose clock Asked is
	Asked   time.Duration // Probe.Asked
	Offset  uint64
	Pending uint64
	Counted bool          // result of Tracker.Counted at the sender
	Relay   bool          // Probe.Relay
	Fresh   bool          // in a relay's answer: its evidence is fresh
	Age     time.Duration // in a relay's answer: age of its evidence
}

// MessageName implements mesh.Message.
func (Answer) MessageName() string { return "answer" }

func init() {
	mesh.RegisterMessage(Probe{})
	mesh.RegisterMessage(Answer{})
}

// report is the knowledge that a source held at date or later.
type report struct {
	date    time.Duration
	offset  uint64      // Knowledge.Offset of the source
	pending uint64      // Knowledge.Pending of the source; 0 for the log
	node    mesh.NodeID // sender of the answer; zero for the log
}

// source is an origin of evidence: the host of a panel member, the log or the
// relays.
type source struct {
	date      time.Duration // this node holds everything that the source held then
	uncovered []report      // reports of knowledge that this node does not hold yet
}

func newSource() *source { return &source{date: never} }

// watch collects the acknowledgements of one log record.
type watch struct {
	acked      map[mesh.Host]struct{}
	majorityAt time.Duration // when the majority became complete; never if it is not
}

// Tracker collects the evidence of one node. It is not safe for concurrent use.
type Tracker struct {
	self       mesh.NodeID
	cfg        Config
	panel      Panel
	relays     []mesh.NodeID // see SetRelays
	knowledge  Knowledge
	covered    []uint64 // digests of withdrawal sets that this node holds, oldest first
	readToHead bool     // the log was read to its head in this incarnation
	log        *source
	relay      *source
	// relayAnswered is true if a relay has answered with fresh evidence since the
	// last probe of a relay.
	relayAnswered bool
	members       map[mesh.Host]*source
	watches       map[uint64]*watch // by offset of the record
	nextProbe     time.Duration
	lastRelay     int // round-robin counter, see relaysToProbe
}

// New returns a Tracker without evidence.
func New(self mesh.NodeID, cfg Config) *Tracker {
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = defaultProbeInterval
	}
	return &Tracker{
		self: self, cfg: cfg, log: newSource(), relay: newSource(),
		members: make(map[mesh.Host]*source), watches: make(map[uint64]*watch),
	}
}

// SetPanel replaces the panel. The evidence of members that remain is kept.
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
	t.updateWatches(now)
}

// SetRelays sets the nodes whose evidence this node uses. If the list is empty or
// contains this node, this node probes the panel itself.
func (t *Tracker) SetRelays(relays []mesh.NodeID) { t.relays = relays }

// panelNodes returns the members of the panel and, until the panel is settled, the
// members of the previous one. It contains one entry per host, since a restarted
// member answers as a new incarnation on the same host.
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

// RecordLogRead records a read of the log. A read that was requested at askedAt and
// reached the head of the log at offset is evidence as soon as this node has folded
// all records below offset.
func (t *Tracker) RecordLogRead(askedAt time.Duration, toHead bool, offset uint64) {
	if !toHead {
		return
	}
	t.addReport(t.log, report{date: askedAt, offset: offset})
}

// SetKnowledge sets what this node has folded and holds. An offset below the
// current one is ignored, and Counted stays set.
func (t *Tracker) SetKnowledge(k Knowledge) {
	k.Offset = max(k.Offset, t.knowledge.Offset)
	k.Counted = k.Counted || t.knowledge.Counted
	t.knowledge = k
	t.acceptAllCovered()
}

// MarkCovered records that this node holds all withdrawals of the set with this
// digest, for example after it merged a peer's pending withdrawals.
func (t *Tracker) MarkCovered(digest uint64) {
	if slices.Contains(t.covered, digest) {
		return
	}
	if len(t.covered) == maxCoveredDigests {
		t.covered = slices.Delete(t.covered, 0, 1)
	}
	t.covered = append(t.covered, digest)
	t.acceptAllCovered()
}

// covers reports whether this node holds everything in the report.
func (t *Tracker) covers(r report) bool {
	if t.knowledge.Offset < r.offset {
		return false
	}
	return r.pending == 0 || r.pending == t.knowledge.Pending || slices.Contains(t.covered, r.pending)
}

// Counted reports whether this node's answers count towards a majority of the
// panel. After a restart it must first read the log to its head, unless its
// previous incarnation handed its state over. Catching up from other members is
// not enough: the previous incarnation may have acknowledged a record that none of
// them has.
func (t *Tracker) Counted() bool { return t.readToHead || t.knowledge.Counted }

// addReport adds a report to a source unless newer evidence from it exists.
func (t *Tracker) addReport(s *source, r report) {
	if r.date <= s.date {
		return
	}
	if len(s.uncovered) == maxUncoveredReports {
		// The oldest report is kept, since it is the first to be covered while
		// the log grows.
		s.uncovered = slices.Delete(s.uncovered, 1, 2)
	}
	s.uncovered = append(s.uncovered, r)
	t.acceptCovered(s)
}

// acceptCovered advances the date of a source to its newest report that this node
// covers, and removes the reports that are not newer.
func (t *Tracker) acceptCovered(s *source) {
	rest := s.uncovered[:0]
	for _, r := range s.uncovered {
		if !t.covers(r) {
			rest = append(rest, r)
			continue
		}
		s.date = max(s.date, r.date)
		if s == t.log {
			t.readToHead = true
		}
	}
	s.uncovered = slices.DeleteFunc(rest, func(r report) bool { return r.date <= s.date })
}

func (t *Tracker) acceptAllCovered() {
	t.acceptCovered(t.log)
	t.acceptCovered(t.relay)
	for _, s := range t.members {
		t.acceptCovered(s)
	}
}
