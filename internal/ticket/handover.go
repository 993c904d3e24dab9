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
// successor answers. Tick sends the Handover. Seal returns the same Handover if it
// is called again.
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

// exportOwner returns the state of an owner for the handover, with its markers sorted
// by sequence number.
func (reg *Registry) exportOwner(now time.Duration, e *ownerEntry) OwnerState {
	state := OwnerState{
		Owner:    e.id,
		Key:      e.key,
		Fast:     e.latestClock(now),
		Slow:     e.earliestClock(now),
		SealedAt: e.sealedAt,
	}
	if e.local {
		state.SealedAt = now
	}
	for sequence, r := range e.running {
		state.Markers = append(state.Markers, Marker{
			Sequence:  sequence,
			Issued:    r.issued,
			Execution: outcome.MayHaveRun,
			Reason:    outcome.TicketHandedOver,
		})
	}
	for _, b := range e.buckets {
		for sequence, m := range b.markers {
			state.Markers = append(state.Markers, Marker{sequence, m.issued, m.execution, m.reason, m.answer})
		}
	}
	slices.SortFunc(state.Markers, func(x, y Marker) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return state
}

// limitAnswerBytes removes each answer that does not fit into the rest of the budget,
// in bytes, and returns what is left of the budget. The newest answers are kept first;
// markers must be sorted by sequence number.
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
// handover has no effect and returns nil. Accept fails, without any effect on the
// tickets, after Seal and if the handover is addressed to another node, contains
// tickets of this node, differs from one accepted earlier for the same owner, or
// exceeds the bounds; see checkCapacity.
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
	for _, state := range h.Owners {
		reg.accepted[state.Owner] = digest
		reg.addOwner(now, state)
	}
	return nil
}

// alreadyAccepted reports whether the same handover was accepted earlier. It
// fails if a different one was accepted for one of its owners, or if this node
// itself is one of its owners.
func (reg *Registry) alreadyAccepted(h Handover, digest [32]byte) (bool, error) {
	for _, state := range h.Owners {
		if state.Owner == reg.self {
			return false, fmt.Errorf("ticket handover from %s contains tickets of %s itself", h.From, reg.self)
		}
		acceptedDigest, ok := reg.accepted[state.Owner]
		if ok && acceptedDigest != digest {
			return false, fmt.Errorf("a different ticket handover of %s was accepted before the one from %s", state.Owner, h.From)
		}
		if ok {
			return true, nil
		}
	}
	return false, nil
}

// checkCapacity returns an error if the handover would exceed Config.MaxMarkers or
// maxAccepted.
func (reg *Registry) checkCapacity(h Handover) error {
	markers := 0
	for _, state := range h.Owners {
		markers += len(state.Markers)
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

// addOwner adds an owner from an accepted handover, with its markers.
func (reg *Registry) addOwner(now time.Duration, state OwnerState) {
	e := &ownerEntry{
		id:               state.Owner,
		key:              state.Key,
		mac:              newMAC(state.Key),
		acceptedAt:       now,
		latestAtAccept:   state.Fast + reg.cfg.HandoverDelay, // if the message took that long
		earliestAtAccept: state.Slow,                         // if the message took no time
		sealedAt:         state.SealedAt,
		driftPerMille:    time.Duration(reg.cfg.DriftPerMille),
		running:          map[uint64]*runningTicket{},
		buckets:          map[int64]*bucket{},
	}
	reg.owners[state.Owner] = e
	for _, m := range state.Markers {
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
	writeNumbers := func(values ...uint64) {
		for _, v := range values {
			sum.Write(binary.BigEndian.AppendUint64(nil, v))
		}
	}
	writeNode := func(n mesh.NodeID) {
		writeNumbers(uint64(len(n.Host)), uint64(n.Incarnation))
		sum.Write([]byte(n.Host))
	}
	writeNode(h.From)
	writeNode(h.To)
	for _, state := range h.Owners {
		writeNode(state.Owner)
		sum.Write(state.Key[:])
		writeNumbers(uint64(state.Fast), uint64(state.Slow), uint64(state.SealedAt), uint64(len(state.Markers)))
		for _, m := range state.Markers {
			writeNumbers(m.Sequence, uint64(m.Issued), uint64(m.Execution), uint64(m.Reason))
			if m.Answer != nil {
				writeNumbers(uint64(m.Answer.Status), uint64(len(m.Answer.Body)))
				sum.Write(m.Answer.Body)
			}
		}
	}
	return [32]byte(sum.Sum(nil))
}
