package timeline

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Rule is one stated outcome of an expectation file. The forms are
//
//	count MATCH OP N                      OP is one of <= >= == < >
//	order MATCH before MATCH [same=FIELD]
//	never MATCH [after MATCH] [same=FIELD] [slack=DURATION]
//
// where MATCH is one or more of kind=, reason=, workspace=, service=, host= and
// action=. "order A before B" holds if every B has an A before it. "never M after
// A" holds if no M follows the first A by more than the slack; without "after",
// if there is no M. With same=FIELD (action, workspace, service or host) only
// events that agree in the field are held against each other. Empty lines and
// lines that start with # are skipped.
type Rule struct {
	Line int
	Text string

	verb     verb
	subject  match
	relative *match // order: the event that must come before; never: after
	same     field
	slack    time.Duration
	op       string
	count    int
}

type verb uint8

const (
	count verb = iota
	order
	never
)

// field is a property in which two events can agree.
type field uint8

const (
	noField field = iota
	actionField
	workspaceField
	serviceField
	hostField
)

var fieldNames = map[string]field{
	"action": actionField, "workspace": workspaceField, "service": serviceField, "host": hostField,
}

// match holds the properties an event must have; nil means any.
type match struct {
	kind      *Kind
	reason    *outcome.Reason
	workspace *mesh.Workspace
	service   *mesh.Service
	host      *mesh.Host
	action    *mesh.ActionID
}

func (m *match) matches(e *Event) bool {
	return is(m.kind, e.Kind) && is(m.reason, e.Reason) && is(m.workspace, e.Workspace) &&
		is(m.service, e.Service) && is(m.host, e.Host) && is(m.action, e.Action)
}

func is[T comparable](want *T, got T) bool { return want == nil || *want == got }

// ParseRules reads an expectation file. An error names the line.
func ParseRules(r io.Reader) ([]Rule, error) {
	var rules []Rule
	err := eachLine(r, func(number int, text string) error {
		if strings.HasPrefix(text, "#") {
			return nil
		}
		rule, err := parseRule(text)
		rule.Line = number
		rules = append(rules, rule)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rules, nil
}

func parseRule(text string) (Rule, error) {
	words := strings.Fields(text)
	rule := Rule{Text: text}
	var err error
	switch words[0] {
	case "count":
		rule.verb = count
		err = rule.parseCount(words[1:])
	case "order":
		rule.verb = order
		err = rule.parsePair(words[1:], "before")
		if err == nil && rule.relative == nil {
			err = fmt.Errorf("order needs \"before\" and a second event")
		}
	case "never":
		rule.verb = never
		err = rule.parsePair(words[1:], "after")
	default:
		err = fmt.Errorf("%q is none of count, order, never", words[0])
	}
	return rule, err
}

func (r *Rule) parseCount(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("count needs properties, an operator and a number")
	}
	rest := words[:len(words)-2]
	r.op = words[len(words)-2]
	if !strings.Contains(" <= >= == < > ", " "+r.op+" ") {
		return fmt.Errorf("operator %q is none of <= >= == < >", r.op)
	}
	n, err := strconv.Atoi(words[len(words)-1])
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a number of events", words[len(words)-1])
	}
	r.count = n
	return parseMatch(rest, &r.subject)
}

// parsePair reads MATCH [separator MATCH] [same=FIELD] [slack=DURATION].
func (r *Rule) parsePair(words []string, separator string) error {
	words, err := r.parseOptions(words)
	if err != nil {
		return err
	}
	for i, word := range words {
		if word != separator {
			continue
		}
		// In an order rule the subject is the later event.
		first, second := words[:i], words[i+1:]
		r.relative = &match{}
		if r.verb == order {
			first, second = second, first
		}
		if err := parseMatch(first, &r.subject); err != nil {
			return err
		}
		return parseMatch(second, r.relative)
	}
	if r.same != noField || r.slack != 0 {
		return fmt.Errorf("same and slack need %q and a second event", separator)
	}
	return parseMatch(words, &r.subject)
}

// parseOptions removes the options at the end of the words.
func (r *Rule) parseOptions(words []string) ([]string, error) {
	for len(words) > 0 {
		name, value, _ := strings.Cut(words[len(words)-1], "=")
		switch {
		case name == "same":
			f, ok := fieldNames[value]
			if !ok {
				return nil, fmt.Errorf("same=%q is none of action, workspace, service, host", value)
			}
			r.same = f
		case name == "slack" && r.verb == never:
			d, err := time.ParseDuration(value)
			if err != nil || d < 0 {
				return nil, fmt.Errorf("slack=%q is not a duration such as 2s", value)
			}
			r.slack = d
		default:
			return words, nil
		}
		words = words[:len(words)-1]
	}
	return words, nil
}

func parseMatch(words []string, m *match) error {
	if len(words) == 0 {
		return fmt.Errorf("an event needs at least one property such as kind=refused")
	}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok || value == "" {
			return fmt.Errorf("%q is not of the form property=value", word)
		}
		if err := m.set(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (m *match) set(name, value string) error {
	switch name {
	case "kind":
		return once(&m.kind, name, value, ParseKind)
	case "reason":
		return once(&m.reason, name, value, parseReason)
	case "workspace":
		return once(&m.workspace, name, value, text[mesh.Workspace])
	case "service":
		return once(&m.service, name, value, text[mesh.Service])
	case "host":
		return once(&m.host, name, value, text[mesh.Host])
	case "action":
		return once(&m.action, name, value, ParseAction)
	}
	return fmt.Errorf("property %q is none of kind, reason, workspace, service, host, action", name)
}

func text[T ~string](s string) (T, error) { return T(s), nil }

// once sets a property that is not set yet.
func once[T any](field **T, name, value string, parse func(string) (T, error)) error {
	if *field != nil {
		return fmt.Errorf("property %q is given twice", name)
	}
	parsed, err := parse(value)
	*field = &parsed
	return err
}
