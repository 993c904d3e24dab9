package node

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/standin/malformed"
)

// Guards against a malformed response being passed on to the caller, with a status that is none or
// a body that is not the upstream's.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for name, raw := range malformed.Responses("wrong") {
		if strings.Contains(name, "interim") {
			continue // net/http.Transport does not show the heads of interim responses
		}
		server := httptest.NewServer(malformed.Handler(raw))
		defer server.Close()
		p := startPair(t, nil, malformed.Handler(raw))
		requireMayHaveRun(t, "upstream: "+name, p, outcome.UpstreamFailed)
		p.entry.forwardTo(mesh.Member{Node: p.serving.member.Node, PeerAddress: strings.TrimPrefix(server.URL, "http://")})
		requireMayHaveRun(t, "peer: "+name, p, outcome.PeerLost)
	}
}

// Guards against a malformed response being believed when its head states that the call did not run.
func TestNotRunWithAMalformedTrailer(t *testing.T) {
	const raw = "HTTP/1.1 503 Service Unavailable\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX Y: z\r\n\r\n"
	p := startPair(t, nil, malformed.Handler(fmt.Sprintf(raw, engine.ShedHeader+": 1")))
	requireMayHaveRun(t, "upstream", p, outcome.UpstreamFailed)
	refusal := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.Overloaded, Node: "serving"}
	server := httptest.NewServer(malformed.Handler(fmt.Sprintf(raw, outcome.Header+": "+refusal.HeaderValue())))
	defer server.Close()
	p.entry.forwardTo(mesh.Member{Node: p.serving.member.Node, PeerAddress: strings.TrimPrefix(server.URL, "http://")})
	requireMayHaveRun(t, "peer", p, outcome.PeerLost)
}

// requireMayHaveRun sends a request and checks that it is refused as one that may have run.
func requireMayHaveRun(t *testing.T, name string, p pair, reason outcome.Reason) {
	t.Helper()
	resp, body, err := doRequest(newClient(t, nil), newRequest(t, "GET", p.entry.callers+"/a", ""))
	if strings.Contains(name, "trailer,") { // it is read after the head has been passed on
		if err == nil {
			t.Errorf("%s: got %s %q, want a connection that ends before the response", name, resp.Status, body)
		}
		return
	}
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if refusal, ok := outcome.Parse(resp.Header); !ok || refusal.Execution != outcome.MayHaveRun || refusal.Reason != reason {
		t.Errorf("%s: got %s %q, want a refusal of a request that may have run with reason %s", name, resp.Status, body, reason)
	}
}
