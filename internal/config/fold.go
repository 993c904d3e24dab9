package config

import (
	"fmt"
	"slices"
	"strings"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// VerdictKind classifies the result of folding a record.
type VerdictKind uint8

// Verdict kinds.
const (
	// Accepted: the record took effect.
	Accepted VerdictKind = iota
	// Duplicate: a record with this token or at this offset was already folded.
	Duplicate
	// Conflict: the record is based on a version that has changed since.
	Conflict
	// Invalid: the record is malformed, not at an offset from After to After +
	// Window, or would make the configuration invalid.
	Invalid
	// Gap: records before this one are missing. The state is unchanged.
	Gap
)

var verdictNames = []string{"accepted", "duplicate", "conflict", "invalid", "gap"}

// String returns the name of the kind.
func (k VerdictKind) String() string {
	if int(k) < len(verdictNames) {
		return verdictNames[k]
	}
	return fmt.Sprintf("verdict(%d)", uint8(k))
}

// MarshalText implements encoding.TextMarshaler.
func (k VerdictKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *VerdictKind) UnmarshalText(text []byte) error {
	i := slices.Index(verdictNames, string(text))
	if i < 0 {
		return fmt.Errorf("verdict %q does not exist", text)
	}
	*k = VerdictKind(i)
	return nil
}

// Verdict is the result of folding one record. Every node computes the same verdict
// for a record, except for the text of Reason: if a route conflicts with several
// others, the one that is named depends on the order in which the node applied them.
type Verdict struct {
	Kind VerdictKind `json:"kind"`
	// Object identifies what the record conflicts on, or the object to blame for an
	// invalid change if it is known: the key of a declared object, "panel",
	// "shares WORKSPACE" or "node NODE".
	Object string `json:"object,omitempty"`
	// Offset and Token identify the conflicting record, or the first copy of a
	// duplicate. Both are zero for a conflict on an object that no record has set, or
	// that was deleted more than Window records ago. Only the token is zero if Fold
	// was called with an offset that was already folded.
	Offset uint64 `json:"offset,omitempty"`
	Token  Token  `json:"token,omitzero"`
	Reason string `json:"reason,omitempty"`
}

// String formats the verdict for an operator.
func (v Verdict) String() string {
	var b strings.Builder
	b.WriteString(v.Kind.String())
	if v.Object != "" {
		fmt.Fprintf(&b, " on [%s]", v.Object)
	}
	if v.Token != (Token{}) {
		fmt.Fprintf(&b, " with record %d, token %s", v.Offset, v.Token)
	}
	if v.Reason != "" {
		b.WriteString(": " + v.Reason)
	}
	return b.String()
}

func conflict(object string, other version, reason string) Verdict {
	return Verdict{Kind: Conflict, Object: object, Offset: other.Offset, Token: other.Token, Reason: reason}
}

func invalid(format string, args ...any) Verdict {
	return Verdict{Kind: Invalid, Reason: fmt.Sprintf(format, args...)}
}

// Fold folds the record at offset into the state. The offset must equal Offset():
// a lower one gives Duplicate and a higher one Gap, and neither changes the state. At
// the expected offset, every record advances Offset(), whatever its verdict.
func (s *State) Fold(offset uint64, data []byte) Verdict {
	if offset < s.nextOffset {
		return Verdict{Kind: Duplicate, Offset: offset, Reason: "offset was already folded"}
	}
	if offset > s.nextOffset {
		return Verdict{Kind: Gap, Reason: fmt.Sprintf("got record %d, expected record %d", offset, s.nextOffset)}
	}
	s.nextOffset++
	s.recent.expire(offset)
	r, err := decodeRecord(data)
	if err != nil {
		return invalid("%v", err)
	}
	if e, seen := s.recent.tokens[r.Token]; seen {
		return Verdict{Kind: Duplicate, Offset: e.offset, Token: r.Token}
	}
	if offset < r.After || offset-r.After > Window {
		return invalid("record made at offset %d is not valid at offset %d", r.After, offset)
	}
	v := s.foldRecord(version{offset, r.Token}, r)
	s.recent.addToken(r.Token, offset, v)
	if v.Kind == Accepted {
		s.extendDigest(data)
	}
	return v
}

// foldRecord folds a decoded record. source identifies the record and becomes the
// version of the objects that the record sets.
func (s *State) foldRecord(source version, r *record) Verdict {
	switch r.Kind {
	case KindChange:
		return s.foldChange(source, r.Change)
	case KindKeyIssued:
		return s.foldKeyIssued(r.KeyIssued)
	case KindKeyWithdrawn:
		return s.foldKeyWithdrawn(source, r.KeyWithdrawn.ID)
	case KindNodeJoined:
		return s.foldNodeJoined(source, *r.NodeJoined, r.After)
	case KindNodeLeft:
		return s.foldNodeLeft(source, r.NodeLeft)
	case KindPanel:
		return s.foldPanel(source, r.Panel)
	case KindPanelSettled:
		return s.foldPanelSettled(source, r.PanelSettled.Epoch)
	}
	// decodeRecord rejects unknown kinds, so only KindShares is left.
	return s.foldShares(source, r.Shares)
}

func (s *State) foldChange(source version, c *changeBody) Verdict {
	changes := make([]declaration.Change, len(c.Changes))
	for i, oc := range c.Changes {
		if v := s.checkVersion(oc); v.Kind != Accepted {
			return v
		}
		if reason := s.checkNoKeys(oc.Change); reason != "" {
			return Verdict{Kind: Invalid, Object: oc.Key, Reason: reason}
		}
		changes[i] = oc.Change
	}
	if err := s.set.Apply(changes); err != nil {
		return invalid("%v", err)
	}
	for _, oc := range c.Changes {
		if oc.Set != nil {
			s.versions[oc.Key] = source
			continue
		}
		delete(s.versions, oc.Key)
		s.recent.addDeleted(oc.Key, source)
		s.removeShares(source, oc.Key)
	}
	s.revision, s.configured = source.Offset, true
	return Verdict{}
}

// checkVersion compares the version a change is based on with the current one.
// An absent object has no version of its own: whether it was deleted or never
// existed makes no difference to a plan that creates it.
func (s *State) checkVersion(oc ObjectChange) Verdict {
	current, exists := s.versions[oc.Key]
	if exists && current.number() == oc.Version || !exists && oc.Version == 0 {
		return Verdict{}
	}
	if exists {
		return conflict(oc.Key, current, "object has changed since the plan")
	}
	return conflict(oc.Key, s.recent.deleted[oc.Key], "object was deleted since the plan")
}

// checkNoKeys returns why a change is rejected, or "". A workspace that still has
// keys cannot be deleted: the keys would become valid again if another workspace
// of that name were declared.
func (s *State) checkNoKeys(c declaration.Change) string {
	name, isWorkspace := strings.CutPrefix(c.Key, "workspace ")
	if n := s.keyCount[mesh.Workspace(name)]; isWorkspace && c.Set == nil && n > 0 {
		return fmt.Sprintf("workspace has %d keys that are not withdrawn", n)
	}
	return ""
}

// removeShares removes the shares of a deleted workspace. It keeps their version,
// because a holder may use its share until it has folded the deletion.
func (s *State) removeShares(source version, object string) {
	name, isWorkspace := strings.CutPrefix(object, "workspace ")
	ws := mesh.Workspace(name)
	if st := s.shares[ws]; isWorkspace && st != nil {
		s.recent.addOldShares(ws, st.source, source.Offset)
		delete(s.shares, ws)
	}
}

func (s *State) foldKeyIssued(b *keyIssuedBody) Verdict {
	k, err := b.key()
	if err != nil {
		return invalid("%v", err)
	}
	if _, used := s.Key(k.ID); used {
		return invalid("key id %q is in use or was withdrawn", k.ID)
	}
	declared, ok := s.set.Workspace(k.Workspace)
	if !ok {
		return invalid("workspace %q of key %q is not declared", k.Workspace, k.ID)
	}
	k.Workspace = declared.Name // shares the memory of the declared name, one copy for all keys
	s.keys[k.ID] = k
	s.keyCount[k.Workspace]++
	return Verdict{}
}

// foldKeyWithdrawn accepts every withdrawal: withdrawals need no order among each
// other, and one that precedes the issue of its key must prevent that issue.
func (s *State) foldKeyWithdrawn(source version, id string) Verdict {
	if _, withdrawn := s.recent.withdrawn[id]; withdrawn {
		return Verdict{}
	}
	if k, exists := s.keys[id]; exists {
		s.keyCount[k.Workspace]--
		if s.keyCount[k.Workspace] == 0 {
			delete(s.keyCount, k.Workspace)
		}
		delete(s.keys, id)
	}
	s.recent.addWithdrawn(id, source)
	return Verdict{}
}

// foldNodeJoined replaces any other incarnation on the host. A late record of the
// replaced incarnation is rejected, so that it cannot rejoin. A node that others
// removed while they could not reach it rejoins with a record that it makes after
// folding its removal.
func (s *State) foldNodeJoined(source version, m mesh.Member, after uint64) Verdict {
	d, departed := s.recent.departed[m.Node]
	if departed && after > d.Source.Offset && s.MayJoin(m.Node) {
		delete(s.recent.departed, m.Node)
		departed = false
	}
	if departed {
		return conflict("node "+m.Node.String(), d.Source, "node has left or was replaced")
	}
	if old, ok := s.members[m.Node.Host]; ok && old.member.Node != m.Node {
		s.recent.addDeparted(departure{Node: old.member.Node, Source: source})
	}
	s.members[m.Node.Host] = memberState{m, source}
	return Verdict{}
}

// foldNodeLeft removes a node. Calls with tickets of the node are redirected to its
// successor; the first successor named is therefore final.
func (s *State) foldNodeLeft(source version, b *nodeLeftBody) Verdict {
	if d, departed := s.recent.departed[b.Node]; departed && !d.Successor.IsZero() {
		return conflict("node "+b.Node.String(), d.Source, "node has left with successor "+d.Successor.String())
	}
	if m, ok := s.members[b.Node.Host]; ok && m.member.Node == b.Node {
		delete(s.members, b.Node.Host)
	}
	s.recent.addDeparted(departure{Node: b.Node, Successor: b.Successor, Source: source})
	return Verdict{}
}

// foldPanel sets the next panel. Until that is settled, a majority of the previous
// panel must agree too. Only one previous panel is kept, so no other can be set.
func (s *State) foldPanel(source version, b *panelBody) Verdict {
	if !s.panel.Settled {
		return conflict("panel", s.panelSource, fmt.Sprintf("panel %d is not settled", s.panel.Epoch))
	}
	if b.Epoch != s.panel.Epoch+1 {
		return conflict("panel", s.panelSource, fmt.Sprintf("the next panel is %d, not %d", s.panel.Epoch+1, b.Epoch))
	}
	s.panel = Panel{
		Epoch:    b.Epoch,
		Offset:   source.Offset,
		Members:  b.Members,
		Previous: s.panel.Members,
		Settled:  len(s.panel.Members) == 0, // the first panel replaces no other
	}
	s.panelSource = source
	return Verdict{}
}

// foldPanelSettled ends the need for a majority of the previous panel.
func (s *State) foldPanelSettled(source version, epoch uint64) Verdict {
	if epoch != s.panel.Epoch || s.panel.Settled {
		return conflict("panel", s.panelSource, fmt.Sprintf("panel %d does not wait to be settled", epoch))
	}
	s.panel.Settled = true
	s.panel.Previous = nil
	s.panelSource = source
	return Verdict{}
}

func (s *State) foldShares(source version, b *sharesBody) Verdict {
	declared, ok := s.set.Workspace(b.Workspace)
	if !ok {
		return invalid("workspace %q of the shares is not declared", b.Workspace)
	}
	ws := declared.Name
	if current := s.SharesEpoch(ws); current != b.Epoch {
		return conflict("shares "+string(ws), s.sharesSource(ws), fmt.Sprintf("shares were made on epoch %d, present is %d", b.Epoch, current))
	}
	next := &sharesState{source: source, shares: make([]Share, len(b.Holders))}
	for i, holder := range b.Holders {
		next.shares[i] = s.nextShare(source, ws, i, len(b.Holders), holder)
	}
	s.shares[ws] = next
	return Verdict{}
}

func (s *State) sharesSource(ws mesh.Workspace) version {
	if st := s.shares[ws]; st != nil {
		return st.source
	}
	return s.recent.oldShares[ws].source
}

// nextShare returns the share at index for holder. A share whose holder and size
// do not change is kept with its epoch.
func (s *State) nextShare(source version, ws mesh.Workspace, index, count int, holder mesh.NodeID) Share {
	share := Share{
		Workspace: ws, Index: index, Count: count, Holder: holder,
		Epoch: source.number(), Offset: source.Offset, First: s.SharesEpoch(ws) == 0,
	}
	st := s.shares[ws]
	if st == nil || len(st.shares) != count {
		return share
	}
	previous := st.shares[index]
	if previous.Holder == holder {
		return previous
	}
	share.Predecessor = previous.Holder
	share.PredecessorEpoch = previous.Epoch
	return share
}
