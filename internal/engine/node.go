package engine

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/config"
	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/membership"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/quota"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/ticket"
	"cardamomhatch/internal/timeline"
)

// Config holds the start parameters of a node.
type Config struct {
	Self           mesh.Member
	Seeds          []mesh.Member    // nodes to fetch records from while the log cannot provide them
	Seed           [32]byte         // unpredictable outside tests; tokens and MAC keys depend on it
	StartUnixNano  int64            // wall-clock time at now == 0, in nanoseconds since the Unix epoch
	Policy         admission.Policy // PolicyFull in operation; the others are baselines for experiments
	RetryAllowance int              // retries of one action, at all services together; DefaultRetryAllowance if zero
	TimelineSize   int              // timeline events retained; DefaultTimelineSize if zero

	SnapshotEvery    uint64        // number of records between snapshots; DefaultSnapshotEvery if zero
	SnapshotInterval time.Duration // time between snapshots if there are fewer records; DefaultSnapshotInterval if zero
}

// Defaults of Config.
const (
	DefaultRetryAllowance = 3
	DefaultTimelineSize   = 4096
)

// Node is the state machine of one node. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	random *rand.Rand
	out    []Effect // effects of the current step

	calls       map[mesh.CallID]*call
	running     map[Token]*call // calls that the local upstream is running
	freeCall    *call           // ended call, reused by the next newCall
	loadSlab    []Load          // load reports allocated in advance; see newLoad
	dueCalls    []mesh.CallID   // scratch buffer of handleDueCalls
	dispatching bool            // dispatchQueued is on the stack
	stopping    bool
	stopped     bool
	lastNow     time.Duration // time of the last step

	state              *config.State
	routes             *routeTable
	edges              map[edgeKey]*edge
	lastEdgeIndex      int // highest edge index assigned so far
	downstreamServices map[mesh.Service][]mesh.Service
	evidence           *evidence.Tracker
	keys               *keys.Table
	quota              *quota.Limiter
	tickets            *ticket.Registry
	admission          *admission.Controller
	routing            *routing.Table
	members            *membership.Directory
	clock              timeline.Clock
	ring               *timeline.Ring
	control            control
	envelopes          []mesh.Envelope // control messages that flush sends at the end of the step
}

// New returns a node without configuration.
func New(cfg Config) *Node {
	if cfg.RetryAllowance == 0 {
		cfg.RetryAllowance = DefaultRetryAllowance
	}
	if cfg.TimelineSize == 0 {
		cfg.TimelineSize = DefaultTimelineSize
	}
	cfg.SnapshotEvery = cmp.Or(cfg.SnapshotEvery, DefaultSnapshotEvery)
	cfg.SnapshotInterval = cmp.Or(cfg.SnapshotInterval, DefaultSnapshotInterval)
	random := rand.New(rand.NewChaCha8(cfg.Seed))
	var macKey [32]byte
	for i := range macKey {
		macKey[i] = byte(random.Uint32())
	}
	self := cfg.Self.Node
	n := &Node{
		cfg:       cfg,
		random:    random,
		calls:     make(map[mesh.CallID]*call),
		running:   make(map[Token]*call),
		state:     config.New(),
		routes:    newRouteTable(nil),
		edges:     make(map[edgeKey]*edge),
		evidence:  evidence.New(self, evidence.Config{}),
		keys:      keys.New(),
		quota:     quota.New(self, quota.Config{Seed: random.Uint64()}),
		tickets:   ticket.New(self, macKey, ticket.Config{}),
		admission: admission.New(admission.Config{Policy: cfg.Policy}),
		routing:   routing.New(routing.Config{Seed: random.Uint64(), DataCentre: cfg.Self.DataCentre, Self: self}),
		members:   membership.New(cfg.Self, membership.Config{Seed: random.Uint64(), Seeds: cfg.Seeds}),
		ring:      timeline.NewRing(cfg.TimelineSize),
		control:   newControl(),
	}
	return n
}

// Step applies one event and appends its effects to out. now is the monotonic
// time since the start of the process; it must not decrease.
func (n *Node) Step(now time.Duration, ev Event, out []Effect) []Effect {
	n.out = out
	n.lastNow = now
	switch ev := ev.(type) {
	case *CallArrived:
		n.callArrived(now, ev)
	case *TicketRequested:
		n.ticketRequested(now, ev)
	case *DownstreamCallArrived:
		n.downstreamCallArrived(now, ev)
	case *ForwardedCallArrived:
		n.forwardedCallArrived(now, ev)
	case *ResponseReceived:
		n.responseReceived(now, ev)
	case *AttemptFailed:
		n.attemptFailed(now, ev)
	case *RelayEnded:
		n.relayEnded(now, ev)
	case *CallCancelled:
		n.callCancelled(now, ev)
	default:
		n.stepControl(now, ev)
	}
	n.flush(now)
	out = n.out
	n.out = nil
	return out
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// flush continues or refuses calls whose wait for quota credit has ended, and sends
// the queued control messages.
func (n *Node) flush(now time.Duration) {
	n.envelopes = n.quota.Outgoing(now, n.envelopes)
	for _, d := range n.quota.Decisions() {
		if c := n.calls[d.Call]; c != nil && c.phase == waitsForCredit {
			n.creditDecided(now, c, d.Result)
		}
	}
	for _, e := range n.envelopes {
		n.sendEnvelope(now, e)
	}
	clear(n.envelopes)
	n.envelopes = n.envelopes[:0]
}

func (n *Node) sendEnvelope(now time.Duration, e mesh.Envelope) {
	if e.To == n.cfg.Self.Node {
		n.deliver(now, e)
		return
	}
	member, ok := n.members.Lookup(e.To)
	if !ok {
		return
	}
	n.emit(Effect{Kind: Send, Member: member, Envelope: e})
}

// unixNano returns the wall-clock time at now, in nanoseconds since the Unix epoch.
func (n *Node) unixNano(now time.Duration) int64 { return n.cfg.StartUnixNano + int64(now) }

func (n *Node) recordCallEvent(now time.Duration, kind timeline.Kind, c *call, r outcome.Reason, value int64) {
	n.recordEvent(now, timeline.Event{Kind: kind, Action: c.action, Workspace: c.workspace,
		Service: c.service, Reason: r, Value: value})
}

func (n *Node) recordEvent(now time.Duration, e timeline.Event) {
	e.Stamp = n.clock.Now(n.unixNano(now))
	e.Host = n.cfg.Self.Node.Host
	n.ring.Add(e)
}

// Timeline returns the recorded events, oldest first.
func (n *Node) Timeline() []timeline.Event { return n.ring.Events() }

// State returns the folded configuration. It is valid until the next step.
func (n *Node) State() *config.State { return n.state }

// InFlight returns the number of calls at this node.
func (n *Node) InFlight() int { return len(n.calls) }

// AdmissionLoad returns the load of the local upstream as seen by admission
// control.
func (n *Node) AdmissionLoad() admission.Load { return n.admission.Load(n.lastNow) }

// AdmissionCut returns the load-shedding threshold that admission control sets for
// the local upstream.
func (n *Node) AdmissionCut() mesh.Cut { return n.admission.Cut(n.lastNow) }

// configured reports whether this node has folded a configuration and the log, as
// far as this node knows, still has the records that follow.
func (n *Node) configured() bool { return !n.control.gap && n.state.Configured() }

// Serving reports whether this node can serve calls: its configuration is current, its
// upstream and the quota shares are usable, and it is one of at least minMembers members
// in the log.
func (n *Node) Serving(minMembers int) bool {
	return n.configured() && n.control.fresh && n.joined() &&
		len(n.state.Members()) >= minMembers && len(n.quota.Inactive()) == 0 &&
		n.members.LocalUpstream(n.lastNow).Serving && n.sharesAssigned()
}

func (n *Node) sharesAssigned() bool {
	for ws := range n.state.Mesh().Workspaces {
		if len(n.state.Shares(ws)) == 0 {
			return false
		}
	}
	return true
}
