package process

import (
	"sync"

	"cardamomhatch/internal/engine"
)

// decisionWaiters delivers decisions to the operator requests that wait for
// them.
type decisionWaiters struct {
	mu      sync.Mutex
	waiting map[string][]chan *engine.Decision
}

func newDecisionWaiters() *decisionWaiters {
	return &decisionWaiters{waiting: make(map[string][]chan *engine.Decision)}
}

// add returns a channel that receives the next decision on the token.
func (d *decisionWaiters) add(token string) chan *engine.Decision {
	c := make(chan *engine.Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[token] = append(d.waiting[token], c)
	return c
}

func (d *decisionWaiters) remove(token string, c chan *engine.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.waiting[token][:0]
	for _, other := range d.waiting[token] {
		if other != c {
			kept = append(kept, other)
		}
	}
	d.waiting[token] = kept
	if len(kept) == 0 {
		delete(d.waiting, token)
	}
}

func (d *decisionWaiters) notify(token string, decision *engine.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.waiting[token] {
		c <- decision
	}
	delete(d.waiting, token)
}
