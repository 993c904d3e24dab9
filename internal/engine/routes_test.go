package engine

import (
	"testing"

	"pgregory.net/rapid"

	"cardamomhatch/internal/declaration"
)

// Guards against a cached route that differs from the match of http.ServeMux, and
// against a cache that grows without bound with the paths that callers send.
func TestCachedRoutesEqualServeMux(t *testing.T) {
	routes := []declaration.Route{
		{Method: "GET", Pattern: "/a"}, {Method: "GET", Pattern: "/a/{b}"}, {Method: "POST", Pattern: "/a/{b}"},
		{Method: "GET", Pattern: "/a/b"}, {Method: "GET", Pattern: "/c/{d}/e"}, {Method: "GET", Pattern: "/t/"},
	}
	cached, uncached := newRouteTable(routes), newRouteTable(routes)
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "POST", "HEAD", "get"}).Draw(t, "method")
		path := rapid.StringMatching(`(/|//|/[abcdet.]{0,2}){1,4}`).Draw(t, "path")
		for range 2 { // the second match can come from the cache
			got, ok := cached.match(method, path)
			want, wanted := uncached.lookUp(method, path)
			if ok != wanted || got != want {
				t.Fatalf("%s %s: got %+v %t, want %+v %t", method, path, got, ok, want, wanted)
			}
		}
	})
	longPath := make([]byte, maxCachedPathLen) // too long for the cache after "/a/"
	for i := range 3 * maxCachedRoutes {
		for j := range longPath { // a different path for each i
			longPath[j] = 'a' + byte(i>>(4*(j%3))&15)
		}
		cached.match("GET", "/a/"+string(longPath[:8]))
		cached.match("GET", "/a/"+string(longPath))
	}
	if n := len(cached.cache); n == 0 || n > maxCachedRoutes {
		t.Errorf("%d matches are cached, want 1 to maxCachedRoutes", n)
	}
	for key := range cached.cache {
		if len(key.path) > maxCachedPathLen {
			t.Errorf("a path of %d bytes is cached, want at most maxCachedPathLen", len(key.path))
		}
	}
}
