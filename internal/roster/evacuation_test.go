package roster

import (
	"testing"
	"time"

	"cardamomhatch/internal/evacuation"
	"cardamomhatch/internal/mesh"
)

// readEvacuation makes the node read from the store that a data centre is evacuated, or that it
// is taken back, by the record at the offset.
func (n *network) readEvacuation(host mesh.Host, d mesh.DataCentre, evacuated bool, offset uint64) {
	through := evacuation.Position{Offset: offset}
	r := n.rosters[host]
	r.UpdateEvacuations(n.now, func(s *evacuation.Set) {
		s.Read(n.now, through, []evacuation.Entry{{DataCentre: d, Evacuated: evacuated, At: through}})
	})
	n.send(host, r.Outgoing())
}

// lackingEvacuation returns the number of live nodes that do not hold the given state of a data
// centre, or still send work there.
func (n *network) lackingEvacuation(d mesh.DataCentre, evacuated bool) int {
	lacking := 0
	for host, r := range n.rosters {
		if n.down[host] {
			continue
		}
		wrong := r.Evacuations().Evacuated(d) != evacuated
		for _, rec := range r.Members(n.now, "web") {
			wrong = wrong || evacuated && rec.Member.DataCentre == d
		}
		if wrong {
			lacking++
		}
	}
	return lacking
}

// An evacuation must reach all nodes well within the operator's 5 s although the store answers a
// single one, and so must a second one and the end of the first, while nodes are paused, start
// again without the store, or are cut off.
func TestEvacuationReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{16, 95} {
		f := newFleet(nodes, 3)
		f.start()
		for _, r := range f.rosters {
			r.UpdateEvacuations(f.now, func(s *evacuation.Set) { s.Listed(f.now, evacuation.Position{Offset: 1}, nil) })
			r.Update(false, func(r *Record) { r.Phase = Ready })
		}
		f.run(5 * time.Second)
		f.silent = func(mesh.Host) bool { return true }
		reader, paused, restarted := member(1, 1).Node.Host, member(4, 1).Node.Host, member(5, 1)
		f.down[paused] = true
		f.readEvacuation(reader, "dc-0", true, 2)
		f.run(time.Second)
		f.readEvacuation(reader, "dc-2", true, 3)
		restarted.Node.Incarnation = 2
		restarted.DataCentre, restarted.PeerAddress = dataCentre(5, 3), "10.1.0.26:8543"
		f.rosters[restarted.Node.Host] = New(restarted, 1_900_000_000_000, 77)
		f.run(1500 * time.Millisecond)
		for _, d := range []mesh.DataCentre{"dc-0", "dc-2"} {
			if n := f.lackingEvacuation(d, true); n > 0 {
				t.Errorf("%d nodes: %d do not know after 1.5 s that %s is evacuated", nodes, n, d)
			}
		}
		f.readEvacuation(reader, "dc-0", false, 4)
		delete(f.down, paused)
		f.run(2500 * time.Millisecond)
		if n := f.lackingEvacuation("dc-0", false) + f.lackingEvacuation("dc-2", true); n > 0 {
			t.Errorf("%d nodes: %d do not know after 2.5 s that dc-0 is taken back and dc-2 is not", nodes, n)
		}
	}
}

// Nodes that agree must not send each other more than the hash, also if one of an earlier version
// is among them, which never agrees.
func TestAgreedEvacuationsAreNotRepeated(t *testing.T) {
	a, b := New(member(0, 1), 1, 1), New(member(1, 1), 1, 2)
	state := func(s *evacuation.Set) { s.Listed(0, evacuation.Position{Offset: 2}, nil) }
	a.UpdateEvacuations(0, state)
	b.UpdateEvacuations(0, state)
	for _, r := range []*Roster{a, b} {
		r.UpdateEvacuations(0, func(s *evacuation.Set) {
			s.Merge(0, evacuation.State{Entries: []evacuation.Entry{{DataCentre: "z", Evacuated: true, At: evacuation.Position{Offset: 3}}}})
		})
	}
	if a.compareEvacuations(0, b.announcement(0)); len(a.Outgoing()) != 0 {
		t.Error("a node answers a digest with the same evacuations")
	}
	old := Digest{From: member(2, 1), Version: 1}
	for reply := range uint8(3) {
		old.Replies = reply
		a.compareEvacuations(0, old)
		if sent := len(a.Outgoing()); sent > 1 || reply == 2 && sent > 0 {
			t.Errorf("%d messages for a digest without evacuations that is reply %d", sent, reply)
		}
	}
	if d := New(member(0, 1), 1, 1).digest(0); d.Evacuations != 0 || d.EvacuationState != nil {
		t.Errorf("without an evacuation, a digest holds %v and %v", d.Evacuations, d.EvacuationState)
	}
}
