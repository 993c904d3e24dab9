package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["gone"] = goneCase }

// goneCase lets three of ten clients of a busy service close their connections soon after they have
// sent an order.
func goneCase(r *Record, trouble bool) ([]string, int) {
	const (
		slots    = 12
		interval = 25 * time.Millisecond
		patience = 300 * time.Millisecond // after which a client leaves
		limit    = 500 * time.Millisecond // after the close, within which work may still arrive
		few      = 3
	)
	m := newMesh(r)
	defer m.stop()
	m.add("pantanir", "hafnarfjordur", slots)
	m.add("pantanir", "kopavogur", slots)
	client := m.add("katalogur", "mosfellsbaer", 108)
	m.start(config{Version: 1, Resources: []map[string]any{
		route{Host: "orders.example", Prefix: "/orders/", Type: "unsafe", Service: "pantanir", Timeout: "5000ms", Target: "2000ms", Exempt: true}.resource("r-orders"),
		service("pantanir"), service("katalogur"), tenant("shop-a", "key-a-00000000000000"), limits(),
	}})
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	answered := 0
	n := 0
	for at := time.Duration(0); at < 12*time.Second; at += interval {
		time.Sleep(time.Until(began.Add(at)))
		n++
		leaves := trouble && n%10 < 3
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request{Method: "POST", Host: "orders.example", Path: "/orders/w1000-b300", Remaining: 5 * time.Second, Body: "one pair"}
			if leaves {
				id, closed := sendAndLeave(r, client.Outbound, req, patience)
				mu.Lock()
				left[id] = closed
				mu.Unlock()
				return
			}
			if res := send(r, client.Outbound, req); res.Complete && res.Status == 200 {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	var examples []string
	for _, e := range r.all() {
		closed, ok := left[e.ID]
		if !ok || e.Kind != "arrived" || e.At.Sub(closed) <= limit {
			continue
		}
		late++
		if len(examples) < 6 {
			examples = append(examples, fmt.Sprintf("  %s: reached %s %.2f s after the client had closed its connection", e.ID, e.Where, e.At.Sub(closed).Seconds()))
		}
	}
	lines := []string{fmt.Sprintf("clients that left: %d, orders answered to the others: %d; orders that reached a backend over %v after their client had left: %d", len(left), answered, limit, late)}
	lines = append(lines, examples...)
	if late > few {
		return append(lines, "GONE is broken"), exitBroken
	}
	return append(lines, "the rule held"), exitHeld
}

// sendAndLeave sends a request and closes the connection after the given time.
func sendAndLeave(record *Record, address string, r request, patience time.Duration) (id string, closed time.Time) {
	id = newID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return id, time.Now()
	}
	io.WriteString(conn, r.encode(id))
	record.add(event{Kind: "sent", ID: id, At: time.Now(), Where: address, Detail: r.Method + " " + r.Path})
	time.Sleep(patience)
	conn.Close()
	closed = time.Now()
	record.add(event{Kind: "left", ID: id, At: closed, Where: address, Detail: "the client closed its connection"})
	return id, closed
}
