package logservice_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/standin/logserver"
)

// minRetryWait is the shortest pause between two attempts of AppendOnce.
const minRetryWait = 50 * time.Millisecond

// folded is a state that has folded everything before next.
type folded struct {
	mu     sync.Mutex
	next   uint64
	tokens map[string]uint64
}

func (f *folded) set(next uint64, tokens map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.tokens = next, tokens
}

func (f *folded) Next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

func (f *folded) Find(token string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset, ok := f.tokens[token]
	return offset, ok
}

// mishap is a client whose appends fail in a scripted way.
type mishap struct {
	logservice.Client
	script  []string // per append: lost, late or ok
	late    [][]byte // records that take effect after the next search
	appends int
}

func (m *mishap) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	step := m.script[min(m.appends, len(m.script)-1)]
	m.appends++
	switch step {
	case "lost": // took effect, reply lost
		if _, err := m.Client.Append(ctx, stream, data); err != nil {
			return 0, err
		}
		return 0, logservice.ErrUnknown
	case "late": // takes effect after the appender has searched
		m.late = append(m.late, data)
		return 0, logservice.ErrUnknown
	case "refused":
		return 0, logservice.ErrUnavailable
	}
	for _, d := range m.late {
		if _, err := m.Client.Append(ctx, stream, d); err != nil {
			return 0, err
		}
	}
	m.late = nil
	return m.Client.Append(ctx, stream, data)
}

// Guards against an unknown append that is resolved by a blind second append,
// and against one whose record reaches the log with other bytes or never.
func TestAppendOnce(t *testing.T) {
	cases := []struct {
		name    string
		script  []string
		appends int // calls of the client
		copies  int // records in the log
		offset  uint64
		err     error
	}{
		{"taken", []string{"ok"}, 1, 1, 3, nil},
		{"reply lost", []string{"lost"}, 1, 1, 3, nil},
		{"late instead of lost", []string{"late", "ok"}, 2, 2, 4, nil},
		{"refused", []string{"refused"}, 1, 0, 0, logservice.ErrUnavailable},
		{"unknown, then refused", []string{"late", "refused"}, -1, 0, 0, logservice.ErrUnknown},
		{"unknown, then lost", []string{"late", "lost"}, 2, 1, 3, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := logserver.New(logserver.Config{})
				for range 3 {
					if _, err := server.Client().Append(t.Context(), "config", []byte("other")); err != nil {
						t.Fatal(err)
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				client := &mishap{Client: server.Client(), script: c.script}
				offset, err := logservice.AppendOnce(ctx, client, "config", "t1", []byte("mine"), &folded{next: 2})
				if !errors.Is(err, c.err) || offset != c.offset {
					t.Fatalf("offset %d, error %v; want offset %d, error %v", offset, err, c.offset, c.err)
				}
				if c.appends >= 0 && client.appends != c.appends {
					t.Errorf("%d appends, want %d", client.appends, c.appends)
				}
				page, err := server.Client().Read(t.Context(), "config", 3, 100, 0)
				if err != nil || len(page.Records) != c.copies {
					t.Fatalf("log holds %d copies, want %d (error %v)", len(page.Records), c.copies, err)
				}
				for _, r := range page.Records {
					if string(r.Data) != "mine" {
						t.Errorf("log holds %q", r.Data)
					}
				}
			})
		})
	}
}

// Guards against an append that is never resolved when the log has truncated the
// records in question and the state knows the token from a snapshot.
func TestAppendOnceAfterTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := logserver.New(logserver.Config{RetainRecords: 2})
		state := &folded{}
		client := &mishap{Client: server.Client(), script: []string{"lost"}}
		go func() {
			time.Sleep(minRetryWait / 2) // after the append, before the search
			for range 5 {
				_, _ = server.Client().Append(context.Background(), "config", []byte("other"))
			}
			time.Sleep(time.Second)
			state.set(6, map[string]uint64{"t1": 0})
		}()
		offset, err := logservice.AppendOnce(t.Context(), client, "config", "t1", []byte("mine"), state)
		if err != nil || offset != 0 || client.appends != 1 {
			t.Fatalf("offset %d after %d appends, error %v", offset, client.appends, err)
		}
	})
}

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
	if _, err := client.Append(t.Context(), "s/1", []byte("d")); !errors.Is(err, logservice.ErrUnknown) || server.Appends() != 4 {
		t.Errorf("append with its reply lost: %v, %d records taken", err, server.Appends())
	}
	if got := fault(`{"outage":"refuse"}`); got != http.StatusNoContent {
		t.Errorf("outage: status %d", got)
	}
	if _, err := client.Append(t.Context(), "s/1", []byte("e")); !errors.Is(err, logservice.ErrUnavailable) || server.Appends() != 4 {
		t.Errorf("append during an outage: %v, %d records taken", err, server.Appends())
	}
}
