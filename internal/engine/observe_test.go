package engine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/timeline"
)

// request is one call from a caller, or one downstream call of an execution.
type request struct {
	id         mesh.CallID
	node       *testNode
	at         time.Duration // when it was sent
	workspace  mesh.Workspace
	service    mesh.Service
	idempotent bool
	ticket     string
	keyID      string // ID of the key of the call
	parent     *execution
	action     mesh.ActionID // 0 if the request was never forwarded or run
	admittedAt time.Duration // 0 if it was not admitted
	runs       int           // executions at upstreams
	callerLeft bool
	ends       int  // number of responses and refusals
	cancelled  bool // its last effect is a Cancel that ended it
	result     callResult
	onEnd      func(callResult)
}

// execution is one execution of a request at an upstream.
type execution struct {
	request  *request
	node     *testNode
	token    Token
	at       time.Duration
	children []*request
}

// recorder records the events of a run and checks the invariants. It observes effects
// and upstreams, not the state of the engines. Its messages name the invariants of the
// design by letter:
//
//	(a) The admitted calls of a workspace stay within its rate and burst.
//	(b) A ticket, and a call that is not idempotent, runs at most once.
//	(c) A call that is refused as not run has not run.
//	(d) A call runs for its own workspace, and not after its key was withdrawn.
//	(e) Executions beyond the declared call graph stay within the retries of the action.
//	(f) All nodes have the same configuration, which never moves back. Of two conflicting
//	    changes in the log every node accepts exactly one.
//	(g) No call runs at an upstream that has been silent, or whose node has been stopping,
//	    for more than 3 s.
//	(h) A planned stop ends without calls in flight.
//	(j) Each call ends once and leaves no state behind.
type recorder struct {
	c          *cluster
	requests   []*request
	byCall     map[mesh.CallID]*request // by the ID of the request's call or of one of its forwarded calls
	executions []*execution
	admitted   map[mesh.Workspace][]time.Duration // times of admissions
	withdrawn  map[string]time.Duration           // when the withdrawal was accepted, by key ID
	revisions  map[mesh.NodeID]uint64             // last seen revision of each node
	events     []timeline.Event
	problems   []string
	trace      []string // effects of all steps, if traced is set
	traced     bool
}

func newRecorder(c *cluster) *recorder {
	r := &recorder{
		c: c, byCall: map[mesh.CallID]*request{}, admitted: map[mesh.Workspace][]time.Duration{},
		withdrawn: map[string]time.Duration{}, revisions: map[mesh.NodeID]uint64{},
	}
	c.onEffect, c.onStep = r.recordEffect, r.recordStep
	c.onForward = func(from, to mesh.CallID) {
		if q := r.byCall[from]; q != nil {
			r.byCall[to] = q
		}
	}
	return r
}

// addProblem records a violation and ignores all after the tenth.
func (r *recorder) addProblem(format string, args ...any) {
	if len(r.problems) < 10 {
		r.problems = append(r.problems, fmt.Sprintf("%v: ", r.c.now)+fmt.Sprintf(format, args...))
	}
}

// sendRequest sends a call from a caller and records it.
func (r *recorder) sendRequest(n *testNode, ws mesh.Workspace, method, path, ticket string, then func(callResult)) *request {
	id := r.c.newCall()
	secret := r.c.secrets[ws]
	q := &request{id: id, node: n, at: r.c.now, workspace: ws, service: "shop",
		idempotent: method == "GET", ticket: ticket, keyID: keyID(secret), onEnd: then}
	r.addRequest(q)
	r.c.step(n, &CallArrived{Call: id, Secret: []byte(secret), Method: method, Path: path, Ticket: ticket})
	return q
}

func keyID(secret string) string { return strings.Split(secret, "_")[1] }

func (r *recorder) addRequest(q *request) {
	r.requests = append(r.requests, q)
	r.byCall[q.id] = q
}

func (r *recorder) sendDownstream(x *execution, service mesh.Service, idempotent bool, then func(callResult)) {
	q := &request{id: r.c.newCall(), node: x.node, at: r.c.now, workspace: x.request.workspace,
		service: service, idempotent: idempotent, parent: x, onEnd: then}
	x.children = append(x.children, q)
	r.addRequest(q)
	r.c.step(x.node, &DownstreamCallArrived{Call: q.id, ParentToken: x.token, Service: service})
}

func (r *recorder) recordEffect(n *testNode, e Effect) {
	if r.traced {
		message, _ := json.Marshal(e.Envelope.Message) // JSON contains no pointer values and sorts maps
		r.trace = append(r.trace, fmt.Sprintf("%v %s %d %d %d %v %v %s", r.c.now, n.member.Node, e.Kind, e.Call, e.Attempt, e.Refusal, e.Envelope.To, message))
	}
	q := r.byCall[e.Call]
	switch e.Kind {
	case Forward, Run:
		r.recordStart(n, q, e)
	case Refuse, Relay, Replay, IssueTicket:
		r.recordEnd(n, q, e)
	case Cancel:
		if q != nil && q.id == e.Call {
			q.cancelled = n.calls[e.Call] == nil
		}
	case Decided:
		if e.Decision.Accepted {
			// The RequestID of a withdrawal is the key ID; others are not looked up.
			if _, known := r.withdrawn[e.RequestID]; !known {
				r.withdrawn[e.RequestID] = r.c.now
			}
		}
	case Stopped:
		if len(n.calls) > 0 {
			r.addProblem("(h) %s stopped with %d calls in flight", n.member.Node, len(n.calls))
		}
	}
}

// recordStart records that an admitted call was sent to a node or an upstream.
func (r *recorder) recordStart(n *testNode, q *request, e Effect) {
	if q == nil {
		return // the test sent the call without the recorder
	}
	q.action = e.Hop.Action
	if e.Hop.Workspace != q.workspace {
		r.addProblem("(d) a call of %s runs for %s", q.workspace, e.Hop.Workspace)
	}
	if e.Kind == Run {
		r.checkLocalRun(n)
	}
	// A call that is forwarded with a ticket is admitted later, by the owner of the ticket.
	if q.admittedAt == 0 && e.Hop.Ticket == "" {
		q.admittedAt = r.c.now
	}
}

// checkLocalRun checks that the local upstream of a node may still get new calls.
func (r *recorder) checkLocalRun(n *testNode) {
	if silence := r.c.now - n.lastAnnouncement; silence > 3*time.Second {
		r.addProblem("(g) %s runs a call %v after its upstream's last announcement", n.member.Node, silence)
	}
	if n.stopStart != 0 && r.c.now-n.stopStart > 3*time.Second {
		r.addProblem("(g) %s runs a call %v after the start of its drain", n.member.Node, r.c.now-n.stopStart)
	}
}

// recordExecution records an execution at an upstream.
func (r *recorder) recordExecution(n *testNode, e Effect) *execution {
	q := r.byCall[e.Call]
	q.runs++
	x := &execution{request: q, node: n, token: e.Token, at: r.c.now}
	r.executions = append(r.executions, x)
	return x
}

func (r *recorder) recordEnd(n *testNode, q *request, e Effect) {
	if q == nil || q.id != e.Call {
		return // sent without the recorder, or the end of a forwarded call at another node
	}
	q.ends++
	q.cancelled = false
	q.result = callResult{at: r.c.now, refusal: e.Refusal, complete: e.Kind != Refuse, ticket: e.Ticket}
	if e.Kind == Refuse && e.Refusal.Execution == outcome.NotRun {
		r.checkNotRun(n, q, e.Refusal)
	}
	if q.onEnd != nil {
		r.c.after(networkDelay, func() { q.onEnd(q.result) })
	}
}

// checkNotRun checks invariant (c): neither the refused call nor another one with the
// same ticket has run.
func (r *recorder) checkNotRun(n *testNode, q *request, refusal outcome.Refusal) {
	runs := q.runs
	if q.ticket != "" {
		runs = r.runsOf(q.ticket)
	}
	if runs > 0 {
		r.addProblem("(c) %s refused call %d (with a ticket: %v) as not run for reason %v after %d runs", n.member.Node, q.id, q.ticket != "", refusal.Reason, runs)
	}
}

func (r *recorder) runsOf(ticket string) int {
	runs := 0
	for _, q := range r.requests {
		if q.ticket == ticket {
			runs += q.runs
		}
	}
	return runs
}

func (r *recorder) recordStep(n *testNode, ev Event) {
	events := n.ring.Events()
	if len(events) > 0 {
		n.ring = timeline.NewRing(16) // so that each event is seen once
	}
	for _, e := range events {
		r.events = append(r.events, e)
		if e.Kind == timeline.Admitted {
			r.admitted[e.Workspace] = append(r.admitted[e.Workspace], r.c.now)
		}
	}
	switch ev.(type) {
	case *LogRead, *MessageReceived, *SnapshotRead:
		revision := n.State().Revision()
		if revision < r.revisions[n.member.Node] {
			r.addProblem("(f) revision of %s went back from %d to %d", n.member.Node, r.revisions[n.member.Node], revision)
		}
		r.revisions[n.member.Node] = revision
	}
}

// check checks the invariants that concern a whole run: (a), (b), (d), (e) and (j).
func (r *recorder) check() {
	r.checkRates()
	r.checkAtMostOnce()
	r.checkKeys()
	r.checkAllowance()
	r.checkEnds()
}

// checkRates checks invariant (a): in any time T at most rate x T + burst calls of a
// workspace are admitted. This holds if and only if a token bucket that is full at
// the start always has a token for an admitted call.
func (r *recorder) checkRates() {
	declared := r.c.declared
	for _, ws := range sortedWorkspaces(declared) {
		limit := declared.Workspaces[ws]
		level, last := limit.Burst, time.Duration(0)
		for _, at := range r.admitted[ws] {
			level = min(limit.Burst, level+(at-last).Seconds()*limit.RatePerSecond) - 1
			last = at
			if level < -1e-6 { // tolerates rounding
				r.addProblem("(a) %s is %.3f calls over its rate and burst at %v", ws, -level, at)
				level = 0
			}
		}
	}
}

// checkAtMostOnce checks invariant (b): a ticket, and a non-idempotent call, runs at
// most once.
func (r *recorder) checkAtMostOnce() {
	tickets := map[string]int{}
	for _, q := range r.requests {
		if q.ticket != "" {
			tickets[q.ticket] += q.runs
		} else if !q.idempotent && q.runs > 1 {
			r.addProblem("(b) call %d to %s ran %d times", q.id, q.service, q.runs)
		}
	}
	for _, t := range slices.Sorted(maps.Keys(tickets)) {
		if tickets[t] > 1 {
			r.addProblem("(b) a ticket ran %d times", tickets[t])
		}
	}
}

// maxUseAfterWithdrawal is how long a node may still accept a key after its withdrawal was
// accepted: evidence.FreshFor plus clock drift.
const maxUseAfterWithdrawal = 3030 * time.Millisecond

// checkKeys checks the part of invariant (d) on withdrawals.
func (r *recorder) checkKeys() {
	for _, q := range r.requests {
		accepted, withdrawn := r.withdrawn[q.keyID]
		if withdrawn && q.admittedAt != 0 && q.at > accepted+maxUseAfterWithdrawal {
			r.addProblem("(d) call %d was admitted %v after the withdrawal of its key", q.id, q.at-accepted)
		}
	}
}

// checkAllowance checks invariant (e): each execution of a request after the first,
// and each downstream call beyond the declared number, uses one retry of the action.
func (r *recorder) checkAllowance() {
	extraRuns := map[mesh.ActionID]int{}
	for _, q := range r.requests {
		extraRuns[q.action] += max(0, q.runs-1)
	}
	for _, x := range r.executions {
		perService := map[mesh.Service]int{}
		for _, q := range x.children {
			if q.runs > 0 {
				perService[q.service]++
			}
		}
		for service, calls := range perService {
			extraRuns[x.request.action] += max(0, calls-r.c.declaredCalls(x.request.service, service))
		}
	}
	for _, action := range slices.Sorted(maps.Keys(extraRuns)) {
		if action != 0 && extraRuns[action] > DefaultRetryAllowance {
			r.addProblem("(e) action %x has %d runs beyond the declared graph", action, extraRuns[action])
		}
	}
}

// checkEnds checks invariant (j) for calls: a call ends with exactly one response or
// refusal, unless its node has ended. A cancellation is sufficient if nothing waits
// for the call any more.
func (r *recorder) checkEnds() {
	for _, q := range r.requests {
		nobodyWaits := q.cancelled && (q.callerLeft || q.parent != nil)
		if q.ends > 1 || q.ends == 0 && !nobodyWaits && !q.node.dead {
			r.addProblem("(j) call %d at %s (caller left: %v) ended %d times", q.id, q.node.member.Node, q.callerLeft, q.ends)
		}
	}
}

// checkSettled checks what must hold after all faults and calls have ended.
func (r *recorder) checkSettled() {
	var digest string
	for _, n := range r.c.liveNodes() {
		if digest == "" {
			digest = n.State().Digest()
		}
		if n.State().Digest() != digest {
			r.addProblem("(f) %s has another configuration: offset %d of %d, gap %v", n.member.Node, n.State().Offset(), len(r.c.log), n.control.gap)
		}
		if !n.Serving(1) {
			r.addProblem("%s does not serve: configured %v fresh %v joined %v inactive %v", n.member.Node, n.configured(), n.control.fresh, n.joined(), n.quota.Inactive())
		}
		if left := n.retainedState(); left != "" {
			r.addProblem("(j) %s still holds %s", n.member.Node, left)
		}
	}
}

// retainedState lists the state of ended calls and proposals that a node still holds.
func (n *testNode) retainedState() string {
	load := n.admission.Load(n.lastNow)
	left := map[string]int{
		"calls": len(n.calls), "runs": len(n.running), "tickets in execution": n.tickets.Running(),
		"admitted calls": load.InFlight, "queued calls": load.Queued, "proposals": len(n.control.proposals),
		"withdrawals": len(n.control.withdrawals), "pending withdrawals": len(n.keys.Pending()),
		"tasks": len(n.control.tasks),
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(left)) {
		if left[name] > 0 {
			names = append(names, fmt.Sprintf("%d %s", left[name], name))
		}
	}
	return strings.Join(names, ", ")
}

func (c *cluster) declaredCalls(from, to mesh.Service) int {
	for _, e := range c.declared.Edges {
		if e.From == from && e.To == to {
			return e.CallsPerParent
		}
	}
	return 0
}
