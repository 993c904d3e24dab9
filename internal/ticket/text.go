package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	textVersion = 1
	macSize     = 16            // bytes; a truncated HMAC-SHA256
	fixedSize   = 1 + 8 + 8 + 8 // bytes of version, incarnation, sequence and issue time
	// maxTextSize bounds the input of decode, in bytes. Host and workspace names have
	// at most 255 bytes each, and one byte for their length.
	maxTextSize = (fixedSize + 2*256 + macSize) * 4 / 3
)

// fields is the decoded content of a ticket.
type fields struct {
	owner     mesh.NodeID
	sequence  uint64
	issued    time.Duration
	workspace mesh.Workspace
	signed    []byte // the bytes covered by the MAC
	mac       []byte
}

// encode returns the ticket as base64url text: version, incarnation, sequence,
// issue time, host and workspace (each after a byte with its length), and the
// truncated MAC.
func encode(f fields, mac hash.Hash) string {
	raw := make([]byte, 0, fixedSize+2+len(f.owner.Host)+len(f.workspace)+sha256.Size)
	raw = append(raw, textVersion)
	raw = binary.BigEndian.AppendUint64(raw, uint64(f.owner.Incarnation))
	raw = binary.BigEndian.AppendUint64(raw, f.sequence)
	raw = binary.BigEndian.AppendUint64(raw, uint64(f.issued))
	raw = append(append(raw, byte(len(f.owner.Host))), f.owner.Host...)
	raw = append(append(raw, byte(len(f.workspace))), f.workspace...)
	mac.Reset()
	mac.Write(raw)
	signed := len(raw)
	raw = mac.Sum(raw)
	return base64.RawURLEncoding.EncodeToString(raw[:signed+macSize])
}

// textEncoding rejects non-zero trailing bits, so that each ticket has exactly one
// encoding.
var textEncoding = base64.RawURLEncoding.Strict()

// decoder decodes tickets without allocation if they contain the expected host
// and workspace. The result of decode is valid until the next call.
type decoder struct {
	text, raw, sum []byte         // buffers that are reused by each call
	host           mesh.Host      // expected
	workspace      mesh.Workspace // expected
}

// decode parses the text of a ticket. It does not verify the MAC.
func (d *decoder) decode(text string) (fields, error) {
	if len(text) > maxTextSize {
		return fields{}, fmt.Errorf("ticket has %d bytes, want at most %d", len(text), maxTextSize)
	}
	d.text = append(d.text[:0], text...)
	raw, err := textEncoding.AppendDecode(d.raw[:0], d.text)
	d.raw = raw
	if err != nil {
		return fields{}, fmt.Errorf("ticket is not base64url: %w", err)
	}
	if len(raw) < fixedSize+2+macSize || raw[0] != textVersion {
		return fields{}, fmt.Errorf("ticket is shorter than its fixed fields or has an unknown version")
	}
	signed := raw[:len(raw)-macSize]
	f := fields{signed: signed, mac: raw[len(signed):]}
	f.owner.Incarnation = mesh.Incarnation(binary.BigEndian.Uint64(raw[1:]))
	f.sequence = binary.BigEndian.Uint64(raw[9:])
	f.issued = time.Duration(binary.BigEndian.Uint64(raw[17:]))
	host, rest, hostOK := cutName(signed[fixedSize:])
	workspace, rest, workspaceOK := cutName(rest)
	if !hostOK || !workspaceOK || len(rest) != 0 || f.issued < 0 {
		return fields{}, fmt.Errorf("ticket has names that do not match its length, or a negative issue time")
	}
	f.owner.Host = internName(host, d.host)
	f.workspace = internName(workspace, d.workspace)
	return f, nil
}

// internName returns the bytes as a string. It returns expected if it is equal,
// which saves the allocation.
func internName[T ~string](b []byte, expected T) T {
	if string(b) == string(expected) {
		return expected
	}
	return T(b)
}

// cutName splits off a name that is preceded by its length in one byte.
func cutName(b []byte) (name, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return nil, nil, false
	}
	end := 1 + int(b[0])
	return b[1:end], b[end:], true
}

// verifyMAC reports whether the MAC is correct. It compares in constant time.
func (d *decoder) verifyMAC(f fields, mac hash.Hash) bool {
	mac.Reset()
	mac.Write(f.signed)
	d.sum = mac.Sum(d.sum[:0])
	return subtle.ConstantTimeCompare(d.sum[:macSize], f.mac) == 1
}

func newMAC(key [32]byte) hash.Hash { return hmac.New(sha256.New, key[:]) }

// Owner returns the node that issued the ticket. It does not verify the MAC, which
// only the owner and its successor can do.
func Owner(ticket string) (mesh.NodeID, error) {
	var d decoder
	f, err := d.decode(ticket)
	return f.owner, err
}
