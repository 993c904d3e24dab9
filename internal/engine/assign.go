package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/quota"
)

// Sizes of the panel. They are odd, so that a majority is as small as possible.
const (
	maxPanel         = 15
	maxPanelLarge    = 19 // of a mesh in largeDataCentres or more
	largeDataCentres = 4
)

// assign keeps the assignments in the log up to date: this node's own entry,
// the panel, the shares and the removal of dead nodes. Each task is done by the
// node that ranks first for it; the fold rejects what two nodes do at once.
func (n *Node) assign(now time.Duration) {
	if n.control.logDown || !n.control.atHead || n.stopping {
		return
	}
	if now >= n.control.probePanel {
		n.control.probePanel = now + assignCheckInterval
		n.probePanel()
		if n.removed() {
			return // it shows by the next time whether the panel is in reach
		}
	}
	n.writeSnapshot(now)
	settled := !n.control.assignDirty && len(n.control.unreachable) == 0
	if settled && now < n.control.assignCheck {
		return
	}
	n.control.assignDirty = false
	n.control.assignCheck = now + assignCheckInterval
	if !n.joined() {
		n.control.assignDirty = true
		if !n.mayJoin() {
			return
		}
		n.proposeOnce(now, "join", func(h config.Header) ([]byte, error) { return config.NewNodeJoined(h, n.cfg.Self) })
		return
	}
	n.checkUnreachable()
	if len(n.control.unreachable) > 0 && !n.reachesMajority(now) {
		return
	}
	n.removeDead(now)
	n.assignPanel(now)
	n.assignShares(now)
}

// readToHead is called when a read has reached the head of the log.
func (n *Node) readToHead(now, askedAt time.Duration) { n.reappend(now, askedAt) }

// joined reports whether the log lists this incarnation.
func (n *Node) joined() bool { return n.isMember(n.cfg.Self.Node) }

// proposeOnce proposes a record unless the same task has one under way.
func (n *Node) proposeOnce(now time.Duration, task string, build func(config.Header) ([]byte, error)) {
	if n.control.tasks[task] != "" {
		return
	}
	h := config.Header{Token: n.newToken(), By: n.cfg.Self.Node, At: time.Unix(0, n.wall(now)), After: n.state.Offset()}
	data, err := build(h)
	if err != nil {
		panic(errors.Wrapf(err, "record for task %q", task)) // all inputs are folded state
	}
	token := h.Token.String()
	n.propose(now, token, data, false)
	n.control.tasks[task] = token
	n.control.proposals[token].task = task
}

// newToken draws the token of a record.
func (n *Node) newToken() config.Token {
	var t config.Token
	for i := range t {
		t[i] = byte(n.random.Uint32())
	}
	return t
}

// assigns reports whether this node ranks first for a task among the members
// that it can reach.
func (n *Node) assigns(task string) bool {
	return n.joined() && n.assigner(task) == n.cfg.Self.Node
}

// assigner returns the member that ranks first for a task among those that this
// node can reach.
func (n *Node) assigner(task string) mesh.NodeID {
	var best mesh.NodeID
	var most uint64
	for _, m := range n.control.folded {
		score := mesh.RendezvousScore(task, m.Node)
		if (best.IsZero() || score > most) && !n.isUnreachable(m.Node) {
			best, most = m.Node, score
		}
	}
	return best
}

func (n *Node) isUnreachable(node mesh.NodeID) bool {
	_, dead := n.control.unreachable[node]
	return dead
}

// reachable returns the members of the log that this node has no reason to
// believe dead.
func (n *Node) reachable() []mesh.Member {
	members := make([]mesh.Member, 0, len(n.control.folded))
	for _, m := range n.control.folded {
		if !n.isUnreachable(m.Node) {
			members = append(members, m)
		}
	}
	return members
}

// rank orders members for a key by rendezvous hash, best first.
func rank(key string, members []mesh.Member) []mesh.Member {
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

// reachesPanel reports whether a majority of the panel, if there is one, is not
// known to be out of reach. A node that is cut off from all others, but not from
// the log, would remove the whole mesh and make a panel of its own.
func (n *Node) reachesPanel() bool {
	return n.state.Panel().Epoch == 0 || n.evidence.HasMajority(func(node mesh.NodeID) bool { return !n.isUnreachable(node) })
}

// mayJoin reports whether a join makes sense. A node that was removed waits until
// it reaches the others again; it would only be removed once more.
func (n *Node) mayJoin() bool {
	return !n.removed() || n.state.MayJoin(n.cfg.Self.Node) && n.reachesPanel()
}

// removed reports whether the log says that this node has left.
func (n *Node) removed() bool {
	_, gone := n.state.Departed(n.cfg.Self.Node)
	return gone
}

// checkUnreachable asks the nodes that could not be reached for their status,
// and tells the nodes that would remove them.
func (n *Node) checkUnreachable() {
	for _, node := range n.unreachableNodes() {
		if !n.isMember(node) {
			delete(n.control.unreachable, node)
			continue
		}
		n.post(node, StatusRequest{})
		if assigner := n.assigner(removal(node)); assigner != n.cfg.Self.Node {
			n.post(assigner, Suspect{Node: node})
		}
	}
}

// removeDead records the departure of nodes that have been unreachable for
// long. A node that is alive after all joins again when it reads this.
func (n *Node) removeDead(now time.Duration) {
	for _, node := range n.unreachableNodes() {
		if now-n.control.unreachable[node] < unreachableAfter || !n.assigns(removal(node)) {
			continue
		}
		n.proposeOnce(now, removal(node), func(h config.Header) ([]byte, error) {
			return config.NewNodeLeft(h, node, mesh.NodeID{})
		})
	}
}

func removal(node mesh.NodeID) string { return "remove " + node.String() }

func (n *Node) unreachableNodes() []mesh.NodeID {
	return slices.SortedFunc(maps.Keys(n.control.unreachable), compareNodes)
}

// reachesMajority asks the panel for its status and reports whether a
// majority has given one lately. A node that is cut off itself, but reaches the
// log, must not remove all others.
func (n *Node) reachesMajority(now time.Duration) bool {
	for _, member := range n.state.Panel().Members {
		if member != n.cfg.Self.Node {
			n.post(member, StatusRequest{})
		}
	}
	return n.evidence.HasMajority(func(node mesh.NodeID) bool {
		s, known := n.control.status[node]
		return node == n.cfg.Self.Node || known && now-s.At <= 2*assignInterval
	})
}

// suspected checks a node that another one cannot reach. Only what this node
// finds itself can lead to a removal.
func (n *Node) suspected(node mesh.NodeID) {
	if n.isMember(node) && !n.isUnreachable(node) && node != n.cfg.Self.Node {
		n.post(node, StatusRequest{})
	}
}

// probePanel asks the members of the panel for their status: the node that
// assigns the panel does so regularly, and a node that was removed does so before
// it joins again. While the log is up
// nothing else may be sent to them, and a panel of dead nodes would be found out
// only in the next outage of the log.
func (n *Node) probePanel() {
	if n.removed() {
		clear(n.control.unreachable) // nobody answers a removed node
	} else if !n.assigns("panel") {
		return
	}
	for _, node := range n.state.Panel().Members {
		if node != n.cfg.Self.Node {
			n.post(node, StatusRequest{})
		}
	}
}

// isMember reports whether the log lists a node.
func (n *Node) isMember(node mesh.NodeID) bool {
	m, ok := n.state.Member(node.Host)
	return ok && m.Node == node
}

// assignPanel names a new panel when a member of the current one has left, and
// settles a new panel when it is in force.
func (n *Node) assignPanel(now time.Duration) {
	p := n.state.Panel()
	if !p.Settled && p.Epoch > 0 {
		n.control.assignDirty = true
		n.settlePanel(now, p)
		return
	}
	if !n.assigns("panel") {
		return
	}
	want := n.wantedPanel(p)
	if slices.Equal(want, p.Members) {
		return
	}
	n.control.assignDirty = true
	n.proposeOnce(now, "panel", func(h config.Header) ([]byte, error) { return config.NewPanel(h, p.Epoch+1, want) })
}

func (n *Node) settlePanel(now time.Duration, p config.Panel) {
	if len(p.Previous) > 0 {
		n.evidence.Watch(p.Offset)
		if !n.evidence.InForce(now, p.Offset) {
			return
		}
	}
	if n.assigns("panel") {
		n.proposeOnce(now, "settle", func(h config.Header) ([]byte, error) { return config.NewPanelSettled(h, p.Epoch) })
	}
}

// wantedPanel keeps the members that are still there and fills up by rank, one
// data centre after the other.
func (n *Node) wantedPanel(p config.Panel) []mesh.NodeID {
	members := rank("panel", n.control.folded)
	size := maxPanel
	if n.dataCentres(members) >= largeDataCentres {
		size = maxPanelLarge
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

func (n *Node) dataCentres(members []mesh.Member) int {
	seen := make(map[mesh.DataCentre]bool)
	for _, m := range members {
		seen[m.DataCentre] = true
	}
	return len(seen)
}

// nextForPanel returns the best ranked member that is not chosen yet, from the
// data centre with the fewest chosen.
func nextForPanel(ranked []mesh.Member, chosen []mesh.NodeID) mesh.NodeID {
	perDataCentre := make(map[mesh.DataCentre]int)
	taken := make(map[mesh.NodeID]bool)
	for _, id := range chosen {
		taken[id] = true
	}
	for _, m := range ranked {
		if taken[m.Node] {
			perDataCentre[m.DataCentre]++
		}
	}
	var best *mesh.Member
	for i, m := range ranked {
		if taken[m.Node] {
			continue
		}
		if best == nil || perDataCentre[m.DataCentre] < perDataCentre[best.DataCentre] {
			best = &ranked[i]
		}
	}
	return best.Node
}

// assignShares assigns the shares of a workspace that have no live holder.
// Shares with a live holder stay where they are.
func (n *Node) assignShares(now time.Duration) {
	for _, ws := range sortedWorkspaces(n.state.Mesh()) {
		if !n.lacksHolder(ws) {
			continue
		}
		n.control.assignDirty = true // until a holder is in the log, whoever assigns it
		if !n.assigns("shares " + string(ws)) {
			continue
		}
		if want := n.wantedShares(ws); len(want) > 0 {
			epoch := n.state.SharesEpoch(ws)
			n.proposeOnce(now, "shares "+string(ws), func(h config.Header) ([]byte, error) {
				return config.NewShares(h, ws, epoch, want)
			})
		}
	}
}

// lacksHolder reports whether a share of the workspace has no live holder.
func (n *Node) lacksHolder(ws mesh.Workspace) bool {
	shares := n.state.Shares(ws)
	for _, s := range shares {
		if !n.isMember(s.Holder) {
			return true
		}
	}
	return len(shares) == 0
}

// wantedShares returns the holders of the shares by index. The number of shares
// stays as it is: a change would stop all shares of the workspace at once.
func (n *Node) wantedShares(ws mesh.Workspace) []mesh.NodeID {
	members := rank("shares "+string(ws), n.reachable())
	current := n.state.Shares(ws)
	count := len(current)
	if count == 0 {
		count = quota.ShareCount(n.state.Mesh().Workspaces[ws].Burst, len(members))
	}
	holders := make([]mesh.NodeID, count)
	used := make(map[mesh.NodeID]bool)
	for i, s := range current {
		if n.isMember(s.Holder) {
			holders[i] = s.Holder
			used[s.Holder] = true
		}
	}
	for i := range holders {
		if holders[i] == (mesh.NodeID{}) {
			holders[i] = n.nextHolder(current, i, members, used)
			used[holders[i]] = true
		}
	}
	return holders
}

// nextHolder returns the successor of a holder that stopped as planned, which has
// got its shares and need not wait, or the best ranked member without a share.
func (n *Node) nextHolder(current []config.Share, index int, ranked []mesh.Member, used map[mesh.NodeID]bool) mesh.NodeID {
	if index < len(current) {
		successor, _ := n.state.Departed(current[index].Holder)
		if slices.ContainsFunc(ranked, func(m mesh.Member) bool { return m.Node == successor }) {
			return successor
		}
	}
	return firstUnused(ranked, used)
}

// firstUnused returns the best ranked member without a share, or the best
// ranked one if all have one.
func firstUnused(ranked []mesh.Member, used map[mesh.NodeID]bool) mesh.NodeID {
	for _, m := range ranked {
		if !used[m.Node] {
			return m.Node
		}
	}
	return ranked[0].Node
}

func sortedWorkspaces(m *declaration.Mesh) []mesh.Workspace {
	return slices.Sorted(maps.Keys(m.Workspaces))
}

func sortedTokens(proposals map[string]*proposal) []string {
	tokens := make([]string, 0, len(proposals))
	for token := range proposals {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

func sortedKeyIDs(withdrawals map[keys.ID]*withdrawal) []keys.ID {
	ids := make([]keys.ID, 0, len(withdrawals))
	for id := range withdrawals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
