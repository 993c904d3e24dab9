package sidecar

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
)

// silenceInterval is the least time between two moments at which idle connections are closed
// because another one was silent: each new connection to an upstream is charged for.
const silenceInterval = 2 * time.Second

// recordSilentPeer handles that a control message was not acknowledged by a peer on an open
// connection, but at once on a new one.
func (n *Node) recordSilentPeer(id mesh.NodeID, sent time.Time) {
	n.closeUnusedSince(sent, "peer", id.Host)
}

// recordSilentStore handles that the store did not answer a read whose answer was due at the
// given time, but the next one, which took a new connection.
func (n *Node) recordSilentStore(due time.Duration) {
	metrics.GetOrRegisterCounter("store.silent_connections", n.cfg.Metrics).Inc(1)
	before := n.started.Add(due)
	n.controlClient.Suspect(before)
	n.closeUnusedSince(before, "store", "")
}

// closeUnusedSince closes the idle connections to peers and the upstream that have not carried
// a response since the given time: connections go silent together, and a request on a silent one
// is lost.
func (n *Node) closeUnusedSince(t time.Time, kind string, peer mesh.Host) {
	n.cfg.Log.Write(eventlog.Observation, "connection silent", "to", kind, "peer", peer, "unused_ms", time.Since(t).Milliseconds())
	handled, now := n.silenceHandledAt.Load(), n.now()
	if handled > 0 && now-time.Duration(handled) < silenceInterval || !n.silenceHandledAt.CompareAndSwap(handled, int64(now)) {
		return
	}
	for _, p := range n.allPools() {
		p.CloseUnusedSince(t)
	}
}

// allPools returns the pools of the connections to peers and the upstream.
func (n *Node) allPools() []*exchange.Pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	pools := make([]*exchange.Pool, 0, len(n.pools)+1)
	for _, p := range n.pools {
		pools = append(pools, p)
	}
	return append(pools, n.upstreamPool)
}
