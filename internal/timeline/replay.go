package timeline

import (
	"fmt"
	"time"
)

// maxViolations bounds the violations reported for one rule.
const maxViolations = 10

// Violation is a rule that a timeline does not keep.
type Violation struct {
	Rule    Rule
	Event   *Event // the event that breaks the rule; nil for a count
	Message string
}

// String names the rule, the reason and the event.
func (v Violation) String() string {
	s := fmt.Sprintf("line %d: %s: %s", v.Rule.Line, v.Rule.Text, v.Message)
	if v.Event != nil {
		s += ": " + v.Event.String()
	}
	return s
}

// Check checks a timeline against the rules and returns what is violated, at
// most ten violations a rule. The events need not be in order.
func Check(events []Event, rules []Rule) []Violation {
	events = Merge(events)
	var violations []Violation
	for _, r := range rules {
		violations = append(violations, r.check(events)...)
	}
	return violations
}

func (r *Rule) check(events []Event) []Violation {
	switch r.verb {
	case count:
		return r.checkCount(events)
	case order:
		return r.checkPair(events, "no such event came before")
	default:
		return r.checkPair(events, "this must not happen")
	}
}

func (r *Rule) checkCount(events []Event) []Violation {
	n := 0
	for i := range events {
		if r.subject.matches(&events[i]) {
			n++
		}
	}
	if compareCount(n, r.op, r.count) {
		return nil
	}
	return []Violation{{Rule: *r, Message: fmt.Sprintf("%d events", n)}}
}

func compareCount(n int, op string, bound int) bool {
	switch op {
	case "<=":
		return n <= bound
	case ">=":
		return n >= bound
	case "<":
		return n < bound
	case ">":
		return n > bound
	}
	return n == bound
}

// checkPair holds each subject against the first event of the relative match
// that agrees in the compared field. That event must exist for an order rule,
// and must not be further back than the slack for a never rule.
func (r *Rule) checkPair(events []Event, message string) []Violation {
	first := map[string]int64{} // compared field to wall time
	var violations []Violation
	for i := range events {
		e := &events[i]
		wall, seen := first[r.same.of(e)]
		if r.subject.matches(e) && r.broken(e, wall, seen) && len(violations) < maxViolations {
			violations = append(violations, Violation{Rule: *r, Event: e, Message: message})
		}
		if !seen && r.relative != nil && r.relative.matches(e) {
			first[r.same.of(e)] = e.Stamp.Wall
		}
	}
	return violations
}

func (r *Rule) broken(e *Event, wall int64, seen bool) bool {
	if r.verb == order {
		return !seen
	}
	if r.relative == nil {
		return true
	}
	return seen && (r.slack == 0 || time.Duration(e.Stamp.Wall-wall) > r.slack)
}

// of returns the value of the field as a key.
func (f field) of(e *Event) string {
	switch f {
	case actionField:
		return formatAction(e.Action)
	case workspaceField:
		return string(e.Workspace)
	case serviceField:
		return string(e.Service)
	case hostField:
		return string(e.Host)
	}
	return ""
}
