package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	maxAskDelay       = 20 * time.Millisecond // longest time that an ask waits for credit at the holder
	minRecallInterval = 10 * time.Millisecond
	maxRecallInterval = 640 * time.Millisecond
	minRetryIn        = 5 * time.Millisecond
	maxRetryIn        = 200 * time.Millisecond
	denialWindow      = 250 * time.Millisecond // interval over which denials are counted for RetryIn
	extraDivisor      = 4                      // credit beyond the need is at most 1/4 of the remaining level
	maxQueuedAsks     = 1024
	noLoan            = 0 // loan ID of credit reserved for a predecessor's loans
)

type loanKey struct {
	node mesh.NodeID // borrower
	loan uint64      // Ask.Loan
}

// lentCredit is credit that counts as outstanding until it expires or the borrower
// reports it as used or returned.
type lentCredit struct {
	key         loanKey
	amount      int64 // as granted
	used        int64
	returned    int64
	outstanding int64
	expires     time.Duration
}

// queuedAsk is an ask that waits at the holder until enough credit has accrued or was
// returned.
type queuedAsk struct {
	from     mesh.NodeID
	ask      Ask
	deadline time.Duration
}

// heldShare is a share that this node holds.
type heldShare struct {
	share    Share
	active   bool // may be used and lent from while the node's evidence is fresh
	count    int  // share count in force; equals share.Count once the assignment is active
	bucket   tokenBucket
	loans    map[loanKey]*lentCredit
	byExpiry []*lentCredit // includes reserved credit, which has no entry in loans
	queue    []queuedAsk

	nextRecallAt      time.Duration
	recallInterval    time.Duration
	creditReturned    bool // credit was returned since the last recall
	denials           int  // in the denialWindow that began at denialWindowStart
	denialWindowStart time.Duration
	outstandingByNode map[mesh.NodeID]int64
	previousDenials   int // in the window before
}

func newHeldShare(s Share, now time.Duration) *heldShare {
	return &heldShare{
		share: s, count: s.Count, bucket: tokenBucket{updatedAt: now}, recallInterval: minRecallInterval,
		loans: make(map[loanKey]*lentCredit), outstandingByNode: make(map[mesh.NodeID]int64),
	}
}

// reserve counts amount, which a predecessor may have lent, as outstanding until the
// given time. Otherwise the level could grow to the full burst in addition to that credit.
func (h *heldShare) reserve(amount int64, until time.Duration) {
	h.addLent(&lentCredit{amount: amount, outstanding: amount, expires: until})
}

// addLent counts credit as outstanding and inserts it into byExpiry. All loans have the
// same term and only reserved credit can have another, so it is normally added at the end.
func (h *heldShare) addLent(c *lentCredit) {
	h.bucket.outstanding += c.outstanding
	h.bucket.clamp()
	i := len(h.byExpiry)
	for i > 0 && h.byExpiry[i-1].expires > c.expires {
		i--
	}
	h.byExpiry = append(h.byExpiry, nil)
	copy(h.byExpiry[i+1:], h.byExpiry[i:])
	h.byExpiry[i] = c
	if c.key.loan != noLoan {
		h.loans[c.key] = c
		h.outstandingByNode[c.key.node] += c.outstanding
	}
}

// reduceOutstanding lowers a loan's outstanding credit and the totals by amount.
func (h *heldShare) reduceOutstanding(c *lentCredit, amount int64) {
	c.outstanding -= amount
	h.bucket.outstanding -= amount
	if c.key.loan == noLoan {
		return
	}
	if h.outstandingByNode[c.key.node] -= amount; h.outstandingByNode[c.key.node] <= 0 {
		delete(h.outstandingByNode, c.key.node)
	}
}

// refill accrues credit up to now and expires loans in order of expiry. Expired credit
// counts as used.
func (h *heldShare) refill(now time.Duration) {
	for len(h.byExpiry) > 0 && h.byExpiry[0].expires <= now {
		c := h.byExpiry[0]
		h.bucket.accrue(c.expires)
		h.reduceOutstanding(c, c.outstanding)
		delete(h.loans, c.key)
		h.byExpiry[0] = nil
		h.byExpiry = h.byExpiry[1:]
	}
	h.bucket.accrue(now)
}

// applyReport applies a borrower's usage totals. Only increases count, so that
// duplicate and outdated reports have no effect. Reports on expired loans are ignored,
// because all credit of these loans already counts as used.
func (h *heldShare) applyReport(from mesh.NodeID, usage []Usage) {
	for _, u := range usage {
		c := h.loans[loanKey{from, u.Loan}]
		if c == nil {
			continue
		}
		used := min(max(0, u.Used-c.used), c.outstanding)
		c.used += used
		h.reduceOutstanding(c, used)
		returned := min(max(0, u.Returned-c.returned), c.outstanding)
		c.returned += returned
		h.reduceOutstanding(c, returned)
		h.bucket.level += returned
		if returned > 0 {
			h.creditReturned = true
		}
	}
	h.bucket.clamp()
}

func (h *heldShare) queuedNeed() int64 {
	var need int64
	for _, q := range h.queue {
		need += q.ask.Need
	}
	return need
}

// offer returns how much the holder would lend: the need, and beyond it at most
// 1/extraDivisor of the remaining level. Partial and additional amounts are whole calls.
func (h *heldShare) offer(ask Ask) int64 {
	avail := h.bucket.level
	amount := min(ask.Need, avail)
	if extra := min(ask.Want-ask.Need, (avail-amount)/extraDivisor); extra > 0 {
		amount += extra
	}
	if amount < ask.Need {
		amount -= amount % Call
	} else {
		amount -= (amount - ask.Need) % Call
	}
	return amount
}

// usable reports whether this node may use the share and lend from it now.
func (l *Limiter) usable(h *heldShare, now time.Duration) bool {
	return h.active && !l.handedOver && now < l.freshUntil
}

func (l *Limiter) handleAsk(now time.Duration, from mesh.NodeID, ask Ask) {
	a := l.accounts[ask.Workspace]
	h := a.findHeld(ask.Index)
	if h == nil || !l.usable(h, now) {
		l.reply(now, from, Grant{Workspace: ask.Workspace, Index: ask.Index, Epoch: ask.Epoch, Loan: ask.Loan, Inactive: true})
		return
	}
	h.refill(now)
	h.applyReport(from, ask.Usage)
	ask.Usage = nil
	if c := h.loans[loanKey{from, ask.Loan}]; c != nil {
		l.sendGrant(now, h, from, ask, c.amount) // duplicate ask: repeat the answer
		return
	}
	l.serveQueue(now, a, h)
	// Lends at once if at least one call can be lent and no earlier ask is queued.
	if h.offer(ask) >= min(max(ask.Need, Call), Call) && len(h.queue) == 0 {
		l.lendTo(now, h, from, ask)
		return
	}
	l.queueOrDeny(now, a, h, queuedAsk{from: from, ask: ask, deadline: now + maxAskDelay})
}

// queueOrDeny queues an ask if enough credit will accrue, or can be recalled from other
// borrowers, within maxAskDelay. Otherwise it denies the ask.
func (l *Limiter) queueOrDeny(now time.Duration, a *account, h *heldShare, q queuedAsk) {
	lentToOthers := int64(0)
	for node, out := range h.outstandingByNode {
		if node != q.from {
			lentToOthers += out
		}
	}
	recallDue := now >= h.nextRecallAt
	accruesSoon := h.bucket.timeUntilCalls(1+h.queuedNeed()/Call) < maxAskDelay
	// Borrowers may still return credit after the latest recall, unless they returned
	// none after earlier recalls.
	recalledRecently := !recallDue && h.recallInterval <= 2*minRecallInterval
	if q.ask.Need <= 0 || len(h.queue) >= maxQueuedAsks || !(accruesSoon || lentToOthers >= Call && (recallDue || recalledRecently)) {
		l.deny(now, h, q)
		return
	}
	h.queue = append(h.queue, q)
	if lentToOthers >= Call && recallDue {
		l.recall(now, a, h, q.from)
	}
}

// recall asks all borrowers except asker to return unneeded credit. The interval between
// recalls doubles while no credit is returned, so that a workspace over its rate causes few
// messages.
func (l *Limiter) recall(now time.Duration, a *account, h *heldShare, asker mesh.NodeID) {
	h.recallInterval = min(2*h.recallInterval, maxRecallInterval)
	if h.creditReturned {
		h.recallInterval = minRecallInterval
	}
	h.creditReturned = false
	h.nextRecallAt = now + h.recallInterval
	for _, c := range h.byExpiry {
		node := c.key.node
		if node == asker || c.outstanding == 0 || c.key.loan == noLoan || l.recallSent[node] {
			continue
		}
		l.recallSent[node] = true
		l.send(now, node, Recall{Workspace: a.workspace, Index: h.share.Index})
	}
	clear(l.recallSent)
}

// serveQueue grants queued asks in order of arrival and denies those past their deadline.
func (l *Limiter) serveQueue(now time.Duration, a *account, h *heldShare) {
	for len(h.queue) > 0 {
		q := h.queue[0]
		granted := h.offer(q.ask) >= Call || h.offer(q.ask) >= q.ask.Need
		// After a pause of this node the deadline may have passed by more than WaitLimit.
		// The calls at the asker have then timed out, and a grant would be wasted.
		granted = granted && now < q.deadline+WaitLimit
		if !granted && now < q.deadline {
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

func (l *Limiter) lendTo(now time.Duration, h *heldShare, from mesh.NodeID, ask Ask) {
	amount := h.offer(ask)
	h.bucket.level -= amount
	key := loanKey{from, ask.Loan}
	h.addLent(&lentCredit{key: key, amount: amount, outstanding: amount, expires: now + holderLoanTerm})
	l.sendGrant(now, h, from, ask, amount)
}

// deny answers that no credit is available and counts the denial. sendGrant derives
// RetryIn from the denials in this window and the one before.
func (l *Limiter) deny(now time.Duration, h *heldShare, q queuedAsk) {
	if now >= h.denialWindowStart+denialWindow {
		h.previousDenials, h.denials = h.denials, 0
		h.denialWindowStart = now
	}
	h.denials++
	l.sendGrant(now, h, q.from, q.ask, 0)
}

func (l *Limiter) sendGrant(now time.Duration, h *heldShare, to mesh.NodeID, ask Ask, amount int64) {
	g := Grant{
		Workspace: ask.Workspace, Index: ask.Index, Epoch: h.share.Epoch, Loan: ask.Loan,
		Amount: amount, Level: h.bucket.level, Burst: h.bucket.burst,
	}
	if amount == 0 {
		// The time to accrue one call, plus one more for every eight recent denials,
		// spreads the askers' retries.
		wait := h.bucket.timeUntilCalls(1 + int64(max(h.denials, h.previousDenials))/8)
		g.RetryIn = min(max(wait, minRetryIn), maxRetryIn)
	}
	l.reply(now, to, g)
}
