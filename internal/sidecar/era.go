package sidecar

import (
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/roster"
)

// The store may come back from an older copy. It then names a higher era in its responses, and
// has lost what it has acknowledged since the copy was made. Each node writes its record and the
// departure of its upstream again. The writes of all nodes are spread over restoreSpread, or over
// a longer time in a fleet of more than restoreRate nodes: the store takes 1,200 writing calls a
// second, for two records of each node.
const (
	restoreSpread = time.Second
	restoreRate   = 300 // nodes a second
	// maxListingsAlone is the number of further listings of a node that has found no other. Nodes
	// that do not read the store hear of a new era within a few digests.
	maxListingsAlone = 5
)

// observeStoreEra takes over the highest era that a response of the store has named, and tells
// the client of the store of the highest one that a peer has named.
func (n *Node) observeStoreEra() {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := n.roster.Evacuations()
	set.SeeEra(n.now(), n.cfg.Source.SeeEra(set.Era()))
	n.noticeEra("store")
}

// noticeEra acts on a higher era of the store than before: what the store has acknowledged may
// be lost. source is used for the log. n.mu must be held.
func (n *Node) noticeEra(source string) {
	era := n.roster.Evacuations().Era()
	if era <= n.era {
		return
	}
	n.cfg.Log.Write(eventlog.Observation, "store era", "era", era, "before", n.era, "source", source, "declaration", n.declarationVersion())
	n.era = era
	n.metrics.storeEra.Update(int64(era))
	n.cfg.Source.SeeEra(era)
	n.setStoredDeparture(roster.Departure{})
	n.requestRestore()
}

// requestRestore makes restoreRecords write the records of this node again if the store may have
// lost them. n.mu must be held.
func (n *Node) requestRestore() {
	if !n.published || n.publishedEra >= n.era {
		return
	}
	select {
	case n.eraRose <- struct{}{}:
	default: // a write is due already
	}
}

// restoreRecords writes the record of this node and the departure of its upstream again after
// each rollback of the store, until the node shuts down.
func (n *Node) restoreRecords() {
	random := rand.New(rand.NewPCG(n.cfg.Seed, 4)) // 4: other delays than in the other loops
	backoff := peer.NewBackoff(random, maxStoreBackoff)
	for {
		select {
		case <-n.runCtx.Done():
			return
		case <-n.eraRose:
		}
		n.mu.Lock()
		spread := max(restoreSpread, time.Duration(n.roster.Len(n.now()))*time.Second/restoreRate)
		n.mu.Unlock()
		if !n.pause(time.Duration(random.Int64N(int64(spread)))) {
			return
		}
		n.mu.Lock()
		n.requestDepartureWrite()
		orphaned := n.roster.OrphanedDepartures()
		n.mu.Unlock()
		for host, d := range orphaned {
			publish := func() error { _, err := n.publishDeparture(host, d, storeTimeout); return err }
			if !n.retryStoreCall(backoff, "publish departure of a lost node", publish) {
				return
			}
		}
		if !n.retryStoreCall(backoff, "publish again", n.publishSelf) {
			return
		}
		n.mu.Lock()
		n.cfg.Log.Write(eventlog.Observation, "records written again", "era", n.publishedEra, "departures_of_others", len(orphaned))
		n.mu.Unlock()
	}
}

// listedIncomplete reports whether a listing of the nodes in the era may lack all other nodes,
// because the store has come back from a copy. n.mu must be held.
func (n *Node) listedIncomplete(era uint64) bool {
	return era > 0 && n.roster.Len(n.now()) == 1 && n.now() < assumeFleetAfter
}

// listWhileAlone lists the nodes again while the listing was incomplete: the others are about to
// write their records again. It returns false if the node shuts down first.
func (n *Node) listWhileAlone(backoff *peer.Backoff) bool {
	for range maxListingsAlone {
		n.mu.Lock()
		listed := n.storeListed
		n.mu.Unlock()
		if listed {
			return true
		}
		if !n.pause(restoreSpread) || !n.retryStoreCall(backoff, "list nodes", n.listNodes) {
			return false
		}
	}
	return true
}
