package engine

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/quota"
	"cardamomhatch/internal/timeline"
)

// fetchInterval is the least time between two requests for records to peers.
const fetchInterval = 200 * time.Millisecond

func (n *Node) logRead(now time.Duration, ev *LogRead) {
	n.setLogDown(false)
	if ev.Page.First > n.state.Offset() {
		n.control.gap = true
		n.fetchFromSeeds(now)
		return
	}
	n.fold(now, ev.Page.Records)
	toHead := n.state.Offset() >= ev.Page.Head
	n.control.atHead = n.control.atHead || toHead
	n.evidence.LogRead(ev.AskedAt, toHead, n.state.Offset())
	n.setKnowledge(now)
	if toHead {
		n.control.gap = false
		n.readToHead(now, ev.AskedAt)
	}
}

func (n *Node) logFailed(ev *LogReadFailed) {
	var truncated *logservice.ErrTruncated
	if errors.As(ev.Err, &truncated) {
		n.control.gap = true
		return
	}
	n.setLogDown(true)
}

func (n *Node) setLogDown(down bool) {
	n.control.logDown = down
	n.members.SetLogDown(down)
}

// fold applies records in offset order. Records that were folded before, for
// example because a peer passed them on, are skipped.
func (n *Node) fold(now time.Duration, records []logservice.Record) {
	var touched changes
	for _, r := range records {
		if r.Offset != n.state.Offset() {
			continue
		}
		v := n.state.Fold(r.Offset, r.Data)
		n.keep(r)
		if v.Kind == config.Accepted {
			touched.add(r.Data)
		}
	}
	if n.state.Offset() == n.control.applied {
		return
	}
	n.apply(now, touched)
	n.settleProposals()
}

func (n *Node) keep(r logservice.Record) {
	if len(n.control.kept) == maxKeptRecords {
		copy(n.control.kept, n.control.kept[maxKeptRecords/2:])
		n.control.kept = n.control.kept[:maxKeptRecords/2]
	}
	n.control.kept = append(n.control.kept, r)
}

// changes tells which parts of the configuration a batch of records touched.
type changes struct {
	mesh, panel, shares bool
	keys                []string // ids
	hosts               []mesh.Host
	all                 bool // a snapshot replaced the state
}

func (c *changes) add(data []byte) {
	switch t := config.Inspect(data); t.Kind {
	case config.KindChange:
		c.mesh = true
	case config.KindKeyIssued, config.KindKeyWithdrawn:
		c.keys = append(c.keys, t.KeyID)
	case config.KindNodeJoined, config.KindNodeLeft:
		c.hosts = append(c.hosts, t.Host)
	case config.KindPanel, config.KindPanelSettled:
		c.panel = true
	case config.KindShares:
		c.shares = true
	}
}

// apply brings the slices in line with the folded configuration.
func (n *Node) apply(now time.Duration, c changes) {
	n.control.applied = n.state.Offset()
	n.control.assignDirty = true
	if c.mesh || c.all {
		n.applyMesh(now)
	}
	n.applyKeys(now, c)
	if c.all || len(c.hosts) > 0 {
		n.foldMembers(now, c)
	}
	if c.panel || c.all {
		n.evidence.SetPanel(now, evidence.Panel(n.state.Panel()))
	}
	if c.shares || c.all || len(n.state.Mesh().Workspaces) != n.control.workspaces {
		n.control.workspaces = len(n.state.Mesh().Workspaces)
		n.applyShares(now)
	}
	n.setKnowledge(now)
}

// applyMesh brings the slices in line with a changed mesh. A mesh shares the
// parts that did not change with the one before it, so only parts with a new
// identity are applied: at 83,000 changes a day a rebuild of all would take most
// of the control plane's processor time.
func (n *Node) applyMesh(now time.Duration) {
	previous, m := n.control.mesh, n.state.Mesh()
	n.control.mesh = m
	if previous == nil || !samePart(previous.Routes, m.Routes) {
		n.routes = newRouteTable(m.Routes)
	}
	if previous == nil || !samePart(previous.Edges, m.Edges) {
		n.setEdges(m.Edges)
	}
	if previous == nil || !samePart(previous.Workspaces, m.Workspaces) {
		n.applyWorkspaces(now, m)
	}
	n.recordEvent(now, timeline.Event{Kind: timeline.Revision, Value: int64(n.state.Revision())})
}

// samePart reports whether two maps or two slices are one and the same.
func samePart(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	return x.Pointer() == y.Pointer() && x.Len() == y.Len()
}

func (n *Node) applyWorkspaces(now time.Duration, m *declaration.Mesh) {
	limits := make([]quota.Limit, 0, len(m.Workspaces))
	weights := make([]admission.Weight, 0, len(m.Workspaces))
	for _, ws := range sortedWorkspaces(m) {
		w := m.Workspaces[ws]
		limits = append(limits, quota.Limit{Workspace: w.Name, RatePerSecond: w.RatePerSecond, Burst: w.Burst})
		weights = append(weights, admission.Weight{Workspace: w.Name, Weight: w.Weight})
	}
	n.quota.SetLimits(now, limits)
	n.admission.SetWeights(weights)
}

func (n *Node) applyKeys(now time.Duration, c changes) {
	if c.all {
		n.replaceKeys()
		for _, k := range n.state.Keys() {
			n.keys.Add(keys.Record{ID: keys.ID(k.ID), Hash: k.Hash, Workspace: k.Workspace})
		}
		for _, id := range n.state.Withdrawn() {
			n.keys.Folded(keys.ID(id))
		}
	}
	for _, id := range c.keys {
		k, ok := n.state.Key(id)
		if ok && !k.Withdrawn {
			n.keys.Add(keys.Record{ID: keys.ID(k.ID), Hash: k.Hash, Workspace: k.Workspace})
			continue
		}
		if !n.keys.Withdrawn(keys.ID(id)) {
			n.recordEvent(now, timeline.Event{Kind: timeline.KeyWithdrawn, Workspace: n.keys.Workspace(keys.ID(id))})
		}
		n.keys.Folded(keys.ID(id))
	}
}

// replaceKeys starts a new key table that holds only the pending withdrawals:
// a snapshot no longer lists keys that were withdrawn long before it.
func (n *Node) replaceKeys() {
	pending := n.keys.Pending()
	n.keys = keys.New()
	for _, id := range pending {
		n.keys.Withdraw(id)
	}
}

// foldMembers passes changes of the member list on, with the successors of the
// nodes that left.
func (n *Node) foldMembers(now time.Duration, c changes) {
	if c.all {
		n.foldAllMembers(now)
	}
	for _, host := range c.hosts {
		n.foldMember(now, host)
	}
	n.applyMembers(now)
	relays := relaysOf(n.cfg.Self, n.control.folded)
	n.evidence.SetRelays(relays)
	n.control.relayed = len(n.control.folded) >= readerFleet && !slices.Contains(relays, n.cfg.Self.Node)
}

func (n *Node) foldAllMembers(now time.Duration) {
	old := n.control.folded
	n.control.folded = n.state.Members()
	for _, m := range old {
		n.foldDeparture(now, m.Node)
	}
	n.members.FoldMembers(n.control.folded)
}

// foldMember brings one host's entry in line with the log. The list stays
// ordered by host.
func (n *Node) foldMember(now time.Duration, host mesh.Host) {
	i, found := slices.BinarySearchFunc(n.control.folded, host, func(m mesh.Member, h mesh.Host) int {
		return cmp.Compare(m.Node.Host, h)
	})
	if found {
		n.foldDeparture(now, n.control.folded[i].Node)
	}
	m, present := n.state.Member(host)
	switch {
	case present && found:
		n.control.folded[i] = m
	case present:
		n.control.folded = slices.Insert(n.control.folded, i, m)
	case found:
		n.control.folded = slices.Delete(n.control.folded, i, i+1)
	}
	if present {
		n.members.FoldJoined(m)
	}
}

func (n *Node) foldDeparture(now time.Duration, node mesh.NodeID) {
	if successor, departed := n.state.Departed(node); departed {
		n.members.FoldLeft(node, successor)
		n.tickets.Redirect(now, node, successor)
	}
}

func (n *Node) applyMembers(now time.Duration) {
	for _, service := range n.members.Changed() {
		n.routing.SetMembers(now, service, n.members.Service(service))
	}
}

func (n *Node) applyShares(now time.Duration) {
	for ws := range n.state.Mesh().Workspaces {
		n.quota.SetShares(now, ws, sharesOf(n.state.Shares(ws)))
	}
}

// fetchIfBehind asks a peer that knows more for what this node lacks.
func (n *Node) fetchIfBehind(now time.Duration) {
	if now < n.control.nextFetch {
		return
	}
	if peer, behind := n.evidence.Behind(); behind {
		n.control.nextFetch = now + fetchInterval
		n.post(peer, RecordsRequest{From: n.state.Offset()})
		return
	}
	if !n.configured() && (n.control.logDown || n.control.gap) {
		n.fetchFromSeeds(now)
		return
	}
	if !n.control.fresh && n.control.logDown {
		n.fetchFromMember(now)
	}
}

// fetchFromMember asks one member after the other for records. A node that
// missed the record of the present panel has nobody else to learn it from while
// the log is down.
func (n *Node) fetchFromMember(now time.Duration) {
	members := n.control.folded
	if len(members) < 2 {
		n.fetchFromSeeds(now)
		return
	}
	n.control.nextFetch = now + fetchInterval
	n.control.fetchTurn++
	if m := members[n.control.fetchTurn%len(members)]; m.Node != n.cfg.Self.Node {
		n.post(m.Node, RecordsRequest{From: n.state.Offset()})
	}
}

func (n *Node) fetchFromSeeds(now time.Duration) {
	if now < n.control.nextFetch {
		return
	}
	n.control.nextFetch = now + fetchInterval
	for _, seed := range n.cfg.Seeds {
		n.out = append(n.out, Effect{Kind: Send, Member: seed, Envelope: mesh.Envelope{
			From: n.cfg.Self.Node, To: seed.Node, Message: RecordsRequest{From: n.state.Offset()},
		}})
	}
}

func (n *Node) recordsRequested(from mesh.NodeID, m RecordsRequest) {
	reply := RecordsReply{Pending: n.keys.Pending()}
	for _, r := range n.control.kept {
		if r.Offset >= m.From {
			reply.Records = append(reply.Records, r)
		}
	}
	missing := m.From < n.state.Offset() && (len(reply.Records) == 0 || reply.Records[0].Offset > m.From)
	if missing && n.configured() {
		if snapshot, err := n.state.Snapshot(); err == nil {
			reply.Records, reply.Snapshot = nil, snapshot
		}
	}
	n.post(from, reply)
}

func (n *Node) recordsReceived(now time.Duration, m RecordsReply) {
	if len(m.Snapshot) > 0 {
		n.restore(now, m.Snapshot)
	}
	n.fold(now, m.Records)
	for _, id := range m.Pending {
		if n.keys.Withdraw(id) {
			n.withdrawalLearned(now, id)
		}
	}
	n.evidence.Covers(keys.Digest(m.Pending))
	n.setKnowledge(now)
}

// restore takes a snapshot if it is newer than what this node knows.
func (n *Node) restore(now time.Duration, data []byte) {
	state, err := config.Restore(data)
	if err != nil || state.Offset() <= n.state.Offset() {
		return
	}
	n.state = state
	n.control.kept = n.control.kept[:0]
	n.control.gap = false
	n.apply(now, changes{all: true})
}
