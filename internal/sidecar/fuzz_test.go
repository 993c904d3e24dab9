package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/pressure"
)

// A hop header comes from another process and may be malformed: it must be rejected or give
// values within their bounds, and never end the process.
func FuzzParseHop(f *testing.F) {
	valid := hop{Service: "web", Route: "read", Level: 3, Weight: 1, Remaining: time.Second, MaxWait: time.Millisecond, Grace: 30 * time.Millisecond}
	f.Add(valid.encode())
	f.Add("1;a/5;web;w;s;99999999999999999999;i;1;1;r;1;1")
	f.Add("1;a/5;web;w;s;-9223372036854775808;ior;9223372036854775807;-1;r;NaN;-5")
	f.Add(strings.Repeat(";", 11))
	f.Add(strings.Repeat("[", 100_000))
	f.Fuzz(func(t *testing.T, value string) {
		h, err := parseHop(value)
		if err != nil {
			return
		}
		if h.Level >= pressure.NumLevels || h.Grace < 0 || h.Grace > maxGrace {
			t.Errorf("%q is parsed as %+v", value, h)
		}
		_, _ = parseHop(h.encode())
		h.parseOrigin(value)
		if !(h.Fanout >= pressure.MinFanout && h.Fanout <= pressure.MaxFanout) {
			t.Errorf("%q gives the fanout %v", value, h.Fanout)
		}
	})
}

// The same for the report that comes with each response of a peer.
func FuzzParseReport(f *testing.F) {
	valid := report{Cut: pressure.CutAt(4.5)}
	f.Add(valid.encode())
	valid.Origin, valid.HasOrigin = pressure.OriginCut{Cut: pressure.CutAt(4.2), Service: "web", Cost: 0.4}, true
	f.Add(valid.encode())
	f.Add("1,2,3,4,ff,cost=NaN,cut=zz,at=%zz,cost=-1e999,rank=-5-99999999999999999999")
	f.Add("1,2,3,4,")
	f.Add("1,2,3,1,ff,usual=12000,slow=2.50")
	f.Add("1,2,3,1,ff,usual=99999999999999999999,slow=NaN,later,=,slow=-1")
	f.Add("-1,99999999999999999999,0,300,0")
	f.Add(strings.Repeat(",", 100_000))
	f.Fuzz(func(t *testing.T, value string) {
		if r, ok := parseReport(http.Header{loadHeader: {value}}); ok {
			if l := r.Load; l.UsualLatency < 0 || l.UsualLatency > maxUsualLatency || l.Slowness != 0 && !(l.Slowness >= 1 && l.Slowness <= maxSlowness) {
				t.Errorf("%q is parsed as %+v", value, l)
			}
			for level := range pressure.Level(pressure.NumLevels) {
				if share := r.Cut.Share(level); share < 0 || share > 1 {
					t.Errorf("%q gives level %d the share %v", value, level, share)
				}
				if share := r.Origin.Cut.Share(level); r.HasOrigin && (share < 0 || share > 1) {
					t.Errorf("%q gives level %d of the origin the share %v", value, level, share)
				}
			}
			if !(r.Origin.Cost >= 0 && r.Origin.Cost < 3600) || r.Origin.First >= pressure.NumLevels || r.Origin.Last >= pressure.NumLevels {
				t.Errorf("%q gives %+v", value, r.Origin)
			}
		}
	})
}
