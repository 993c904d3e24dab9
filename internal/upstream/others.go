package upstream

import (
	"time"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/roster"
)

// coldOthersShare is the fraction of the upstreams of a service that must become cold within an
// announcement interval, without a restart, for the others to be suspected. In a large service,
// that many announce it soon when all are cold; in a small one, a single one is enough.
const coldOthersShare = 1.0 / 8

// Others watches the other upstreams of the service. A whole service may become cold at once,
// for example when a cache that it shares is lost, and its upstreams announce that at different
// times. Others tells of it when the first ones have done so.
type Others struct {
	interval  time.Duration // between announcements of an upstream
	states    map[mesh.Host]otherState
	alertedAt time.Duration // time of the last suspicion; negative: none
}

// otherState is what is known of one other upstream.
type otherState struct {
	instance string
	limited  bool
	turnedAt time.Duration // time at which this instance was found limited after it had not been; negative: never
}

// NewOthers returns an empty set. interval is the time between announcements of an upstream.
func NewOthers(interval time.Duration) *Others {
	return &Others{interval: interval, states: map[mesh.Host]otherState{}, alertedAt: -1}
}

// Observe takes over the records of the service's upstreams, among them that of the node on the
// host self. It reports whether so many of the others have become limited without a restart
// that the local one may be cold, too, at most once in an announcement interval.
func (o *Others) Observe(now time.Duration, self mesh.Host, records []roster.Record) bool {
	states := make(map[mesh.Host]otherState, len(records))
	turned := 0
	for i := range records {
		r := &records[i]
		if r.Member.Node.Host == self {
			continue
		}
		next := otherState{r.Instance, r.Limited, -1}
		if last, known := o.states[r.Member.Node.Host]; known && last.instance == r.Instance && r.Limited {
			next.turnedAt = last.turnedAt
			if !last.limited {
				next.turnedAt = now
			}
		}
		if next.turnedAt >= 0 && now-next.turnedAt < o.interval {
			turned++
		}
		states[r.Member.Node.Host] = next
	}
	o.states = states
	if turned == 0 || float64(turned) < coldOthersShare*float64(len(records)) || (o.alertedAt >= 0 && now-o.alertedAt < o.interval) {
		return false
	}
	o.alertedAt = now
	return true
}
