package timeline

import (
	"fmt"
	"time"
)

// maxViolations is the maximum number of violations reported per rule.
const maxViolations = 10

// Violation is an instance of a timeline breaking a rule.
type Violation struct {
	Rule    Rule
	Event   *Event // the event that breaks the rule; nil for a count rule
	Message string
}

// String describes the rule, the reason and the event.
func (v Violation) String() string {
	s := fmt.Sprintf("line %d: %s: %s", v.Rule.Line, v.Rule.Text, v.Message)
	if v.Event != nil {
		s += ": " + v.Event.String()
	}
	return s
}

// Check checks a timeline against the rules and returns the violations, at most
// ten per rule. The events can be in any order.
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
	case countRule:
		return r.checkCount(events)
	case orderRule:
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

// checkPair compares each event that matches the subject with the first earlier
// event that matches the reference and agrees in the compared field. An order rule
// requires that event to exist. A never rule with a reference allows the subject only
// if there is no such event or, with a slack, it is at most the slack earlier.
func (r *Rule) checkPair(events []Event, message string) []Violation {
	firstReference := map[string]int64{} // wall time of the first event that matches the reference, by value of the compared field
	var violations []Violation
	for i := range events {
		e := &events[i]
		wall, seen := firstReference[r.same.valueOf(e)]
		if r.subject.matches(e) && r.violatedBy(e, wall, seen) && len(violations) < maxViolations {
			violations = append(violations, Violation{Rule: *r, Event: e, Message: message})
		}
		if !seen && r.reference != nil && r.reference.matches(e) {
			firstReference[r.same.valueOf(e)] = e.Stamp.Wall
		}
	}
	return violations
}

// violatedBy reports whether event e, which matches the subject, violates the rule.
// seen reports whether an earlier event matches the reference; wall is the time of
// the first one, in nanoseconds since the Unix epoch.
func (r *Rule) violatedBy(e *Event, wall int64, seen bool) bool {
	if r.verb == orderRule {
		return !seen
	}
	if r.reference == nil {
		return true
	}
	return seen && (r.slack == 0 || time.Duration(e.Stamp.Wall-wall) > r.slack)
}

// valueOf returns the value of the field as a map key. For noField, all events have the
// same key.
func (f field) valueOf(e *Event) string {
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
