package keys

import (
	"slices"

	"cardamomhatch/internal/mesh"
)

// Withdrawals carries pending withdrawals from node to node. The receiver
// withdraws them and answers with WithdrawalsHeld.
type Withdrawals struct{ IDs []ID }

// MessageName implements mesh.Message.
func (Withdrawals) MessageName() string { return "withdrawals" }

// WithdrawalsHeld confirms that the sender refuses these keys.
type WithdrawalsHeld struct{ IDs []ID }

// MessageName implements mesh.Message.
func (WithdrawalsHeld) MessageName() string { return "withdrawals-held" }

func init() {
	mesh.RegisterMessage(Withdrawals{})
	mesh.RegisterMessage(WithdrawalsHeld{})
}

// AppendUnconfirmed appends, for each of the given nodes, the pending withdrawals that the
// node has not confirmed. It is repeated until they confirm, since messages
// can be lost.
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

// Deliver takes a message of this package. It returns the withdrawals that are
// new here, for the caller to pass on and to append to the log.
func (t *Table) Deliver(self, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) ([]ID, []mesh.Envelope) {
	switch m := m.(type) {
	case Withdrawals:
		var fresh []ID
		for _, id := range m.IDs {
			if t.Withdraw(id) {
				fresh = append(fresh, id)
			}
			t.confirm(id, from)
		}
		held := WithdrawalsHeld(m)
		return fresh, append(out, mesh.Envelope{From: self, To: from, Message: held})
	case WithdrawalsHeld:
		for _, id := range m.IDs {
			t.confirm(id, from)
		}
	}
	return nil, out
}

func (t *Table) confirm(id ID, node mesh.NodeID) {
	p, waiting := t.pending[id]
	if waiting && !slices.Contains(p.confirmed, node) {
		p.confirmed = append(p.confirmed, node)
	}
}

// Confirmed reports whether a node holds the withdrawal, by its own message.
// Once the withdrawal is folded, who confirmed it is no longer kept.
func (t *Table) Confirmed(id ID, node mesh.NodeID) bool {
	p, waiting := t.pending[id]
	return waiting && slices.Contains(p.confirmed, node)
}

// Unconfirmed returns those of the given nodes that have not confirmed the
// pending withdrawal. It returns none if the withdrawal is folded.
func (t *Table) Unconfirmed(id ID, nodes []mesh.NodeID) []mesh.NodeID {
	var missing []mesh.NodeID
	for _, node := range nodes {
		if _, waiting := t.pending[id]; waiting && !t.Confirmed(id, node) {
			missing = append(missing, node)
		}
	}
	return missing
}
