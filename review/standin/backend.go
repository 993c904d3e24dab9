package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Backend stands in for one application backend. The last segment of a path states what a
// request costs: "w300-b5000" is 300 ms of work and 5,000 bytes of answer.
type Backend struct {
	ID, Service, Zone string
	Address           string
	Slots, Queue      int
	Record            *Record

	mu       sync.Mutex
	running  int
	waiting  int
	state    string
	sequence int
	born     int64
	control  string // the address for heartbeats
	slots    chan struct{}
	server   *http.Server
	stopped  chan struct{}
	quiet    chan struct{}     // closed when it sends no more heartbeats
	onServe  func(path string) // called when the backend begins to work; may be nil
}

func startBackend(b *Backend) *Backend {
	l := listen(b.Address)
	b.born = time.Now().UnixMilli()
	b.state = "ready"
	b.slots = make(chan struct{}, b.Slots)
	b.stopped, b.quiet = make(chan struct{}), make(chan struct{})
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
	return b
}

// announceTo sends heartbeats to the control address of the machine until the backend ends.
func (b *Backend) announceTo(control string) {
	b.control = control
	go func() {
		for {
			b.heartbeat()
			select {
			case <-b.stopped:
				return
			case <-b.quiet:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

var heartbeatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// heartbeat reports whether the node acknowledged the state of the backend.
func (b *Backend) heartbeat() bool { return b.post(b.nextHeartbeat()) }

// nextHeartbeat returns the body of a heartbeat.
func (b *Backend) nextHeartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": b.state, "cold_left": "0ms", "sequence": b.sequence, "born": b.born,
	})
	return body
}

// endHeartbeats ends the heartbeats and returns the last one, which has not been sent.
func (b *Backend) endHeartbeats() []byte {
	close(b.quiet)
	return b.nextHeartbeat()
}

// post sends a heartbeat and reports whether it was acknowledged.
func (b *Backend) post(body []byte) bool {
	resp, err := heartbeatClient.Post("http://"+b.control+"/rpc?call=instances.heartbeat&of="+b.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// drain reports "draining" until it is acknowledged and returns the time of that.
func (b *Backend) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for !b.heartbeat() {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Now()
}

// deregister reports that the backend leaves.
func (b *Backend) deregister() {
	b.mu.Lock()
	b.state = "leaving"
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": b.born})
	if resp, err := heartbeatClient.Post("http://"+b.control+"/rpc?call=instances.deregister&of="+b.ID, "application/json", bytes.NewReader(body)); err == nil {
		resp.Body.Close()
	}
}

// exit ends the backend at once: its connections are closed.
func (b *Backend) exit() {
	close(b.stopped)
	b.server.Close()
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.Slots)
	state := b.state
	b.mu.Unlock()
	w.Header().Set("Backend-Load", load)
	if r.URL.Path == "/healthz" {
		w.Header().Set("Backend-Id", b.ID)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("Backend-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	left, err := strconv.Atoi(r.Header.Get("Deadline-Remaining"))
	if err != nil {
		left = 60_000
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	io.Copy(io.Discard, r.Body)
	b.Record.add(event{Kind: "arrived", ID: id, At: time.Now(), Where: b.ID, Detail: "tenant=" + r.Header.Get("Tenant") + " path=" + r.URL.Path})
	if !b.enter(w, r.Context(), deadline.C) {
		return
	}
	defer b.leave()
	b.Record.add(event{Kind: "run", ID: id, At: time.Now(), Where: b.ID})
	if b.onServe != nil {
		b.onServe(r.URL.Path)
	}
	work, size := costOf(r.URL.Path)
	select {
	case <-time.After(work):
	case <-deadline.C:
		b.Record.add(event{Kind: "expired", ID: id, At: time.Now(), Where: b.ID})
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done(): // most backends drop a request when its connection closes
		b.Record.add(event{Kind: "dropped", ID: id, At: time.Now(), Where: b.ID})
		return
	}
	b.Record.add(event{Kind: "finished", ID: id, At: time.Now(), Where: b.ID})
	w.Header().Set("Response-Seal", b.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Write(bytes.Repeat([]byte("x"), size))
}

// enter waits for a slot. If it returns false, the request has been answered.
func (b *Backend) enter(w http.ResponseWriter, ctx context.Context, deadline <-chan time.Time) bool {
	b.mu.Lock()
	full := b.running >= b.Slots && b.waiting >= b.Queue
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	entered := false
	select {
	case b.slots <- struct{}{}:
		entered = true
	case <-deadline:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-ctx.Done():
	}
	b.mu.Lock()
	b.waiting--
	if entered {
		b.running++
	}
	b.mu.Unlock()
	return entered
}

func (b *Backend) leave() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	<-b.slots
}

// costOf reads the work and the size of the answer from a path.
func costOf(path string) (work time.Duration, size int) {
	ms := 0
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			fmt.Sscanf(path[i+1:], "w%d-b%d", &ms, &size)
			break
		}
	}
	return time.Duration(ms) * time.Millisecond, size
}
