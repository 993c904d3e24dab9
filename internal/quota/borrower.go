package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// farFuture is later than any expiry.
const farFuture = time.Duration(1 << 62)

const (
	usageSampleInterval = 50 * time.Millisecond  // interval between updates of the usage average
	usageSampleWeight   = 0.3                    // weight of a new sample in the usage average
	batchSeconds        = 0.4                    // an ask requests this many seconds of recent usage beyond its need
	lowWaterSeconds     = 0.1                    // credit is prefetched when less than this many seconds of recent usage is left
	recallKeepSeconds   = 0.02                   // seconds of recent usage kept when credit is recalled
	minPrefetchUsage    = 1.0                    // calls per second below which no credit is prefetched
	returnMargin        = 400 * time.Millisecond // unused credit is returned this long before it expires
	minReportDelay      = 5 * time.Millisecond
	maxReportDelay      = 250 * time.Millisecond
	askTimeout          = 40 * time.Millisecond
	timedOut            = -1                     // pendingAsk.need of an ask that got no answer within askTimeout
	minBackoff          = 100 * time.Millisecond // pause after a holder did not answer or is inactive; doubles with each further time-out
	maxBackoff          = time.Second
)

// loan is credit that this node has borrowed. Amounts of credit are in micro-calls.
type loan struct {
	id              uint64 // Ask.Loan
	index           int    // of the share
	holder          mesh.NodeID
	remaining       int64
	used            int64
	reported        int64 // part of used that has been reported to the holder
	returned        int64
	unreportedSince time.Duration // time of the oldest use that is not yet reported
	expires         time.Duration
}

// shareView is what this node knows about one share, held by itself or another node.
type shareView struct {
	share            Share
	level            int64 // reported by the last grant; the share's whole burst if unknown
	levelAt          time.Duration
	deniedUntil      time.Duration // the holder denied credit; no ask before this time
	noPrefetchUntil  time.Duration // the holder denied a prefetch; no prefetch before this time
	unavailableUntil time.Duration // the holder did not answer or is inactive; no ask before this time
	failures         int           // asks that timed out since the last answer
}

// pendingAsk is an ask that has not been answered.
type pendingAsk struct {
	loan  uint64 // Ask.Loan
	index int    // of the share
	sent  time.Duration
	need  int64 // Ask.Need, which is 0 for a prefetch; 0 after returnAll; timedOut after askTimeout
}

// waiter is a call that waits for credit.
type waiter struct {
	call  mesh.CallID
	since time.Duration
}

// account is the state of one workspace at this node.
type account struct {
	workspace    mesh.Workspace
	rate         int64
	burst        int64
	views        []shareView // by share index
	held         []*heldShare
	loans        []loan   // ordered by expiry
	credit       int64    // sum of loan.remaining
	waiting      []waiter // in order of arrival
	pending      []pendingAsk
	usageRate    float64 // calls per second, exponential moving average
	usedInSample int64   // micro-calls used since sampleStart
	sampleStart  time.Duration
	reportDelay  time.Duration // longest time that use stays unreported
}

func (a *account) findHeld(index int) *heldShare {
	if a == nil {
		return nil
	}
	for _, h := range a.held {
		if h.share.Index == index {
			return h
		}
	}
	return nil
}

// spend takes amount, at most a.credit, from the loans in order of expiry.
func (a *account) spend(now time.Duration, amount int64) {
	a.credit -= amount
	for i := range a.loans {
		part := min(amount, a.loans[i].remaining)
		if part > 0 && a.loans[i].used == a.loans[i].reported {
			a.loans[i].unreportedSince = now
		}
		a.loans[i].remaining -= part
		a.loans[i].used += part
		if amount -= part; amount == 0 {
			return
		}
	}
}

// expire removes expired loans and their remaining credit.
func (a *account) expire(now time.Duration) {
	n := 0
	for n < len(a.loans) && a.loans[n].expires <= now {
		a.credit -= a.loans[n].remaining
		n++
	}
	if n > 0 {
		a.loans = a.loans[:copy(a.loans, a.loans[n:])]
	}
}

// takeUnreported returns the use that has not been reported to the holder of a
// share, and marks it as reported.
func (a *account) takeUnreported(index int, holder mesh.NodeID) []Usage {
	var usage []Usage
	for i := range a.loans {
		ln := &a.loans[i]
		if ln.index == index && ln.holder == holder && ln.used > ln.reported {
			usage = append(usage, Usage{Loan: ln.id, Used: ln.used})
			ln.reported = ln.used
		}
	}
	return usage
}

// returnCredit returns credit to the holders until at most keep is left. It considers
// only loans that expire before the given time and, unless index is negative, belong to
// the share with that index. The reports also state the use of these loans.
func (l *Limiter) returnCredit(now time.Duration, a *account, index int, before time.Duration, keep int64) {
	for i := range a.loans {
		ln := &a.loans[i]
		selected := (index < 0 || ln.index == index) && ln.expires < before
		if !selected {
			continue
		}
		amount := min(ln.remaining, max(0, a.credit-keep))
		if amount == 0 && ln.used == ln.reported {
			continue
		}
		a.credit -= amount
		ln.remaining -= amount
		ln.returned += amount
		ln.reported = ln.used
		l.send(now, ln.holder, Report{Workspace: a.workspace, Index: ln.index,
			Usage: []Usage{{Loan: ln.id, Used: ln.used, Returned: ln.returned}}})
	}
}

// returnAll returns all credit after the burst was lowered, since the credit was
// lent under the earlier limit. Pending asks no longer count towards the need of
// waiting calls.
func (l *Limiter) returnAll(now time.Duration, a *account) {
	l.returnCredit(now, a, -1, farFuture, 0)
	a.loans = a.loans[:0]
	a.credit = 0
	for i := range a.pending {
		a.pending[i].need = 0
	}
}

// handleGrant processes the answer to an ask. Only the first answer to each ask is
// accepted. The loan term starts when the ask was sent, so that the credit expires
// here before the holder stops counting it as outstanding.
func (l *Limiter) handleGrant(now time.Duration, from mesh.NodeID, g Grant) {
	a := l.accounts[g.Workspace]
	if a == nil {
		return
	}
	i := a.pendingIndex(g.Loan)
	if i < 0 {
		return
	}
	p := a.pending[i]
	a.pending = append(a.pending[:i], a.pending[i+1:]...)
	if g.Amount > 0 && now < p.sent+LoanTerm {
		a.insertLoan(loan{id: g.Loan, index: g.Index, holder: from, remaining: g.Amount, expires: p.sent + LoanTerm})
		a.credit += g.Amount
	}
	if g.Index < len(a.views) && a.views[g.Index].share.Holder == from {
		a.views[g.Index].update(now, g, p.need == 0)
		if shareBurst := burstOfShare(a.burst, g.Index, len(a.views)); g.Burst > shareBurst {
			// The holder has not yet applied a lowered burst that this node has applied.
			l.returnCredit(now, a, g.Index, farFuture, 0)
		}
	}
	l.processWaiting(now, a)
}

// update records the holder's answer. prefetch is true if the ask was a prefetch, or
// returnAll cleared its need, and it has not timed out.
func (v *shareView) update(now time.Duration, g Grant, prefetch bool) {
	v.failures = 0
	v.unavailableUntil = 0
	v.level, v.levelAt = g.Level, now
	if g.Inactive {
		v.unavailableUntil = now + minBackoff
	}
	retryAt := now + min(max(g.RetryIn, minRetryIn), maxRetryIn)
	switch {
	case g.Amount > 0 || g.Inactive:
	case prefetch:
		v.noPrefetchUntil = retryAt // the holder keeps the remaining credit for waiting calls
	default:
		v.deniedUntil = retryAt
	}
}

func (a *account) pendingIndex(id uint64) int {
	for i := range a.pending {
		if a.pending[i].loan == id {
			return i
		}
	}
	return -1
}

func (a *account) insertLoan(ln loan) {
	i := len(a.loans)
	for i > 0 && a.loans[i-1].expires > ln.expires {
		i--
	}
	a.loans = append(a.loans, loan{})
	copy(a.loans[i+1:], a.loans[i:])
	a.loans[i] = ln
}

// processWaiting admits waiting calls while there is credit, and asks holders for the
// credit that the remaining calls lack. It refuses the remaining calls if no holder is left
// to ask and no ask is pending.
func (l *Limiter) processWaiting(now time.Duration, a *account) {
	for len(a.waiting) > 0 && l.takeCall(now, a) {
		l.decideFirst(a, Taken)
	}
	for {
		need := int64(len(a.waiting))*Call - a.credit
		asking := false
		for _, p := range a.pending {
			need -= max(0, p.need)
			asking = asking || p.need >= 0
		}
		if need <= 0 {
			return
		}
		v := a.bestShare(now, l.nextRandom())
		if v == nil {
			if !asking {
				l.refuseWaiting(now, a)
			}
			return
		}
		l.sendAsk(now, a, v, need)
	}
}

func (l *Limiter) refuseWaiting(now time.Duration, a *account) {
	result := a.refusalResult(now)
	for len(a.waiting) > 0 {
		l.decideFirst(a, result)
	}
}

// refusalResult returns NoCredit if a holder is unavailable or the workspace has no
// shares, and OverRate if the holders have denied credit.
func (a *account) refusalResult(now time.Duration) Result {
	for i := range a.views {
		if now < a.views[i].unavailableUntil {
			return NoCredit
		}
	}
	if len(a.views) == 0 {
		return NoCredit
	}
	return OverRate
}

// decideFirst records the decision on the call that has waited longest.
func (l *Limiter) decideFirst(a *account, r Result) {
	l.decisions = append(l.decisions, Decision{Call: a.waiting[0].call, Result: r})
	a.waiting = a.waiting[:copy(a.waiting, a.waiting[1:])]
}

// bestShare returns the share with the highest expected level, or nil. It skips
// shares that recently denied credit, are unavailable, or have a pending ask. The
// scan starts at a random share, so that ties are broken at random.
func (a *account) bestShare(now time.Duration, random uint64) *shareView {
	var best *shareView
	var bestLevel int64
	for i := range a.views {
		v := &a.views[(i+int(random%uint64(len(a.views))))%len(a.views)]
		if now < v.deniedUntil || now < v.unavailableUntil || a.askPending(v.share.Index) {
			continue
		}
		if expected := a.expectedLevel(v, now); best == nil || expected > bestLevel {
			best, bestLevel = v, expected
		}
	}
	return best
}

func (a *account) askPending(index int) bool {
	for _, p := range a.pending {
		if p.index == index && p.need >= 0 {
			return true
		}
	}
	return false
}

// expectedLevel estimates the level of a share from the last grant and the rate.
func (a *account) expectedLevel(v *shareView, now time.Duration) int64 {
	part := burstOfShare(a.burst, v.share.Index, len(a.views))
	gained := float64(a.rate) / float64(len(a.views)) * min(now-v.levelAt, time.Minute).Seconds()
	return min(part, v.level+int64(gained))
}

func (l *Limiter) sendAsk(now time.Duration, a *account, v *shareView, need int64) {
	l.loanID++
	batch := int64(a.usageRate*batchSeconds) * Call
	index := v.share.Index
	ask := Ask{
		Workspace: a.workspace, Index: index, Epoch: v.share.Epoch, Loan: l.loanID,
		Need: need, Want: need + batch, Usage: a.takeUnreported(index, v.share.Holder),
	}
	a.pending = append(a.pending, pendingAsk{loan: l.loanID, index: index, sent: now, need: need})
	l.send(now, v.share.Holder, ask)
}

// prefetch asks for credit before it runs out, if no call waits and no ask is pending.
func (l *Limiter) prefetch(now time.Duration, a *account) {
	lowWater := max(Call, int64(a.usageRate*lowWaterSeconds*float64(Call)))
	if a.usageRate < minPrefetchUsage || a.credit+a.heldLevel(now) >= lowWater || len(a.waiting) > 0 {
		return
	}
	for _, p := range a.pending {
		if p.need >= 0 {
			return
		}
	}
	if v := a.bestShare(now, l.nextRandom()); v != nil && now >= v.noPrefetchUntil {
		l.sendAsk(now, a, v, 0)
	}
}

// heldLevel returns the sum of the levels of this node's active shares.
func (a *account) heldLevel(now time.Duration) int64 {
	var sum int64
	for _, h := range a.held {
		if h.active {
			sum += h.bucket.level
		}
	}
	return sum
}

// tickBorrower expires loans, asks and waiting calls, reports use, returns credit that is
// about to expire, and prefetches credit.
func (l *Limiter) tickBorrower(now time.Duration, a *account) {
	a.expire(now)
	l.timeOutAsks(now, a)
	l.returnCredit(now, a, -1, now+returnMargin, 0)
	a.updateUsage(now)
	l.processWaiting(now, a)
	for len(a.waiting) > 0 && now >= a.waiting[0].since+WaitLimit {
		l.decideFirst(a, a.refusalResult(now))
	}
	l.prefetch(now, a)
	for i := range a.loans {
		ln := &a.loans[i]
		if ln.used > ln.reported && now >= ln.unreportedSince+a.reportDelay {
			usage := a.takeUnreported(ln.index, ln.holder)
			l.send(now, ln.holder, Report{Workspace: a.workspace, Index: ln.index, Usage: usage})
		}
	}
}

// timeOutAsks backs off from holders that do not answer within askTimeout. The ask is
// kept for LoanTerm, so that a late grant can still be used.
func (l *Limiter) timeOutAsks(now time.Duration, a *account) {
	kept := a.pending[:0]
	for _, p := range a.pending {
		if now >= p.sent+LoanTerm {
			continue
		}
		if p.need >= 0 && now >= p.sent+askTimeout {
			p.need = timedOut
			if p.index < len(a.views) {
				v := &a.views[p.index]
				v.failures++
				v.unavailableUntil = now + min(minBackoff<<min(v.failures-1, 5), maxBackoff)
			}
		}
		kept = append(kept, p)
	}
	a.pending = kept
}

// updateUsage adds a sample to the usage average once per usageSampleInterval.
func (a *account) updateUsage(now time.Duration) {
	if elapsed := now - a.sampleStart; elapsed >= usageSampleInterval {
		sample := float64(a.usedInSample) / float64(Call) / elapsed.Seconds()
		a.usageRate += usageSampleWeight * (sample - a.usageRate)
		a.usedInSample, a.sampleStart = 0, now
	}
}
