package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/routing"
)

// A report with fields of a later version must be read, without those that are not known or
// malformed, and a node that does not ask for named fields must get none: earlier versions
// reject such a report, and with it the cut.
func TestNamedFieldsOfReport(t *testing.T) {
	r := report{Load: routing.Report{InFlight: 1, Limit: 3, UsualLatency: 12 * time.Millisecond, Slowness: 2.5}, Cut: pressure.OpenCut}
	value := r.encode()
	for _, test := range []struct {
		value    string
		usual    time.Duration
		slowness float64
	}{
		{value, 12 * time.Millisecond, 2.5},
		{value + ",cost=a:b,x", 12 * time.Millisecond, 2.5},
		{"1,0,3,0,ff,slow=2.5,cost=1,usual=12000", 12 * time.Millisecond, 2.5},
		{"1,0,3,0,ff,slow=NaN,usual=-1", 0, 0},
		{"1,0,3,0,ff,slow=1e9,usual=99999999999999999999", 0, 0},
		{"1,0,3,0,ff", 0, 0},
	} {
		got, ok := parseReport(http.Header{loadHeader: {test.value}})
		if !ok || got.Load.InFlight != 1 || got.Load.Limit != 3 || got.Load.UsualLatency != test.usual || got.Load.Slowness != test.slowness {
			t.Errorf("%q is parsed as %+v, %v; want usual latency %v and slowness %v", test.value, got.Load, ok, test.usual, test.slowness)
		}
	}
}

// The nodes of upstreams that report their slowness must tell their capacity to the others,
// in records and, if asked, in reports. The nodes of other upstreams must not, and their
// metrics and messages must be as without the feature.
func TestCapacityIsTold(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	for _, h := range []*host{a, b} {
		h.setHandler(func(_ *host, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dialect.Load, "100")
		})
	}
	requests := 0
	eventually(t, "the node beside the third upstream knows the capacities of the others", func() bool {
		requests++
		if r := c.call(fmt.Sprint("r", requests), "GET", "/read/x", "k1", ""); r.status != http.StatusOK {
			t.Fatalf("request: %+v", r)
		}
		c.call(fmt.Sprint("f", requests), "GET", "/feed/x", "", "")
		c.node.mu.Lock()
		defer c.node.mu.Unlock()
		return c.node.table.TellsRate(a.node.cfg.Self.Node) && c.node.table.TellsRate(b.node.cfg.Self.Node)
	})
	if r := a.node.peerReport(&hop{Route: "read"}); strings.Contains(r.encode(), "=") {
		t.Errorf("a peer that does not ask gets the report %q", r.encode())
	}
	if r := a.node.peerReport(&hop{Route: "read", WantsCapacity: true}); r.Load.UsualLatency <= 0 {
		t.Errorf("a peer that asks gets the report %q, want the usual latency", r.encode())
	}
	c.node.mu.Lock()
	self, tells := c.node.roster.Self(), c.node.table.TellsRate(c.node.cfg.Self.Node)
	c.node.updateCapacityMetrics(c.node.now())
	c.node.mu.Unlock()
	if self.Capacity != 0 || tells || c.node.cfg.Metrics.Get("capacity.limit") != nil {
		t.Errorf("an upstream that does not report its slowness has the capacity %v", self.Capacity)
	}
	a.node.mu.Lock()
	a.node.updateCapacityMetrics(a.node.now())
	a.node.mu.Unlock()
	if g, ok := a.node.cfg.Metrics.Get("capacity.limit").(metrics.GaugeFloat64); !ok || g.Value() < 7 || g.Value() > 8 {
		t.Errorf("capacity.limit is %v, want 0.94 of 8", g)
	}
}
