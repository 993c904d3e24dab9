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
	"cardamomhatch/internal/standin/malformed"
)

// Guards against an HTTP status or a broken connection that is reported as the wrong
// outcome: appended, not appended or unknown.
func TestHTTPClientErrors(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cutAfter := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	cases := []struct {
		name                 string
		handler              http.HandlerFunc
		wantAppend, wantRead error
	}{
		{"refused", respond(503, ""), logservice.ErrUnavailable, logservice.ErrUnavailable},
		{"rate limit", respond(429, ""), logservice.ErrUnavailable, logservice.ErrUnavailable},
		{"too large", respond(413, ""), logservice.ErrTooLarge, logservice.ErrUnavailable},
		{"server error", respond(500, ""), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"connection aborted", abort, logservice.ErrUnknown, logservice.ErrUnavailable},
		{"no offset", respond(201, `{}`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"malformed", respond(201, `{"off`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"append cut after the value", cutAfter(201, `{"offset":1}`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"read cut after the value", cutAfter(200, `{"records":[],"head":0}`), logservice.ErrUnknown, logservice.ErrUnavailable},
		{"gap", respond(200, `{"records":[{"offset":7}],"head":8}`), logservice.ErrUnknown, logservice.ErrUnavailable},
	}
	for _, c := range cases {
		server := httptest.NewServer(c.handler)
		client := logservice.NewHTTPClient(server.URL, nil)
		if _, err := client.Append(t.Context(), "s", []byte("x")); !errors.Is(err, c.wantAppend) {
			t.Errorf("%s: append: %v, want %v", c.name, err, c.wantAppend)
		}
		if _, err := client.Read(t.Context(), "s", 0, 1, 0); !errors.Is(err, c.wantRead) {
			t.Errorf("%s: read: %v, want %v", c.name, err, c.wantRead)
		}
		server.Close()
		// A new client has no pooled connection. On one that the server has just closed
		// the outcome would be unknown.
		client = logservice.NewHTTPClient(server.URL, nil)
		if _, err := client.Append(t.Context(), "s", []byte("x")); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("%s: append without a listener: %v, want ErrUnavailable", c.name, err)
		}
	}
}

// Guards against a malformed response being taken for a page of the log.
func TestMalformedResponses(t *testing.T) {
	for name, raw := range malformed.Responses(`{"records":[],"head":0}`) {
		if strings.Contains(name, "interim") {
			continue // net/http.Transport does not show the heads of interim responses
		}
		server := httptest.NewServer(malformed.Handler(raw))
		if page, err := logservice.NewHTTPClient(server.URL, nil).Read(t.Context(), "s", 0, 1, 0); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("%s: got page %+v and error %v, want ErrUnavailable", name, page, err)
		}
		server.Close()
	}
}

// Guards against a client and a log server that implement the protocol differently.
func TestHTTPClientAgainstLogServer(t *testing.T) {
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
		t.Fatalf("page %+v, error %v, want records 1 and 2 with first offset 1 and head 3", page, err)
	}
	var truncated *logservice.ErrTruncated
	if _, err := client.Read(t.Context(), "s/1", 0, 10, 0); !errors.As(err, &truncated) || truncated.First != 1 {
		t.Fatalf("read of a truncated record: %v, want ErrTruncated with first offset 1", err)
	}
	setFault := func(body string) int {
		resp, err := http.Post(listener.URL+"/fault", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if got := setFault(`{"outage":"sometimes"}`); got != http.StatusBadRequest {
		t.Errorf("unknown outage: status %d, want 400", got)
	}
	if got := setFault(`{"lose_replies":1}`); got != http.StatusNoContent {
		t.Errorf("lost response: status %d, want 204", got)
	}
	if _, err := client.Append(t.Context(), "s/1", []byte("d")); !errors.Is(err, logservice.ErrUnknown) || server.AppendCount() != 4 {
		t.Errorf("append with its response lost: %v, %d records appended, want ErrUnknown and 4 records", err, server.AppendCount())
	}
	if got := setFault(`{"outage":"refuse"}`); got != http.StatusNoContent {
		t.Errorf("outage: status %d, want 204", got)
	}
	if _, err := client.Append(t.Context(), "s/1", []byte("e")); !errors.Is(err, logservice.ErrUnavailable) || server.AppendCount() != 4 {
		t.Errorf("append during an outage: %v, %d records appended, want ErrUnavailable and 4 records", err, server.AppendCount())
	}
}
