package node

import (
	"io"
	"net/http"
	"testing"

	"cardamomhatch/internal/outcome"
)

// Guards against an answer whose head is malformed being passed on to the caller, with a status
// that is none or a body that is not the upstream's.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for name, raw := range map[string]string{
		"status 000":            "HTTP/1.1 000 Broken\r\nContent-Length: 5\r\n\r\nwrong",
		"blank in a field name": "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 5\r\n\r\nwrong",
	} {
		p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			io.WriteString(conn, raw)
		}))
		resp, body, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/a", ""))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if refusal, ok := outcome.Parse(resp.Header); !ok || refusal.Execution != outcome.MayHaveRun {
			t.Errorf("%s: got %s %q, want a refusal of a request that may have run", name, resp.Status, body)
		}
	}
}
