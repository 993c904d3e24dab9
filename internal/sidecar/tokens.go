package sidecar

import (
	"context"
	"math"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/roster"
)

const (
	// fleetInterval is how often the shares of the rate limits are recalculated from
	// the demand at all nodes.
	fleetInterval = 500 * time.Millisecond
	// A change of a workspace's demand is sent to the peers if it exceeds both
	// demandRelativeStep, a fraction of the larger value, and demandAbsoluteStep, in
	// requests per second.
	demandRelativeStep = 0.2
	demandAbsoluteStep = 0.5
	// demandSpreadRounds is the average time in which a published demand reaches another
	// node, in units of fleetInterval.
	demandSpreadRounds = 3
	// assumeFleetAfter is the time since the start after which a node that could not
	// list the nodes from the store treats the nodes known from peers as all nodes.
	assumeFleetAfter = 3 * time.Second
	// reportDemandAfter is the time since the start after which the measured demand is
	// meaningful and is published.
	reportDemandAfter = 1500 * time.Millisecond
)

// takeToken takes one token of the workspace. If this node has none, it waits for
// tokens borrowed from other nodes, for up to ratelimit.WaitLimit.
func (n *Node) takeToken(ctx context.Context, w mesh.Workspace) bool {
	id := n.lastID.Add(1)
	n.mu.Lock()
	result := n.limiter.Take(n.now(), w, id)
	if result != ratelimit.Waiting {
		n.mu.Unlock()
		return result == ratelimit.Admitted
	}
	results := make(chan ratelimit.Result, 1)
	n.tokenWaiters[id] = results
	out := n.deliverDecisions()
	n.mu.Unlock()
	n.send(out)
	timer := time.NewTimer(ratelimit.WaitLimit)
	defer timer.Stop()
	select {
	case result = <-results:
		return result == ratelimit.Admitted
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	delete(n.tokenWaiters, id)
	cancelled := n.limiter.Cancel(w, id)
	n.mu.Unlock()
	if cancelled {
		return false
	}
	return <-results == ratelimit.Admitted // the limiter decided just as the wait ended
}

// deliverDecisions delivers the decisions of the limiter to waiting requests and returns
// the messages that the limiter has queued. n.mu must be held.
func (n *Node) deliverDecisions() []mesh.Outgoing {
	for _, decision := range n.limiter.Decisions() {
		if results := n.tokenWaiters[decision.ID]; results != nil {
			delete(n.tokenWaiters, decision.ID)
			results <- decision.Result
		}
	}
	return n.limiter.Outgoing()
}

// refreshLimiter passes the list of nodes with their demands to the limiter and
// publishes this node's demand to the peers if it has changed. n.mu must be held.
func (n *Node) refreshLimiter(now time.Duration) {
	if now-n.fleetUpdatedAt < fleetInterval || !n.roster.Synced() || !n.storeListed && now < assumeFleetAfter {
		return
	}
	n.fleetUpdatedAt = now
	var fleet []ratelimit.Node
	n.roster.ForEachCounted(now, func(rec *roster.Record, silent time.Duration) {
		fleet = append(fleet, ratelimit.Node{Member: rec.Member, Silent: silent, Demand: rec.Demand})
	})
	var demandKnownToPeers map[mesh.Workspace]float64
	if len(n.recentDemands) == demandSpreadRounds {
		demandKnownToPeers = n.recentDemands[0]
	}
	n.limiter.SetFleet(now, demandKnownToPeers, fleet)
	if now < reportDemandAfter {
		return
	}
	demand := n.limiter.Demand(now)
	n.recentDemands = append(n.recentDemands, n.roster.Self().Demand)
	n.recentDemands = n.recentDemands[max(len(n.recentDemands)-demandSpreadRounds, 0):]
	if demandChanged(n.roster.Self().Demand, demand) {
		n.roster.Update(false, func(r *roster.Record) { r.Demand = demand })
	}
}

// demandChanged reports whether the demand of any workspace has changed enough to be
// published, or none has been published yet.
func demandChanged(old, current map[mesh.Workspace]float64) bool {
	if old == nil {
		return true
	}
	for w, d := range current {
		if demandsDiffer(old[w], d) {
			return true
		}
	}
	for w, d := range old {
		if _, ok := current[w]; !ok && demandsDiffer(d, 0) {
			return true
		}
	}
	return false
}

// demandsDiffer reports whether the difference of two demands, in requests per second,
// exceeds both demandAbsoluteStep and demandRelativeStep.
func demandsDiffer(a, b float64) bool {
	return math.Abs(a-b) > max(demandAbsoluteStep, demandRelativeStep*max(a, b))
}
