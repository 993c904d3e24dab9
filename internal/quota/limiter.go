package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Limiter limits the calls that one node admits for each workspace. It keeps the shares
// that the node holds, the credit that it has borrowed, and the calls that wait for
// credit. It is not safe for concurrent use.
type Limiter struct {
	self            mesh.NodeID
	accounts        map[mesh.Workspace]*account
	accountOrder    []*account      // in order of creation, so that ticks are deterministic
	freshUntil      time.Duration   // see SetFreshUntil
	handedOver      bool            // the node has handed over its shares and accepts no new ones
	pendingReleases []ShareReleased // releases whose share assignment has not been applied yet
	loanID          uint64          // ID of the latest ask
	random          uint64          // state of nextRandom
	decisions       []Decision
	out             []mesh.Envelope // messages to other nodes
	local           []mesh.Envelope // messages from this node to itself
	delivering      bool            // deliverLocal is running

	recallSent map[mesh.NodeID]bool // borrowers to which the current call of recall has sent; empty otherwise
}

const maxPendingReleases = 1024

// New returns a limiter without limits or shares; it refuses every call.
func New(self mesh.NodeID, cfg Config) *Limiter {
	return &Limiter{
		self: self, accounts: make(map[mesh.Workspace]*account),
		random: cfg.Seed ^ mesh.RendezvousScore("quota", self) | 1, recallSent: make(map[mesh.NodeID]bool),
	}
}

// nextRandom advances a xorshift generator, whose state is never zero.
func (l *Limiter) nextRandom() uint64 {
	l.random ^= l.random << 13
	l.random ^= l.random >> 7
	l.random ^= l.random << 17
	return l.random
}

func (l *Limiter) account(ws mesh.Workspace) *account {
	a := l.accounts[ws]
	if a == nil {
		a = &account{workspace: ws}
		l.accounts[ws] = a
		l.accountOrder = append(l.accountOrder, a)
	}
	return a
}

// SetLimits replaces the limits of all workspaces. A workspace that is not listed gets
// rate and burst 0.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	listed := make(map[mesh.Workspace]bool, len(limits))
	for _, limit := range limits {
		listed[limit.Workspace] = true
		l.setLimit(now, l.account(limit.Workspace), microCalls(limit.RatePerSecond), microCalls(limit.Burst))
	}
	for _, a := range l.accountOrder {
		if !listed[a.workspace] {
			l.setLimit(now, a, 0, 0)
		}
	}
	l.deliverLocal(now)
}

func (l *Limiter) setLimit(now time.Duration, a *account, rate, burst int64) {
	if rate == a.rate && burst == a.burst {
		return
	}
	lowered := burst < a.burst
	a.rate, a.burst = rate, burst
	// Unreported use counts as outstanding at the holder and stops accrual once the
	// bucket is full. Therefore it is reported within a tenth of the time in which the
	// rate fills the burst.
	fillTime := time.Duration(float64(burst) / float64(max(rate, 1)) * float64(time.Second))
	a.reportDelay = min(max(fillTime/10, minReportDelay), maxReportDelay)
	for _, h := range a.held {
		l.applyLimit(now, a, h)
	}
	if lowered {
		l.returnAll(now, a)
	}
	for i := range a.views {
		a.views[i].deniedUntil = 0
		a.views[i].level, a.views[i].levelAt = burstOfShare(burst, i, len(a.views)), now
	}
}

// applyLimit applies the workspace's limit to a held share. An inactive share has rate and
// burst 0.
func (l *Limiter) applyLimit(now time.Duration, a *account, h *heldShare) {
	h.refill(now)
	if !h.active {
		h.bucket.resize(now, 0, 0)
		return
	}
	h.bucket.resize(now, a.rate/int64(h.count), burstOfShare(a.burst, h.share.Index, h.count))
}

// SetShares replaces the share assignments of a workspace. A share that this node no
// longer holds is dropped at once. A share that it gains stays inactive until Activate or
// the predecessor's release, unless it is the first assignment. A share that grows
// because the share count fell keeps its size until Activate.
func (l *Limiter) SetShares(now time.Duration, ws mesh.Workspace, shares []Share) {
	a := l.account(ws)
	old := a.views
	a.views = make([]shareView, len(shares))
	for i, s := range shares {
		a.views[i] = shareView{share: s, level: burstOfShare(a.burst, i, len(shares)), levelAt: now}
		if i < len(old) && old[i].share.Holder == s.Holder {
			a.views[i] = old[i]
			a.views[i].share = s
		}
	}
	var held []*heldShare
	for _, s := range shares {
		if s.Holder == l.self && !l.handedOver {
			held = append(held, l.holdShare(now, a, s))
		}
	}
	for _, h := range a.held {
		if index := h.share.Index; index >= len(shares) || shares[index].Holder != l.self {
			l.rejectQueued(now, h)
		}
	}
	a.held = held
	l.applyReleases(now)
	l.deliverLocal(now)
}

// holdShare returns the state of a share that is assigned to this node, creating it if
// needed.
func (l *Limiter) holdShare(now time.Duration, a *account, s Share) *heldShare {
	h := a.findHeld(s.Index)
	if h != nil && s.Epoch > h.share.Epoch+1 {
		// Epochs are positions in the log, so other records lie between the two
		// assignments. If this node skipped them, for example by restoring a snapshot, one
		// of them may have assigned the share to another node.
		l.rejectQueued(now, h)
		h = nil
		s.First = false
	}
	first := h == nil && s.First
	if h == nil {
		h = newHeldShare(s, now)
		h.active = first
	}
	h.share = s
	h.count = max(h.count, s.Count)
	l.applyLimit(now, a, h)
	if first {
		h.bucket.level = h.bucket.burst // no node can have used any of it
	}
	return h
}

// rejectQueued answers the queued asks for a share from which this node may no longer lend;
// the grants are marked Inactive.
func (l *Limiter) rejectQueued(now time.Duration, h *heldShare) {
	for _, q := range h.queue {
		l.reply(now, q.from, Grant{Workspace: q.ask.Workspace, Index: q.ask.Index, Loan: q.ask.Loan, Inactive: true})
	}
	h.queue = nil
}

// Inactive returns this node's shares that wait for Activate, because they are inactive
// or about to grow.
func (l *Limiter) Inactive() []Share {
	var shares []Share
	for _, a := range l.accountOrder {
		for _, h := range a.held {
			if !h.active || h.count != h.share.Count {
				shares = append(shares, h.share)
			}
		}
	}
	return shares
}

// Activate activates a share under its latest assignment. The caller must have
// established that the record of the assignment is in force. The level of a new share
// starts at zero, and the credit that predecessors may have lent counts as outstanding
// for holderLoanTerm.
func (l *Limiter) Activate(now time.Duration, ws mesh.Workspace, index int) {
	a := l.accounts[ws]
	h := a.findHeld(index)
	if h == nil || h.active && h.count == h.share.Count {
		return
	}
	burstBefore := h.bucket.burst
	h.active = true
	h.count = h.share.Count
	l.applyLimit(now, a, h)
	h.reserve(max(0, h.bucket.burst-burstBefore), now+holderLoanTerm)
	l.deliverLocal(now)
}

// SetFreshUntil sets the time until which this node's evidence (see package evidence) is
// fresh. From then on its shares are neither used nor lent from.
func (l *Limiter) SetFreshUntil(until time.Duration) { l.freshUntil = until }

// Take admits a call, refuses it, or queues it until credit arrives. After Waiting the
// caller collects messages with Outgoing and decisions with Decisions.
func (l *Limiter) Take(now time.Duration, ws mesh.Workspace, call mesh.CallID) Result {
	a := l.accounts[ws]
	if a == nil {
		return NoCredit
	}
	if len(a.waiting) == 0 && l.takeCall(now, a) {
		return Taken
	}
	if len(a.waiting) >= maxWaiting {
		return OverRate
	}
	if len(a.waiting) == 0 && len(a.pending) == 0 && a.bestShare(now, 0) == nil {
		return a.refusalResult(now) // no holder can be asked for credit now
	}
	a.waiting = append(a.waiting, waiter{call: call, since: now})
	l.processWaiting(now, a)
	l.deliverLocal(now)
	return Waiting
}

// takeCall takes credit for one call, first from borrowed credit and then from this
// node's shares. It takes nothing and returns false if they do not suffice.
func (l *Limiter) takeCall(now time.Duration, a *account) bool {
	if len(a.loans) > 0 && a.loans[0].expires <= now {
		a.expire(now)
	}
	missing := Call - min(a.credit, Call)
	if missing > 0 && !l.takeHeld(now, a, missing) {
		return false
	}
	if missing < Call {
		a.spend(now, Call-missing)
	}
	a.usedInSample += Call
	return true
}

// takeHeld takes amount from this node's shares, leaving the credit that queued asks of
// other nodes need. It takes nothing and returns false if the rest is not enough.
func (l *Limiter) takeHeld(now time.Duration, a *account, amount int64) bool {
	var avail int64
	for _, h := range a.held {
		if l.usable(h, now) {
			h.refill(now)
			avail += h.available()
		}
	}
	if avail < amount {
		return false
	}
	for _, h := range a.held {
		if l.usable(h, now) {
			part := min(amount, h.available())
			h.bucket.level -= part
			amount -= part
		}
	}
	return true
}

// available returns the level that is not needed for queued asks.
func (h *heldShare) available() int64 {
	if len(h.queue) == 0 {
		return h.bucket.level
	}
	return max(0, h.bucket.level-h.queuedNeed())
}

// Cancel removes a waiting call.
func (l *Limiter) Cancel(ws mesh.Workspace, call mesh.CallID) {
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

// Outgoing appends the queued messages to other nodes to out.
func (l *Limiter) Outgoing(_ time.Duration, out []mesh.Envelope) []mesh.Envelope {
	out = append(out, l.out...)
	clear(l.out)
	l.out = l.out[:0]
	return out
}

// Decisions returns the decisions made on waiting calls since it was last called. The
// slice is valid until the next method call.
func (l *Limiter) Decisions() []Decision {
	decisions := l.decisions
	l.decisions = l.decisions[:0]
	return decisions
}

// send queues a message. A message to this node itself is processed by the next
// deliverLocal.
func (l *Limiter) send(_ time.Duration, to mesh.NodeID, m mesh.Message) {
	e := mesh.Envelope{From: l.self, To: to, Message: m}
	if to == l.self {
		l.local = append(l.local, e)
		return
	}
	l.out = append(l.out, e)
}

func (l *Limiter) reply(now time.Duration, to mesh.NodeID, g Grant) { l.send(now, to, g) }

// deliverLocal processes the messages that this node sent to itself.
func (l *Limiter) deliverLocal(now time.Duration) {
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

// Deliver processes a message of this package and appends the resulting messages to out.
func (l *Limiter) Deliver(now time.Duration, from mesh.NodeID, m mesh.Message, out []mesh.Envelope) []mesh.Envelope {
	l.deliver(now, from, m)
	l.deliverLocal(now)
	return l.Outgoing(now, out)
}

// deliver processes a message. Unlike Deliver, it leaves the resulting messages queued.
func (l *Limiter) deliver(now time.Duration, from mesh.NodeID, m mesh.Message) {
	switch m := m.(type) {
	case Ask:
		l.handleAsk(now, from, m)
	case Grant:
		l.handleGrant(now, from, m)
	case Report:
		a := l.accounts[m.Workspace]
		if h := a.findHeld(m.Index); h != nil {
			h.refill(now)
			h.applyReport(from, m.Usage)
			if l.usable(h, now) {
				l.serveQueue(now, a, h)
			}
			l.processWaiting(now, a)
		}
	case Recall:
		if a := l.accounts[m.Workspace]; a != nil {
			a.expire(now)
			// Returns the credit from this share, whenever it expires, except for what the
			// waiting calls and recallKeepSeconds of recent usage need.
			keep := int64(len(a.waiting))*Call + int64(a.usageRate*recallKeepSeconds)*Call
			l.returnCredit(now, a, m.Index, farFuture, keep)
		}
	case ShareReleased:
		if len(l.pendingReleases) < maxPendingReleases {
			l.pendingReleases = append(l.pendingReleases, m)
		}
		l.applyReleases(now)
	}
}

// Tick handles expiry and time-outs and appends the resulting messages to out. It is
// called every few milliseconds while calls wait, and at least every 50 ms otherwise.
func (l *Limiter) Tick(now time.Duration, out []mesh.Envelope) []mesh.Envelope {
	for _, a := range l.accountOrder {
		for _, h := range a.held {
			h.refill(now)
			if l.usable(h, now) {
				l.serveQueue(now, a, h)
			} else {
				l.rejectQueued(now, h)
			}
		}
		l.tickBorrower(now, a)
	}
	l.deliverLocal(now)
	return l.Outgoing(now, out)
}

// HandOver releases this node's shares to successor in a planned stop. The node stops
// using the shares and lending from them before the messages are sent. A share that still
// waits for Activate is not released, because the successor could use it at once.
func (l *Limiter) HandOver(now time.Duration, successor mesh.NodeID, out []mesh.Envelope) []mesh.Envelope {
	for _, a := range l.accountOrder {
		for _, h := range a.held {
			h.refill(now)
			l.rejectQueued(now, h)
			if h.active && h.count == h.share.Count {
				l.send(now, successor, h.releaseMessage(now))
			}
		}
		a.held = nil
	}
	l.handedOver = true
	return l.Outgoing(now, out)
}

func (h *heldShare) releaseMessage(now time.Duration) ShareReleased {
	r := ShareReleased{Workspace: h.share.Workspace, Index: h.share.Index, Epoch: h.share.Epoch,
		Count: h.count, Level: h.bucket.level}
	for _, c := range h.byExpiry {
		r.Out += c.outstanding
		r.OutFor = max(r.OutFor, c.expires-now)
	}
	return r
}

// applyReleases activates shares that their previous holder has released. The epoch of the
// release must be Share.PredecessorEpoch: otherwise another node may have held the share in
// between and still use it.
func (l *Limiter) applyReleases(now time.Duration) {
	kept := l.pendingReleases[:0]
	for _, r := range l.pendingReleases {
		a := l.accounts[r.Workspace]
		h := a.findHeld(r.Index)
		if h == nil || h.share.Epoch <= r.Epoch {
			kept = append(kept, r) // the record of the new assignment has not been applied yet
			continue
		}
		if h.active || h.share.PredecessorEpoch != r.Epoch || r.Count > h.share.Count {
			continue // left to Activate: a growing share must also wait for the holders of the other shares
		}
		h.active = true
		l.applyLimit(now, a, h)
		h.reserve(r.Out, now+r.OutFor+r.OutFor*MaxDriftPercent/100)
		h.bucket.level = r.Level
		h.bucket.clamp()
	}
	l.pendingReleases = kept
}
