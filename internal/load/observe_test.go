package load

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// Guards against a stored answer that replaces the answer of an earlier attempt
// being reported as that of another request, against one of another request that
// is not, and against attempts at targets that refuse connections.
func TestObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const header = "X-Marker"
		cfg := one(Route{Method: "GET", Path: "/", Idempotent: true})
		cfg.Targets = []string{"http://gone", "http://node"}
		cfg.Usable = func(target string) bool { return target != "http://gone" }
		cfg.MarkerHeader, cfg.Retries = header, 1
		var mu sync.Mutex
		foreign, attempts, endings := 0, 0, 0
		cfg.Attempted = func(a Attempt) {
			mu.Lock()
			defer mu.Unlock()
			attempts++
			if a.Foreign {
				foreign++
			}
		}
		cfg.Ended = func(RequestResult) { mu.Lock(); endings++; mu.Unlock() }
		result, f := run(t, cfg, func(_ int, r *http.Request) (*http.Response, error) {
			marker := r.Header.Get(header)
			if strings.HasSuffix(marker, ".1") && marker != "1.7.1" {
				return nil, errors.New("answer lost")
			}
			response := respond(200, "")
			response.Header.Set(header, strings.TrimSuffix(marker, "2")+"1")
			if marker == "1.7.1" {
				response.Header.Set(header, "1.8.1")
			}
			return response, nil
		})
		arrivals := int(result.Total.Counts.Arrivals)
		if foreign != 1 || attempts != 2*arrivals-1 || endings != arrivals {
			t.Errorf("%d foreign answers, %d attempts and %d endings for %d requests", foreign, attempts, endings, arrivals)
		}
		for _, r := range f.requests {
			if r.URL.Host == "gone" {
				t.Fatal("an attempt was sent to a target that refuses connections")
			}
		}
	})
}
