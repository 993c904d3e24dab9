package shutdown

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Replays requests of all kinds that arrive every 10 ms of a shutdown, with deadlines and
// work below and above the time that is left. No request that is not idempotent may be in
// flight at the exit once callers had time to learn of the shutdown, and a call of the local
// upstream only if it takes longer than calls of its route did.
func TestNoOrderIsInFlightAtTheExit(t *testing.T) {
	const exit = 5100 * ms
	for _, work := range []time.Duration{20 * ms, 300 * ms, 800 * ms, 3 * time.Second} {
		for _, limit := range []time.Duration{400 * ms, 1480 * ms, 4980 * ms} {
			for _, local := range []bool{false, true} {
				for _, idempotent := range []bool{false, true} {
					lastTaken := time.Duration(-1)
					for arrival := time.Duration(0); arrival < 6*time.Second; arrival += 10 * ms {
						p := Progress{Elapsed: arrival, Left: exit - arrival}
						if !Takes(p, Request{Limit: limit, Expected: work, Idempotent: idempotent, Local: local}) {
							continue
						}
						lastTaken = arrival
						end := arrival + min(work, limit)
						switch {
						case arrival <= NoticeTime:
						case !idempotent && arrival+limit > exit:
							t.Errorf("order with limit %v taken at %v (local: %v)", limit, arrival, local)
						case arrival > RefusalAfter && end > exit:
							t.Errorf("request with limit %v and work %v taken at %v (local: %v, idempotent: %v)", limit, work, arrival, local, idempotent)
						case arrival > RefusalAfter && !local:
							t.Errorf("request of a caller with limit %v taken at %v", limit, arrival)
						}
					}
					if local && idempotent && lastTaken < exit-min(limit, work+LocalMargin)-10*ms {
						t.Errorf("calls with limit %v and work %v are refused from %v on, although they would end before %v", limit, work, lastTaken, exit)
					}
				}
			}
		}
	}
}

// Once a node that was idle has begun to exit, it may take no request at all.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	for _, r := range []Request{{Limit: 0, Idempotent: true}, {Limit: 0, Idempotent: true, Local: true}, {Limit: 0}} {
		if Takes(Progress{Elapsed: 600 * ms, Left: 0}, r) {
			t.Errorf("request %+v is taken with no time left", r)
		}
	}
}

// An order whose caller sends its body slowly was taken early in the shutdown, but would reach
// an upstream when too little time is left.
func TestSlowBody(t *testing.T) {
	order := Request{Limit: 2 * time.Second}
	for _, test := range []struct {
		elapsed time.Duration
		request Request
		want    bool
	}{
		{NoticeTime / 2, order, true},
		{3 * time.Second, order, true},
		{3200 * ms, order, false},
		{3200 * ms, Request{Limit: 2 * time.Second, Idempotent: true}, true},
	} {
		if got := PassesOn(Progress{Elapsed: test.elapsed, Left: 5100*ms - test.elapsed}, test.request); got != test.want {
			t.Errorf("%v after the start, %+v is passed on: %v, want %v", test.elapsed, test.request, got, test.want)
		}
	}
}

// The expected duration of calls must follow a service that turns slow at once, must not
// forget it within the window, and must recover after it. Routes that are no longer called
// must not stay in memory.
func TestDurations(t *testing.T) {
	d := NewDurations()
	if got := d.Longest(0, "feed"); got != 0 {
		t.Errorf("longest duration without requests: %v", got)
	}
	for now := time.Duration(0); now < 60*time.Second; now += 100 * ms {
		took := 50 * ms
		if now >= 20*time.Second && now < 25*time.Second {
			took = 900 * ms
		}
		d.Record(now, "feed", took)
		got := d.Longest(now, "feed")
		switch {
		case now < 20*time.Second || now > 25*time.Second+2*window:
			if got != 50*ms {
				t.Fatalf("at %v: %v, want 50 ms", now, got)
			}
		case now < 25*time.Second+window:
			if got != 900*ms {
				t.Fatalf("at %v: %v, want 900 ms", now, got)
			}
		}
	}
	d.Record(61*time.Second, "other", ms)
	d.Record(90*time.Second, "other", ms)
	d.Record(120*time.Second, "other", ms)
	if len(d.routes) != 1 {
		t.Errorf("%d routes are kept, want 1", len(d.routes))
	}
}
