package ticket

import (
	"cmp"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// retryAfter is the Retry-After value of refusals whose cause is temporary.
const retryAfter = time.Second

// Registry holds the state of the tickets that one node may run, and decides what
// to do with calls that present a ticket. It is not safe for concurrent use.
type Registry struct {
	self          mesh.NodeID
	cfg           Config
	ownEntry      *ownerEntry                 // this node as owner
	owners        map[mesh.NodeID]*ownerEntry // this node and the nodes whose tickets it took over
	accepted      map[mesh.NodeID][32]byte    // digest of the handover that contained each owner
	redirects     map[mesh.NodeID]redirect    // stopped owner to its successor
	sequence      uint64                      // of the last ticket issued
	runningCount  int                         // running tickets of all owners
	finishedCount int                         // finished tickets of all owners
	storedBytes   int                         // total answerSize of the stored answers
	answers       answerQueue
	closed        bool        // no new executions, see Close
	sealed        bool        // no tickets are accepted, see Seal
	successor     mesh.NodeID // named by Close
	nextSweep     time.Duration
	outgoing      outgoing
	decoder       decoder
}

// redirect names the node that holds the tickets of a stopped owner.
type redirect struct {
	successor mesh.NodeID
	at        time.Duration // when the redirect was recorded
}

// New returns the Registry of a node. macKey must be random and new in each
// incarnation.
func New(self mesh.NodeID, macKey [32]byte, cfg Config) *Registry {
	cfg = cfg.withDefaults()
	own := &ownerEntry{
		id:      self,
		key:     macKey,
		mac:     newMAC(macKey),
		local:   true,
		running: map[uint64]*runningTicket{},
		buckets: map[int64]*bucket{},
	}
	return &Registry{
		self:      self,
		cfg:       cfg,
		decoder:   decoder{host: self.Host},
		ownEntry:  own,
		owners:    map[mesh.NodeID]*ownerEntry{self: own},
		accepted:  map[mesh.NodeID][32]byte{},
		redirects: map[mesh.NodeID]redirect{},
	}
}

func (c Config) withDefaults() Config {
	c.TTL = cmp.Or(c.TTL, DefaultTTL)
	c.MaxMarkers = cmp.Or(c.MaxMarkers, DefaultMaxMarkers)
	c.MaxStoredBytes = cmp.Or(c.MaxStoredBytes, DefaultMaxStoredBytes)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, DefaultMaxWaiting)
	c.HandoverBytes = cmp.Or(c.HandoverBytes, DefaultHandoverBytes)
	c.HandoverDelay = cmp.Or(c.HandoverDelay, DefaultHandoverDelay)
	c.DriftPerMille = cmp.Or(c.DriftPerMille, DefaultDriftPerMille)
	return c
}

// Issue returns a new ticket. It returns "" after Seal, and if the name of the
// workspace or host is longer than 255 bytes, which its length byte cannot express.
func (reg *Registry) Issue(now time.Duration, ws mesh.Workspace) string {
	if reg.sealed || len(ws) > 255 || len(reg.self.Host) > 255 {
		return ""
	}
	reg.sequence++
	f := fields{owner: reg.self, sequence: reg.sequence, issued: now, workspace: ws}
	return encode(f, reg.ownEntry.mac)
}

// Begin decides what to do with a call that presents a ticket. If the decision
// is Execute, the end of the execution must be reported with Finish,
// RecordFailure or Release.
func (reg *Registry) Begin(now time.Duration, ticket string, ws mesh.Workspace, call mesh.CallID) Decision {
	reg.sweep(now)
	reg.decoder.workspace = ws
	f, err := reg.decoder.decode(ticket)
	if err != nil {
		return reg.reject(outcome.NotRun, outcome.TicketInvalid)
	}
	e := reg.owners[f.owner]
	if e == nil || reg.sealed {
		return reg.decideNotHeld(f.owner, e != nil)
	}
	// NotRun is correct: a forged ticket, or one of another workspace, has never
	// been executed for this caller.
	if !reg.decoder.verifyMAC(f, e.mac) || f.workspace != ws || !e.couldHaveIssued(now, f.issued) {
		return reg.reject(outcome.NotRun, outcome.TicketInvalid)
	}
	if r := e.running[f.sequence]; r != nil {
		return reg.addWaiter(r, call)
	}
	if m, ok := e.find(f, reg.cfg.TTL); ok {
		return reg.replay(m)
	}
	if e.expired(now, f.issued, reg.cfg.TTL) {
		return reg.reject(outcome.MayHaveRun, outcome.TicketExpired)
	}
	return reg.beginExecution(e, f)
}

// decideNotHeld decides on a ticket that this node may not run. held is true if
// this node could run the owner's tickets until Seal.
func (reg *Registry) decideNotHeld(owner mesh.NodeID, held bool) Decision {
	if held && !reg.successor.IsZero() {
		return Decision{Kind: Forward, Node: reg.successor}
	}
	if held {
		return reg.reject(outcome.MayHaveRun, outcome.TicketOwnerGone)
	}
	r, moved := reg.redirects[owner]
	if moved && r.successor == reg.self {
		// This node is the successor but has not received the handover, so the
		// state of the ticket is unknown.
		return reg.reject(outcome.MayHaveRun, outcome.TicketHandedOver)
	}
	if moved {
		return Decision{Kind: Forward, Node: r.successor}
	}
	if owner.Host == reg.self.Host {
		// A host runs one node at a time, so the owner is an earlier incarnation
		// that has ended.
		return reg.reject(outcome.MayHaveRun, outcome.TicketOwnerGone)
	}
	return Decision{Kind: Forward, Node: owner}
}

func (reg *Registry) addWaiter(r *runningTicket, call mesh.CallID) Decision {
	if len(r.waiting) >= reg.cfg.MaxWaiting {
		return reg.reject(outcome.MayHaveRun, outcome.Overloaded)
	}
	r.waiting = append(r.waiting, call)
	return Decision{Kind: Wait}
}

func (reg *Registry) replay(m marker) Decision {
	if m.answer != nil {
		return Decision{Kind: Replay, Answer: *m.answer}
	}
	return reg.reject(m.execution, m.reason)
}

func (reg *Registry) beginExecution(e *ownerEntry, f fields) Decision {
	if reg.closed {
		return reg.reject(outcome.NotRun, outcome.Draining)
	}
	if reg.runningCount+reg.finishedCount >= reg.cfg.MaxMarkers {
		return reg.reject(outcome.NotRun, outcome.Overloaded)
	}
	e.running[f.sequence] = &runningTicket{issued: f.issued}
	reg.runningCount++
	return Decision{Kind: Execute}
}

func (reg *Registry) reject(execution outcome.Execution, reason outcome.Reason) Decision {
	r := outcome.Refusal{Execution: execution, Reason: reason, Node: string(reg.self.Host)}
	switch reason {
	case outcome.Overloaded, outcome.Draining, outcome.TicketHandedOver:
		r.RetryAfter = retryAfter
	}
	return Decision{Kind: Reject, Refusal: r}
}

// Finish stores the complete answer of a running ticket and returns the calls
// that wait for it. An answer larger than Config.MaxAnswerBytes is not stored, and
// the ticket ends as Ran with reason AnswerNotStored. The Registry keeps references
// to the answer's header and body, which must not be modified afterwards. Finish
// has no effect on a ticket that is not running.
func (reg *Registry) Finish(now time.Duration, ticket string, answer Answer) (waiting []mesh.CallID) {
	m := marker{execution: outcome.Ran, reason: outcome.AnswerNotStored}
	if answerSize(&answer) <= reg.cfg.MaxAnswerBytes {
		m.answer = &answer
	}
	return reg.endExecution(ticket, &m)
}

// RecordFailure ends a running ticket that may have been executed, or that was
// executed without a complete answer, and returns the calls that wait for it.
// The ticket keeps that outcome and is never executed again. A refusal with
// execution state NotRun releases the ticket.
func (reg *Registry) RecordFailure(now time.Duration, ticket string, r outcome.Refusal) (waiting []mesh.CallID) {
	if r.Execution == outcome.NotRun {
		return reg.Release(now, ticket)
	}
	return reg.endExecution(ticket, &marker{execution: r.Execution, reason: r.Reason})
}

// Release makes a running ticket available for execution again and returns the
// calls that wait for it. It may be called only on proof that the execution did
// not and will not happen.
func (reg *Registry) Release(now time.Duration, ticket string) (waiting []mesh.CallID) {
	return reg.endExecution(ticket, nil)
}

// endExecution removes the ticket from the running ones and stores its marker,
// unless m is nil.
func (reg *Registry) endExecution(ticket string, m *marker) []mesh.CallID {
	e, sequence, r := reg.findRunning(ticket)
	if r == nil {
		return nil
	}
	delete(e.running, sequence)
	reg.runningCount--
	if m != nil {
		m.issued = r.issued
		reg.store(e, sequence, *m)
	}
	return r.waiting
}

// findRunning returns the running execution of a ticket that Begin has verified, or nil.
func (reg *Registry) findRunning(ticket string) (*ownerEntry, uint64, *runningTicket) {
	f, err := reg.decoder.decode(ticket)
	if err != nil {
		return nil, 0, nil
	}
	e := reg.owners[f.owner]
	if e == nil {
		return nil, 0, nil
	}
	return e, f.sequence, e.running[f.sequence]
}

// CancelWait removes a call from the calls that wait for the ticket, after its
// caller disconnected or it timed out.
func (reg *Registry) CancelWait(ticket string, call mesh.CallID) {
	_, _, r := reg.findRunning(ticket)
	if r == nil {
		return
	}
	for i, waiting := range r.waiting {
		if waiting == call {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return
		}
	}
}

// Running returns the number of executions in progress.
func (reg *Registry) Running() int { return reg.runningCount }

// Markers returns the number of running and finished tickets held.
func (reg *Registry) Markers() int { return reg.runningCount + reg.finishedCount }

// StoredBytes returns the total size of the stored answers.
func (reg *Registry) StoredBytes() int { return reg.storedBytes }
