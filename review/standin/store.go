package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's metadata store. It keeps each topic in one partition
// and serves the calls that a node makes: log-append, log-read and log-newest.
type Store struct {
	Address string

	mu       sync.Mutex
	topics   map[string][][]byte // records by topic; the index is the offset
	appended chan struct{}       // closed at the next append
}

// startStore starts a store.
func startStore(address string) *Store {
	l := listen(address)
	s := &Store{Address: address, topics: map[string][][]byte{}, appended: make(chan struct{})}
	go http.Serve(l, s)
	return s
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}

// Put appends a record to a keyed topic. The operator writes the configuration with it.
// The time of its return is the time of the store's acknowledgement.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(topic, [][]byte{append(record, value...)})
}

func (s *Store) append(topic string, records [][]byte) (first int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-read":
		s.serveRead(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, r, topic)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		http.Error(w, "{}", http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	var records [][]byte
	for err == nil && len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+n {
			err = io.ErrUnexpectedEOF
			break
		}
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	if err != nil || len(data) > 0 {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	first := s.append(topic, records)
	writeJSON(w, map[string]int{"offset": first, "end_offset": first + len(records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topics[topic], s.appended
		s.mu.Unlock()
		expired := false
		if from >= len(records) {
			select {
			case <-appended:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				expired = true
			}
		}
		if !expired && from >= len(records) {
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[min(from, len(records)):] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
		}
		w.Write(out)
		return
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := map[string]item{}
	for i, record := range s.topics[topic] {
		n := 1 + int(record[0])
		newest[string(record[1:n])] = item{string(record[1:n]), base64.StdEncoding.EncodeToString(record[n:]), i}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return strings.Compare(items[i].Key, items[j].Key) < 0 })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
