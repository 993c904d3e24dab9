package experiment

import (
	"context"
	"sync"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

// sampleInterval is the time between two samples of the nodes, and the width of a bin
// of the series.
const sampleInterval = 250 * time.Millisecond

// Sample is one bin of the time series of a run.
type Sample struct {
	Second   float64        `json:"t"`                 // start of the bin, in seconds from the start of the run
	Arrivals int            `json:"arrivals"`          // client requests that start in the bin
	InTime   int            `json:"in_time"`           // of these, answered within the deadline
	Refused  map[string]int `json:"refused,omitempty"` // by reason
	// InFlight, Queue and Limit are sums over the nodes of the most loaded service.
	InFlight int `json:"in_flight"`
	Queue    int `json:"queue"`
	Limit    int `json:"limit"`
	// Cut is the mean load-shedding threshold of those nodes, as the number of
	// admitted classes.
	Cut float64 `json:"cut"`
}

// sampler reads the admission state of the nodes periodically during a run.
type sampler struct {
	run     *run
	mu      sync.Mutex
	samples map[int]Sample // by bin
}

func (s *sampler) samplePeriodically(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		s.sample()
	}
}

func (s *sampler) sample() {
	bin := int(s.run.elapsed() / sampleInterval)
	var sum Sample
	s.run.hostsMu.Lock()
	for _, h := range s.run.hosts(s.run.plan.bottleneck()) {
		h.Process.View(func(n *engine.Node) {
			load := n.AdmissionLoad()
			sum.InFlight += load.InFlight
			sum.Queue += load.Queued
			sum.Limit += load.Limit
			sum.Cut += cutLevel(n.AdmissionCut())
		})
	}
	s.run.hostsMu.Unlock()
	sum.Cut /= float64(len(s.run.hosts(s.run.plan.bottleneck())))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples == nil {
		s.samples = map[int]Sample{}
	}
	s.samples[bin] = sum
}

// series merges the results of client requests with the samples of the nodes.
func (r *run) series() []Sample {
	bins := make([]Sample, int(r.phases.End/sampleInterval)+1)
	r.sampler.mu.Lock()
	defer r.sampler.mu.Unlock()
	for i := range bins {
		bins[i] = r.sampler.samples[i]
		bins[i].Second = (time.Duration(i) * sampleInterval).Seconds()
	}
	for _, request := range r.recorder.requests {
		bin := int(request.Start.Sub(r.startTime) / sampleInterval)
		if bin < 0 || bin >= len(bins) {
			continue
		}
		bins[bin].Arrivals++
		switch {
		case request.InTime:
			bins[bin].InTime++
		case request.Kind == load.Refused:
			bins[bin].countRefusal(request.Refusal.Reason.String())
		}
	}
	return bins
}

// cutLevel returns the number of admitted classes; a class that is partly admitted counts
// by its admitted share.
func cutLevel(c mesh.Cut) float64 { return float64(c.Class) + float64(c.Share)/mesh.CutScale }

func (s *Sample) countRefusal(reason string) {
	if s.Refused == nil {
		s.Refused = map[string]int{}
	}
	s.Refused[reason]++
}
