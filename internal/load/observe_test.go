package load

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// Guards against reporting the stored answer of an earlier attempt as the answer of
// another request, against missing an answer that does belong to another request, and
// against attempts at targets that refuse connections.
func TestObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const header = "X-Marker"
		cfg := singleRouteConfig(Route{Method: "GET", Path: "/", Idempotent: true})
		cfg.Targets = []string{"http://gone", "http://node"}
		cfg.Usable = func(target string) bool { return target != "http://gone" }
		cfg.MarkerHeader, cfg.Retries = header, 1
		var mu sync.Mutex
		mismatched, attempts, ends := 0, 0, 0
		cfg.OnAttempt = func(a Attempt) {
			mu.Lock()
			defer mu.Unlock()
			attempts++
			if a.Mismatched {
				mismatched++
			}
		}
		cfg.OnRequestEnd = func(RequestResult) { mu.Lock(); ends++; mu.Unlock() }
		result, f := mustRun(t, cfg, func(_ int, r *http.Request) (*http.Response, error) {
			// A marker is "<seed>.<request>.<attempt>". Every first attempt fails, except that
			// of request 7, which gets the answer of request 8.
			marker := r.Header.Get(header)
			if strings.HasSuffix(marker, ".1") && marker != "1.7.1" {
				return nil, errors.New("answer lost")
			}
			response := newResponse(200, "")
			response.Header.Set(header, strings.TrimSuffix(marker, "2")+"1")
			if marker == "1.7.1" {
				response.Header.Set(header, "1.8.1")
			}
			return response, nil
		})
		arrivals := int(result.Total.Counts.Arrivals)
		if mismatched != 1 || attempts != 2*arrivals-1 || ends != arrivals {
			t.Errorf("%d mismatched answers, %d attempts and %d request ends for %d requests; want 1 mismatched answer, 2 attempts per request except 1 for the mismatched one, and 1 end per request", mismatched, attempts, ends, arrivals)
		}
		for _, r := range f.requests {
			if r.URL.Host == "gone" {
				t.Fatal("an attempt was sent to a target that refuses connections")
			}
		}
	})
}
