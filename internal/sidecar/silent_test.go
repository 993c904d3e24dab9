package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomhatch/internal/outcome"
)

// hangIfFull makes the upstream run at most capacity requests at a time, each for the given
// time. It never responds to a request beyond them.
func (h *host) hangIfFull(capacity int64, work time.Duration, hung *atomic.Int64) {
	var running atomic.Int64
	h.setHandler(func(_ *host, w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > capacity {
			running.Add(-1)
			hung.Add(1)
			h.mu.Lock()
			h.runs[r.Header.Get(dialect.RequestID)]--
			h.mu.Unlock()
			<-r.Context().Done() // the node gives up and closes the connection
			panic(http.ErrAbortHandler)
		}
		defer running.Add(-1)
		time.Sleep(work)
		io.WriteString(w, "ok")
	})
}

// The upstream has fewer slots than it says and never responds to what it cannot queue. What
// it answers must go on; a hung order must fail as one that may have run, and must not run
// again; the slots must be given back, and the silence must count as refusal for load, so
// that the node sends less.
func TestUpstreamThatNeverRespondsWhenFull(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	var hung atomic.Int64
	a.hangIfFull(2, 50*time.Millisecond, &hung)
	b.hangIfFull(2, 50*time.Millisecond, &hung)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 40 {
		time.Sleep(15 * time.Millisecond)
		wg.Go(func() {
			id := fmt.Sprint("order-", i)
			got := c.call(id, "POST", "/order/1", "k1", "x")
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
			if runs := a.runCount(id) + b.runCount(id); runs > 1 || (got.status == http.StatusServiceUnavailable && runs > 0) {
				t.Errorf("order %s got status %d and ran %d times", id, got.status, runs)
			}
			if refusal, ok := outcome.Parse(got.header); got.status == http.StatusGatewayTimeout && (!ok || refusal.Reason != outcome.UpstreamSilent) {
				t.Errorf("order %s was not answered, header %q, want reason %s", id, got.header.Get(outcome.Header), outcome.UpstreamSilent)
			}
		})
	}
	wg.Wait()
	t.Logf("statuses %v, %d requests were not answered", statuses, hung.Load())
	if hung.Load() == 0 || statuses[http.StatusGatewayTimeout] == 0 {
		t.Errorf("statuses %v and %d requests without answer, want some that hang", statuses, hung.Load())
	}
	time.Sleep(100 * time.Millisecond)
	for _, h := range []*host{a, b} {
		h.node.mu.Lock()
		running := h.node.gate.Running()
		h.node.mu.Unlock()
		if running != 0 {
			t.Errorf("%d slots of %s are held after all requests have ended", running, h.instance)
		}
	}
	for i := range 10 {
		if got := c.call(fmt.Sprint("after-", i), "GET", "/read/1", "k1", ""); got.status != http.StatusOK {
			t.Errorf("a request after the load got status %d (%s), want 200", got.status, got.header.Get(outcome.Header))
		}
	}
}

// Answers that take almost until the deadline are not hangs: they must be delivered, and must
// not count as refusals.
func TestSlowAnswersAreNotHangs(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	slow := func(_ *host, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1700 * time.Millisecond) // the timeout of the route is two seconds
		io.WriteString(w, "slow")
	}
	a.setHandler(slow)
	b.setHandler(slow)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			if got := c.call(fmt.Sprint("slow-", i), "POST", "/order/1", "k1", "x"); got.status != http.StatusOK || got.body != "slow" {
				t.Errorf("a slow request got status %d and %q (%s), want 200", got.status, got.body, got.header.Get(outcome.Header))
			}
		})
	}
	wg.Wait()
	for _, h := range []*host{a, b} {
		h.node.mu.Lock()
		limit := h.node.gate.Limit()
		h.node.mu.Unlock()
		if limit < 7 {
			t.Errorf("the limit of %s is %d after slow answers, want the 7 usable of its slots", h.instance, limit)
		}
	}
}
