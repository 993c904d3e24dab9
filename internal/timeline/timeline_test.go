package timeline

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

func TestReplay(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var events []Event
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "load":
				read, err := ReadJSON(strings.NewReader(d.Input))
				if err != nil {
					return "error: " + err.Error()
				}
				events = read
				return fmt.Sprintf("%d events", len(events))
			case "text":
				return textOf(t, Select(Merge(events), filterOf(t, d)))
			case "replay":
				rules, err := ParseRules(strings.NewReader(d.Input))
				if err != nil {
					return "error: " + err.Error()
				}
				var b strings.Builder
				for _, v := range Check(events, rules) {
					fmt.Fprintln(&b, v)
				}
				if b.Len() == 0 {
					return "ok"
				}
				return b.String()
			}
			t.Fatalf("command %q does not exist", d.Cmd)
			return ""
		})
	})
}

func textOf(t *testing.T, events []Event) string {
	var b strings.Builder
	if err := WriteText(&b, events); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func filterOf(t *testing.T, d *datadriven.TestData) Filter {
	var f Filter
	for _, arg := range d.CmdArgs {
		var err error
		switch arg.Key {
		case "kind":
			f.Kinds = make([]Kind, 1)
			f.Kinds[0], err = ParseKind(arg.Vals[0])
		case "action":
			f.Action, err = ParseAction(arg.Vals[0])
		case "workspace":
			f.Workspace = mesh.Workspace(arg.Vals[0])
		case "host":
			f.Host = mesh.Host(arg.Vals[0])
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Guards against stamps that go back or that order an effect before its cause
// when clocks are skewed, and against one wrong clock that moves all others.
func TestClock(t *testing.T) {
	const second = int64(time.Second)
	var fast, slow Clock
	cause := fast.Now(10*second + second/4)
	effect := slow.Observe(10*second, cause)
	if !cause.Before(effect) {
		t.Fatalf("cause %v is not before effect %v", cause, effect)
	}
	if next := slow.Now(9 * second); !effect.Before(next) {
		t.Fatalf("the clock went back from %v to %v", effect, next)
	}
	got := slow.Observe(11*second, Stamp{Wall: 3600 * second})
	if got.Wall != 11*second || slow.Rejected() != 1 {
		t.Fatalf("a wrong clock moved this one to %v", got)
	}
	full := Clock{last: Stamp{Wall: 5, Logical: math.MaxUint32}}
	if got := full.Now(5); got != (Stamp{Wall: 6}) {
		t.Fatalf("after the last logical value got %v", got)
	}
}

// Guards against a ring that loses the newest events or their order, and against
// an allocation on the hot path.
func TestRing(t *testing.T) {
	r := NewRing(3)
	for i := int64(1); i <= 5; i++ {
		r.Add(Event{Value: i})
	}
	var values []int64
	for _, e := range r.Events() {
		values = append(values, e.Value)
	}
	if !reflect.DeepEqual(values, []int64{3, 4, 5}) || r.Overwritten() != 2 {
		t.Fatalf("events %v, lost %d", values, r.Overwritten())
	}
	if n := testing.AllocsPerRun(100, func() { r.Add(Event{Host: "a", Workspace: "w"}) }); n != 0 {
		t.Fatalf("%.0f allocations per Add", n)
	}
}

// Guards against kinds and reasons without a name, and against events that
// change when they are written and read.
func TestJSONRoundTrip(t *testing.T) {
	var events []Event
	for k := Kind(0); k < numKinds; k++ {
		if k.String() == "" {
			t.Fatalf("kind %d has no name", k)
		}
		events = append(events, Event{Stamp: Stamp{Wall: int64(k), Logical: 7}, Host: "h\n", Kind: k,
			Action: math.MaxUint64, Workspace: "w", Service: "s", Reason: outcome.Overloaded, Value: -1})
	}
	var b bytes.Buffer
	if err := WriteJSON(&b, events); err != nil {
		t.Fatal(err)
	}
	got, err := ReadJSON(&b)
	if err != nil || !reflect.DeepEqual(got, events) {
		t.Fatalf("got %v, %v", got, err)
	}
}

// Guards against a page that runs what an event contains or loads anything.
func TestHTML(t *testing.T) {
	var b strings.Builder
	e := Event{Host: "<script>alert(1)</script>", Kind: Refused, Reason: outcome.OverRate, Action: 0xabc}
	if err := WriteHTML(&b, "a < b", []Event{e}); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"<script", "http://", "https://", "src="} {
		if strings.Contains(b.String(), bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	for _, want := range []string{"a &lt; b", "over-rate", "<code>abc</code>", "1 events on 1 hosts"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

// Guards against input that panics the reader or does not survive a round trip.
func FuzzReadJSON(f *testing.F) {
	f.Add(`{"wall":1,"host":"a","kind":"refused","reason":"overloaded","action":"ff"}`)
	f.Add("{}\n[]\n")
	f.Fuzz(func(t *testing.T, input string) {
		events, err := ReadJSON(strings.NewReader(input))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := WriteJSON(&b, events); err != nil {
			t.Fatal(err)
		}
		if again, err := ReadJSON(&b); err != nil || !reflect.DeepEqual(again, events) {
			t.Fatalf("%v became %v, %v", events, again, err)
		}
	})
}

// Guards against rules that panic the parser or the check.
func FuzzParseRules(f *testing.F) {
	f.Add("count kind=refused <= 1\norder kind=left before kind=joined same=host\n")
	f.Add("never kind=admitted after kind=withdrawn slack=2s")
	events := []Event{{Kind: Admitted, Host: "a"}, {Kind: KeyWithdrawn, Workspace: "w", Action: 3}}
	f.Fuzz(func(t *testing.T, input string) {
		rules, err := ParseRules(strings.NewReader(input))
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Fatalf("error without a line: %v", err)
		}
		if got := len(Check(events, rules)); got > len(rules)*maxViolations {
			t.Fatalf("%d violations of %d rules", got, len(rules))
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	r := NewRing(4096)
	var c Clock
	b.ReportAllocs()
	for i := int64(0); b.Loop(); i++ {
		r.Add(Event{Stamp: c.Now(i), Host: "host-1", Kind: Admitted, Workspace: "w", Service: "s", Value: i})
	}
}
