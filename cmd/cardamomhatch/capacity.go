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
	Changes int `default:"20" help:"Changes of each kind to apply."`
}

// Run measures what a fleet costs one node on this machine, at several sizes.
func (c *capacityCommand) Run(s *streams) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tservices\tworkspaces\tkeys\tmemory MB\tticks ms/s\trate change ms\trestart ms\tkey ms")
	for _, f := range fleet.BenchmarkSizes {
		f.Build()
		before := heapInUse()
		n := foldFleet(&f)
		memory := float64(heapInUse()-before) / 1e6
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.3f\t%.3f\t%.3f\n",
			f.Nodes, f.Services, f.Workspaces, f.Keys, memory, milliseconds(tickSecond(n)),
			milliseconds(c.change(n, &f, f.RateChangeRecord)), milliseconds(c.change(n, &f, f.RestartRecord)),
			milliseconds(c.change(n, &f, f.KeyIssuedRecord)))
	}
	return w.Flush()
}

// foldFleet returns a node that has folded the log of the fleet.
func foldFleet(f *fleet.Fleet) *engine.Node {
	n := engine.New(engine.Config{Self: f.Members[0], StartUnixNano: time.Now().UnixNano()})
	n.Step(time.Millisecond, &engine.LogRead{Page: f.Page(0)}, nil)
	return n
}

// tickSecond returns the mean processor time of one second of ticks at rest.
// The first second is left out: it checks all assignments once.
func tickSecond(n *engine.Node) time.Duration {
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

// change returns the mean time in which a node applies a change.
func (c *capacityCommand) change(n *engine.Node, f *fleet.Fleet, build func(int, config.Header) ([]byte, error)) time.Duration {
	var spent time.Duration
	for i := range c.Changes {
		f.AppendRecord(func(h config.Header) ([]byte, error) { return build(i, h) })
		offset := uint64(len(f.Log) - 1)
		read := &engine.LogRead{From: offset, Page: f.Page(offset)}
		start := time.Now()
		n.Step(time.Minute, read, nil)
		spent += time.Since(start)
	}
	return spent / time.Duration(max(c.Changes, 1))
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // the first cycle only queues finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
