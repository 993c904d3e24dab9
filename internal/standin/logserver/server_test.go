package logserver

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/logservice"
)

// appendN appends n records and returns how many were accepted. The others must be
// refused as unavailable.
func appendN(t *testing.T, s *Server, n int) (accepted int) {
	t.Helper()
	for range n {
		if _, err := s.Client().Append(t.Context(), "s", []byte("x")); err == nil {
			accepted++
		} else if !errors.Is(err, logservice.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	return accepted
}

// Guards against a stand-in with weaker limits than the real service: no limit on
// appends per second, or records kept beyond their maximum age.
func TestCeilingAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{AppendsPerSecond: 100, RetainAge: time.Minute})
		if got := appendN(t, s, 150); got != 100 {
			t.Errorf("%d of 150 immediate appends were accepted, limit 100 per second", got)
		}
		time.Sleep(500 * time.Millisecond)
		if got := appendN(t, s, 150); got != 50 {
			t.Errorf("%d appends were accepted half a second later, want 50", got)
		}
		time.Sleep(time.Minute)
		page, err := s.Client().Read(t.Context(), "s", 100, 1000, 0)
		if err != nil || page.First != 100 || page.Head != 150 {
			t.Errorf("after a minute: first %d, head %d, error %v; want 100, 150", page.First, page.Head, err)
		}
	})
}

// Guards against a long poll that misses a record, ends early, or reports a current head
// during an outage.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		go func() {
			time.Sleep(300 * time.Millisecond)
			appendN(t, s, 1)
		}()
		start := time.Now()
		page, err := s.Client().Read(t.Context(), "s", 0, 10, time.Second)
		if err != nil || len(page.Records) != 1 || time.Since(start) != 300*time.Millisecond {
			t.Errorf("poll ended after %v with %d records, error %v; want 300 ms and one record", time.Since(start), len(page.Records), err)
		}
		page, err = s.Client().Read(t.Context(), "s", 1, 10, time.Second)
		if err != nil || len(page.Records) != 0 || page.Head != 1 || time.Since(start) != 1300*time.Millisecond {
			t.Errorf("empty poll ended %v after the start: %+v, error %v; want 1.3 s and head 1", time.Since(start), page, err)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			_ = s.SetFault(Fault{Outage: OutageRefuse})
		}()
		if _, err = s.Client().Read(t.Context(), "s", 1, 10, time.Second); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("error of a poll during which an outage starts: %v, want unavailable", err)
		}
	})
}

// Guards against faults that have no effect, and against faults that let a request
// change the log although it must not.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		set := func(f Fault) {
			t.Helper()
			if err := s.SetFault(f); err != nil {
				t.Fatal(err)
			}
		}
		set(Fault{Outage: OutageHang})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.Client().Append(ctx, "s", nil); !errors.Is(err, logservice.ErrUnknown) || s.AppendCount() != 0 {
			t.Errorf("append during an outage: error %v, %d records stored; want an unknown outcome and none", err, s.AppendCount())
		}
		go func() {
			time.Sleep(time.Second)
			set(Fault{DelayMs: 50})
		}()
		start := time.Now()
		if appendN(t, s, 1) != 1 || time.Since(start) != time.Second {
			t.Errorf("append that waits for the end of an outage took %v, want 1 s", time.Since(start))
		}
		if appendN(t, s, 1) != 1 || time.Since(start) != 1050*time.Millisecond {
			t.Errorf("append with a delay of 50 ms ended %v after the start, want 1.05 s", time.Since(start))
		}
		set(Fault{LoseReplies: 1})
		if _, err := s.Client().Append(t.Context(), "s", nil); !errors.Is(err, logservice.ErrUnknown) || s.AppendCount() != 3 {
			t.Errorf("append with a lost reply: error %v, %d records stored; want an unknown outcome and 3", err, s.AppendCount())
		}
		if appendN(t, s, 1) != 1 {
			t.Error("more than one reply was lost")
		}
		if s.SetFault(Fault{Outage: "maybe"}) == nil || s.SetFault(Fault{DelayMs: -1}) == nil {
			t.Error("an invalid fault was accepted")
		}
	})
}
