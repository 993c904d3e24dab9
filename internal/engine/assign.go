package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/quota"
)

// Sizes of the panel, the nodes whose majority shows that a configuration is current
// while the log is unavailable. They are odd, since an even size needs a larger
// majority without tolerating more failures.
const (
	maxPanelSize         = 15
	maxPanelSizeLarge    = 19 // with at least largeMeshDataCentres data centres
	largeMeshDataCentres = 4
)

// assign keeps the assignments in the log up to date: the membership of this node,
// the panel, the shares and the removal of unreachable nodes. A node proposes its own
// join. Each other task belongs to the member that ranks first for it. If two nodes
// do the same task at once, only the first record in the log is accepted.
func (n *Node) assign(now time.Duration) {
	if n.control.logDown || !n.control.reachedHead || n.stopping {
		return
	}
	if now >= n.control.nextPanelProbe {
		n.control.nextPanelProbe = now + assignCheckInterval
		n.probePanel()
		if n.removed() {
			return // the next pass of assign knows which of the requests have failed
		}
	}
	n.writeSnapshot(now)
	upToDate := !n.control.assignDirty && len(n.control.unreachableSince) == 0
	if upToDate && now < n.control.nextAssignCheck {
		return
	}
	n.control.assignDirty = false
	n.control.nextAssignCheck = now + assignCheckInterval
	if !n.joined() {
		n.control.assignDirty = true
		if !n.mayJoin() {
			return
		}
		n.proposeOnce(now, "join", func(h config.Header) ([]byte, error) { return config.NewNodeJoined(h, n.cfg.Self) })
		return
	}
	n.checkUnreachable()
	if len(n.control.unreachableSince) > 0 && !n.reachesMajority(now) {
		return
	}
	n.removeUnreachable(now)
	n.assignPanel(now)
	n.assignShares(now)
}

// headReached handles a read of the log that was sent at readSentAt and has reached
// the head.
func (n *Node) headReached(now, readSentAt time.Duration) { n.reappend(now, readSentAt) }

// joined reports whether this incarnation is a member in the log.
func (n *Node) joined() bool { return n.isMember(n.cfg.Self.Node) }

// proposeOnce proposes a record unless this node has a proposal of the same task in
// progress.
func (n *Node) proposeOnce(now time.Duration, task string, build func(config.Header) ([]byte, error)) {
	if n.control.tasks[task] != "" {
		return
	}
	h := config.Header{Token: n.newRecordToken(), By: n.cfg.Self.Node, At: time.Unix(0, n.unixNano(now)), After: n.state.Offset()}
	data, err := build(h)
	if err != nil {
		panic(errors.Wrapf(err, "building the record for task %q", task)) // all inputs come from folded state
	}
	token := h.Token.String()
	n.propose(now, token, data, false) // no operator waits for the decision
	n.control.tasks[task] = token
	n.control.proposals[token].task = task
}

// newRecordToken returns a random token, which identifies a record or the append of a
// snapshot.
func (n *Node) newRecordToken() config.Token {
	var t config.Token
	for i := range t {
		t[i] = byte(n.random.Uint32())
	}
	return t
}

// ownsTask reports whether this node ranks first for a task among the members that
// it can reach.
func (n *Node) ownsTask(task string) bool {
	return n.joined() && n.taskOwner(task) == n.cfg.Self.Node
}

// taskOwner returns the member that ranks first for a task among those that this
// node can reach.
func (n *Node) taskOwner(task string) mesh.NodeID {
	var best mesh.NodeID
	var highest uint64
	for _, m := range n.control.foldedMembers {
		score := mesh.RendezvousScore(task, m.Node)
		if (best.IsZero() || score > highest) && !n.isUnreachable(m.Node) {
			best, highest = m.Node, score
		}
	}
	return best
}

func (n *Node) isUnreachable(node mesh.NodeID) bool {
	_, unreachable := n.control.unreachableSince[node]
	return unreachable
}

// reachableMembers returns the members in the log that are not known to be
// unreachable.
func (n *Node) reachableMembers() []mesh.Member {
	members := make([]mesh.Member, 0, len(n.control.foldedMembers))
	for _, m := range n.control.foldedMembers {
		if !n.isUnreachable(m.Node) {
			members = append(members, m)
		}
	}
	return members
}

// rankMembers returns the members in descending order of their rendezvous scores
// for a key.
func rankMembers(key string, members []mesh.Member) []mesh.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, byRank(key))
	return ranked
}

func byRank(key string) func(a, b mesh.Member) int {
	return func(a, b mesh.Member) int {
		return cmp.Or(
			-cmp.Compare(mesh.RendezvousScore(key, a.Node), mesh.RendezvousScore(key, b.Node)),
			cmp.Compare(a.Node.Host, b.Node.Host))
	}
}

// reachesPanel reports whether there is no panel or a majority of it is not known to
// be unreachable. Without this check, a removed node that can reach the log but no
// other node would join again, remove all others and name a panel of its own.
func (n *Node) reachesPanel() bool {
	return n.state.Panel().Epoch == 0 || n.evidence.HasMajority(func(node mesh.NodeID) bool { return !n.isUnreachable(node) })
}

// mayJoin reports whether this node should propose to join. A node that was removed
// waits until it can reach the panel again; otherwise it would be removed again.
func (n *Node) mayJoin() bool {
	return !n.removed() || n.state.MayJoin(n.cfg.Self.Node) && n.reachesPanel()
}

// removed reports whether this node has left according to the log.
func (n *Node) removed() bool {
	_, departed := n.state.Departed(n.cfg.Self.Node)
	return departed
}

// checkUnreachable sends a status request to each unreachable member, whose reply would
// show that it is reachable again, and reports the member to the node that is
// responsible for its removal.
func (n *Node) checkUnreachable() {
	for _, node := range n.unreachableNodes() {
		if !n.isMember(node) {
			delete(n.control.unreachableSince, node)
			continue
		}
		n.queueMessage(node, StatusRequest{})
		if owner := n.taskOwner(removalTask(node)); owner != n.cfg.Self.Node {
			n.queueMessage(owner, Suspect{Node: node})
		}
	}
}

// removeUnreachable proposes the removal of nodes that have been unreachable for
// removeUnreachableAfter. A removed node that is still running joins again once it
// has read the record and reaches the panel; see mayJoin.
func (n *Node) removeUnreachable(now time.Duration) {
	for _, node := range n.unreachableNodes() {
		if now-n.control.unreachableSince[node] < removeUnreachableAfter || !n.ownsTask(removalTask(node)) {
			continue
		}
		n.proposeOnce(now, removalTask(node), func(h config.Header) ([]byte, error) {
			return config.NewNodeLeft(h, node, mesh.NodeID{})
		})
	}
}

func removalTask(node mesh.NodeID) string { return "remove " + node.String() }

func (n *Node) unreachableNodes() []mesh.NodeID {
	return slices.SortedFunc(maps.Keys(n.control.unreachableSince), compareNodes)
}

// reachesMajority asks the panel members for their status and reports whether a
// majority has replied within the last two assignment intervals. A node that can
// reach the log but no other node must not remove all others.
func (n *Node) reachesMajority(now time.Duration) bool {
	for _, member := range n.state.Panel().Members {
		if member != n.cfg.Self.Node {
			n.queueMessage(member, StatusRequest{})
		}
	}
	return n.evidence.HasMajority(func(node mesh.NodeID) bool {
		s, known := n.control.status[node]
		return node == n.cfg.Self.Node || known && now-s.At <= 2*assignInterval
	})
}

// suspectReported checks a node that another node has reported as unreachable. A
// node is removed only if this node cannot reach it either.
func (n *Node) suspectReported(node mesh.NodeID) {
	if n.isMember(node) && !n.isUnreachable(node) && node != n.cfg.Self.Node {
		n.queueMessage(node, StatusRequest{})
	}
}

// probePanel asks the panel members for their status. The node that assigns the
// panel does so regularly, and a node that was removed does so before it joins
// again. While the log is available there may be no other messages to panel
// members, and failures of panel members would be noticed only in the next outage of
// the log.
func (n *Node) probePanel() {
	if n.removed() {
		// Other nodes send nothing to a removed node, so no message from them would
		// delete the entries.
		clear(n.control.unreachableSince)
	} else if !n.ownsTask("panel") {
		return
	}
	for _, node := range n.state.Panel().Members {
		if node != n.cfg.Self.Node {
			n.queueMessage(node, StatusRequest{})
		}
	}
}

// isMember reports whether a node is a member in the log.
func (n *Node) isMember(node mesh.NodeID) bool {
	m, ok := n.state.Member(node.Host)
	return ok && m.Node == node
}

// assignPanel proposes a new panel when the current one differs from the desired
// one, and settles a new panel when it is in force. Until then, evidence also needs a
// majority of the previous panel.
func (n *Node) assignPanel(now time.Duration) {
	p := n.state.Panel()
	if !p.Settled && p.Epoch > 0 {
		n.control.assignDirty = true
		n.settlePanel(now, p)
		return
	}
	if !n.ownsTask("panel") {
		return
	}
	want := n.desiredPanel(p)
	if slices.Equal(want, p.Members) {
		return
	}
	n.control.assignDirty = true
	n.proposeOnce(now, "panel", func(h config.Header) ([]byte, error) { return config.NewPanel(h, p.Epoch+1, want) })
}

// settlePanel proposes to settle the panel once its record is in force. A first panel
// replaces none and need not wait. Every node collects the acknowledgements, since the
// owner of the task can change.
func (n *Node) settlePanel(now time.Duration, p config.Panel) {
	if len(p.Previous) > 0 {
		n.evidence.Watch(p.Offset)
		if !n.evidence.InForce(now, p.Offset) {
			return
		}
	}
	if n.ownsTask("panel") {
		n.proposeOnce(now, "settle", func(h config.Header) ([]byte, error) { return config.NewPanelSettled(h, p.Epoch) })
	}
}

// desiredPanel returns the panel members that are still members in the log, and fills
// the free places by rank, each from the data centre with the fewest panel members.
func (n *Node) desiredPanel(p config.Panel) []mesh.NodeID {
	members := rankMembers("panel", n.control.foldedMembers)
	size := maxPanelSize
	if n.countDataCentres(members) >= largeMeshDataCentres {
		size = maxPanelSizeLarge
	}
	size = min(size, len(members))
	var want []mesh.NodeID
	for _, id := range p.Members {
		if len(want) < size && slices.ContainsFunc(members, func(m mesh.Member) bool { return m.Node == id }) {
			want = append(want, id)
		}
	}
	for len(want) < size {
		want = append(want, nextForPanel(members, want))
	}
	slices.SortFunc(want, compareNodes)
	return want
}

func compareNodes(a, b mesh.NodeID) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (n *Node) countDataCentres(members []mesh.Member) int {
	seen := make(map[mesh.DataCentre]bool)
	for _, m := range members {
		seen[m.DataCentre] = true
	}
	return len(seen)
}

// nextForPanel returns the highest ranked member that is not chosen yet, from the
// data centre with the fewest chosen members.
func nextForPanel(ranked []mesh.Member, chosen []mesh.NodeID) mesh.NodeID {
	perDataCentre := make(map[mesh.DataCentre]int)
	isChosen := make(map[mesh.NodeID]bool)
	for _, id := range chosen {
		isChosen[id] = true
	}
	for _, m := range ranked {
		if isChosen[m.Node] {
			perDataCentre[m.DataCentre]++
		}
	}
	var best *mesh.Member
	for i, m := range ranked {
		if isChosen[m.Node] {
			continue
		}
		if best == nil || perDataCentre[m.DataCentre] < perDataCentre[best.DataCentre] {
			best = &ranked[i]
		}
	}
	return best.Node
}

// assignShares proposes holders for quota shares whose holder is no longer a member.
// Other shares keep their holder.
func (n *Node) assignShares(now time.Duration) {
	for _, ws := range sortedWorkspaces(n.state.Mesh()) {
		if !n.lacksHolder(ws) {
			continue
		}
		n.control.assignDirty = true // check again until the log names a holder, whichever node assigns it
		if !n.ownsTask("shares " + string(ws)) {
			continue
		}
		if want := n.desiredHolders(ws); len(want) > 0 {
			baseEpoch := n.state.SharesEpoch(ws)
			n.proposeOnce(now, "shares "+string(ws), func(h config.Header) ([]byte, error) {
				return config.NewShares(h, ws, baseEpoch, want)
			})
		}
	}
}

// lacksHolder reports whether the workspace has no shares or a share whose holder is
// not a member.
func (n *Node) lacksHolder(ws mesh.Workspace) bool {
	shares := n.state.Shares(ws)
	for _, s := range shares {
		if !n.isMember(s.Holder) {
			return true
		}
	}
	return len(shares) == 0
}

// desiredHolders returns the holders of the shares by index. It does not change the
// number of existing shares, since that would stop all shares of the workspace at
// once.
func (n *Node) desiredHolders(ws mesh.Workspace) []mesh.NodeID {
	members := rankMembers("shares "+string(ws), n.reachableMembers())
	current := n.state.Shares(ws)
	count := len(current)
	if count == 0 {
		count = quota.ShareCount(n.state.Mesh().Workspaces[ws].Burst, len(members))
	}
	holders := make([]mesh.NodeID, count)
	hasShare := make(map[mesh.NodeID]bool)
	for i, s := range current {
		if n.isMember(s.Holder) {
			holders[i] = s.Holder
			hasShare[s.Holder] = true
		}
	}
	for i := range holders {
		if holders[i] == (mesh.NodeID{}) {
			holders[i] = n.nextHolder(current, i, members, hasShare)
			hasShare[holders[i]] = true
		}
	}
	return holders
}

// nextHolder returns the successor of a holder that left in a planned stop, or the
// highest ranked member without a share. The successor has received the share from
// the holder and need not wait before it uses it.
func (n *Node) nextHolder(current []config.Share, index int, ranked []mesh.Member, hasShare map[mesh.NodeID]bool) mesh.NodeID {
	if index < len(current) {
		successor, _ := n.state.Departed(current[index].Holder)
		if slices.ContainsFunc(ranked, func(m mesh.Member) bool { return m.Node == successor }) {
			return successor
		}
	}
	return firstWithoutShare(ranked, hasShare)
}

// firstWithoutShare returns the highest ranked member without a share, or the highest
// ranked member if all have one.
func firstWithoutShare(ranked []mesh.Member, hasShare map[mesh.NodeID]bool) mesh.NodeID {
	for _, m := range ranked {
		if !hasShare[m.Node] {
			return m.Node
		}
	}
	return ranked[0].Node
}

func sortedWorkspaces(m *declaration.Mesh) []mesh.Workspace {
	return slices.Sorted(maps.Keys(m.Workspaces))
}
