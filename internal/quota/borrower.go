package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const always = time.Duration(1 << 62)

const (
	usageInterval = 50 * time.Millisecond // of the estimate of recent use
	usageWeight   = 0.3
	batchFor      = 0.4  // seconds of recent use that a batch covers
	lowWaterFor   = 0.1  // seconds of recent use below which credit is asked ahead
	keepFor       = 0.02 // seconds of recent use kept at a recall
	minUsage      = 1.0  // calls per second below which nothing is asked ahead
	returnBefore  = 400 * time.Millisecond
	minReportAge  = 5 * time.Millisecond
	maxReportAge  = 250 * time.Millisecond
	askTimeout    = 40 * time.Millisecond
	unanswered    = -1 // need of an ask that was given up
	minSilence    = 100 * time.Millisecond
	maxSilence    = time.Second
)

// loan is credit that this node has borrowed.
type loan struct {
	id       uint64
	index    int
	holder   mesh.NodeID
	left     int64
	used     int64
	reported int64
	returned int64
	since    time.Duration // of the oldest use that is not reported
	expires  time.Duration
}

// view is what this node knows of one share.
type view struct {
	share       Share
	level       int64 // as of the last grant; the whole part if unknown
	at          time.Duration
	deniedUntil time.Duration
	aheadUntil  time.Duration
	silentUntil time.Duration
	failures    int
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	loan  uint64
	index int
	sent  time.Duration
	need  int64
}

type waiter struct {
	call  mesh.CallID
	since time.Duration
}

// account is the state of one workspace at this node.
type account struct {
	workspace mesh.Workspace
	rate      int64
	burst     int64
	views     []view
	held      []*held
	loans     []loan // by expiry
	credit    int64  // sum of loan.left
	waiting   []waiter
	pending   []pendingAsk
	usage     float64 // calls per second, exponentially averaged
	usedNow   int64   // micro-calls since usageAt
	usageAt   time.Duration
	reportAge time.Duration // of use before it is reported
}

func (a *account) holds(index int) *held {
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

// spend takes amount from loans, the one that expires first first.
func (a *account) spend(now time.Duration, amount int64) {
	a.credit -= amount
	for i := range a.loans {
		part := min(amount, a.loans[i].left)
		if part > 0 && a.loans[i].used == a.loans[i].reported {
			a.loans[i].since = now
		}
		a.loans[i].left -= part
		a.loans[i].used += part
		if amount -= part; amount == 0 {
			return
		}
	}
}

// expire drops loans that are out of term.
func (a *account) expire(now time.Duration) {
	n := 0
	for n < len(a.loans) && a.loans[n].expires <= now {
		a.credit -= a.loans[n].left
		n++
	}
	if n > 0 {
		a.loans = a.loans[:copy(a.loans, a.loans[n:])]
	}
}

// usageOf collects what the holder of a share has not been told yet.
func (a *account) usageOf(index int, holder mesh.NodeID) []Usage {
	var out []Usage
	for i := range a.loans {
		ln := &a.loans[i]
		if ln.index == index && ln.holder == holder && ln.used > ln.reported {
			out = append(out, Usage{Loan: ln.id, Used: ln.used})
			ln.reported = ln.used
		}
	}
	return out
}

// giveBack returns credit to the holders until no more than keep is left: of
// loans that expire before the given time, and of share index, or of all
// shares if index is negative. Unreported use is stated too.
func (l *Ledger) giveBack(now time.Duration, a *account, index int, before time.Duration, keep int64) {
	for i := range a.loans {
		ln := &a.loans[i]
		wanted := (index < 0 || ln.index == index) && ln.expires < before
		if !wanted {
			continue
		}
		back := min(ln.left, max(0, a.credit-keep))
		if back == 0 && ln.used == ln.reported {
			continue
		}
		a.credit -= back
		ln.left -= back
		ln.returned += back
		ln.reported = ln.used
		l.send(now, ln.holder, Report{Workspace: a.workspace, Index: ln.index,
			Usage: []Usage{{Loan: ln.id, Used: ln.used, Returned: ln.returned}}})
	}
}

// forfeit returns all credit, as the limit under which it was lent is gone.
func (l *Ledger) forfeit(now time.Duration, a *account) {
	l.giveBack(now, a, -1, always, 0)
	a.loans = a.loans[:0]
	a.credit = 0
	for i := range a.pending {
		a.pending[i].need = 0
	}
}

// granted takes the answer to an ask. Only the first answer to each ask
// counts, and its credit is dated from when the ask was sent.
func (l *Ledger) granted(now time.Duration, from mesh.NodeID, g Grant) {
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
		a.insert(loan{id: g.Loan, index: g.Index, holder: from, left: g.Amount, expires: p.sent + LoanTerm})
		a.credit += g.Amount
	}
	if g.Index < len(a.views) && a.views[g.Index].share.Holder == from {
		a.views[g.Index].answered(now, g, p.need == 0)
		if part := partOfBurst(a.burst, g.Index, len(a.views)); g.Burst > part {
			// The holder still lends under a larger burst than this node knows.
			l.giveBack(now, a, g.Index, always, 0)
		}
	}
	l.pump(now, a)
}

func (v *view) answered(now time.Duration, g Grant, ahead bool) {
	v.failures = 0
	v.silentUntil = 0
	v.level, v.at = g.Level, now
	if g.Inactive {
		v.silentUntil = now + minSilence
	}
	until := now + min(max(g.RetryIn, minRetryIn), maxRetryIn)
	switch {
	case g.Amount > 0 || g.Inactive:
	case ahead:
		v.aheadUntil = until // the holder keeps what is left for calls that wait
	default:
		v.deniedUntil = until
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

func (a *account) insert(ln loan) {
	i := len(a.loans)
	for i > 0 && a.loans[i-1].expires > ln.expires {
		i--
	}
	a.loans = append(a.loans, loan{})
	copy(a.loans[i+1:], a.loans[i:])
	a.loans[i] = ln
}

// pump admits waiting calls, asks for what they still lack, and refuses them
// once no holder is left to ask.
func (l *Ledger) pump(now time.Duration, a *account) {
	for len(a.waiting) > 0 && l.draw(now, a) {
		l.settle(a, Taken)
	}
	for {
		need := int64(len(a.waiting))*Call - a.credit
		open := false
		for _, p := range a.pending {
			need -= max(0, p.need)
			open = open || p.need >= 0
		}
		if need <= 0 {
			return
		}
		v := a.best(now, l.next())
		if v == nil {
			if !open {
				l.refuseWaiting(now, a)
			}
			return
		}
		l.sendAsk(now, a, v, need)
	}
}

func (l *Ledger) refuseWaiting(now time.Duration, a *account) {
	result := a.refusal(now)
	for len(a.waiting) > 0 {
		l.settle(a, result)
	}
}

// refusal says why there is nobody to ask.
func (a *account) refusal(now time.Duration) Result {
	for i := range a.views {
		if now < a.views[i].silentUntil {
			return NoCredit
		}
	}
	if len(a.views) == 0 {
		return NoCredit
	}
	return OverRate
}

func (l *Ledger) settle(a *account, r Result) {
	l.settled = append(l.settled, Decision{Call: a.waiting[0].call, Result: r})
	a.waiting = a.waiting[:copy(a.waiting, a.waiting[1:])]
}

// best returns the share that is expected to have most to lend, or nil.
// Shares that said no, do not answer, or have been asked already are left out.
func (a *account) best(now time.Duration, random uint64) *view {
	var best *view
	var most int64
	for i := range a.views {
		v := &a.views[(i+int(random%uint64(len(a.views))))%len(a.views)]
		if now < v.deniedUntil || now < v.silentUntil || a.asked(v.share.Index) {
			continue
		}
		if e := a.expected(v, now); best == nil || e > most {
			best, most = v, e
		}
	}
	return best
}

func (a *account) asked(index int) bool {
	for _, p := range a.pending {
		if p.index == index && p.need >= 0 {
			return true
		}
	}
	return false
}

// expected estimates the level of a share from its last answer.
func (a *account) expected(v *view, now time.Duration) int64 {
	part := partOfBurst(a.burst, v.share.Index, len(a.views))
	gained := float64(a.rate) / float64(len(a.views)) * min(now-v.at, time.Minute).Seconds()
	return min(part, v.level+int64(gained))
}

func (l *Ledger) sendAsk(now time.Duration, a *account, v *view, need int64) {
	l.loanID++
	batch := int64(a.usage*batchFor) * Call
	index := v.share.Index
	ask := Ask{
		Workspace: a.workspace, Index: index, Epoch: v.share.Epoch, Loan: l.loanID,
		Need: need, Want: need + batch, Usage: a.usageOf(index, v.share.Holder),
	}
	a.pending = append(a.pending, pendingAsk{loan: l.loanID, index: index, sent: now, need: need})
	l.send(now, v.share.Holder, ask)
}

// askAhead borrows before credit runs out.
func (l *Ledger) askAhead(now time.Duration, a *account) {
	low := max(Call, int64(a.usage*lowWaterFor*float64(Call)))
	if a.usage < minUsage || a.credit+a.levels(now) >= low || len(a.waiting) > 0 {
		return
	}
	for _, p := range a.pending {
		if p.need >= 0 {
			return
		}
	}
	if v := a.best(now, l.next()); v != nil && now >= v.aheadUntil {
		l.sendAsk(now, a, v, 0)
	}
}

func (a *account) levels(now time.Duration) int64 {
	var sum int64
	for _, h := range a.held {
		if h.active {
			sum += h.level.amount
		}
	}
	return sum
}

// tickBorrower ages asks, calls and loans.
func (l *Ledger) tickBorrower(now time.Duration, a *account) {
	a.expire(now)
	l.ageAsks(now, a)
	l.giveBack(now, a, -1, now+returnBefore, 0)
	a.measure(now)
	l.pump(now, a)
	for len(a.waiting) > 0 && now >= a.waiting[0].since+WaitLimit {
		l.settle(a, a.refusal(now))
	}
	l.askAhead(now, a)
	for i := range a.loans {
		ln := &a.loans[i]
		if ln.used > ln.reported && now >= ln.since+a.reportAge {
			usage := a.usageOf(ln.index, ln.holder)
			l.send(now, ln.holder, Report{Workspace: a.workspace, Index: ln.index, Usage: usage})
		}
	}
}

// ageAsks gives up on holders that do not answer. The ask itself is kept for
// its term, so that a late grant can still be used.
func (l *Ledger) ageAsks(now time.Duration, a *account) {
	kept := a.pending[:0]
	for _, p := range a.pending {
		if now >= p.sent+LoanTerm {
			continue
		}
		if p.need >= 0 && now >= p.sent+askTimeout {
			p.need = unanswered
			if p.index < len(a.views) {
				v := &a.views[p.index]
				v.failures++
				v.silentUntil = now + min(minSilence<<min(v.failures-1, 5), maxSilence)
			}
		}
		kept = append(kept, p)
	}
	a.pending = kept
}

func (a *account) measure(now time.Duration) {
	if passed := now - a.usageAt; passed >= usageInterval {
		recent := float64(a.usedNow) / float64(Call) / passed.Seconds()
		a.usage += usageWeight * (recent - a.usage)
		a.usedNow, a.usageAt = 0, now
	}
}
