package keys

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkCheck reports the cost of a check and the heap bytes per stored key.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			random, table := newRandom(), New()
			var presented []byte
			for range n {
				secret, r := issue(b, random)
				presented = []byte(secret)
				table.Add(r)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				table.Check(presented)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/key")
		})
	}
}
