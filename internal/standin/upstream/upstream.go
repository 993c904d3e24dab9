// Package upstream is a stand-in for the upstreams that the platform provides.
// Like a real upstream, it can be overloaded, start cold, shed calls, drain, report a
// wrong state and fail, so that tests and experiments can check how nodes handle this.
package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
)

// MarkerHeader carries a marker that a test assigns to a caller's call, so that the
// executions of that call can be counted. Its downstream calls carry the same marker.
const MarkerHeader = "Idempotency-Marker"

// maxLoadHistory bounds the load samples that are kept for LoadReportDelay.
const maxLoadHistory = 1 << 14

// Config configures a stand-in upstream.
type Config struct {
	Service     mesh.Service
	Slots       int // calls that can run concurrently
	Connections int // connections that the upstream accepts, as announced to the node
	Queue       int // calls that can wait for a slot inside the upstream; further calls are shed
	// The service time is lognormal: Median × exp(Spread × standard normal variate).
	Median time.Duration
	Spread float64
	// After the start, service times are multiplied by a factor that falls linearly
	// from ColdFactor to 1 within ColdFor.
	ColdFor          time.Duration
	ColdFactor       float64
	Downstream       []Call
	AnswerSize       int           // bytes; 0 means a short text
	Node             string        // URL of the local listener of the node; empty means no node
	AnnounceInterval time.Duration // 0 means one second
	LoadReportDelay  time.Duration // age of the reported calls in flight
	Seed             uint64
	Name             string // sent in the X-Upstream header of answers
	Listen           string // address to listen on, for Run
	// Observe is called when a call with a marker arrives and again, with executed
	// set, when its execution has completed. It runs under the upstream's lock. nil
	// means no observer.
	Observe func(marker string, executed bool)
}

// Call is a downstream call that every call of this upstream makes.
type Call struct {
	Service mesh.Service
	Path    string
	Method  string // empty: GET
	Count   int    // sequential calls per parent call; 0 means 1
	Retries int    // by the upstream, per call
}

// Faults are the injected faults. They can be changed while the upstream serves.
type Faults struct {
	SlowFactor      float64       // factor on service times; 0 means 1
	Truncate        bool          // the connection is aborted before Content-Length bytes of the answer were sent
	TruncateChunked bool          // the connection is aborted in the middle of a chunked answer
	AnswerDelay     time.Duration // time between the end of the execution and the answer
	FailFast        bool          // answers 500 immediately, without execution
	Shed            bool          // answers 503 with ShedHeader, without execution
	FreezeLoad      bool          // the load reported with LoadReportDelay no longer changes
	ReportIdle      bool          // announces that the upstream is ready and has no load, whatever its state
}

// Upstream is a stand-in upstream. It implements http.Handler.
type Upstream struct {
	cfg    Config
	start  time.Time
	slots  chan struct{}
	client *http.Client

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	running     int
	waiting     int
	draining    bool
	counts      Counts
	executions  map[string]int // completed, by marker
	loadHistory []loadSample
}

// Counts holds totals since the start.
type Counts struct {
	Received   int64 `json:"received"`    // calls that arrived
	Executions int64 `json:"executions"`  // completed executions
	Abandoned  int64 `json:"abandoned"`   // cancelled, past the deadline, or body incomplete, during execution
	Shed       int64 `json:"shed"`        // queue full, or by the Shed fault
	Expired    int64 `json:"expired"`     // deadline passed or call cancelled before a slot was free
	Failed     int64 `json:"failed"`      // by a downstream failure or FailFast
	KeysSeen   int64 `json:"keys_seen"`   // calls and trailers with what may be a caller's key
	MaxRunning int   `json:"max_running"` // highest number of calls in slots at once
}

type loadSample struct {
	at      time.Time
	running int
}

// New returns a stand-in whose cold start begins now.
func New(cfg Config) *Upstream {
	if cfg.Slots < 1 {
		cfg.Slots = 1
	}
	if cfg.ColdFactor < 1 {
		cfg.ColdFactor = 1
	}
	return &Upstream{
		cfg:        cfg,
		start:      time.Now(),
		slots:      make(chan struct{}, cfg.Slots),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(cfg.Slots, 16), DisableCompression: true}},
		random:     rand.New(rand.NewPCG(cfg.Seed, mesh.RendezvousScore(cfg.Name, mesh.NodeID{}))), // the score serves as a hash of the name
		executions: map[string]int{},
	}
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Drain makes the upstream announce that it is draining. It still executes calls.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Counts returns the totals.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Executions returns the number of completed executions by marker.
func (u *Upstream) Executions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.executions))
	for marker, n := range u.executions {
		out[marker] = n
	}
	return out
}

// ServeHTTP serves /health, /load and /counts, and calls on all other paths.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		u.serveHealth(w)
	case "/load":
		writeJSON(w, u.report())
	case "/counts":
		writeJSON(w, u.Counts())
	default:
		u.serveCall(w, r)
	}
}

func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	faults := u.recordArrival(r)
	if faults.FailFast {
		u.count(func(c *Counts) { c.Failed++ })
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if faults.Shed || !u.acquireSlot(ctx) {
		u.shed(ctx, w)
		return
	}
	defer u.releaseSlot()
	received, err := u.readBody(r)
	if err != nil {
		u.count(func(c *Counts) { c.Abandoned++ })
		return
	}
	if !sleep(ctx, u.serviceTime(faults)) {
		u.count(func(c *Counts) { c.Abandoned++ })
		http.Error(w, "deadline passed while running", http.StatusGatewayTimeout)
		return
	}
	if err := u.callDownstream(ctx, r.Header); err != nil {
		u.count(func(c *Counts) { c.Failed++ })
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	u.recordExecution(r.Header.Get(MarkerHeader))
	time.Sleep(faults.AnswerDelay)
	u.writeAnswer(w, r, faults, received)
}

// recordArrival counts the call and checks it for a caller's key. It returns the current faults.
func (u *Upstream) recordArrival(r *http.Request) Faults {
	hasKey := containsKey(r)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Received++
	if hasKey {
		u.counts.KeysSeen++
	}
	u.observe(r.Header.Get(MarkerHeader), false)
	return u.faults
}

func (u *Upstream) count(f func(*Counts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(&u.counts)
}

func (u *Upstream) recordExecution(marker string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Executions++
	if marker != "" {
		u.executions[marker]++
	}
	u.observe(marker, true)
}

func (u *Upstream) observe(marker string, executed bool) {
	if u.cfg.Observe != nil && marker != "" {
		u.cfg.Observe(marker, executed)
	}
}

// acquireSlot waits for a slot in the internal queue, first in, first out. It returns
// false if the queue is full or ctx ends.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	if !u.joinQueue() {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		u.updateLoad(1, -1)
		return true
	case <-ctx.Done():
		u.updateLoad(0, -1)
		return false
	}
}

// joinQueue counts a call as waiting. It returns false if the queue is full.
func (u *Upstream) joinQueue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting+u.running >= u.cfg.Slots+u.cfg.Queue {
		return false
	}
	u.waiting++
	return true
}

func (u *Upstream) releaseSlot() {
	u.updateLoad(-1, 0)
	<-u.slots // last, so that the next call is not counted before this one is removed
}

// updateLoad adds to the numbers of running and waiting calls. It keeps the number of
// running calls for LoadReportDelay.
func (u *Upstream) updateLoad(runningDelta, waitingDelta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += runningDelta
	u.waiting += waitingDelta
	u.counts.MaxRunning = max(u.counts.MaxRunning, u.running)
	if u.cfg.LoadReportDelay > 0 && runningDelta != 0 && !u.faults.FreezeLoad {
		if len(u.loadHistory) >= maxLoadHistory {
			u.loadHistory = append(u.loadHistory[:0], u.loadHistory[maxLoadHistory/2:]...)
		}
		u.loadHistory = append(u.loadHistory, loadSample{time.Now(), u.running})
	}
}

// shed answers a call that did not get a slot or that the Shed fault affects.
func (u *Upstream) shed(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() != nil {
		u.count(func(c *Counts) { c.Expired++ })
	} else {
		u.count(func(c *Counts) { c.Shed++ })
	}
	w.Header().Set(engine.ShedHeader, "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// serviceTime draws a service time from the seeded distribution and applies slowdowns.
func (u *Upstream) serviceTime(f Faults) time.Duration {
	u.mu.Lock()
	variate := u.random.NormFloat64()
	u.mu.Unlock()
	d := float64(u.cfg.Median) * lognormal(u.cfg.Spread, variate)
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if age := time.Since(u.start); age < u.cfg.ColdFor {
		coldFraction := 1 - float64(age)/float64(u.cfg.ColdFor)
		d *= 1 + (u.cfg.ColdFactor-1)*coldFraction
	}
	return time.Duration(d)
}
