package pressure

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// maxOriginCuts limits the pairs of a target and an origin in a CutTable. Each meter gives
	// at most maxOrigins origins a cut of their own.
	maxOriginCuts = 1024
	// originCutLifetime is the time without a response after which a cut has relaxed entirely.
	originCutLifetime = staleAfter + time.Duration(float64(time.Second)/relaxRate)
	// sameCut is the difference up to which the cut of an origin counts as that of its target.
	sameCut = 0.02
	// workMargin is the factor by which the work of a request is expected to exceed its mean.
	workMargin = 1.25
)

// OriginCut is the cut for the requests of one origin, and its cause.
type OriginCut struct {
	Cut     Cut
	Service mesh.Service // the short service; empty: the cut is that of all origins
	Cost    float64      // seconds of a slot that a request of the origin takes at that service
	// First and Last are the levels at which the short service divides what it admits by origin.
	First, Last Level
}

// Divided reports whether the share of the level depends on the origin.
func (c OriginCut) Divided(level Level) bool {
	return c.Service != "" && level >= c.First && level <= c.Last
}

// LongestWait returns how long a request that runs at the short service itself may wait there,
// so that its work still ends within the target latency. The cost of such a request is about
// the time that it takes.
func (c OriginCut) LongestWait(target time.Duration) time.Duration {
	return max(target-time.Duration(workMargin*c.Cost*float64(time.Second)), 0)
}

// Tighter returns the level-wise minimum of two cuts, with the cause of the one that admits
// less of the level.
func (c OriginCut) Tighter(d OriginCut, level Level) OriginCut {
	tighter := c
	if share, other := c.Cut.Share(level), d.Cut.Share(level); other < share || other == share && c.Service == "" {
		tighter = d
	}
	tighter.Cut = c.Cut.Tighter(d.Cut)
	return tighter
}

// originTarget identifies the requests of an origin at a target.
type originTarget struct {
	target Target
	origin string
}

type observedOrigin struct {
	observedCut
	cause OriginCut // of the last response that carried a cut for the origin; its Cut is not used
}

// ObserveOrigin adds the cut that a response to a request of the origin carried. If known is
// false, the response carried none, and the cut is that of the target, which Observe must have
// got before.
func (ct *CutTable) ObserveOrigin(now time.Duration, t Target, origin string, c OriginCut, known bool) {
	key := originTarget{t, origin}
	o := ct.origins[key]
	if o == nil {
		if !known || origin == "" || !ct.originFits(now) {
			return
		}
		o = &observedOrigin{observedCut: observedCut{cut: ct.Cut(now, t)}}
		ct.origins[key] = o
	}
	if !known {
		c = o.cause
		c.Cut = ct.Cut(now, t)
	}
	o.cut = ct.relaxedOrigin(now, t, o).toward(c.Cut, observeGain)
	o.observedAt, o.cause = now, c
	if !known && o.cut.Distance(c.Cut) <= sameCut {
		delete(ct.origins, key)
	}
}

// originFits reports whether there is room for another origin. If there is none, it deletes
// those that have relaxed, at most once in staleAfter.
func (ct *CutTable) originFits(now time.Duration) bool {
	if len(ct.origins) < maxOriginCuts {
		return true
	}
	if now-ct.originsSwept < staleAfter {
		return false
	}
	ct.originsSwept = now
	for key, o := range ct.origins {
		if now-o.observedAt > originCutLifetime {
			delete(ct.origins, key)
		}
	}
	return len(ct.origins) < maxOriginCuts
}

// HasOrigins reports whether the cut of any origin differs from that of its target.
func (ct *CutTable) HasOrigins() bool { return len(ct.origins) > 0 }

// OriginCut returns the current cut of a target for the requests of an origin. It is that of
// the target unless responses carried one for the origin.
func (ct *CutTable) OriginCut(now time.Duration, t Target, origin string) OriginCut {
	o := ct.origins[originTarget{t, origin}]
	if o == nil {
		return OriginCut{Cut: ct.Cut(now, t)}
	}
	if now-o.observedAt > originCutLifetime {
		delete(ct.origins, originTarget{t, origin})
		return OriginCut{Cut: ct.Cut(now, t)}
	}
	c := o.cause
	c.Cut = ct.relaxedOrigin(now, t, o)
	return c
}

// relaxedOrigin returns the cut of an origin, moved towards that of the target for the time
// beyond staleAfter since its last observation.
func (ct *CutTable) relaxedOrigin(now time.Duration, t Target, o *observedOrigin) Cut {
	age := now - o.observedAt - staleAfter
	if age <= 0 {
		return o.cut
	}
	cut, target, step := o.cut, ct.Cut(now, t), float32(relaxRate*age.Seconds())
	for l := range cut {
		cut[l] = min(max(target[l], cut[l]-step), cut[l]+step)
	}
	return cut
}
