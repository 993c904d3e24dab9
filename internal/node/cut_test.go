package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a part of an answer without a length being taken for the answer, if the connection
// breaks while the upload is still written.
func TestAnswerCutDuringAnUpload(t *testing.T) {
	for name, reset := range map[string]bool{"closed with the upload unread": false, "reset": true} {
		p := startPair(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Body.Read(make([]byte, 1)) // asks for the upload with 100 Continue
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
		}))
		whole := 0
		for range 20 {
			r := newRequest(t, "POST", p.entry.callers+"/a", "")
			r.Body, r.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 4<<20)))), -1
			resp, body, err := doRequest(newClient(t, nil), r)
			if err == nil && resp.StatusCode == http.StatusOK {
				whole++
				t.Logf("%q", body)
			}
		}
		if whole > 0 {
			t.Errorf("%s: %d of 20 answers were taken for complete", name, whole)
		}
	}
}
