package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms hold latencies in microseconds, up to five minutes, with three
	// significant digits.
	minLatencyMicros = 1
	maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// Counts holds the number of requests by their end. Every arrival is counted once among
// InTime, Late, Refused, Failed, Truncated and Dropped; of a retried request, the end
// of the last attempt counts.
type Counts struct {
	Arrivals  int64            `json:"arrivals"`
	InTime    int64            `json:"in_time"` // complete answer within the timeout
	Late      int64            `json:"late"`    // complete answer after the timeout
	Refused   int64            `json:"refused"` // answer with an outcome header
	Failed    int64            `json:"failed"`  // no answer, or a server error without an outcome header
	Truncated int64            `json:"cut"`     // connection failed in the middle of the answer
	Dropped   int64            `json:"dropped"` // not sent, MaxInFlight reached
	Retries   int64            `json:"retries"`
	Reasons   map[string]int64 `json:"reasons,omitempty"` // refusals by "execution/reason"
}

func (c *Counts) add(other Counts) {
	c.Arrivals += other.Arrivals
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.Truncated += other.Truncated
	c.Dropped += other.Dropped
	c.Retries += other.Retries
	for reason, n := range other.Reasons {
		if c.Reasons == nil {
			c.Reasons = map[string]int64{}
		}
		c.Reasons[reason] += n
	}
}

// Latency holds latency percentiles in milliseconds, measured from the intended start.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Summary is the result of the run, of a workspace or of one of its routes.
type Summary struct {
	Workspace string  `json:"workspace"`
	Route     string  `json:"route,omitempty"` // "METHOD path"; empty for a whole workspace
	Counts    Counts  `json:"counts"`
	Latency   Latency `json:"latency"` // of complete answers
}

// Result holds the summaries of a run: the total, each workspace, and each route of each
// workspace.
type Result struct {
	Seed           uint64    `json:"seed"`
	ElapsedSeconds float64   `json:"elapsed_s"`
	Total          Summary   `json:"total"`
	Workspaces     []Summary `json:"workspaces"`
	Routes         []Summary `json:"routes"`
}

// recorder counts the requests of one route of one workspace.
type recorder struct {
	mu        sync.Mutex
	counts    Counts
	histogram *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

func newRecorder() *recorder { return &recorder{histogram: newHistogram()} }

func (r *recorder) recordArrival() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Arrivals++
}

func (r *recorder) recordRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Retries++
}

func (r *recorder) recordEnd(result attemptResult, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result.kind {
	case complete:
		r.recordAnswer(result.inTime, latency)
	case refused:
		r.counts.Refused++
		reason := result.refusal.Execution.String() + "/" + result.refusal.Reason.String()
		r.counts.add(Counts{Reasons: map[string]int64{reason: 1}})
	case failed:
		r.counts.Failed++
	case truncated:
		r.counts.Truncated++
	case dropped:
		r.counts.Dropped++
	}
}

func (r *recorder) recordAnswer(inTime bool, latency time.Duration) {
	if inTime {
		r.counts.InTime++
	} else {
		r.counts.Late++
	}
	// The value is clamped to the histogram's range, so this cannot fail.
	_ = r.histogram.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (r *recorder) snapshot() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Reasons = maps.Clone(c.Reasons)
	return c
}

// result sums up the recorders. It is called after the last request has ended.
func (r *runner) result() Result {
	result := Result{Seed: r.cfg.Seed, ElapsedSeconds: time.Since(r.start).Seconds()}
	total := newRecorder()
	for i, w := range r.cfg.Workspaces {
		sum := newRecorder()
		for j, route := range w.Routes {
			rec := r.recorders[i][j]
			result.Routes = append(result.Routes, rec.summary(w.Name, route.Name()))
			sum.merge(rec)
		}
		result.Workspaces = append(result.Workspaces, sum.summary(w.Name, ""))
		total.merge(sum)
	}
	result.Total = total.summary("", "")
	return result
}

func (r *recorder) merge(other *recorder) {
	r.counts.add(other.counts)
	r.histogram.Merge(other.histogram)
}

func (r *recorder) summary(workspace, route string) Summary {
	milliseconds := func(percentile float64) float64 {
		return float64(r.histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Summary{
		Workspace: workspace,
		Route:     route,
		Counts:    r.snapshot(),
		Latency:   Latency{P50: milliseconds(50), P90: milliseconds(90), P99: milliseconds(99), P999: milliseconds(99.9), Max: milliseconds(100)},
	}
}

// WriteJSON writes the result as one indented JSON document.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as a human-readable table.
func (r Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.1f s, %d arrivals, %d retries\n\n",
		r.Seed, r.ElapsedSeconds, r.Total.Counts.Arrivals, r.Total.Counts.Retries)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tarrivals\tin time\tlate\trefused\tfailed\tcut\tdropped\tp50 ms\tp99 ms\tmax ms\t")
	for _, s := range r.Workspaces {
		s.writeRow(t, s.Workspace)
	}
	for _, s := range r.Routes {
		s.writeRow(t, s.Workspace+" "+s.Route)
	}
	r.Total.writeRow(t, "total")
	if err := t.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Total.Counts.Reasons)) {
		if _, err := fmt.Fprintf(w, "refused %s: %d\n", reason, r.Total.Counts.Reasons[reason]); err != nil {
			return err
		}
	}
	return nil
}

func (s Summary) writeRow(w io.Writer, name string) {
	c := s.Counts
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", name, c.Arrivals, c.InTime, c.Late,
		c.Refused, c.Failed, c.Truncated, c.Dropped, s.Latency.P50, s.Latency.P99, s.Latency.Max)
}
