package dev

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

	"cardamomhatch/internal/examples"
)

const benchConnections = 64

func benchTransport(secure *tls.Config) *http.Transport {
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: benchConnections,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10, TLSClientConfig: secure,
	}
}

// plainForwarder forwards every request to target without any policy, with
// connections like those of a node. It is the yardstick for the cost of a node.
func plainForwarder(b *testing.B, target string, toTarget, own *tls.Config) string {
	base, err := url.Parse(target)
	if err != nil {
		b.Fatal(err)
	}
	transport := benchTransport(toTarget)
	b.Cleanup(transport.CloseIdleConnections)
	buffers := sync.Pool{New: func() any { return new([32 << 10]byte) }}
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
		buffer := buffers.Get().(*[32 << 10]byte)
		defer buffers.Put(buffer)
		// Without ReadFrom, which would send header and body separately.
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, buffer[:])
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
	key     string
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
	r, err := http.NewRequest("GET", p.url+"/items/1?a=1", nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	if got := send(p.client, r); got.err != nil || got.status != http.StatusOK || len(got.body) != payload {
		b.Error(got)
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

const payload = 2048

// BenchmarkTwoHops compares a call over two nodes with a direct call and with
// two policy-free forwarders, in rounds that alternate so that noise meets all
// three alike. CPU is that of the whole process: client, hops, upstream, and the
// control plane of the nodes.
func BenchmarkTwoHops(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkTwoHops(b, false) })
	b.Run("tls", func(b *testing.B) { benchmarkTwoHops(b, true) })
}

func benchmarkTwoHops(b *testing.B, secure bool) {
	body := make([]byte, payload)
	m := startMesh(b, func(o *Options) {
		o.TLS = secure
		o.Upstreams = []examples.UpstreamGroup{
			{Service: "shop", Count: 1, Slots: 200, Connections: 400},
			{Service: "stock", Count: 1, Slots: 200, Connections: 400},
		}
		o.Serve = func(*Host, http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(payload))
				_, _ = w.Write(body)
			})
		}
	})
	serving, entry := m.Hosts[0], m.Hosts[1]
	var peerServer, peerClient, entryTLS, clientTLS *tls.Config
	if secure {
		peer, err := m.authority.Peer(serving.Name)
		if err != nil {
			b.Fatal(err)
		}
		peerServer, peerClient = peer.Clone(), peer.Clone()
		peerServer.ClientAuth = tls.RequireAndVerifyClientCert
		peerClient.ServerName = string(serving.Name)
		if entryTLS, err = m.authority.Server(entry.Name); err != nil {
			b.Fatal(err)
		}
		clientTLS = &tls.Config{RootCAs: m.authority.CertPool(), ServerName: string(entry.Name)}
	}
	newPath := func(url string) *path {
		transport := benchTransport(clientTLS)
		b.Cleanup(transport.CloseIdleConnections)
		return &path{url: url, key: m.Keys["anna"], client: &http.Client{Transport: transport}}
	}
	direct, two := newPath(serving.UpstreamURL), newPath(entry.CallerURL)
	forwarders := newPath(plainForwarder(b, plainForwarder(b, serving.UpstreamURL, nil, peerServer), peerClient, entryTLS))
	compare(b, direct, two, forwarders)
}

func compare(b *testing.B, direct, two, forwarders *path) {
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
