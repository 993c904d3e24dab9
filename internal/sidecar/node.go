package sidecar

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/slots"
	"cardamomhatch/internal/upstream"
)

const (
	dialTimeout = 500 * time.Millisecond // to a peer or the upstream
	peerIdle    = 4 * time.Second        // an idle connection takes memory on both sides
	// controlIdle is longer than a partner of the roster usually waits for the next
	// digest: eight partners take turns twice a second.
	controlIdle       = 12 * time.Second
	upstreamIdle      = 60 * time.Second // an upstream states its own limit, mostly
	callerIdle        = 75 * time.Second // above the idle time that a platform grants callers
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	tickEvery         = 50 * time.Millisecond
	trimEvery         = time.Second // how often idle connections are looked through
	// ramp is short because a node that restarts beside a running upstream is new
	// to its peers, and its reports tell at once how much it bears.
	ramp = time.Second
)

// Node is one running node.
type Node struct {
	cfg     Config
	started time.Time
	metrics *nodeMetrics
	servers []*http.Server
	receive *peer.Receiver
	control *peer.Client
	local   *exchange.Pool // to the upstream
	nextID  atomic.Uint64
	open    atomic.Int64    // requests under way
	life    context.Context // ends with the node
	endLife context.CancelFunc
	stopped sync.Once
	loops   sync.WaitGroup

	current  atomic.Pointer[catalog.Catalog]
	stopping atomic.Bool
	stopAt   atomic.Int64 // node time at which it began to stop, ns

	mu        sync.Mutex // guards what follows
	raw       []byte     // the declaration as it was stored
	roster    *roster.Roster
	tracker   *upstream.Tracker
	gate      *slots.Gate
	waiters   map[uint64]chan slots.Decision
	table     *routing.Table
	splitter  catalog.Splitter
	budgets   map[mesh.Service]*retry.Budget
	ledger    *ratelimit.Limiter
	takers    map[uint64]chan ratelimit.Result // requests that wait for tokens
	fleetAt   time.Duration                    // when the ledger last heard of the fleet
	listed    bool                             // the store has told of the other nodes
	told      []map[mesh.Workspace]float64     // demands told lately, the oldest first
	pools     map[string]*exchange.Pool        // by peer address
	meter     *pressure.Meter
	cut       pressure.Cut // of the local upstream
	lastCut   pressure.Cut // that the log was told of
	cutLogged time.Duration
	view      *pressure.CutTable
	paths     *pressure.CallGraph
	running   *pressure.InFlight // requests at the local upstream
}

// New builds a node. Start serves.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		started: time.Now(),
		metrics: newNodeMetrics(cfg.Metrics),
		roster:  roster.New(cfg.Self, cfg.Claim, cfg.Seed),
		tracker: upstream.New(upstream.Config{
			Service: cfg.Self.Service, Address: cfg.UpstreamAddress,
			Period: cfg.Bounds.Heartbeat, Drain: cfg.Bounds.Drain,
		}),
		gate:    slots.New(),
		waiters: map[uint64]chan slots.Decision{},
		table: routing.New(routing.Config{
			Seed: cfg.Seed, DataCentre: cfg.Self.DataCentre, Self: cfg.Self.Node, Ramp: ramp,
		}),
		budgets: map[mesh.Service]*retry.Budget{},
		ledger:  ratelimit.New(cfg.Self, cfg.Bounds.Quota, cfg.Seed),
		takers:  map[uint64]chan ratelimit.Result{},
		pools:   map[string]*exchange.Pool{},
		meter:   pressure.NewMeter(),
		cut:     pressure.OpenCut,
		lastCut: pressure.OpenCut,
		view:    pressure.NewCutTable(),
		paths:   pressure.NewCallGraph(),
	}
	n.running = pressure.NewInFlight(n.paths)
	n.life, n.endLife = context.WithCancel(context.Background())
	n.local = exchange.New(exchange.Config{
		Address: cfg.UpstreamAddress, DialTimeout: dialTimeout, IdleTimeout: upstreamIdle,
		Opened: func() { n.metrics.upstreamConnections.Inc(1) },
	})
	n.control = peer.NewClient(peer.Config{Self: cfg.Self.Node, Metrics: cfg.Metrics, Seed: cfg.Seed, Idle: controlIdle})
	n.receive = peer.NewReceiver(cfg.Metrics, n.received)
	return n
}

// now returns the time since the node started; it never jumps.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// Start serves. It does not block.
func (n *Node) Start() {
	l := n.cfg.Listeners
	n.serve(l.Callers, http.HandlerFunc(n.serveCaller))
	n.serve(l.Peers, http.HandlerFunc(n.servePeer))
	if n.cfg.Announcements != nil {
		n.serve(l.Announcements, n.cfg.Announcements(n))
	}
	if n.cfg.Ready != nil {
		n.serve(l.Ready, n.cfg.Ready(n))
	}
	n.serve(l.Metrics, http.HandlerFunc(n.serveMetrics))
	n.loop(n.tick)
	n.loop(n.followDeclaration)
	n.loop(n.publish)
	n.loop(n.probe)
	n.loop(n.trim)
	n.cfg.Log.Write(eventlog.Lifecycle, "started", "incarnation", uint64(n.cfg.Self.Node.Incarnation),
		"data_centre", n.cfg.Self.DataCentre, "service", n.cfg.Self.Service)
}

func (n *Node) serve(l net.Listener, h http.Handler) {
	if l == nil {
		return
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // its lines can contain keys
	}
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.cfg.Log.Write(eventlog.Lifecycle, "listener ended", "address", l.Addr().String(), "err", err)
		}
	}()
}

func (n *Node) loop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// pause waits and reports whether the node still runs.
func (n *Node) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.life.Done():
		return false
	}
}

// context returns a context that ends after the limit or with the node.
func (n *Node) context(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(n.life, limit)
}

// tick drives what depends on time alone.
func (n *Node) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-n.life.Done():
			return
		case <-ticker.C:
			n.mu.Lock()
			now := n.now()
			n.publishPhase(now)
			n.refreshLedger(now)
			n.updateCut(now)
			out := n.roster.Tick(now)
			n.refreshTable(now)
			n.mu.Unlock()
			n.send(out)
		}
	}
}

// trim closes connections that have been idle for too long.
func (n *Node) trim() {
	for n.pause(trimEvery) {
		n.mu.Lock()
		pools := make([]*exchange.Pool, 0, len(n.pools)+1)
		for _, p := range n.pools {
			pools = append(pools, p)
		}
		n.mu.Unlock()
		for _, p := range append(pools, n.local) {
			p.Trim()
		}
	}
}

// send hands control messages to the peers.
func (n *Node) send(out []mesh.Outgoing) {
	for _, o := range out {
		n.control.Send(o.To, mesh.Envelope{From: n.cfg.Self.Node, To: o.To.Node, Message: o.Message})
	}
}

// received takes one control message.
func (n *Node) received(e mesh.Envelope) {
	if d, ok := e.Message.(roster.Declaration); ok {
		n.takeDeclaration(d.Raw, "peer", string(e.From.Host))
		return
	}
	n.mu.Lock()
	// Tokens are exchanged with known nodes only: others cannot be answered, and the
	// request that asked is decided without them when its wait ends.
	if from, known := n.roster.Member(e.From.Host); known && n.ledger.Deliver(n.now(), from, e.Message) {
		out := n.settle()
		n.mu.Unlock()
		n.send(out)
		return
	}
	to, lacks := n.roster.Deliver(n.now(), e.Message)
	out := n.roster.Outgoing()
	n.refreshTable(n.now())
	if lacks && n.raw != nil {
		out = append(out, mesh.Outgoing{To: to, Message: roster.Declaration{Version: n.current.Load().Version, Raw: n.raw}})
	}
	n.mu.Unlock()
	n.send(out)
}

// refreshTable passes the usable nodes of every declared service to the routing
// table. n.mu is held.
func (n *Node) refreshTable(now time.Duration) {
	if !n.roster.Changed() {
		return
	}
	n.setMembers(now)
}

func (n *Node) setMembers(now time.Duration) {
	c := n.current.Load()
	if c == nil {
		return
	}
	for _, s := range c.Services() {
		records := n.roster.Members(now, s)
		members := make([]mesh.Member, len(records))
		for i := range records {
			members[i] = records[i].Member
		}
		n.table.SetMembers(now, s, members)
	}
}

// pool returns the connections to a peer. n.mu is held.
func (n *Node) pool(address string) *exchange.Pool {
	p := n.pools[address]
	if p == nil {
		p = exchange.New(exchange.Config{Address: address, DialTimeout: dialTimeout, IdleTimeout: peerIdle})
		n.pools[address] = p
	}
	return p
}

// budget returns the retry budget of a service. n.mu is held.
func (n *Node) budget(s mesh.Service) *retry.Budget {
	b := n.budgets[s]
	if b == nil {
		b = &retry.Budget{}
		n.budgets[s] = b
	}
	return b
}

// Ready reports whether callers may be sent to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.current.Load() != nil }
