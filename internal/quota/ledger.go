package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Ledger is the quota state of one node.
type Ledger struct{}

// New returns a ledger without limits.
func New(self mesh.NodeID, cfg Config) *Ledger { return &Ledger{} }

// SetLimits replaces the limits of all workspaces.
func (l *Ledger) SetLimits(now time.Duration, limits []Limit) {}

// SetShares replaces the shares of a workspace.
func (l *Ledger) SetShares(now time.Duration, ws mesh.Workspace, shares []Share) {}

// Activate notes that the record of a share is effective.
func (l *Ledger) Activate(now time.Duration, ws mesh.Workspace, index int) {}

// Inactive returns this node's shares that wait for Activate.
func (l *Ledger) Inactive() []Share { return nil }

// SetFreshUntil states until when this node's evidence is fresh.
func (l *Ledger) SetFreshUntil(until time.Duration) {}

// Take admits a call, refuses it, or lets it wait. After Waiting the caller
// collects messages with Outgoing.
func (l *Ledger) Take(now time.Duration, ws mesh.Workspace, call mesh.CallID) Result { return NoCredit }

// Outgoing appends the messages that Take has caused.
func (l *Ledger) Outgoing(now time.Duration, out []mesh.Envelope) []mesh.Envelope { return out }

// Forget drops a call that waits and whose caller has gone.
func (l *Ledger) Forget(ws mesh.Workspace, call mesh.CallID) {}

// Deliver takes a message of this package.
func (l *Ledger) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	return out
}

// Tick is called every few milliseconds while calls wait, and at least every 50 ms.
func (l *Ledger) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope { return out }

// Settled returns the waiting calls that were decided since the last call.
func (l *Ledger) Settled() []Settlement { return nil }

// HandOver releases this node's shares to successor in a planned stop.
func (l *Ledger) HandOver(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	return out
}
