package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// maxLine is the maximum length of a line in a timeline or rule file, in bytes.
const maxLine = 64 << 10

// Filter selects events. A field with its zero value matches all events.
type Filter struct {
	Action    mesh.ActionID
	Workspace mesh.Workspace
	Host      mesh.Host
	Kinds     []Kind
}

// Match reports whether the event matches the filter.
func (f Filter) Match(e Event) bool {
	return (f.Action == 0 || f.Action == e.Action) &&
		(f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.Host == "" || f.Host == e.Host) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// Select returns the events that match the filter, in the given order.
func Select(events []Event, f Filter) []Event {
	var selected []Event
	for _, e := range events {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// jsonEvent is the JSON form of an event. The action is a hexadecimal string
// because readers that store numbers as float64 would round it.
type jsonEvent struct {
	Wall      int64          `json:"wall"`
	Logical   uint32         `json:"logical,omitempty"`
	Host      mesh.Host      `json:"host"`
	Kind      string         `json:"kind"`
	Action    string         `json:"action,omitempty"`
	Workspace mesh.Workspace `json:"workspace,omitempty"`
	Service   mesh.Service   `json:"service,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	Value     int64          `json:"value,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (e Event) MarshalJSON() ([]byte, error) {
	encoded := jsonEvent{
		Wall:      e.Stamp.Wall,
		Logical:   e.Stamp.Logical,
		Host:      e.Host,
		Kind:      e.Kind.String(),
		Workspace: e.Workspace,
		Service:   e.Service,
		Value:     e.Value,
	}
	if e.Action != 0 {
		encoded.Action = formatAction(e.Action)
	}
	if e.Reason != outcome.None {
		encoded.Reason = e.Reason.String()
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON implements json.Unmarshaler. It rejects unknown fields.
func (e *Event) UnmarshalJSON(data []byte) error {
	var decoded jsonEvent
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return err
	}
	*e = Event{
		Stamp:     Stamp{Wall: decoded.Wall, Logical: decoded.Logical},
		Host:      decoded.Host,
		Workspace: decoded.Workspace,
		Service:   decoded.Service,
		Value:     decoded.Value,
	}
	var err error
	e.Kind, err = ParseKind(decoded.Kind)
	if decoded.Action != "" && err == nil {
		e.Action, err = ParseAction(decoded.Action)
	}
	if decoded.Reason != "" && err == nil {
		e.Reason, err = parseReason(decoded.Reason)
	}
	return err
}

func formatAction(a mesh.ActionID) string { return strconv.FormatUint(uint64(a), 16) }

// ParseAction parses an action ID in hexadecimal, the form used in timelines.
func ParseAction(s string) (mesh.ActionID, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("action %q is not a hexadecimal number of 64 bits", s)
	}
	return mesh.ActionID(n), nil
}

// reasonsByName is the inverse of outcome.Reason.String, which returns reason(N) for
// the first number that is not a reason.
var reasonsByName = func() map[string]outcome.Reason {
	reasons := map[string]outcome.Reason{}
	for r := outcome.None; !strings.HasPrefix(r.String(), "reason("); r++ {
		reasons[r.String()] = r
	}
	return reasons
}()

func parseReason(s string) (outcome.Reason, error) {
	r, ok := reasonsByName[s]
	if !ok {
		return 0, fmt.Errorf("reason %q does not exist", s)
	}
	return r, nil
}

// String formats the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	b.WriteString(e.Stamp.String())
	fmt.Fprintf(&b, " %s %s", quoteIfNeeded(string(e.Host)), e.Kind)
	if e.Action != 0 {
		b.WriteString(" action=" + formatAction(e.Action))
	}
	if e.Workspace != "" {
		b.WriteString(" workspace=" + quoteIfNeeded(string(e.Workspace)))
	}
	if e.Service != "" {
		b.WriteString(" service=" + quoteIfNeeded(string(e.Service)))
	}
	if e.Reason != outcome.None {
		b.WriteString(" reason=" + e.Reason.String())
	}
	if e.Value != 0 {
		b.WriteString(" value=" + strconv.FormatInt(e.Value, 10))
	}
	return b.String()
}

// String formats the stamp as UTC time with microseconds, followed by the logical
// counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, s.Wall).UTC().Format("2006-01-02T15:04:05.000000Z"), s.Logical)
}

// quoteIfNeeded quotes a name that is empty or contains a space, quote or control
// character, so that it cannot be read as several fields or lines.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == 0x7f }) {
		return strconv.Quote(s)
	}
	return s
}

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintln(b, e)
	}
	return b.Flush()
}

// WriteJSON writes the events as JSON Lines.
func WriteJSON(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	encoder := json.NewEncoder(b)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ReadJSON reads events in the format of WriteJSON. It skips empty lines. Errors
// contain the line number.
func ReadJSON(r io.Reader) ([]Event, error) {
	var events []Event
	err := eachLine(r, func(_ int, text string) error {
		var e Event
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			return err
		}
		events = append(events, e)
		return nil
	})
	return events, err
}

// eachLine calls f with each line that is not empty after trimming. Errors contain
// the line number.
func eachLine(r io.Reader, f func(number int, text string) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	number := 0
	for scanner.Scan() {
		number++
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		if err := f(number, text); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("line %d: %w", number+1, err)
	}
	return nil
}
