// Package config folds the records of the log into the configuration that all
// nodes share: the mesh, its keys, the member nodes, the panel and the holders of
// quota shares. The fold is a pure function of the records, so nodes that have
// folded the same records agree without exchanging messages. The package also makes
// plans: changes that state the object versions they are based on.
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
	// Window is the maximum distance in records from a record's Header.After to the
	// offset at which it is folded; a record at a higher offset is invalid.
	//
	// Two copies of a record that could both be folded are therefore at most Window
	// apart, and a token needs to be kept only for that long. The same holds for
	// everything else that a late record must be checked against: deleted objects,
	// withdrawn keys, nodes that left. At 300 appends a second, the limit of the log
	// service, the window lasts 54 s, which is longer than an append is retried; at
	// the target load of 92,000 records a day it lasts 4 h.
	Window = 16384

	maxPanel  = 63 // members
	maxShares = 32 // per workspace
	maxKeyID  = 64 // bytes
)

// Key is an issued key, with which callers authenticate as a workspace. The key
// itself is not stored, only its hash.
type Key struct {
	ID        string
	Hash      [32]byte // SHA-256 of the complete key
	Workspace mesh.Workspace
	Withdrawn bool // if true, Hash and Workspace are zero
}

// Panel is the group of nodes of which a majority must confirm that a node's
// configuration is current.
type Panel struct {
	Epoch    uint64        `json:"epoch"`  // 0 before the first panel
	Offset   uint64        `json:"offset"` // of the record that set the panel
	Members  []mesh.NodeID `json:"members"`
	Previous []mesh.NodeID `json:"previous,omitempty"` // empty once settled
	Settled  bool          `json:"settled"`            // the change from Previous to Members is complete
}

// Share is one part of a workspace's rate and burst.
type Share struct {
	Workspace mesh.Workspace `json:"workspace"`
	Index     int            `json:"index"`
	Count     int            `json:"count"`
	Holder    mesh.NodeID    `json:"holder"`
	// Predecessor is the previous holder of this share. It is zero if First is set or
	// if the record replaced all shares: their number changed, which merges or splits
	// shares, or the workspace had been deleted and declared again.
	Predecessor mesh.NodeID `json:"predecessor,omitzero"`
	// PredecessorEpoch is the epoch at which Predecessor held the share, or 0 if
	// there is no predecessor.
	PredecessorEpoch uint64 `json:"predecessor_epoch,omitempty"`
	Epoch            uint64 `json:"epoch"`  // of the record that assigned the share to Holder
	Offset           uint64 `json:"offset"` // of that record
	// First is set if State.SharesEpoch was 0 before the record: no node can still
	// use earlier shares of the workspace.
	First bool `json:"first,omitempty"`
}

// version identifies the record that set the current value of an object, or that
// deleted it.
type version struct {
	Offset uint64 `json:"offset"`
	Token  Token  `json:"token"`
}

// number returns the version as plans state it, where 0 means that the object is
// absent. It is therefore one more than the offset.
func (v version) number() uint64 { return v.Offset + 1 }

// sharesState holds the shares of a workspace. Their epoch is the version number
// of source, which is never reused, even if the workspace is deleted and declared
// again.
type sharesState struct {
	source version
	shares []Share
}

type memberState struct {
	member mesh.Member
	source version
}

// departure describes a node that left or was replaced. It is kept for Window
// records.
type departure struct {
	Node      mesh.NodeID `json:"node"`
	Successor mesh.NodeID `json:"successor,omitzero"`
	Source    version     `json:"source"`
}

// State is the folded configuration. It is not safe for concurrent use. The slices
// that its methods return are copies; the mesh is immutable.
type State struct {
	nextOffset uint64
	revision   uint64 // offset of the last accepted change record
	configured bool   // a change record was accepted
	digest     [32]byte

	set         *declaration.Set
	versions    map[string]version     // by object key
	keys        map[string]Key         // valid keys by ID
	keyCount    map[mesh.Workspace]int // number of valid keys; no entry for 0
	members     map[mesh.Host]memberState
	panel       Panel
	panelSource version // the record that last changed the panel; zero if Epoch is 0
	shares      map[mesh.Workspace]*sharesState

	recent recentEntries
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
		recent:   newRecentEntries(),
	}
}

// Offset returns the next offset to fold.
func (s *State) Offset() uint64 { return s.nextOffset }

// Revision returns the offset of the last accepted record of KindChange, or 0 if
// Configured returns false.
func (s *State) Revision() uint64 { return s.revision }

// Configured reports whether any record of KindChange was accepted.
func (s *State) Configured() bool { return s.configured }

// Digest returns the hash chain over the accepted records as 64 hexadecimal
// digits. Equal digests mean equal configurations.
func (s *State) Digest() string { return hex.EncodeToString(s.digest[:]) }

// Mesh returns the declared mesh. It is immutable; a change creates a new one.
func (s *State) Mesh() *declaration.Mesh { return s.set.Mesh() }

// FindByToken returns the offset and the verdict of the first record with the
// token, if it was folded within the last Window records. A record that is not found
// when Offset returns its After + Window + 1 will never take effect.
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
// records too; of such a key only ID and Withdrawn are set.
func (s *State) Key(id string) (Key, bool) {
	if k, ok := s.keys[id]; ok {
		return k, true
	}
	_, withdrawn := s.recent.withdrawn[id]
	return Key{ID: id, Withdrawn: withdrawn}, withdrawn
}

// WithdrawnKeyIDs returns the IDs of the keys withdrawn within the last Window
// records, sorted. An older withdrawal needs no entry: its key is not among Keys,
// and a record that would issue it again is too late to be folded.
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

// Member returns the current node of a host.
func (s *State) Member(host mesh.Host) (mesh.Member, bool) {
	m, ok := s.members[host]
	return m.member, ok
}

// Departed reports whether a node left or was replaced within the last Window
// records and has not rejoined since, and returns its named successor, if any.
func (s *State) Departed(n mesh.NodeID) (successor mesh.NodeID, departed bool) {
	d, ok := s.recent.departed[n]
	return d.Successor, ok
}

// MayJoin reports whether a join record of a node, made on this state, would be
// accepted. A node that has departed may rejoin only if its leave named no
// successor and no other incarnation is a member for its host. A planned leave
// names a successor.
func (s *State) MayJoin(n mesh.NodeID) bool {
	d, departed := s.recent.departed[n]
	if !departed {
		return true
	}
	current, isMember := s.members[n.Host]
	return d.Successor.IsZero() && (!isMember || current.member.Node == n)
}

// Panel returns the current panel.
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

// SharesEpoch returns the epoch that the next shares record of a workspace must be
// based on, or 0 if it has no shares and lost none by a recent deletion.
func (s *State) SharesEpoch(ws mesh.Workspace) uint64 {
	if st := s.shares[ws]; st != nil {
		return st.source.number()
	}
	if old, ok := s.recent.oldShares[ws]; ok {
		return old.source.number()
	}
	return 0
}

// Version returns the version of an object as plans state it, or 0 if the object
// does not exist.
func (s *State) Version(object string) uint64 {
	if v, ok := s.versions[object]; ok {
		return v.number()
	}
	return 0
}

// extendDigest adds an accepted record to the digest.
func (s *State) extendDigest(data []byte) {
	h := sha256.New()
	h.Write(s.digest[:])
	h.Write(data)
	h.Sum(s.digest[:0])
}
