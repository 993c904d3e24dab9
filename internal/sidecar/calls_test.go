package sidecar

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/pressure"
)

// The metadata that an entry node sends with a forwarded request (hop) and the state that
// the serving node sends with the response (report) must survive encoding and parsing.
func TestHopAndReportRoundTrip(t *testing.T) {
	h := hop{
		Target: mesh.NodeID{Host: "a", Incarnation: 5}, Service: "web", Workspace: "w1", Caller: "stock", Route: "read",
		Level: 6, Weight: 2.5, Nested: true, NonIdempotent: true, Retry: true, Remaining: 1200 * time.Millisecond, MaxWait: 40 * time.Millisecond, Grace: 30 * time.Millisecond,
		WantsCapacity: true,
	}
	if got, err := parseHop(h.encode()); err != nil || got != h {
		t.Errorf("hop %+v is parsed as %+v, error %v", h, got, err)
	}
	if n := strings.Count(h.encode(), ";") + 1; n != hopFields {
		t.Errorf("hop has %d fields; nodes of the version before refuse any number but %d", n, hopFields)
	}
	r := report{Cut: pressure.CutAt(4.5)} // encoded with 8 bits per level, so parsing does not restore it exactly
	if got, ok := parseReport(http.Header{loadHeader: {r.encode()}}); !ok || got.Cut.Distance(r.Cut) > 0.01 {
		t.Errorf("report %+v is parsed as %+v, ok %v", r, got, ok)
	}
	if n := strings.Count(r.encode(), ",") + 1; n != reportFields {
		t.Errorf("report without a cut for the origin has %d fields; nodes of the version before ignore any number but %d", n, reportFields)
	}
	r.Origin, r.HasOrigin = pressure.OriginCut{Cut: pressure.CutAt(4.2), Service: "a,b=c", Cost: 0.25, First: 3, Last: 5}, true
	got, ok := parseReport(http.Header{loadHeader: {r.encode() + ",later=5"}})
	if !ok || !got.HasOrigin || got.Origin.Cut.Distance(r.Origin.Cut) > 0.01 || got.Origin.Service != "a,b=c" || got.Origin.Cost != 0.25 || got.Origin.First != 3 || got.Origin.Last != 5 {
		t.Errorf("report %+v is parsed as %+v, ok %v", r, got, ok)
	}
	if _, err := parseHop(h.encode() + ";later"); err != nil {
		t.Errorf("a hop with a field of a later version is refused: %v", err)
	}
}

// Nested calls must carry the origin and their number for each entry request. Forged numbers
// are bounded, and a call from a node that sends no origin has none.
func TestOriginRoundTrip(t *testing.T) {
	for _, c := range []struct {
		sent, want hop
		value      string // sent instead
	}{
		{sent: hop{Nested: true, Origin: "read", Fanout: 2.5}, want: hop{Nested: true, Origin: "read", Fanout: 2.5}},
		{sent: hop{Route: "read"}, want: hop{Route: "read", Origin: "read", Fanout: 1}},
		{sent: hop{Nested: true, Route: "feed"}, want: hop{Nested: true, Route: "feed", Fanout: 1}},
		{value: "read;1e300;later", sent: hop{Nested: true}, want: hop{Nested: true, Origin: "read", Fanout: pressure.MaxFanout}},
		{value: "read;NaN", sent: hop{Nested: true}, want: hop{Nested: true, Origin: "read", Fanout: 1}},
		{value: "read", sent: hop{Nested: true}, want: hop{Nested: true, Fanout: 1}},
	} {
		got := hop{Nested: c.sent.Nested, Route: c.sent.Route}
		got.parseOrigin(cmp.Or(c.value, c.sent.encodeOrigin()))
		if got != c.want {
			t.Errorf("%+v with %q is parsed as %+v, want %+v", c.sent, c.value, got, c.want)
		}
	}
}

// callFeedFrom makes the upstream of h handle each request by calling the feed route
// through its own node and relaying the response.
func callFeedFrom(h *host) {
	h.setHandler(func(h *host, w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		id := r.Header.Get(dialect.RequestID)
		remainingMS, err := strconv.ParseInt(r.Header.Get(dialect.Remaining), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		call, err := http.NewRequest(http.MethodGet, "http://"+h.callerAddress+"/feed/1", nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		call.Host = "shop"
		call.Header.Set(dialect.RequestID, "feed-of-"+id)
		call.Header.Set(dialect.Remaining, strconv.FormatInt(remainingMS-time.Since(began).Milliseconds(), 10))
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// A call made by an upstream must run at the level of the request that made it. The call
// has no workspace and its route has no class, so it would otherwise get the most
// important level.
func TestCallInheritsLevelOfItsRequest(t *testing.T) {
	s := newStore(func(version uint64) catalog.Declaration {
		d := shopDeclaration(version)
		d.Routes[0].Class = mesh.ClassNormal // the level of its requests, too, because their workspace is of class 0
		return d
	})
	a, c := startHost(t, s, "a", "web", 64), startHost(t, s, "c", "stock", 64)
	for _, h := range []*host{a, c} {
		eventually(t, "the host knows the nodes of both services", func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			now := h.node.now()
			return len(h.node.roster.Members(now, "web")) == 1 && len(h.node.roster.Members(now, "stock")) == 1 && h.node.current.Load() != nil
		})
	}
	callFeedFrom(a)
	if got := a.call("p1", "GET", "/read/1", "k1", ""); got.status != http.StatusOK {
		t.Fatalf("request p1 got status %d, error %v; want 200 and no error", got.status, got.err)
	}
	eventually(t, "the call is logged", func() bool {
		for _, line := range a.log.lines() {
			if line["request"] == "feed-of-p1" {
				if line["inner"] != true || line["rank"] != float64(mesh.ClassNormal) {
					t.Errorf("the call made for a request of level %d is logged as %v, want that level as rank and inner set", mesh.ClassNormal, line)
				}
				return true
			}
		}
		return false
	})
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if c.node.meter.Cost("read") <= 0 {
		t.Error("the cost of requests of route read at the service that they call is not known there")
	}
}
