package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// reportProblems fails the test if the recorder has found problems.
func (r *recorder) reportProblems(t *testing.T) {
	t.Helper()
	for _, p := range r.problems {
		t.Error(p)
	}
}

// callPeriodically sends calls of a workspace to a node until the node ends.
func (r *recorder) callPeriodically(interval time.Duration, n *testNode, ws mesh.Workspace) {
	r.c.every(interval, n, func() { r.sendRequest(n, ws, "GET", "/items/1", "", nil) })
}

// runUntil runs the cluster until a condition holds, for at most 30 s.
func (c *cluster) runUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for limit := c.now + 30*time.Second; !holds(); c.run(10 * time.Millisecond) {
		if c.now > limit {
			t.Fatalf("not %s after 30 s", condition)
		}
	}
}

// folded returns the configuration after all records of the log.
func (c *cluster) folded() *config.State {
	s := config.New()
	for i, data := range c.log {
		s.Fold(uint64(i), data)
	}
	return s
}

// newObservedCluster returns a cluster and a recorder of its calls.
func newObservedCluster(t *testing.T, seed uint64) (*cluster, *recorder) {
	c := newTestCluster(t, seed)
	return c, newRecorderWithPlainUpstreams(c)
}

// newRecorderWithPlainUpstreams returns a recorder of a cluster whose upstreams always
// respond with status 200.
func newRecorderWithPlainUpstreams(c *cluster) *recorder {
	r := newRecorder(c)
	c.upstream = func(n *testNode, e Effect) {
		r.recordExecution(n, e)
		c.after(c.upstreamLatency, func() { c.respond(n, e, 200) })
	}
	return r
}

// Guards against two holders that use the same quota share at once: a holder that was
// removed while it could reach only the log, and its successor, which may restart
// before the assignment is in force.
func TestRemovedHolderAndSuccessorStayWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, restart := range []bool{false, true} {
		for seed := uint64(30); seed < 32; seed++ {
			c, r := newObservedCluster(t, seed)
			holder := c.shareHolder("bjorn")
			isolated := holder.member.Node.Host
			c.partitioned = func(a, b mesh.Host) bool { return (a == isolated) != (b == isolated) }
			for _, n := range c.liveNodes() {
				r.callPeriodically(10*time.Millisecond, n, "bjorn")
			}
			currentHolder := func() mesh.NodeID { return c.folded().Shares("bjorn")[0].Holder }
			c.runUntil(t, "assigned to another node", func() bool { return currentHolder() != holder.member.Node })
			c.cutOffFromLog = func(h mesh.Host) bool { return h == isolated }
			if restart {
				successor := c.nodes[currentHolder()]
				c.kill(successor)
				r.callPeriodically(10*time.Millisecond, c.start(successor.member.Node.Host, successor.member.Service), "bjorn")
			}
			c.run(5 * time.Second)
			r.checkRates()
			r.reportProblems(t)
		}
	}
}

// Guards against a node that accepts a withdrawn key for longer than
// maxUseAfterWithdrawal because it can reach neither the log nor the panel, the nodes
// whose majority confirms during an outage of the log that keys are current.
func TestWithdrawnKeyLapsesAtAnIsolatedNode(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		c, r := newObservedCluster(t, 40)
		isolated := c.started[4].member.Node.Host
		for _, n := range c.liveNodes() {
			r.callPeriodically(10*time.Millisecond, n, "anna")
		}
		c.logDown = logDown
		c.run(time.Second)
		c.partitioned = func(a, b mesh.Host) bool { return (a == isolated) != (b == isolated) }
		c.cutOffFromLog = func(h mesh.Host) bool { return h == isolated }
		c.step(c.started[0], &KeyWithdrawalRequested{KeyID: keyID(c.secrets["anna"])})
		withdrawnAt := c.now
		c.run(5 * time.Second)
		if len(r.withdrawn) != 1 {
			t.Fatalf("log down %v: the withdrawal was not accepted", logDown)
		}
		// The operator gets the decision after withdrawalTimeout, since one node has
		// not confirmed the withdrawal. The check assumes that a majority of the panel
		// has it 100 ms after the request.
		r.withdrawn[keyID(c.secrets["anna"])] = withdrawnAt + 100*time.Millisecond
		r.checkKeys()
		for _, q := range r.requests {
			connected := q.node.member.Node.Host != isolated
			if connected && q.admittedAt != 0 && q.at > withdrawnAt+2*time.Second {
				r.addProblem("%s admitted a call %v after the operator's request, want at most 2 s", q.node.member.Node, q.at-withdrawnAt)
			}
		}
		r.reportProblems(t)
	}
}

// Guards against a planned stop that aborts calls in flight at their entry or serving
// node, or loses the ticket of a running call.
func TestPlannedStopEndsNoCall(t *testing.T) {
	for index := range 3 { // the nodes of service shop, which serves both routes
		c, r := newObservedCluster(t, 50)
		c.upstreamLatency = 800 * time.Millisecond
		var calls []*request
		for _, n := range c.liveNodes() {
			calls = append(calls, r.sendRequest(n, "anna", "GET", "/items/1", "", nil))
			c.step(n, &TicketRequested{Call: c.newCall(), Secret: []byte(c.secrets["anna"])})
			ticket := c.results[callKey{n.member.Node.Host, c.lastCall}].ticket
			calls = append(calls, r.sendRequest(n, "anna", "POST", "/orders", ticket, nil))
		}
		c.run(10 * time.Millisecond)
		stopped := c.started[index]
		c.stop(stopped)
		c.run(5 * time.Second)
		if !stopped.dead {
			t.Fatal("the node has not stopped within 5 s")
		}
		for _, q := range calls {
			if !q.result.complete {
				t.Errorf("call %d at %s was refused: %+v", q.id, q.node.member.Node, q.result.refusal)
			}
		}
		for _, q := range calls {
			if q.ticket == "" {
				continue
			}
			again := r.sendRequest(c.liveNodes()[0], "anna", "POST", "/orders", q.ticket, nil)
			c.run(time.Second)
			if !again.result.complete {
				t.Errorf("repeated call with the ticket of call %d at %s was refused: %+v", q.id, q.node.member.Node, again.result.refusal)
			}
		}
		r.check()
		r.reportProblems(t)
	}
}

// Guards against a lost response between nodes that causes a second execution of a
// non-idempotent call, or a refusal of a call as not run although it has run.
func TestLostAnswerBetweenNodes(t *testing.T) {
	c, r := newObservedCluster(t, 60)
	c.loseResponse = func() bool { return true }
	entry := c.started[4] // serves another service, so every call is forwarded
	q := r.sendRequest(entry, "anna", "POST", "/orders", "", nil)
	c.run(time.Second)
	if q.runs != 1 || q.result.refusal.Execution != outcome.MayHaveRun {
		t.Errorf("order: %d runs and refusal %+v, want 1 run and may-have-run", q.runs, q.result.refusal)
	}
	q = r.sendRequest(entry, "anna", "GET", "/items/1", "", nil)
	c.run(time.Second)
	if q.runs < 2 || q.runs > 1+DefaultRetryAllowance || q.result.refusal.Execution != outcome.MayHaveRun {
		t.Errorf("read: %d runs and refusal %+v, want 2 to 1+DefaultRetryAllowance runs and may-have-run", q.runs, q.result.refusal)
	}
	r.check()
	r.reportProblems(t)
}

// Guards against nodes on the smaller side of a partition that can still read the log and
// remove the others, against removed nodes that never join again, and against a flood of
// removal and join records.
func TestRemovedNodesJoinAgain(t *testing.T) {
	for _, isolated := range [][]mesh.Host{{"host-0"}, {"host-0", "host-3"}} {
		c, r := newObservedCluster(t, 70)
		for _, n := range c.liveNodes() {
			r.callPeriodically(50*time.Millisecond, n, "bjorn") // failed calls show that a node is unreachable
		}
		isIsolated := map[mesh.Host]bool{}
		for _, h := range isolated {
			isIsolated[h] = true
		}
		c.partitioned = func(a, b mesh.Host) bool { return isIsolated[a] != isIsolated[b] }
		c.run(26 * time.Second) // removals take more than removeUnreachableAfter
		if left := len(c.folded().Members()); left != 5-len(isolated) {
			t.Errorf("%v isolated: %d members are left, want the members that are not isolated", isolated, left)
		}
		c.partitioned = func(a, b mesh.Host) bool { return false }
		c.run(15 * time.Second)
		for _, n := range c.liveNodes() {
			for _, other := range c.liveNodes() {
				if _, known := n.members.Lookup(other.member.Node); !known {
					t.Errorf("%v isolated: %s does not know %s", isolated, n.member.Node, other.member.Node)
				}
			}
			if !n.Serving(5) { // 5 is the least number of members in the log
				t.Errorf("%v isolated: %s does not serve again: members %d, fresh %v, inactive %v",
					isolated, n.member.Node, len(n.State().Members()), n.control.fresh, n.quota.Inactive())
			}
			q := r.sendRequest(n, "anna", "GET", "/items/1", "", nil)
			c.run(time.Second)
			if !q.result.complete {
				t.Errorf("%v isolated: %s refused a call after the partition: %v", isolated, n.member.Node, q.result.refusal)
			}
		}
		if records := len(c.log); records > 60 {
			t.Errorf("%v isolated: the log holds %d records, want at most 60", isolated, records)
		}
	}
}

// Guards against a node that removes all others, or names a panel without them, because
// it is the only node that can reach the log and can reach no other node.
func TestOnlyReaderOfTheLogRemovesNoMember(t *testing.T) {
	c, r := newObservedCluster(t, 71)
	for _, n := range c.liveNodes() {
		r.callPeriodically(50*time.Millisecond, n, "bjorn")
	}
	const isolated = "host-1"
	c.partitioned = func(a, b mesh.Host) bool { return (a == isolated) != (b == isolated) }
	c.cutOffFromLog = func(h mesh.Host) bool { return h != isolated }
	c.run(40 * time.Second)
	s := c.folded()
	if len(s.Members()) != 5 || len(s.Panel().Members) != 5 {
		t.Fatalf("%d members and a panel of %d are left, want 5 of each", len(s.Members()), len(s.Panel().Members))
	}
}

// Guards against a withdrawal that counts as accepted because it is in the log, while
// a panel majority that cannot reach the log still accepts the key.
func TestWithdrawalIsAcceptedByAMajority(t *testing.T) {
	c, r := newObservedCluster(t, 72)
	const isolated = "host-1"
	c.partitioned = func(a, b mesh.Host) bool { return (a == isolated) != (b == isolated) }
	c.cutOffFromLog = func(h mesh.Host) bool { return h != isolated }
	c.run(5 * time.Second)
	for _, n := range c.liveNodes() {
		r.callPeriodically(50*time.Millisecond, n, "anna")
	}
	c.step(c.started[1], &KeyWithdrawalRequested{KeyID: keyID(c.secrets["anna"])})
	c.run(8 * time.Second)
	if at, accepted := r.withdrawn[keyID(c.secrets["anna"])]; accepted {
		t.Errorf("the withdrawal was accepted at %v without a majority", at)
	}
	r.checkKeys()
	r.reportProblems(t)
}
