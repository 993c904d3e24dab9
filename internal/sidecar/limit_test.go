package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomhatch/internal/upstream"
)

const (
	limitHeader   = "X-Limit"   // requests a second that the upstream takes from all nodes
	leavingHeader = "X-Leaving" // the upstream leaves
)

// arrivals records when requests arrive at an upstream.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// since returns the number of arrivals from the given time on.
func (a *arrivals) since(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.at {
		if !at.Before(t) {
			count++
		}
	}
	return count
}

// mostWithin returns the largest number of arrivals in any window of the given length that
// starts at or after the given time.
func (a *arrivals) mostWithin(window time.Duration, from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.at {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range a.at[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// sendSteadily sends a read to each of the hosts every interval for the given time and
// returns how many were served.
func sendSteadily(hosts []*host, interval, length time.Duration) (served, sent int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for _, h := range hosts {
			sent++
			id := fmt.Sprint("l", time.Now().UnixNano(), "-", sent)
			wg.Go(func() {
				if h.call(id, "GET", "/read/1", "k1", "").status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
	}
	wg.Wait()
	return served, sent
}

// An upstream that names a limit must not get more from all nodes together, while another
// one has room for all requests. Left alone it must get what it takes, and everything once
// it names no limit.
func TestUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	const (
		perSecond = 10.0
		window    = 4 * time.Second
		interval  = 30 * time.Millisecond
	)
	work := func(*host, http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }
	b.setHandler(work)
	var seen arrivals
	var named atomic.Bool
	named.Store(true)
	a.setHandler(func(h *host, w http.ResponseWriter, r *http.Request) {
		seen.add()
		work(h, w, r)
		if named.Load() {
			w.Header().Set(limitHeader, fmt.Sprint(perSecond))
		}
	})
	began := time.Now()
	served, sent := sendSteadily([]*host{a, b, c}, interval, 6*time.Second)
	if served < sent*98/100 {
		t.Errorf("%d of %d requests were served, want at least 98 in 100, since the other upstream has room", served, sent)
	}
	b.announce(upstream.Draining)
	time.Sleep(bounds.Drain) // until the other upstream gets no request
	alone := time.Now()
	sendSteadily([]*host{a, b, c}, interval, 5*time.Second)
	if got := seen.since(alone); got < 5*perSecond/2 {
		t.Errorf("the upstream got %d requests in five seconds, want at least half of what it takes", got)
	}
	if most := seen.mostWithin(window, began.Add(time.Second)); most > int(1.5*perSecond*window.Seconds())+5 {
		t.Errorf("the upstream got %d requests within %v, want at most one and a half times its %v a second, and 5", most, window, perSecond)
	}
	named.Store(false)
	sendSteadily([]*host{a, b, c}, interval, 2*time.Second) // until the limit is lifted
	if served, sent := sendSteadily([]*host{a, b, c}, interval, 2*time.Second); served < sent*98/100 {
		t.Errorf("%d of %d requests were served without a limit, want at least 98 in 100", served, sent)
	}
}

// A node that starts beside an upstream with a limit does not know the limit. It must not
// send a burst before the first response names it.
func TestStartedNodeLearnsTheLimitBeforeItSendsABurst(t *testing.T) {
	s, a, b, c := startSmallMesh(t)
	const perSecond = 5.0
	var seen arrivals
	slowAndLimited := func(_ *host, w http.ResponseWriter, _ *http.Request) {
		seen.add()
		time.Sleep(100 * time.Millisecond)
		w.Header().Set(limitHeader, fmt.Sprint(perSecond))
	}
	a.setHandler(slowAndLimited)
	a.slots = 100
	old := a.node
	old.shutdown()
	a.restartNode(t, s, "a", old.cfg.Self.PeerAddress)
	began := time.Now()
	sendSteadily([]*host{a, b, c}, 5*time.Millisecond, 2*time.Second)
	if got := seen.since(began); got > int(1.5*perSecond*4)+5 {
		t.Errorf("the upstream got %d requests in the two seconds after the start, want at most %d, which it tolerates in four", got, int(1.5*perSecond*4)+5)
	}
}

// An upstream may tell that it leaves in its responses only. It must get no request later
// than the drain time after that, although it still announces itself as ready.
func TestUpstreamThatLeavesByItsResponses(t *testing.T) {
	_, a, b, c := startSmallMesh(t)
	var seen arrivals
	var mu sync.Mutex
	var first time.Time
	a.setHandler(func(_ *host, w http.ResponseWriter, _ *http.Request) {
		seen.add()
		mu.Lock()
		defer mu.Unlock()
		if first.IsZero() {
			first = time.Now()
		}
		w.Header().Set(leavingHeader, "1")
	})
	sendSteadily([]*host{a, b, c}, 20*time.Millisecond, 2100*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if first.IsZero() {
		t.Fatal("no request reached the upstream")
	}
	if got := seen.since(first.Add(bounds.Drain)); got > 0 {
		t.Errorf("%d requests reached the upstream later than %v after it had told that it leaves", got, bounds.Drain)
	}
}
