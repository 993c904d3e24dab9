package engine

import (
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/fleet"
	"cardamomhatch/internal/mesh"
)

// newFoldedNode returns the node of the fleet's member i after it has folded the log.
func newFoldedNode(f *fleet.Fleet, i int) *Node {
	n := New(Config{Self: f.Members[i], StartUnixNano: 1e18})
	n.Step(time.Millisecond, &LogRead{SentAt: 0, Page: f.Page(0)}, nil)
	return n
}

// BenchmarkNodeMemory reports the memory of a node that has folded a fleet's log.
func BenchmarkNodeMemory(b *testing.B) {
	for _, f := range fleet.BenchmarkSizes {
		b.Run(f.String(), func(b *testing.B) {
			f.Build()
			for b.Loop() {
				before := heapInUse()
				n := newFoldedNode(&f, 0)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB/node")
				runtime.KeepAlive(n)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and pools kept alive in the first cycle
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkControlTick reports the time that the ticks of one second take at an idle
// node, and the control messages that it sends in that second.
func BenchmarkControlTick(b *testing.B) {
	for _, f := range fleet.BenchmarkSizes {
		b.Run(f.String(), func(b *testing.B) {
			f.Build()
			n := newFoldedNode(&f, 100) // not in the panel, as most nodes of a fleet
			now := 2 * time.Millisecond
			sent := 0
			var out []Effect
			for b.Loop() {
				for range int(time.Second / TickInterval) {
					now += TickInterval
					out = n.Step(now, &Tick{}, out[:0])
					for _, e := range out {
						if e.Kind == Send {
							sent++
						}
					}
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/s")
		})
	}
}

// BenchmarkChangeInForce reports the time that a node takes to apply one change of a
// workspace's rate, one join, or one issued key.
func BenchmarkChangeInForce(b *testing.B) {
	for _, f := range fleet.BenchmarkSizes {
		f.Build()
		kinds := map[string]func(int, config.Header) ([]byte, error){"rate": f.RateChangeRecord, "join": f.RestartRecord, "key": f.KeyIssuedRecord}
		for _, kind := range []string{"rate", "join", "key"} {
			b.Run(f.String()+"/"+kind, func(b *testing.B) { benchmarkChange(b, &f, kinds[kind]) })
		}
	}
}

func benchmarkChange(b *testing.B, f *fleet.Fleet, build func(int, config.Header) ([]byte, error)) {
	n := newFoldedNode(f, 0)
	from := len(f.Log)
	var out []Effect
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		f.AppendRecord(func(h config.Header) ([]byte, error) { return build(i, h) })
		offset := uint64(len(f.Log) - 1)
		ev := &LogRead{From: offset, Page: f.Page(offset)}
		b.StartTimer()
		out = n.Step(time.Second, ev, out[:0])
	}
	if n.LogOffset() != uint64(len(f.Log)) || len(f.Log) == from {
		b.Fatal("the node has not folded the changes")
	}
}

// traffic counts control messages and their encoded size. It has one encoder per
// pair of nodes, so that gob type descriptions are sent once, as on a connection.
type traffic struct {
	messages, bytes map[string]int
	encoders        map[[2]mesh.NodeID]*gob.Encoder
	written         int // bytes that the encoders have written
}

func (t *traffic) Write(p []byte) (int, error) {
	t.written += len(p)
	return len(p), nil
}

func (t *traffic) count(e mesh.Envelope) {
	pair := [2]mesh.NodeID{e.From, e.To}
	if t.encoders[pair] == nil {
		t.encoders[pair] = gob.NewEncoder(t)
	}
	before := t.written
	if err := t.encoders[pair].Encode([]mesh.Envelope{e}); err != nil {
		panic(err)
	}
	t.messages[e.Message.MessageName()]++
	t.bytes[e.Message.MessageName()] += t.written - before
}

// trafficName returns the name of a sub-benchmark. A negative callsPerSecond stands for
// an outage of the log.
func trafficName(nodes, callsPerSecond int) string {
	if callsPerSecond < 0 {
		return fmt.Sprintf("nodes=%d/log-down", nodes)
	}
	return fmt.Sprintf("nodes=%d/calls=%d", nodes, callsPerSecond)
}

// BenchmarkControlTraffic reports the bytes of control messages that a node sends per
// second: idle, with 20 calls per second at every node, and idle while the log is
// unavailable.
func BenchmarkControlTraffic(b *testing.B) {
	for _, nodes := range []int{15, 60, 120} {
		for _, callsPerSecond := range []int{0, 20, -1} {
			b.Run(trafficName(nodes, callsPerSecond), func(b *testing.B) {
				services := make([]mesh.Service, nodes)
				for i := range services {
					services[i] = "shop"
				}
				c := newCluster(b, 1, benchMesh, services...)
				c.run(10 * time.Second)
				c.logDown = callsPerSecond < 0
				c.run(5 * time.Second)
				const seconds = 5
				t := &traffic{messages: map[string]int{}, bytes: map[string]int{}, encoders: map[[2]mesh.NodeID]*gob.Encoder{}}
				for b.Loop() {
					c.run(2 * time.Second) // sends the type descriptions of new connections, which are not counted
					t.messages, t.bytes = map[string]int{}, map[string]int{}
					c.onMessage = t.count
					for range seconds * max(callsPerSecond, 0) {
						for _, n := range c.started {
							c.call(n, "anna", "GET", "/items/1", "")
						}
						c.run(time.Second / time.Duration(callsPerSecond))
					}
					if callsPerSecond <= 0 {
						c.run(seconds * time.Second)
					}
				}
				total := 0
				for name, n := range t.bytes {
					total += n
					b.ReportMetric(float64(n)/float64(seconds*nodes), "B/s/"+name)
				}
				b.ReportMetric(float64(total)/float64(seconds*nodes), "B/s")
			})
		}
	}
}
