// Package process wires one node process: the engine, the shell around it and
// the operator endpoint. The commands run and dev and the experiments all build
// their nodes here, so that what is measured is what is shipped.
package process

import (
	"context"
	"errors"
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
	Self      mesh.Member
	Seeds     []mesh.Member
	Listeners node.Listeners
	TLS       node.TLS
	Plain     bool
	Log       logservice.Client
	Seed      [32]byte // from a cryptographically secure source outside tests
	Policy    admission.Policy
	Logger    node.Logger
	// Operators makes the handler of the operator listener. Nil: none.
	Operators func(*Process) http.Handler
}

// lameDuck is how long a stopping process answers on open connections with
// Connection: close before it closes them. With 500 ms, a caller that the
// machine had stalled still found its connection closed.
const lameDuck = time.Second

// Process is one running node process.
type Process struct {
	Self         mesh.Member
	LocalAddress string // where the local upstream announces itself
	Metrics      metrics.Registry

	engine    *engine.Node
	shell     *node.Node
	decisions *decisions
}

// New builds a process. Start serves.
func New(cfg Config) (*Process, error) {
	p := &Process{
		LocalAddress: cfg.Listeners.Local.Addr().String(),
		Self:         cfg.Self,
		Metrics:      metrics.NewRegistry(),
		decisions:    newDecisions(),
	}
	p.engine = engine.New(engine.Config{
		Self:          cfg.Self,
		Seeds:         cfg.Seeds,
		Seed:          cfg.Seed,
		StartUnixNano: time.Now().UnixNano(),
		Policy:        cfg.Policy,
	})
	var operators http.Handler
	if cfg.Operators != nil {
		operators = cfg.Operators(p)
	}
	shell, err := node.New(node.Config{
		Self:      cfg.Self.Node,
		Machine:   p.engine,
		Listeners: cfg.Listeners,
		TLS:       cfg.TLS,
		Plain:     cfg.Plain,
		Operators: operators,
		Log:       cfg.Log,
		Truncated: truncated,
		OnDecision:   p.decisions.decided,
		LameDuck:  lameDuck,
		Metrics:   p.Metrics,
		Logger:    cfg.Logger,
		Seed:      uint64(cfg.Self.Node.Incarnation),
	})
	if err != nil {
		return nil, err
	}
	p.shell = shell
	return p, nil
}

func truncated(err error) (uint64, bool) {
	var t *logservice.ErrTruncated
	if !errors.As(err, &t) {
		return 0, false
	}
	return t.First, true
}

// Start serves on the listeners. It does not block.
func (p *Process) Start() { p.shell.Start() }

// Stop is a planned stop: it cuts off no request unless ctx ends first.
func (p *Process) Stop(ctx context.Context) error { return p.shell.Stop(ctx) }

// Kill ends the process's part at once, as a crash would.
func (p *Process) Kill() { p.shell.Close() }

// View runs f with the engine while no event is processed. f must not keep
// what it reads.
func (p *Process) View(f func(*engine.Node)) {
	p.shell.Do(func() { f(p.engine) })
}

// Step feeds one event to the engine.
func (p *Process) Step(ev engine.Event) { p.shell.Step(ev) }

// Propose appends a record on behalf of an operator and waits for its verdict.
func (p *Process) Propose(ctx context.Context, token string, data []byte) (*engine.Decision, error) {
	return p.await(ctx, token, &engine.RecordProposed{Token: token, Data: data})
}

// WithdrawKey withdraws a key and waits until the withdrawal is accepted or has
// failed to be within its time limit.
func (p *Process) WithdrawKey(ctx context.Context, id string) (*engine.Decision, error) {
	return p.await(ctx, id, &engine.KeyWithdrawalRequested{KeyID: id})
}

// DrainNode drains the upstream beside a node, which need not be this one, and
// waits until that node has confirmed.
func (p *Process) DrainNode(ctx context.Context, token string, node mesh.NodeID) (*engine.Decision, error) {
	return p.await(ctx, token, &engine.NodeDrainRequested{Token: token, Node: node})
}

func (p *Process) await(ctx context.Context, token string, ev engine.Event) (*engine.Decision, error) {
	result := p.decisions.expect(token)
	defer p.decisions.forget(token, result)
	p.shell.Step(ev)
	select {
	case d := <-result:
		return d, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
