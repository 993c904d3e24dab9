package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// recordGenerator generates random records that often conflict with each other.
type recordGenerator struct {
	random *rand.Rand
	state  *State
	plans  []PlanDocument
	sent   [][]byte
}

func (g *recordGenerator) name(prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, g.random.IntN(n))
}

func (g *recordGenerator) node() mesh.NodeID {
	return mesh.NodeID{Host: mesh.Host(g.name("h", 6)), Incarnation: mesh.Incarnation(1 + g.random.IntN(3))}
}

func (g *recordGenerator) nodes() []mesh.NodeID {
	out := make([]mesh.NodeID, 1+g.random.IntN(3))
	for i := range out {
		out[i] = g.node()
	}
	return out
}

// mesh returns a random valid mesh.
func (g *recordGenerator) mesh() *declaration.Mesh {
	var b bytes.Buffer
	b.WriteString("[mesh]\nname = m\n")
	var services []int
	for i := range 4 {
		if g.random.IntN(4) > 0 {
			fmt.Fprintf(&b, "[service s%d]\nmax_concurrency = %d\n", i, g.random.IntN(2))
			services = append(services, i)
		}
		if g.random.IntN(4) > 0 {
			fmt.Fprintf(&b, "[workspace w%d]\nrate_per_second = %d\nburst = 10\n", i, g.random.IntN(3))
		}
	}
	for i := 1; i < len(services); i++ {
		from, to := services[i-1], services[i]
		if g.random.IntN(2) == 0 { // in either direction, so that two plans together can form a cycle
			from, to = to, from
		}
		fmt.Fprintf(&b, "[edge s%d s%d]\n", from, to)
		// Routes that differ only in the name of the parameter conflict.
		fmt.Fprintf(&b, "[route GET /%d/{x%d}]\nservice = s%d\nclass = high\ntimeout = 1s\n", i, g.random.IntN(2), to)
	}
	m, err := declaration.Parse(declaration.File{Data: b.Bytes()})
	if err != nil {
		panic(err)
	}
	return m
}

// record returns a new record or, so that Fold meets duplicates, one that it returned
// before. A change may be based on an outdated plan and then conflict. The result is
// nil, which Fold rejects as invalid, if no record could be made.
func (g *recordGenerator) record() []byte {
	var h Header
	for i := range h.Token {
		h.Token[i] = byte(g.random.Uint32())
	}
	h.After = g.state.Offset() - min(g.state.Offset(), uint64(g.random.IntN(4)))
	ws := mesh.Workspace(g.name("w", 4))
	var data []byte
	var err error
	switch g.random.IntN(12) {
	case 0, 1, 10:
		if p, err := Plan(g.state, g.mesh()); err == nil && len(p.Changes) > 0 {
			g.plans = append(g.plans, p)
		}
		if len(g.plans) == 0 {
			return nil
		}
		recent := min(len(g.plans), 3)
		data, err = NewChange(h, g.plans[len(g.plans)-1-g.random.IntN(recent)])
	case 2:
		data, err = NewKeyIssued(h, Key{ID: g.name("k", 50), Workspace: ws})
	case 3:
		data, err = NewKeyWithdrawn(h, g.name("k", 50))
	case 4:
		data, err = NewNodeJoined(h, mesh.Member{Node: g.node()})
	case 5:
		data, err = NewNodeLeft(h, g.node(), g.node())
	case 6:
		data, err = NewPanel(h, g.state.Panel().Epoch+uint64(g.random.IntN(2)), g.nodes())
	case 7:
		data, err = NewPanelSettled(h, g.state.Panel().Epoch)
	case 8:
		data, err = NewShares(h, ws, g.state.SharesEpoch(ws), g.nodes())
	default:
		if len(g.sent) > 0 {
			data = g.sent[g.random.IntN(len(g.sent))]
		}
	}
	if err != nil {
		return nil
	}
	g.sent = append(g.sent, data)
	return data
}

// Guards against a restored state that folds later records to a different result than
// the original, and against a rejected change that is not rolled back completely. Parts
// of the state that a snapshot does not contain then differ from those of the replica.
func TestRestoredStateFoldsIdentically(t *testing.T) {
	for seed := range uint64(3) {
		original, replica := New(), New()
		g := &recordGenerator{random: rand.New(rand.NewPCG(seed, 1)), state: original}
		verdicts := map[VerdictKind]int{}
		for step := range 1000 {
			if step == 700 {
				// The tokens, withdrawals and departures of the first 500 steps or so expire
				// here, later ones during the remaining steps.
				for range Window - 200 {
					original.Fold(original.Offset(), nil)
					replica.Fold(replica.Offset(), nil)
				}
			}
			data := g.record()
			v := original.Fold(original.Offset(), data)
			if got := replica.Fold(replica.Offset(), data); got.Kind != v.Kind || got.Offset != v.Offset || got.Token != v.Token {
				t.Fatalf("seed %d, step %d: verdict %s, verdict of the restored state %s", seed, step, v, got)
			}
			verdicts[v.Kind]++
			if g.random.IntN(40) == 0 {
				replica = snapshotAndRestore(t, replica)
			}
		}
		a, err1 := original.Snapshot()
		b, err2 := replica.Snapshot()
		if err1 != nil || err2 != nil || !bytes.Equal(a, b) {
			t.Fatalf("seed %d: snapshots differ or were not encoded (errors %v and %v)", seed, err1, err2)
		}
		if err := original.Mesh().Check(); err != nil {
			t.Fatalf("seed %d: folded mesh is invalid: %v", seed, err)
		}
		for _, kind := range []VerdictKind{Accepted, Duplicate, Conflict, Invalid} {
			if verdicts[kind] < 20 {
				t.Errorf("seed %d: only %d records were %s, want at least 20", seed, verdicts[kind], kind)
			}
		}
	}
}

// Guards against a record that makes Fold panic, and against one after which the
// snapshot of the state cannot be restored.
func FuzzFold(f *testing.F) {
	h := Header{Token: Token{1}, By: node("h")}
	for _, record := range [][]byte{
		must(NewKeyIssued(h, Key{ID: "k", Workspace: "w"})), must(NewKeyWithdrawn(h, "k")),
		must(NewNodeJoined(h, mesh.Member{Node: node("h")})), must(NewNodeLeft(h, node("h"), node("i"))),
		must(NewPanel(h, 1, nodes([]string{"h", "i"}))), must(NewPanelSettled(h, 1)),
		must(NewShares(h, "w", 0, nodes([]string{"h"}))),
		[]byte(`{"kind":"change","token":"02000000000000000000000000000000","by":{"host":"h","incarnation":1},"after":0,` +
			`"change":{"changes":[{"object":"service b","set":{"service":{"name":"b"}},"version":0}]}}`),
	} {
		f.Add(record)
	}
	g := &recordGenerator{random: rand.New(rand.NewPCG(1, 1))}
	base := New()
	plan, err := Plan(base, g.mesh())
	if err != nil {
		f.Fatal(err)
	}
	if v := base.Fold(0, must(NewChange(Header{Token: Token{9}}, plan))); v.Kind != Accepted {
		f.Fatal(v)
	}
	snapshot := must(base.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		before := s.Digest()
		v := s.Fold(1, data)
		if (v.Kind == Accepted) != (s.Digest() != before) {
			t.Fatalf("verdict %s, digest %s, was %s before; want a new digest exactly if the record is accepted", v, s.Digest(), before)
		}
		if got := snapshotAndRestore(t, s).Fold(2, data).Kind; got != Duplicate && got != Invalid {
			t.Fatalf("same record folded again: verdict %s, want duplicate or invalid; first verdict %s", got, v)
		}
	})
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
