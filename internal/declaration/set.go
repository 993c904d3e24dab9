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

// Set is a mesh under change. Each change is checked against the objects it can
// affect instead of the whole mesh, so that its cost does not grow with the
// number of services. A Set is not safe for concurrent use.
type Set struct {
	header     *Header
	services   map[mesh.Service]Service
	routes     map[string]Route
	edges      map[string]Edge
	workspaces map[mesh.Workspace]Workspace

	users   map[mesh.Service]int // routes and edges that name a service
	graph   map[mesh.Service][]mesh.Service
	matcher *matcher // nil if it has to be rebuilt from routes

	current *Mesh // the last mesh handed out
	stale   stale // what of current is out of date
}

// stale tells which parts of a mesh have to be built again.
type stale struct{ header, services, routes, edges, workspaces bool }

// NewSet returns a set without objects.
func NewSet() *Set {
	return &Set{
		services:   map[mesh.Service]Service{},
		routes:     map[string]Route{},
		edges:      map[string]Edge{},
		workspaces: map[mesh.Workspace]Workspace{},
		users:      map[mesh.Service]int{},
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

// Apply makes all changes, or none if the result would not be a valid mesh. The
// error lists every problem; its sections are the keys of the objects.
func (s *Set) Apply(changes []Change) error {
	if problems := checkKeys(changes); len(problems) > 0 {
		return problems
	}
	before := s.stale
	undo := make([]Change, 0, len(changes))
	for i := range changes {
		undo = append(undo, s.swap(changes[i]))
	}
	problems := checkFields(changes)
	problems = merge(problems, s.checkResult(changes, undo))
	if len(problems) == 0 {
		return nil
	}
	for i := len(undo) - 1; i >= 0; i-- {
		s.swap(undo[i])
	}
	s.stale = before
	s.matcher = nil
	return problems
}

// checkKeys refuses objects under another object's key and objects changed twice.
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

// merge appends the problems of later checks, but for keys that an earlier check
// has refused: these would be reported twice with different words.
func merge(earlier, later inifile.Problems) inifile.Problems {
	type place struct{ section, key string }
	refused := make(map[place]bool, len(earlier))
	for _, p := range earlier {
		refused[place{p.Section, p.Key}] = true
	}
	for _, p := range later {
		if !refused[place{p.Section, p.Key}] {
			earlier = append(earlier, p)
		}
	}
	return earlier
}

// swap makes a change without any check and returns the change that reverts it.
func (s *Set) swap(c Change) Change {
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
		s.use(o.Route.Service, -1)
		s.stale.routes = true
	case o.Edge != nil:
		delete(s.edges, o.Edge.Key())
		s.use(o.Edge.From, -1)
		s.use(o.Edge.To, -1)
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
		s.use(o.Route.Service, 1)
		s.stale.routes = true
	case o.Edge != nil:
		s.edges[o.Edge.Key()] = *o.Edge
		s.use(o.Edge.From, 1)
		s.use(o.Edge.To, 1)
		s.connect(o.Edge.From, o.Edge.To)
		s.stale.edges = true
	case o.Workspace != nil:
		s.workspaces[o.Workspace.Name] = *o.Workspace
		s.stale.workspaces = true
	}
}

func (s *Set) use(svc mesh.Service, n int) {
	s.users[svc] += n
	if s.users[svc] == 0 {
		delete(s.users, svc)
	}
}

// connect keeps the neighbours sorted, so that every node names the same cycle
// whatever changes it has seen.
func (s *Set) connect(from, to mesh.Service) {
	i, _ := slices.BinarySearch(s.graph[from], to)
	s.graph[from] = slices.Insert(s.graph[from], i, to)
}

func (s *Set) disconnect(from, to mesh.Service) {
	rest := s.graph[from]
	i := slices.Index(rest, to)
	rest = slices.Delete(rest, i, i+1)
	if len(rest) == 0 {
		delete(s.graph, from)
		return
	}
	s.graph[from] = rest
}

// checkResult checks what the changes can have made invalid. undo holds the
// objects from before.
func (s *Set) checkResult(changes, undo []Change) inifile.Problems {
	var problems inifile.Problems
	var addedEdges, addedRoutes []string
	for i, c := range changes {
		added := c.Set != nil && undo[i].Set == nil
		switch {
		case c.Set == nil && undo[i].Set == nil:
			problems = append(problems, inifile.Problem{Section: c.Key, Reason: "object to delete does not exist"})
		case c.Set == nil && undo[i].Set.Route != nil:
			s.matcher = nil
		case c.Set == nil:
			s.checkUnused(undo[i].Set, &problems)
		case c.Set.Route != nil:
			s.checkDeclared(c.Key, "service", c.Set.Route.Service, &problems)
			if added {
				addedRoutes = append(addedRoutes, c.Key)
			}
		case c.Set.Edge != nil:
			s.checkDeclared(c.Key, "", c.Set.Edge.From, &problems)
			s.checkDeclared(c.Key, "", c.Set.Edge.To, &problems)
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

func (s *Set) checkDeclared(key, field string, svc mesh.Service, problems *inifile.Problems) {
	if _, ok := s.services[svc]; ok {
		return
	}
	reason := fmt.Sprintf("service %q is not declared", svc)
	*problems = append(*problems, inifile.Problem{Section: key, Key: field, Reason: reason})
}

// checkUnused refuses to delete a service that routes or edges name.
func (s *Set) checkUnused(old *Object, problems *inifile.Problems) {
	if old.Service == nil {
		return
	}
	if _, again := s.services[old.Service.Name]; again {
		return
	}
	if n := s.users[old.Service.Name]; n > 0 {
		reason := fmt.Sprintf("service is still named by %d routes and edges", n)
		*problems = append(*problems, inifile.Problem{Section: old.Service.Key(), Reason: reason})
	}
}

// Mesh returns the present objects as an immutable mesh. Parts that no change
// has touched are shared with the mesh returned before.
func (s *Set) Mesh() *Mesh {
	if s.stale == (stale{}) {
		return s.current
	}
	next := *s.current
	if s.stale.header {
		next.Name = s.name()
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
	s.stale = stale{}
	s.current = &next
	return s.current
}

func (s *Set) name() string {
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
