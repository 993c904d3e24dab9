package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

func at(era, offset uint64) Position { return Position{era, offset} }

func entry(d mesh.DataCentre, evacuated bool, p Position) Entry { return Entry{d, evacuated, p} }

// exchange makes two sets tell each other what they know, as digests do.
func exchange(now time.Duration, a, b *Set) {
	fromA, fromB := a.State(), b.State()
	a.Merge(now, fromB)
	b.Merge(now, fromA)
}

// log is the operator's log, with the offsets at which each data centre was evacuated or taken
// back.
type log struct {
	records []Entry
}

func (l *log) append(d mesh.DataCentre, evacuated bool) {
	l.records = append(l.records, entry(d, evacuated, at(0, uint64(len(l.records)+1))))
}

// listing returns the data centres that are evacuated by the first end records.
func (l *log) listing(end int) []Entry {
	newest := map[mesh.DataCentre]Entry{}
	for _, e := range l.records[:end] {
		newest[e.DataCentre] = e
	}
	var out []Entry
	for _, e := range newest {
		if e.Evacuated {
			out = append(out, e)
		}
	}
	return out
}

// Several data centres are evacuated and taken back while nodes read, list, start again, and get
// messages that were sent long ago. Once a node has heard of a change, no late message may undo
// it, and in the end all nodes must agree with the store.
func TestLateAndLostNews(t *testing.T) {
	const nodes = 6
	centres := []mesh.DataCentre{"a", "b", "c"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var l log
		var late []State
		sets, cursors := make([]*Set, nodes), make([]int, nodes)
		for i := range sets {
			sets[i], cursors[i] = New(), -1
		}
		for range 200 {
			i := random.IntN(nodes)
			switch random.IntN(6) {
			case 0:
				l.append(centres[random.IntN(len(centres))], random.IntN(2) == 0)
			case 1:
				if cursors[i] < 0 || random.IntN(4) == 0 { // at the start, and if the store has forgotten its history
					sets[i].Listed(0, at(0, uint64(len(l.records))), l.listing(len(l.records)))
				} else {
					sets[i].Read(0, at(0, uint64(len(l.records))), l.records[cursors[i]:])
				}
				cursors[i] = len(l.records)
			case 2:
				late = append(late, sets[i].State())
			case 3:
				if len(late) > 0 {
					sets[i].Merge(0, late[random.IntN(len(late))])
				}
			case 4:
				exchange(0, sets[i], sets[random.IntN(nodes)])
			case 5:
				if random.IntN(10) == 0 {
					sets[i], cursors[i] = New(), -1
				}
			}
			if cursors[i] >= 0 && cursors[i] < len(l.records) {
				continue
			}
			if got, want := sets[i].Active(), names(l.listing(len(l.records))); cursors[i] >= 0 && !slices.Equal(got, want) {
				t.Fatalf("seed %d: a node that has read all takes %v for evacuated, want %v", seed, got, want)
			}
		}
		sets[0].Listed(0, at(0, uint64(len(l.records))), l.listing(len(l.records)))
		for range 3 {
			for i := range sets {
				exchange(0, sets[i], sets[(i+1)%nodes])
			}
		}
		for i, s := range sets {
			if got, want := s.Active(), names(l.listing(len(l.records))); !slices.Equal(got, want) || s.Hash() != sets[0].Hash() {
				t.Fatalf("seed %d: node %d takes %v for evacuated, want %v, and the hash of the others", seed, i, got, want)
			}
		}
	}
}

func names(entries []Entry) []mesh.DataCentre {
	var out []mesh.DataCentre
	for _, e := range entries {
		out = append(out, e.DataCentre)
	}
	slices.Sort(out)
	return out
}

// A store that has come back from an older copy lacks evacuations until the operator writes them
// again. Nodes must keep them that long, but not for ever, whichever node lists first.
func TestEvacuationThatTheStoreHasLost(t *testing.T) {
	const seen = time.Minute // when the new era is first seen
	old := func() *Set {
		s := New()
		s.Listed(0, at(1, 100), []Entry{entry("z", true, at(1, 90))})
		return s
	}
	for name, c := range map[string]struct {
		act  func(old, fresh *Set)
		want bool // z is evacuated
	}{
		"listed at once":      {func(o, _ *Set) { o.Listed(seen, at(2, 80), nil) }, true},
		"era seen long ago":   {func(o, _ *Set) { o.SeeEra(seen-SettleTime, 2); o.Listed(seen, at(2, 80), nil) }, false},
		"listed in the copy":  {func(o, _ *Set) { o.Listed(seen, at(2, 80), []Entry{entry("z", true, at(2, 70))}) }, true},
		"dropped in new era":  {func(o, _ *Set) { o.SeeEra(seen, 2); o.Read(seen, at(2, 81), []Entry{entry("z", false, at(2, 81))}) }, false},
		"told of by peers":    {func(o, f *Set) { f.Listed(seen, at(2, 80), nil); exchange(seen, o, f) }, true},
		"two eras at once":    {func(o, _ *Set) { o.Listed(seen, at(2, 80), nil); o.Listed(seen+time.Second, at(3, 70), nil) }, true},
		"second era is newer": {func(o, _ *Set) { o.SeeEra(seen-SettleTime, 2); o.Listed(seen, at(3, 70), nil) }, true},
		"settled at a peer": {func(o, f *Set) {
			f.SeeEra(seen-SettleTime, 2)
			f.Listed(seen, at(2, 80), nil)
			o.Listed(seen, at(2, 80), nil)
			exchange(seen, o, f)
		}, false},
	} {
		o, fresh := old(), New()
		c.act(o, fresh)
		if got := o.Evacuated("z"); got != c.want {
			t.Errorf("%s: z is evacuated: %v, want %v", name, got, c.want)
		}
		if o.ListingDue(seen+2*SettleTime) != (c.want && o.At("z").Era == 1) {
			t.Errorf("%s: a listing is due: %v", name, !c.want)
		}
	}
	// A node that has started after the store came back must learn the evacuation from peers,
	// and not lose it to a message from before it was taken back.
	o, fresh := old(), New()
	fresh.Listed(seen, at(2, 80), nil)
	exchange(seen, o, fresh)
	if !fresh.Evacuated("z") {
		t.Error("a node that never saw the old era does not learn what the store has lost")
	}
	late := o.State()
	fresh.Listed(seen+SettleTime, at(2, 82), nil)
	fresh.Merge(seen+SettleTime, late)
	if fresh.Evacuated("z") {
		t.Error("a late message of the old era undoes a listing of the new one")
	}
}

// Each change must be told once, also if the news of it is repeated.
func TestChangesAreToldOnce(t *testing.T) {
	s := New()
	s.Listed(0, at(0, 5), []Entry{entry("y", true, at(0, 3))})
	for range 2 {
		s.Merge(0, State{Entries: []Entry{entry("z", true, at(0, 7))}})
		s.Read(0, at(0, 8), []Entry{entry("z", true, at(0, 7)), entry("y", false, at(0, 8))})
	}
	if got := fmt.Sprint(s.Changes()); got != "[{y true 0.3} {z true 0.7} {y false 0.8}]" {
		t.Errorf("changes are %s", got)
	}
	if len(s.Changes()) != 0 || !slices.Equal(s.Active(), []mesh.DataCentre{"z"}) {
		t.Errorf("changes are told again, or %v is evacuated instead of z", s.Active())
	}
}

// A message comes from another process and may be malformed. It must not hide the records of the
// store, nor fill the memory.
func TestMalformedStates(t *testing.T) {
	s := New()
	many := State{Known: true}
	for i := range 10 * maxEntries {
		many.Entries = append(many.Entries, entry(mesh.DataCentre(fmt.Sprint(i)), true, at(0, 1)))
	}
	s.Merge(0, many)
	s.Merge(0, State{Known: true, Through: at(0, 1<<63)})
	s.Merge(0, State{Entries: []Entry{entry("z", true, at(1<<63, 1))}})
	s.Merge(0, State{Entries: []Entry{{}}})
	if s.Known() || s.Hash() != 0 || s.Era() != 0 {
		t.Errorf("malformed states are taken over: %+v", s.State())
	}
}
