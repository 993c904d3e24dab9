package engine

import (
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// shareHolder returns the node that holds a workspace's first share.
func (c *cluster) shareHolder(ws mesh.Workspace) *testNode {
	return c.nodes[c.liveNodes()[0].State().Shares(ws)[0].Holder]
}

// Guards against a share that, after a planned stop of its holder, is not in use again
// until evidence.FreshFor plus clock drift has passed. Only a holder that does not
// release its share, as after a crash, requires that wait.
func TestPlannedStopReleasesShares(t *testing.T) {
	c := newTestCluster(t, 20)
	holder := c.shareHolder("bjorn")
	c.stop(holder)
	c.run(1500 * time.Millisecond) // for the node-left record and the shares record, with 500 ms between assignments
	next := c.shareHolder("bjorn")
	if next == nil || next == holder {
		t.Fatal("the share of bjorn has no new holder 1.5 s after the start of the stop")
	}
	if waiting := next.quota.Inactive(); len(waiting) > 0 {
		t.Fatalf("shares of %s are not active: %v", next.member.Node, waiting)
	}
}

// Guards against a node that refuses a repeated call as not run, because the key is
// withdrawn or the node is isolated, before it looks up the call's ticket. The call has run.
func TestRefusalBeforeTicketLookup(t *testing.T) {
	c := newTestCluster(t, 21)
	first := c.started[0]
	ticket := c.ticketFrom(first, "anna")
	if got := c.callAndWait(first, "anna", "POST", "/orders", ticket); !got.complete {
		t.Fatalf("order: %+v", got)
	}
	c.step(first, &KeyWithdrawalRequested{KeyID: strings.Split(c.secrets["anna"], "_")[1]})
	isolated := c.started[1]
	c.logDown = true
	c.partitioned = func(a, b mesh.Host) bool { return a == isolated.member.Node.Host || b == isolated.member.Node.Host }
	c.run(3 * time.Second)
	for _, n := range []*testNode{first, isolated} {
		got := c.callAndWait(n, "anna", "POST", "/orders", ticket)
		if got.complete || got.refusal.Execution != outcome.MayHaveRun {
			t.Errorf("%s returned %+v, want may-have-run", n.member.Node, got)
		}
	}
}

// Guards against a node that refuses calls during an outage of the log, because it has
// not folded the record that names the panel and so does not know which nodes can
// confirm that its configuration is current.
func TestNodeWithoutThePanelRecordCatchesUp(t *testing.T) {
	c := newCluster(t, 9, testMesh, "shop", "shop", "shop", "stock", "stock")
	late := c.started[0]
	for !late.joined() || c.started[1].State().Panel().Epoch > 0 {
		c.run(TickInterval)
		if c.now > 5*time.Second {
			t.Fatal("the panel was named before host-0 joined")
		}
	}
	if late.State().Panel().Epoch != 0 {
		t.Fatal("host-0 has already folded the panel record; the test needs a node that has not")
	}
	c.cutOffFromLog = func(h mesh.Host) bool { return h == late.member.Node.Host }
	c.run(8 * time.Second)
	c.logDown = true
	c.run(5 * time.Second)
	if got := c.callAndWait(late, "anna", "GET", "/items/1", ""); !got.complete {
		t.Fatalf("host-0 refused a call during the outage: %+v", got.refusal)
	}
}

// Guards against a running node that was removed during a partition and can never join
// again, and against a flood of removal and join records during the partition.
func TestPartitionedNodeJoinsAgain(t *testing.T) {
	c := newTestCluster(t, 10)
	isolated := c.started[0]
	c.partitioned = func(a, b mesh.Host) bool {
		return (a == isolated.member.Node.Host) != (b == isolated.member.Node.Host)
	}
	before, removed := len(c.log), false
	for i := range 120 {
		c.call(c.started[1+i%4], "bjorn", "GET", "/items/1", "")
		c.call(isolated, "bjorn", "GET", "/items/1", "")
		c.run(time.Second)
		removed = removed || !c.started[1].isMember(isolated.member.Node)
		for _, n := range c.started[1:] {
			if !c.started[1].isMember(n.member.Node) {
				t.Fatalf("%s of the majority was removed", n.member.Node.Host)
			}
		}
	}
	if !removed {
		t.Fatal("host-0 was not removed within 120 s; the test needs a removal")
	}
	if appends := len(c.log) - before; appends > 120 {
		t.Fatalf("%d appends in a partition of 120 s, want at most 120", appends)
	}
	c.partitioned = func(a, b mesh.Host) bool { return false }
	c.run(20 * time.Second)
	for _, n := range c.started {
		if !n.isMember(isolated.member.Node) {
			t.Fatalf("%s does not list host-0 as a member 20 s after the partition", n.member.Node.Host)
		}
		if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); !got.complete {
			t.Fatalf("entry %s refused a call after the partition: %v", n.member.Node.Host, got.refusal)
		}
	}
}

// Guards against the removal of a node because one message to it failed and no later
// message shows that it is reachable.
func TestOneFailedMessageRemovesNoMember(t *testing.T) {
	c := newTestCluster(t, 11)
	suspect := c.started[0].member.Node
	for _, n := range c.started[1:] {
		c.step(n, &PeerUnreachable{Node: suspect})
	}
	c.run(2 * removeUnreachableAfter)
	if !c.started[1].isMember(suspect) {
		t.Fatal("host-0 was removed although it is reachable")
	}
}

// Guards against calls that are refused shortly after the log goes down, because what
// the last read of the log confirmed lapses before the panel, which confirms it during
// an outage, has replied.
func TestNoCallIsRefusedWhenTheLogGoesDown(t *testing.T) {
	c := newTestCluster(t, 12)
	var calls []callKey
	for i := range 200 {
		if i == 40 {
			c.logDown = true
		}
		for _, n := range c.started {
			if i%5 == 0 {
				calls = append(calls, c.call(n, "anna", "GET", "/items/1", ""))
			}
		}
		c.run(50 * time.Millisecond)
	}
	c.run(2 * time.Second)
	for _, key := range calls {
		if got := c.results[key]; !got.complete {
			t.Fatalf("call %v was refused: %v", key, got.refusal)
		}
	}
}
