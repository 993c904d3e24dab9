// Package node is the I/O layer of a node process. It owns all sockets, clocks
// and goroutines, and drives an engine: it passes events to the engine under a
// mutex and executes the returned effects outside of the mutex. It makes no
// decisions about calls, so that all of them are made in deterministic code
// without I/O.
//
// The node at which a call arrives is its entry node. The call runs on the upstream
// of the serving node, which is the entry node itself or another node, to which the
// entry node forwards the call.
package node

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/peer"
)

// Machine is the state machine that decides what a node does. Step appends the
// effects of one event to out; calls to Step are serialized. The last effect of
// every call must be one of Refuse, Relay, Replay, IssueTicket and Cancel, even
// if its caller has disconnected: the call's handler does not return before it
// gets one of them. A Machine may also implement OffsetProvider and
// LogReadPolicy.
type Machine interface {
	Step(now time.Duration, ev engine.Event, out []engine.Effect) []engine.Effect
}

// OffsetProvider is implemented by a Machine that tracks the next offset of the
// config stream. Without it, reading continues after the last record read.
type OffsetProvider interface{ LogOffset() uint64 }

// LogReadPolicy is implemented by a Machine that can suspend reading of the
// log.
type LogReadPolicy interface{ ReadsLog() bool }

// Logger is the subset of charmbracelet/log's Logger that this package uses.
// Log lines never contain a key.
type Logger interface {
	Debug(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
}

type discardLogger struct{}

func (discardLogger) Debug(any, ...any) {}
func (discardLogger) Warn(any, ...any)  {}

// Listeners holds the listeners of a node. One that is nil is not served.
type Listeners struct {
	Callers, Local, Peers, Operators net.Listener
}

// TLS holds the TLS configurations of a node. Peer is used for both directions
// between nodes and needs Certificates, RootCAs and ClientCAs. A configuration
// that is nil means plaintext.
type TLS struct {
	Callers, Operators, Peer *tls.Config
}

// Config configures a node.
type Config struct {
	Self           mesh.NodeID
	Machine        Machine
	Listeners      Listeners
	TLS            TLS
	AllowPlaintext bool              // allows Callers and Peers without TLS, on loopback only
	Operators      http.Handler      // served on Listeners.Operators
	Log            logservice.Client // if nil, the log is not read and appends are not made
	// OnDecision receives the decision on a record proposal, a key withdrawal or
	// a drain request; requestID is the token or key ID of the event. It must
	// not block. If nil, decisions are discarded.
	OnDecision func(requestID string, d *engine.Decision)
	Now        func() time.Duration // if nil, monotonic time since New
	LameDuck   time.Duration        // how long Stop keeps serving open caller connections
	Metrics    metrics.Registry     // if nil, a new registry
	Logger     Logger               // if nil, log lines are discarded
	Seed       uint64               // for the jitter of backoffs
}

// Node is the I/O layer of one node process.
type Node struct {
	cfg     Config
	now     func() time.Duration
	logger  Logger
	metrics nodeMetrics

	mu        sync.Mutex // guards machine, pending, spare and executing
	machine   Machine
	pending   []engine.Effect // returned by the machine, not yet being executed
	spare     []engine.Effect // empty; its storage is used for the next pending
	executing bool            // a call to Step is executing effects

	callsMu    sync.Mutex            // guards calls
	calls      map[mesh.CallID]*call // calls in progress
	lastCallID atomic.Uint64

	controlClient   *peer.Client
	controlReceiver *peer.Receiver
	forwarder       *forwarder // sends calls to other nodes
	upstream        atomic.Pointer[localUpstream]
	upstreamMu      sync.Mutex // serializes updates of upstream
	appends         chan appendJob

	servers     servers
	stopping    atomic.Bool
	stopOnce    sync.Once
	stopped     chan struct{} // closed by the Stopped effect
	stoppedOnce sync.Once
	closed      chan struct{} // closed by Close; ends handlers and loops
	closeOnce   sync.Once
	loops       sync.WaitGroup // goroutines of startLoop
}

// New validates the configuration and creates a node. Start starts it.
func New(cfg Config) (*Node, error) {
	if cfg.Machine == nil {
		return nil, errors.New("node configuration has no state machine")
	}
	if !cfg.AllowPlaintext && (cfg.TLS.Callers == nil || cfg.TLS.Peer == nil) {
		return nil, errors.New("TLS for callers and peers is required unless plaintext connections are allowed")
	}
	if err := checkPlaintextListeners(cfg); err != nil {
		return nil, err
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	n := &Node{
		cfg:     cfg,
		now:     cfg.Now,
		logger:  cfg.Logger,
		metrics: newNodeMetrics(cfg.Metrics),
		machine: cfg.Machine,
		calls:   map[mesh.CallID]*call{},
		appends: make(chan appendJob, maxQueuedAppends),
		stopped: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	if n.now == nil {
		start := time.Now()
		n.now = func() time.Duration { return time.Since(start) }
	}
	if n.logger == nil {
		n.logger = discardLogger{}
	}
	n.controlClient = peer.NewClient(peer.Config{
		Self:        cfg.Self,
		TLS:         cfg.TLS.Peer,
		Metrics:     cfg.Metrics,
		Unreachable: func(id mesh.NodeID) { n.Step(&engine.PeerUnreachable{Node: id}) },
		Seed:        cfg.Seed,
	})
	n.controlReceiver = peer.NewReceiver(cfg.Metrics, func(e mesh.Envelope) { n.Step(&engine.MessageReceived{Envelope: e}) })
	n.forwarder = newForwarder(cfg.TLS.Peer)
	return n, nil
}

// checkPlaintextListeners returns an error if a listener without TLS is
// reachable from other hosts.
func checkPlaintextListeners(cfg Config) error {
	plaintext := []net.Listener{cfg.Listeners.Local}
	if cfg.TLS.Callers == nil {
		plaintext = append(plaintext, cfg.Listeners.Callers)
	}
	if cfg.TLS.Peer == nil {
		plaintext = append(plaintext, cfg.Listeners.Peers)
	}
	if cfg.TLS.Operators == nil {
		plaintext = append(plaintext, cfg.Listeners.Operators)
	}
	for _, l := range plaintext {
		if l == nil {
			continue
		}
		if address, ok := l.Addr().(*net.TCPAddr); !ok || !address.IP.IsLoopback() {
			return errors.Errorf("listener %s has no TLS and is not on loopback", l.Addr())
		}
	}
	return nil
}

// Step passes one event to the state machine and executes its effects. It is
// safe for concurrent use. Effects are executed in the order in which the state
// machine returned them, by one goroutine at a time and outside the mutex. A
// call to Step from within an effect only queues its effects.
func (n *Node) Step(ev engine.Event) {
	n.mu.Lock()
	n.pending = n.machine.Step(n.now(), ev, n.pending)
	if n.executing {
		n.mu.Unlock()
		return
	}
	n.executing = true
	for len(n.pending) > 0 {
		batch := n.pending
		n.pending = n.spare[:0]
		n.mu.Unlock()
		for i := range batch {
			n.execute(&batch[i], batch[i+1:])
		}
		clear(batch)
		n.mu.Lock()
		n.spare = batch[:0]
	}
	n.executing = false
	n.mu.Unlock()
}

// WithLock runs f while no event is being processed, so that f can access the
// state machine.
func (n *Node) WithLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// execute executes one effect; following holds the effects after it in the same
// batch. If one of these is for the handler of the same call, a Cancel is not
// queued and only cancels the attempt in progress: a queued Cancel would end the
// call before the handler gets the later effect, usually a response.
func (n *Node) execute(e *engine.Effect, following []engine.Effect) {
	switch e.Kind {
	case engine.Cancel:
		if c := n.findCall(e.Call); c != nil && hasCallEffect(following, e.Call) {
			c.cancelAttempt()
		} else if c != nil {
			c.enqueue(e)
		}
	case engine.Send:
		n.controlClient.Send(e.Member, e.Envelope)
	case engine.Append:
		n.enqueueAppend(appendJob{configStream, e.RequestID, e.Data})
	case engine.AppendSnapshot:
		n.enqueueAppend(appendJob{snapshotsStream, e.RequestID, e.Data})
	case engine.Decided:
		if n.cfg.OnDecision != nil {
			n.cfg.OnDecision(e.RequestID, e.Decision)
		}
	case engine.Stopped:
		n.stoppedOnce.Do(func() { close(n.stopped) })
	default:
		if c := n.findCall(e.Call); c != nil {
			c.enqueue(e)
		}
	}
}

// hasCallEffect reports whether one of the effects is executed by the handler of
// the call. These are the kinds before Send.
func hasCallEffect(effects []engine.Effect, id mesh.CallID) bool {
	for i := range effects {
		if effects[i].Call == id && effects[i].Kind < engine.Send {
			return true
		}
	}
	return false
}

func (n *Node) findCall(id mesh.CallID) *call {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	return n.calls[id]
}

func (n *Node) addCall(c *call) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	n.calls[c.id] = c
}

func (n *Node) removeCall(c *call) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	delete(n.calls, c.id)
}

// InFlight returns the number of calls in progress.
func (n *Node) InFlight() int {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	return len(n.calls)
}
