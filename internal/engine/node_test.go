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

func testCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed, testMesh, "shop", "shop", "shop", "stock", "stock")
	c.run(10 * time.Second) // joins, panel, shares; levels start empty and fill
	return c
}

// Guards against a mesh that does not serve a call end to end from any node.
func TestCallIsServedFromEveryNode(t *testing.T) {
	c := testCluster(t, 1)
	for _, n := range c.order {
		if got := c.call1(n, "anna", "GET", "/items/1", ""); !got.whole {
			t.Fatalf("entry %s: %v", n.member.Node.Host, got.refusal)
		}
	}
}

// Guards against calls that run without a key, with a withdrawn key, or for a
// route that is not declared.
func TestEntryRefusals(t *testing.T) {
	c := testCluster(t, 2)
	n := c.order[0]
	c.secrets["nobody"] = "ch_none_none"
	if got := c.call1(n, "nobody", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyInvalid {
		t.Fatalf("unknown key: %+v", got)
	}
	if got := c.call1(n, "anna", "GET", "/nowhere", ""); got.refusal.Reason != outcome.NoRoute {
		t.Fatalf("unknown route: %+v", got)
	}
	id := c.order[1].State().Keys()
	for _, k := range id {
		if k.Workspace == "anna" {
			c.step(c.order[1], &KeyWithdrawalRequested{ID: k.ID})
		}
	}
	c.run(2 * time.Second)
	for _, n := range c.order {
		if got := c.call1(n, "anna", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyWithdrawn {
			t.Fatalf("withdrawn key at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against a second execution when a customer repeats an order through
// other entry nodes.
func TestTicketRunsOnce(t *testing.T) {
	c := testCluster(t, 3)
	ticket := c.ticketFrom(c.order[0], "anna")
	for _, n := range c.order {
		if got := c.call1(n, "anna", "POST", "/orders", ticket); !got.whole {
			t.Fatalf("entry %s: %+v", n.member.Node.Host, got)
		}
	}
	total := 0
	for _, runs := range c.runs {
		total += runs
	}
	if total != 1 {
		t.Fatalf("the order ran %d times", total)
	}
}

// Guards against an outage of the log that stops calls, or a withdrawal that
// does not spread without the log.
func TestLogOutage(t *testing.T) {
	c := testCluster(t, 4)
	c.logDown = true
	c.run(30 * time.Second)
	for _, n := range c.order {
		if got := c.call1(n, "anna", "GET", "/items/1", ""); !got.whole {
			t.Fatalf("entry %s: %v", n.member.Node.Host, got.refusal)
		}
	}
	for _, k := range c.order[0].State().Keys() {
		if k.Workspace == "anna" {
			c.step(c.order[0], &KeyWithdrawalRequested{ID: k.ID})
		}
	}
	c.run(2 * time.Second)
	for _, n := range c.order {
		if got := c.call1(n, "anna", "GET", "/items/1", ""); got.refusal.Reason != outcome.KeyWithdrawn {
			t.Fatalf("withdrawn key at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against a node without log and majority that goes on serving.
func TestMinorityRefuses(t *testing.T) {
	c := testCluster(t, 5)
	c.logDown = true
	alone := c.order[0].member.Node.Host
	c.cut = func(a, b mesh.Host) bool { return (a == alone) != (b == alone) }
	c.run(5 * time.Second)
	got := c.call1(c.order[0], "anna", "GET", "/items/1", "")
	if got.refusal.Reason != outcome.KeysStale || got.refusal.Execution != outcome.NotRun {
		t.Fatalf("isolated node: %+v", got)
	}
	if got := c.call1(c.order[1], "anna", "GET", "/items/1", ""); !got.whole {
		t.Fatalf("majority: %v", got.refusal)
	}
}

// Guards against a planned stop that loses an order's answer.
func TestPlannedStopHandsTicketsOver(t *testing.T) {
	c := testCluster(t, 6)
	first := c.order[0]
	ticket := c.ticketFrom(first, "anna")
	if got := c.call1(first, "anna", "POST", "/orders", ticket); !got.whole {
		t.Fatalf("order: %+v", got)
	}
	c.step(first, &StopRequested{})
	c.run(5 * time.Second)
	if !first.dead {
		t.Fatal("the node has not stopped")
	}
	if got := c.call1(c.order[1], "anna", "POST", "/orders", ticket); !got.whole {
		t.Fatalf("repeated order: %+v", got)
	}
	if len(c.runs) != 1 {
		t.Fatalf("%d actions ran, want 1", len(c.runs))
	}
}

// Guards against a planned stop that waits for the handover to a successor
// that has ended itself, as when a whole mesh stops.
func TestStopWithDeadSuccessor(t *testing.T) {
	c := testCluster(t, 6)
	for _, n := range c.order[1:] {
		c.kill(n)
	}
	c.step(c.order[0], &StopRequested{})
	c.run(3 * time.Second)
	if !c.order[0].dead {
		t.Fatal("the node has not stopped within 3 s")
	}
}

// Guards against the same wait when the successor has left in order, while the
// last call of this node was still in flight.
func TestStopAfterSuccessor(t *testing.T) {
	c := testCluster(t, 6)
	c.service = 2 * time.Second
	first := c.order[0]
	c.call(first, "anna", "POST", "/orders", "")
	c.run(100 * time.Millisecond)
	for _, n := range c.order {
		c.step(n, &StopRequested{})
	}
	c.run(4 * time.Second)
	for _, n := range c.order {
		if !n.dead {
			t.Errorf("%s has not stopped within 4 s", n.member.Node)
		}
	}
}

// Guards against "not run, over-rate" for a repeated order that has run.
func TestRepeatedOrderIsAnsweredOverTheRate(t *testing.T) {
	c := testCluster(t, 7)
	first := c.order[0]
	ticket := c.ticketFrom(first, "bjorn")
	if got := c.call1(first, "bjorn", "POST", "/orders", ticket); !got.whole {
		t.Fatalf("order: %+v", got)
	}
	refused := 0
	for range 100 {
		name := c.call(c.order[2], "bjorn", "GET", "/items/1", "")
		c.run(5 * time.Millisecond)
		if c.ends[name].refusal.Reason == outcome.OverRate {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("the workspace was never over its rate")
	}
	for _, n := range c.order[:3] {
		if got := c.call1(n, "bjorn", "POST", "/orders", ticket); !got.whole {
			t.Fatalf("repeated order at %s: %+v", n.member.Node.Host, got)
		}
	}
}

// Guards against "not run" when the owner of a ticket cannot be reached.
func TestUnreachableTicketOwnerMayHaveRun(t *testing.T) {
	c := testCluster(t, 8)
	owner := c.order[0]
	ticket := c.ticketFrom(owner, "anna")
	c.kill(owner)
	got := c.call1(c.order[1], "anna", "POST", "/orders", ticket)
	if got.whole || got.refusal.Execution != outcome.MayHaveRun {
		t.Fatalf("got %+v, want may-have-run", got)
	}
	if len(c.runs) != 0 {
		t.Fatalf("the order ran without its owner: %v", c.runs)
	}
}
