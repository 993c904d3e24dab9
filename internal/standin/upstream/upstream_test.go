package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/engine"
)

func serve(u *Upstream, ctx context.Context, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "POST", "/orders", strings.NewReader("body"))
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	u.ServeHTTP(w, r)
	return w
}

// Guards against a stand-in that cannot be overloaded: calls beyond the slots must
// queue, calls beyond the queue must be shed, and calls must end at their deadline.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(Config{Slots: 2, Queue: 2, Median: time.Second})
		codes := make(chan int, 5)
		for range 5 {
			go func() {
				codes <- serve(u, t.Context(), func(r *http.Request) {
					r.Header.Set(engine.TimeoutHeader, "1500")
				}).Code
			}()
		}
		byCode := map[int]int{}
		for range 5 {
			byCode[<-codes]++
		}
		c := u.Counts()
		if byCode[200] != 2 || byCode[503] != 1 || byCode[504] != 2 {
			t.Fatalf("answers by status: %v, want two 200, one 503 and two 504", byCode)
		}
		if c.Executions != 2 || c.Abandoned != 2 || c.Shed != 1 || c.MaxRunning != 2 {
			t.Fatalf("counts %+v, want 2 executions, 2 abandoned, 1 shed and a maximum of 2 running", c)
		}
	})
}

// Guards against a cold start or a SlowFactor without effect, and against service times
// that differ between runs with the same seed.
func TestServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{Median: time.Second, Spread: 0.5, Seed: 3}
		a, b := New(cfg), New(cfg)
		for range 10 {
			if x, y := a.serviceTime(Faults{}), b.serviceTime(Faults{}); x != y {
				t.Fatalf("the same seed gave %s and %s", x, y)
			}
		}
		u := New(Config{Median: time.Second, ColdFor: 10 * time.Second, ColdFactor: 3})
		for _, want := range []time.Duration{3 * time.Second, 2 * time.Second, time.Second} {
			if got := u.serviceTime(Faults{}); got != want {
				t.Fatalf("%s after the start: %s, want %s", time.Since(u.start), got, want)
			}
			time.Sleep(5 * time.Second)
		}
		if got := u.serviceTime(Faults{SlowFactor: 5}); got != 5*time.Second {
			t.Fatalf("service time with SlowFactor 5: %s, want 5 s", got)
		}
	})
}

// Guards against executions or keys that are not counted: tests check invariants with
// these counts.
func TestCounts(t *testing.T) {
	u := New(Config{Slots: 1})
	serve(u, t.Context(), func(r *http.Request) { r.Header.Set(MarkerHeader, "order-1") })
	u.SetFaults(Faults{Shed: true})
	refused := serve(u, t.Context(), func(r *http.Request) { r.Header.Set(MarkerHeader, "order-1") })
	if refused.Code != 503 || refused.Header().Get(engine.ShedHeader) == "" {
		t.Fatalf("shed call: status %d, header %v; want 503 with the shed header", refused.Code, refused.Header())
	}
	if n := u.Executions()["order-1"]; n != 1 {
		t.Fatalf("%d executions, want 1", n)
	}
	places := []func(*http.Request){
		func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") },
		func(r *http.Request) { r.URL.RawQuery = "access_token=x" },
		func(r *http.Request) { r.Header.Set("X-Forwarded-Key", "ch_id_secret") },
	}
	for i, putKey := range places {
		serve(u, t.Context(), putKey)
		if seen := u.Counts().KeysSeen; seen != int64(i+1) {
			t.Fatalf("after the key in place %d: %d keys seen, want one per place", i, seen)
		}
	}
}

// Guards against LoadReportDelay or ReportIdle without effect, and against an upstream
// that does not report that it is draining.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(Config{Slots: 4, LoadReportDelay: 2 * time.Second})
		u.updateLoad(3, 0)
		time.Sleep(time.Second)
		if got := u.report().InFlight; got != 0 {
			t.Fatalf("after 1 s: %d in flight, want the old 0", got)
		}
		time.Sleep(time.Second)
		if got := u.report().InFlight; got != 3 {
			t.Fatalf("after 2 s: %d in flight, want 3", got)
		}
		u.Drain()
		if r := u.report(); r.Ready || !r.Draining {
			t.Fatalf("draining upstream reports %+v, want draining and not ready", r)
		}
		u.SetFaults(Faults{ReportIdle: true})
		if r := u.report(); !r.Ready || r.InFlight != 0 {
			t.Fatalf("upstream with ReportIdle reports %+v, want ready and no calls in flight", r)
		}
	})
}

// Guards against a stand-in that omits the configured downstream calls, their retries,
// or its announcements.
func TestDownstreamAndAnnouncement(t *testing.T) {
	calls, announced := 0, make(chan Report, 4)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/announce" {
			var report Report
			if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
				t.Error(err)
			}
			announced <- report
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if calls++; calls == 1 {
			http.Error(w, "first try", http.StatusServiceUnavailable)
		}
		if r.URL.Path != "/call/stock/level" || r.Header.Get(engine.CallHeader) != "token" {
			t.Errorf("downstream call %s with token %q, want /call/stock/level with the token of the parent call", r.URL, r.Header.Get(engine.CallHeader))
		}
	}))
	defer node.Close()
	ctx, stop := context.WithCancel(t.Context())
	cfg := Config{Service: "orders", Slots: 1, Node: node.URL, Listen: "127.0.0.1:0",
		Downstream: []Call{{Service: "stock", Path: "/level", Count: 2, Retries: 1}}}
	done := make(chan error, 1)
	address := make(chan string, 1)
	go func() { done <- Run(ctx, cfg, func(url string) { address <- url }) }()
	url := <-address
	r, _ := http.NewRequest("GET", url+"/x", nil)
	r.Header.Set(engine.CallHeader, "token")
	resp, err := http.DefaultClient.Do(r)
	if err != nil || resp.StatusCode != 200 || calls != 3 {
		t.Fatalf("response %v, error %v after %d downstream calls, want status 200 after 3", resp, err, calls)
	}
	resp.Body.Close()
	if report := <-announced; !report.Ready || report.Service != "orders" || report.URL != url {
		t.Fatalf("announced %+v, want service orders ready at the URL of the upstream", report)
	}
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for report := range announced {
		if report.Draining {
			return
		}
	}
}
