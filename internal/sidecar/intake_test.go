package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/catalog"
	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/intake"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/peer"
	"cardamomhatch/internal/roster"
)

func limitedDeclaration(version uint64) catalog.Declaration {
	d := shopDeclaration(version)
	d.Limits = catalog.Limits{MaxHeader: 16 << 10, MaxBody: 64 << 20}
	for i := range d.Routes {
		d.Routes[i].Timeout = 20 * time.Second // a body of 64 MiB takes its time with the race detector
	}
	return d
}

// startLimitedMesh starts two web hosts and returns a third host, whose requests all go
// through another node.
func startLimitedMesh(t testing.TB) (entry *host, serving []*host) {
	t.Helper()
	s := newStore(limitedDeclaration)
	a, b, c := startHost(t, s, "a", "web", 8), startHost(t, s, "b", "web", 8), startHost(t, s, "c", "stock", 8)
	waitForSmallMesh(t, a, b, c)
	return c, []*host{a, b}
}

func rawHead(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: shop\r\n" + dialect.RequestID + ": " + id + "\r\n" + dialect.Remaining + ": 20000\r\n" + dialect.Key + ": k1\r\n"
}

// exchangeRaw sends text and returns the responses that follow it on the connection.
func exchangeRaw(t *testing.T, conn net.Conn, text io.Reader, responses int) []response {
	t.Helper()
	go io.Copy(conn, text) // fails if the node closes the connection, which the responses show
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	reader := bufio.NewReader(conn)
	var out []response
	for range responses {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(out, response{err: err})
		}
		body, err := io.ReadAll(resp.Body)
		out = append(out, response{resp.StatusCode, string(body), resp.Header, resp.Close, err})
	}
	return out
}

func dialCaller(t *testing.T, h *host) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against limits that refuse a client which uses the declared limits fully: a head of
// 16 KiB with the shortest lines, twice on one connection, and bodies of 64 MiB with a length
// and in chunks.
func TestDeclaredLimitsMayBeUsedFully(t *testing.T) {
	entry, _ := startLimitedMesh(t)
	conn := dialCaller(t, entry)
	for i := range 2 {
		head := rawHead("GET", "/read/1", "full"+strconv.Itoa(i))
		head += strings.Repeat("a:\n", (16<<10-len(head)-2)/3) + "\r\n"
		got := exchangeRaw(t, conn, strings.NewReader(head), 1)[0]
		if got.status != http.StatusOK || !strings.HasSuffix(got.body, " GET /read/1 0") {
			t.Errorf("request %d with a head of %d bytes: %+v", i, len(head), got)
		}
	}
	const size = 64 << 20
	for name, length := range map[string]int64{"length": size, "chunks": -1} {
		r, err := http.NewRequest("POST", "http://"+entry.callerAddress+"/order/1", io.LimitReader(zeros{}, size))
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = "shop", length
		r.Header.Set(dialect.RequestID, "body-"+name)
		r.Header.Set(dialect.Remaining, "20000")
		r.Header.Set(dialect.Key, "k1")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), fmt.Sprint(" ", size)) {
			t.Errorf("body with %s: %s %.100q, %v", name, resp.Status, body, err)
		}
	}
}

// zeros is an endless source of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against pipelined requests that are refused or lost, and against charges that remain
// after the requests.
func TestPipelinedRequests(t *testing.T) {
	entry, _ := startLimitedMesh(t)
	var text strings.Builder
	const requests = 50
	for i := range requests {
		text.WriteString(rawHead("GET", "/read/"+strconv.Itoa(i), "pipelined"+strconv.Itoa(i)) + "\r\n")
	}
	conn := dialCaller(t, entry)
	for i, r := range exchangeRaw(t, conn, strings.NewReader(text.String()), requests) {
		if want := fmt.Sprintf(" GET /read/%d 0", i); r.status != http.StatusOK || !strings.HasSuffix(r.body, want) {
			t.Fatalf("request %d: %+v, want a body that ends in %q", i, r, want)
		}
	}
	conn.Close()
	eventually(t, "nothing is charged", func() bool {
		entry.node.limits.mu.Lock()
		defer entry.node.limits.mu.Unlock()
		descriptors, held, _ := entry.node.limits.budget.Usage(intake.Callers)
		return descriptors == 0 && held == 0
	})
}

// Guards against heads over the limit that are accepted, refusals of them that do not say
// that the request has not run, and limits of which an operator sees nothing.
func TestHeadOverTheLimit(t *testing.T) {
	entry, serving := startLimitedMesh(t)
	conn := dialCaller(t, entry)
	got := exchangeRaw(t, conn, strings.NewReader(rawHead("POST", "/order/1", "over")+strings.Repeat("x: "+strings.Repeat("y", 95)+"\r\n", 500)), 1)[0]
	if got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %+v, want status 431", got)
	}
	if r, ok := outcome.Parse(got.header); !ok || r.Execution != outcome.NotRun {
		t.Errorf("the refusal is %+v, want one that says that the request has not run", r)
	}
	if n := serving[0].runCount("over") + serving[1].runCount("over"); n != 0 {
		t.Errorf("the request ran %d times", n)
	}
	eventually(t, "a line tells of the refused head", func() bool {
		for _, line := range entry.log.lines() {
			if line["msg"] == "clients limited" && line["head-too-long"] == 1.0 && line["last_client"] == "127.0.0.1" {
				return true
			}
		}
		return false
	})
	if n := metrics.GetOrRegisterCounter("intake.callers.closed.head-too-long", entry.node.cfg.Metrics).Count(); n != 1 {
		t.Errorf("%d refused heads are counted, want 1", n)
	}
}

// Guards against bodies that stop short of their end and keep their request for longer than
// its caller waits, with a length and in chunks, buffered and streamed.
func TestBodyThatStops(t *testing.T) {
	entry, serving := startLimitedMesh(t)
	for name, text := range map[string]string{
		"short":    "Content-Length: 10\r\n\r\n123",
		"chunks":   "Transfer-Encoding: chunked\r\n\r\n3\r\n123\r\n",
		"streamed": "Content-Length: 1000000\r\n\r\n" + strings.Repeat("b", 999_999),
	} {
		head := strings.Replace(rawHead("POST", "/order/1", "stops-"+name), "20000", "500", 1)
		got := exchangeRaw(t, dialCaller(t, entry), strings.NewReader(head+text), 1)[0]
		if got.err == nil && got.status < http.StatusInternalServerError {
			t.Errorf("%s: got %+v, want a refusal or a closed connection", name, got)
		}
		if r, ok := outcome.Parse(got.header); ok && r.Execution == outcome.NotRun && serving[0].runCount("stops-"+name)+serving[1].runCount("stops-"+name) > 0 {
			t.Errorf("%s: the request ran although the refusal says that it has not", name)
		}
	}
	eventually(t, "no request is open", func() bool { return entry.node.openRequests.Load() == 0 })
}

// Guards against callers that read slowly and so keep the slots of the upstream, with answers
// that are buffered and ones that are passed on while they are read.
func TestSlowReadersKeepNoSlots(t *testing.T) {
	s := newStore(shopDeclaration)
	h := startHost(t, s, "a", "web", 2)
	waitForServices(t, map[mesh.Service]int{"web": 1}, h)
	for _, size := range []int{60 << 10, 8 << 20} {
		h.setHandler(func(_ *host, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/large" {
				w.Write(make([]byte, size))
			}
		})
		for i := range 2 {
			conn := dialCaller(t, h)
			conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			io.WriteString(conn, rawHead("GET", "/read/large", fmt.Sprintf("slow-%d-%d", size, i))+"\r\n")
		}
		eventually(t, "another request is answered", func() bool {
			return h.call("other", "GET", "/read/1", "k1", "").status == http.StatusOK
		})
	}
}

// Guards against control messages of any announced length that take memory before they arrive,
// and against large messages of other nodes that are refused meanwhile.
func TestLargeControlMessages(t *testing.T) {
	n := New(Config{Self: mesh.Member{Node: mesh.NodeID{Host: "a", Incarnation: 1}}, Source: storeClient{newStore(shopDeclaration), "a"}, Log: eventlog.New(io.Discard), Metrics: metrics.NewRegistry()})
	l := listen(t)
	n.serve(intake.Peers, l, http.HandlerFunc(n.servePeer))
	t.Cleanup(n.shutdown)
	for range 40 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "CONNECT /rpc HTTP/1.0\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect}); err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "\xfd\x90\x00\x00") // a message of 9 MB that does not come
	}
	const messages = 3
	acknowledged := make(chan struct{}, 100)
	client := peer.NewClient(peer.Config{
		Self: mesh.NodeID{Host: "b", Incarnation: 1}, Metrics: metrics.NewRegistry(),
		Acknowledged: func(mesh.NodeID) { acknowledged <- struct{}{} },
	})
	defer client.Close()
	to := mesh.Member{Node: mesh.NodeID{Host: "a", Incarnation: 1}, PeerAddress: l.Addr().String()}
	for sent, end := 0, time.Now().Add(30*time.Second); sent < messages; {
		client.Send(to, mesh.Envelope{From: mesh.NodeID{Host: "b", Incarnation: 1}, To: to.Node, Message: roster.Declaration{Version: 1, Raw: make([]byte, 8<<20)}})
		select {
		case <-acknowledged:
			sent++
		case <-time.After(4 * time.Second): // the sender's timeout is 2 s
			t.Log("a message was not acknowledged at the first attempt")
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d messages were received within 30 s", sent, messages)
		}
	}
}

// Guards against input that ends the process or leaves charges behind: anything that a client
// sends, whether it is HTTP or not.
func FuzzCallerConnection(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\na: b\r\n\r\n\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
	f.Add(strings.Repeat("a:\n", 20_000))
	f.Add("CONNECT /rpc HTTP/1.0\r\n\r\n\x01\x02\xff")
	log := eventlog.New(io.Discard)
	n := New(Config{Log: log, Metrics: metrics.NewRegistry()})
	n.limits.setCallerHeadLimit(4 << 10)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	n.serve(intake.Callers, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{node: n, w: w, r: r, conn: clientConnOf(r)}
		if c.readBody() == nil {
			c.conn.bodyRead()
			w.Write(c.body)
		}
	}))
	f.Cleanup(func() { n.servers[0].Close() })
	f.Fuzz(func(t *testing.T, text string) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, text) // fails if the node closes the connection
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		io.Copy(io.Discard, conn)
		conn.Close()
		for range 1000 {
			n.limits.mu.Lock()
			descriptors, held, _ := n.limits.budget.Usage(intake.Callers)
			n.limits.mu.Unlock()
			if descriptors == 0 && held == 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("charges remain after %q", text)
	})
}
