package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/timeline"
)

// Times for proposals. A proposal that is not folded in proposalTimeout is
// reported as undecided; its record may still be folded later.
const (
	proposalTimeout   = 10 * time.Second
	withdrawalTimeout = 2 * time.Second
	reappendInterval  = time.Second
)

// proposal is a record that this node has asked the log to append.
type proposal struct {
	token     string
	task      string // the assignment task it belongs to, or empty
	id        config.Token
	data      []byte
	operator  bool // an operator waits for the decision
	deadline  time.Duration
	lost      bool          // any append ended without an answer
	unknown   bool          // the last append ended without an answer
	unknownAt time.Duration // time of that end
}

// propose appends a record. A repeated append carries the same token and folds
// only once.
func (n *Node) propose(now time.Duration, token string, data []byte, operator bool) {
	id, err := config.ParseToken(token)
	if err != nil {
		n.reject(&proposal{token: token, operator: operator}, err.Error())
		return
	}
	if offset, verdict, found := n.state.Find(id); found {
		n.decided(&proposal{token: token, operator: operator}, verdict, offset)
		return
	}
	if p := n.control.proposals[token]; p != nil {
		p.deadline = now + proposalTimeout // the first record under a token counts
		return
	}
	n.control.proposals[token] = &proposal{
		token: token, id: id, data: data, operator: operator, deadline: now + proposalTimeout,
	}
	n.emit(Effect{Kind: Append, AppendID: token, Data: data})
}

// forget removes a proposal that has been decided or given up.
func (n *Node) forget(p *proposal) {
	delete(n.control.proposals, p.token)
	if n.control.tasks[p.task] == p.token {
		delete(n.control.tasks, p.task)
	}
}

func (n *Node) appendEnded(now time.Duration, ev *AppendEnded) {
	if ev.Token == n.control.snapshots.token {
		n.snapshotEnded(now, ev)
		return
	}
	p := n.control.proposals[ev.Token]
	if p == nil || ev.Err == nil {
		return
	}
	p.lost = p.lost || errors.Is(ev.Err, logservice.ErrUnknown)
	if p.lost {
		// An earlier append may have taken effect even if this one has not.
		p.unknown = true
		p.unknownAt = now
		return
	}
	n.forget(p)
	n.reject(p, fmt.Sprintf("the log did not take the record: %v", ev.Err))
}

// reappend repeats appends that ended without an answer, once the log was read
// to its head afterwards and the record is not there.
func (n *Node) reappend(now, askedAt time.Duration) {
	for _, token := range sortedTokens(n.control.proposals) {
		p := n.control.proposals[token]
		if p.unknown && askedAt >= p.unknownAt+reappendInterval {
			p.unknown = false
			n.emit(Effect{Kind: Append, AppendID: p.token, Data: p.data})
		}
	}
}

func (n *Node) expireProposals(now time.Duration) {
	for _, token := range sortedTokens(n.control.proposals) {
		p := n.control.proposals[token]
		if now >= p.deadline {
			n.forget(p)
			n.undecided(p, "the log has not confirmed the record; it may still take effect")
		}
	}
}

// settleProposals answers the proposals whose records have been folded.
func (n *Node) settleProposals() {
	for _, token := range sortedTokens(n.control.proposals) {
		p := n.control.proposals[token]
		offset, verdict, found := n.state.Find(p.id)
		if !found {
			continue
		}
		n.forget(p)
		n.decided(p, verdict, offset)
	}
}

func (n *Node) decided(p *proposal, v config.Verdict, offset uint64) {
	if !p.operator {
		return
	}
	if v.Kind == config.Accepted || v.Kind == config.Duplicate {
		n.emit(Effect{Kind: Decided, AppendID: p.token, Decision: &Decision{Accepted: true, Offset: offset}})
		return
	}
	n.reject(p, v.String())
}

func (n *Node) reject(p *proposal, reason string) {
	if p.operator {
		n.emit(Effect{Kind: Decided, AppendID: p.token, Decision: &Decision{Reason: reason}})
	}
}

func (n *Node) undecided(p *proposal, reason string) {
	if p.operator {
		n.emit(Effect{Kind: Decided, AppendID: p.token, Decision: &Decision{Undecided: true, Reason: reason}})
	}
}

// withdrawal is a withdrawal of a key that an operator asked this node for.
type withdrawal struct {
	deadline time.Duration
	waiting  bool   // the operator has not been answered
	folded   uint64 // offset by which the log carried it, 0 if it does not
}

// withdraw stops a key at once, tells the other nodes and writes it to the log.
func (n *Node) withdraw(now time.Duration, id keys.ID) {
	n.control.withdrawals[id] = &withdrawal{deadline: now + withdrawalTimeout, waiting: true}
	if n.keys.Withdraw(id) {
		n.withdrawalLearned(now, id)
	}
}

// withdrawalLearned handles a withdrawal that is new to this node. Every node
// that learns of one may write it to the log; the fold takes it once.
func (n *Node) withdrawalLearned(now time.Duration, id keys.ID) {
	n.recordEvent(now, timeline.Event{Kind: timeline.KeyWithdrawn, Workspace: n.keys.Workspace(id)})
	n.setKnowledge(now)
	n.spread()
	if _, asked := n.control.withdrawals[id]; asked {
		n.appendWithdrawal(now, id)
	}
}

func (n *Node) appendWithdrawal(now time.Duration, id keys.ID) {
	n.proposeOnce(now, "withdraw "+string(id), func(h config.Header) ([]byte, error) {
		return config.NewKeyWithdrawn(h, string(id))
	})
}

// settleWithdrawals answers operators. A withdrawal is accepted when a majority of
// the panel holds it. The log alone is not enough: a majority that the log does
// not reach would go on with the key.
func (n *Node) settleWithdrawals(now time.Duration) {
	for _, id := range sortedKeyIDs(n.control.withdrawals) {
		w := n.control.withdrawals[id]
		pending := n.isPending(id)
		unconfirmed := n.keys.Unconfirmed(id, n.others())
		if !pending && w.folded == 0 {
			w.folded = n.state.Offset()
			n.evidence.Watch(w.folded - 1)
		}
		accepted := n.withdrawalHeld(id, w, pending)
		done := accepted && len(unconfirmed) == 0 || now >= w.deadline
		if w.waiting && done {
			w.waiting = false
			n.answerWithdrawal(id, accepted, unconfirmed)
		}
		if !pending && !w.waiting {
			n.evidence.Unwatch(w.folded - 1)
			delete(n.control.withdrawals, id)
		}
	}
	n.retryWithdrawals(now)
}

func (n *Node) withdrawalHeld(id keys.ID, w *withdrawal, pending bool) bool {
	if pending {
		return n.heldByMajority(id)
	}
	return n.state.Panel().Epoch == 0 || n.evidence.Acknowledged(w.folded-1)
}

func (n *Node) answerWithdrawal(id keys.ID, accepted bool, unconfirmed []mesh.NodeID) {
	d := &Decision{Accepted: accepted, Unconfirmed: unconfirmed}
	if !accepted {
		d.Undecided = true
		d.Reason = "no majority of the panel holds the withdrawal yet; it stays in force where it is known"
	}
	n.emit(Effect{Kind: Decided, AppendID: string(id), Decision: d})
}

// retryWithdrawals writes pending withdrawals to the log when it is back, or when
// only the node that the operator asked cannot reach it. Every member of the panel
// does so: a node that has only the log to rely on learns of them there.
func (n *Node) retryWithdrawals(now time.Duration) {
	if now < n.control.nextWithdrawal || n.control.logDown || len(n.keys.Pending()) == 0 || !n.inPanel() {
		return
	}
	n.control.nextWithdrawal = now + reappendInterval
	for _, id := range n.keys.Pending() {
		n.appendWithdrawal(now, id)
	}
}

func (n *Node) inPanel() bool { return slices.Contains(n.state.Panel().Members, n.cfg.Self.Node) }

func (n *Node) isPending(id keys.ID) bool {
	for _, other := range n.keys.Pending() {
		if other == id {
			return true
		}
	}
	return false
}

func (n *Node) heldByMajority(id keys.ID) bool {
	return n.evidence.Majority(func(node mesh.NodeID) bool {
		return node == n.cfg.Self.Node || n.keys.Confirmed(id, node)
	})
}
