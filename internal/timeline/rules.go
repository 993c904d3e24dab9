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

// Rule is one rule that a timeline must satisfy. Its text has one of the forms
//
//	count MATCH OP N                      OP is one of <= >= == < >
//	order MATCH before MATCH [same=FIELD]
//	never MATCH [after MATCH] [same=FIELD] [slack=DURATION]
//
// where MATCH is one or more of kind=, reason=, workspace=, service=, host= and
// action=. "order A before B" holds if every B has an A before it. "never M after
// A" holds if no M follows the first A by more than the slack; without "after",
// it holds if there is no M. With same=FIELD (action, workspace, service or host)
// only events that agree in the field are compared. A rule file contains one rule
// per line; empty lines and lines that start with # are skipped.
type Rule struct {
	Line int
	Text string

	verb      verb
	subject   match
	reference *match // order: the event that must come first; never: the event after "after", nil for none
	same      field
	slack     time.Duration
	op        string // operator of a count rule
	count     int    // number of a count rule
}

// verb is the first word of a rule.
type verb uint8

const (
	countRule verb = iota
	orderRule
	neverRule
)

// field is the event field that same=FIELD compares.
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

// match holds the properties that an event must have; nil matches any value.
type match struct {
	kind      *Kind
	reason    *outcome.Reason
	workspace *mesh.Workspace
	service   *mesh.Service
	host      *mesh.Host
	action    *mesh.ActionID
}

func (m *match) matches(e *Event) bool {
	return equalOrAny(m.kind, e.Kind) && equalOrAny(m.reason, e.Reason) && equalOrAny(m.workspace, e.Workspace) &&
		equalOrAny(m.service, e.Service) && equalOrAny(m.host, e.Host) && equalOrAny(m.action, e.Action)
}

// equalOrAny reports whether got is the wanted value; nil means any value.
func equalOrAny[T comparable](want *T, got T) bool { return want == nil || *want == got }

// ParseRules reads a rule file. Errors contain the line number.
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

// parseRule parses one line, which must not be blank.
func parseRule(text string) (Rule, error) {
	words := strings.Fields(text)
	rule := Rule{Text: text}
	var err error
	switch words[0] {
	case "count":
		rule.verb = countRule
		err = rule.parseCount(words[1:])
	case "order":
		rule.verb = orderRule
		err = rule.parsePair(words[1:], "before")
		if err == nil && rule.reference == nil {
			err = fmt.Errorf("order needs \"before\" and a second event")
		}
	case "never":
		rule.verb = neverRule
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
	properties := words[:len(words)-2]
	r.op = words[len(words)-2]
	if !strings.Contains(" <= >= == < > ", " "+r.op+" ") {
		return fmt.Errorf("operator %q is none of <= >= == < >", r.op)
	}
	n, err := strconv.Atoi(words[len(words)-1])
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a number of events", words[len(words)-1])
	}
	r.count = n
	return parseMatch(properties, &r.subject)
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
		r.reference = &match{}
		if r.verb == orderRule {
			first, second = second, first
		}
		if err := parseMatch(first, &r.subject); err != nil {
			return err
		}
		return parseMatch(second, r.reference)
	}
	if r.same != noField || r.slack != 0 {
		return fmt.Errorf("same and slack need %q and a second event", separator)
	}
	return parseMatch(words, &r.subject)
}

// parseOptions parses the options at the end of the words and returns the words
// before them.
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
		case name == "slack" && r.verb == neverRule:
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
		return setOnce(&m.kind, name, value, ParseKind)
	case "reason":
		return setOnce(&m.reason, name, value, parseReason)
	case "workspace":
		return setOnce(&m.workspace, name, value, parseString[mesh.Workspace])
	case "service":
		return setOnce(&m.service, name, value, parseString[mesh.Service])
	case "host":
		return setOnce(&m.host, name, value, parseString[mesh.Host])
	case "action":
		return setOnce(&m.action, name, value, ParseAction)
	}
	return fmt.Errorf("property %q is none of kind, reason, workspace, service, host, action", name)
}

func parseString[T ~string](s string) (T, error) { return T(s), nil }

// setOnce parses the value of the named property and stores it in target. It
// returns an error if the property was already set.
func setOnce[T any](target **T, name, value string, parse func(string) (T, error)) error {
	if *target != nil {
		return fmt.Errorf("property %q is given twice", name)
	}
	parsed, err := parse(value)
	*target = &parsed
	return err
}
