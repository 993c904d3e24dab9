package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	fairInterval = 100 * time.Millisecond // between updates of the shares of workspaces
	fairGain     = 0.1                    // weight of one interval in the mean rates, which cover about a second
	// fairFloor is the fraction of the share of a route that each of its workspaces gets at
	// least.
	fairFloor = 0.25
	// minFairRate is the rate below which a workspace is forgotten, per interval.
	minFairRate = 0.001
	// maxFairWorkspaces and maxFairGroups limit the memory: about 100 bytes for each workspace
	// of a group. A workspace beyond the limit gets the share of the route.
	maxFairWorkspaces = 256
	maxFairGroups     = 64
)

// Fair divides what a route is admitted among its workspaces, in proportion to their declared
// rates. It handles a workspace that sends several times its usual traffic to a short service:
// if each request had the same chance, the others would pay for it. A workspace that asks for
// less than its part leaves the rest to the others. Fair is not safe for concurrent use.
type Fair struct{ groups map[returnKey]*fairGroup }

type fairGroup struct {
	workspaces map[mesh.Workspace]*fairDemand
	interval   int64 // number of the current one
}

type fairDemand struct {
	arrivals float64 // in the current interval
	rate     float64 // per interval
	declared float64 // requests per second; zero: none
	share    float64 // zero: that of the route
}

// NewFair returns a Fair without demand.
func NewFair() *Fair { return &Fair{groups: map[returnKey]*fairGroup{}} }

// Share counts a request and returns the share of the requests of its workspace that is
// admitted. share is that of all requests of the route and level, and declared the rate of the
// workspace.
func (f *Fair) Share(now time.Duration, t Target, level Level, share float64, w mesh.Workspace, declared float64) float64 {
	interval := int64(now / fairInterval)
	key := returnKey{t, level}
	g := f.groups[key]
	if g == nil {
		if len(f.groups) >= maxFairGroups {
			f.forget(interval)
		}
		if len(f.groups) >= maxFairGroups {
			return share
		}
		g = &fairGroup{workspaces: map[mesh.Workspace]*fairDemand{}, interval: interval}
		f.groups[key] = g
	}
	if interval > g.interval {
		g.endIntervals(interval, share)
	}
	d := g.workspaces[w]
	if d == nil {
		if len(g.workspaces) >= maxFairWorkspaces {
			return share
		}
		d = &fairDemand{}
		g.workspaces[w] = d
	}
	d.arrivals++
	d.declared = declared
	if d.share == 0 {
		return share
	}
	return d.share
}

// forget deletes the groups without a request in the last intervals.
func (f *Fair) forget(interval int64) {
	for key, g := range f.groups {
		if interval-g.interval > 1/fairGain {
			delete(f.groups, key)
		}
	}
}

// endIntervals adds the intervals before the given one to the mean rates and updates the shares.
func (g *fairGroup) endIntervals(interval int64, share float64) {
	for range min(interval-g.interval, 5/fairGain) {
		for w, d := range g.workspaces {
			d.rate += fairGain * (d.arrivals - d.rate)
			d.arrivals = 0
			if d.rate < minFairRate {
				delete(g.workspaces, w)
			}
		}
	}
	g.interval = interval
	g.divide(share)
}

// divide sets the shares so that together the given share of all requests is admitted.
func (g *fairGroup) divide(share float64) {
	mean, declaring := 0.0, 0.0
	for _, d := range g.workspaces {
		if d.declared > 0 {
			mean, declaring = mean+d.declared, declaring+1
		}
	}
	mean /= max(declaring, 1)
	if declaring == 0 {
		mean = 1
	}
	available, lowest, highest := 0.0, 0.0, 0.0
	for _, d := range g.workspaces {
		available += share * d.rate
		highest = max(highest, d.rate/d.entitlement(mean))
	}
	floor := max(fairFloor*share, probeShare) // below probeShare, a weight would exceed maxWeight
	shareAt := func(d *fairDemand, part float64) float64 {
		return min(max(part*d.entitlement(mean)/d.rate, floor), 1)
	}
	for range solveSteps {
		middle, used := (lowest+highest)/2, 0.0
		for _, d := range g.workspaces {
			used += d.rate * shareAt(d, middle)
		}
		if used > available {
			highest = middle
		} else {
			lowest = middle
		}
	}
	for _, d := range g.workspaces {
		d.share = shareAt(d, lowest)
	}
}

// entitlement returns the weight of the workspace: its declared rate, or the given mean.
func (d *fairDemand) entitlement(mean float64) float64 {
	if d.declared > 0 {
		return d.declared
	}
	return mean
}
