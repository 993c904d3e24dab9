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
	// maxInFlight bounds the clients; 2,000 calls of three layers need about
	// 12,000 of the process's 20,000 descriptors.
	maxInFlight = 2000
	// uncontrolledRetries are those of each layer and of clients under PolicyNone.
	uncontrolledRetries = 2
	retryDelay          = 50 * time.Millisecond
	// extraSeed separates the arrivals of a surge from those of the base load.
	extraSeed = 1 << 32
	// coldFactor and coldFor describe an upstream that has just started.
	coldFactor = 4
	coldFor    = 3 * time.Second
)

// answerBytes is the size of every answer, by which a cut one is recognised.
const answerBytes = 512

// configureUpstream adjusts one stand-in upstream.
func (r *run) configureUpstream(c *upstream.Config) {
	c.Median = TimeScale * r.plan.median[c.Service]
	c.Spread = spread
	c.Queue = c.Slots
	c.AnswerSize = answerBytes
	c.Observe = r.log.observer(c.Service)
	if r.cold.Load() {
		c.ColdFactor, c.ColdFor = coldFactor, coldFor
	}
	if r.options.Policy != admission.PolicyNone {
		return
	}
	for i := range c.Downstream {
		c.Downstream[i].Retries = uncontrolledRetries
	}
}

// baseLoad is the demand over the whole run.
func (r *run) baseLoad() load.Config {
	cfg := r.load(r.options.Seed, r.phases.End)
	for i, t := range r.plan.Workspaces {
		cfg.Workspaces[i].Rate = t.Demand
	}
	return cfg
}

// extraLoad is the demand that a cause adds.
func (r *run) extraLoad() (load.Config, bool) {
	s := r.scenario
	cfg := r.load(r.options.Seed+extraSeed, r.phases.CauseEnd-r.phases.CauseStart)
	for i, t := range r.plan.Workspaces {
		cfg.Workspaces[i].Rate = max(s.Demand-1, 0) * t.Demand
	}
	if s.Greedy > 0 {
		i := r.plan.greedy()
		t := r.plan.Workspaces[i]
		cfg.Workspaces[i].Rate = s.Greedy*t.RatePerSecond - t.Demand
	}
	return cfg, s.Demand > 1 || s.Greedy > 0
}

// greedy returns the workspace of the largest weight.
func (p *Plan) greedy() int {
	largest := 0
	for i, t := range p.Workspaces {
		if t.Weight > p.Workspaces[largest].Weight {
			largest = i
		}
	}
	return largest
}

func (r *run) load(seed uint64, d time.Duration) load.Config {
	cfg := load.Config{
		Seed: seed, Duration: d, Targets: r.targets.urls, Usable: r.targets.usable,
		MaxInFlight: maxInFlight, Tickets: true, FreshTickets: true, Retries: r.scenario.ClientRetries, RetryDelay: retryDelay,
		MarkerHeader: upstream.MarkerHeader, Attempted: r.log.attempted, Ended: r.log.ended,
	}
	if r.options.Policy == admission.PolicyNone {
		cfg.Retries = cmp.Or(cfg.Retries, uncontrolledRetries)
	}
	routes := r.plan.routes()
	for _, t := range r.plan.Workspaces {
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{
			Name: string(t.Name), Key: r.mesh.Keys[t.Name], Routes: routes,
		})
	}
	return cfg
}

// targets are the addresses that clients know. A client skips an address that
// refuses connections.
type targets struct {
	urls []string
	mu   sync.RWMutex
	gone map[string]bool
}

func newTargets(m *dev.Mesh) *targets {
	t := &targets{gone: map[string]bool{}}
	for _, h := range m.Hosts {
		t.urls = append(t.urls, h.CallerURL)
	}
	return t
}

func (t *targets) remove(url string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone[url] = true
}

func (t *targets) usable(url string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.gone[url]
}
