package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

// drainCase empties one of two backends of a busy service, as a planned removal does: it
// reports "draining", serves for the drain time and a little longer, and exits.
func drainCase(r *Record, trouble bool) ([]string, int) {
	const (
		slots    = 12
		interval = 25 * time.Millisecond
		linger   = 800 * time.Millisecond // for which the backend serves beyond the drain time
	)
	m := newMesh(r)
	defer m.stop()
	leaving := m.add("pantanir", "hafnarfjordur", slots)
	m.add("pantanir", "kopavogur", slots)
	client := m.add("katalogur", "mosfellsbaer", 108)
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "orders.example", Prefix: "/orders/", Type: "unsafe", Service: "pantanir", Timeout: "6000ms", Target: "1500ms", Exempt: true}.resource("r-orders"),
		service("pantanir"), service("katalogur"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	began := time.Now()
	var acknowledged time.Time
	planned := make(chan struct{})
	go func() {
		defer close(planned)
		time.Sleep(9 * time.Second)
		if !trouble {
			return
		}
		acknowledged = leaving.Backend.drain()
		r.add(event{Kind: "note", At: acknowledged, Where: leaving.Backend.ID, Detail: "the node has acknowledged that the backend is draining"})
		time.Sleep(drainTime + linger)
		leaving.Backend.deregister()
		r.note("the backend %s exits", leaving.Backend.ID)
		leaving.Backend.exit()
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]result{}
	answered, refused := 0, 0
	for at := time.Duration(0); at < 13*time.Second; at += interval {
		time.Sleep(time.Until(began.Add(at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := send(r, client.Outbound, request{Method: "POST", Host: "orders.example", Path: "/orders/w1200-b300", Remaining: 6 * time.Second, Body: "one pair"})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case res.Complete && res.Status == 200:
				answered++
			case res.Complete && res.Status == 503:
				refused++
			default:
				failed[res.ID] = res
			}
		}()
	}
	wg.Wait()
	<-planned
	late, lost := 0, 0
	var examples []string
	for _, e := range r.all() {
		if e.Kind != "arrived" || e.Where != leaving.Backend.ID || !trouble {
			continue
		}
		after := e.At.Sub(acknowledged)
		if after <= drainTime {
			continue
		}
		late++
		line := fmt.Sprintf("  %s: reached the backend %.2f s after the acknowledgement", e.ID, after.Seconds())
		if res, ok := failed[e.ID]; ok {
			lost++
			line += fmt.Sprintf("; the client got status %d", res.Status)
		}
		if len(examples) < 8 {
			examples = append(examples, line)
		}
	}
	lines := []string{fmt.Sprintf("orders answered: %d, refused with 503: %d, failed: %d; orders that reached the leaving backend later than %v after the acknowledgement: %d, of them failed: %d",
		answered, refused, len(failed), drainTime, late, lost)}
	lines = append(lines, examples...)
	if late > 0 {
		return append(lines, "DRAIN is broken"), exitBroken
	}
	return append(lines, "the rule held"), exitHeld
}
