package experiment

import (
	"cmp"
	"sync"
	"time"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/dev"
	"cardamomhatch/internal/load"
	"cardamomhatch/internal/standin/upstream"
)

const (
	// maxInFlight bounds the concurrent client requests: 2,000 calls through three
	// layers use about 12,000 of the process's 20,000 file descriptors.
	maxInFlight = 2000
	// uncontrolledRetries is the number of retries by each layer and by clients
	// under PolicyNone.
	uncontrolledRetries = 2
	// retryDelay is the delay before the first retry of a client.
	retryDelay = 50 * time.Millisecond
	// surgeSeedOffset gives the arrivals of a surge a random sequence independent of
	// that of the base load.
	surgeSeedOffset = 1 << 32
	// coldFactor multiplies the service time of an upstream that starts cold; the
	// factor falls linearly to 1 within coldFor.
	coldFactor = 4
	coldFor    = 3 * time.Second
)

// answerBytes is the size of every response body; a shorter body was truncated.
const answerBytes = 512

// configureUpstream adapts one stand-in upstream to the plan and the policy.
func (r *run) configureUpstream(c *upstream.Config) {
	c.Median = TimeScale * r.plan.medianServiceTime[c.Service]
	c.Spread = serviceTimeSigma
	c.Queue = c.Slots
	c.AnswerSize = answerBytes
	c.Observe = r.recorder.observer(c.Service)
	if r.coldStart.Load() {
		c.ColdFactor, c.ColdFor = coldFactor, coldFor
	}
	if r.options.Policy != admission.PolicyNone {
		return
	}
	for i := range c.Downstream {
		c.Downstream[i].Retries = uncontrolledRetries
	}
}

// baseLoad returns the load that lasts for the whole run.
func (r *run) baseLoad() load.Config {
	cfg := r.newLoadConfig(r.options.Seed, r.phases.End)
	for i, w := range r.plan.Workspaces {
		cfg.Workspaces[i].Rate = w.Demand
	}
	return cfg
}

// addedLoad returns the load that the scenario adds to the base load during the cause,
// and whether there is any.
func (r *run) addedLoad() (load.Config, bool) {
	s := r.scenario
	cfg := r.newLoadConfig(r.options.Seed+surgeSeedOffset, r.phases.CauseEnd-r.phases.CauseStart)
	for i, w := range r.plan.Workspaces {
		cfg.Workspaces[i].Rate = max(s.DemandFactor-1, 0) * w.Demand
	}
	if s.GreedyFactor > 0 {
		i := r.plan.greedyWorkspace()
		greedy := r.plan.Workspaces[i]
		cfg.Workspaces[i].Rate = s.GreedyFactor*greedy.RatePerSecond - greedy.Demand
	}
	return cfg, s.DemandFactor > 1 || s.GreedyFactor > 0
}

// greedyWorkspace returns the index of the workspace with the largest weight, which is
// the one that Scenario.GreedyFactor applies to.
func (p *Plan) greedyWorkspace() int {
	largest := 0
	for i, w := range p.Workspaces {
		if w.Weight > p.Workspaces[largest].Weight {
			largest = i
		}
	}
	return largest
}

// newLoadConfig returns the load configuration with a rate of zero for every workspace.
func (r *run) newLoadConfig(seed uint64, duration time.Duration) load.Config {
	cfg := load.Config{
		Seed: seed, Duration: duration, Targets: r.targets.urls, Usable: r.targets.usable,
		MaxInFlight: maxInFlight, Tickets: true, TicketPerRequest: true, Retries: r.scenario.ClientRetries, RetryDelay: retryDelay,
		MarkerHeader: upstream.MarkerHeader, OnAttempt: r.recorder.recordAttempt, OnRequestEnd: r.recorder.recordRequest,
	}
	if r.options.Policy == admission.PolicyNone {
		cfg.Retries = cmp.Or(cfg.Retries, uncontrolledRetries)
	}
	routes := r.plan.routes()
	for _, w := range r.plan.Workspaces {
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{
			Name: string(w.Name), Key: r.mesh.Keys[w.Name], Routes: routes,
		})
	}
	return cfg
}

// targets are the URLs of the caller listeners that clients use. Clients skip the URL of
// a stopped host, because it refuses connections. A restarted host listens at a new
// address, which clients do not use.
type targets struct {
	urls    []string
	mu      sync.RWMutex
	removed map[string]bool // by URL
}

func newTargets(m *dev.Mesh) *targets {
	t := &targets{removed: map[string]bool{}}
	for _, h := range m.Hosts {
		t.urls = append(t.urls, h.CallerURL)
	}
	return t
}

func (t *targets) remove(url string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removed[url] = true
}

func (t *targets) usable(url string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.removed[url]
}
