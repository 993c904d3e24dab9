package main

import (
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/fleet"
)

type capacityCommand struct {
	Changes int `default:"20" help:"Number of changes of each kind to apply."`
}

func (c *capacityCommand) Run(s *streams) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tservices\tworkspaces\tkeys\tmemory MB\tticks ms/s\trate change ms\trestart ms\tkey ms")
	for _, f := range fleet.BenchmarkSizes {
		f.Build()
		before := liveHeapBytes()
		n := newFleetNode(&f)
		memoryMB := float64(liveHeapBytes()-before) / 1e6
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.3f\t%.3f\t%.3f\n",
			f.Nodes, f.Services, f.Workspaces, f.Keys, memoryMB, milliseconds(tickTimePerSecond(n)),
			milliseconds(c.meanApplyTime(n, &f, f.RateChangeRecord)), milliseconds(c.meanApplyTime(n, &f, f.RestartRecord)),
			milliseconds(c.meanApplyTime(n, &f, f.KeyIssuedRecord)))
	}
	return w.Flush()
}

// newFleetNode returns a node that has applied the log of the fleet.
func newFleetNode(f *fleet.Fleet) *engine.Node {
	n := engine.New(engine.Config{Self: f.Members[0], StartUnixNano: time.Now().UnixNano()})
	n.Step(time.Millisecond, &engine.LogRead{Page: f.Page(0)}, nil)
	return n
}

// tickTimePerSecond returns the mean time that the ticks of one second take at a
// node without load. It excludes the first second, in which the node checks all
// assignments in the log, such as those of quota shares, because it has just applied it.
func tickTimePerSecond(n *engine.Node) time.Duration {
	const seconds = 10
	var start time.Time
	var out []engine.Effect
	for now := engine.TickInterval; now <= (seconds+1)*time.Second; now += engine.TickInterval {
		if now == time.Second {
			start = time.Now()
		}
		out = n.Step(now, &engine.Tick{}, out[:0])
	}
	return time.Since(start) / seconds
}

// meanApplyTime returns the mean time that a node takes to apply a change. buildRecord
// returns the log record of the change with the given number.
func (c *capacityCommand) meanApplyTime(n *engine.Node, f *fleet.Fleet, buildRecord func(int, config.Header) ([]byte, error)) time.Duration {
	var total time.Duration
	for i := range c.Changes {
		f.AppendRecord(func(h config.Header) ([]byte, error) { return buildRecord(i, h) })
		offset := uint64(len(f.Log) - 1)
		read := &engine.LogRead{From: offset, Page: f.Page(offset)}
		start := time.Now()
		n.Step(time.Minute, read, nil) // later than the last tick of tickTimePerSecond
		total += time.Since(start)
	}
	return total / time.Duration(max(c.Changes, 1))
}

// liveHeapBytes returns the size of the live heap objects, in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC() // the first cycle only queues finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
