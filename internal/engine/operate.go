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

// Times of a drain that was asked for at another node.
const (
	drainTimeout  = 2 * time.Second
	drainInterval = 200 * time.Millisecond
)

// drain is a drain of another node's upstream that an operator waits for.
type drain struct {
	node     mesh.NodeID
	deadline time.Duration
	next     time.Duration // when the request is repeated
}

// MemberStatus is the last that a node has said about itself.
type MemberStatus struct {
	StatusReply
	At time.Duration // time of its arrival
}

// maxAsked bounds the members that are asked for their status. A question opens
// a connection; at 25,000 nodes one operator would hold as many.
const maxAsked = 512

// asked returns the members that are asked about an offset: all of them, or a
// sample of at most maxAsked that differs from one offset to the next.
func (n *Node) asked(offset uint64) []mesh.NodeID {
	members := n.control.folded
	stride := max((len(members)+maxAsked-1)/maxAsked, 1)
	nodes := make([]mesh.NodeID, 0, len(members)/stride+1)
	for i := int(offset % uint64(stride)); i < len(members); i += stride {
		nodes = append(nodes, members[i].Node)
	}
	return nodes
}

// askStatus asks other members how far they have folded the log, except those
// that are known to have passed the offset.
func (n *Node) askStatus(beyond uint64) {
	maps.DeleteFunc(n.control.status, func(id mesh.NodeID, _ MemberStatus) bool { return !n.isMember(id) })
	for _, id := range n.asked(beyond) {
		if id != n.cfg.Self.Node && (beyond == 0 || n.control.status[id].Offset <= beyond) {
			n.post(id, StatusRequest{})
		}
	}
}

// InForce returns, of the members that are asked about an offset, how many there
// are and which are not known to have folded the record there.
func (n *Node) InForce(offset uint64) (asked int, missing []mesh.Host) {
	nodes := n.asked(offset)
	for _, id := range nodes {
		folded := n.control.status[id].Offset
		if id == n.cfg.Self.Node {
			folded = n.state.Offset()
		}
		if folded <= offset {
			missing = append(missing, id.Host)
		}
	}
	return len(nodes), missing
}

// drainAsked drains the local upstream, or asks another node to drain its own.
func (n *Node) drainAsked(now time.Duration, ev *NodeDrainRequested) {
	if ev.Node == n.cfg.Self.Node {
		n.drainLocal(now)
		n.emit(Effect{Kind: Decided, AppendID: ev.Token, Decision: &Decision{Accepted: true}})
		return
	}
	n.control.drains[ev.Token] = &drain{node: ev.Node, deadline: now + drainTimeout, next: now}
	n.repeatDrains(now)
}

func (n *Node) drainLocal(now time.Duration) {
	if n.members.LocalUpstream(now).Draining {
		return
	}
	n.members.Drain(now)
	n.recordEvent(now, timeline.Event{Kind: timeline.Draining, Service: n.cfg.Self.Service})
}

// repeatDrains sends requests to drain until they are answered, since messages
// can be lost.
func (n *Node) repeatDrains(now time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(n.control.drains)) {
		d := n.control.drains[token]
		if now >= d.deadline {
			delete(n.control.drains, token)
			reason := "node " + d.node.String() + " has not answered; it may still drain"
			n.emit(Effect{Kind: Decided, AppendID: token, Decision: &Decision{Undecided: true, Reason: reason}})
			continue
		}
		if now >= d.next {
			d.next = now + drainInterval
			n.post(d.node, DrainRequest{Token: token})
		}
	}
}

func (n *Node) drainConfirmed(from mesh.NodeID, token string) {
	d := n.control.drains[token]
	if d == nil || d.node != from {
		return
	}
	delete(n.control.drains, token)
	n.emit(Effect{Kind: Decided, AppendID: token, Decision: &Decision{Accepted: true}})
}

// Report is what a node knows about itself, for operators.
type Report struct {
	Self         mesh.Member
	Offset       uint64 // next offset to fold
	Revision     uint64
	Digest       string
	Configured   bool
	Gap          bool // the log dropped records that this node lacks
	LogReachable bool // the last read of the log succeeded
	Fresh        bool
	FreshUntil   int64 // wall clock, nanoseconds since the Unix epoch; 0 before the first evidence
	Stopping     bool
	InFlight     int // calls that this node handles in any role
	Local        membership.LocalState
	Load         admission.Load
	Cut          mesh.Cut
	Shares       []ShareReport // held by this node
	Members      int           // in the log
	Withdrawals  []string      // keys whose withdrawal the log does not carry yet
	Panel        config.Panel
}

// ShareReport is one quota share that a node holds.
type ShareReport struct {
	config.Share
	Active bool // its assignment is in force
}

// MemberReport is one member and the last that it has said about itself.
type MemberReport struct {
	mesh.Member
	Known       bool // Status is set
	Status      StatusReply
	Age         time.Duration // of Status
	Unreachable bool          // control messages to it fail
}

// Report describes the node as of its last step.
func (n *Node) Report() Report {
	now := n.lastNow
	r := Report{
		Self: n.cfg.Self, Offset: n.state.Offset(), Revision: n.state.Revision(), Digest: n.state.Digest(),
		Configured: n.configured(), Gap: n.control.gap, LogReachable: n.control.atHead && !n.control.logDown,
		Fresh: n.control.fresh, Stopping: n.stopping, InFlight: len(n.calls),
		Local: n.members.LocalUpstream(now), Load: n.admission.Load(now), Cut: n.admission.Cut(now),
		Shares: n.heldShares(), Members: len(n.control.folded),
	}
	if n.control.freshUntil > 0 {
		r.FreshUntil = n.wall(n.control.freshUntil)
	}
	r.Panel = n.state.Panel()
	for _, id := range n.keys.Pending() {
		r.Withdrawals = append(r.Withdrawals, string(id))
	}
	return r
}

// Members returns the members of the log, ordered by host.
func (n *Node) Members() []MemberReport {
	reports := make([]MemberReport, len(n.control.folded))
	for i, m := range n.control.folded {
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
	type slot struct {
		workspace mesh.Workspace
		index     int
	}
	inactive := make(map[slot]bool)
	for _, s := range n.quota.Inactive() {
		inactive[slot{s.Workspace, s.Index}] = true
	}
	var held []ShareReport
	for _, ws := range sortedWorkspaces(n.state.Mesh()) {
		for _, s := range n.state.Shares(ws) {
			if s.Holder == n.cfg.Self.Node {
				held = append(held, ShareReport{Share: s, Active: !inactive[slot{ws, s.Index}]})
			}
		}
	}
	return held
}

// WithdrawalPending reports whether this node refuses a key whose withdrawal
// the log does not carry yet.
func (n *Node) WithdrawalPending(id string) bool { return n.isPending(keys.ID(id)) }
