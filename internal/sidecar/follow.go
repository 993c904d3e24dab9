package sidecar

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/roster"
)

const (
	// followWait is how long one read of the declaration waits for a newer one: the
	// longest that the platform allows, since each read is a call that it counts. A
	// connection that falls silent meanwhile is found by its keep-alive probes.
	followWait = 30 * time.Second
	// followPause is the least time between the reads of two declarations. Changes in
	// quick succession come with one read; operators expect them in force within two
	// seconds.
	followPause = 400 * time.Millisecond
	// storeTimeout is added to the wait: a slow store still answers.
	storeTimeout  = 3 * time.Second
	storeBackoff  = 700 * time.Millisecond // longest pause after a failed call
	listDelay     = 400 * time.Millisecond // all nodes of a fleet start within this time
	relistEvery   = 10 * time.Second       // how often a node that hears of no peer lists them again
	publishPeriod = 100 * time.Millisecond // first pause between attempts to publish
)

// followDeclaration reads the operator's declaration from the store for as long
// as the node runs.
func (n *Node) followDeclaration() {
	var cursor Cursor
	backoff := peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, 1)), storeBackoff)
	lost := false
	for {
		ctx, cancel := n.context(followWait + storeTimeout)
		raw, next, err := n.cfg.Source.Next(ctx, cursor, followWait)
		cancel()
		if n.life.Err() != nil {
			return
		}
		if err != nil {
			n.metrics.storeFailures.Inc(1)
			if !lost {
				n.cfg.Log.Write(eventlog.Lifecycle, "store lost", "err", err, "declaration", n.version())
			}
			lost = true
			if !n.pause(backoff.Next()) {
				return
			}
			continue
		}
		if lost {
			n.cfg.Log.Write(eventlog.Lifecycle, "store regained", "declaration", n.version())
			lost = false
		}
		backoff.Reset()
		cursor = next
		if raw == nil {
			continue
		}
		n.takeDeclaration(raw, "store", "")
		if !n.pause(followPause) {
			return
		}
	}
}

func (n *Node) version() uint64 {
	if c := n.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// takeDeclaration puts a declaration into force if it is newer than the one in
// force. The version never goes back within one incarnation.
func (n *Node) takeDeclaration(raw []byte, source, from string) {
	c, err := n.cfg.Source.Decode(raw)
	if err != nil {
		n.metrics.badDeclarations.Inc(1)
		n.cfg.Log.Write(eventlog.Belief, "declaration refused", "source", source, "from", from, "err", err, "in_force", n.version())
		return
	}
	n.mu.Lock()
	old := n.current.Load()
	if old != nil && c.Version <= old.Version {
		n.mu.Unlock()
		return
	}
	n.current.Store(c)
	n.raw = bytes.Clone(raw)
	n.declared(c)
	n.roster.SetDeclarationVersion(c.Version)
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.metrics.declaration.Update(int64(c.Version))
	n.cfg.Log.Write(eventlog.Belief, "declaration in force", "version", c.Version, "source", source, "from", from, "bytes", len(raw))
	n.send(out)
}

// declared passes a new declaration to the cores. n.mu is held.
func (n *Node) declared(c *catalog.Catalog) {
	n.setMembers(n.now())
	limits := make([]ratelimit.Limit, len(c.Workspaces))
	for i, w := range c.Workspaces {
		limits[i] = ratelimit.Limit{Workspace: w.Name, RatePerSecond: w.RatePerSecond, Burst: w.Burst}
	}
	n.ledger.SetLimits(n.now(), limits)
	n.settle()
}

// publish tells the store how peers reach this node, and lists the others.
func (n *Node) publish() {
	backoff := peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, 2)), storeBackoff)
	if !n.retry(backoff, "publish", n.publishSelf) || !n.pause(listDelay) {
		return
	}
	for n.retry(backoff, "list nodes", n.list) && n.untilAlone() {
	}
}

// untilAlone waits until no peer is heard any more. The result is false if the node
// ended.
func (n *Node) untilAlone() bool {
	for n.pause(relistEvery) {
		n.mu.Lock()
		alone := n.roster.Isolated(n.now())
		n.mu.Unlock()
		if alone {
			return true
		}
	}
	return false
}

// retry calls f until it succeeds. The result is false if the node ended.
func (n *Node) retry(backoff *peer.Backoff, what string, f func() error) bool {
	backoff.Reset()
	for {
		err := f()
		if err == nil {
			return true
		}
		n.metrics.storeFailures.Inc(1)
		n.cfg.Log.Write(eventlog.Belief, "store call failed", "call", what, "err", err)
		if !n.pause(backoff.Next()) {
			return false
		}
	}
}

func (n *Node) publishSelf() error {
	n.mu.Lock()
	self := n.roster.Self()
	n.mu.Unlock()
	self.Demand = nil
	record, err := json.Marshal(self)
	if err != nil {
		return err
	}
	ctx, cancel := n.context(storeTimeout)
	defer cancel()
	return n.cfg.Directory.Publish(ctx, self.Member.Node.Host, record)
}

func (n *Node) list() error {
	ctx, cancel := n.context(storeTimeout)
	defer cancel()
	records, err := n.cfg.Directory.List(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	for _, one := range records {
		var rec roster.Record
		if err := json.Unmarshal(one, &rec); err != nil {
			n.cfg.Log.Write(eventlog.Belief, "node record refused", "err", err, "bytes", len(one))
			continue
		}
		n.roster.Merge(n.now(), rec)
	}
	n.roster.MarkSynced()
	n.listed = true
	n.refreshTable(n.now())
	nodes := n.roster.Len()
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.cfg.Log.Write(eventlog.Belief, "nodes listed", "records", len(records), "nodes", nodes)
	n.send(out)
	return nil
}
