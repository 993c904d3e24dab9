package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// maxAccepted bounds the number of owners whose accepted handovers a Registry
// remembers. With 4,400 planned restarts a day over 25,000 hosts, a node accepts
// about one handover in six days.
const maxAccepted = 4096

// Close is the first step of a planned stop: it names the successor and ends the
// admission of new executions, which are refused as not run. Executions in
// progress continue, and finished tickets are still replayed. The node waits until
// Running is zero or its own time limit has passed, and then calls Seal. Only the
// first call has an effect.
func (reg *Registry) Close(now time.Duration, successor mesh.NodeID) {
	if reg.closed {
		return
	}
	reg.closed = true
	reg.successor = successor
}

// Seal permanently ends the acceptance of tickets at this node and returns the
// state that the successor named by Close needs. Without Close there is no
// successor, and no node accepts the tickets afterwards. An execution still in
// progress is handed over as may-have-run. Its end can still be reported here, to
// release the calls that wait at this node, but does not change what the
// successor answers. Tick sends the Handover; further calls return the same one.
func (reg *Registry) Seal(now time.Duration) Handover {
	if reg.sealed {
		return reg.outgoing.handover
	}
	reg.sweep(now)
	reg.closed, reg.sealed = true, true
	h := Handover{From: reg.self, To: reg.successor}
	budget := reg.cfg.HandoverBytes
	for _, e := range reg.owners {
		h.Owners = append(h.Owners, reg.exportOwner(now, e))
	}
	slices.SortFunc(h.Owners, func(x, y OwnerState) int { return compareNodes(x.Owner, y.Owner) })
	for i := range h.Owners {
		budget = limitAnswerBytes(h.Owners[i].Markers, budget)
	}
	reg.outgoing = outgoing{handover: h, nextSend: now}
	return h
}

func compareNodes(x, y mesh.NodeID) int {
	return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
}

func (reg *Registry) exportOwner(now time.Duration, e *ownerEntry) OwnerState {
	out := OwnerState{
		Owner:    e.id,
		Key:      e.key,
		Fast:     e.latestClock(now),
		Slow:     e.earliestClock(now),
		SealedAt: e.sealedAt,
	}
	if e.local {
		out.SealedAt = now
	}
	for sequence, r := range e.running {
		out.Markers = append(out.Markers, Marker{
			Sequence:  sequence,
			Issued:    r.issued,
			Execution: outcome.MayHaveRun,
			Reason:    outcome.TicketHandedOver,
		})
	}
	for _, held := range e.buckets {
		for sequence, m := range held.markers {
			out.Markers = append(out.Markers, Marker{sequence, m.issued, m.execution, m.reason, m.answer})
		}
	}
	slices.SortFunc(out.Markers, func(x, y Marker) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return out
}

// limitAnswerBytes removes answers that exceed the budget in bytes and returns
// the rest of the budget. Markers are sorted by sequence number; the newest
// answers are kept first, and an answer that does not fit is skipped.
func limitAnswerBytes(markers []Marker, budget int) int {
	for i := len(markers) - 1; i >= 0; i-- {
		n := answerSize(markers[i].Answer)
		if n > budget {
			markers[i].Answer = nil
			continue
		}
		budget -= n
	}
	return budget
}

// Accept takes over the tickets of a stopped node. A duplicate of an accepted
// handover has no effect and returns nil. Accept fails without any effect on the
// tickets if the handover is addressed to another node, contains tickets of this
// node, differs from one accepted earlier for the same owner, or exceeds the
// configured bounds, and after Seal.
func (reg *Registry) Accept(now time.Duration, h Handover) error {
	if h.To != reg.self {
		return fmt.Errorf("ticket handover from %s is for %s, not for %s", h.From, h.To, reg.self)
	}
	digest := h.digest()
	known, err := reg.alreadyAccepted(h, digest)
	if known || err != nil {
		return err
	}
	if reg.sealed {
		return fmt.Errorf("ticket handover from %s arrived after the tickets of %s were sealed", h.From, reg.self)
	}
	reg.sweep(now)
	if err := reg.checkCapacity(h); err != nil {
		return err
	}
	for _, in := range h.Owners {
		reg.accepted[in.Owner] = digest
		reg.addOwner(now, in)
	}
	return nil
}

// alreadyAccepted reports whether the same handover was accepted earlier. It
// fails if a different one was accepted for one of its owners.
func (reg *Registry) alreadyAccepted(h Handover, digest [32]byte) (bool, error) {
	for _, in := range h.Owners {
		if in.Owner == reg.self {
			return false, fmt.Errorf("ticket handover from %s contains tickets of %s itself", h.From, reg.self)
		}
		before, ok := reg.accepted[in.Owner]
		if ok && before != digest {
			return false, fmt.Errorf("a different ticket handover of %s was accepted before the one from %s", in.Owner, h.From)
		}
		if ok {
			return true, nil
		}
	}
	return false, nil
}

func (reg *Registry) checkCapacity(h Handover) error {
	markers := 0
	for _, in := range h.Owners {
		markers += len(in.Markers)
	}
	if reg.Markers()+markers > reg.cfg.MaxMarkers {
		return fmt.Errorf("ticket handover from %s with %d markers does not fit: %d of %d are held",
			h.From, markers, reg.Markers(), reg.cfg.MaxMarkers)
	}
	if len(reg.accepted)+len(h.Owners) > maxAccepted {
		return fmt.Errorf("ticket handover from %s refused: %d owners were taken over before", h.From, len(reg.accepted))
	}
	return nil
}

func (reg *Registry) addOwner(now time.Duration, in OwnerState) {
	e := &ownerEntry{
		id:         in.Owner,
		key:        in.Key,
		mac:        newMAC(in.Key),
		acceptedAt: now,
		latest:     in.Fast + reg.cfg.HandoverDelay,
		earliest:   in.Slow,
		sealedAt:   in.SealedAt,
		drift:      time.Duration(reg.cfg.DriftPerMille),
		running:    map[uint64]*runningTicket{},
		buckets:    map[int64]*bucket{},
	}
	reg.owners[in.Owner] = e
	for _, m := range in.Markers {
		reg.store(e, m.Sequence, marker{issued: m.Issued, answer: m.Answer, execution: m.Execution, reason: m.Reason})
	}
}

// Redirect records that the successor of a stopped owner holds its tickets. It
// has no effect on tickets that this node holds.
func (reg *Registry) Redirect(now time.Duration, owner, successor mesh.NodeID) {
	if owner == reg.self || successor.IsZero() {
		return
	}
	reg.redirects[owner] = redirect{successor: successor, at: now}
}

// digest returns a hash that identifies a handover. It omits answer headers,
// which cannot differ for the same owner, sequence, status and body.
func (h Handover) digest() [32]byte {
	sum := sha256.New()
	number := func(values ...uint64) {
		for _, v := range values {
			sum.Write(binary.BigEndian.AppendUint64(nil, v))
		}
	}
	node := func(n mesh.NodeID) {
		number(uint64(len(n.Host)), uint64(n.Incarnation))
		sum.Write([]byte(n.Host))
	}
	node(h.From)
	node(h.To)
	for _, e := range h.Owners {
		node(e.Owner)
		sum.Write(e.Key[:])
		number(uint64(e.Fast), uint64(e.Slow), uint64(e.SealedAt), uint64(len(e.Markers)))
		for _, m := range e.Markers {
			number(m.Sequence, uint64(m.Issued), uint64(m.Execution), uint64(m.Reason))
			if m.Answer != nil {
				number(uint64(m.Answer.Status), uint64(len(m.Answer.Body)))
				sum.Write(m.Answer.Body)
			}
		}
	}
	return [32]byte(sum.Sum(nil))
}
