package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const testMesh = `
[mesh]
name = test

[service shop]
[service stock]

[edge shop stock]
calls_per_parent = 1
idempotent = true

[route GET /items/{id}]
service = shop
idempotent = true
class = normal
timeout = 1s

[route POST /orders]
service = shop
idempotent = false
class = critical
timeout = 1s

[workspace anna]
rate_per_second = 100
burst = 64
weight = 1

[workspace bjorn]
rate_per_second = 10
burst = 4
weight = 1
`

func newTestCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed, testMesh, "shop", "shop", "shop", "stock", "stock")
	c.run(10 * time.Second) // time for joins, panel and shares; the token buckets start empty and fill
	return c
}

// Guards against an entry node that cannot get a call served, locally or by another
// node.
func TestCallIsServedFromEveryNode(t *testing.T) {
	c := newTestCluster(t, 1)
	for _, n := range c.started {
		if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); !got.complete {
			t.Fatalf("entry %s: %v", n.member.Node.Host, got.refusal)
		}
	}
}

// Guards against calls that run with an unknown key, with a withdrawn key, or on a
// route that is not declared.
func TestEntryRefusals(t *testing.T) {
	c := newTestCluster(t, 2)
	n := c.started[0]
	c.secrets["nobody"] = "ch_none_none"
	if got := c.callAndWait(n, "nobody", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyInvalid {
		t.Fatalf("unknown key: %+v", got)
	}
	if got := c.callAndWait(n, "anna", "GET", "/nowhere", ""); got.refusal.Reason != outcome.NoRoute {
		t.Fatalf("unknown route: %+v", got)
	}
	issued := c.started[1].State().Keys()
	for _, k := range issued {
		if k.Workspace == "anna" {
			c.step(c.started[1], &KeyWithdrawalRequested{KeyID: k.ID})
		}
	}
	c.run(2 * time.Second)
	for _, n := range c.started {
		if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyWithdrawn {
			t.Fatalf("withdrawn key at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against a second execution when a caller repeats a call with its ticket at
// other entry nodes.
func TestTicketRunsOnce(t *testing.T) {
	c := newTestCluster(t, 3)
	ticket := c.ticketFrom(c.started[0], "anna")
	for _, n := range c.started {
		if got := c.callAndWait(n, "anna", "POST", "/orders", ticket); !got.complete {
			t.Fatalf("entry %s: %+v", n.member.Node.Host, got)
		}
	}
	total := 0
	for _, runs := range c.executions {
		total += runs
	}
	if total != 1 {
		t.Fatalf("the order ran %d times, want once", total)
	}
}

// Guards against calls that fail because the log is unavailable, and against a
// withdrawal that does not reach all nodes without the log.
func TestLogOutage(t *testing.T) {
	c := newTestCluster(t, 4)
	c.logDown = true
	c.run(30 * time.Second)
	for _, n := range c.started {
		if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); !got.complete {
			t.Fatalf("entry %s: %v", n.member.Node.Host, got.refusal)
		}
	}
	for _, k := range c.started[0].State().Keys() {
		if k.Workspace == "anna" {
			c.step(c.started[0], &KeyWithdrawalRequested{KeyID: k.ID})
		}
	}
	c.run(2 * time.Second)
	for _, n := range c.started {
		if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyWithdrawn {
			t.Fatalf("withdrawn key at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against a node that continues to serve although it can reach neither the log
// nor a majority of the panel, and so would not learn of a withdrawn key.
func TestMinorityRefuses(t *testing.T) {
	c := newTestCluster(t, 5)
	c.logDown = true
	isolated := c.started[0].member.Node.Host
	c.partitioned = func(a, b mesh.Host) bool { return (a == isolated) != (b == isolated) }
	c.run(5 * time.Second)
	got := c.callAndWait(c.started[0], "anna", "GET", "/items/1", "")
	if got.refusal.Reason != outcome.KeysStale || got.refusal.Execution != outcome.NotRun {
		t.Fatalf("the isolated node returned %+v, want a refusal as not run with stale keys", got)
	}
	if got := c.callAndWait(c.started[1], "anna", "GET", "/items/1", ""); !got.complete {
		t.Fatalf("a node of the majority refused a call: %v", got.refusal)
	}
}

// Guards against a planned stop that loses the stored response of a ticket.
func TestPlannedStopHandsTicketsOver(t *testing.T) {
	c := newTestCluster(t, 6)
	first := c.started[0]
	ticket := c.ticketFrom(first, "anna")
	if got := c.callAndWait(first, "anna", "POST", "/orders", ticket); !got.complete {
		t.Fatalf("order: %+v", got)
	}
	c.step(first, &StopRequested{})
	c.run(5 * time.Second)
	if !first.dead {
		t.Fatal("the node has not stopped within 5 s")
	}
	if got := c.callAndWait(c.started[1], "anna", "POST", "/orders", ticket); !got.complete {
		t.Fatalf("repeated order: %+v", got)
	}
	if len(c.executions) != 1 {
		t.Fatalf("%d actions ran, want 1", len(c.executions))
	}
}

// Guards against a planned stop that waits for the handover to a successor that no
// longer runs, as when all nodes stop at the same time.
func TestStopWithDeadSuccessor(t *testing.T) {
	c := newTestCluster(t, 6)
	for _, n := range c.started[1:] {
		c.kill(n)
	}
	c.step(c.started[0], &StopRequested{})
	c.run(3 * time.Second)
	if !c.started[0].dead {
		t.Fatal("the node has not stopped within 3 s")
	}
}

// Guards against a planned stop that waits until the timeout for the handover, because
// the successor has stopped while the last call of this node was still in flight.
func TestStopAfterSuccessor(t *testing.T) {
	c := newTestCluster(t, 6)
	c.upstreamLatency = 2 * time.Second
	first := c.started[0]
	c.call(first, "anna", "POST", "/orders", "")
	c.run(100 * time.Millisecond)
	for _, n := range c.started {
		c.step(n, &StopRequested{})
	}
	c.run(4 * time.Second)
	for _, n := range c.started {
		if !n.dead {
			t.Errorf("%s has not stopped within 4 s", n.member.Node)
		}
	}
}

// Guards against a node that refuses a repeated call as not run, because its workspace
// is over its rate, although the call has run.
func TestRepeatedOrderIsReplayedOverTheRate(t *testing.T) {
	c := newTestCluster(t, 7)
	first := c.started[0]
	ticket := c.ticketFrom(first, "bjorn")
	if got := c.callAndWait(first, "bjorn", "POST", "/orders", ticket); !got.complete {
		t.Fatalf("order: %+v", got)
	}
	refused := 0
	for range 100 {
		key := c.call(c.started[2], "bjorn", "GET", "/items/1", "")
		c.run(5 * time.Millisecond)
		if c.results[key].refusal.Reason == outcome.OverRate {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("the workspace was never over its rate")
	}
	for _, n := range c.started[:3] {
		if got := c.callAndWait(n, "bjorn", "POST", "/orders", ticket); !got.complete {
			t.Fatalf("repeated order at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against a node that refuses a call as not run although it cannot reach the
// owner of the call's ticket, where the call may have run.
func TestUnreachableTicketOwnerMayHaveRun(t *testing.T) {
	c := newTestCluster(t, 8)
	owner := c.started[0]
	ticket := c.ticketFrom(owner, "anna")
	c.kill(owner)
	got := c.callAndWait(c.started[1], "anna", "POST", "/orders", ticket)
	if got.complete || got.refusal.Execution != outcome.MayHaveRun {
		t.Fatalf("entry host-1 returned %+v, want may-have-run", got)
	}
	if len(c.executions) != 0 {
		t.Fatalf("the order ran without the owner of its ticket: %v", c.executions)
	}
}
