package roster

import (
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// startReaders returns a network of five nodes of one data centre that know each other, and
// their hosts in the order in which they are to read.
func startReaders(t *testing.T) (*network, []mesh.Host) {
	n := newNetwork(5, 1)
	n.mergeFromStore()
	n.run(3 * time.Second)
	hosts := make([]mesh.Host, 5)
	for host, r := range n.rosters {
		hosts[r.ReaderRank()] = host
	}
	return n, hosts
}

// fail and answer report the outcome of a read of one host and let the news spread.
func (n *network) fail(host mesh.Host) {
	n.rosters[host].ReadFailed(n.now)
	n.send(host, n.rosters[host].Outgoing())
	n.run(100 * time.Millisecond)
}

func (n *network) answer(host mesh.Host) {
	n.rosters[host].ReadAnswered(n.now)
	n.send(host, n.rosters[host].Outgoing())
	n.run(100 * time.Millisecond)
}

// check tests at all live nodes whether there is a doubt, and which node is the substitute.
func (n *network) check(t *testing.T, when string, doubt bool, substitute mesh.Host) {
	t.Helper()
	for host, r := range n.rosters {
		if n.down[host] {
			continue
		}
		if round, _ := r.Doubt(n.now); round > 0 != doubt || r.reads.substitute != substitute {
			t.Errorf("%s: %s knows the doubt %d and the substitute %q, want a doubt: %v and the substitute %q", when, host, round, r.reads.substitute, doubt, substitute)
		}
	}
}

// If the store answers no reader, another node must read in their place until it answers a
// reader again, and the failed reads of readers must not start the search for one again.
func TestSubstituteReadsUntilAReaderIsAnswered(t *testing.T) {
	n, hosts := startReaders(t)
	n.check(t, "at first", false, "")
	n.fail(hosts[1])
	n.check(t, "after a failed read", true, "")
	n.answer(hosts[3])
	n.check(t, "after an answered one", false, hosts[3])
	n.fail(hosts[0])
	n.fail(hosts[1])
	n.answer(hosts[3])
	n.check(t, "after the readers have failed again", false, hosts[3])
	n.fail(hosts[3])
	n.check(t, "after a failed read of the substitute", true, "")
	n.rosters[hosts[3]].StopReading()
	n.answer(hosts[2])
	n.check(t, "after an answered one", false, hosts[2])
	n.answer(hosts[1])
	n.check(t, "after an answered read of one of two failed readers", true, "") // hosts[0] is not answered
	n.answer(hosts[1])
	n.check(t, "after another one", false, hosts[1])
	n.answer(hosts[0])
	n.check(t, "after the other reader was answered", false, "")
}

// A substitute that dies or leaves must be replaced although the readers do not tell again that
// the store does not answer them.
func TestLossOfASubstituteIsADoubt(t *testing.T) {
	for name, lose := range map[string]func(*network, mesh.Host){
		"dies": func(n *network, host mesh.Host) { n.down[host] = true },
		"stops": func(n *network, host mesh.Host) {
			n.rosters[host].Update(true /* urgent */, func(r *Record) { r.Stopping = true })
			n.send(host, n.rosters[host].Outgoing())
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, hosts := startReaders(t)
			n.fail(hosts[0])
			n.answer(hosts[4])
			lose(n, hosts[4])
			n.run(substituteTimeout)
			if round, _ := n.rosters[hosts[2]].Doubt(n.now); round == 0 {
				t.Error("there is no doubt after the loss of the substitute")
			}
			n.answer(hosts[2])
			n.check(t, "after an answered read", false, hosts[2])
		})
	}
}

// A substitute must not read for ever if the readers that failed are gone, and a reader that
// still fails must not leave the data centre without one when it steps back.
func TestSubstituteStepsBack(t *testing.T) {
	for _, gone := range []bool{true, false} {
		n, hosts := startReaders(t)
		n.fail(hosts[0])
		n.answer(hosts[3])
		if gone {
			n.rosters[hosts[0]].StopReading()
		}
		for until := n.now + maxSubstituteTime - time.Second; n.now < until; n.answer(hosts[3]) {
			n.run(800 * time.Millisecond)
			n.check(t, "while it reads", false, hosts[3])
		}
		n.run(time.Second)
		n.answer(hosts[3])
		n.check(t, "after the longest time", !gone, "")
	}
}

// One message with an absurd number must not leave a data centre in doubt for ever.
func TestAbsurdReadRoundIsIgnored(t *testing.T) {
	n, hosts := startReaders(t)
	from := n.rosters[hosts[4]].Self().Member
	for _, round := range []uint64{1<<64 - 1, maxReadRound + 1} {
		n.rosters[hosts[3]].Deliver(n.now, from.Node, Digest{From: from, ReadRound: round})
	}
	n.run(time.Second)
	n.check(t, "after an absurd message", false, "")
}

// Nodes of another data centre have readers of their own.
func TestDoubtsStayInTheirDataCentre(t *testing.T) {
	f := newFleet(8, 2)
	f.start()
	f.followers = nil // no reads but those of the test
	host := f.readersOf()["dc-0"][0]
	f.fail(host)
	f.run(2 * time.Second)
	for h, r := range f.rosters {
		round, _ := r.Doubt(f.now)
		if want := r.Self().Member.DataCentre == "dc-0"; round > 0 != want {
			t.Errorf("%s knows of a doubt in dc-0: %v, want %v", h, round > 0, want)
		}
	}
}
