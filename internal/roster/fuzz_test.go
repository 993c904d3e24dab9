package roster

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
)

// encodeMessage returns a control message as it is sent.
func encodeMessage(f *testing.F, m mesh.Message) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(mesh.Envelope{From: member(1, 1).Node, To: member(0, 1).Node, Message: m}); err != nil {
		f.Fatal(err)
	}
	return b.Bytes()
}

// A control message comes from another process and may be malformed. It must not end the
// process, nor bring the node to a state in which it sends nothing any more.
func FuzzDeliver(f *testing.F) {
	odd := member(1, 1)
	odd.PeerAddress = ""
	for _, m := range []mesh.Message{
		Digest{From: member(1, 1), Root: 7, Version: 1 << 63, Age: -time.Hour, Confirmed: true},
		Digest{From: odd, Evacuations: 1, Replies: 255, Era: 1 << 63, EvacuationState: &evacuation.State{
			Known: true, Through: evacuation.Position{Offset: 9}, Entries: []evacuation.Entry{{}, {DataCentre: "z", Evacuated: true}},
		}},
		Summary{From: odd, Buckets: make([]uint64, 1000)},
		Summary{},
		Versions{From: member(1, 1), Buckets: []uint8{0, 63, 64, 255}, Entries: []Seen{{Host: "host-000", Claim: 1 << 63, Serial: 1<<64 - 1, Silent: true}, {}}},
		News{Records: []Record{{}, {Member: member(2, 1), Claim: 1<<64 - 1, Slots: -1}}, Silent: []Seen{{Host: "host-002", Claim: 1<<64 - 1}}},
		Ask{Hosts: []mesh.Host{"", "host-000", "nobody"}, Declaration: true},
	} {
		f.Add(encodeMessage(f, m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e mesh.Envelope
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&e) != nil || e.Message == nil {
			return
		}
		r := New(member(0, 1), 1000, 1)
		r.Merge(0, Record{Member: member(5, 1), Claim: 1})
		r.Deliver(time.Second, e.From, e.Message)
		sent := 0
		for now := time.Second; now < 4*time.Second; now += 50 * time.Millisecond {
			sent += len(r.Tick(now))
			r.RecordUnreachable(now, member(5, 1).Node)
			r.Members(now, "web")
			r.Outgoing()
		}
		if sent == 0 {
			t.Error("the node sends no digest after the message")
		}
	})
}
