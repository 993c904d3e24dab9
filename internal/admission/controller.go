package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Controller is the admission control of one upstream.
type Controller struct{ cfg Config }

// New returns a controller.
func New(cfg Config) *Controller { return &Controller{cfg: cfg.withDefaults()} }

// SetWeights replaces the fair-share weights of the workspaces.
func (c *Controller) SetWeights(weights []Weight) {}

// Arrive decides on one call. The reason is set if the decision is Refuse.
func (c *Controller) Arrive(now time.Duration, r Request) (Decision, outcome.Reason) {
	return Run, outcome.None
}

// Done ends a call that ran. Next may return queued calls afterwards.
func (c *Controller) Done(now time.Duration, call mesh.CallID, s Sample) {}

// Gone ends a call whose caller gave up, queued or running.
func (c *Controller) Gone(now time.Duration, call mesh.CallID) {}

// Next returns one queued call that is to run or to be refused now. It is
// called until the second result is false: after Done, Gone, SetSlots and on
// every tick.
func (c *Controller) Next(now time.Duration) (Step, bool) { return Step{}, false }

// SetSlots sets what the upstream reports. Both are upper bounds only; zero
// means not reported.
func (c *Controller) SetSlots(now time.Duration, slots, connections int) {}

// Drain refuses every further arrival and every queued call.
func (c *Controller) Drain() {}

// Cut returns the cut to publish to callers.
func (c *Controller) Cut(now time.Duration) mesh.Cut { return mesh.OpenCut }

// Load returns the load to publish to callers.
func (c *Controller) Load(now time.Duration) Load { return Load{} }
