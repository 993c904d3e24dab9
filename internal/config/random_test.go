package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// writer makes random records that often conflict with each other.
type writer struct {
	random *rand.Rand
	state  *State
	plans  []PlanDocument
	sent   [][]byte
}

func (w *writer) name(prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, w.random.IntN(n))
}

func (w *writer) node() mesh.NodeID {
	return mesh.NodeID{Host: mesh.Host(w.name("h", 6)), Incarnation: mesh.Incarnation(1 + w.random.IntN(3))}
}

func (w *writer) nodes() []mesh.NodeID {
	out := make([]mesh.NodeID, 1+w.random.IntN(3))
	for i := range out {
		out[i] = w.node()
	}
	return out
}

// want returns a random valid mesh.
func (w *writer) want() *declaration.Mesh {
	var b bytes.Buffer
	b.WriteString("[mesh]\nname = m\n")
	var services []int
	for i := range 4 {
		if w.random.IntN(4) > 0 {
			fmt.Fprintf(&b, "[service s%d]\nmax_concurrency = %d\n", i, w.random.IntN(2))
			services = append(services, i)
		}
		if w.random.IntN(4) > 0 {
			fmt.Fprintf(&b, "[workspace w%d]\nrate_per_second = %d\nburst = 10\n", i, w.random.IntN(3))
		}
	}
	for i := 1; i < len(services); i++ {
		from, to := services[i-1], services[i]
		if w.random.IntN(2) == 0 { // up or down, so that two plans together make a cycle
			from, to = to, from
		}
		fmt.Fprintf(&b, "[edge s%d s%d]\n", from, to)
		fmt.Fprintf(&b, "[route GET /%d/{x%d}]\nservice = s%d\nclass = high\ntimeout = 1s\n", i, w.random.IntN(2), to)
	}
	m, err := declaration.Parse(declaration.File{Data: b.Bytes()})
	if err != nil {
		panic(err)
	}
	return m
}

func (w *writer) record() []byte {
	var h Header
	for i := range h.Token {
		h.Token[i] = byte(w.random.Uint32())
	}
	h.After = w.state.Offset() - min(w.state.Offset(), uint64(w.random.IntN(4)))
	ws := mesh.Workspace(w.name("w", 4))
	var data []byte
	var err error
	switch w.random.IntN(12) {
	case 0, 1, 10:
		if p, err := Plan(w.state, w.want()); err == nil && len(p.Changes) > 0 {
			w.plans = append(w.plans, p)
		}
		if len(w.plans) == 0 {
			return nil
		}
		recent := min(len(w.plans), 3)
		data, err = NewChange(h, w.plans[len(w.plans)-1-w.random.IntN(recent)])
	case 2:
		data, err = NewKeyIssued(h, Key{ID: w.name("k", 50), Workspace: ws})
	case 3:
		data, err = NewKeyWithdrawn(h, w.name("k", 50))
	case 4:
		data, err = NewNodeJoined(h, mesh.Member{Node: w.node()})
	case 5:
		data, err = NewNodeLeft(h, w.node(), w.node())
	case 6:
		data, err = NewPanel(h, w.state.Panel().Epoch+uint64(w.random.IntN(2)), w.nodes())
	case 7:
		data, err = NewPanelSettled(h, w.state.Panel().Epoch)
	case 8:
		data, err = NewShares(h, ws, w.state.SharesEpoch(ws), w.nodes())
	default:
		if len(w.sent) > 0 {
			data = w.sent[w.random.IntN(len(w.sent))]
		}
	}
	if err != nil {
		return nil
	}
	w.sent = append(w.sent, data)
	return data
}

// Guards against a restored state, or one that rejected a change before, that
// folds later records to another result than a state that folded everything.
func TestRestoredStateFoldsIdentically(t *testing.T) {
	for seed := range uint64(3) {
		plain, other := New(), New()
		w := &writer{random: rand.New(rand.NewPCG(seed, 1)), state: plain}
		verdicts := map[VerdictKind]int{}
		for step := range 1000 {
			if step == 700 {
				for range Window - 200 { // some of what is remembered expires next
					plain.Fold(plain.Offset(), nil)
					other.Fold(other.Offset(), nil)
				}
			}
			data := w.record()
			v := plain.Fold(plain.Offset(), data)
			if got := other.Fold(other.Offset(), data); got.Kind != v.Kind || got.Offset != v.Offset || got.Token != v.Token {
				t.Fatalf("seed %d, step %d: verdict %s, restored state %s", seed, step, v, got)
			}
			verdicts[v.Kind]++
			if w.random.IntN(40) == 0 {
				other = restored(t, other)
			}
		}
		a, err1 := plain.Snapshot()
		b, err2 := other.Snapshot()
		if err1 != nil || err2 != nil || !bytes.Equal(a, b) {
			t.Fatalf("seed %d: snapshots differ (%v, %v)", seed, err1, err2)
		}
		if err := plain.Mesh().Check(); err != nil {
			t.Fatalf("seed %d: folded mesh is invalid: %v", seed, err)
		}
		for _, kind := range []VerdictKind{Accepted, Duplicate, Conflict, Invalid} {
			if verdicts[kind] < 20 {
				t.Errorf("seed %d: only %d records were %s", seed, verdicts[kind], kind)
			}
		}
	}
}

// Guards against a record that stops the process, and against one after which
// the snapshot of the state cannot be restored.
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
	w := &writer{random: rand.New(rand.NewPCG(1, 1))}
	base := New()
	plan, err := Plan(base, w.want())
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
			t.Fatalf("verdict %s, digest %s after %s", v, s.Digest(), before)
		}
		if got := restored(t, s).Fold(2, data).Kind; got != Duplicate && got != Invalid {
			t.Fatalf("the same record again: %s, first %s", got, v)
		}
	})
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
