package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// BenchmarkAttempt measures the operations for one attempt: checking the cut (the
// load-shedding threshold of the service), choosing the node, and recording the start, the
// end and the cut of the response.
func BenchmarkAttempt(b *testing.B) {
	for _, n := range []int{5, 20} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			table := New(Config{Seed: 1, DataCentre: "dc1"})
			table.SetMembers(0, orders, memberList(orders, n))
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += ms
				if !table.Cut(now, orders).Admits(mesh.ClassHigh, 1) {
					b.Fatal("refused")
				}
				m, _ := table.Pick(now, orders, mesh.ClassNormal, mesh.NodeID{})
				table.RecordSent(now, m.Node)
				table.RecordEnd(now, m.Node, Sample{Latency: latency})
				table.ObserveCut(now, orders, mesh.OpenCut)
			}
		})
	}
}

// memberList returns n members of the service in one data centre.
func memberList(service mesh.Service, n int) []mesh.Member {
	members := make([]mesh.Member, n)
	for i := range members {
		members[i] = mesh.Member{Node: mesh.NodeID{Host: mesh.Host(fmt.Sprintf("%s-%d", service, i))}, DataCentre: "dc1", Service: service}
	}
	return members
}

// BenchmarkMemory reports the memory per service and per candidate node.
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{4, 300, 2700} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			lists := make([][]mesh.Member, services)
			for i := range lists {
				lists[i] = memberList(mesh.Service(fmt.Sprintf("service-%d", i)), defaultSubsetSize)
			}
			var table *Table
			var before, after runtime.MemStats
			for b.Loop() {
				table = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				table = New(Config{Seed: 1})
				for _, members := range lists {
					table.SetMembers(0, members[0].Service, members)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			size := float64(after.HeapAlloc - before.HeapAlloc)
			b.ReportMetric(size/float64(services), "B/service")
			b.ReportMetric(size/float64(services*defaultSubsetSize), "B/node")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkPickForLatency measures the choice among 20 nodes by latency, and by the capacity
// that the nodes tell.
func BenchmarkPickForLatency(b *testing.B) {
	for _, rate := range []float64{0, 100} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			table := New(Config{Seed: 1, DataCentre: "dc1"})
			members := memberList(orders, 20)
			table.SetMembers(0, orders, members)
			for _, m := range members {
				table.SetRate(m.Node, rate)
				table.RecordEnd(0, m.Node, Sample{Latency: latency, Route: "r", Report: Report{InFlight: 5, Limit: 10, UsualLatency: latency}})
			}
			b.ReportAllocs()
			for b.Loop() {
				table.PickForLatency(ms, Request{Service: orders, Route: "r"})
			}
		})
	}
}
