package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/upstream"
)

// A request reaches an upstream of its service unchanged, with the workspace and
// the caller that the node determined, and without the key.
func TestRequestPassesUnchanged(t *testing.T) {
	_, a, b, c := small(t)
	got := c.call("r1", "POST", "/order/x%2Fy?q=a;b&key=1", "k1", strings.Repeat("x", 40_000))
	if got.status != 200 || !strings.HasSuffix(got.body, "POST /order/x%2Fy?q=a;b&key=1 40000") {
		t.Fatalf("answer is %+v", got)
	}
	ran := a
	if b.ran("r1") > 0 {
		ran = b
	}
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for name, want := range map[string]string{dialect.Workspace: "w1", dialect.Caller: "stock", dialect.Key: "", dialect.Instance: ran.instance, hopHeader: ""} {
		if got := ran.last.Get(name); got != want {
			t.Errorf("header %s is %q, want %q", name, got, want)
		}
	}
	if ms, _ := strconv.Atoi(ran.last.Get(dialect.Remaining)); ms <= 0 || ms > 2000 {
		t.Errorf("remaining time is %d ms, want at most the route's timeout", ms)
	}
}

// What is refused must be refused for its reason, and be in the log with it.
func TestRefusalsHaveOneLineWithTheirCause(t *testing.T) {
	_, a, _, _ := small(t)
	for _, one := range []struct {
		id, path, key, reason string
		status                int
	}{
		{"u1", "/read/1", "wrong", "key-invalid", 401},
		{"u2", "/read/1", "", "key-missing", 401},
		{"u3", "/none/1", "k1", "no-route", 404},
	} {
		if got := a.call(one.id, "GET", one.path, one.key, ""); got.status != one.status {
			t.Errorf("%s: status %d, want %d", one.id, got.status, one.status)
		}
		eventually(t, "the line of "+one.id, func() bool {
			n := 0
			for _, line := range a.log.lines() {
				if line["request"] == one.id {
					n++
					if ms, ok := line["deadline_ms"].(float64); ok && ms <= 0 {
						t.Errorf("line states a time of %v ms", ms)
					}
					if line["reason"] != one.reason || line["execution"] != "not-run" || line["declaration"] == nil {
						t.Errorf("line is %v", line)
					}
				}
			}
			return n == 1
		})
	}
}

// A workspace above its rate is refused, and told when to come back; others are
// not.
func TestOverRate(t *testing.T) {
	_, a, _, _ := small(t)
	refused := 0
	for i := range 60 {
		got := a.call(fmt.Sprint("q", i), "GET", "/read/1", "k2", "")
		if got.status == http.StatusTooManyRequests {
			refused++
			if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
			}
		}
	}
	if refused < 20 {
		t.Errorf("%d of 60 requests at once were refused, limit is 2 a second and 2 at once", refused)
	}
	if got := a.call("other", "GET", "/read/1", "k1", ""); got.status != 200 {
		t.Errorf("another workspace got %d", got.status)
	}
}

// An answer that is lost makes an idempotent request run again elsewhere, and an
// order never run twice.
func TestLostAnswer(t *testing.T) {
	_, a, b, c := small(t)
	cut := func(_ *host, w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}
	a.script(cut)
	reads := 0
	for i := range 20 {
		if got := c.call(fmt.Sprint("s", i), "GET", "/read/1", "k1", ""); got.status == 200 {
			reads++
		}
	}
	if reads < 18 {
		t.Errorf("%d of 20 reads were served", reads)
	}
	b.script(cut)
	for i := range 20 {
		id := fmt.Sprint("o", i)
		got := c.call(id, "POST", "/order/1", "k1", "x")
		if runs := a.ran(id) + b.ran(id); runs > 1 {
			t.Errorf("order %s ran %d times", id, runs)
		} else if runs == 1 && got.status != http.StatusBadGateway {
			t.Errorf("order %s ran and got %d", id, got.status)
		}
	}
}

// An upstream that states it did not run a request leaves the order to another
// one; and a refusal as a whole promises that nothing ran.
func TestUnrunOrder(t *testing.T) {
	_, a, b, c := small(t)
	shed := func(h *host, w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.runs[r.Header.Get(dialect.Request)]--
		h.mu.Unlock()
		w.Header().Set(dialect.Unrun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	a.script(shed)
	for i := range 10 {
		id := fmt.Sprint("o", i)
		if got := c.call(id, "POST", "/order/1", "k1", "x"); got.status != 200 || b.ran(id) != 1 {
			t.Errorf("order %s got %d and ran %d times", id, got.status, b.ran(id))
		}
	}
	b.script(shed)
	got := c.call("none", "POST", "/order/1", "k1", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("answer is %+v", got)
	}
	// The two headers must not contradict each other.
	if refusal, ok := outcome.Parse(got.header); !ok || refusal.RetryAfter <= 0 {
		t.Errorf("header %s is %q", outcome.Header, got.header.Get(outcome.Header))
	}
}

// An upstream that does not answer any more must not be reported as one that
// leaves: on call, the two have different causes.
func TestReasonOfAnAbsentUpstream(t *testing.T) {
	_, a, _, _ := small(t)
	for _, one := range []struct {
		change func()
		want   outcome.Reason
	}{
		{func() { a.announce(upstream.Draining, 2); time.Sleep(bounds.Drain) }, outcome.Draining},
		{func() { a.node.mu.Lock(); a.node.tracker.RecordReplacement(); a.node.mu.Unlock() }, outcome.NoUpstream},
	} {
		one.change()
		a.node.mu.Lock()
		refusal, ok := a.node.takesWork(&work{hop: hop{Target: a.node.cfg.Self.Node, Service: "web"}}, a.node.now())
		a.node.mu.Unlock()
		if ok || refusal.Reason != one.want {
			t.Errorf("reason is %s, want %s", refusal.Reason, one.want)
		}
	}
}

// A leaving upstream gets no new request soon after its notice, from any node.
func TestLeavingUpstream(t *testing.T) {
	_, a, b, c := small(t)
	a.announce(upstream.Draining, 2)
	time.Sleep(500 * time.Millisecond)
	for i := range 20 {
		id := fmt.Sprint("d", i)
		if got := c.call(id, "GET", "/read/1", "k1", ""); got.status != 200 || a.ran(id) != 0 || b.ran(id) != 1 {
			t.Fatalf("request %s got %d; the leaving upstream ran it %d times", id, got.status, a.ran(id))
		}
	}
}

// A key that a declaration takes away stops working at a node that the store
// refuses, because its peers tell it; and a declaration never goes back.
func TestDeclarationReachesNodesWithoutStore(t *testing.T) {
	s, a, _, _ := small(t)
	s.mu.Lock()
	s.away["a"] = true
	s.mu.Unlock()
	s.declare(func(v uint64) catalog.Declaration {
		d := shop(v)
		d.Workspaces[0].Keys = []string{"k9"}
		return d
	})
	eventually(t, "node a refuses the key", func() bool { return a.call("k", "GET", "/read/1", "k1", "").status == 401 })
	if got := a.call("k", "GET", "/read/1", "k9", ""); got.status != 200 {
		t.Errorf("the new key got %d", got.status)
	}
	a.node.takeDeclaration([]byte("1"), "peer", "x")
	if got := a.call("k", "GET", "/read/1", "k1", ""); got.status != 401 {
		t.Errorf("an older declaration brought the key back: %d", got.status)
	}
}

// Declarations in quick succession must not cost a read each, and the last one must
// be in force soon after it was stored.
func TestDeclarationsInQuickSuccession(t *testing.T) {
	s, a, _, _ := small(t)
	s.mu.Lock()
	before := s.reads["a"]
	s.mu.Unlock()
	began := time.Now()
	for range 20 {
		s.declare(shop)
		time.Sleep(20 * time.Millisecond)
	}
	storm := time.Since(began)
	eventually(t, "the last declaration is in force", func() bool { return a.node.version() == 21 })
	s.mu.Lock()
	reads := s.reads["a"] - before
	s.mu.Unlock()
	if most := int(storm/(400*time.Millisecond)) + 4; reads > most {
		t.Errorf("%d reads of 20 declarations within %v, want at most %d", reads, storm, most)
	}
}

// A node restarts while the store is away: its peers tell it the declaration and
// the fleet.
func TestRestartWithoutStore(t *testing.T) {
	s, a, _, c := small(t)
	s.mu.Lock()
	s.away[""] = true
	s.mu.Unlock()
	old := a.node
	old.shutdown()
	a.bootAt(t, s, "a", old.cfg.Self.PeerAddress)
	eventually(t, "the restarted node serves", func() bool { return a.call("x", "GET", "/read/1", "k1", "").status == 200 })
	if got := c.call("y", "GET", "/read/1", "k1", ""); got.status != 200 {
		t.Errorf("another node got %d", got.status)
	}
}

// bootAt starts the node again at the address that its peers know.
func (h *host) bootAt(t *testing.T, s *store, name, peers string) {
	t.Helper()
	var l net.Listener
	eventually(t, "the address is free", func() bool {
		var err error
		l, err = net.Listen("tcp", peers)
		return err == nil
	})
	callers := listen(t)
	h.callers = callers.Addr().String()
	cfg := h.node.cfg
	cfg.Self.Node.Incarnation++
	cfg.Claim++
	cfg.Listeners = Listeners{Callers: callers, Peers: l}
	cfg.Metrics = metrics.NewRegistry()
	h.node = New(cfg)
	h.node.Start()
	t.Cleanup(h.node.shutdown)
	h.announce(upstream.Ready, 9)
}

// A planned stop ends no request, says that it leaves on every answer, and takes
// no new work from peers.
func TestStop(t *testing.T) {
	_, a, b, c := small(t)
	slow := func(h *host, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		fmt.Fprint(w, h.instance)
	}
	a.script(slow)
	b.script(slow)
	results := make(chan answer, 12)
	for i := range 12 {
		go func() { results <- c.call(fmt.Sprint("w", i), "POST", "/order/1", "k1", "x") }()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a.node.Stop(ctx)
		close(stopped)
	}()
	for range 12 {
		if got := <-results; got.status != 200 {
			t.Errorf("a request under way got %+v", got)
		}
	}
	if a.node.Ready() {
		t.Error("a stopping node is ready")
	}
	if got := a.call("late", "GET", "/read/1", "k1", ""); got.status != 200 || !got.closes {
		t.Errorf("a new request got %d, connection closes: %v", got.status, got.closes)
	}
	time.Sleep(announceStopAfter + 200*time.Millisecond - a.node.stoppingFor())
	if got := c.call("other", "GET", "/read/1", "k1", ""); got.status != 200 || a.ran("other") > 0 {
		t.Errorf("a request of another node got %d; it ran %d times beside the stopping node", got.status, a.ran("other"))
	}
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the node does not stop")
	}
}

// A request that arrives long after SIGTERM would be cut off by the end of the
// process: callers send new ones for as long as too few other nodes are ready.
func TestNewRequestLateInAStop(t *testing.T) {
	_, a, _, _ := small(t)
	a.node.stopAt.Store(int64(a.node.now() - stopRefusalAfter - time.Second))
	a.node.stopping.Store(true)
	got := a.call("late", "POST", "/order/1", "k1", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !got.closes {
		t.Errorf("answer is %+v", got)
	}
}

// When the caller leaves, the upstream must see its connection close.
func TestCallerLeaves(t *testing.T) {
	_, a, b, c := small(t)
	gone := make(chan struct{}, 2)
	wait := func(_ *host, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		gone <- struct{}{}
	}
	a.script(wait)
	b.script(wait)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+c.callers+"/read/1", nil)
	r.Host = "shop"
	r.Header.Set(dialect.Request, "g")
	r.Header.Set(dialect.Key, "k1")
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("the caller did not leave")
	}
	select {
	case <-gone:
	case <-time.After(700 * time.Millisecond):
		t.Error("the upstream still works half a second after the caller has left")
	}
}

// An answer that breaks off must not look complete, whether it is held or not.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	_, a, b, c := small(t)
	for _, length := range []int{1000, 200_000} {
		broken := func(_ *host, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(length))
			w.Write(make([]byte, length/2))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		a.script(broken)
		b.script(broken)
		if got := c.call(fmt.Sprint("b", length), "POST", "/order/1", "k1", "x"); got.err == nil && got.status < 500 {
			t.Errorf("a broken answer of %d bytes looks complete: %d, %d bytes", length, got.status, len(got.body))
		}
	}
}
