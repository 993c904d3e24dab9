package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// Change sets one object of a mesh, or deletes it if Set is nil.
type Change struct {
	Key string  `json:"object"`
	Set *Object `json:"set,omitempty"`
}

// Set is a mutable mesh. Each change is checked against the objects it can affect
// instead of the whole mesh, so that its cost does not grow with the number of
// services. There are two exceptions: an added edge checks the whole call graph, and
// the first route added after a route was deleted or a change was rejected rebuilds
// the matcher from all routes. A Set is not safe for concurrent use.
type Set struct {
	header     *Header
	services   map[mesh.Service]Service
	routes     map[string]Route
	edges      map[string]Edge
	workspaces map[mesh.Workspace]Workspace

	refs    map[mesh.Service]int            // number of references from routes and edges
	graph   map[mesh.Service][]mesh.Service // callees of each service, sorted
	matcher *matcher                        // holds routes; nil if it must be rebuilt from them

	current *Mesh      // the mesh returned last
	stale   staleParts // parts of current that are out of date
}

// staleParts holds which parts of a mesh must be rebuilt.
type staleParts struct{ header, services, routes, edges, workspaces bool }

// NewSet returns a set without objects.
func NewSet() *Set {
	return &Set{
		services:   map[mesh.Service]Service{},
		routes:     map[string]Route{},
		edges:      map[string]Edge{},
		workspaces: map[mesh.Workspace]Workspace{},
		refs:       map[mesh.Service]int{},
		graph:      map[mesh.Service][]mesh.Service{},
		current: &Mesh{
			Services:   map[mesh.Service]Service{},
			Workspaces: map[mesh.Workspace]Workspace{},
		},
	}
}

// Get returns the object with the key.
func (s *Set) Get(key string) (Object, bool) {
	kind, name, _ := strings.Cut(key, " ")
	switch kind {
	case HeaderKey:
		return Object{Header: s.header}, s.header != nil && name == ""
	case "service":
		v, ok := s.services[mesh.Service(name)]
		return Object{Service: &v}, ok
	case "route":
		v, ok := s.routes[key]
		return Object{Route: &v}, ok
	case "edge":
		v, ok := s.edges[key]
		return Object{Edge: &v}, ok
	case "workspace":
		v, ok := s.workspaces[mesh.Workspace(name)]
		return Object{Workspace: &v}, ok
	}
	return Object{}, false
}

// Workspace returns a declared workspace.
func (s *Set) Workspace(name mesh.Workspace) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Apply makes all changes, or none if the resulting mesh would be invalid. The
// error is an inifile.Problems that lists every problem with the key of its object
// as the section.
func (s *Set) Apply(changes []Change) error {
	if problems := checkKeys(changes); len(problems) > 0 {
		return problems
	}
	staleBefore := s.stale
	undo := make([]Change, 0, len(changes))
	for i := range changes {
		undo = append(undo, s.applyUnchecked(changes[i]))
	}
	problems := checkFields(changes)
	problems = mergeProblems(problems, s.checkResult(changes, undo))
	if len(problems) == 0 {
		return nil
	}
	for i := len(undo) - 1; i >= 0; i-- {
		s.applyUnchecked(undo[i])
	}
	s.stale = staleBefore
	s.matcher = nil
	return problems
}

// checkKeys reports objects under another object's key and objects changed twice.
// If there are any, Apply makes no further checks.
func checkKeys(changes []Change) inifile.Problems {
	var problems inifile.Problems
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		if c.Set != nil && (c.Set.Key() != c.Key || c.Key == "") {
			problems = append(problems, inifile.Problem{Section: c.Key, Reason: "object does not match its key"})
		}
		if seen[c.Key] {
			problems = append(problems, inifile.Problem{Section: c.Key, Reason: "object is changed twice"})
		}
		seen[c.Key] = true
	}
	return problems
}

// checkFields reports the problems of each changed object that do not depend on other
// objects.
func checkFields(changes []Change) inifile.Problems {
	var problems inifile.Problems
	for _, c := range changes {
		if c.Set == nil {
			continue
		}
		for _, p := range c.Set.check() {
			problems = append(problems, inifile.Problem{Section: c.Key, Key: p.field, Reason: p.reason})
		}
	}
	return problems
}

// mergeProblems appends the problems of later checks, except for keys that already
// have a problem: these would be reported twice with different reasons.
func mergeProblems(earlier, later inifile.Problems) inifile.Problems {
	type location struct{ section, key string }
	reported := make(map[location]bool, len(earlier))
	for _, p := range earlier {
		reported[location{p.Section, p.Key}] = true
	}
	for _, p := range later {
		if !reported[location{p.Section, p.Key}] {
			earlier = append(earlier, p)
		}
	}
	return earlier
}

// applyUnchecked makes a change without any check and returns the change that
// reverts it.
func (s *Set) applyUnchecked(c Change) Change {
	undo := Change{Key: c.Key}
	old, existed := s.Get(c.Key)
	if existed {
		undo.Set = &old
		s.remove(old)
	}
	if c.Set != nil {
		s.insert(*c.Set)
	}
	return undo
}

func (s *Set) remove(o Object) {
	switch {
	case o.Header != nil:
		s.header = nil
		s.stale.header = true
	case o.Service != nil:
		delete(s.services, o.Service.Name)
		s.stale.services = true
	case o.Route != nil:
		delete(s.routes, o.Route.Key())
		s.addRefs(o.Route.Service, -1)
		s.stale.routes = true
	case o.Edge != nil:
		delete(s.edges, o.Edge.Key())
		s.addRefs(o.Edge.From, -1)
		s.addRefs(o.Edge.To, -1)
		s.disconnect(o.Edge.From, o.Edge.To)
		s.stale.edges = true
	case o.Workspace != nil:
		delete(s.workspaces, o.Workspace.Name)
		s.stale.workspaces = true
	}
}

func (s *Set) insert(o Object) {
	switch {
	case o.Header != nil:
		h := *o.Header
		s.header = &h
		s.stale.header = true
	case o.Service != nil:
		s.services[o.Service.Name] = *o.Service
		s.stale.services = true
	case o.Route != nil:
		s.routes[o.Route.Key()] = *o.Route
		s.addRefs(o.Route.Service, 1)
		s.stale.routes = true
	case o.Edge != nil:
		s.edges[o.Edge.Key()] = *o.Edge
		s.addRefs(o.Edge.From, 1)
		s.addRefs(o.Edge.To, 1)
		s.connect(o.Edge.From, o.Edge.To)
		s.stale.edges = true
	case o.Workspace != nil:
		s.workspaces[o.Workspace.Name] = *o.Workspace
		s.stale.workspaces = true
	}
}

// addRefs adds n to the reference count of a service.
func (s *Set) addRefs(svc mesh.Service, n int) {
	s.refs[svc] += n
	if s.refs[svc] == 0 {
		delete(s.refs, svc)
	}
}

// connect adds an edge to the graph. It keeps the callees sorted, so that every
// node reports the same cycle whichever changes it has applied.
func (s *Set) connect(from, to mesh.Service) {
	i, _ := slices.BinarySearch(s.graph[from], to)
	s.graph[from] = slices.Insert(s.graph[from], i, to)
}

func (s *Set) disconnect(from, to mesh.Service) {
	callees := s.graph[from]
	i := slices.Index(callees, to)
	callees = slices.Delete(callees, i, i+1)
	if len(callees) == 0 {
		delete(s.graph, from)
		return
	}
	s.graph[from] = callees
}

// checkResult checks everything that the changes can have made invalid. undo holds
// the previous objects.
func (s *Set) checkResult(changes, undo []Change) inifile.Problems {
	var problems inifile.Problems
	var addedEdges, addedRoutes []string
	for i, c := range changes {
		added := c.Set != nil && undo[i].Set == nil
		switch {
		case c.Set == nil && undo[i].Set == nil:
			problems = append(problems, inifile.Problem{Section: c.Key, Reason: "object to delete does not exist"})
		case c.Set == nil && undo[i].Set.Route != nil:
			s.matcher = nil // http.ServeMux cannot remove a pattern
		case c.Set == nil:
			s.checkServiceUnused(undo[i].Set, &problems)
		case c.Set.Route != nil:
			s.checkServiceDeclared(c.Key, "service", c.Set.Route.Service, &problems)
			if added {
				addedRoutes = append(addedRoutes, c.Key)
			}
		case c.Set.Edge != nil:
			s.checkServiceDeclared(c.Key, "", c.Set.Edge.From, &problems)
			s.checkServiceDeclared(c.Key, "", c.Set.Edge.To, &problems)
			if added {
				addedEdges = append(addedEdges, c.Key)
			}
		}
	}
	if s.header == nil && (len(s.services) > 0 || len(s.workspaces) > 0) {
		problems = append(problems, inifile.Problem{Section: HeaderKey, Reason: "section is missing"})
	}
	if len(addedEdges) > 0 {
		problems = append(problems, checkGraph(s.graph)...)
	}
	return append(problems, s.checkRoutes(addedRoutes)...)
}

// checkServiceDeclared reports a reference to an undeclared service as a problem of
// the object with the key, or of one of its fields if field is not empty.
func (s *Set) checkServiceDeclared(key, field string, svc mesh.Service, problems *inifile.Problems) {
	if _, ok := s.services[svc]; ok {
		return
	}
	reason := fmt.Sprintf("service %q is not declared", svc)
	*problems = append(*problems, inifile.Problem{Section: key, Key: field, Reason: reason})
}

// checkServiceUnused reports a deleted service that routes or edges still refer to.
func (s *Set) checkServiceUnused(old *Object, problems *inifile.Problems) {
	if old.Service == nil {
		return
	}
	if _, declared := s.services[old.Service.Name]; declared {
		return
	}
	if n := s.refs[old.Service.Name]; n > 0 {
		reason := fmt.Sprintf("service is still named by %d routes and edges", n)
		*problems = append(*problems, inifile.Problem{Section: old.Service.Key(), Reason: reason})
	}
}

// Mesh returns the current objects as an immutable mesh. Parts that have not
// changed since are shared with the mesh returned before.
func (s *Set) Mesh() *Mesh {
	if s.stale == (staleParts{}) {
		return s.current
	}
	next := *s.current
	if s.stale.header {
		next.Name = s.meshName()
	}
	if s.stale.services {
		next.Services = maps.Clone(s.services)
	}
	if s.stale.routes {
		next.Routes = sortedValues(s.routes)
	}
	if s.stale.edges {
		next.Edges = sortedValues(s.edges)
	}
	if s.stale.workspaces {
		next.Workspaces = maps.Clone(s.workspaces)
	}
	s.stale = staleParts{}
	s.current = &next
	return s.current
}

func (s *Set) meshName() string {
	if s.header == nil {
		return ""
	}
	return s.header.Name
}

func sortedValues[V any](m map[string]V) []V {
	if len(m) == 0 {
		return nil
	}
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}
