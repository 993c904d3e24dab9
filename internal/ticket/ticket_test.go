package ticket

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same sequences.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var (
	nodeA = mesh.NodeID{Host: "a", Incarnation: 1}
	nodeB = mesh.NodeID{Host: "b", Incarnation: 2}
	nodeC = mesh.NodeID{Host: "c", Incarnation: 3}
)

func expect(t *testing.T, got Decision, kind Kind, execution outcome.Execution, reason outcome.Reason) {
	t.Helper()
	if got.Kind != kind || got.Refusal.Execution != execution || got.Refusal.Reason != reason {
		t.Fatalf("got kind %d, %v; want kind %d, %v %v", got.Kind, got.Refusal, kind, execution, reason)
	}
}

// overWire returns the handover as the peer decodes it.
func overWire(t require, h Handover) Handover {
	var buffer bytes.Buffer
	in := mesh.Envelope{Message: h}
	var out mesh.Envelope
	if err := gob.NewEncoder(&buffer).Encode(&in); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buffer).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out.Message.(Handover)
}

type require interface{ Fatal(...any) }

// Guards against a second run on a retry, a retry that misses the stored answer,
// and an outcome that changes after the end.
func TestBeginByState(t *testing.T) {
	b := New(nodeA, [32]byte{1}, Config{MaxWaiting: 2})
	answer := Answer{Status: 201, Header: map[string][]string{"X": {"y"}}, Body: []byte("whole")}
	tk := b.Issue(0, "w")
	expect(t, b.Begin(1, tk, "w", 1), Execute, 0, 0)
	expect(t, b.Begin(1, tk, "w", 2), Wait, 0, 0)
	expect(t, b.Begin(1, tk, "w", 3), Wait, 0, 0)
	expect(t, b.Begin(1, tk, "w", 4), Reject, outcome.MayHaveRun, outcome.Overloaded)
	b.Gone(tk, 2)
	if got := b.Finish(2, tk, answer); !reflect.DeepEqual(got, []mesh.CallID{3}) {
		t.Fatalf("waiting %v, want [3]", got)
	}
	if got := b.Begin(3, tk, "w", 5); got.Kind != Replay || !reflect.DeepEqual(got.Answer, answer) {
		t.Fatalf("got %+v, want the stored answer", got)
	}
	if b.Release(3, tk) != nil || b.Begin(3, tk, "w", 6).Kind != Replay {
		t.Fatal("a report after the end changed the outcome")
	}

	failed := b.Issue(4, "w")
	expect(t, b.Begin(4, failed, "w", 1), Execute, 0, 0)
	b.RecordFailure(5, failed, outcome.Refusal{Execution: outcome.MayHaveRun, Reason: outcome.PeerLost})
	expect(t, b.Begin(6, failed, "w", 2), Reject, outcome.MayHaveRun, outcome.PeerLost)

	unused := b.Issue(7, "w")
	expect(t, b.Begin(7, unused, "w", 1), Execute, 0, 0)
	expect(t, b.Begin(7, unused, "w", 2), Wait, 0, 0)
	if got := b.RecordFailure(8, unused, outcome.Refusal{Execution: outcome.NotRun}); len(got) != 1 {
		t.Fatalf("waiting %v, want one call", got)
	}
	expect(t, b.Begin(9, unused, "w", 3), Execute, 0, 0)
}

// Guards against tickets that another workspace, another node, a forger or an
// expired caller can run.
func TestBeginRejects(t *testing.T) {
	b := New(nodeA, [32]byte{1}, Config{})
	tk := b.Issue(time.Second, "w")
	last := tk[len(tk)-2:]
	forged := strings.TrimSuffix(tk, last) + "AA"
	future := New(nodeA, [32]byte{1}, Config{}).Issue(time.Hour, "w")
	expect(t, b.Begin(time.Second, tk, "other", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	expect(t, b.Begin(time.Second, forged, "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	expect(t, b.Begin(time.Second, future, "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	expect(t, b.Begin(time.Second, "?", "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	expect(t, b.Begin(time.Second+DefaultTTL, tk, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketExpired)

	restarted := New(mesh.NodeID{Host: "a", Incarnation: 9}, [32]byte{2}, Config{})
	expect(t, restarted.Begin(0, tk, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketOwnerGone)
	if got := New(nodeB, [32]byte{3}, Config{}).Begin(0, tk, "w", 1); got.Kind != Forward || got.Node != nodeA {
		t.Fatalf("got %+v, want the owner", got)
	}
}

// Guards against unbounded memory, and against forgetting a marker to stay
// within the bounds.
func TestBounds(t *testing.T) {
	b := New(nodeA, [32]byte{1}, Config{MaxMarkers: 3, MaxStoredBytes: 10, MaxAnswerBytes: 6})
	var tickets []string
	for _, n := range []int{6, 7, 5} {
		tk := b.Issue(0, "w")
		tickets = append(tickets, tk)
		expect(t, b.Begin(0, tk, "w", 1), Execute, 0, 0)
		b.Finish(0, tk, Answer{Body: make([]byte, n)})
	}
	// The second is too large for one answer; the third evicts the first.
	expect(t, b.Begin(0, tickets[0], "w", 1), Reject, outcome.Ran, outcome.AnswerNotStored)
	expect(t, b.Begin(0, tickets[1], "w", 1), Reject, outcome.Ran, outcome.AnswerNotStored)
	expect(t, b.Begin(0, tickets[2], "w", 1), Replay, 0, 0)
	expect(t, b.Begin(0, b.Issue(0, "w"), "w", 1), Reject, outcome.NotRun, outcome.Overloaded)
	if b.StoredBytes() != 5 || b.Markers() != 3 {
		t.Fatalf("%d bytes, %d markers; want 5 and 3", b.StoredBytes(), b.Markers())
	}
	later := DefaultTTL + DefaultTTL/bucketsPerTTL + 1
	expect(t, b.Begin(later, b.Issue(later, "w"), "w", 1), Execute, 0, 0)
	if b.StoredBytes() != 0 || b.Markers() != 1 {
		t.Fatalf("%d bytes, %d markers after expiry; want 0 and 1", b.StoredBytes(), b.Markers())
	}
}

// Guards against a planned stop that loses answers, runs a handed-over ticket
// again, accepts on both sides or accepts a second version of the handover.
func TestHandover(t *testing.T) {
	a := New(nodeA, [32]byte{1}, Config{})
	b := New(nodeB, [32]byte{2}, Config{})
	done, running, unused := a.Issue(0, "w"), a.Issue(0, "w"), a.Issue(0, "w")
	a.Begin(0, done, "w", 1)
	a.Finish(0, done, Answer{Status: 200, Body: []byte("x")})
	a.Begin(0, running, "w", 2)
	a.Begin(0, running, "w", 3)
	a.Close(1, nodeB)
	expect(t, a.Begin(1, unused, "w", 4), Reject, outcome.NotRun, outcome.Draining)
	if a.Begin(1, done, "w", 4).Kind != Replay || a.Running() != 1 {
		t.Fatal("closing stopped more than new executions")
	}
	b.Redirect(0, nodeA, nodeB)
	expect(t, b.Begin(0, done, "w", 4), Reject, outcome.MayHaveRun, outcome.TicketHandedOver)

	h := overWire(t, a.Seal(2))
	if got := a.Begin(2, unused, "w", 4); got.Kind != Forward || got.Node != nodeB || a.Issue(2, "w") != "" {
		t.Fatalf("the sealed book answers %+v", got)
	}
	if got := a.Finish(3, running, Answer{}); !reflect.DeepEqual(got, []mesh.CallID{3}) {
		t.Fatalf("waiting %v, want [3]", got)
	}
	if err := New(nodeC, [32]byte{3}, Config{}).Accept(0, h); err == nil {
		t.Fatal("a node accepted a handover to another")
	}
	if err := b.Accept(7*time.Hour, h); err != nil {
		t.Fatal(err)
	}
	now := 7 * time.Hour
	if got := b.Begin(now, done, "w", 5); got.Kind != Replay || string(got.Answer.Body) != "x" {
		t.Fatalf("got %+v, want the answer handed over", got)
	}
	expect(t, b.Begin(now, running, "w", 5), Reject, outcome.MayHaveRun, outcome.TicketHandedOver)
	expect(t, b.Begin(now, unused, "w", 5), Execute, 0, 0)
	if err := b.Accept(now, overWire(t, h)); err != nil {
		t.Fatalf("duplicate: %v", err)
	}
	expect(t, b.Begin(now, unused, "w", 6), Wait, 0, 0)
	other := h
	other.Owners = []OwnerState{h.Owners[0]}
	other.Owners[0].Markers = nil
	if err := b.Accept(now, other); err == nil {
		t.Fatal("a second, different handover was accepted")
	}
	// A duplicate after everything expired must not start the clock again.
	now += 3 * DefaultTTL
	b.Finish(now, unused, Answer{})
	now += 3 * DefaultTTL
	if err := b.Accept(now, h); err != nil {
		t.Fatal(err)
	}
	if got := b.Begin(now, unused, "w", 7); got.Kind == Execute {
		t.Fatal("a late duplicate made an executed ticket run again")
	}
}

// Guards against a handover that is lost with one message, that goes on being
// sent after it was answered, or whose refusal nobody learns.
func TestHandoverExchange(t *testing.T) {
	for _, room := range []int{0, 1} {
		a, b := New(nodeA, [32]byte{1}, Config{}), New(nodeB, [32]byte{2}, Config{MaxMarkers: 2 + room})
		var used string
		for range 3 {
			used = a.Issue(0, "w")
			a.Begin(0, used, "w", 1)
			a.Finish(0, used, Answer{})
		}
		if len(a.Tick(0, nil)) != 0 {
			t.Fatal("a handover was sent before the seal")
		}
		a.Close(0, nodeB)
		a.Seal(0)
		lost := a.Tick(0, nil)
		sent := a.Tick(resendInterval, nil)
		if len(lost) != 1 || len(a.Tick(resendInterval, nil)) != 0 || len(sent) != 1 || sent[0].To != nodeB {
			t.Fatalf("sent %d and %d handovers, want one each", len(lost), len(sent))
		}
		if done, _ := a.HandedOver(); done {
			t.Fatal("handed over without an answer")
		}
		answer := b.Deliver(0, nodeA, overWire(t, sent[0].Message.(Handover)), nil)
		a.Deliver(resendInterval, nodeC, Taken{Owner: nodeA, Problem: "not the successor"}, nil)
		a.Deliver(resendInterval, nodeB, answer[0].Message, nil)
		done, err := a.HandedOver()
		if !done || (err != nil) != (room == 0) || len(a.Tick(time.Hour, nil)) != 0 {
			t.Fatalf("room %d: done %v, %v", room, done, err)
		}
		if got := b.Begin(0, used, "w", 1).Kind == Replay; got != (room == 1) {
			t.Fatalf("room %d: replayed %v", room, got)
		}
	}
}

// Guards against drift or delay that lets a ticket outlive its marker.
func TestHandoverConvertsLifetimes(t *testing.T) {
	a := New(nodeA, [32]byte{1}, Config{})
	b := New(nodeB, [32]byte{2}, Config{})
	issued := time.Hour
	used, unused := a.Issue(issued, "w"), a.Issue(issued, "w")
	a.Begin(issued, used, "w", 1)
	a.Finish(issued, used, Answer{})
	a.Close(issued, nodeB)
	if err := b.Accept(time.Minute, a.Seal(issued+time.Minute)); err != nil {
		t.Fatal(err)
	}
	remaining := DefaultTTL - time.Minute - DefaultHandoverDelay
	edge := time.Minute + remaining*1000/(1000+DefaultDriftPerMille)
	expect(t, b.Begin(edge+time.Millisecond, unused, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketExpired)
	if got := b.Begin(time.Minute+DefaultTTL-time.Minute, used, "w", 1); got.Kind != Replay {
		t.Fatalf("the marker was dropped within its life: %+v", got)
	}
	expect(t, b.Begin(edge-time.Millisecond, unused, "w", 1), Execute, 0, 0)
}

// world drives a chain of books, each the successor of the one before, with
// retries, late reports, duplicated handovers and time, and knows what really ran.
type world struct {
	books   []*Registry
	nodes   []mesh.NodeID
	sent    []Handover
	now     time.Duration
	tickets []string
	running map[string]int // index of the book that runs it
	ran     map[string]bool
}

func (w *world) begin(t *rapid.T, book int, tk string) {
	got := w.books[book].Begin(w.now, tk, "w", 1)
	_, running := w.running[tk]
	if got.Kind == Execute && (running || w.ran[tk]) {
		t.Fatalf("ticket runs twice, at book %d", book)
	}
	if got.Kind == Reject && got.Refusal.Execution == outcome.NotRun && (running || w.ran[tk]) {
		t.Fatalf("book %d says %v, but it ran", book, got.Refusal)
	}
	if got.Kind == Replay && !w.ran[tk] {
		t.Fatalf("book %d replays what never ran", book)
	}
	if got.Kind == Execute {
		w.running[tk] = book
	}
}

func (w *world) end(t *rapid.T, tk string) {
	book, ok := w.running[tk]
	if !ok {
		return
	}
	delete(w.running, tk)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		w.books[book].Release(w.now, tk)
	case 1:
		w.ran[tk] = true
		w.books[book].Finish(w.now, tk, Answer{Body: []byte(tk)})
	case 2:
		w.ran[tk] = true
		w.books[book].RecordFailure(w.now, tk, outcome.Refusal{Execution: outcome.MayHaveRun, Reason: outcome.PeerLost})
	}
}

func (w *world) seal(book int) {
	if book+1 == len(w.books) {
		return
	}
	w.books[book].Close(w.now, w.nodes[book+1])
	w.sent = append(w.sent, w.books[book].Seal(w.now))
}

func (w *world) deliver(t *rapid.T, h Handover) {
	for i, n := range w.nodes {
		if n == h.To {
			_ = w.books[i].Accept(w.now, overWire(t, h)) // fails once the successor has sealed too
		}
	}
}

// Guards against any order of retries, ends, handovers, duplicates and expiries
// that runs a ticket twice or says not run about one that ran.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{nodes: []mesh.NodeID{nodeA, nodeB, nodeC}, running: map[string]int{}, ran: map[string]bool{}}
		cfg := Config{TTL: time.Minute, MaxMarkers: 6, MaxStoredBytes: 400, MaxAnswerBytes: 200}
		for i, n := range w.nodes {
			w.books = append(w.books, New(n, [32]byte{byte(i)}, cfg))
		}
		book := rapid.IntRange(0, len(w.books)-1)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				if tk := w.books[book.Draw(t, "book")].Issue(w.now, "w"); tk != "" {
					w.tickets = append(w.tickets, tk)
				}
			},
			"begin": func(t *rapid.T) {
				if len(w.tickets) > 0 {
					w.begin(t, book.Draw(t, "book"), rapid.SampledFrom(w.tickets).Draw(t, "ticket"))
				}
			},
			"end": func(t *rapid.T) {
				if len(w.tickets) > 0 {
					w.end(t, rapid.SampledFrom(w.tickets).Draw(t, "ticket"))
				}
			},
			"seal": func(t *rapid.T) { w.seal(book.Draw(t, "book")) },
			"deliver": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(t, rapid.SampledFrom(w.sent).Draw(t, "handover"))
				}
			},
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			},
		})
	})
}

// Guards against a ticket text that panics or that names an owner it does not
// encode.
func FuzzOwner(f *testing.F) {
	f.Add(New(nodeA, [32]byte{1}, Config{}).Issue(1, "w"))
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		owner, err := Owner(text)
		if err == nil && (len(owner.Host) > 255 || len(text) > maxTextSize) {
			t.Fatalf("accepted %q", text)
		}
		if err != nil && !owner.IsZero() {
			t.Fatalf("owner %v with error %v", owner, err)
		}
	})
}

func BenchmarkBeginFinish(b *testing.B) {
	book := New(nodeA, [32]byte{1}, Config{MaxMarkers: 1 << 30})
	tickets := make([]string, b.N)
	for i := range tickets {
		tickets[i] = book.Issue(0, "workspace-1")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, tk := range tickets {
		book.Begin(1, tk, "workspace-1", mesh.CallID(i))
		book.Finish(1, tk, Answer{})
	}
}

func BenchmarkReplay(b *testing.B) {
	book := New(nodeA, [32]byte{1}, Config{})
	tk := book.Issue(0, "workspace-1")
	book.Begin(1, tk, "workspace-1", 1)
	book.Finish(1, tk, Answer{})
	b.ReportAllocs()
	for b.Loop() {
		book.Begin(1, tk, "workspace-1", 1)
	}
}

func BenchmarkIssue(b *testing.B) {
	book := New(nodeA, [32]byte{1}, Config{})
	b.ReportAllocs()
	for b.Loop() {
		book.Issue(0, "workspace-1")
	}
}

// BenchmarkHandover reports the cost of a planned stop with the markers of ten
// minutes at 30 orders a second.
func BenchmarkHandover(b *testing.B) {
	const n = 18_000
	book := New(nodeA, [32]byte{1}, Config{})
	for range n {
		tk := book.Issue(0, "workspace-1")
		book.Begin(0, tk, "workspace-1", 1)
		book.RecordFailure(0, tk, outcome.Refusal{Execution: outcome.Ran, Reason: outcome.AnswerNotStored})
	}
	book.Close(0, nodeB)
	start := time.Now()
	h := book.Seal(0)
	sealed := time.Since(start)
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(h); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := New(nodeB, [32]byte{2}, Config{}).Accept(0, h); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "accept-ns/marker")
	b.ReportMetric(float64(sealed.Nanoseconds())/n, "seal-ns/marker")
	b.ReportMetric(float64(wire.Len())/n, "wire-B/marker")
}

// BenchmarkMarkerMemory reports the heap bytes per finished marker without body.
func BenchmarkMarkerMemory(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				book := New(nodeA, [32]byte{1}, Config{})
				for i := range n {
					now := time.Duration(i) * DefaultTTL / time.Duration(n)
					tk := book.Issue(now, "workspace-1")
					book.Begin(now, tk, "workspace-1", 1)
					book.RecordFailure(now, tk, outcome.Refusal{Execution: outcome.RanFailed})
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/marker")
				runtime.KeepAlive(book)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
