package sidecar

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/metricstext"
	"cardamomhatch/internal/outcome"
)

const (
	// The Retry-After of a refused caller is a fraction of the target latency from
	// retryDelayMinShare to retryDelayMinShare+retryDelaySpreadShare. It is spread so
	// that refused callers do not all retry at the same time.
	retryDelayMinShare    = 0.2
	retryDelaySpreadShare = 0.3
	// minRetryDelay is the lower bound of the Retry-After for routes with a short target
	// latency.
	minRetryDelay = 50 * time.Millisecond
)

// refuse responds to the request with a refusal. If the request did not run, refuse
// refunds the token of the workspace.
func (c *call) refuse(r outcome.Refusal) {
	n := c.node
	status := c.status(r)
	if c.byOrigin && status == http.StatusServiceUnavailable && r.RetryAfter <= 0 && c.context().Err() == nil {
		r.RetryAfter = c.returnDelay()
	}
	c.logRefusal(r)
	if c.tokenTaken && r.Execution == outcome.NotRun {
		n.mu.Lock()
		n.limiter.Refund(n.now(), c.workspace.Name)
		n.mu.Unlock()
	}
	h := c.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if r.RetryAfter <= 0 {
			r.RetryAfter = c.retryDelay()
		}
		// Clients accept fractions of a second, although RFC 9110 specifies whole seconds.
		h["Retry-After"] = []string{strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	h[outcome.Header] = []string{r.HeaderValue()}
	if c.r.ContentLength != 0 && !c.bodyComplete {
		h["Connection"] = []string{"close"} // the body has not been read completely
	}
	h["Content-Type"] = []string{"text/plain"}
	body := r.Reason.String() + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.w.WriteHeader(status)
	if _, err := c.w.Write([]byte(body)); err != nil {
		n.metrics.brokenResponses.Inc(1)
	}
}

// status returns the HTTP status for a refusal. It is 503 only if the request is known
// not to have run, so that callers can retry after a 503.
func (c *call) status(r outcome.Refusal) int {
	switch r.Reason {
	case outcome.KeyMissing, outcome.KeyInvalid, outcome.NoRoute, outcome.BadRequest, outcome.TooLarge, outcome.OverRate:
		return r.Reason.Status()
	}
	switch {
	case r.Execution == outcome.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == outcome.DeadlineExceeded || r.Reason == outcome.UpstreamSilent:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// retryDelay returns how long a refused caller should wait before it retries: short
// enough for a response within the route's target latency, and spread by request ID.
func (c *call) retryDelay() time.Duration {
	target := time.Second
	if c.route != nil && c.route.TargetLatency > 0 {
		target = c.route.TargetLatency
	}
	// The suffix makes the fraction independent of the one that decides on admission.
	share := retryDelayMinShare + retryDelaySpreadShare*hashFraction(c.id+"r")
	return max(time.Duration(share*float64(target)), minRetryDelay)
}

// logText returns the part of a text of another process that log lines contain, since the
// text may be as long as a head.
func logText(s string) string {
	const most = 200 // bytes
	return s[:min(len(s), most)]
}

// logFields returns the fields that all log lines about the call contain.
func (c *call) logFields() []any {
	fields := []any{"request", logText(c.id), "service", c.service, "rank", c.level, "inner", c.nested,
		"ms", (c.node.now() - c.arrived).Milliseconds(), "attempts", c.attempts, "nodes", c.triedHosts}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "deadline_ms", (c.deadline - c.arrived).Milliseconds())
	}
	if c.workspace != nil {
		fields = append(fields, "workspace", c.workspace.Name)
	}
	if c.catalog != nil {
		fields = append(fields, "declaration", c.catalog.Version)
	}
	return fields
}

func (c *call) logRefusal(r outcome.Refusal) {
	kind := eventlog.Refused
	if r.Execution != outcome.NotRun {
		kind = eventlog.Failed
	}
	c.node.metrics.countRefusal(r.Reason)
	if c.node.cfg.Log.Enabled(kind) {
		fields := append(c.logFields(), "execution", r.Execution.String(), "reason", r.Reason.String(),
			"decided_by", r.Node, "detail", r.Detail)
		if c.byOrigin {
			fields = append(fields, "retry_ms", r.RetryAfter.Milliseconds(), "room", c.booked, "workspace_share", 1/c.weight)
		}
		c.node.cfg.Log.Write(kind, "request refused", fields...)
	}
}

func (c *call) logResponse(a *attempt, err error) {
	n := c.node
	n.metrics.recordResponse(a.response.StatusCode, n.now()-c.arrived)
	kind := eventlog.Served
	if err != nil || a.response.StatusCode >= http.StatusInternalServerError {
		kind = eventlog.Failed
	}
	if n.cfg.Log.Enabled(kind) {
		n.cfg.Log.Write(kind, "request answered", append(c.logFields(), "status", a.response.StatusCode, "err", err)...)
	}
}

// nodeMetrics holds the metrics that a node updates while it serves. brokenResponses
// counts the responses that could not be read or written completely, and upstreamSheds
// the requests that the upstream refused with the header Dialect.NotRun.
type nodeMetrics struct {
	registry                                                                       metrics.Registry
	upstreamConnections, upstreamFailures, upstreamSheds, brokenResponses, retries metrics.Counter
	storeFailures, rejectedDeclarations, evacuationRefusals                        metrics.Counter
	coldPeriods, coldChecks                                                        metrics.Counter
	declaration, evacuated, storeEra                                               metrics.Gauge
	latency, queueTime                                                             metrics.Histogram
}

const (
	sampleSize  = 512   // values kept per histogram
	sampleAlpha = 0.015 // decay of older samples; favours the last five minutes, as go-metrics recommends
)

func newNodeMetrics(r metrics.Registry) *nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &nodeMetrics{
		registry:             r,
		upstreamConnections:  counter("upstream.connections.opened"),
		upstreamFailures:     counter("upstream.failures"),
		upstreamSheds:        counter("upstream.sheds"),
		brokenResponses:      counter("answers.broken"),
		retries:              counter("attempts.repeated"),
		storeFailures:        counter("store.failures"),
		coldChecks:           counter("upstream.cold.checks"),
		coldPeriods:          counter("upstream.cold.periods"),
		rejectedDeclarations: counter("declarations.refused"),
		evacuationRefusals:   counter("evacuation.refused"),
		declaration:          metrics.GetOrRegisterGauge("declaration.version", r),
		evacuated:            metrics.GetOrRegisterGauge("evacuation.active", r),
		storeEra:             metrics.GetOrRegisterGauge("store.era", r),
		latency:              histogram("requests.latency_us"),
		queueTime:            histogram("queue.wait_us"),
	}
}

// countRefusal counts a refused caller request by reason.
func (m *nodeMetrics) countRefusal(r outcome.Reason) {
	metrics.GetOrRegisterCounter("requests.refused."+r.String(), m.registry).Inc(1)
}

// recordResponse counts a response by status class and records its latency.
func (m *nodeMetrics) recordResponse(status int, latency time.Duration) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("requests.answered.%dxx", status/100), m.registry).Inc(1)
	m.latency.Update(latency.Microseconds())
}

// serveMetrics updates the gauges and writes all metrics in text form.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	now := n.now()
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.cfg.Metrics).Update(value) }
	gauge("gate.running", int64(n.gate.Running()))
	gauge("gate.queued", int64(n.gate.Queued()))
	gauge("gate.limit", int64(n.gate.Limit()))
	n.updateOriginMetrics()
	metrics.GetOrRegisterGaugeFloat64("gate.rate_limit", n.cfg.Metrics).Update(n.gate.RateLimit())
	gauge("upstream.cold.left_ms", n.tracker.ColdLeft(now).Milliseconds())
	n.updateCapacityMetrics(now)
	gauge("roster.nodes", int64(n.roster.Len(now)))
	gauge("store.reader_rank", int64(n.roster.ReaderRank()))
	gauge("declaration.age_ms", n.roster.DeclarationAge(now).Milliseconds())
	gauge("upstream.announced_ms", n.tracker.Age(now).Milliseconds())
	n.mu.Unlock()
	n.limits.updateGauges()
	gauge("requests.open", n.openRequests.Load())
	gauge("store.read_open_ms", n.since(&n.readBegan).Milliseconds())
	gauge("store.answered_ms", n.since(&n.storeAnswered).Milliseconds())
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	var text bytes.Buffer
	metricstext.Write(&text, n.cfg.Metrics)
	if _, err := w.Write(text.Bytes()); err != nil {
		n.metrics.brokenResponses.Inc(1)
	}
}
