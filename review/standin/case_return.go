package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["return"] = returnCase }

// returnCase kills and restarts the node beside a backend that has just deregistered. A
// heartbeat that the backend had sent before it deregistered arrives after the restart.
func returnCase(r *Record, trouble bool) ([]string, int) {
	const (
		interval  = 20 * time.Millisecond
		killAfter = 100 * time.Millisecond  // from the acknowledgement
		downtime  = 900 * time.Millisecond  // until the platform starts the process again
		sentAhead = 300 * time.Millisecond  // the late heartbeat was sent so long before the deregistration
		late      = 2500 * time.Millisecond // after it was sent, the heartbeat arrives
		linger    = 3 * time.Second         // for which the backend serves beyond the drain time
	)
	m := newMesh(r)
	defer m.stop()
	leaving := m.add("pantanir", "hafnarfjordur", 120)
	m.add("pantanir", "kopavogur", 120)
	m.add("pantanir", "mosfellsbaer", 120)
	client := m.add("katalogur", "hafnarfjordur", 108)
	m.add("katalogur", "kopavogur", 108)
	m.add("katalogur", "mosfellsbaer", 108)
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "orders.example", Prefix: "/orders/", Type: "unsafe", Service: "pantanir", Timeout: "5000ms", Target: "2000ms"}.resource("r-orders"),
		service("pantanir"), service("katalogur"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	began := time.Now()
	var acknowledged time.Time
	planned := make(chan struct{})
	go func() {
		defer close(planned)
		time.Sleep(2 * time.Second)
		heartbeat := leaving.Backend.endHeartbeats()
		sent := time.Now()
		r.note("the backend %s sends a heartbeat that will be late: %s", leaving.Backend.ID, heartbeat)
		time.Sleep(sentAhead)
		leaving.Backend.deregister()
		acknowledged = time.Now()
		r.note("the node has acknowledged that the backend %s is gone; it serves for the drain time and %v", leaving.Backend.ID, linger)
		if trouble {
			time.Sleep(killAfter)
			r.note("SIGKILL to %s", leaving.Name)
			leaving.signal(syscall.SIGKILL)
			<-leaving.ended
			time.Sleep(downtime)
			r.note("%s is started again", leaving.Name)
			leaving.start(m.Dir)
		}
		time.Sleep(time.Until(sent.Add(late)))
		r.note("the late heartbeat arrives; acknowledged: %v", leaving.Backend.post(heartbeat))
		time.Sleep(time.Until(acknowledged.Add(drainTime + linger)))
		r.note("the backend %s exits", leaving.Backend.ID)
		leaving.Backend.exit()
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]result{}
	answered, refused := 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		time.Sleep(time.Until(began.Add(at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := send(r, client.Outbound, request{Method: "POST", Host: "orders.example", Path: "/orders/w290-b1500", Key: "key-a-00000000000000", Remaining: 5 * time.Second, Body: "one pair"})
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
	lateWork, lost := 0, 0
	var examples []string
	for _, e := range r.all() {
		if e.Kind != "arrived" || e.Where != leaving.Backend.ID {
			continue
		}
		after := e.At.Sub(acknowledged)
		if after <= drainTime {
			continue
		}
		lateWork++
		line := fmt.Sprintf("  %s: reached the backend %.2f s after the acknowledgement", e.ID, after.Seconds())
		if res, ok := failed[e.ID]; ok {
			lost++
			line += fmt.Sprintf("; the client got status %d", res.Status)
		}
		if len(examples) < 8 {
			examples = append(examples, line)
		}
	}
	lines := []string{fmt.Sprintf("orders answered: %d, refused with 503: %d, failed: %d; orders that reached the backend later than %v after the acknowledgement that it is gone: %d, of them failed: %d",
		answered, refused, len(failed), drainTime, lateWork, lost)}
	lines = append(lines, examples...)
	if lateWork > 0 {
		return append(lines, "DRAIN is broken"), exitBroken
	}
	return append(lines, "the rule held"), exitHeld
}
