package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scenarios holds the cases by the name that run.sh gives.
var scenarios = map[string]scenario{
	"forged-beat":  forgedBeat,
	"two-terms":    twoTerms,
	"late-reads":   lateReads,
	"gone-clients": goneClients,
	"gone-holders": goneHolders,
}

// calmTime is the time after the start in which all nodes come to be in touch: stable_window,
// with a second to spare.
const calmTime = 4 * time.Second

// load sends requests at a rate until stop is closed, each in a goroutine of its own, and
// returns a function that waits for the last answer.
func (l *Lab) load(perSecond float64, stop <-chan struct{}, send func(i int)) (wait func()) {
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				running.Go(func() { send(i) })
			}
		}
	})
	return running.Wait
}

// lateRuns returns a violation of the rule DRAIN for each request that the back end began
// to run later than the bound after the acknowledgement.
func lateRuns(b *Backend, acknowledged time.Time) []string {
	var out []string
	for _, r := range b.runsAfter(acknowledged.Add(drain)) {
		out = append(out, fmt.Sprintf("DRAIN: %s reached back end %s %d ms after the acknowledgement that it drains; the bound is %d ms",
			r.id, b.ID, r.at.Sub(acknowledged).Milliseconds(), drain.Milliseconds()))
	}
	return out
}

// logLost writes to the record which requests a leaving back end began to run after the bound and
// did not complete before it exited. It judges nothing.
func (l *Lab) logLost(b *Backend, acknowledged time.Time) {
	lost := 0
	for _, r := range b.runsAfter(acknowledged.Add(drain)) {
		if !r.complete {
			l.Log("%s ran at back end %s after the bound and was not completed", r.id, b.ID)
			lost++
		}
	}
	l.Log("%d requests that were sent after the bound were lost when back end %s exited", lost, b.ID)
}

// forgedBeat sends a heartbeat that lacks fields, as of another writer, in the name of a back
// end that drains soon after.
func forgedBeat(l *Lab) []string {
	const (
		work     = 300 * time.Millisecond
		deadline = 5 * time.Second
	)
	front := l.AddNode("front", "a")
	orders := []*Node{l.AddNode("orders", "a"), l.AddNode("orders", "b")}
	l.Store.Put("keyed.op", "config", configuration(3, []route{
		{name: "r-orders", prefix: "/orders/", kind: "unsafe", service: "orders", timeout: "4500ms", target: "2000ms"},
	}, []string{"front", "orders"}))
	backends := []*Backend{l.NewBackend(front, "i-front1", 100, 5*time.Millisecond)}
	for i, n := range orders {
		backends = append(backends, l.NewBackend(n, fmt.Sprintf("i-orders%d", i+1), 50, work))
	}
	for _, n := range l.nodes {
		n.Start()
	}
	for _, b := range backends {
		b.Listen()
		b.Announce()
	}
	l.AwaitReady()
	time.Sleep(calmTime)
	stop := make(chan struct{})
	wait := l.load(20, stop, func(i int) {
		l.Send(context.Background(), Request{Node: front, Method: http.MethodPost, Path: "/orders/new", ID: requestID("order", i), Key: tenantKey, Remaining: deadline, Body: []byte("a pair of gloves")})
	})
	leaving := backends[1]
	time.Sleep(time.Second)
	if l.Trouble {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status := post(ctx, "http://"+leaving.node.Control()+"/rpc?call=instances.heartbeat&of="+leaving.ID,
			fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d,"state":"ready","sequence":60}`, leaving.node.Service, leaving.node.App(), leaving.Slots))
		cancel()
		l.Log("another writer: a heartbeat of %s without zone, version, cold_left and born, sequence 60, is answered %d", leaving.ID, status)
	}
	time.Sleep(4 * time.Second)
	acknowledged := leaving.Leave()
	time.Sleep(drain + 1500*time.Millisecond)
	leaving.Deregister()
	leaving.Exit()
	time.Sleep(time.Second)
	close(stop)
	wait()
	l.logLost(leaving, acknowledged)
	return lateRuns(leaving, acknowledged)
}

// twoTerms takes away the back end of one machine, so that the process beside it gets SIGTERM after
// the back end has terminated. In the disruption, a rolling restart has reached the process shortly
// before.
func twoTerms(l *Lab) []string {
	const (
		work     = 1200 * time.Millisecond
		deadline = 4 * time.Second
		between  = 1300 * time.Millisecond // from the SIGTERM of the restart to that of the removal
		grace    = 6 * time.Second
	)
	front := l.AddNode("front", "a")
	orders := []*Node{l.AddNode("orders", "a"), l.AddNode("orders", "b")}
	l.Store.Put("keyed.op", "config", configuration(3, []route{
		{name: "r-orders", prefix: "/orders/", kind: "unsafe", service: "orders", timeout: "3500ms", target: "2000ms"},
	}, []string{"front", "orders"}))
	backends := []*Backend{l.NewBackend(front, "i-front1", 100, 5*time.Millisecond)}
	for i, n := range orders {
		backends = append(backends, l.NewBackend(n, fmt.Sprintf("i-orders%d", i+1), 50, work))
	}
	for _, n := range l.nodes {
		n.Start()
	}
	for _, b := range backends {
		b.Listen()
		b.Announce()
	}
	l.AwaitReady()
	time.Sleep(calmTime)
	stop := make(chan struct{})
	var mu sync.Mutex
	answers := map[string]Answer{}
	wait := l.load(20, stop, func(i int) {
		id := requestID("order", i)
		a := l.Send(context.Background(), Request{Node: front, Method: http.MethodPost, Path: "/orders/new", ID: id, Key: tenantKey, Remaining: deadline, Body: []byte("a pair of gloves")})
		mu.Lock()
		defer mu.Unlock()
		answers[id] = a
	})
	time.Sleep(2 * time.Second)
	backends[0].Leave()
	time.Sleep(drain + 500*time.Millisecond - between)
	terminated := time.Now()
	if l.Trouble {
		l.Log("a rolling restart reaches %s", front.Name)
		front.Signal(syscall.SIGTERM)
	}
	time.Sleep(between)
	backends[0].Deregister()
	backends[0].Exit()
	if !l.Trouble {
		terminated = time.Now()
	}
	front.Signal(syscall.SIGTERM)
	go func() { // the readiness checks of the platform: two misses take the machine out
		for misses := 0; misses < 2; {
			time.Sleep(time.Second)
			response, err := clients.Get("http://" + front.IP + ":8546/readyz")
			if err == nil {
				response.Body.Close()
			}
			if err != nil || response.StatusCode != http.StatusOK {
				misses++
			}
		}
		l.Log("%s gets no new work", front.Name)
		close(stop)
	}()
	select {
	case <-front.done:
	case <-time.After(time.Until(terminated.Add(grace))):
		front.Signal(syscall.SIGKILL)
	}
	l.Log("the process has ended %d ms after the first SIGTERM", time.Since(terminated).Milliseconds())
	wait()
	var violations []string
	mu.Lock()
	defer mu.Unlock()
	for i := range len(answers) {
		id := requestID("order", i)
		if answers[id].Status == 0 && (backends[1].ran(id) || backends[2].ran(id)) {
			violations = append(violations, fmt.Sprintf("LOST: %s was passed on to a back end, which ran it, and the connection ended without a complete answer: %v", id, answers[id].Err))
		}
	}
	return violations
}

// goneHolders replaces three of seven machines, as a release does, and then restarts three of the
// machines, one after the other, while a tenant sends more than its limit.
func goneHolders(l *Lab) []string {
	const (
		machines, replaced, restarts = 7, 3, 3
		perSecond                    = 15 // requests at each machine
		rate, burst                  = 40, 10
		window                       = 5 * time.Second
		overage, slack               = 0.1, 20
	)
	l.Brief = true
	config := configuration(3, []route{{name: "r-shop", prefix: "/shop/", kind: "safe", service: "front", timeout: "1500ms", target: "500ms"}}, []string{"front"})
	l.Store.Put("keyed.op", "config", strings.Replace(config, `"rate_per_s":0,"burst":0`, fmt.Sprintf(`"rate_per_s":%d,"burst":%d`, rate, burst), 1))
	var backends []*Backend
	add := func() *Backend {
		n := l.AddNode("front", string("abc"[len(l.nodes)%3]))
		b := l.NewBackend(n, fmt.Sprintf("i-front%d", len(l.nodes)), 100, 5*time.Millisecond)
		backends = append(backends, b)
		n.Start()
		b.Listen()
		b.Announce()
		return b
	}
	for range machines {
		add()
	}
	l.AwaitReady()
	time.Sleep(calmTime)
	if l.Trouble {
		for _, old := range backends[:replaced] {
			l.Log("the machine %s is replaced", old.node.Name)
			add()
			time.Sleep(time.Second)
			old.Leave()
			time.Sleep(drain + 500*time.Millisecond)
			old.Deregister()
			old.Exit()
			old.node.Signal(syscall.SIGTERM)
			<-old.node.done
			old.node.cmd = nil
		}
	}
	live := l.nodes[len(l.nodes)-machines:]
	l.AwaitReady()
	time.Sleep(calmTime)
	stop := make(chan struct{})
	var waits []func()
	for k, n := range live {
		waits = append(waits, l.load(perSecond, stop, func(i int) {
			l.Send(context.Background(), Request{Node: n, Method: http.MethodGet, Path: "/shop/page", ID: requestID(fmt.Sprintf("shop%d", k+1), i), Key: tenantKey, Remaining: 2 * time.Second})
		}))
	}
	time.Sleep(2 * calmTime)
	for _, n := range live[:restarts] {
		n.Signal(syscall.SIGTERM)
		<-n.done
		time.Sleep(200 * time.Millisecond)
		n.Start()
		time.Sleep(calmTime / 4)
	}
	time.Sleep(5 * calmTime)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	var runs []time.Time
	for _, b := range backends {
		for _, r := range b.runsAfter(l.start) {
			runs = append(runs, r.at)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, from := 0, 0
	for first, last := 0, 0; last < len(runs); last++ {
		for runs[last].Sub(runs[first]) >= window {
			first++
		}
		if last-first+1 > most {
			most, from = last-first+1, first
		}
	}
	summary := fmt.Sprintf("%d requests of tenant %s ran within %v from %.3f s on; the rule allows %.1f", most, tenant, window, runs[from].Sub(l.start).Seconds(), allowed)
	l.Log("%s", summary)
	if float64(most) <= allowed {
		return nil
	}
	return []string{"QUOTA: " + summary}
}

// lateReads stops the process of one machine by SIGTERM, while requests that may be repeated and
// need no key go on. Some of them are on a route that the machine has not used for a while.
func lateReads(l *Lab) []string {
	const (
		work     = 2 * time.Second // of reports; other reads take less
		usual    = 200 * time.Millisecond
		deadline = 3 * time.Second
		first    = 3400 * time.Millisecond // after the SIGTERM
		grace    = 6 * time.Second
		requests = 12
	)
	front := l.AddNode("front", "a")
	reports := []*Node{l.AddNode("reports", "b"), l.AddNode("reports", "b"), l.AddNode("stock", "b")}
	l.Store.Put("keyed.op", "config", configuration(3, []route{
		{name: "r-reports", prefix: "/reports/", kind: "safe", service: "reports", timeout: "3000ms", target: "800ms", exempt: true},
		{name: "r-stock", prefix: "/stock/", kind: "safe", service: "stock", timeout: "1500ms", target: "500ms", exempt: true},
	}, []string{"front", "reports", "stock"}))
	backends := []*Backend{l.NewBackend(front, "i-front1", 100, 5*time.Millisecond)}
	for i, n := range reports {
		backends = append(backends, l.NewBackend(n, fmt.Sprintf("i-%s%d", n.Service, i+1), 50, work))
	}
	backends[3].setWork(usual)
	for _, n := range l.nodes {
		n.Start()
	}
	for _, b := range backends {
		b.Listen()
		b.Announce()
	}
	l.AwaitReady()
	time.Sleep(calmTime)
	stop := make(chan struct{})
	wait := l.load(20, stop, func(i int) {
		l.Send(context.Background(), Request{Node: front, Method: http.MethodGet, Path: "/stock/item", ID: requestID("stock", i), Remaining: 2 * time.Second})
	})
	time.Sleep(calmTime)
	terminated := time.Now()
	if l.Trouble {
		front.Signal(syscall.SIGTERM)
	}
	time.Sleep(first)
	var sending sync.WaitGroup
	answers := make([]Answer, requests)
	sent := make([]time.Duration, requests)
	for i := range answers {
		sent[i] = time.Since(terminated)
		sending.Go(func() {
			answers[i] = l.Send(context.Background(), Request{Node: front, Method: http.MethodGet, Path: "/reports/today", ID: requestID("report", i), Remaining: deadline})
		})
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	close(stop)
	wait()
	if l.Trouble {
		select {
		case <-front.done:
		case <-time.After(time.Until(terminated.Add(grace))):
			front.Signal(syscall.SIGKILL)
		}
		l.Log("the process has ended %d ms after SIGTERM", time.Since(terminated).Milliseconds())
	}
	var violations []string
	for i, a := range answers {
		id := requestID("report", i)
		if a.Status == 0 && (backends[1].ran(id) || backends[2].ran(id)) {
			violations = append(violations, fmt.Sprintf("LOST: %s, sent %d ms after the SIGTERM, was passed on to a back end, which ran it, and the connection ended without a complete answer: %v", id, sent[i].Milliseconds(), a.Err))
		}
	}
	return violations
}

// goneClients sends orders without a key to a service that is busy. In the disruption, a fifth of
// the clients leave after half of the target latency, for a few seconds.
func goneClients(l *Lab) []string {
	const (
		work      = 800 * time.Millisecond
		deadline  = 6 * time.Second
		patience  = time.Second // half of the target latency
		leavers   = 5           // one client in this many leaves
		perSecond = 32          // the four back ends can run some 15
		busyAfter = 5 * time.Second
		leaveFor  = 5500 * time.Millisecond
		late      = 500 * time.Millisecond
		few       = 10
	)
	front := l.AddNode("front", "a")
	orders := []*Node{l.AddNode("orders", "a"), l.AddNode("orders", "b"), l.AddNode("orders", "a"), l.AddNode("orders", "b")}
	l.Store.Put("keyed.op", "config", configuration(3, []route{
		{name: "r-orders", prefix: "/orders/", kind: "unsafe", service: "orders", timeout: "5500ms", target: "2000ms", exempt: true},
	}, []string{"front", "orders"}))
	backends := []*Backend{l.NewBackend(front, "i-front1", 100, 5*time.Millisecond)}
	for i, n := range orders {
		backends = append(backends, l.NewBackend(n, fmt.Sprintf("i-orders%d", i+1), 4, work))
	}
	for _, n := range l.nodes {
		n.Start()
	}
	for _, b := range backends {
		b.Listen()
		b.Announce()
	}
	l.AwaitReady()
	time.Sleep(calmTime)
	stop := make(chan struct{})
	var mu sync.Mutex
	left := map[string]time.Time{} // when the client closed its connection
	began := time.Now()
	wait := l.load(perSecond, stop, func(i int) {
		id := requestID("order", i)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if since := time.Since(began); l.Trouble && i%leavers == 0 && since >= busyAfter && since < busyAfter+leaveFor {
			time.AfterFunc(patience, func() {
				mu.Lock()
				defer mu.Unlock()
				if ctx.Err() == nil { // not answered yet
					left[id] = time.Now()
					cancel()
				}
			})
		}
		l.Send(ctx, Request{Node: front, Method: http.MethodPost, Path: "/orders/new", ID: id, Remaining: deadline, Body: []byte("a pair of gloves")})
	})
	time.Sleep(busyAfter + leaveFor + 2*time.Second)
	close(stop)
	wait()
	time.Sleep(deadline) // what still waits for a back end
	mu.Lock()
	defer mu.Unlock()
	var found []string
	for _, b := range backends {
		for _, r := range b.runsAfter(l.start) {
			if at, ok := left[r.id]; ok && r.at.Sub(at) > late {
				found = append(found, fmt.Sprintf("GONE: %s reached back end %s %d ms after its client had closed the connection", r.id, b.ID, r.at.Sub(at).Milliseconds()))
			}
		}
	}
	l.Log("%d clients left, the requests of %d reached a back end over %v later", len(left), len(found), late)
	if len(found) <= few {
		return nil
	}
	return found
}
