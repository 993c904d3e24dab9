package declaration

import (
	"reflect"
	"strings"
	"testing"

	"cardamomhatch/internal/mesh"
	"github.com/cockroachdb/datadriven"
)

// Guards against an invalid declaration that is accepted, a problem reported
// without its file, section, key or reason, and problems left out after the first.
// testdata/parse holds the cases.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		var files []File
		for i, part := range strings.Split(d.Input, "\n---\n") {
			files = append(files, File{Name: string(rune('a'+i)) + ".ini", Data: []byte(part)})
		}
		m, err := Parse(files...)
		if err != nil {
			return err.Error() + "\n"
		}
		return string(Format(m))
	})
}

// Guards against a diff that does not show every change.
func TestDiff(t *testing.T) {
	datadriven.RunTest(t, "testdata/diff", func(t *testing.T, d *datadriven.TestData) string {
		parts := strings.Split(d.Input, "\n---\n")
		var meshes []*Mesh
		for _, part := range parts {
			m, err := Parse(File{Name: "a.ini", Data: []byte(part)})
			if err != nil {
				t.Fatal(err)
			}
			meshes = append(meshes, m)
		}
		var b strings.Builder
		for _, difference := range Diff(meshes[0], meshes[1]) {
			b.WriteString(difference.String())
		}
		return b.String()
	})
}

func service(name mesh.Service) Change {
	s := Service{Name: name}
	return Change{Key: s.Key(), Set: &Object{Service: &s}}
}

func edge(from, to mesh.Service) Change {
	e := Edge{From: from, To: to, CallsPerParent: 1}
	return Change{Key: e.Key(), Set: &Object{Edge: &e}}
}

// Guards against a rejected change that is partly applied, and against a later
// change that modifies a mesh returned earlier.
func TestApplyIsAtomic(t *testing.T) {
	set := NewSet()
	first := []Change{{Key: HeaderKey, Set: &Object{Header: &Header{Name: "m"}}}, service("a"), service("b"), edge("a", "b")}
	if err := set.Apply(first); err != nil {
		t.Fatal(err)
	}
	before := set.Mesh()
	textBefore := string(Format(before))
	rejected := map[string][]Change{
		"cycle":      {service("c"), edge("b", "c"), edge("c", "a")},
		"still used": {service("c"), {Key: "service b"}},
		"twice":      {service("c"), service("c")},
		"undeclared": {service("c"), edge("c", "d")},
		"wrong key":  {service("c"), {Key: "service d", Set: service("e").Set}},
	}
	for name, changes := range rejected {
		if err := set.Apply(changes); err == nil {
			t.Fatalf("%s: change was accepted", name)
		}
		if set.Mesh() != before {
			t.Fatalf("%s: rejected change modified the set", name)
		}
	}
	if err := set.Apply([]Change{{Key: "edge a b"}, {Key: "service b"}}); err != nil {
		t.Fatal(err)
	}
	if got := string(Format(before)); got != textBefore {
		t.Fatalf("mesh returned earlier changed to\n%s", got)
	}
	if got := set.Mesh(); len(got.Services) != 1 || len(got.Edges) != 0 {
		t.Fatalf("mesh after deletion: %+v, want one service and no edge", got)
	}
}

// Guards against a parser that panics, and against a mesh whose canonical text is
// parsed to a different mesh.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[mesh]\nname = m\n[service a]\nmax_concurrency = 4\n[service b]\n" +
		"[route GET /a/{id}]\nservice = a\nclass = high\ntimeout = 1s\n[edge a b]\ncalls_per_parent = 2\n" +
		"[workspace w]\nrate_per_second = 1.5\nburst = 10\n"))
	f.Add([]byte("[mesh]\nname = `m`\n[workspace w]\nrate_per_second = 1e-300\nburst = -0\nweight = 0x1p-4\n"))
	f.Add([]byte("[route GET /{x...}]\nservice=\"a\nclass=\"\"\"x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(File{Name: "f.ini", Data: data})
		if err != nil {
			return
		}
		text := Format(m)
		parsed, err := Parse(File{Name: "g.ini", Data: text})
		if err != nil {
			t.Fatalf("canonical form is rejected: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(m, parsed) {
			t.Fatalf("canonical form is parsed to a different mesh:\n%s\n%s", text, Format(parsed))
		}
	})
}

// Guards against a file without a name whose [mesh] section is reported as missing.
func TestParseUnnamedFile(t *testing.T) {
	if m, err := Parse(File{Data: []byte("[mesh]\nname = m\n")}); err != nil || m.Name != "m" {
		t.Fatalf("mesh %+v, error %v, want mesh m without error", m, err)
	}
}
