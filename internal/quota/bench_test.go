package quota

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// Guards against allocations in Take, which runs for every call.
func TestTakeDoesNotAllocate(t *testing.T) {
	h := newTestLimiter(holder, firstShare())
	now := 5 * time.Second
	if n := testing.AllocsPerRun(1000, func() {
		now += 10 * time.Millisecond
		if h.Take(now, ws, 1) != Taken {
			t.Fatal("a call within the rate was not taken")
		}
	}); n != 0 {
		t.Fatalf("%v allocations per Take, want none", n)
	}
}

// BenchmarkTake measures calls that are admitted from a share of this node. The share gains
// 100 calls per iteration.
func BenchmarkTake(b *testing.B) {
	l := New(holder, Config{Seed: 1})
	l.SetLimits(0, []Limit{{ws, 1e8, 1e6}})
	l.SetShares(0, ws, []Share{firstShare()})
	l.SetFreshUntil(time.Hour)
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		l.Take(now, ws, 1)
	}
}

// BenchmarkTakeOverRate measures calls that are refused because the holders of all shares, as
// many as a workspace can have, have denied credit.
func BenchmarkTakeOverRate(b *testing.B) {
	var shares []Share
	for i := range 32 {
		shares = append(shares, Share{Workspace: ws, Index: i, Count: 32, Holder: holder, Epoch: 1})
	}
	l := newTestLimiter(borrower, shares...)
	for i := range l.accounts[ws].views {
		l.accounts[ws].views[i].deniedUntil = time.Hour
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Take(time.Second, ws, 1)
	}
}

// BenchmarkMemory reports the bytes per workspace by share count, at a node that holds
// one of the shares.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1, 8, 32} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			const n = 2000
			for b.Loop() {
				before := heapBytes()
				l := New(holder, Config{Seed: 1})
				limits := make([]Limit, n)
				for i := range limits {
					limits[i] = Limit{mesh.Workspace(fmt.Sprint(i)), 100, 1000}
				}
				l.SetLimits(0, limits)
				for i := range limits {
					shares := make([]Share, count)
					for j := range shares {
						shares[j] = Share{Workspace: limits[i].Workspace, Index: j, Count: count, Holder: borrower, First: true}
					}
					shares[0].Holder = holder
					l.SetShares(0, limits[i].Workspace, shares)
				}
				b.ReportMetric(float64(heapBytes()-before)/n, "B/workspace")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMessages reports the gob size of each message, without type definitions.
func BenchmarkMessages(b *testing.B) {
	usage := []Usage{{Loan: 9999, Used: 5 * Call}}
	for _, m := range []mesh.Message{
		Ask{Workspace: "workspace", Index: 5, Epoch: 7, Loan: 10000, Need: Call, Want: 9 * Call, Usage: usage},
		Grant{Workspace: "workspace", Index: 5, Epoch: 7, Loan: 10000, Amount: 9 * Call, Level: 20 * Call, Burst: 32 * Call},
		Report{Workspace: "workspace", Index: 5, Usage: usage},
		Recall{Workspace: "workspace", Index: 5},
	} {
		b.Run(m.MessageName(), func(b *testing.B) {
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			e := mesh.Envelope{From: holder, To: borrower, Message: m}
			for b.Loop() {
				_ = enc.Encode(e)
				buf.Reset()
				_ = enc.Encode(e)
				b.ReportMetric(float64(buf.Len()), "B/message")
			}
		})
	}
}
