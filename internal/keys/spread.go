package keys

import (
	"slices"

	"cardamomhatch/internal/mesh"
)

// Withdrawals contains pending withdrawals of the sender. The receiver withdraws these
// keys and answers with WithdrawalsHeld.
type Withdrawals struct{ IDs []ID }

// MessageName implements mesh.Message.
func (Withdrawals) MessageName() string { return "withdrawals" }

// WithdrawalsHeld confirms that the sender holds the withdrawals and refuses these
// keys.
type WithdrawalsHeld struct{ IDs []ID }

// MessageName implements mesh.Message.
func (WithdrawalsHeld) MessageName() string { return "withdrawals-held" }

func init() {
	mesh.RegisterMessage(Withdrawals{})
	mesh.RegisterMessage(WithdrawalsHeld{})
}

// AppendUnconfirmed appends, for each of the given nodes, a message with the pending
// withdrawals that the node has not confirmed. It must be called repeatedly until all
// are confirmed, because messages can be lost.
func (t *Table) AppendUnconfirmed(self mesh.NodeID, to []mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	if len(t.pending) == 0 {
		return out
	}
	all := t.Pending()
	for _, node := range to {
		if node == self {
			continue
		}
		var ids []ID
		for _, id := range all {
			if !slices.Contains(t.pending[id].confirmed, node) {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			out = append(out, mesh.Envelope{From: self, To: node, Message: Withdrawals{IDs: ids}})
		}
	}
	return out
}

// Deliver handles a message of this package. It returns the withdrawals that are new to
// this node, which the node must forward and append to the log.
func (t *Table) Deliver(self, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) ([]ID, []mesh.Envelope) {
	switch m := m.(type) {
	case Withdrawals:
		var added []ID
		for _, id := range m.IDs {
			if t.Withdraw(id) {
				added = append(added, id)
			}
			t.confirm(id, from)
		}
		held := WithdrawalsHeld(m)
		return added, append(out, mesh.Envelope{From: self, To: from, Message: held})
	case WithdrawalsHeld:
		for _, id := range m.IDs {
			t.confirm(id, from)
		}
	}
	return nil, out
}

// confirm records that a node holds a pending withdrawal.
func (t *Table) confirm(id ID, node mesh.NodeID) {
	p, isPending := t.pending[id]
	if isPending && !slices.Contains(p.confirmed, node) {
		p.confirmed = append(p.confirmed, node)
	}
}

// ConfirmedBy reports whether a node has confirmed the pending withdrawal. It returns
// false once the log contains the withdrawal, since confirmations are then discarded.
func (t *Table) ConfirmedBy(id ID, node mesh.NodeID) bool {
	p, isPending := t.pending[id]
	return isPending && slices.Contains(p.confirmed, node)
}

// Unconfirmed returns those of the given nodes that have not confirmed the pending
// withdrawal. It returns none if the withdrawal is not pending.
func (t *Table) Unconfirmed(id ID, nodes []mesh.NodeID) []mesh.NodeID {
	var missing []mesh.NodeID
	for _, node := range nodes {
		if _, isPending := t.pending[id]; isPending && !t.ConfirmedBy(id, node) {
			missing = append(missing, node)
		}
	}
	return missing
}
