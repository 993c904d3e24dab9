package node

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamomhatch/internal/devtls"
)

// plainForwarder forwards every request to target without any policy. It is
// the yardstick for the cost of a node.
func plainForwarder(b *testing.B, target string, toTarget, own *tls.Config) string {
	base := must(url.Parse(target))
	transport := newTransport()
	transport.MaxIdleConnsPerHost = peerIdlePerHost
	if toTarget != nil {
		transport.TLSClientConfig = toTarget.Clone()
		transport.TLSClientConfig.ServerName = "serving"
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI = ""
		out.URL.Scheme, out.URL.Host = base.Scheme, base.Host
		resp, err := transport.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		buffer := copyBuffers.Get().(*[copySize]byte)
		defer copyBuffers.Put(buffer)
		// Without ReadFrom, which would send header and body separately.
		io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, buffer[:])
	}))
	if own != nil {
		server.TLS = own.Clone()
		server.StartTLS()
	} else {
		server.Start()
	}
	b.Cleanup(server.Close)
	return server.URL
}

// path is one way to the upstream.
type path struct {
	url     string
	client  *http.Client
	elapsed []time.Duration
	cpu     time.Duration
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (p *path) call(b *testing.B) time.Duration {
	start := time.Now()
	r := must(http.NewRequest("GET", p.url+"/x?a=1", nil))
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, body, err := do(p.client, r)
	if err != nil || resp.StatusCode != http.StatusOK || len(body) != 2048 {
		b.Error(resp, len(body), err)
	}
	return time.Since(start)
}

// latencies makes calls one after the other.
func (p *path) latencies(b *testing.B, calls int) {
	for range calls {
		p.elapsed = append(p.elapsed, p.call(b))
	}
}

// load makes calls from several workers at once and adds up their CPU time.
func (p *path) load(b *testing.B, workers, calls int) {
	before := cpuTime()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range calls {
				p.call(b)
			}
		})
	}
	wg.Wait()
	p.cpu += cpuTime() - before
}

func (p *path) quantile(q float64) time.Duration {
	slices.Sort(p.elapsed)
	return p.elapsed[int(q*float64(len(p.elapsed)-1))]
}

func loadClient(b *testing.B, ca *devtls.Authority) *http.Client {
	c := client(b, ca)
	c.Transport.(*http.Transport).MaxIdleConnsPerHost = peerIdlePerHost
	return c
}

// BenchmarkTwoHops compares a call over two nodes with a direct call and with
// two policy-free forwarders, in rounds that alternate so that noise meets all
// three alike. CPU is that of the whole process: client, hops and upstream.
func BenchmarkTwoHops(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkTwoHops(b, nil) })
	b.Run("tls", func(b *testing.B) { benchmarkTwoHops(b, must(devtls.New())) })
}

func benchmarkTwoHops(b *testing.B, ca *devtls.Authority) {
	payload := make([]byte, 2048)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
		w.Write(payload)
	})
	upstream := httptest.NewServer(handler)
	b.Cleanup(upstream.Close)
	nodes := startPair(b, ca, handler)
	for _, n := range []*testNode{nodes.entry, nodes.serving} {
		n.Do(func() { n.machine.seen = nil })
	}
	var peerTLS, entryTLS *tls.Config
	if ca != nil {
		peerTLS = peerServerTLS(must(ca.Peer("serving")))
		entryTLS = must(ca.Server("entry"))
	}
	serving := plainForwarder(b, upstream.URL, nil, peerTLS)
	direct := &path{url: upstream.URL, client: loadClient(b, ca)}
	two := &path{url: nodes.entry.callers, client: loadClient(b, ca)}
	forwarders := &path{url: plainForwarder(b, serving, peerTLS, entryTLS), client: loadClient(b, ca)}
	paths := []*path{direct, two, forwarders}
	const workers, calls, sequential = 16, 40, 100
	for _, p := range paths {
		p.load(b, workers, calls) // warms connections
		p.cpu = 0
	}
	for b.Loop() {
		for _, p := range paths {
			p.latencies(b, sequential)
			p.load(b, workers, calls)
		}
	}
	total := float64(b.N * workers * calls)
	micros := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	b.ReportMetric(micros(two.cpu)/total, "cpu-µs/call")
	b.ReportMetric(float64(two.cpu)/float64(forwarders.cpu), "cpu/forwarders")
	b.ReportMetric(float64(two.cpu-direct.cpu)/float64(forwarders.cpu-direct.cpu), "hopcpu/forwarders")
	b.ReportMetric(micros(two.quantile(0.5)-direct.quantile(0.5)), "added-p50-µs")
	b.ReportMetric(micros(two.quantile(0.99)-direct.quantile(0.99)), "added-p99-µs")
	b.ReportMetric(micros(forwarders.quantile(0.99)-direct.quantile(0.99)), "forwarders-p99-µs")
}
