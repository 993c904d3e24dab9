package pressure

import (
	"math/rand/v2"
	"testing"
	"time"
)

// upstreamModel simulates one upstream with many requests of three levels on one
// route. Each request makes calls while it runs. The remaining time of a call is that of
// its request, or the timeout of the call's own route if that is shorter.
type upstreamModel struct {
	random   *rand.Rand
	inFlight *InFlight
	running  []Request
	now      time.Duration
	id       uint64       // of the next request
	correct  map[bool]int // those of calls that were attributed to the request that made them
	calls    map[bool]int // by whether their time is limited by their own route
}

var (
	index = Target{"media", "index"}
	feed  = Target{"stock", "feed"}
)

const (
	callTimeout = 700 * time.Millisecond // of the route of the calls
	requestWork = 400 * time.Millisecond // time that a request runs
)

// step simulates one millisecond. Each request runs for requestWork and expires after
// requestTimeout.
func (m *upstreamModel) step(requestTimeout time.Duration) {
	m.now += time.Millisecond
	for len(m.running) > 0 && m.running[0].Expires <= m.now+requestTimeout-requestWork {
		m.inFlight.RequestEnded(m.now, m.id-uint64(len(m.running)))
		m.running = m.running[1:]
	}
	if m.random.Float64() < 0.15 { // about 60 run at once
		q := Request{Route: "index", Level: Level(m.random.IntN(3)), Expires: m.now + requestTimeout}
		m.running = append(m.running, q)
		m.inFlight.RequestStarted(m.now, m.id, q)
		m.id++
	}
	if len(m.running) == 0 || m.random.Float64() > 0.6 {
		return
	}
	parent := m.running[m.random.IntN(len(m.running))]
	// Times are transmitted in whole milliseconds and arrive with a short delay.
	delay := 300*time.Microsecond + time.Duration(m.random.IntN(400))*time.Microsecond
	remaining := min(parent.Expires-m.now, callTimeout)
	limitedByRoute := remaining == callTimeout
	remaining = remaining.Truncate(time.Millisecond)
	q := m.inFlight.Parent(m.now+delay, feed, remaining, m.random.Float64())
	m.calls[limitedByRoute]++
	if q != nil && q.Expires == parent.Expires {
		m.correct[limitedByRoute]++
	}
}

func newUpstreamModel() *upstreamModel {
	return &upstreamModel{
		random: rand.New(rand.NewPCG(7, 8)), inFlight: NewInFlight(NewCallGraph()), correct: map[bool]int{}, calls: map[bool]int{},
	}
}

// When requests of one route but of different levels run concurrently, each call must get
// the level of the request that makes it. If any request of the route may be taken for
// the parent, the calls of one request run at several levels, and the call with the least
// important level fails the request after most of its work.
func TestCallsGetTheLevelOfTheirRequest(t *testing.T) {
	m := newUpstreamModel()
	for range 20_000 {
		m.step(900 * time.Millisecond)
	}
	correctShare := float64(m.correct[false]) / float64(m.calls[false])
	t.Logf("attributed to their request: %.3f of %d calls with the expiry of the request, %.3f of %d calls limited by their own route",
		correctShare, m.calls[false], float64(m.correct[true])/float64(m.calls[true]), m.calls[true])
	if correctShare < 0.8 {
		t.Errorf("%.3f of the calls that expire with their request are attributed to it, want at least 0.8", correctShare)
	}
}

// A call whose time is limited by its own route must be attributed to a request that
// expires after the call.
func TestLimitedCallIsNotOfAnEarlierRequest(t *testing.T) {
	f := NewInFlight(NewCallGraph())
	f.RequestStarted(0, 1, Request{Route: "index", Level: 0, Expires: 300 * time.Millisecond})
	f.RequestStarted(0, 2, Request{Route: "index", Level: 5, Expires: 2 * time.Second})
	for i := range 20 {
		q := f.Parent(0, feed, callTimeout, float64(i)/20)
		if q == nil || q.Level != 5 {
			t.Fatalf("attributed to %v, want the request of level 5, the only one that expires after the call", q)
		}
	}
	f.RequestEnded(0, 2)
	if q := f.Parent(0, feed, callTimeout, 0.5); q != nil {
		t.Errorf("attributed to %v, want none: the only request left expires before the call", q)
	}
	if q := f.Parent(0, index, 300*time.Millisecond, 0.5); q == nil || q.Level != 0 {
		t.Errorf("a call that expires with the request of level 0 is attributed to %v, want that request", q)
	}
}

// An upstream on a busy host may read a request long after it was sent, and counts the
// remaining time that it was told from then on. Its calls then seem to expire after all
// requests; they must still get the level of one of them, not the most important level.
func TestCallThatSeemsToExpireAfterItsRequest(t *testing.T) {
	f := NewInFlight(NewCallGraph())
	f.RequestStarted(0, 1, Request{Route: "read", Level: 6, Expires: 2 * time.Second})
	now := 500 * time.Millisecond
	if q := f.Parent(now, Target{Service: "stock", Route: "feed"}, 1700*time.Millisecond, 0.5); q == nil || q.Level != 6 {
		t.Errorf("parent of the call is %+v, want the only running request", q)
	}
}
