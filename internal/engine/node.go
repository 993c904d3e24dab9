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

// Config holds what a node needs to know at its start.
type Config struct {
	Self       mesh.Member
	Seeds      []mesh.Member    // asked for state while the log is down
	Seed       [32]byte         // unpredictable outside tests; tokens and MAC keys depend on it
	WallAtZero int64            // wall clock at now == 0, nanoseconds since the Unix epoch
	Policy     admission.Policy // the experiments' baselines, or full
	Allowance  int              // retries of one customer action; DefaultAllowance if zero
	RingSize   int              // timeline events kept; DefaultRingSize if zero

	SnapshotEvery    uint64        // records between snapshots; DefaultSnapshotEvery if zero
	SnapshotInterval time.Duration // between snapshots if there are fewer; DefaultSnapshotInterval if zero
}

// Defaults of Config.
const (
	DefaultRetryAllowance = 3
	DefaultRingSize  = 4096
)

// Node is the state machine of one node. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	random *rand.Rand
	out    []Effect

	calls    map[mesh.CallID]*call
	running  map[Token]*call // calls at the local upstream
	spare    *call
	loads    []Load // reports to hand out
	due      []mesh.CallID
	pumping  bool
	stopping bool
	stopped  bool
	lastNow  time.Duration // time of the last step

	state     *config.State
	routes    *routeTable
	edges     map[edgeKey]*edge
	nextEdge  int // index of the newest edge
	below     map[mesh.Service][]mesh.Service
	evidence  *evidence.Tracker
	keys      *keys.Table
	quota     *quota.Ledger
	tickets   *ticket.Registry
	admission *admission.Controller
	routing   *routing.Table
	members   *membership.Directory
	clock     timeline.Clock
	ring      *timeline.Ring
	control   control
	envelopes []mesh.Envelope
}

// New returns a node that knows no configuration yet.
func New(cfg Config) *Node {
	if cfg.Allowance == 0 {
		cfg.Allowance = DefaultRetryAllowance
	}
	if cfg.RingSize == 0 {
		cfg.RingSize = DefaultRingSize
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
		ring:      timeline.NewRing(cfg.RingSize),
		control:   newControl(),
	}
	return n
}

// Step applies one event and appends its effects to out. now is monotonic
// since the start of the process and never decreases.
func (n *Node) Step(now time.Duration, ev Event, out []Effect) []Effect {
	n.out = out
	n.lastNow = now
	switch ev := ev.(type) {
	case *CallArrived:
		n.callArrived(now, ev)
	case *TicketRequested:
		n.ticketRequested(now, ev)
	case *DownstreamCallArrived:
		n.childArrived(now, ev)
	case *ForwardedCallArrived:
		n.hopArrived(now, ev)
	case *ResponseReceived:
		n.answered(now, ev)
	case *AttemptFailed:
		n.attemptFailed(now, ev)
	case *RelayEnded:
		n.relayEnded(now, ev)
	case *CallCancelled:
		n.callGone(now, ev)
	default:
		n.stepControl(now, ev)
	}
	n.flush(now)
	out = n.out
	n.out = nil
	return out
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// flush sends the control messages that the step caused.
func (n *Node) flush(now time.Duration) {
	n.envelopes = n.quota.Outgoing(now, n.envelopes)
	for _, s := range n.quota.Decisions() {
		if c := n.calls[s.Call]; c != nil && c.phase == waitsForCredit {
			n.creditDecided(now, c, s.Result)
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

func (n *Node) wall(now time.Duration) int64 { return n.cfg.WallAtZero + int64(now) }

func (n *Node) record(now time.Duration, kind timeline.Kind, c *call, r outcome.Reason, value int64) {
	n.recordEvent(now, timeline.Event{Kind: kind, Action: c.action, Workspace: c.workspace,
		Service: c.service, Reason: r, Value: value})
}

func (n *Node) recordEvent(now time.Duration, e timeline.Event) {
	e.Stamp = n.clock.Now(n.wall(now))
	e.Host = n.cfg.Self.Node.Host
	n.ring.Add(e)
}

// Timeline returns the recorded events, oldest first.
func (n *Node) Timeline() []timeline.Event { return n.ring.Events() }

// State returns the folded configuration. It must not be used after the next
// step.
func (n *Node) State() *config.State { return n.state }

// InFlight returns the number of calls at this node.
func (n *Node) InFlight() int { return len(n.calls) }

// AdmissionLoad returns the state of the local upstream's admission.
func (n *Node) AdmissionLoad() admission.Load { return n.admission.Load(n.lastNow) }

// AdmissionCut returns the cut that the local upstream publishes.
func (n *Node) AdmissionCut() mesh.Cut { return n.admission.Cut(n.lastNow) }

// configured reports whether a configuration is known and complete.
func (n *Node) configured() bool { return !n.control.gap && n.state.Configured() }

// Serving reports whether this node is configured with evidence that is fresh,
// knows at least the given number of nodes, has its upstream ready and an
// active holder for every share that it holds.
func (n *Node) Serving(nodes int) bool {
	return n.configured() && n.control.fresh && n.joined() &&
		len(n.state.Members()) >= nodes && len(n.quota.Inactive()) == 0 &&
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
