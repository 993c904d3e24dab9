// Package ratelimit keeps each workspace within its rate and burst over all
// nodes, without a node that knows all requests.
//
// The load pattern it answers is a workspace that suddenly sends many times its
// rate at all nodes, while others stay within theirs and must not be refused. The
// limit is split into shares that add up to one on every side of a partition: a
// large workspace's by demand over all nodes, a small one's over as few holders
// as keep a bucket of several requests each. A node whose bucket is empty borrows
// from others, so that a request within the rate is not refused because the
// tokens lie elsewhere. Tokens only move; a lost message destroys some and never
// makes any. What the operator tolerates above the limit covers shares that are
// not yet known everywhere.
package ratelimit

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// toleratedShare is the part of the tolerated excess that is handed out; the
	// rest covers shares that change at different moments on different nodes.
	toleratedShare = 0.5
	// rateTolerance is the part of the tolerated excess by which the shares exceed
	// the rate: some tokens lie idle at nodes that are out of requests.
	rateTolerance = 0.3
	// leastBucket is the bucket of a holder, in requests. Smaller ones would be
	// empty after a few arrivals that happen to come together.
	leastBucket = 4
	// demandFloor is the part of the rate that is split evenly, so that a node
	// without requests so far can take its first ones.
	demandFloor  = 0.1
	demandSlot   = 250 * time.Millisecond // over which arrivals are counted
	demandGain   = 0.12                   // weight of the last slot: a memory of about two seconds
	demandNotice = 0.05                   // calls per second that are worth telling
	// shareChange bounds the change of a share from one update to the next, both
	// ways, so that the shares still add up to one. Nodes learn of a demand that
	// rises everywhere at different moments; until all have, faster ones would take
	// more than their part.
	shareChange = 1.15
	// startShare is the part of a second's tokens with which a node begins: its
	// earlier incarnation may have used up the burst.
	startShare = 0.25
	// unknownFleet is the number of nodes that a node assumes until it has heard
	// of the others.
	unknownFleet = 64
	// WaitLimit bounds how long a request waits for borrowed tokens.
	WaitLimit   = 40 * time.Millisecond
	maxAsked    = 3                      // lenders asked for one request
	dryPause    = 150 * time.Millisecond // no asking after nobody had tokens
	dryLimit    = 600 * time.Millisecond // the pause doubles up to here while nobody has any
	borrowAhead = 100 * time.Millisecond // of demand that is borrowed in advance
	maxBorrow   = 16
	// silentHolder is how long a holder may be silent before another takes its
	// place.
	silentHolder = 10 * time.Second
	unit         = 1.0 // tokens per request
	// leastShareRate stands for the rate of a node that only borrows.
	leastShareRate = 0.1
)

// Limit is the limit of a workspace over all nodes. Zero means none.
type Limit struct {
	Workspace     mesh.Workspace
	RatePerSecond float64
	Burst         float64
}

// Tolerance is what the operator accepts above a limit in any window: the limit
// times Overage, plus Slack requests.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Node is one other node of the fleet.
type Node struct {
	Member mesh.Member
	Silent time.Duration // since it was last known to be alive
	// Demand is what the node says of its requests per second, by workspace. Nil
	// means that it has not said anything yet.
	Demand map[mesh.Workspace]float64
}

// Result is the decision on one request.
type Result uint8

// The results.
const (
	Admitted Result = iota
	Waiting
	OverRate
)

// Ask requests tokens of another node.
type Ask struct {
	Workspace mesh.Workspace
	Amount    float64
	Round     uint64
}

// Grant answers an Ask. Amount may be zero.
type Grant struct {
	Workspace mesh.Workspace
	Amount    float64
	Round     uint64
}

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "ratelimit-ask" }

// MessageName implements mesh.Message.
func (Grant) MessageName() string { return "ratelimit-grant" }

func init() {
	mesh.RegisterMessage(Ask{})
	mesh.RegisterMessage(Grant{})
}

// Decision is the decision on a request that waited.
type Decision struct {
	Call   uint64
	Result Result
}

// Limiter holds the accounts of all workspaces on one node. It is not safe for
// concurrent use.
type Limiter struct {
	self      mesh.Member
	tolerance Tolerance
	random    *rand.Rand
	accounts  map[mesh.Workspace]*account
	fleet     []Node
	live      uint64 // hash of the nodes that can be holders
	known     bool   // fleet is set
	outgoing  []mesh.Outgoing
	settled   []Decision
}

// account is one workspace on this node.
type account struct {
	limit    Limit
	rate     float64 // of all shares together
	share    float64
	nodes    int  // among which it was split by demand; zero: it was not
	held     bool // the limit is split among holders
	depth    float64
	level    float64
	at       time.Duration
	lenders  []mesh.Member
	demand   float64 // arrivals per second
	told     float64 // demand that the other nodes know of
	arrivals int     // in the current slot
	slot     time.Duration
	waiting  []uint64
	round    uint64
	next     int  // lender asked last
	open     bool // the answer of the round is missing
	tries    int  // lenders asked since the last one that had tokens
	asked    time.Duration
	dry      time.Duration // nobody has tokens before
	pause    time.Duration // the last one after which nobody had any; zero: somebody had
}

// New returns a ledger without accounts.
func New(self mesh.Member, t Tolerance, seed uint64) *Limiter {
	return &Limiter{
		self: self, tolerance: t, random: rand.New(rand.NewPCG(seed, 3)), accounts: map[mesh.Workspace]*account{},
	}
}

// SetLimits replaces the limits. Tokens of workspaces that stay are kept, up to
// the new depth.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	seen := map[mesh.Workspace]bool{}
	for _, limit := range limits {
		if limit.RatePerSecond <= 0 {
			continue
		}
		seen[limit.Workspace] = true
		a := l.accounts[limit.Workspace]
		if a == nil {
			a = &account{at: now, slot: now}
			l.accounts[limit.Workspace] = a
			a.limit = limit
			l.split(a)
			a.level = min(a.depth, startShare*limit.RatePerSecond*a.share)
			continue
		}
		a.accrue(now)
		a.limit = limit
		l.split(a)
	}
	for w, a := range l.accounts {
		if !seen[w] {
			l.settleAll(a, Admitted)
			delete(l.accounts, w)
		}
	}
}

// SetFleet replaces what is known of the other nodes and splits the limits anew.
// told is the node's own demand as the others know it by now: with a fresher one,
// each node would take more than its part while the demand rises everywhere.
func (l *Limiter) SetFleet(now time.Duration, told map[mesh.Workspace]float64, fleet []Node) {
	l.fleet, l.known = fleet, true
	for w, a := range l.accounts {
		a.told = told[w]
	}
	slices.SortFunc(l.fleet, func(a, b Node) int { return cmp.Compare(a.Member.Node.Host, b.Member.Node.Host) })
	live := l.liveHosts()
	for _, a := range l.accounts {
		a.accrue(now)
		if a.held && live == l.live {
			continue // the holders depend on nothing but who is alive
		}
		l.split(a)
	}
	l.live = live
}

// liveHosts returns a hash of the nodes that can be holders.
func (l *Limiter) liveHosts() uint64 {
	h := fnv.New64a()
	for _, n := range l.fleet {
		if n.Silent < silentHolder {
			_, _ = h.Write([]byte(n.Member.Node.Host)) // never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// tolerated is the excess that is handed out for a limit.
func (l *Limiter) tolerated(limit Limit) float64 {
	whole := limit.RatePerSecond*l.tolerance.Window.Seconds() + limit.Burst
	return toleratedShare * (whole*l.tolerance.Overage + l.tolerance.Slack)
}

// split determines this node's share of a limit, and who can lend to it.
func (l *Limiter) split(a *account) {
	pool := a.limit.Burst + l.tolerated(a.limit)
	a.rate = a.limit.RatePerSecond * (1 + rateTolerance*l.tolerance.Overage)
	nodes := len(l.fleet) + 1
	if !l.known {
		a.share = 1.0 / unknownFleet
		a.setDepth(max(pool/unknownFleet, unit))
		return
	}
	if holders := max(int(pool/leastBucket), 1); holders < nodes {
		a.held = true
		l.splitAmongHolders(a, holders, pool)
		return
	}
	a.held = false
	total, own := 0.0, a.told
	for _, n := range l.fleet {
		if n.Demand == nil {
			total += own
			continue
		}
		total += n.Demand[a.limit.Workspace]
	}
	floor := demandFloor * a.limit.RatePerSecond / float64(nodes)
	share := (own + floor) / (total + own + floor*float64(nodes))
	if a.nodes > 0 {
		// A node that was not known before takes its part at once.
		last := a.share * min(float64(a.nodes)/float64(nodes), 1)
		share = min(max(share, last/shareChange), last*shareChange)
	}
	a.share, a.nodes = share, nodes
	a.setDepth(max(pool*a.share, unit))
	a.lenders = l.members()
}

func (l *Limiter) members() []mesh.Member {
	out := make([]mesh.Member, len(l.fleet))
	for i := range l.fleet {
		out[i] = l.fleet[i].Member
	}
	return out
}

// splitAmongHolders gives equal shares to the nodes that rank highest for the
// workspace; all others only borrow.
func (l *Limiter) splitAmongHolders(a *account, holders int, pool float64) {
	candidates := make([]mesh.Member, 0, len(l.fleet)+1)
	candidates = append(candidates, l.self)
	for _, n := range l.fleet {
		if n.Silent < silentHolder {
			candidates = append(candidates, n.Member)
		}
	}
	mesh.RankMembers(string(a.limit.Workspace), candidates)
	candidates = candidates[:min(holders, len(candidates))]
	a.share, a.nodes, a.lenders = 0, 0, nil
	for _, m := range candidates {
		if m.Node.Host == l.self.Node.Host {
			a.share = 1 / float64(len(candidates))
			continue
		}
		a.lenders = append(a.lenders, m)
	}
	if a.share == 0 {
		// What has been borrowed in advance is kept.
		a.depth = maxBorrow
		return
	}
	a.setDepth(pool * a.share)
}

func (a *account) setDepth(depth float64) {
	a.depth = depth
	a.level = min(a.level, depth)
}

func (a *account) accrue(now time.Duration) {
	if now > a.at {
		a.level = min(a.depth, a.level+a.share*a.rate*(now-a.at).Seconds())
		a.at = now
	}
}

// count records one arrival for the demand.
func (a *account) count(now time.Duration, arrivals int) {
	for now-a.slot >= demandSlot {
		a.demand += demandGain * (float64(a.arrivals)/demandSlot.Seconds() - a.demand)
		a.arrivals = 0
		a.slot += demandSlot
		if now-a.slot > 100*demandSlot {
			a.slot, a.demand = now, 0
		}
	}
	a.arrivals += arrivals
}

// Take decides on one request. A request that waits is settled later.
func (l *Limiter) Take(now time.Duration, w mesh.Workspace, call uint64) Result {
	a := l.accounts[w]
	if a == nil {
		return Admitted
	}
	a.count(now, 1)
	a.accrue(now)
	if a.level >= unit && len(a.waiting) == 0 {
		a.level -= unit
		return Admitted
	}
	if now < a.dry || len(a.lenders) == 0 {
		return OverRate
	}
	a.waiting = append(a.waiting, call)
	l.ask(now, a)
	return Waiting
}

// ask starts a round unless one is under way.
func (l *Limiter) ask(now time.Duration, a *account) {
	if a.open && now-a.asked < WaitLimit {
		return
	}
	if !a.open {
		a.next = l.random.IntN(len(a.lenders))
		a.tries = 0
	}
	a.tries++
	a.next = (a.next + 1) % len(a.lenders)
	a.round++
	a.asked, a.open = now, true
	l.outgoing = append(l.outgoing, mesh.Outgoing{To: a.lenders[a.next], Message: Ask{
		Workspace: a.limit.Workspace, Round: a.round,
		Amount: min(math.Ceil(float64(len(a.waiting))+a.demand*borrowAhead.Seconds()), maxBorrow),
	}})
}

// Deliver takes a message of another node. It reports whether the message
// concerned the ledger.
func (l *Limiter) Deliver(now time.Duration, from mesh.Member, m mesh.Message) bool {
	switch m := m.(type) {
	case Ask:
		l.lend(now, from, m)
	case Grant:
		l.granted(now, m)
	default:
		return false
	}
	return true
}

func (l *Limiter) lend(now time.Duration, to mesh.Member, m Ask) {
	amount := 0.0
	if a := l.accounts[m.Workspace]; a != nil && len(a.waiting) == 0 && m.Amount > 0 {
		a.count(now, 0)
		a.accrue(now)
		spare := a.level - a.demand*borrowAhead.Seconds()
		amount = math.Floor(max(min(m.Amount, spare), 0)) // a part of a token would lie idle there
		a.level -= amount
	}
	l.outgoing = append(l.outgoing, mesh.Outgoing{To: to, Message: Grant{Workspace: m.Workspace, Amount: amount, Round: m.Round}})
}

func (l *Limiter) granted(now time.Duration, m Grant) {
	a := l.accounts[m.Workspace]
	if a == nil {
		return
	}
	a.accrue(now)
	a.level += m.Amount
	for len(a.waiting) > 0 && a.level >= unit {
		a.level -= unit
		l.settled = append(l.settled, Decision{a.waiting[0], Admitted})
		a.waiting = a.waiting[1:]
	}
	if m.Round != a.round {
		return // an answer to an earlier question; the last one is still to come
	}
	if m.Amount > 0 {
		a.tries, a.pause = 0, 0
	}
	if len(a.waiting) > 0 && a.tries < min(maxAsked, len(a.lenders)) {
		a.asked = now - WaitLimit // the question was answered
		l.ask(now, a)
		return
	}
	a.open = false
	if len(a.waiting) > 0 {
		a.pause = min(max(2*a.pause, dryPause), dryLimit)
		a.dry = now + a.pause
		l.settleAll(a, OverRate)
	}
}

func (l *Limiter) settleAll(a *account, r Result) {
	for _, call := range a.waiting {
		l.settled = append(l.settled, Decision{call, r})
	}
	a.waiting = nil
}

// Abandon ends the wait of a request. The result is false if it was settled
// already.
func (l *Limiter) Abandon(w mesh.Workspace, call uint64) bool {
	a := l.accounts[w]
	if a == nil {
		return false
	}
	i := slices.Index(a.waiting, call)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// Put returns the token of a request that has not run.
func (l *Limiter) Put(now time.Duration, w mesh.Workspace) {
	if a := l.accounts[w]; a != nil {
		a.accrue(now)
		a.level = min(a.level+unit, max(a.depth, a.level))
	}
}

// Excess returns the demand of the workspace at this node as a multiple of the
// node's part of the rate.
func (l *Limiter) Excess(w mesh.Workspace) float64 {
	a := l.accounts[w]
	if a == nil {
		return 0
	}
	return a.demand / max(a.share*a.limit.RatePerSecond, leastShareRate)
}

// Demand returns the requests per second at this node of each workspace whose
// limit is split by demand. Of the others, the nodes need not tell each other.
func (l *Limiter) Demand(now time.Duration) map[mesh.Workspace]float64 {
	out := map[mesh.Workspace]float64{}
	for w, a := range l.accounts {
		a.count(now, 0)
		if !a.held && a.demand >= demandNotice {
			out[w] = a.demand
		}
	}
	return out
}

// Outgoing returns the messages to be sent.
func (l *Limiter) Outgoing() []mesh.Outgoing {
	out := l.outgoing
	l.outgoing = nil
	return out
}

// Decisions returns the decisions on requests that waited.
func (l *Limiter) Decisions() []Decision {
	out := l.settled
	l.settled = nil
	return out
}
