// Package admission decides which calls run at one upstream. Only the upstream's local node
// connects to it, so this package can enforce the limit on calls in flight exactly. It
// learns the limit from latency and from the upstream's refusals, keeps waiting calls in a
// short queue in front of the upstream, and publishes the cut, a load-shedding threshold
// that callers apply before they send a call.
package admission

import (
	"fmt"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Policy selects the control algorithm. PolicyStatic and PolicyNone are the baselines of
// the experiments.
type Policy uint8

// The policies.
const (
	PolicyFull   Policy = iota // learned limit, priority queue and cut
	PolicyStatic               // fixed limit and FIFO queue of bounded length
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

// Decision tells what happens next to a call that arrived or is queued.
type Decision uint8

// The decisions.
const (
	Refuse Decision = iota // the call does not run; an outcome.Reason tells why
	Queue                  // the call waits; Next returns it later
	Run                    // the call is to be sent to the upstream now
)

// Result tells how a call that ran ended at the upstream.
type Result uint8

// The results.
const (
	OK        Result = iota
	Failed           // the upstream answered with an error or did not answer in time
	Shed             // the upstream refused the call because of load (HTTP 429 or 503)
	Cancelled        // the caller gave up
)

// Request describes one call that arrives at the serving node.
type Request struct {
	Call      mesh.CallID
	Action    mesh.ActionID
	Class     mesh.Class
	Workspace mesh.Workspace
	Deadline  time.Duration // on the same clock as now; zero means none
	Resumed   bool          // the call belongs to an action that was already admitted
	Continued bool          // as Resumed, and a downstream call of the action has been answered
}

// Sample holds the measurements of a call that ran.
type Sample struct {
	Latency    time.Duration // from sending the call to the upstream to the end of its answer
	Downstream time.Duration // part of Latency during which downstream calls were outstanding
	Result     Result
}

// QueueDecision is the decision on one queued call: Run or Refuse.
type QueueDecision struct {
	Call     mesh.CallID
	Decision Decision
	Reason   outcome.Reason // set if Decision is Refuse
}

// Load is the load that the node reports to the callers of its upstream.
type Load struct {
	InFlight  int
	Queued    int
	Limit     int
	Latency   time.Duration // expected latency of a call once it runs
	QueueWait time.Duration // expected queueing time of a call that arrives now
	Draining  bool
}

// Weight is the fair-share weight of one workspace.
type Weight struct {
	Workspace mesh.Workspace
	Weight    float64 // above zero; a workspace that is not listed has weight 1
}

// Config holds the parameters of a controller. Zero fields take default values.
type Config struct {
	Policy       Policy
	InitialLimit int           // limit after a cold start
	MaxLimit     int           // upper bound of the limit while no slots are reported
	StaticLimit  int           // limit of PolicyStatic while no slots are reported
	StaticQueue  int           // maximum queue length of PolicyStatic
	MaxQueue     int           // maximum queue length of PolicyFull
	QueueTarget  time.Duration // a queue whose oldest call waits longer may become a standing queue
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
