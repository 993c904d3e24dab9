// Package keys issues, checks and withdraws the keys that callers present. It
// exists so that a withdrawal holds at every node as soon as the node hears of
// it, whether the log is up or down: withdrawals only ever grow, so they need
// no order and spread from node to node before the log carries them.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	prefix      = "ch_"
	idBytes     = 10
	secretBytes = 32
	maxKeyBytes = 256 // longer input is refused before it is hashed
)

// ID names a key; it is not secret.
type ID string

// Record is what the log and the nodes store of a key.
type Record struct {
	ID        ID             `json:"id"`
	Hash      [32]byte       `json:"hash"` // SHA-256 of the whole key
	Workspace mesh.Workspace `json:"workspace"`
}

// Issue makes a key for a workspace from rand, which must be a
// cryptographically secure source. The secret is returned once and not stored.
func Issue(rand io.Reader, ws mesh.Workspace) (secret string, r Record, err error) {
	var raw [idBytes + secretBytes]byte
	if _, err := io.ReadFull(rand, raw[:]); err != nil {
		return "", Record{}, fmt.Errorf("key for workspace %q: read random bytes: %w", ws, err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret = prefix + id + "_" + base64.RawURLEncoding.EncodeToString(raw[idBytes:])
	return secret, Record{ID: ID(id), Hash: sha256.Sum256([]byte(secret)), Workspace: ws}, nil
}

type pending struct {
	confirmed []mesh.NodeID
}

// Table holds the keys of all workspaces and the withdrawals known so far. It
// is not safe for concurrent use.
type Table struct {
	records   map[ID]Record
	withdrawn map[ID]struct{} // never shrinks: a record may arrive after its withdrawal
	pending   map[ID]*pending
	digest    uint64
}

// New returns a table without keys.
func New() *Table {
	return &Table{
		records:   make(map[ID]Record),
		withdrawn: make(map[ID]struct{}),
		pending:   make(map[ID]*pending),
	}
}

// Add stores a key. An earlier withdrawal of the same id stays in force.
func (t *Table) Add(r Record) { t.records[r.ID] = r }

// Withdraw stops a key at once and keeps the withdrawal pending until Folded.
// It reports whether the withdrawal is new to this node.
func (t *Table) Withdraw(id ID) bool {
	if _, known := t.withdrawn[id]; known {
		return false
	}
	t.withdrawn[id] = struct{}{}
	t.pending[id] = &pending{}
	t.digest ^= hashID(id)
	return true
}

// FoldWithdrawal notes that the log carries the withdrawal: the key is withdrawn and
// no longer pending.
func (t *Table) FoldWithdrawal(id ID) {
	t.withdrawn[id] = struct{}{}
	if _, waiting := t.pending[id]; waiting {
		delete(t.pending, id)
		t.digest ^= hashID(id)
	}
}

// Check returns the workspace of a presented key, or why it is refused.
// It does not allocate, and it compares hashes in constant time.
func (t *Table) Check(secret []byte) (mesh.Workspace, outcome.Reason) {
	if len(secret) == 0 {
		return "", outcome.KeyMissing
	}
	const idEnd = len(prefix) + 2*idBytes
	if len(secret) <= idEnd || len(secret) > maxKeyBytes || string(secret[:len(prefix)]) != prefix || secret[idEnd] != '_' {
		return "", outcome.KeyInvalid
	}
	record, known := t.records[ID(secret[len(prefix):idEnd])]
	hash := sha256.Sum256(secret)
	if subtle.ConstantTimeCompare(hash[:], record.Hash[:]) != 1 || !known {
		return "", outcome.KeyInvalid
	}
	if _, gone := t.withdrawn[record.ID]; gone {
		return "", outcome.KeyWithdrawn
	}
	return record.Workspace, outcome.None
}

// Workspace returns the workspace of a key, also of a withdrawn one; it is empty
// for a key that is not known here.
func (t *Table) Workspace(id ID) mesh.Workspace { return t.records[id].Workspace }

// Withdrawn reports whether a withdrawal of the key is known here.
func (t *Table) Withdrawn(id ID) bool {
	_, gone := t.withdrawn[id]
	return gone
}

// Pending returns, in order of id, the withdrawals that the log does not carry yet.
func (t *Table) Pending() []ID {
	ids := make([]ID, 0, len(t.pending))
	for id := range t.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// PendingDigest is a digest of the pending withdrawals that does not depend on
// the order in which they arrived; it is 0 if there are none.
func (t *Table) PendingDigest() uint64 { return t.digest }

// Digest returns the digest that a table with exactly these pending
// withdrawals has. Duplicates are counted once.
func Digest(ids []ID) uint64 {
	sorted := slices.Compact(slices.SortedFunc(slices.Values(ids), func(a, b ID) int {
		return strings.Compare(string(a), string(b))
	}))
	var digest uint64
	for _, id := range sorted {
		digest ^= hashID(id)
	}
	return digest
}

// hashID must agree between all nodes, so it is not seeded.
func hashID(id ID) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:8])
}
