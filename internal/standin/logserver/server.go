// Package logserver is a stand-in for the platform's log service: append-only
// streams in memory with offsets, long poll, retention and a ceiling on appends
// a second. It can be made to fail in the ways the real service fails, so that
// tests and experiments can show what the nodes do then.
package logserver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cardamomhatch/internal/logservice"
)

// Outage is how the server fails to serve.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // answer at once that the request is not taken
	OutageHang   Outage = "hang"   // take no request and answer none until the outage ends
)

// Fault is what is wrong with the server at present.
type Fault struct {
	Outage Outage `json:"outage"`
	// DelayMs is added to every request, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of appends from now on that take effect but whose
	// reply is lost; -1 loses every reply.
	LoseReplies int `json:"lose_replies"`
}

// Config sets the limits of a server. Zero values select the defaults.
type Config struct {
	AppendsPerSecond int           // default 300
	RetainRecords    int           // records kept per stream; 0 keeps all
	RetainAge        time.Duration // age up to which records are kept; 0 keeps all
	MaxRecordBytes   int           // default 64 MiB
	MaxPageBytes     int           // record bytes of one read; default 16 MiB, but at least one record
}

const (
	defaultAppendsPerSecond = 300
	defaultMaxRecordBytes   = 64 << 20
	defaultMaxPageBytes     = 16 << 20
)

type storedRecord struct {
	data []byte
	at   time.Time
}

type stream struct {
	first   uint64 // offset of records[0]
	records []storedRecord
	grown   chan struct{} // closed by the next append
}

// Server is a log service in memory. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu       sync.Mutex
	streams  map[string]*stream
	fault    Fault
	changed  chan struct{} // closed when the fault changes
	allowed  float64       // appends that may be taken now
	refilled time.Time
	appends  uint64
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
		cfg:      cfg,
		streams:  map[string]*stream{},
		changed:  make(chan struct{}),
		allowed:  float64(cfg.AppendsPerSecond),
		refilled: time.Now(),
	}
}

// SetFault replaces the present fault. Requests that hang go on if the new fault
// permits it.
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
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// AppendCount returns how many records were taken since the start.
func (s *Server) AppendCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// enter delays or refuses a request as the present fault demands.
func (s *Server) enter(ctx context.Context) error {
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
		outage, changed := s.fault.Outage, s.changed
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

// append takes a record. lost tells that the reply must not reach the client.
func (s *Server) append(ctx context.Context, name string, data []byte) (offset uint64, lost bool, err error) {
	if len(data) > s.cfg.MaxRecordBytes {
		return 0, false, logservice.ErrTooLarge
	}
	if err := s.enter(ctx); err != nil {
		return 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.takeAllowance(now) {
		return 0, false, fmt.Errorf("%w: more than %d appends a second", logservice.ErrUnavailable, s.cfg.AppendsPerSecond)
	}
	st := s.stream(name)
	offset = st.first + uint64(len(st.records))
	st.records = append(st.records, storedRecord{data: slices.Clone(data), at: now})
	s.appends++
	close(st.grown)
	st.grown = make(chan struct{})
	s.trim(st, now)
	lost = s.fault.LoseReplies != 0
	if s.fault.LoseReplies > 0 {
		s.fault.LoseReplies--
	}
	return offset, lost, nil
}

// takeAllowance counts an append against the ceiling: a token bucket that holds
// one second's worth.
func (s *Server) takeAllowance(now time.Time) bool {
	ceiling := float64(s.cfg.AppendsPerSecond)
	s.allowed = min(ceiling, s.allowed+now.Sub(s.refilled).Seconds()*ceiling)
	s.refilled = now
	if s.allowed < 1 {
		return false
	}
	s.allowed--
	return true
}

func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// trim drops the records that retention no longer keeps.
func (s *Server) trim(st *stream, now time.Time) {
	drop := 0
	if s.cfg.RetainRecords > 0 {
		drop = max(0, len(st.records)-s.cfg.RetainRecords)
	}
	if s.cfg.RetainAge > 0 {
		for drop < len(st.records) && now.Sub(st.records[drop].at) > s.cfg.RetainAge {
			drop++
		}
	}
	// The next growth of the slice copies only what is kept, so that dropping
	// does not cost a copy per append.
	clear(st.records[:drop])
	st.records = st.records[drop:]
	st.first += uint64(drop)
}

// read returns a page, waiting up to wait for a first record.
func (s *Server) read(ctx context.Context, name string, from uint64, max int, wait time.Duration) (logservice.Page, error) {
	if err := s.enter(ctx); err != nil {
		return logservice.Page{}, err
	}
	deadline := time.After(wait)
	for {
		page, grown, err := s.page(name, from, max)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return logservice.Page{}, ctx.Err()
		case <-deadline:
			return s.lastPage(name, from, max)
		case <-grown:
			if err := s.enter(ctx); err != nil {
				return logservice.Page{}, err
			}
		}
	}
}

// lastPage answers a long poll that ends. An outage that began during the poll
// must not be answered with a page that looks current.
func (s *Server) lastPage(name string, from uint64, max int) (logservice.Page, error) {
	s.mu.Lock()
	out := s.fault.Outage != OutageNone
	s.mu.Unlock()
	if out {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	page, _, err := s.page(name, from, max)
	return page, err
}

func (s *Server) page(name string, from uint64, limit int) (logservice.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.trim(st, time.Now())
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
	return page, st.grown, nil
}
