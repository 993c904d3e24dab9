package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Result holds the parameters of a run, its figures and, for the full policy, the goals
// that it missed.
type Result struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	TimeScale  float64 `json:"time_scale"`        // factor on the deployment's service times
	Measured   float64 `json:"measured_s"`        // seconds, without the warm-up
	Demand     float64 `json:"demand_per_second"` // client requests per second without the cause
	CauseStart float64 `json:"cause_start_s"`     // seconds from the start of the run
	CauseEnd   float64 `json:"cause_end_s"`       // seconds from the start of the run
	Figures
	Endings    map[string]int `json:"endings"`          // number of measured requests, by endingName
	Critical   map[string]int `json:"critical_endings"` // the same for requests of the critical class
	Violations []Violation    `json:"violations"`
	Misses     []string       `json:"misses"` // goals that were not met
	Series     []Sample       `json:"series,omitempty"`
}

// Violation is a guarantee to callers that the run broke. Promise names the guarantee.
type Violation struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
	Example string `json:"example"`
}

func (r *run) result() *Result {
	out := &Result{
		Deployment: r.options.Deployment, Scenario: r.scenario.Name, Policy: r.options.Policy.String(),
		Seed: r.options.Seed, TimeScale: TimeScale, Measured: r.options.Duration.Seconds(), Demand: r.plan.Rate,
		CauseStart: r.phases.CauseStart.Seconds(), CauseEnd: r.phases.CauseEnd.Seconds(),
		Figures: r.figures(), Endings: r.countEndingsBelow(mesh.NumClasses), Critical: r.countEndingsBelow(mesh.ClassCritical + 1), Violations: r.violations(), Misses: []string{},
	}
	out.Series = r.series()
	if r.options.Policy == admission.PolicyFull {
		out.Misses = r.scenario.misses(out)
	}
	return out
}

// countEndingsBelow counts the measured requests of the classes below end by their
// ending. The most important class is the lowest.
func (r *run) countEndingsBelow(end mesh.Class) map[string]int {
	counts := map[string]int{}
	for _, request := range r.measuredRequests() {
		if r.plan.Routes[request.Route].Class < end {
			counts[endingName(request)]++
		}
	}
	return counts
}

func endingName(request load.RequestResult) string {
	switch {
	case request.InTime:
		return "in-time"
	case request.Kind == load.Complete:
		return "late"
	case request.Kind == load.Refused:
		return request.Refusal.Execution.String() + "/" + request.Refusal.Reason.String()
	case request.Kind == load.Truncated:
		return "cut"
	case request.Kind == load.Dropped:
		return "dropped"
	}
	return "failed"
}

// misses returns a text for each goal that the result does not meet.
func (s *Scenario) misses(r *Result) []string {
	misses := []string{}
	expect := func(met bool, format string, args ...any) {
		if !met {
			misses = append(misses, fmt.Sprintf(format, args...))
		}
	}
	expect(r.GoodputRatio >= goalGoodput, "goodput_ratio %.3f is below %.2f", r.GoodputRatio, goalGoodput)
	expect(r.CriticalSuccess < 0 || r.CriticalSuccess >= goalCritical,
		"critical_success %.4f is below %.3f", r.CriticalSuccess, goalCritical)
	expect(r.Recovered && r.RecoverySeconds <= goalRecovery.Seconds(),
		"recovery_s %.1f is above %.1f", r.RecoverySeconds, goalRecovery.Seconds())
	expect(r.WorstWorkspaceShare >= goalWorstWorkspace,
		"worst_workspace_share %.3f (%s) is below %.1f", r.WorstWorkspaceShare, r.WorstWorkspace, goalWorstWorkspace)
	rateBound := max(s.MaxRefused, goalRefusedSteady)
	expect(r.WrongfulRefusals.Rate <= rateBound,
		"wrongful_refusals for rate %.5f are above %.3f", r.WrongfulRefusals.Rate, rateBound)
	if s.MaxRefused > 0 {
		expect(r.WrongfulRefusals.Load <= s.MaxRefused,
			"wrongful_refusals for load %.5f are above %.3f", r.WrongfulRefusals.Load, s.MaxRefused)
		expect(r.WrongfulRefusals.Other <= s.MaxRefused,
			"wrongful_refusals for other reasons, with failures, %.5f are above %.3f", r.WrongfulRefusals.Other, s.MaxRefused)
	}
	expect(r.QuotaExcess <= goalExcess, "quota_excess %.1f is above %d", r.QuotaExcess, goalExcess)
	expect(len(r.Violations) == 0, "%d promises were broken", len(r.Violations))
	return misses
}

// violations returns the broken guarantees, each with its count and one example.
func (r *run) violations() []Violation {
	found := map[string]*Violation{}
	report := func(promise, example string) {
		if found[promise] == nil {
			found[promise] = &Violation{Promise: promise, Example: example}
		}
		found[promise].Count++
	}
	for range r.keysSeen {
		report("no upstream sees a caller's key", "counted by upstreams")
	}
	ticketedRuns := map[string]int{}
	for _, a := range r.recorder.attempts {
		executed := r.recorder.executions(a.Marker)
		service := r.plan.Routes[a.Route].Service
		if a.Kind == load.Refused && a.Refusal.Execution == outcome.NotRun && len(executed) > 0 {
			report("a refusal that says not run is true", a.Marker+" "+a.Refusal.Error())
		}
		if a.Ticketed {
			ticketedRuns[a.Request] += executed[service]
		}
		if a.Kind == load.Complete && (a.Bytes != answerBytes || a.Mismatched) {
			report("a whole answer is complete and belongs to its call", fmt.Sprintf("%s has %d bytes", a.Marker, a.Bytes))
		}
	}
	for request, n := range ticketedRuns {
		if n > 1 {
			report("an order with a ticket runs at most once", fmt.Sprintf("%s ran %d times", request, n))
		}
	}
	violations := []Violation{}
	for _, promise := range sortedKeys(found) {
		violations = append(violations, *found[promise])
	}
	return violations
}

// executions returns the number of completed executions of an attempt, by service.
func (rec *recorder) executions(marker string) map[mesh.Service]int {
	if trace := rec.traces[marker]; trace != nil {
		return trace.executions
	}
	return nil
}

// WriteJSON writes the results as one indented JSON document: an object if there is
// one result, else an array.
func WriteJSON(w io.Writer, results []*Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if len(results) == 1 {
		return encoder.Encode(results[0])
	}
	return encoder.Encode(results)
}

// WriteTable writes a table with one line per run.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tpolicy\tgoodput\tanswers\tcritical\trecovery s\tworst\trefused rate\trefused load\texecutions\texcess\tviolations")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%s\t%s\t%.3f\t%.4f\t%.4f\t%.2f of %.2f\t%.1f\t%d\n",
			r.Scenario, r.Policy, r.GoodputRatio, r.AnswersRatio, r.critical(), r.recoveryText(), r.WorstWorkspaceShare,
			r.WrongfulRefusals.Rate, r.WrongfulRefusals.Load, r.ExecutionsPerAction, r.DeclaredPerAction,
			r.QuotaExcess, len(r.Violations))
	}
	return t.Flush()
}

// critical returns the critical success as text, or "-" if it was not computed.
func (r *Result) critical() string {
	if r.CriticalSuccess < 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", r.CriticalSuccess)
}

func (r *Result) recoveryText() string {
	if !r.Recovered {
		return "never"
	}
	return fmt.Sprintf("%.1f", r.RecoverySeconds)
}

// WriteDetails writes the endings, violations and misses of one run as text.
func (r *Result) WriteDetails(w io.Writer) {
	fmt.Fprintf(w, "%s %s %s: seed %d, service times ×%g, %.0f actions/s without the cause, %.0f upstream calls/s\n",
		r.Deployment, r.Scenario, r.Policy, r.Seed, r.TimeScale, r.Demand, r.CallsPerSecond)
	for _, ending := range slices.Sorted(maps.Keys(r.Endings)) {
		fmt.Fprintf(w, "  %-32s %6d, critical %d\n", ending, r.Endings[ending], r.Critical[ending])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  violation: %s: %d times, for example %s\n", v.Promise, v.Count, v.Example)
	}
	for _, miss := range r.Misses {
		fmt.Fprintf(w, "  missed: %s\n", miss)
	}
}

// elapsed returns the time since the start of the load.
func (r *run) elapsed() time.Duration { return time.Since(r.startTime) }
