package process

import (
	"slices"
	"sync"

	"cardamomhatch/internal/engine"
)

// decisionWaiters delivers decisions to the operator requests that wait for
// them, by request ID.
type decisionWaiters struct {
	mu      sync.Mutex
	waiting map[string][]chan *engine.Decision
}

func newDecisionWaiters() *decisionWaiters {
	return &decisionWaiters{waiting: make(map[string][]chan *engine.Decision)}
}

// add returns a channel that receives the next decision with the request ID.
func (d *decisionWaiters) add(requestID string) chan *engine.Decision {
	c := make(chan *engine.Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[requestID] = append(d.waiting[requestID], c)
	return c
}

func (d *decisionWaiters) remove(requestID string, c chan *engine.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := slices.DeleteFunc(d.waiting[requestID], func(other chan *engine.Decision) bool { return other == c })
	d.waiting[requestID] = kept
	if len(kept) == 0 {
		delete(d.waiting, requestID)
	}
}

// notify delivers a decision to every request that waits for it. It does not
// block, because each channel holds one decision and is removed here.
func (d *decisionWaiters) notify(requestID string, decision *engine.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.waiting[requestID] {
		c <- decision
	}
	delete(d.waiting, requestID)
}
