package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
	"github.com/cockroachdb/datadriven"
)

// interpreter executes the commands of a test file on one state.
type interpreter struct {
	state      *State
	plans      map[string]PlanDocument
	lastRecord []byte
	lastToken  byte // first byte of the last token; the others are 0
}

func (s *interpreter) header() Header {
	s.lastToken++
	return Header{Token: Token{s.lastToken}, By: node("h1"), After: s.state.Offset()}
}

// node parses HOST or HOST/INCARNATION, with a hexadecimal incarnation; the default
// is 1.
func node(text string) mesh.NodeID {
	id := mesh.NodeID{Host: mesh.Host(text), Incarnation: 1}
	if host, incarnation, ok := strings.Cut(text, "/"); ok {
		id.Host = mesh.Host(host)
		_, _ = fmt.Sscanf(incarnation, "%x", &id.Incarnation)
	}
	return id
}

func nodes(texts []string) []mesh.NodeID {
	var out []mesh.NodeID
	for _, text := range texts {
		out = append(out, node(text))
	}
	return out
}

func (s *interpreter) fold(data []byte, err error) string {
	if err != nil {
		return "no record: " + err.Error() + "\n"
	}
	s.lastRecord = data
	offset := s.state.Offset()
	return fmt.Sprintf("%d: %s\n", offset, s.state.Fold(offset, data))
}

func (s *interpreter) run(t *testing.T, d *datadriven.TestData) string {
	first := func() string { return d.CmdArgs[0].Key }
	var args []string
	for _, a := range d.CmdArgs {
		args = append(args, a.Key)
	}
	switch d.Cmd {
	case "plan":
		return s.plan(t, first(), d.Input)
	case "alter": // changes a plan without updating its digest
		p := s.plans[first()]
		p.BaseRevision++
		s.plans[first()] = p
		return ""
	case "confirm":
		return s.fold(NewChange(s.header(), s.plans[first()]))
	case "again": // folds a copy of the last record
		return s.fold(s.lastRecord, nil)
	case "issue":
		return s.fold(NewKeyIssued(s.header(), Key{ID: args[0], Workspace: mesh.Workspace(args[1])}))
	case "withdraw":
		return s.fold(NewKeyWithdrawn(s.header(), first()))
	case "join":
		return s.fold(NewNodeJoined(s.header(), mesh.Member{Node: node(first()), Service: "a"}))
	case "leave": // NODE [SUCCESSOR]; the zero ID means no successor
		left := append(nodes(args), mesh.NodeID{})
		return s.fold(NewNodeLeft(s.header(), left[0], left[1]))
	case "panel":
		var epoch uint64
		d.ScanArgs(t, "epoch", &epoch)
		return s.fold(NewPanel(s.header(), epoch, nodes(args[1:])))
	case "settle":
		var epoch uint64
		d.ScanArgs(t, "epoch", &epoch)
		return s.fold(NewPanelSettled(s.header(), epoch))
	case "shares":
		var baseEpoch uint64
		d.ScanArgs(t, "on", &baseEpoch)
		return s.fold(NewShares(s.header(), mesh.Workspace(args[0]), baseEpoch, nodes(args[2:])))
	case "raw":
		return s.fold([]byte(d.Input), nil)
	case "skip": // folds invalid records, which only advance the offset
		var count int
		d.ScanArgs(t, "records", &count)
		for range count {
			s.state.Fold(s.state.Offset(), nil)
		}
		return ""
	case "state":
		return s.describe()
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (s *interpreter) plan(t *testing.T, name, text string) string {
	want, err := declaration.Parse(declaration.File{Name: "m.ini", Data: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Plan(s.state, want)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "base %d\n", p.BaseRevision)
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "version %d of [%s]\n", c.Version, c.Key)
	}
	// Plans are encoded as JSON between planning and confirmation.
	data, err := json.Marshal(p)
	if err == nil {
		var decoded PlanDocument
		err = json.Unmarshal(data, &decoded)
		s.plans[name] = decoded
	}
	if err != nil {
		t.Fatal(err)
	}
	return b.String() + p.Diff
}

func (s *interpreter) describe() string {
	var b strings.Builder
	st := s.state
	fmt.Fprintf(&b, "next %d, revision %d\n", st.Offset(), st.Revision())
	for _, k := range st.Keys() {
		fmt.Fprintf(&b, "key %s of %s\n", k.ID, k.Workspace)
	}
	fmt.Fprintf(&b, "withdrawn %v\n", st.WithdrawnKeyIDs())
	for _, m := range st.Members() {
		fmt.Fprintf(&b, "member %s\n", m.Node)
	}
	p := st.Panel()
	fmt.Fprintf(&b, "panel %d at %d: %v after %v, settled %v\n", p.Epoch, p.Offset, p.Members, p.Previous, p.Settled)
	for ws := range st.Mesh().Workspaces {
		for _, sh := range st.Shares(ws) {
			fmt.Fprintf(&b, "share %s %d/%d at %s, before %s, epoch %d, first %v\n",
				ws, sh.Index, sh.Count, sh.Holder, sh.Predecessor, sh.Epoch, sh.First)
		}
	}
	return b.String()
}

// Guards against a plan that takes effect although one of its objects has changed
// since, a verdict that does not identify the conflicting record, a record that is
// folded twice, and a late record that undoes a key withdrawal, a leave, a panel or
// a share assignment. The state is restored from its own snapshot after every
// command, so each case also guards against an incomplete snapshot.
func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata/fold", func(t *testing.T, path string) {
		s := &interpreter{state: New(), plans: map[string]PlanDocument{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.run(t, d)
			s.state = snapshotAndRestore(t, s.state)
			return out
		})
	})
}

// snapshotAndRestore returns the state restored from a snapshot of s.
func snapshotAndRestore(t testing.TB, s *State) *State {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	out, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if out.Digest() != s.Digest() || out.Offset() != s.Offset() {
		t.Fatalf("restored digest %s at %d, want %s at %d", out.Digest(), out.Offset(), s.Digest(), s.Offset())
	}
	return out
}

// Guards against a corrupt or truncated snapshot that is accepted.
func TestRestoreRejectsDamagedSnapshot(t *testing.T) {
	data, err := New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		damaged := bytes.Clone(data)
		damaged[i] ^= 1
		s, err := Restore(damaged)
		if err != nil {
			continue
		}
		// Flipped bits in the time and OS fields of the gzip header do not matter.
		if again, err := s.Snapshot(); err != nil || !bytes.Equal(again, data) {
			t.Errorf("damage at byte %d was not detected", i)
		}
	}
	for cut := range data {
		if _, err := Restore(data[:cut]); err == nil {
			t.Errorf("snapshot truncated at byte %d was accepted", cut)
		}
	}
}

// Guards against records that are folded out of order, and against a plan without
// a digest that is accepted.
func TestFoldOffsets(t *testing.T) {
	s := New()
	s.Fold(0, nil)
	if v := s.Fold(0, nil); v.Kind != Duplicate {
		t.Errorf("offset folded twice: verdict %s, want duplicate", v)
	}
	if v := s.Fold(2, nil); v.Kind != Gap || s.Offset() != 1 {
		t.Errorf("offset skipped: verdict %s, next offset %d, want gap and 1", v, s.Offset())
	}
	if _, err := NewChange(Header{Token: Token{1}}, PlanDocument{}); !errors.Is(err, ErrPlanDigest) {
		t.Errorf("plan without digest: error %v, want ErrPlanDigest", err)
	}
}
