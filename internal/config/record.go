package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"cardamomhatch/internal/mesh"
)

// Kind is the type of a record.
type Kind string

// Record kinds.
const (
	KindChange       Kind = "change"
	KindKeyIssued    Kind = "key-issued"
	KindKeyWithdrawn Kind = "key-withdrawn"
	KindNodeJoined   Kind = "node-joined"
	KindNodeLeft     Kind = "node-left"
	KindPanel        Kind = "panel"
	KindPanelSettled Kind = "panel-settled"
	KindShares       Kind = "shares"
)

// Token makes appending a record idempotent: only the first record with a given
// token is folded.
type Token [16]byte

// NewToken generates a token from a source of random bytes such as
// crypto/rand.Reader.
func NewToken(random io.Reader) (Token, error) {
	var t Token
	if _, err := io.ReadFull(random, t[:]); err != nil {
		return Token{}, fmt.Errorf("generate record token: %w", err)
	}
	return t, nil
}

// String returns the token as 32 hexadecimal digits.
func (t Token) String() string { return hex.EncodeToString(t[:]) }

// ParseToken is the inverse of Token.String.
func ParseToken(s string) (Token, error) {
	var t Token
	if err := t.UnmarshalText([]byte(s)); err != nil {
		return Token{}, err
	}
	return t, nil
}

// MarshalText implements encoding.TextMarshaler.
func (t Token) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Token) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(t[:], text[:min(len(text), 2*len(t))]); err != nil || n != len(t) || len(text) != 2*len(t) {
		return fmt.Errorf("token %q is not %d hexadecimal digits", text, 2*len(t))
	}
	return nil
}

// Header holds the fields that all records have.
type Header struct {
	Token Token
	By    mesh.NodeID // the author, the node that made the record
	At    time.Time   // wall clock of the author; informational only
	// After is State.Offset of the author when it made the record: the author had
	// folded all records below this offset. The record is folded only at an offset
	// from After to After + Window.
	After uint64
}

type author struct {
	Host        mesh.Host        `json:"host"`
	Incarnation mesh.Incarnation `json:"incarnation"`
}

// record is the JSON form of a record. Only the body that belongs to Kind is set.
type record struct {
	Kind  Kind   `json:"kind"`
	Token Token  `json:"token"`
	By    author `json:"by"`
	At    string `json:"at,omitempty"`
	After uint64 `json:"after"`

	Change       *changeBody       `json:"change,omitempty"`
	KeyIssued    *keyIssuedBody    `json:"key_issued,omitempty"`
	KeyWithdrawn *keyWithdrawnBody `json:"key_withdrawn,omitempty"`
	NodeJoined   *mesh.Member      `json:"node_joined,omitempty"`
	NodeLeft     *nodeLeftBody     `json:"node_left,omitempty"`
	Panel        *panelBody        `json:"panel,omitempty"`
	PanelSettled *panelSettledBody `json:"panel_settled,omitempty"`
	Shares       *sharesBody       `json:"shares,omitempty"`
}

type changeBody struct {
	Changes []ObjectChange `json:"changes"`
}

type keyIssuedBody struct {
	ID        string         `json:"id"`
	Hash      string         `json:"hash"` // 64 hexadecimal digits
	Workspace mesh.Workspace `json:"workspace"`
}

type keyWithdrawnBody struct {
	ID string `json:"id"`
}

type nodeLeftBody struct {
	Node      mesh.NodeID `json:"node"`
	Successor mesh.NodeID `json:"successor,omitzero"`
}

type panelBody struct {
	Epoch   uint64        `json:"epoch"`
	Members []mesh.NodeID `json:"members"`
}

type panelSettledBody struct {
	Epoch uint64 `json:"epoch"`
}

type sharesBody struct {
	Workspace mesh.Workspace `json:"workspace"`
	Epoch     uint64         `json:"epoch"` // epoch that the record is based on
	Holders   []mesh.NodeID  `json:"holders"`
}

// encodeRecord returns a record as JSON, with the body that fill sets. It returns an
// error if decodeRecord would reject the record.
func encodeRecord(h Header, kind Kind, fill func(*record)) ([]byte, error) {
	r := record{
		Kind:  kind,
		Token: h.Token,
		By:    author{h.By.Host, h.By.Incarnation},
		After: h.After,
	}
	if !h.At.IsZero() {
		r.At = h.At.UTC().Format(time.RFC3339Nano)
	}
	fill(&r)
	data, err := json.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode %s record: %w", kind, err)
	}
	if _, err := decodeRecord(data); err != nil {
		return nil, fmt.Errorf("%s record: %w", kind, err)
	}
	return data, nil
}

// NewKeyIssued returns the record that makes a key valid.
func NewKeyIssued(h Header, k Key) ([]byte, error) {
	body := &keyIssuedBody{ID: k.ID, Hash: hex.EncodeToString(k.Hash[:]), Workspace: k.Workspace}
	return encodeRecord(h, KindKeyIssued, func(r *record) { r.KeyIssued = body })
}

// NewKeyWithdrawn returns the record that withdraws a key.
func NewKeyWithdrawn(h Header, id string) ([]byte, error) {
	return encodeRecord(h, KindKeyWithdrawn, func(r *record) { r.KeyWithdrawn = &keyWithdrawnBody{ID: id} })
}

// NewNodeJoined returns the record that adds a node, or updates its entry if it is
// already a member.
func NewNodeJoined(h Header, m mesh.Member) ([]byte, error) {
	return encodeRecord(h, KindNodeJoined, func(r *record) { r.NodeJoined = &m })
}

// NewNodeLeft returns the record that removes a node. The successor takes over its
// tickets; it may be zero.
func NewNodeLeft(h Header, node, successor mesh.NodeID) ([]byte, error) {
	return encodeRecord(h, KindNodeLeft, func(r *record) { r.NodeLeft = &nodeLeftBody{node, successor} })
}

// NewPanel returns the record that sets the next panel. Its epoch must be one more
// than that of the current panel.
func NewPanel(h Header, epoch uint64, members []mesh.NodeID) ([]byte, error) {
	return encodeRecord(h, KindPanel, func(r *record) { r.Panel = &panelBody{epoch, members} })
}

// NewPanelSettled returns the record that completes the change to the panel of an
// epoch.
func NewPanelSettled(h Header, epoch uint64) ([]byte, error) {
	return encodeRecord(h, KindPanelSettled, func(r *record) { r.PanelSettled = &panelSettledBody{epoch} })
}

// NewShares returns the record that assigns share i of a workspace to holders[i].
// baseEpoch is the result of State.SharesEpoch for the workspace.
func NewShares(h Header, ws mesh.Workspace, baseEpoch uint64, holders []mesh.NodeID) ([]byte, error) {
	return encodeRecord(h, KindShares, func(r *record) { r.Shares = &sharesBody{ws, baseEpoch, holders} })
}

// decodeRecord decodes and checks a record. It rejects unknown fields: such a field
// may be a restriction that this version does not implement, and ignoring it would
// be unsafe.
func decodeRecord(data []byte) (*record, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var r record
	if err := decoder.Decode(&r); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if decoder.More() {
		return nil, errors.New("decode: data after the record")
	}
	if r.Token == (Token{}) {
		return nil, errors.New("token is missing")
	}
	return &r, r.check()
}

// check returns an error unless the record has exactly the body of its kind and
// the body is well formed.
func (r *record) check() error {
	bodies := map[Kind]bool{
		KindChange:       r.Change != nil,
		KindKeyIssued:    r.KeyIssued != nil,
		KindKeyWithdrawn: r.KeyWithdrawn != nil,
		KindNodeJoined:   r.NodeJoined != nil,
		KindNodeLeft:     r.NodeLeft != nil,
		KindPanel:        r.Panel != nil,
		KindPanelSettled: r.PanelSettled != nil,
		KindShares:       r.Shares != nil,
	}
	present, known := bodies[r.Kind]
	if !known {
		return fmt.Errorf("kind %q does not exist", r.Kind)
	}
	if !present {
		return fmt.Errorf("body of kind %q is missing", r.Kind)
	}
	for kind, set := range bodies {
		if set && kind != r.Kind {
			return fmt.Errorf("record of kind %q also has a body of another kind", r.Kind)
		}
	}
	return r.checkBody()
}

func (r *record) checkBody() error {
	switch r.Kind {
	case KindChange:
		if len(r.Change.Changes) == 0 {
			return errors.New("change touches no object")
		}
	case KindKeyIssued:
		_, err := r.KeyIssued.key()
		return err
	case KindKeyWithdrawn:
		return checkKeyID(r.KeyWithdrawn.ID)
	case KindNodeJoined:
		return checkNode("joined node", r.NodeJoined.Node)
	case KindNodeLeft:
		return checkNode("node that left", r.NodeLeft.Node)
	case KindPanel:
		return checkNodes("panel member", r.Panel.Members, maxPanel, true)
	case KindShares:
		return checkNodes("holder", r.Shares.Holders, maxShares, false)
	}
	return nil
}

func (b *keyIssuedBody) key() (Key, error) {
	k := Key{ID: b.ID, Workspace: b.Workspace}
	if err := checkKeyID(b.ID); err != nil {
		return Key{}, err
	}
	if len(b.Hash) != 2*len(k.Hash) {
		return Key{}, fmt.Errorf("hash of key %q has %d digits instead of %d", b.ID, len(b.Hash), 2*len(k.Hash))
	}
	if _, err := hex.Decode(k.Hash[:], []byte(b.Hash)); err != nil {
		return Key{}, fmt.Errorf("hash of key %q: %w", b.ID, err)
	}
	return k, nil
}

func checkKeyID(id string) error {
	if len(id) < 1 || len(id) > maxKeyID {
		return fmt.Errorf("key id has %d bytes, allowed are 1 to %d", len(id), maxKeyID)
	}
	return nil
}

func checkNode(role string, n mesh.NodeID) error {
	if n.Host == "" || n.Incarnation == 0 {
		return fmt.Errorf("%s %s has no host or no incarnation", role, n)
	}
	return nil
}

// checkNodes checks the nodes that a record names in a role. If distinct is set, they
// must be on different hosts.
func checkNodes(role string, nodes []mesh.NodeID, maxNodes int, distinct bool) error {
	if len(nodes) < 1 || len(nodes) > maxNodes {
		return fmt.Errorf("record names %d nodes as %s, allowed are 1 to %d", len(nodes), role, maxNodes)
	}
	hosts := make(map[mesh.Host]bool, len(nodes))
	for _, n := range nodes {
		if err := checkNode(role, n); err != nil {
			return err
		}
		if distinct && hosts[n.Host] {
			return fmt.Errorf("host %s is named twice as %s", n.Host, role)
		}
		hosts[n.Host] = true
	}
	return nil
}
