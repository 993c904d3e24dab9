package engine

import (
	"testing"

	"pgregory.net/rapid"

	"cardamomhatch/internal/declaration"
)

// Guards against a remembered match that differs from that of http.ServeMux,
// and against a memory of matches that grows with the paths that callers send.
func TestRememberedRoutesEqualServeMux(t *testing.T) {
	routes := []declaration.Route{
		{Method: "GET", Pattern: "/a"}, {Method: "GET", Pattern: "/a/{b}"}, {Method: "POST", Pattern: "/a/{b}"},
		{Method: "GET", Pattern: "/a/b"}, {Method: "GET", Pattern: "/c/{d}/e"}, {Method: "GET", Pattern: "/t/"},
	}
	remembers, plain := newRouteTable(routes), newRouteTable(routes)
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "POST", "HEAD", "get"}).Draw(t, "method")
		path := rapid.StringMatching(`(/|//|/[abcdet.]{0,2}){1,4}`).Draw(t, "path")
		for range 2 {
			got, ok := remembers.match(method, path)
			want, wanted := plain.lookUp(method, path)
			if ok != wanted || got != want {
				t.Fatalf("%s %s: got %+v %t, want %+v %t", method, path, got, ok, want, wanted)
			}
		}
	})
	long := make([]byte, maxKnownPath)
	for i := range 3 * maxKnownRoutes {
		for j := range long {
			long[j] = 'a' + byte(i>>(4*(j%3))&15)
		}
		remembers.match("GET", "/a/"+string(long[:8]))
		remembers.match("GET", "/a/"+string(long))
	}
	if n := len(remembers.known); n == 0 || n > maxKnownRoutes {
		t.Errorf("%d matches are remembered", n)
	}
	for known := range remembers.known {
		if len(known.path) > maxKnownPath {
			t.Errorf("a path of %d bytes is remembered", len(known.path))
		}
	}
}
