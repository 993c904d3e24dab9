// Package policymodel drives a chain of admission controllers in virtual time:
// clients, one controller per layer and a fake upstream behind each. It measures
// what a change of the policy does in seconds and without noise, before an
// experiment on real nodes; equal seeds give equal figures.
package policymodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/mesh"
)

const (
	ms       = time.Millisecond
	hop      = ms
	binSize  = 100 * ms
	from     = 3 * time.Second // start of the cause
	until    = 7 * time.Second // end of the cause
	end      = 12 * time.Second
	patience = 500 * ms // deadline of an action
)

var (
	classMix     = [mesh.NumClasses]float64{0.1, 0.2, 0.4, 0.3}
	workspaceMix = [...]float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}
	names        = [len(workspaceMix)]mesh.Workspace{"a", "b", "c", "d", "e", "f", "g", "h"}
)

// Layer describes one service of a chain. An upstream has slots; a call holds
// one for its own time and while it waits for the next layer.
type Layer struct {
	slots int
	own   time.Duration // mean own time
}

// Scenario changes demand and services during the cause.
type Scenario struct {
	Name     string
	demand   float64 // of the capacity, outside the cause
	surge    float64 // factor on the demand during the cause
	greedy   float64 // factor on the demand of one workspace during the cause
	slow     func(t time.Duration) float64
	slots    func(t time.Duration) float64 // part of the last layer's slots
	cold     bool                          // the last layer restarts when the cause begins
	retries  int                           // new actions that a client sends after a failure
	shed     bool                          // upstreams shed above their slots, else queue
	unknown  bool                          // slots are not reported
	untimed  bool                          // downstream time is not measured
	endsAt   time.Duration                 // end of the cause; zero means until
	rejected float64                       // part of the calls that upstreams shed at any load
}

const greedyWorkspace = 3

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

type action struct {
	id        mesh.ActionID
	class     mesh.Class
	workspace int
	origin    *action // first action of the client's click
	started   time.Duration
	tries     int
	over      bool // ended for the caller
	good      bool // of the origin: some try was answered in time
	live      map[*modelCall]struct{}
}

type modelCall struct {
	id         mesh.CallID
	act        *action
	at         int // layer
	parent     *modelCall
	sent       time.Duration // to the upstream
	downSince  time.Duration
	downstream time.Duration
	working    bool // holds a slot
	running    bool // known to the controller as running
	over       bool
	tries      int
}

type upstream struct {
	ctrl    *admission.Controller
	cfg     Layer
	running int
	fifo    []*modelCall
	waiting map[mesh.CallID]*modelCall
}

type model struct {
	sc     Scenario
	policy admission.Policy
	rng    *rand.Rand
	now    time.Duration
	seq    int
	todo   events
	layers []*upstream
	cuts   mesh.Cut // as the entry nodes know it
	nextID mesh.CallID
	clicks []*action
	limits []float64 // limit of the last layer, one per bin
}

func newModel(policy admission.Policy, chain []Layer, sc Scenario, seed uint64) *model {
	m := &model{sc: sc, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), cuts: mesh.OpenCut}
	for _, l := range chain {
		m.layers = append(m.layers, &upstream{ctrl: m.controller(l), cfg: l, waiting: map[mesh.CallID]*modelCall{}})
	}
	return m
}

func (m *model) controller(l Layer) *admission.Controller {
	c := admission.New(admission.Config{Policy: m.policy, StaticLimit: l.slots})
	if !m.sc.unknown {
		c.SetSlots(m.now, l.slots, 0)
	}
	return c
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.todo, event{m.now + d, m.seq, do})
}

func (m *model) causing() bool { return m.now >= from && m.now < m.sc.end() }

func (sc Scenario) end() time.Duration {
	if sc.endsAt != 0 {
		return sc.endsAt
	}
	return until
}

// own returns the mean own time of a layer; only the last one slows down.
func (m *model) own(k int, t time.Duration) time.Duration {
	own := m.layers[k].cfg.own
	if k == len(m.layers)-1 && m.sc.slow != nil && t >= from && t < m.sc.end() {
		return time.Duration(float64(own) * m.sc.slow(t))
	}
	return own
}

func (m *model) slotsOf(k int, t time.Duration) int {
	n := m.layers[k].cfg.slots
	if k == len(m.layers)-1 && m.sc.slots != nil && t >= from && t < m.sc.end() {
		return int(float64(n) * m.sc.slots(t))
	}
	return n
}

// capacity returns the actions per second that the slots allow.
func (m *model) capacity(t time.Duration) float64 {
	least, total := 1e12, time.Duration(0)
	for k := len(m.layers) - 1; k >= 0; k-- {
		total += m.own(k, t)
		least = min(least, float64(m.slotsOf(k, t))/total.Seconds())
		total += 2 * hop
	}
	return least
}

func (m *model) run() {
	m.arrivals()
	m.tick()
	if m.sc.cold {
		m.todo = append(m.todo, event{from, 0, func() { last := m.layers[len(m.layers)-1]; last.ctrl.Restarted(m.now) }})
		heap.Init(&m.todo)
	}
	for len(m.todo) > 0 {
		e := heap.Pop(&m.todo).(event)
		if e.at > end+time.Second {
			return
		}
		m.now = e.at
		e.do()
	}
}

// tick refreshes the cut at the entry, a round trip late, and the queues.
func (m *model) tick() {
	cut := mesh.OpenCut
	for k, u := range m.layers {
		cut = cut.Tighter(u.ctrl.Cut(m.now))
		m.pump(k)
	}
	m.after(10*ms, func() { m.cuts = cut })
	if m.now%binSize == 0 {
		m.limits = append(m.limits, float64(m.layers[len(m.layers)-1].ctrl.Load(m.now).Limit))
	}
	if m.now < end {
		m.after(10*ms, m.tick)
	}
}

func (m *model) arrivals() {
	if m.now >= end {
		return
	}
	rate := m.sc.demand * m.capacity(0)
	mix := workspaceMix
	if m.causing() {
		rate *= max(m.sc.surge, 1)
		if m.sc.greedy > 0 {
			rate *= 1 + mix[greedyWorkspace]*(m.sc.greedy-1)
			mix[greedyWorkspace] *= m.sc.greedy
		}
	}
	a := &action{class: mesh.Class(m.draw(classMix[:])), workspace: m.draw(mix[:])}
	a.origin = a
	m.clicks = append(m.clicks, a)
	m.submit(a)
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), m.arrivals)
}

func (m *model) draw(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := m.rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (m *model) submit(a *action) {
	a.id = mesh.ActionID(m.rng.Uint64())
	a.started = m.now
	a.live = map[*modelCall]struct{}{}
	if !m.cuts.Admits(a.class, a.id) {
		m.ended(a, false)
		return
	}
	m.after(patience, func() { m.giveUp(a) })
	m.after(hop, func() { m.arrive(a, 0, nil) })
}

// ended closes an action for its client, who may try again.
func (m *model) ended(a *action, ok bool) {
	if a.over {
		return
	}
	a.over = true
	a.origin.good = a.origin.good || ok
	if ok || a.tries >= m.sc.retries || !m.causing() {
		return
	}
	again := &action{class: a.class, workspace: a.workspace, origin: a.origin, tries: a.tries + 1}
	m.after(20*ms, func() { m.submit(again) })
}

// giveUp ends an action at its deadline. Without control the work goes on.
func (m *model) giveUp(a *action) {
	if a.over {
		return
	}
	m.ended(a, false)
	if m.policy == admission.PolicyNone {
		return
	}
	calls := make([]*modelCall, len(m.layers))
	for c := range a.live {
		calls[c.at] = c
	}
	for _, c := range calls {
		if c == nil {
			continue
		}
		m.layers[c.at].ctrl.Cancel(m.now, c.id)
		m.release(c)
		m.pump(c.at)
	}
}

func (m *model) arrive(a *action, k int, parent *modelCall) {
	if a.over && m.policy != admission.PolicyNone {
		return
	}
	m.nextID++
	c := &modelCall{id: m.nextID, act: a, at: k, parent: parent}
	if parent != nil {
		c.tries = parent.tries
	}
	a.live[c] = struct{}{}
	r := admission.Request{Call: c.id, Action: a.id, Class: a.class, Workspace: names[a.workspace], Deadline: a.started + patience, Resumed: k > 0}
	switch d, _ := m.layers[k].ctrl.Arrive(m.now, r); d {
	case admission.Run:
		m.start(c)
	case admission.Queue:
		m.layers[k].waiting[c.id] = c
	default:
		m.finish(c, false)
	}
	m.pump(k)
}

func (m *model) pump(k int) {
	u := m.layers[k]
	for {
		step, ok := u.ctrl.Next(m.now)
		if !ok {
			return
		}
		c := u.waiting[step.Call]
		delete(u.waiting, step.Call)
		if step.Decision == admission.Run {
			m.start(c)
		} else {
			m.finish(c, false)
		}
	}
}

func (m *model) start(c *modelCall) {
	u := m.layers[c.at]
	c.sent = m.now
	c.running = true
	full := u.running >= m.slotsOf(c.at, m.now)
	if m.sc.rejected > 0 && m.rng.Float64() < m.sc.rejected || full && m.sc.shed {
		m.after(hop, func() { m.end(c, admission.Shed) })
		return
	}
	if full {
		u.fifo = append(u.fifo, c)
		return
	}
	m.work(c)
}

func (m *model) work(c *modelCall) {
	m.layers[c.at].running++
	c.working = true
	own := float64(m.own(c.at, m.now)) * (0.5 + 0.5*m.rng.ExpFloat64())
	m.after(time.Duration(own), func() { m.worked(c) })
}

func (m *model) worked(c *modelCall) {
	if c.over {
		return
	}
	if c.at == len(m.layers)-1 {
		m.end(c, admission.OK)
		return
	}
	c.downSince = m.now
	m.after(hop, func() { m.arrive(c.act, c.at+1, c) })
}

// end ends a call that ran.
func (m *model) end(c *modelCall, r admission.Result) {
	if c.over {
		return
	}
	s := admission.Sample{Latency: m.now - c.sent, Downstream: c.downstream, Result: r}
	if m.sc.untimed {
		s.Downstream = 0
	}
	m.layers[c.at].ctrl.Done(m.now, c.id, s)
	m.release(c)
	m.pump(c.at)
	m.finish(c, r == admission.OK)
}

func (m *model) release(c *modelCall) {
	u := m.layers[c.at]
	c.over = true
	delete(c.act.live, c)
	delete(u.waiting, c.id)
	if c.working {
		c.working = false
		u.running--
	}
	for len(u.fifo) > 0 && u.running < m.slotsOf(c.at, m.now) {
		next := u.fifo[0]
		u.fifo = u.fifo[1:]
		if !next.over {
			m.work(next)
		}
	}
}

// finish passes the outcome of a call to its parent or the client. Without
// control every layer retries.
func (m *model) finish(c *modelCall, ok bool) {
	delete(c.act.live, c)
	c.over = true
	m.after(hop, func() {
		p := c.parent
		switch {
		case p == nil:
			m.ended(c.act, ok)
		case p.over:
		case !ok && m.policy == admission.PolicyNone && p.tries < 3:
			p.tries++
			m.arrive(c.act, c.at, p)
		default:
			p.downstream = m.now - p.downSince
			result := admission.OK
			if !ok {
				result = admission.Failed
			}
			m.end(p, result)
		}
	})
}
