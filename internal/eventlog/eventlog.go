// Package eventlog writes structured lines about decisions without ever
// blocking the code that decides.
//
// Lines go through a bounded buffer to a writer of their own. Under load, lines
// of one kind beyond its rate are counted instead, and the next line of the kind
// carries the count, so that the volume is bounded and nothing is lost silently.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Kind groups lines that share a rate.
type Kind uint8

// The kinds. Failures have a rate of their own, so that lines about requests that
// were served do not use it up.
const (
	Lifecycle Kind = iota // start, stop, reload, dependencies
	Observation                // what the process believes has changed
	Failed                // requests that failed
	Refused               // requests that were refused
	Served                // requests that were served

	numKinds
)

const (
	bufferLines = 512
	// The rates bound the lines a second of each kind: 155 in all, or about 60 KB
	// at 400 bytes a line.
	lifecycleMax = 20
	beliefMax    = 30
	failedMax    = 60
	refusedMax   = 40
	servedMax    = 5
)

var rates = [numKinds]float64{lifecycleMax, beliefMax, failedMax, refusedMax, servedMax}

var kindNames = [numKinds]string{"lifecycle", "belief", "failed", "refused", "served"}

// String returns the name used in lines.
func (k Kind) String() string { return kindNames[k] }

// Log is a bounded log. It is safe for concurrent use.
type Log struct {
	lines  chan line
	done   chan struct{}
	mu     sync.Mutex
	closed bool
	now    func() time.Time
	groups [numKinds]group
}

type group struct {
	tokens  float64
	at      time.Time
	leftOut int // lines not written since the last one
}

type line struct {
	kind    Kind
	message string
	fields  []any
	at      time.Time
}

// New returns a log that writes JSON lines to w.
func New(w io.Writer, fields ...any) *Log {
	l := &Log{lines: make(chan line, bufferLines), done: make(chan struct{}), now: time.Now}
	for k := range l.groups {
		l.groups[k] = group{tokens: rates[k], at: l.now()}
	}
	out := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter}).With(fields...)
	go l.write(out)
	return l
}

func (l *Log) write(out *log.Logger) {
	defer close(l.done)
	for one := range l.lines {
		fields := append([]any{"at", one.at.UTC().Format(time.RFC3339Nano), "kind", one.kind.String()}, one.fields...)
		switch one.kind {
		case Failed, Refused:
			out.Warn(one.message, fields...)
		default:
			out.Info(one.message, fields...)
		}
	}
}

// Enabled reports whether a line of the kind would be written now, so that a
// caller can leave out the work of making one. A line left out is counted.
func (l *Log) Enabled(k Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.groups[k]
	g.refill(l.now(), rates[k])
	if g.tokens >= 1 {
		return true
	}
	g.leftOut++
	return false
}

func (g *group) refill(now time.Time, rate float64) {
	g.tokens = min(rate, g.tokens+rate*now.Sub(g.at).Seconds())
	g.at = now
}

// Write queues a line. It never blocks: a line beyond the rate of its kind, or
// one that finds the buffer full, is counted as left out.
func (l *Log) Write(k Kind, message string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	g := &l.groups[k]
	now := l.now()
	g.refill(now, rates[k])
	if g.tokens < 1 {
		g.leftOut++
		return
	}
	g.tokens--
	if g.leftOut > 0 {
		fields = append(fields, "left_out", g.leftOut)
	}
	select {
	case l.lines <- line{k, message, fields, now}:
		g.leftOut = 0
	default:
		g.leftOut++
	}
}

// Close writes what is queued, for as long as limit at most.
func (l *Log) Close(limit time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
