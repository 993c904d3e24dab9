// Package config folds the records of the log into the configuration that all
// nodes share: the mesh, its keys, the directory of nodes, the panel and the
// holders of quota shares. The fold is a pure function of the records, so nodes
// that have folded the same records agree without talking to each other. The
// package also makes plans: changes that name the versions they were made on.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

const (
	// Window is how many offsets behind its author's knowledge a record may land.
	//
	// A record names the offset its author had folded to, After, and folds only
	// up to After + Window. Two copies of it that both could fold are therefore
	// at most Window apart, and a token needs to be remembered only that long.
	// The same holds for everything else that a late record must still be checked
	// against: deleted objects, withdrawn keys, nodes that left. At 300 appends a
	// second, the ceiling of the log, the window lasts 54 s, which is more than an
	// append is retried for; at the target's 92,000 records a day it lasts 4 h.
	Window = 16384

	maxPanel  = 63
	maxShares = 32
	maxKeyID  = 64
)

// Key is an issued key. The secret itself is not known here.
type Key struct {
	ID        string
	Hash      [32]byte // SHA-256 of the secret
	Workspace mesh.Workspace
	Withdrawn bool
}

// Panel is the set of nodes whose majority shows that knowledge is current.
type Panel struct {
	Epoch    uint64        `json:"epoch"` // 0 before the first panel
	Offset   uint64        `json:"offset"`
	Members  []mesh.NodeID `json:"members"`
	Previous []mesh.NodeID `json:"previous,omitempty"` // empty once settled
	Settled  bool          `json:"settled"`
}

// Share is one part of a workspace's rate and burst.
type Share struct {
	Workspace mesh.Workspace `json:"workspace"`
	Index     int            `json:"index"`
	Count     int            `json:"count"`
	Holder    mesh.NodeID    `json:"holder"`
	// Predecessor held this share before; zero if First, or if the number of
	// shares changed, so that parts of several shares were joined or split.
	Predecessor mesh.NodeID `json:"predecessor,omitzero"`
	// PredecessorEpoch is the epoch at which Predecessor held it; 0 without one.
	PredecessorEpoch uint64 `json:"predecessor_epoch,omitempty"`
	Epoch            uint64 `json:"epoch"`  // of the record that gave the share to Holder
	Offset           uint64 `json:"offset"` // of that record
	First            bool   `json:"first,omitempty"`
}

// version tells which record gave an object its present value.
type version struct {
	Offset uint64 `json:"offset"`
	Token  Token  `json:"token"`
}

// number is the version as plans state it; 0 means that the object is absent.
func (v version) number() uint64 { return v.Offset + 1 }

// sharesState holds the shares of a workspace. Their epoch is the number of the
// version, which never repeats, also if the workspace is deleted and declared
// again.
type sharesState struct {
	source version
	shares []Share
}

type memberState struct {
	member mesh.Member
	source version
}

// departure is kept for Window records after a node has left or was replaced.
type departure struct {
	Node      mesh.NodeID `json:"node"`
	Successor mesh.NodeID `json:"successor,omitzero"`
	Source    version     `json:"source"`
}

// State is the folded configuration. It is not safe for concurrent use. Slices
// it returns are owned by the caller, the mesh is immutable.
type State struct {
	next     uint64
	revision uint64
	changed  bool // a change was accepted
	digest   [32]byte

	set      *declaration.Set
	versions map[string]version // per object key
	keys     map[string]Key     // not withdrawn
	keyCount map[mesh.Workspace]int
	members  map[mesh.Host]memberState
	panel    Panel
	panelBy  version // the record that last touched the panel, if Epoch is not 0
	shares   map[mesh.Workspace]*sharesState

	recent recent
}

// New returns the state before the first record.
func New() *State {
	return &State{
		set:      declaration.NewSet(),
		versions: map[string]version{},
		keys:     map[string]Key{},
		keyCount: map[mesh.Workspace]int{},
		members:  map[mesh.Host]memberState{},
		panel:    Panel{Settled: true},
		shares:   map[mesh.Workspace]*sharesState{},
		recent:   newRecent(),
	}
}

// Offset returns the next offset to fold.
func (s *State) Offset() uint64 { return s.next }

// Revision returns the offset of the last accepted change. It is 0 if
// Configured is false.
func (s *State) Revision() uint64 { return s.revision }

// Configured reports whether any change was accepted.
func (s *State) Configured() bool { return s.changed }

// Digest returns a hash chained over the accepted records as 64 hexadecimal
// digits. Equal digests mean equal configurations.
func (s *State) Digest() string { return hex.EncodeToString(s.digest[:]) }

// Mesh returns the declared mesh. It is immutable and replaced on change.
func (s *State) Mesh() *declaration.Mesh { return s.set.Mesh() }

// FindByToken returns the offset and the verdict of the first record with the token, if
// it was folded within the last Window records. A record that is not found at
// any offset from its After to After + Window will never fold.
func (s *State) FindByToken(t Token) (offset uint64, v Verdict, found bool) {
	e, found := s.recent.tokens[t]
	if !found {
		return 0, Verdict{}, false
	}
	if e.verdict != nil {
		return e.offset, *e.verdict, true
	}
	return e.offset, Verdict{Kind: Accepted}, true
}

// Keys returns the keys that are valid, ordered by ID.
func (s *State) Keys() []Key {
	out := make([]Key, 0, len(s.keys))
	for _, id := range slices.Sorted(maps.Keys(s.keys)) {
		out = append(out, s.keys[id])
	}
	return out
}

// Key returns a key by its ID. It finds keys withdrawn within the last Window
// records, with Withdrawn set.
func (s *State) Key(id string) (Key, bool) {
	if k, ok := s.keys[id]; ok {
		return k, true
	}
	_, gone := s.recent.withdrawn[id]
	return Key{ID: id, Withdrawn: gone}, gone
}

// WithdrawnKeyIDs returns the IDs withdrawn within the last Window records, ordered.
// An older withdrawal needs no entry: its key is not among Keys, and a record
// that would issue it again is too late to fold.
func (s *State) WithdrawnKeyIDs() []string {
	return slices.Sorted(maps.Keys(s.recent.withdrawn))
}

// Members returns the nodes that joined and have not left, ordered by host.
func (s *State) Members() []mesh.Member {
	out := make([]mesh.Member, 0, len(s.members))
	for _, host := range slices.Sorted(maps.Keys(s.members)) {
		out = append(out, s.members[host].member)
	}
	return out
}

// Member returns the present node of a host.
func (s *State) Member(host mesh.Host) (mesh.Member, bool) {
	m, ok := s.members[host]
	return m.member, ok
}

// Departed reports whether a node left or was replaced within the last Window
// records, and the successor it named, if any.
func (s *State) Departed(n mesh.NodeID) (successor mesh.NodeID, departed bool) {
	d, ok := s.recent.departed[n]
	return d.Successor, ok
}

// MayJoin reports whether a join record of a node, made on this state, would be
// accepted: no other incarnation is listed for its host, and the node did not
// leave as planned.
func (s *State) MayJoin(n mesh.NodeID) bool {
	d, gone := s.recent.departed[n]
	if !gone {
		return true
	}
	other, listed := s.members[n.Host]
	return d.Successor.IsZero() && (!listed || other.member.Node == n)
}

// Panel returns the present panel.
func (s *State) Panel() Panel {
	p := s.panel
	p.Members = slices.Clone(p.Members)
	p.Previous = slices.Clone(p.Previous)
	return p
}

// Shares returns the shares of a workspace, ordered by index.
func (s *State) Shares(ws mesh.Workspace) []Share {
	if st := s.shares[ws]; st != nil {
		return slices.Clone(st.shares)
	}
	return nil
}

// SharesEpoch returns the epoch to make the next shares record on.
func (s *State) SharesEpoch(ws mesh.Workspace) uint64 {
	if st := s.shares[ws]; st != nil {
		return st.source.number()
	}
	if old, ok := s.recent.oldShares[ws]; ok {
		return old.source.number()
	}
	return 0
}

// Version returns the version of an object as plans state it, 0 if the object
// does not exist.
func (s *State) Version(object string) uint64 {
	if v, ok := s.versions[object]; ok {
		return v.number()
	}
	return 0
}

// chain adds an accepted record to the digest.
func (s *State) chain(data []byte) {
	h := sha256.New()
	h.Write(s.digest[:])
	h.Write(data)
	h.Sum(s.digest[:0])
}
