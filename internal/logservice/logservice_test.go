package logservice_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/standin/logserver"
)

// Guards against an HTTP status or a broken connection that is reported as the
// wrong one of taken, not taken and unknown.
func TestHTTPClientErrors(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name         string
		handler      http.HandlerFunc
		append, read error
	}{
		{"refused", reply(503, ""), logservice.ErrUnavailable, logservice.ErrUnavailable},
		{"ceiling", reply(429, ""), logservice.ErrUnavailable, logservice.ErrUnavailable},
		{"too large", reply(413, ""), logservice.ErrTooLarge, logservice.ErrUnavailable},
		{"server error", reply(500, ""), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"cut off", abort, logservice.ErrUnknown, logservice.ErrUnavailable},
		{"no offset", reply(201, `{}`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"malformed", reply(201, `{"off`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"gap", reply(200, `{"records":[{"offset":7}],"head":8}`), logservice.ErrUnknown, logservice.ErrUnavailable},
	}
	for _, c := range cases {
		server := httptest.NewServer(c.handler)
		client := logservice.NewHTTPClient(server.URL, nil)
		if _, err := client.Append(t.Context(), "s", []byte("x")); !errors.Is(err, c.append) {
			t.Errorf("%s: append: %v, want %v", c.name, err, c.append)
		}
		if _, err := client.Read(t.Context(), "s", 0, 1, 0); !errors.Is(err, c.read) {
			t.Errorf("%s: read: %v, want %v", c.name, err, c.read)
		}
		server.Close()
		// A new client: on a pooled connection that the server has just closed the
		// outcome is truly unknown.
		client = logservice.NewHTTPClient(server.URL, nil)
		if _, err := client.Append(t.Context(), "s", []byte("x")); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("%s: append without a listener: %v", c.name, err)
		}
	}
}

// Guards against a client and a server that disagree on the protocol.
func TestHTTPClientWithStandIn(t *testing.T) {
	server := logserver.New(logserver.Config{RetainRecords: 2})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	client := logservice.NewHTTPClient(listener.URL, nil)
	for i, data := range []string{"a", "b", "c"} {
		offset, err := client.Append(t.Context(), "s/1", []byte(data))
		if err != nil || offset != uint64(i) {
			t.Fatalf("append %d: offset %d, error %v", i, offset, err)
		}
	}
	page, err := client.Read(t.Context(), "s/1", 1, 10, 0)
	if err != nil || page.First != 1 || page.Head != 3 || len(page.Records) != 2 || !slices.Equal(page.Records[1].Data, []byte("c")) {
		t.Fatalf("page %+v, error %v", page, err)
	}
	var truncated *logservice.ErrTruncated
	if _, err := client.Read(t.Context(), "s/1", 0, 10, 0); !errors.As(err, &truncated) || truncated.First != 1 {
		t.Fatalf("read of a truncated record: %v", err)
	}
	fault := func(body string) int {
		resp, err := http.Post(listener.URL+"/fault", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if got := fault(`{"outage":"sometimes"}`); got != http.StatusBadRequest {
		t.Errorf("unknown outage: status %d", got)
	}
	if got := fault(`{"lose_replies":1}`); got != http.StatusNoContent {
		t.Errorf("lost reply: status %d", got)
	}
	if _, err := client.Append(t.Context(), "s/1", []byte("d")); !errors.Is(err, logservice.ErrUnknown) || server.AppendCount() != 4 {
		t.Errorf("append with its reply lost: %v, %d records taken", err, server.AppendCount())
	}
	if got := fault(`{"outage":"refuse"}`); got != http.StatusNoContent {
		t.Errorf("outage: status %d", got)
	}
	if _, err := client.Append(t.Context(), "s/1", []byte("e")); !errors.Is(err, logservice.ErrUnavailable) || server.AppendCount() != 4 {
		t.Errorf("append during an outage: %v, %d records taken", err, server.AppendCount())
	}
}
