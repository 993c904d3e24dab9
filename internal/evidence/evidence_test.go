package evidence

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cardamomhatch/internal/mesh"
)

func node(i int) mesh.NodeID {
	return mesh.NodeID{Host: mesh.Host(fmt.Sprintf("n%d", i)), Incarnation: 1}
}

func nodes(from, to int) []mesh.NodeID {
	var out []mesh.NodeID
	for i := from; i <= to; i++ {
		out = append(out, node(i))
	}
	return out
}

// newOutsider returns the tracker of a node that has folded all records below offset.
// It is not a member of the panel n1 to n5, whose majority confirms that a node's
// knowledge is current.
func newOutsider(offset uint64) *Tracker {
	t := New(node(9), Config{})
	t.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 5), Settled: true})
	t.SetKnowledge(Knowledge{Offset: offset})
	return t
}

// deliverAnswer delivers the answer of a counted panel member.
func deliverAnswer(t *Tracker, now, asked time.Duration, member int, offset uint64) {
	t.Deliver(now, node(member), Answer{Asker: t.self, Asked: asked, Offset: offset, Counted: true}, nil)
}

const second = time.Second

// Guards against evidence dated from the arrival of an answer instead of the
// request, against a minority that makes knowledge fresh, and against answers to
// an earlier incarnation.
func TestMajorityDatesFromWhenAsked(t *testing.T) {
	tr := newOutsider(3)
	deliverAnswer(tr, 9*second, 1*second, 1, 3)
	deliverAnswer(tr, 9*second, 2*second, 2, 3)
	if tr.FreshUntil() > 0 {
		t.Fatal("two of five members made knowledge fresh")
	}
	deliverAnswer(tr, 9*second, 3*second, 3, 3)
	if got := tr.FreshUntil(); got != 1*second+validFor {
		t.Fatalf("fresh until %v, want %v: the oldest answer of the majority determines the date", got, 1*second+validFor)
	}
	tr.Deliver(9*second, node(4), Answer{Asker: mesh.NodeID{Host: "n9"}, Asked: 8 * second, Offset: 3, Counted: true}, nil)
	deliverAnswer(tr, 9*second, 1*second, 4, 3)
	if got := tr.FreshUntil(); got != 1*second+validFor {
		t.Fatalf("fresh until %v after an answer to an earlier incarnation and an older answer, want no change", got)
	}
}

// Guards against fresh evidence at a node that lacks records or pending withdrawals
// which a panel member holds.
func TestBehindIsNotFresh(t *testing.T) {
	tr := newOutsider(3)
	deliverAnswer(tr, 1*second, 1*second, 1, 3)
	deliverAnswer(tr, 1*second, 1*second, 2, 3)
	deliverAnswer(tr, 1*second, 1*second, 3, 4)
	if from, behind := tr.CatchUpSource(); !behind || from != node(3) || tr.FreshUntil() > 0 {
		t.Fatalf("catch-up source %v (%v), fresh until %v; want n3 and no fresh evidence", from, behind, tr.FreshUntil())
	}
	tr.SetKnowledge(Knowledge{Offset: 4})
	if _, behind := tr.CatchUpSource(); behind || tr.FreshUntil() != 1*second+validFor {
		t.Fatalf("after catching up: behind %v, fresh until %v; want not behind, and the date of the answers", behind, tr.FreshUntil())
	}
	// 77 is the digest of the withdrawals of keys that are pending at n4.
	tr.Deliver(2*second, node(4), Answer{Asker: tr.self, Asked: 2 * second, Offset: 4, Pending: 77, Counted: true}, nil)
	if _, behind := tr.CatchUpSource(); !behind {
		t.Fatal("no catch-up source although a member holds a pending withdrawal that this node lacks")
	}
	if tr.MarkCovered(77); len(tr.members["n4"].uncovered) != 0 {
		t.Fatal("the report stays uncovered although the withdrawals are held now")
	}
}

// Guards against a restarted member that counts towards a majority before it has read
// the log to its head. Its previous incarnation may have acknowledged a record that the
// other members do not have.
func TestRestartedMemberCountsAfterLogRead(t *testing.T) {
	tr := New(node(1), Config{})
	tr.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 3), Settled: true})
	tr.SetKnowledge(Knowledge{Offset: 5})
	deliverAnswer(tr, second, second, 2, 5)
	if tr.Counted() || tr.FreshUntil() > 0 {
		t.Fatal("the node counts itself without having read the log")
	}
	tr.RecordLogRead(second, true, 6)
	if tr.Counted() {
		t.Fatal("the node counts before it has folded the log up to its head")
	}
	tr.RecordLogRead(second, false, 5) // a read that did not reach the head
	tr.SetKnowledge(Knowledge{Offset: 6})
	if !tr.Counted() {
		t.Fatal("the node does not count although it has read the log to its head")
	}
	outsider := newOutsider(5)
	for i := 1; i <= 5; i++ {
		outsider.Deliver(second, node(i), Answer{Asker: outsider.self, Asked: second, Offset: 5, Counted: i < 3}, nil)
	}
	if outsider.FreshUntil() > 0 {
		t.Fatal("members that do not count formed a majority")
	}
}

// Guards against a record that counts as in force while a node that has not folded it
// may still have fresh evidence.
func TestInForce(t *testing.T) {
	tr := newOutsider(8)
	tr.Watch(7)
	deliverAnswer(tr, 1*second, 1*second, 1, 8)
	deliverAnswer(tr, 2*second, 2*second, 2, 8)
	deliverAnswer(tr, 2*second, 2*second, 3, 7) // has not folded the record at offset 7
	if tr.InForce(60*second, 7) {
		t.Fatal("in force with two of five acknowledgements")
	}
	deliverAnswer(tr, 4*second, 3*second, 4, 8)
	wait := FreshFor + drift(FreshFor)
	if tr.InForce(4*second+wait, 7) || !tr.InForce(4*second+wait+1, 7) {
		t.Fatal("in force at the wrong time, want FreshFor plus drift after the arrival of the acknowledgement that completed the majority")
	}
	if tr.InForce(60*second, 6) {
		t.Fatal("the record at an offset that is not watched is in force")
	}
}

// Guards against evidence from a majority of only one panel while the change to a new
// one is not settled, and against a change that cannot be completed: the record that
// names the new panel needs a majority of the previous one only.
func TestUnsettledPanel(t *testing.T) {
	tr := newOutsider(8)
	tr.SetPanel(0, Panel{Epoch: 2, Offset: 7, Members: nodes(4, 8), Previous: nodes(1, 5)})
	tr.Watch(7)
	tr.Watch(6)
	for i := 4; i <= 8; i++ {
		deliverAnswer(tr, second, second, i, 8)
	}
	if tr.FreshUntil() > 0 || tr.InForce(60*second, 6) || tr.InForce(60*second, 7) {
		t.Fatal("a majority of the new panel alone was sufficient")
	}
	deliverAnswer(tr, 2*second, 2*second, 1, 8)
	if tr.FreshUntil() != 1*second+validFor || tr.InForce(3*second, 7) || !tr.InForce(60*second, 6) || !tr.InForce(60*second, 7) {
		t.Fatal("with majorities of both panels, want evidence dated by the older one, and records in force after FreshFor plus drift but not before")
	}
	previousOnly := newOutsider(8)
	previousOnly.SetPanel(0, Panel{Epoch: 2, Offset: 7, Members: nodes(6, 8), Previous: nodes(1, 5)})
	previousOnly.Watch(7)
	for i := 1; i <= 3; i++ {
		deliverAnswer(previousOnly, second, second, i, 8)
	}
	if !previousOnly.InForce(60*second, 7) {
		t.Fatal("the record of a new panel does not come into force while the new panel does not answer, so the panel can be neither settled nor replaced")
	}
}

// Guards against a relay that makes evidence appear more recent than it is.
func TestRelay(t *testing.T) {
	relay, client := newOutsider(3), New(node(20), Config{})
	relay.SetRelays([]mesh.NodeID{relay.self})
	client.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 5), Settled: true})
	client.SetRelays([]mesh.NodeID{relay.self})
	client.SetKnowledge(Knowledge{Offset: 3})
	for i := 1; i <= 3; i++ {
		deliverAnswer(relay, 100*second, 99*second, i, 3)
	}
	reply := relay.Deliver(100*second, client.self, Probe{Asked: 5 * second, Relay: true}, nil)
	client.Deliver(6*second, relay.self, reply[0].Message, nil)
	// The client asked at 5 s, when the relay's evidence was 1 s old.
	if got, want := client.FreshUntil(), 4*second-drift(second)+validFor; got != want {
		t.Fatalf("fresh until %v, want %v", got, want)
	}
	if out := client.Tick(5*second, nil); len(out) != 1 || out[0].To != relay.self {
		t.Fatalf("a node with a responsive relay sent %v, want one probe to the relay", out)
	}
	if out := client.Tick(7*second, nil); len(out) != 5 {
		t.Fatalf("a node whose relay does not answer sent %d probes, want one to each panel member", len(out))
	}
	late := relay.Deliver(102*second, client.self, Probe{Asked: 7 * second, Relay: true}, nil)
	if late[0].Message.(Answer).Fresh {
		t.Fatal("the relay reported lapsed evidence as fresh")
	}
}

// Guards against a node that is the only panel member and stops during an outage of
// the log.
func TestPanelOfOne(t *testing.T) {
	tr := New(node(1), Config{})
	tr.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 1), Settled: true})
	if tr.FreshUntil() > 0 {
		t.Fatal("fresh before the log was read")
	}
	tr.RecordLogRead(second, true, 0)
	if tr.FreshUntil() < time.Hour {
		t.Fatal("the evidence of the only panel member lapses")
	}
}

// TestTrace replays event traces and checks after each event until when evidence is
// fresh, whether the node is behind, and whether a record is in force.
func TestTrace(t *testing.T) {
	var tr *Tracker
	datadriven.RunTest(t, "testdata/trace", func(t *testing.T, d *datadriven.TestData) string {
		var at, asked, member, offset int
		for _, arg := range []struct {
			key string
			to  *int
		}{{"at", &at}, {"asked", &asked}, {"member", &member}, {"offset", &offset}} {
			if d.HasArg(arg.key) {
				d.ScanArgs(t, arg.key, arg.to)
			}
		}
		now, sent := time.Duration(at)*time.Millisecond, time.Duration(asked)*time.Millisecond
		switch d.Cmd {
		case "new":
			tr = newOutsider(uint64(offset))
		case "fold":
			tr.SetKnowledge(Knowledge{Offset: uint64(offset)})
		case "watch":
			tr.Watch(uint64(offset))
		case "answer":
			deliverAnswer(tr, now, sent, member, uint64(offset))
		case "log":
			tr.RecordLogRead(sent, true, uint64(offset))
		case "effective":
			return fmt.Sprintf("%v\n", tr.InForce(now, uint64(offset)))
		}
		from, behind := tr.CatchUpSource()
		until := "never"
		if tr.FreshUntil() > 0 {
			until = tr.FreshUntil().String()
		}
		return fmt.Sprintf("fresh until %s, behind %v %s\n", until, behind, from.Host)
	})
}
