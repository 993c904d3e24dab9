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
	controlInterval          = 50 * time.Millisecond
	withdrawalResendInterval = 200 * time.Millisecond
	assignInterval           = 500 * time.Millisecond
	// assignCheckInterval is how often assignments are checked when nothing has
	// changed, in case the responsible node failed before it proposed an assignment.
	assignCheckInterval = 5 * time.Second
	// removeUnreachableAfter is how long a member must be unreachable before its
	// removal is proposed.
	removeUnreachableAfter = 10 * time.Second
)

// maxRecentRecords bounds the records retained for peers that are behind. A peer
// that is further behind gets a snapshot.
const maxRecentRecords = 1024

// control is the state of the control plane that is not part of another package.
type control struct {
	gap                  bool                // the log no longer has records that this node has not folded
	logDown              bool                // the last read of the log failed, not counting reads that returned ErrTruncated
	reachedHead          bool                // the log was read to its head since the start of the process
	recentRecords        []logservice.Record // records folded last, for RecordsReply
	appliedOffset        uint64              // configuration offset that the components were updated to
	readsViaRelays       bool                // gets log records from relays, as most nodes of a large fleet do
	foldedMembers        []mesh.Member       // members according to the log, sorted by host
	appliedMesh          *declaration.Mesh   // the mesh that the components were updated to
	workspaceCount       int                 // number of workspaces when the shares were last applied
	nextControlTick      time.Duration
	nextWithdrawalResend time.Duration
	nextAssign           time.Duration
	nextFetch            time.Duration
	fetchIndex           int  // selects the next member to fetch records from
	assignDirty          bool // the assignments may need a change
	nextAssignCheck      time.Duration
	snapshots            snapshotState
	nextPanelProbe       time.Duration // when the panel members are next asked for their status
	proposals            map[string]*proposal
	tasks                map[string]string // token of the proposal in progress, by task
	withdrawals          map[keys.ID]*withdrawal
	status               map[mesh.NodeID]MemberStatus
	drains               map[string]*drain             // by token
	unreachableSince     map[mesh.NodeID]time.Duration // time of the first failure since a node was last heard from
	watchedOffsets       map[uint64]bool               // offsets of the shares records that inactive shares of this node wait for
	fresh                bool                          // evidence was fresh at the last updateFreshness
	freshUntil           time.Duration                 // when the evidence lapses, as of the last updateFreshness

	nextWithdrawalAppend time.Duration

	// Planned stop.
	successor        mesh.NodeID   // takes over tickets and shares; zero if there is none
	stopDeadline     time.Duration // when the node no longer waits for calls in flight
	handoverStarted  bool
	handoverDeadline time.Duration // when the node no longer waits for the successor's reply
	lingerUntil      time.Duration // zero until this node has left
}

func newControl() control {
	return control{
		proposals:        make(map[string]*proposal),
		tasks:            make(map[string]string),
		withdrawals:      make(map[keys.ID]*withdrawal),
		status:           make(map[mesh.NodeID]MemberStatus),
		drains:           make(map[string]*drain),
		unreachableSince: make(map[mesh.NodeID]time.Duration),
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
		n.logReadFailed(ev)
	case *SnapshotRead:
		n.restore(now, ev.Data)
	case *AppendEnded:
		n.appendEnded(now, ev)
	case *RecordProposed:
		n.propose(now, ev.Token, ev.Data, true) // an operator waits for the decision
	case *KeyWithdrawalRequested:
		n.withdrawKey(now, keys.ID(ev.KeyID))
	case *UpstreamAnnounced:
		n.upstreamAnnounced(now, ev)
	case *LocalDrainRequested:
		n.drainLocal(now)
	case *NodeDrainRequested:
		n.nodeDrainRequested(now, ev)
	case *StatusRequested:
		n.requestStatus(ev.Offset)
	case *StopRequested:
		n.stop(now)
	}
}

// LogOffset returns the offset from which to read the config stream next.
func (n *Node) LogOffset() uint64 { return n.state.Offset() }

func (n *Node) tick(now time.Duration) {
	n.handleDueCalls(now)
	n.dispatchQueued(now)
	n.envelopes = n.quota.Tick(now, n.envelopes)
	if now >= n.control.nextControlTick {
		n.control.nextControlTick = now + controlInterval
		n.controlTick(now)
	}
	if now >= n.control.nextWithdrawalResend {
		n.control.nextWithdrawalResend = now + withdrawalResendInterval
		n.resendWithdrawals()
	}
	if now >= n.control.nextAssign {
		n.control.nextAssign = now + assignInterval
		n.assign(now)
	}
	n.continueStop(now)
}

func (n *Node) controlTick(now time.Duration) {
	n.envelopes = n.evidence.Tick(now, n.envelopes)
	n.envelopes = n.members.Tick(now, n.envelopes)
	n.envelopes = n.tickets.Tick(now, n.envelopes)
	n.updateFreshness(now)
	n.activateShares(now)
	n.applyMembers(now)
	local := n.members.LocalUpstream(now)
	n.admission.SetSlots(now, local.Slots, local.Connections)
	n.dispatchQueued(now)
	n.expireProposals(now)
	n.resendDrains(now)
	n.settleWithdrawals(now)
	n.fetchIfBehind(now)
}

// updateFreshness tells the quota limiter until when the evidence shows that the
// configuration of this node is current, and records a timeline event when the
// evidence lapses or is fresh again.
func (n *Node) updateFreshness(now time.Duration) {
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

// activateShares activates shares of this node whose assignment is in force. A
// share that was taken over from an earlier incarnation on this host has to wait as well:
// its assignment to that incarnation may not have been in force yet when the log
// reassigned it.
func (n *Node) activateShares(now time.Duration) {
	watched := make(map[uint64]bool)
	for _, s := range n.quota.Inactive() {
		watched[s.Offset] = true
		n.evidence.Watch(s.Offset)
		if n.evidence.InForce(now, s.Offset) {
			n.quota.Activate(now, s.Workspace, s.Index)
		}
	}
	for offset := range n.control.watchedOffsets {
		if !watched[offset] {
			n.evidence.Unwatch(offset)
		}
	}
	n.control.watchedOffsets = watched
}

func (n *Node) deliver(now time.Duration, e mesh.Envelope) {
	delete(n.control.unreachableSince, e.From)
	switch m := e.Message.(type) {
	case RecordsRequest:
		n.recordsRequested(e.From, m)
	case RecordsReply:
		n.recordsReceived(now, m)
	case Suspect:
		n.suspectReported(m.Node)
	case StatusRequest:
		n.queueMessage(e.From, n.statusReply())
	case StatusReply:
		n.control.status[e.From] = MemberStatus{StatusReply: m, At: now}
	case DrainRequest:
		n.drainLocal(now)
		n.queueMessage(e.From, DrainReply(m))
	case DrainReply:
		n.drainConfirmed(e.From, m.Token)
	default:
		n.deliverToComponents(now, e)
	}
}

func (n *Node) deliverToComponents(now time.Duration, e mesh.Envelope) {
	var learned []keys.ID
	n.envelopes = n.evidence.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.quota.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.members.Deliver(now, e.From, e.Message, n.envelopes)
	n.envelopes = n.tickets.Deliver(now, e.From, e.Message, n.envelopes)
	learned, n.envelopes = n.keys.Deliver(n.cfg.Self.Node, e.From, e.Message, n.envelopes)
	for _, id := range learned {
		n.withdrawalLearned(now, id)
	}
	n.updateFreshness(now)
}

// queueMessage queues a control message; flush sends it.
func (n *Node) queueMessage(to mesh.NodeID, m mesh.Message) {
	n.envelopes = append(n.envelopes, mesh.Envelope{From: n.cfg.Self.Node, To: to, Message: m})
}

func (n *Node) upstreamAnnounced(now time.Duration, ev *UpstreamAnnounced) {
	wasServing := n.members.LocalUpstream(now).Serving
	n.members.HandleAnnouncement(now, membership.Announcement{
		Service: ev.Service, URL: ev.URL, Slots: ev.Slots, Connections: ev.Connections,
		Ready: ev.Ready && !ev.Draining, InFlight: ev.InFlight,
	})
	serving := n.members.LocalUpstream(now).Serving
	if wasServing == serving {
		return
	}
	kind := timeline.Left
	if serving {
		kind = timeline.Joined
		n.admission.Restarted(now) // the upstream may have restarted with cold caches
	}
	n.recordEvent(now, timeline.Event{Kind: kind, Service: ev.Service, Value: int64(n.cfg.Self.Node.Incarnation)})
}

func (n *Node) peerUnreachable(now time.Duration, node mesh.NodeID) {
	if _, known := n.control.unreachableSince[node]; !known {
		n.control.unreachableSince[node] = now
	}
}

// updateEvidence passes the folded offset and the pending withdrawals of this node to
// the evidence tracker. A report of another node or the log counts as evidence only
// once this node holds everything in it.
func (n *Node) updateEvidence(now time.Duration) {
	n.evidence.SetKnowledge(evidence.Knowledge{Offset: n.state.Offset(), Pending: n.keys.PendingDigest()})
	n.updateFreshness(now)
}

// resendWithdrawals sends the pending withdrawals to all members that have not
// confirmed them.
func (n *Node) resendWithdrawals() {
	if len(n.keys.Pending()) == 0 {
		return
	}
	n.envelopes = n.keys.AppendUnconfirmed(n.cfg.Self.Node, n.otherMembers(), n.envelopes)
}

// otherMembers returns all members in the log except this node.
func (n *Node) otherMembers() []mesh.NodeID {
	nodes := make([]mesh.NodeID, 0, len(n.control.foldedMembers))
	for _, m := range n.control.foldedMembers {
		if m.Node != n.cfg.Self.Node {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

func toQuotaShares(shares []config.Share) []quota.Share {
	out := make([]quota.Share, len(shares))
	for i, s := range shares {
		out[i] = quota.Share{Workspace: s.Workspace, Index: s.Index, Count: s.Count, Holder: s.Holder,
			Epoch: s.Epoch, Offset: s.Offset, First: s.First, PredecessorEpoch: s.PredecessorEpoch}
	}
	return out
}
