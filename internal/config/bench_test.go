package config

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

// builder folds many records into a state to reach realistic sizes.
type builder struct {
	state     *State
	lastToken uint64 // first 8 bytes of the last token; the others are 0
}

func newBuilder() *builder { return &builder{state: New()} }

func (b *builder) header() Header {
	b.lastToken++
	h := Header{By: node("h"), After: b.state.Offset()}
	binary.BigEndian.PutUint64(h.Token[:], b.lastToken)
	return h
}

func (b *builder) fold(tb testing.TB, data []byte, err error) {
	if err == nil {
		if v := b.state.Fold(b.state.Offset(), data); v.Kind != Accepted {
			err = fmt.Errorf("%s", v)
		}
	}
	if err != nil {
		tb.Fatal(err)
	}
}

func (b *builder) change(tb testing.TB, objects ...declaration.Object) {
	var changes []ObjectChange
	for _, o := range objects {
		c := declaration.Change{Key: o.Key(), Set: &o}
		changes = append(changes, ObjectChange{Change: c, Version: b.state.Version(c.Key)})
	}
	data, err := encodeRecord(b.header(), KindChange, func(r *record) { r.Change = &changeBody{changes} })
	b.fold(tb, data, err)
}

// service returns a service with four routes and the edge from its predecessor;
// the services form chains of ten.
func (b *builder) service(i int) []declaration.Object {
	name := mesh.Service(fmt.Sprintf("service-%05d", i))
	out := []declaration.Object{{Service: &declaration.Service{Name: name, MaxConcurrency: 100}}}
	for _, method := range []string{"GET", "PUT"} {
		for _, pattern := range []string{"/%s/items", "/%s/items/{item}"} {
			r := declaration.Route{Method: method, Pattern: fmt.Sprintf(pattern, name), Service: name, Class: mesh.ClassNormal, Timeout: 1e9}
			out = append(out, declaration.Object{Route: &r})
		}
	}
	if i%10 > 0 {
		from := mesh.Service(fmt.Sprintf("service-%05d", i-1))
		out = append(out, declaration.Object{Edge: &declaration.Edge{From: from, To: name, CallsPerParent: 1}})
	}
	return out
}

func (b *builder) services(tb testing.TB, n int) {
	b.change(tb, declaration.Object{Header: &declaration.Header{Name: "m"}})
	for i := range n {
		b.change(tb, b.service(i)...)
	}
}

func (b *builder) workspaces(tb testing.TB, from, to int) {
	for i := from; i < to; i++ {
		w := declaration.Workspace{Name: mesh.Workspace(fmt.Sprintf("workspace-%06d", i)), RatePerSecond: 10, Burst: 100, Weight: 1}
		b.change(tb, declaration.Object{Workspace: &w})
	}
}

// member returns member i of a fleet that is spread over 18 data centres and the 2,700
// services of the target size.
func member(i int) mesh.Member {
	return mesh.Member{
		Node:            mesh.NodeID{Host: mesh.Host(fmt.Sprintf("host-%06d", i)), Incarnation: mesh.Incarnation(i + 1)},
		DataCentre:      mesh.DataCentre(fmt.Sprintf("dc-%02d", i%18)),
		Service:         mesh.Service(fmt.Sprintf("service-%05d", i%2700)),
		PeerAddress:     fmt.Sprintf("10.%d.%d.1:7003", i>>8, i&255),
		CallerAddress:   fmt.Sprintf("10.%d.%d.1:7001", i>>8, i&255),
		OperatorAddress: fmt.Sprintf("10.%d.%d.1:7004", i>>8, i&255),
	}
}

func (b *builder) members(tb testing.TB, n int) {
	for i := range n {
		data, err := NewNodeJoined(b.header(), member(i))
		b.fold(tb, data, err)
	}
}

func (b *builder) keys(tb testing.TB, n int) {
	for i := range n {
		k := Key{ID: fmt.Sprintf("key%013d", i), Workspace: mesh.Workspace(fmt.Sprintf("workspace-%06d", i%100))}
		data, err := NewKeyIssued(b.header(), k)
		b.fold(tb, data, err)
	}
}

// expire lets the tokens of the built records expire. Their number is bounded by
// Window, whatever the size of the state, so they would distort the figures.
func (b *builder) expire() {
	for range Window + 1 {
		b.state.Fold(b.state.Offset(), nil)
	}
}

// heapInUse returns the heap bytes that remain after garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap bytes per object, including the mesh that
// State.Mesh returns.
func BenchmarkMemory(b *testing.B) {
	kinds := []struct {
		unit    string
		sizes   []int
		prepare func(*builder)      // folds what the objects need, before the measurement
		build   func(*builder, int) // folds n objects
	}{
		{"service", []int{100, 1000, 2700, 10000}, func(*builder) {}, func(bl *builder, n int) { bl.services(b, n) }},
		{"workspace", []int{100, 1000, 10000}, func(bl *builder) { bl.services(b, 1) }, func(bl *builder, n int) { bl.workspaces(b, 0, n) }},
		{"member", []int{100, 1000, 25000}, func(*builder) {}, func(bl *builder, n int) { bl.members(b, n) }},
		{"key", []int{1000, 10000, 50000}, func(bl *builder) {
			bl.services(b, 1)
			bl.workspaces(b, 0, 100)
		}, func(bl *builder, n int) { bl.keys(b, n) }},
		{"token", []int{1000, Window}, func(*builder) {}, func(bl *builder, n int) {
			for range n {
				data, err := NewKeyWithdrawn(bl.header(), "k")
				bl.fold(b, data, err)
			}
		}},
	}
	for _, kind := range kinds {
		for _, n := range kind.sizes {
			b.Run(fmt.Sprintf("%s/%d", kind.unit, n), func(b *testing.B) {
				var used float64
				for b.Loop() {
					bl := newBuilder()
					kind.prepare(bl)
					before := heapInUse()
					kind.build(bl, n)
					if kind.unit != "token" {
						bl.expire()
					}
					bl.state.Mesh()
					used = heapInUse() - before
					runtime.KeepAlive(bl)
				}
				b.ReportMetric(used/float64(n), "bytes/"+kind.unit)
			})
		}
	}
}

// BenchmarkFold reports the cost of one change: of a workspace's rate, of a service
// with four routes, and of an edge, which checks the whole call graph.
func BenchmarkFold(b *testing.B) {
	for _, services := range []int{100, 1000, 2700, 10000} {
		bl := newBuilder()
		bl.services(b, services)
		bl.workspaces(b, 0, 1000)
		run := func(name string, withMesh bool, object func(i int) []declaration.Object) {
			b.Run(fmt.Sprintf("%s/%d", name, services), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					var changes []ObjectChange
					for _, o := range object(i) {
						c := declaration.Change{Key: o.Key(), Set: &o}
						changes = append(changes, ObjectChange{Change: c, Version: bl.state.Version(c.Key)})
					}
					data, err := encodeRecord(bl.header(), KindChange, func(r *record) { r.Change = &changeBody{changes} })
					b.StartTimer()
					bl.fold(b, data, err)
					if withMesh {
						bl.state.Mesh()
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/change")
				b.ReportMetric(0, "ns/op")
			})
		}
		workspace := func(i int) []declaration.Object {
			w := declaration.Workspace{Name: "workspace-000000", RatePerSecond: float64(i), Burst: 100, Weight: 1}
			return []declaration.Object{{Workspace: &w}}
		}
		next := services
		service := func(int) []declaration.Object {
			next++
			// The service at the end of a new chain, with its routes but without the edge.
			return bl.service(next*10 + 9)[:5]
		}
		run("rate", false, workspace)
		run("rate-and-mesh", true, workspace)
		run("service", false, service)
		run("edge", true, func(i int) []declaration.Object { return edgeChange(services, i) })
	}
}

// edgeChange adds or changes the edge between the ends of a chain.
func edgeChange(services, i int) []declaration.Object {
	chain := 10 * (i % (services / 10))
	from := mesh.Service(fmt.Sprintf("service-%05d", chain))
	to := mesh.Service(fmt.Sprintf("service-%05d", chain+9))
	return []declaration.Object{{Edge: &declaration.Edge{From: from, To: to, CallsPerParent: 1 + i%7}}}
}

// BenchmarkSnapshot measures encoding and decoding of the complete state at the
// target size: 2,700 services, 25,000 members, 10,000 workspaces and keys.
func BenchmarkSnapshot(b *testing.B) {
	bl := newBuilder()
	bl.services(b, 2700)
	bl.workspaces(b, 0, 10000)
	bl.keys(b, 10000)
	bl.members(b, 25000)
	data, err := bl.state.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := bl.state.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
