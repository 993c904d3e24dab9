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

// seededReader is a deterministic source of random bytes.
type seededReader struct{ *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func newRandom() io.Reader { return seededReader{rand.New(rand.NewPCG(1, 2))} }

func issue(t testing.TB, random io.Reader) (string, Record) {
	t.Helper()
	secret, r, err := Issue(random, "w")
	if err != nil {
		t.Fatal(err)
	}
	return secret, r
}

// Guards against acceptance of a truncated or altered key, of a key under another ID or
// without a record, and against a record that contains the secret.
func TestCheck(t *testing.T) {
	random := newRandom()
	secret, r := issue(t, random)
	other, _ := issue(t, random)
	table := New()
	table.Add(r)
	if ws, reason := table.Check([]byte(secret)); ws != "w" || reason != outcome.None {
		t.Fatalf("a valid key was refused or has the wrong workspace: %v", reason)
	}
	swapped := secret[:len(prefix)+2*idBytes] + other[len(prefix)+2*idBytes:]
	for _, bad := range []string{other, swapped, secret + "x", secret[:len(secret)-1], "ch_", "x", strings.Repeat("a", 10_000)} {
		if ws, reason := table.Check([]byte(bad)); ws != "" || reason != outcome.KeyInvalid {
			t.Errorf("key %.40q: got %v, want key-invalid", bad, reason)
		}
	}
	if _, reason := table.Check(nil); reason != outcome.KeyMissing {
		t.Errorf("no key: got %v, want key-missing", reason)
	}
	if bytes.Contains(r.Hash[:], []byte(secret[len(secret)-20:])) || strings.Contains(secret, string(r.Hash[:])) {
		t.Error("the record contains the secret")
	}
	if _, _, err := Issue(strings.NewReader("short"), "w"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("random source with too few bytes: got %v, want unexpected EOF", err)
	}
}

// Guards against a withdrawal that is lost because it arrives before its key or
// because the log contains the key again.
func TestWithdrawalWins(t *testing.T) {
	secret, r := issue(t, newRandom())
	table := New()
	if !table.Withdraw(r.ID) || table.Withdraw(r.ID) {
		t.Fatal("want the first withdrawal reported as new and the second not")
	}
	table.Add(r)
	if _, reason := table.Check([]byte(secret)); reason != outcome.KeyWithdrawn {
		t.Fatalf("key that arrived after its withdrawal: got %v, want key-withdrawn", reason)
	}
	table.FoldWithdrawal(r.ID)
	table.Add(r)
	if _, reason := table.Check([]byte(secret)); reason != outcome.KeyWithdrawn || len(table.Pending()) != 0 {
		t.Fatalf("after FoldWithdrawal: got %v and pending %v, want key-withdrawn and none", reason, table.Pending())
	}
	logged := New()
	logged.FoldWithdrawal(r.ID)
	logged.Add(r)
	if logged.Withdraw(r.ID) || logged.PendingDigest() != 0 {
		t.Fatal("a withdrawal that is in the log became pending again")
	}
}

// Guards against digests that depend on the order of arrival or on duplicates.
func TestPendingDigest(t *testing.T) {
	a, b := New(), New()
	for _, id := range []ID{"1", "2", "3"} {
		a.Withdraw(id)
	}
	for _, id := range []ID{"3", "4", "1", "2", "3"} {
		b.Withdraw(id)
	}
	if a.PendingDigest() == b.PendingDigest() {
		t.Fatal("different sets of withdrawals have the same digest")
	}
	b.FoldWithdrawal("4")
	if a.PendingDigest() != b.PendingDigest() || a.PendingDigest() != Digest([]ID{"2", "3", "1", "1"}) {
		t.Fatal("the digest of the same set depends on order or duplicates")
	}
	for _, id := range []ID{"1", "2", "3"} {
		a.FoldWithdrawal(id)
	}
	if a.PendingDigest() != 0 {
		t.Fatal("the digest of an empty set is not 0")
	}
}

// Guards against withdrawals that are not sent again after a lost message, and against
// a withdrawal that counts as confirmed by a node that does not hold it.
func TestAppendUnconfirmed(t *testing.T) {
	x, y, z := mesh.NodeID{Host: "x"}, mesh.NodeID{Host: "y"}, mesh.NodeID{Host: "z"}
	all := []mesh.NodeID{x, y, z}
	a, b := New(), New()
	a.Withdraw("k")
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 2 {
		t.Fatalf("%d messages, want one to each of the two other nodes", len(out))
	}
	out := a.AppendUnconfirmed(x, all, nil) // the first messages were lost
	if out[0].To != y || a.ConfirmedBy("k", y) {
		t.Fatalf("first message to %v, confirmed %v; want y and not confirmed before its answer", out[0].To, a.ConfirmedBy("k", y))
	}
	added, replies := b.Deliver(y, x, out[0].Message, nil)
	if !slices.Equal(added, []ID{"k"}) || !b.Withdrawn("k") || !b.ConfirmedBy("k", x) {
		t.Fatalf("new at the receiver: %v, want k, withdrawn and confirmed by x", added)
	}
	if added, _ := b.Deliver(y, x, out[0].Message, nil); len(added) != 0 {
		t.Fatal("a duplicate was reported as new")
	}
	a.Deliver(x, y, replies[0].Message, nil)
	if missing := a.Unconfirmed("k", all[1:]); !slices.Equal(missing, []mesh.NodeID{z}) {
		t.Fatalf("unconfirmed by %v, want z", missing)
	}
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 1 || out[0].To != z {
		t.Fatalf("sent again: %v, want one message to z", out)
	}
	a.FoldWithdrawal("k")
	if out := a.AppendUnconfirmed(x, all, nil); len(out) != 0 || len(a.Unconfirmed("k", all)) != 0 {
		t.Fatal("a withdrawal that is in the log is still sent or unconfirmed")
	}
}

// Guards against allocations in Check, which runs for every call.
func TestCheckDoesNotAllocate(t *testing.T) {
	secret, r := issue(t, newRandom())
	table := New()
	table.Add(r)
	presented := []byte(secret)
	if n := testing.AllocsPerRun(100, func() { table.Check(presented) }); n != 0 {
		t.Fatalf("%v allocations per check, want 0", n)
	}
}
