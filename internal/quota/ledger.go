package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Ledger is the quota state of one node: the shares it holds, the credit it
// has borrowed, and the calls that wait. It is not safe for concurrent use.
type Ledger struct {
	self       mesh.NodeID
	accounts   map[mesh.Workspace]*account
	order      []*account // in the order of creation, so that ticks are deterministic
	freshUntil time.Duration
	released   bool // this node handed its shares over and never holds one again
	releases   []ShareReleased
	loanID     uint64
	random     uint64
	settled    []Decision
	out        []mesh.Envelope
	local      []mesh.Envelope // messages to this node itself
	delivering bool

	recalledNow map[mesh.NodeID]bool
}

const maxReleases = 1024

// New returns a ledger without limits.
func New(self mesh.NodeID, cfg Config) *Ledger {
	return &Ledger{
		self: self, accounts: make(map[mesh.Workspace]*account),
		random: cfg.Seed ^ mesh.RendezvousScore("quota", self) | 1, recalledNow: make(map[mesh.NodeID]bool),
	}
}

// next is a xorshift generator; the state is never zero.
func (l *Ledger) next() uint64 {
	l.random ^= l.random << 13
	l.random ^= l.random >> 7
	l.random ^= l.random << 17
	return l.random
}

func (l *Ledger) account(ws mesh.Workspace) *account {
	a := l.accounts[ws]
	if a == nil {
		a = &account{workspace: ws}
		l.accounts[ws] = a
		l.order = append(l.order, a)
	}
	return a
}

// SetLimits replaces the limits of all workspaces. A workspace that is missing
// has no credit from then on.
func (l *Ledger) SetLimits(now time.Duration, limits []Limit) {
	named := make(map[mesh.Workspace]bool, len(limits))
	for _, limit := range limits {
		named[limit.Workspace] = true
		l.setLimit(now, l.account(limit.Workspace), micro(limit.RatePerSecond), micro(limit.Burst))
	}
	for _, a := range l.order {
		if !named[a.workspace] {
			l.setLimit(now, a, 0, 0)
		}
	}
	l.drain(now)
}

func (l *Ledger) setLimit(now time.Duration, a *account, rate, burst int64) {
	if rate == a.rate && burst == a.burst {
		return
	}
	lowered := burst < a.burst
	a.rate, a.burst = rate, burst
	// Use that is not reported keeps the level from accruing once it is full,
	// so that it is reported within a tenth of the time to fill the burst.
	fill := time.Duration(float64(burst) / float64(max(rate, 1)) * float64(time.Second))
	a.reportAge = min(max(fill/10, minReportAge), maxReportAge)
	for _, h := range a.held {
		l.resize(now, a, h)
	}
	if lowered {
		l.forfeit(now, a)
	}
	for i := range a.views {
		a.views[i].deniedUntil = 0
		a.views[i].level, a.views[i].at = partOfBurst(burst, i, len(a.views)), now
	}
}

// resize applies the workspace's limit to a held share.
func (l *Ledger) resize(now time.Duration, a *account, h *held) {
	h.refill(now)
	if !h.active {
		h.level.resize(now, 0, 0)
		return
	}
	h.level.resize(now, a.rate/int64(h.count), partOfBurst(a.burst, h.share.Index, h.count))
}

// SetShares replaces the shares of a workspace. A share that this node no
// longer holds stops at once; one that it gains, or that grows because there
// are fewer shares, waits for Activate.
func (l *Ledger) SetShares(now time.Duration, ws mesh.Workspace, shares []Share) {
	a := l.account(ws)
	old := a.views
	a.views = make([]view, len(shares))
	for i, s := range shares {
		a.views[i] = view{share: s, level: partOfBurst(a.burst, i, len(shares)), at: now}
		if i < len(old) && old[i].share.Holder == s.Holder {
			a.views[i] = old[i]
			a.views[i].share = s
		}
	}
	var kept []*held
	for _, s := range shares {
		if s.Holder == l.self && !l.released {
			kept = append(kept, l.hold(now, a, s))
		}
	}
	for _, h := range a.held {
		if s := h.share.Index; s >= len(shares) || shares[s].Holder != l.self {
			l.abandon(now, h)
		}
	}
	a.held = kept
	l.acceptReleases(now)
	l.drain(now)
}

// hold returns the state of a share that this node holds from now on.
func (l *Ledger) hold(now time.Duration, a *account, s Share) *held {
	h := a.holds(s.Index)
	if h != nil && s.Epoch > h.share.Epoch+1 {
		// Another node may have held the share in a record that was skipped,
		// as when a snapshot was restored.
		l.abandon(now, h)
		h = nil
		s.First = false
	}
	first := h == nil && s.First
	if h == nil {
		h = newHeld(s, now)
		h.active = first
	}
	h.share = s
	h.count = max(h.count, s.Count)
	l.resize(now, a, h)
	if first {
		h.level.amount = h.level.burst // nobody can have used any of it
	}
	return h
}

// abandon answers the asks that wait for a share this node has lost.
func (l *Ledger) abandon(now time.Duration, h *held) {
	for _, q := range h.queue {
		l.reply(now, q.from, Grant{Workspace: q.ask.Workspace, Index: q.ask.Index, Loan: q.ask.Loan, Inactive: true})
	}
	h.queue = nil
}

// Inactive returns this node's shares that wait for Activate.
func (l *Ledger) Inactive() []Share {
	var shares []Share
	for _, a := range l.order {
		for _, h := range a.held {
			if !h.active || h.count != h.share.Count {
				shares = append(shares, h.share)
			}
		}
	}
	return shares
}

// Activate notes that the record of a share is effective, or that the
// predecessor was an earlier incarnation on this host. The level starts at
// zero, and whatever the predecessor can have lent counts as out for a term.
func (l *Ledger) Activate(now time.Duration, ws mesh.Workspace, index int) {
	a := l.accounts[ws]
	h := a.holds(index)
	if h == nil || h.active && h.count == h.share.Count {
		return
	}
	before := h.level.burst
	h.active = true
	h.count = h.share.Count
	l.resize(now, a, h)
	h.reserve(max(0, h.level.burst-before), now+holderTerm)
	l.drain(now)
}

// SetFreshUntil states until when this node's evidence is fresh. Shares are
// used and lent only before.
func (l *Ledger) SetFreshUntil(until time.Duration) { l.freshUntil = until }

// Take admits a call, refuses it, or lets it wait. After Waiting the caller
// collects messages with Outgoing and decisions with Settled.
func (l *Ledger) Take(now time.Duration, ws mesh.Workspace, call mesh.CallID) Result {
	a := l.accounts[ws]
	if a == nil {
		return NoCredit
	}
	if len(a.waiting) == 0 && l.draw(now, a) {
		return Taken
	}
	if len(a.waiting) >= maxWaiting {
		return OverRate
	}
	if len(a.waiting) == 0 && len(a.pending) == 0 && a.best(now, 0) == nil {
		return a.refusal(now)
	}
	a.waiting = append(a.waiting, waiter{call: call, since: now})
	l.pump(now, a)
	l.drain(now)
	return Waiting
}

// draw takes one call from this node's shares and its borrowed credit.
func (l *Ledger) draw(now time.Duration, a *account) bool {
	if len(a.loans) > 0 && a.loans[0].expires <= now {
		a.expire(now)
	}
	missing := Call - min(a.credit, Call)
	if missing > 0 && !l.drawHeld(now, a, missing) {
		return false
	}
	if missing < Call {
		a.spend(now, Call-missing)
	}
	a.usedNow += Call
	return true
}

// drawHeld takes exactly amount from the shares that this node holds, unless
// earlier asks of other nodes wait for it.
func (l *Ledger) drawHeld(now time.Duration, a *account, amount int64) bool {
	var avail int64
	for _, h := range a.held {
		if l.lendable(h, now) {
			h.refill(now)
			avail += h.spare()
		}
	}
	if avail < amount {
		return false
	}
	for _, h := range a.held {
		if l.lendable(h, now) {
			part := min(amount, h.spare())
			h.level.amount -= part
			amount -= part
		}
	}
	return true
}

func (h *held) spare() int64 {
	if len(h.queue) == 0 {
		return h.level.amount
	}
	return max(0, h.level.amount-h.queuedNeed())
}

// Forget drops a call that waits and whose caller has gone.
func (l *Ledger) Forget(ws mesh.Workspace, call mesh.CallID) {
	a := l.accounts[ws]
	if a == nil {
		return
	}
	for i := range a.waiting {
		if a.waiting[i].call == call {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Outgoing appends the messages that Take and the setters have caused.
func (l *Ledger) Outgoing(_ time.Duration, out []mesh.Envelope) []mesh.Envelope {
	out = append(out, l.out...)
	clear(l.out)
	l.out = l.out[:0]
	return out
}

// Settled returns the waiting calls that were decided since the last call. The
// slice is valid until the next method call.
func (l *Ledger) Settled() []Decision {
	settled := l.settled
	l.settled = l.settled[:0]
	return settled
}

// send queues a message; one to this node itself is taken when the current
// operation is done.
func (l *Ledger) send(_ time.Duration, to mesh.NodeID, m mesh.Message) {
	e := mesh.Envelope{From: l.self, To: to, Message: m}
	if to == l.self {
		l.local = append(l.local, e)
		return
	}
	l.out = append(l.out, e)
}

func (l *Ledger) reply(now time.Duration, to mesh.NodeID, g Grant) { l.send(now, to, g) }

// drain delivers the messages that this node sent to itself.
func (l *Ledger) drain(now time.Duration) {
	if l.delivering {
		return
	}
	l.delivering = true
	for len(l.local) > 0 {
		e := l.local[0]
		l.local = l.local[:copy(l.local, l.local[1:])]
		l.deliver(now, e.From, e.Message)
	}
	l.delivering = false
}

// Deliver takes a message of this package and appends the answers to out.
func (l *Ledger) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	l.deliver(now, from, m)
	l.drain(now)
	return l.Outgoing(now, out)
}

func (l *Ledger) deliver(now time.Duration, from mesh.NodeID, m mesh.Message) {
	switch m := m.(type) {
	case Ask:
		l.ask(now, from, m)
	case Grant:
		l.granted(now, from, m)
	case Report:
		a := l.accounts[m.Workspace]
		if h := a.holds(m.Index); h != nil {
			h.refill(now)
			h.report(from, m.Usage)
			if l.lendable(h, now) {
				l.serve(now, a, h)
			}
			l.pump(now, a)
		}
	case Recall:
		if a := l.accounts[m.Workspace]; a != nil {
			a.expire(now)
			keep := int64(len(a.waiting))*Call + int64(a.usage*keepFor)*Call
			l.giveBack(now, a, m.Index, always, keep)
		}
	case ShareReleased:
		if len(l.releases) < maxReleases {
			l.releases = append(l.releases, m)
		}
		l.acceptReleases(now)
	}
}

// Tick is called every few milliseconds while calls wait, and at least every
// 50 ms otherwise.
func (l *Ledger) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	for _, a := range l.order {
		for _, h := range a.held {
			h.refill(now)
			if l.lendable(h, now) {
				l.serve(now, a, h)
			} else {
				l.abandon(now, h)
			}
		}
		l.tickBorrower(now, a)
	}
	l.drain(now)
	return l.Outgoing(now, out)
}

// HandOver releases this node's shares to successor in a planned stop. The
// node has stopped using and lending them when the messages leave.
func (l *Ledger) HandOver(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	for _, a := range l.order {
		for _, h := range a.held {
			h.refill(now)
			l.abandon(now, h)
			if h.active && h.count == h.share.Count {
				l.send(now, successor, h.release(now))
			}
		}
		a.held = nil
	}
	l.released = true
	return l.Outgoing(now, out)
}

func (h *held) release(now time.Duration) ShareReleased {
	r := ShareReleased{Workspace: h.share.Workspace, Index: h.share.Index, Epoch: h.share.Epoch,
		Count: h.count, Level: h.level.amount}
	for _, c := range h.order {
		r.Out += c.open
		r.OutFor = max(r.OutFor, c.expires-now)
	}
	return r
}

// acceptReleases activates shares whose last holder has released them. The
// release must come from the epoch just before, as a holder in between could
// have used the share as well.
func (l *Ledger) acceptReleases(now time.Duration) {
	kept := l.releases[:0]
	for _, r := range l.releases {
		a := l.accounts[r.Workspace]
		h := a.holds(r.Index)
		if h == nil || h.share.Epoch <= r.Epoch {
			kept = append(kept, r) // the record is not folded yet
			continue
		}
		if h.active || h.share.PredecessorEpoch != r.Epoch || r.Count > h.share.Count {
			continue // Activate decides; a share that grows waits for the others too
		}
		h.active = true
		l.resize(now, a, h)
		h.reserve(r.Out, now+r.OutFor+r.OutFor*MaxDriftPercent/100)
		h.level.amount = r.Level
		h.level.clip()
	}
	l.releases = kept
}
