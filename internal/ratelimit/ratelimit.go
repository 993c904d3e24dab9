// Package ratelimit keeps each workspace within its rate and burst over all nodes,
// although no node sees all requests.
//
// It handles this load pattern: one workspace suddenly sends many times its rate to all
// nodes, while the others stay within their rates and must not be refused. Each limit is
// split into shares that add up to one, also over both sides of a partition. A large
// limit is split among all nodes by demand. A small limit is split among a few nodes, its
// holders, so that the bucket of each holds several requests. A node whose bucket is
// empty borrows tokens from other nodes, so that a request within the rate is not refused
// because the tokens are elsewhere. Tokens only move between nodes: a lost message
// destroys some and never creates any, and neither does one that arrives twice: each Ask is
// granted once. The excess that the operator tolerates covers
// changes of shares that some nodes do not know yet.
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
	// depthExcessShare is the fraction of the tolerated excess that is added to the depth of
	// the buckets. The rest covers shares that change at different times on different nodes.
	depthExcessShare = 0.5
	// rateExcessShare is the fraction of Tolerance.Overage by which the refill rates of all
	// shares together exceed the rate of the limit. It compensates for tokens that are
	// unused on nodes without requests.
	rateExcessShare = 0.3
	// minHolderDepth is the least depth of the bucket of a holder, in requests. A bucket
	// with less depth would be emptied by a few arrivals that happen to coincide.
	minHolderDepth = 4
	// demandFloor is the fraction of the rate that is split evenly, so that a node
	// without earlier requests can admit its first ones.
	demandFloor        = 0.1
	demandInterval     = 250 * time.Millisecond // over which arrivals are counted
	demandGain         = 0.12                   // weight of one interval in the average, which covers about two seconds
	minPublishedDemand = 0.05                   // requests per second from which a demand is published
	// maxShareChange bounds the factor by which a share grows or shrinks from one update
	// to the next, so that the shares still add up to one. When a demand rises
	// everywhere, nodes learn of it at different times. The first to know would otherwise
	// take too large a share until all nodes know.
	maxShareChange = 1.15
	// initialFill is the fraction of one second's tokens with which a node starts. It does
	// not start with a full bucket, since its earlier incarnation may have used up the burst.
	initialFill = 0.25
	// assumedFleetSize is the number of nodes that a node assumes until SetFleet is
	// called.
	assumedFleetSize = 64
	// WaitLimit bounds how long a request waits for borrowed tokens. The caller of Take
	// enforces it with Cancel. If the Grant for an Ask takes longer, the next request that
	// has to wait asks another lender.
	WaitLimit        = 40 * time.Millisecond
	maxLenderTries   = 3                      // lenders asked in a row without getting tokens
	minBorrowBackoff = 150 * time.Millisecond // time without borrowing after no lender had tokens
	maxBorrowBackoff = 600 * time.Millisecond // limit of the back-off, which doubles while no lender has tokens
	// Borrowers also ask for the tokens that they will need within borrowAhead, and lenders
	// keep back those that they will need themselves within it.
	borrowAhead = 100 * time.Millisecond
	maxBorrow   = 16 // tokens per Ask at most
	// holderTimeout is how long a holder may be silent before another node takes its
	// place. If a partition hides a live holder, both then have a share.
	holderTimeout    = 10 * time.Second
	tokensPerRequest = 1.0
	// maxOpenAsks is the number of Asks of a bucket whose Grants are accepted. Asks that are not
	// answered are 40 ms apart at least, so a Grant may be a second late.
	maxOpenAsks = 32
	// minShareRate is the least share of the rate, in requests per second, by which
	// DemandRatio divides, since a node that only borrows has no share.
	minShareRate = 0.1
)

// Limit is the limit of a workspace over all nodes. A rate of zero means no limit.
type Limit struct {
	Workspace     mesh.Workspace
	RatePerSecond float64
	Burst         float64
}

// Tolerance is the excess over a limit that the operator accepts in any window of
// length Window: Overage, a fraction of what the limit allows in the window, plus Slack
// requests.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Node is another node of the fleet.
type Node struct {
	Member mesh.Member
	Silent time.Duration // time since the node was last known to be alive
	// Demand holds the requests per second that the node has published, by workspace.
	// Nil means that it has published nothing yet.
	Demand map[mesh.Workspace]float64
}

// Result is the decision on one request.
type Result uint8

// The results.
const (
	Admitted Result = iota
	Waiting         // for borrowed tokens; see Limiter.Decisions
	OverRate        // refused
)

// Ask requests tokens from another node.
type Ask struct {
	Workspace mesh.Workspace
	Amount    float64 // tokens
	Round     uint64  // differs between all Asks of the node
}

// Grant is the reply to the Ask with the same Round. Amount, in tokens, may be zero.
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
	ID     uint64
	Result Result
}

// Limiter holds the token buckets of all workspaces on one node. It is not safe for
// concurrent use.
type Limiter struct {
	self       mesh.Member
	tolerance  Tolerance
	random     *rand.Rand
	buckets    map[mesh.Workspace]*bucket
	fleet      []Node // the other nodes
	liveHash   uint64 // of the other nodes that could be holders at the last SetFleet
	fleetKnown bool   // SetFleet was called
	lastRound  uint64
	outgoing   []mesh.Outgoing
	decisions  []Decision
}

// bucket is the token bucket of one workspace on this node.
type bucket struct {
	limit           Limit
	totalRate       float64 // tokens per second of all shares together
	share           float64 // of this node, as a fraction of the limit
	nodes           int     // number of nodes at the last split by demand; zero if the limit is not split by demand
	hasHolders      bool    // the limit is split among holders
	depth           float64 // tokens up to which the bucket is refilled
	tokens          float64
	accruedAt       time.Duration // time up to which tokens were added
	lenders         []mesh.Member // other nodes that can be asked for tokens
	demand          float64       // arrivals per second
	publishedDemand float64       // arrivals per second at this node, as the other nodes know them
	arrivals        int           // in the current interval
	intervalStart   time.Duration
	waiting         []uint64 // requests that wait for borrowed tokens
	round           uint64   // of the last Ask
	openAsks        []uint64 // rounds of the last Asks without a Grant, oldest first
	lender          int      // index in lenders of the one that was asked last
	awaitingGrant   bool     // the Grant for the last Ask has not arrived
	tries           int      // lenders asked since the last one that had tokens
	askedAt         time.Duration
	borrowAfter     time.Duration // end of the back-off
	backoff         time.Duration // last back-off; zero if a lender has had tokens since
}

// New returns a limiter without limits.
func New(self mesh.Member, t Tolerance, seed uint64) *Limiter {
	return &Limiter{
		self: self, tolerance: t, random: rand.New(rand.NewPCG(seed, 3)), buckets: map[mesh.Workspace]*bucket{},
		// Later incarnations have a higher number, so that a late Grant for an earlier one is not
		// taken for that for an Ask of this one.
		lastRound: uint64(self.Node.Incarnation),
	}
}

// SetLimits replaces the limits. A workspace that still has a limit keeps its tokens,
// up to the new depth of the bucket.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	seen := map[mesh.Workspace]bool{}
	for _, limit := range limits {
		if limit.RatePerSecond <= 0 {
			continue
		}
		seen[limit.Workspace] = true
		b := l.buckets[limit.Workspace]
		if b == nil {
			b = &bucket{accruedAt: now, intervalStart: now}
			l.buckets[limit.Workspace] = b
			b.limit = limit
			l.split(b)
			b.tokens = min(b.depth, initialFill*limit.RatePerSecond*b.share)
			continue
		}
		b.accrue(now)
		b.limit = limit
		l.split(b)
	}
	for w, b := range l.buckets {
		if !seen[w] {
			l.decideAll(b, Admitted)
			delete(l.buckets, w)
		}
	}
}

// SetFleet replaces the other nodes and splits the limits again. publishedDemand is
// this node's demand as the others know it by now. With a more recent value, each node
// would take too large a share while the demand rises everywhere.
func (l *Limiter) SetFleet(now time.Duration, publishedDemand map[mesh.Workspace]float64, fleet []Node) {
	l.fleet, l.fleetKnown = fleet, true
	for w, b := range l.buckets {
		b.publishedDemand = publishedDemand[w]
	}
	slices.SortFunc(l.fleet, func(a, b Node) int { return cmp.Compare(a.Member.Node.Host, b.Member.Node.Host) })
	liveHash := l.liveNodesHash()
	for _, b := range l.buckets {
		b.accrue(now)
		if b.hasHolders && liveHash == l.liveHash {
			continue // the holders depend only on which nodes are alive
		}
		l.split(b)
	}
	l.liveHash = liveHash
}

// liveNodesHash returns a hash of the other nodes that can be holders.
func (l *Limiter) liveNodesHash() uint64 {
	h := fnv.New64a()
	for _, n := range l.fleet {
		if n.Silent < holderTimeout {
			_, _ = h.Write([]byte(n.Member.Node.Host)) // never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// depthExcess returns the number of tokens by which the buckets for a limit together
// exceed its burst.
func (l *Limiter) depthExcess(limit Limit) float64 {
	windowLimit := limit.RatePerSecond*l.tolerance.Window.Seconds() + limit.Burst
	return depthExcessShare * (windowLimit*l.tolerance.Overage + l.tolerance.Slack)
}

// split determines this node's share of a limit and the nodes that can lend to it. A limit
// that is too small for minHolderDepth on every node is split among holders, and any other
// by demand.
func (l *Limiter) split(b *bucket) {
	totalDepth := b.limit.Burst + l.depthExcess(b.limit)
	b.totalRate = b.limit.RatePerSecond * (1 + rateExcessShare*l.tolerance.Overage)
	nodes := len(l.fleet) + 1
	if !l.fleetKnown {
		b.share = 1.0 / assumedFleetSize
		b.setDepth(max(totalDepth/assumedFleetSize, tokensPerRequest))
		return
	}
	if holders := max(int(totalDepth/minHolderDepth), 1); holders < nodes {
		b.hasHolders = true
		l.splitAmongHolders(b, holders, totalDepth)
		return
	}
	b.hasHolders = false
	othersDemand, ownDemand := 0.0, b.publishedDemand
	for _, n := range l.fleet {
		if n.Demand == nil { // assumed to have the same demand as this node
			othersDemand += ownDemand
			continue
		}
		othersDemand += n.Demand[b.limit.Workspace]
	}
	evenDemand := demandFloor * b.limit.RatePerSecond / float64(nodes)
	share := (ownDemand + evenDemand) / (othersDemand + ownDemand + evenDemand*float64(nodes))
	if b.nodes > 0 {
		// The share of this node falls at once by what new nodes get.
		previous := b.share * min(float64(b.nodes)/float64(nodes), 1)
		share = min(max(share, previous/maxShareChange), previous*maxShareChange)
	}
	b.share, b.nodes = share, nodes
	b.setDepth(max(totalDepth*b.share, tokensPerRequest))
	b.lenders = l.otherMembers()
}

// otherMembers returns the other nodes.
func (l *Limiter) otherMembers() []mesh.Member {
	out := make([]mesh.Member, len(l.fleet))
	for i := range l.fleet {
		out[i] = l.fleet[i].Member
	}
	return out
}

// splitAmongHolders gives equal shares to the nodes that rank highest for the
// workspace. All others only borrow.
func (l *Limiter) splitAmongHolders(b *bucket, holders int, totalDepth float64) {
	candidates := make([]mesh.Member, 0, len(l.fleet)+1)
	candidates = append(candidates, l.self)
	for _, n := range l.fleet {
		if n.Silent < holderTimeout {
			candidates = append(candidates, n.Member)
		}
	}
	mesh.RankMembers(string(b.limit.Workspace), candidates)
	candidates = candidates[:min(holders, len(candidates))]
	b.share, b.nodes, b.lenders = 0, 0, nil
	for _, m := range candidates {
		if m.Node.Host == l.self.Node.Host {
			b.share = 1 / float64(len(candidates))
			continue
		}
		b.lenders = append(b.lenders, m)
	}
	if b.share == 0 {
		// The bucket holds the tokens that were borrowed in advance.
		b.depth = maxBorrow
		return
	}
	b.setDepth(totalDepth * b.share)
}

func (b *bucket) setDepth(depth float64) {
	b.depth = depth
	b.tokens = min(b.tokens, depth)
}

// accrue adds the tokens that have become available since the last call.
func (b *bucket) accrue(now time.Duration) {
	if now > b.accruedAt {
		b.tokens = min(b.depth, b.tokens+b.share*b.totalRate*(now-b.accruedAt).Seconds())
		b.accruedAt = now
	}
}

// count updates the demand with the intervals that have ended, and adds arrivals to the
// current interval.
func (b *bucket) count(now time.Duration, arrivals int) {
	for now-b.intervalStart >= demandInterval {
		b.demand += demandGain * (float64(b.arrivals)/demandInterval.Seconds() - b.demand)
		b.arrivals = 0
		b.intervalStart += demandInterval
		if now-b.intervalStart > 100*demandInterval { // the average has decayed to almost zero
			b.intervalStart, b.demand = now, 0
		}
	}
	b.arrivals += arrivals
}

// Take decides on the request with the given ID. If it returns Waiting, Decisions
// returns the decision later, unless the caller ends the wait with Cancel.
func (l *Limiter) Take(now time.Duration, w mesh.Workspace, id uint64) Result {
	b := l.buckets[w]
	if b == nil {
		return Admitted
	}
	b.count(now, 1)
	b.accrue(now)
	if b.tokens >= tokensPerRequest && len(b.waiting) == 0 {
		b.tokens -= tokensPerRequest
		return Admitted
	}
	if now < b.borrowAfter || len(b.lenders) == 0 {
		return OverRate
	}
	b.waiting = append(b.waiting, id)
	l.requestTokens(now, b)
	return Waiting
}

// requestTokens asks a lender for tokens, unless the last Ask was less than WaitLimit ago
// and its Grant has not arrived. After a random first lender, others are asked in order.
func (l *Limiter) requestTokens(now time.Duration, b *bucket) {
	if b.awaitingGrant && now-b.askedAt < WaitLimit {
		return
	}
	if !b.awaitingGrant {
		b.lender = l.random.IntN(len(b.lenders))
		b.tries = 0
	}
	b.tries++
	b.lender = (b.lender + 1) % len(b.lenders)
	l.lastRound++
	b.round = l.lastRound
	b.openAsks = append(b.openAsks[max(len(b.openAsks)+1-maxOpenAsks, 0):], b.round)
	b.askedAt, b.awaitingGrant = now, true
	l.outgoing = append(l.outgoing, mesh.Outgoing{To: b.lenders[b.lender], Message: Ask{
		Workspace: b.limit.Workspace, Round: b.round,
		Amount: min(math.Ceil(float64(len(b.waiting))+b.demand*borrowAhead.Seconds()), maxBorrow),
	}})
}

// Deliver handles a message from another node. It reports whether the message was for
// the limiter.
func (l *Limiter) Deliver(now time.Duration, from mesh.Member, m mesh.Message) bool {
	switch m := m.(type) {
	case Ask:
		l.lend(now, from, m)
	case Grant:
		l.receiveGrant(now, m)
	default:
		return false
	}
	return true
}

// lend replies to an Ask with the tokens that this node can spare.
func (l *Limiter) lend(now time.Duration, to mesh.Member, m Ask) {
	amount := 0.0
	if b := l.buckets[m.Workspace]; b != nil && len(b.waiting) == 0 && m.Amount > 0 {
		b.count(now, 0)
		b.accrue(now)
		spare := b.tokens - b.demand*borrowAhead.Seconds()
		amount = math.Floor(max(min(m.Amount, spare), 0)) // the borrower cannot use a fraction of a token
		b.tokens -= amount
	}
	l.outgoing = append(l.outgoing, mesh.Outgoing{To: to, Message: Grant{Workspace: m.Workspace, Amount: amount, Round: m.Round}})
}

// receiveGrant admits waiting requests with the tokens of a Grant, and asks another
// lender if they do not suffice. After maxLenderTries it refuses the requests that still
// wait.
func (l *Limiter) receiveGrant(now time.Duration, m Grant) {
	b := l.buckets[m.Workspace]
	if b == nil {
		return
	}
	i := slices.Index(b.openAsks, m.Round)
	if i < 0 {
		return // the Grant has arrived before: its sender did not get the acknowledgement
	}
	b.openAsks = slices.Delete(b.openAsks, i, i+1)
	b.accrue(now)
	b.tokens += m.Amount
	for len(b.waiting) > 0 && b.tokens >= tokensPerRequest {
		b.tokens -= tokensPerRequest
		l.decisions = append(l.decisions, Decision{b.waiting[0], Admitted})
		b.waiting = b.waiting[1:]
	}
	if m.Round != b.round {
		return // this Grant replies to an earlier Ask; that for the last one has not arrived yet
	}
	if m.Amount > 0 {
		b.tries, b.backoff = 0, 0
	}
	if len(b.waiting) > 0 && b.tries < min(maxLenderTries, len(b.lenders)) {
		b.askedAt = now - WaitLimit // lets requestTokens ask the next lender at once
		l.requestTokens(now, b)
		return
	}
	b.awaitingGrant = false
	if len(b.waiting) > 0 {
		b.backoff = min(max(2*b.backoff, minBorrowBackoff), maxBorrowBackoff)
		b.borrowAfter = now + b.backoff
		l.decideAll(b, OverRate)
	}
}

// decideAll decides on all requests that wait for tokens of the bucket.
func (l *Limiter) decideAll(b *bucket, r Result) {
	for _, id := range b.waiting {
		l.decisions = append(l.decisions, Decision{id, r})
	}
	b.waiting = nil
}

// Cancel ends the wait of a request. It returns false if the request was decided
// already.
func (l *Limiter) Cancel(w mesh.Workspace, id uint64) bool {
	b := l.buckets[w]
	if b == nil {
		return false
	}
	i := slices.Index(b.waiting, id)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// Refund puts back the token of a request that has not run.
func (l *Limiter) Refund(now time.Duration, w mesh.Workspace) {
	if b := l.buckets[w]; b != nil {
		b.accrue(now)
		b.tokens = min(b.tokens+tokensPerRequest, max(b.depth, b.tokens))
	}
}

// DemandRatio returns the demand of the workspace at this node as a multiple of the node's
// share of the rate.
func (l *Limiter) DemandRatio(w mesh.Workspace) float64 {
	b := l.buckets[w]
	if b == nil {
		return 0
	}
	return b.demand / max(b.share*b.limit.RatePerSecond, minShareRate)
}

// Demand returns the requests per second at this node of each workspace whose limit is
// split by demand. Other demands need not be published.
func (l *Limiter) Demand(now time.Duration) map[mesh.Workspace]float64 {
	out := map[mesh.Workspace]float64{}
	for w, b := range l.buckets {
		b.count(now, 0)
		if !b.hasHolders && b.demand >= minPublishedDemand {
			out[w] = b.demand
		}
	}
	return out
}

// Outgoing returns the messages to be sent that were queued since the last call.
func (l *Limiter) Outgoing() []mesh.Outgoing {
	out := l.outgoing
	l.outgoing = nil
	return out
}

// Decisions returns the decisions made since the last call on requests that waited.
func (l *Limiter) Decisions() []Decision {
	out := l.decisions
	l.decisions = nil
	return out
}
