package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// BenchmarkCall measures all decisions on one call: its arrival, queueing under overload, and
// its end.
func BenchmarkCall(b *testing.B) {
	for _, workspaces := range []int{8, 1000} {
		for _, overload := range []bool{false, true} {
			b.Run(fmt.Sprintf("workspaces=%d/overload=%v", workspaces, overload), func(b *testing.B) {
				benchmarkCall(b, workspaces, overload)
			})
		}
	}
}

func benchmarkCall(b *testing.B, workspaces int, overload bool) {
	c := New(Config{InitialLimit: 100, MaxLimit: 100})
	ids := make([]mesh.Workspace, workspaces)
	for i := range ids {
		ids[i] = mesh.Workspace(fmt.Sprintf("workspace-%d", i))
	}
	running := make([]mesh.CallID, 0, 128)
	now, id := time.Duration(0), mesh.CallID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 200 * time.Microsecond
		r := Request{Call: id, Class: mesh.Class(id % 4), Workspace: ids[int(id)%workspaces], Deadline: now + time.Second}
		if d, _ := c.Arrive(now, r); d == Run {
			running = append(running, id)
		}
		if len(running) > 0 && (!overload || id%2 == 0) {
			c.Done(now, running[0], Sample{Latency: 20 * time.Millisecond})
			running = append(running[:0], running[1:]...)
		}
		for {
			next, ok := c.Next(now)
			if !ok {
				break
			}
			if next.Decision == Run {
				running = append(running, next.Call)
			}
		}
	}
}

// BenchmarkMemory reports the memory of one controller (a node has one for its upstream) and
// the memory per workspace.
func BenchmarkMemory(b *testing.B) {
	for _, workspaces := range []int{8, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			ids := make([]mesh.Workspace, workspaces)
			for i := range ids {
				ids[i] = mesh.Workspace(fmt.Sprintf("workspace-%d", i))
			}
			var c *Controller
			var before, after runtime.MemStats
			for b.Loop() {
				c = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				c = New(Config{})
				for i, w := range ids {
					c.Arrive(0, Request{Call: mesh.CallID(i), Workspace: w})
					c.Cancel(0, mesh.CallID(i))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			size := float64(after.HeapAlloc - before.HeapAlloc)
			b.ReportMetric(size, "B/upstream")
			b.ReportMetric(size/float64(workspaces), "B/workspace")
			runtime.KeepAlive(c)
		})
	}
}
