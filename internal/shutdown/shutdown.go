// Package shutdown decides which requests a node still accepts while it shuts down.
//
// Load pattern: requests keep arriving until the process exits. Callers have to learn of the
// shutdown first, some have no other node to go to, and the local upstream makes calls for
// the requests that it still runs. A request that is in flight at the exit is aborted without
// a response, although an upstream may have run it; one that is refused in time can be sent
// to another node.
package shutdown

import "time"

const (
	// NoticeTime is the time from the start of a shutdown in which callers and the platform
	// learn of it. Until then, requests are accepted as before.
	NoticeTime = time.Second
	// RefusalAfter is the time from the start of a shutdown after which requests of callers
	// are refused, so that the node becomes idle.
	RefusalAfter = 2800 * time.Millisecond
	// AnnounceAfter is the time from the start of a shutdown after which the node announces it
	// to its peers. They send no requests to the local upstream from then on, although it still
	// runs, so the delay keeps the upstream in use while callers are still leaving.
	AnnounceAfter = 1600 * time.Millisecond
	// gossipDelay is the time in which the announcement reaches all peers.
	gossipDelay = 300 * time.Millisecond
	// NestedMargin is the least time between the expected end of a call of the local upstream
	// and the exit. The upstream that runs a request whose time limit lies beyond the exit is
	// given no more time than leaves this margin for its answer.
	NestedMargin = 200 * time.Millisecond
)

// Progress is the state of a shutdown.
type Progress struct {
	Elapsed time.Duration // since its start
	Left    time.Duration // until requests in flight are aborted
}

// Request is what is known of a request when it is to be accepted or forwarded.
type Request struct {
	Limit      time.Duration // until its deadline
	Expected   time.Duration // the time that requests like it take
	Idempotent bool
	// Nested is set if the local upstream may have made the request on behalf of one that it
	// runs, which fails if this one is refused.
	Nested bool
}

// endsInTime reports whether the request ends before the exit even if it takes until its
// deadline.
func (r Request) endsInTime(p Progress) bool { return r.Limit <= p.Left }

// Accepts reports whether a request that has just arrived from a caller is accepted. The caller of a request
// that is not idempotent may not send it again once it has been aborted, so such a request
// must be certain to end in time, whoever sent it. For a call of the local upstream that is
// idempotent, the expected time decides, since a refusal costs as much as an aborted call; what
// takes longer is ended by GrantedTime.
func Accepts(p Progress, r Request) bool {
	switch {
	case p.Left <= 0:
		return false
	case p.Elapsed <= NoticeTime:
		return true
	case !r.Idempotent && !r.endsInTime(p):
		return false
	case p.Elapsed <= RefusalAfter:
		return true
	case r.Nested:
		return r.endsInTime(p) || r.Expected+NestedMargin <= p.Left
	}
	return false
}

// AcceptsFromPeer reports whether a request that a peer has forwarded is accepted. Once all
// peers know of the shutdown, none is.
func AcceptsFromPeer(p Progress, r Request) bool {
	return p.Elapsed <= AnnounceAfter+gossipDelay && Accepts(p, r)
}

// Forwards reports whether a request that was accepted and whose body has been read since is
// sent to an upstream: a caller may take seconds to send a body.
func Forwards(p Progress, r Request) bool {
	return p.Elapsed <= NoticeTime || r.endsInTime(p) || r.Idempotent && p.Left > NestedMargin
}

// GrantedTime returns the time that the upstream is given for a request with the given limit. A
// request that takes longer than expected then ends with the upstream's answer, not with an aborted
// connection at the exit.
func GrantedTime(p Progress, limit time.Duration) time.Duration {
	if limit <= p.Left {
		return limit
	}
	return max(p.Left-NestedMargin, 0)
}
