package evidence

import (
	"bytes"
	"encoding/gob"
	"testing"

	"cardamomhatch/internal/mesh"
)

// BenchmarkMessages reports the gob size of each message on an established stream,
// where the type definitions have already been sent.
func BenchmarkMessages(b *testing.B) {
	for _, m := range []mesh.Message{
		Probe{Asked: 1000 * second},
		Answer{Asker: node(1), Asked: 1000 * second, Offset: 1e6, Pending: 1 << 60, Counted: true},
	} {
		b.Run(m.MessageName(), func(b *testing.B) {
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			e := mesh.Envelope{From: node(1), To: node(2), Message: m}
			for b.Loop() {
				_ = enc.Encode(e)
				buf.Reset()
				_ = enc.Encode(e)
				b.ReportMetric(float64(buf.Len()), "B/message")
			}
		})
	}
}

// BenchmarkFreshUntil uses a panel of 35 members. The panels that nodes form have at
// most 19.
func BenchmarkFreshUntil(b *testing.B) {
	tr := New(node(40), Config{})
	tr.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 35), Settled: true})
	b.ReportAllocs()
	for b.Loop() {
		tr.FreshUntil()
	}
}
