package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// validFor is FreshFor less the maximum clock drift, so that evidence lapses before
// FreshFor has passed on any other node's clock.
const validFor = FreshFor - FreshFor*MaxDriftPercent/100

// drift returns the maximum clock drift over d.
func drift(d time.Duration) time.Duration { return d * MaxDriftPercent / 100 }

// FreshUntil returns when this node's evidence lapses. The time is in the past if
// the evidence has lapsed, and far in the past if there never was any.
func (t *Tracker) FreshUntil() time.Duration {
	date := t.evidenceDate()
	if date == never {
		return never
	}
	return date + validFor
}

// evidenceDate returns the date of the most recent evidence: the latest of the log,
// the relay and the panel. This node's own vote does not age, so the date for a
// panel of this node alone is noExpiry.
func (t *Tracker) evidenceDate() time.Duration {
	best := max(t.log.date, t.relay.date)
	panel := t.majorityDate(t.panel.Members)
	if !t.panel.Settled && len(t.panel.Previous) > 0 {
		panel = min(panel, t.majorityDate(t.panel.Previous))
	}
	return max(best, panel)
}

// noExpiry is the date of evidence that does not age.
const noExpiry = time.Duration(1 << 62)

// majorityDate returns the latest date as of which a majority of the members has
// confirmed that this node's knowledge is current.
func (t *Tracker) majorityDate(members []mesh.NodeID) time.Duration {
	if len(members) == 0 {
		return never
	}
	dates := make([]time.Duration, 0, len(members))
	for _, node := range members {
		switch s := t.members[node.Host]; {
		case node.Host == t.self.Host && t.Counted():
			dates = append(dates, noExpiry)
		case s != nil:
			dates = append(dates, s.date)
		}
	}
	slices.Sort(dates)
	missing := len(members) - len(dates)
	// unneeded is how many of the earliest dates can be left out while the others are
	// still a majority of the members.
	unneeded := len(members) - majority(len(members)) - missing
	if unneeded < 0 {
		return never
	}
	return dates[unneeded]
}

func majority(n int) int { return n/2 + 1 }

// HasMajority reports whether the nodes for which has returns true include a
// majority of the panel, and of the previous panel while the new one is unsettled.
func (t *Tracker) HasMajority(has func(mesh.NodeID) bool) bool {
	if !holdsMajority(t.panel.Members, has) {
		return false
	}
	return t.panel.Settled || len(t.panel.Previous) == 0 || holdsMajority(t.panel.Previous, has)
}

func holdsMajority(members []mesh.NodeID, has func(mesh.NodeID) bool) bool {
	count := 0
	for _, node := range members {
		if has(node) {
			count++
		}
	}
	return len(members) > 0 && count >= majority(len(members))
}

// Watch starts to collect acknowledgements of the record at offset. It has no
// effect while maxWatches offsets are watched.
func (t *Tracker) Watch(offset uint64) {
	if t.watches[offset] == nil && len(t.watches) < maxWatches {
		t.watches[offset] = &watch{acked: make(map[mesh.Host]struct{}), majorityAt: never}
	}
}

// Unwatch discards the acknowledgements of the record at offset.
func (t *Tracker) Unwatch(offset uint64) { delete(t.watches, offset) }

// InForce reports whether the record at offset is in force, so that no node without
// it can have fresh evidence any more: a majority has acknowledged it, and FreshFor
// plus the maximum clock drift has passed since then on this node's clock. It returns
// false for an offset that is not watched.
func (t *Tracker) InForce(now time.Duration, offset uint64) bool {
	w := t.watches[offset]
	if w == nil {
		return false
	}
	t.updateWatches(now)
	return w.majorityAt != never && now > w.majorityAt+FreshFor+drift(FreshFor)
}

// Acknowledged reports whether a majority has acknowledged the record at offset. It
// returns false for an offset that is not watched.
func (t *Tracker) Acknowledged(offset uint64) bool {
	w := t.watches[offset]
	return w != nil && w.majorityAt != never
}

// acknowledge records that a host has folded all records below nextOffset.
func (t *Tracker) acknowledge(now time.Duration, host mesh.Host, nextOffset uint64) {
	for offset, w := range t.watches {
		if nextOffset > offset {
			w.acked[host] = struct{}{}
		}
	}
	t.updateWatches(now)
}

// updateWatches sets majorityAt in the watches whose majority has become complete.
func (t *Tracker) updateWatches(now time.Duration) {
	for offset, w := range t.watches {
		if w.majorityAt != never {
			continue
		}
		if t.Counted() && t.knowledge.Offset > offset {
			w.acked[t.self.Host] = struct{}{}
		}
		acked := func(n mesh.NodeID) bool {
			_, ok := w.acked[n.Host]
			return ok
		}
		if offset == t.panel.Offset && !t.panel.Settled && len(t.panel.Previous) > 0 {
			// The record that names a new panel needs a majority of the
			// previous one only: the new panel may never reach a majority, and
			// no other panel is accepted until it is settled.
			if holdsMajority(t.panel.Previous, acked) {
				w.majorityAt = now
			}
		} else if t.HasMajority(acked) {
			w.majorityAt = now
		}
	}
}
