package quota

import (
	"time"

	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/mesh"
)

// record is what the fake log keeps: shares of the workspace or a panel.
type record struct {
	shares []Share
	panel  *evidence.Panel
}

type fakeLog struct {
	records     []record
	down        bool
	unreachable map[int]bool
}

// miniEngine composes a tracker and a ledger over the fake log as the page
// demands: fold, probe, watch, activate.
type miniEngine struct {
	log     *fakeLog
	tracker *evidence.Tracker
	offset  uint64
	panel   evidence.Panel
	readAt  time.Duration
}

func newEngine(p *proc, log *fakeLog) *miniEngine {
	e := &miniEngine{log: log, tracker: evidence.New(p.id, evidence.Config{}), readAt: -time.Hour}
	return e
}

func (e *miniEngine) fold(p *proc, to uint64) {
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

func (e *miniEngine) refresh(p *proc) {
	if e != nil {
		p.ledger.SetFreshUntil(e.tracker.FreshUntil())
	}
}

func (e *miniEngine) tick(p *proc, out []mesh.Envelope) []mesh.Envelope {
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

func (e *miniEngine) settlePanel(now time.Duration) {
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

func (e *miniEngine) read(p *proc, asked time.Duration, head uint64) {
	if p.dead || p.paused {
		return
	}
	e.fold(p, head)
	e.tracker.RecordLogRead(asked, true, head)
}

// deliver passes evidence messages on. A node that learns it is behind fetches
// from the peer at once, as over an open connection.
func (e *miniEngine) deliver(p *proc, m mesh.Envelope, out []mesh.Envelope) []mesh.Envelope {
	if e == nil {
		return out
	}
	e.refresh(p)
	out = e.tracker.Deliver(p.clock(), m.From, m.Message, out)
	if node, behind := e.tracker.Behind(); behind {
		for _, q := range p.f.procs {
			if q.id == node && !q.dead && (p.f.cut == nil || !p.f.cut(p.i, q.i)) {
				e.fold(p, q.engine.offset)
			}
		}
	}
	return out
}
