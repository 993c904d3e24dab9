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

// TestReplay runs the commands in the files of testdata: load reads a timeline, text
// prints the events that match a filter, and replay checks the timeline against rules.
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
			t.Fatalf("unknown test command %q", d.Cmd)
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

// Guards against stamps that decrease, against stamps that order an effect before
// its cause when wall clocks are skewed, and against a wrong clock that advances
// the clocks of other hosts.
func TestClock(t *testing.T) {
	const second = int64(time.Second)
	var fast, slow Clock
	cause := fast.Now(10*second + second/4)
	effect := slow.Observe(10*second, cause)
	if !cause.Before(effect) {
		t.Fatalf("cause %v is not before effect %v", cause, effect)
	}
	if next := slow.Now(9 * second); !effect.Before(next) {
		t.Fatalf("the clock went backwards from %v to %v", effect, next)
	}
	got := slow.Observe(11*second, Stamp{Wall: 3600 * second})
	if got.Wall != 11*second || slow.Rejected() != 1 {
		t.Fatalf("after a stamp too far ahead the clock is at %v, want 11 s and one rejected stamp", got)
	}
	atMaxLogical := Clock{last: Stamp{Wall: 5, Logical: math.MaxUint32}}
	if got := atMaxLogical.Now(5); got != (Stamp{Wall: 6}) {
		t.Fatalf("stamp after the maximum logical value: %v, want the next nanosecond", got)
	}
}

// Guards against a ring that drops the newest events or reorders events, and
// against allocations in Add, which is on the hot path.
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
		t.Fatalf("events %v, %d overwritten, want 3, 4, 5 and 2 overwritten", values, r.Overwritten())
	}
	if n := testing.AllocsPerRun(100, func() { r.Add(Event{Host: "a", Workspace: "w"}) }); n != 0 {
		t.Fatalf("%.0f allocations per Add, want 0", n)
	}
}

// Guards against kinds without a name, and against events that change when they
// are written and read back.
func TestJSONRoundTrip(t *testing.T) {
	var events []Event
	for k := Kind(0); k < numKinds; k++ {
		if k.String() == "" {
			t.Fatalf("event kind %d has no name", k)
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
		t.Fatalf("events were read back as %v, error %v", got, err)
	}
}

// Guards against a page that runs scripts contained in an event or that loads
// external resources.
func TestHTML(t *testing.T) {
	var b strings.Builder
	e := Event{Host: "<script>alert(1)</script>", Kind: Refused, Reason: outcome.OverRate, Action: 0xabc}
	if err := WriteHTML(&b, "a < b", []Event{e}); err != nil {
		t.Fatal(err)
	}
	for _, forbidden := range []string{"<script", "http://", "https://", "src="} {
		if strings.Contains(b.String(), forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
	for _, want := range []string{"a &lt; b", "over-rate", "<code>abc</code>", "1 events on 1 hosts"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}

// Guards against input that makes ReadJSON panic or does not survive a round trip.
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
			t.Fatalf("%v was read back as %v, error %v", events, again, err)
		}
	})
}

// Guards against rules that make ParseRules or Check panic.
func FuzzParseRules(f *testing.F) {
	f.Add("count kind=refused <= 1\norder kind=left before kind=joined same=host\n")
	f.Add("never kind=admitted after kind=withdrawn slack=2s")
	events := []Event{{Kind: Admitted, Host: "a"}, {Kind: KeyWithdrawn, Workspace: "w", Action: 3}}
	f.Fuzz(func(t *testing.T, input string) {
		rules, err := ParseRules(strings.NewReader(input))
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Fatalf("error without a line number: %v", err)
		}
		if got := len(Check(events, rules)); got > len(rules)*maxViolations {
			t.Fatalf("%d violations of %d rules, want at most 10 per rule", got, len(rules))
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
