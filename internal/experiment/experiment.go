// Package experiment runs real nodes with stand-in upstreams through stated
// scenarios and compares what callers and upstreams saw with what the slots
// allow. It exists so that every promised figure is measured on the shipped code
// over sockets, next to two baselines, and judged by an outcome stated
// beforehand.
package experiment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/dev"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

// DefaultDuration is the measured time of a scenario.
const DefaultDuration = 16 * time.Second

// Options selects one run.
type Options struct {
	Deployment string
	Scenario   string
	Policy     admission.Policy
	Seed       uint64
	Duration   time.Duration // measured, without warm-up; 0 means DefaultDuration
}

// Phases are the offsets from the first arrival. The time before Measure warms
// the mesh up and counts for nothing.
type Phases struct {
	Measure, CauseStart, CauseEnd, End time.Duration
}

// warmUp lets limits, scores and credit settle from a fleet that has just
// started.
const warmUp = 4 * time.Second

func phasesOf(measured time.Duration) Phases {
	return Phases{
		Measure:    warmUp,
		CauseStart: warmUp + measured/5,
		CauseEnd:   warmUp + measured*13/20,
		End:        warmUp + measured,
	}
}

// Run runs one scenario under one policy.
func Run(ctx context.Context, o Options) (*Result, error) {
	s, err := scenarioOf(o.Scenario)
	if err != nil {
		return nil, err
	}
	plan, err := planOf(o.Deployment, s)
	if err != nil {
		return nil, err
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	r := &run{options: o, scenario: s, plan: plan, phases: phasesOf(o.Duration), log: newEvents()}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.mesh.Kill()
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, settleTime)
	r.log.close()
	r.collectKeys()
	return r.result(), nil
}

// settleTime is how long executions that clients no longer wait for are still
// observed, to find those that a refusal denied.
const settleTime = time.Second

// run is one run of a scenario.
type run struct {
	options  Options
	scenario *Scenario
	plan     *Plan
	phases   Phases
	log      *events
	mesh     *dev.Mesh
	targets  *targets
	samples  *sampler
	began    time.Time
	keysSeen int64
	cold     atomic.Bool // upstreams start cold
	hostsMu  sync.Mutex  // held while a host's parts are replaced or sampled
}

func (r *run) start(ctx context.Context) error {
	var err error
	r.mesh, err = dev.Start(ctx, dev.Options{
		Deployment: r.options.Deployment, Declaration: r.plan.Declaration, Policy: r.options.Policy,
		Seed: r.options.Seed, Upstream: r.configureUpstream,
	})
	if err != nil {
		return errors.Wrap(err, "start the mesh")
	}
	r.targets = newTargets(r.mesh)
	r.samples = &sampler{run: r}
	return nil
}

// drive generates the load and applies the cause.
func (r *run) drive(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.began = time.Now()
	failed := make(chan error, 3)
	running := 2
	go func() { failed <- r.cause(ctx) }()
	go func() { failed <- r.generate(ctx, r.baseLoad()) }()
	if extra, ok := r.extraLoad(); ok {
		running++
		go func() {
			if !sleep(ctx, time.Until(r.began.Add(r.phases.CauseStart))) {
				failed <- ctx.Err()
				return
			}
			failed <- r.generate(ctx, extra)
		}()
	}
	go r.samples.work(ctx)
	for range running {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

func (r *run) generate(ctx context.Context, cfg load.Config) error {
	_, err := load.Run(ctx, cfg)
	return errors.Wrap(err, "generate load")
}

// cause applies the scenario's fault and takes it back.
func (r *run) cause(ctx context.Context) error {
	if !sleep(ctx, time.Until(r.began.Add(r.phases.CauseStart))) {
		return ctx.Err()
	}
	if r.scenario.Begin != nil {
		if err := r.scenario.Begin(ctx, r); err != nil {
			return errors.Wrap(err, "begin the cause")
		}
	}
	if !sleep(ctx, time.Until(r.began.Add(r.phases.CauseEnd))) {
		return ctx.Err()
	}
	if r.scenario.Finish != nil {
		return errors.Wrap(r.scenario.Finish(ctx, r), "end the cause")
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hosts returns the hosts of a service.
func (r *run) hosts(s mesh.Service) []*dev.Host {
	var hosts []*dev.Host
	for _, h := range r.mesh.Hosts {
		if h.Group.Service == s {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// collectKeys counts the calls in which an upstream saw a caller's key. Those of
// an upstream that is stopped are added by noteEnd.
func (r *run) collectKeys() {
	for _, h := range r.mesh.Hosts {
		r.keysSeen += h.Upstream.Counts().KeysSeen
	}
}

// restart starts a new incarnation of a host.
func (r *run) restart(h *dev.Host) error {
	r.hostsMu.Lock()
	defer r.hostsMu.Unlock()
	return h.Restart()
}

func (r *run) noteEnd(h *dev.Host) { r.keysSeen += h.Upstream.Counts().KeysSeen }
