// Package fleet generates the logs of synthetic fleets, so that the cost of a node can
// be measured for fleets that are too large to run on a test machine.
package fleet

import (
	"fmt"
	"maps"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
)

// panelSize is the number of panel members in a fleet that spans many data centres. The
// panel is the set of nodes of which a majority confirms, while the log is unavailable,
// that a node's configuration is current.
const panelSize = 19

// Fleet is a synthetic fleet of a given size. Build sets State, Log and Members.
type Fleet struct {
	Nodes, Services, Workspaces, Keys int

	State   *config.State // after folding Log
	Log     [][]byte
	Members []mesh.Member
}

// BenchmarkSizes are three fleets with the same proportions; the last one has the size
// to which the real fleet is expected to grow within two years.
var BenchmarkSizes = []Fleet{
	{Nodes: 250, Services: 27, Workspaces: 20, Keys: 100},
	{Nodes: 2_500, Services: 270, Workspaces: 200, Keys: 1_000},
	{Nodes: 25_000, Services: 2_700, Workspaces: 2_000, Keys: 10_000},
}

// String returns "nodes=N", where N is the number of nodes.
func (f *Fleet) String() string { return fmt.Sprintf("nodes=%d", f.Nodes) }

// Service returns the name of the service with index i.
func (f *Fleet) Service(i int) mesh.Service { return mesh.Service(fmt.Sprintf("service-%d", i)) }

func (f *Fleet) newDeclaration() *declaration.Mesh {
	m := &declaration.Mesh{
		Name:       "fleet",
		Services:   make(map[mesh.Service]declaration.Service),
		Workspaces: make(map[mesh.Workspace]declaration.Workspace),
	}
	for i := range f.Services {
		s := f.Service(i)
		m.Services[s] = declaration.Service{Name: s}
		m.Routes = append(m.Routes, declaration.Route{Method: "GET", Pattern: "/" + string(s), Service: s,
			Idempotent: true, Class: mesh.ClassNormal, Timeout: time.Second})
		if i%15 != 14 && i+1 < f.Services { // chains of 15 services
			m.Edges = append(m.Edges, declaration.Edge{From: s, To: f.Service(i + 1), CallsPerParent: 1, Idempotent: true})
		}
	}
	for i := range f.Workspaces {
		ws := mesh.Workspace(fmt.Sprintf("workspace-%d", i))
		m.Workspaces[ws] = declaration.Workspace{Name: ws, RatePerSecond: 1000, Burst: 1024, Weight: 1}
	}
	// Parsing the formatted mesh checks it like an operator's declaration.
	parsed, err := declaration.Parse(declaration.File{Name: "fleet.ini", Data: declaration.Format(m)})
	if err != nil {
		panic(err)
	}
	return parsed
}

// AppendRecord builds a record, folds it into State and appends it to Log. It derives the
// header's token from the number of the record, and panics if the record is not accepted.
func (f *Fleet) AppendRecord(build func(config.Header) ([]byte, error)) {
	h := config.Header{By: mesh.NodeID{Host: "operator", Incarnation: 1}, After: f.State.Offset()}
	for i := range 8 {
		h.Token[i] = byte(len(f.Log) >> (8 * i))
	}
	h.Token[15] = 1 // a token must not be zero
	data, err := build(h)
	if err != nil {
		panic(err)
	}
	if v := f.State.Fold(f.State.Offset(), data); v.Kind != config.Accepted {
		panic(v.String())
	}
	f.Log = append(f.Log, data)
}

// Build generates the log: declaration, keys, members, panel, and for each
// workspace 32 quota shares, the maximum.
func (f *Fleet) Build() {
	f.State = config.New()
	plan, err := config.Plan(f.State, f.newDeclaration())
	if err != nil {
		panic(err)
	}
	f.AppendRecord(func(h config.Header) ([]byte, error) { return config.NewChange(h, plan) })
	for i := range f.Keys {
		k := config.Key{ID: fmt.Sprintf("%016x", i), Workspace: mesh.Workspace(fmt.Sprintf("workspace-%d", i%f.Workspaces))}
		k.Hash[0], k.Hash[1], k.Hash[2] = byte(i), byte(i>>8), 1 // distinct and not zero
		f.AppendRecord(func(h config.Header) ([]byte, error) { return config.NewKeyIssued(h, k) })
	}
	for i := range f.Nodes {
		m := f.Member(i)
		f.Members = append(f.Members, m)
		f.AppendRecord(func(h config.Header) ([]byte, error) { return config.NewNodeJoined(h, m) })
	}
	var panel []mesh.NodeID
	for i := range panelSize {
		panel = append(panel, f.Members[i].Node)
	}
	f.AppendRecord(func(h config.Header) ([]byte, error) { return config.NewPanel(h, 1, panel) }) // epoch 1: the first panel
	for i := range f.Workspaces {
		var holders []mesh.NodeID
		for j := range 32 {
			holders = append(holders, f.Members[(i*32+j)%f.Nodes].Node)
		}
		ws := mesh.Workspace(fmt.Sprintf("workspace-%d", i))
		// Epoch 0: the workspace has no shares yet.
		f.AppendRecord(func(h config.Header) ([]byte, error) { return config.NewShares(h, ws, 0, holders) })
	}
}

// Member returns the member with index i. The members are spread evenly over 18 data
// centres and over the services.
func (f *Fleet) Member(i int) mesh.Member {
	host := fmt.Sprintf("host-%05d", i)
	address := fmt.Sprintf("10.%d.%d.%d", i>>16&255, i>>8&255, i&255)
	return mesh.Member{
		Node:       mesh.NodeID{Host: mesh.Host(host), Incarnation: mesh.Incarnation(i + 1)},
		DataCentre: mesh.DataCentre(fmt.Sprintf("dc-%02d", i%18)), Service: f.Service(i % f.Services),
		PeerAddress: address + ":7001", CallerAddress: address + ":7000", OperatorAddress: address + ":7002",
	}
}

// Page returns all records from an offset on, as a read from the log service does.
func (f *Fleet) Page(from uint64) logservice.Page {
	page := logservice.Page{Head: uint64(len(f.Log))}
	for offset := from; offset < page.Head; offset++ {
		page.Records = append(page.Records, logservice.Record{Offset: offset, Data: f.Log[offset]})
	}
	return page
}

// RateChangeRecord returns a record that changes the rate of the first workspace. The rate
// depends on whether i is even, so that consecutive records differ.
func (f *Fleet) RateChangeRecord(i int, h config.Header) ([]byte, error) {
	changed := *f.State.Mesh()
	changed.Workspaces = maps.Clone(changed.Workspaces)
	ws := changed.Workspaces["workspace-0"]
	ws.RatePerSecond = float64(1001 + i%2)
	changed.Workspaces["workspace-0"] = ws
	plan, err := config.Plan(f.State, &changed)
	if err != nil {
		return nil, err
	}
	return config.NewChange(h, plan)
}

// RestartRecord returns a record that replaces the node of a host by a new incarnation.
// Consecutive values of i give consecutive hosts.
func (f *Fleet) RestartRecord(i int, h config.Header) ([]byte, error) {
	m := f.Member(i % f.Nodes)
	m.Node.Incarnation += mesh.Incarnation(1_000_000 + i)
	return config.NewNodeJoined(h, m)
}

// KeyIssuedRecord returns a record that issues a new key to the first workspace.
func (f *Fleet) KeyIssuedRecord(i int, h config.Header) ([]byte, error) {
	return config.NewKeyIssued(h, config.Key{ID: fmt.Sprintf("new-%d", i), Hash: [32]byte{1}, Workspace: "workspace-0"})
}
