package mesh

import "testing"

// Guards against a cut that sheds a more important class before a less important one,
// and against a share that admits a different fraction of the actions.
func TestCutAdmits(t *testing.T) {
	cut := Cut{Class: ClassNormal, Share: CutScale / 4}
	admitted := 0
	const actions = 100_000
	for a := ActionID(0); a < actions; a++ {
		if !cut.Admits(ClassHigh, a) || cut.Admits(ClassBulk, a) {
			t.Fatalf("action %d: want class high admitted and class bulk shed", a)
		}
		if cut.Admits(ClassNormal, a) {
			admitted++
		}
	}
	if got := float64(admitted) / actions; got < 0.24 || got > 0.26 {
		t.Fatalf("share 1/4 admitted %.3f of the actions, want 0.24 to 0.26", got)
	}
	if !OpenCut.Admits(ClassBulk, 7) {
		t.Fatal("OpenCut shed a call")
	}
}

// Guards against rendezvous scores that distribute keys unevenly over the nodes.
func TestRendezvousScoreSpreadsKeys(t *testing.T) {
	counts := map[Host]int{}
	nodes := []NodeID{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	const keys = 40_000
	for i := 0; i < keys; i++ {
		key := string(rune('a'+i%26)) + string(rune(i))
		best := nodes[0]
		for _, n := range nodes[1:] {
			if RendezvousScore(key, n) > RendezvousScore(key, best) {
				best = n
			}
		}
		counts[best.Host]++
	}
	for host, count := range counts {
		if count < keys/5 || count > keys*3/10 {
			t.Fatalf("host %s has %d of %d keys, want 20%% to 30%%", host, count, keys)
		}
	}
}
