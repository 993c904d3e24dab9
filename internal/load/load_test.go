package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/outcome"
)

// fakeTransport answers requests in virtual time and records them.
type fakeTransport struct {
	mu       sync.Mutex
	requests []*http.Request
	answer   func(n int, r *http.Request) (*http.Response, error)
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	n := len(f.requests)
	f.mu.Unlock()
	return f.answer(n, r)
}

func newResponse(status int, body string) *http.Response {
	return &http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func refusalResponse(e outcome.Execution, reason outcome.Reason, retryAfter time.Duration) *http.Response {
	recorder := httptest.NewRecorder()
	if err := (outcome.Refusal{Execution: e, Reason: reason, Node: "n", RetryAfter: retryAfter}).Write(recorder); err != nil {
		panic(err)
	}
	return recorder.Result()
}

func singleRouteConfig(route Route) Config {
	return Config{
		Seed:       1,
		Duration:   100 * time.Second,
		Targets:    []string{"http://node"},
		Timeout:    time.Second,
		Workspaces: []Workspace{{Name: "w", Key: "secret", Rate: 10, Routes: []Route{route}}},
	}
}

func mustRun(t *testing.T, cfg Config, answer func(n int, r *http.Request) (*http.Response, error)) (Result, *fakeTransport) {
	t.Helper()
	f := &fakeTransport{answer: answer}
	cfg.Transport = f
	result, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return result, f
}

// Guards against arrivals that wait for answers, that differ between runs with the same
// seed, or that are not distributed over workspaces and routes as configured.
func TestArrivals(t *testing.T) {
	cfg := singleRouteConfig(Route{})
	cfg.MaxInFlight, cfg.Duration = 100_000, 30*time.Second
	cfg.Workspaces = []Workspace{
		{Name: "a", Key: "ka", Rate: 100, Routes: []Route{{Method: "GET", Path: "/x", Weight: 3}, {Method: "GET", Path: "/y", Weight: 1}}},
		{Name: "b", Key: "kb", Rate: 20, Routes: []Route{{Method: "GET", Path: "/z"}}},
		{Name: "idle", Rate: 0, Routes: []Route{{Method: "GET", Path: "/z"}}},
	}
	arrivals := func(seed uint64, delay time.Duration) (counts []int64) {
		synctest.Test(t, func(t *testing.T) {
			cfg := cfg
			cfg.Seed = seed
			result, f := mustRun(t, cfg, func(int, *http.Request) (*http.Response, error) {
				time.Sleep(delay)
				return newResponse(200, ""), nil
			})
			for _, summary := range result.Routes {
				counts = append(counts, summary.Counts.Arrivals)
			}
			for _, r := range f.requests {
				if want := map[string]string{"/x": "ka", "/y": "ka", "/z": "kb"}[r.URL.Path]; r.Header.Get("Authorization") != "Bearer "+want {
					t.Fatalf("the request to %s carried Authorization %q, want the key of its workspace", r.URL.Path, r.Header.Get("Authorization"))
				}
			}
		})
		return counts
	}
	fast := arrivals(1, 0)
	if slow := arrivals(1, 50*time.Second); !reflect.DeepEqual(fast, slow) {
		t.Fatalf("arrivals depend on answers: %v and %v", fast, slow)
	}
	if other := arrivals(2, 0); reflect.DeepEqual(fast, other) {
		t.Fatal("arrivals do not depend on the seed")
	}
	// Expected 2250, 750, 600, 0; the margins are at least six standard deviations.
	for i, want := range []int64{2250, 750, 600, 0} {
		if margin := want / 4; fast[i] < want-margin || fast[i] > want+margin {
			t.Fatalf("arrivals %v, want about %d at index %d", fast, want, i)
		}
	}
}

// Guards against wrong latencies, and against late answers that are counted as in time.
func TestLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last Progress
		cfg := singleRouteConfig(Route{Method: "GET", Path: "/"})
		cfg.Progress = func(p Progress) { last = p }
		result, _ := mustRun(t, cfg, func(n int, r *http.Request) (*http.Response, error) {
			time.Sleep(time.Duration(n%2+1) * 700 * time.Millisecond)
			return newResponse(200, "x"), nil
		})
		c, latency := result.Total.Counts, result.Total.Latency
		if c.InTime+c.Late != c.Arrivals || c.InTime-c.Late > 1 || c.Late-c.InTime > 1 {
			t.Fatalf("counts %+v, want every request answered, half of them late", c)
		}
		// Compared in steps of 10 ms, because the histogram rounds values.
		if int(latency.P50+0.5)/10 != 70 || int(latency.Max+0.5)/10 != 140 {
			t.Fatalf("latency %+v, want 700 and 1400 ms", latency)
		}
		if !reflect.DeepEqual(last.Counts, c) || last.InFlight != 0 {
			t.Fatalf("last progress %+v, want %+v", last, c)
		}
	})
}

// Guards against requests that are counted twice, not at all, or under the wrong kind.
func TestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := singleRouteConfig(Route{Method: "GET", Path: "/"})
		cfg.MaxInFlight = 6
		result, f := mustRun(t, cfg, func(n int, r *http.Request) (*http.Response, error) {
			switch n % 6 {
			case 0:
				return refusalResponse(outcome.NotRun, outcome.Overloaded, time.Second), nil
			case 1:
				return newResponse(503, "no outcome"), nil
			case 2:
				return nil, errors.New("connection refused")
			case 3:
				response := newResponse(200, "")
				response.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), brokenReader{}))
				return response, nil
			case 4: // never answers: cancelled after twice the timeout
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return newResponse(404, ""), nil
		})
		c := result.Total.Counts
		sent := int64(len(f.requests))
		n := sent / 6
		if c.Arrivals != sent+c.Dropped || c.Dropped == 0 || c.Arrivals != c.InTime+c.Late+c.Refused+c.Failed+c.Truncated+c.Dropped {
			t.Fatalf("counts %+v do not add up to %d sent", c, sent)
		}
		if c.Refused < n || c.Refused > n+1 || c.Failed < 3*n || c.Failed > 3*n+3 || c.Truncated < n || c.InTime < n || c.Late != 0 {
			t.Fatalf("counts %+v of %d requests, want about a sixth of each kind and half failed", c, sent)
		}
		if c.Reasons["not-run/overloaded"] != c.Refused {
			t.Fatalf("reasons %v, want not-run/overloaded for every refusal", c.Reasons)
		}
	})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a client that retries a request of a non-idempotent route without a
// ticket or a refusal that says "not run", and against retries that cannot succeed.
func TestRetries(t *testing.T) {
	get, post := Route{Method: "GET", Path: "/", Idempotent: true}, Route{Method: "POST", Path: "/", Body: []byte("b")}
	connectionLost := func() (*http.Response, error) { return nil, errors.New("reset") }
	cases := []struct {
		name     string
		route    Route
		answer   func() (*http.Response, error)
		attempts int
	}{
		{"lost, idempotent", get, connectionLost, 3},
		{"lost, order", post, connectionLost, 1},
		{"not run, order", post, func() (*http.Response, error) {
			return refusalResponse(outcome.NotRun, outcome.Overloaded, 0), nil
		}, 3},
		{"may have run, order", post, func() (*http.Response, error) {
			return refusalResponse(outcome.MayHaveRun, outcome.PeerLost, 0), nil
		}, 1},
		{"key invalid", get, func() (*http.Response, error) { return refusalResponse(outcome.NotRun, outcome.KeyInvalid, 0), nil }, 1},
		{"over rate", get, func() (*http.Response, error) { return refusalResponse(outcome.NotRun, outcome.OverRate, 0), nil }, 3},
		{"whole", get, func() (*http.Response, error) { return newResponse(200, ""), nil }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := singleRouteConfig(c.route)
				cfg.Retries = 2
				result, f := mustRun(t, cfg, func(int, *http.Request) (*http.Response, error) { return c.answer() })
				arrivals := int(result.Total.Counts.Arrivals)
				if len(f.requests) != arrivals*c.attempts || int(result.Total.Counts.Retries) != arrivals*(c.attempts-1) {
					t.Fatalf("%d requests and %d retries for %d arrivals, want %d attempts each",
						len(f.requests), result.Total.Counts.Retries, arrivals, c.attempts)
				}
			})
		})
	}
}

// Guards against a retry that uses another ticket than the first attempt, and against
// a ticket that is used for two requests.
func TestTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := singleRouteConfig(Route{Method: "POST", Path: "/order"})
		cfg.Tickets, cfg.Retries = true, 1
		issued, uses := 0, map[string]int{}
		var mu sync.Mutex
		result, _ := mustRun(t, cfg, func(n int, r *http.Request) (*http.Response, error) {
			mu.Lock()
			defer mu.Unlock()
			response := newResponse(200, "")
			if r.URL.Path == ticketPath {
				issued++
				response.Header.Set(ticketHeader, fmt.Sprint("asked-", issued))
				return response, nil
			}
			ticket := r.Header.Get(ticketHeader)
			uses[ticket]++
			if uses[ticket] == 1 {
				return nil, errors.New("answer lost")
			}
			response.Header.Set(ticketHeader, fmt.Sprint("carried-", n)) // for a later request
			return response, nil
		})
		c := result.Total.Counts
		if c.InTime != c.Arrivals || c.Retries != c.Arrivals || int64(len(uses)) != c.Arrivals {
			t.Fatalf("%d tickets were used for the requests %+v, want one ticket and one retry per request", len(uses), c)
		}
		for ticket, n := range uses {
			if n != 2 {
				t.Fatalf("ticket %q was sent %d times, want 2: the request and its retry", ticket, n)
			}
		}
		if int64(issued) == c.Arrivals {
			t.Fatal("no ticket from an earlier answer was used")
		}
	})
}

// Guards against a run that continues after its context was cancelled.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		cfg := singleRouteConfig(Route{Method: "GET", Path: "/"})
		cfg.Timeout = time.Hour
		cfg.Transport = &fakeTransport{answer: func(_ int, r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}}
		start := time.Now()
		result, err := Run(ctx, cfg)
		if err != nil || time.Since(start) != 10*time.Second || result.Total.Counts.Failed != result.Total.Counts.Arrivals {
			t.Fatalf("Run returned error %v after %v, want none after 10 s and all requests failed: %+v", err, time.Since(start), result.Total.Counts)
		}
	})
}

// Guards against invalid configs that are not rejected, and against errors that contain
// an API key.
func TestConfigErrors(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"duration": func(c *Config) { c.Duration = 0 },
		"target":   func(c *Config) { c.Targets = []string{"node"} },
		"rate":     func(c *Config) { c.Workspaces[0].Rate = -1 },
		"routes":   func(c *Config) { c.Workspaces[0].Routes = nil },
		"path":     func(c *Config) { c.Workspaces[0].Routes[0].Path = "x" },
	} {
		cfg := singleRouteConfig(Route{Method: "GET", Path: "/"})
		change(&cfg)
		if _, err := Run(t.Context(), cfg); err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("invalid %s: error %v, want an error that does not contain the key", name, err)
		}
	}
}

// Guards against truncated answers that go unnoticed over a real connection, against
// http.Transport resending a request on its own, and against reports that contain an
// API key.
func TestOverHTTP(t *testing.T) {
	var mu sync.Mutex
	received := map[string]int{} // requests by path and body
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		received[r.URL.Path+" "+string(body)]++
		n := received[r.URL.Path+" "+string(body)]
		mu.Unlock()
		if r.URL.Path == "/cut" && n%2 == 0 {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/lost" {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	cfg := singleRouteConfig(Route{})
	cfg.Targets, cfg.Duration, cfg.Timeout = []string{server.URL}, 300*time.Millisecond, time.Minute
	cfg.Workspaces[0].Rate = 300
	cfg.Workspaces[0].Routes = []Route{{Method: "POST", Path: "/cut", Body: []byte("b")}, {Method: "GET", Path: "/lost"}}
	result, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	posts, gets := result.Routes[0].Counts, result.Routes[1].Counts
	if int64(received["/cut b"]) != posts.Arrivals || int64(received["/lost "]) != gets.Arrivals || gets.Arrivals == 0 {
		t.Fatalf("the server received %v for %d POST and %d GET arrivals", received, posts.Arrivals, gets.Arrivals)
	}
	if posts.Truncated != posts.Arrivals/2 || posts.InTime != posts.Arrivals-posts.Truncated || gets.Failed != gets.Arrivals {
		t.Fatalf("counts %+v of POST, want half of them truncated; counts %+v of GET, want all failed", posts, gets)
	}
	var text, document strings.Builder
	if err := errors.Join(result.WriteText(&text), result.WriteJSON(&document)); err != nil {
		t.Fatal(err)
	}
	var decoded Result
	if err := json.Unmarshal([]byte(document.String()), &decoded); err != nil || !reflect.DeepEqual(decoded, result) {
		t.Fatalf("the result differs after a JSON round trip, error %v", err)
	}
	if strings.Contains(text.String()+document.String(), "secret") || !strings.Contains(text.String(), "w POST /cut") {
		t.Fatalf("the report contains the key or has no row for POST /cut:\n%s", text.String())
	}
}
