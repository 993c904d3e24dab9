package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// File is the text of one declaration file. Problems report its Name.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// parser collects the objects of all files and the file of each object.
type parser struct {
	problems inifile.Problems
	changes  []Change
	origin   map[string]string // object key to file name
}

// Parse reads one mesh from all files together. The error is an inifile.Problems
// that lists every problem with its file, section, key and reason.
func Parse(files ...File) (*Mesh, error) {
	p := parser{origin: map[string]string{}}
	for _, f := range files {
		for _, section := range inifile.Load(f.Name, f.Data, &p.problems) {
			p.readSection(section)
		}
	}
	set := NewSet()
	err := set.Apply(p.changes)
	var found inifile.Problems
	if errors.As(err, &found) {
		p.problems = mergeProblems(p.problems, p.addFileNames(found))
	}
	// Apply accepts a mesh without any objects.
	if _, ok := p.origin[HeaderKey]; !ok && len(p.problems) == 0 {
		p.problems = append(p.problems, inifile.Problem{Section: HeaderKey, Reason: "section is missing"})
	}
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return set.Mesh(), nil
}

// addFileNames sets the file of each problem to the one that declares its object.
func (p *parser) addFileNames(problems inifile.Problems) inifile.Problems {
	for i := range problems {
		problems[i].File = p.origin[problems[i].Section]
	}
	return problems
}

func (p *parser) readSection(s *inifile.Section) {
	words := strings.Split(s.Name, " ")
	wordCount, known := map[string]int{"mesh": 1, "service": 2, "route": 3, "edge": 3, "workspace": 2}[words[0]]
	if !known {
		s.AddProblem("", "unknown section")
		return
	}
	if len(words) != wordCount {
		s.AddProblem("", fmt.Sprintf("section has %d words instead of %d", len(words), wordCount))
		return
	}
	if firstFile, duplicate := p.origin[s.Name]; duplicate {
		s.AddProblem("", "section is already declared in "+firstFile)
		return
	}
	object := readObject(s, words)
	s.ReportUnknownKeys()
	p.origin[s.Name] = s.File
	p.changes = append(p.changes, Change{Key: s.Name, Set: &object})
}

func readObject(s *inifile.Section, words []string) Object {
	switch words[0] {
	case "mesh":
		return Object{Header: &Header{Name: s.Text("name")}}
	case "service":
		return Object{Service: &Service{Name: mesh.Service(words[1]), MaxConcurrency: s.IntOr("max_concurrency", 0)}}
	case "route":
		return Object{Route: readRoute(s, words[1], words[2])}
	case "edge":
		return Object{Edge: &Edge{
			From:           mesh.Service(words[1]),
			To:             mesh.Service(words[2]),
			CallsPerParent: s.IntOr("calls_per_parent", 1),
			Idempotent:     s.BoolOr("idempotent", false),
			Timeout:        s.DurationOr("timeout", 0),
		}}
	}
	return Object{Workspace: readWorkspace(s, words[1])}
}

func readRoute(s *inifile.Section, method, pattern string) *Route {
	r := &Route{
		Method:     method,
		Pattern:    pattern,
		Service:    mesh.Service(s.Text("service")),
		Idempotent: s.BoolOr("idempotent", false),
	}
	if text := s.Text("class"); text != "" {
		class, err := mesh.ParseClass(text)
		if err != nil {
			s.AddProblem("class", err.Error())
		}
		r.Class = class
	}
	if !s.Has("timeout") {
		s.AddProblem("timeout", "key is missing")
	}
	r.Timeout = s.DurationOr("timeout", 0)
	return r
}

func readWorkspace(s *inifile.Section, name string) *Workspace {
	for _, key := range []string{"rate_per_second", "burst"} {
		if !s.Has(key) {
			s.AddProblem(key, "key is missing")
		}
	}
	return &Workspace{
		Name:          mesh.Workspace(name),
		RatePerSecond: s.FloatOr("rate_per_second", 0),
		Burst:         s.FloatOr("burst", 0),
		Weight:        s.FloatOr("weight", 1),
	}
}

// Format returns the canonical text of a mesh: objects sorted by kind and key,
// with every key present. Parse of the text returns an equal mesh.
func Format(m *Mesh) []byte {
	var b bytes.Buffer
	for i, o := range m.Objects() {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", o.Key())
		for _, f := range o.Fields() {
			fmt.Fprintf(&b, "%s = %s\n", f.Name, f.Value)
		}
	}
	return b.Bytes()
}

// Check reports every problem of a mesh that was not created by this package.
func (m *Mesh) Check() error {
	var changes []Change
	for _, o := range m.Objects() {
		changes = append(changes, Change{Key: o.Key(), Set: &o})
	}
	return NewSet().Apply(changes)
}

// Objects returns all objects of the mesh in canonical order.
func (m *Mesh) Objects() []Object {
	out := make([]Object, 0, 1+len(m.Services)+len(m.Routes)+len(m.Edges)+len(m.Workspaces))
	if m.Name != "" {
		out = append(out, Object{Header: &Header{Name: m.Name}})
	}
	for _, name := range slices.Sorted(maps.Keys(m.Services)) {
		v := m.Services[name]
		out = append(out, Object{Service: &v})
	}
	for i := range m.Routes {
		out = append(out, Object{Route: &m.Routes[i]})
	}
	for i := range m.Edges {
		out = append(out, Object{Edge: &m.Edges[i]})
	}
	for _, name := range slices.Sorted(maps.Keys(m.Workspaces)) {
		v := m.Workspaces[name]
		out = append(out, Object{Workspace: &v})
	}
	return out
}

// Field is one key of an object's section with its canonical value.
type Field struct{ Name, Value string }

// Fields returns the fields of the object's section, always in the same order.
func (o Object) Fields() []Field {
	formatFloat := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	switch {
	case o.Header != nil:
		return []Field{{"name", o.Header.Name}}
	case o.Service != nil:
		return []Field{{"max_concurrency", strconv.Itoa(o.Service.MaxConcurrency)}}
	case o.Route != nil:
		return []Field{
			{"service", string(o.Route.Service)},
			{"idempotent", strconv.FormatBool(o.Route.Idempotent)},
			{"class", o.Route.Class.String()},
			{"timeout", o.Route.Timeout.String()},
		}
	case o.Edge != nil:
		return []Field{
			{"calls_per_parent", strconv.Itoa(o.Edge.CallsPerParent)},
			{"idempotent", strconv.FormatBool(o.Edge.Idempotent)},
			{"timeout", o.Edge.Timeout.String()},
		}
	case o.Workspace != nil:
		return []Field{
			{"rate_per_second", formatFloat(o.Workspace.RatePerSecond)},
			{"burst", formatFloat(o.Workspace.Burst)},
			{"weight", formatFloat(o.Workspace.Weight)},
		}
	}
	return nil
}
