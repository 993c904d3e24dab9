package engine

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomhatch/internal/mesh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a field that is changed by encoding and parsing.
func TestHopAndLoadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hop := Hop{
			Action:     mesh.ActionID(rapid.Uint64().Draw(t, "action")),
			Workspace:  mesh.Workspace(rapid.String().Draw(t, "workspace")),
			Service:    mesh.Service(rapid.String().Draw(t, "service")),
			Class:      mesh.Class(rapid.IntRange(0, mesh.NumClasses-1).Draw(t, "class")),
			Remaining:  time.Duration(rapid.Int64Range(0, 3_600_000_000).Draw(t, "remaining")) * time.Microsecond,
			Allowance:  rapid.IntRange(0, maxHopAllowance).Draw(t, "allowance"),
			Depth:      rapid.IntRange(0, maxHopDepth).Draw(t, "depth"),
			Resumed:    rapid.Bool().Draw(t, "resumed"),
			Continued:  rapid.Bool().Draw(t, "continued"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Wall:       rapid.Int64Range(0, 1<<62).Draw(t, "wall"),
			Logical:    rapid.Uint32().Draw(t, "logical"),
		}
		if got, err := ParseHop(hop.Encode()); err != nil || got != hop {
			t.Fatalf("got %+v (%v), want %+v", got, err, hop)
		}
		load := Load{
			InFlight: rapid.IntRange(0, 1<<30).Draw(t, "in flight"),
			Limit:    rapid.IntRange(0, 1<<30).Draw(t, "limit"),
			Cut:      mesh.Cut{Class: mesh.ClassNormal, Share: uint16(rapid.IntRange(0, mesh.CutScale).Draw(t, "share"))},
			Returned: rapid.IntRange(0, maxHopAllowance).Draw(t, "returned"),
		}
		if got, err := ParseLoad(load.Encode()); err != nil || got != load {
			t.Fatalf("got %+v (%v), want %+v", got, err, load)
		}
	})
}

// Guards against a malformed header from a faulty peer that crashes the node or passes
// values that are out of range.
func FuzzParseHop(f *testing.F) {
	f.Add(Hop{Class: mesh.ClassBulk}.Encode())
	f.Add("a=zz")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := ParseHop(s)
		if err == nil && (h.Class >= mesh.NumClasses || h.Remaining < 0 || h.Allowance < 0) {
			t.Fatalf("accepted %q as %+v", s, h)
		}
	})
}
