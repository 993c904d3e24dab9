package experiment

import (
	"math"
	"slices"
	"time"

	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Figures are the measured outcomes of a run.
type Figures struct {
	// GoodputRatio is the whole answers in time that end during the cause over
	// the best that the slots allow. An answer counts as the part of the fleet's
	// slots that it needs, so that answering only cheap routes gains nothing.
	GoodputRatio float64 `json:"goodput_ratio"`
	// AnswersRatio is the same with each answer counted as one.
	AnswersRatio float64 `json:"answers_ratio"`
	// CriticalSuccess is the share of critical calls answered whole and in time
	// while they alone fit the slots; -1 if they never did.
	CriticalSuccess float64 `json:"critical_success"`
	// RecoverySeconds is the time from the end of the cause until goodput stays
	// at 0.95 of the level before.
	RecoverySeconds float64 `json:"recovery_s"`
	// Recovered is false if goodput had not recovered when the run ended.
	Recovered           bool    `json:"recovered"`
	WorstWorkspaceShare float64 `json:"worst_workspace_share"`
	WorstWorkspace      string  `json:"worst_workspace"`
	// WrongfulRefusals are shares of the calls within their workspace's rate.
	WrongfulRefusals Refusals `json:"wrongful_refusals"`
	// ExecutionsPerAction counts calls received by upstreams of all layers.
	ExecutionsPerAction float64 `json:"executions_per_action"`
	DeclaredPerAction   float64 `json:"declared_per_action"` // by the call graph
	QuotaExcess         float64 `json:"quota_excess"`        // calls above rate × T + burst
	CallsPerSecond      float64 `json:"upstream_calls_per_second"`
}

// Refusals are shares of calls.
type Refusals struct {
	Rate  float64 `json:"rate"`
	Load  float64 `json:"load"`
	Other float64 `json:"other"` // failed, cut off, or refused for another reason
}

// recoveryBin is the resolution of the recovery time.
const recoveryBin = 100 * time.Millisecond

// recoveredLevel is the share of the goodput before that counts as recovered.
const recoveredLevel = 0.95

// RecoveryTime returns how long after the cause the share of calls answered in time
// stays at or above the level before. Shares of the arrivals per bin are compared
// instead of counts, because arrivals vary by chance. Good reports whether a
// request was answered whole and in time.
func RecoveryTime(starts []time.Duration, good []bool, p Phases) (time.Duration, bool) {
	before, beforeGood := 0, 0
	bins := make([]struct{ all, good int }, int((p.End-p.CauseEnd)/recoveryBin)+1)
	for i, at := range starts {
		if at >= p.Measure && at < p.CauseStart {
			before++
			beforeGood += count(good[i])
		}
		if at >= p.CauseEnd && at < p.End {
			b := &bins[int((at-p.CauseEnd)/recoveryBin)]
			b.all++
			b.good += count(good[i])
		}
	}
	level := recoveredLevel * float64(beforeGood) / float64(max(before, 1))
	last := 0
	for i, b := range bins {
		if float64(b.good) < level*float64(b.all) {
			last = i + 1
		}
	}
	return time.Duration(last) * recoveryBin, last < len(bins)-1
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// RateExcess returns the largest number of calls above rate × T + burst in any
// window of the sorted times, at least 0.
func RateExcess(times []time.Time, rate, burst float64) float64 {
	if len(times) == 0 {
		return 0
	}
	lowest, excess := math.Inf(1), 0.0
	for i, t := range times {
		refilled := rate * t.Sub(times[0]).Seconds()
		lowest = min(lowest, float64(i)-refilled)
		excess = max(excess, float64(i+1)-refilled-lowest-burst)
	}
	return excess
}

// figures computes the figures of a run.
func (r *run) figures() Figures {
	f := Figures{CriticalSuccess: -1}
	cause := r.tally(r.phases.CauseStart+r.settling(), r.phases.CauseEnd)
	served := r.scenario.graphDuring(r.plan).Fill(cause.demands(r))
	f.GoodputRatio = ratio(sum(cause.value), cause.seconds*weighted(served, r.values()))
	f.AnswersRatio = ratio(cause.whole, sum(served)*cause.seconds)
	f.WorstWorkspaceShare, f.WorstWorkspace = r.worstShare(cause, served)
	if r.criticalFits(cause) {
		f.CriticalSuccess = r.criticalSuccess()
	}
	recovery, recovered := r.recovery()
	f.RecoverySeconds, f.Recovered = recovery.Seconds(), recovered
	f.WrongfulRefusals = r.wrongful()
	f.ExecutionsPerAction, f.DeclaredPerAction = r.executions(cause)
	f.QuotaExcess = r.quotaExcess()
	f.CallsPerSecond = float64(r.log.calls) / r.phases.End.Seconds()
	return f
}

// settling is the mean time that a call needs during the cause. Answers of the
// first calls of the cause cannot come earlier, so it is left out at its start;
// then what is carried into the counted time balances what is carried out.
func (r *run) settling() time.Duration {
	g := r.scenario.graphDuring(r.plan)
	mean := 0.0
	for i, route := range r.plan.Routes {
		mean += r.plan.Mix[i] * float64(g.Hold(route.Service))
	}
	return time.Duration(mean)
}

// values returns the part of all slots that one answer of each route needs for a
// second, without the cause.
func (r *run) values() []float64 {
	values := make([]float64, len(r.plan.Routes))
	for i, route := range r.plan.Routes {
		for s, slots := range r.plan.Graph.occupancy(Demand{Service: route.Service, Rate: 1}) {
			values[i] += slots / float64(r.plan.Graph.Slots[s])
		}
	}
	return values
}

// tally counts the requests that start in a time and the answers that end in it.
type tally struct {
	seconds  float64
	whole    float64     // in time
	arrivals []float64   // by route
	offered  []float64   // by workspace
	value    []float64   // of the whole answers in time, by workspace
	byClass  [][]float64 // value of the requests by class and workspace
}

func (r *run) tally(from, to time.Duration) *tally {
	t := &tally{
		seconds:  (to - from).Seconds(),
		arrivals: make([]float64, len(r.plan.Routes)),
		offered:  make([]float64, len(r.plan.Workspaces)),
		value:    make([]float64, len(r.plan.Workspaces)),
		byClass:  make([][]float64, mesh.NumClasses),
	}
	for class := range t.byClass {
		t.byClass[class] = make([]float64, len(r.plan.Workspaces))
	}
	values := r.values()
	for _, e := range r.log.endings {
		at := e.Start.Sub(r.began)
		if end := at + e.Latency; e.InTime && end >= from && end < to {
			t.whole++
			t.value[e.Workspace] += values[e.Route]
		}
		if at < from || at >= to {
			continue
		}
		t.arrivals[e.Route]++
		t.offered[e.Workspace]++
		t.byClass[r.plan.Routes[e.Route].Class][e.Workspace] += values[e.Route]
	}
	r.boundByRate(t)
	return t
}

// boundByRate reduces the demand of a workspace to what its rate and burst admit:
// nobody is owed more.
func (r *run) boundByRate(t *tally) {
	for i, w := range r.plan.Workspaces {
		bound := w.RatePerSecond*t.seconds + w.Burst
		if t.offered[i] <= bound {
			continue
		}
		kept := bound / t.offered[i]
		for class := range t.byClass {
			t.byClass[class][i] *= kept
		}
		for route := range t.arrivals {
			t.arrivals[route] -= (1 - kept) * t.offered[i] * r.plan.Mix[route]
		}
		t.offered[i] = bound
	}
}

func (t *tally) demands(r *run) []Demand {
	demands := make([]Demand, len(t.arrivals))
	for i, n := range t.arrivals {
		route := r.plan.Routes[i]
		demands[i] = Demand{Service: route.Service, Class: route.Class, Rate: n / t.seconds}
	}
	return demands
}

// worstShare compares each workspace's answers with its max-min fair share of
// the best, class by class.
func (r *run) worstShare(t *tally, served []float64) (float64, string) {
	values := r.values()
	fair := make([]float64, len(r.plan.Workspaces))
	weights := make([]float64, len(fair))
	for i, w := range r.plan.Workspaces {
		weights[i] = w.Weight
	}
	for class, demands := range t.byClass {
		total := 0.0
		for i, rate := range served {
			if r.plan.Routes[i].Class == mesh.Class(class) {
				total += rate * t.seconds * values[i]
			}
		}
		for i, share := range FairShares(total, demands, weights) {
			fair[i] += share
		}
	}
	worst, name := math.Inf(1), ""
	for i, share := range fair {
		if got := ratio(t.value[i], share); got < worst {
			worst, name = got, string(r.plan.Workspaces[i].Name)
		}
	}
	return worst, name
}

// criticalFits reports whether the slots serve all critical demand of the cause.
func (r *run) criticalFits(t *tally) bool {
	demands := t.demands(r)
	served := r.scenario.graphDuring(r.plan).Fill(demands)
	for i, d := range demands {
		if d.Class == mesh.ClassCritical && served[i] < d.Rate*(1-fullBelow) {
			return false
		}
	}
	return true
}

func (r *run) criticalSuccess() float64 {
	all, good := 0.0, 0.0
	for _, e := range r.measured() {
		if r.plan.Routes[e.Route].Class == mesh.ClassCritical && !r.exceedsRate(e) {
			all++
			good += float64(count(e.InTime))
		}
	}
	return ratio(good, all)
}

// measured returns the requests that start after the warm-up.
func (r *run) measured() []load.RequestResult {
	var out []load.RequestResult
	for _, e := range r.log.endings {
		if e.Start.Sub(r.began) >= r.phases.Measure {
			out = append(out, e)
		}
	}
	return out
}

func (r *run) recovery() (time.Duration, bool) {
	var starts []time.Duration
	var good []bool
	for _, e := range r.log.endings {
		starts = append(starts, e.Start.Sub(r.began))
		good = append(good, e.InTime)
	}
	return RecoveryTime(starts, good, r.phases)
}

// exceedsRate reports whether a request is one of the workspace that exceeds its
// rate. Which of its requests are refused for that is no promise.
func (r *run) exceedsRate(e load.RequestResult) bool {
	return r.scenario.Greedy > 0 && e.Workspace == r.plan.greedy()
}

// wrongful leaves out the workspace that exceeds its rate.
func (r *run) wrongful() Refusals {
	var all, rate, overload, other float64
	for _, e := range r.measured() {
		if r.exceedsRate(e) {
			continue
		}
		all++
		if e.Kind == load.Failed || e.Kind == load.Truncated {
			other++
		}
		if e.Kind != load.Refused {
			continue
		}
		switch e.Refusal.Reason {
		case outcome.OverRate, outcome.NoCredit:
			rate++
		case outcome.Overloaded, outcome.QueueTimeout, outcome.RetriesExhausted, outcome.DeadlineExceeded:
			overload++
		default:
			other++
		}
	}
	return Refusals{Rate: ratio(rate, all), Load: ratio(overload, all), Other: ratio(other, all)}
}

// executions returns the calls that upstreams received per action that reached
// one, and the number that the graph declares, over the cause.
func (r *run) executions(t *tally) (float64, float64) {
	calls := 0
	for _, at := range r.log.times {
		if since := at.Sub(r.began); since >= r.phases.CauseStart && since < r.phases.CauseEnd {
			calls++
		}
	}
	actions := map[string]bool{}
	for marker, seen := range r.log.received {
		if since := seen.first.Sub(r.began); since >= r.phases.CauseStart && since < r.phases.CauseEnd {
			actions[requestOf(marker)] = true
		}
	}
	declared := 0.0
	for i, route := range r.plan.Routes {
		for _, n := range r.plan.Graph.Visits(route.Service) {
			declared += n * ratio(t.arrivals[i], sum(t.arrivals))
		}
	}
	return ratio(float64(calls), float64(len(actions))), declared
}

// quotaExcess uses the first call of each attempt at an upstream: a client retry
// is a new call of its workspace.
func (r *run) quotaExcess() float64 {
	byWorkspace := map[int][]time.Time{}
	for _, a := range r.log.attempts {
		if seen := r.log.received[a.Marker]; seen != nil {
			byWorkspace[a.Workspace] = append(byWorkspace[a.Workspace], seen.first)
		}
	}
	worst := 0.0
	for i, times := range byWorkspace {
		slices.SortFunc(times, time.Time.Compare)
		w := r.plan.Workspaces[i]
		worst = max(worst, RateExcess(times, w.RatePerSecond, w.Burst))
	}
	return worst
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func weighted(values, weights []float64) float64 {
	total := 0.0
	for i, v := range values {
		total += v * weights[i]
	}
	return total
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
