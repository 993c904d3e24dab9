package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = time.Second

// runner is the state of one run.
type runner struct {
	cfg      Config
	start    time.Time
	slots    chan struct{}
	inFlight atomic.Int64
	arrivals atomic.Uint64
	requests sync.WaitGroup
	lines    [][]*recorder // by workspace and route
	tickets  []*ticketPool // by workspace
}

// arrival is one request that is due.
type arrival struct {
	workspace, route int
	at               time.Time // intended start
	random           *rand.Rand
	number           uint64 // among the requests of the run
}

// Run generates the load and waits for the last answer. It fails for an invalid
// config; failed requests are results. Cancellation of ctx ends the arrivals and
// the requests under way, which count as failed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if err := cfg.check(); err != nil {
		return Result{}, err
	}
	r := newRunner(cfg)
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { r.report(done) })
	var generators sync.WaitGroup
	for i := range r.cfg.Workspaces {
		generators.Go(func() { r.generate(ctx, i) })
	}
	generators.Wait()
	r.requests.Wait()
	close(done)
	watcher.Wait()
	if own, ok := r.cfg.Transport.(*http.Transport); ok && cfg.Transport == nil {
		own.CloseIdleConnections()
	}
	return r.result(), nil
}

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg.withDefaults(), start: time.Now()}
	r.slots = make(chan struct{}, r.cfg.MaxInFlight)
	for _, w := range r.cfg.Workspaces {
		lines := make([]*recorder, len(w.Routes))
		for i := range lines {
			lines[i] = newRecorder()
		}
		r.lines = append(r.lines, lines)
		r.tickets = append(r.tickets, &ticketPool{})
	}
	return r
}

// generate starts the requests of one workspace. The times and routes depend on
// the seed alone; a late wake-up starts what is due and skips nothing.
func (r *runner) generate(ctx context.Context, workspace int) {
	w := &r.cfg.Workspaces[workspace]
	if w.Rate == 0 {
		return
	}
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(workspace)))
	weights := cumulativeWeights(w.Routes)
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second))
		if offset >= r.cfg.Duration {
			return
		}
		a := arrival{
			workspace: workspace,
			route:     pick(weights, random.Float64()),
			at:        r.start.Add(offset),
			random:    rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		}
		if !sleepUntil(ctx, a.at) {
			return
		}
		r.launch(ctx, a)
	}
}

// launch starts the request, or counts it as dropped if no slot is free.
func (r *runner) launch(ctx context.Context, a arrival) {
	line := r.lines[a.workspace][a.route]
	line.arrived()
	a.number = r.arrivals.Add(1)
	select {
	case r.slots <- struct{}{}:
	default:
		line.ended(ending{kind: dropped}, 0)
		r.reportEnd(a, ending{kind: dropped}, 0)
		return
	}
	r.inFlight.Add(1)
	r.requests.Go(func() {
		r.perform(ctx, a, line)
		r.inFlight.Add(-1)
		<-r.slots
	})
}

func cumulativeWeights(routes []Route) []float64 {
	sums := make([]float64, len(routes))
	sum := 0.0
	for i, route := range routes {
		weight := route.Weight
		if weight == 0 {
			weight = 1
		}
		sum += weight
		sums[i] = sum
	}
	return sums
}

// pick returns the index whose part of the weights contains u in [0, 1).
func pick(cumulative []float64, u float64) int {
	point := u * cumulative[len(cumulative)-1]
	for i, sum := range cumulative {
		if point < sum {
			return i
		}
	}
	return len(cumulative) - 1
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) report(done <-chan struct{}) {
	if r.cfg.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.progress()
		case <-done:
			r.progress()
			return
		}
	}
}

func (r *runner) progress() {
	var counts Counts
	for _, lines := range r.lines {
		for _, line := range lines {
			counts.add(line.snapshot())
		}
	}
	r.cfg.Progress(Progress{Elapsed: time.Since(r.start), Counts: counts, InFlight: int(r.inFlight.Load())})
}
