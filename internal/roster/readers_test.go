package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

const (
	// applyTime is the time in which operators expect a declaration to be in force at all nodes
	// that the store answers.
	applyTime = 2 * time.Second
	// touchTime is how long the store must have answered a node before operators expect that.
	touchTime = 3 * time.Second
)

// partialOutage is an outage in which the store answers a part of the nodes only.
type partialOutage struct {
	*fleet
	random       *rand.Rand
	served       float64                     // share of the nodes that the store answers
	silent       map[mesh.Host]bool          // the others
	servedSince  map[mesh.Host]time.Duration // missing for those
	declaredAt   map[uint64]time.Duration    // by version
	lateHosts    map[mesh.Host]bool          // that lacked a version for longer than applyTime
	longestDelay time.Duration
}

func newPartialOutage(f *fleet, served float64, seed uint64) *partialOutage {
	o := &partialOutage{
		fleet: f, random: rand.New(rand.NewPCG(seed, 2)), served: served, silent: map[mesh.Host]bool{},
		servedSince: map[mesh.Host]time.Duration{}, declaredAt: map[uint64]time.Duration{}, lateHosts: map[mesh.Host]bool{},
	}
	for host := range f.rosters {
		o.servedSince[host] = 0
	}
	return o
}

// begin draws the nodes that the store answers from now on, at least one: those with readers
// among them, or none of the readers.
func (o *partialOutage) begin(readers bool) {
	var hosts []mesh.Host
	for i := range len(o.rosters) {
		if host := member(i, 1).Node.Host; readers || o.rosters[host].ReaderRank() >= 2 {
			hosts = append(hosts, host)
		}
	}
	o.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	served := map[mesh.Host]bool{}
	for _, host := range hosts[:max(1, int(o.served*float64(len(hosts))))] {
		served[host] = true
	}
	for host := range o.rosters {
		o.silent[host] = !served[host]
		if _, before := o.servedSince[host]; !served[host] {
			delete(o.servedSince, host)
		} else if !before {
			o.servedSince[host] = o.now
		}
	}
}

// loseSubstitutes ends the nodes that read in place of the readers.
func (o *partialOutage) loseSubstitutes() {
	for host, r := range o.rosters {
		if r.IsSubstitute() {
			o.down[host] = true
			delete(o.servedSince, host)
		}
	}
}

// declare declares versions at random moments for the given time and watches the nodes that
// the store answers.
func (o *partialOutage) declare(length time.Duration) {
	next := o.now + 20*time.Millisecond
	for end := o.now + length; o.now < end; o.run(10 * time.Millisecond) {
		if o.now >= next {
			o.version++
			o.declaredAt[o.version] = o.now
			next = o.now + time.Duration(300+o.random.IntN(2000))*time.Millisecond
		}
		for host, since := range o.servedSince {
			if o.declarations[host] >= o.version || o.now-since < touchTime {
				continue
			}
			delay := o.now - o.declaredAt[o.declarations[host]+1]
			o.longestDelay = max(o.longestDelay, delay)
			if delay > applyTime {
				o.lateHosts[host] = true
			}
		}
	}
}

// The store may answer no reader and few other nodes, be it that it is silent to the others or
// that it refuses their reads. The nodes that it answers must have each declaration within the
// operator's two seconds: a node that was no reader once read only when all knowledge was 3 s
// old, and then waited for another 3 s.
func TestDeclarationWhileTheStoreAnswersNoReader(t *testing.T) {
	for _, c := range []struct {
		nodes, dataCentres int
		served             float64
		seeds              uint64
	}{
		{16, 3, 0.1, 8}, {16, 3, 0.6, 8}, {28, 4, 0.05, 8}, {28, 4, 0.5, 8}, {88, 4, 0.05, 2}, {95, 3, 0.1, 2},
	} {
		for _, kind := range []string{"silent", "refused", "silent to others after 4 s", "silent to any others after 4 s", "substitutes lost after 4 s"} {
			t.Run(fmt.Sprintf("%d nodes, %v served, %s", c.nodes, c.served, kind), func(t *testing.T) {
				t.Parallel()
				for seed := range c.seeds {
					f := newFleet(c.nodes, c.dataCentres)
					f.start()
					o := newPartialOutage(f, c.served, seed)
					f.run(time.Duration(o.random.IntN(2000)) * time.Millisecond)
					if unanswered := func(h mesh.Host) bool { return o.silent[h] }; kind == "refused" {
						f.refused = unanswered
					} else {
						f.silent = unanswered
					}
					o.begin(false)
					o.declare(4 * time.Second)
					switch kind {
					case "silent to others after 4 s":
						o.begin(false)
					case "silent to any others after 4 s":
						o.begin(true)
					case "substitutes lost after 4 s":
						o.loseSubstitutes()
					}
					o.declare(6 * time.Second)
					if len(o.lateHosts) > 0 {
						t.Errorf("seed %d: %d nodes that the store answers lacked a declaration for over %v, one for %v", seed, len(o.lateHosts), applyTime, o.longestDelay)
					}
				}
			})
		}
	}
}

// Outages that begin while others last, and pauses of nodes that read for the others, must not
// leave a data centre without a reader, or with too many of them afterwards.
func TestDeclarationWhileOutagesAndPausesOverlap(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(16, 3)
		f.start()
		o := newPartialOutage(f, 0.1+0.1*float64(seed%5), seed)
		f.silent = func(h mesh.Host) bool { return o.silent[h] }
		for range 8 {
			o.begin(o.random.IntN(2) == 0)
			if o.random.IntN(2) == 0 {
				o.loseSubstitutes()
			}
			o.declare(time.Duration(800+o.random.IntN(5000)) * time.Millisecond)
			for host := range f.down {
				delete(f.down, host)
				if !o.silent[host] {
					o.servedSince[host] = f.now
				}
			}
		}
		if len(o.lateHosts) > 0 {
			t.Errorf("seed %d: %d nodes that the store answers lacked a declaration for over %v, one for %v", seed, len(o.lateHosts), applyTime, o.longestDelay)
		}
		f.silent = func(mesh.Host) bool { return false }
		f.run(maxSubstituteTime + 5*time.Second)
		f.reads = 0
		f.run(10 * time.Second)
		if f.reads > 72 { // as many for each data centre as TestControlBytesDoNotGrowWithTheFleet allows
			t.Errorf("seed %d: %d reads in ten seconds long after the outages, want at most 72", seed, f.reads)
		}
		if took := f.spread(10 * time.Second); took > applyTime {
			t.Errorf("seed %d: in force everywhere after %v, want %v", seed, took, applyTime)
		}
	}
}
