package sidecar

import (
	"net/http"
	"testing"
	"time"

	"cardamomhatch/internal/upstream"
)

// After a rollback of the store, each node must write its record and the departure of its
// upstream again, also one that does not read the store and one that never saw the era before,
// for each of two rollbacks in one second; and keep the version in force and the evacuations.
func TestRollbackOfTheStore(t *testing.T) {
	s, near, far, stock := startTwoCentres(t)
	s.mu.Lock()
	s.era = 1
	s.mu.Unlock()
	s.evacuate("far", true)
	near.knows(t, "far", true)
	stock.announce(upstream.Deregistered)
	stored := func(key string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.records[key] != nil
	}
	eventually(t, "the departure is stored", func() bool { return stored(departureKeyPrefix + "stock") })
	s.mu.Lock()
	s.silent["far"] = true // hears of the new era from its peers
	s.mu.Unlock()
	s.rollback(1)
	time.Sleep(300 * time.Millisecond)
	fresh := startHostIn(t, s, "dc", "fresh", "web", 8)
	time.Sleep(300 * time.Millisecond)
	s.rollback(0)
	began := time.Now()
	fresh.knows(t, "far", true) // from its peers: the operator has not written it again
	for _, key := range []string{"near", "far", "stock", "fresh", departureKeyPrefix + "stock"} {
		eventually(t, "the store holds again "+key, func() bool { return stored(key) })
	}
	t.Logf("all written again after %v", time.Since(began))
	for _, h := range []*host{near, fresh} {
		if r := h.call("after-"+h.instance, http.MethodGet, "/read/x", "k1", ""); r.status != http.StatusOK {
			t.Errorf("%s answers %d, want 200", h.instance, r.status)
		}
	}
	if far.runCount("after-i-near")+far.runCount("after-i-fresh") > 0 {
		t.Error("a request reached the evacuated data centre after the rollback")
	}
	far.knows(t, "far", false) // the operator has not written it again in time
	s.evacuate("far", true)
	far.knows(t, "far", true)
}
