package experiment

import (
	"strings"
	"sync"
	"time"

	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

// events is what clients and upstreams saw during a run.
type events struct {
	mu       sync.Mutex
	endings  []load.RequestResult
	attempts []load.Attempt
	received map[string]*received // by marker of an attempt
	calls    int64                // marked calls at all upstreams
	times    []time.Time          // of those calls
	closed   bool
}

// received is what upstreams saw of one attempt.
type received struct {
	first    time.Time
	executed map[mesh.Service]int
}

func newEvents() *events { return &events{received: map[string]*received{}} }

func (e *events) attempted(a load.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, a)
}

func (e *events) ended(end load.RequestResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endings = append(e.endings, end)
}

// close ends the recording, so that the events can be read without the lock.
func (e *events) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
}

// observer returns the observer of one service's upstreams.
func (e *events) observer(s mesh.Service) func(string, bool) {
	return func(marker string, executed bool) {
		now := time.Now()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed {
			return
		}
		r := e.received[marker]
		if r == nil {
			r = &received{first: now, executed: map[mesh.Service]int{}}
			e.received[marker] = r
		}
		if executed {
			r.executed[s]++
			return
		}
		e.calls++
		e.times = append(e.times, now)
	}
}

// requestOf returns the request of an attempt's marker.
func requestOf(marker string) string {
	if i := strings.LastIndexByte(marker, '.'); i >= 0 {
		return marker[:i]
	}
	return marker
}
