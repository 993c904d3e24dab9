package quota

import (
	"time"

	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/mesh"
)

// record is an entry of the fake log: the share assignments of the workspace, or a panel.
type record struct {
	shares []Share
	panel  *evidence.Panel // nodes whose majority confirms that another node's knowledge is current
}

type fakeLog struct {
	records     []record
	down        bool
	unreachable map[int]bool // indexes of the nodes that cannot reach the log
}

// testEngine connects an evidence tracker and a limiter to the fake log as the node's
// engine does: it applies records, exchanges probes, and activates shares whose records
// are in force, so that no node that has not applied them can have fresh evidence.
type testEngine struct {
	log        *fakeLog
	tracker    *evidence.Tracker
	offset     uint64         // number of records applied
	panel      evidence.Panel // last panel applied
	lastReadAt time.Duration  // start of the last read of the log, by the node's clock
}

func newTestEngine(n *testNode, log *fakeLog) *testEngine {
	e := &testEngine{log: log, tracker: evidence.New(n.id, evidence.Config{}), lastReadAt: -time.Hour}
	return e
}

func (e *testEngine) applyRecords(n *testNode, to uint64) {
	for ; e.offset < to; e.offset++ {
		r := e.log.records[e.offset]
		if r.panel != nil {
			e.panel = *r.panel
			e.tracker.SetPanel(n.clock(), *r.panel)
		}
		if r.shares != nil {
			n.limiter.SetShares(n.clock(), ws, r.shares)
		}
	}
	e.tracker.SetKnowledge(evidence.Knowledge{Offset: e.offset})
}

func (e *testEngine) updateFreshUntil(n *testNode) {
	if e != nil {
		n.limiter.SetFreshUntil(e.tracker.FreshUntil())
	}
}

// tick reads the log every 200 ms, activates the shares and settles the panel whose records
// are in force, and appends the tracker's messages to out. It does nothing if e is nil.
func (e *testEngine) tick(n *testNode, out []mesh.Envelope) []mesh.Envelope {
	if e == nil {
		return out
	}
	now := n.clock()
	if now >= e.lastReadAt+200*time.Millisecond && !e.log.down && !e.log.unreachable[n.index] {
		e.lastReadAt = now
		// The request reaches the log after one delay, and the reply returns after another.
		n.cluster.after(n.cluster.delay, func() {
			head := uint64(len(e.log.records))
			n.cluster.after(n.cluster.delay, func() { e.finishLogRead(n, now, head) })
		})
	}
	for _, s := range n.limiter.Inactive() {
		e.tracker.Watch(s.Offset)
		if e.tracker.InForce(now, s.Offset) {
			n.limiter.Activate(now, ws, s.Index)
		}
	}
	if !e.panel.Settled {
		e.tracker.Watch(e.panel.Offset)
		e.settlePanel(now)
	}
	e.updateFreshUntil(n)
	return e.tracker.Tick(now, out)
}

// settlePanel appends a record that marks the panel as settled once its own record is in
// force. Until then, a majority of the previous panel is needed as well.
func (e *testEngine) settlePanel(now time.Duration) {
	if e.log.down || !e.tracker.InForce(now, e.panel.Offset) {
		return
	}
	if last := e.log.lastPanel(); !last.Settled && last.Epoch == e.panel.Epoch {
		settled := last
		settled.Settled = true
		e.log.records = append(e.log.records, record{panel: &settled})
	}
}

func (l *fakeLog) lastPanel() evidence.Panel {
	for i := len(l.records) - 1; i >= 0; i-- {
		if l.records[i].panel != nil {
			return *l.records[i].panel
		}
	}
	return evidence.Panel{}
}

// finishLogRead applies the records up to head, the length of the log found by a read that
// started at sentAt.
func (e *testEngine) finishLogRead(n *testNode, sentAt time.Duration, head uint64) {
	if n.dead || n.paused {
		return
	}
	e.applyRecords(n, head)
	e.tracker.RecordLogRead(sentAt, true, head)
}

// deliver passes messages to the tracker. A node that learns that it is behind reads the
// missing records from the other node without delay.
func (e *testEngine) deliver(n *testNode, m mesh.Envelope, out []mesh.Envelope) []mesh.Envelope {
	if e == nil {
		return out
	}
	e.updateFreshUntil(n)
	out = e.tracker.Deliver(n.clock(), m.From, m.Message, out)
	if node, behind := e.tracker.CatchUpSource(); behind {
		for _, other := range n.cluster.nodes {
			if other.id == node && !other.dead && (n.cluster.partitioned == nil || !n.cluster.partitioned(n.index, other.index)) {
				e.applyRecords(n, other.engine.offset)
			}
		}
	}
	return out
}
