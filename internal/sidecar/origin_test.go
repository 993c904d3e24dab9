package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/pressure"
)

// The line of a request that is refused because of its cost must name the service and the cost,
// and its Retry-After must tell whether room is booked: only then it is a time that the caller
// honours.
func TestRefusalNamesTheCost(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	n := a.node
	refused := 0
	for i := range 20 {
		n.mu.Lock()
		for range 200 { // until the moving average has converged
			target := pressure.Target{Service: "web", Route: "read"}
			n.cuts.Observe(n.now(), target, pressure.CutAt(0.5))
			n.cuts.ObserveOrigin(n.now(), target, "read", pressure.OriginCut{Cut: pressure.CutAt(0.2), Service: "stock", Cost: 0.44}, true)
		}
		n.mu.Unlock()
		id := fmt.Sprint("r", i)
		got := a.call(id, "GET", "/read/1", "k1", "") // has 3 s left
		if got.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatalf("Retry-After is %q", got.header.Get("Retry-After"))
		}
		eventually(t, "the refusal is logged", func() bool {
			for _, line := range a.log.lines() {
				if line["request"] != id {
					continue
				}
				if detail, _ := line["detail"].(string); !strings.Contains(detail, "of read at stock, which takes 0.440 slot seconds") {
					t.Errorf("the detail is %q, want service and cost in it", detail)
				}
				logged, _ := line["retry_ms"].(float64) // rounded down
				if room := line["room"] == true; room != (after <= 1) || math.Abs(logged-after*1000) > 1 {
					t.Errorf("Retry-After is %v s and the line %v", after, line)
				}
				return true
			}
			return false
		})
	}
	if refused == 0 {
		t.Error("no request was refused with a share of 0.2")
	}
}

// A request that runs at the short service itself may wait there for what its target latency
// leaves. With a short target, or without such a cut, the default applies, which refuses early.
func TestWaitFollowsFromTargetAndWork(t *testing.T) {
	n := &Node{started: time.Now()}
	for _, c := range []struct {
		target, want time.Duration
		cost         float64
	}{
		{target: time.Second, cost: 0.15, want: 812500 * time.Microsecond},
		{target: 200 * time.Millisecond, cost: 0.15, want: 25 * time.Millisecond},
		{target: time.Second, cost: 4, want: 125 * time.Millisecond},
	} {
		q := call{node: n, arrived: n.now(), route: &catalog.Route{TargetLatency: c.target}}
		q.longestWait = pressure.OriginCut{Service: "web", Cost: c.cost}.LongestWait(c.target)
		if got := q.waitLimit(2 * time.Second); got > c.want || got < c.want-100*time.Millisecond && got < c.want*9/10 {
			t.Errorf("with target %v and %v s of work, a request waits %v, want %v", c.target, c.cost, got, c.want)
		}
	}
}
