// Package eventlog writes structured log lines without ever blocking the code that
// logs them.
//
// Lines pass through a bounded queue to a goroutine that writes them. Each kind of
// line has a rate limit. Lines beyond it, and lines for which the queue is full, are
// dropped and counted, and the next line of the kind carries the count. The volume is
// thus bounded, and a log shows that lines are missing, except for lines dropped after
// the last line of their kind and lines still queued when Close times out.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Kind is a category of lines that share a rate limit.
type Kind uint8

// The kinds Failed, Refused and Served are for lines about single requests. They have
// separate rate limits, so that served requests do not suppress the lines about failed
// ones.
const (
	Lifecycle   Kind = iota // start, stop and reload of the process, loss and recovery of its store
	Observation             // changes in what the process knows of the rest of the system
	Failed
	Refused
	Served

	numKinds
)

const (
	maxQueuedLines = 512

	// The rates limit the lines per second of each kind: 155 in total, or about 60 KB
	// per second at 400 bytes a line.
	lifecycleRate   = 20
	observationRate = 30
	failedRate      = 60
	refusedRate     = 40
	servedRate      = 5
)

var rates = [numKinds]float64{lifecycleRate, observationRate, failedRate, refusedRate, servedRate}

var kindNames = [numKinds]string{"lifecycle", "belief", "failed", "refused", "served"}

// String returns the name of the kind in the output, which is "belief" for Observation.
func (k Kind) String() string { return kindNames[k] }

// Log is a rate-limited, non-blocking log. It is safe for concurrent use.
type Log struct {
	lines   chan line     // queue of at most maxQueuedLines; closed by Close
	done    chan struct{} // closed after the last queued line is written
	mu      sync.Mutex    // guards closed and buckets; held while sending on lines or closing it
	closed  bool
	now     func() time.Time // time.Now except in tests
	buckets [numKinds]bucket
}

// bucket is the token bucket of one kind. Its capacity is one second of the rate.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int // lines dropped since the last one that was queued
}

type line struct {
	kind    Kind
	message string
	fields  []any
	at      time.Time
}

// New returns a log that writes JSON lines to w. Each line carries fields, which are
// alternating names and values.
func New(w io.Writer, fields ...any) *Log {
	l := &Log{lines: make(chan line, maxQueuedLines), done: make(chan struct{}), now: time.Now}
	for k := range l.buckets {
		l.buckets[k] = bucket{tokens: rates[k], refilledAt: l.now()}
	}
	out := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter}).With(fields...)
	go l.write(out)
	return l
}

// write writes queued lines until the channel is closed.
func (l *Log) write(out *log.Logger) {
	defer close(l.done)
	for ln := range l.lines {
		fields := append([]any{"at", ln.at.UTC().Format(time.RFC3339Nano), "kind", ln.kind.String()}, ln.fields...)
		switch ln.kind {
		case Failed, Refused:
			out.Warn(ln.message, fields...)
		default:
			out.Info(ln.message, fields...)
		}
	}
}

// Enabled reports whether the rate limit of a kind allows a line now, so that code can
// avoid building a line that would be dropped. If it returns false, the line is already
// counted as dropped.
func (l *Log) Enabled(k Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[k]
	b.refill(l.now(), rates[k])
	if b.tokens >= 1 {
		return true
	}
	b.dropped++
	return false
}

func (b *bucket) refill(now time.Time, rate float64) {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// Write queues a line; fields are alternating names and values. It never blocks: a
// line beyond the rate limit of its kind, or one for which the queue is full, is
// counted as dropped. After Close it does nothing.
func (l *Log) Write(k Kind, message string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	b := &l.buckets[k]
	now := l.now()
	b.refill(now, rates[k])
	if b.tokens < 1 {
		b.dropped++
		return
	}
	b.tokens--
	if b.dropped > 0 {
		fields = append(fields, "left_out", b.dropped)
	}
	select {
	case l.lines <- line{k, message, fields, now}:
		b.dropped = 0
	default:
		b.dropped++
	}
}

// writeDropped queues a line for each kind of which lines were dropped since the last one that
// was queued. l.mu must be held.
func (l *Log) writeDropped() {
	for k := range l.buckets {
		if l.buckets[k].dropped == 0 {
			continue
		}
		select {
		case l.lines <- line{Kind(k), "lines left out", []any{"left_out", l.buckets[k].dropped}, l.now()}:
		default: // the queue is full because nobody reads
		}
	}
}

// Close stops accepting lines and waits until the queued lines are written, but no
// longer than timeout.
func (l *Log) Close(timeout time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.writeDropped()
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}
