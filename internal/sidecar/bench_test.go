package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkCall measures one GET request through an entry node and a serving node, and the
// 99th percentile of the times. Caller and upstream run in the same process.
func BenchmarkCall(b *testing.B) {
	_, _, _, c := startSmallMesh(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	i := 0
	var times []time.Duration
	for b.Loop() {
		i++
		began := time.Now()
		r, err := http.NewRequest("GET", "http://"+c.callerAddress+"/read/1", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "shop"
		r.Header.Set(dialect.RequestID, fmt.Sprint("bench", i))
		r.Header.Set(dialect.Remaining, "3000")
		r.Header.Set(dialect.Key, "k1")
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("got status %d, error %v; want 200 and no error", resp.StatusCode, err)
		}
		resp.Body.Close()
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}
