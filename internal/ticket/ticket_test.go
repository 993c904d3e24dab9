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

// TestMain fixes the seed of the property tests, so that every run checks the same
// sequences of actions.
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

func checkDecision(t *testing.T, got Decision, kind Kind, execution outcome.Execution, reason outcome.Reason) {
	t.Helper()
	if got.Kind != kind || got.Refusal.Execution != execution || got.Refusal.Reason != reason {
		t.Fatalf("got kind %d, %v; want kind %d, %v %v", got.Kind, got.Refusal, kind, execution, reason)
	}
}

// gobRoundTrip returns the handover as the receiving node decodes it.
func gobRoundTrip(t testingT, h Handover) Handover {
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

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface{ Fatal(...any) }

// Guards against a second execution on a retry, a retry that does not get the
// stored answer, and an outcome that changes after the execution has ended.
func TestBeginByState(t *testing.T) {
	reg := New(nodeA, [32]byte{1}, Config{MaxWaiting: 2}) // [32]byte{1} is the key that authenticates tickets
	answer := Answer{Status: 201, Header: map[string][]string{"X": {"y"}}, Body: []byte("whole")}
	tk := reg.Issue(0, "w")
	checkDecision(t, reg.Begin(1, tk, "w", 1), Execute, 0, 0)
	checkDecision(t, reg.Begin(1, tk, "w", 2), Wait, 0, 0)
	checkDecision(t, reg.Begin(1, tk, "w", 3), Wait, 0, 0)
	checkDecision(t, reg.Begin(1, tk, "w", 4), Reject, outcome.MayHaveRun, outcome.Overloaded)
	reg.CancelWait(tk, 2)
	if got := reg.Finish(2, tk, answer); !reflect.DeepEqual(got, []mesh.CallID{3}) {
		t.Fatalf("waiting %v, want [3]", got)
	}
	if got := reg.Begin(3, tk, "w", 5); got.Kind != Replay || !reflect.DeepEqual(got.Answer, answer) {
		t.Fatalf("got %+v, want the stored answer", got)
	}
	if reg.Release(3, tk) != nil || reg.Begin(3, tk, "w", 6).Kind != Replay {
		t.Fatal("a report after the end changed the outcome")
	}

	failed := reg.Issue(4, "w")
	checkDecision(t, reg.Begin(4, failed, "w", 1), Execute, 0, 0)
	reg.RecordFailure(5, failed, outcome.Refusal{Execution: outcome.MayHaveRun, Reason: outcome.PeerLost})
	checkDecision(t, reg.Begin(6, failed, "w", 2), Reject, outcome.MayHaveRun, outcome.PeerLost)

	unused := reg.Issue(7, "w")
	checkDecision(t, reg.Begin(7, unused, "w", 1), Execute, 0, 0)
	checkDecision(t, reg.Begin(7, unused, "w", 2), Wait, 0, 0)
	if got := reg.RecordFailure(8, unused, outcome.Refusal{Execution: outcome.NotRun}); len(got) != 1 {
		t.Fatalf("waiting %v, want one call", got)
	}
	checkDecision(t, reg.Begin(9, unused, "w", 3), Execute, 0, 0)
}

// Guards against execution of a ticket that was issued to another workspace, is
// forged or has expired, or on a node that is not its owner.
func TestBeginRejects(t *testing.T) {
	reg := New(nodeA, [32]byte{1}, Config{})
	tk := reg.Issue(time.Second, "w")
	last := tk[len(tk)-2:]
	forged := strings.TrimSuffix(tk, last) + "AA"
	future := New(nodeA, [32]byte{1}, Config{}).Issue(time.Hour, "w")
	checkDecision(t, reg.Begin(time.Second, tk, "other", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	checkDecision(t, reg.Begin(time.Second, forged, "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	checkDecision(t, reg.Begin(time.Second, future, "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	checkDecision(t, reg.Begin(time.Second, "?", "w", 1), Reject, outcome.NotRun, outcome.TicketInvalid)
	checkDecision(t, reg.Begin(time.Second+DefaultTTL, tk, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketExpired)

	restarted := New(mesh.NodeID{Host: "a", Incarnation: 9}, [32]byte{2}, Config{})
	checkDecision(t, restarted.Begin(0, tk, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketOwnerGone)
	if got := New(nodeB, [32]byte{3}, Config{}).Begin(0, tk, "w", 1); got.Kind != Forward || got.Node != nodeA {
		t.Fatalf("got %+v, want a forward to the owner", got)
	}
}

// Guards against unbounded memory, and against removal of an unexpired marker (the
// record of a finished ticket) to stay within the bounds.
func TestBounds(t *testing.T) {
	reg := New(nodeA, [32]byte{1}, Config{MaxMarkers: 3, MaxStoredBytes: 10, MaxAnswerBytes: 6})
	var tickets []string
	for _, n := range []int{6, 7, 5} {
		tk := reg.Issue(0, "w")
		tickets = append(tickets, tk)
		checkDecision(t, reg.Begin(0, tk, "w", 1), Execute, 0, 0)
		reg.Finish(0, tk, Answer{Body: make([]byte, n)})
	}
	// The second answer exceeds MaxAnswerBytes; the third evicts the first.
	checkDecision(t, reg.Begin(0, tickets[0], "w", 1), Reject, outcome.Ran, outcome.AnswerNotStored)
	checkDecision(t, reg.Begin(0, tickets[1], "w", 1), Reject, outcome.Ran, outcome.AnswerNotStored)
	checkDecision(t, reg.Begin(0, tickets[2], "w", 1), Replay, 0, 0)
	checkDecision(t, reg.Begin(0, reg.Issue(0, "w"), "w", 1), Reject, outcome.NotRun, outcome.Overloaded)
	if reg.StoredBytes() != 5 || reg.Markers() != 3 {
		t.Fatalf("%d bytes, %d markers; want 5 and 3", reg.StoredBytes(), reg.Markers())
	}
	later := DefaultTTL + DefaultTTL/bucketsPerTTL + 1
	checkDecision(t, reg.Begin(later, reg.Issue(later, "w"), "w", 1), Execute, 0, 0)
	if reg.StoredBytes() != 0 || reg.Markers() != 1 {
		t.Fatalf("%d bytes, %d markers after expiry; want 0 and 1", reg.StoredBytes(), reg.Markers())
	}
}

// Guards against a planned stop that loses answers, executes a handed-over ticket
// again, leaves both nodes accepting it, or lets the successor accept a second,
// different handover.
func TestHandover(t *testing.T) {
	a := New(nodeA, [32]byte{1}, Config{})
	b := New(nodeB, [32]byte{2}, Config{})
	done, running, unused := a.Issue(0, "w"), a.Issue(0, "w"), a.Issue(0, "w")
	a.Begin(0, done, "w", 1)
	a.Finish(0, done, Answer{Status: 200, Body: []byte("x")})
	a.Begin(0, running, "w", 2)
	a.Begin(0, running, "w", 3)
	a.Close(1, nodeB)
	checkDecision(t, a.Begin(1, unused, "w", 4), Reject, outcome.NotRun, outcome.Draining)
	if a.Begin(1, done, "w", 4).Kind != Replay || a.Running() != 1 {
		t.Fatal("Close affected more than new executions")
	}
	b.Redirect(0, nodeA, nodeB) // b knows that it is the successor, but has no handover yet
	checkDecision(t, b.Begin(0, done, "w", 4), Reject, outcome.MayHaveRun, outcome.TicketHandedOver)

	h := gobRoundTrip(t, a.Seal(2))
	if got := a.Begin(2, unused, "w", 4); got.Kind != Forward || got.Node != nodeB || a.Issue(2, "w") != "" {
		t.Fatalf("after Seal: got %+v, want a forward to the successor and no new tickets", got)
	}
	if got := a.Finish(3, running, Answer{}); !reflect.DeepEqual(got, []mesh.CallID{3}) {
		t.Fatalf("waiting %v, want [3]", got)
	}
	if err := New(nodeC, [32]byte{3}, Config{}).Accept(0, h); err == nil {
		t.Fatal("a node accepted a handover addressed to another node")
	}
	if err := b.Accept(7*time.Hour, h); err != nil { // the clocks of nodes are independent
		t.Fatal(err)
	}
	now := 7 * time.Hour
	if got := b.Begin(now, done, "w", 5); got.Kind != Replay || string(got.Answer.Body) != "x" {
		t.Fatalf("got %+v, want the answer from the handover", got)
	}
	checkDecision(t, b.Begin(now, running, "w", 5), Reject, outcome.MayHaveRun, outcome.TicketHandedOver)
	checkDecision(t, b.Begin(now, unused, "w", 5), Execute, 0, 0)
	if err := b.Accept(now, gobRoundTrip(t, h)); err != nil {
		t.Fatalf("duplicate of an accepted handover: %v", err)
	}
	checkDecision(t, b.Begin(now, unused, "w", 6), Wait, 0, 0)
	other := h
	other.Owners = []OwnerState{h.Owners[0]}
	other.Owners[0].Markers = nil
	if err := b.Accept(now, other); err == nil {
		t.Fatal("a second, different handover was accepted")
	}
	// A duplicate that arrives after all tickets expired must not renew them.
	now += 3 * DefaultTTL
	b.Finish(now, unused, Answer{})
	now += 3 * DefaultTTL
	if err := b.Accept(now, h); err != nil {
		t.Fatal(err)
	}
	if got := b.Begin(now, unused, "w", 7); got.Kind == Execute {
		t.Fatal("an executed ticket may run again after a late duplicate of the handover")
	}
}

// Guards against a handover that is lost with one message, that is sent again
// after it was answered, or whose refusal is not reported.
func TestHandoverExchange(t *testing.T) {
	for _, room := range []int{0, 1} { // the successor can hold two, then all three markers
		a, b := New(nodeA, [32]byte{1}, Config{}), New(nodeB, [32]byte{2}, Config{MaxMarkers: 2 + room})
		var used string
		for range 3 {
			used = a.Issue(0, "w")
			a.Begin(0, used, "w", 1)
			a.Finish(0, used, Answer{})
		}
		if len(a.Tick(0, nil)) != 0 {
			t.Fatal("a handover was sent before Seal")
		}
		a.Close(0, nodeB)
		a.Seal(0)
		lost := a.Tick(0, nil)
		sent := a.Tick(resendInterval, nil)
		if len(lost) != 1 || len(a.Tick(resendInterval, nil)) != 0 || len(sent) != 1 || sent[0].To != nodeB {
			t.Fatalf("sent %d and %d handovers to the successor, want one each and none before resendInterval", len(lost), len(sent))
		}
		if done, _ := a.HandedOver(); done {
			t.Fatal("HandedOver is true without an answer")
		}
		answer := b.Deliver(0, nodeA, gobRoundTrip(t, sent[0].Message.(Handover)), nil)
		a.Deliver(resendInterval, nodeC, Taken{Owner: nodeA, Problem: "not the successor"}, nil)
		a.Deliver(resendInterval, nodeB, answer[0].Message, nil)
		done, err := a.HandedOver()
		if !done || (err != nil) != (room == 0) || len(a.Tick(time.Hour, nil)) != 0 {
			t.Fatalf("room for 2+%d of 3 markers: answered %v, error %v; want answered, and an error only without room for all", room, done, err)
		}
		if got := b.Begin(0, used, "w", 1).Kind == Replay; got != (room == 1) {
			t.Fatalf("room for 2+%d of 3 markers: replayed %v; want a replay only with room for all", room, got)
		}
	}
}

// Guards against a ticket that outlives its marker because of clock drift or
// message delay.
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
	expiry := time.Minute + remaining*1000/(1000+DefaultDriftPerMille)
	checkDecision(t, b.Begin(expiry+time.Millisecond, unused, "w", 1), Reject, outcome.MayHaveRun, outcome.TicketExpired)
	if got := b.Begin(time.Minute+DefaultTTL-time.Minute, used, "w", 1); got.Kind != Replay {
		t.Fatalf("the marker was removed before its ticket expired: %+v", got)
	}
	checkDecision(t, b.Begin(expiry-time.Millisecond, unused, "w", 1), Execute, 0, 0)
}

// simulation drives a chain of registries, each the successor of the previous one,
// with retries, late reports, duplicated handovers and the passage of time. It
// records which tickets were executed.
type simulation struct {
	registries []*Registry
	nodes      []mesh.NodeID
	handovers  []Handover
	now        time.Duration
	tickets    []string
	running    map[string]int  // index of the registry that runs the ticket
	ran        map[string]bool // executed, also if the outcome was not stored
}

func (s *simulation) begin(t *rapid.T, registry int, tk string) {
	got := s.registries[registry].Begin(s.now, tk, "w", 1)
	_, running := s.running[tk]
	if got.Kind == Execute && (running || s.ran[tk]) {
		t.Fatalf("registry %d executes a ticket a second time", registry)
	}
	if got.Kind == Reject && got.Refusal.Execution == outcome.NotRun && (running || s.ran[tk]) {
		t.Fatalf("registry %d returned %v for a ticket that ran or is running", registry, got.Refusal)
	}
	if got.Kind == Replay && !s.ran[tk] {
		t.Fatalf("registry %d replays the answer of a ticket that never ran", registry)
	}
	if got.Kind == Execute {
		s.running[tk] = registry
	}
}

func (s *simulation) end(t *rapid.T, tk string) {
	registry, ok := s.running[tk]
	if !ok {
		return
	}
	delete(s.running, tk)
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		s.registries[registry].Release(s.now, tk)
	case 1:
		s.ran[tk] = true
		s.registries[registry].Finish(s.now, tk, Answer{Body: []byte(tk)})
	case 2:
		s.ran[tk] = true
		s.registries[registry].RecordFailure(s.now, tk, outcome.Refusal{Execution: outcome.MayHaveRun, Reason: outcome.PeerLost})
	}
}

func (s *simulation) seal(registry int) {
	if registry+1 == len(s.registries) {
		return
	}
	s.registries[registry].Close(s.now, s.nodes[registry+1])
	s.handovers = append(s.handovers, s.registries[registry].Seal(s.now))
}

func (s *simulation) deliver(t *rapid.T, h Handover) {
	for i, n := range s.nodes {
		if n == h.To {
			_ = s.registries[i].Accept(s.now, gobRoundTrip(t, h)) // fails after the receiver itself has been sealed
		}
	}
}

// Guards against any order of retries, ends of executions, handovers, duplicates
// and expiries that executes a ticket twice or reports not-run for one that ran.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{nodes: []mesh.NodeID{nodeA, nodeB, nodeC}, running: map[string]int{}, ran: map[string]bool{}}
		cfg := Config{TTL: time.Minute, MaxMarkers: 6, MaxStoredBytes: 400, MaxAnswerBytes: 200}
		for i, n := range s.nodes {
			s.registries = append(s.registries, New(n, [32]byte{byte(i)}, cfg))
		}
		registry := rapid.IntRange(0, len(s.registries)-1)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				if tk := s.registries[registry.Draw(t, "registry")].Issue(s.now, "w"); tk != "" {
					s.tickets = append(s.tickets, tk)
				}
			},
			"begin": func(t *rapid.T) {
				if len(s.tickets) > 0 {
					s.begin(t, registry.Draw(t, "registry"), rapid.SampledFrom(s.tickets).Draw(t, "ticket"))
				}
			},
			"end": func(t *rapid.T) {
				if len(s.tickets) > 0 {
					s.end(t, rapid.SampledFrom(s.tickets).Draw(t, "ticket"))
				}
			},
			"seal": func(t *rapid.T) { s.seal(registry.Draw(t, "registry")) },
			"deliver": func(t *rapid.T) {
				if len(s.handovers) > 0 {
					s.deliver(t, rapid.SampledFrom(s.handovers).Draw(t, "handover"))
				}
			},
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			},
		})
	})
}

// Guards against text that makes the decoder panic, exceeds its bounds, or yields
// an owner together with an error.
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
	registry := New(nodeA, [32]byte{1}, Config{MaxMarkers: 1 << 30})
	tickets := make([]string, b.N)
	for i := range tickets {
		tickets[i] = registry.Issue(0, "workspace-1")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, tk := range tickets {
		registry.Begin(1, tk, "workspace-1", mesh.CallID(i))
		registry.Finish(1, tk, Answer{})
	}
}

func BenchmarkReplay(b *testing.B) {
	registry := New(nodeA, [32]byte{1}, Config{})
	tk := registry.Issue(0, "workspace-1")
	registry.Begin(1, tk, "workspace-1", 1)
	registry.Finish(1, tk, Answer{})
	b.ReportAllocs()
	for b.Loop() {
		registry.Begin(1, tk, "workspace-1", 1)
	}
}

func BenchmarkIssue(b *testing.B) {
	registry := New(nodeA, [32]byte{1}, Config{})
	b.ReportAllocs()
	for b.Loop() {
		registry.Issue(0, "workspace-1")
	}
}

// BenchmarkHandover reports the cost of a planned stop with 18,000 markers: ten
// minutes at 30 tickets per second.
func BenchmarkHandover(b *testing.B) {
	const n = 18_000
	registry := New(nodeA, [32]byte{1}, Config{})
	for range n {
		tk := registry.Issue(0, "workspace-1")
		registry.Begin(0, tk, "workspace-1", 1)
		registry.RecordFailure(0, tk, outcome.Refusal{Execution: outcome.Ran, Reason: outcome.AnswerNotStored})
	}
	registry.Close(0, nodeB)
	start := time.Now()
	h := registry.Seal(0)
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

// BenchmarkMarkerMemory reports the heap bytes per marker without a stored answer.
func BenchmarkMarkerMemory(b *testing.B) {
	for _, n := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				registry := New(nodeA, [32]byte{1}, Config{})
				for i := range n {
					now := time.Duration(i) * DefaultTTL / time.Duration(n)
					tk := registry.Issue(now, "workspace-1")
					registry.Begin(now, tk, "workspace-1", 1)
					registry.RecordFailure(now, tk, outcome.Refusal{Execution: outcome.RanFailed})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/marker")
				runtime.KeepAlive(registry)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
