// Package node is the shell of a node process. It owns every socket, clock and
// goroutine, and drives one engine: events go in under one mutex, effects are
// executed outside of it. It decides nothing about calls itself, so that all
// decisions stay in deterministic code without I/O.
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

// Machine decides what a node does. Step appends the effects of one event to
// out. The shell calls it under one mutex. Every call that arrived must get one
// of Refuse, Relay, Replay, IssueTicket and Cancel as its last effect, also when
// its caller has gone: until then its handler waits. A Machine may also
// implement Offsets and Reader.
type Machine interface {
	Step(now time.Duration, ev engine.Event, out []engine.Effect) []engine.Effect
}

// OffsetProvider is implemented by a Machine that knows which offset of the config
// stream it needs next. Without it the reader continues after the last record
// it has read.
type OffsetProvider interface{ LogOffset() uint64 }

// LogReadPolicy is implemented by a Machine that does not always want the log read.
type LogReadPolicy interface{ ReadsLog() bool }

// Logger is the part of charmbracelet/log's Logger that the shell uses. No line
// contains a key.
type Logger interface {
	Debug(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
}

type discard struct{}

func (discard) Debug(any, ...any) {}
func (discard) Warn(any, ...any)  {}

// Listeners are the sockets of a node. Operators may be nil.
type Listeners struct {
	Callers, Local, Peers, Operators net.Listener
}

// TLS holds the transport security of a node. Peer is used for both directions
// between nodes: it needs Certificates, RootCAs and ClientCAs.
type TLS struct {
	Callers, Operators, Peer *tls.Config
}

// Config configures a node.
type Config struct {
	Self      mesh.NodeID
	Machine   Machine
	Listeners Listeners
	TLS       TLS
	Plain     bool              // allows listeners without TLS, for loopback only
	Operators http.Handler      // served on Listeners.Operators
	Log       logservice.Client // nil: no log reader and no appends
	// Truncated recognizes the error of Log.Read which says that records have
	// been dropped, and returns the first offset that is left. Nil stands for
	// *logservice.ErrTruncated.
	Truncated func(error) (first uint64, ok bool)
	// OnDecision receives the outcome of a Proposed or KeyWithdrawn event.
	// It must not block. Nil discards the outcomes.
	OnDecision  func(token string, d *engine.Decision)
	Now      func() time.Duration // nil: monotonic time since New
	LameDuck time.Duration        // how long open connections are served after Stop
	Metrics  metrics.Registry     // nil: a registry of its own
	Logger   Logger               // nil: discards
	Seed     uint64               // seeds the jitter of backoffs
}

// Node is a running node process.
type Node struct {
	cfg     Config
	now     func() time.Duration
	logger  Logger
	metrics nodeMetrics

	mu        sync.Mutex // guards the machine and the fields below
	machine   Machine
	pending   []engine.Effect
	spare     []engine.Effect
	executing bool

	callsMu sync.Mutex
	calls   map[mesh.CallID]*call
	lastID  atomic.Uint64

	peers    *peer.Client
	receiver *peer.Receiver
	forward  *forwarder
	upstream atomic.Pointer[localUpstream]
	announce sync.Mutex // serializes replacements of upstream
	appends  chan appendJob

	servers   servers
	stopping  atomic.Bool
	stopOnce  sync.Once
	stopped   chan struct{} // closed by the Stopped effect
	stoppedMu sync.Once
	closed    chan struct{} // closed when the loops must end
	closeOnce sync.Once
	loops     sync.WaitGroup
}

// New checks the configuration and prepares a node. Start serves.
func New(cfg Config) (*Node, error) {
	if cfg.Machine == nil {
		return nil, errors.New("node configuration has no machine")
	}
	if !cfg.Plain && (cfg.TLS.Callers == nil || cfg.TLS.Peer == nil) {
		return nil, errors.New("TLS for callers and peers is required unless plain connections are allowed")
	}
	if err := checkPlain(cfg); err != nil {
		return nil, err
	}
	if cfg.Truncated == nil {
		cfg.Truncated = truncatedAt
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
		appends: make(chan appendJob, appendQueue),
		stopped: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	if n.now == nil {
		start := time.Now()
		n.now = func() time.Duration { return time.Since(start) }
	}
	if n.logger == nil {
		n.logger = discard{}
	}
	n.peers = peer.NewClient(peer.Config{
		Self:        cfg.Self,
		TLS:         cfg.TLS.Peer,
		Metrics:     cfg.Metrics,
		Unreachable: func(id mesh.NodeID) { n.Step(&engine.PeerUnreachable{Node: id}) },
		Seed:        cfg.Seed,
	})
	n.receiver = peer.NewReceiver(cfg.Metrics, func(e mesh.Envelope) { n.Step(&engine.MessageReceived{Envelope: e}) })
	n.forward = newForwarder(cfg.TLS.Peer)
	return n, nil
}

// checkPlain reports a listener without TLS that is reachable from other hosts.
func checkPlain(cfg Config) error {
	plain := []net.Listener{cfg.Listeners.Local}
	if cfg.TLS.Callers == nil {
		plain = append(plain, cfg.Listeners.Callers)
	}
	if cfg.TLS.Peer == nil {
		plain = append(plain, cfg.Listeners.Peers)
	}
	if cfg.TLS.Operators == nil {
		plain = append(plain, cfg.Listeners.Operators)
	}
	for _, l := range plain {
		if l == nil {
			continue
		}
		if address, ok := l.Addr().(*net.TCPAddr); !ok || !address.IP.IsLoopback() {
			return errors.Errorf("listener %s has no TLS and is not on loopback", l.Addr())
		}
	}
	return nil
}

// Step feeds one event to the machine and executes the effects. It is safe for
// concurrent use. Effects are executed in the order in which the machine
// produced them, by one goroutine at a time and outside the mutex; a call to
// Step from within an effect only queues its effects.
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

// Do runs f while no event is being processed, so that f can read the machine.
func (n *Node) Do(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// execute performs one effect. A Cancel that the same batch follows up with an
// answer must not end the call before that answer is queued, so it only
// interrupts the attempt.
func (n *Node) execute(e *engine.Effect, following []engine.Effect) {
	switch e.Kind {
	case engine.Cancel:
		if c := n.call(e.Call); c != nil && concerns(following, e.Call) {
			c.interrupt()
		} else if c != nil {
			c.post(e)
		}
	case engine.Send:
		n.peers.Send(e.Member, e.Envelope)
	case engine.Append:
		n.enqueueAppend(appendJob{configStream, e.RequestID, e.Data})
	case engine.AppendSnapshot:
		n.enqueueAppend(appendJob{snapshotsStream, e.RequestID, e.Data})
	case engine.Decided:
		if n.cfg.OnDecision != nil {
			n.cfg.OnDecision(e.RequestID, e.Decision)
		}
	case engine.Stopped:
		n.stoppedMu.Do(func() { close(n.stopped) })
	default:
		if c := n.call(e.Call); c != nil {
			c.post(e)
		}
	}
}

// concerns reports whether one of the effects is for the call.
func concerns(effects []engine.Effect, id mesh.CallID) bool {
	for i := range effects {
		if effects[i].Call == id && effects[i].Kind < engine.Send {
			return true
		}
	}
	return false
}

func (n *Node) call(id mesh.CallID) *call {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	return n.calls[id]
}

func (n *Node) add(c *call) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	n.calls[c.id] = c
}

func (n *Node) remove(c *call) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	delete(n.calls, c.id)
}

// InFlight returns the number of calls that this node is handling.
func (n *Node) InFlight() int {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	return len(n.calls)
}
