package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/shutdown"
	"cardamomhatch/internal/upstream"
)

// A request must reach an upstream of its service with method, target and body
// unchanged, with the workspace and caller that the node determined, and without the
// key.
func TestRequestPassesUnchanged(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	got := c.call("r1", "POST", "/order/x%2Fy?q=a;b&key=1", "k1", strings.Repeat("x", 40_000))
	if got.status != 200 || !strings.HasSuffix(got.body, "POST /order/x%2Fy?q=a;b&key=1 40000") {
		t.Fatalf("response is %+v, want status 200 and a body with the method, target and body length that were sent", got)
	}
	servingHost := a
	if b.runCount("r1") > 0 {
		servingHost = b
	}
	servingHost.mu.Lock()
	defer servingHost.mu.Unlock()
	for name, want := range map[string]string{dialect.Workspace: "w1", dialect.Caller: "stock", dialect.Key: "", dialect.Instance: servingHost.instance, hopHeader: ""} {
		if got := servingHost.lastHeader.Get(name); got != want {
			t.Errorf("header %s is %q, want %q", name, got, want)
		}
	}
	if ms, _ := strconv.Atoi(servingHost.lastHeader.Get(dialect.Remaining)); ms <= 0 || ms > 2000 {
		t.Errorf("remaining time is %d ms, want more than 0 and at most the route's timeout of 2000 ms", ms)
	}
}

// Every refusal must have the right status and exactly one log line with its reason.
func TestRefusalIsLoggedOnceWithItsReason(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	for _, test := range []struct {
		id, path, key, reason string
		status                int
	}{
		{"u1", "/read/1", "wrong", "key-invalid", 401},
		{"u2", "/read/1", "", "key-missing", 401},
		{"u3", "/none/1", "k1", "no-route", 404},
	} {
		if got := a.call(test.id, "GET", test.path, test.key, ""); got.status != test.status {
			t.Errorf("request %s got status %d, want %d", test.id, got.status, test.status)
		}
		eventually(t, "one log line for request "+test.id, func() bool {
			lines := 0
			for _, line := range a.log.lines() {
				if line["request"] == test.id {
					lines++
					if ms, ok := line["deadline_ms"].(float64); ok && ms <= 0 {
						t.Errorf("log line has a deadline of %v ms, want more than 0", ms)
					}
					if line["reason"] != test.reason || line["execution"] != "not-run" || line["declaration"] == nil {
						t.Errorf("log line is %v, want the expected reason, execution not-run and a declaration", line)
					}
				}
			}
			return lines == 1
		})
	}
}

// Requests of a workspace above its rate limit must be refused with a Retry-After, and
// other workspaces must not be affected.
func TestOverRate(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	refused := 0
	for i := range 60 {
		got := a.call(fmt.Sprint("q", i), "GET", "/read/1", "k2", "")
		if got.status == http.StatusTooManyRequests {
			refused++
			if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Errorf("Retry-After is %q, want a number of seconds above 0", got.header.Get("Retry-After"))
			}
		}
	}
	// bounds.Quota tolerates an excess of 20 requests.
	if refused < 20 {
		t.Errorf("%d of 60 requests in a row were refused, want at least 20 with a rate of 2/s and a burst of 2", refused)
	}
	if got := a.call("other", "GET", "/read/1", "k1", ""); got.status != 200 {
		t.Errorf("a request of another workspace got status %d, want 200", got.status)
	}
}

// When the upstream closes the connection without a response, an idempotent request
// must be retried at another upstream, and an order must not run twice.
func TestLostAnswer(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	closeConnection := func(_ *host, w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}
	a.setHandler(closeConnection)
	reads := 0
	for i := range 20 {
		if got := c.call(fmt.Sprint("s", i), "GET", "/read/1", "k1", ""); got.status == 200 {
			reads++
		}
	}
	// Retries are limited by a budget, so a few reads may fail.
	if reads < 18 {
		t.Errorf("%d of 20 reads were served, want at least 18", reads)
	}
	b.setHandler(closeConnection)
	for i := range 20 {
		id := fmt.Sprint("o", i)
		got := c.call(id, "POST", "/order/1", "k1", "x")
		if runs := a.runCount(id) + b.runCount(id); runs > 1 {
			t.Errorf("order %s ran %d times, want at most once", id, runs)
		} else if runs == 1 && got.status != http.StatusBadGateway {
			t.Errorf("order %s ran and got status %d, want 502", id, got.status)
		}
	}
}

// An order that an upstream states it did not run must be sent to another upstream.
// If no upstream ran it, the refusal must be a 503 with a Retry-After.
func TestUnrunOrder(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	shedRequest := func(h *host, w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.runs[r.Header.Get(dialect.RequestID)]-- // ServeHTTP has counted it
		h.mu.Unlock()
		w.Header().Set(dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	a.setHandler(shedRequest)
	for i := range 10 {
		id := fmt.Sprint("o", i)
		if got := c.call(id, "POST", "/order/1", "k1", "x"); got.status != 200 || b.runCount(id) != 1 {
			t.Errorf("order %s got status %d (%v) and ran %d times, want 200 and once", id, got.status, got.header, b.runCount(id))
		}
	}
	b.setHandler(shedRequest)
	got := c.call("none", "POST", "/order/1", "k1", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("response is %+v, want status 503 with a Retry-After", got)
	}
	// The outcome header must not contradict Retry-After.
	if refusal, ok := outcome.Parse(got.header); !ok || refusal.RetryAfter <= 0 {
		t.Errorf("header %s is %q, want a refusal with a retry delay above 0", outcome.Header, got.header.Get(outcome.Header))
	}
}

// A refusal because the upstream is absent must not give draining as its reason, since an
// operator must be able to tell the two causes apart.
func TestReasonOfAnAbsentUpstream(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	a.stopAnnouncing()
	for _, test := range []struct {
		change func()
		want   outcome.Reason
	}{
		// After the drain time, no request is accepted.
		{func() { a.announce(upstream.Draining); time.Sleep(bounds.Drain) }, outcome.Draining},
		// If another instance serves at the address, the known one is absent.
		{func() {
			a.node.mu.Lock()
			a.node.tracker.RecordReplacement(a.node.tracker.Current())
			a.node.mu.Unlock()
		}, outcome.NoUpstream},
	} {
		test.change()
		a.node.mu.Lock()
		refusal, ok := a.node.acceptsRequest(&servedRequest{hop: hop{Target: a.node.cfg.Self.Node, Service: "web"}}, a.node.now())
		a.node.mu.Unlock()
		if ok || refusal.Reason != test.want {
			t.Errorf("reason of the refusal is %s, want %s", refusal.Reason, test.want)
		}
	}
}

// Within 500 ms after an upstream has announced that it is draining, all nodes must stop
// sending new requests to it.
func TestLeavingUpstream(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	a.announce(upstream.Draining)
	time.Sleep(500 * time.Millisecond)
	for i := range 20 {
		id := fmt.Sprint("d", i)
		if got := c.call(id, "GET", "/read/1", "k1", ""); got.status != 200 || a.runCount(id) != 0 || b.runCount(id) != 1 {
			t.Fatalf("request %s got status %d and ran %d times at the draining upstream, want 200 and one run at the other upstream", id, got.status, a.runCount(id))
		}
	}
}

// A node without access to the store must receive a new declaration from its peers, so
// that a removed key stops working there. An older declaration must not replace a
// newer one.
func TestDeclarationReachesNodesWithoutStore(t *testing.T) {
	s, a, _, _ := startSmallMesh(t)
	s.mu.Lock()
	s.unavailable["a"] = true
	s.mu.Unlock()
	s.declare(func(v uint64) catalog.Declaration {
		d := shopDeclaration(v)
		d.Workspaces[0].Keys = []string{"k9"}
		return d
	})
	eventually(t, "node a refuses the key", func() bool { return a.call("k", "GET", "/read/1", "k1", "").status == 401 })
	if got := a.call("k", "GET", "/read/1", "k9", ""); got.status != 200 {
		t.Errorf("a request with the new key got status %d, want 200", got.status)
	}
	a.node.applyDeclaration(roster.Declaration{Raw: []byte("1")}, "peer", "x") // version 1
	if got := a.call("k", "GET", "/read/1", "k1", ""); got.status != 401 {
		t.Errorf("after an older declaration, a request with the removed key got status %d, want 401", got.status)
	}
}

// readerRank returns the node's rank among the nodes that are to read the declaration.
func (h *host) readerRank() int {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.roster.ReaderRank()
}

// An operator must be able to tell a read that the store never answers from one that waits
// for news: the line about a lost store and the metrics state how old the last answer is.
func TestAgeOfTheLastStoreAnswerIsReported(t *testing.T) {
	s, a, b, c := startSmallMesh(t)
	time.Sleep(2 * time.Second) // until the readers follow the declaration
	for _, h := range []*host{b, c} {
		if h.readerRank() < a.readerRank() {
			a = h
		}
	}
	s.mu.Lock()
	s.unavailable[string(a.node.cfg.Self.Node.Host)] = true
	s.mu.Unlock()
	s.declare(shopDeclaration) // ends the open read, after which the next one fails
	eventually(t, "the store is logged as lost", func() bool {
		for _, line := range a.log.lines() {
			if line["msg"] == "store lost" {
				if ms, ok := line["answered_ms"].(float64); !ok || ms < 100 {
					t.Errorf("store lost has answered_ms %v, want at least 100", line["answered_ms"])
				}
				return true
			}
		}
		return false
	})
	recorder := httptest.NewRecorder()
	a.node.serveMetrics(recorder, nil)
	for _, name := range []string{"store.answered_ms ", "store.read_open_ms "} {
		if !strings.Contains(recorder.Body.String(), name) {
			t.Errorf("metric %s is missing", name)
		}
	}
}

// An operator must be able to tell on which nodes a data centre relies for new declarations,
// and how old their knowledge is.
func TestReadersOfTheDeclarationAreReported(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	time.Sleep(2 * time.Second) // until the readers follow the declaration
	for _, h := range []*host{a, b, c} {
		reads := false
		for _, line := range h.log.lines() {
			if line["msg"] == "reader of the declaration" {
				reads = line["reads"] == true
			}
		}
		if want := h.readerRank() < 2; reads != want {
			t.Errorf("%s is logged as reader: %v, want %v", h.node.cfg.Self.Node.Host, reads, want)
		}
		recorder := httptest.NewRecorder()
		h.node.serveMetrics(recorder, nil)
		for _, line := range []string{"declaration.age_ms ", fmt.Sprintf("store.reader_rank %d\n", h.readerRank())} {
			if !strings.Contains(recorder.Body.String(), line) {
				t.Errorf("the metrics of %s lack %q", h.node.cfg.Self.Node.Host, line)
			}
		}
	}
}

// A declaration must be in force within 3 s everywhere although the store has silently
// dropped the open reads of all nodes, so that no peer has the declaration either.
func TestDeclarationAfterAllOpenReadsWereLost(t *testing.T) {
	s, a, b, c := startSmallMesh(t)
	time.Sleep(minReadInterval + 200*time.Millisecond) // until the read after the first declaration is open
	s.loseOpenReads()
	s.declare(shopDeclaration)
	time.Sleep(3 * time.Second)
	for _, h := range []*host{a, b, c} {
		if v := h.node.declarationVersion(); v != 2 {
			t.Errorf("version %d is in force at %s, want 2", v, h.node.cfg.Self.Node.Host)
		}
	}
}

// A node that the store answers must have a declaration within the operator's two seconds
// although the store answers no reader.
func TestDeclarationWhileTheStoreAnswersNoReader(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("refused=", refused), func(t *testing.T) {
			t.Parallel()
			s, a, b, c := startSmallMesh(t)
			time.Sleep(2 * time.Second) // until the readers follow the declaration
			var served *host
			for _, h := range []*host{a, b, c} {
				if h.readerRank() == 2 {
					served = h
					continue
				}
				s.mu.Lock()
				s.silent[string(h.node.cfg.Self.Node.Host)] = !refused
				s.unavailable[string(h.node.cfg.Self.Node.Host)] = refused
				s.mu.Unlock()
			}
			for version := uint64(2); version < 5; version++ {
				s.declare(shopDeclaration)
				time.Sleep(2 * time.Second)
				if v := served.node.declarationVersion(); v != version {
					t.Errorf("version %d is in force at the node that the store answers, want %d", v, version)
				}
			}
		})
	}
}

// Another writer may leave odd records among those of the nodes. A node that reads them must
// list the others, keep its own record valid and go on.
func TestOddNodeRecordsAreSkipped(t *testing.T) {
	s := newStore(shopDeclaration)
	record := func(host, address, claim string) []byte {
		return []byte(`{"Member":{"Node":{"Host":"` + host + `","Incarnation":7},"DataCentre":"dc","Service":"web","PeerAddress":"` + address + `"},"Claim":` + claim + `,"Serial":9,"Phase":1,"Instance":"x","Slots":8}`)
	}
	const largest = "18446744073709551615"
	s.records["deep"] = []byte(strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000))
	s.records["large"] = record("large", "127.0.0.1:9", "99999999999999999999999")
	s.records["port"] = record("port", "127.0.0.1:99999", "5")
	s.records["address"] = record("address", "", "5")
	s.records["nameless"] = record("", "127.0.0.1:9", "5")
	s.records["slots"] = bytes.Replace(record("slots", "127.0.0.1:9", "5"), []byte(`"Slots":8`), []byte(`"Slots":-8`), 1)
	s.records["claim-of-c"] = record("c", "127.0.0.1:9", largest)
	a, b, c := startHost(t, s, "a", "web", 8), startHost(t, s, "b", "web", 8), startHost(t, s, "c", "stock", 8)
	waitForSmallMesh(t, a, b, c)
	for _, h := range []*host{a, b, c} {
		h.node.mu.Lock()
		nodes, claim := h.node.roster.Len(h.node.now()), h.node.roster.Self().Claim
		h.node.mu.Unlock()
		if nodes != 3 || claim < uint64(h.node.started.UnixMilli())/2 {
			t.Errorf("%s knows %d nodes and has claim %d, want 3 and about the time of its start", h.node.cfg.Self.Node.Host, nodes, claim)
		}
	}
	for i := range 20 {
		if got := c.call(fmt.Sprint("odd", i), "GET", "/read/1", "k1", ""); got.status != 200 {
			t.Errorf("a request got status %d, want 200", got.status)
		}
	}
}

// Several declarations in quick succession must not cause one read each, and the last
// one must come into force.
func TestDeclarationsInQuickSuccession(t *testing.T) {
	s, a, _, _ := startSmallMesh(t)
	s.mu.Lock()
	before := s.reads["a"]
	s.mu.Unlock()
	began := time.Now()
	for range 20 {
		s.declare(shopDeclaration)
		time.Sleep(20 * time.Millisecond)
	}
	elapsed := time.Since(began)
	eventually(t, "the last declaration is in force", func() bool { return a.node.declarationVersion() == 21 })
	s.mu.Lock()
	reads := s.reads["a"] - before
	s.mu.Unlock()
	// One read per minReadInterval, which is 400 ms, and some tolerance.
	if limit := int(elapsed/(400*time.Millisecond)) + 4; reads > limit {
		t.Errorf("%d reads for 20 declarations within %v, want at most %d", reads, elapsed, limit)
	}
}

// A node that restarts while the store is unavailable must learn the declaration and
// the other nodes from its peers.
func TestRestartWithoutStore(t *testing.T) {
	s, a, _, c := startSmallMesh(t)
	s.mu.Lock()
	s.unavailable[""] = true
	s.mu.Unlock()
	old := a.node
	old.shutdown()
	a.restartNode(t, s, "a", old.cfg.Self.PeerAddress)
	eventually(t, "the restarted node serves", func() bool { return a.call("x", "GET", "/read/1", "k1", "").status == 200 })
	if got := c.call("y", "GET", "/read/1", "k1", ""); got.status != 200 {
		t.Errorf("a request at another node got status %d, want 200", got.status)
	}
}

// restartNode starts the node again at the peer address that other nodes know.
func (h *host) restartNode(t *testing.T, s *store, name, peerAddress string) {
	t.Helper()
	h.restartBesideSilentUpstream(t, peerAddress)
	h.startAnnouncing(t)
}

// restartBesideSilentUpstream is restartNode for an upstream that does not announce itself.
func (h *host) restartBesideSilentUpstream(t *testing.T, peerAddress string) {
	t.Helper()
	var l net.Listener
	eventually(t, "the address is free", func() bool {
		var err error
		l, err = net.Listen("tcp", peerAddress)
		return err == nil
	})
	callers := listen(t)
	h.callerAddress = callers.Addr().String()
	cfg := h.node.cfg
	cfg.Self.Node.Incarnation++
	cfg.Claim++
	cfg.Listeners = Listeners{Callers: callers, Peers: l}
	cfg.Metrics = metrics.NewRegistry()
	h.stopAnnouncing()
	h.node = New(cfg)
	h.node.Start()
	t.Cleanup(h.node.shutdown)
}

// During a graceful stop, requests in flight must complete, responses must close the
// caller's connection, and the node must get no new work from peers.
func TestStop(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	respondSlowly := func(h *host, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		fmt.Fprint(w, h.instance)
	}
	a.setHandler(respondSlowly)
	b.setHandler(respondSlowly)
	results := make(chan response, 12)
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
			t.Errorf("a request in flight got %+v, want status 200", got)
		}
	}
	if a.node.Ready() {
		t.Error("a stopping node reports that it is ready")
	}
	if got := a.call("late", "GET", "/read/1", "k1", ""); got.status != 200 || !got.closes {
		t.Errorf("a new request got status %d, connection closes: %v; want 200 and true", got.status, got.closes)
	}
	time.Sleep(shutdown.AnnounceAfter + 200*time.Millisecond - a.node.since(&a.node.stopBegan))
	if got := c.call("other", "GET", "/read/1", "k1", ""); got.status != 200 || a.runCount("other") > 0 {
		t.Errorf("a request at another node got status %d (%v) and ran %d times at the upstream of the stopping node, want 200 and none", got.status, got.header, a.runCount("other"))
	}
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the node did not stop within 10 s")
	}
}

// A request that arrives late in a stop must be refused, since the exit of the process
// would abort it. Such requests occur because callers keep sending new requests while
// too few other nodes are ready.
func TestNewRequestLateInAStop(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	a.node.stopBegan.Store(int64(a.node.now() - shutdown.RefusalAfter - time.Second))
	a.node.stopping.Store(true)
	got := a.call("late", "POST", "/order/1", "k1", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !got.closes {
		t.Errorf("response is %+v, want status 503 with a Retry-After and a closed connection", got)
	}
}

// An order that may not be repeated must not be taken if the process could exit before its
// deadline, once callers have had time to learn of the stop. What can end in time must still
// be served, and so must the calls of requests that the local upstream runs.
func TestRequestsDuringAStop(t *testing.T) {
	_, a, _, _ := startSmallMesh(t)
	for _, test := range []struct {
		elapsed, left time.Duration // since the start of the stop and until its end
		method, path  string
		key           string
		want          int
	}{
		{shutdown.NoticeTime / 2, 3 * time.Second, "POST", "/order/1", "k1", http.StatusOK},
		{shutdown.NoticeTime + 500*time.Millisecond, 1500 * time.Millisecond, "POST", "/order/1", "k1", http.StatusServiceUnavailable},
		{shutdown.NoticeTime + 500*time.Millisecond, 6 * time.Second, "POST", "/order/1", "k1", http.StatusOK},
		{shutdown.NoticeTime + 500*time.Millisecond, 1500 * time.Millisecond, "GET", "/read/1", "k1", http.StatusOK},
		{shutdown.RefusalAfter + 500*time.Millisecond, 6 * time.Second, "GET", "/read/1", "k1", http.StatusServiceUnavailable},
		{shutdown.RefusalAfter + 500*time.Millisecond, 1500 * time.Millisecond, "GET", "/feed/1", "", http.StatusOK},
		{shutdown.RefusalAfter + 500*time.Millisecond, shutdown.NestedMargin / 2, "GET", "/feed/1", "", http.StatusServiceUnavailable},
		{shutdown.RefusalAfter + 500*time.Millisecond, 1500 * time.Millisecond, "POST", "/notify/1", "", http.StatusOK},
		{shutdown.RefusalAfter + 500*time.Millisecond, 500 * time.Millisecond, "POST", "/notify/1", "", http.StatusServiceUnavailable},
		{shutdown.NoticeTime + 500*time.Millisecond, 500 * time.Millisecond, "POST", "/notify/1", "", http.StatusServiceUnavailable},
	} {
		a.node.stopBegan.Store(int64(a.node.now() - test.elapsed))
		a.node.stopEnds.Store(int64(a.node.now() + test.left))
		a.node.stopping.Store(true)
		if got := a.call(fmt.Sprint("stop-", test.elapsed, test.left, test.path), test.method, test.path, test.key, ""); got.status != test.want || !got.closes {
			t.Errorf("%s %s, %v after the start and %v before the end of the stop: status %d, closes the connection: %v; want %d and true", test.method, test.path, test.elapsed, test.left, got.status, got.closes, test.want)
		}
	}
}

// When the caller disconnects, the connection to the upstream must be closed, so that
// the upstream stops working on the request.
func TestCallerLeaves(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	disconnected := make(chan struct{}, 2)
	waitForDisconnect := func(_ *host, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		disconnected <- struct{}{}
	}
	a.setHandler(waitForDisconnect)
	b.setHandler(waitForDisconnect)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+c.callerAddress+"/read/1", nil)
	r.Host = "shop"
	r.Header.Set(dialect.RequestID, "g")
	r.Header.Set(dialect.Key, "k1")
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("the request did not end with the caller's context")
	}
	select {
	case <-disconnected:
	case <-time.After(700 * time.Millisecond):
		t.Error("the upstream still runs the request 700 ms after the caller disconnected")
	}
}
