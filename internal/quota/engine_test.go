package quota

import (
	"time"

	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/mesh"
)

// record is an entry of the fake log: the shares of the workspace, or a panel.
type record struct {
	shares []Share
	panel  *evidence.Panel
}

type fakeLog struct {
	records     []record
	down        bool
	unreachable map[int]bool
}

// testEngine connects an evidence tracker and a ledger to the fake log as the node's
// engine does: it applies records, exchanges probes, and activates shares whose records
// are effective.
type testEngine struct {
	log     *fakeLog
	tracker *evidence.Tracker
	offset  uint64
	panel   evidence.Panel
	readAt  time.Duration
}

func newTestEngine(p *proc, log *fakeLog) *testEngine {
	e := &testEngine{log: log, tracker: evidence.New(p.id, evidence.Config{}), readAt: -time.Hour}
	return e
}

func (e *testEngine) fold(p *proc, to uint64) {
	for ; e.offset < to; e.offset++ {
		r := e.log.records[e.offset]
		if r.panel != nil {
			e.panel = *r.panel
			e.tracker.SetPanel(p.clock(), *r.panel)
		}
		if r.shares != nil {
			p.ledger.SetShares(p.clock(), ws, r.shares)
		}
	}
	e.tracker.SetKnowledge(evidence.Knowledge{Offset: e.offset})
}

func (e *testEngine) refresh(p *proc) {
	if e != nil {
		p.ledger.SetFreshUntil(e.tracker.FreshUntil())
	}
}

func (e *testEngine) tick(p *proc, out []mesh.Envelope) []mesh.Envelope {
	if e == nil {
		return out
	}
	now := p.clock()
	if now >= e.readAt+200*time.Millisecond && !e.log.down && !e.log.unreachable[p.i] {
		e.readAt = now
		p.f.after(p.f.delay, func() {
			head := uint64(len(e.log.records))
			p.f.after(p.f.delay, func() { e.read(p, now, head) })
		})
	}
	for _, s := range p.ledger.Inactive() {
		e.tracker.Watch(s.Offset)
		if e.tracker.Effective(now, s.Offset) {
			p.ledger.Activate(now, ws, s.Index)
		}
	}
	if !e.panel.Settled {
		e.tracker.Watch(e.panel.Offset)
		e.settlePanel(now)
	}
	e.refresh(p)
	return e.tracker.Tick(now, out)
}

func (e *testEngine) settlePanel(now time.Duration) {
	if e.log.down || !e.tracker.Effective(now, e.panel.Offset) {
		return
	}
	if last := e.log.panel(); !last.Settled && last.Epoch == e.panel.Epoch {
		settled := last
		settled.Settled = true
		e.log.records = append(e.log.records, record{panel: &settled})
	}
}

func (l *fakeLog) panel() evidence.Panel {
	for i := len(l.records) - 1; i >= 0; i-- {
		if l.records[i].panel != nil {
			return *l.records[i].panel
		}
	}
	return evidence.Panel{}
}

func (e *testEngine) read(p *proc, asked time.Duration, head uint64) {
	if p.dead || p.paused {
		return
	}
	e.fold(p, head)
	e.tracker.RecordLogRead(asked, true, head)
}

// deliver passes messages to the tracker. A node that learns that it is behind reads the
// missing records from the other node without delay.
func (e *testEngine) deliver(p *proc, m mesh.Envelope, out []mesh.Envelope) []mesh.Envelope {
	if e == nil {
		return out
	}
	e.refresh(p)
	out = e.tracker.Deliver(p.clock(), m.From, m.Message, out)
	if node, behind := e.tracker.Behind(); behind {
		for _, q := range p.f.procs {
			if q.id == node && !q.dead && (p.f.partitioned == nil || !p.f.partitioned(p.i, q.i)) {
				e.fold(p, q.engine.offset)
			}
		}
	}
	return out
}
