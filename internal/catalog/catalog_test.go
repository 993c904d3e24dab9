package catalog

import (
	"testing"

	"cardamomhatch/internal/mesh"
)

func validDeclaration() Declaration {
	service := func(name string, weight float64) WeightedService {
		return WeightedService{Service: mesh.Service(name), Weight: weight}
	}
	return Declaration{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "shop.example", Prefix: "/", Services: []WeightedService{service("web", 1)}},
			{Name: "orders", Host: "shop.example", Prefix: "/orders/", Services: []WeightedService{service("orders", 90), service("web", 10)}},
		},
		Services:   []Service{{Name: "web"}, {Name: "orders"}},
		Workspaces: []Workspace{{Name: "a", Keys: []string{"k1", "k2"}}},
	}
}

// A request must go to the route with the longest prefix on its own host, and a key
// must identify its workspace.
func TestRouteIsTheLongestPrefix(t *testing.T) {
	c, err := New(validDeclaration())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/orders/1", "orders"},
		{"SHOP.example:8080", "/orders/", "orders"},
		{"shop.example", "/orders", "all"},
		{"shop.example", "/x", "all"},
		{"other.example", "/orders/1", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("route of %s%s is %q, want %q", test.host, test.path, got, test.want)
		}
	}
	if w := c.WorkspaceForKey("k2"); w == nil || w.Name != "a" {
		t.Errorf("key k2 belongs to workspace %v, want a", w)
	}
	if w := c.WorkspaceForKey("k3"); w != nil {
		t.Errorf("unknown key k3 belongs to workspace %v, want none", w)
	}
}

// An invalid declaration must be rejected as a whole. Names that cannot be sent in the
// headers between nodes are invalid, too.
func TestInvalidDeclarationIsRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Declaration){
		"prefix without slash": func(d *Declaration) { d.Routes[0].Prefix = "/x" },
		"no service":           func(d *Declaration) { d.Routes[0].Services = nil },
		"negative weight":      func(d *Declaration) { d.Routes[1].Services[0].Weight = -1 },
		"separator in route":   func(d *Declaration) { d.Routes[0].Name = "a;b" },
		"separator in service": func(d *Declaration) { d.Routes[0].Services[0].Service = "a\r\nb" },
		"separator in workspace": func(d *Declaration) {
			d.Workspaces[0].Name = "a;b"
		},
	} {
		d := validDeclaration()
		invalidate(&d)
		if _, err := New(d); err == nil {
			t.Errorf("%s: declaration is not rejected", name)
		}
	}
}

// The split must follow the weights also in short runs, in which a random choice deviates
// from them, since operators compare the shares over a few hundred requests.
func TestSplitFollowsWeightsInShortRuns(t *testing.T) {
	c, err := New(validDeclaration())
	if err != nil {
		t.Fatal(err)
	}
	r := c.Route("shop.example", "/orders/1")
	var s Splitter
	counts := map[mesh.Service]int{}
	for i := 1; i <= 40; i++ {
		counts[s.Pick(r)]++
		if web := counts["web"]; web < i/10 || web > i/10+1 {
			t.Fatalf("after %d requests, %d went to web, want a tenth, rounded down, or one more", i, web)
		}
	}
	r.Services = []WeightedService{{Service: "orders", Weight: 0}, {Service: "web", Weight: 1}}
	for range 5 {
		if got := s.Pick(r); got != "web" {
			t.Fatalf("service %s with weight zero got a request, want web", got)
		}
	}
}
