// Package policymodel is a discrete-event simulation of a chain of admission
// controllers: clients, one controller per layer, and a fake upstream behind each. It
// shows the effect of a policy change within seconds and without noise, before an
// experiment on real nodes. Equal seeds give equal figures.
package policymodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/mesh"
)

const (
	ms              = time.Millisecond
	hopDelay        = ms // one-way network delay between two layers
	binSize         = 100 * ms
	causeStart      = 3 * time.Second // start of the disturbance, called the cause
	defaultCauseEnd = 7 * time.Second // end of the cause unless the scenario sets another
	runEnd          = 12 * time.Second
	actionTimeout   = 500 * ms // deadline of an action, from its start
)

// classMix and workspaceMix are the shares of the classes and of the workspaces in the
// user requests.
var (
	classMix       = [mesh.NumClasses]float64{0.1, 0.2, 0.4, 0.3}
	workspaceMix   = [...]float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}
	workspaceNames = [len(workspaceMix)]mesh.Workspace{"a", "b", "c", "d", "e", "f", "g", "h"}
)

// Layer describes one service of a chain. A call occupies one of the upstream's slots
// for its service time and while it waits for the next layer.
type Layer struct {
	slots       int
	serviceTime time.Duration // mean, without the next layer
}

// Scenario describes the demand and how the cause changes it or the services.
type Scenario struct {
	Name              string
	utilisation       float64                       // demand without the cause, relative to the capacity
	surgeFactor       float64                       // factor on the demand during the cause
	greedyFactor      float64                       // factor on the demand of one workspace during the cause
	slowFactor        func(t time.Duration) float64 // factor on the last layer's service time during the cause
	slotFactor        func(t time.Duration) float64 // factor on the last layer's slots during the cause
	restarts          bool                          // the last layer restarts when the cause begins
	retries           int                           // by the client, per user request; only during the cause
	sheds             bool                          // upstreams shed calls if all slots are occupied; otherwise they queue them
	slotsUnknown      bool                          // upstreams do not report their slots
	downstreamUnknown bool                          // controllers do not get the downstream time of calls
	causeEndsAt       time.Duration                 // end of the cause; zero means defaultCauseEnd
	shedShare         float64                       // share of the calls that upstreams shed at any load
}

// greedyWorkspace is the index of the workspace to which greedyFactor applies.
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

// action is one attempt of a user request, with the calls that it causes.
type action struct {
	id        mesh.ActionID
	class     mesh.Class
	workspace int
	origin    *action // first action of the same user request
	started   time.Duration
	retries   int  // by the client before this action
	ended     bool // the client has an answer or has given up
	good      bool // set on the origin: one of its actions was answered in time
	calls     map[*modelCall]struct{}
}

// modelCall is one call of an action at a layer.
type modelCall struct {
	id              mesh.CallID
	action          *action
	layer           int
	parent          *modelCall
	sent            time.Duration // when it was sent to the upstream
	downstreamSince time.Duration // when the call of the next layer was sent
	downstream      time.Duration // duration of the call of the next layer
	holdsSlot       bool
	running         bool // admitted by the controller
	ended           bool
	retries         int // of failed calls so far, by this layer and those above it
}

// layerState is the controller of a layer and the upstream behind it.
type layerState struct {
	ctrl    *admission.Controller
	config  Layer
	running int                        // occupied slots of the upstream
	queue   []*modelCall               // calls queued in the upstream
	waiting map[mesh.CallID]*modelCall // calls queued in the controller
}

type model struct {
	sc           Scenario
	policy       admission.Policy
	rng          *rand.Rand
	now          time.Duration
	seq          int // of the last event that was scheduled
	events       events
	layers       []*layerState
	entryCut     mesh.Cut // load-shedding threshold that the entry nodes apply
	nextID       mesh.CallID
	userRequests []*action
	limits       []float64 // limit of the last layer, one per bin
}

func newModel(policy admission.Policy, chain []Layer, sc Scenario, seed uint64) *model {
	m := &model{sc: sc, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), entryCut: mesh.OpenCut}
	for _, l := range chain {
		m.layers = append(m.layers, &layerState{ctrl: m.newController(l), config: l, waiting: map[mesh.CallID]*modelCall{}})
	}
	return m
}

func (m *model) newController(l Layer) *admission.Controller {
	c := admission.New(admission.Config{Policy: m.policy, StaticLimit: l.slots})
	if !m.sc.slotsUnknown {
		c.SetSlots(m.now, l.slots, 0) // 0: the number of connections is not reported
	}
	return c
}

// schedule runs a function after the given delay in virtual time.
func (m *model) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, do})
}

func (m *model) duringCause() bool { return m.now >= causeStart && m.now < m.sc.causeEnd() }

func (sc Scenario) causeEnd() time.Duration {
	if sc.causeEndsAt != 0 {
		return sc.causeEndsAt
	}
	return defaultCauseEnd
}

// serviceTime returns the mean service time of a layer at t. Only the last layer slows
// down.
func (m *model) serviceTime(k int, t time.Duration) time.Duration {
	mean := m.layers[k].config.serviceTime
	if k == len(m.layers)-1 && m.sc.slowFactor != nil && t >= causeStart && t < m.sc.causeEnd() {
		return time.Duration(float64(mean) * m.sc.slowFactor(t))
	}
	return mean
}

// slotsOf returns the number of slots of a layer at t. Only the last layer loses slots.
func (m *model) slotsOf(k int, t time.Duration) int {
	n := m.layers[k].config.slots
	if k == len(m.layers)-1 && m.sc.slotFactor != nil && t >= causeStart && t < m.sc.causeEnd() {
		return int(float64(n) * m.sc.slotFactor(t))
	}
	return n
}

// capacity returns the actions per second that the slots allow at t.
func (m *model) capacity(t time.Duration) float64 {
	lowestRate, holdingTime := 1e12, time.Duration(0)
	for k := len(m.layers) - 1; k >= 0; k-- {
		holdingTime += m.serviceTime(k, t)
		lowestRate = min(lowestRate, float64(m.slotsOf(k, t))/holdingTime.Seconds())
		holdingTime += 2 * hopDelay
	}
	return lowestRate
}

func (m *model) run() {
	m.nextArrival()
	m.tick()
	if m.sc.restarts { // with sequence number 0, the restart comes before all other events of that time
		m.events = append(m.events, event{causeStart, 0, func() { last := m.layers[len(m.layers)-1]; last.ctrl.Restarted(m.now) }})
		heap.Init(&m.events)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > runEnd+time.Second { // the timeouts of all actions have passed
			return
		}
		m.now = e.at
		e.do()
	}
}

// tick runs every 10 ms of virtual time. It dispatches queued calls and sends the tightest
// cut of all layers to the entry nodes, where it takes effect 10 ms later: the time allowed
// for a round trip.
func (m *model) tick() {
	cut := mesh.OpenCut
	for k, layer := range m.layers {
		cut = cut.Tighter(layer.ctrl.Cut(m.now))
		m.dispatch(k)
	}
	m.schedule(10*ms, func() { m.entryCut = cut })
	if m.now%binSize == 0 {
		m.limits = append(m.limits, float64(m.layers[len(m.layers)-1].ctrl.Load(m.now).Limit))
	}
	if m.now < runEnd {
		m.schedule(10*ms, m.tick)
	}
}

// nextArrival starts a user request and schedules the next one as a Poisson process.
func (m *model) nextArrival() {
	if m.now >= runEnd {
		return
	}
	rate := m.sc.utilisation * m.capacity(0)
	mix := workspaceMix
	if m.duringCause() {
		rate *= max(m.sc.surgeFactor, 1)
		if m.sc.greedyFactor > 0 {
			rate *= 1 + mix[greedyWorkspace]*(m.sc.greedyFactor-1)
			mix[greedyWorkspace] *= m.sc.greedyFactor
		}
	}
	a := &action{class: mesh.Class(m.pickWeighted(classMix[:])), workspace: m.pickWeighted(mix[:])}
	a.origin = a
	m.userRequests = append(m.userRequests, a)
	m.submit(a)
	m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), m.nextArrival)
}

func (m *model) pickWeighted(weights []float64) int {
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

// submit sends an action to the entry node, which refuses it if the cut does not admit it.
func (m *model) submit(a *action) {
	a.id = mesh.ActionID(m.rng.Uint64())
	a.started = m.now
	a.calls = map[*modelCall]struct{}{}
	if !m.entryCut.Admits(a.class, a.id) {
		m.completeAction(a, false)
		return
	}
	m.schedule(actionTimeout, func() { m.expire(a) })
	m.schedule(hopDelay, func() { m.arrive(a, 0, nil) })
}

// completeAction ends an action for its client. After a failure during the cause, the
// client may send another one.
func (m *model) completeAction(a *action, ok bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.origin.good = a.origin.good || ok
	if ok || a.retries >= m.sc.retries || !m.duringCause() {
		return
	}
	retry := &action{class: a.class, workspace: a.workspace, origin: a.origin, retries: a.retries + 1}
	m.schedule(20*ms, func() { m.submit(retry) })
}

// expire ends an action at its deadline and cancels its calls. Under PolicyNone the
// calls continue.
func (m *model) expire(a *action) {
	if a.ended {
		return
	}
	m.completeAction(a, false)
	if m.policy == admission.PolicyNone {
		return
	}
	// Sorted by layer, because the random order of the map would make runs with equal seeds
	// differ. Without retries by layers, an action has at most one call per layer.
	calls := make([]*modelCall, len(m.layers))
	for c := range a.calls {
		calls[c.layer] = c
	}
	for _, c := range calls {
		if c == nil {
			continue
		}
		m.layers[c.layer].ctrl.Cancel(m.now, c.id)
		m.release(c)
		m.dispatch(c.layer)
	}
}

// arrive handles the arrival of a call at layer k. parent is the call of the layer above
// that makes it, or nil.
func (m *model) arrive(a *action, k int, parent *modelCall) {
	if a.ended && m.policy != admission.PolicyNone {
		return
	}
	m.nextID++
	c := &modelCall{id: m.nextID, action: a, layer: k, parent: parent}
	if parent != nil {
		c.retries = parent.retries
	}
	a.calls[c] = struct{}{}
	// Resumed: the first layer has already admitted the action.
	r := admission.Request{Call: c.id, Action: a.id, Class: a.class, Workspace: workspaceNames[a.workspace], Deadline: a.started + actionTimeout, Resumed: k > 0}
	switch d, _ := m.layers[k].ctrl.Arrive(m.now, r); d {
	case admission.Run:
		m.startCall(c)
	case admission.Queue:
		m.layers[k].waiting[c.id] = c
	default:
		m.returnResult(c, false)
	}
	m.dispatch(k)
}

// dispatch starts or refuses the queued calls of layer k that the controller releases.
func (m *model) dispatch(k int) {
	layer := m.layers[k]
	for {
		step, ok := layer.ctrl.Next(m.now)
		if !ok {
			return
		}
		c := layer.waiting[step.Call]
		delete(layer.waiting, step.Call)
		if step.Decision == admission.Run {
			m.startCall(c)
		} else {
			m.returnResult(c, false)
		}
	}
}

// startCall sends an admitted call to the upstream, which runs, queues or sheds it.
func (m *model) startCall(c *modelCall) {
	layer := m.layers[c.layer]
	c.sent = m.now
	c.running = true
	full := layer.running >= m.slotsOf(c.layer, m.now)
	if m.sc.shedShare > 0 && m.rng.Float64() < m.sc.shedShare || full && m.sc.sheds {
		m.schedule(hopDelay, func() { m.endCall(c, admission.Shed) })
		return
	}
	if full {
		layer.queue = append(layer.queue, c)
		return
	}
	m.occupySlot(c)
}

// occupySlot runs a call for a random service time: a constant half of the mean plus an
// exponentially distributed half.
func (m *model) occupySlot(c *modelCall) {
	m.layers[c.layer].running++
	c.holdsSlot = true
	service := float64(m.serviceTime(c.layer, m.now)) * (0.5 + 0.5*m.rng.ExpFloat64())
	m.schedule(time.Duration(service), func() { m.serviceDone(c) })
}

func (m *model) serviceDone(c *modelCall) {
	if c.ended {
		return
	}
	if c.layer == len(m.layers)-1 {
		m.endCall(c, admission.OK)
		return
	}
	c.downstreamSince = m.now
	m.schedule(hopDelay, func() { m.arrive(c.action, c.layer+1, c) })
}

// endCall ends a call that ran or was shed by the upstream.
func (m *model) endCall(c *modelCall, r admission.Result) {
	if c.ended {
		return
	}
	s := admission.Sample{Latency: m.now - c.sent, Downstream: c.downstream, Result: r}
	if m.sc.downstreamUnknown {
		s.Downstream = 0
	}
	m.layers[c.layer].ctrl.Done(m.now, c.id, s)
	m.release(c)
	m.dispatch(c.layer)
	m.returnResult(c, r == admission.OK)
}

// release ends a call and gives its slot to calls queued in the upstream.
func (m *model) release(c *modelCall) {
	layer := m.layers[c.layer]
	c.ended = true
	delete(c.action.calls, c)
	delete(layer.waiting, c.id)
	if c.holdsSlot {
		c.holdsSlot = false
		layer.running--
	}
	for len(layer.queue) > 0 && layer.running < m.slotsOf(c.layer, m.now) {
		next := layer.queue[0]
		layer.queue = layer.queue[1:]
		if !next.ended {
			m.occupySlot(next)
		}
	}
}

// returnResult passes the result of a call to its parent or to the client. Under
// PolicyNone every layer retries failed calls, but a layer and those above it make at most
// three retries in total.
func (m *model) returnResult(c *modelCall, ok bool) {
	delete(c.action.calls, c)
	c.ended = true
	m.schedule(hopDelay, func() {
		p := c.parent
		switch {
		case p == nil:
			m.completeAction(c.action, ok)
		case p.ended:
		case !ok && m.policy == admission.PolicyNone && p.retries < 3:
			p.retries++
			m.arrive(c.action, c.layer, p)
		default:
			p.downstream = m.now - p.downstreamSince
			result := admission.OK
			if !ok {
				result = admission.Failed
			}
			m.endCall(p, result)
		}
	})
}
