package sidecar

import (
	"context"
	"hash/fnv"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/capacity"
	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/intake"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/pressure"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/routing"
	"cardamomhatch/internal/shutdown"
	"cardamomhatch/internal/slots"
	"cardamomhatch/internal/upstream"
)

const (
	dialTimeout = 500 * time.Millisecond // to a peer or the upstream
	// peerIdleTimeout is short because an idle connection uses memory on both sides.
	peerIdleTimeout = 4 * time.Second
	// controlIdleTimeout is longer than the usual time between two digests to the same
	// gossip partner: there are six partners, and two digests are sent per second.
	controlIdleTimeout  = 12 * time.Second
	upstreamIdleTimeout = 60 * time.Second // most upstreams send a Keep-Alive limit of their own
	listenerIdleTimeout = 75 * time.Second // of all listeners; longer than the idle timeout that platforms set for callers
	readHeaderTimeout   = 10 * time.Second
	maxHeaderBytes      = 64 << 10
	tickInterval        = 50 * time.Millisecond // between updates of the state that depends on time
	trimInterval        = time.Second           // between checks for idle connections
	// rampTime is the time in which a new node reaches its full share of requests. It is
	// short because peers treat a node that restarts next to a running upstream as new,
	// and its first report already shows how much load it can take.
	rampTime = time.Second
)

// Node is a node of the mesh that runs next to one upstream.
type Node struct {
	cfg           Config
	started       time.Time
	metrics       *nodeMetrics
	servers       []*http.Server
	receiver      *peer.Receiver  // of control messages
	controlClient *peer.Client    // sends control messages to peers
	upstreamPool  *exchange.Pool  // connections to the local upstream
	limits        *clientLimits   // of what clients may hold of memory and descriptors
	departures    chan struct{}   // receives a value when a departure is to be stored
	coldChecks    chan struct{}   // receives a value when the health path is to be asked whether the upstream is cold
	eraRose       chan struct{}   // receives a value when the store may have lost the records of this node
	doubts        chan struct{}   // receives a value when the data centre is in doubt whether the store answers its readers
	lastID        atomic.Uint64   // last ID given to a request at the gate or the limiter; not a caller's request ID
	openRequests  atomic.Int64    // requests in flight from callers and peers
	runCtx        context.Context // cancelled at shutdown
	cancelRun     context.CancelFunc
	shutdownOnce  sync.Once
	loops         sync.WaitGroup // started by startLoop

	current   atomic.Pointer[catalog.Catalog] // the declaration in force; nil before the first
	stopping  atomic.Bool
	stopBegan atomic.Int64 // value of now() at the start of the stop, in ns
	stopEnds  atomic.Int64 // value of now() by which the requests in flight must have ended, in ns; zero: not known

	readBegan     atomic.Int64 // value of now() at the start of the last read of the declaration, in ns
	storeAnswered atomic.Int64 // value of now() at the last response to such a read, in ns; zero before the first

	silenceHandledAt atomic.Int64 // value of now() at which idle connections were closed because another was silent, in ns

	mu             sync.Mutex // guards the fields below
	rawDeclaration []byte     // the declaration as stored, for peers that lack it
	cursor         Cursor     // position at the store up to which declarations are known
	roster         *roster.Roster
	lastDoubt      uint64 // doubt of the data centre at the last call of wakeReader; zero for none
	tracker        *upstream.Tracker
	gate           *slots.Gate
	learner        *capacity.Learner              // of the local upstream
	capacityToldAt time.Duration                  // when the own record last got a new capacity
	slotWaiters    map[uint64]chan slots.Decision // requests queued at the gate, by ID
	table          *routing.Table
	splitter       catalog.Splitter
	budgets        map[mesh.Service]*retry.Budget // for retries
	limiter        *ratelimit.Limiter
	tokenWaiters   map[uint64]chan ratelimit.Result // requests that wait for borrowed tokens, by ID
	fleetUpdatedAt time.Duration                    // when the limiter last received the list of nodes
	storeListed    bool                             // the nodes have been listed from the store
	recentDemands  []map[mesh.Workspace]float64     // published demand of this node at the last demandSpreadRounds updates of the limiter, oldest first
	pools          map[string]*exchange.Pool        // by peer address
	meter          *pressure.Meter                  // load offered to the local upstream
	cut            pressure.Cut                     // overload cut of the local upstream: the share of each level that is to be admitted
	loggedCut      pressure.Cut                     // the cut in the last log line
	cutLoggedAt    time.Duration
	cuts           *pressure.CutTable  // cuts reported by serving nodes
	callGraph      *pressure.CallGraph // which services the requests of each route call
	inFlight       *pressure.InFlight  // requests at the local upstream
	// origins holds what depends on the entry routes of requests.
	origins originState
	// nestedDurations holds how long recent nested calls took from their arrival at this node.
	nestedDurations *shutdown.Durations
	storedDeparture roster.Departure // the newest one of the local upstream that the store holds
	departureStored chan struct{}    // closed when storedDeparture changes
	coldSince       time.Duration    // when the local upstream became, or was suspected to be, cold
	otherUpstreams  *upstream.Others // of the service
	evacuated       bool             // this node's data centre is evacuated
	era             uint64           // highest era of the store that has been acted on
	publishedEra    uint64           // era in which the store acknowledged the record of this node
	published       bool             // it has acknowledged one
}

// New creates a node. Call Start to serve requests.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		started: time.Now(),
		metrics: newNodeMetrics(cfg.Metrics),
		roster:  roster.New(cfg.Self, cfg.Claim, cfg.Seed),
		tracker: upstream.New(upstream.Config{
			Service: cfg.Self.Service, Address: cfg.UpstreamAddress,
			AnnounceInterval: cfg.Bounds.Heartbeat, DrainTime: cfg.Bounds.Drain, HistoryWait: historyWait,
		}),
		gate:        slots.New(),
		learner:     capacity.New(cfg.Seed),
		slotWaiters: map[uint64]chan slots.Decision{},
		table: routing.New(routing.Config{
			Seed: cfg.Seed, DataCentre: cfg.Self.DataCentre, Self: cfg.Self.Node, RampTime: rampTime,
		}),
		budgets:      map[mesh.Service]*retry.Budget{},
		limiter:      ratelimit.New(cfg.Self, cfg.Bounds.Quota, cfg.Seed),
		tokenWaiters: map[uint64]chan ratelimit.Result{},
		pools:        map[string]*exchange.Pool{},
		meter:        pressure.NewMeter(),
		cut:          pressure.OpenCut,
		loggedCut:    pressure.OpenCut,
		cuts:         pressure.NewCutTable(),
		callGraph:    pressure.NewCallGraph(),

		origins:         newOriginState(),
		nestedDurations: shutdown.NewDurations(),
		departures:      make(chan struct{}, 1),
		otherUpstreams:  upstream.NewOthers(cfg.Bounds.Heartbeat),
		coldChecks:      make(chan struct{}, 1),
		eraRose:         make(chan struct{}, 1),
		doubts:          make(chan struct{}, 1),
		departureStored: make(chan struct{}),
	}
	n.inFlight = pressure.NewInFlight(n.callGraph)
	n.gate.AwaitAnswer()
	n.limits = newClientLimits(n)
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.upstreamPool = exchange.New(exchange.Config{
		Address: cfg.UpstreamAddress, DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout,
		OnConnect: func() { n.metrics.upstreamConnections.Inc(1) },
	})
	n.controlClient = peer.NewClient(peer.Config{
		Self: cfg.Self.Node, Metrics: cfg.Metrics, Seed: cfg.Seed, Idle: controlIdleTimeout,
		Acknowledged: n.recordAcknowledged, Unreachable: n.recordUnreachable, Silent: n.recordSilentPeer,
	})
	n.receiver = peer.NewReceiver(cfg.Metrics, n.handleMessage)
	n.receiver.Host = cfg.Self.Node.Host
	return n
}

// now returns the time since the node was created, by a monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// since returns the time since a recorded value of now().
func (n *Node) since(began *atomic.Int64) time.Duration {
	return n.now() - time.Duration(began.Load())
}

// Start starts the listeners and the background loops. It does not block.
func (n *Node) Start() {
	l := n.cfg.Listeners
	n.serve(intake.Callers, l.Callers, http.HandlerFunc(n.serveCaller))
	n.serve(intake.Peers, l.Peers, http.HandlerFunc(n.servePeer))
	if n.cfg.Announcements != nil {
		n.serve(intake.Announcements, l.Announcements, n.cfg.Announcements(n))
	}
	if n.cfg.Ready != nil {
		n.serve(intake.Ready, l.Ready, n.cfg.Ready(n))
	}
	n.serve(intake.Metrics, l.Metrics, http.HandlerFunc(n.serveMetrics))
	n.startLoop(n.tick)
	n.startLoop(n.followDeclaration)
	n.startLoop(n.publishAndList)
	n.startLoop(n.storeDepartures)
	n.startLoop(n.restoreRecords)
	n.startLoop(n.probe)
	n.startLoop(n.checkCold)
	n.startLoop(n.trimPools)
	n.cfg.Log.Write(eventlog.Lifecycle, "started", "incarnation", uint64(n.cfg.Self.Node.Incarnation),
		"data_centre", n.cfg.Self.DataCentre, "service", n.cfg.Self.Service, "unset_settings", n.cfg.UnsetSettings)
}

// serve starts an HTTP server on the listener, unless the listener is nil. Its clients share
// the part of the budget of the given class.
func (n *Node) serve(class intake.Class, l net.Listener, h http.Handler) {
	if l == nil {
		return
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       listenerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // net/http can log requests that contain keys
	}
	l = n.limitServer(s, l, class)
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.cfg.Log.Write(eventlog.Lifecycle, "listener ended", "address", l.Addr().String(), "err", err)
		}
	}()
}

// startLoop runs f in a goroutine that shutdown waits for.
func (n *Node) startLoop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// pause waits for d. It returns false if the node shuts down first.
func (n *Node) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.runCtx.Done():
		return false
	}
}

// context returns a context that ends after limit or when the node shuts down.
func (n *Node) context(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(n.runCtx, limit)
}

// tick periodically updates the state that depends on time.
func (n *Node) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.runCtx.Done():
			return
		case <-ticker.C:
			n.mu.Lock()
			now := n.now()
			n.publishPhase(now)
			n.refreshLimiter(now)
			n.compareWithOthers(now)
			n.refreshCold(now)
			n.publishLimited()
			n.updateSpill(now)
			n.updateCapacity(now)
			n.updateCut(now)
			n.dispatchQueued(now) // the rate limit of the upstream may allow more requests now
			n.wakeReader(now)
			out := n.roster.Tick(now)
			n.refreshTable(now)
			n.mu.Unlock()
			n.send(out)
		}
	}
}

// trimPools periodically closes idle connections to peers and the upstream, and logs the
// clients' connections that were closed.
func (n *Node) trimPools() {
	for n.pause(trimInterval) {
		n.limits.logClosed()
		for _, p := range n.allPools() {
			p.Trim()
		}
	}
}

// send sends control messages to the peers.
func (n *Node) send(out []mesh.Outgoing) {
	for _, o := range out {
		n.controlClient.Send(o.To, mesh.Envelope{From: n.cfg.Self.Node, To: o.To.Node, Message: o.Message})
	}
}

// handleMessage processes one control message from a peer.
func (n *Node) handleMessage(e mesh.Envelope) {
	if d, ok := e.Message.(roster.Declaration); ok {
		n.mergeEvacuations(d, string(e.From.Host))
		n.applyDeclaration(d, "peer", string(e.From.Host))
		return
	}
	n.mu.Lock()
	// The limiter gets messages from known nodes only, because it cannot reply to unknown
	// ones. A request at an unknown node that waits for the reply is decided when its
	// wait ends.
	if from, known := n.roster.Member(e.From.Host); known && n.limiter.Deliver(n.now(), from, e.Message) {
		out := n.deliverDecisions()
		n.mu.Unlock()
		n.send(out)
		return
	}
	to, sendDeclaration := n.roster.Deliver(n.now(), e.From, e.Message)
	n.wakeReader(n.now())
	n.applyEvacuations(n.now(), "peer", string(e.From.Host))
	n.noticeEra("peer")
	n.learnDeparture(n.roster.EarlierDeparture(), "peer")
	out := n.roster.Outgoing()
	n.refreshTable(n.now())
	if sendDeclaration && n.rawDeclaration != nil {
		state := n.roster.Evacuations().State()
		out = append(out, mesh.Outgoing{To: to, Message: roster.Declaration{
			Version: n.current.Load().Version, Raw: n.rawDeclaration, Offset: n.cursor.Offset, OffsetKnown: n.cursor.Known, Evacuations: &state, Era: n.cursor.Era,
		}})
	}
	n.mu.Unlock()
	n.send(out)
}

// recordAcknowledged records that a peer has acknowledged control messages.
func (n *Node) recordAcknowledged(id mesh.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.RecordAcknowledged(n.now(), id)
}

// recordUnreachable records that a peer has not acknowledged control messages.
func (n *Node) recordUnreachable(id mesh.NodeID) {
	n.mu.Lock()
	silent := n.roster.RecordUnreachable(n.now(), id)
	out := n.roster.Outgoing()
	n.refreshTable(n.now())
	n.mu.Unlock()
	n.send(out)
	if silent {
		n.cfg.Log.Write(eventlog.Observation, "peer silent", "peer", id.Host)
	}
}

// refreshTable updates the routing table if the set of usable nodes may have changed.
// n.mu must be held.
func (n *Node) refreshTable(now time.Duration) {
	if !n.roster.Changed() {
		return
	}
	n.setMembers(now)
}

// setMembers passes the usable nodes of every declared service to the routing table.
// n.mu must be held.
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
		for i := range records {
			n.table.SetRate(records[i].Member.Node, records[i].Capacity)
		}
	}
}

// pool returns the connection pool of a peer. n.mu must be held.
func (n *Node) pool(address string) *exchange.Pool {
	p := n.pools[address]
	if p == nil {
		p = exchange.New(exchange.Config{Address: address, DialTimeout: dialTimeout, IdleTimeout: peerIdleTimeout})
		n.pools[address] = p
	}
	return p
}

// budget returns the retry budget of a service. n.mu must be held.
func (n *Node) budget(s mesh.Service) *retry.Budget {
	b := n.budgets[s]
	if b == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(s)) // never fails
		b = retry.NewBudget(n.cfg.Seed ^ h.Sum64())
		n.budgets[s] = b
	}
	return b
}

// Ready reports whether callers may be sent to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.current.Load() != nil }
