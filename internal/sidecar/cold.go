package sidecar

import (
	"time"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/roster"
)

// suspicionPause is the time for which entry nodes are asked to stay away from an upstream that
// is only suspected to be cold: the health path answers within a few milliseconds.
const suspicionPause = 100 * time.Millisecond

// coldService returns the declared properties of the local upstream's service. ok is false if
// it may get any number of requests while it is cold.
func (n *Node) coldService() (s catalog.Service, ok bool) {
	c := n.current.Load()
	if c == nil {
		return s, false
	}
	s, ok = c.Service(n.cfg.Self.Service)
	return s, ok && s.ColdPerSecond > 0
}

// refreshCold sets the limit of the gate according to whether the local upstream is or may be
// cold, and has the health path asked if that is due. It is called before requests are sent to
// the upstream, since a node that was paused may have missed announcements. n.mu must be held.
func (n *Node) refreshCold(now time.Duration) {
	s, ok := n.coldService()
	if !ok && n.gate.ColdLimit() == 0 {
		return
	}
	n.tracker.SetColdStart(s.ColdStart)
	left, limit, tolerated := n.tracker.ColdLeft(now), 0.0, 0.0
	if ok && left > 0 {
		limit, tolerated = s.ColdPerSecond, s.ColdPerSecond*n.cfg.Bounds.Cold.Overage+n.cfg.Bounds.Cold.Slack
	}
	n.gate.SetProvisional(ok && n.tracker.ColdAnswerExpected(now))
	was := n.gate.ColdLimit()
	if n.gate.SetColdLimit(now, limit, tolerated) {
		if limit == 0 || !n.tracker.SuspectedCold(now) { // most suspicions end before the next tick
			n.publishLimited()
		}
		n.updateSpill(now)
		n.logCold(now, was, limit, left)
	}
	if ok && n.tracker.ColdCheckDue() {
		select {
		case n.coldChecks <- struct{}{}:
		default: // a check is due already
		}
	}
}

// logCold logs and counts that the local upstream has become cold or warm.
func (n *Node) logCold(now time.Duration, was, limit float64, left time.Duration) {
	if was == 0 {
		n.coldSince = now
		n.metrics.coldPeriods.Inc(1)
	}
	if limit == 0 {
		n.cfg.Log.Write(eventlog.Observation, "upstream warm", "instance", n.tracker.Current().Instance, "cold_ms", (now - n.coldSince).Milliseconds(),
			"queued", n.gate.Queued())
		return
	}
	n.cfg.Log.Write(eventlog.Observation, "upstream cold", "instance", n.tracker.Current().Instance, "per_second", limit,
		"left_ms", left.Milliseconds(), "suspected", n.tracker.SuspectedCold(now), "announced_ms", n.tracker.Age(now).Milliseconds())
}

// coldPause returns how long an entry node is to send no request to an upstream that is or may
// be cold, if the limit alone calls for the given time. All of them should be back when it is
// warm, and the routing table makes a pause up to one and a half times as long. n.mu must be held.
func (n *Node) coldPause(now, pause time.Duration) time.Duration {
	if n.tracker.SuspectedCold(now) {
		return suspicionPause
	}
	return max(min(pause, n.tracker.ColdLeft(now)*2/3), minRetryDelay)
}

// publishLimited publishes to the peers whether the requests to the local upstream are limited.
// n.mu must be held.
func (n *Node) publishLimited() {
	if limited := n.gate.RateLimit() > 0; limited != n.roster.Self().Limited {
		n.roster.Update(true, func(r *roster.Record) { r.Limited = limited })
	}
}

// confirmWarm limits the requests to the local upstream as if it were cold, until its health
// path, which is asked once, says otherwise. n.mu must be held.
func (n *Node) confirmWarm() {
	now := n.now()
	n.tracker.SuspectCold(now)
	n.refreshCold(now)
}

// compareWithOthers has the local upstream asked whether it is cold if other upstreams of the
// service have just become cold. n.mu must be held.
func (n *Node) compareWithOthers(now time.Duration) {
	if _, ok := n.coldService(); !ok {
		return
	}
	suspicious := n.otherUpstreams.Observe(now, n.cfg.Self.Node.Host, n.roster.Members(now, n.cfg.Self.Service))
	if suspicious && n.gate.ColdLimit() == 0 {
		n.confirmWarm()
	}
}

// checkCold asks the health path whether the upstream is cold whenever a check is due, until the
// node shuts down.
func (n *Node) checkCold() {
	for {
		select {
		case <-n.runCtx.Done():
			return
		case <-n.coldChecks:
		}
		n.mu.Lock()
		s, _ := n.coldService()
		due := n.tracker.ColdCheckDue()
		if due {
			n.tracker.BeginColdCheck(n.now())
		}
		n.mu.Unlock()
		if due && s.HealthPath != "" {
			n.metrics.coldChecks.Inc(1)
			n.probeOnce(s.HealthPath)
		}
		n.mu.Lock()
		n.tracker.EndColdCheck()
		n.mu.Unlock()
	}
}
