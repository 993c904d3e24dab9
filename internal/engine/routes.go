package engine

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/retry"
)

// routeTable finds the route of a call by method and path. It uses the pattern
// matching of net/http, so that a declared pattern means what its readers know.
type routeTable struct {
	mux     *http.ServeMux
	routes  map[string]declaration.Route // by mux pattern
	request http.Request
	url     url.URL
	known   map[target]declaration.Route // recent matches
}

// target is what a route is matched by.
type target struct{ method, path string }

// Bounds of the recent matches: 1,024 paths of at most 128 bytes. Matching by
// http.ServeMux allocates, and most calls are for paths that were seen before.
const (
	maxKnownRoutes = 1024
	maxKnownPath   = 128
)

func newRouteTable(routes []declaration.Route) *routeTable {
	t := &routeTable{
		mux:    http.NewServeMux(),
		routes: make(map[string]declaration.Route, len(routes)),
		known:  make(map[target]declaration.Route),
	}
	for _, r := range routes {
		pattern := r.Method + " " + r.Pattern
		t.routes[pattern] = r
		t.mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	}
	return t
}

// match returns the route of a call.
func (t *routeTable) match(method, path string) (declaration.Route, bool) {
	if r, ok := t.known[target{method, path}]; ok {
		return r, true
	}
	r, ok := t.lookUp(method, path)
	if ok && len(path) <= maxKnownPath {
		if len(t.known) == maxKnownRoutes {
			clear(t.known)
		}
		t.known[target{strings.Clone(method), strings.Clone(path)}] = r
	}
	return r, ok
}

func (t *routeTable) lookUp(method, path string) (declaration.Route, bool) {
	t.url.Path = path
	t.request.Method = method
	t.request.URL = &t.url
	_, pattern := t.mux.Handler(&t.request)
	r, ok := t.routes[pattern]
	return r, ok
}

// edgeKey names a declared edge of the call graph.
type edgeKey struct{ from, to mesh.Service }

// edge is a declared edge with its retry ratio at this node.
type edge struct {
	index          int
	callsPerParent int
	idempotent     bool
	timeout        time.Duration
	ratio          retry.Ratio
}

// setEdges replaces the call graph. Indexes and ratios of edges that stay are
// kept, since running calls refer to them.
func (n *Node) setEdges(edges []declaration.Edge) {
	old := n.edges
	n.edges = make(map[edgeKey]*edge, len(edges))
	n.below = make(map[mesh.Service][]mesh.Service)
	for key, e := range old {
		if key.from == "" {
			n.edges[key] = e
		}
	}
	for _, e := range edges {
		key := edgeKey{e.From, e.To}
		next := old[key]
		if next == nil {
			n.nextEdge++
			next = &edge{index: n.nextEdge}
		}
		next.callsPerParent = e.CallsPerParent
		next.idempotent = e.Idempotent
		next.timeout = e.Timeout
		n.edges[key] = next
		n.below[e.From] = append(n.below[e.From], e.To)
	}
}

// downstreamOf returns the services that a service calls directly.
func (n *Node) downstreamOf(s mesh.Service) []mesh.Service { return n.below[s] }

// ratioOf returns the retry ratio of customer calls to a service.
func (n *Node) ratioOf(s mesh.Service) *retry.Ratio {
	key := edgeKey{to: s}
	e := n.edges[key]
	if e == nil {
		e = &edge{}
		n.edges[key] = e
	}
	return &e.ratio
}
