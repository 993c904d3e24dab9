package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/watch"
)

const (
	// minReadInterval is the least time from a declaration to the next read, so that
	// several changes in quick succession need only one read. It is well below the two
	// seconds within which operators expect a change to be in force.
	minReadInterval = 400 * time.Millisecond
	// storeTimeout is the time limit of a store call other than a read of the declaration.
	storeTimeout = 3 * time.Second
	// maxStoreBackoff is the longest pause after a failed store call.
	maxStoreBackoff = 700 * time.Millisecond
	// listDelay is the time between publishing this node and listing the others. When
	// the whole fleet is started at once, all nodes start within this time.
	listDelay = 400 * time.Millisecond
	// isolationCheckInterval is how often a node checks whether it has lost contact with all
	// peers; if so, it lists the nodes again.
	isolationCheckInterval = 10 * time.Second
)

// followDeclaration reads new versions of the operator's declaration from the store, if the
// planner lets this node read, until the node shuts down.
func (n *Node) followDeclaration() {
	planner := watch.NewPlanner(n.cfg.Seed)
	backoff := peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, 1)), maxStoreBackoff) // 1: other jitter than in publishAndList
	storeLost, reading := false, false
	for {
		cursor, view := n.readState()
		plan := planner.Next(view)
		if reads := plan.Delay == 0; reads != reading {
			reading = reads
			n.logReading(reads, view)
		}
		if plan.Delay > 0 {
			if !n.waitToRead(plan.Delay) {
				return
			}
			continue
		}
		raw, next, err := n.readDeclaration(cursor, plan)
		if n.runCtx.Err() != nil {
			return
		}
		if err != nil && !storeLost {
			n.logStoreLost(err)
		}
		storeLost = storeLost || err != nil
		if err != nil {
			pause := plan.RetryPause(view) // no backoff, because this read took long enough
			if errors.Is(err, context.DeadlineExceeded) {
				planner.Unanswered()
			} else {
				planner.Answered()
				pause = max(watch.RefusalPause(view), backoff.Next())
			}
			if plan.Check {
				continue // the planner decides when the node checks the store again
			}
			n.reportFailedRead(view)
			if !n.pause(pause) {
				return
			}
			continue
		}
		planner.Answered()
		if storeLost {
			n.cfg.Log.Write(eventlog.Lifecycle, "store regained", "declaration", n.declarationVersion(),
				"answered_ms", n.since(&n.storeAnswered).Milliseconds())
			storeLost = false
		}
		answered := n.now()
		n.storeAnswered.Store(int64(answered))
		backoff.Reset()
		n.advanceCursor(next)
		if raw != nil {
			n.applyDeclaration(roster.Declaration{Raw: raw}, "store", "")
		}
		n.reportAnsweredRead(answered)
		if raw != nil && !n.pause(minReadInterval) {
			return
		}
	}
}

// readState returns the position at the store and what the planner needs to know.
func (n *Node) readState() (Cursor, watch.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	view := watch.View{
		First: !n.cursor.Known, Uptime: now, Rank: n.roster.ReaderRank(), Isolated: n.roster.Isolated(now), Age: n.roster.DeclarationAge(now),
		Substitute: n.roster.IsSubstitute(),
	}
	view.Doubt, view.DoubtAge = n.roster.Doubt(now)
	return n.cursor, view
}

// waitToRead waits for d, or until the data centre is in a new doubt, as a node that is no
// reader. It returns false if the node shuts down first.
func (n *Node) waitToRead(d time.Duration) bool {
	n.mu.Lock()
	n.roster.StopReading()
	n.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.doubts:
	case <-n.runCtx.Done():
		return false
	}
	return true
}

// wakeReader ends waitToRead if the data centre has come into a new doubt since the last call.
// n.mu must be held.
func (n *Node) wakeReader(now time.Duration) {
	doubt, _ := n.roster.Doubt(now)
	if doubt == n.lastDoubt {
		return
	}
	n.lastDoubt = doubt
	if doubt > 0 {
		select {
		case n.doubts <- struct{}{}:
		default:
		}
	}
}

// advanceCursor records the position at the store up to which the declarations are known. The
// zero cursor makes the next read list the newest declaration.
func (n *Node) advanceCursor(next Cursor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if next.Known && n.cursor.Known && next.Offset < n.cursor.Offset {
		return // a peer has sent a later declaration during the read
	}
	n.cursor = next
}

// reportAnsweredRead tells the peers of a read that the store answered. It held no newer
// declaration at the given time.
func (n *Node) reportAnsweredRead(at time.Duration) {
	n.mu.Lock()
	if n.current.Load() != nil {
		n.roster.ConfirmDeclaration(at)
	}
	n.roster.ReadAnswered(n.now())
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
}

// reportFailedRead tells the peers of a read that the store did not answer.
func (n *Node) reportFailedRead(view watch.View) {
	if view.First {
		return // nobody relies on this node yet
	}
	n.mu.Lock()
	n.roster.ReadFailed(n.now())
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
}

// readDeclaration makes one read of the declaration. The error is or wraps
// context.DeadlineExceeded if the store did not answer in time.
func (n *Node) readDeclaration(cursor Cursor, plan watch.Read) ([]byte, Cursor, error) {
	n.readBegan.Store(int64(n.now()))
	ctx, cancel := n.context(plan.Limit())
	defer cancel()
	raw, next, err := n.cfg.Source.Next(ctx, cursor, plan.Wait)
	if err == nil {
		return raw, next, nil
	}
	n.metrics.storeFailures.Inc(1)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = errors.Wrapf(context.DeadlineExceeded, "read of the declaration: %v", err)
	}
	return nil, cursor, err
}

// logReading logs that the node begins or ceases to read the declaration.
func (n *Node) logReading(reads bool, view watch.View) {
	n.cfg.Log.Write(eventlog.Observation, "reader of the declaration", "reads", reads, "rank", view.Rank, "substitute", view.Substitute,
		"doubt", view.Doubt, "age_ms", view.Age.Milliseconds(), "declaration", n.declarationVersion())
}

// logStoreLost logs a failed read of the declaration after a successful one.
func (n *Node) logStoreLost(err error) {
	n.cfg.Log.Write(eventlog.Lifecycle, "store lost", "err", err, "declaration", n.declarationVersion(),
		"read_open_ms", n.since(&n.readBegan).Milliseconds(), "answered_ms", n.since(&n.storeAnswered).Milliseconds())
}

// declarationVersion returns the version of the declaration in force, or zero without one.
func (n *Node) declarationVersion() uint64 {
	if c := n.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// applyDeclaration puts a declaration into force if its version is higher than the one
// in force, so the version never decreases within one incarnation of the node. source
// and from, the host of the peer that sent the declaration, are used for the log only.
func (n *Node) applyDeclaration(d roster.Declaration, source, from string) {
	if d.Version > 0 && d.Version <= n.declarationVersion() {
		return
	}
	raw := d.Raw
	c, err := n.cfg.Source.Decode(raw)
	if err != nil {
		n.metrics.rejectedDeclarations.Inc(1)
		n.cfg.Log.Write(eventlog.Observation, "declaration refused", "source", source, "from", from, "err", err, "in_force", n.declarationVersion())
		return
	}
	n.mu.Lock()
	old := n.current.Load()
	if old != nil && c.Version <= old.Version {
		n.mu.Unlock()
		return
	}
	n.current.Store(c)
	n.rawDeclaration = bytes.Clone(raw)
	if d.OffsetKnown && (!n.cursor.Known || d.Offset > n.cursor.Offset) {
		n.cursor = Cursor{Offset: d.Offset, Known: true}
	}
	n.configureComponents(c)
	n.limits.setCallerHeadLimit(c.Limits.MaxHeader)
	n.roster.SetDeclarationVersion(n.now(), c.Version)
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.metrics.declaration.Update(int64(c.Version))
	n.cfg.Log.Write(eventlog.Observation, "declaration in force", "version", c.Version, "source", source, "from", from, "bytes", len(raw))
	n.send(out)
}

// configureComponents passes a new declaration to the routing table and the rate
// limiter. n.mu must be held.
func (n *Node) configureComponents(c *catalog.Catalog) {
	n.setMembers(n.now())
	limits := make([]ratelimit.Limit, len(c.Workspaces))
	for i, w := range c.Workspaces {
		limits[i] = ratelimit.Limit{Workspace: w.Name, RatePerSecond: w.RatePerSecond, Burst: w.Burst}
	}
	n.limiter.SetLimits(n.now(), limits)
	n.deliverDecisions() // returns no messages, because SetLimits queues none
}

// publishAndList writes the record of this node to the store and lists the other nodes.
// It lists them again whenever the node has lost contact with all peers.
func (n *Node) publishAndList() {
	backoff := peer.NewBackoff(rand.New(rand.NewPCG(n.cfg.Seed, 2)), maxStoreBackoff) // 2: other jitter than in followDeclaration
	if !n.retryStoreCall(backoff, "publish", n.publishSelf) || !n.pause(listDelay) {
		return
	}
	for n.retryStoreCall(backoff, "list nodes", n.listNodes) && n.waitUntilIsolated() {
	}
}

// waitUntilIsolated waits until the node has lost contact with all peers. It returns
// false if the node shuts down first.
func (n *Node) waitUntilIsolated() bool {
	for n.pause(isolationCheckInterval) {
		n.mu.Lock()
		isolated := n.roster.Isolated(n.now())
		n.mu.Unlock()
		if isolated {
			return true
		}
	}
	return false
}

// retryStoreCall makes the store call f until it succeeds, with the pauses that backoff
// gives. It returns false if the node shuts down first.
func (n *Node) retryStoreCall(backoff *peer.Backoff, callName string, f func() error) bool {
	backoff.Reset()
	for {
		err := f()
		if err == nil {
			return true
		}
		n.metrics.storeFailures.Inc(1)
		n.cfg.Log.Write(eventlog.Observation, "store call failed", "call", callName, "err", err)
		if !n.pause(backoff.Next()) {
			return false
		}
	}
}

// publishSelf writes the record of this node to the store, without its demand, which
// would soon be out of date there.
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
	return n.cfg.Directory.Publish(ctx, string(self.Member.Node.Host), record)
}

// listNodes reads the records of all nodes from the store into the roster, and the departure
// that an earlier incarnation of this node has acknowledged. From then on, the roster counts
// as complete: the rate limits and the retry budgets may be divided among its nodes.
func (n *Node) listNodes() error {
	ctx, cancel := n.context(storeTimeout)
	defer cancel()
	records, err := n.cfg.Directory.List(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	for _, raw := range records {
		record, err := decodeStoredRecord(raw)
		switch {
		case err != nil:
			n.cfg.Log.Write(eventlog.Observation, "invalid node record skipped", "err", err, "bytes", len(raw))
		case record.DepartureOf == n.cfg.Self.Node.Host:
			if n.storedDeparture.IsZero() { // else this node has written a later one
				n.setStoredDeparture(record.Departure)
			}
			n.learnDeparture(record.Departure, "store")
		case record.DepartureOf == "":
			n.roster.Merge(n.now(), record.Record)
		}
	}
	n.tracker.RecordHistory()
	n.publishPhase(n.now())
	n.roster.MarkSynced()
	n.storeListed = true
	n.refreshTable(n.now())
	nodes := n.roster.Len(n.now())
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.cfg.Log.Write(eventlog.Observation, "nodes listed", "records", len(records), "nodes", nodes)
	n.send(out)
	return nil
}
