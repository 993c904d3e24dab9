// Package admission decides which calls run at one upstream. The node beside
// the upstream is the only one that connects to it, so this package can hold
// the limit on calls in flight exactly. It learns the limit from latency and
// refusals, keeps waiting calls in a short queue in front of the upstream, and
// publishes the cut that callers apply early.
package admission

import (
	"fmt"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Policy selects the control behaviour. Static and None are the baselines of
// the experiments.
type Policy uint8

// The policies.
const (
	PolicyFull   Policy = iota // learned limit, priority queue, cut
	PolicyStatic               // fixed limit, FIFO queue bounded by length
	PolicyNone                 // no limit and no queue
)

var policyNames = [...]string{"full", "static", "none"}

// String returns the name used in settings and reports.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("policy(%d)", uint8(p))
}

// ParsePolicy is the inverse of Policy.String.
func ParsePolicy(s string) (Policy, error) {
	for i, name := range policyNames {
		if name == s {
			return Policy(i), nil
		}
	}
	return 0, fmt.Errorf("policy %q is none of full, static, none", s)
}

// Decision is what happens to a call.
type Decision uint8

// The decisions.
const (
	Refuse Decision = iota // not run; the reason says why
	Queue                  // waits; Next returns it later
	Run                    // send to the upstream now
)

// Result is how a call that ran ended at the upstream.
type Result uint8

// The results.
const (
	OK        Result = iota
	Failed           // an error of the upstream, or no answer in time
	Shed             // the upstream refused the call for load (HTTP 429 or 503)
	Cancelled        // the caller gave up
)

// Request describes one call that arrives at the serving node.
type Request struct {
	Call      mesh.CallID
	Action    mesh.ActionID
	Class     mesh.Class
	Workspace mesh.Workspace
	Deadline  time.Duration // same clock as now; zero means none
	Resumed   bool          // a call of an action that was already admitted
	Continued bool          // as Resumed, and a downstream call of the action has been answered
}

// Sample is what was measured on a call that ran.
type Sample struct {
	Latency    time.Duration // from sending to the end of the answer
	Downstream time.Duration // part of Latency during which downstream calls were outstanding
	Result     Result
}

// QueueDecision is the verdict on one queued call: Run or Refuse.
type QueueDecision struct {
	Call     mesh.CallID
	Decision Decision
	Reason   outcome.Reason // set if Decision is Refuse
}

// Load is the state that the node reports to the callers of its upstream.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	Service  time.Duration // expected latency of a call once it runs
	Wait     time.Duration // expected time in the queue of a call that arrives now
	Draining bool
}

// Weight is the fair-share weight of one workspace.
type Weight struct {
	Workspace mesh.Workspace
	Weight    float64 // above zero; a workspace without weight has 1
}

// Config holds the parameters of a controller. Zero fields take defaults.
type Config struct {
	Policy       Policy
	InitialLimit int           // limit after a cold start
	MaxLimit     int           // bound while no slots are reported
	StaticLimit  int           // limit of PolicyStatic while no slots are reported
	StaticQueue  int           // queue length of PolicyStatic
	MaxQueue     int           // bound on queued calls of PolicyFull
	QueueTarget  time.Duration // time in queue from which the queue counts as standing
}

const (
	defaultInitialLimit = 8
	defaultMaxLimit     = 4096
	defaultStaticLimit  = 128
	defaultStaticQueue  = 1024
	defaultMaxQueue     = 1024
	defaultQueueTarget  = 20 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDefault(&c.InitialLimit, defaultInitialLimit)
	setDefault(&c.MaxLimit, defaultMaxLimit)
	setDefault(&c.StaticLimit, defaultStaticLimit)
	setDefault(&c.StaticQueue, defaultStaticQueue)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	if c.QueueTarget == 0 {
		c.QueueTarget = defaultQueueTarget
	}
	return c
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
