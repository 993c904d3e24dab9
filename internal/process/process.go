// Package process assembles a node process from the engine, the I/O layer of
// package node and the operator endpoint. The commands run and dev and the
// experiments all build their nodes here, so that experiments measure the code
// that is shipped.
package process

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/node"
)

// Config configures a process.
type Config struct {
	Self           mesh.Member
	Seeds          []mesh.Member  // nodes to fetch state from while the log is unavailable
	Listeners      node.Listeners // Local must be set
	TLS            node.TLS
	AllowPlaintext bool // allows caller and peer listeners without TLS, on loopback only
	Log            logservice.Client
	Seed           [32]byte // seeds tokens and MAC keys; must come from a cryptographically secure source except in tests
	Policy         admission.Policy
	Logger         node.Logger
	// NewOperatorHandler returns the handler of the operator listener. It may be
	// nil if there is no such listener.
	NewOperatorHandler func(*Process) http.Handler
}

// lameDuck is how long a stopping process responds on open connections with
// Connection: close before it closes them. 500 ms was too short: a caller on a
// stalled host still found its connection closed.
const lameDuck = time.Second

// Process is one running node process.
type Process struct {
	Self         mesh.Member
	LocalAddress string // address to which the local upstream sends its announcements
	Metrics      metrics.Registry

	engine    *engine.Node
	node      *node.Node
	decisions *decisionWaiters
}

// New creates a process. Start starts it.
func New(cfg Config) (*Process, error) {
	p := &Process{
		LocalAddress: cfg.Listeners.Local.Addr().String(),
		Self:         cfg.Self,
		Metrics:      metrics.NewRegistry(),
		decisions:    newDecisionWaiters(),
	}
	p.engine = engine.New(engine.Config{
		Self:          cfg.Self,
		Seeds:         cfg.Seeds,
		Seed:          cfg.Seed,
		StartUnixNano: time.Now().UnixNano(),
		Policy:        cfg.Policy,
	})
	var operators http.Handler
	if cfg.NewOperatorHandler != nil {
		operators = cfg.NewOperatorHandler(p)
	}
	n, err := node.New(node.Config{
		Self:           cfg.Self.Node,
		Machine:        p.engine,
		Listeners:      cfg.Listeners,
		TLS:            cfg.TLS,
		AllowPlaintext: cfg.AllowPlaintext,
		Operators:      operators,
		Log:            cfg.Log,
		OnDecision:     p.decisions.notify,
		LameDuck:       lameDuck,
		Metrics:        p.Metrics,
		Logger:         cfg.Logger,
		Seed:           uint64(cfg.Self.Node.Incarnation), // for jitter, so it need not be secret like cfg.Seed
	})
	if err != nil {
		return nil, err
	}
	p.node = n
	return p, nil
}

// Start starts the listeners and the background loops. It does not block.
func (p *Process) Start() { p.node.Start() }

// Stop shuts the process down gracefully: no request is aborted unless ctx ends
// first.
func (p *Process) Stop(ctx context.Context) error { return p.node.Stop(ctx) }

// Kill shuts the process down at once, as a crash would: open calls are
// aborted.
func (p *Process) Kill() { p.node.Close() }

// View calls f with the engine while no event is being processed. f must not
// retain references to the engine's state.
func (p *Process) View(f func(*engine.Node)) {
	p.node.WithLock(func() { f(p.engine) })
}

// Step passes one event to the engine.
func (p *Process) Step(ev engine.Event) { p.node.Step(ev) }

// Propose appends a record on behalf of an operator and waits for the decision
// on it. The token is that of the record's header, as text.
func (p *Process) Propose(ctx context.Context, token string, data []byte) (*engine.Decision, error) {
	return p.awaitDecision(ctx, token, &engine.RecordProposed{Token: token, Data: data})
}

// WithdrawKey withdraws a key and waits until the withdrawal is accepted or its
// time limit has passed.
func (p *Process) WithdrawKey(ctx context.Context, id string) (*engine.Decision, error) {
	return p.awaitDecision(ctx, id, &engine.KeyWithdrawalRequested{KeyID: id})
}

// DrainNode drains the upstream of a node, which need not be this one, and waits
// until that node has confirmed or the time limit has passed. The token identifies
// the request.
func (p *Process) DrainNode(ctx context.Context, token string, nodeID mesh.NodeID) (*engine.Decision, error) {
	return p.awaitDecision(ctx, token, &engine.NodeDrainRequested{Token: token, Node: nodeID})
}

func (p *Process) awaitDecision(ctx context.Context, requestID string, ev engine.Event) (*engine.Decision, error) {
	result := p.decisions.add(requestID)
	defer p.decisions.remove(requestID, result)
	p.node.Step(ev)
	select {
	case d := <-result:
		return d, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
