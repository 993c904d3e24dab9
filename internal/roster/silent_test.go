package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamomhatch/internal/mesh"
)

// replaceTime is the time until a message on a silent connection has been sent once more on a
// new one: silenceTimeout of package peer and the time to connect.
const replaceTime = 320 * time.Millisecond

// silenceConnections makes all connections to the store silent, with the reads that are open,
// and connShare of the connections of hostShare of the hosts to other nodes.
func (f *fleet) silenceConnections(random *rand.Rand, hostShare, connShare float64) {
	affected := map[mesh.Host]bool{}
	hosts := make([]mesh.Host, 0, len(f.rosters))
	for i := range len(f.rosters) {
		hosts = append(hosts, member(i, 1).Node.Host)
	}
	for _, i := range random.Perm(len(hosts))[:int(hostShare*float64(len(hosts)))] {
		affected[hosts[i]] = true
	}
	for _, host := range hosts {
		f.followers[host].lost, f.followers[host].stale = true, !f.followers[host].open
		for _, to := range hosts {
			link := [2]mesh.Host{host, to}
			if f.links[link] && (affected[host] || affected[to]) && random.Float64() < connShare {
				f.silentLinks[link] = 0
			}
		}
	}
}

// Connections between nodes and to the store go silent at one moment, which is not reported.
// A declaration that the store acknowledges around that moment must be in force everywhere 3 s
// after the silence and 2 s after the acknowledgement, whichever is later. It once took up to
// 3 s from the acknowledgement: a reader paused after its lost read, and each message on a
// silent connection was dropped after 2 s.
func TestDeclarationWhileConnectionsGoSilent(t *testing.T) {
	// Time for scheduling and for parsing the declaration on a small machine.
	const margin = 800 * time.Millisecond
	for _, c := range []struct {
		nodes, dataCentres int
		seeds              uint64
	}{{15, 3, 5}, {16, 4, 5}, {28, 4, 2}, {95, 5, 1}} {
		t.Run(fmt.Sprint(c.nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			var longest time.Duration
			for _, after := range []time.Duration{-2000, -500, -10, 0, 300, 600, 1000, 1500, 2000, 3500, 5000} {
				after *= time.Millisecond
				var took []time.Duration
				for seed := range c.seeds {
					random := rand.New(rand.NewPCG(seed, uint64(after)))
					f := newFleet(c.nodes, c.dataCentres)
					f.start()
					f.run(time.Duration(random.IntN(3000)) * time.Millisecond)
					silenceAt := f.now + max(-after, 0)
					declareAt := silenceAt + after
					limit := max(silenceAt+3*time.Second, declareAt+2*time.Second)
					for f.version == 1 || f.now <= silenceAt || f.lackingNodes() > 0 && f.now < limit+5*time.Second {
						if f.now == declareAt {
							f.version++
						}
						if f.now == silenceAt {
							f.silenceConnections(random, 0.7+0.2*random.Float64(), 0.5+0.4*random.Float64())
						}
						f.run(10 * time.Millisecond)
					}
					took = append(took, f.now-limit)
				}
				longest = slices.Max(append(took, -time.Hour))
				if longest > -margin {
					t.Errorf("acknowledged %v after the silence: in force everywhere %v after the bound in the worst of %d runs, want %v before it", after, longest, c.seeds, margin)
				} else {
					t.Logf("acknowledged %v after the silence: in force everywhere %v before the bound in the worst run", after, -longest)
				}
			}
		})
	}
}
