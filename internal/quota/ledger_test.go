package quota

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

var (
	holder   = mesh.NodeID{Host: "a", Incarnation: 1}
	borrower = mesh.NodeID{Host: "b", Incarnation: 1}
	third    = mesh.NodeID{Host: "c", Incarnation: 1}
	limit    = Limit{ws, 100, 30}
)

func ledgerOf(self mesh.NodeID, s ...Share) *Ledger {
	l := New(self, Config{Seed: 1})
	l.SetLimits(0, []Limit{limit})
	l.SetShares(0, ws, s)
	l.SetFreshUntil(time.Hour)
	return l
}

func firstShare() Share {
	return Share{Workspace: ws, Count: 1, Holder: holder, Epoch: 1, First: true}
}

// takeAll counts how many calls are taken at once. The call that has to wait
// gives up.
func takeAll(l *Ledger, now time.Duration) int {
	n := 0
	l.Tick(now, nil)
	defer func() { l.Forget(ws, mesh.CallID(n)) }()
	for l.Take(now, ws, mesh.CallID(n)) == Taken {
		n++
	}
	return n
}

func lend(t *testing.T, h, b *Ledger, sent, asked, back time.Duration, need int64) {
	t.Helper()
	b.Take(sent, ws, 1)
	out := b.Outgoing(sent, nil)
	a := out[len(out)-1].Message.(Ask)
	a.Need, a.Want = need*Call, need*Call
	out = h.Deliver(asked, borrower, a, nil)
	b.Deliver(back, holder, out[len(out)-1].Message, nil)
	b.Decisions()
}

// Guards against credit that is dated from its arrival: the holder has already
// given it up while the borrower still uses it.
func TestCreditIsDatedFromTheAsk(t *testing.T) {
	h, b := ledgerOf(holder, firstShare()), ledgerOf(borrower, firstShare())
	lend(t, h, b, time.Second, time.Second, 1900*time.Millisecond, 20)
	if n := takeAll(b, 2*time.Second); n != 0 {
		t.Fatalf("%d calls used credit a term after it was asked for", n)
	}
}

// Guards against a level that accrues beside credit that is out.
func TestLentCreditDoesNotAccrueTwice(t *testing.T) {
	h, b := ledgerOf(holder, firstShare()), ledgerOf(borrower, firstShare())
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 30)
	at := 5*time.Second + 900*time.Millisecond
	if n := takeAll(b, at) + takeAll(h, at) + 1; n > 30 {
		t.Fatalf("%d calls at one instant with a burst of 30", n)
	}
}

// Guards against a successor that ignores credit which its predecessor lent
// just before its evidence lapsed.
func TestSuccessorReservesLentCredit(t *testing.T) {
	h, b := ledgerOf(holder, firstShare()), ledgerOf(borrower, firstShare())
	moved := Share{Workspace: ws, Count: 1, Holder: third, Epoch: 2, Offset: 7}
	c := ledgerOf(third, moved)
	if n := takeAll(c, 4*time.Second); n != 0 {
		t.Fatalf("%d calls before the share was effective", n)
	}
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 30)
	c.Activate(5*time.Second, ws, 0)
	at := 5*time.Second + 900*time.Millisecond
	if n := takeAll(b, at) + takeAll(c, at) + 1; n > 30 {
		t.Fatalf("%d calls at one instant with a burst of 30", n)
	}
	if n := takeAll(c, 7*time.Second); n != 30 {
		t.Fatalf("the successor has %d calls 2 s after activation, want 30", n)
	}
}

// Guards against a planned stop that creates credit, or that makes the
// successor wait although the predecessor has stopped.
func TestHandOver(t *testing.T) {
	h, b := ledgerOf(holder, firstShare()), ledgerOf(borrower, firstShare())
	lend(t, h, b, 5*time.Second, 5*time.Second, 5*time.Second, 10)
	out := h.HandOver(5*time.Second, third, nil)
	if h.Take(5*time.Second, ws, 1) == Taken {
		t.Fatal("the share was used after it was released")
	}
	c := ledgerOf(third, Share{Workspace: ws, Count: 1, Holder: third, Epoch: 20, PredecessorEpoch: 1})
	for range 2 { // duplicated
		c.Deliver(5*time.Second, holder, out[len(out)-1].Message, nil)
	}
	if n := takeAll(c, 5*time.Second); n != 20 {
		t.Fatalf("the successor took %d calls, want the 20 left", n)
	}
	skipped := ledgerOf(third, Share{Workspace: ws, Count: 1, Holder: third, Epoch: 30, PredecessorEpoch: 20})
	skipped.Deliver(5*time.Second, holder, out[len(out)-1].Message, nil)
	if len(skipped.Inactive()) != 1 {
		t.Fatal("a release from an epoch with a holder in between was accepted")
	}
}

// Guards against returned credit that counts twice when the report is
// duplicated, late or out of order.
func TestReportsAreIdempotent(t *testing.T) {
	h := ledgerOf(holder, firstShare())
	at := 5 * time.Second
	h.Deliver(at, borrower, Ask{Workspace: ws, Loan: 1, Need: 20 * Call, Want: 20 * Call}, nil)
	old := Report{Workspace: ws, Usage: []Usage{{Loan: 1, Used: 5 * Call}}}
	last := Report{Workspace: ws, Usage: []Usage{{Loan: 1, Used: 8 * Call, Returned: 12 * Call}}}
	for _, r := range []Report{last, old, last} {
		h.Deliver(at, borrower, r, nil)
	}
	if n := takeAll(h, at); n != 22 {
		t.Fatalf("the holder has %d calls, want 10 + 12 returned", n)
	}
	h.Deliver(at+2*time.Second, borrower, last, nil)
	if n := takeAll(h, at+2*time.Second); n != 30 {
		t.Fatalf("the holder has %d calls after a report on an expired loan, want 30", n)
	}
}

// Guards against a limit that is lowered while credit of the old one is out.
func TestLoweredLimit(t *testing.T) {
	h, b := ledgerOf(holder, firstShare()), ledgerOf(borrower, firstShare())
	at := 5 * time.Second
	lend(t, h, b, at, at, at, 15)
	lowered := []Limit{{ws, 10, 5}}
	b.SetLimits(at, lowered)
	lend(t, h, b, at, at, at, 10) // the holder has not folded the change yet
	if n := takeAll(b, at); n > 5 {
		t.Fatalf("%d calls used credit of a burst of 30 under a burst of 5", n)
	}
	h.SetLimits(at, lowered)
	if n := takeAll(h, at); n > 5 {
		t.Fatalf("the holder has %d calls under a burst of 5", n)
	}
	h.SetLimits(at, []Limit{limit})
	if n := takeAll(h, at+100*time.Millisecond); n > 15 {
		t.Fatalf("%d calls 100 ms after the limit was raised", n)
	}
}

// Guards against a share that grows, as the count falls, before the holders of
// the other shares have stopped.
func TestFewerSharesWait(t *testing.T) {
	two := []Share{{Workspace: ws, Count: 2, Holder: holder, Epoch: 1, First: true}, {Workspace: ws, Index: 1, Count: 2, Holder: third, Epoch: 1, First: true}}
	h := ledgerOf(holder, two...)
	h.SetShares(5*time.Second, ws, []Share{{Workspace: ws, Count: 1, Holder: holder, Epoch: 2}})
	if n := takeAll(h, 9*time.Second); n != 15 {
		t.Fatalf("%d calls from half of a burst of 30", n)
	}
	if len(h.Inactive()) != 1 {
		t.Fatal("the share that grows does not wait")
	}
	h.Activate(9*time.Second, ws, 0)
	if n := takeAll(h, 9500*time.Millisecond); n > 15 {
		t.Fatalf("%d calls within a term of the growth", n)
	}
	if n := takeAll(h, 15*time.Second); n != 30 {
		t.Fatalf("%d calls after the growth, want 30", n)
	}
}

// Guards against use of a share without fresh evidence.
func TestLapsedEvidence(t *testing.T) {
	h := ledgerOf(holder, firstShare())
	h.SetFreshUntil(5 * time.Second)
	if r := h.Take(5*time.Second, ws, 1); r == Taken {
		t.Fatal("a call was taken at the moment the evidence lapsed")
	}
	if n := takeAll(h, 4999*time.Millisecond); n != 30 {
		t.Fatalf("%d calls before the evidence lapsed", n)
	}
}

// Guards against a holder that skips records, as with a snapshot, and goes on
// although another node held the share in between.
func TestSkippedEpoch(t *testing.T) {
	h := ledgerOf(holder, firstShare())
	h.SetShares(5*time.Second, ws, []Share{{Workspace: ws, Count: 1, Holder: holder, Epoch: 3}})
	if n := takeAll(h, 5*time.Second); n != 0 || len(h.Inactive()) != 1 {
		t.Fatalf("%d calls from a share that another node may hold", n)
	}
}
