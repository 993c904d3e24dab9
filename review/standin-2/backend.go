package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	drain             = 2 * time.Second // the bound of the deployment
)

// Backend is a stand-in for the application back end of one machine.
type Backend struct {
	node  *Node
	lab   *Lab
	ID    string
	Slots int
	Work  time.Duration // of one request; see setWork

	born     int64
	sequence atomic.Int64
	leaving  atomic.Bool
	server   *http.Server
	slots    chan struct{}
	stop     chan struct{} // ends the heartbeats
	once     sync.Once
	mu       sync.Mutex
	runs     []run
}

// run is one request that the back end has begun to work on.
type run struct {
	id       string
	at       time.Time
	complete bool
}

// NewBackend starts a back end that serves at the address of the machine. Announce starts its
// heartbeats.
func (l *Lab) NewBackend(n *Node, id string, slots int, work time.Duration) *Backend {
	b := &Backend{node: n, lab: l, ID: id, Slots: slots, Work: work, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), stop: make(chan struct{})}
	return b
}

// Listen begins to serve.
func (b *Backend) Listen() {
	listener, err := net.Listen("tcp", b.node.App())
	if err != nil {
		b.lab.Fail("back end %s: %v", b.ID, err)
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }() // ends with Exit
	b.lab.Log("back end %s of %s starts at %s", b.ID, b.node.Service, b.node.App())
}

// health answers the health check and reports whether the request was one.
func (b *Backend) health(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/healthz" {
		return false
	}
	w.Header().Set("Backend-Id", b.ID)
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", len(b.slots), b.Slots))
	if b.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return true
}

// rejects answers a request that is for another instance or has no id.
func (b *Backend) rejects(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.ID {
		b.lab.Log("back end %s: %s expects %s, 421", b.ID, r.Header.Get("Attempt-Id"), expected)
		w.Header().Set("Backend-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if r.Header.Get("Attempt-Id") == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	return false
}

// answerHeader sets the headers of an answer.
func (b *Backend) answerHeader(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Response-Seal", "seal."+b.ID+"."+id)
	h.Set("Backend-Load", fmt.Sprintf("%d,0,%d", len(b.slots), b.Slots))
	if b.leaving.Load() {
		h.Set("Connection", "close")
	}
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if b.health(w, r) || b.rejects(w, r) {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
	default:
		b.lab.Log("back end %s: %s rejected, all slots in use", b.ID, id)
		b.answerHeader(w, id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Remaining")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	b.mu.Lock()
	index := len(b.runs)
	b.runs = append(b.runs, run{id: id, at: time.Now()})
	b.mu.Unlock()
	b.lab.Log("back end %s runs %s (%s %s, caller %s, %s ms left)", b.ID, id, r.Method, r.URL.Path, r.Header.Get("Caller-Service"), r.Header.Get("Deadline-Remaining"))
	status := b.work(ctx)
	if r.Context().Err() != nil {
		b.lab.Log("back end %s drops %s: its connection has closed", b.ID, id)
		return
	}
	b.mu.Lock()
	b.runs[index].complete = status == http.StatusOK
	b.mu.Unlock()
	b.lab.Detail("back end %s answers %s with %d", b.ID, id, status)
	b.answerHeader(w, id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, strings.Repeat("x", 1000))
}

// work works until the deadline at the latest.
func (b *Backend) work(ctx context.Context) int {
	select {
	case <-time.After(b.workTime()):
		return http.StatusOK
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
}

// Announce sends a heartbeat each heartbeatInterval, until Exit.
func (b *Backend) Announce() {
	go func() {
		for {
			b.Heartbeat()
			select {
			case <-time.After(heartbeatInterval):
			case <-b.stop:
				return
			}
		}
	}()
}

// Heartbeat sends one heartbeat and returns the status of the answer, zero for none within a
// second.
func (b *Backend) Heartbeat() int {
	state := "ready"
	if b.leaving.Load() {
		state = "draining"
	}
	sequence := b.sequence.Add(1)
	status := b.post("instances.heartbeat", fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left":"0ms","sequence":%d,"born":%d}`,
		b.node.Service, b.node.App(), b.node.Zone, b.Slots, state, sequence, b.born))
	b.lab.Log("back end %s: heartbeat %d, %s, answered %d", b.ID, sequence, state, status)
	return status
}

// Deregister says that the back end is gone.
func (b *Backend) Deregister() int {
	status := b.post("instances.deregister", fmt.Sprintf(`{"born":%d}`, b.born))
	b.lab.Log("back end %s: deregisters, answered %d", b.ID, status)
	return status
}

// post makes a call of the back end to the node beside it.
func (b *Backend) post(call, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return post(ctx, "http://"+b.node.Control()+"/rpc?call="+call+"&of="+b.ID, body)
}

func post(ctx context.Context, url, body string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Leave reports that the back end drains, until that is acknowledged, and returns the time of
// the acknowledgement.
func (b *Backend) Leave() time.Time {
	b.leaving.Store(true)
	for range 10 {
		if status := b.Heartbeat(); status >= 200 && status < 300 {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.lab.Fail("back end %s: no node acknowledges that it drains", b.ID)
	return time.Time{}
}

// Exit ends the back end. Its connections are reset or closed.
func (b *Backend) Exit() {
	b.once.Do(func() {
		close(b.stop)
		b.server.Close()
		b.lab.Log("back end %s exits", b.ID)
	})
}

// runsAfter returns the requests that the back end began to run after a time.
func (b *Backend) runsAfter(t time.Time) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// ran reports whether the back end has begun to run a request.
func (b *Backend) ran(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.runs, func(r run) bool { return r.id == id })
}

// setWork changes the time that a request takes.
func (b *Backend) setWork(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Work = d
}

func (b *Backend) workTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Work
}
