package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// BenchmarkCall measures one GET request through an entry node and a serving node.
// Caller and upstream run in the same process.
func BenchmarkCall(b *testing.B) {
	_, _, _, c := startSmallMesh(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
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
	}
}
