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

const maxIdleConnsPerHost = 64

// benchTransport returns a transport with the buffer sizes and the limit on idle
// connections that nodes use.
func benchTransport(tlsConfig *tls.Config) *http.Transport {
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnsPerHost,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10, TLSClientConfig: tlsConfig,
	}
}

// plainForwarder starts a proxy that forwards every request to target without any
// policy, with the same connection settings as a node. It is the baseline for the cost
// of a node.
func plainForwarder(b *testing.B, target string, clientTLS, serverTLS *tls.Config) string {
	base, err := url.Parse(target)
	if err != nil {
		b.Fatal(err)
	}
	transport := benchTransport(clientTLS)
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
		// Hides ReadFrom, which would send header and body in separate writes.
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, buffer[:])
	}))
	if serverTLS != nil {
		server.TLS = serverTLS.Clone()
		server.StartTLS()
	} else {
		server.Start()
	}
	b.Cleanup(server.Close)
	return server.URL
}

// path is one way to reach the upstream, with the measurements taken on it.
type path struct {
	url     string
	key     string
	client  *http.Client
	samples []time.Duration // latencies of sequential calls
	cpu     time.Duration   // CPU time of the process during concurrent calls
}

// cpuTime returns the user and system CPU time that the process has used.
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
	if got := sendOnce(p.client, r); got.err != nil || got.status != http.StatusOK || len(got.body) != payloadBytes {
		b.Error(got)
	}
	return time.Since(start)
}

// measureLatency makes sequential calls and records their latency.
func (p *path) measureLatency(b *testing.B, calls int) {
	for range calls {
		p.samples = append(p.samples, p.call(b))
	}
}

// measureCPU makes calls from several concurrent workers and adds up the CPU time that
// the process uses meanwhile.
func (p *path) measureCPU(b *testing.B, workers, callsPerWorker int) {
	before := cpuTime()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range callsPerWorker {
				p.call(b)
			}
		})
	}
	wg.Wait()
	p.cpu += cpuTime() - before
}

func (p *path) quantile(q float64) time.Duration {
	slices.Sort(p.samples)
	return p.samples[int(q*float64(len(p.samples)-1))]
}

const payloadBytes = 2048

// BenchmarkTwoHops compares a call through two nodes with a direct call and with a call
// through two plain forwarders. The three alternate in every round, so that noise
// affects them equally. CPU time is that of the whole process: client, hops, upstream,
// and the control plane of the nodes.
func BenchmarkTwoHops(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkTwoHops(b, false) })
	b.Run("tls", func(b *testing.B) { benchmarkTwoHops(b, true) })
}

func benchmarkTwoHops(b *testing.B, secure bool) {
	body := make([]byte, payloadBytes)
	m := startMesh(b, func(o *Options) {
		o.TLS = secure
		o.Upstreams = []examples.UpstreamGroup{
			{Service: "shop", Count: 1, Slots: 200, Connections: 400},
			{Service: "stock", Count: 1, Slots: 200, Connections: 400},
		}
		o.WrapUpstream = func(*Host, http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(payloadBytes))
				_, _ = w.Write(body)
			})
		}
	})
	serving, entry := m.Hosts[0], m.Hosts[1]
	var peerServer, peerClient, entryTLS, clientTLS *tls.Config
	if secure {
		peer, err := m.authority.PeerConfig(serving.Name)
		if err != nil {
			b.Fatal(err)
		}
		peerServer, peerClient = peer.Clone(), peer.Clone()
		peerServer.ClientAuth = tls.RequireAndVerifyClientCert
		peerClient.ServerName = string(serving.Name)
		if entryTLS, err = m.authority.ServerConfig(entry.Name); err != nil {
			b.Fatal(err)
		}
		clientTLS = &tls.Config{RootCAs: m.authority.CertPool(), ServerName: string(entry.Name)}
	}
	newPath := func(url string) *path {
		transport := benchTransport(clientTLS)
		b.Cleanup(transport.CloseIdleConnections)
		return &path{url: url, key: m.Keys["anna"], client: &http.Client{Transport: transport}}
	}
	direct, nodes := newPath(serving.UpstreamURL), newPath(entry.CallerURL)
	forwarders := newPath(plainForwarder(b, plainForwarder(b, serving.UpstreamURL, nil, peerServer), peerClient, entryTLS))
	comparePaths(b, direct, nodes, forwarders)
}

func comparePaths(b *testing.B, direct, nodes, forwarders *path) {
	paths := []*path{direct, nodes, forwarders}
	const workers, callsPerWorker, sequentialCalls = 16, 40, 100
	for _, p := range paths {
		p.measureCPU(b, workers, callsPerWorker) // warms connections
		p.cpu = 0
	}
	for b.Loop() {
		for _, p := range paths {
			p.measureLatency(b, sequentialCalls)
			p.measureCPU(b, workers, callsPerWorker)
		}
	}
	total := float64(b.N * workers * callsPerWorker)
	micros := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	b.ReportMetric(micros(nodes.cpu)/total, "cpu-µs/call")
	b.ReportMetric(float64(nodes.cpu)/float64(forwarders.cpu), "cpu/forwarders")
	b.ReportMetric(float64(nodes.cpu-direct.cpu)/float64(forwarders.cpu-direct.cpu), "hopcpu/forwarders")
	b.ReportMetric(micros(nodes.quantile(0.5)-direct.quantile(0.5)), "added-p50-µs")
	b.ReportMetric(micros(nodes.quantile(0.99)-direct.quantile(0.99)), "added-p99-µs")
	b.ReportMetric(micros(forwarders.quantile(0.99)-direct.quantile(0.99)), "forwarders-p99-µs")
}
