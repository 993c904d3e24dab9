package pressure_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/slots"
)

// replay simulates, in virtual time and without a network, the load of a day on which a
// service deep in the call graph was short (docs/specification-uneven-load.md, part 5). Callers
// send requests of several kinds to an entry node. Some of them call the short service, which
// has four upstreams, several times one after the other; another kind runs there itself.
// Callers that are refused come back after the time that they are told.
type replay struct {
	random   *rand.Rand
	now      time.Duration
	events   map[int64][]func() // by the millisecond in which they run
	kinds    []*kind
	byCost   bool // the cut depends on the origin
	books    bool // refused callers come back when there is room, and cheap requests wait longer
	insist   bool // callers come back after a third of the time left if they are told a longer time
	entry    *pressure.CutTable
	returns  *pressure.Returns
	callers  *pressure.CutTable // at the service that calls the short one
	deep     []*deepNode
	nextID   uint64
	refusals int // answers that told a caller to come back
	finished int // requests that were not served in the end
}

type deepNode struct {
	meter   *pressure.Meter
	gate    *slots.Gate
	cut     pressure.Cut
	waiting map[uint64]func(run bool) // calls in the queue of the gate
}

// kind is one entry route.
type kind struct {
	name      string
	level     pressure.Level
	perSecond float64
	ownWork   time.Duration
	calls     int           // at the short service
	direct    time.Duration // work of a request that runs at the short service itself
	requested int
	served    int
}

func (k *kind) share() float64 { return float64(k.served) / float64(k.requested) }

const (
	deepSlots    = 153
	deepUpstream = 4
	callWork     = 62 * time.Millisecond  // of one call: 55 ms, and slower on a busy upstream
	timeout      = 2 * time.Second        // that a caller waits in all
	directTarget = 480 * time.Millisecond // latency of a request that runs at the short service
	maxReturns   = 3                      // a caller comes back so many times
)

var above, short = pressure.Target{Service: "forms", Route: "any"}, pressure.Target{Service: "store", Route: "read"}

func newReplay(byCost, books bool) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(7, 8)), events: map[int64][]func(){}, byCost: byCost, books: books,
		entry: pressure.NewCutTable(), returns: pressure.NewReturns(), callers: pressure.NewCutTable(),
		kinds: []*kind{
			{name: "form-view", level: 6, perSecond: 717, ownWork: 190 * time.Millisecond, calls: 8},
			{name: "submit-response", level: 4, perSecond: 292, ownWork: 100 * time.Millisecond, calls: 4},
			{name: "send-invites", level: 6, perSecond: 86, direct: 150 * time.Millisecond},
			{name: "results-export", level: 6, perSecond: 74, ownWork: 300 * time.Millisecond},
		},
	}
	for range deepUpstream {
		d := &deepNode{meter: pressure.NewMeter(), gate: slots.New(), cut: pressure.OpenCut, waiting: map[uint64]func(bool){}}
		d.gate.SetSlots(deepSlots)
		r.deep = append(r.deep, d)
	}
	return r
}

func (r *replay) after(d time.Duration, f func()) {
	ms := max((r.now + d).Milliseconds(), r.now.Milliseconds()+1)
	r.events[ms] = append(r.events[ms], f)
}

// traffic is the factor by which the traffic differs from its mean: a wave of 17 s, two bursts,
// and for some seconds a workspace with several times its usual traffic.
func traffic(now time.Duration) float64 {
	s := now.Seconds()
	f := 1 + 0.55*math.Sin(2*math.Pi*s/17)
	if s > 5 && s < 8 || s > 19 && s < 22 {
		f *= 1.7
	}
	if s > 10 && s < 18 {
		f *= 1.3
	}
	return f
}

func (r *replay) run(length time.Duration) {
	for ; r.now < length; r.now += time.Millisecond {
		for _, k := range r.kinds {
			for p := k.perSecond * traffic(r.now) / 1000; r.random.Float64() < p; p-- {
				k.requested++
				r.arrive(k, r.now+timeout, 0)
			}
		}
		if r.now%(50*time.Millisecond) == 0 {
			for _, d := range r.deep {
				d.cut = d.meter.Cut(r.now, d.gate.Capacity(), d.gate.Queued())
				r.dispatch(d)
			}
		}
		ms := r.now.Milliseconds()
		for len(r.events[ms]) > 0 {
			f := r.events[ms][0]
			r.events[ms] = r.events[ms][1:]
			f()
		}
		delete(r.events, ms)
	}
}

// attempt describes an attempt of a caller.
func (r *replay) attempt(k *kind, deadline time.Duration) (a pressure.Attempt, cut pressure.OriginCut) {
	target := pressure.Target{Service: above.Service, Route: k.name}
	cut = r.entry.OriginCut(r.now, target, k.name)
	return pressure.Attempt{Target: target, Level: k.level, Share: cut.Cut.Share(k.level), Fair: cut.Cut.Share(k.level), Left: deadline - r.now, Draw: r.random.Float64()}, cut
}

// arrive simulates an attempt of a caller, who waits until the deadline.
func (r *replay) arrive(k *kind, deadline time.Duration, returns int) {
	a, cut := r.attempt(k, deadline)
	admitted := a.Draw < a.Share
	if r.books && cut.Service != "" {
		admitted = r.returns.Admits(r.now, a)
	}
	if !admitted {
		r.refuse(k, deadline, returns)
		return
	}
	target, began := a.Target, r.now
	weight := 1 / a.Share
	if k.direct > 0 {
		wait := directTarget / 8
		if r.books {
			wait = max(wait, cut.LongestWait(directTarget))
		}
		r.call(k, weight, k.direct, r.now+wait, deadline, false, 1, nil, func(ok bool, d *deepNode) {
			r.observe(r.entry, target, k, d)
			if !ok {
				r.refuse(k, deadline, returns)
				return
			}
			r.serve(k, target, began)
		})
		return
	}
	r.after(k.ownWork, func() {
		r.callInTurn(k, weight, k.calls, deadline, func(ok bool) {
			if k.calls > 0 {
				cut := r.callers.OriginCut(r.now, short, k.name)
				r.entry.Observe(r.now, target, r.callers.Cut(r.now, short))
				r.entry.ObserveOrigin(r.now, target, k.name, cut, cut.Service != "")
			}
			if ok && r.now < deadline {
				r.serve(k, target, began)
			} else {
				r.finished++ // it may have run
			}
		})
	})
}

func (r *replay) serve(k *kind, t pressure.Target, began time.Duration) {
	k.served++
	r.returns.RecordAnswer(r.now, t, k.level, r.now-began)
}

// refuse answers that the request did not run. The caller comes back if enough time is left.
func (r *replay) refuse(k *kind, deadline time.Duration, returns int) {
	r.refusals++
	a, cut := r.attempt(k, deadline)
	delay := time.Duration((0.2 + 0.3*a.Draw) * float64(time.Second))
	if r.books && cut.Service != "" {
		delay, _ = r.returns.Delay(r.now, a)
	}
	if r.insist {
		delay = min(delay, a.Left/3)
	}
	if returns >= maxReturns || delay > a.Left/3 {
		r.finished++
		return
	}
	r.after(delay, func() { r.arrive(k, deadline, returns+1) })
}

// callInTurn makes the remaining calls of a request one after the other.
func (r *replay) callInTurn(k *kind, weight float64, remaining int, deadline time.Duration, done func(ok bool)) {
	if remaining == 0 || r.now >= deadline {
		done(remaining == 0)
		return
	}
	r.call(k, weight, callWork, 0, deadline, true, float64(k.calls), nil, func(ok bool, d *deepNode) {
		r.observe(r.callers, short, k, d)
		if !ok {
			done(false)
			return
		}
		r.callInTurn(k, weight, remaining-1, deadline, done)
	})
}

func (r *replay) observe(table *pressure.CutTable, t pressure.Target, k *kind, d *deepNode) {
	table.Observe(r.now, t, d.cut)
	if r.byCost {
		cut, ok := d.meter.OriginCut(k.name)
		table.ObserveOrigin(r.now, t, k.name, pressure.OriginCut{Cut: cut, Service: short.Service, Cost: d.meter.Cost(k.name)}, ok)
	}
}

// call sends a call to one upstream of the short service and, if it is refused, to a second
// and a third one.
func (r *replay) call(k *kind, weight float64, work, latest, deadline time.Duration, nested bool, fanout float64, tried []int, done func(ok bool, d *deepNode)) {
	i := r.random.IntN(deepUpstream)
	for _, t := range tried {
		if t == i {
			i = (i + 1) % deepUpstream
		}
	}
	d := r.deep[i]
	d.meter.RecordArrival(r.now, k.level, nested, weight)
	if r.byCost {
		d.meter.RecordOrigin(r.now, k.level, k.name, fanout, weight)
	}
	maxWait := max(latest-r.now, 0)
	if nested {
		maxWait = time.Duration(0.6 * float64(deadline-r.now))
	}
	r.nextID++
	id := r.nextID
	decide := func(run bool) {
		if !run {
			if len(tried) < 2 {
				r.call(k, weight, work, latest, deadline, nested, fanout, append(tried, i), done)
			} else {
				done(false, d)
			}
			return
		}
		r.after(work, func() {
			d.meter.RecordLatency(k.level, nested, work)
			d.meter.RecordOriginLatency(k.name, work)
			d.gate.Done(work, true)
			done(true, d)
			r.dispatch(d)
		})
	}
	verdict, _ := d.gate.Arrive(r.now, slots.Request{ID: id, Level: k.level, Nested: nested || r.books && d.meter.QueuesAsNested(k.name, k.level), LatestStart: r.now + maxWait, Deadline: deadline})
	if verdict != slots.Wait {
		decide(verdict == slots.Run)
		return
	}
	d.waiting[id] = decide
	r.after(maxWait, func() {
		if d.waiting[id] != nil && d.gate.Cancel(id) {
			delete(d.waiting, id)
			decide(false)
		}
	})
}

func (r *replay) dispatch(d *deepNode) {
	for {
		decision, ok := d.gate.Next(r.now)
		if !ok {
			return
		}
		decide := d.waiting[decision.ID]
		delete(d.waiting, decision.ID)
		decide(decision.Verdict == slots.Run)
	}
}

// A request that runs once at a short service must not be refused more often than one of the
// same level that makes eight calls there, and callers must not be told to come back only to be
// refused again. The order of the levels alone is the baseline.
func TestCheapOriginsAreAdmittedFirst(t *testing.T) {
	const formView, submit, invites = 0, 1, 2
	run := func(r *replay) *replay {
		r.run(34 * time.Second)
		t.Logf("by cost %v, returns booked %v, insisting %v: served %.3f %.3f %.3f %.3f, %d answers 503, %d requests not served", r.byCost, r.books, r.insist,
			r.kinds[0].share(), r.kinds[1].share(), r.kinds[2].share(), r.kinds[3].share(), r.refusals, r.finished)
		return r
	}
	before, byCost, after := run(newReplay(false, false)), run(newReplay(true, false)), run(newReplay(true, true))
	insisting := newReplay(true, true)
	insisting.insist = true
	for _, r := range []*replay{byCost, after, run(insisting)} {
		if gain := r.kinds[invites].share() - before.kinds[invites].share(); gain < 0.08 {
			t.Errorf("the cheap requests are served %.3f more often, want at least 0.08", gain)
		}
		// All cheap requests need as many slots as 0.036 of those with eight calls.
		if loss := before.kinds[formView].share() - r.kinds[formView].share(); loss > 0.036 {
			t.Errorf("the expensive requests are served %.3f less often, want at most 0.036", loss)
		}
		if loss := before.kinds[submit].share() - r.kinds[submit].share(); loss > 0.005 {
			t.Errorf("the more important requests are served %.3f less often", loss)
		}
	}
	if share := after.kinds[invites].share(); share < 0.65 {
		t.Errorf("the cheap requests are served %.3f, want at least 0.65", share)
	}
	if after.refusals > 2*after.finished {
		t.Errorf("%d answers 503 for %d requests that are not served, want at most two for each", after.refusals, after.finished)
	}
}
