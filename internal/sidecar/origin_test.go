package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"

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
