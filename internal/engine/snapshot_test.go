package engine

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// newTruncatedCluster returns a cluster whose log has dropped the records that a snapshot
// covers.
func newTruncatedCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed, testMesh)
	c.snapshotEvery = 4
	for i, s := range []mesh.Service{"shop", "shop", "shop", "stock", "stock"} {
		c.start(mesh.Host("host-"+string(rune('0'+i))), s)
	}
	c.run(10 * time.Second)
	c.truncate()
	if c.logFirst == 0 {
		t.Fatal("no node has written a snapshot")
	}
	return c
}

// Guards against a log without snapshots or with too many, and against a node that
// cannot start after the log has dropped old records.
func TestStartAfterTruncation(t *testing.T) {
	c := newTruncatedCluster(t, 80)
	if len(c.snapshots) > len(c.log)/2 {
		t.Errorf("%d snapshots for %d records, want at most half as many", len(c.snapshots), len(c.log))
	}
	n := c.start("host-9", "shop")
	c.run(5 * time.Second)
	// Serving(6) requires that the log has the five nodes and host-9 as members.
	if !n.Serving(6) || n.State().Digest() != c.started[0].State().Digest() {
		t.Fatalf("host-9 does not serve or has another configuration at offset %d of %d", n.State().Offset(), len(c.log))
	}
	if got := c.callAndWait(n, "anna", "GET", "/items/1", ""); !got.complete {
		t.Fatalf("entry at the new node: %v", got.refusal)
	}
}

// Guards against a node that cannot start although its peers have the records that the
// log lacks, and against a node that serves although it lacks records.
func TestStartAfterTruncationWithoutSnapshot(t *testing.T) {
	for _, peersReachable := range []bool{true, false} {
		c := newTruncatedCluster(t, 81)
		c.snapshots = nil
		if !peersReachable {
			c.partitioned = func(a, b mesh.Host) bool { return a == "host-9" || b == "host-9" }
		}
		n := c.start("host-9", "shop")
		c.run(5 * time.Second)
		got := c.callAndWait(n, "anna", "GET", "/items/1", "")
		if peersReachable && !got.complete {
			t.Errorf("with peers: %v", got.refusal)
		}
		if !peersReachable && got.refusal.Reason != outcome.NoConfiguration {
			t.Errorf("without peers: %+v", got)
		}
	}
}

// Guards against a node that, after the append of a snapshot has failed, writes none
// until there are enough new records.
func TestSnapshotIsRepeated(t *testing.T) {
	c := newCluster(t, 82, testMesh)
	c.snapshotEvery = 1
	c.failSnapshotAppends = true
	c.start("host-0", "shop")
	c.run(10 * time.Second)
	if len(c.log) < 4 { // the first three, a change and two keys, are from newCluster
		t.Fatalf("%d records are too few for a snapshot", len(c.log))
	}
	c.failSnapshotAppends = false
	c.run(2 * snapshotRetryDelay)
	if len(c.snapshots) == 0 {
		t.Fatal("no snapshot was written after appends succeed again")
	}
}

// Guards against a configuration that is replaced by an older snapshot from the log or
// from a peer.
func TestOldSnapshotIsIgnored(t *testing.T) {
	c := newTruncatedCluster(t, 83)
	n := c.started[0]
	offset, digest := n.State().Offset(), n.State().Digest()
	old := c.snapshots[0]
	c.step(n, &SnapshotRead{Data: old})
	c.step(n, &MessageReceived{Envelope: mesh.Envelope{From: c.started[1].member.Node, To: n.member.Node,
		Message: RecordsReply{Snapshot: old}}})
	if n.State().Offset() != offset || n.State().Digest() != digest {
		t.Fatalf("the old snapshot was restored: offset %d became %d", offset, n.State().Offset())
	}
}
