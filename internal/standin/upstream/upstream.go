// Package upstream is a stand-in for the upstreams that the platform provides.
// It overloads, starts cold, sheds, drains, lies and fails like a real one, so
// that tests and experiments can state what the nodes around it must achieve.
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

// MarkerHeader carries a marker that a test gives to a customer action, so that
// the executions of the action can be counted.
const MarkerHeader = "Idempotency-Marker"

// maxHistory bounds the load samples that are kept for reports that lag.
const maxHistory = 1 << 14

// Config configures a stand-in upstream.
type Config struct {
	Service     mesh.Service
	Slots       int // calls that run at the same time
	Connections int // announced
	Queue       int // calls that wait for a slot inside the upstream; more are shed
	// Service time: the median, multiplied by exp(Spread × normal variate).
	Median time.Duration
	Spread float64
	// Cold start: service times are ColdFactor times longer at first and fall
	// linearly to normal over ColdFor.
	ColdFor    time.Duration
	ColdFactor float64
	Downstream []Call
	AnswerSize int           // bytes; 0 means a short text
	Node       string        // URL of the local listener of its node, or empty
	Announce   time.Duration // interval; 0 means one second
	LoadLag    time.Duration // age of the reported calls in flight
	Seed       uint64
	Name       string // shown in answers
	Listen     string // address for Main
	// Observe receives each marked call as it arrives and again, with executed
	// set, when its work has been carried through; nil means no observer.
	Observe func(marker string, executed bool)
}

// Call is a downstream call that every call of this upstream makes.
type Call struct {
	Service mesh.Service
	Path    string
	Method  string // empty: GET
	Count   int    // calls per parent, one after the other; 0 means 1
	Retries int    // tries of its own after a failure
}

// Faults can be switched while the upstream serves.
type Faults struct {
	Slow      float64       // factor on service times; 0 means 1
	Truncate       bool          // answers end before their announced length
	CutChunks bool          // chunked answers are aborted
	Late      time.Duration // answers come this much after the work is done
	FailFast  bool          // 500 at once, without running
	Shed    bool          // 503 with ShedHeader, without running
	Frozen    bool          // announced load stays as it was
	LieIdle   bool          // announces no load, and readiness, whatever is true
}

// Upstream is the stand-in. It is an http.Handler.
type Upstream struct {
	cfg    Config
	start  time.Time
	slots  chan struct{}
	client *http.Client

	mu      sync.Mutex
	rand    *rand.Rand
	faults  Faults
	running int
	waiting int
	drain   bool
	counts  Counts
	actions map[string]int
	history []loadSample
}

// Counts are totals since the start.
type Counts struct {
	Received   int64 `json:"received"`
	Executions int64 `json:"executions"` // work that was carried through
	Abandoned  int64 `json:"abandoned"`  // cancelled or past the deadline while running
	Shed       int64 `json:"shed"`
	Expired    int64 `json:"expired"` // deadline passed before a slot was free
	Failed     int64 `json:"failed"`  // downstream failures and FailFast
	KeysSeen   int64 `json:"keys_seen"`
	MaxRunning int   `json:"max_running"`
}

type loadSample struct {
	at      time.Time
	running int
}

// New returns a stand-in that starts cold now.
func New(cfg Config) *Upstream {
	if cfg.Slots < 1 {
		cfg.Slots = 1
	}
	if cfg.ColdFactor < 1 {
		cfg.ColdFactor = 1
	}
	return &Upstream{
		cfg:     cfg,
		start:   time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(cfg.Slots, 16), DisableCompression: true}},
		rand:    rand.New(rand.NewPCG(cfg.Seed, mesh.RendezvousScore(cfg.Name, mesh.NodeID{}))),
		actions: map[string]int{},
	}
}

// SetFaults replaces the switched faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Drain makes the upstream announce that it is leaving. Calls still run.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drain = true
}

// Counts returns the totals.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Executions returns how often each marked action was carried through.
func (u *Upstream) Executions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.actions))
	for marker, n := range u.actions {
		out[marker] = n
	}
	return out
}

// ServeHTTP serves calls on every path but /health, /load and /counts.
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
	faults := u.arrive(r)
	if faults.FailFast {
		u.count(func(c *Counts) { c.Failed++ })
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	if faults.Shed || !u.enter(ctx) {
		u.refuse(ctx, w)
		return
	}
	defer u.leave()
	body, err := u.drainBody(r)
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
	u.executed(r.Header.Get(MarkerHeader))
	time.Sleep(faults.Late)
	u.answer(w, r, faults, body)
}

// arrive counts the call and looks for a caller's key in it.
func (u *Upstream) arrive(r *http.Request) Faults {
	seen := containsKey(r)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Received++
	if seen {
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

func (u *Upstream) executed(marker string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Executions++
	if marker != "" {
		u.actions[marker]++
	}
	u.observe(marker, true)
}

func (u *Upstream) observe(marker string, executed bool) {
	if u.cfg.Observe != nil && marker != "" {
		u.cfg.Observe(marker, executed)
	}
}

// enter waits for a slot in the internal queue, first in first out. The result
// is false if the queue is full or the caller gave up.
func (u *Upstream) enter(ctx context.Context) bool {
	if !u.queue() {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		u.occupy(1, -1)
		return true
	case <-ctx.Done():
		u.occupy(0, -1)
		return false
	}
}

func (u *Upstream) queue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting+u.running >= u.cfg.Slots+u.cfg.Queue {
		return false
	}
	u.waiting++
	return true
}

func (u *Upstream) leave() {
	u.occupy(-1, 0)
	<-u.slots // last, or the next call is counted before this one has left
}

// occupy changes the number of running and waiting calls and remembers the
// former for reports that lag.
func (u *Upstream) occupy(running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += running
	u.waiting += waiting
	u.counts.MaxRunning = max(u.counts.MaxRunning, u.running)
	if u.cfg.LoadLag > 0 && running != 0 && !u.faults.Frozen {
		if len(u.history) >= maxHistory {
			u.history = append(u.history[:0], u.history[maxHistory/2:]...)
		}
		u.history = append(u.history, loadSample{time.Now(), u.running})
	}
}

// refuse sheds a call that has not run.
func (u *Upstream) refuse(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() != nil {
		u.count(func(c *Counts) { c.Expired++ })
	} else {
		u.count(func(c *Counts) { c.Shed++ })
	}
	w.Header().Set(engine.ShedHeader, "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// serviceTime draws from the seeded distribution.
func (u *Upstream) serviceTime(f Faults) time.Duration {
	u.mu.Lock()
	variate := u.rand.NormFloat64()
	u.mu.Unlock()
	d := float64(u.cfg.Median) * lognormal(u.cfg.Spread, variate)
	if f.Slow > 0 {
		d *= f.Slow
	}
	if age := time.Since(u.start); age < u.cfg.ColdFor {
		left := 1 - float64(age)/float64(u.cfg.ColdFor)
		d *= 1 + (u.cfg.ColdFactor-1)*left
	}
	return time.Duration(d)
}
