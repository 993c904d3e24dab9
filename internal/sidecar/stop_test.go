package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cardamomhatch/internal/shutdown"
)

// respondAfter returns a handler of an upstream that works for the given time.
func respondAfter(work time.Duration) func(*host, http.ResponseWriter, *http.Request) {
	return func(h *host, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		fmt.Fprint(w, h.instance)
	}
}

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
		h.setHandler(respondAfter(work))
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
		h.setHandler(respondAfter(work))
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

// setStop makes the node appear to have begun a stop some time ago that ends after the time left.
func (h *host) setStop(elapsed, left time.Duration) {
	now := h.node.now()
	h.node.stopBegan.Store(int64(now - elapsed))
	h.node.stopEnds.Store(int64(now + left))
	h.node.stopping.Store(true)
}

// A call of the local upstream that its service answers slowly was accepted shortly before the
// exit, which aborted it. What such calls took lately must decide, not the target of the route.
func TestSlowCallsLateInAStop(t *testing.T) {
	const left = 1300 * time.Millisecond // less than the timeout of the route, which is two seconds
	for _, test := range []struct {
		work time.Duration // of an earlier call
		want int
	}{
		{0, http.StatusOK},
		{left, http.StatusServiceUnavailable},
	} {
		_, a, _, c := startSmallMesh(t)
		c.setHandler(respondAfter(test.work))
		if got := a.call("earlier", "GET", "/feed/1", "", ""); got.status != http.StatusOK {
			t.Fatalf("a call before the stop got status %d, error %v", got.status, got.err)
		}
		c.setHandler(nil)
		a.setStop(shutdown.RefusalAfter+time.Second, left)
		if got := a.call("late", "GET", "/feed/1", "", ""); got.status != test.want {
			t.Errorf("after a call of %v, a call %v before the end of the stop got status %d, want %d", test.work, left, got.status, test.want)
		}
	}
}

// Reads without a key were accepted late in a stop if the target latency of their route, or what
// recent ones took, fitted before the exit. Those that took longer ran, and were aborted without
// an answer. The upstream must be told to end before the exit, so that each gets its answer.
func TestReadsLateInAStopAreAnswered(t *testing.T) {
	const left = 1300 * time.Millisecond // less than the timeout of the route, which is two seconds
	untilTold := func(_ *host, w http.ResponseWriter, r *http.Request) {
		remaining, _ := strconv.Atoi(r.Header.Get(dialect.Remaining))
		time.Sleep(time.Duration(remaining) * time.Millisecond)
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	for _, recent := range []bool{false, true} {
		_, a, _, c := startSmallMesh(t)
		if recent {
			if got := a.call("recent", "GET", "/feed/1", "", ""); got.status != http.StatusOK {
				t.Fatalf("a call before the stop got status %d, error %v", got.status, got.err)
			}
		}
		c.setHandler(untilTold)
		a.setStop(shutdown.RefusalAfter+time.Second, left)
		sent := time.Now()
		got := a.call("late", "GET", "/feed/1", "", "")
		if took := time.Since(sent); took > left || got.err != nil {
			t.Errorf("recent calls %v: answered after %v with error %v, but the node exits after %v", recent, took, got.err, left)
		}
	}
}

// An order whose caller sends its body slowly was accepted before the stop, but its body ends
// when too little time is left. It must be refused, not passed on and aborted.
func TestOrderWithASlowBodyDuringAStop(t *testing.T) {
	_, a, b, _ := startSmallMesh(t)
	conn, err := net.Dial("tcp", a.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: shop\r\n%s: slow\r\n%s: k1\r\nContent-Length: 1\r\n\r\n", dialect.RequestID, dialect.Key)
	eventually(t, "the node reads the order", func() bool { return a.node.openRequests.Load() > 0 })
	time.Sleep(100 * time.Millisecond) // until it waits for the body
	a.setStop(shutdown.NoticeTime+time.Second, time.Second)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if runs := a.runCount("slow") + b.runCount("slow"); response.StatusCode != http.StatusServiceUnavailable || runs > 0 {
		t.Errorf("the order ran %d times and got status %d, want 503 without a run", runs, response.StatusCode)
	}
}
