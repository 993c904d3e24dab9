package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/timeline"
)

const (
	// proposalTimeout is how long a proposal waits until it is reported as undecided.
	// Its record may still be folded later.
	proposalTimeout = 10 * time.Second
	// withdrawalTimeout is how long an operator waits at most for the decision on a
	// withdrawal.
	withdrawalTimeout = 2 * time.Second
	// reappendInterval is the minimum time before an append with an unknown result,
	// or the append of a pending withdrawal, is repeated.
	reappendInterval = time.Second
)

// proposal is a record that this node has sent to the log and not yet folded.
type proposal struct {
	token         string
	task          string // the task that it belongs to, or empty
	parsedToken   config.Token
	data          []byte // encoded record
	operatorWaits bool   // an operator waits for the decision
	deadline      time.Duration
	mayBeAppended bool          // an append may have taken effect, since its result was unknown
	needsReappend bool          // to be appended again unless the log turns out to contain it
	lastAppendEnd time.Duration // when the last append ended; set with needsReappend
}

// propose appends a record to the log, unless a record with the same token is known
// already. A repeated append carries the same token, so that the record takes effect
// only once.
func (n *Node) propose(now time.Duration, token string, data []byte, operatorWaits bool) {
	parsedToken, err := config.ParseToken(token)
	if err != nil {
		n.reportRejection(&proposal{token: token, operatorWaits: operatorWaits}, err.Error())
		return
	}
	if offset, verdict, found := n.state.FindByToken(parsedToken); found {
		n.reportVerdict(&proposal{token: token, operatorWaits: operatorWaits}, verdict, offset)
		return
	}
	if p := n.control.proposals[token]; p != nil {
		p.deadline = now + proposalTimeout // the first record with the token is kept
		return
	}
	n.control.proposals[token] = &proposal{
		token: token, parsedToken: parsedToken, data: data, operatorWaits: operatorWaits, deadline: now + proposalTimeout,
	}
	n.emit(Effect{Kind: Append, RequestID: token, Data: data})
}

// removeProposal removes a proposal that was decided or has timed out.
func (n *Node) removeProposal(p *proposal) {
	delete(n.control.proposals, p.token)
	if n.control.tasks[p.task] == p.token {
		delete(n.control.tasks, p.task)
	}
}

func (n *Node) appendEnded(now time.Duration, ev *AppendEnded) {
	if ev.RequestID == n.control.snapshots.token {
		n.snapshotEnded(now, ev)
		return
	}
	p := n.control.proposals[ev.RequestID]
	if p == nil || ev.Err == nil {
		return
	}
	p.mayBeAppended = p.mayBeAppended || errors.Is(ev.Err, logservice.ErrUnknown)
	if p.mayBeAppended {
		// An earlier append may have taken effect even if this one has not.
		p.needsReappend = true
		p.lastAppendEnd = now
		return
	}
	n.removeProposal(p)
	n.reportRejection(p, fmt.Sprintf("the log did not take the record: %v", ev.Err))
}

// reappend repeats appends with an unknown result, once a later read of the log has
// reached its head without finding the record.
func (n *Node) reappend(now, readSentAt time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(n.control.proposals)) {
		p := n.control.proposals[token]
		if p.needsReappend && readSentAt >= p.lastAppendEnd+reappendInterval {
			p.needsReappend = false
			n.emit(Effect{Kind: Append, RequestID: p.token, Data: p.data})
		}
	}
}

func (n *Node) expireProposals(now time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(n.control.proposals)) {
		p := n.control.proposals[token]
		if now >= p.deadline {
			n.removeProposal(p)
			n.reportUndecided(p, "the log has not confirmed the record; it may still take effect")
		}
	}
}

// settleProposals reports the verdicts on proposals whose records were folded.
func (n *Node) settleProposals() {
	for _, token := range slices.Sorted(maps.Keys(n.control.proposals)) {
		p := n.control.proposals[token]
		offset, verdict, found := n.state.FindByToken(p.parsedToken)
		if !found {
			continue
		}
		n.removeProposal(p)
		n.reportVerdict(p, verdict, offset)
	}
}

func (n *Node) reportVerdict(p *proposal, verdict config.Verdict, offset uint64) {
	if !p.operatorWaits {
		return
	}
	if verdict.Kind == config.Accepted || verdict.Kind == config.Duplicate {
		n.emit(Effect{Kind: Decided, RequestID: p.token, Decision: &Decision{Accepted: true, Offset: offset}})
		return
	}
	n.reportRejection(p, verdict.String())
}

func (n *Node) reportRejection(p *proposal, reason string) {
	if p.operatorWaits {
		n.emit(Effect{Kind: Decided, RequestID: p.token, Decision: &Decision{Reason: reason}})
	}
}

func (n *Node) reportUndecided(p *proposal, reason string) {
	if p.operatorWaits {
		n.emit(Effect{Kind: Decided, RequestID: p.token, Decision: &Decision{Undecided: true, Reason: reason}})
	}
}

// withdrawal is the withdrawal of a key that an operator requested at this node.
type withdrawal struct {
	deadline      time.Duration
	operatorWaits bool   // the operator has not received the decision yet
	nextOffset    uint64 // next offset to fold when this node first found the withdrawal folded; 0 before
}

// withdrawKey refuses a key from now on, informs the other nodes and writes the
// withdrawal to the log.
func (n *Node) withdrawKey(now time.Duration, id keys.ID) {
	n.control.withdrawals[id] = &withdrawal{deadline: now + withdrawalTimeout, operatorWaits: true}
	// A withdrawal that this node knew already is in the log, or panel members append it.
	if n.keys.Withdraw(id) {
		n.withdrawalLearned(now, id)
	}
}

// withdrawalLearned handles a withdrawal that is new to this node: it sends all pending
// withdrawals to the other members and, if an operator requested this one here, writes
// it to the log. Several nodes may write the same withdrawal; it takes effect once.
func (n *Node) withdrawalLearned(now time.Duration, id keys.ID) {
	n.recordEvent(now, timeline.Event{Kind: timeline.KeyWithdrawn, Workspace: n.keys.Workspace(id)})
	n.updateEvidence(now)
	n.resendWithdrawals()
	if _, requestedHere := n.control.withdrawals[id]; requestedHere {
		n.appendWithdrawal(now, id)
	}
}

func (n *Node) appendWithdrawal(now time.Duration, id keys.ID) {
	n.proposeOnce(now, "withdraw "+string(id), func(h config.Header) ([]byte, error) {
		return config.NewKeyWithdrawn(h, string(id))
	})
}

// settleWithdrawals reports decisions on withdrawals to operators. A withdrawal is
// accepted when a majority of the panel has it. A record in the log is not enough:
// a majority that cannot reach the log would continue to accept the key.
func (n *Node) settleWithdrawals(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(n.control.withdrawals)) {
		w := n.control.withdrawals[id]
		pending := n.isPending(id)
		unconfirmed := n.keys.Unconfirmed(id, n.otherMembers())
		if !pending && w.nextOffset == 0 {
			w.nextOffset = n.state.Offset()
			// A node that acknowledges the last folded record has folded the withdrawal too.
			n.evidence.Watch(w.nextOffset - 1)
		}
		accepted := n.withdrawalAccepted(id, w, pending)
		done := accepted && len(unconfirmed) == 0 || now >= w.deadline
		if w.operatorWaits && done {
			w.operatorWaits = false
			n.reportWithdrawal(id, accepted, unconfirmed)
		}
		if !pending && !w.operatorWaits {
			n.evidence.Unwatch(w.nextOffset - 1)
			delete(n.control.withdrawals, id)
		}
	}
	n.appendWithdrawals(now)
}

// withdrawalAccepted reports whether a majority of the panel has the withdrawal. Without
// a panel all evidence comes from the log, and the folded record is enough.
func (n *Node) withdrawalAccepted(id keys.ID, w *withdrawal, pending bool) bool {
	if pending {
		return n.confirmedByMajority(id)
	}
	return n.state.Panel().Epoch == 0 || n.evidence.Acknowledged(w.nextOffset-1)
}

func (n *Node) reportWithdrawal(id keys.ID, accepted bool, unconfirmed []mesh.NodeID) {
	d := &Decision{Accepted: accepted, Unconfirmed: unconfirmed}
	if !accepted {
		d.Undecided = true
		d.Reason = "no majority of the panel holds the withdrawal yet; it stays in force where it is known"
	}
	n.emit(Effect{Kind: Decided, RequestID: string(id), Decision: d})
}

// appendWithdrawals writes pending withdrawals to the log at every panel member. The
// node that received the operator's request may not have reached the log, and nodes
// that can reach only the log learn of withdrawals there.
func (n *Node) appendWithdrawals(now time.Duration) {
	if now < n.control.nextWithdrawalAppend || n.control.logDown || len(n.keys.Pending()) == 0 || !n.inPanel() {
		return
	}
	n.control.nextWithdrawalAppend = now + reappendInterval
	for _, id := range n.keys.Pending() {
		n.appendWithdrawal(now, id)
	}
}

func (n *Node) inPanel() bool { return slices.Contains(n.state.Panel().Members, n.cfg.Self.Node) }

func (n *Node) isPending(id keys.ID) bool { return slices.Contains(n.keys.Pending(), id) }

func (n *Node) confirmedByMajority(id keys.ID) bool {
	return n.evidence.HasMajority(func(node mesh.NodeID) bool {
		return node == n.cfg.Self.Node || n.keys.ConfirmedBy(id, node)
	})
}
