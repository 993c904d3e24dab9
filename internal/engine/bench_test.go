package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// newBenchCluster returns a cluster and one of its nodes that serves another service
// than the route, so that calls are forwarded. The benchmarks do not reach the rate of
// the workspace.
func newBenchCluster(b *testing.B) (*cluster, *testNode) {
	c := newCluster(b, 1, benchMesh, "shop", "shop", "shop", "stock", "stock")
	c.run(10 * time.Second)
	return c, c.started[3]
}

const benchMesh = `
[mesh]
name = bench
[service shop]
[service stock]
[route GET /items/{id}]
service = shop
idempotent = true
class = normal
timeout = 1s
[workspace anna]
rate_per_second = 100000000
burst = 100000000
weight = 1
`

// BenchmarkEntryDecision measures the work for one call at its entry node: the key
// check, quota, route, choice of the serving node, and the end of the call.
func BenchmarkEntryDecision(b *testing.B) {
	c, n := newBenchCluster(b)
	secret := []byte(c.secrets["anna"])
	arrived := &CallArrived{Secret: secret, Method: "GET", Path: "/items/1"}
	responded := &ResponseReceived{Attempt: 1, Status: 200, Load: &Load{Limit: 100, Cut: mesh.OpenCut}}
	ended := &RelayEnded{Attempt: 1, Complete: true}
	now := c.now - n.start
	out := make([]Effect, 0, 16)
	refused := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := mesh.CallID(1_000_000 + i)
		arrived.Call, responded.Call, ended.Call = id, id, id
		now += 10 * time.Microsecond
		out = n.Step(now, arrived, out[:0])
		if out[0].Kind != Forward {
			refused++
			continue
		}
		n.Step(now, responded, out[:0])
		n.Step(now, ended, out[:0])
		if i%1000 == 999 {
			out = c.runPending(n, now, out)
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// runPending runs the other events of the cluster up to now. Without them the node would
// refuse calls, since it could not confirm that its keys are current or renew its credit.
func (c *cluster) runPending(n *testNode, now time.Duration, out []Effect) []Effect {
	c.now = n.start + now
	c.run(0)
	return out
}

// BenchmarkServingDecision measures the work for one call at its serving node:
// admission and the end of the call.
func BenchmarkServingDecision(b *testing.B) {
	c, _ := newBenchCluster(b)
	n := c.started[0]
	arrived := &ForwardedCallArrived{From: c.started[3].member.Node, Hop: Hop{
		Workspace: "anna", Service: "shop", Class: mesh.ClassNormal, Remaining: time.Second, Idempotent: true,
	}}
	responded := &ResponseReceived{Status: 200}
	ended := &RelayEnded{Complete: true}
	now := c.now - n.start
	out := make([]Effect, 0, 16)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := mesh.CallID(1_000_000 + i)
		arrived.Call, responded.Call, ended.Call = id, id, id
		arrived.Hop.Action = mesh.ActionID(i)
		now += 10 * time.Microsecond
		out = n.Step(now, arrived, out[:0])
		if out[len(out)-1].Kind == Refuse && out[len(out)-1].Refusal.Reason != outcome.None {
			b.Fatalf("refused: %+v", out[len(out)-1].Refusal)
		}
		n.Step(now, responded, out[:0])
		n.Step(now, ended, out[:0])
		if i%100_000 == 0 {
			n.Step(now, announcement(n), out[:0]) // once a second, so that the upstream does not lapse
		}
	}
}

// BenchmarkLoadHeader measures encoding and parsing of a load report.
func BenchmarkLoadHeader(b *testing.B) {
	l := Load{InFlight: 37, Limit: 100, QueueWait: 1234 * time.Microsecond, Cut: mesh.OpenCut, Returned: 2}
	b.ReportAllocs()
	for b.Loop() {
		if got, err := ParseLoad(l.Encode()); err != nil || got != l {
			b.Fatal(got, err)
		}
	}
}
