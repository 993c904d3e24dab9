package sidecar

import (
	"strconv"
	"strings"
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/roster"
	"cardamomhatch/internal/slots"
)

// evacuatedPause is the mean time for which an entry node does not choose a node that has
// refused a request because its data centre is evacuated. Within it, the state has reached the
// entry node otherwise, unless the node has been taken back.
const evacuatedPause = 500 * time.Millisecond

// updateEvacuations changes what this node knows of evacuated data centres, and acts on it.
// source and from, the host of the peer that sent the news, are used for the log only. n.mu
// must be held.
func (n *Node) updateEvacuations(now time.Duration, source, from string, change func(*evacuation.Set)) {
	n.roster.UpdateEvacuations(now, change)
	n.applyEvacuations(now, source, from)
	n.refreshTable(now)
}

// applyEvacuations logs the changes since the last call, and evacuates or takes back the local
// upstream. n.mu must be held.
func (n *Node) applyEvacuations(now time.Duration, source, from string) {
	set := n.roster.Evacuations()
	changes := set.Changes()
	if len(changes) == 0 {
		return
	}
	for _, e := range changes {
		msg := "data centre taken back"
		if e.Evacuated {
			msg = "data centre evacuated"
		}
		n.cfg.Log.Write(eventlog.Observation, msg, "data_centre", e.DataCentre, "era", e.At.Era, "offset", e.At.Offset, "source", source, "from", from,
			"running", n.gate.Running(), "queued", n.gate.Queued())
	}
	n.metrics.evacuated.Update(int64(len(set.Active())))
	evacuated := set.Evacuated(n.cfg.Self.DataCentre)
	if evacuated == n.evacuated {
		return
	}
	n.evacuated = evacuated
	n.roster.Update(true, func(r *roster.Record) { r.Evacuated = evacuated })
	if evacuated {
		n.deliverSlotDecisions(n.gate.Flush(outcome.Evacuated))
	} else {
		n.resumeUpstream()
	}
	n.setMembers(now)
}

// resumeUpstream is called when the data centre of this node is taken back, before any request
// is sent to the upstream. The upstream has had no request for a while, so it is asked whether
// it is cold, and the gate sends few requests until it has answered. n.mu must be held.
func (n *Node) resumeUpstream() {
	n.gate.AwaitAnswer()
	n.confirmWarm()
}

// deliverSlotDecisions delivers decisions of the gate to the requests that wait for them. n.mu
// must be held.
func (n *Node) deliverSlotDecisions(decisions []slots.Decision) {
	for _, d := range decisions {
		if waiter := n.slotWaiters[d.ID]; waiter != nil {
			delete(n.slotWaiters, d.ID)
			waiter <- d
		}
	}
}

// awaitsEvacuations reports whether this node has started so recently that it may not have
// heard that its data centre is evacuated: neither the store nor a peer has told it the state
// of the data centres. Where data centres are not evacuated, it has nothing to wait for. n.mu
// must be held.
func (n *Node) awaitsEvacuations(now time.Duration) bool {
	return n.cfg.Bounds.Evacuate > 0 && !n.roster.Evacuations().Known() && now < historyWait
}

// upstreamPhase returns the phase of the local upstream to be published. n.mu must be held.
func (n *Node) upstreamPhase(now time.Duration) roster.Phase {
	phase := n.tracker.Phase(now)
	if phase == roster.Ready && n.awaitsEvacuations(now) {
		return roster.Absent
	}
	return phase
}

// evacuationRefusal returns the refusal of a request for the local upstream because of an
// evacuation; ok is false if there is none. n.mu must be held.
func (n *Node) evacuationRefusal(now time.Duration) (r outcome.Refusal, ok bool) {
	switch {
	case n.evacuated:
		return n.slotRefusal(outcome.Evacuated), true
	case n.awaitsEvacuations(now):
		return n.refusal(outcome.NotRun, outcome.NoUpstream, "the node does not know yet which data centres are evacuated"), true
	}
	return outcome.Refusal{}, false
}

// evacuatedDetail describes the evacuated data centres for a refusal.
func evacuatedDetail(set *evacuation.Set) string {
	var names []string
	for _, d := range set.Active() {
		names = append(names, string(d))
	}
	return "evacuated data centres: " + strings.Join(names, " ")
}

// noNodeRefusal returns the refusal of a request for which there is no node to be tried.
func (c *call) noNodeRefusal() outcome.Refusal {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.roster.EvacuatedMembers(c.service) > 0 {
		return n.refusal(outcome.NotRun, outcome.Evacuated, evacuatedDetail(n.roster.Evacuations()))
	}
	return n.refusal(outcome.NotRun, outcome.NoUpstream, "")
}

// learnEvacuation takes over the report of a node that its data centre is evacuated, so that
// the next attempt goes to another data centre. n.mu must be held.
func (n *Node) learnEvacuation(now time.Duration, target mesh.Member, at evacuation.Position) {
	n.updateEvacuations(now, "response", string(target.Node.Host), func(s *evacuation.Set) {
		s.Merge(now, evacuation.State{Entries: []evacuation.Entry{{DataCentre: target.DataCentre, Evacuated: true, At: at}}})
	})
}

// reportEvacuated is the name of the field of a report that holds the position of the record
// by which the data centre of the serving node is evacuated.
const reportEvacuated = "evacuated="

// encodeEvacuated returns the field of a report, or nothing if the data centre is not
// evacuated.
func encodeEvacuated(evacuated bool, at evacuation.Position) string {
	if !evacuated {
		return ""
	}
	return "," + reportEvacuated + at.String()
}

// parseEvacuated parses the field if it is among the named fields of a report.
func parseEvacuated(fields []string) (evacuated bool, at evacuation.Position) {
	for _, field := range fields {
		value, ok := strings.CutPrefix(field, reportEvacuated)
		if !ok {
			continue
		}
		era, offset, _ := strings.Cut(value, ".")
		var eraErr, offsetErr error
		at.Era, eraErr = strconv.ParseUint(era, 10, 64)
		at.Offset, offsetErr = strconv.ParseUint(offset, 10, 64)
		if eraErr == nil && offsetErr == nil {
			return true, at
		}
	}
	return false, evacuation.Position{}
}
