package quota

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

var (
	holder    = mesh.NodeID{Host: "a", Incarnation: 1}
	borrower  = mesh.NodeID{Host: "b", Incarnation: 1}
	successor = mesh.NodeID{Host: "c", Incarnation: 1}
	limit     = Limit{ws, 100, 30}
)

// newTestLimiter returns a limiter that has evidence for an hour that its knowledge of the
// shares is current.
func newTestLimiter(self mesh.NodeID, s ...Share) *Limiter {
	l := New(self, Config{Seed: 1})
	l.SetLimits(0, []Limit{limit})
	l.SetShares(0, ws, s)
	l.SetFreshUntil(time.Hour)
	return l
}

func firstShare() Share {
	return Share{Workspace: ws, Count: 1, Holder: holder, Epoch: 1, First: true}
}

// takeAll takes calls until one is not taken at once, and returns how many were. It
// cancels the last call.
func takeAll(l *Limiter, now time.Duration) int {
	n := 0
	l.Tick(now, nil)
	defer func() { l.Cancel(ws, mesh.CallID(n)) }()
	for l.Take(now, ws, mesh.CallID(n)) == Taken {
		n++
	}
	return n
}

// lend lends credit for need calls from h to b. b sends the ask at sentAt, h receives it
// at askedAt, and b receives the grant at grantedAt. One call of the credit is used at once,
// by the call for which b asks.
func lend(t *testing.T, h, b *Limiter, sentAt, askedAt, grantedAt time.Duration, need int64) {
	t.Helper()
	b.Take(sentAt, ws, 1)
	out := b.Outgoing(sentAt, nil)
	a := out[len(out)-1].Message.(Ask)
	a.Need, a.Want = need*Call, need*Call
	out = h.Deliver(askedAt, borrower, a, nil)
	b.Deliver(grantedAt, holder, out[len(out)-1].Message, nil)
	b.Decisions()
}

// Guards against a loan term that starts when the grant arrives: the borrower would
// still use credit that the holder already counts as expired.
func TestLoanTermStartsWhenTheAskIsSent(t *testing.T) {
	h, b := newTestLimiter(holder, firstShare()), newTestLimiter(borrower, firstShare())
	lend(t, h, b, time.Second, time.Second, 1900*time.Millisecond, 20)
	if n := takeAll(b, 2*time.Second); n != 0 {
		t.Fatalf("%d calls used credit one loan term after it was asked for, want none", n)
	}
}

// Guards against a holder's level that accrues to the full burst while credit is
// outstanding.
func TestLentCreditDoesNotAccrueTwice(t *testing.T) {
	h, b := newTestLimiter(holder, firstShare()), newTestLimiter(borrower, firstShare())
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 30)
	at := 5*time.Second + 900*time.Millisecond
	if n := takeAll(b, at) + takeAll(h, at) + 1; n > 30 { // 1: the call taken in lend
		t.Fatalf("%d calls at one instant with a burst of 30", n)
	}
}

// Guards against a successor that ignores credit that its predecessor lent just before
// the predecessor's evidence lapsed.
func TestSuccessorReservesLentCredit(t *testing.T) {
	h, b := newTestLimiter(holder, firstShare()), newTestLimiter(borrower, firstShare())
	moved := Share{Workspace: ws, Count: 1, Holder: successor, Epoch: 2, Offset: 7}
	c := newTestLimiter(successor, moved)
	if n := takeAll(c, 4*time.Second); n != 0 {
		t.Fatalf("%d calls before the assignment was in force, want none", n)
	}
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 30)
	c.Activate(5*time.Second, ws, 0)
	at := 5*time.Second + 900*time.Millisecond
	if n := takeAll(b, at) + takeAll(c, at) + 1; n > 30 { // 1: the call taken in lend
		t.Fatalf("%d calls at one instant with a burst of 30", n)
	}
	if n := takeAll(c, 7*time.Second); n != 30 {
		t.Fatalf("the successor took %d calls 2 s after activation, want 30", n)
	}
}

// Guards against a planned stop that creates credit, or after which the successor cannot
// use the share at once although the predecessor has released it.
func TestHandOver(t *testing.T) {
	h, b := newTestLimiter(holder, firstShare()), newTestLimiter(borrower, firstShare())
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 10)
	out := h.HandOver(5*time.Second, successor, nil)
	if h.Take(5*time.Second, ws, 1) == Taken {
		t.Fatal("the share was used after it was released")
	}
	c := newTestLimiter(successor, Share{Workspace: ws, Count: 1, Holder: successor, Epoch: 20, PredecessorEpoch: 1})
	for range 2 { // the message is duplicated
		c.Deliver(5*time.Second, holder, out[len(out)-1].Message, nil)
	}
	if n := takeAll(c, 5*time.Second); n != 20 {
		t.Fatalf("the successor took %d calls, want the 20 left", n)
	}
	laterSuccessor := newTestLimiter(successor, Share{Workspace: ws, Count: 1, Holder: successor, Epoch: 30, PredecessorEpoch: 20})
	laterSuccessor.Deliver(5*time.Second, holder, out[len(out)-1].Message, nil)
	if len(laterSuccessor.Inactive()) != 1 {
		t.Fatal("a release by a holder other than the direct predecessor was accepted")
	}
}

// Guards against returned credit that counts twice when a report is duplicated, late or
// out of order.
func TestReportsAreIdempotent(t *testing.T) {
	h := newTestLimiter(holder, firstShare())
	at := 5 * time.Second
	h.Deliver(at, borrower, Ask{Workspace: ws, Loan: 1, Need: 20 * Call, Want: 20 * Call}, nil)
	old := Report{Workspace: ws, Usage: []Usage{{Loan: 1, Used: 5 * Call}}}
	last := Report{Workspace: ws, Usage: []Usage{{Loan: 1, Used: 8 * Call, Returned: 12 * Call}}}
	for _, r := range []Report{last, old, last} {
		h.Deliver(at, borrower, r, nil)
	}
	if n := takeAll(h, at); n != 22 {
		t.Fatalf("the holder took %d calls, want 22: the 10 not lent and the 12 returned", n)
	}
	h.Deliver(at+2*time.Second, borrower, last, nil)
	if n := takeAll(h, at+2*time.Second); n != 30 {
		t.Fatalf("the holder took %d calls after a report on an expired loan, want 30", n)
	}
}

// Guards against use beyond a lowered limit with credit that was lent under the earlier
// limit.
func TestLoweredLimit(t *testing.T) {
	h, b := newTestLimiter(holder, firstShare()), newTestLimiter(borrower, firstShare())
	at := 5 * time.Second
	lend(t, h, b, at, at, at, 15)
	lowered := []Limit{{ws, 10, 5}}
	b.SetLimits(at, lowered)
	lend(t, h, b, at, at, at, 10) // the holder has not applied the change yet
	if n := takeAll(b, at); n > 5 {
		t.Fatalf("%d calls were taken with credit lent under a burst of 30, want at most the current burst of 5", n)
	}
	h.SetLimits(at, lowered)
	if n := takeAll(h, at); n > 5 {
		t.Fatalf("the holder took %d calls under a burst of 5, want at most 5", n)
	}
	h.SetLimits(at, []Limit{limit})
	if n := takeAll(h, at+100*time.Millisecond); n > 15 {
		t.Fatalf("%d calls 100 ms after the limit was raised, want at most 15", n)
	}
}

// Guards against a share that grows because the share count fell, before the holders of
// the removed shares have stopped.
func TestGrowingShareWaits(t *testing.T) {
	halves := []Share{{Workspace: ws, Count: 2, Holder: holder, Epoch: 1, First: true}, {Workspace: ws, Index: 1, Count: 2, Holder: successor, Epoch: 1, First: true}}
	h := newTestLimiter(holder, halves...)
	h.SetShares(5*time.Second, ws, []Share{{Workspace: ws, Count: 1, Holder: holder, Epoch: 2}})
	if n := takeAll(h, 9*time.Second); n != 15 {
		t.Fatalf("%d calls from half of a burst of 30, want 15", n)
	}
	if len(h.Inactive()) != 1 {
		t.Fatal("the growing share does not wait for Activate")
	}
	h.Activate(9*time.Second, ws, 0)
	if n := takeAll(h, 9500*time.Millisecond); n > 15 {
		t.Fatalf("%d calls within one loan term of the growth, want at most 15", n)
	}
	if n := takeAll(h, 15*time.Second); n != 30 {
		t.Fatalf("%d calls after the growth, want 30", n)
	}
}

// Guards against use of a share after the node's evidence that its knowledge of the log is
// current has lapsed.
func TestLapsedEvidence(t *testing.T) {
	h := newTestLimiter(holder, firstShare())
	h.SetFreshUntil(5 * time.Second)
	if r := h.Take(5*time.Second, ws, 1); r == Taken {
		t.Fatal("a call was taken at the time at which the evidence lapses")
	}
	if n := takeAll(h, 4999*time.Millisecond); n != 30 {
		t.Fatalf("%d calls before the evidence lapsed, want 30", n)
	}
}

// Guards against a holder that skips records, for example by restoring a snapshot, and
// continues to use a share that another node may have held in between.
func TestSkippedEpoch(t *testing.T) {
	h := newTestLimiter(holder, firstShare())
	h.SetShares(5*time.Second, ws, []Share{{Workspace: ws, Count: 1, Holder: holder, Epoch: 3}})
	if n := takeAll(h, 5*time.Second); n != 0 || len(h.Inactive()) != 1 {
		t.Fatalf("%d calls from a share that another node may have held, want none and the share inactive", n)
	}
}
