package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamomhatch/internal/shutdown"
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

// Peers learn of a stop 1.6 s after its start. An order that they had sent to the stopping node
// until then was accepted although it could take longer than the rest of the stop, and was
// aborted by the exit. It must run at another node instead.
func TestForwardedOrdersDuringAStop(t *testing.T) {
	const (
		grace = 2600 * time.Millisecond
		work  = 1800 * time.Millisecond // below the timeout of the route
	)
	_, a, b, c := startSmallMesh(t)
	for _, h := range []*host{a, b} {
		h.setHandler(func(h *host, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			fmt.Fprint(w, h.instance)
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.node.Stop(ctx)
	}()
	time.Sleep(time.Until(began.Add(shutdown.NoticeTime + 100*time.Millisecond)))
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			id := fmt.Sprint("f", i)
			if got := c.call(id, "POST", "/order/1", "k1", "x"); got.status != http.StatusOK {
				t.Errorf("order %s ran %d times beside the stopping node and got status %d: %s", id, a.runCount(id), got.status, got.body)
			}
		})
	}
	wg.Wait()
	<-stopped
}
