package intake

import "math"

const (
	// MaxMessage is the largest control message in bytes. A declaration with 25,000 routes
	// takes about 8 MB.
	MaxMessage = 32 << 20
	// SmallMessage is the size in bytes up to which control messages are not charged. Digests
	// have about 0.2 KB.
	SmallMessage = 16 << 10
)

// Messages finds the lengths of the messages of a gob stream, as net/rpc sends them. The
// decoder of encoding/gob allocates the length that a message announces, up to 10 MB at once,
// before the message arrives. The zero value is the start of a stream.
type Messages struct {
	lengthBytes int    // of the length that are still to come
	length      uint64 // the part of the length that was read
	left        int    // bytes of the message that are still to come
}

// Scan records that p was received. It calls begin with the length of each message that
// begins, and end when a message has ended. It returns false if a message is longer than
// MaxMessage or malformed, or if begin returns false; the stream must not be read on.
func (m *Messages) Scan(p []byte, begin func(length int) bool, end func()) bool {
	for len(p) > 0 {
		if m.left > 0 {
			n := min(m.left, len(p))
			p, m.left = p[n:], m.left-n
			if m.left == 0 {
				end()
			}
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case m.lengthBytes > 0:
			m.length = m.length<<8 | uint64(b)
			m.lengthBytes--
		case b <= math.MaxInt8: // the length itself
			m.length = uint64(b)
		default: // the negated number of bytes of the length
			m.length, m.lengthBytes = 0, -int(int8(b))
			if m.lengthBytes > 8 {
				return false
			}
		}
		if m.lengthBytes > 0 {
			continue
		}
		if m.length > MaxMessage || !begin(int(m.length)) {
			return false
		}
		m.left = int(m.length)
		if m.left == 0 {
			end()
		}
	}
	return true
}
