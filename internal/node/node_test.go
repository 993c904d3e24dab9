package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/engine"
)

// Guards against a call that changes on its way over two nodes, with and
// without TLS, for bodies that are buffered and bodies that are streamed.
func TestCallOverTwoNodes(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+r.Host)
		w.Header().Set("Set-Cookie", r.Header.Get("Cookie"))
		w.WriteHeader(http.StatusCreated)
		w.Write(body)
	}
	for name, ca := range map[string]*devtls.Authority{"plain": nil, "tls": must(devtls.New())} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t, ca, http.HandlerFunc(echo))
			for _, size := range []int{0, 10, replayLimit, 3 * replayLimit} {
				r := request(t, "POST", p.entry.callers+"/orders/a%2Fb?x=1", strings.Repeat("x", size))
				r.Header.Set("Cookie", "basket=1")
				r.Host = "shop.example"
				resp, body, err := do(client(t, ca), r)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != http.StatusCreated || len(body) != size ||
					resp.Header.Get("X-Seen") != "POST /orders/a%2Fb?x=1 shop.example" ||
					resp.Header.Get("Set-Cookie") != "basket=1" {
					t.Fatalf("size %d: got %s, %d bytes, header %v", size, resp.Status, len(body), resp.Header)
				}
				if !await[*engine.RelayEnded](t, p.entry.machine).Whole {
					t.Fatal("a whole answer was reported as cut")
				}
			}
		})
	}
}

// Guards against an empty body that turns into an upload of unknown length,
// which costs a wait for 100 Continue at every hop.
func TestEmptyBodyStaysEmpty(t *testing.T) {
	p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 || r.Header.Get("Expect") != "" {
			t.Errorf("%s: upstream got length %d, Expect %q", r.Method, r.ContentLength, r.Header.Get("Expect"))
		}
	}))
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		resp, _, err := do(client(t, nil), request(t, method, p.entry.callers+"/x", ""))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
}
