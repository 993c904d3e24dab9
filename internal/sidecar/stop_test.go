package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// An order without a key on a route that needs none cannot be told from a call of the local
// upstream. It was accepted until 200 ms before the end of a stop, run by an upstream, and
// aborted by the exit without an answer.
func TestOrdersWithoutAKeyUntilTheEndOfAStop(t *testing.T) {
	const (
		grace    = 4 * time.Second
		work     = 800 * time.Millisecond
		interval = 150 * time.Millisecond
	)
	_, a, b, _ := startSmallMesh(t)
	for _, h := range []*host{a, b} {
		h.setHandler(func(h *host, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			fmt.Fprint(w, h.instance)
		})
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		a.node.Stop(ctx)
	}()
	var wg sync.WaitGroup
	answered := 0
	var mu sync.Mutex
	for i := 0; ; i++ {
		select {
		case <-stopped:
			wg.Wait()
			if answered == 0 {
				t.Error("no order was answered")
			}
			return
		case <-time.After(interval):
		}
		wg.Go(func() {
			id := fmt.Sprint("n", i)
			sent := a.node.now()
			got := a.call(id, "POST", "/notify/1", "", "x")
			if runs := a.runCount(id) + b.runCount(id); got.status != http.StatusOK && runs > 0 {
				t.Errorf("order %s, sent %v after the start of the stop, ran %d times and got status %d, error %v", id, sent-time.Duration(a.node.stopBegan.Load()), runs, got.status, got.err)
			}
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				answered++
			}
		})
	}
}
