package dev

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/examples"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/standin/upstream"
)

const testDeclaration = `
[mesh]
name = test
[service shop]
[service stock]
[route GET /items/{id}]
service = shop
idempotent = true
class = normal
timeout = 20s
[route GET /brief]
service = shop
idempotent = true
class = normal
timeout = 200ms
[route POST /orders]
service = shop
idempotent = false
class = critical
timeout = 20s
[edge shop stock]
calls_per_parent = 2
idempotent = true
timeout = 20s
[workspace anna]
rate_per_second = 1000000
burst = 1000000
weight = 1
`

// waitTimeout bounds every wait for a condition.
const waitTimeout = 20 * time.Second

// testMesh is a running mesh that records the calls at its upstreams.
type testMesh struct {
	*Mesh
	t testing.TB

	mu       sync.Mutex
	arrivals map[string]int       // calls at upstreams of shop, by marker
	lastHost map[string]mesh.Host // host of the last call, by marker
	// handler is called before the upstream of a host; if it returns true, it has
	// answered the request in place of the upstream.
	handler func(h *Host, w http.ResponseWriter, r *http.Request) bool
}

// startMesh starts three hosts of shop and two of stock, listed in this order in Hosts,
// whose upstreams answer immediately. change may modify the options; it may be nil.
func startMesh(t testing.TB, change func(*Options)) *testMesh {
	t.Helper()
	d, err := declaration.Parse(declaration.File{Name: "test.ini", Data: []byte(testDeclaration)})
	if err != nil {
		t.Fatal(err)
	}
	m := &testMesh{t: t, arrivals: map[string]int{}, lastHost: map[string]mesh.Host{}}
	o := Options{
		Deployment:  "hanskasmidjan", // only for its data centres
		Declaration: d, Seed: 1,
		Upstreams: []examples.UpstreamGroup{
			{Service: "shop", Count: 3, Slots: 50, Connections: 200},
			{Service: "stock", Count: 2, Slots: 50, Connections: 200},
		},
		ConfigureUpstream: func(c *upstream.Config) { c.Median = 0 },
		WrapUpstream:      m.recordCalls,
	}
	if change != nil {
		change(&o)
	}
	running, err := Start(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	m.Mesh = running
	t.Cleanup(running.Kill)
	for _, h := range running.Hosts { // on a busy machine, nodes may get their first quota credit late
		c := m.client()
		if tlsConfig := c.Transport.(*http.Transport).TLSClientConfig; tlsConfig != nil {
			tlsConfig.ServerName = string(h.Name)
		}
		m.waitUntil("the mesh answers", func() bool { return m.get(c, h, "/items/1", "").status == http.StatusOK })
	}
	return m
}

// recordCalls wraps the handler of an upstream. It records the calls of shop. Calls of
// both services go to m.handler and, unless that has answered them, to next.
func (m *testMesh) recordCalls(h *Host, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		marker := r.Header.Get(upstream.MarkerHeader)
		m.mu.Lock()
		if marker != "" && h.UpstreamGroup.Service == "shop" {
			m.arrivals[marker]++
			m.lastHost[marker] = h.Name
		}
		handle := m.handler
		m.mu.Unlock()
		if handle == nil || !handle(h, w, r) {
			next.ServeHTTP(w, r)
		}
	})
}

func (m *testMesh) setHandler(f func(h *Host, w http.ResponseWriter, r *http.Request) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handler = f
}

// callCount returns the number of calls at upstreams of shop that carried the marker.
func (m *testMesh) callCount(marker string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arrivals[marker]
}

// hostOf returns the host of shop at which the last call with the marker arrived.
func (m *testMesh) hostOf(marker string) *Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Host(m.lastHost[marker])
}

// waitUntil waits until condition returns true.
func (m *testMesh) waitUntil(description string, condition func() bool) {
	m.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			m.t.Fatalf("timed out after %s waiting until %s", waitTimeout, description)
		}
	}
}

// client returns an HTTP client with its own connections. With TLS it accepts only the
// certificate of the first host.
func (m *testMesh) client() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	if m.authority != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: m.authority.CertPool(), ServerName: string(m.Hosts[0].Name)}
	}
	m.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 2 * waitTimeout}
}

// newRequest returns a request of workspace anna. The marker identifies the call in the
// records of the upstreams.
func (m *testMesh) newRequest(method, url, marker string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+m.Keys["anna"])
	r.Header.Set(upstream.MarkerHeader, marker)
	return r
}

// result is the result of one call as seen by the caller.
type result struct {
	marker, target string
	method         string
	status         int
	header         http.Header
	body           string
	refusal        *outcome.Refusal
	err            error // also set if the answer was truncated
}

func (r result) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, refusal %+v, error %v", r.method, r.marker, r.target, r.status, r.refusal, r.err)
}

// send makes a call. It repeats a call that was refused as "not run" for lack of quota
// credit or slots, or because keys or the decision were too old: on a stalled machine
// such refusals are correct, and a caller may retry after them.
func (m *testMesh) send(c *http.Client, r *http.Request) result {
	temporary := []outcome.Reason{outcome.NoCredit, outcome.Overloaded, outcome.QueueTimeout, outcome.KeysStale, outcome.DecisionExpired}
	for {
		out := sendOnce(c, r)
		repeat := out.refusal != nil && out.refusal.Execution == outcome.NotRun && slices.Contains(temporary, out.refusal.Reason)
		if !repeat || r.Body != nil && r.GetBody == nil {
			return out
		}
		if r.GetBody != nil {
			r.Body, _ = r.GetBody() // never fails for a strings.Reader
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func sendOnce(c *http.Client, r *http.Request) result {
	out := result{marker: r.Header.Get(upstream.MarkerHeader), target: r.URL.Host, method: r.Method}
	resp, err := c.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.err = resp.StatusCode, resp.Header, string(data), err
	if refusal, ok := outcome.Parse(resp.Header); ok {
		out.refusal = &refusal
	}
	return out
}

// order sends a non-idempotent request, with the ticket unless it is empty.
func (m *testMesh) order(c *http.Client, h *Host, marker, ticket string) result {
	r := m.newRequest("POST", h.CallerURL+"/orders", marker, strings.NewReader("gloves"))
	if ticket != "" {
		r.Header.Set(engine.TicketHeader, ticket)
	}
	return m.send(c, r)
}

func (m *testMesh) get(c *http.Client, h *Host, path, marker string) result {
	return m.send(c, m.newRequest("GET", h.CallerURL+path, marker, nil))
}

// loadGenerator generates continuous load: each worker sends orders and reads in turn.
type loadGenerator struct {
	mesh    *testMesh
	done    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// startLoad starts two workers per host, which use it as their entry node.
func (m *testMesh) startLoad(hosts ...*Host) *loadGenerator {
	l := &loadGenerator{mesh: m, done: make(chan struct{})}
	for i, h := range hosts {
		for j := range 2 {
			l.wait.Go(func() { l.run(h, fmt.Sprintf("%d-%d", i, j)) })
		}
	}
	return l
}

func (l *loadGenerator) run(h *Host, name string) {
	c := l.mesh.client()
	for i := 0; ; i++ {
		select {
		case <-l.done:
			return
		default:
		}
		var r result
		if marker := fmt.Sprintf("load-%s-%d", name, i); i%2 == 0 {
			order := l.mesh.newRequest("POST", h.CallerURL+"/orders", marker, strings.NewReader("gloves"))
			order.GetBody = nil // otherwise http.Transport would resend the request on a broken connection
			r = sendOnce(c, order)
		} else {
			r = sendOnce(c, l.mesh.newRequest("GET", h.CallerURL+"/items/1", marker, nil))
		}
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		if r.status != http.StatusOK {
			time.Sleep(time.Millisecond) // prevents a busy loop on failures
		}
	}
}

// okCount returns the number of calls answered with status 200 so far.
func (l *loadGenerator) okCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.results {
		if r.err == nil && r.status == http.StatusOK {
			n++
		}
	}
	return n
}

// waitForMore waits until n more calls have been answered with status 200.
func (l *loadGenerator) waitForMore(n int) {
	l.mesh.t.Helper()
	from := l.okCount()
	for start := time.Now(); l.okCount() < from+n; time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.mesh.t.Fatalf("too few answers within %s; last of %d results: %v", waitTimeout, len(l.results), l.results[max(0, len(l.results)-10):])
		}
	}
}

func (l *loadGenerator) stop() []result {
	close(l.done)
	l.wait.Wait()
	return l.results
}
