package process

import (
	"sync"

	"cardamomhatch/internal/engine"
)

// decisions hands the outcomes of proposals to the operators that wait.
type decisions struct {
	mu      sync.Mutex
	waiting map[string][]chan *engine.Decision
}

func newDecisions() *decisions {
	return &decisions{waiting: make(map[string][]chan *engine.Decision)}
}

// expect returns a channel that receives the decision on a token once.
func (d *decisions) expect(token string) chan *engine.Decision {
	c := make(chan *engine.Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[token] = append(d.waiting[token], c)
	return c
}

func (d *decisions) forget(token string, c chan *engine.Decision) {
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

func (d *decisions) decided(token string, decision *engine.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.waiting[token] {
		c <- decision
	}
	delete(d.waiting, token)
}
