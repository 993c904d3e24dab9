package examples

import (
	"testing"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// Guards against an example declaration that is invalid, whose services do not
// match the upstreams, or that has no critical non-idempotent route.
func TestDeployments(t *testing.T) {
	for _, name := range Names() {
		d, err := Get(name)
		if err != nil {
			t.Fatal(err)
		}
		m, err := declaration.Parse(d.Declaration)
		if err != nil {
			t.Fatalf("%s:\n%v", name, err)
		}
		if m.Name != name || len(m.Workspaces) != 8 || len(m.Services) != len(d.Upstreams) || len(d.DataCentres) != 3 {
			t.Errorf("%s: mesh %q has %d workspaces and %d services, want 8 workspaces, one service per group of upstreams and 3 data centres", name, m.Name, len(m.Workspaces), len(m.Services))
		}
		for _, u := range d.Upstreams {
			if s, ok := m.Services[u.Service]; !ok || s.MaxConcurrency != u.Slots {
				t.Errorf("%s: service %s has %d slots per upstream, declared as %+v", name, u.Service, u.Slots, s)
			}
		}
		critical := 0
		for _, r := range m.Routes {
			if r.Class == mesh.ClassCritical && !r.Idempotent {
				critical++
			}
		}
		if critical == 0 {
			t.Errorf("%s: no route is critical and not idempotent, want at least one", name)
		}
	}
	if _, err := Get("atlantis"); err == nil {
		t.Error("Get of the unknown deployment atlantis returned no error")
	}
}
