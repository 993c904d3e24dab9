package pressure

import (
	"fmt"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// A workspace that sends seven times its usual traffic must not take the place of others of the
// same rate, and together they must be admitted the share of the route. Without declared rates
// all count the same, and one with a higher rate gets more.
func TestWorkspacesShareFairly(t *testing.T) {
	for _, c := range []struct {
		name                    string
		rate, declared          [3]float64
		least, greatest, others float64
	}{
		{"flood", [3]float64{70, 10, 20}, [3]float64{10, 10, 20}, 0.24, 0.34, 0.97},
		{"flood without declared rates", [3]float64{70, 10, 20}, [3]float64{}, 0.24, 0.34, 0.97},
		{"alike", [3]float64{30, 30, 40}, [3]float64{30, 30, 40}, 0.47, 0.53, 0.47},
		{"large within its rate", [3]float64{80, 10, 10}, [3]float64{160, 20, 20}, 0.47, 0.53, 0.47},
		{"floor", [3]float64{1000, 10, 10}, [3]float64{1, 100, 100}, 0.45, 0.55, 0.9},
	} {
		f, target := NewFair(), Target{"stock", "feed"}
		var due, requests, admitted, shares [3]float64
		for now := time.Duration(0); now < 8*time.Second; now += time.Millisecond {
			for i := range due {
				for due[i] += c.rate[i] / 1000; due[i] >= 1; due[i]-- {
					share := f.Share(now, target, 6, 0.5, mesh.Workspace(fmt.Sprint(i)), c.declared[i])
					if now > 4*time.Second {
						requests[i], admitted[i] = requests[i]+1, admitted[i]+share
						shares[i] = admitted[i] / requests[i]
					}
				}
			}
		}
		if total := (admitted[0] + admitted[1] + admitted[2]) / (requests[0] + requests[1] + requests[2]); total < 0.47 || total > 0.53 {
			t.Errorf("%s: %.2f of all requests are admitted, want 0.5", c.name, total)
		}
		if shares[0] < c.least || shares[0] > c.greatest || shares[1] < c.others || shares[2] < c.others {
			t.Errorf("%s: the workspaces get the shares %.2f", c.name, shares)
		}
		for i := range 1000 {
			f.Share(9*time.Second, target, 6, 0.5, mesh.Workspace(fmt.Sprint("w", i)), 0)
			f.Share(9*time.Second, Target{"stock", fmt.Sprint(i)}, 6, 0.5, "0", 0)
		}
		if g := f.groups[returnKey{target, 6}]; len(g.workspaces) > maxFairWorkspaces || len(f.groups) > maxFairGroups {
			t.Errorf("%d workspaces in one of %d groups are held", len(g.workspaces), len(f.groups))
		}
	}
}
