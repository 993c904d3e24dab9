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

// reservedPrefix is the path prefix of the nodes' own endpoints for callers.
const reservedPrefix = "/.cardamomhatch/"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkPattern returns why a route's method or pattern is refused, or "".
func checkPattern(method, pattern string) string {
	if !slices.Contains(methods, method) {
		return fmt.Sprintf("method %q is none of %s", method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(pattern, "/") {
		return fmt.Sprintf("pattern %q does not start with /", pattern)
	}
	if strings.ContainsFunc(pattern, notInPattern) {
		return fmt.Sprintf("pattern %q contains a space, a bracket or a character that is not printable ASCII", pattern)
	}
	if strings.HasPrefix(pattern+"/", reservedPrefix) {
		return fmt.Sprintf("pattern %q lies under the reserved prefix %s", pattern, reservedPrefix)
	}
	return newMatcher().add(method, pattern)
}

// notInPattern reports characters that a section name cannot carry.
func notInPattern(r rune) bool {
	return r <= ' ' || r >= 0x7f || r == '[' || r == ']'
}

// matcher detects conflicts between route patterns by the rules of net/http.
type matcher struct{ mux *http.ServeMux }

func newMatcher() *matcher { return &matcher{mux: http.NewServeMux()} }

// add registers a pattern and returns why that is impossible, or "". The mux
// reports a malformed or conflicting pattern only by a panic, and is unchanged
// then.
func (m *matcher) add(method, pattern string) (reason string) {
	defer func() {
		if r := recover(); r != nil {
			reason = muxReason(fmt.Sprint(r))
		}
	}()
	m.mux.Handle(method+" "+pattern, http.NotFoundHandler())
	return ""
}

var registration = regexp.MustCompile(` \(registered at [^)]*\)`)

// muxReason shortens the message of the mux. It contains source positions of
// registrations, which differ between builds and have no meaning here.
func muxReason(message string) string {
	message, _, _ = strings.Cut(message, "\n")
	message = registration.ReplaceAllString(message, "")
	return strings.TrimSuffix(message, ":")
}

// checkRoutes checks added routes against all others. The matcher is kept
// between changes and rebuilt in key order after a deletion, so that the result
// does not depend on which changes a process has seen since it started.
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

// walker finds cycles and the longest chain by depth-first search.
type walker struct {
	graph    map[mesh.Service][]mesh.Service
	height   map[mesh.Service]int // services on the longest chain from here down
	path     []mesh.Service
	open     map[mesh.Service]bool
	problems inifile.Problems
}

// checkGraph refuses cycles and chains of more than MaxDepth services.
func checkGraph(graph map[mesh.Service][]mesh.Service) inifile.Problems {
	w := walker{graph: graph, height: make(map[mesh.Service]int, len(graph)), open: map[mesh.Service]bool{}}
	roots := slices.Sorted(maps.Keys(graph))
	for _, svc := range roots {
		w.visit(svc)
	}
	if len(w.problems) > 0 {
		return w.problems
	}
	for _, svc := range roots {
		if w.height[svc] > MaxDepth {
			w.refuseDepth(svc)
			break
		}
	}
	return w.problems
}

func (w *walker) visit(svc mesh.Service) int {
	if h, done := w.height[svc]; done {
		return h
	}
	if w.open[svc] {
		w.refuseCycle(svc)
		return 0
	}
	w.open[svc] = true
	w.path = append(w.path, svc)
	height := 0
	for _, to := range w.graph[svc] {
		height = max(height, w.visit(to))
	}
	w.path = w.path[:len(w.path)-1]
	delete(w.open, svc)
	w.height[svc] = height + 1
	return height + 1
}

// refuseCycle names the services from the first occurrence of svc on the path.
// The section is the edge that closes the cycle.
func (w *walker) refuseCycle(svc mesh.Service) {
	i := slices.Index(w.path, svc)
	cycle := append(slices.Clone(w.path[i:]), svc)
	closing := Edge{From: cycle[len(cycle)-2], To: svc}
	w.problems = append(w.problems, inifile.Problem{Section: closing.Key(), Reason: "cycle in the call graph: " + chain(cycle)})
}

func (w *walker) refuseDepth(svc mesh.Service) {
	longest := []mesh.Service{svc}
	for len(w.graph[svc]) > 0 {
		svc = slices.MaxFunc(w.graph[svc], func(a, b mesh.Service) int { return w.height[a] - w.height[b] })
		longest = append(longest, svc)
	}
	edge := Edge{From: longest[MaxDepth-1], To: longest[MaxDepth]}
	reason := fmt.Sprintf("call graph is %d services deep, more than %d: %s", len(longest), MaxDepth, chain(longest))
	w.problems = append(w.problems, inifile.Problem{Section: edge.Key(), Reason: reason})
}

func chain(services []mesh.Service) string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = string(s)
	}
	return strings.Join(names, " -> ")
}
