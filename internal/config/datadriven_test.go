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

// script folds records into one state as a test file demands.
type script struct {
	state *State
	plans map[string]PlanDocument
	last  []byte
	token byte
}

func (s *script) header() Header {
	s.token++
	return Header{Token: Token{s.token}, By: node("h1"), After: s.state.Offset()}
}

// node parses HOST or HOST/INCARNATION.
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

func (s *script) fold(data []byte, err error) string {
	if err != nil {
		return "no record: " + err.Error() + "\n"
	}
	s.last = data
	offset := s.state.Offset()
	return fmt.Sprintf("%d: %s\n", offset, s.state.Fold(offset, data))
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	first := func() string { return d.CmdArgs[0].Key }
	var args []string
	for _, a := range d.CmdArgs {
		args = append(args, a.Key)
	}
	switch d.Cmd {
	case "plan":
		return s.plan(t, first(), d.Input)
	case "alter":
		p := s.plans[first()]
		p.BaseRevision++
		s.plans[first()] = p
		return ""
	case "confirm":
		return s.fold(NewChange(s.header(), s.plans[first()]))
	case "again":
		return s.fold(s.last, nil)
	case "issue":
		return s.fold(NewKeyIssued(s.header(), Key{ID: args[0], Workspace: mesh.Workspace(args[1])}))
	case "withdraw":
		return s.fold(NewKeyWithdrawn(s.header(), first()))
	case "join":
		return s.fold(NewNodeJoined(s.header(), mesh.Member{Node: node(first()), Service: "a"}))
	case "leave":
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
		var madeOn uint64
		d.ScanArgs(t, "on", &madeOn)
		return s.fold(NewShares(s.header(), mesh.Workspace(args[0]), madeOn, nodes(args[2:])))
	case "raw":
		return s.fold([]byte(d.Input), nil)
	case "skip":
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

func (s *script) plan(t *testing.T, name, text string) string {
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
	// The document reaches the confirming node as JSON.
	data, err := json.Marshal(p)
	if err == nil {
		var read PlanDocument
		err = json.Unmarshal(data, &read)
		s.plans[name] = read
	}
	if err != nil {
		t.Fatal(err)
	}
	return b.String() + p.Diff
}

func (s *script) describe() string {
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

// Guards against a plan that takes effect although an object it touches has
// changed, a verdict that does not name the conflicting record, a record that
// folds twice, and a restriction (key withdrawn, node left, panel, shares) that a
// late record undoes. After every command the state is restored from its own
// snapshot, so each case also guards against a snapshot that leaves something
// out.
func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata/fold", func(t *testing.T, path string) {
		s := &script{state: New(), plans: map[string]PlanDocument{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.run(t, d)
			s.state = restored(t, s.state)
			return out
		})
	})
}

func restored(t testing.TB, s *State) *State {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if again.Digest() != s.Digest() || again.Offset() != s.Offset() {
		t.Fatalf("restored digest %s at %d, was %s at %d", again.Digest(), again.Offset(), s.Digest(), s.Offset())
	}
	return again
}

// Guards against a damaged snapshot that is taken for a state.
func TestRestoreRefusesDamage(t *testing.T) {
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
		// The time and system in the gzip header carry no content.
		if again, err := s.Snapshot(); err != nil || !bytes.Equal(again, data) {
			t.Errorf("damage at byte %d was not found", i)
		}
	}
	for cut := range data {
		if _, err := Restore(data[:cut]); err == nil {
			t.Errorf("snapshot cut at byte %d was accepted", cut)
		}
	}
}

// Guards against records out of order that are folded.
func TestFoldOffsets(t *testing.T) {
	s := New()
	s.Fold(0, nil)
	if v := s.Fold(0, nil); v.Kind != Duplicate {
		t.Errorf("an offset folded again: %s", v)
	}
	if v := s.Fold(2, nil); v.Kind != Gap || s.Offset() != 1 {
		t.Errorf("an offset left out: %s, next %d", v, s.Offset())
	}
	if _, err := NewChange(Header{Token: Token{1}}, PlanDocument{}); !errors.Is(err, ErrPlanDigest) {
		t.Errorf("a plan without digest: %v", err)
	}
}
