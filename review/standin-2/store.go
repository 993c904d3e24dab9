package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store. It serves the calls that the
// program makes: appends, reads with a wait, and the newest record of each key.
type Store struct {
	lab    *Lab
	mu     sync.Mutex
	topics map[string][][]byte // records of partition 0
	open   map[string]int      // reads that wait, by the address at which the machine reaches the store
}

func newStore(l *Lab) *Store {
	return &Store{lab: l, topics: map[string][][]byte{}}
}

// Put writes a record with a key, as the operator does.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], append([]byte{byte(len(key))}, key+value...))
	s.lab.Log("store: %s %s is written and acknowledged, %d bytes", topic, key, len(value))
}

func (s *Store) records(topic string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond) // the usual time of an answer
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, topic, body)
	case "/log-read":
		s.read(w, r, topic)
	case "/log-newest":
		s.newest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, topic string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	first := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": first, "end_offset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for len(s.records(topic)) <= from && time.Now().Before(end) && r.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	records := s.records(topic)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
	}
	_, _ = w.Write(out)
}

func (s *Store) newest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	records := s.records(topic)
	last := map[string]int{}
	for i, record := range records {
		last[string(record[1:1+int(record[0])])] = i
	}
	items := []item{}
	for i, record := range records {
		key := string(record[1 : 1+int(record[0])])
		if value := record[1+int(record[0]):]; last[key] == i && len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
