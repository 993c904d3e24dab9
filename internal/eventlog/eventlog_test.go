package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until release is closed, like a standard output
// that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// An output that is no longer read must not block Write, and with it the requests that
// log, and the queue must not grow beyond its limit meanwhile.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := New(w)
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
		t.Fatal("Write did not return within 20 s while the output was blocked")
	}
	if n := len(l.lines); n > maxQueuedLines {
		t.Errorf("%d lines are queued, want at most maxQueuedLines", n)
	}
	close(w.release)
	l.Close(time.Second)
}

// safeBuffer is a buffer whose Write method is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Lines beyond the rate limit must be counted, and lines of one kind must not use up the
// rate of another.
func TestLineRateIsBounded(t *testing.T) {
	var out safeBuffer
	l := New(&out)
	now := time.Unix(0, 0)
	l.now = func() time.Time { return now }
	for k := range l.buckets {
		l.buckets[k].refilledAt = now // New has set it from the real clock
	}
	const seconds, perSecond = 5, 200
	for range seconds {
		for range perSecond {
			l.Write(Served, "request answered")
			l.Write(Failed, "request failed")
		}
		now = now.Add(time.Second)
		time.Sleep(20 * time.Millisecond) // lets the writing goroutine empty the queue
	}
	// One more line of each kind carries the count of the lines dropped before it.
	l.Write(Served, "request answered")
	l.Write(Failed, "request failed")
	l.Close(time.Second)
	lines := map[string]int{}
	accountedLines := map[string]int{}
	for line := range strings.Lines(out.b.String()) {
		var entry struct {
			Kind    string `json:"kind"`
			Dropped int    `json:"left_out"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("%q is not JSON: %v", line, err)
		}
		lines[entry.Kind]++
		accountedLines[entry.Kind] += 1 + entry.Dropped
	}
	// maxLines allows for the full buckets at the start and for the line after the loop.
	for kind, maxLines := range map[string]int{"served": (seconds+1)*servedRate + 1, "failed": (seconds+1)*failedRate + 1} {
		if lines[kind] > maxLines || lines[kind] == 0 {
			t.Errorf("%d lines of kind %s, want 1 to %d", lines[kind], kind, maxLines)
		}
		if want := seconds*perSecond + 1; accountedLines[kind] != want {
			t.Errorf("%d lines of kind %s are accounted for, want %d", accountedLines[kind], kind, want)
		}
	}
}

// The lines that were left out last must be counted in the log, too, when it is closed: no
// later line of their kind carries the number.
func TestCloseCountsTheLinesLeftOut(t *testing.T) {
	var out safeBuffer
	l := New(&out)
	const written = 100
	for range written {
		l.Write(Lifecycle, "event")
	}
	l.Close(time.Second)
	total := 0
	for line := range strings.Lines(out.b.String()) {
		var entry struct {
			Message string `json:"msg"`
			Dropped int    `json:"left_out"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("%q is not JSON: %v", line, err)
		}
		total += entry.Dropped
		if entry.Message == "event" {
			total++
		}
	}
	if total != written {
		t.Errorf("%d of %d lines are written or counted as left out", total, written)
	}
}
