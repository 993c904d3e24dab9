package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cardamomhatch/internal/exchange"
)

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = time.Second

// runner is the state of one run.
type runner struct {
	cfg       Config
	start     time.Time
	slots     chan struct{} // holds one element per request in flight, up to MaxInFlight
	inFlight  atomic.Int64
	arrivals  atomic.Uint64 // number of the last arrival
	requests  sync.WaitGroup
	recorders [][]*recorder // by workspace and route
	tickets   []*ticketPool // by workspace
}

// arrival is one request of the arrival process.
type arrival struct {
	workspace, route int
	at               time.Time  // intended start
	random           *rand.Rand // for targets and retry delays
	number           uint64     // sequence number within the run
}

// Run generates the load and waits until all requests have ended. It returns an error
// only for an invalid config; failed requests are counted in the result. Cancelling ctx
// stops the arrivals and cancels the requests in flight, which count as failed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if err := cfg.check(); err != nil {
		return Result{}, err
	}
	r := newRunner(cfg)
	done := make(chan struct{})
	var progressReporter sync.WaitGroup
	progressReporter.Go(func() { r.reportProgress(done) })
	var generators sync.WaitGroup
	for i := range r.cfg.Workspaces {
		generators.Go(func() { r.generate(ctx, i) })
	}
	generators.Wait()
	r.requests.Wait()
	close(done)
	progressReporter.Wait()
	if transport, ok := r.cfg.Transport.(*exchange.StrictTransport); ok && cfg.Transport == nil {
		transport.CloseIdleConnections()
	}
	return r.result(), nil
}

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg.withDefaults(), start: time.Now()}
	r.slots = make(chan struct{}, r.cfg.MaxInFlight)
	for _, w := range r.cfg.Workspaces {
		recorders := make([]*recorder, len(w.Routes))
		for i := range recorders {
			recorders[i] = newRecorder()
		}
		r.recorders = append(r.recorders, recorders)
		r.tickets = append(r.tickets, &ticketPool{})
	}
	return r
}

// generate starts the requests of one workspace. Their times and routes depend only on
// the config and its seed; after a late wake-up, generate starts all requests that are due.
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
			route:     pickWeighted(weights, random.Float64()),
			at:        r.start.Add(offset),
			random:    rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		}
		if !sleepUntil(ctx, a.at) {
			return
		}
		r.launch(ctx, a)
	}
}

// launch starts a request, or counts it as dropped if MaxInFlight is reached.
func (r *runner) launch(ctx context.Context, a arrival) {
	rec := r.recorders[a.workspace][a.route]
	rec.recordArrival()
	a.number = r.arrivals.Add(1)
	select {
	case r.slots <- struct{}{}:
	default:
		rec.recordEnd(attemptResult{kind: dropped}, 0)
		r.reportRequest(a, attemptResult{kind: dropped}, 0)
		return
	}
	r.inFlight.Add(1)
	r.requests.Go(func() {
		r.perform(ctx, a, rec)
		r.inFlight.Add(-1)
		<-r.slots
	})
}

// cumulativeWeights returns the running sums of the routes' weights.
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

// pickWeighted returns the index whose interval of the normalised cumulative weights
// contains u, with u in [0, 1).
func pickWeighted(cumulative []float64, u float64) int {
	point := u * cumulative[len(cumulative)-1]
	for i, sum := range cumulative {
		if point < sum {
			return i
		}
	}
	return len(cumulative) - 1
}

// sleepUntil waits until t. It returns false if ctx ends first.
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

// reportProgress calls Config.Progress at intervals and once after done is closed.
func (r *runner) reportProgress(done <-chan struct{}) {
	if r.cfg.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.callProgress()
		case <-done:
			r.callProgress()
			return
		}
	}
}

func (r *runner) callProgress() {
	var counts Counts
	for _, recorders := range r.recorders {
		for _, rec := range recorders {
			counts.add(rec.snapshot())
		}
	}
	r.cfg.Progress(Progress{Elapsed: time.Since(r.start), Counts: counts, InFlight: int(r.inFlight.Load())})
}
