package routing

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

const (
	ms      = time.Millisecond
	orders  = mesh.Service("orders")
	latency = 20 * ms // of a healthy node
)

// behaviour returns the sample of an attempt that is sent at the given time to a simulated
// node, which then has inFlight attempts, including this one.
type behaviour func(now time.Duration, inFlight int) Sample

func healthy(time.Duration, int) Sample { return Sample{Latency: latency} }

type attempt struct {
	endsAt time.Duration
	node   int // index
	sample Sample
}

// attempts is a heap by endsAt.
type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].endsAt < a[j].endsAt }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any          { old := *a; x := old[len(old)-1]; *a = old[:len(old)-1]; return x }

// simulate sends a call every millisecond through the table to simulated nodes and returns
// the calls and the failures of each node.
func simulate(t *testing.T, table *Table, members []mesh.Member, nodes []behaviour, from, until time.Duration) (calls, failures []int) {
	t.Helper()
	index := map[mesh.NodeID]int{}
	for i, m := range members {
		index[m.Node] = i
	}
	calls, failures = make([]int, len(nodes)), make([]int, len(nodes))
	inFlight := make([]int, len(nodes))
	var pending attempts
	for now := from; now < until; now += ms {
		for len(pending) > 0 && pending[0].endsAt <= now {
			a := heap.Pop(&pending).(attempt)
			inFlight[a.node]--
			table.RecordEnd(a.endsAt, members[a.node].Node, a.sample)
		}
		m, reason := table.Pick(now, orders, mesh.ClassNormal, mesh.NodeID{})
		if reason != outcome.None {
			t.Fatalf("at %v: Pick returned no node for a service with members", now)
		}
		i := index[m.Node]
		table.RecordSent(now, m.Node)
		inFlight[i]++
		s := nodes[i](now, inFlight[i])
		calls[i]++
		if s.Result != OK {
			failures[i]++
		}
		heap.Push(&pending, attempt{now + s.Latency, i, s})
	}
	for _, a := range pending {
		table.RecordEnd(until, members[a.node].Node, a.sample)
	}
	return calls, failures
}

// newTestTable returns a table with n members of the service orders in three data centres,
// the members and their behaviours, which are healthy.
func newTestTable(n int) (*Table, []mesh.Member, []behaviour) {
	table := New(Config{Seed: 1, DataCentre: "dc1"})
	members := make([]mesh.Member, n)
	nodes := make([]behaviour, n)
	for i := range members {
		members[i] = mesh.Member{
			Node:       mesh.NodeID{Host: mesh.Host(fmt.Sprintf("host-%d", i)), Incarnation: 1},
			DataCentre: mesh.DataCentre(fmt.Sprintf("dc%d", i%3+1)),
			Service:    orders,
		}
		nodes[i] = healthy
	}
	table.SetMembers(0, orders, members)
	return table, members, nodes
}

// maxFailedShare is the largest share of all calls that may fail at a faulty node. It is
// the goal for the share of calls within the rate that are refused during faults.
const maxFailedShare = 0.01

// Guards against a draining node that is still chosen, because it refuses fast or because
// it still completes the calls that it received before.
func TestDrainingNodeIsAvoided(t *testing.T) {
	const drainAt = time.Second
	draining := func(now time.Duration, _ int) Sample {
		if now < drainAt {
			return healthy(now, 0)
		}
		return Sample{Latency: ms, Result: NotServing}
	}
	table, members, nodes := newTestTable(3)
	slower := func(time.Duration, int) Sample { return Sample{Latency: 5 * latency} }
	nodes[0], nodes[1], nodes[2] = draining, slower, slower
	_, failures := simulate(t, table, members, nodes, 0, 3*time.Second)
	if failures[0] > 10 { // the retry reserve of an edge covers 10 failures
		t.Errorf("%d calls were sent to the draining node, want at most 10", failures[0])
	}
}

// Guards against a node that fails fast and attracts work because it seems idle, and
// against a dead node that is detected only by a timeout.
func TestFailingNodeGetsLittleWork(t *testing.T) {
	faults := map[string]behaviour{
		"fails fast":   func(time.Duration, int) Sample { return Sample{Latency: ms, Result: Failed} },
		"refuses fast": func(time.Duration, int) Sample { return Sample{Latency: ms, Result: Refused} },
		"leaves":       func(time.Duration, int) Sample { return Sample{Latency: ms, Result: NotServing} },
		"dead":         func(time.Duration, int) Sample { return Sample{Latency: ms, Result: Lost} },
		"hangs":        func(time.Duration, int) Sample { return Sample{Latency: 500 * ms, Result: Lost} },
	}
	for name, fault := range faults {
		table, members, nodes := newTestTable(5)
		simulate(t, table, members, nodes, 0, time.Second)
		nodes[0] = fault
		calls, failures := simulate(t, table, members, nodes, time.Second, 11*time.Second)
		share := float64(failures[0]) / 10_000
		// The retry reserve of an edge covers 10 failures; calls beyond that would fail.
		if name == "leaves" && failures[0] > 10 {
			t.Errorf("%d of 10000 calls failed at a leaving node, want at most 10", failures[0])
		}
		t.Logf("%-12s %d of 10000 calls reached the node", name, calls[0])
		if share > maxFailedShare {
			t.Errorf("%s: %.4f of the calls failed, want at most %.2f", name, share, maxFailedShare)
		}
		nodes[0] = healthy
		simulate(t, table, members, nodes, 11*time.Second, 20*time.Second)
		calls, _ = simulate(t, table, members, nodes, 20*time.Second, 30*time.Second)
		if calls[0] < 10_000/5/2 {
			t.Errorf("%s: the recovered node got %d of 10000 calls, want at least half of its share of 2000", name, calls[0])
		}
	}
}

// Guards against sending no calls to a service whose nodes all fail, and against failures
// that keep nodes suspended for long after they have recovered.
func TestAllNodesFailing(t *testing.T) {
	table, members, nodes := newTestTable(3)
	for i := range nodes {
		nodes[i] = func(time.Duration, int) Sample { return Sample{Latency: ms, Result: Lost} }
	}
	calls, _ := simulate(t, table, members, nodes, 0, time.Second)
	for i, n := range calls {
		if n == 0 {
			t.Errorf("node %d got no call while all nodes fail", i)
		}
	}
	for i := range nodes {
		nodes[i] = healthy
	}
	simulate(t, table, members, nodes, time.Second, 3*time.Second)
	_, failures := simulate(t, table, members, nodes, 3*time.Second, 4*time.Second)
	if failures[0]+failures[1]+failures[2] != 0 {
		t.Errorf("failures by node after recovery: %v, want none", failures)
	}
}

// Guards against a false load report that attracts work, and against one that excludes a
// node entirely.
func TestMisleadingReports(t *testing.T) {
	table, members, nodes := newTestTable(5)
	nodes[0] = func(time.Duration, int) Sample {
		return Sample{Latency: latency, Report: Report{InFlight: 0, Limit: 10_000}}
	}
	nodes[1] = func(time.Duration, int) Sample {
		return Sample{Latency: latency, Report: Report{InFlight: 1_000, Limit: 1}}
	}
	calls, _ := simulate(t, table, members, nodes, 0, 20*time.Second)
	t.Logf("calls: false report of no load %d, false report of full load %d, no report %v", calls[0], calls[1], calls[2:])
	unreported := max(calls[2], calls[3], calls[4])
	if calls[0] > unreported*11/10 {
		t.Errorf("the node with a false report of no load got %d calls, one without reports %d, want at most a tenth more", calls[0], unreported)
	}
	if calls[1] >= unreported || calls[1] == 0 {
		t.Errorf("the node with a false report of full load got %d calls, one without reports %d, want fewer but some", calls[1], unreported)
	}
}

// Guards against overloading the upstreams of the local data centre while others have
// free capacity. Other entry nodes keep the local node at nine tenths of its limit.
func TestBusyLocalNodeSpillsOver(t *testing.T) {
	const limit = 100
	table, members, nodes := newTestTable(3)
	for i := range nodes {
		otherLoad := map[bool]int{true: limit * 9 / 10, false: limit / 2}[members[i].DataCentre == "dc1"]
		nodes[i] = func(_ time.Duration, inFlight int) Sample {
			return Sample{Latency: latency, Report: Report{InFlight: otherLoad + inFlight, Limit: limit}}
		}
	}
	calls, _ := simulate(t, table, members, nodes, 0, 10*time.Second)
	t.Logf("calls: busy local node %d, free remote nodes %v", calls[0], calls[1:])
	if calls[0] > 10_000/3 {
		t.Errorf("the busy local node got %d of 10000 calls, want at most a third", calls[0])
	}
}

// Guards against a cold upstream that gets its full share of calls at once.
func TestNewNodeRampsUp(t *testing.T) {
	table, members, nodes := newTestTable(5)
	simulate(t, table, members[:4], nodes[:4], 0, 0)
	table.SetMembers(0, orders, members[:4])
	simulate(t, table, members, nodes, 0, 5*time.Second)
	table.SetMembers(5*time.Second, orders, members)
	first, _ := simulate(t, table, members, nodes, 5*time.Second, 6*time.Second)
	simulate(t, table, members, nodes, 6*time.Second, 11*time.Second)
	last, _ := simulate(t, table, members, nodes, 11*time.Second, 12*time.Second)
	t.Logf("calls of the new node: %d in its first second, %d in one second after the ramp", first[4], last[4])
	if first[4] == 0 || first[4]*2 > last[4] || last[4] < 100 {
		t.Errorf("the new node got %d calls in its first second and %d in one second after the ramp, want at least one, and later at least twice as many and 100", first[4], last[4])
	}
}

// Guards against a slow node on which calls in flight accumulate.
func TestSlowNodeGetsLessWork(t *testing.T) {
	table, members, nodes := newTestTable(5)
	nodes[0] = func(time.Duration, int) Sample { return Sample{Latency: 5 * latency} }
	calls, _ := simulate(t, table, members, nodes, 0, 10*time.Second)
	t.Logf("calls: %v", calls)
	// Nodes 0 and 3 are both in the local data centre, so only their latency differs.
	if calls[0]*3 > calls[3] {
		t.Errorf("a node five times slower got %d calls, another one %d, want at least three times as many", calls[0], calls[3])
	}
}

// Guards against a retry at the node that has just failed, and against excluding the only
// node.
func TestPickExcludes(t *testing.T) {
	table, members, _ := newTestTable(2)
	for range 100 {
		if m, _ := table.Pick(0, orders, mesh.ClassHigh, members[0].Node); m.Node == members[0].Node {
			t.Fatal("picked the excluded node")
		}
	}
	table.SetMembers(0, orders, members[:1])
	if m, reason := table.Pick(0, orders, mesh.ClassHigh, members[0].Node); reason != outcome.None || m.Node != members[0].Node {
		t.Fatalf("the only node was not picked: %v", reason)
	}
	table.SetMembers(0, orders, nil)
	if _, reason := table.Pick(0, orders, mesh.ClassHigh, mesh.NodeID{}); reason != outcome.NoUpstream {
		t.Fatalf("picked a node of a service without members: %v", reason)
	}
}

// Guards against a subset that is too large, ignores the data centre, or changes more than
// necessary when a node leaves.
func TestSubset(t *testing.T) {
	table, members, _ := newTestTable(90)
	before := map[mesh.NodeID]bool{}
	for _, c := range table.services[orders].candidates {
		before[c.member.Node] = true
		if c.remote {
			t.Errorf("%v is remote while local nodes are not in the subset", c.member.Node)
		}
	}
	if len(before) != defaultSubsetSize {
		t.Fatalf("subset of %d nodes, want defaultSubsetSize", len(before))
	}
	removed := table.services[orders].candidates[0].member.Node
	var rest []mesh.Member
	for _, m := range members {
		if m.Node != removed {
			rest = append(rest, m)
		}
	}
	table.SetMembers(0, orders, rest)
	added := 0
	for _, c := range table.services[orders].candidates {
		if !before[c.member.Node] {
			added++
		}
	}
	if added != 1 || len(table.nodes) != defaultSubsetSize {
		t.Fatalf("after one node left: %d nodes added, %d nodes in the table, want 1 and defaultSubsetSize", added, len(table.nodes))
	}
}

// Guards against a cut, the load-shedding threshold of a service, that stays in force after
// its cause has ended, and against one that tightens without a response.
func TestCutDecaysToOpen(t *testing.T) {
	table, _, _ := newTestTable(3)
	observed := mesh.Cut{Class: mesh.ClassHigh, Share: 512} // 512 of 1024: half of the class
	table.ObserveCut(10*time.Second, orders, observed)
	for i := range 100 {
		table.ObserveCut(10*time.Second+time.Duration(i)*ms, orders, observed)
	}
	at := 10*time.Second + 99*ms
	if got := table.Cut(at, orders); got.Class != mesh.ClassHigh {
		t.Fatalf("cut is %v after responses with cut %v only, want the same class", got, observed)
	}
	last := cutLevel(0)
	for age := time.Duration(0); age <= cutTTL; age += 50 * ms {
		l := toCutLevel(table.Cut(at+age, orders))
		if l < last {
			t.Fatalf("the cut tightened from %v to %v without a response", last, l)
		}
		last = l
	}
	if got := table.Cut(at+cutTTL, orders); got != mesh.OpenCut {
		t.Fatalf("cut is %v after 1 s without a response, want it open", got)
	}
}

// Many entry nodes send requests to an upstream that names a limit. One that was refused
// there must stay away for about the pause that it was told, must then return without a
// penalty, and must still use the upstream if there is no other.
func TestLimitedNodeIsLeftAloneForItsPause(t *testing.T) {
	const pause = 400 * ms
	member := func(i int) mesh.Member {
		return mesh.Member{Node: mesh.NodeID{Host: mesh.Host(fmt.Sprint("h", i)), Incarnation: 1}, DataCentre: "dc", Service: orders}
	}
	limited, other := member(0), member(1)
	table := New(Config{Seed: 1, DataCentre: "dc", RampTime: ms})
	table.SetMembers(0, orders, []mesh.Member{limited, other})
	request := Request{Service: orders, Route: "r", TargetLatency: time.Second}
	refuse := func(now time.Duration) {
		table.RecordSent(now, limited.Node)
		table.RecordEnd(now, limited.Node, Sample{Result: Limited, Pause: pause, Route: "r"})
	}
	picks := func(from, until time.Duration) (share float64) {
		all := 0.0
		for now := from; now < until; now += ms {
			m, _ := table.PickForLatency(now, request)
			all++
			if m.Node == limited.Node {
				share++
			}
		}
		return share / all
	}
	refuse(0)
	if share := picks(0, pause/2); share > 0 {
		t.Errorf("the limited node gets %.2f of the requests in the first half of its mean pause, want none", share)
	}
	if share := picks(pause*3/2, pause*5/2); share < 0.3 {
		t.Errorf("the limited node gets %.2f of the requests after its pause, want about half", share)
	}
	table.SetMembers(2*time.Second, orders, []mesh.Member{limited})
	refuse(2 * time.Second)
	if m, reason := table.PickForLatency(2*time.Second+ms, request); m.Node != limited.Node {
		t.Errorf("the only node is not used during its pause, reason %v", reason)
	}
}

// pickMany returns how many of the requests, one a millisecond from the given time, each
// member gets. Their samples are those of the behaviours.
func pickMany(table *Table, from time.Duration, requests int, nodes map[mesh.NodeID]Sample) map[mesh.NodeID]int {
	picks := map[mesh.NodeID]int{}
	for i := range requests {
		now := from + time.Duration(i)*ms
		m, _ := table.PickForLatency(now, Request{Service: orders, Route: "r", TargetLatency: time.Second})
		picks[m.Node]++
		table.RecordSent(now, m.Node)
		sample := nodes[m.Node]
		sample.Route = "r"
		table.RecordEnd(now, m.Node, sample)
	}
	return picks
}

// A node that ramps up must get a small share of the requests wherever it stands among the
// candidates. As the first candidate it used to get a third of them.
func TestRampingNodeGetsASmallShareAtAnyPlace(t *testing.T) {
	for place := range 4 {
		table := New(Config{Seed: 1, DataCentre: "dc", RampTime: time.Minute})
		members := make([]mesh.Member, 4)
		nodes := map[mesh.NodeID]Sample{}
		for i := range members {
			members[i] = mesh.Member{Node: mesh.NodeID{Host: mesh.Host(fmt.Sprint("h", i))}, DataCentre: "dc", Service: orders}
			nodes[members[i].Node] = Sample{Latency: latency}
		}
		ranked := table.subset(orders, members)
		late := ranked[place]
		table.SetMembers(0, orders, append(append([]mesh.Member{}, ranked[:place]...), ranked[place+1:]...))
		table.SetMembers(10*time.Second, orders, members)
		picks := pickMany(table, 10*time.Second, 2000, nodes)
		if got := picks[late.Node]; got > 200 {
			t.Errorf("at place %d, the node that ramps up gets %d of 2000 requests, want at most 200", place, got)
		}
	}
}

// A request that would go to a node that has just refused others must go to a node that
// ramps up instead: a refusal costs a repeat, of which there are few.
func TestRampingNodeGetsWhatOthersRefuse(t *testing.T) {
	for _, host := range []mesh.Host{"a", "b", "c", "d"} { // before and after the other in the order of the candidates
		table := New(Config{Seed: 1, DataCentre: "dc", RampTime: time.Minute})
		full := mesh.Member{Node: mesh.NodeID{Host: "full"}, DataCentre: "dc", Service: orders}
		late := mesh.Member{Node: mesh.NodeID{Host: host}, DataCentre: "dc", Service: orders}
		table.SetMembers(0, orders, []mesh.Member{full})
		table.SetMembers(10*time.Second, orders, []mesh.Member{full, late})
		picks := pickMany(table, 10*time.Second, 1000, map[mesh.NodeID]Sample{full.Node: {Latency: latency, Result: Refused}, late.Node: {Latency: latency}})
		if got := picks[full.Node]; got > 100 {
			t.Errorf("beside %s, the node that refuses all requests gets %d of 1000, want at most 100", host, got)
		}
	}
}

// The nodes of a fleet become known one after the other. Requests that arrive meanwhile must
// be spread over those that are known: one upstream alone cannot run them all.
func TestNodesThatBecomeKnownTogetherShareTheRequests(t *testing.T) {
	table := New(Config{Seed: 1, DataCentre: "dc", RampTime: time.Second})
	members := make([]mesh.Member, 4)
	nodes := map[mesh.NodeID]Sample{}
	for i := range members {
		members[i] = mesh.Member{Node: mesh.NodeID{Host: mesh.Host(fmt.Sprint("h", i))}, DataCentre: "dc", Service: orders}
		nodes[members[i].Node] = Sample{Latency: latency}
		table.SetMembers(time.Duration(i)*100*ms, orders, members[:i+1])
	}
	picks := pickMany(table, 300*ms, 400, nodes)
	for _, m := range members {
		if got := picks[m.Node]; got < 50 {
			t.Errorf("%s gets %d of 400 requests, want at least 50", m.Node.Host, got)
		}
	}
}
