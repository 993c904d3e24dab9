package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/ratelimit"
	"cardamomhatch/internal/retry"
	"cardamomhatch/internal/standin/silence"
	"cardamomhatch/internal/upstream"
)

var dialect = Dialect{
	RequestID: "X-Request", Remaining: "X-Remaining", Key: "X-Key", Workspace: "X-Workspace", Caller: "X-Caller",
	Instance: "X-Instance", NotRun: "X-Unrun", Load: "X-Load", RateLimit: limitHeader, Leaving: leavingHeader, ProbeInstance: "X-Answerer", ProbeCold: "X-Cold",
	ParseLoad: func(value string) (Load, bool) {
		slowness, _ := strconv.Atoi(value) // zero if the value is not a number
		return Load{Slots: 8, Slowness: slowness}, true
	},
	ParseCold: func(value string) (time.Duration, bool) {
		left, err := time.ParseDuration(value)
		return left, err == nil
	},
	ParseRateLimit: func(value string) (float64, bool) {
		limit, err := strconv.ParseFloat(value, 64)
		return limit, err == nil
	},
}

// store is an in-memory source of declarations and directory of nodes.
type store struct {
	mu          sync.Mutex
	version     uint64
	declaration func(version uint64) catalog.Declaration
	end         uint64                // number of records of the operator
	declaredAt  uint64                // position after the newest declaration
	evacuations []evacuation.Entry    // all records about evacuations, oldest first
	changed     chan struct{}         // closed when the operator has written
	era         uint64                // zero: the store names none
	seenEras    map[string]uint64     // highest era that each host has seen
	writes      []time.Time           // of all published records
	records     map[string][]byte     // published records, by key
	unavailable map[string]bool       // hosts whose calls the store refuses; "" stands for all hosts
	silent      map[string]bool       // hosts whose reads the store does not answer
	reads       map[string]int        // reads of the declaration, by host
	openReads   map[int]chan struct{} // by number of the read; closed when its response is lost
	lastRead    int                   // number of the last read
	lostWrites  int                   // writes that the store does not answer from now on
}

func newStore(d func(uint64) catalog.Declaration) *store {
	return &store{version: 1, declaration: d, end: 1, declaredAt: 1, changed: make(chan struct{}), records: map[string][]byte{}, seenEras: map[string]uint64{}, unavailable: map[string]bool{}, silent: map[string]bool{}, reads: map[string]int{}, openReads: map[int]chan struct{}{}}
}

// loseOpenReads makes the store never respond to the reads that are open now.
func (s *store) loseOpenReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, lost := range s.openReads {
		close(lost)
		delete(s.openReads, number)
	}
}

// declare stores d as a new version of the declaration.
func (s *store) declare(d func(uint64) catalog.Declaration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.declaration = d
	s.append()
	s.declaredAt = s.end
}

// append counts a record of the operator. s.mu must be held.
func (s *store) append() {
	s.end++
	close(s.changed)
	s.changed = make(chan struct{})
}

// evacuate stores that a data centre is evacuated, or that it is taken back.
func (s *store) evacuate(dataCentre mesh.DataCentre, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append()
	s.evacuations = append(s.evacuations, evacuation.Entry{DataCentre: dataCentre, Evacuated: evacuated, At: evacuation.Position{Era: s.era, Offset: s.end}})
}

// rollback makes the store come back in a new era, from a copy that holds no record of a node or
// departure, and lacks the newest of the operator's evacuations.
func (s *store) rollback(lostEvacuations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records = map[string][]byte{}
	s.evacuations = s.evacuations[:len(s.evacuations)-lostEvacuations]
	s.end -= uint64(lostEvacuations)
	close(s.changed)
	s.changed = make(chan struct{})
}

// update returns what was written after the cursor. s.mu must be held.
func (s *store) update(after Cursor) Update {
	if after.Known && after.Era < s.era {
		return Update{} // the position is of another era
	}
	u := Update{Listed: !after.Known, Next: Cursor{Era: s.era, Offset: s.end, Known: true}}
	if !after.Known || s.declaredAt > after.Offset {
		u.Declaration = []byte(strconv.FormatUint(s.version, 10))
	}
	newest := map[mesh.DataCentre]evacuation.Entry{}
	for _, e := range s.evacuations {
		e.At.Era = s.era
		newest[e.DataCentre] = e
		if after.Known && e.At.Offset > after.Offset {
			u.Evacuations = append(u.Evacuations, e)
		}
	}
	for _, e := range newest {
		if u.Listed && e.Evacuated {
			u.Evacuations = append(u.Evacuations, e)
		}
	}
	return u
}

// storeClient gives the node on one host access to the store, as its Source and its
// Directory. The encoded form of a declaration is its version number in decimal.
type storeClient struct {
	*store
	host string
}

var errUnavailable = fmt.Errorf("store unavailable")

func (c storeClient) checkAvailable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable[""] || c.unavailable[c.host] {
		return errUnavailable
	}
	return nil
}

func (c storeClient) Next(ctx context.Context, after Cursor, wait time.Duration) (Update, error) {
	lost := make(chan struct{})
	c.mu.Lock()
	c.reads[c.host]++
	c.lastRead++
	number := c.lastRead
	c.openReads[number] = lost
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.openReads, number)
	}()
	for {
		if err := c.checkAvailable(); err != nil {
			return Update{}, err
		}
		c.mu.Lock()
		update, changed, silent := c.update(after), c.changed, c.silent[c.host]
		c.mu.Unlock()
		if silent {
			<-ctx.Done()
			return Update{}, ctx.Err()
		}
		c.SeeEra(update.Next.Era)
		if !after.Known || !update.Next.Known || update.Next.Offset > after.Offset {
			return update, nil
		}
		select {
		case <-changed:
		case <-lost:
			<-ctx.Done()
			return Update{}, ctx.Err()
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-time.After(wait):
			return Update{Next: after}, nil
		}
	}
}

func (c storeClient) Decode(raw []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return catalog.New(c.declaration(version))
}

func (c storeClient) SeeEra(era uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seenEras[c.host] = max(c.seenEras[c.host], era)
	return c.seenEras[c.host]
}

func (c storeClient) Publish(ctx context.Context, key string, record []byte) (uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	if c.lostWrites > 0 {
		c.lostWrites--
		c.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer c.mu.Unlock()
	c.records[key] = record
	c.writes = append(c.writes, time.Now())
	c.seenEras[c.host] = max(c.seenEras[c.host], c.era)
	return c.era, nil
}

func (c storeClient) List(context.Context) ([][]byte, uint64, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out [][]byte
	for _, record := range c.records {
		out = append(out, record)
	}
	c.seenEras[c.host] = max(c.seenEras[c.host], c.era)
	return out, c.era, nil
}

// host is one node and its local upstream.
type host struct {
	node            *Node
	callerAddress   string
	upstreamAddress string
	instance        string
	service         mesh.Service
	dataCentre      mesh.DataCentre
	slots           int
	log             *logBuffer
	peers           *silence.Listener
	mu              sync.Mutex
	runs            map[string]int // executions by request ID
	lastHeader      http.Header    // header of the last request that ran
	handle          func(h *host, w http.ResponseWriter, r *http.Request)
	state           upstream.State // in the announcements
	sequence        uint64         // of the last announcement
	coldUntil       time.Time      // in announcements and health responses
	announcesWarm   bool           // the announcements say that the upstream is warm, whatever coldUntil is
	healthProbes    int
	stopAnnouncing  func()
}

// logBuffer collects the log of one node.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the fields of each log line.
func (l *logBuffer) lines() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(l.b.String()) {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) == nil {
			out = append(out, fields)
		}
	}
	return out
}

// ServeHTTP is the handler of the upstream. It refuses a request meant for another
// instance, and counts and handles all others.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(dialect.RequestID)
	if want := r.Header.Get(dialect.Instance); want != "" && want != h.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.healthProbes++
		w.Header().Set(dialect.ProbeInstance, h.instance)
		w.Header().Set(dialect.ProbeCold, h.coldLeft().String())
		return
	}
	h.mu.Lock()
	h.runs[id]++
	h.lastHeader = r.Header.Clone()
	handle := h.handle
	h.mu.Unlock()
	w.Header().Set(dialect.RequestID, id)
	if handle != nil {
		handle(h, w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %d", h.instance, r.Method, r.RequestURI, len(body))
}

// runCount returns how often the upstream ran the request.
func (h *host) runCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// setHandler makes the upstream respond with f instead of a description of the request.
func (h *host) setHandler(f func(*host, http.ResponseWriter, *http.Request)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handle = f
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

var bounds = Bounds{
	Evacuate: 5 * time.Second,
	Drain:    time.Second, Heartbeat: time.Second,
	Retry: retry.BudgetConfig{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second},
	Quota: ratelimit.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	Cold:  ColdTolerance{Overage: 1.5, Slack: 8},
}

// startHost starts an upstream and the node next to it.
func startHost(t testing.TB, s *store, name string, service mesh.Service, slots int) *host {
	t.Helper()
	return startHostIn(t, s, "dc", name, service, slots)
}

// startHostIn does the same in the given data centre.
func startHostIn(t testing.TB, s *store, dataCentre mesh.DataCentre, name string, service mesh.Service, slots int) *host {
	t.Helper()
	h := &host{instance: "i-" + name, service: service, dataCentre: dataCentre, slots: slots, runs: map[string]int{}, log: &logBuffer{}}
	upstreamListener := listen(t)
	server := &http.Server{Handler: h}
	go server.Serve(upstreamListener)
	t.Cleanup(func() { server.Close() })
	h.upstreamAddress = upstreamListener.Addr().String()
	h.startNode(t, s, name)
	return h
}

// startNode starts the node next to the upstream and announces the upstream as ready.
func (h *host) startNode(t testing.TB, s *store, name string) {
	t.Helper()
	callers, peers := listen(t), &silence.Listener{Listener: listen(t)}
	h.peers = peers
	h.callerAddress = callers.Addr().String()
	log := eventlog.New(h.log, "host", name)
	h.node = New(Config{
		Self: mesh.Member{
			Node:       mesh.NodeID{Host: mesh.Host(name), Incarnation: mesh.Incarnation(time.Now().UnixNano())},
			DataCentre: h.dataCentre, Service: h.service, PeerAddress: peers.Addr().String(),
		},
		Claim: uint64(time.Now().UnixMilli()), // orders the incarnations on this host
		Seed:  7, UpstreamAddress: h.upstreamAddress,
		Listeners: Listeners{Callers: callers, Peers: peers}, Dialect: dialect,
		Source: storeClient{s, name}, Directory: storeClient{s, name}, Bounds: bounds, Log: log, Metrics: metrics.NewRegistry(),
	})
	h.node.Start()
	t.Cleanup(func() {
		h.node.shutdown()
		log.Close(time.Second)
	})
	h.startAnnouncing(t)
}

// startAnnouncing makes the upstream announce itself to the node regularly until the test
// ends or stopAnnouncing is called: a node takes an upstream that is silent for 2.5
// intervals for absent.
func (h *host) startAnnouncing(t testing.TB) {
	node := h.node
	stop := make(chan struct{})
	var wg sync.WaitGroup
	h.stopAnnouncing = sync.OnceFunc(func() { close(stop); wg.Wait() })
	t.Cleanup(h.stopAnnouncing)
	h.announceTo(node)
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(bounds.Heartbeat / 2):
				h.announceTo(node)
			}
		}
	})
}

// announce changes the state that the upstream announces, and announces it at once.
func (h *host) announce(state upstream.State) {
	h.mu.Lock()
	h.state = state
	h.mu.Unlock()
	h.announceTo(h.node)
}

func (h *host) announceTo(node *Node) {
	h.mu.Lock()
	h.sequence++
	left := h.coldLeft()
	if h.announcesWarm {
		left = 0
	}
	a := upstream.Announcement{
		Instance: h.instance, Service: h.service, Address: h.upstreamAddress, StartTime: 1, Sequence: h.sequence, State: h.state, Slots: h.slots,
		ColdLeft: left, ColdStated: true,
	}
	h.mu.Unlock()
	node.HandleAnnouncement(a)
}

const healthPath = "/health" // of the services that declare one

// coldLeft returns how much longer the upstream is cold. h.mu must be held.
func (h *host) coldLeft() time.Duration { return max(time.Until(h.coldUntil), 0) }

func shopDeclaration(version uint64) catalog.Declaration {
	return catalog.Declaration{
		Version: version,
		Routes: []catalog.Route{
			{Name: "read", Host: "shop", Prefix: "/read/", Services: []catalog.WeightedService{{Service: "web", Weight: 1}}, Idempotent: true, Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 3},
			{Name: "order", Host: "shop", Prefix: "/order/", Services: []catalog.WeightedService{{Service: "web", Weight: 1}}, Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2},
			{Name: "notify", Host: "shop", Prefix: "/notify/", Services: []catalog.WeightedService{{Service: "web", Weight: 1}}, AuthExempt: true, Timeout: time.Second, MaxAttempts: 2},
			{Name: "feed", Host: "shop", Prefix: "/feed/", Services: []catalog.WeightedService{{Service: "stock", Weight: 1}}, Idempotent: true, AuthExempt: true, Timeout: 2 * time.Second, MaxAttempts: 2},
		},
		Services:   []catalog.Service{{Name: "web"}, {Name: "stock"}},
		Workspaces: []catalog.Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2"}, RatePerSecond: 2, Burst: 2}},
	}
}

// response is the response that a caller received, or the error if there is none.
type response struct {
	status int
	body   string
	header http.Header
	closes bool // the node closes the connection after the response
	err    error
}

// call sends a request to the node's caller listener. The headers for caller and
// workspace are forged; the node must replace them.
func (h *host) call(id, method, path, key, body string) response {
	r, err := http.NewRequest(method, "http://"+h.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Host = "shop"
	r.Header.Set(dialect.RequestID, id)
	r.Header.Set(dialect.Remaining, "3000")
	r.Header.Set(dialect.Caller, "forged")
	r.Header.Set(dialect.Workspace, "forged")
	if key != "" {
		r.Header.Set(dialect.Key, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(data), resp.Header, resp.Close, err}
}

// eventually waits until f returns true, and fails the test after 15 s.
func eventually(t testing.TB, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not true within 15 s: %s", condition)
}

// startSmallMesh starts two web hosts and one stock host and waits until all nodes
// know each other.
func startSmallMesh(t testing.TB) (*store, *host, *host, *host) {
	t.Helper()
	s := newStore(shopDeclaration)
	a, b, c := startHost(t, s, "a", "web", 8), startHost(t, s, "b", "web", 8), startHost(t, s, "c", "stock", 8)
	waitForSmallMesh(t, a, b, c)
	return s, a, b, c
}

// waitForSmallMesh waits until all of the hosts know two web hosts and one stock host and
// have a declaration.
func waitForSmallMesh(t testing.TB, hosts ...*host) {
	t.Helper()
	waitForServices(t, map[mesh.Service]int{"web": 2, "stock": 1}, hosts...)
}

// waitForServices waits until all of the hosts know the given number of hosts of each service
// and have a declaration.
func waitForServices(t testing.TB, counts map[mesh.Service]int, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		eventually(t, fmt.Sprint("the host knows the nodes ", counts), func() bool {
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			for service, count := range counts {
				if len(h.node.roster.Members(h.node.now(), service)) != count {
					return false
				}
			}
			return h.node.current.Load() != nil
		})
	}
}
