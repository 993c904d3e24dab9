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

// outsider is no member of the panel n1 to n5 and has folded up to offset.
func outsider(offset uint64) *Tracker {
	t := New(node(9), Config{})
	t.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 5), Settled: true})
	t.SetKnowledge(Knowledge{Offset: offset})
	return t
}

func answer(t *Tracker, now, asked time.Duration, member int, offset uint64) {
	t.Deliver(now, node(member), Answer{Asker: t.self, Asked: asked, Offset: offset, Counted: true}, nil)
}

const s = time.Second

// Guards against evidence dated from the arrival of an answer, and against a
// minority that counts.
func TestMajorityDatesFromWhenAsked(t *testing.T) {
	tr := outsider(3)
	answer(tr, 9*s, 1*s, 1, 3)
	answer(tr, 9*s, 2*s, 2, 3)
	if tr.FreshUntil() > 0 {
		t.Fatal("two of five members made knowledge fresh")
	}
	answer(tr, 9*s, 3*s, 3, 3)
	if got := tr.FreshUntil(); got != 1*s+usable {
		t.Fatalf("fresh until %v, want %v: the oldest of the majority counts", got, 1*s+usable)
	}
	tr.Deliver(9*s, node(4), Answer{Asker: mesh.NodeID{Host: "n9"}, Asked: 8 * s, Offset: 3, Counted: true}, nil)
	answer(tr, 9*s, 1*s, 4, 3)
	if got := tr.FreshUntil(); got != 1*s+usable {
		t.Fatalf("an answer to an earlier incarnation moved the date to %v", got)
	}
}

// Guards against fresh evidence of a node that lacks what a member had.
func TestBehindIsNotFresh(t *testing.T) {
	tr := outsider(3)
	answer(tr, 1*s, 1*s, 1, 3)
	answer(tr, 1*s, 1*s, 2, 3)
	answer(tr, 1*s, 1*s, 3, 4)
	if from, behind := tr.Behind(); !behind || from != node(3) || tr.FreshUntil() > 0 {
		t.Fatalf("behind %v (%v), fresh until %v", from, behind, tr.FreshUntil())
	}
	tr.SetKnowledge(Knowledge{Offset: 4})
	if _, behind := tr.Behind(); behind || tr.FreshUntil() != 1*s+usable {
		t.Fatalf("after catching up: behind %v, fresh until %v", behind, tr.FreshUntil())
	}
	tr.Deliver(2*s, node(4), Answer{Asker: tr.self, Asked: 2 * s, Offset: 4, Pending: 77, Counted: true}, nil)
	if _, behind := tr.Behind(); !behind {
		t.Fatal("a pending withdrawal that this node lacks was not noticed")
	}
	if tr.Covers(77); len(tr.members["n4"].uncovered) != 0 {
		t.Fatal("the withdrawals are held now, but the member is still ahead")
	}
}

// Guards against a restarted member that counts after catching up from other
// members, although its earlier acknowledgement is lost to them.
func TestRestartedMemberCountsAfterLogRead(t *testing.T) {
	tr := New(node(1), Config{})
	tr.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 3), Settled: true})
	tr.SetKnowledge(Knowledge{Offset: 5})
	answer(tr, s, s, 2, 5)
	if tr.Counted() || tr.FreshUntil() > 0 {
		t.Fatal("a node that did not read the log counts itself")
	}
	tr.RecordLogRead(s, true, 6)
	if tr.Counted() {
		t.Fatal("the node counts before it has folded the log to its head")
	}
	tr.RecordLogRead(s, false, 5)
	tr.SetKnowledge(Knowledge{Offset: 6})
	if !tr.Counted() {
		t.Fatal("the node read the log to its head and does not count")
	}
	uncounted := outsider(5)
	for i := 1; i <= 5; i++ {
		uncounted.Deliver(s, node(i), Answer{Asker: uncounted.self, Asked: s, Offset: 5, Counted: i < 3}, nil)
	}
	if uncounted.FreshUntil() > 0 {
		t.Fatal("members that do not count made a majority")
	}
}

// Guards against a restriction in force before every node that does not know
// it has lost its evidence.
func TestEffective(t *testing.T) {
	tr := outsider(8)
	tr.Watch(7)
	answer(tr, 1*s, 1*s, 1, 8)
	answer(tr, 2*s, 2*s, 2, 8)
	answer(tr, 2*s, 2*s, 3, 7) // has not folded the record at offset 7
	if tr.Effective(60*s, 7) {
		t.Fatal("effective with two of five acknowledgements")
	}
	answer(tr, 4*s, 3*s, 4, 8)
	wait := FreshFor + drift(FreshFor)
	if tr.Effective(4*s+wait, 7) || !tr.Effective(4*s+wait+1, 7) {
		t.Fatal("effective at the wrong time, want F plus drift after the last acknowledgement arrived")
	}
	if tr.Effective(60*s, 6) {
		t.Fatal("an offset that nobody watched is effective")
	}
}

// Guards against majorities of one panel alone while a new one is unsettled.
func TestUnsettledPanel(t *testing.T) {
	tr := outsider(8)
	tr.SetPanel(0, Panel{Epoch: 2, Offset: 7, Members: nodes(4, 8), Previous: nodes(1, 5)})
	tr.Watch(7)
	tr.Watch(6)
	for i := 4; i <= 8; i++ {
		answer(tr, s, s, i, 8)
	}
	if tr.FreshUntil() > 0 || tr.Effective(60*s, 6) || tr.Effective(60*s, 7) {
		t.Fatal("the new panel alone was enough")
	}
	answer(tr, 2*s, 2*s, 1, 8)
	if tr.FreshUntil() != 1*s+usable || tr.Effective(3*s, 7) || !tr.Effective(60*s, 6) || !tr.Effective(60*s, 7) {
		t.Fatal("majorities of both panels were not enough")
	}
	old := outsider(8)
	old.SetPanel(0, Panel{Epoch: 2, Offset: 7, Members: nodes(6, 8), Previous: nodes(1, 5)})
	old.Watch(7)
	for i := 1; i <= 3; i++ {
		answer(old, s, s, i, 8)
	}
	if !old.Effective(60*s, 7) {
		t.Fatal("a new panel that does not answer keeps itself from being settled or replaced")
	}
}

// Guards against a relay that makes evidence younger than it is.
func TestRelay(t *testing.T) {
	relay, far := outsider(3), New(node(20), Config{})
	relay.SetRelays([]mesh.NodeID{relay.self})
	far.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 5), Settled: true})
	far.SetRelays([]mesh.NodeID{relay.self})
	far.SetKnowledge(Knowledge{Offset: 3})
	for i := 1; i <= 3; i++ {
		answer(relay, 100*s, 99*s, i, 3)
	}
	reply := relay.Deliver(100*s, far.self, Probe{Asked: 5 * s, Relay: true}, nil)
	far.Deliver(6*s, relay.self, reply[0].Message, nil)
	if got, want := far.FreshUntil(), 4*s-drift(s)+usable; got != want {
		t.Fatalf("fresh until %v, want %v", got, want)
	}
	if out := far.Tick(5*s, nil); len(out) != 1 || out[0].To != relay.self {
		t.Fatalf("a node with a live relay sent %v", out)
	}
	if out := far.Tick(7*s, nil); len(out) != 5 {
		t.Fatalf("a node whose relay fails sent %d probes, want one to each member", len(out))
	}
	late := relay.Deliver(102*s, far.self, Probe{Asked: 7 * s, Relay: true}, nil)
	if late[0].Message.(Answer).Fresh {
		t.Fatal("a relay passed on evidence that has lapsed")
	}
}

// Guards against a panel of one node that stops itself in an outage of the log.
func TestPanelOfOne(t *testing.T) {
	tr := New(node(1), Config{})
	tr.SetPanel(0, Panel{Epoch: 1, Members: nodes(1, 1), Settled: true})
	if tr.FreshUntil() > 0 {
		t.Fatal("fresh before the log was read")
	}
	tr.RecordLogRead(s, true, 0)
	if tr.FreshUntil() < time.Hour {
		t.Fatal("the only member of the panel is not fresh")
	}
}

// TestTrace replays event traces and guards the order of events in each: when
// evidence starts, lapses, and when restrictions come into force.
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
			tr = outsider(uint64(offset))
		case "fold":
			tr.SetKnowledge(Knowledge{Offset: uint64(offset)})
		case "watch":
			tr.Watch(uint64(offset))
		case "answer":
			answer(tr, now, sent, member, uint64(offset))
		case "log":
			tr.RecordLogRead(sent, true, uint64(offset))
		case "effective":
			return fmt.Sprintf("%v\n", tr.Effective(now, uint64(offset)))
		}
		from, behind := tr.Behind()
		until := "never"
		if tr.FreshUntil() > 0 {
			until = tr.FreshUntil().String()
		}
		return fmt.Sprintf("fresh until %s, behind %v %s\n", until, behind, from.Host)
	})
}
