package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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

	log      [][]byte
	logDown  bool
	loseAck  bool // appends take effect, their answers are lost
	lossy    float64
	cut      func(from, to mesh.Host) bool
	service  time.Duration
	secrets  map[mesh.Workspace]string
	ends     map[callName]end // by the node and call of a customer
	runs     map[mesh.ActionID]int
	decided  map[string]*Decision // by token
	nextCall mesh.CallID
	fail     func(n *testNode, e Effect) int // status of a run; 0 means 200
	sent     func(mesh.Envelope)             // observes control messages
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
	pausedTo time.Duration
}

// hopSource is the call at another node that a forwarded call belongs to.
type hopSource struct {
	node    *testNode
	call    mesh.CallID
	attempt int
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

const (
	networkDelay = time.Millisecond
	logPoll      = 20 * time.Millisecond
)

func newCluster(t testing.TB, seed uint64, files string, services ...mesh.Service) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), nodes: map[mesh.NodeID]*testNode{},
		service: 5 * time.Millisecond, secrets: map[mesh.Workspace]string{}, ends: map[callName]end{},
		runs: map[mesh.ActionID]int{}, decided: map[string]*Decision{}, cut: func(a, b mesh.Host) bool { return false },
	}
	m, err := declaration.Parse(declaration.File{Name: "test.ini", Data: []byte(files)})
	if err != nil {
		t.Fatal(err)
	}
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

// start starts a node, or a new incarnation of it, and its upstream.
func (c *cluster) start(host mesh.Host, service mesh.Service) *testNode {
	incarnation := mesh.Incarnation(c.random.Uint64() | 1)
	member := mesh.Member{
		Node: mesh.NodeID{Host: host, Incarnation: incarnation}, Service: service,
		DataCentre: mesh.DataCentre("dc-" + string(host[len(host)-1:])), PeerAddress: string(host),
	}
	var seeds []mesh.Member
	for _, other := range c.order {
		if !other.dead && other.member.Node.Host != host {
			seeds = append(seeds, other.member)
		}
	}
	n := &testNode{member: member, start: c.now, callers: map[mesh.CallID]hopSource{}}
	cfg := Config{Self: member, Seeds: seeds, WallAtZero: int64(c.now) + 1e18}
	for i := range cfg.Seed {
		cfg.Seed[i] = byte(c.random.Uint32())
	}
	n.Node = New(cfg)
	c.nodes[member.Node] = n
	c.order = append(c.order, n)
	c.every(TickInterval, n, func() { c.step(n, &Tick{}) })
	c.every(logPoll, n, func() { c.readLog(n) })
	c.every(time.Second, n, func() { c.announce(n) })
	c.announce(n)
	return n
}

func (c *cluster) announce(n *testNode) { c.step(n, announcement(n)) }

func announcement(n *testNode) *UpstreamAnnounced {
	return &UpstreamAnnounced{Service: n.member.Service, URL: "http://upstream", Slots: 20, Connections: 100, Ready: true}
}

func (c *cluster) kill(n *testNode) {
	n.dead = true
	delete(c.nodes, n.member.Node)
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
		run()
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

func (c *cluster) readLog(n *testNode) {
	if c.logDown {
		c.step(n, &LogFailed{Err: logservice.ErrUnavailable})
		return
	}
	asked, from := c.now-n.start, n.LogOffset()
	page := logservice.Page{Head: uint64(len(c.log))}
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
	for _, e := range n.Step(c.now-n.start, ev, nil) {
		c.execute(n, e)
	}
}

func (c *cluster) execute(n *testNode, e Effect) {
	switch e.Kind {
	case Send:
		c.send(n, e)
	case Append:
		c.appendFor(n, e)
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
	c.at(networkDelay, func() { c.step(to, &PeerReceived{Envelope: e.Envelope}) })
}

func (c *cluster) appendFor(n *testNode, e Effect) {
	if c.logDown {
		c.at(networkDelay, func() { c.step(n, &AppendEnded{Token: e.AppendID, Err: logservice.ErrUnavailable}) })
		return
	}
	c.log = append(c.log, e.Data)
	var err error
	if c.loseAck {
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
	c.at(networkDelay, func() {
		id := c.newCall()
		to.callers[id] = hopSource{n, e.Call, e.Attempt}
		c.step(to, &HopArrived{Call: id, From: n.member.Node, Hop: e.Hop})
	})
}

func (c *cluster) newCall() mesh.CallID {
	c.nextCall++
	return c.nextCall
}

func (c *cluster) runUpstream(n *testNode, e Effect) {
	c.runs[e.Hop.Action]++
	status := 200
	if c.fail != nil {
		if s := c.fail(n, e); s != 0 {
			status = s
		}
	}
	c.at(c.service, func() {
		c.step(n, &Answered{Call: e.Call, Attempt: e.Attempt, Status: status, Replayable: true})
	})
}

// finish delivers the end of a call to the node or customer it came from.
func (c *cluster) finish(n *testNode, e Effect, result end) {
	source, forwarded := n.callers[e.Call]
	if !forwarded {
		c.ends[callName{n.member.Node.Host, e.Call}] = result
	} else {
		delete(n.callers, e.Call)
		answer := &Answered{Call: source.call, Attempt: source.attempt, Status: 200, Load: e.Load, Replayable: true}
		if !result.whole {
			answer.Refusal = &result.refusal
		}
		c.at(networkDelay, func() {
			if !n.dead {
				c.step(source.node, answer)
			}
		})
	}
	if e.Kind == Relay {
		c.at(networkDelay, func() {
			ended := &RelayEnded{Call: e.Call, Attempt: e.Attempt, Whole: true}
			if e.Store {
				ended.Stored = &Answer{Status: 200}
			}
			c.step(n, ended)
		})
	}
}

// call sends a customer call to a node and returns its name.
func (c *cluster) call(n *testNode, ws mesh.Workspace, method, path, ticket string) callName {
	id := c.newCall()
	c.step(n, &CallArrived{Call: id, Secret: []byte(c.secrets[ws]), Method: method, Path: path, Ticket: ticket})
	return callName{n.member.Node.Host, id}
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
