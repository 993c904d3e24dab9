package engine

import (
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// holderOf returns the node that holds a workspace's first share.
func (c *cluster) holderOf(ws mesh.Workspace) *testNode {
	return c.nodes[c.living()[0].State().Shares(ws)[0].Holder]
}

// Guards against a share that a planned stop has released and that its next
// holder does not take over, or takes over only after F and drift.
func TestPlannedStopReleasesShares(t *testing.T) {
	c := testCluster(t, 20)
	holder := c.holderOf("bjorn")
	c.stop(holder)
	c.run(1500 * time.Millisecond) // leave record, shares record, 500 ms between assignments
	next := c.holderOf("bjorn")
	if next == nil || next == holder {
		t.Fatal("the share has not moved")
	}
	if waiting := next.quota.Inactive(); len(waiting) > 0 {
		t.Fatalf("%s waits for %v", next.member.Node, waiting)
	}
}

// Guards against "not run" for a repeated order that has run, from a node that
// refuses the call before it can look up the ticket.
func TestRefusalBeforeTicketLookup(t *testing.T) {
	c := testCluster(t, 21)
	first := c.order[0]
	ticket := c.ticketFrom(first, "anna")
	if got := c.call1(first, "anna", "POST", "/orders", ticket); !got.whole {
		t.Fatalf("order: %+v", got)
	}
	c.step(first, &KeyWithdrawalRequested{ID: strings.Split(c.secrets["anna"], "_")[1]})
	isolated := c.order[1]
	c.logDown = true
	c.cut = func(a, b mesh.Host) bool { return a == isolated.member.Node.Host || b == isolated.member.Node.Host }
	c.run(3 * time.Second)
	for _, n := range []*testNode{first, isolated} {
		got := c.call1(n, "anna", "POST", "/orders", ticket)
		if got.whole || got.refusal.Execution != outcome.MayHaveRun {
			t.Errorf("%s answers %+v, want may-have-run", n.member.Node, got)
		}
	}
}

// Guards against a node that stays without evidence in an outage of the log
// because it has not folded the record that names the panel.
func TestNodeThatMissedThePanelRecordCatchesUp(t *testing.T) {
	c := newCluster(t, 9, testMesh, "shop", "shop", "shop", "stock", "stock")
	late := c.order[0]
	for !late.joined() || c.order[1].State().Panel().Epoch > 0 {
		c.run(TickInterval)
		if c.now > 5*time.Second {
			t.Fatal("the panel was named before host-0 joined")
		}
	}
	if late.State().Panel().Epoch != 0 {
		t.Fatal("host-0 knows the panel; the case is not reached")
	}
	c.logCut = func(h mesh.Host) bool { return h == late.member.Node.Host }
	c.run(8 * time.Second)
	c.logDown = true
	c.run(5 * time.Second)
	if got := c.call1(late, "anna", "GET", "/items/1", ""); !got.whole {
		t.Fatalf("host-0 after the outage began: %+v", got.refusal)
	}
}

// Guards against a live node that others removed during a partition and that can
// never join again, and against removals and joins that flood the log meanwhile.
func TestPartitionedNodeJoinsAgain(t *testing.T) {
	c := testCluster(t, 10)
	alone := c.order[0]
	c.cut = func(a, b mesh.Host) bool {
		return (a == alone.member.Node.Host) != (b == alone.member.Node.Host)
	}
	before, removed := len(c.log), false
	for i := range 120 {
		c.call(c.order[1+i%4], "bjorn", "GET", "/items/1", "")
		c.call(alone, "bjorn", "GET", "/items/1", "")
		c.run(time.Second)
		removed = removed || !c.order[1].isMember(alone.member.Node)
		for _, n := range c.order[1:] {
			if !c.order[1].isMember(n.member.Node) {
				t.Fatalf("%s of the majority was removed", n.member.Node.Host)
			}
		}
	}
	if !removed {
		t.Fatal("the node was never removed; the case is not reached")
	}
	if appends := len(c.log) - before; appends > 120 {
		t.Fatalf("%d appends in a partition of 120 s", appends)
	}
	c.cut = func(a, b mesh.Host) bool { return false }
	c.run(20 * time.Second)
	for _, n := range c.order {
		if !n.isMember(alone.member.Node) {
			t.Fatalf("%s does not list the node that was removed", n.member.Node.Host)
		}
		if got := c.call1(n, "anna", "GET", "/items/1", ""); !got.whole {
			t.Fatalf("entry %s: %v", n.member.Node.Host, got.refusal)
		}
	}
}

// Guards against a node that is removed because one message to it failed, with
// no later message that could show that it is reachable.
func TestOneFailedMessageRemovesNobody(t *testing.T) {
	c := testCluster(t, 11)
	suspect := c.order[0].member.Node
	for _, n := range c.order[1:] {
		c.step(n, &PeerUnreachable{Node: suspect})
	}
	c.run(2 * unreachableAfter)
	if !c.order[1].isMember(suspect) {
		t.Fatal("a reachable node was removed")
	}
}

// Guards against a time without evidence between the last read of the log and
// the first answers of the panel.
func TestNoCallIsRefusedWhenTheLogGoesDown(t *testing.T) {
	c := testCluster(t, 12)
	var names []callName
	for i := range 200 {
		if i == 40 {
			c.logDown = true
		}
		for _, n := range c.order {
			if i%5 == 0 {
				names = append(names, c.call(n, "anna", "GET", "/items/1", ""))
			}
		}
		c.run(50 * time.Millisecond)
	}
	c.run(2 * time.Second)
	for _, name := range names {
		if got := c.ends[name]; !got.whole {
			t.Fatalf("call %v: %v", name, got.refusal)
		}
	}
}
