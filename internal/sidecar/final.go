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
	// retryLeast and retrySpread place the return of refused callers, as parts of
	// the target latency, so that they do not come back together.
	retryLeast      = 0.2
	retrySpread     = 0.3
	leastRetryAfter = 50 * time.Millisecond
)

// refuse ends the request with an answer of this node. The status promises that
// the request has not run only if that is known.
func (c *call) refuse(r outcome.Refusal) {
	n := c.n
	c.logRefusal(r)
	if c.charged && r.Execution == outcome.NotRun {
		n.mu.Lock()
		n.ledger.Refund(n.now(), c.workspace.Name)
		n.mu.Unlock()
	}
	status := c.status(r)
	h := c.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if r.RetryAfter <= 0 {
			r.RetryAfter = c.returnAfter()
		}
		h["Retry-After"] = []string{strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	h[outcome.Header] = []string{r.HeaderValue()}
	if c.r.Method != http.MethodGet && c.body == nil && c.r.ContentLength != 0 {
		h["Connection"] = []string{"close"} // the rest of the body is not read
	}
	h["Content-Type"] = []string{"text/plain"}
	body := r.Reason.String() + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	c.w.WriteHeader(status)
	if _, err := c.w.Write([]byte(body)); err != nil {
		n.metrics.brokenAnswers.Inc(1)
	}
}

// status returns the status of an answer of this node.
func (c *call) status(r outcome.Refusal) int {
	switch r.Reason {
	case outcome.KeyMissing, outcome.KeyInvalid, outcome.NoRoute, outcome.BadRequest, outcome.TooLarge, outcome.OverRate:
		return r.Reason.Status()
	}
	switch {
	case r.Execution == outcome.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// returnAfter is when a refused caller should come back: in time for an answer
// within the target of its route, and not together with the others.
func (c *call) returnAfter() time.Duration {
	target := time.Second
	if c.route != nil && c.route.Target > 0 {
		target = c.route.Target
	}
	share := retryLeast + retrySpread*drawOf(c.id+"r")
	return max(time.Duration(share*float64(target)), leastRetryAfter)
}

func (c *call) fields() []any {
	f := []any{"request", c.id, "service", c.service, "rank", c.level, "inner", c.inner,
		"ms", (c.n.now() - c.arrived).Milliseconds(), "attempts", c.attempts, "nodes", c.peers}
	if c.route != nil {
		f = append(f, "route", c.route.Name, "deadline_ms", (c.deadline - c.arrived).Milliseconds())
	}
	if c.workspace != nil {
		f = append(f, "workspace", c.workspace.Name)
	}
	if c.catalog != nil {
		f = append(f, "declaration", c.catalog.Version)
	}
	return f
}

func (c *call) logRefusal(r outcome.Refusal) {
	kind := eventlog.Refused
	if r.Execution != outcome.NotRun {
		kind = eventlog.Failed
	}
	c.n.metrics.refused(r.Reason)
	if c.n.cfg.Log.Enabled(kind) {
		c.n.cfg.Log.Write(kind, "request refused", append(c.fields(), "execution", r.Execution.String(), "reason", r.Reason.String(),
			"decided_by", r.Node, "detail", r.Detail)...)
	}
}

func (c *call) logAnswer(a *attempt, err error) {
	n := c.n
	n.metrics.answered(a.answer.StatusCode, n.now()-c.arrived)
	kind := eventlog.Served
	if err != nil || a.answer.StatusCode >= http.StatusInternalServerError {
		kind = eventlog.Failed
	}
	if n.cfg.Log.Enabled(kind) {
		n.cfg.Log.Write(kind, "request answered", append(c.fields(), "status", a.answer.StatusCode, "err", err)...)
	}
}

// nodeMetrics are the counters and histograms of a node.
type nodeMetrics struct {
	registry                                                                     metrics.Registry
	upstreamConnections, upstreamFailures, upstreamSheds, brokenAnswers, repeats metrics.Counter
	storeFailures, badDeclarations                                               metrics.Counter
	declaration                                                                  metrics.Gauge
	latency, queueTime                                                           metrics.Histogram
}

const (
	sampleSize  = 512
	sampleAlpha = 0.015 // weights the last five minutes, as the library suggests
)

func newNodeMetrics(r metrics.Registry) *nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &nodeMetrics{
		registry:            r,
		upstreamConnections: counter("upstream.connections.opened"),
		upstreamFailures:    counter("upstream.failures"),
		upstreamSheds:       counter("upstream.sheds"),
		brokenAnswers:       counter("answers.broken"),
		repeats:             counter("attempts.repeated"),
		storeFailures:       counter("store.failures"),
		badDeclarations:     counter("declarations.refused"),
		declaration:         metrics.GetOrRegisterGauge("declaration.version", r),
		latency:             histogram("requests.latency_us"),
		queueTime:           histogram("queue.wait_us"),
	}
}

func (m *nodeMetrics) refused(r outcome.Reason) {
	metrics.GetOrRegisterCounter("requests.refused."+r.String(), m.registry).Inc(1)
}

func (m *nodeMetrics) answered(status int, latency time.Duration) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("requests.answered.%dxx", status/100), m.registry).Inc(1)
	m.latency.Update(latency.Microseconds())
}

// serveMetrics writes all metrics as text.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	now := n.now()
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.cfg.Metrics).Update(value) }
	gauge("gate.running", int64(n.gate.Running()))
	gauge("gate.queued", int64(n.gate.Queued()))
	gauge("gate.limit", int64(n.gate.Limit()))
	gauge("roster.nodes", int64(n.roster.Len()))
	gauge("upstream.announced_ms", n.tracker.Age(now).Milliseconds())
	n.mu.Unlock()
	gauge("requests.open", n.open.Load())
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	var text bytes.Buffer
	metricstext.Write(&text, n.cfg.Metrics)
	if _, err := w.Write(text.Bytes()); err != nil {
		n.metrics.brokenAnswers.Inc(1)
	}
}
