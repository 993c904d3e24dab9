package declaration

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// reservedPrefix is the path prefix of the endpoints that nodes themselves serve to
// callers.
const reservedPrefix = "/.cardamomhatch/"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkPattern returns why a route's method or pattern is invalid, or "".
func checkPattern(method, pattern string) string {
	if !slices.Contains(methods, method) {
		return fmt.Sprintf("method %q is none of %s", method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(pattern, "/") {
		return fmt.Sprintf("pattern %q does not start with /", pattern)
	}
	if strings.ContainsFunc(pattern, forbiddenInPattern) {
		return fmt.Sprintf("pattern %q contains a space, a bracket or a character that is not printable ASCII", pattern)
	}
	if strings.HasPrefix(pattern+"/", reservedPrefix) {
		return fmt.Sprintf("pattern %q lies under the reserved prefix %s", pattern, reservedPrefix)
	}
	return newMatcher().add(method, pattern)
}

// forbiddenInPattern reports whether r is forbidden in patterns. A pattern is one
// word of a section name, which cannot contain such characters.
func forbiddenInPattern(r rune) bool {
	return r <= ' ' || r >= 0x7f || r == '[' || r == ']'
}

// matcher detects conflicts between route patterns under the rules of
// http.ServeMux.
type matcher struct{ mux *http.ServeMux }

func newMatcher() *matcher { return &matcher{mux: http.NewServeMux()} }

// add registers a pattern and returns why it cannot be registered, or "". The mux
// reports a malformed or conflicting pattern only by a panic, which leaves the mux
// unchanged.
func (m *matcher) add(method, pattern string) (reason string) {
	defer func() {
		if r := recover(); r != nil {
			reason = muxReason(fmt.Sprint(r))
		}
	}()
	m.mux.Handle(method+" "+pattern, http.NotFoundHandler())
	return ""
}

var registrationSource = regexp.MustCompile(` \(registered at [^)]*\)`)

// muxReason shortens a panic message of the mux to its first line without the
// source position of the registration, which differs between builds and tells an
// operator nothing.
func muxReason(message string) string {
	message, _, _ = strings.Cut(message, "\n")
	message = registrationSource.ReplaceAllString(message, "")
	return strings.TrimSuffix(message, ":")
}

// checkRoutes checks added routes for conflicts with all other routes. The matcher
// is kept between changes and rebuilt in key order after a deletion or a rejected
// change. The order in which the matcher got the routes does not affect whether a
// route is accepted, only which of several conflicting routes the problem names.
func (s *Set) checkRoutes(added []string) inifile.Problems {
	if len(added) == 0 {
		return nil
	}
	slices.Sort(added)
	if s.matcher == nil {
		s.matcher = newMatcher()
		for _, key := range slices.Sorted(maps.Keys(s.routes)) {
			if _, isNew := slices.BinarySearch(added, key); !isNew {
				s.matcher.add(s.routes[key].Method, s.routes[key].Pattern)
			}
		}
	}
	var problems inifile.Problems
	for _, key := range added {
		if reason := s.matcher.add(s.routes[key].Method, s.routes[key].Pattern); reason != "" {
			problems = append(problems, inifile.Problem{Section: key, Reason: reason})
		}
	}
	return problems
}

// graphSearch finds cycles and the longest chain by depth-first search.
type graphSearch struct {
	graph    map[mesh.Service][]mesh.Service
	height   map[mesh.Service]int // number of services on the longest chain from this one
	path     []mesh.Service
	onPath   map[mesh.Service]bool
	problems inifile.Problems
}

// checkGraph reports cycles. If there are none, it reports one chain of more than
// MaxDepth services; on a cycle, the height of a service is undefined.
func checkGraph(graph map[mesh.Service][]mesh.Service) inifile.Problems {
	g := graphSearch{graph: graph, height: make(map[mesh.Service]int, len(graph)), onPath: map[mesh.Service]bool{}}
	roots := slices.Sorted(maps.Keys(graph))
	for _, svc := range roots {
		g.visit(svc)
	}
	if len(g.problems) > 0 {
		return g.problems
	}
	for _, svc := range roots {
		if g.height[svc] > MaxDepth {
			g.reportDepth(svc)
			break
		}
	}
	return g.problems
}

// visit returns the height of a service. If the service is already on the path, it
// reports a cycle and returns 0.
func (g *graphSearch) visit(svc mesh.Service) int {
	if h, done := g.height[svc]; done {
		return h
	}
	if g.onPath[svc] {
		g.reportCycle(svc)
		return 0
	}
	g.onPath[svc] = true
	g.path = append(g.path, svc)
	height := 0
	for _, to := range g.graph[svc] {
		height = max(height, g.visit(to))
	}
	g.path = g.path[:len(g.path)-1]
	delete(g.onPath, svc)
	g.height[svc] = height + 1
	return height + 1
}

// reportCycle adds a problem that lists the services from the first occurrence of
// svc on the path. The problem's section is the edge that closes the cycle.
func (g *graphSearch) reportCycle(svc mesh.Service) {
	i := slices.Index(g.path, svc)
	cycle := append(slices.Clone(g.path[i:]), svc)
	closing := Edge{From: cycle[len(cycle)-2], To: svc}
	g.problems = append(g.problems, inifile.Problem{Section: closing.Key(), Reason: "cycle in the call graph: " + formatChain(cycle)})
}

// reportDepth adds a problem that lists the longest chain from svc. The problem's
// section is the first edge beyond MaxDepth.
func (g *graphSearch) reportDepth(svc mesh.Service) {
	longest := []mesh.Service{svc}
	for len(g.graph[svc]) > 0 {
		svc = slices.MaxFunc(g.graph[svc], func(a, b mesh.Service) int { return g.height[a] - g.height[b] })
		longest = append(longest, svc)
	}
	edge := Edge{From: longest[MaxDepth-1], To: longest[MaxDepth]}
	reason := fmt.Sprintf("call graph is %d services deep, more than %d: %s", len(longest), MaxDepth, formatChain(longest))
	g.problems = append(g.problems, inifile.Problem{Section: edge.Key(), Reason: reason})
}

func formatChain(services []mesh.Service) string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = string(s)
	}
	return strings.Join(names, " -> ")
}
