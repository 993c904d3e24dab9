package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a standard output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A reader that stops must not stop the requests, and what is kept for it must
// not grow.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	s := stuck{make(chan struct{})}
	l := New(s)
	done := make(chan struct{})
	go func() {
		for range 100_000 {
			l.Write(Failed, "request failed", "request", "x")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocks")
	}
	if n := len(l.lines); n > bufferLines {
		t.Errorf("%d lines are kept", n)
	}
	close(s.release)
	l.Close(time.Second)
}

// safeBuffer is a buffer that a test may read while the log writes.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Lines beyond the rate are counted, and none of another kind is displaced.
func TestLineRateIsBounded(t *testing.T) {
	var out safeBuffer
	l := New(&out)
	now := time.Unix(0, 0)
	l.now = func() time.Time { return now }
	for k := range l.groups {
		l.groups[k].at = now
	}
	const seconds, each = 5, 200
	for range seconds {
		for range each {
			l.Write(Served, "request answered")
			l.Write(Failed, "request failed")
		}
		now = now.Add(time.Second)
		time.Sleep(20 * time.Millisecond) // for the writer
	}
	l.Write(Served, "request answered")
	l.Write(Failed, "request failed")
	l.Close(time.Second)
	lines := map[string]int{}
	accounted := map[string]int{}
	for line := range strings.Lines(out.b.String()) {
		var one struct {
			Kind    string `json:"kind"`
			LeftOut int    `json:"left_out"`
		}
		if err := json.Unmarshal([]byte(line), &one); err != nil {
			t.Fatalf("%q is no JSON: %v", line, err)
		}
		lines[one.Kind]++
		accounted[one.Kind] += 1 + one.LeftOut
	}
	for kind, most := range map[string]int{"served": (seconds+1)*servedMax + 1, "failed": (seconds+1)*failedMax + 1} {
		if lines[kind] > most || lines[kind] == 0 {
			t.Errorf("%d lines of kind %s, want 1 to %d", lines[kind], kind, most)
		}
		if want := seconds*each + 1; accounted[kind] != want {
			t.Errorf("%d lines of kind %s are accounted for, want %d", accounted[kind], kind, want)
		}
	}
}
