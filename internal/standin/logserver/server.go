// Package logserver is a stand-in for the platform's log service: append-only
// streams in memory with offsets, long polling, retention and a limit on appends per
// second. Faults of the real service can be injected, so that tests and experiments can
// show how the nodes behave during them.
package logserver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cardamomhatch/internal/logservice"
)

// Outage is a kind of outage of the whole server.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // rejects all requests immediately
	OutageHang   Outage = "hang"   // blocks all requests until the outage ends
)

// Fault describes the injected faults.
type Fault struct {
	Outage Outage `json:"outage"`
	// DelayMs delays every request by this number of milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of appends, from now on, that take effect but whose
	// reply is lost; -1 loses the replies to all appends.
	LoseReplies int `json:"lose_replies"`
}

// Config holds the limits of a server. Zero values select the defaults.
type Config struct {
	AppendsPerSecond int           // default 300
	RetainRecords    int           // records kept per stream; 0 keeps all
	RetainAge        time.Duration // maximum age of the records that are kept; 0 keeps all
	MaxRecordBytes   int           // default 64 MiB
	MaxPageBytes     int           // record bytes per read, exceeded only by a single record; default 16 MiB
}

const (
	defaultAppendsPerSecond = 300
	defaultMaxRecordBytes   = 64 << 20
	defaultMaxPageBytes     = 16 << 20
)

type storedRecord struct {
	data     []byte
	storedAt time.Time
}

type stream struct {
	first    uint64 // offset of records[0]
	records  []storedRecord
	appended chan struct{} // closed by the next append
}

// Server is an in-memory log service. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu           sync.Mutex
	streams      map[string]*stream
	fault        Fault
	faultChanged chan struct{} // closed by the next SetFault
	tokens       float64       // in the token bucket that limits appends
	refilledAt   time.Time
	appends      uint64
}

// New returns a server without records and faults.
func New(cfg Config) *Server {
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = defaultAppendsPerSecond
	}
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = defaultMaxRecordBytes
	}
	if cfg.MaxPageBytes == 0 {
		cfg.MaxPageBytes = defaultMaxPageBytes
	}
	return &Server{
		cfg:          cfg,
		streams:      map[string]*stream{},
		faultChanged: make(chan struct{}),
		tokens:       float64(cfg.AppendsPerSecond),
		refilledAt:   time.Now(),
	}
}

// SetFault replaces the injected faults. They also apply to requests that OutageHang
// blocks.
func (s *Server) SetFault(f Fault) error {
	if f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang {
		return fmt.Errorf("outage %q is neither empty nor refuse nor hang", f.Outage)
	}
	if f.DelayMs < 0 || f.LoseReplies < -1 {
		return fmt.Errorf("delay of %d ms or %d lost replies is below its minimum", f.DelayMs, f.LoseReplies)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
	return nil
}

// AppendCount returns the number of records stored since the start.
func (s *Server) AppendCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// applyFault delays, blocks or rejects a request according to the current fault.
func (s *Server) applyFault(ctx context.Context) error {
	s.mu.Lock()
	delay := time.Duration(s.fault.DelayMs) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	for {
		s.mu.Lock()
		outage, changed := s.fault.Outage, s.faultChanged
		s.mu.Unlock()
		switch outage {
		case OutageNone:
			return nil
		case OutageRefuse:
			return logservice.ErrUnavailable
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// append stores a record. If replyLost is set, the reply must not reach the client.
func (s *Server) append(ctx context.Context, name string, data []byte) (offset uint64, replyLost bool, err error) {
	if len(data) > s.cfg.MaxRecordBytes {
		return 0, false, logservice.ErrTooLarge
	}
	if err := s.applyFault(ctx); err != nil {
		return 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.takeToken(now) {
		return 0, false, fmt.Errorf("%w: more than %d appends a second", logservice.ErrUnavailable, s.cfg.AppendsPerSecond)
	}
	st := s.stream(name)
	offset = st.first + uint64(len(st.records))
	st.records = append(st.records, storedRecord{data: slices.Clone(data), storedAt: now})
	s.appends++
	close(st.appended)
	st.appended = make(chan struct{})
	s.applyRetention(st, now)
	replyLost = s.fault.LoseReplies != 0
	if s.fault.LoseReplies > 0 {
		s.fault.LoseReplies--
	}
	return offset, replyLost, nil
}

// takeToken counts an append against the limit, a token bucket that holds the appends of
// one second. It returns false if the bucket is empty.
func (s *Server) takeToken(now time.Time) bool {
	limit := float64(s.cfg.AppendsPerSecond)
	s.tokens = min(limit, s.tokens+now.Sub(s.refilledAt).Seconds()*limit)
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// stream returns the stream of that name. It creates the stream if there is none.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyRetention drops the records beyond the retention limits.
func (s *Server) applyRetention(st *stream, now time.Time) {
	dropCount := 0
	if s.cfg.RetainRecords > 0 {
		dropCount = max(0, len(st.records)-s.cfg.RetainRecords)
	}
	if s.cfg.RetainAge > 0 {
		for dropCount < len(st.records) && now.Sub(st.records[dropCount].storedAt) > s.cfg.RetainAge {
			dropCount++
		}
	}
	// Reslicing avoids a copy of the remaining records per append: they are only
	// copied when the slice next grows.
	clear(st.records[:dropCount])
	st.records = st.records[dropCount:]
	st.first += uint64(dropCount)
}

// read returns a page of records from an offset on. If there is none yet, it waits for
// the first record, up to wait.
func (s *Server) read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	if err := s.applyFault(ctx); err != nil {
		return logservice.Page{}, err
	}
	deadline := time.After(wait)
	for {
		page, appended, err := s.page(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return logservice.Page{}, ctx.Err()
		case <-deadline:
			return s.pageAtTimeout(name, from, limit)
		case <-appended:
			if err := s.applyFault(ctx); err != nil {
				return logservice.Page{}, err
			}
		}
	}
}

// pageAtTimeout returns the page for a long poll that timed out. If an outage began
// during the poll, it returns an error, because the page could look current but be old.
func (s *Server) pageAtTimeout(name string, from uint64, limit int) (logservice.Page, error) {
	s.mu.Lock()
	outage := s.fault.Outage != OutageNone
	s.mu.Unlock()
	if outage {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	page, _, err := s.page(name, from, limit)
	return page, err
}

// page returns at most limit records from an offset on, and a channel that is closed by
// the next append to the stream.
func (s *Server) page(name string, from uint64, limit int) (logservice.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.applyRetention(st, time.Now())
	page := logservice.Page{First: st.first, Head: st.first + uint64(len(st.records))}
	if from < page.First {
		return logservice.Page{}, nil, &logservice.ErrTruncated{First: page.First}
	}
	size := 0
	for offset := from; offset < page.Head && len(page.Records) < limit; offset++ {
		data := st.records[offset-st.first].data
		size += len(data)
		if size > s.cfg.MaxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, logservice.Record{Offset: offset, Data: data})
	}
	return page, st.appended, nil
}
