package engine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// cluster drives several nodes in virtual time with a fake network, log and
// upstreams. Equal seeds give equal runs.
type cluster struct {
	t      testing.TB
	now    time.Duration
	queue  eventQueue
	serial uint64
	random *rand.Rand
	nodes  map[mesh.NodeID]*testNode
	order  []*testNode

	declared  *declaration.Mesh
	log       [][]byte
	logFirst  uint64 // first record that the log has kept
	snapshots [][]byte
	logDown   bool
	// snapshotEvery is Config.SnapshotEvery of nodes that start from now on.
	snapshotEvery uint64
	noSnapshots   bool                 // the log takes no snapshots
	logCut        func(mesh.Host) bool // hosts that do not reach the log
	loseAck       float64              // share of appends that take effect without an answer
	lossy         float64
	doubled       float64       // share of control messages that arrive twice
	jitter        time.Duration // greatest extra delay of control messages; reorders them
	cut           func(from, to mesh.Host) bool
	service       time.Duration
	logPoll       time.Duration // between two reads of the log by a node
	secrets       map[mesh.Workspace]string
	ends          map[callName]end // by the node and call of a customer
	runs          map[mesh.ActionID]int
	decided       map[string]*Decision // by token
	nextCall      mesh.CallID
	fail          func(n *testNode, e Effect) int // status of a run; 0 means 200
	sent          func(mesh.Envelope)             // observes control messages
	upstream      func(n *testNode, e Effect)     // replaces the plain upstream
	linked        func(from, to mesh.CallID)      // observes forwarded calls
	stepped       func(n *testNode, ev Event)     // observes steps
	effect        func(n *testNode, e Effect)     // observes effects before they are executed
	status        map[mesh.CallID]int             // of the last answer of a call
	loseAnswer    func() bool                     // an answer between nodes is lost after the run
	cutBody       func() bool                     // an answer to a customer breaks off
}

type callName struct {
	host mesh.Host
	call mesh.CallID
}

// end is how a customer call ended.
type end struct {
	at      time.Duration
	whole   bool
	refusal outcome.Refusal
	ticket  string
}

type testNode struct {
	*Node
	member   mesh.Member
	start    time.Duration // cluster time at the node's start
	dead     bool
	callers  map[mesh.CallID]hopSource
	hops     map[attemptName]hopTarget // calls that this node has sent to others
	pausedTo time.Duration
	silent   bool // the upstream does not announce itself
	notReady bool
	leaving  time.Duration // start of a drain or planned stop; 0 if none
	lastSeen time.Duration // last announcement
}

// hopSource is the call at another node that a forwarded call belongs to.
type hopSource struct {
	node    *testNode
	call    mesh.CallID
	attempt int
}

type attemptName struct {
	call    mesh.CallID
	attempt int
}

type hopTarget struct {
	node *testNode
	call mesh.CallID
}

type scheduled struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const networkDelay = time.Millisecond

func newCluster(t testing.TB, seed uint64, files string, services ...mesh.Service) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), nodes: map[mesh.NodeID]*testNode{},
		service: 5 * time.Millisecond, logPoll: 20 * time.Millisecond, secrets: map[mesh.Workspace]string{}, ends: map[callName]end{},
		runs: map[mesh.ActionID]int{}, decided: map[string]*Decision{}, cut: func(a, b mesh.Host) bool { return false },
		logCut: func(mesh.Host) bool { return false }, status: map[mesh.CallID]int{},
		loseAnswer: func() bool { return false }, cutBody: func() bool { return false },
	}
	m, err := declaration.Parse(declaration.File{Name: "test.ini", Data: []byte(files)})
	if err != nil {
		t.Fatal(err)
	}
	c.declared = m
	c.configure(m)
	for i, s := range services {
		c.start(mesh.Host(fmt.Sprintf("host-%d", i)), s)
	}
	return c
}

// configure appends a change to the declared mesh and a key per workspace.
func (c *cluster) configure(m *declaration.Mesh) {
	state := config.New()
	for i, data := range c.log {
		state.Fold(uint64(i), data)
	}
	plan, err := config.Plan(state, m)
	if err != nil {
		c.t.Fatal(err)
	}
	c.append(func(h config.Header) ([]byte, error) { return config.NewChange(h, plan) })
	for _, ws := range sortedWorkspaces(m) {
		if c.secrets[ws] != "" {
			continue
		}
		secret, r, err := keys.Issue(chacha(c.random.Uint64()), ws)
		if err != nil {
			c.t.Fatal(err)
		}
		c.secrets[ws] = secret
		key := config.Key{ID: string(r.ID), Hash: r.Hash, Workspace: ws}
		c.append(func(h config.Header) ([]byte, error) { return config.NewKeyIssued(h, key) })
	}
}

func chacha(seed uint64) *rand.ChaCha8 {
	var s [32]byte
	for i := range s {
		s[i] = byte(seed >> (i % 8 * 8))
	}
	return rand.NewChaCha8(s)
}

func (c *cluster) append(build func(config.Header) ([]byte, error)) {
	h := config.Header{By: mesh.NodeID{Host: "operator", Incarnation: 1}, After: uint64(len(c.log))}
	for i := range h.Token {
		h.Token[i] = byte(c.random.Uint32())
	}
	data, err := build(h)
	if err != nil {
		c.t.Fatal(err)
	}
	c.log = append(c.log, data)
}

// dataCentreOf spreads hosts over three data centres.
func dataCentreOf(host mesh.Host) mesh.DataCentre {
	return mesh.DataCentre(fmt.Sprintf("dc-%d", host[len(host)-1]%3))
}

// start starts a node, or a new incarnation of it, and its upstream.
func (c *cluster) start(host mesh.Host, service mesh.Service) *testNode {
	incarnation := mesh.Incarnation(c.random.Uint64() | 1)
	member := mesh.Member{
		Node: mesh.NodeID{Host: host, Incarnation: incarnation}, Service: service,
		DataCentre: dataCentreOf(host), PeerAddress: string(host),
	}
	var seeds []mesh.Member
	for _, other := range c.order {
		if !other.dead && other.member.Node.Host != host {
			seeds = append(seeds, other.member)
		}
	}
	n := &testNode{member: member, start: c.now, callers: map[mesh.CallID]hopSource{},
		hops: map[attemptName]hopTarget{}}
	cfg := Config{Self: member, Seeds: seeds, WallAtZero: int64(c.now) + 1e18,
		SnapshotEvery: c.snapshotEvery}
	for i := range cfg.Seed {
		cfg.Seed[i] = byte(c.random.Uint32())
	}
	n.Node = New(cfg)
	c.nodes[member.Node] = n
	c.order = append(c.order, n)
	c.every(TickInterval, n, func() { c.step(n, &Tick{}) })
	c.every(c.logPoll, n, func() { c.readLog(n) })
	c.every(time.Second, n, func() { c.announce(n) })
	c.announce(n)
	c.readLog(n)
	return n
}

func (c *cluster) announce(n *testNode) {
	if n.silent {
		return
	}
	n.lastSeen = c.now
	a := announcement(n)
	a.Ready = !n.notReady
	c.step(n, a)
}

func announcement(n *testNode) *UpstreamAnnounced {
	return &UpstreamAnnounced{Service: n.member.Service, URL: "http://upstream", Slots: 20, Connections: 100, Ready: true}
}

// kill ends a node at once. Its connections break at both ends.
func (c *cluster) kill(n *testNode) {
	n.dead = true
	delete(c.nodes, n.member.Node)
	for _, id := range slices.Sorted(maps.Keys(n.callers)) {
		c.lose(n, id)
	}
	for _, target := range n.hops {
		delete(target.node.callers, target.call)
	}
	targets := slices.SortedFunc(maps.Values(n.hops), func(a, b hopTarget) int { return cmp.Compare(a.call, b.call) })
	for _, target := range targets {
		c.at(networkDelay, func() { c.step(target.node, &CallCancelled{Call: target.call}) })
	}
}

// stop begins a planned stop.
func (c *cluster) stop(n *testNode) {
	n.leaving = c.now
	c.step(n, &StopRequested{})
}

// living returns the nodes that run, by host.
func (c *cluster) living() []*testNode {
	var nodes []*testNode
	for _, n := range c.order {
		if !n.dead {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *testNode) int { return cmp.Compare(a.member.Node.Host, b.member.Node.Host) })
	return nodes
}

// lose breaks the connection on which a call was forwarded to a node. The
// caller cannot know whether the call ran.
func (c *cluster) lose(n *testNode, id mesh.CallID) {
	source, ok := n.callers[id]
	if !ok {
		return
	}
	delete(n.callers, id)
	delete(source.node.hops, attemptName{source.call, source.attempt})
	c.at(networkDelay, func() {
		c.step(source.node, &AttemptFailed{Call: source.call, Attempt: source.attempt,
			Execution: outcome.MayHaveRun, Reason: outcome.PeerLost, Replayable: true})
	})
}

func (c *cluster) at(delay time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, scheduled{c.now + delay, c.serial, run})
}

func (c *cluster) every(interval time.Duration, n *testNode, run func()) {
	c.at(interval, func() {
		if n.dead {
			return
		}
		if c.now >= n.pausedTo {
			run()
		}
		c.every(interval, n, run)
	})
}

func (c *cluster) run(d time.Duration) {
	until := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = until
}

func (c *cluster) logReachable(n *testNode) bool { return !c.logDown && !c.logCut(n.member.Node.Host) }

func (c *cluster) readLog(n *testNode) {
	if !c.logReachable(n) {
		c.step(n, &LogReadFailed{Err: logservice.ErrUnavailable})
		return
	}
	asked, from := c.now-n.start, n.LogOffset()
	if from < c.logFirst {
		c.step(n, &LogReadFailed{Err: &logservice.ErrTruncated{First: c.logFirst}})
		if len(c.snapshots) > 0 {
			c.step(n, &SnapshotRead{Data: c.snapshots[len(c.snapshots)-1]})
		}
		return
	}
	page := logservice.Page{First: c.logFirst, Head: uint64(len(c.log))}
	for offset := from; offset < page.Head; offset++ {
		page.Records = append(page.Records, logservice.Record{Offset: offset, Data: c.log[offset]})
	}
	c.at(networkDelay, func() { c.step(n, &LogRead{AskedAt: asked, From: from, Page: page}) })
}

// step applies an event at a node and executes its effects. A paused node sees
// the event when it wakes up.
func (c *cluster) step(n *testNode, ev Event) {
	if n.dead {
		return
	}
	if c.now < n.pausedTo {
		c.at(n.pausedTo-c.now, func() { c.step(n, ev) })
		return
	}
	effects := n.Step(c.now-n.start, ev, nil)
	if c.stepped != nil {
		c.stepped(n, ev)
	}
	for _, e := range effects {
		if c.effect != nil {
			c.effect(n, e)
		}
		c.execute(n, e)
	}
}

func (c *cluster) execute(n *testNode, e Effect) {
	switch e.Kind {
	case Send:
		c.send(n, e)
	case Append, AppendSnapshot:
		c.appendFor(n, e)
	case Cancel:
		c.cancel(n, e)
	case Forward:
		c.forward(n, e)
	case Run:
		c.runUpstream(n, e)
	case Refuse:
		c.finish(n, e, end{at: c.now, refusal: e.Refusal})
	case Relay, Replay:
		c.finish(n, e, end{at: c.now, whole: true, ticket: e.Ticket})
	case IssueTicket:
		c.ends[callName{n.member.Node.Host, e.Call}] = end{at: c.now, whole: true, ticket: e.Ticket}
	case Decided:
		c.decided[e.AppendID] = e.Decision
	case Stopped:
		c.kill(n)
	}
}

func (c *cluster) send(n *testNode, e Effect) {
	if c.sent != nil {
		c.sent(e.Envelope)
	}
	to := c.nodes[e.Member.Node]
	if to == nil || c.cut(n.member.Node.Host, e.Member.Node.Host) {
		c.at(networkDelay, func() { c.step(n, &PeerUnreachable{Node: e.Member.Node}) })
		return
	}
	if c.random.Float64() < c.lossy {
		return
	}
	copies := 1
	if c.random.Float64() < c.doubled {
		copies = 2
	}
	for range copies {
		delay := networkDelay
		if c.jitter > 0 {
			delay += time.Duration(c.random.Int64N(int64(c.jitter)))
		}
		c.at(delay, func() { c.step(to, &MessageReceived{Envelope: e.Envelope}) })
	}
}

func (c *cluster) appendFor(n *testNode, e Effect) {
	if !c.logReachable(n) || c.noSnapshots && e.Kind == AppendSnapshot {
		c.at(networkDelay, func() { c.step(n, &AppendEnded{Token: e.AppendID, Err: logservice.ErrUnavailable}) })
		return
	}
	if e.Kind == AppendSnapshot {
		c.snapshots = append(c.snapshots, e.Data)
	} else {
		c.log = append(c.log, e.Data)
	}
	var err error
	if c.random.Float64() < c.loseAck {
		err = logservice.ErrUnknown
	}
	c.at(networkDelay, func() { c.step(n, &AppendEnded{Token: e.AppendID, Err: err}) })
}

func (c *cluster) forward(n *testNode, e Effect) {
	to := c.nodes[e.Member.Node]
	if to == nil || c.cut(n.member.Node.Host, e.Member.Node.Host) {
		c.at(networkDelay, func() {
			c.step(n, &AttemptFailed{Call: e.Call, Attempt: e.Attempt, Execution: outcome.NotRun,
				Reason: outcome.ConnectFailed, Replayable: true})
		})
		return
	}
	id := c.newCall()
	name := attemptName{e.Call, e.Attempt}
	to.callers[id] = hopSource{n, e.Call, e.Attempt}
	n.hops[name] = hopTarget{to, id}
	if c.linked != nil {
		c.linked(e.Call, id)
	}
	c.at(networkDelay, func() {
		if to.dead {
			c.lose(to, id)
			return
		}
		c.step(to, &ForwardedCallArrived{Call: id, From: n.member.Node, Hop: e.Hop})
	})
}

// cancel closes the connection of the current attempt of a call.
func (c *cluster) cancel(n *testNode, e Effect) {
	name := attemptName{e.Call, e.Attempt}
	target, ok := n.hops[name]
	if !ok {
		return
	}
	delete(n.hops, name)
	delete(target.node.callers, target.call)
	c.at(networkDelay, func() { c.step(target.node, &CallCancelled{Call: target.call}) })
}

func (c *cluster) newCall() mesh.CallID {
	c.nextCall++
	return c.nextCall
}

func (c *cluster) runUpstream(n *testNode, e Effect) {
	if c.upstream != nil {
		c.upstream(n, e)
		return
	}
	c.runs[e.Hop.Action]++
	status := 200
	if c.fail != nil {
		if s := c.fail(n, e); s != 0 {
			status = s
		}
	}
	c.at(c.service, func() { c.answer(n, e, status) })
}

// answer is the answer of the upstream to a run.
func (c *cluster) answer(n *testNode, e Effect, status int) {
	c.status[e.Call] = status
	c.step(n, &ResponseReceived{Call: e.Call, Attempt: e.Attempt, Status: status, Replayable: true})
}

// finish delivers the end of a call to the node or customer it came from.
func (c *cluster) finish(n *testNode, e Effect, result end) {
	source, forwarded := n.callers[e.Call]
	whole := true
	if forwarded {
		whole = c.finishHop(n, e, result, source)
	} else {
		if e.Kind == Relay {
			whole = !c.cutBody()
			result.whole = whole
		}
		if _, ended := c.ends[callName{n.member.Node.Host, e.Call}]; ended {
			c.t.Errorf("call %d at %s ended twice", e.Call, n.member.Node.Host)
		}
		c.ends[callName{n.member.Node.Host, e.Call}] = result
	}
	if e.Kind == Relay {
		c.at(networkDelay, func() {
			ended := &RelayEnded{Call: e.Call, Attempt: e.Attempt, Whole: whole}
			if e.Store && whole {
				ended.Stored = &Answer{Status: c.status[e.Call]}
			}
			c.step(n, ended)
		})
	}
}

// finishHop delivers the end of a forwarded call to the node that sent it, and
// reports whether the answer got through.
func (c *cluster) finishHop(n *testNode, e Effect, result end, source hopSource) bool {
	if c.cut(n.member.Node.Host, source.node.member.Node.Host) || result.whole && c.loseAnswer() {
		c.lose(n, e.Call)
		return false
	}
	delete(n.callers, e.Call)
	delete(source.node.hops, attemptName{source.call, source.attempt})
	answer := &ResponseReceived{Call: source.call, Attempt: source.attempt, Status: 200, Load: e.Load, Replayable: true}
	if e.Kind == Relay {
		answer.Status = c.status[e.Call]
	}
	if e.Kind == Replay {
		answer.Status = e.Answer.Status
	}
	if !result.whole {
		answer.Refusal = &result.refusal
	}
	c.at(networkDelay, func() {
		c.status[source.call] = answer.Status
		c.step(source.node, answer)
	})
	return true
}

// call sends a customer call to a node and returns its name.
func (c *cluster) call(n *testNode, ws mesh.Workspace, method, path, ticket string) callName {
	id := c.newCall()
	c.step(n, &CallArrived{Call: id, Secret: []byte(c.secrets[ws]), Method: method, Path: path, Ticket: ticket})
	return callName{n.member.Node.Host, id}
}

// ticketFrom obtains a ticket for a workspace from a node.
func (c *cluster) ticketFrom(n *testNode, ws mesh.Workspace) string {
	c.step(n, &TicketRequested{Call: c.newCall(), Secret: []byte(c.secrets[ws])})
	return c.ends[callName{n.member.Node.Host, c.nextCall}].ticket
}

// call1 sends a customer call and waits for its end.
func (c *cluster) call1(n *testNode, ws mesh.Workspace, method, path, ticket string) end {
	c.t.Helper()
	name := c.call(n, ws, method, path, ticket)
	c.run(3 * time.Second)
	result, ok := c.ends[name]
	if !ok {
		c.t.Fatalf("call %v has not ended", name)
	}
	return result
}
