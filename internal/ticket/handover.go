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

// maxAccepted bounds how many owners a Book remembers to have taken over from.
// At 4,400 planned restarts a day over 25,000 hosts, a node takes over about
// once in six days.
const maxAccepted = 4096

// Close is the first step of a planned stop: it stops new executions, which are
// refused as not run, and names the successor. Executions under way go on, and
// finished tickets are still replayed. The caller waits until Running is zero or
// its patience ends, and then calls Seal. Only the first call has an effect.
func (b *Registry) Close(now time.Duration, successor mesh.NodeID) {
	if b.closed {
		return
	}
	b.closed = true
	b.successor = successor
}

// Seal ends acceptance at this node for good and returns what the successor
// named by Close needs; without Close there is no successor and nobody accepts
// the tickets any more. An execution still under way is handed over as
// may-have-run. Its end can still be reported here, for the calls waiting at this
// node, but no longer changes what the successor answers. Tick sends the Handover;
// further calls return the same one.
func (b *Registry) Seal(now time.Duration) Handover {
	if b.sealed {
		return b.out.handover
	}
	b.sweep(now)
	b.closed, b.sealed = true, true
	h := Handover{From: b.self, To: b.successor}
	budget := b.cfg.HandoverBytes
	for _, e := range b.owners {
		h.Owners = append(h.Owners, b.export(now, e))
	}
	slices.SortFunc(h.Owners, func(x, y OwnerState) int { return compareNodes(x.Owner, y.Owner) })
	for i := range h.Owners {
		budget = trim(h.Owners[i].Markers, budget)
	}
	b.out = outgoing{handover: h, nextSend: now}
	return h
}

func compareNodes(x, y mesh.NodeID) int {
	return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
}

func (b *Registry) export(now time.Duration, e *owner) OwnerState {
	out := OwnerState{
		Owner:    e.owner,
		Key:      e.key,
		Fast:     e.fastClock(now),
		Slow:     e.slowClock(now),
		SealedAt: e.sealedAt,
	}
	if e.own {
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

// trim drops the answers beyond the budget of bytes, oldest first, and returns
// what remains of the budget.
func trim(markers []Marker, budget int) int {
	for i := len(markers) - 1; i >= 0; i-- {
		n := size(markers[i].Answer)
		if n > budget {
			markers[i].Answer = nil
			continue
		}
		budget -= n
	}
	return budget
}

// Accept takes over the tickets of a stopped node. A duplicate of an accepted
// handover has no effect and returns nil. It fails, and accepts nothing, for a
// handover to another node, one that differs from what was accepted for an
// owner before, one that does not fit into the bounds, and after Seal.
func (b *Registry) Accept(now time.Duration, h Handover) error {
	if h.To != b.self {
		return fmt.Errorf("ticket handover from %s is for %s, not for %s", h.From, h.To, b.self)
	}
	digest := h.digest()
	known, err := b.known(h, digest)
	if known || err != nil {
		return err
	}
	if b.sealed {
		return fmt.Errorf("ticket handover from %s arrived after the tickets of %s were sealed", h.From, b.self)
	}
	b.sweep(now)
	if err := b.fits(h); err != nil {
		return err
	}
	for _, in := range h.Owners {
		b.accepted[in.Owner] = digest
		b.adopt(now, in)
	}
	return nil
}

// known reports whether this very handover was accepted before.
func (b *Registry) known(h Handover, digest [32]byte) (bool, error) {
	for _, in := range h.Owners {
		if in.Owner == b.self {
			return false, fmt.Errorf("ticket handover from %s contains tickets of %s itself", h.From, b.self)
		}
		before, ok := b.accepted[in.Owner]
		if ok && before != digest {
			return false, fmt.Errorf("a different ticket handover of %s was accepted before the one from %s", in.Owner, h.From)
		}
		if ok {
			return true, nil
		}
	}
	return false, nil
}

func (b *Registry) fits(h Handover) error {
	markers := 0
	for _, in := range h.Owners {
		markers += len(in.Markers)
	}
	if b.Markers()+markers > b.cfg.MaxMarkers {
		return fmt.Errorf("ticket handover from %s with %d markers does not fit: %d of %d are held",
			h.From, markers, b.Markers(), b.cfg.MaxMarkers)
	}
	if len(b.accepted)+len(h.Owners) > maxAccepted {
		return fmt.Errorf("ticket handover from %s refused: %d owners were taken over before", h.From, len(b.accepted))
	}
	return nil
}

func (b *Registry) adopt(now time.Duration, in OwnerState) {
	e := &owner{
		owner:    in.Owner,
		key:      in.Key,
		mac:      newMAC(in.Key),
		anchor:   now,
		fast:     in.Fast + b.cfg.HandoverDelay,
		slow:     in.Slow,
		sealedAt: in.SealedAt,
		drift:    time.Duration(b.cfg.DriftPerMille),
		running:  map[uint64]*run{},
		buckets:  map[int64]*bucket{},
	}
	b.owners[in.Owner] = e
	for _, m := range in.Markers {
		b.store(e, m.Sequence, marker{issued: m.Issued, answer: m.Answer, execution: m.Execution, reason: m.Reason})
	}
}

// Redirect records that the tickets of a stopped owner are at its successor. It
// has no effect on tickets that this node holds itself.
func (b *Registry) Redirect(now time.Duration, owner, successor mesh.NodeID) {
	if owner == b.self || successor.IsZero() {
		return
	}
	b.redirects[owner] = redirect{successor: successor, at: now}
}

// digest identifies a handover. Answer headers are left out: they cannot differ
// for the same owner, sequence, status and body.
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
