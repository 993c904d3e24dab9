package outcome

import (
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a refusal that changes when it is written as a response and parsed by
// another node or the caller.
func TestRefusalRoundTrip(t *testing.T) {
	for reason := KeyMissing; reason < numReasons; reason++ {
		for execution := NotRun; execution < numExecutions; execution++ {
			want := Refusal{Execution: execution, Reason: reason, Node: "host-1", RetryAfter: 1500 * time.Millisecond}
			recorder := httptest.NewRecorder()
			if err := want.Write(recorder); err != nil {
				t.Fatal(err)
			}
			got, ok := Parse(recorder.Result().Header)
			if !ok || got != want {
				t.Fatalf("got %+v (%v), want %+v", got, ok, want)
			}
			if s := recorder.Result().Header.Get("Retry-After"); s != "2" {
				t.Fatalf("Retry-After %q, want 2: 1.5 s rounded up", s)
			}
		}
	}
}

// Guards against a malformed header that is parsed as a valid refusal and so taken as
// proof that a call did not run.
func FuzzParse(f *testing.F) {
	f.Add("not-run; reason=overloaded; node=a; retry-after-ms=1")
	f.Add("not-run; reason=none")
	f.Add("not-run")
	f.Fuzz(func(t *testing.T, value string) {
		h := map[string][]string{Header: {value}}
		r, ok := Parse(h)
		if ok && (r.Reason == None || r.Reason >= numReasons || r.Execution >= numExecutions) {
			t.Fatalf("accepted %q as %+v", value, r)
		}
	})
}
