package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/upstream"
)

const (
	// probeAfter is how long a starting node waits for an announcement before it
	// asks the upstream who it is.
	probeAfter   = 150 * time.Millisecond
	probeTimeout = time.Second
	probeTries   = 4 // in case the declaration comes later
)

// HandleAnnouncement takes what an upstream says of itself. The result is false if it is
// not the upstream beside this node.
func (n *Node) HandleAnnouncement(a upstream.Announcement) bool {
	n.mu.Lock()
	now := n.now()
	v := n.tracker.HandleAnnouncement(now, a)
	if v.Restarted {
		n.gate.Reset()
		n.local.Invalidate()
	}
	if v.Changed {
		n.gate.SetSlots(n.tracker.Current().Slots)
	}
	n.publishPhase(now)
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
	if v.Changed || v.Foreign {
		n.cfg.Log.Write(eventlog.Belief, "upstream announced", "instance", a.Instance, "service", a.Service, "state", a.State.String(),
			"slots", a.Slots, "sequence", a.Sequence, "born", a.Born, "restarted", v.Restarted, "foreign", v.Foreign)
	}
	return !v.Foreign
}

// publishPhase tells the peers of a change of the local upstream. n.mu is held.
func (n *Node) publishPhase(now time.Duration) {
	phase := n.tracker.Phase(now)
	current := n.tracker.Current()
	self := n.roster.Self()
	if phase == self.Phase && current.Instance == self.Instance && current.Slots == self.Slots {
		return
	}
	n.roster.Update(true, func(r *roster.Record) {
		r.Phase, r.Instance, r.Slots = phase, current.Instance, current.Slots
	})
	n.cfg.Log.Write(eventlog.Belief, "upstream phase", "phase", uint8(phase), "instance", current.Instance,
		"slots", current.Slots, "announced_ms", n.tracker.Age(now).Milliseconds())
	n.setMembers(now)
}

// probe asks the upstream who it is if it has not announced itself to this
// process, as after a restart of the node alone.
func (n *Node) probe() {
	for range probeTries {
		if !n.pause(probeAfter) {
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
		known := n.tracker.Known()
		n.mu.Unlock()
		if known {
			return
		}
		n.probeOnce(s.HealthPath)
	}
}

func (n *Node) probeOnce(path string) {
	ctx, cancel := n.context(probeTimeout)
	defer cancel()
	a, err := n.local.Do(ctx, &exchange.Request{
		Method: http.MethodGet, Target: path, Host: n.cfg.UpstreamAddress, Header: http.Header{}, Deadline: time.Now().Add(probeTimeout),
	})
	if err != nil {
		n.cfg.Log.Write(eventlog.Belief, "probe failed", "address", n.cfg.UpstreamAddress, "err", err)
		return
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	instance := a.Header.Get(n.cfg.Dialect.Answerer)
	if err != nil || a.StatusCode != http.StatusOK || instance == "" {
		n.cfg.Log.Write(eventlog.Belief, "probe answered", "status", a.StatusCode, "instance", instance, "err", err)
		return
	}
	load, _ := n.cfg.Dialect.ParseLoad(a.Header.Get(n.cfg.Dialect.Load))
	n.mu.Lock()
	if n.tracker.HandleProbe(n.now(), instance, load.Slots) {
		n.gate.SetSlots(load.Slots)
		n.publishPhase(n.now())
	}
	out := n.roster.Outgoing()
	n.mu.Unlock()
	n.send(out)
}

// Stop ends the node in order: callers are asked to leave, requests under way
// end, and what is left at the end of ctx is cut off.
func (n *Node) Stop(ctx context.Context) {
	n.stopAt.Store(int64(n.now()))
	n.stopping.Store(true)
	n.cfg.Log.Write(eventlog.Lifecycle, "stopping", "open", n.open.Load())
	pauseOrDone(ctx, announceStopAfter)
	n.mu.Lock()
	n.roster.Update(true, func(r *roster.Record) { r.Stopping = true })
	out := n.roster.Outgoing()
	n.setMembers(n.now())
	n.mu.Unlock()
	n.send(out)
	n.drainRequests(ctx, n.now()+leaveAfter-announceStopAfter)
	n.mu.Lock()
	out = n.roster.Leave()
	n.mu.Unlock()
	n.send(out)
	n.shutdown()
}

const (
	// calmBefore is how long no request may be under way before a stopping node
	// ends: callers still open connections until they learn that it leaves.
	calmBefore = 300 * time.Millisecond
	// leaveAfter is how long a stopping node stays at least, for the same reason.
	leaveAfter = 2500 * time.Millisecond
	// announceStopAfter is how long a stopping node still takes work for the
	// upstream beside it, which goes on running: the upstream is out of reach for
	// the rest of the stop only, and not while callers are still leaving.
	announceStopAfter = 1600 * time.Millisecond
	shutdownLimit     = 300 * time.Millisecond
)

// drainRequests waits until no request has been under way for a moment, but not
// less than until the given time.
func (n *Node) drainRequests(ctx context.Context, until time.Duration) {
	calm := n.now()
	for ctx.Err() == nil {
		now := n.now()
		if n.open.Load() > 0 {
			calm = now
		}
		if now >= until && now-calm >= calmBefore {
			return
		}
		pauseOrDone(ctx, 20*time.Millisecond)
	}
}

func pauseOrDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// shutdown closes everything.
func (n *Node) shutdown() {
	n.stopped.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		for _, s := range n.servers {
			// An error means that requests were cut off, which the count tells.
			_ = s.Shutdown(ctx)
		}
		n.cfg.Log.Write(eventlog.Lifecycle, "stopped", "cut_off", n.open.Load())
		n.endLife()
		for _, s := range n.servers {
			s.Close()
		}
		n.receive.Close()
		n.control.Close()
		n.loops.Wait()
	})
}
