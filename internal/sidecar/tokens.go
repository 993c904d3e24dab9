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
	// fleetEvery is how often the shares of the limits follow the demand.
	fleetEvery = 500 * time.Millisecond
	// demandChange is the relative change of a workspace's demand that is told to
	// the peers, and demandStep the least one in requests per second.
	demandChange = 0.2
	demandStep   = 0.5
	// demandSpread is the time, in fleetEvery, in which a demand reaches an average
	// node.
	demandSpread = 3
	// assumesFleetAfter is the time from which a node that the store has not told of
	// the fleet takes the nodes it has heard of for the whole.
	assumesFleetAfter = 3 * time.Second
	// reportsDemandAfter is the time from which a node's demand says something.
	reportsDemandAfter = 1500 * time.Millisecond
)

// take takes one token of a workspace, and waits for borrowed ones if need be.
func (n *Node) take(ctx context.Context, w mesh.Workspace) bool {
	id := n.nextID.Add(1)
	n.mu.Lock()
	result := n.ledger.Take(n.now(), w, id)
	if result != ratelimit.Waiting {
		n.mu.Unlock()
		return result == ratelimit.Admitted
	}
	settled := make(chan ratelimit.Result, 1)
	n.takers[id] = settled
	out := n.settle()
	n.mu.Unlock()
	n.send(out)
	timer := time.NewTimer(ratelimit.WaitLimit)
	defer timer.Stop()
	select {
	case result = <-settled:
		return result == ratelimit.Admitted
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	delete(n.takers, id)
	abandoned := n.ledger.Abandon(w, id)
	n.mu.Unlock()
	if abandoned {
		return false
	}
	return <-settled == ratelimit.Admitted // it came at the same moment
}

// settle passes on the decisions of the ledger and returns its messages. n.mu
// is held.
func (n *Node) settle() []mesh.Outgoing {
	for _, s := range n.ledger.Decisions() {
		if c := n.takers[s.Call]; c != nil {
			delete(n.takers, s.Call)
			c <- s.Result
		}
	}
	return n.ledger.Outgoing()
}

// refreshLedger tells the ledger of the fleet, and the peers of this node's
// demand. n.mu is held.
func (n *Node) refreshLedger(now time.Duration) {
	if now-n.fleetAt < fleetEvery || !n.roster.Synced() || !n.listed && now < assumesFleetAfter {
		return
	}
	n.fleetAt = now
	var fleet []ratelimit.Node
	n.roster.Each(now, func(rec *roster.Record, silent time.Duration) {
		if !rec.Left {
			fleet = append(fleet, ratelimit.Node{Member: rec.Member, Silent: silent, Demand: rec.Demand})
		}
	})
	var told map[mesh.Workspace]float64
	if len(n.told) == demandSpread {
		told = n.told[0]
	}
	n.ledger.SetFleet(now, told, fleet)
	if now < reportsDemandAfter {
		return
	}
	demand := n.ledger.Demand(now)
	n.told = append(n.told, n.roster.Self().Demand)
	n.told = n.told[max(len(n.told)-demandSpread, 0):]
	if differs(n.roster.Self().Demand, demand) {
		n.roster.Update(false, func(r *roster.Record) { r.Demand = demand })
	}
}

// differs reports whether a demand has changed enough to be told.
func differs(old, current map[mesh.Workspace]float64) bool {
	if old == nil {
		return true
	}
	for w, d := range current {
		if notable(old[w], d) {
			return true
		}
	}
	for w, d := range old {
		if _, ok := current[w]; !ok && notable(d, 0) {
			return true
		}
	}
	return false
}

// notable reports whether the difference of two demands is worth telling.
func notable(a, b float64) bool {
	return math.Abs(a-b) > max(demandStep, demandChange*max(a, b))
}
