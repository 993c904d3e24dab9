package intake

import (
	"bytes"
	"encoding/gob"
	"slices"
	"testing"
)

// gobStream returns the stream of some values and the number of its messages. The type of the
// values has a message of its own.
func gobStream(t testing.TB) ([]byte, int) {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	type value struct{ Raw []byte }
	for _, size := range []int{0, 1, 100, 127, 128, 70_000} {
		if err := e.Encode(value{make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes(), 7
}

// Guards against lengths that are read wrongly: at any boundary between two reads, the same
// messages must be found as the decoder finds.
func TestMessages(t *testing.T) {
	stream, count := gobStream(t)
	for step := range 300 {
		var m Messages
		begun, ended := 0, 0
		for p := range slices.Chunk(stream, step+1) {
			if !m.Scan(p, func(int) bool { begun++; return true }, func() { ended++ }) {
				t.Fatalf("reads of %d bytes: the stream was refused", step+1)
			}
		}
		if begun != count || ended != count || m.left != 0 {
			t.Fatalf("reads of %d bytes: %d messages began and %d ended, want %d", step+1, begun, ended, count)
		}
	}
}

// Guards against a message that announces more than MaxMessage.
func TestMessageTooLong(t *testing.T) {
	for _, p := range [][]byte{{0xfc, 0x02, 0, 0, 1}, {0xf8, 0xff, 0, 0, 0, 0, 0, 0, 0}, {0x80}} {
		var m Messages
		if m.Scan(p, func(int) bool { return true }, func() {}) {
			t.Errorf("% x was accepted", p)
		}
	}
}

// Guards against input that ends the process or depends on how it is split.
func FuzzMessages(f *testing.F) {
	stream, _ := gobStream(f)
	f.Add(stream, 3)
	f.Add([]byte{0xf8, 1, 2, 3, 4, 5, 6, 7, 8}, 2)
	f.Fuzz(func(t *testing.T, p []byte, split int) {
		split = min(max(split, 0), len(p))
		scan := func(parts ...[]byte) (lengths []int, ok bool) {
			var m Messages
			for _, part := range parts {
				if !m.Scan(part, func(n int) bool { lengths = append(lengths, n); return true }, func() {}) {
					return lengths, false
				}
				if m.left < 0 || m.left > MaxMessage {
					t.Fatalf("%d bytes are to come", m.left)
				}
			}
			return lengths, true
		}
		whole, ok := scan(p)
		parts, partsOK := scan(p[:split], p[split:])
		if !slices.Equal(whole, parts) || ok != partsOK {
			t.Errorf("% x: %v %t, split at %d: %v %t", p, whole, ok, split, parts, partsOK)
		}
	})
}
