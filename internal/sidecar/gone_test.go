package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/upstream"
)

// startBlockedUpstream starts a web host whose upstream runs one request at a time and answers once
// release is closed, and a stock host that forwards to it.
func startBlockedUpstream(t *testing.T) (web, stock *host, release chan struct{}) {
	t.Helper()
	s := newStore(shopDeclaration)
	web, stock = startHost(t, s, "a", "web", 1), startHost(t, s, "c", "stock", 8)
	waitForServices(t, map[mesh.Service]int{"web": 1, "stock": 1}, web, stock)
	release = make(chan struct{})
	web.setHandler(func(_ *host, w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	})
	return web, stock, release
}

// An order that another node had forwarded waited in the queue of the serving node with its body
// unread, so that the end of its caller's connection was not noticed: it ran after the caller had
// left. Short bodies and such that are longer than a read buffer must not differ.
func TestOrderOfACallerThatLeftDoesNotRun(t *testing.T) {
	for _, size := range []int{1, 100 << 10} {
		web, stock, release := startBlockedUpstream(t)
		first := make(chan response, 1)
		go func() { first <- stock.call("first", "POST", "/notify/1", "", "x") }()
		eventually(t, "the upstream runs the first order", func() bool { return web.runCount("first") == 1 })

		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() {
			r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+stock.callerAddress+"/notify/1", strings.NewReader(strings.Repeat("x", size)))
			r.Host = "shop"
			r.Header.Set(dialect.RequestID, "left")
			r.Header.Set(dialect.Remaining, "3000")
			_, err := http.DefaultClient.Do(r)
			left <- err
		}()
		queued := func() int {
			web.node.mu.Lock()
			defer web.node.mu.Unlock()
			return web.node.gate.Queued()
		}
		eventually(t, "the second order waits at the serving node", func() bool { return queued() == 1 })
		cancel()
		if err := <-left; !errors.Is(err, context.Canceled) {
			t.Fatalf("the second order ended with error %v, want that its caller left", err)
		}
		time.Sleep(200 * time.Millisecond) // for the end of two connections on loopback
		if n := queued(); n != 0 {
			t.Errorf("body of %d bytes: %d orders wait after their caller left", size, n)
		}
		close(release)
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("the first order got status %d, error %v", got.status, got.err)
		}
		time.Sleep(100 * time.Millisecond)
		if runs := web.runCount("left"); runs != 0 {
			t.Errorf("body of %d bytes: the order ran %d times after its caller left", size, runs)
		}
	}
}

// An order that waited in the queue of the node beside a leaving upstream was sent to it long after
// the departure was acknowledged, and lost when the upstream exited. It must be refused as not run
// while another upstream can still run it.
func TestQueuedOrderIsNotSentToALeavingUpstream(t *testing.T) {
	web, stock, release := startBlockedUpstream(t)
	first, queued := make(chan response, 1), make(chan response, 1)
	go func() { first <- stock.call("first", "GET", "/read/1", "k1", "") }()
	eventually(t, "the upstream runs the first request", func() bool { return web.runCount("first") == 1 })
	go func() { queued <- stock.call("queued", "POST", "/notify/1", "", "x") }() // waits for 0.6 s at most
	eventually(t, "the order waits at the serving node", func() bool {
		web.node.mu.Lock()
		defer web.node.mu.Unlock()
		return web.node.gate.Queued() == 1
	})
	web.node.mu.Lock()
	web.node.tracker.HandleAnnouncement(web.node.now()-bounds.Drain/2, upstream.Announcement{ // half of the drain time ago
		Instance: web.instance, Service: web.service, Address: web.upstreamAddress, StartTime: 1, Sequence: 1 << 20, State: upstream.Draining, Slots: 1,
	})
	web.node.mu.Unlock()
	web.stopAnnouncing()
	close(release)
	got := <-queued
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "draining") || web.runCount("queued") > 0 {
		t.Errorf("the order ran %d times at the leaving upstream and got status %d: %s", web.runCount("queued"), got.status, got.body)
	}
	if got := <-first; got.status != http.StatusOK {
		t.Errorf("the running request got status %d, error %v", got.status, got.err)
	}
}
