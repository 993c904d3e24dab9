package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// stopCase stops one node in order while the clients of its machine send orders on a route
// that needs no key.
//
// The node is the only one of its zone, so that its clients keep sending to it while it is
// not ready, as the page on the protocol says of zones with fewer than half of their nodes.
func stopCase(r *Record, trouble bool) ([]string, int) {
	const (
		timeout  = 1500 * time.Millisecond
		interval = 100 * time.Millisecond
	)
	m := newMesh(r)
	defer m.stop()
	front := m.add("pantanir", "hafnarfjordur", 120)
	m.add("pantanir", "kopavogur", 120)
	m.add("katalogur", "kopavogur", 108)
	m.add("pantanir", "mosfellsbaer", 120)
	m.add("katalogur", "mosfellsbaer", 108)
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "orders.example", Prefix: "/orders/", Type: "unsafe", Service: "pantanir", Timeout: "1500ms", Target: "1500ms", Exempt: true}.resource("r-orders"),
		service("pantanir"), service("katalogur"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	done := make(chan struct{})
	defer close(done)
	go front.pollReady(r, done)
	began := time.Now()
	stopAt := began.Add(3 * time.Second)
	if trouble {
		time.AfterFunc(time.Until(stopAt), func() {
			r.note("SIGTERM to %s", front.Name)
			front.signal(syscall.SIGTERM)
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		time.Sleep(time.Until(began.Add(at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := send(r, front.Outbound, request{Method: "POST", Host: "orders.example", Path: "/orders/w800-b300", Remaining: 5 * time.Second, Body: "one pair"})
			mu.Lock()
			results = append(results, res)
			mu.Unlock()
		}()
	}
	wg.Wait()
	return judgeStop(r, results, stopAt, timeout, trouble)
}

// judgeStop applies LOST around the SIGTERM at stopAt, with its excuses.
func judgeStop(r *Record, results []result, stopAt time.Time, timeout time.Duration, trouble bool) ([]string, int) {
	passedOn := map[string]time.Time{}
	for _, e := range r.all() {
		if e.Kind == "arrived" {
			passedOn[e.ID] = e.At
		}
	}
	sent, answered, refused, unread, lost := 0, 0, 0, 0, 0
	var examples []string
	for _, res := range results {
		at := res.Sent.Sub(stopAt)
		switch _, reached := passedOn[res.ID]; {
		case !res.Connected:
			unread++ // the process has ended
			continue
		case res.Complete && res.Status == 503:
			refused++
		case res.Complete:
			answered++
		case trouble && at > grace+time.Second: // after the planned work
		case res.Ended.Sub(res.Sent) >= timeout: // the time limit of the route was reached
		case !reached && res.Ended.Sub(res.Sent) <= lossSlack:
			unread++
		case at <= 3*time.Second && res.Ended.Sub(stopAt) >= grace*5/6: // the excuse for work in the last sixth of the grace
		default:
			lost++
			if len(examples) < 5 {
				examples = append(examples, fmt.Sprintf("  %s: sent %.2f s after the SIGTERM, passed on to a backend %v, connection closed without an answer %.2f s after the SIGTERM",
					res.ID, at.Seconds(), reached, res.Ended.Sub(stopAt).Seconds()))
			}
		}
		sent++
	}
	lines := []string{fmt.Sprintf("requests on connections that the node accepted: %d; answered: %d; refused with 503: %d; not read: %d; LOST: %d", sent, answered, refused, unread, lost)}
	lines = append(lines, examples...)
	if lost > 0 {
		return append(lines, "LOST is broken"), exitBroken
	}
	return append(lines, "the rule held"), exitHeld
}
