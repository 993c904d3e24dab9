package keys

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

type seeded struct{ *rand.Rand }

func (s seeded) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func source() io.Reader { return seeded{rand.New(rand.NewPCG(1, 2))} }

func issue(t testing.TB, from io.Reader) (string, Record) {
	t.Helper()
	secret, r, err := Issue(from, "w")
	if err != nil {
		t.Fatal(err)
	}
	return secret, r
}

// Guards against a key that is accepted in part, under another id, or without
// a record, and against a stored secret.
func TestCheck(t *testing.T) {
	from := source()
	secret, r := issue(t, from)
	other, _ := issue(t, from)
	table := New()
	table.Add(r)
	if ws, reason := table.Check([]byte(secret)); ws != "w" || reason != outcome.None {
		t.Fatalf("the key was refused: %v", reason)
	}
	swapped := secret[:len(prefix)+2*idBytes] + other[len(prefix)+2*idBytes:]
	for _, bad := range []string{other, swapped, secret + "x", secret[:len(secret)-1], "ch_", "x", strings.Repeat("a", 10_000)} {
		if ws, reason := table.Check([]byte(bad)); ws != "" || reason != outcome.KeyInvalid {
			t.Errorf("key %.40q: %v, want key-invalid", bad, reason)
		}
	}
	if _, reason := table.Check(nil); reason != outcome.KeyMissing {
		t.Errorf("no key: %v", reason)
	}
	if bytes.Contains(r.Hash[:], []byte(secret[len(secret)-20:])) || strings.Contains(secret, string(r.Hash[:])) {
		t.Error("the record contains the secret")
	}
	if _, _, err := Issue(strings.NewReader("short"), "w"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a short random source: %v", err)
	}
}

// Guards against a withdrawal that is lost when it arrives before its key,
// or when the log repeats the key.
func TestWithdrawalWins(t *testing.T) {
	secret, r := issue(t, source())
	table := New()
	if !table.Withdraw(r.ID) || table.Withdraw(r.ID) {
		t.Fatal("only the first withdrawal is new")
	}
	table.Add(r)
	if _, reason := table.Check([]byte(secret)); reason != outcome.KeyWithdrawn {
		t.Fatalf("a key that arrived after its withdrawal: %v", reason)
	}
	table.Folded(r.ID)
	table.Add(r)
	if _, reason := table.Check([]byte(secret)); reason != outcome.KeyWithdrawn || len(table.Pending()) != 0 {
		t.Fatalf("after folding: %v, pending %v", reason, table.Pending())
	}
	folded := New()
	folded.Folded(r.ID)
	folded.Add(r)
	if folded.Withdraw(r.ID) || folded.PendingDigest() != 0 {
		t.Fatal("a folded withdrawal became pending again")
	}
}

// Guards against digests that depend on the order of arrival.
func TestPendingDigest(t *testing.T) {
	a, b := New(), New()
	for _, id := range []ID{"1", "2", "3"} {
		a.Withdraw(id)
	}
	for _, id := range []ID{"3", "4", "1", "2", "3"} {
		b.Withdraw(id)
	}
	if a.PendingDigest() == b.PendingDigest() {
		t.Fatal("different sets have the same digest")
	}
	b.Folded("4")
	if a.PendingDigest() != b.PendingDigest() || a.PendingDigest() != Digest([]ID{"2", "3", "1", "1"}) {
		t.Fatal("the digest of one set differs by order")
	}
	for _, id := range []ID{"1", "2", "3"} {
		a.Folded(id)
	}
	if a.PendingDigest() != 0 {
		t.Fatal("the digest of no withdrawals is not 0")
	}
}

// Guards against withdrawals that stop spreading after a lost message, and
// against a confirmation by a node that does not hold the withdrawal.
func TestSpread(t *testing.T) {
	x, y, z := mesh.NodeID{Host: "x"}, mesh.NodeID{Host: "y"}, mesh.NodeID{Host: "z"}
	all := []mesh.NodeID{x, y, z}
	a, b := New(), New()
	a.Withdraw("k")
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 2 {
		t.Fatalf("%d messages, want one to each other node", len(out))
	}
	out := a.AppendUnconfirmed(x, all, nil) // the first messages were lost
	if out[0].To != y || a.Confirmed("k", y) {
		t.Fatalf("sent to %v, confirmed before an answer: %v", out[0].To, a.Confirmed("k", y))
	}
	fresh, replies := b.Deliver(y, x, out[0].Message, nil)
	if !slices.Equal(fresh, []ID{"k"}) || !b.Withdrawn("k") || !b.Confirmed("k", x) {
		t.Fatalf("new at the receiver: %v", fresh)
	}
	if fresh, _ := b.Deliver(y, x, out[0].Message, nil); len(fresh) != 0 {
		t.Fatal("a duplicate was new")
	}
	a.Deliver(x, y, replies[0].Message, nil)
	if missing := a.Unconfirmed("k", all[1:]); !slices.Equal(missing, []mesh.NodeID{z}) {
		t.Fatalf("unconfirmed: %v, want z", missing)
	}
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 1 || out[0].To != z {
		t.Fatalf("sent again: %v", out)
	}
	a.Folded("k")
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 0 || len(a.Unconfirmed("k", all)) != 0 {
		t.Fatal("a folded withdrawal still spreads")
	}
}

// Guards against an allocation on the hot path.
func TestCheckDoesNotAllocate(t *testing.T) {
	secret, r := issue(t, source())
	table := New()
	table.Add(r)
	presented := []byte(secret)
	if n := testing.AllocsPerRun(100, func() { table.Check(presented) }); n != 0 {
		t.Fatalf("%v allocations per check", n)
	}
}
