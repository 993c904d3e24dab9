package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/shutdown"
	"cardamomhatch/internal/upstream"
)

const (
	// probeDelay is how long a starting node waits for an announcement of the upstream
	// before it sends a health probe, and the pause between probes.
	probeDelay   = 150 * time.Millisecond
	probeTimeout = time.Second
	// maxProbes limits the probes of a starting node. It is greater than one because a
	// probe is skipped if the declaration, which holds the health path, has not arrived.
	maxProbes = 4
	// listTime is the time from the start by which a node has usually listed the departures.
	listTime = listDelay + probeDelay
)

// HandleAnnouncement processes an announcement of an upstream. It returns false if
// the announcement is not from the local upstream. If the upstream leaves, it returns once
// the store holds the departure, or after departureWait.
func (n *Node) HandleAnnouncement(a upstream.Announcement) bool {
	n.mu.Lock()
	now := n.now()
	result := n.tracker.HandleAnnouncement(now, a)
	if result.Restarted {
		n.gate.Reset()
		n.learner.Restart(now)
		n.upstreamPool.Invalidate()
		if n.ranBefore(a) {
			n.gate.AwaitAnswer()
			n.confirmWarm() // it may have become cold since it sent the announcement
		}
	}
	if result.Changed {
		n.gate.SetSlots(n.tracker.Current().Slots)
	}
	n.refreshCold(now)
	n.publishPhase(now)
	n.requestDepartureWrite()
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
	if result.Changed || result.Foreign {
		n.cfg.Log.Write(eventlog.Observation, "upstream announced", "instance", logText(a.Instance), "service", logText(string(a.Service)), "state", a.State.String(),
			"slots", a.Slots, "sequence", a.Sequence, "born", a.StartTime, "restarted", result.Restarted, "foreign", result.Foreign)
	}
	if a.State != upstream.Ready && !result.Foreign {
		n.awaitDepartureStored()
	}
	return !result.Foreign
}

// ranBefore reports whether the upstream that sent the announcement ran before this node
// started, so that it may have named a limit to an earlier incarnation.
func (n *Node) ranBefore(a upstream.Announcement) bool {
	const clockTolerance = 5 * time.Second // of the difference between the clocks of upstream and node
	return a.StartTime < n.started.Add(-clockTolerance).UnixMilli()
}

// publishPhase publishes a change of the local upstream's phase, instance or slots
// to the peers. n.mu must be held.
func (n *Node) publishPhase(now time.Duration) {
	phase := n.upstreamPhase(now)
	current := n.tracker.Current()
	self := n.roster.Self()
	departure := n.tracker.Departure()
	if phase == self.Phase && current.Instance == self.Instance && current.Slots == self.Slots && departure == self.Departure {
		return
	}
	n.roster.Update(true, func(r *roster.Record) {
		r.Phase, r.Instance, r.Slots, r.Departure = phase, current.Instance, current.Slots, departure
	})
	n.cfg.Log.Write(eventlog.Observation, "upstream phase", "phase", uint8(phase), "instance", current.Instance,
		"slots", current.Slots, "announced_ms", n.tracker.Age(now).Milliseconds())
	n.setMembers(now)
}

// probe sends health probes to learn the instance of an upstream that has not
// announced itself to this process, for example after a restart of the node alone, and
// whether one that has is leaving, if the store does not tell.
func (n *Node) probe() {
	for range maxProbes {
		if !n.pause(probeDelay) {
			return
		}
		c := n.current.Load()
		if c == nil {
			continue
		}
		s, ok := c.Service(n.cfg.Self.Service)
		if !ok || s.HealthPath == "" {
			continue
		}
		n.mu.Lock()
		known, needed := n.tracker.Known(), n.tracker.NeedsProbe(n.now())
		n.mu.Unlock()
		if !needed {
			return
		}
		if known && n.now() < listTime {
			continue // the store is about to tell whether the upstream has left
		}
		n.probeOnce(s.HealthPath)
	}
}

// probeOnce sends one health probe and records the instance and the slots that the
// upstream reports, and how much longer it is cold.
func (n *Node) probeOnce(path string) {
	sentAt := n.now()
	ctx, cancel := n.context(probeTimeout)
	defer cancel()
	resp, err := n.upstreamPool.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: path, Host: n.cfg.UpstreamAddress, Header: http.Header{}, Deadline: time.Now().Add(probeTimeout),
	})
	if err != nil {
		n.cfg.Log.Write(eventlog.Observation, "probe failed", "address", n.cfg.UpstreamAddress, "err", err)
		if failure := (*exchange.Failure)(nil); errors.As(err, &failure) && !failure.Sent {
			n.mu.Lock()
			n.tracker.RecordProbeRefused(n.now())
			n.refreshCold(n.now())
			n.mu.Unlock()
		}
		return
	}
	defer resp.Close()
	resp.DoNotReuse() // the response names no request
	_, err = discardBody(resp)
	instance := resp.Header.Get(n.cfg.Dialect.ProbeInstance)
	if err != nil || resp.StatusCode != http.StatusOK || instance == "" {
		n.cfg.Log.Write(eventlog.Observation, "probe answered", "status", resp.StatusCode, "instance", instance, "err", err)
		return
	}
	load, _ := n.cfg.Dialect.ParseLoad(resp.Header.Get(n.cfg.Dialect.Load))
	n.mu.Lock()
	if n.tracker.HandleProbe(n.now(), instance, load.Slots) {
		n.gate.SetSlots(n.tracker.Current().Slots)
		n.publishPhase(n.now())
	}
	cold, stated := n.cfg.Dialect.ParseCold(resp.Header.Get(n.cfg.Dialect.ProbeCold))
	n.tracker.HandleColdProbe(n.now(), sentAt, instance, cold, stated)
	n.refreshCold(n.now())
	n.dispatchQueued(n.now()) // the upstream may be warm
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
}

// Stop shuts the node down gracefully. While the node stops, serveCaller asks callers to
// close their connections. Stop announces the stop to the peers and waits for requests in
// flight. Requests that are still in flight when ctx ends are aborted.
func (n *Node) Stop(ctx context.Context) {
	n.stopBegan.Store(int64(n.now()))
	if end, ok := ctx.Deadline(); ok {
		n.stopEnds.Store(int64(end.Sub(n.started)))
	}
	n.stopping.Store(true)
	n.cfg.Log.Write(eventlog.Lifecycle, "stopping", "open", n.openRequests.Load())
	sleepContext(ctx, shutdown.AnnounceAfter)
	n.mu.Lock()
	n.roster.Update(true, func(r *roster.Record) { r.Stopping = true })
	out := n.roster.Outgoing()
	n.setMembers(n.now())
	n.mu.Unlock()
	n.send(out)
	n.drainRequests(ctx, n.now()+minStopTime-shutdown.AnnounceAfter)
	n.mu.Lock()
	out = n.roster.Leave()
	n.mu.Unlock()
	n.send(out)
	n.shutdown()
}

const (
	// Callers keep opening connections until they learn that the node is stopping. A
	// stopping node therefore shuts down only after quietPeriod without requests in
	// flight, and no earlier than minStopTime after the start of the stop.
	quietPeriod = 300 * time.Millisecond
	minStopTime = 2500 * time.Millisecond
	// shutdownTimeout limits the wait for requests in flight when the listeners close.
	shutdownTimeout = 300 * time.Millisecond
)

// drainRequests waits until no request has been in flight for quietPeriod, and at
// least until the given time. It returns early when ctx ends.
func (n *Node) drainRequests(ctx context.Context, until time.Duration) {
	lastBusy := n.now()
	for ctx.Err() == nil {
		now := n.now()
		if n.openRequests.Load() > 0 {
			lastBusy = now
		}
		if now >= until && now-lastBusy >= quietPeriod {
			return
		}
		sleepContext(ctx, 20*time.Millisecond)
	}
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// shutdown closes the listeners, ends the background loops and closes the control
// connections. Calls after the first have no effect.
func (n *Node) shutdown() {
	n.shutdownOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		for _, s := range n.servers {
			// An error means that requests are still in flight; the log line below
			// states their number.
			_ = s.Shutdown(ctx)
		}
		n.cfg.Log.Write(eventlog.Lifecycle, "stopped", "cut_off", n.openRequests.Load())
		n.cancelRun()
		for _, s := range n.servers {
			s.Close()
		}
		n.receiver.Close()
		n.controlClient.Close()
		n.loops.Wait()
	})
}
