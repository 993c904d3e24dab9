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

// fetchInterval is the minimum interval between two fetches of records from peers. One
// fetch may send requests to several seeds.
const fetchInterval = 200 * time.Millisecond

// logRead folds the records of a page and reports the read to the evidence tracker. If
// the log no longer has the next record to fold, the node requests records from the seeds.
func (n *Node) logRead(now time.Duration, ev *LogRead) {
	n.setLogDown(false)
	if ev.Page.First > n.state.Offset() {
		n.control.gap = true
		n.fetchFromSeeds(now)
		return
	}
	n.fold(now, ev.Page.Records)
	atHead := n.state.Offset() >= ev.Page.Head
	n.control.reachedHead = n.control.reachedHead || atHead
	n.evidence.RecordLogRead(ev.SentAt, atHead, n.state.Offset())
	n.updateEvidence(now)
	if atHead {
		n.control.gap = false
		n.headReached(now, ev.SentAt)
	}
}

func (n *Node) logReadFailed(ev *LogReadFailed) {
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

// fold folds records into the configuration in offset order. It skips records that
// are already folded, for example because a peer sent them earlier.
func (n *Node) fold(now time.Duration, records []logservice.Record) {
	var changed changes
	for _, r := range records {
		if r.Offset != n.state.Offset() {
			continue
		}
		verdict := n.state.Fold(r.Offset, r.Data)
		n.retainRecord(r)
		if verdict.Kind == config.Accepted {
			changed.add(r.Data)
		}
	}
	if n.state.Offset() == n.control.appliedOffset {
		return
	}
	n.apply(now, changed)
	n.settleProposals()
}

func (n *Node) retainRecord(r logservice.Record) {
	if len(n.control.recentRecords) == maxRecentRecords {
		copy(n.control.recentRecords, n.control.recentRecords[maxRecentRecords/2:])
		n.control.recentRecords = n.control.recentRecords[:maxRecentRecords/2]
	}
	n.control.recentRecords = append(n.control.recentRecords, r)
}

// changes is the set of configuration parts that a batch of records changed.
type changes struct {
	mesh, panel, shares bool
	keys                []string // key IDs
	hosts               []mesh.Host
	all                 bool // a snapshot replaced the whole configuration
}

func (c *changes) add(data []byte) {
	switch r := config.Inspect(data); r.Kind {
	case config.KindChange:
		c.mesh = true
	case config.KindKeyIssued, config.KindKeyWithdrawn:
		c.keys = append(c.keys, r.KeyID)
	case config.KindNodeJoined, config.KindNodeLeft:
		c.hosts = append(c.hosts, r.Host)
	case config.KindPanel, config.KindPanelSettled:
		c.panel = true
	case config.KindShares:
		c.shares = true
	}
}

// apply updates the components of the node from the folded configuration.
func (n *Node) apply(now time.Duration, changed changes) {
	n.control.appliedOffset = n.state.Offset()
	n.control.assignDirty = true
	if changed.mesh || changed.all {
		n.applyMesh(now)
	}
	n.applyKeys(now, changed)
	if changed.all || len(changed.hosts) > 0 {
		n.foldMembers(now, changed)
	}
	if changed.panel || changed.all {
		n.evidence.SetPanel(now, evidence.Panel(n.state.Panel()))
	}
	// A workspace that is declared again after its deletion has lost its shares.
	if changed.shares || changed.all || len(n.state.Mesh().Workspaces) != n.control.workspaceCount {
		n.control.workspaceCount = len(n.state.Mesh().Workspaces)
		n.applyShares(now)
	}
	n.updateEvidence(now)
}

// applyMesh updates the components from a changed mesh. A mesh shares its
// unchanged parts with the previous one, so only parts that are different maps or
// slices are applied: at 83,000 changes a day, rebuilding everything would take
// most of the control plane's CPU time.
func (n *Node) applyMesh(now time.Duration) {
	previous, m := n.control.appliedMesh, n.state.Mesh()
	n.control.appliedMesh = m
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

// samePart reports whether two maps or two slices share their memory and length.
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

func (n *Node) applyKeys(now time.Duration, changed changes) {
	if changed.all {
		n.replaceKeys()
		for _, k := range n.state.Keys() {
			n.keys.Add(keys.Record{ID: keys.ID(k.ID), Hash: k.Hash, Workspace: k.Workspace})
		}
		for _, id := range n.state.WithdrawnKeyIDs() {
			n.keys.FoldWithdrawal(keys.ID(id))
		}
	}
	for _, id := range changed.keys {
		k, ok := n.state.Key(id)
		if ok && !k.Withdrawn {
			n.keys.Add(keys.Record{ID: keys.ID(k.ID), Hash: k.Hash, Workspace: k.Workspace})
			continue
		}
		if !n.keys.Withdrawn(keys.ID(id)) {
			n.recordEvent(now, timeline.Event{Kind: timeline.KeyWithdrawn, Workspace: n.keys.Workspace(keys.ID(id))})
		}
		n.keys.FoldWithdrawal(keys.ID(id))
	}
}

// replaceKeys replaces the key table by one that holds only the pending withdrawals.
// A key that a snapshot does not list must not stay in the table, since it may have
// been withdrawn long before the snapshot.
func (n *Node) replaceKeys() {
	pending := n.keys.Pending()
	n.keys = keys.New()
	for _, id := range pending {
		n.keys.Withdraw(id)
	}
}

// foldMembers updates foldedMembers and the components that depend on it, and
// determines the relays of this node.
func (n *Node) foldMembers(now time.Duration, changed changes) {
	if changed.all {
		n.foldAllMembers(now)
	}
	for _, host := range changed.hosts {
		n.foldMember(now, host)
	}
	n.applyMembers(now)
	relays := relaysOf(n.cfg.Self, n.control.foldedMembers)
	n.evidence.SetRelays(relays)
	n.control.readsViaRelays = len(n.control.foldedMembers) >= logRelayMinFleet && !slices.Contains(relays, n.cfg.Self.Node)
}

func (n *Node) foldAllMembers(now time.Duration) {
	old := n.control.foldedMembers
	n.control.foldedMembers = n.state.Members()
	// Departures first, since FoldMembers removes missing members without a successor.
	for _, m := range old {
		n.foldDeparture(now, m.Node)
	}
	n.members.FoldMembers(n.control.foldedMembers)
}

// foldMember updates the entry of one host in foldedMembers, which stays sorted by
// host.
func (n *Node) foldMember(now time.Duration, host mesh.Host) {
	i, found := slices.BinarySearchFunc(n.control.foldedMembers, host, func(m mesh.Member, h mesh.Host) int {
		return cmp.Compare(m.Node.Host, h)
	})
	if found {
		n.foldDeparture(now, n.control.foldedMembers[i].Node)
	}
	m, present := n.state.Member(host)
	switch {
	case present && found:
		n.control.foldedMembers[i] = m
	case present:
		n.control.foldedMembers = slices.Insert(n.control.foldedMembers, i, m)
	case found:
		n.control.foldedMembers = slices.Delete(n.control.foldedMembers, i, i+1)
	}
	if present {
		n.members.FoldJoin(m)
	}
}

func (n *Node) foldDeparture(now time.Duration, node mesh.NodeID) {
	if successor, departed := n.state.Departed(node); departed {
		n.members.FoldLeave(node, successor)
		n.tickets.Redirect(now, node, successor)
	}
}

func (n *Node) applyMembers(now time.Duration) {
	for _, service := range n.members.TakeChangedServices() {
		n.routing.SetMembers(now, service, n.members.Service(service))
	}
}

func (n *Node) applyShares(now time.Duration) {
	for ws := range n.state.Mesh().Workspaces {
		n.quota.SetShares(now, ws, toQuotaShares(n.state.Shares(ws)))
	}
}

// fetchIfBehind requests missing records and withdrawals from a peer that is ahead
// of this node. If there is none and the log cannot provide the records, it asks
// another member or the seeds.
func (n *Node) fetchIfBehind(now time.Duration) {
	if now < n.control.nextFetch {
		return
	}
	if peer, behind := n.evidence.CatchUpSource(); behind {
		n.control.nextFetch = now + fetchInterval
		n.queueMessage(peer, RecordsRequest{From: n.state.Offset()})
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

// fetchFromMember asks one member for records, a different one each time. During an
// outage of the log, evidence comes from a majority of the current panel, and a node
// that does not know that panel can learn it only from other members.
func (n *Node) fetchFromMember(now time.Duration) {
	members := n.control.foldedMembers
	if len(members) < 2 {
		n.fetchFromSeeds(now)
		return
	}
	n.control.nextFetch = now + fetchInterval
	n.control.fetchIndex++
	if m := members[n.control.fetchIndex%len(members)]; m.Node != n.cfg.Self.Node {
		n.queueMessage(m.Node, RecordsRequest{From: n.state.Offset()})
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
	for _, r := range n.control.recentRecords {
		if r.Offset >= m.From {
			reply.Records = append(reply.Records, r)
		}
	}
	incomplete := m.From < n.state.Offset() && (len(reply.Records) == 0 || reply.Records[0].Offset > m.From)
	if incomplete && n.configured() {
		if snapshot, err := n.state.Snapshot(); err == nil {
			reply.Records, reply.Snapshot = nil, snapshot
		}
	}
	n.queueMessage(from, reply)
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
	// This node now holds the withdrawals in reports with this digest, so they can count.
	n.evidence.MarkCovered(keys.Digest(m.Pending))
	n.updateEvidence(now)
}

// restore replaces the configuration by a snapshot if the snapshot is newer.
func (n *Node) restore(now time.Duration, data []byte) {
	state, err := config.Restore(data)
	if err != nil || state.Offset() <= n.state.Offset() {
		return
	}
	n.state = state
	n.control.recentRecords = n.control.recentRecords[:0]
	n.control.gap = false
	n.apply(now, changes{all: true})
}
