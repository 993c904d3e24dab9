package engine

import (
	"strconv"
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
)

// keyRecord returns the token and the data of a record that issues a key.
func keyRecord(t *testing.T, c *cluster, token byte) (string, []byte) {
	t.Helper()
	_, r, err := keys.Issue(newChaCha8(uint64(token)), "anna")
	if err != nil {
		t.Fatal(err)
	}
	n := c.started[0]
	h := config.Header{Token: config.Token{token}, By: n.member.Node, After: n.LogOffset()}
	data, err := config.NewKeyIssued(h, config.Key{ID: string(r.ID), Hash: r.Hash, Workspace: "anna"})
	if err != nil {
		t.Fatal(err)
	}
	return h.Token.String(), data
}

// Guards against a record that is reported as not accepted because a repeated append
// was refused, although the result of an earlier append is unknown.
func TestProposalWithLostAppendIsUndecided(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.started[0]
	token, data := keyRecord(t, c, 1)
	n.propose(n.lastNow, token, data, true) // not by c.step, which would execute the append
	ended := func(err error) { c.step(n, &AppendEnded{RequestID: token, Err: err}) }
	ended(logservice.ErrUnknown)
	ended(logservice.ErrUnavailable)
	if d := c.decisions[token]; d != nil {
		t.Fatalf("decided %+v while the record may be in the log", d)
	}
	c.logDown = true
	c.run(proposalTimeout + time.Second)
	if d := c.decisions[token]; d == nil || d.Accepted || !d.Undecided {
		t.Fatalf("decision %+v, want undecided", d)
	}
	c.logDown = false
	c.log = append(c.log, data) // the delayed first append
	c.run(time.Second)
	c.step(n, &RecordProposed{Token: token, Data: data})
	if d := c.decisions[token]; !d.Accepted || d.Offset != uint64(len(c.log)-1) {
		t.Fatalf("decision %+v on a folded record, want accepted with its offset", d)
	}
}

// Guards against a second proposal with the same token that replaces the record of
// the first.
func TestSecondProposalWithTheSameTokenIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.started[0]
	token, data := keyRecord(t, c, 1)
	_, other := keyRecord(t, c, 2)
	before := len(c.log)
	c.step(n, &RecordProposed{Token: token, Data: data})
	c.step(n, &RecordProposed{Token: token, Data: other})
	c.run(time.Second)
	if d := c.decisions[token]; d == nil || !d.Accepted || d.Offset != uint64(before) || len(c.log) != before+1 {
		t.Fatalf("decision %+v with %d records appended, want accepted with 1 record", d, len(c.log)-before)
	}
}

// Guards against a drain request that fails because one message is lost, and against
// a drain of an unreachable node that is reported as accepted.
func TestDrainOfAnotherNode(t *testing.T) {
	c := newTestCluster(t, 1)
	n, other, killed := c.started[0], c.started[1], c.started[2]
	c.lossRate = 0.5
	c.step(n, &NodeDrainRequested{Token: "a", Node: other.member.Node})
	c.run(drainTimeout)
	if d := c.decisions["a"]; d == nil || !d.Accepted || !other.Report().LocalUpstream.Draining {
		t.Fatalf("decision %+v with upstream %+v, want accepted and draining", d, other.Report().LocalUpstream)
	}
	c.kill(killed)
	c.step(n, &NodeDrainRequested{Token: "b", Node: killed.member.Node})
	c.run(drainTimeout + time.Second)
	if d := c.decisions["b"]; d == nil || d.Accepted || !d.Undecided {
		t.Fatalf("decision %+v, want undecided", d)
	}
}

// Guards against members that are shown with a status although they have not reported
// one, and against a report in which the evidence of a current node has expired.
func TestStatusOfMembers(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.started[0]
	c.kill(c.started[1])
	c.step(n, &StatusRequested{})
	c.run(100 * time.Millisecond)
	for _, m := range n.Members() {
		dead := m.Node == c.started[1].member.Node
		if m.Known == dead || !dead && m.Status.Digest != n.State().Digest() {
			t.Errorf("member %s: status known %t, %+v", m.Node, m.Known, m.Status)
		}
	}
	if until := n.Report().FreshUntil; until <= n.unixNano(n.lastNow) {
		t.Errorf("evidence is fresh until %d, not after the current time %d (Unix time in ns)", until, n.unixNano(n.lastNow))
	}
}

// Guards against a planned stop that waits until the timeout for the reply to its
// handover. The successor cannot reply to a node that has already left.
func TestPlannedStopDoesNotWaitForALostReply(t *testing.T) {
	c := newTestCluster(t, 1)
	n := c.started[len(c.started)-1] // no other node has it as a seed, so none replies after it has left
	c.step(n, &StopRequested{})
	c.run(stopLinger + time.Second)
	if !n.stopped {
		t.Fatalf("the stop is not complete after %s", stopLinger+time.Second)
	}
}

// Guards against status requests to every node of a large fleet, and against a sample
// that always omits the same nodes.
func TestStatusRequestsGoToASample(t *testing.T) {
	n := New(Config{})
	n.control.foldedMembers = make([]mesh.Member, 25_000)
	for i := range n.control.foldedMembers {
		n.control.foldedMembers[i].Node = mesh.NodeID{Host: mesh.Host(strconv.Itoa(i)), Incarnation: 1}
	}
	seen := map[mesh.NodeID]bool{}
	for offset := range uint64(100) { // the offset selects the sample
		asked := n.statusTargets(offset)
		if len(asked) > maxStatusTargets {
			t.Fatalf("%d nodes are asked, above maxStatusTargets", len(asked))
		}
		for _, id := range asked {
			seen[id] = true
		}
	}
	if len(seen) != len(n.control.foldedMembers) {
		t.Fatalf("%d of %d nodes were ever asked", len(seen), len(n.control.foldedMembers))
	}
}

// Guards against a proposal with a malformed token that is dropped without a decision
// for the operator.
func TestProposalWithAMalformedTokenIsRejected(t *testing.T) {
	c := newTestCluster(t, 1)
	c.step(c.started[0], &RecordProposed{Token: "no token", Data: []byte("{}")})
	if d := c.decisions["no token"]; d == nil || d.Accepted || d.Reason == "" {
		t.Fatalf("decision %+v, want a rejection with its reason", d)
	}
}
