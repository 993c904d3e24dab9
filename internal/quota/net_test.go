package quota

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cardamomhatch/internal/mesh"
)

const ws = mesh.Workspace("w")

type event struct {
	at  time.Duration
	seq int
	run func()
}

// cluster simulates several ledgers on a lossy network in virtual time. Each process has
// its own clock, which starts at zero and runs up to 0.5 % fast or slow.
type cluster struct {
	rng    *rand.Rand
	now    time.Duration
	events []event
	seq    int
	procs  []*proc

	loss, duplicate float64
	delay, jitter   time.Duration
	tick            time.Duration
	partitioned     func(from, to int) bool

	limit    Limit
	shares   []Share
	uses     []time.Duration
	messages int
	asks     int
	results  map[Result]int
	check    func() // called after every event; may be nil
}

type proc struct {
	f         *cluster
	i         int
	id        mesh.NodeID
	ledger    *Limiter
	start     time.Duration
	clockRate float64
	paused    bool
	dead      bool
	nextID    mesh.CallID
	engine    *testEngine // nil if the test has no log
}

func newCluster(seed uint64, n int, limit Limit) *cluster {
	f := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, results: map[Result]int{},
		delay: 1500 * time.Microsecond, jitter: time.Millisecond, tick: 5 * time.Millisecond,
	}
	for i := range n {
		f.procs = append(f.procs, &proc{f: f, i: i})
		f.start(i, 1)
	}
	return f
}

func (f *cluster) start(i int, inc mesh.Incarnation) {
	p := &proc{f: f, i: i, start: f.now, clockRate: 1 + (f.rng.Float64()-0.5)/100}
	p.id = mesh.NodeID{Host: mesh.Host(fmt.Sprintf("h%02d", i)), Incarnation: inc}
	p.ledger = New(p.id, Config{Seed: f.rng.Uint64()})
	p.ledger.SetLimits(p.clock(), []Limit{f.limit})
	p.ledger.SetShares(p.clock(), ws, f.shares)
	f.procs[i].dead = true
	f.procs[i] = p
	p.ticker()
}

func (p *proc) clock() time.Duration {
	return time.Duration(float64(p.f.now-p.start) * p.clockRate)
}

func (f *cluster) after(d time.Duration, run func()) {
	f.seq++
	e := event{f.now + d, f.seq, run}
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at > e.at })
	f.events = append(f.events, event{})
	copy(f.events[i+1:], f.events[i:])
	f.events[i] = e
}

func (f *cluster) runTo(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= end {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
		if f.check != nil {
			f.check()
		}
	}
	f.now = end
}

func (p *proc) ticker() {
	p.f.after(p.f.tick, func() {
		if p.dead {
			return
		}
		if !p.paused {
			out := p.engine.tick(p, nil)
			p.emit(p.ledger.Tick(p.clock(), out))
		}
		p.ticker()
	})
}

// emit records the ledger's decisions and sends its messages after those in out.
func (p *proc) emit(out []mesh.Envelope) {
	for _, s := range p.ledger.Decisions() {
		p.decided(s.Result)
	}
	for _, e := range p.ledger.Outgoing(p.clock(), out) {
		p.f.send(p, e)
	}
}

func (p *proc) decided(r Result) {
	p.f.results[r]++
	if r == Taken {
		p.f.uses = append(p.f.uses, p.f.now)
	}
}

func (f *cluster) send(p *proc, e mesh.Envelope) {
	f.messages++
	if _, ask := e.Message.(Ask); ask {
		f.asks++
	}
	copies := 1
	if f.rng.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		if f.rng.Float64() < f.loss {
			continue
		}
		d := f.delay + time.Duration(f.rng.Int64N(int64(f.jitter)+1))
		f.after(d, func() { f.arrive(p.i, e) })
	}
}

func (f *cluster) arrive(from int, e mesh.Envelope) {
	for _, q := range f.procs {
		if q.id != e.To || q.dead || f.partitioned != nil && f.partitioned(from, q.i) {
			continue
		}
		if q.paused {
			f.after(10*time.Millisecond, func() { f.arrive(from, e) })
			continue
		}
		out := q.engine.deliver(q, e, nil)
		q.emit(q.ledger.Deliver(q.clock(), e.From, e.Message, out))
	}
}

func (p *proc) call() {
	p.nextID++
	p.engine.refresh(p)
	r := p.ledger.Take(p.clock(), ws, p.nextID)
	if r != Waiting {
		p.decided(r)
	}
	p.emit(nil)
}

func (f *cluster) assign(s ...Share) {
	f.shares = s
	for _, p := range f.procs {
		p.ledger.SetShares(p.clock(), ws, s)
	}
}

// assignInitial assigns one of count shares to each of the first processes and sets all
// evidence fresh for an hour.
func (f *cluster) assignInitial(count int) {
	var s []Share
	for i := range count {
		s = append(s, Share{Workspace: ws, Index: i, Count: count, Holder: f.procs[i].id, Epoch: 1, First: true})
	}
	f.assign(s...)
	f.setFresh(time.Hour)
}

func (f *cluster) setFresh(d time.Duration) {
	for _, p := range f.procs {
		if !p.dead && !p.paused {
			p.ledger.SetFreshUntil(p.clock() + d)
		}
	}
}

// checkBound asserts that no interval T has more uses than rate x T + burst. A token
// bucket that never refuses tests this exactly: its lowest level is the largest excess.
// The clocks of the simulation run up to 0.5 % fast, so that much is added to the rate.
func checkBound(t testingT, uses []time.Duration, l Limit) {
	t.Helper()
	sort.Slice(uses, func(i, j int) bool { return uses[i] < uses[j] })
	rate, level, last := l.RatePerSecond*1.005, l.Burst, time.Duration(0)
	for _, u := range uses {
		level = min(l.Burst, level+rate*(u-last).Seconds())
		last = u
		if level--; level < -0.001 {
			t.Fatalf("at %v: use exceeds %v/s x T + %v by %.3f calls", u, l.RatePerSecond, l.Burst, -level)
		}
	}
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}
