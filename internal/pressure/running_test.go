package pressure

import (
	"math/rand/v2"
	"testing"
	"time"
)

// caller plays one upstream with many requests of three levels on one route. Each
// makes calls while it runs, and a call is given the time that its request has
// left, or less where the route of the call allows less.
type caller struct {
	random  *rand.Rand
	running *InFlight
	open    []Request
	now     time.Duration
	id      uint64
	right   map[bool]int // calls attributed to the right request, by limited or not
	all     map[bool]int
}

var (
	index = Target{"media", "index"}
	feed  = Target{"stock", "feed"}
)

const (
	callLimit  = 700 * time.Millisecond // of the route of the calls
	callerWork = 400 * time.Millisecond
)

func (c *caller) step(timeLeft time.Duration) {
	c.now += time.Millisecond
	for len(c.open) > 0 && c.open[0].Expires <= c.now+timeLeft-callerWork {
		c.running.Ended(c.now, c.id-uint64(len(c.open)))
		c.open = c.open[1:]
	}
	if c.random.Float64() < 0.15 { // 60 at once
		q := Request{Route: "index", Level: Level(c.random.IntN(3)), Expires: c.now + timeLeft}
		c.open = append(c.open, q)
		c.running.Began(c.now, c.id, q)
		c.id++
	}
	if len(c.open) == 0 || c.random.Float64() > 0.6 {
		return
	}
	parent := c.open[c.random.IntN(len(c.open))]
	// Times are told in whole milliseconds, and arrive a little later.
	late := 300*time.Microsecond + time.Duration(c.random.IntN(400))*time.Microsecond
	left := min(parent.Expires-c.now, callLimit)
	limited := left == callLimit
	left = left.Truncate(time.Millisecond)
	q := c.running.Parent(c.now+late, feed, left, c.random.Float64())
	c.all[limited]++
	if q != nil && q.Expires == parent.Expires {
		c.right[limited]++
	}
}

func newCaller() *caller {
	return &caller{
		random: rand.New(rand.NewPCG(7, 8)), running: NewInFlight(NewCallGraph()), right: map[bool]int{}, all: map[bool]int{},
	}
}

// Requests of one route but of different levels run at once. Their calls must get
// the level of the request that makes them: while any of them was taken for the
// parent, the calls of one order ran with several levels, and the least of them
// failed the order after most of its work.
func TestCallsGetTheLevelOfTheirRequest(t *testing.T) {
	c := newCaller()
	for range 20_000 {
		c.step(900 * time.Millisecond)
	}
	exact := float64(c.right[false]) / float64(c.all[false])
	t.Logf("%.3f of %d calls attributed to their request; %.3f of %d that their own route limits",
		exact, c.all[false], float64(c.right[true])/float64(c.all[true]), c.all[true])
	if exact < 0.8 {
		t.Errorf("%.3f of the calls are attributed to their request, want 0.8", exact)
	}
}

// A call that its own route limits can only come from a request that ends after it.
func TestLimitedCallIsNotOfAnEarlierRequest(t *testing.T) {
	r := NewInFlight(NewCallGraph())
	r.Began(0, 1, Request{Route: "index", Level: 0, Expires: 300 * time.Millisecond})
	r.Began(0, 2, Request{Route: "index", Level: 5, Expires: 2 * time.Second})
	for i := range 20 {
		q := r.Parent(0, feed, callLimit, float64(i)/20)
		if q == nil || q.Level != 5 {
			t.Fatalf("attributed to %v, which ends before the call", q)
		}
	}
	r.Ended(0, 2)
	if q := r.Parent(0, feed, callLimit, 0.5); q != nil {
		t.Errorf("attributed to %v, which ends before the call", q)
	}
	if q := r.Parent(0, index, 300*time.Millisecond, 0.5); q == nil || q.Level != 0 {
		t.Errorf("a call that ends with its request is attributed to %v", q)
	}
}
