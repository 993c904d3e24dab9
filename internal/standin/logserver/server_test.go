package logserver

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cardamomhatch/internal/logservice"
)

func appendN(t *testing.T, s *Server, n int) (taken int) {
	t.Helper()
	for range n {
		if _, err := s.Client().Append(t.Context(), "s", []byte("x")); err == nil {
			taken++
		} else if !errors.Is(err, logservice.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	return taken
}

// Guards against a stand-in that is kinder than the service: no ceiling on
// appends, or records kept beyond their age.
func TestCeilingAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{AppendsPerSecond: 100, RetainAge: time.Minute})
		if got := appendN(t, s, 150); got != 100 {
			t.Errorf("%d of 150 appends at once were taken, ceiling 100 a second", got)
		}
		time.Sleep(500 * time.Millisecond)
		if got := appendN(t, s, 150); got != 50 {
			t.Errorf("%d appends were taken half a second later, want 50", got)
		}
		time.Sleep(time.Minute)
		page, err := s.Client().Read(t.Context(), "s", 100, 1000, 0)
		if err != nil || page.First != 100 || page.Head != 150 {
			t.Errorf("after a minute: first %d, head %d, error %v; want 100, 150", page.First, page.Head, err)
		}
	})
}

// Guards against a long poll that misses a record, ends early, or reports a head
// as current while the service is out.
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
			t.Errorf("poll ended after %v with %d records, error %v", time.Since(start), len(page.Records), err)
		}
		page, err = s.Client().Read(t.Context(), "s", 1, 10, time.Second)
		if err != nil || len(page.Records) != 0 || page.Head != 1 || time.Since(start) != 1300*time.Millisecond {
			t.Errorf("empty poll ended after %v: %+v, error %v", time.Since(start), page, err)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			_ = s.SetFault(Fault{Outage: OutageRefuse})
		}()
		if _, err = s.Client().Read(t.Context(), "s", 1, 10, time.Second); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("poll across the start of an outage: %v", err)
		}
	})
}

// Guards against faults that do not show, or that change the log when they must
// not.
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
			t.Errorf("append while hanging: %v, %d taken", err, s.AppendCount())
		}
		go func() {
			time.Sleep(time.Second)
			set(Fault{DelayMs: 50})
		}()
		start := time.Now()
		if appendN(t, s, 1) != 1 || time.Since(start) != time.Second {
			t.Errorf("append across the end of an outage took %v", time.Since(start))
		}
		if appendN(t, s, 1) != 1 || time.Since(start) != 1050*time.Millisecond {
			t.Errorf("slow append ended after %v", time.Since(start))
		}
		set(Fault{LoseReplies: 1})
		if _, err := s.Client().Append(t.Context(), "s", nil); !errors.Is(err, logservice.ErrUnknown) || s.AppendCount() != 3 {
			t.Errorf("append with its reply lost: %v, %d taken", err, s.AppendCount())
		}
		if appendN(t, s, 1) != 1 {
			t.Error("more than one reply was lost")
		}
		if s.SetFault(Fault{Outage: "maybe"}) == nil || s.SetFault(Fault{DelayMs: -1}) == nil {
			t.Error("an undefined fault was accepted")
		}
	})
}
