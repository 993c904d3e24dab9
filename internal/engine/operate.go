package engine

import (
	"maps"
	"slices"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/config"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/membership"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/timeline"
)

// Timing of a drain request to another node.
const (
	drainTimeout        = 2 * time.Second
	drainResendInterval = 200 * time.Millisecond
)

// drain is a drain request to another node that an operator waits for.
type drain struct {
	node     mesh.NodeID
	deadline time.Duration
	nextSend time.Duration // when the request is sent again
}

// MemberStatus is the latest status that a node has reported.
type MemberStatus struct {
	StatusReply
	At time.Duration // when it was received
}

// maxStatusTargets bounds the members that are asked for their status. Each request
// opens a connection; without a bound, one operator request in a fleet of 25,000
// nodes would open 25,000 connections.
const maxStatusTargets = 512

// statusTargets returns the members to ask for their status regarding an offset:
// all members, or a sample of at most maxStatusTargets that is different for
// consecutive offsets.
func (n *Node) statusTargets(offset uint64) []mesh.NodeID {
	members := n.control.foldedMembers
	stride := max((len(members)+maxStatusTargets-1)/maxStatusTargets, 1)
	nodes := make([]mesh.NodeID, 0, len(members)/stride+1)
	for i := int(offset % uint64(stride)); i < len(members); i += stride {
		nodes = append(nodes, members[i].Node)
	}
	return nodes
}

// requestStatus sends status requests to the members that statusTargets returns. If
// offset is above zero, members that are known to have folded the record at that offset
// are skipped.
func (n *Node) requestStatus(offset uint64) {
	maps.DeleteFunc(n.control.status, func(id mesh.NodeID, _ MemberStatus) bool { return !n.isMember(id) })
	for _, id := range n.statusTargets(offset) {
		if id != n.cfg.Self.Node && (offset == 0 || n.control.status[id].Offset <= offset) {
			n.queueMessage(id, StatusRequest{})
		}
	}
}

// MembersWithout returns the number of members that are asked for their status regarding
// an offset, and the hosts of those that are not known to have folded the record at
// that offset.
func (n *Node) MembersWithout(offset uint64) (asked int, missing []mesh.Host) {
	nodes := n.statusTargets(offset)
	for _, id := range nodes {
		nextOffset := n.control.status[id].Offset
		if id == n.cfg.Self.Node {
			nextOffset = n.state.Offset()
		}
		if nextOffset <= offset {
			missing = append(missing, id.Host)
		}
	}
	return len(nodes), missing
}

// nodeDrainRequested drains the local upstream, or asks another node to drain its
// upstream.
func (n *Node) nodeDrainRequested(now time.Duration, ev *NodeDrainRequested) {
	if ev.Node == n.cfg.Self.Node {
		n.drainLocal(now)
		n.emit(Effect{Kind: Decided, RequestID: ev.Token, Decision: &Decision{Accepted: true}})
		return
	}
	n.control.drains[ev.Token] = &drain{node: ev.Node, deadline: now + drainTimeout, nextSend: now}
	n.resendDrains(now)
}

func (n *Node) drainLocal(now time.Duration) {
	if n.members.LocalUpstream(now).Draining {
		return
	}
	n.members.Drain(now)
	n.recordEvent(now, timeline.Event{Kind: timeline.Draining, Service: n.cfg.Self.Service})
}

// resendDrains sends each drain request every drainResendInterval until it is
// confirmed or times out, since messages can be lost.
func (n *Node) resendDrains(now time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(n.control.drains)) {
		d := n.control.drains[token]
		if now >= d.deadline {
			delete(n.control.drains, token)
			reason := "node " + d.node.String() + " has not answered; it may still drain"
			n.emit(Effect{Kind: Decided, RequestID: token, Decision: &Decision{Undecided: true, Reason: reason}})
			continue
		}
		if now >= d.nextSend {
			d.nextSend = now + drainResendInterval
			n.queueMessage(d.node, DrainRequest{Token: token})
		}
	}
}

func (n *Node) drainConfirmed(from mesh.NodeID, token string) {
	d := n.control.drains[token]
	if d == nil || d.node != from {
		return
	}
	delete(n.control.drains, token)
	n.emit(Effect{Kind: Decided, RequestID: token, Decision: &Decision{Accepted: true}})
}

// Report is the state of a node as shown to operators.
type Report struct {
	Self          mesh.Member
	Offset        uint64 // next offset to fold
	Revision      uint64
	Digest        string
	Configured    bool
	Gap           bool // the log no longer has records that this node lacks
	LogReachable  bool // the log was read to its head since the start, and the last read succeeded
	Fresh         bool
	FreshUntil    int64 // wall clock, nanoseconds since the Unix epoch; 0 before the first evidence
	Stopping      bool
	InFlight      int // calls at this node, as entry or serving node
	LocalUpstream membership.LocalState
	Load          admission.Load
	Cut           mesh.Cut
	Shares        []ShareReport // held by this node
	Members       int           // number of members in the log
	Withdrawals   []string      // IDs of keys whose withdrawal this node knows, but has not folded yet
	Panel         config.Panel
}

// ShareReport is one quota share that a node holds.
type ShareReport struct {
	config.Share
	Active bool // its assignment is in force
}

// MemberReport is one member with the latest status that it has reported.
type MemberReport struct {
	mesh.Member
	Known       bool // Status and Age are set
	Status      StatusReply
	Age         time.Duration // of Status
	Unreachable bool          // a message or connection to it failed since it was last heard from
}

// Report returns the state of the node after its last step.
func (n *Node) Report() Report {
	now := n.lastNow
	r := Report{
		Self: n.cfg.Self, Offset: n.state.Offset(), Revision: n.state.Revision(), Digest: n.state.Digest(),
		Configured: n.configured(), Gap: n.control.gap, LogReachable: n.control.reachedHead && !n.control.logDown,
		Fresh: n.control.fresh, Stopping: n.stopping, InFlight: len(n.calls),
		LocalUpstream: n.members.LocalUpstream(now), Load: n.admission.Load(now), Cut: n.admission.Cut(now),
		Shares: n.heldShares(), Members: len(n.control.foldedMembers),
	}
	if n.control.freshUntil > 0 {
		r.FreshUntil = n.unixNano(n.control.freshUntil)
	}
	r.Panel = n.state.Panel()
	for _, id := range n.keys.Pending() {
		r.Withdrawals = append(r.Withdrawals, string(id))
	}
	return r
}

// Members returns the members in the log, sorted by host.
func (n *Node) Members() []MemberReport {
	reports := make([]MemberReport, len(n.control.foldedMembers))
	for i, m := range n.control.foldedMembers {
		reports[i] = n.memberReport(n.lastNow, m)
	}
	return reports
}

func (n *Node) memberReport(now time.Duration, m mesh.Member) MemberReport {
	r := MemberReport{Member: m, Unreachable: n.isUnreachable(m.Node)}
	if m.Node == n.cfg.Self.Node {
		r.Known = true
		r.Status = n.statusReply()
		return r
	}
	s, known := n.control.status[m.Node]
	if known {
		r.Known, r.Status, r.Age = true, s.StatusReply, now-s.At
	}
	return r
}

func (n *Node) statusReply() StatusReply {
	return StatusReply{Offset: n.state.Offset(), Revision: n.state.Revision(), Digest: n.state.Digest()}
}

func (n *Node) heldShares() []ShareReport {
	type shareKey struct {
		workspace mesh.Workspace
		index     int
	}
	inactive := make(map[shareKey]bool)
	for _, s := range n.quota.Inactive() {
		inactive[shareKey{s.Workspace, s.Index}] = true
	}
	var held []ShareReport
	for _, ws := range sortedWorkspaces(n.state.Mesh()) {
		for _, s := range n.state.Shares(ws) {
			if s.Holder == n.cfg.Self.Node {
				held = append(held, ShareReport{Share: s, Active: !inactive[shareKey{ws, s.Index}]})
			}
		}
	}
	return held
}

// WithdrawalPending reports whether this node knows of the withdrawal of a key, but
// has not folded its record yet.
func (n *Node) WithdrawalPending(id string) bool { return n.isPending(keys.ID(id)) }
