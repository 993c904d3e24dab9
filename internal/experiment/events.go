package experiment

import (
	"strings"
	"sync"
	"time"

	"cardamomhatch/internal/load"
	"cardamomhatch/internal/mesh"
)

// recorder collects what clients and upstreams observe during a run.
type recorder struct {
	mu        sync.Mutex
	requests  []load.RequestResult
	attempts  []load.Attempt
	traces    map[string]*attemptTrace // by marker of the attempt
	callCount int64                    // calls with a marker, over all upstreams
	callTimes []time.Time              // arrival times of those calls
	closed    bool                     // calls at upstreams are no longer recorded
}

// attemptTrace records the calls at upstreams that belong to one attempt.
type attemptTrace struct {
	firstCall  time.Time            // arrival of the first call
	executions map[mesh.Service]int // number of completed executions
}

func newRecorder() *recorder { return &recorder{traces: map[string]*attemptTrace{}} }

func (rec *recorder) recordAttempt(a load.Attempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.attempts = append(rec.attempts, a)
}

func (rec *recorder) recordRequest(result load.RequestResult) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = append(rec.requests, result)
}

// close stops recording calls at upstreams, so that the traces can be read without
// the lock.
func (rec *recorder) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.closed = true
}

// observer returns the upstream.Config.Observe callback for the upstreams of one service.
func (rec *recorder) observer(s mesh.Service) func(string, bool) {
	return func(marker string, executed bool) {
		now := time.Now()
		rec.mu.Lock()
		defer rec.mu.Unlock()
		if rec.closed {
			return
		}
		trace := rec.traces[marker]
		if trace == nil {
			trace = &attemptTrace{firstCall: now, executions: map[mesh.Service]int{}}
			rec.traces[marker] = trace
		}
		if executed {
			trace.executions[s]++
			return
		}
		rec.callCount++
		rec.callTimes = append(rec.callTimes, now)
	}
}

// requestMarker returns the part of an attempt's marker that identifies the request.
func requestMarker(marker string) string {
	if i := strings.LastIndexByte(marker, '.'); i >= 0 {
		return marker[:i]
	}
	return marker
}
