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
// upstreams. Runs with the same seed are identical.
type cluster struct {
	t          testing.TB
	now        time.Duration
	queue      eventQueue
	lastSerial uint64 // serial of the last scheduled event
	random     *rand.Rand
	nodes      map[mesh.NodeID]*testNode // running nodes
	started    []*testNode               // in the order of their start, including stopped nodes

	declared  *declaration.Mesh
	log       [][]byte // records by offset, also those that the log has dropped
	logFirst  uint64   // offset of the first record that the log still has
	snapshots [][]byte
	logDown   bool
	// snapshotEvery is Config.SnapshotEvery of nodes started after it is set.
	snapshotEvery       uint64
	failSnapshotAppends bool
	cutOffFromLog       func(mesh.Host) bool          // reports whether a host cannot reach the log
	lostReplyRate       float64                       // fraction of appends that take effect although the reply is lost
	lossRate            float64                       // fraction of control messages that are lost
	duplicateRate       float64                       // fraction of control messages that arrive twice
	jitter              time.Duration                 // maximum additional delay of control messages, which reorders them
	partitioned         func(from, to mesh.Host) bool // reports whether a host cannot reach another
	upstreamLatency     time.Duration                 // of the default upstream
	logPoll             time.Duration                 // interval between reads of the log by a node
	secrets             map[mesh.Workspace]string     // key of each workspace
	results             map[callKey]callResult        // of calls from callers
	executions          map[mesh.ActionID]int         // at the default upstream, by action
	decisions           map[string]*Decision          // by token
	lastCall            mesh.CallID
	runStatus           func(n *testNode, e Effect) int // status of the upstream's response; 0 means 200
	onMessage           func(mesh.Envelope)             // observes control messages
	upstream            func(n *testNode, e Effect)     // replaces the default upstream
	onForward           func(from, to mesh.CallID)      // observes forwarded calls
	onStep              func(n *testNode, ev Event)     // observes steps
	onEffect            func(n *testNode, e Effect)     // observes effects before they are executed
	status              map[mesh.CallID]int             // HTTP status of the last response to a call
	loseResponse        func() bool                     // whether to lose a response between nodes
	truncateBody        func() bool                     // whether to truncate a response to a caller
}

type callKey struct {
	host mesh.Host
	call mesh.CallID
}

// callResult is how a call from a caller ended.
type callResult struct {
	at       time.Duration
	complete bool // the call ended with a response; false in cluster.results if the response was truncated
	refusal  outcome.Refusal
	ticket   string
}

type testNode struct {
	*Node
	member           mesh.Member
	start            time.Duration                 // cluster time at the node's start
	dead             bool                          // crashed or stopped
	incoming         map[mesh.CallID]forwardSource // calls forwarded to this node
	outgoing         map[attemptKey]forwardTarget  // calls that this node has forwarded
	pausedUntil      time.Duration
	silent           bool          // the upstream sends no announcements
	notReady         bool          // the upstream announces that it is not ready
	stopStart        time.Duration // start of a planned stop; 0 if none
	lastAnnouncement time.Duration // of the upstream, in cluster time
}

// forwardSource is the call at the sending node that a forwarded call belongs to.
type forwardSource struct {
	node    *testNode
	call    mesh.CallID
	attempt int
}

type attemptKey struct {
	call    mesh.CallID
	attempt int
}

type forwardTarget struct {
	node *testNode
	call mesh.CallID
}

type scheduledEvent struct {
	at     time.Duration
	serial uint64 // orders events of the same time
	run    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const networkDelay = time.Millisecond

func newCluster(t testing.TB, seed uint64, declarationText string, services ...mesh.Service) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), nodes: map[mesh.NodeID]*testNode{},
		upstreamLatency: 5 * time.Millisecond, logPoll: 20 * time.Millisecond, secrets: map[mesh.Workspace]string{}, results: map[callKey]callResult{},
		executions: map[mesh.ActionID]int{}, decisions: map[string]*Decision{}, partitioned: func(a, b mesh.Host) bool { return false },
		cutOffFromLog: func(mesh.Host) bool { return false }, status: map[mesh.CallID]int{},
		loseResponse: func() bool { return false }, truncateBody: func() bool { return false },
	}
	m, err := declaration.Parse(declaration.File{Name: "test.ini", Data: []byte(declarationText)})
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

// configure appends the record of a change to the given mesh, and issues a key to each
// workspace that has none.
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
		secret, r, err := keys.Issue(newChaCha8(c.random.Uint64()), ws)
		if err != nil {
			c.t.Fatal(err)
		}
		c.secrets[ws] = secret
		key := config.Key{ID: string(r.ID), Hash: r.Hash, Workspace: ws}
		c.append(func(h config.Header) ([]byte, error) { return config.NewKeyIssued(h, key) })
	}
}

func newChaCha8(seed uint64) *rand.ChaCha8 {
	var s [32]byte
	for i := range s {
		s[i] = byte(seed >> (i % 8 * 8))
	}
	return rand.NewChaCha8(s)
}

// append appends an operator's record to the log.
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

// dataCentreOf distributes hosts over three data centres.
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
	for _, other := range c.started {
		if !other.dead && other.member.Node.Host != host {
			seeds = append(seeds, other.member)
		}
	}
	n := &testNode{member: member, start: c.now, incoming: map[mesh.CallID]forwardSource{},
		outgoing: map[attemptKey]forwardTarget{}}
	cfg := Config{Self: member, Seeds: seeds, StartUnixNano: int64(c.now) + 1e18,
		SnapshotEvery: c.snapshotEvery}
	for i := range cfg.Seed {
		cfg.Seed[i] = byte(c.random.Uint32())
	}
	n.Node = New(cfg)
	c.nodes[member.Node] = n
	c.started = append(c.started, n)
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
	n.lastAnnouncement = c.now
	a := announcement(n)
	a.Ready = !n.notReady
	c.step(n, a)
}

func announcement(n *testNode) *UpstreamAnnounced {
	return &UpstreamAnnounced{Service: n.member.Service, URL: "http://upstream", Slots: 20, Connections: 100, Ready: true}
}

// kill ends a node at once and breaks its connections.
func (c *cluster) kill(n *testNode) {
	n.dead = true
	delete(c.nodes, n.member.Node)
	for _, id := range slices.Sorted(maps.Keys(n.incoming)) {
		c.breakConnection(n, id)
	}
	for _, target := range n.outgoing {
		delete(target.node.incoming, target.call)
	}
	targets := slices.SortedFunc(maps.Values(n.outgoing), func(a, b forwardTarget) int { return cmp.Compare(a.call, b.call) })
	for _, target := range targets {
		c.after(networkDelay, func() { c.step(target.node, &CallCancelled{Call: target.call}) })
	}
}

// stop starts a planned stop.
func (c *cluster) stop(n *testNode) {
	n.stopStart = c.now
	c.step(n, &StopRequested{})
}

// liveNodes returns the running nodes, sorted by host.
func (c *cluster) liveNodes() []*testNode {
	var nodes []*testNode
	for _, n := range c.started {
		if !n.dead {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *testNode) int { return cmp.Compare(a.member.Node.Host, b.member.Node.Host) })
	return nodes
}

// breakConnection breaks the connection on which a call was forwarded to a node. The
// sending node cannot know whether the call ran.
func (c *cluster) breakConnection(n *testNode, id mesh.CallID) {
	source, ok := n.incoming[id]
	if !ok {
		return
	}
	delete(n.incoming, id)
	delete(source.node.outgoing, attemptKey{source.call, source.attempt})
	c.after(networkDelay, func() {
		c.step(source.node, &AttemptFailed{Call: source.call, Attempt: source.attempt,
			Execution: outcome.MayHaveRun, Reason: outcome.PeerLost, Replayable: true})
	})
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.lastSerial++
	heap.Push(&c.queue, scheduledEvent{c.now + delay, c.lastSerial, run})
}

// every runs a function at regular intervals until a node ends, but not while the node
// is paused.
func (c *cluster) every(interval time.Duration, n *testNode, run func()) {
	c.after(interval, func() {
		if n.dead {
			return
		}
		if c.now >= n.pausedUntil {
			run()
		}
		c.every(interval, n, run)
	})
}

// run advances the virtual time by d and executes the events that become due.
func (c *cluster) run(d time.Duration) {
	until := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(scheduledEvent)
		c.now = next.at
		next.run()
	}
	c.now = until
}

func (c *cluster) logReachable(n *testNode) bool {
	return !c.logDown && !c.cutOffFromLog(n.member.Node.Host)
}

func (c *cluster) readLog(n *testNode) {
	if !c.logReachable(n) {
		c.step(n, &LogReadFailed{Err: logservice.ErrUnavailable})
		return
	}
	sentAt, from := c.now-n.start, n.LogOffset()
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
	c.after(networkDelay, func() { c.step(n, &LogRead{SentAt: sentAt, From: from, Page: page}) })
}

// step applies an event at a node and executes its effects. A paused node receives
// the event at the end of the pause.
func (c *cluster) step(n *testNode, ev Event) {
	if n.dead {
		return
	}
	if c.now < n.pausedUntil {
		c.after(n.pausedUntil-c.now, func() { c.step(n, ev) })
		return
	}
	effects := n.Step(c.now-n.start, ev, nil)
	if c.onStep != nil {
		c.onStep(n, ev)
	}
	for _, e := range effects {
		if c.onEffect != nil {
			c.onEffect(n, e)
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
		c.finish(n, e, callResult{at: c.now, refusal: e.Refusal})
	case Relay, Replay:
		c.finish(n, e, callResult{at: c.now, complete: true, ticket: e.Ticket})
	case IssueTicket:
		c.results[callKey{n.member.Node.Host, e.Call}] = callResult{at: c.now, complete: true, ticket: e.Ticket}
	case Decided:
		c.decisions[e.RequestID] = e.Decision
	case Stopped:
		c.kill(n)
	}
}

func (c *cluster) send(n *testNode, e Effect) {
	if c.onMessage != nil {
		c.onMessage(e.Envelope)
	}
	to := c.nodes[e.Member.Node]
	if to == nil || c.partitioned(n.member.Node.Host, e.Member.Node.Host) {
		c.after(networkDelay, func() { c.step(n, &PeerUnreachable{Node: e.Member.Node}) })
		return
	}
	if c.random.Float64() < c.lossRate {
		return
	}
	copies := 1
	if c.random.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := networkDelay
		if c.jitter > 0 {
			delay += time.Duration(c.random.Int64N(int64(c.jitter)))
		}
		c.after(delay, func() { c.step(to, &MessageReceived{Envelope: e.Envelope}) })
	}
}

// appendFor executes an Append or AppendSnapshot effect of a node.
func (c *cluster) appendFor(n *testNode, e Effect) {
	if !c.logReachable(n) || c.failSnapshotAppends && e.Kind == AppendSnapshot {
		c.after(networkDelay, func() { c.step(n, &AppendEnded{RequestID: e.RequestID, Err: logservice.ErrUnavailable}) })
		return
	}
	if e.Kind == AppendSnapshot {
		c.snapshots = append(c.snapshots, e.Data)
	} else {
		c.log = append(c.log, e.Data)
	}
	var err error
	if c.random.Float64() < c.lostReplyRate {
		err = logservice.ErrUnknown
	}
	c.after(networkDelay, func() { c.step(n, &AppendEnded{RequestID: e.RequestID, Err: err}) })
}

func (c *cluster) forward(n *testNode, e Effect) {
	to := c.nodes[e.Member.Node]
	if to == nil || c.partitioned(n.member.Node.Host, e.Member.Node.Host) {
		c.after(networkDelay, func() {
			c.step(n, &AttemptFailed{Call: e.Call, Attempt: e.Attempt, Execution: outcome.NotRun,
				Reason: outcome.ConnectFailed, Replayable: true})
		})
		return
	}
	id := c.newCall()
	key := attemptKey{e.Call, e.Attempt}
	to.incoming[id] = forwardSource{n, e.Call, e.Attempt}
	n.outgoing[key] = forwardTarget{to, id}
	if c.onForward != nil {
		c.onForward(e.Call, id)
	}
	c.after(networkDelay, func() {
		if to.dead {
			c.breakConnection(to, id)
			return
		}
		c.step(to, &ForwardedCallArrived{Call: id, From: n.member.Node, Hop: e.Hop})
	})
}

// cancel closes the connection of the current attempt of a call.
func (c *cluster) cancel(n *testNode, e Effect) {
	key := attemptKey{e.Call, e.Attempt}
	target, ok := n.outgoing[key]
	if !ok {
		return
	}
	delete(n.outgoing, key)
	delete(target.node.incoming, target.call)
	c.after(networkDelay, func() { c.step(target.node, &CallCancelled{Call: target.call}) })
}

func (c *cluster) newCall() mesh.CallID {
	c.lastCall++
	return c.lastCall
}

func (c *cluster) runUpstream(n *testNode, e Effect) {
	if c.upstream != nil {
		c.upstream(n, e)
		return
	}
	c.executions[e.Hop.Action]++
	status := 200
	if c.runStatus != nil {
		if s := c.runStatus(n, e); s != 0 {
			status = s
		}
	}
	c.after(c.upstreamLatency, func() { c.respond(n, e, status) })
}

// respond delivers the upstream's response to a run.
func (c *cluster) respond(n *testNode, e Effect, status int) {
	c.status[e.Call] = status
	c.step(n, &ResponseReceived{Call: e.Call, Attempt: e.Attempt, Status: status, Replayable: true})
}

// finish delivers the result of a call to the node or caller that it came from.
func (c *cluster) finish(n *testNode, e Effect, result callResult) {
	source, forwarded := n.incoming[e.Call]
	delivered := true
	if forwarded {
		delivered = c.finishForwarded(n, e, result, source)
	} else {
		if e.Kind == Relay {
			delivered = !c.truncateBody()
			result.complete = delivered
		}
		if _, ended := c.results[callKey{n.member.Node.Host, e.Call}]; ended {
			c.t.Errorf("call %d at %s ended twice", e.Call, n.member.Node.Host)
		}
		c.results[callKey{n.member.Node.Host, e.Call}] = result
	}
	if e.Kind == Relay {
		c.after(networkDelay, func() {
			ended := &RelayEnded{Call: e.Call, Attempt: e.Attempt, Complete: delivered}
			if e.Store && delivered {
				ended.Stored = &Response{Status: c.status[e.Call]}
			}
			c.step(n, ended)
		})
	}
}

// finishForwarded delivers the result of a forwarded call to the node that sent it, and
// reports whether the response was delivered.
func (c *cluster) finishForwarded(n *testNode, e Effect, result callResult, source forwardSource) bool {
	if c.partitioned(n.member.Node.Host, source.node.member.Node.Host) || result.complete && c.loseResponse() {
		c.breakConnection(n, e.Call)
		return false
	}
	delete(n.incoming, e.Call)
	delete(source.node.outgoing, attemptKey{source.call, source.attempt})
	response := &ResponseReceived{Call: source.call, Attempt: source.attempt, Status: 200, Load: e.Load, Replayable: true}
	if e.Kind == Relay {
		response.Status = c.status[e.Call]
	}
	if e.Kind == Replay {
		response.Status = e.Response.Status
	}
	if !result.complete {
		response.Refusal = &result.refusal
	}
	c.after(networkDelay, func() {
		c.status[source.call] = response.Status
		c.step(source.node, response)
	})
	return true
}

// call sends a call from a caller to a node and returns its key.
func (c *cluster) call(n *testNode, ws mesh.Workspace, method, path, ticket string) callKey {
	id := c.newCall()
	c.step(n, &CallArrived{Call: id, Secret: []byte(c.secrets[ws]), Method: method, Path: path, Ticket: ticket})
	return callKey{n.member.Node.Host, id}
}

// ticketFrom obtains a ticket for a workspace from a node.
func (c *cluster) ticketFrom(n *testNode, ws mesh.Workspace) string {
	c.step(n, &TicketRequested{Call: c.newCall(), Secret: []byte(c.secrets[ws])})
	return c.results[callKey{n.member.Node.Host, c.lastCall}].ticket
}

// callAndWait sends a call from a caller, runs the cluster for 3 s and returns the result.
func (c *cluster) callAndWait(n *testNode, ws mesh.Workspace, method, path, ticket string) callResult {
	c.t.Helper()
	key := c.call(n, ws, method, path, ticket)
	c.run(3 * time.Second)
	result, ok := c.results[key]
	if !ok {
		c.t.Fatalf("call %v has not ended within 3 s", key)
	}
	return result
}
