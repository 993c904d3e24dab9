// Package experiment runs real nodes with stand-in upstreams through fault and
// overload scenarios and compares what callers and upstreams observed with what the
// capacity of the slots allows. The shipped code is measured over real sockets,
// next to two baseline policies, against goals that are fixed in advance.
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

// DefaultDuration is the measured duration of a scenario.
const DefaultDuration = 16 * time.Second

// Options are the parameters of one run.
type Options struct {
	Deployment string
	Scenario   string
	Policy     admission.Policy
	Seed       uint64
	Duration   time.Duration // without warm-up; 0 means DefaultDuration
}

// Phases are the boundaries of a run as offsets from its start. The time before Measure
// is warm-up and is not measured. The scenario's cause lasts from CauseStart to CauseEnd.
type Phases struct {
	Measure, CauseStart, CauseEnd, End time.Duration
}

// warmUp lets the limits, scores and credit of a newly started mesh converge.
const warmUp = 4 * time.Second

// newPhases divides the measured time: 20 % before the cause, as the reference for the
// recovery, 45 % with the cause, and 35 % after it, in which the mesh recovers.
func newPhases(measured time.Duration) Phases {
	return Phases{
		Measure:    warmUp,
		CauseStart: warmUp + measured/5,
		CauseEnd:   warmUp + measured*13/20,
		End:        warmUp + measured,
	}
}

// Run runs one scenario under one policy.
func Run(ctx context.Context, o Options) (*Result, error) {
	s, err := findScenario(o.Scenario)
	if err != nil {
		return nil, err
	}
	plan, err := newPlan(o.Deployment, s)
	if err != nil {
		return nil, err
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	r := &run{options: o, scenario: s, plan: plan, phases: newPhases(o.Duration), recorder: newRecorder()}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.mesh.Kill()
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, settleTime)
	r.recorder.close()
	r.collectKeysSeen()
	return r.result(), nil
}

// settleTime is how long upstreams are still observed after the last client request
// has ended, to find executions that contradict a refusal with "not run".
const settleTime = time.Second

// run is the state of one run of a scenario.
type run struct {
	options   Options
	scenario  *Scenario
	plan      *Plan
	phases    Phases
	recorder  *recorder
	mesh      *dev.Mesh
	targets   *targets
	sampler   *sampler
	startTime time.Time
	keysSeen  int64       // sum of the upstreams' Counts.KeysSeen
	coldStart atomic.Bool // upstreams that start now are cold
	hostsMu   sync.Mutex  // held while a host is restarted or sampled
}

func (r *run) start(ctx context.Context) error {
	var err error
	r.mesh, err = dev.Start(ctx, dev.Options{
		Deployment: r.options.Deployment, Declaration: r.plan.Declaration, Policy: r.options.Policy,
		Seed: r.options.Seed, ConfigureUpstream: r.configureUpstream,
	})
	if err != nil {
		return errors.Wrap(err, "start the mesh")
	}
	r.targets = newTargets(r.mesh)
	r.sampler = &sampler{run: r}
	return nil
}

// execute generates the load and applies the cause. It returns the first error of these
// tasks, which run concurrently.
func (r *run) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startTime = time.Now()
	taskErrors := make(chan error, 3)
	tasks := 2
	go func() { taskErrors <- r.applyCause(ctx) }()
	go func() { taskErrors <- r.generateLoad(ctx, r.baseLoad()) }()
	if addedLoad, ok := r.addedLoad(); ok {
		tasks++
		go func() {
			if !sleep(ctx, time.Until(r.startTime.Add(r.phases.CauseStart))) {
				taskErrors <- ctx.Err()
				return
			}
			taskErrors <- r.generateLoad(ctx, addedLoad)
		}()
	}
	go r.sampler.samplePeriodically(ctx)
	for range tasks {
		if err := <-taskErrors; err != nil {
			return err
		}
	}
	return nil
}

func (r *run) generateLoad(ctx context.Context, cfg load.Config) error {
	_, err := load.Run(ctx, cfg)
	return errors.Wrap(err, "generate load")
}

// applyCause starts and ends the scenario's fault at the times of the phases.
func (r *run) applyCause(ctx context.Context) error {
	if !sleep(ctx, time.Until(r.startTime.Add(r.phases.CauseStart))) {
		return ctx.Err()
	}
	if r.scenario.Begin != nil {
		if err := r.scenario.Begin(ctx, r); err != nil {
			return errors.Wrap(err, "begin the cause")
		}
	}
	if !sleep(ctx, time.Until(r.startTime.Add(r.phases.CauseEnd))) {
		return ctx.Err()
	}
	if r.scenario.Finish != nil {
		return errors.Wrap(r.scenario.Finish(ctx, r), "end the cause")
	}
	return nil
}

// sleep waits for d. It returns false if ctx ends first.
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

func (r *run) hosts(s mesh.Service) []*dev.Host {
	var hosts []*dev.Host
	for _, h := range r.mesh.Hosts {
		if h.UpstreamGroup.Service == s {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// collectKeysSeen adds how often the current upstreams saw a caller's key. For an
// upstream that a restart replaces, addKeysSeen must be called before the restart.
func (r *run) collectKeysSeen() {
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

// addKeysSeen adds how often the current upstream of one host saw a caller's key.
func (r *run) addKeysSeen(h *dev.Host) { r.keysSeen += h.Upstream.Counts().KeysSeen }
