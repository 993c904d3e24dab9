package ticket

import (
	"cmp"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// retryAfter is the advice in refusals that may end soon.
const retryAfter = time.Second

// Registry decides on the tickets of one node. It is not safe for concurrent use.
type Registry struct {
	self      mesh.NodeID
	cfg       Config
	own       *owner
	owners    map[mesh.NodeID]*owner
	accepted  map[mesh.NodeID][32]byte // digest of the handover each owner came with
	redirects map[mesh.NodeID]redirect
	sequence  uint64
	running   int
	finished  int
	stored    int // bytes
	order     storeOrder
	closed    bool
	sealed    bool
	successor mesh.NodeID
	nextSweep time.Duration
	out       outgoing
	decoder   decoder
}

type redirect struct {
	successor mesh.NodeID
	at        time.Duration
}

// New returns the Book of a node. macKey must be random for each incarnation.
func New(self mesh.NodeID, macKey [32]byte, cfg Config) *Registry {
	cfg = cfg.withDefaults()
	own := &owner{
		owner:   self,
		key:     macKey,
		mac:     newMAC(macKey),
		own:     true,
		running: map[uint64]*run{},
		buckets: map[int64]*bucket{},
	}
	return &Registry{
		self:      self,
		cfg:       cfg,
		decoder:   decoder{host: self.Host},
		own:       own,
		owners:    map[mesh.NodeID]*owner{self: own},
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

// Issue returns a new ticket, or "" after Seal and for a workspace or host whose
// name has more than 255 bytes.
func (b *Registry) Issue(now time.Duration, ws mesh.Workspace) string {
	if b.sealed || len(ws) > 255 || len(b.self.Host) > 255 {
		return ""
	}
	b.sequence++
	f := fields{owner: b.self, sequence: b.sequence, issued: now, workspace: ws}
	return encode(f, b.own.mac)
}

// Begin decides on a call that presents a ticket. For Fresh the caller must
// report the end with Finish, Failed or NotRun.
func (b *Registry) Begin(now time.Duration, ticket string, ws mesh.Workspace, call mesh.CallID) Decision {
	b.sweep(now)
	b.decoder.workspace = ws
	f, err := b.decoder.decode(ticket)
	if err != nil {
		return b.reject(outcome.NotRun, outcome.TicketInvalid)
	}
	e := b.owners[f.owner]
	if e == nil || b.sealed {
		return b.elsewhere(f.owner, e != nil)
	}
	// A forged ticket, or one of another workspace, has never run for this caller.
	if !b.decoder.authentic(f, e.mac) || f.workspace != ws || !e.plausible(now, f.issued) {
		return b.reject(outcome.NotRun, outcome.TicketInvalid)
	}
	if r := e.running[f.sequence]; r != nil {
		return b.wait(r, call)
	}
	if m, ok := e.find(f, b.cfg.TTL); ok {
		return b.replay(m)
	}
	if e.expired(now, f.issued, b.cfg.TTL) {
		return b.reject(outcome.MayHaveRun, outcome.TicketExpired)
	}
	return b.start(e, f)
}

// elsewhere decides on a ticket that this node may not run.
func (b *Registry) elsewhere(owner mesh.NodeID, held bool) Decision {
	if held && !b.successor.IsZero() {
		return Decision{Kind: Forward, Node: b.successor}
	}
	if held {
		return b.reject(outcome.MayHaveRun, outcome.TicketOwnerGone)
	}
	r, moved := b.redirects[owner]
	if moved && r.successor == b.self {
		// The handover is still under way; until it arrives nothing is known here.
		return b.reject(outcome.MayHaveRun, outcome.TicketHandedOver)
	}
	if moved {
		return Decision{Kind: Forward, Node: r.successor}
	}
	if owner.Host == b.self.Host {
		// A host runs one node, so the owner is an earlier incarnation that ended.
		return b.reject(outcome.MayHaveRun, outcome.TicketOwnerGone)
	}
	return Decision{Kind: Forward, Node: owner}
}

func (b *Registry) wait(r *run, call mesh.CallID) Decision {
	if len(r.waiting) >= b.cfg.MaxWaiting {
		return b.reject(outcome.MayHaveRun, outcome.Overloaded)
	}
	r.waiting = append(r.waiting, call)
	return Decision{Kind: Wait}
}

func (b *Registry) replay(m marker) Decision {
	if m.answer != nil {
		return Decision{Kind: Replay, Answer: *m.answer}
	}
	return b.reject(m.execution, m.reason)
}

func (b *Registry) start(e *owner, f fields) Decision {
	if b.closed {
		return b.reject(outcome.NotRun, outcome.Draining)
	}
	if b.running+b.finished >= b.cfg.MaxMarkers {
		return b.reject(outcome.NotRun, outcome.Overloaded)
	}
	e.running[f.sequence] = &run{issued: f.issued}
	b.running++
	return Decision{Kind: Execute}
}

func (b *Registry) reject(execution outcome.Execution, reason outcome.Reason) Decision {
	r := outcome.Refusal{Execution: execution, Reason: reason, Node: string(b.self.Host)}
	switch reason {
	case outcome.Overloaded, outcome.Draining, outcome.TicketHandedOver:
		r.RetryAfter = retryAfter
	}
	return Decision{Kind: Reject, Refusal: r}
}

// Finish stores the whole answer of a fresh ticket and returns the calls that
// wait for it. The Book keeps the answer's header and body; they must not be
// changed afterwards. It does nothing for a ticket that is not running.
func (b *Registry) Finish(now time.Duration, ticket string, answer Answer) (waiting []mesh.CallID) {
	m := marker{execution: outcome.Ran, reason: outcome.AnswerNotStored}
	if size(&answer) <= b.cfg.MaxAnswerBytes {
		m.answer = &answer
	}
	return b.end(ticket, &m)
}

// RecordFailure finishes a fresh ticket that may have run, or ran without a whole
// answer. The ticket keeps that outcome and never runs again. A refusal that
// says not run is treated as NotRun.
func (b *Registry) RecordFailure(now time.Duration, ticket string, r outcome.Refusal) (waiting []mesh.CallID) {
	if r.Execution == outcome.NotRun {
		return b.Release(now, ticket)
	}
	return b.end(ticket, &marker{execution: r.Execution, reason: r.Reason})
}

// Release makes a fresh ticket usable again. It may be called only on proof that
// the execution did not and will not happen.
func (b *Registry) Release(now time.Duration, ticket string) (waiting []mesh.CallID) {
	return b.end(ticket, nil)
}

// end removes the running ticket and stores its marker, unless m is nil.
func (b *Registry) end(ticket string, m *marker) []mesh.CallID {
	e, sequence, r := b.find(ticket)
	if r == nil {
		return nil
	}
	delete(e.running, sequence)
	b.running--
	if m != nil {
		m.issued = r.issued
		b.store(e, sequence, *m)
	}
	return r.waiting
}

func (b *Registry) find(ticket string) (*owner, uint64, *run) {
	f, err := b.decoder.decode(ticket)
	if err != nil {
		return nil, 0, nil
	}
	e := b.owners[f.owner]
	if e == nil {
		return nil, 0, nil
	}
	return e, f.sequence, e.running[f.sequence]
}

// Gone removes a waiting call whose caller disconnected.
func (b *Registry) Gone(ticket string, call mesh.CallID) {
	_, _, r := b.find(ticket)
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

// Running returns the number of executions under way.
func (b *Registry) Running() int { return b.running }

// Markers returns the number of running and finished tickets held.
func (b *Registry) Markers() int { return b.running + b.finished }

// StoredBytes returns the bytes of all stored answers.
func (b *Registry) StoredBytes() int { return b.stored }
