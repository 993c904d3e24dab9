package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/capacity"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/slots"
)

const (
	// usualLatencyKey and slownessKey name the fields that follow the positional ones in
	// loadHeader. The first one holds microseconds, the second a factor.
	usualLatencyKey = "usual"
	slownessKey     = "slow"
	// maxUsualLatency and maxSlowness bound what a peer may tell.
	maxUsualLatency = 10 * time.Minute
	maxSlowness     = 10.0
	// The record of the node gets a new capacity if it has changed by capacityStep, and at
	// most once in capacityInterval after the first: each change is sent to all nodes, and the
	// reports tell more precisely how fast the upstream is.
	capacityStep     = 0.25
	capacityInterval = 10 * time.Second
)

// requestStart is the state of the local upstream when a request is sent to it.
type requestStart struct {
	at      time.Duration
	running int // requests at the upstream, with this one
	figure  int // last reported slowness in percent; zero: none
}

// capacityAtStart returns the state of the local upstream for a request that is sent now.
// n.mu must be held.
func (n *Node) capacityAtStart(now time.Duration) requestStart {
	return requestStart{at: now, running: n.gate.Running(), figure: n.learner.Figure()}
}

// recordCapacity adds a response of the local upstream to what is known of its capacity, if
// the response states how slow the host is.
func (n *Node) recordCapacity(req *servedRequest, start requestStart, response *exchange.Response) {
	d := &n.cfg.Dialect
	value := response.Header.Get(d.Load)
	if value == "" || response.Header.Get(d.RequestID) == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return // without a request ID, it may answer another request
	}
	load, ok := d.ParseLoad(value)
	if !ok || load.Slowness <= 0 {
		return
	}
	refused := response.Header.Get(d.NotRun) != ""
	if !refused && response.StatusCode >= http.StatusBadRequest {
		return // an error may take less time than the work, or as long as the deadline
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.tracker.ColdLeft(now) > 0 {
		n.learner.Ignore(now)
	}
	n.learner.Record(now, capacity.Response{
		Route: req.Route, Latency: now - start.at, Running: start.running, Slots: load.Slots, Refused: refused,
		Slowness: load.Slowness, SlownessAtStart: start.figure,
	})
}

// updateCapacity sets the limit of the gate to what the upstream takes well, and tells the
// peers how much that is. n.mu must be held.
func (n *Node) updateCapacity(now time.Duration) {
	n.gate.SetConcurrency(n.learner.Limit(now, n.gate.Running(), slots.UsableShare))
	rate, told := n.learner.Rate(now, slots.UsableShare), n.roster.Self().Capacity
	if rate >= told*(1-capacityStep) && rate <= told*(1+capacityStep) || told > 0 && now-n.capacityToldAt < capacityInterval {
		return
	}
	n.capacityToldAt = now
	n.roster.Update(false, func(r *roster.Record) { r.Capacity = rate })
	n.table.SetRate(n.cfg.Self.Node, rate)
	n.cfg.Log.Write(eventlog.Observation, "capacity changed", "per_second", rate, "before", told, "speed", n.relativeSpeed(now),
		"limit", n.gate.Limit(), "knee", n.learner.Knee(), "slowness", n.learner.Slowness(now))
}

// relativeSpeed returns the capacity of the local upstream relative to the mean of those of
// its service that are known, or zero if it is not known. n.mu must be held.
func (n *Node) relativeSpeed(now time.Duration) float64 {
	sum, known := 0.0, 0
	for _, r := range n.roster.Members(now, n.cfg.Self.Service) {
		if r.Capacity > 0 {
			sum += r.Capacity
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return n.roster.Self().Capacity / (sum / float64(known))
}

// updateCapacityMetrics updates the gauges if the local upstream reports how slow its host
// is. n.mu must be held.
func (n *Node) updateCapacityMetrics(now time.Duration) {
	if !n.learner.Active(now) {
		return
	}
	gauge := func(name string, value float64) { metrics.GetOrRegisterGaugeFloat64(name, n.cfg.Metrics).Update(value) }
	gauge("capacity.limit", n.learner.Limit(now, 0, slots.UsableShare))
	gauge("capacity.speed", n.relativeSpeed(now))
	gauge("capacity.slowness", n.learner.Slowness(now))
}

// peerReport returns the report for the response to a request from a peer. A peer of an
// earlier version rejects a report with named fields, and with it the cut. So they are
// sent only to a peer that asks for them.
func (n *Node) peerReport(h *hop) report {
	r := n.report(h)
	if !h.WantsCapacity {
		r.Load.UsualLatency = 0
	}
	return r
}

// setCapacity sets the value of a named field. Fields that are not known or malformed are
// ignored.
func (r *report) setCapacity(key, value string) {
	switch key {
	case usualLatencyKey:
		if us, err := strconv.ParseInt(value, 10, 64); err == nil && us > 0 && us <= maxUsualLatency.Microseconds() {
			r.Load.UsualLatency = time.Duration(us) * time.Microsecond
		}
	case slownessKey:
		if x, err := strconv.ParseFloat(value, 64); err == nil && x >= 1 && x <= maxSlowness {
			r.Load.Slowness = x
		}
	}
}
