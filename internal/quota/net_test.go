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

// cluster simulates several limiters on a lossy network in virtual time. Each node has
// its own clock, which starts at zero and runs up to 0.5 % fast or slow.
type cluster struct {
	rng    *rand.Rand
	now    time.Duration
	events []event
	seq    int
	nodes  []*testNode

	loss, duplicate float64 // probability for each message
	delay, jitter   time.Duration
	tick            time.Duration
	partitioned     func(from, to int) bool

	limit    Limit
	shares   []Share
	taken    []time.Duration
	messages int
	asks     int
	results  map[Result]int
	check    func() // called after every event; may be nil
}

type testNode struct {
	cluster    *cluster
	index      int
	id         mesh.NodeID
	limiter    *Limiter
	startedAt  time.Duration
	clockRate  float64
	paused     bool
	dead       bool
	lastCallID mesh.CallID
	engine     *testEngine // nil if the test has no log
}

func newCluster(seed uint64, n int, limit Limit) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, results: map[Result]int{},
		delay: 1500 * time.Microsecond, jitter: time.Millisecond, tick: 5 * time.Millisecond,
	}
	for i := range n {
		c.nodes = append(c.nodes, &testNode{cluster: c, index: i})
		c.startNode(i, 1)
	}
	return c
}

func (c *cluster) startNode(i int, inc mesh.Incarnation) {
	n := &testNode{cluster: c, index: i, startedAt: c.now, clockRate: 1 + (c.rng.Float64()-0.5)/100}
	n.id = mesh.NodeID{Host: mesh.Host(fmt.Sprintf("h%02d", i)), Incarnation: inc}
	n.limiter = New(n.id, Config{Seed: c.rng.Uint64()})
	n.limiter.SetLimits(n.clock(), []Limit{c.limit})
	n.limiter.SetShares(n.clock(), ws, c.shares)
	c.nodes[i].dead = true
	c.nodes[i] = n
	n.scheduleTick()
}

func (n *testNode) clock() time.Duration {
	return time.Duration(float64(n.cluster.now-n.startedAt) * n.clockRate)
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	e := event{c.now + d, c.seq, run}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].at > e.at })
	c.events = append(c.events, event{})
	copy(c.events[i+1:], c.events[i:])
	c.events[i] = e
}

func (c *cluster) runTo(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = e.at
		e.run()
		if c.check != nil {
			c.check()
		}
	}
	c.now = end
}

func (n *testNode) scheduleTick() {
	n.cluster.after(n.cluster.tick, func() {
		if n.dead {
			return
		}
		if !n.paused {
			out := n.engine.tick(n, nil)
			n.emit(n.limiter.Tick(n.clock(), out))
		}
		n.scheduleTick()
	})
}

// emit records the limiter's decisions and sends its messages after those in out.
func (n *testNode) emit(out []mesh.Envelope) {
	for _, d := range n.limiter.Decisions() {
		n.recordResult(d.Result)
	}
	for _, e := range n.limiter.Outgoing(n.clock(), out) {
		n.cluster.send(n, e)
	}
}

func (n *testNode) recordResult(r Result) {
	n.cluster.results[r]++
	if r == Taken {
		n.cluster.taken = append(n.cluster.taken, n.cluster.now)
	}
}

func (c *cluster) send(n *testNode, e mesh.Envelope) {
	c.messages++
	if _, ask := e.Message.(Ask); ask {
		c.asks++
	}
	copies := 1
	if c.rng.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		if c.rng.Float64() < c.loss {
			continue
		}
		d := c.delay + time.Duration(c.rng.Int64N(int64(c.jitter)+1))
		c.after(d, func() { c.arrive(n.index, e) })
	}
}

func (c *cluster) arrive(from int, e mesh.Envelope) {
	for _, receiver := range c.nodes {
		if receiver.id != e.To || receiver.dead || c.partitioned != nil && c.partitioned(from, receiver.index) {
			continue
		}
		if receiver.paused {
			c.after(10*time.Millisecond, func() { c.arrive(from, e) })
			continue
		}
		out := receiver.engine.deliver(receiver, e, nil)
		receiver.emit(receiver.limiter.Deliver(receiver.clock(), e.From, e.Message, out))
	}
}

func (n *testNode) call() {
	n.lastCallID++
	n.engine.updateFreshUntil(n)
	r := n.limiter.Take(n.clock(), ws, n.lastCallID)
	if r != Waiting {
		n.recordResult(r)
	}
	n.emit(nil)
}

func (c *cluster) assign(s ...Share) {
	c.shares = s
	for _, n := range c.nodes {
		n.limiter.SetShares(n.clock(), ws, s)
	}
}

// assignInitial assigns one of count shares to each of the first nodes and sets all
// evidence fresh for an hour.
func (c *cluster) assignInitial(count int) {
	var s []Share
	for i := range count {
		s = append(s, Share{Workspace: ws, Index: i, Count: count, Holder: c.nodes[i].id, Epoch: 1, First: true})
	}
	c.assign(s...)
	c.setFresh(time.Hour)
}

func (c *cluster) setFresh(d time.Duration) {
	for _, n := range c.nodes {
		if !n.dead && !n.paused {
			n.limiter.SetFreshUntil(n.clock() + d)
		}
	}
}

// checkBound asserts that at most rate x T + burst calls were taken in every interval T.
// It passes the calls through a token bucket that never refuses: the bound is exceeded
// exactly when the level falls below zero, and by that much. The clocks of the simulation
// run up to 0.5 % fast, so that much is added to the rate.
func checkBound(t testingT, taken []time.Duration, l Limit) {
	t.Helper()
	sort.Slice(taken, func(i, j int) bool { return taken[i] < taken[j] })
	rate, level, last := l.RatePerSecond*1.005, l.Burst, time.Duration(0)
	for _, at := range taken {
		level = min(l.Burst, level+rate*(at-last).Seconds())
		last = at
		if level--; level < -0.001 {
			t.Fatalf("at %v: calls exceed %v/s x T + %v by %.3f", at, l.RatePerSecond, l.Burst, -level)
		}
	}
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}
