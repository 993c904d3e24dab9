package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/evacuation"
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
	// readSlack is how late the time limit of a read may end it while the process runs.
	readSlack = 100 * time.Millisecond
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
	unanswered, due := 0, time.Duration(0) // reads in a row without an answer, and when that of the last one was due
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
		began := n.now()
		update, err := n.readDeclaration(cursor, plan)
		n.observeStoreEra()
		if n.runCtx.Err() != nil {
			return
		}
		if err != nil && !storeLost {
			n.logStoreLost(err)
		}
		storeLost = storeLost || err != nil
		if err != nil {
			var pause time.Duration
			if errors.Is(err, context.DeadlineExceeded) {
				planner.Unanswered()
				unanswered, due = unanswered+1, began+plan.Wait
				if n.now()-began > plan.Limit()+readSlack {
					unanswered++ // this process was paused: the read shows nothing about its connection
				}
				pause = planner.RetryPause(plan, view) // no backoff, because this read took long enough
			} else {
				planner.Answered()
				unanswered = 0
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
			if unanswered == 1 { // after more, the store itself was silent
				n.recordSilentStore(due)
			}
			n.cfg.Log.Write(eventlog.Lifecycle, "store regained", "declaration", n.declarationVersion(),
				"answered_ms", n.since(&n.storeAnswered).Milliseconds())
			storeLost, unanswered = false, 0
		}
		answered := n.now()
		n.storeAnswered.Store(int64(answered))
		backoff.Reset()
		if !n.advanceCursor(update) {
			continue // a response of an earlier era
		}
		if update.Declaration != nil {
			n.applyDeclaration(roster.Declaration{Raw: update.Declaration}, "store", "")
		}
		n.reportAnsweredRead(answered)
		if (update.Declaration != nil || len(update.Evacuations) > 0) && !n.pause(minReadInterval) {
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
	if n.roster.Evacuations().ListingDue(now) {
		return Cursor{}, view
	}
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

// advanceCursor records the position at the store up to which the declarations and evacuations
// are known, and takes over the evacuations. The zero cursor makes the next read list the newest
// declaration. It returns false and changes nothing if the store has begun a new era since.
func (n *Node) advanceCursor(update Update) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, next := n.now(), update.Next
	if next.Known && next.Era < n.roster.Evacuations().Era() {
		return false
	}
	n.updateEvacuations(now, "store", "", func(s *evacuation.Set) {
		switch {
		case update.Listed:
			s.Listed(now, next.position(), update.Evacuations)
		case next.Known:
			s.Read(now, next.position(), update.Evacuations)
		}
	})
	if next.Known && n.cursor.Known && next.position().Compare(n.cursor.position()) < 0 {
		return true // a peer has sent a later declaration during the read
	}
	n.cursor = next
	return true
}

// mergeEvacuations takes over what a peer knows of evacuated data centres.
func (n *Node) mergeEvacuations(d roster.Declaration, from string) {
	if d.Evacuations == nil {
		return
	}
	n.mu.Lock()
	now := n.now()
	n.updateEvacuations(now, "peer", from, func(s *evacuation.Set) { s.Merge(now, *d.Evacuations) })
	n.noticeEra("peer")
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
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
func (n *Node) readDeclaration(cursor Cursor, plan watch.Read) (Update, error) {
	n.readBegan.Store(int64(n.now()))
	ctx, cancel := n.context(plan.Limit())
	defer cancel()
	update, err := n.cfg.Source.Next(ctx, cursor, plan.Wait)
	if err == nil {
		return update, nil
	}
	n.metrics.storeFailures.Inc(1)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = errors.Wrapf(context.DeadlineExceeded, "read of the declaration: %v", err)
	}
	return Update{}, err
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
	// Without the evacuations up to the offset, this node would never read them.
	complete := d.Evacuations != nil && d.Evacuations.Known
	next := Cursor{Era: d.Era, Offset: d.Offset, Known: true}
	if d.OffsetKnown && complete && (!n.cursor.Known || next.position().Compare(n.cursor.position()) > 0) {
		n.cursor = next
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
	for n.retryStoreCall(backoff, "list nodes", n.listNodes) && n.listWhileAlone(backoff) && n.waitUntilIsolated() {
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
	era, err := n.cfg.Directory.Publish(ctx, string(self.Member.Node.Host), record)
	n.observeStoreEra()
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishedEra, n.published = era, true
	n.requestRestore()
	return nil
}

// listNodes reads the records of all nodes from the store into the roster, and the departure
// that an earlier incarnation of this node has acknowledged. From then on, the roster counts
// as complete: the rate limits and the retry budgets may be divided among its nodes.
func (n *Node) listNodes() error {
	ctx, cancel := n.context(storeTimeout)
	defer cancel()
	records, era, err := n.cfg.Directory.List(ctx)
	n.observeStoreEra()
	if err != nil {
		return err
	}
	n.mu.Lock()
	listedNow := era >= n.era // else the store may have lost what it listed
	for _, raw := range records {
		record, err := decodeStoredRecord(raw)
		switch {
		case err != nil:
			n.cfg.Log.Write(eventlog.Observation, "invalid node record skipped", "err", err, "bytes", len(raw))
		case record.DepartureOf == n.cfg.Self.Node.Host:
			if listedNow && n.storedDeparture.IsZero() { // else this node has written a later one
				n.setStoredDeparture(record.Departure)
			}
			n.learnDeparture(record.Departure, "store")
		case record.DepartureOf == "":
			n.roster.Merge(n.now(), record.Record)
		}
	}
	if !n.listedIncomplete(era) {
		n.tracker.RecordHistory()
		n.roster.MarkSynced()
		n.storeListed = true
	}
	n.publishPhase(n.now())
	n.refreshTable(n.now())
	nodes := n.roster.Len(n.now())
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.cfg.Log.Write(eventlog.Observation, "nodes listed", "records", len(records), "nodes", nodes)
	n.send(out)
	return nil
}
