package roster

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// maxSubstituteTime is how long a node reads in place of readers that the store does not
	// answer before they are to show again whether it does.
	maxSubstituteTime = 30 * time.Second
	// substituteTimeout is the time without news of the substitute after which it counts as
	// lost. It tells of each answered read, about once in 0.8 s.
	substituteTimeout = 1400 * time.Millisecond
	// maxReadRound bounds the rounds that are accepted of peers. Rounds grow by less than ten a
	// second, so a larger one is not that of a node.
	maxReadRound = 1 << 62
)

// readState is what the nodes of a data centre tell each other about their readers: whether the
// data centre is in doubt, and the substitute, on which it relies besides the readers. The state
// with the higher round replaces the others; of two states with the same round, that with the
// greater name of the substitute does. Rounds are counted, not times: times in messages that
// arrive late would make an old answer of the store look new.
type readState struct {
	// round is odd while the data centre is in doubt: a reader on which it relies was not
	// answered, and the store has not answered any node since.
	round      uint64
	substitute mesh.Host     // empty if there is none
	since      time.Duration // when this node got the state
	appointed  time.Duration // when this node became the substitute
	failed     bool          // the last read of this node, as a reader, was not answered
}

// ReadFailed records that the store did not answer a read which this node made as a reader. The
// data centre is in doubt from now on, unless another node is its substitute.
func (r *Roster) ReadFailed(now time.Duration) {
	s := &r.reads
	s.failed = true
	if s.round%2 == 0 && (s.substitute == "" || r.IsSubstitute() || r.substituteGone(now)) {
		r.setReadState(now, s.round+1, "")
	}
}

// ReadAnswered records that the store answered a read of this node. That ends a doubt, and the
// data centre relies on this node. A reader that is answered again takes over from a substitute.
func (r *Roster) ReadAnswered(now time.Duration) {
	s := &r.reads
	self := r.self.Member.Node.Host
	regained := s.failed
	s.failed = false
	switch round := r.doubt(now); {
	case round > 0:
		s.appointed = now
		r.setReadState(now, round+1, self)
	case s.substitute == "":
	case s.substitute != self && regained, s.substitute == self && now-s.appointed > maxSubstituteTime:
		r.setReadState(now, s.round+2, "")
	case s.substitute == self:
		r.setReadState(now, s.round+2, self)
	}
}

// StopReading records that this node is no reader any more.
func (r *Roster) StopReading() { r.reads.failed = false }

// Doubt returns the number of the doubt in which the data centre is, zero for none, and for how
// long it has been.
func (r *Roster) Doubt(now time.Duration) (round uint64, age time.Duration) {
	return r.doubt(now), now - r.reads.since
}

// IsSubstitute reports whether the data centre relies on reads of this node.
func (r *Roster) IsSubstitute() bool { return r.reads.substitute == r.self.Member.Node.Host }

// doubt returns the round of the doubt, zero for none. The loss of the substitute is one.
func (r *Roster) doubt(now time.Duration) uint64 {
	switch s := &r.reads; {
	case s.round%2 == 1:
		return s.round
	case r.substituteGone(now):
		return s.round + 1
	}
	return 0
}

// substituteGone reports whether the substitute is lost or about to leave.
func (r *Roster) substituteGone(now time.Duration) bool {
	s := &r.reads
	if s.substitute == "" || r.IsSubstitute() {
		return false
	}
	e := r.entries[s.substitute]
	return now-s.since > substituteTimeout || e == nil || e.silent || e.record.Left || e.record.Stopping
}

// setReadState changes the state and sends it to the partners in the data centre.
func (r *Roster) setReadState(now time.Duration, round uint64, substitute mesh.Host) {
	s := &r.reads
	s.round, s.substitute, s.since = round, substitute, now
	d := r.announcement(now)
	for _, to := range r.localPartnersOf(r.currentPartners().chosen) {
		r.send(to, d)
	}
}

// compareReadState adopts and passes on the state of a node of the same data centre if it is
// newer, and sends it this node's if it is older.
func (r *Roster) compareReadState(now time.Duration, d Digest) {
	s := &r.reads
	switch {
	// Other data centres have readers of their own.
	case d.From.DataCentre != r.self.Member.DataCentre || d.ReadRound > maxReadRound:
	case d.ReadRound > s.round, d.ReadRound == s.round && d.Substitute > s.substitute:
		r.setReadState(now, d.ReadRound, d.Substitute)
		if s.failed && s.substitute == "" && s.round%2 == 0 {
			r.setReadState(now, s.round+1, "") // the substitute has stepped back, and this reader still needs one
		}
	case d.ReadRound < s.round:
		r.send(d.From, r.announcement(now))
	}
}
