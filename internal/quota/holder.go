package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	deferFor      = 20 * time.Millisecond // an ask waits so long for recalled credit
	minRecallGap  = 10 * time.Millisecond
	maxRecallGap  = 640 * time.Millisecond
	minRetryIn    = 5 * time.Millisecond
	maxRetryIn    = 200 * time.Millisecond
	denialsWindow = 250 * time.Millisecond
	lendFraction  = 4 // credit beyond the need is at most 1/4 of what is left
	maxQueuedAsks = 1024
	noLoan        = 0
)

type loanKey struct {
	node mesh.NodeID
	loan uint64
}

// lent is credit that counts as out until it expires or is accounted for.
type lent struct {
	key     loanKey
	amount  int64
	used    int64
	back    int64
	open    int64
	expires time.Duration
}

type queuedAsk struct {
	from  mesh.NodeID
	ask   Ask
	until time.Duration
}

// held is a share that this node holds.
type held struct {
	share  Share
	active bool
	count  int // share count in force; share.Count once active
	level  level
	loans  map[loanKey]*lent
	order  []*lent // by expiry; the term is the same for all but reserves
	queue  []queuedAsk

	recallAt   time.Duration
	recallGap  time.Duration
	recalled   bool // credit came back since the last recall
	denials    int
	denialsAt  time.Duration
	outByNode  map[mesh.NodeID]int64
	lastDenied int
}

func newHeld(s Share, now time.Duration) *held {
	return &held{
		share: s, count: s.Count, level: level{at: now}, recallGap: minRecallGap,
		loans: make(map[loanKey]*lent), outByNode: make(map[mesh.NodeID]int64),
	}
}

// reserve counts credit as out that a predecessor may have lent. Without it
// the level would grow to the burst beside the predecessor's credit.
func (h *held) reserve(amount int64, until time.Duration) {
	h.lend(&lent{amount: amount, open: amount, expires: until})
}

func (h *held) lend(c *lent) {
	h.level.out += c.open
	h.level.clip()
	i := len(h.order)
	for i > 0 && h.order[i-1].expires > c.expires {
		i--
	}
	h.order = append(h.order, nil)
	copy(h.order[i+1:], h.order[i:])
	h.order[i] = c
	if c.key.loan != noLoan {
		h.loans[c.key] = c
		h.outByNode[c.key.node] += c.open
	}
}

// settle removes open credit of a loan from what is out.
func (h *held) settle(c *lent, amount int64) {
	c.open -= amount
	h.level.out -= amount
	if c.key.loan == noLoan {
		return
	}
	if h.outByNode[c.key.node] -= amount; h.outByNode[c.key.node] <= 0 {
		delete(h.outByNode, c.key.node)
	}
}

// refill accrues up to now and expires loans in the order of time. Expired
// credit counts as used.
func (h *held) refill(now time.Duration) {
	for len(h.order) > 0 && h.order[0].expires <= now {
		c := h.order[0]
		h.level.accrue(c.expires)
		h.settle(c, c.open)
		delete(h.loans, c.key)
		h.order[0] = nil
		h.order = h.order[1:]
	}
	h.level.accrue(now)
}

// report applies what a borrower states. Totals never shrink, so that
// duplicates and old reports change nothing; an expired loan is already used.
func (h *held) report(from mesh.NodeID, usage []Usage) {
	for _, u := range usage {
		c := h.loans[loanKey{from, u.Loan}]
		if c == nil {
			continue
		}
		used := min(max(0, u.Used-c.used), c.open)
		c.used += used
		h.settle(c, used)
		back := min(max(0, u.Returned-c.back), c.open)
		c.back += back
		h.settle(c, back)
		h.level.amount += back
		if back > 0 {
			h.recalled = true
		}
	}
	h.level.clip()
}

// queuedNeed is what asks that arrived earlier wait for.
func (h *held) queuedNeed() int64 {
	var need int64
	for _, q := range h.queue {
		need += q.ask.Need
	}
	return need
}

// offer returns how much the holder lends: the need, and part of the rest.
func (h *held) offer(a Ask) int64 {
	avail := h.level.amount
	amount := min(a.Need, avail)
	if extra := min(a.Want-a.Need, (avail-amount)/lendFraction); extra > 0 {
		amount += extra
	}
	if amount < a.Need {
		amount -= amount % Call
	} else {
		amount -= (amount - a.Need) % Call
	}
	return amount
}

// lendable reports whether this node may use and lend the share now.
func (l *Ledger) lendable(h *held, now time.Duration) bool {
	return h.active && !l.released && now < l.freshUntil
}

func (l *Ledger) ask(now time.Duration, from mesh.NodeID, a Ask) {
	acc := l.accounts[a.Workspace]
	h := acc.holds(a.Index)
	if h == nil || !l.lendable(h, now) {
		l.reply(now, from, Grant{Workspace: a.Workspace, Index: a.Index, Epoch: a.Epoch, Loan: a.Loan, Inactive: true})
		return
	}
	h.refill(now)
	h.report(from, a.Usage)
	a.Usage = nil
	if c := h.loans[loanKey{from, a.Loan}]; c != nil {
		l.grant(now, h, from, a, c.amount) // a duplicate: the same answer again
		return
	}
	l.serve(now, acc, h)
	if h.offer(a) >= min(max(a.Need, Call), Call) && len(h.queue) == 0 {
		l.lendTo(now, h, from, a)
		return
	}
	l.postpone(now, acc, h, queuedAsk{from: from, ask: a, until: now + deferFor})
}

// postpone queues an ask while credit is recalled, or denies it.
func (l *Ledger) postpone(now time.Duration, acc *account, h *held, q queuedAsk) {
	idle := int64(0)
	for node, out := range h.outByNode {
		if node != q.from {
			idle += out
		}
	}
	due := now >= h.recallAt
	soon := h.level.untilCalls(1+h.queuedNeed()/Call) < deferFor
	pending := !due && h.recallGap <= 2*minRecallGap
	if q.ask.Need <= 0 || len(h.queue) >= maxQueuedAsks || !(soon || idle >= Call && (due || pending)) {
		l.deny(now, h, q)
		return
	}
	h.queue = append(h.queue, q)
	if idle >= Call && due {
		l.recall(now, acc, h, q.from)
	}
}

// recall asks all borrowers for idle credit. The interval doubles while
// nothing comes back, so that a workspace over its rate causes few messages.
func (l *Ledger) recall(now time.Duration, acc *account, h *held, except mesh.NodeID) {
	h.recallGap = min(2*h.recallGap, maxRecallGap)
	if h.recalled {
		h.recallGap = minRecallGap
	}
	h.recalled = false
	h.recallAt = now + h.recallGap
	for _, c := range h.order {
		node := c.key.node
		if node == except || c.open == 0 || c.key.loan == noLoan || l.recalledNow[node] {
			continue
		}
		l.recalledNow[node] = true
		l.send(now, node, Recall{Workspace: acc.workspace, Index: h.share.Index})
	}
	clear(l.recalledNow)
}

// serve grants queued asks in the order of arrival and denies overdue ones.
func (l *Ledger) serve(now time.Duration, acc *account, h *held) {
	for len(h.queue) > 0 {
		q := h.queue[0]
		granted := h.offer(q.ask) >= Call || h.offer(q.ask) >= q.ask.Need
		// After a pause of this node the asker has given up; a grant would be lost.
		granted = granted && now < q.until+WaitLimit
		if !granted && now < q.until {
			return
		}
		h.queue = h.queue[1:]
		if granted {
			l.lendTo(now, h, q.from, q.ask)
		} else {
			l.deny(now, h, q)
		}
	}
}

func (l *Ledger) lendTo(now time.Duration, h *held, from mesh.NodeID, a Ask) {
	amount := h.offer(a)
	h.level.amount -= amount
	key := loanKey{from, a.Loan}
	h.lend(&lent{key: key, amount: amount, open: amount, expires: now + holderTerm})
	l.grant(now, h, from, a, amount)
}

// deny says that there is nothing. Each asker is told not to ask again for as long
// as the level needs for one call for each of the recent askers.
func (l *Ledger) deny(now time.Duration, h *held, q queuedAsk) {
	if now >= h.denialsAt+denialsWindow {
		h.lastDenied, h.denials = h.denials, 0
		h.denialsAt = now
	}
	h.denials++
	l.grant(now, h, q.from, q.ask, 0)
}

func (l *Ledger) grant(now time.Duration, h *held, to mesh.NodeID, a Ask, amount int64) {
	g := Grant{
		Workspace: a.Workspace, Index: a.Index, Epoch: h.share.Epoch, Loan: a.Loan,
		Amount: amount, Level: h.level.amount, Burst: h.level.burst,
	}
	if amount == 0 {
		wait := h.level.untilCalls(1 + int64(max(h.denials, h.lastDenied))/8)
		g.RetryIn = min(max(wait, minRetryIn), maxRetryIn)
	}
	l.reply(now, to, g)
}
