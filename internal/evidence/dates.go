package evidence

import (
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// usable is FreshFor less drift, so that evidence ends before FreshFor has
// passed on any other clock.
const usable = FreshFor - FreshFor*MaxDriftPercent/100

func drift(d time.Duration) time.Duration { return d * MaxDriftPercent / 100 }

// FreshUntil returns when this node's evidence lapses; it is in the past if it
// has lapsed and far in the past if there was none.
func (t *Tracker) FreshUntil() time.Duration {
	date := t.date()
	if date == never {
		return never
	}
	return date + usable
}

// date returns the date of the best evidence. This node's own vote never ages,
// so the date of a panel of this node alone is always.
func (t *Tracker) date() time.Duration {
	best := max(t.log.at, t.relay.at)
	panel := t.majorityDate(t.panel.Members)
	if !t.panel.Settled && len(t.panel.Previous) > 0 {
		panel = min(panel, t.majorityDate(t.panel.Previous))
	}
	return max(best, panel)
}

const always = time.Duration(1 << 62)

// majorityDate returns the latest date to which a majority of the members
// vouches for this node's knowledge.
func (t *Tracker) majorityDate(members []mesh.NodeID) time.Duration {
	if len(members) == 0 {
		return never
	}
	dates := make([]time.Duration, 0, len(members))
	for _, node := range members {
		switch s := t.members[node.Host]; {
		case node.Host == t.self.Host && t.Counted():
			dates = append(dates, always)
		case s != nil:
			dates = append(dates, s.at)
		}
	}
	slices.Sort(dates)
	missing := len(members) - len(dates)
	minority := len(members) - majority(len(members)) - missing
	if minority < 0 {
		return never
	}
	return dates[minority]
}

func majority(n int) int { return n/2 + 1 }

// Majority reports whether the nodes for which has is true include a majority
// of the panel, and of the previous panel while a new one is unsettled.
func (t *Tracker) Majority(has func(mesh.NodeID) bool) bool {
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

// Watch starts to collect acknowledgements of the record at offset.
func (t *Tracker) Watch(offset uint64) {
	if t.watches[offset] == nil && len(t.watches) < maxWatches {
		t.watches[offset] = &watch{acked: make(map[mesh.Host]struct{}), reached: never}
	}
}

// Unwatch forgets the acknowledgements of the record at offset.
func (t *Tracker) Unwatch(offset uint64) { delete(t.watches, offset) }

// Effective reports whether the restriction recorded at offset is in force: a
// majority has acknowledged it, and F plus drift has passed since by this
// node's clock. Only a watched offset can become effective.
func (t *Tracker) Effective(now time.Duration, offset uint64) bool {
	w := t.watches[offset]
	if w == nil {
		return false
	}
	t.recount(now)
	return w.reached != never && now > w.reached+FreshFor+drift(FreshFor)
}

// Acknowledged reports whether a majority has acknowledged the record at a watched
// offset.
func (t *Tracker) Acknowledged(offset uint64) bool {
	w := t.watches[offset]
	return w != nil && w.reached != never
}

func (t *Tracker) acknowledge(now time.Duration, host mesh.Host, folded uint64) {
	for offset, w := range t.watches {
		if folded > offset {
			w.acked[host] = struct{}{}
		}
	}
	t.recount(now)
}

// recount dates the majorities that are complete.
func (t *Tracker) recount(now time.Duration) {
	for offset, w := range t.watches {
		if w.reached != never {
			continue
		}
		if t.Counted() && t.known.Offset > offset {
			w.acked[t.self.Host] = struct{}{}
		}
		acked := func(n mesh.NodeID) bool {
			_, ok := w.acked[n.Host]
			return ok
		}
		if offset == t.panel.Offset && !t.panel.Settled && len(t.panel.Previous) > 0 {
			// The record of a new panel needs the old one alone: the new one
			// may never gather, and no further panel is accepted meanwhile.
			if holdsMajority(t.panel.Previous, acked) {
				w.reached = now
			}
		} else if t.Majority(acked) {
			w.reached = now
		}
	}
}
