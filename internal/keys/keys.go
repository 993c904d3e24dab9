// Package keys issues, checks and withdraws the API keys that callers present. A
// withdrawal takes effect at a node as soon as the node learns of it, whether or not
// the log is available. The set of withdrawals only grows, so withdrawals need no
// order and are sent from node to node before they are in the log.
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
	// A key is prefix, the ID, "_" and a random part.
	prefix      = "ch_"
	idBytes     = 10  // random; hexadecimal in the key
	randomBytes = 32  // in the random part; base64url in the key
	maxKeyBytes = 256 // longer input is rejected without hashing it
)

// ID identifies a key. It is not secret.
type ID string

// Record is the part of a key that the log and the nodes store.
type Record struct {
	ID        ID             `json:"id"`
	Hash      [32]byte       `json:"hash"` // SHA-256 of the complete key
	Workspace mesh.Workspace `json:"workspace"`
}

// Issue generates a key for a workspace from rand, which must be a cryptographically
// secure source. The secret is the complete key as callers present it. It is not
// stored.
func Issue(rand io.Reader, ws mesh.Workspace) (secret string, r Record, err error) {
	var raw [idBytes + randomBytes]byte
	if _, err := io.ReadFull(rand, raw[:]); err != nil {
		return "", Record{}, fmt.Errorf("key for workspace %q: read random bytes: %w", ws, err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret = prefix + id + "_" + base64.RawURLEncoding.EncodeToString(raw[idBytes:])
	return secret, Record{ID: ID(id), Hash: sha256.Sum256([]byte(secret)), Workspace: ws}, nil
}

// pending is a withdrawal that is not in the log yet.
type pending struct {
	confirmed []mesh.NodeID // nodes that hold the withdrawal
}

// Table holds the keys of all workspaces and the withdrawals known to this node. It is
// not safe for concurrent use.
type Table struct {
	records   map[ID]Record
	withdrawn map[ID]struct{} // entries are never removed, because a record may arrive after its withdrawal
	pending   map[ID]*pending
	digest    uint64 // see PendingDigest
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		records:   make(map[ID]Record),
		withdrawn: make(map[ID]struct{}),
		pending:   make(map[ID]*pending),
	}
}

// Add stores a key. An earlier withdrawal of the same ID remains in force.
func (t *Table) Add(r Record) { t.records[r.ID] = r }

// Withdraw invalidates a key immediately. The withdrawal is pending until
// FoldWithdrawal is called. Withdraw reports whether the withdrawal is new to this
// node.
func (t *Table) Withdraw(id ID) bool {
	if _, known := t.withdrawn[id]; known {
		return false
	}
	t.withdrawn[id] = struct{}{}
	t.pending[id] = &pending{}
	t.digest ^= hashID(id)
	return true
}

// FoldWithdrawal records that the log contains the withdrawal. The key is withdrawn, and
// the withdrawal is no longer pending.
func (t *Table) FoldWithdrawal(id ID) {
	t.withdrawn[id] = struct{}{}
	if _, isPending := t.pending[id]; isPending {
		delete(t.pending, id)
		t.digest ^= hashID(id)
	}
}

// Check returns the workspace of a presented key, or the reason for its refusal. It
// does not allocate, and it compares hashes in constant time.
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
	if _, withdrawn := t.withdrawn[record.ID]; withdrawn {
		return "", outcome.KeyWithdrawn
	}
	return record.Workspace, outcome.None
}

// Workspace returns the workspace of a key, including a withdrawn one. It is empty if
// the key is not known to this node.
func (t *Table) Workspace(id ID) mesh.Workspace { return t.records[id].Workspace }

// Withdrawn reports whether a withdrawal of the key is known to this node.
func (t *Table) Withdrawn(id ID) bool {
	_, withdrawn := t.withdrawn[id]
	return withdrawn
}

// Pending returns the withdrawals that are not in the log yet, sorted by ID.
func (t *Table) Pending() []ID {
	ids := make([]ID, 0, len(t.pending))
	for id := range t.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// PendingDigest returns a digest of the set of pending withdrawals. It does not depend
// on their order of arrival and is 0 if there are none.
func (t *Table) PendingDigest() uint64 { return t.digest }

// Digest returns the PendingDigest of a Table with exactly these pending withdrawals.
// Duplicates are counted once.
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

// hashID returns the same value on all nodes, because they compare digests. It must
// therefore not be seeded.
func hashID(id ID) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:8])
}
