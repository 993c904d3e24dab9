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
	// The histograms hold microseconds up to five minutes with three digits.
	minLatency    = 1
	maxLatency    = int64(5 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// Counts says how requests ended. Every arrival is counted exactly once among
// InTime, Late, Refused, Failed, Cut and Dropped; of a retried request, the end
// of the last attempt counts.
type Counts struct {
	Arrivals int64            `json:"arrivals"`
	InTime   int64            `json:"in_time"` // answered whole within the timeout
	Late     int64            `json:"late"`    // answered whole after the timeout
	Refused  int64            `json:"refused"` // answered with an outcome header
	Failed   int64            `json:"failed"`  // no answer, or a server error without an outcome
	Truncated      int64            `json:"cut"`     // the answer broke off
	Dropped  int64            `json:"dropped"` // not sent, MaxInFlight reached
	Retries  int64            `json:"retries"`
	Reasons  map[string]int64 `json:"reasons,omitempty"` // of refusals, "execution/reason"
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

// Latency holds percentiles in milliseconds from the intended start.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Summary is the result of a workspace or of one of its routes.
type Summary struct {
	Workspace string  `json:"workspace"`
	Route     string  `json:"route,omitempty"` // "METHOD path"; empty for the workspace as a whole
	Counts    Counts  `json:"counts"`
	Latency   Latency `json:"latency"` // of whole answers
}

// Result is the outcome of a run.
type Result struct {
	Seed           uint64  `json:"seed"`
	ElapsedSeconds float64 `json:"elapsed_s"`
	Total          Summary    `json:"total"`
	Workspaces     []Summary  `json:"workspaces"`
	Routes         []Summary  `json:"routes"`
}

// recorder counts the requests of one route of one workspace.
type recorder struct {
	mu        sync.Mutex
	counts    Counts
	histogram *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

func newRecorder() *recorder { return &recorder{histogram: newHistogram()} }

func (r *recorder) arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Arrivals++
}

func (r *recorder) retried() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Retries++
}

func (r *recorder) ended(end ending, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch end.kind {
	case whole:
		r.answered(end.inTime, latency)
	case refused:
		r.counts.Refused++
		reason := end.refusal.Execution.String() + "/" + end.refusal.Reason.String()
		r.counts.add(Counts{Reasons: map[string]int64{reason: 1}})
	case failed:
		r.counts.Failed++
	case cut:
		r.counts.Truncated++
	case dropped:
		r.counts.Dropped++
	}
}

func (r *recorder) answered(inTime bool, latency time.Duration) {
	if inTime {
		r.counts.InTime++
	} else {
		r.counts.Late++
	}
	// Values are clamped into the histogram's range, so this cannot fail.
	_ = r.histogram.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

func (r *recorder) snapshot() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Reasons = maps.Clone(c.Reasons)
	return c
}

// result sums the lines up after the last request has ended.
func (r *runner) result() Result {
	result := Result{Seed: r.cfg.Seed, ElapsedSeconds: time.Since(r.start).Seconds()}
	total := newRecorder()
	for i, w := range r.cfg.Workspaces {
		sum := newRecorder()
		for j, route := range w.Routes {
			line := r.lines[i][j]
			result.Routes = append(result.Routes, line.line(w.Name, route.Name()))
			sum.merge(line)
		}
		result.Workspaces = append(result.Workspaces, sum.line(w.Name, ""))
		total.merge(sum)
	}
	result.Total = total.line("", "")
	return result
}

func (r *recorder) merge(other *recorder) {
	r.counts.add(other.counts)
	r.histogram.Merge(other.histogram)
}

func (r *recorder) line(workspace, route string) Summary {
	at := func(percentile float64) float64 {
		return float64(r.histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Summary{
		Workspace: workspace,
		Route:     route,
		Counts:    r.snapshot(),
		Latency:   Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)},
	}
}

// WriteJSON writes the result as one indented JSON document.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as tables for people.
func (r Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.1f s, %d arrivals, %d retries\n\n",
		r.Seed, r.ElapsedSeconds, r.Total.Counts.Arrivals, r.Total.Counts.Retries)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tarrivals\tin time\tlate\trefused\tfailed\tcut\tdropped\tp50 ms\tp99 ms\tmax ms\t")
	for _, l := range r.Workspaces {
		l.write(t, l.Workspace)
	}
	for _, l := range r.Routes {
		l.write(t, l.Workspace+" "+l.Route)
	}
	r.Total.write(t, "total")
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

func (l Summary) write(w io.Writer, name string) {
	c := l.Counts
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", name, c.Arrivals, c.InTime, c.Late,
		c.Refused, c.Failed, c.Truncated, c.Dropped, l.Latency.P50, l.Latency.P99, l.Latency.Max)
}
