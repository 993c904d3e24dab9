package roster

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// failuresToSuspect is the number of messages in a row that a node must fail to
	// acknowledge before it is taken for silent.
	failuresToSuspect = 2
	// localPatience and remotePatience are the least times for which a node in the same or
	// in another data centre must fail to acknowledge messages before it is taken for
	// silent. A node is best watched from its own data centre: a cut between two data
	// centres would else make the nodes of each report those of the other.
	localPatience  = 300 * time.Millisecond
	remotePatience = 1500 * time.Millisecond
	maxPatience    = time.Minute
	// acknowledgementWindow is how recent the last acknowledgement by any peer must be for a
	// node to take others for silent, since a node that is cut off gets none from anyone.
	acknowledgementWindow = 3 * time.Second
	// Nodes whose partners have died with them are found by digests to random nodes. If at
	// least manySilences nodes have been found silent within silencesWindow,
	// manySilencesShare of the digests go to random nodes.
	manySilences      = 3
	silencesWindow    = 10 * time.Second
	manySilencesShare = 0.75
	// unlistedAfter is the silence after which a node is no longer part of the hashes and
	// versions that nodes compare. It is well below removeAfter, so that nodes that remove it
	// at different times do not get it back from each other.
	unlistedAfter = 30 * time.Second
	// introductionTime is how long a node that only the store lists counts even if peers do not
	// know it: nodes that start together are not known to each other at first.
	introductionTime = 2 * time.Second
)

// entry is the record of another node and what is known of its liveness.
type entry struct {
	record    Record
	confirmed bool          // a peer knows the node, too, or the node itself has sent the record
	unknown   bool          // not confirmed, and a peer has shown that it does not know the node
	silent    bool          // the node is taken for dead or cut off
	since     time.Duration // when the record or the silence became known
	hash      uint64        // share in the hash of its bucket; zero if it is not listed
	failures  int           // messages in a row that the node has not acknowledged
	failedAt  time.Duration // of the first of them
	// patience is the time for which the node must fail to acknowledge messages before it
	// is taken for silent; zero stands for localPatience or remotePatience. It doubles each
	// time, because a node that is silent to this node only publishes a newer record.
	patience time.Duration
	// departure is the last one in a record of the host, of any incarnation.
	departure Departure
}

// seen returns the version of the entry.
func (e *entry) seen() Seen { return e.record.seen(e.silent) }

// listed reports whether the entry takes part in the comparison with other nodes.
func (e *entry) listed(now time.Duration) bool {
	return e.confirmed && !e.record.Left && !(e.silent && now-e.since > unlistedAfter)
}

// counts reports whether limits and budgets of the fleet are divided among this node and others,
// although it may be silent. The store keeps the records of nodes that have gone, so a node that
// it lists and peers do not know has gone. Without contact to any peer, all that it lists count.
func (e *entry) counts(now time.Duration) bool {
	return !e.record.Left && !(e.unknown && now-e.since > introductionTime)
}

// markUnknown records that a peer knows none of the unconfirmed nodes for which lacks returns true.
func (r *Roster) markUnknown(lacks func(host mesh.Host) bool) {
	for host, e := range r.entries {
		if !e.confirmed && !e.unknown && lacks(host) {
			e.unknown = true
		}
	}
}

// silence returns for how long the node has been silent.
func (e *entry) silence(now time.Duration) time.Duration {
	switch {
	case e.silent:
		return silentAfter + now - e.since
	case !e.confirmed:
		return now - e.since
	}
	return 0
}

// Isolated reports whether no message from a peer and no acknowledgement has arrived for
// longer than silentAfter. The known nodes may then have shut down, and the store may list
// others.
func (r *Roster) Isolated(now time.Duration) bool {
	return now-max(r.lastMessage, r.lastAcknowledgement) > silentAfter
}

// RecordAcknowledged records that a node has acknowledged a message.
func (r *Roster) RecordAcknowledged(now time.Duration, node mesh.NodeID) {
	r.lastAcknowledgement = now
	r.recordAlive(node)
}

// recordAlive records that a node lives.
func (r *Roster) recordAlive(node mesh.NodeID) {
	if e := r.entries[node.Host]; e != nil && e.record.Member.Node == node {
		e.failures = 0
	}
}

// RecordUnreachable records that a node has not acknowledged a message, and reports whether
// the node is taken for silent now. Otherwise it gets another digest at once.
func (r *Roster) RecordUnreachable(now time.Duration, node mesh.NodeID) (silent bool) {
	e := r.entries[node.Host]
	if e == nil || e.record.Member.Node != node || e.silent || e.record.Left {
		return false
	}
	if e.failures == 0 {
		e.failedAt = now
	}
	e.failures++
	if e.patience == 0 {
		e.patience = remotePatience
		if e.record.Member.DataCentre == r.self.Member.DataCentre {
			e.patience = localPatience
		}
	}
	if e.failures < failuresToSuspect || now-e.failedAt < e.patience || now-r.lastAcknowledgement > acknowledgementWindow {
		r.send(e.record.Member, r.digest(now))
		return false
	}
	e.patience = min(2*e.patience, maxPatience)
	r.markSilent(now, e)
	return true
}

// markSilent takes a node for silent. The change is sent to some partners.
func (r *Roster) markSilent(now time.Duration, e *entry) {
	if now-r.silencesSince > silencesWindow {
		r.silencesSince, r.silences = now, 0
	}
	r.silences++
	e.silent, e.since, e.failures = true, now, 0
	r.rehash(e, now)
	r.changed, r.partnersKnown = true, false
	if e.confirmed {
		r.changedHosts = append(r.changedHosts, e.record.Member.Node.Host)
	}
}

// randomShare returns the fraction of rounds in which the digest goes to a random node.
func (r *Roster) randomShare(now time.Duration) float64 {
	if r.silences >= manySilences && now-r.silencesSince < silencesWindow {
		return manySilencesShare
	}
	return randomPeerShare
}

// learnSilence handles the news that a node is taken for silent. If it is this node, it
// publishes a newer record.
func (r *Roster) learnSilence(now time.Duration, s Seen) {
	if s.Host == r.self.Member.Node.Host {
		switch {
		case s.Claim > maxClaim || s.olderThan(r.self.seen(false)):
		case s.Claim > r.self.Claim: // of another incarnation on this host
			r.supersede(s.Claim+1, r.self.Serial+1)
		default:
			r.supersede(s.Claim, s.Serial+1)
		}
		return
	}
	if e := r.entries[s.Host]; e != nil && e.confirmed && !e.silent && e.record.Claim == s.Claim && e.record.Serial == s.Serial {
		r.markSilent(now, e)
	}
}
