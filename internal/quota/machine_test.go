package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomhatch/internal/evidence"
	"cardamomhatch/internal/mesh"
)

// TestMain sets defaults for rapid's flags: a fixed seed, so that runs are reproducible,
// fewer checks, and no failure files.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine applies random faults to a cluster whose nodes read a fake log.
type machine struct {
	*cluster
	t           *rapid.T
	log         *fakeLog
	epoch       uint64
	partitionAt int // nodes with a lower index cannot reach the others
	demand      int // calls per 10 ms, made at a node that changes every 100 ms
	incarnation mesh.Incarnation
}

const machineNodes, machineShares = 5, 2

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, log: &fakeLog{unreachable: map[int]bool{}}, incarnation: 1}
	m.cluster = newCluster(rapid.Uint64().Draw(t, "seed"), machineNodes, Limit{ws, 100, 30})
	m.tick = 10 * time.Millisecond
	m.cluster.partitioned = func(from, to int) bool { return (from < m.partitionAt) != (to < m.partitionAt) }
	m.cluster.check = m.checkSingleUser
	panel := evidence.Panel{Epoch: 1, Settled: true}
	for _, n := range m.nodes {
		panel.Members = append(panel.Members, n.id)
		n.engine = newTestEngine(n, m.log)
	}
	m.log.records = append(m.log.records, record{panel: &panel})
	m.appendShares(func(int) mesh.NodeID { return m.nodes[0].id }, true)
	m.runTo(time.Second)
	m.makeCalls()
	return m
}

// makeCalls makes the demanded calls and schedules itself again after 10 ms.
func (m *machine) makeCalls() {
	for range m.demand {
		if n := m.nodes[int(m.now/(100*time.Millisecond))%machineNodes]; !n.paused {
			n.call()
		}
	}
	m.after(10*time.Millisecond, m.makeCalls)
}

func (m *machine) appendShares(holder func(i int) mesh.NodeID, first bool) {
	m.epoch++
	shares := make([]Share, machineShares)
	for i := range shares {
		shares[i] = Share{Workspace: ws, Index: i, Count: machineShares, Holder: holder(i),
			Epoch: m.epoch, Offset: uint64(len(m.log.records)), First: first}
	}
	m.log.records = append(m.log.records, record{shares: shares})
}

func (m *machine) lastShares() []Share {
	for i := len(m.log.records) - 1; ; i-- {
		if m.log.records[i].shares != nil {
			return m.log.records[i].shares
		}
	}
}

// checkSingleUser asserts that at most one node can use each share now.
func (m *machine) checkSingleUser() {
	var users [machineShares][]mesh.NodeID
	for _, n := range m.nodes {
		if n.dead || n.paused {
			continue
		}
		n.engine.updateFreshUntil(n)
		a := n.limiter.accounts[ws]
		for _, h := range a.held {
			if n.limiter.usable(h, n.clock()) {
				users[h.share.Index] = append(users[h.share.Index], n.id)
			}
		}
	}
	for i, u := range users {
		if len(u) > 1 {
			m.t.Fatalf("at %v: share %d has %d users: %v", m.now, i, len(u), u)
		}
	}
}

func (m *machine) pick(label string) *testNode {
	return m.nodes[rapid.IntRange(0, machineNodes-1).Draw(m.t, label)]
}

func (m *machine) restart(i int) {
	m.incarnation++
	m.cluster.shares = nil // the node learns its shares from the log
	m.startNode(i, m.incarnation)
	m.nodes[i].engine = newTestEngine(m.nodes[i], m.log)
}

// moveShare appends a record that assigns one random share to a node.
func (m *machine) moveShare(to *testNode) {
	if m.log.down {
		return
	}
	last, index := m.lastShares(), rapid.IntRange(0, machineShares-1).Draw(m.t, "index")
	m.appendShares(func(i int) mesh.NodeID {
		if i == index {
			return to.id
		}
		return last[i].Holder
	}, false)
}

// handOver stops node n in a planned way: its shares go to another node, and it restarts.
func (m *machine) handOver(n, to *testNode) {
	if m.log.down || n == to || n.paused {
		return
	}
	last, previous := m.lastShares(), n.id
	n.emit(n.limiter.HandOver(n.clock(), to.id, nil))
	m.appendShares(func(i int) mesh.NodeID {
		if last[i].Holder == previous {
			return to.id
		}
		return last[i].Holder
	}, false)
	m.restart(n.index)
}

func (m *machine) newPanel() {
	last := m.log.lastPanel()
	if m.log.down || !last.Settled {
		return
	}
	next := evidence.Panel{Epoch: last.Epoch + 1, Offset: uint64(len(m.log.records)), Previous: last.Members}
	start, size := rapid.IntRange(0, machineNodes-1).Draw(m.t, "first"), rapid.IntRange(3, machineNodes).Draw(m.t, "size")
	for i := range size {
		next.Members = append(next.Members, m.nodes[(start+i)%machineNodes].id)
	}
	m.log.records = append(m.log.records, record{panel: &next})
}

func (m *machine) step() {
	kind := rapid.SampledFrom([]string{"calls", "calls", "calls", "calls", "move", "move", "restart", "restart", "pause", "pause",
		"partition", "log outage", "log unreachable", "loss", "handover", "panel", "wait"}).Draw(m.t, "step")
	switch kind {
	case "calls":
		m.demand = rapid.SampledFrom([]int{0, 1, 5, 20}).Draw(m.t, "demand")
	case "move":
		m.moveShare(m.pick("to"))
	case "restart":
		m.restart(m.pick("restarted").index)
	case "pause":
		n := m.pick("paused")
		n.paused = true
		m.after(time.Duration(m.rng.IntN(4000))*time.Millisecond, func() { n.paused = false })
	case "partition":
		m.partitionAt = rapid.IntRange(0, machineNodes-1).Draw(m.t, "first of the second part")
	case "log outage":
		m.log.down = !m.log.down
	case "log unreachable":
		i := m.pick("node").index
		m.log.unreachable[i] = !m.log.unreachable[i]
	case "loss":
		m.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(m.t, "loss")
		m.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(m.t, "duplicate")
		m.jitter = time.Duration(rapid.SampledFrom([]int{1, 50, 900}).Draw(m.t, "jitter")) * time.Millisecond
	case "handover":
		m.handOver(m.pick("from"), m.pick("to"))
	case "panel":
		m.newPanel()
	}
	m.runTo(m.now + time.Duration(m.rng.IntN(1500))*time.Millisecond)
}

// Guards against two users of one share and against more than rate x T + burst calls in
// any interval T, under message loss, duplication, delay and reordering, pauses,
// restarts, partitions, log outages, planned stops and changes of the panel.
func TestBoundUnderFaults(t *testing.T) {
	taken, moved := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
		}
		checkBound(t, m.taken, m.limit)
		taken += m.results[Taken]
		for _, n := range m.nodes {
			if n.index > 0 && len(n.limiter.accounts[ws].held) > 0 {
				moved++
			}
		}
	})
	t.Logf("%d calls taken, %d holders other than the first at the end", taken, moved)
	if taken < 10_000 || moved < 10 {
		t.Errorf("the random schedules cover too little: %d calls taken, %d holders other than the first, want at least 10000 and 10", taken, moved)
	}
}
