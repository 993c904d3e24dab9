package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// shares returns the shares of 6,000 requests that the nodes get, without any response.
func shares(rates ...float64) []float64 {
	t := New(Config{Seed: 3, DataCentre: "dc"})
	members := make([]mesh.Member, len(rates))
	for i := range members {
		members[i] = mesh.Member{Node: mesh.NodeID{Host: mesh.Host(fmt.Sprint("h", i)), Incarnation: 1}, DataCentre: "dc", Service: "s"}
	}
	t.SetMembers(0, "s", members)
	for i, rate := range rates {
		t.SetRate(members[i].Node, rate)
	}
	got := make([]float64, len(rates))
	for range 6000 {
		m, _ := t.PickForLatency(time.Second, Request{Service: "s", Route: "r"})
		for i := range members {
			if members[i] == m {
				got[i] += 1.0 / 6000
			}
		}
	}
	return got
}

// An entry node without any response must place requests by the rates that the nodes tell,
// so that a fleet whose entry nodes restart does not overload slow upstreams. A rate that is
// not a number, infinite or not told by one upstream must count as the mean, and one that
// is far from the others within bounds.
func TestPlacementByRecords(t *testing.T) {
	for _, test := range []struct{ rates, want []float64 }{
		{[]float64{50, 100, 150}, []float64{1. / 6, 2. / 6, 3. / 6}},
		{[]float64{100, 100, math.NaN(), math.Inf(1)}, []float64{.25, .25, .25, .25}},
		{[]float64{100, 100, 100, 0}, []float64{.25, .25, .25, .25}},
		{[]float64{100, 100, 100, 1}, []float64{.31, .31, .31, .08}},
	} {
		got := shares(test.rates...)
		for i := range got {
			if math.Abs(got[i]-test.want[i]) > 0.03 {
				t.Errorf("rates %v: shares %.2f, want %.2f", test.rates, got, test.want)
				break
			}
		}
	}
}

// While most nodes are of an earlier version, which tells no capacity, the choice must stay
// that by latency.
func TestFewRatesAreTold(t *testing.T) {
	without, with := shares(0, 0, 0, 0, 0), shares(900, 10, 0, 0, 0)
	if fmt.Sprint(without) != fmt.Sprint(with) {
		t.Errorf("shares %.2f with two of five rates, want %.2f as without any", with, without)
	}
}

// Nodes that get more of the long routes must not count as slow.
func TestSpeedByRoute(t *testing.T) {
	table := New(Config{Seed: 3, DataCentre: "dc"})
	fast := mesh.Member{Node: mesh.NodeID{Host: "fast", Incarnation: 1}, DataCentre: "dc", Service: "s"}
	slow := mesh.Member{Node: mesh.NodeID{Host: "slow", Incarnation: 1}, DataCentre: "dc", Service: "s"}
	table.SetMembers(0, "s", []mesh.Member{fast, slow})
	for i := range 2000 {
		m, route, latency := fast, "long", 300*time.Millisecond // 9 of 10 requests of the fast node are long, 1 of 10 of the slow one's
		if i%2 == 1 {
			m, latency = slow, 600*time.Millisecond
		}
		if (i/2%10 == 0) == (m == fast) {
			route, latency = "short", latency/10
		}
		table.RecordSent(0, m.Node)
		table.RecordEnd(time.Duration(i)*time.Millisecond, m.Node, Sample{Result: OK, Route: route, Latency: latency, Report: Report{Limit: 10, UsualLatency: latency}})
	}
	if ratio := table.nodes[fast.Node].capacity.speed / table.nodes[slow.Node].capacity.speed; ratio < 1.9 || ratio > 2.1 {
		t.Errorf("the speeds differ by a factor of %.2f, want 2", ratio)
	}
}
