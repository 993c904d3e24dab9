package engine

import (
	"strconv"
	"time"
)

// Defaults of Config for snapshots. Records of one day at the target, 92,000,
// make 90 snapshots; a quiet mesh still writes one within an hour of a change, so
// that a log that keeps records for some hours always has one.
const (
	DefaultSnapshotEvery    = 1024
	DefaultSnapshotInterval = time.Hour
	snapshotRetry           = 10 * time.Second
)

// snapshots is what a node remembers of the snapshots that it wrote itself.
type snapshots struct {
	offset uint64        // of the last one, 0 if none
	next   time.Duration // when the next one is due if there are new records
	token  string        // of the append under way, or empty
}

// writeSnapshot writes a snapshot when enough records or time have passed. One
// node does it for each run of SnapshotEvery records, so that the work moves
// around. If that node is gone unnoticed, the next run has another writer.
func (n *Node) writeSnapshot(now time.Duration) {
	s := &n.control.snapshots
	if s.next == 0 {
		s.next = now + n.cfg.SnapshotInterval
	}
	offset := n.state.Offset()
	run := offset / n.cfg.SnapshotEvery
	due := run > s.offset/n.cfg.SnapshotEvery || offset > s.offset && now >= s.next
	if !due || s.token != "" || !n.configured() || !n.assigns("snapshot "+strconv.FormatUint(run, 10)) {
		return
	}
	data, err := n.state.Snapshot()
	if err != nil {
		s.next = now + n.cfg.SnapshotInterval // folded state that cannot be encoded stays so
		return
	}
	s.offset = offset
	s.next = now + n.cfg.SnapshotInterval
	s.token = n.newToken().String()
	n.emit(Effect{Kind: AppendSnapshot, AppendID: s.token, Data: data})
}

// snapshotEnded notes the end of the append of a snapshot. A second copy does no
// harm, so that any failure is repeated.
func (n *Node) snapshotEnded(now time.Duration, ev *AppendEnded) {
	s := &n.control.snapshots
	s.token = ""
	if ev.Err != nil {
		s.offset = 0
		s.next = now + snapshotRetry
	}
}
