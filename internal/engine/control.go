package engine

import (
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/membership"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/quota"
	"cardamomhatch/internal/timeline"
)

// Intervals of the control plane.
const (
	controlInterval = 50 * time.Millisecond
	spreadInterval  = 200 * time.Millisecond
	assignInterval  = 500 * time.Millisecond
	// assignCheckInterval is how often assignments are checked when nothing has
	// changed, in case the node that should have acted has not.
	assignCheckInterval = 5 * time.Second
	unreachableAfter    = 10 * time.Second
)

// maxKeptRecords bounds the records kept for peers that are behind; a peer that
// is further behind gets a snapshot.
const maxKeptRecords = 1024

// control is the state of the control plane that belongs to no other slice.
type control struct {
	gap         bool // the log has truncated records that this node has not folded
	logDown     bool
	atHead      bool // the log was read to its head in this incarnation
	kept        []logservice.Record
	applied     uint64        // offset up to which the slices follow the configuration
	relayed     bool          // in a large fleet; learns of the log from relays
	folded      []mesh.Member // members of the log as last passed on
	mesh        *declaration.Mesh
	workspaces  int // number of workspaces whose shares were applied
	nextControl time.Duration
	nextSpread  time.Duration
	nextAssign  time.Duration
	nextFetch   time.Duration
	fetchTurn   int  // member that was asked last
	assignDirty bool // the assignments may need a change
	assignCheck time.Duration
	snapshots   snapshots
	probePanel  time.Duration // when the panel is asked for its status again
	proposals   map[string]*proposal
	tasks       map[string]string // token of the proposal of an assignment task
	withdrawals map[keys.ID]*withdrawal
	status      map[mesh.NodeID]MemberStatus
	drains      map[string]*drain             // by token
	unreachable map[mesh.NodeID]time.Duration // since when
	watched     map[uint64]bool               // offsets of share records that wait to be in force
	fresh       bool
	freshUntil  time.Duration // as of the last change of the evidence

	nextWithdrawal time.Duration

	// Planned stop.
	successor   mesh.NodeID
	stopBy      time.Duration
	handedOver  bool
	handoverBy  time.Duration
	lingerUntil time.Duration // zero until this node has left
}

func newControl() control {
	return control{
		proposals:   make(map[string]*proposal),
		tasks:       make(map[string]string),
		withdrawals: make(map[keys.ID]*withdrawal),
		status:      make(map[mesh.NodeID]MemberStatus),
		drains:      make(map[string]*drain),
		unreachable: make(map[mesh.NodeID]time.Duration),
	}
}

func (n *Node) stepControl(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		n.tick(now)
	case *MessageReceived:
		n.deliver(now, ev.Envelope)
	case *PeerUnreachable:
		n.peerUnreachable(now, ev.Node)
	case *LogRead:
		n.logRead(now, ev)
	case *LogReadFailed:
		n.logFailed(ev)
	case *SnapshotRead:
		n.restore(now, ev.Data)
	case *AppendEnded:
		n.appendEnded(now, ev)
	case *RecordProposed:
		n.propose(now, ev.Token, ev.Data, true)
	case *KeyWithdrawalRequested:
		n.withdraw(now, keys.ID(ev.ID))
	case *UpstreamAnnounced:
		n.announced(now, ev)
	case *LocalDrainRequested:
		n.drainLocal(now)
	case *NodeDrainRequested:
		n.drainAsked(now, ev)
	case *StatusRequested:
		n.askStatus(ev.Beyond)
	case *StopRequested:
		n.stop(now)
	}
}

// LogOffset returns the offset at which the shell reads the config stream.
func (n *Node) LogOffset() uint64 { return n.state.Offset() }

func (n *Node) tick(now time.Duration) {
	n.expire(now)
	n.pump(now)
	n.envelopes = n.quota.Tick(now, n.envelopes)
	if now >= n.control.nextControl {
		n.control.nextControl = now + controlInterval
		n.controlTick(now)
	}
	if now >= n.control.nextSpread {
		n.control.nextSpread = now + spreadInterval
		n.spread()
	}
	if now >= n.control.nextAssign {
		n.control.nextAssign = now + assignInterval
		n.assign(now)
	}
	n.stopIfDone(now)
}

func (n *Node) controlTick(now time.Duration) {
	n.envelopes = n.evidence.Tick(now, n.envelopes)
	n.envelopes = n.members.Tick(now, n.envelopes)
	n.envelopes = n.tickets.Tick(now, n.envelopes)
	n.evidenceChanged(now)
	n.activateShares(now)
	n.applyMembers(now)
	local := n.members.LocalUpstream(now)
	n.admission.SetSlots(now, local.Slots, local.Connections)
	n.pump(now)
	n.expireProposals(now)
	n.repeatDrains(now)
	n.settleWithdrawals(now)
	n.fetchIfBehind(now)
}

// evidenceChanged passes the date of the evidence on to the slices that rest on
// it.
func (n *Node) evidenceChanged(now time.Duration) {
	until := n.evidence.FreshUntil()
	n.control.freshUntil = until
	n.quota.SetFreshUntil(until)
	fresh := now < until
	if fresh == n.control.fresh {
		return
	}
	n.control.fresh = fresh
	kind := timeline.Expired
	if fresh {
		kind = timeline.EvidenceFresh
	}
	n.recordEvent(now, timeline.Event{Kind: kind})
}

// activateShares activates shares of this node whose assignment is in force. An
// earlier incarnation on this host is no exception: it may not have been in force
// itself when the log gave its share to this one.
func (n *Node) activateShares(now time.Duration) {
	waiting := make(map[uint64]bool)
	for _, s := range n.quota.Inactive() {
		waiting[s.Offset] = true
		n.evidence.Watch(s.Offset)
		if n.evidence.Effective(now, s.Offset) {
			n.quota.Activate(now, s.Workspace, s.Index)
		}
	}
	for offset := range n.control.watched {
		if !waiting[offset] {
			n.evidence.Unwatch(offset)
		}
	}
	n.control.watched = waiting
}

func (n *Node) deliver(now time.Duration, e mesh.Envelope) {
	delete(n.control.unreachable, e.From)
	switch m := e.Message.(type) {
	case RecordsRequest:
		n.recordsRequested(e.From, m)
	case RecordsReply:
		n.recordsReceived(now, m)
	case Suspect:
		n.suspected(m.Node)
	case StatusRequest:
		n.post(e.From, n.statusReply())
	case StatusReply:
		n.control.status[e.From] = MemberStatus{StatusReply: m, At: now}
	case DrainRequest:
		n.drainLocal(now)
		n.post(e.From, DrainReply(m))
	case DrainReply:
		n.drainConfirmed(e.From, m.Token)
	default:
		n.deliverToSlices(now, e)
	}
}

func (n *Node) deliverToSlices(now time.Duration, e mesh.Envelope) {
	var fresh []keys.ID
	n.envelopes = n.evidence.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.quota.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.members.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.tickets.Deliver(now, e.From, e.Message, n.envelopes)
	fresh, n.envelopes = n.keys.Deliver(n.cfg.Self.Node, e.From, e.Message, n.envelopes)
	for _, id := range fresh {
		n.withdrawalLearned(now, id)
	}
	n.evidenceChanged(now)
}

// post sends a control message.
func (n *Node) post(to mesh.NodeID, m mesh.Message) {
	n.envelopes = append(n.envelopes, mesh.Envelope{From: n.cfg.Self.Node, To: to, Message: m})
}

func (n *Node) announced(now time.Duration, ev *UpstreamAnnounced) {
	was := n.members.LocalUpstream(now).Serving
	n.members.Announced(now, membership.Announcement{
		Service: ev.Service, URL: ev.URL, Slots: ev.Slots, Connections: ev.Connections,
		Ready: ev.Ready && !ev.Draining, InFlight: ev.InFlight,
	})
	is := n.members.LocalUpstream(now).Serving
	if was == is {
		return
	}
	kind := timeline.Left
	if is {
		kind = timeline.Joined
		n.admission.Restarted(now) // the upstream may start cold
	}
	n.recordEvent(now, timeline.Event{Kind: kind, Service: ev.Service, Value: int64(n.cfg.Self.Node.Incarnation)})
}

func (n *Node) peerUnreachable(now time.Duration, node mesh.NodeID) {
	if _, known := n.control.unreachable[node]; !known {
		n.control.unreachable[node] = now
	}
}

// setKnowledge tells the evidence tracker what this node holds.
func (n *Node) setKnowledge(now time.Duration) {
	n.evidence.SetKnowledge(evidence.Knowledge{Offset: n.state.Offset(), Pending: n.keys.PendingDigest()})
	n.evidenceChanged(now)
}

// spread repeats pending withdrawals until every known node has confirmed them.
func (n *Node) spread() {
	if len(n.keys.Pending()) == 0 {
		return
	}
	n.envelopes = n.keys.AppendUnconfirmed(n.cfg.Self.Node, n.others(), n.envelopes)
}

// others returns all known nodes but this one.
func (n *Node) others() []mesh.NodeID {
	nodes := make([]mesh.NodeID, 0, len(n.control.folded))
	for _, m := range n.control.folded {
		if m.Node != n.cfg.Self.Node {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

func sharesOf(shares []config.Share) []quota.Share {
	out := make([]quota.Share, len(shares))
	for i, s := range shares {
		out[i] = quota.Share{Workspace: s.Workspace, Index: s.Index, Count: s.Count, Holder: s.Holder,
			Epoch: s.Epoch, Offset: s.Offset, First: s.First, PredecessorEpoch: s.PredecessorEpoch}
	}
	return out
}
