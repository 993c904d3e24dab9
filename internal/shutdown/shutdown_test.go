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
			for _, nested := range []bool{false, true} {
				for _, idempotent := range []bool{false, true} {
					lastAccepted := time.Duration(-1)
					for arrival := time.Duration(0); arrival < 6*time.Second; arrival += 10 * ms {
						p := Progress{Elapsed: arrival, Left: exit - arrival}
						if !Accepts(p, Request{Limit: limit, Expected: work, Idempotent: idempotent, Nested: nested}) {
							continue
						}
						lastAccepted = arrival
						end := arrival + min(work, limit)
						switch {
						case arrival <= NoticeTime:
						case !idempotent && arrival+limit > exit:
							t.Errorf("order with limit %v accepted at %v (nested: %v)", limit, arrival, nested)
						case arrival > RefusalAfter && end > exit:
							t.Errorf("request with limit %v and work %v accepted at %v (nested: %v, idempotent: %v)", limit, work, arrival, nested, idempotent)
						case arrival > RefusalAfter && !nested:
							t.Errorf("request of a caller with limit %v accepted at %v", limit, arrival)
						}
					}
					if nested && idempotent && lastAccepted < exit-min(limit, work+NestedMargin)-10*ms {
						t.Errorf("calls with limit %v and work %v are refused from %v on, although they would end before %v", limit, work, lastAccepted, exit)
					}
				}
			}
		}
	}
}

// Replays reads without a key that arrive every 10 ms of a shutdown and take longer than the
// recent ones of their route. An upstream works until the time that it is given at most, so none
// may be given time beyond the exit.
func TestNoReadIsInFlightAtTheExit(t *testing.T) {
	const exit = 5100 * ms
	for _, expected := range []time.Duration{0, 100 * ms, 800 * ms} {
		for _, work := range []time.Duration{900 * ms, 2 * time.Second, 4 * time.Second} {
			for _, limit := range []time.Duration{400 * ms, 2980 * ms, 4980 * ms} {
				for arrival := time.Duration(0); arrival < exit; arrival += 10 * ms {
					p := Progress{Elapsed: arrival, Left: exit - arrival}
					r := Request{Limit: limit, Expected: expected, Idempotent: true, Nested: true}
					if !Accepts(p, r) {
						continue
					}
					if end := arrival + min(work, GrantedTime(p, limit)); end > exit {
						t.Errorf("read with limit %v, work %v and expected work %v accepted at %v ends at %v, the exit is at %v", limit, work, expected, arrival, end, exit)
					}
				}
			}
		}
	}
}

// Once the time for requests in flight is over, no request may be accepted, also early in a
// shutdown that has little time.
func TestNothingIsAcceptedAfterTheEnd(t *testing.T) {
	for _, r := range []Request{{Limit: 0, Idempotent: true}, {Limit: 0, Idempotent: true, Nested: true}, {Limit: 0}} {
		if Accepts(Progress{Elapsed: 600 * ms, Left: 0}, r) {
			t.Errorf("request %+v is accepted with no time left", r)
		}
	}
}

// Peers learn of a shutdown from its announcement on. Until they do, what could end in time must
// be accepted, and an order that could not must be refused so that it runs elsewhere.
func TestRequestsOfPeers(t *testing.T) {
	const exit = 5100 * ms
	order, read := Request{Limit: 4980 * ms}, Request{Limit: 4980 * ms, Idempotent: true}
	short := Request{Limit: 400 * ms}
	for elapsed := time.Duration(0); elapsed < exit; elapsed += 10 * ms {
		p := Progress{Elapsed: elapsed, Left: exit - elapsed}
		known := elapsed > AnnounceAfter+gossipDelay
		if got, want := AcceptsFromPeer(p, order), elapsed <= NoticeTime; got != want {
			t.Errorf("%v after the start, a long order is accepted: %v, want %v", elapsed, got, want)
		}
		if AcceptsFromPeer(p, read) == known || AcceptsFromPeer(p, short) == known {
			t.Errorf("%v after the start, a read is accepted: %v, and a short order: %v; want both %v", elapsed, AcceptsFromPeer(p, read), AcceptsFromPeer(p, short), !known)
		}
	}
}

// An order whose caller sends its body slowly was accepted early in the shutdown, but would reach
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
		{5000 * ms, Request{Limit: 2 * time.Second, Idempotent: true}, false},
		{5000 * ms, Request{Limit: 50 * ms, Idempotent: true}, true},
	} {
		if got := Forwards(Progress{Elapsed: test.elapsed, Left: 5100*ms - test.elapsed}, test.request); got != test.want {
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
