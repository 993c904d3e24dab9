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

// routeTable finds the route of a call by method and path. It uses http.ServeMux,
// so that declared patterns have the semantics of net/http.
type routeTable struct {
	mux     *http.ServeMux
	routes  map[string]declaration.Route // by mux pattern
	request http.Request                 // scratch request of lookUp, which saves allocations
	url     url.URL                      // URL of request
	cache   map[routeKey]declaration.Route
}

// routeKey is the part of a request that determines its route.
type routeKey struct{ method, path string }

// Bounds of the route cache, in entries and in bytes of a path. The cache exists
// because matching by http.ServeMux allocates, and most calls are for paths that were
// matched before.
const (
	maxCachedRoutes  = 1024
	maxCachedPathLen = 128
)

func newRouteTable(routes []declaration.Route) *routeTable {
	t := &routeTable{
		mux:    http.NewServeMux(),
		routes: make(map[string]declaration.Route, len(routes)),
		cache:  make(map[routeKey]declaration.Route),
	}
	for _, r := range routes {
		pattern := r.Method + " " + r.Pattern
		t.routes[pattern] = r
		t.mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	}
	return t
}

// match returns the route of a call, from the cache if possible.
func (t *routeTable) match(method, path string) (declaration.Route, bool) {
	if r, ok := t.cache[routeKey{method, path}]; ok {
		return r, true
	}
	r, ok := t.lookUp(method, path)
	if ok && len(path) <= maxCachedPathLen {
		if len(t.cache) == maxCachedRoutes {
			clear(t.cache)
		}
		// Clones, since method and path can be parts of a longer request line.
		t.cache[routeKey{strings.Clone(method), strings.Clone(path)}] = r
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

// edgeKey identifies an edge of the call graph. It has an empty from for calls from
// callers and other nodes, which have no declared edge.
type edgeKey struct{ from, to mesh.Service }

// edge is an edge of the call graph with its retry ratio at this node.
type edge struct {
	index          int // identifies the edge in retry.Pool; 0 for undeclared edges
	callsPerParent int
	idempotent     bool
	timeout        time.Duration
	ratio          retry.Ratio
}

// setEdges replaces the call graph. It keeps the indexes and ratios of edges that
// remain, since running calls refer to them.
func (n *Node) setEdges(edges []declaration.Edge) {
	old := n.edges
	n.edges = make(map[edgeKey]*edge, len(edges))
	n.downstreamServices = make(map[mesh.Service][]mesh.Service)
	for key, e := range old {
		if key.from == "" {
			n.edges[key] = e
		}
	}
	for _, e := range edges {
		key := edgeKey{e.From, e.To}
		current := old[key]
		if current == nil {
			n.lastEdgeIndex++
			current = &edge{index: n.lastEdgeIndex}
		}
		current.callsPerParent = e.CallsPerParent
		current.idempotent = e.Idempotent
		current.timeout = e.Timeout
		n.edges[key] = current
		n.downstreamServices[e.From] = append(n.downstreamServices[e.From], e.To)
	}
}

// downstreamOf returns the services that a service calls directly.
func (n *Node) downstreamOf(s mesh.Service) []mesh.Service { return n.downstreamServices[s] }

// ratioOf returns the retry ratio of calls to a service from callers or other
// nodes.
func (n *Node) ratioOf(s mesh.Service) *retry.Ratio {
	key := edgeKey{to: s}
	e := n.edges[key]
	if e == nil {
		e = &edge{}
		n.edges[key] = e
	}
	return &e.ratio
}
