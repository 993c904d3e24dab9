package pressure

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// offered is the load of one origin at one level.
type offered struct {
	origin          string
	level           Level
	perSecond, work float64
	fanout          float64
}

// meterWith returns a meter that has got the load for some seconds, and the time.
func meterWith(byOrigin bool, load ...offered) (*Meter, time.Duration) {
	m := NewMeter()
	due := make([]float64, len(load))
	now := time.Duration(0)
	for ; now < 6*time.Second; now += time.Millisecond {
		for i, o := range load {
			for due[i] += o.perSecond / 1000; due[i] >= 1; due[i]-- {
				m.RecordArrival(now, o.level, true, 1)
				m.RecordLatency(o.level, true, time.Duration(o.work*float64(time.Second)))
				if byOrigin {
					m.RecordOrigin(now, o.level, o.origin, o.fanout, 1)
					m.RecordOriginLatency(o.origin, time.Duration(o.work*float64(time.Second)))
				}
			}
		}
	}
	return m, now
}

// Where a level has one origin, nothing may change: neither the cut nor what is reported.
func TestOneOriginKeepsTheCut(t *testing.T) {
	load := []offered{{"submit", 0, 400, 0.05, 4}, {"view", 1, 2000, 0.05, 8}, {"list", 2, 100, 0.01, 1}}
	plain, now := meterWith(false, load...)
	counted, _ := meterWith(true, load...)
	if got, want := counted.Cut(now, 100, 0), plain.Cut(now, 100, 0); got != want || want == OpenCut {
		t.Errorf("cut is %v with origins and %v without, want the same and not open", got, want)
	}
	if cut, ok := counted.OriginCut("web", "view"); ok {
		t.Errorf("the only origin of its level has a cut of its own: %v", cut)
	}
}

// The shares of a level must follow the costs, use the slots that the level has, and leave each
// origin its floor, also if a cost is forged. No less important level may be ahead.
func TestLevelIsDividedByCost(t *testing.T) {
	for _, c := range []struct {
		name            string
		dear, cheap     float64 // fanout
		least, greatest float64 // share of the dear origin
	}{
		{"eight calls and one", 8, 1, 0.4, 0.65},
		{"about the same", 1.05, 1, 0.5, 0.68},
		{"absurd number", math.Inf(1), 1, 0.35, 0.65},
		{"not a number", math.NaN(), 1, 0.4, 0.68},
	} {
		m, now := meterWith(true, offered{"submit", 0, 400, 0.05, 4}, offered{"dear", 1, 1200, 0.05, c.dear},
			offered{"cheap", 1, 200, 0.05, c.cheap}, offered{"bulk", 2, 50, 0.01, 1})
		cut := m.Cut(now, 65, 0)
		dearCut, ok := m.OriginCut("web", "dear")
		cheapCut, _ := m.OriginCut("web", "cheap")
		dear, cheap := dearCut.Cut, cheapCut.Cut
		if dearCut.Divided(0) || !dearCut.Divided(1) || !dearCut.Divided(2) || dearCut.Divided(3) {
			t.Errorf("%s: levels %d to %d are divided, want 1 and the cheap level 2", c.name, dearCut.First, dearCut.Last)
		}
		if !ok || dear.Share(1) < c.least || dear.Share(1) > c.greatest || cheap.Share(1) < dear.Share(1)-0.05 {
			t.Errorf("%s: cuts are %v and %v of %v", c.name, dear, cheap, cut)
		}
		if dear.Share(1) < min(originFloor, lowShareFloor)*cut.Share(1) {
			t.Errorf("%s: share %.2f of %.2f is below the floor", c.name, dear.Share(1), cut.Share(1))
		}
		used, want := 60*dear.Share(1)+10*cheap.Share(1)+0.5*dear.Share(2), 70.5*cut.Share(1)
		if math.Abs(used-want) > 0.03*want {
			t.Errorf("%s: %.1f slots are used, want %.1f", c.name, used, want)
		}
		if dear.Share(2) > min(dear.Share(1), cheap.Share(1))+1e-6 || dear.Share(0) != 1 {
			t.Errorf("%s: the order of the levels is not kept: %v, %v", c.name, dear, cheap)
		}
	}
}

// Thousands of routes may be declared: the origins tracked must be bounded, and one with much
// demand must be tracked although others came first.
func TestTrackedOriginsAreBounded(t *testing.T) {
	m := NewMeter()
	for i := range 5000 {
		now := time.Duration(i) * 2 * time.Millisecond
		m.RecordOrigin(now, 1, fmt.Sprint("route", i), 1, 1)
		for range 3 {
			m.RecordOrigin(now, 1, "busy", 1, 1)
			m.RecordOriginLatency("busy", 50*time.Millisecond)
		}
	}
	if len(m.origins) > maxOrigins || m.origins["busy"] == nil || m.Cost("busy") == 0 {
		t.Errorf("%d origins are tracked, want at most %d and the busy one among them", len(m.origins), maxOrigins)
	}
}

// The cut of an origin must give way to that of its target once responses no longer carry it,
// as those of an old node, or once no response comes. The entries must be bounded.
func TestOriginCutsLapse(t *testing.T) {
	for _, silent := range []bool{false, true} {
		ct, now := NewCutTable(), time.Duration(0)
		feed := Target{"stock", "feed"}
		observe := func(known bool) {
			now += 10 * time.Millisecond
			ct.Observe(now, feed, CutAt(1.5))
			if known || !silent {
				ct.ObserveOrigin(now, feed, "view", OriginCut{Cut: CutAt(1.2), Service: "stock", Cost: 0.4}, known)
			}
		}
		for range 100 {
			observe(true)
		}
		if got := ct.OriginCut(now, feed, "view"); got.Cut.Distance(CutAt(1.2)) > 0.01 || got.Service != "stock" || got.Cost != 0.4 {
			t.Errorf("the cut of the origin is %+v", got)
		}
		if got := ct.OriginCut(now, feed, "other"); got.Cut.Distance(CutAt(1.5)) > 0.01 || got.Service != "" {
			t.Errorf("the cut of another origin is %+v, want that of the target", got)
		}
		for range 400 {
			observe(false)
		}
		if got := ct.OriginCut(now, feed, "view"); got.Cut.Distance(CutAt(1.5)) > 0.01 || ct.HasOrigins() {
			t.Errorf("silent %v: the cut of the origin is %+v after 4 s, want that of the target", silent, got)
		}
		for i := range 3 * maxOriginCuts {
			ct.ObserveOrigin(now, feed, fmt.Sprint(i), OriginCut{Cut: CutAt(1)}, true)
		}
		if len(ct.origins) > maxOriginCuts {
			t.Errorf("%d cuts of origins are held, want at most %d", len(ct.origins), maxOriginCuts)
		}
	}
}

// The cost of an origin needs the number of calls over the whole call graph: two calls of one
// call each of four calls each are eight. A parent on a route that is not tracked counts as one
// with one call.
func TestFanoutOverTheCallGraph(t *testing.T) {
	g := NewCallGraph()
	q := &Request{Route: "view", Origin: "view", Fanout: 1}
	for hop, calls := range []int{2, 1, 4} {
		target := Target{"service", fmt.Sprint(hop)}
		for range 500 {
			g.RequestStarted(0, q.Route)
			for range calls {
				g.RecordCall(0, q.Route, target)
			}
			g.RequestEnded(0, q.Route)
		}
		q = &Request{Route: target.Route, Origin: q.Origin, Fanout: g.CallFanout(q, target)}
	}
	if q.Fanout < 7.9 || q.Fanout > 8 {
		t.Errorf("%.2f calls are made for each entry request, want 8", q.Fanout)
	}
	if got := g.CallFanout(&Request{Route: "other", Fanout: 2}, Target{"service", "0"}); got != 2 {
		t.Errorf("a call of a route that is not tracked has the fanout %v, want that of its parent", got)
	}
}
