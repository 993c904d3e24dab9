package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// report fails the test with what the recorder has found.
func (r *recorder) report(t *testing.T) {
	t.Helper()
	for _, p := range r.problems {
		t.Error(p)
	}
}

// callEvery sends calls of a workspace through a node until it is dead.
func (r *recorder) callEvery(interval time.Duration, n *testNode, ws mesh.Workspace) {
	r.c.every(interval, n, func() { r.customer(n, ws, "GET", "/items/1", "", nil) })
}

// runUntil runs the cluster until a condition holds.
func (c *cluster) runUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := c.now + 30*time.Second; !holds(); c.run(10 * time.Millisecond) {
		if c.now > limit {
			t.Fatalf("after 30 s: not %s", what)
		}
	}
}

// folded returns the configuration of the whole log.
func (c *cluster) folded() *config.State {
	s := config.New()
	for i, data := range c.log {
		s.Fold(uint64(i), data)
	}
	return s
}

// observedCluster is a cluster whose calls are recorded.
func observedCluster(t *testing.T, seed uint64) (*cluster, *recorder) {
	c := testCluster(t, seed)
	return c, observePlainly(c)
}

// observePlainly records a cluster whose upstreams always answer.
func observePlainly(c *cluster) *recorder {
	r := observe(c)
	c.upstream = func(n *testNode, e Effect) {
		r.ran(n, e)
		c.at(c.service, func() { c.answer(n, e, 200) })
	}
	return r
}

// Guards against two holders that use the same share: one that was removed while
// nobody but the log reached it, and its successor, which may itself restart
// before the assignment is in force.
func TestRemovedHolderAndSuccessorStayWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, restart := range []bool{false, true} {
		for seed := uint64(30); seed < 32; seed++ {
			c, r := observedCluster(t, seed)
			holder := c.holderOf("bjorn")
			apart := holder.member.Node.Host
			c.cut = func(a, b mesh.Host) bool { return (a == apart) != (b == apart) }
			for _, n := range c.living() {
				r.callEvery(10*time.Millisecond, n, "bjorn")
			}
			next := func() mesh.NodeID { return c.folded().Shares("bjorn")[0].Holder }
			c.runUntil(t, "assigned to another node", func() bool { return next() != holder.member.Node })
			c.logCut = func(h mesh.Host) bool { return h == apart }
			if restart {
				successor := c.nodes[next()]
				c.kill(successor)
				r.callEvery(10*time.Millisecond, c.start(successor.member.Node.Host, successor.member.Service), "bjorn")
			}
			c.run(5 * time.Second)
			r.checkRates()
			r.report(t)
		}
	}
}

// Guards against a node that accepts a withdrawn key after the bound because
// neither the log nor the panel reaches it.
func TestWithdrawnKeyLapsesAtAnIsolatedNode(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		c, r := observedCluster(t, 40)
		apart := c.order[4].member.Node.Host
		for _, n := range c.living() {
			r.callEvery(10*time.Millisecond, n, "anna")
		}
		c.logDown = logDown
		c.run(time.Second)
		c.cut = func(a, b mesh.Host) bool { return (a == apart) != (b == apart) }
		c.logCut = func(h mesh.Host) bool { return h == apart }
		c.step(c.order[0], &KeyWithdrawalRequested{ID: keyID(c.secrets["anna"])})
		withdrawnAt := c.now
		c.run(5 * time.Second)
		if len(r.withdrawn) != 1 {
			t.Fatalf("log down %v: the withdrawal was not accepted", logDown)
		}
		// The operator is answered after 2 s at most, since one node has not
		// confirmed; the panel held the withdrawal long before.
		r.withdrawn[keyID(c.secrets["anna"])] = withdrawnAt + 100*time.Millisecond
		r.checkKeys()
		for _, q := range r.requests {
			connected := q.node.member.Node.Host != apart
			if connected && q.charged != 0 && q.at > withdrawnAt+2*time.Second {
				r.problem("%s admitted a call %v after the operator's request", q.node.member.Node, q.at-withdrawnAt)
			}
		}
		r.report(t)
	}
}

// Guards against a planned stop that ends calls in flight at their entry node or
// beside their upstream, or that loses the ticket of one that is running.
func TestPlannedStopEndsNoCall(t *testing.T) {
	for at := range 3 {
		c, r := observedCluster(t, 50)
		c.service = 800 * time.Millisecond
		var calls []*request
		for _, n := range c.living() {
			calls = append(calls, r.customer(n, "anna", "GET", "/items/1", "", nil))
			c.step(n, &TicketRequested{Call: c.newCall(), Secret: []byte(c.secrets["anna"])})
			ticket := c.ends[callName{n.member.Node.Host, c.nextCall}].ticket
			calls = append(calls, r.customer(n, "anna", "POST", "/orders", ticket, nil))
		}
		c.run(10 * time.Millisecond)
		stopped := c.order[at]
		c.stop(stopped)
		c.run(5 * time.Second)
		if !stopped.dead {
			t.Fatal("the node has not stopped")
		}
		for _, q := range calls {
			if !q.result.whole {
				t.Errorf("call %d at %s: %+v", q.id, q.node.member.Node, q.result.refusal)
			}
		}
		for _, q := range calls {
			if q.ticket == "" {
				continue
			}
			again := r.customer(c.living()[0], "anna", "POST", "/orders", q.ticket, nil)
			c.run(time.Second)
			if !again.result.whole {
				t.Errorf("ticket of call %d at %s again: %+v", q.id, q.node.member.Node, again.result.refusal)
			}
		}
		r.check()
		r.report(t)
	}
}

// Guards against a lost answer between nodes that turns into a second execution
// or into "not run".
func TestLostAnswerBetweenNodes(t *testing.T) {
	c, r := observedCluster(t, 60)
	c.loseAnswer = func() bool { return true }
	entry := c.order[4] // serves another service, so that every call is forwarded
	q := r.customer(entry, "anna", "POST", "/orders", "", nil)
	c.run(time.Second)
	if q.runs != 1 || q.result.refusal.Execution != outcome.MayHaveRun {
		t.Errorf("order: %d runs, %+v", q.runs, q.result.refusal)
	}
	q = r.customer(entry, "anna", "GET", "/items/1", "", nil)
	c.run(time.Second)
	if q.runs < 2 || q.runs > 1+DefaultRetryAllowance || q.result.refusal.Execution != outcome.MayHaveRun {
		t.Errorf("read: %d runs, %+v", q.runs, q.result.refusal)
	}
	r.check()
	r.report(t)
}

// Guards against a node that is cut off from all others but not from the log and
// removes them, and against removed nodes that stay outside for good.
func TestRemovedNodesReturn(t *testing.T) {
	for _, apart := range [][]mesh.Host{{"host-0"}, {"host-0", "host-3"}} {
		c, r := observedCluster(t, 70)
		for _, n := range c.living() {
			r.callEvery(50*time.Millisecond, n, "bjorn") // calls find out that a node is dead
		}
		inside := map[mesh.Host]bool{}
		for _, h := range apart {
			inside[h] = true
		}
		c.cut = func(a, b mesh.Host) bool { return inside[a] != inside[b] }
		c.run(26 * time.Second)
		if left := len(c.folded().Members()); left != 5-len(apart) {
			t.Errorf("%v apart: %d members are left", apart, left)
		}
		c.cut = func(a, b mesh.Host) bool { return false }
		c.run(15 * time.Second)
		for _, n := range c.living() {
			for _, other := range c.living() {
				if _, known := n.members.Lookup(other.member.Node); !known {
					t.Errorf("%v apart: %s does not know %s", apart, n.member.Node, other.member.Node)
				}
			}
			if !n.Serving(5) {
				t.Errorf("%v apart: %s does not serve again: members %d, fresh %v, inactive %v",
					apart, n.member.Node, len(n.State().Members()), n.control.fresh, n.quota.Inactive())
			}
			q := r.customer(n, "anna", "GET", "/items/1", "", nil)
			c.run(time.Second)
			if !q.result.whole {
				t.Errorf("%v apart: %s answers %v", apart, n.member.Node, q.result.refusal)
			}
		}
		if records := len(c.log); records > 60 {
			t.Errorf("%v apart: the log holds %d records", apart, records)
		}
	}
}

// Guards against the one node that reaches the log, but no other node, and that
// removes the others or makes a panel of its own.
func TestLoneReaderOfTheLogRemovesNobody(t *testing.T) {
	c, r := observedCluster(t, 71)
	for _, n := range c.living() {
		r.callEvery(50*time.Millisecond, n, "bjorn")
	}
	const alone = "host-1"
	c.cut = func(a, b mesh.Host) bool { return (a == alone) != (b == alone) }
	c.logCut = func(h mesh.Host) bool { return h != alone }
	c.run(40 * time.Second)
	s := c.folded()
	if len(s.Members()) != 5 || len(s.Panel().Members) != 5 {
		t.Fatalf("%d members and a panel of %d are left of 5", len(s.Members()), len(s.Panel().Members))
	}
}

// Guards against a withdrawal that counts as accepted because the log carries it,
// while a panel majority that the log does not reach goes on with the key.
func TestWithdrawalIsAcceptedByAMajority(t *testing.T) {
	c, r := observedCluster(t, 72)
	const alone = "host-1"
	c.cut = func(a, b mesh.Host) bool { return (a == alone) != (b == alone) }
	c.logCut = func(h mesh.Host) bool { return h != alone }
	c.run(5 * time.Second)
	for _, n := range c.living() {
		r.callEvery(50*time.Millisecond, n, "anna")
	}
	c.step(c.order[1], &KeyWithdrawalRequested{ID: keyID(c.secrets["anna"])})
	c.run(8 * time.Second)
	if at, accepted := r.withdrawn[keyID(c.secrets["anna"])]; accepted {
		t.Errorf("the withdrawal was accepted at %v without a majority", at)
	}
	r.checkKeys()
	r.report(t)
}
