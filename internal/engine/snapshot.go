package engine

import (
	"strconv"
	"time"
)

// Defaults of Config for snapshots. At the target load of 92,000 records a day,
// 1,024 records per snapshot give 90 snapshots a day. With few changes a snapshot
// is written within an hour of a change, so that a log that retains records for
// some hours always contains one.
const (
	DefaultSnapshotEvery    = 1024
	DefaultSnapshotInterval = time.Hour
	snapshotRetryDelay      = 10 * time.Second // after a failed append; see snapshotEnded
)

// snapshotState is the state of the snapshots that this node writes.
type snapshotState struct {
	offset uint64        // offset of the last snapshot, 0 if none or if its append failed
	next   time.Duration // when the next snapshot is due, if there are new records
	token  string        // RequestID of the append in progress, or empty
}

// writeSnapshot writes a snapshot after SnapshotEvery records or SnapshotInterval.
// The node that writes it is chosen for each block of SnapshotEvery records, which
// distributes the work. If that node has failed without being noticed, the next
// block can have another writer.
func (n *Node) writeSnapshot(now time.Duration) {
	s := &n.control.snapshots
	if s.next == 0 {
		s.next = now + n.cfg.SnapshotInterval
	}
	offset := n.state.Offset()
	block := offset / n.cfg.SnapshotEvery
	due := block > s.offset/n.cfg.SnapshotEvery || offset > s.offset && now >= s.next
	if !due || s.token != "" || !n.configured() || !n.ownsTask("snapshot "+strconv.FormatUint(block, 10)) {
		return
	}
	data, err := n.state.Snapshot()
	if err != nil {
		s.next = now + n.cfg.SnapshotInterval // an immediate retry would fail as well: the state is the same
		return
	}
	s.offset = offset
	s.next = now + n.cfg.SnapshotInterval
	s.token = n.newRecordToken().String()
	n.emit(Effect{Kind: AppendSnapshot, RequestID: s.token, Data: data})
}

// snapshotEnded handles the end of the append of a snapshot. After an error, even if the
// result is unknown, a snapshot is due again: after snapshotRetryDelay in the first block
// of SnapshotEvery records, and at the next pass of assign in later blocks. A duplicate
// snapshot has no effect.
func (n *Node) snapshotEnded(now time.Duration, ev *AppendEnded) {
	s := &n.control.snapshots
	s.token = ""
	if ev.Err != nil {
		s.offset = 0
		s.next = now + snapshotRetryDelay
	}
}
