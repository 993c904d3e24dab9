package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// Guards against a caller's key that reaches an upstream from any of the places
// that can hold one, and against a key that the machine does not receive.
func TestKeyIsStripped(t *testing.T) {
	var seen strings.Builder
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(&seen, "%s %v %v", r.URL, r.Header, r.Trailer)
	}))
	type place struct {
		query, authorization, trailer string
		secret                        string
	}
	places := map[string]place{
		"bearer":              {authorization: "Bearer " + testKey, secret: testKey},
		"scheme in lower":     {authorization: "bearer " + testKey, secret: testKey},
		"other scheme":        {authorization: "Basic " + testKey},
		"key":                 {query: "key=" + testKey, secret: testKey},
		"api_key":             {query: "a=1&api_key=" + testKey, secret: testKey},
		"access_token":        {query: "access_token=" + testKey + "&a=1", secret: testKey},
		"other case":          {query: "API_Key=" + testKey, secret: testKey},
		"escaped name":        {query: "%6bey=" + testKey, secret: testKey},
		"all, bearer wins":    {query: "key=x" + testKey + "&api_key=" + testKey + "&key=" + testKey, authorization: "Bearer " + testKey, secret: testKey},
		"semicolon separates": {query: "a=1;key=" + testKey, secret: testKey},
		"trailer":             {trailer: "Authorization", authorization: "Bearer " + testKey, secret: testKey},
		"trailer key":         {trailer: "Api_key", authorization: "Bearer " + testKey, secret: testKey},
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			seen.Reset()
			// MultiReader hides the length of the body: only a chunked body can have trailers.
			r := must(http.NewRequest("POST", p.entry.callers+"/x?"+place.query, io.MultiReader(strings.NewReader("body"))))
			if place.authorization != "" {
				r.Header.Set("Authorization", place.authorization)
			}
			if place.trailer != "" {
				r.Trailer = http.Header{place.trailer: {testKey}, "X-Sum": {"1"}}
			}
			if _, _, err := doRequest(newClient(t, nil), r); err != nil {
				t.Fatal(err)
			}
			got := await[*engine.CallArrived](t, p.entry.machine)
			if string(got.Secret) != place.secret {
				t.Errorf("state machine got secret %q, want %q", got.Secret, place.secret)
			}
			if strings.Contains(seen.String(), testKey) {
				t.Errorf("upstream saw the key: %s", seen.String())
			}
			if place.trailer != "" && !strings.Contains(seen.String(), "X-Sum:[1]") {
				t.Errorf("upstream did not get the trailer X-Sum: %s", seen.String())
			}
		})
	}
}

// logBuffer is a Logger that records log lines.
type logBuffer struct{ bytes.Buffer }

func (l *logBuffer) Debug(msg any, kv ...any) { fmt.Fprintln(&l.Buffer, append([]any{msg}, kv...)...) }
func (l *logBuffer) Warn(msg any, kv ...any)  { l.Debug(msg, kv...) }

// Guards against internal headers forged by a caller or an upstream, and
// against internal and hop-by-hop headers that leak to either.
func TestForgedHeaders(t *testing.T) {
	var seen http.Header
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		for _, name := range []string{outcome.Header, engine.LoadHeader, engine.TicketHeader, engine.CallHeader} {
			w.Header().Set(name, "forged")
		}
		w.Header().Set("Connection", "X-Hop-Answer")
		w.Header().Set("X-Hop-Answer", "1")
	}))
	r := newRequest(t, "GET", p.entry.callers+"/x", "")
	for _, name := range []string{engine.HopHeader, engine.CallHeader, engine.WorkspaceHeader, "Cardamomhatch-Anything", outcome.Header} {
		r.Header.Set(name, "forged")
	}
	r.Header["cARDAMOMHATCH-lower"] = []string{"forged"}
	r.Header.Set(engine.TicketHeader, "ticket-7")
	r.Header.Set(engine.TimeoutHeader, "1500")
	r.Header.Set("Connection", "X-Hop-Request, Upgrade")
	r.Header.Set("X-Hop-Request", "1")
	r.Header.Set("Upgrade", "x")
	resp, _, err := doRequest(newClient(t, nil), r)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	arrived := await[*engine.CallArrived](t, p.entry.machine)
	if arrived.Ticket != "ticket-7" || arrived.Timeout.Milliseconds() != 1500 {
		t.Errorf("state machine got ticket %q and timeout %s, want ticket-7 and 1.5s", arrived.Ticket, arrived.Timeout)
	}
	want := map[string]bool{engine.CallHeader: true, engine.WorkspaceHeader: true, engine.TimeoutHeader: true}
	for name, values := range seen {
		if isInternalHeader(name) && !want[name] || values[0] == "forged" || name == "X-Hop-Request" || name == "Upgrade" {
			t.Errorf("upstream saw header %s: %v", name, values)
		}
	}
	if seen.Get(engine.WorkspaceHeader) != "w1" {
		t.Errorf("upstream saw workspace %q, want w1", seen.Get(engine.WorkspaceHeader))
	}
	for name := range resp.Header {
		if isInternalHeader(name) || name == "X-Hop-Answer" {
			t.Errorf("caller saw header %s", name)
		}
	}
	if load := await[*engine.ResponseReceived](t, p.entry.machine).Load; load == nil || load.InFlight != 1 {
		t.Errorf("entry node got load report %+v, want one with InFlight 1", load)
	}
}

// Guards against keys in log lines, for example in an error that quotes a
// request.
func TestLogHasNoKey(t *testing.T) {
	lines := &logBuffer{}
	n := startNode(t, "entry", nil, func(c *Config) { c.Logger = lines })
	n.forwardTo(mesh.Member{PeerAddress: "127.0.0.1:1"})
	for _, query := range []string{"?key=" + testKey, "?%zz&key=" + testKey} {
		if _, _, err := doRequest(newClient(t, nil), newRequest(t, "GET", n.callers+"/x"+query, "")); err != nil {
			t.Fatal(err)
		}
	}
	r := must(http.NewRequest("POST", n.local+"/announce", strings.NewReader("{")))
	if _, _, err := doRequest(newClient(t, nil), r); err != nil {
		t.Fatal(err)
	}
	n.Close()
	if lines.Len() == 0 || strings.Contains(lines.String(), testKey) {
		t.Fatalf("want log lines without the key, got: %s", lines.String())
	}
}

// Guards against an announcement that crashes the node, and against one that is
// accepted with a URL scheme other than http or with numbers out of range.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"orders","url":"http://127.0.0.1:80","slots":4,"connections":8,"in_flight":0,"ready":true}`))
	f.Add([]byte(`{"service":"orders","url":"http://u:p@h","slots":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, base, err := decodeAnnouncement(data)
		if err != nil {
			return
		}
		inRange := min(a.Slots, a.Connections, a.InFlight) >= 0 && max(a.Slots, a.Connections, a.InFlight) <= maxAnnouncedCount
		if a.Service == "" || base.Scheme != "http" || base.Host == "" || !inRange {
			t.Fatalf("accepted invalid announcement %+v with URL %+v", a, base)
		}
	})
}
