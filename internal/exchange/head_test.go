package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// malformedHeads holds heads that are no answer, by what is wrong with them.
var malformedHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 Broken\r\nContent-Length: 5\r\n\r\nwrong",
	"status 000 before an answer":  "HTTP/1.1 000 Broken\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"status 099 before an answer":  "HTTP/1.1 099 Broken\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"status with a sign":           "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"status 600":                   "HTTP/1.1 600 Broken\r\nContent-Length: 5\r\n\r\nwrong",
	"status of two digits":         "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"blank in a name":              "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 5\r\n\r\nwrong",
	"blank before the colon":       "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwrong and more",
	"blank in the name of interim": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 5\r\n\r\nwrong",
	"NUL in a name":                "HTTP/1.1 200 OK\r\nX\x00: z\r\nContent-Length: 5\r\n\r\nwrong",
	"tab before the colon":         "HTTP/1.1 200 OK\r\nX\t: z\r\nContent-Length: 5\r\n\r\nwrong",
	"no name":                      "HTTP/1.1 200 OK\r\n: z\r\nContent-Length: 5\r\n\r\nwrong",
	"no colon":                     "HTTP/1.1 200 OK\r\nXY\r\nContent-Length: 5\r\n\r\nwrong",
}

// An upstream in trouble sends a head that is no answer. It must fail the exchange as one whose
// request may have run, not be skipped or passed on with a body that is not the upstream's.
func TestMalformedHeads(t *testing.T) {
	for name, raw := range malformedHeads {
		address, _ := startUpstream(t, func(_ int, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, raw)
			return false
		})
		r := newGet("1")
		r.Matches = nil
		body, err := fetch(t, New(Config{Address: address, DialTimeout: time.Second}), r)
		var failure *Failure
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%s: got body %q and error %v, want a failure of a request that was sent", name, body, err)
		}
	}
}

// The same heads must fail where net/http's own client reads the answer.
func TestMalformedHeadsWithStrict(t *testing.T) {
	for name, raw := range malformedHeads {
		if strings.Contains(raw, "103") {
			continue // net/http.Transport does not show the heads of interim answers
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			io.WriteString(conn, raw)
		}))
		client := &http.Client{Transport: Strict(&http.Transport{})}
		if resp, err := client.Get(server.URL); err == nil {
			resp.Body.Close()
			t.Errorf("%s: got status %q and no error", name, resp.Status)
		}
		server.Close()
	}
}
