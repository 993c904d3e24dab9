package experiment

import (
	"math"
	"slices"
	"time"

	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Figures are the measured results of a run.
type Figures struct {
	// GoodputRatio is the goodput during the cause (complete answers within the
	// deadline) relative to the maximum that the slots allow. An answer is weighted
	// by the share of the fleet's slots that it needs, so that answering only cheap
	// routes does not raise the ratio.
	GoodputRatio float64 `json:"goodput_ratio"`
	// AnswersRatio is the same ratio with all answers weighted equally.
	AnswersRatio float64 `json:"answers_ratio"`
	// CriticalSuccess is the share of critical calls that are answered completely
	// and within the deadline; -1 if the slots cannot serve all critical demand during
	// the cause.
	CriticalSuccess float64 `json:"critical_success"`
	// RecoverySeconds is the time from the end of the cause until goodput stays at
	// or above 0.95 of its level before the cause.
	RecoverySeconds float64 `json:"recovery_s"`
	// Recovered is false if goodput had not recovered when the run ended.
	Recovered bool `json:"recovered"`
	// WorstWorkspaceShare is the smallest ratio of a workspace's goodput to its fair
	// share during the cause. WorstWorkspace is the name of that workspace.
	WorstWorkspaceShare float64 `json:"worst_workspace_share"`
	WorstWorkspace      string  `json:"worst_workspace"`
	// WrongfulRefusals are the refusals and failures of requests of workspaces that do
	// not exceed their rate.
	WrongfulRefusals Refusals `json:"wrongful_refusals"`
	// ExecutionsPerAction is the mean number of calls that the upstreams of all
	// layers receive per action during the cause. An action is a client request with
	// all its retries.
	ExecutionsPerAction float64 `json:"executions_per_action"`
	// DeclaredPerAction is the number of calls per action that the call graph
	// declares.
	DeclaredPerAction float64 `json:"declared_per_action"`
	// QuotaExcess is the largest number of calls of one workspace above its
	// rate × T + burst in any window of length T.
	QuotaExcess float64 `json:"quota_excess"`
	// CallsPerSecond is the rate of calls at all upstreams, over the whole run.
	CallsPerSecond float64 `json:"upstream_calls_per_second"`
}

// Refusals are shares of all requests by the reason of the refusal.
type Refusals struct {
	Rate  float64 `json:"rate"`
	Load  float64 `json:"load"`
	Other float64 `json:"other"` // failed, truncated, or refused for another reason
}

// recoveryBin is the resolution of RecoveryTime.
const recoveryBin = 100 * time.Millisecond

// recoveredLevel is the fraction of the goodput before the cause at which goodput counts
// as recovered.
const recoveredLevel = 0.95

// RecoveryTime returns the time from the end of the cause until goodput has recovered,
// and whether it recovers before the end of the run. Goodput has recovered when the
// share of requests answered in time stays at or above recoveredLevel of the share
// before the cause. Shares are compared, not counts, because arrivals vary randomly.
// starts[i] is the start of request i from the start of the run; good[i] reports whether
// it got a complete answer within its deadline.
func RecoveryTime(starts []time.Duration, good []bool, p Phases) (time.Duration, bool) {
	before, beforeGood := 0, 0
	bins := make([]struct{ all, good int }, int((p.End-p.CauseEnd)/recoveryBin)+1)
	for i, at := range starts {
		if at >= p.Measure && at < p.CauseStart {
			before++
			beforeGood += boolToInt(good[i])
		}
		if at >= p.CauseEnd && at < p.End {
			b := &bins[int((at-p.CauseEnd)/recoveryBin)]
			b.all++
			b.good += boolToInt(good[i])
		}
	}
	level := recoveredLevel * float64(beforeGood) / float64(max(before, 1))
	recoveredBin := 0
	for i, b := range bins {
		if float64(b.good) < level*float64(b.all) {
			recoveredBin = i + 1
		}
	}
	// The last bin is empty or shorter than the others and does not show a recovery.
	return time.Duration(recoveredBin) * recoveryBin, recoveredBin < len(bins)-1
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// RateExcess returns the largest number of calls above rate × T + burst in any window of
// length T, or 0 if no window exceeds that bound. times are the sorted times of the
// calls; rate is in calls per second.
func RateExcess(times []time.Time, rate, burst float64) float64 {
	if len(times) == 0 {
		return 0
	}
	// The excess of the calls j to i is (i+1 - refilled at i) - (j - refilled at j) - burst.
	// lowest is the minimum of the second term over all j up to i.
	lowest, excess := math.Inf(1), 0.0
	for i, t := range times {
		refilled := rate * t.Sub(times[0]).Seconds()
		lowest = min(lowest, float64(i)-refilled)
		excess = max(excess, float64(i+1)-refilled-lowest-burst)
	}
	return excess
}

func (r *run) figures() Figures {
	f := Figures{CriticalSuccess: -1}
	window := r.countWindow(r.phases.CauseStart+r.meanResponseTime(), r.phases.CauseEnd)
	served := r.scenario.graphDuring(r.plan).AchievableRates(window.demands(r))
	f.GoodputRatio = ratio(sum(window.answeredCost), window.seconds*dotProduct(served, r.answerCosts()))
	f.AnswersRatio = ratio(window.inTime, sum(served)*window.seconds)
	f.WorstWorkspaceShare, f.WorstWorkspace = r.worstWorkspace(window, served)
	if r.criticalFits(window) {
		f.CriticalSuccess = r.criticalSuccess()
	}
	recovery, recovered := r.recovery()
	f.RecoverySeconds, f.Recovered = recovery.Seconds(), recovered
	f.WrongfulRefusals = r.wrongfulRefusals()
	f.ExecutionsPerAction, f.DeclaredPerAction = r.callsPerAction(window)
	f.QuotaExcess = r.quotaExcess()
	f.CallsPerSecond = float64(r.recorder.callCount) / r.phases.End.Seconds()
	return f
}

// meanResponseTime returns the mean time that a request needs during the cause. The
// window for goodput starts this long after the start of the cause, because the first
// requests of the cause cannot be answered earlier. Requests in flight at the start of the
// window then balance those in flight at its end.
func (r *run) meanResponseTime() time.Duration {
	g := r.scenario.graphDuring(r.plan)
	mean := 0.0
	for i, route := range r.plan.Routes {
		mean += r.plan.Mix[i] * float64(g.HoldingTime(route.Service))
	}
	return time.Duration(mean)
}

// answerCosts returns, for each route, the slot time of one request without the
// scenario's disturbance: the sum over the services of the fraction of their slots that
// it occupies, multiplied by the time for which it does so, in seconds.
func (r *run) answerCosts() []float64 {
	costs := make([]float64, len(r.plan.Routes))
	for i, route := range r.plan.Routes {
		for s, slots := range r.plan.Graph.occupancy(Demand{Service: route.Service, Rate: 1}) {
			costs[i] += slots / float64(r.plan.Graph.Slots[s])
		}
	}
	return costs
}

// windowCounts counts the requests that start and the answers that end in a time
// window.
type windowCounts struct {
	seconds      float64
	inTime       float64     // answers within the deadline
	arrivals     []float64   // requests by route
	offered      []float64   // requests by workspace
	answeredCost []float64   // cost of the answers within the deadline, by workspace
	offeredCost  [][]float64 // cost of the requests, by class and workspace
}

func (r *run) countWindow(from, to time.Duration) *windowCounts {
	window := &windowCounts{
		seconds:      (to - from).Seconds(),
		arrivals:     make([]float64, len(r.plan.Routes)),
		offered:      make([]float64, len(r.plan.Workspaces)),
		answeredCost: make([]float64, len(r.plan.Workspaces)),
		offeredCost:  make([][]float64, mesh.NumClasses),
	}
	for class := range window.offeredCost {
		window.offeredCost[class] = make([]float64, len(r.plan.Workspaces))
	}
	costs := r.answerCosts()
	for _, request := range r.recorder.requests {
		at := request.Start.Sub(r.startTime)
		if end := at + request.Latency; request.InTime && end >= from && end < to {
			window.inTime++
			window.answeredCost[request.Workspace] += costs[request.Route]
		}
		if at < from || at >= to {
			continue
		}
		window.arrivals[request.Route]++
		window.offered[request.Workspace]++
		window.offeredCost[r.plan.Routes[request.Route].Class][request.Workspace] += costs[request.Route]
	}
	r.capByRate(window)
	return window
}

// capByRate limits the demand of each workspace to its rate and burst, since no
// workspace is entitled to more.
func (r *run) capByRate(window *windowCounts) {
	for i, w := range r.plan.Workspaces {
		bound := w.RatePerSecond*window.seconds + w.Burst
		if window.offered[i] <= bound {
			continue
		}
		kept := bound / window.offered[i]
		for class := range window.offeredCost {
			window.offeredCost[class][i] *= kept
		}
		for route := range window.arrivals {
			window.arrivals[route] -= (1 - kept) * window.offered[i] * r.plan.Mix[route]
		}
		window.offered[i] = bound
	}
}

func (c *windowCounts) demands(r *run) []Demand {
	demands := make([]Demand, len(c.arrivals))
	for i, n := range c.arrivals {
		route := r.plan.Routes[i]
		demands[i] = Demand{Service: route.Service, Class: route.Class, Rate: n / c.seconds}
	}
	return demands
}

// worstWorkspace returns the smallest ratio of a workspace's goodput to its max-min
// fair share of the achievable goodput, and the name of that workspace. served are the
// achievable rates of the routes. The fair share is computed class by class.
func (r *run) worstWorkspace(window *windowCounts, served []float64) (float64, string) {
	costs := r.answerCosts()
	fair := make([]float64, len(r.plan.Workspaces))
	weights := make([]float64, len(fair))
	for i, w := range r.plan.Workspaces {
		weights[i] = w.Weight
	}
	for class, demands := range window.offeredCost {
		total := 0.0
		for i, rate := range served {
			if r.plan.Routes[i].Class == mesh.Class(class) {
				total += rate * window.seconds * costs[i]
			}
		}
		for i, share := range FairShares(total, demands, weights) {
			fair[i] += share
		}
	}
	worst, name := math.Inf(1), ""
	for i, share := range fair {
		if got := ratio(window.answeredCost[i], share); got < worst {
			worst, name = got, string(r.plan.Workspaces[i].Name)
		}
	}
	return worst, name
}

// criticalFits reports whether the slots can serve all critical demand during the
// cause.
func (r *run) criticalFits(window *windowCounts) bool {
	demands := window.demands(r)
	served := r.scenario.graphDuring(r.plan).AchievableRates(demands)
	for i, d := range demands {
		if d.Class == mesh.ClassCritical && served[i] < d.Rate*(1-epsilon) {
			return false
		}
	}
	return true
}

func (r *run) criticalSuccess() float64 {
	all, good := 0.0, 0.0
	for _, request := range r.measuredRequests() {
		if r.plan.Routes[request.Route].Class == mesh.ClassCritical && !r.exceedsRate(request) {
			all++
			good += float64(boolToInt(request.InTime))
		}
	}
	return ratio(good, all)
}

// measuredRequests returns the requests that start after the warm-up.
func (r *run) measuredRequests() []load.RequestResult {
	var out []load.RequestResult
	for _, request := range r.recorder.requests {
		if request.Start.Sub(r.startTime) >= r.phases.Measure {
			out = append(out, request)
		}
	}
	return out
}

func (r *run) recovery() (time.Duration, bool) {
	var starts []time.Duration
	var good []bool
	for _, request := range r.recorder.requests {
		starts = append(starts, request.Start.Sub(r.startTime))
		good = append(good, request.InTime)
	}
	return RecoveryTime(starts, good, r.phases)
}

// exceedsRate reports whether a request belongs to the workspace that exceeds its
// rate. Nodes may refuse any request of that workspace, so the critical success and the
// wrongful refusals leave its requests out.
func (r *run) exceedsRate(request load.RequestResult) bool {
	return r.scenario.GreedyFactor > 0 && request.Workspace == r.plan.greedyWorkspace()
}

func (r *run) wrongfulRefusals() Refusals {
	var all, rate, overload, other float64
	for _, request := range r.measuredRequests() {
		if r.exceedsRate(request) {
			continue
		}
		all++
		if request.Kind == load.Failed || request.Kind == load.Truncated {
			other++
		}
		if request.Kind != load.Refused {
			continue
		}
		switch request.Refusal.Reason {
		case outcome.OverRate, outcome.NoCredit: // NoCredit: no usable node holds the share of the rate that the request needs
			rate++
		case outcome.Overloaded, outcome.QueueTimeout, outcome.RetriesExhausted, outcome.DeadlineExceeded:
			overload++
		default:
			other++
		}
	}
	return Refusals{Rate: ratio(rate, all), Load: ratio(overload, all), Other: ratio(other, all)}
}

// callsPerAction returns the number of calls at upstreams during the cause, divided by
// the number of actions that first reached an upstream during it, and the ratio that the
// call graph declares for the mix of routes in the window.
func (r *run) callsPerAction(window *windowCounts) (float64, float64) {
	calls := 0
	for _, at := range r.recorder.callTimes {
		if offset := at.Sub(r.startTime); offset >= r.phases.CauseStart && offset < r.phases.CauseEnd {
			calls++
		}
	}
	actions := map[string]bool{}
	for marker, trace := range r.recorder.traces {
		if offset := trace.firstCall.Sub(r.startTime); offset >= r.phases.CauseStart && offset < r.phases.CauseEnd {
			actions[requestMarker(marker)] = true
		}
	}
	declared := 0.0
	for i, route := range r.plan.Routes {
		for _, n := range r.plan.Graph.Visits(route.Service) {
			declared += n * ratio(window.arrivals[i], sum(window.arrivals))
		}
	}
	return ratio(float64(calls), float64(len(actions))), declared
}

// quotaExcess returns the largest RateExcess of a workspace. Each attempt, also a client
// retry, counts as one call at the time of its first call at an upstream.
func (r *run) quotaExcess() float64 {
	byWorkspace := map[int][]time.Time{}
	for _, a := range r.recorder.attempts {
		if trace := r.recorder.traces[a.Marker]; trace != nil {
			byWorkspace[a.Workspace] = append(byWorkspace[a.Workspace], trace.firstCall)
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

func dotProduct(values, weights []float64) float64 {
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
