package config

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"maps"
	"slices"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

const (
	snapshotFormat = 1
	// maxSnapshotBytes limits the number of uncompressed bytes that Restore reads.
	maxSnapshotBytes = 256 << 20
)

var errTrailingData = errors.New("trailing data")

// snapshotLine is one line of a snapshot; exactly one field is set. A snapshot
// consists of gzip-compressed JSON lines: a header, the entries, and the SHA-256 of
// all lines before it. Lines are encoded and decoded one at a time, so that the
// uncompressed text is never in memory as a whole.
type snapshotLine struct {
	Head      *snapshotHead      `json:"head,omitempty"`
	Object    *snapshotObject    `json:"object,omitempty"`
	Key       *keyIssuedBody     `json:"key,omitempty"`
	Member    *snapshotMember    `json:"member,omitempty"`
	Shares    *snapshotShares    `json:"shares,omitempty"`
	Token     *snapshotToken     `json:"token,omitempty"`
	Deleted   *snapshotTombstone `json:"deleted,omitempty"`
	Withdrawn *snapshotTombstone `json:"withdrawn,omitempty"`
	Departed  *departure         `json:"departed,omitempty"`
	OldShares *snapshotTombstone `json:"old_shares,omitempty"`
	Sum       string             `json:"sum,omitempty"`
}

type snapshotHead struct {
	Format      int     `json:"format"`
	Next        uint64  `json:"next"`     // offset of the next record to fold
	Revision    uint64  `json:"revision"` // offset of the last accepted change record
	Configured  bool    `json:"changed"`  // a change record was accepted
	Digest      string  `json:"digest"`   // hash chain over the accepted records
	Panel       Panel   `json:"panel"`
	PanelSource version `json:"panel_by"` // the record that last changed the panel
}

type snapshotObject struct {
	Object  declaration.Object `json:"object"`
	Version version            `json:"version"`
}

type snapshotMember struct {
	Member mesh.Member `json:"member"`
	Source version     `json:"source"`
}

type snapshotShares struct {
	Workspace mesh.Workspace `json:"workspace"`
	Source    version        `json:"source"`
	Shares    []Share        `json:"shares"`
}

type snapshotToken struct {
	Token   Token    `json:"token"`
	Offset  uint64   `json:"offset"`
	Verdict *Verdict `json:"verdict,omitempty"`
}

// snapshotTombstone is the entry of a deleted object, a withdrawn key or the shares
// of a deleted workspace.
type snapshotTombstone struct {
	Name    string  `json:"name"`
	Version version `json:"version"`
	AddedAt uint64  `json:"expires,omitempty"` // offset of the record that added the entry, if not Version.Offset
}

// Snapshot encodes the complete state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	var out bytes.Buffer
	compressed, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	w := snapshotWriter{sum: sha256.New()}
	w.encoder = json.NewEncoder(io.MultiWriter(compressed, w.sum))
	s.writeLines(&w)
	w.write(snapshotLine{Sum: hex.EncodeToString(w.sum.Sum(nil))})
	if err := cmp.Or(w.err, compressed.Close()); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// snapshotWriter encodes snapshot lines. It keeps the first error and writes
// nothing after it.
type snapshotWriter struct {
	encoder *json.Encoder
	sum     hash.Hash
	err     error
}

func (w *snapshotWriter) write(l snapshotLine) {
	if w.err == nil {
		w.err = w.encoder.Encode(&l)
	}
}

func (s *State) writeLines(w *snapshotWriter) {
	w.write(snapshotLine{Head: &snapshotHead{
		Format: snapshotFormat, Next: s.nextOffset, Revision: s.revision, Configured: s.configured,
		Digest: s.Digest(), Panel: s.panel, PanelSource: s.panelSource,
	}})
	for _, o := range s.Mesh().Objects() {
		w.write(snapshotLine{Object: &snapshotObject{o, s.versions[o.Key()]}})
	}
	for _, k := range s.Keys() {
		w.write(snapshotLine{Key: &keyIssuedBody{k.ID, hex.EncodeToString(k.Hash[:]), k.Workspace}})
	}
	for _, host := range slices.Sorted(maps.Keys(s.members)) {
		w.write(snapshotLine{Member: &snapshotMember{s.members[host].member, s.members[host].source}})
	}
	for _, ws := range slices.Sorted(maps.Keys(s.shares)) {
		w.write(snapshotLine{Shares: &snapshotShares{ws, s.shares[ws].source, s.shares[ws].shares}})
	}
	s.recent.writeLines(w)
}

// writeLines iterates over the queue rather than the maps, because the queue has
// the order in which entries expire. It skips an expiry whose entry was renewed or
// removed since; withdrawn keys and tokens never are.
func (r *recentEntries) writeLines(w *snapshotWriter) {
	for _, e := range r.queue {
		switch {
		case e.object != "":
			if v := r.deleted[e.object]; v.Offset == e.offset {
				w.write(snapshotLine{Deleted: &snapshotTombstone{Name: e.object, Version: v}})
			}
		case e.keyID != "":
			w.write(snapshotLine{Withdrawn: &snapshotTombstone{Name: e.keyID, Version: r.withdrawn[e.keyID]}})
		case !e.node.IsZero():
			if d := r.departed[e.node]; d.Source.Offset == e.offset {
				w.write(snapshotLine{Departed: &d})
			}
		case e.workspace != "":
			if old := r.oldShares[e.workspace]; old.deleted == e.offset {
				w.write(snapshotLine{OldShares: &snapshotTombstone{string(e.workspace), old.source, e.offset}})
			}
		default:
			t := r.tokens[e.token]
			w.write(snapshotLine{Token: &snapshotToken{e.token, e.offset, t.verdict}})
		}
	}
}

// Restore decodes a snapshot. It returns an error if the snapshot is damaged,
// incomplete or in another format.
func Restore(data []byte) (*State, error) {
	decompressed, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	r := restorer{state: New(), sum: sha256.New()}
	lines := bufio.NewReader(io.LimitReader(decompressed, maxSnapshotBytes))
	for !r.complete {
		line, err := lines.ReadBytes('\n')
		if err == nil {
			err = r.readLine(line)
		}
		if err != nil {
			return nil, fmt.Errorf("read snapshot: %w", err)
		}
	}
	// Reading to EOF also verifies the gzip trailer.
	if _, err := lines.ReadByte(); err != io.EOF {
		return nil, fmt.Errorf("snapshot does not end after its checksum: %w", cmp.Or(err, errTrailingData))
	}
	if err := r.state.set.Apply(r.objects); err != nil {
		return nil, fmt.Errorf("restore mesh from snapshot: %w", err)
	}
	for _, k := range r.keys {
		if v := r.state.foldKeyIssued(k); v.Kind != Accepted {
			return nil, fmt.Errorf("restore key from snapshot: %s", v)
		}
	}
	return r.state, nil
}

// restorer builds a state from the lines of a snapshot.
type restorer struct {
	state    *State
	sum      hash.Hash
	objects  []declaration.Change // applied after the last line, together: they refer to each other
	keys     []*keyIssuedBody     // added after objects, which must contain their workspaces
	headRead bool
	complete bool // the checksum line was read
}

func (r *restorer) readLine(text []byte) error {
	var l snapshotLine
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	if l.Sum != "" {
		r.complete = true
		if got := hex.EncodeToString(r.sum.Sum(nil)); got != l.Sum {
			return fmt.Errorf("checksum is %s, expected %s", got, l.Sum)
		}
		return nil
	}
	r.sum.Write(text)
	if !r.headRead {
		r.headRead = true
		return r.readHead(l.Head)
	}
	r.readEntry(&l)
	return nil
}

func (r *restorer) readHead(h *snapshotHead) error {
	if h == nil {
		return errors.New("header is missing")
	}
	if h.Format != snapshotFormat {
		return fmt.Errorf("unsupported format %d, want %d", h.Format, snapshotFormat)
	}
	s := r.state
	digest, err := hex.DecodeString(h.Digest)
	if err != nil || len(digest) != len(s.digest) {
		return fmt.Errorf("digest %q is malformed", h.Digest)
	}
	copy(s.digest[:], digest)
	s.nextOffset, s.revision, s.configured = h.Next, h.Revision, h.Configured
	s.panel, s.panelSource = h.Panel, h.PanelSource
	return nil
}

func (r *restorer) readEntry(l *snapshotLine) {
	s := r.state
	switch {
	case l.Object != nil:
		key := l.Object.Object.Key()
		r.objects = append(r.objects, declaration.Change{Key: key, Set: &l.Object.Object})
		s.versions[key] = l.Object.Version
	case l.Key != nil:
		r.keys = append(r.keys, l.Key)
	case l.Member != nil:
		s.members[l.Member.Member.Node.Host] = memberState{l.Member.Member, l.Member.Source}
	case l.Shares != nil:
		s.shares[l.Shares.Workspace] = &sharesState{l.Shares.Source, l.Shares.Shares}
	case l.Token != nil:
		s.recent.tokens[l.Token.Token] = tokenEntry{l.Token.Offset, l.Token.Verdict}
		s.recent.queue = append(s.recent.queue, expiry{offset: l.Token.Offset, token: l.Token.Token})
	case l.Deleted != nil:
		s.recent.addDeleted(l.Deleted.Name, l.Deleted.Version)
	case l.Withdrawn != nil:
		s.recent.addWithdrawn(l.Withdrawn.Name, l.Withdrawn.Version)
	case l.Departed != nil:
		s.recent.addDeparted(*l.Departed)
	case l.OldShares != nil:
		s.recent.addOldShares(mesh.Workspace(l.OldShares.Name), l.OldShares.Version, l.OldShares.AddedAt)
	}
}
