package settings

import (
	"strings"
	"testing"
	"time"
)

var validSettings = `[node]
host = h1
data_centre = dc1
service = stock
insecure_loopback = true
[listen]
callers = 127.0.0.1:7001
local = 127.0.0.1:7002
peers = 127.0.0.1:7003
operators = [::1]:7004
[log]
address = http://127.0.0.1:9000
[peers]
seeds = 127.0.0.1:7003, 127.0.0.1:8003
[operator]
token_sha256 = ` + strings.Repeat("ab", 32) + "\n"

// Guards against plaintext TCP beyond loopback, and against an invalid setting
// that is accepted or is rejected without naming its section and key.
func TestParse(t *testing.T) {
	if s, err := Parse("n.ini", []byte(validSettings)); err != nil || len(s.Seeds) != 2 || s.OperatorTokenHash[31] != 0xab {
		t.Fatalf("valid settings: got %+v, error %v, want 2 seeds and a token hash that ends in ab", s, err)
	}
	cases := []struct{ old, new, want string }{
		{"host = h1\n", "", "n.ini: [node] host: key is missing"},
		{"host = h1", "hots = h1", "n.ini: [node] hots: unknown key"},
		{"callers = 127.0.0.1", "callers = 10.0.0.1", "n.ini: [listen] callers: 10.0.0.1:7001 is not a loopback address"},
		{"local = 127.0.0.1", "local = 10.0.0.1", "n.ini: [listen] local: 10.0.0.1:7002 is not a loopback address"},
		{"peers = 127.0.0.1", "peers = localhost", `n.ini: [listen] peers: "localhost:7003" is not an IP address with a port`},
		{"http://127.0.0.1", "http://10.0.0.1", "n.ini: [log] address: 10.0.0.1:9000 is not a loopback address"},
		{"http://", "ftp://", "n.ini: [log] address: \"ftp://127.0.0.1:9000\" is not an http or https URL"},
		{"127.0.0.1:8003", "10.0.0.1:8003", "n.ini: [peers] seeds: 10.0.0.1:8003 is not a loopback address"},
		{"127.0.0.1:7003, 127", "127.0.0.1:7003, , 127", "n.ini: [peers] seeds: an item is empty"},
		{"insecure_loopback = true", "", "n.ini: [log] address: plain http needs insecure_loopback"},
		{"insecure_loopback = true", "", "n.ini: [tls]: section is missing"},
		{"= abab", "= ab", "n.ini: [operator] token_sha256: value is not 64 hexadecimal digits"},
		{"[log]", "[lag]", "n.ini: [lag]: unknown section"},
		{"[peers]", "[log]", "n.ini: [log]: section is given twice"},
	}
	for _, c := range cases {
		_, err := Parse("n.ini", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains("\n"+err.Error()+"\n", "\n"+c.want+"\n") {
			t.Errorf("%q instead of %q: got\n%v\nwant %s", c.new, c.old, err, c.want)
		}
	}
}

// Guards against settings that crash the process, or that permit plaintext TCP
// on an address that is not on loopback.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("n.ini", data)
		if err != nil {
			return
		}
		if s.InsecureLoopback && !(s.Callers.Addr().IsLoopback() && s.Peers.Addr().IsLoopback() && s.Operators.Addr().IsLoopback()) {
			t.Fatalf("accepted plaintext TCP on callers %s, peers %s, operators %s, not all on loopback", s.Callers, s.Peers, s.Operators)
		}
		if !s.InsecureLoopback && s.TLSCert == "" {
			t.Fatal("accepted settings with neither TLS nor insecure_loopback")
		}
	})
}

// Guards against terms of evacuations and cold upstreams that are lost, or so wrong that no request or any
// number of them would be sent.
func TestColdTerms(t *testing.T) {
	const base = "[node]\nhost = h\ndata_centre = d\nservice = s\nupstream = 10.0.0.1:80\n[listen]\ncallers = 10.0.0.1:1\npeers = 10.0.0.1:2\nannouncements = 10.0.0.1:3\nready = 10.0.0.1:4\nmetrics = 10.0.0.1:5\n[store]\naddress = 10.0.0.2:1\n[terms]\n"
	for terms, want := range map[string]Terms{"": {ColdOverage: 1}, "evacuate = 5000ms\ncold_overage = 1.5\ncold_slack = 8\n": {Evacuate: 5 * time.Second, ColdOverage: 1.5, ColdSlack: 8}} {
		s, err := ParseSidecar("n.ini", []byte(base+terms))
		if err != nil || s.Terms.ColdOverage != want.ColdOverage || s.Terms.ColdSlack != want.ColdSlack || s.Terms.Evacuate != want.Evacuate {
			t.Errorf("terms %q give evacuate %v, overage %v and slack %v, error %v", terms, s.Terms.Evacuate, s.Terms.ColdOverage, s.Terms.ColdSlack, err)
		}
	}
	for _, key := range []string{"evacuate", "cold_overage", "cold_slack"} {
		value := "-1"
		if key == "evacuate" {
			value = "-1s"
		}
		_, err := ParseSidecar("n.ini", []byte(base+key+" = "+value+"\n"))
		if err == nil || !strings.Contains(err.Error(), key+": value is below zero") {
			t.Errorf("%s below zero gives error %v, want one that names the key", key, err)
		}
	}
}

// Guards against limits that are ignored or accepted although they make no sense, and against
// settings without the section being refused.
func TestSidecarLimits(t *testing.T) {
	const base = "[node]\nhost = h\ndata_centre = d\nservice = s\nupstream = 127.0.0.1:1\n[listen]\ncallers = 127.0.0.1:2\npeers = 127.0.0.1:3\nannouncements = 127.0.0.1:4\nready = 127.0.0.1:5\nmetrics = 127.0.0.1:6\n[store]\naddress = 127.0.0.1:7\n[terms]\n"
	for _, c := range []struct {
		section string
		want    Limits
		err     string
	}{
		{"", Limits{}, ""},
		{"[limits]\n", Limits{}, ""},
		{"[limits]\nmemory_mb = 184\nmax_descriptors = 4100\n", Limits{184, 4100}, ""},
		{"[limits]\nmemory_mb = 184.0\n", Limits{MemoryMB: 184}, ""},
		{"[limits]\nmax_descriptors = 1e300\n", Limits{}, "max_descriptors: value is too large"},
		{"[limits]\nmemory_mb = -1\n", Limits{}, "memory_mb: value is below zero"},
		{"[limits]\nmax_fds = 1\n", Limits{}, "max_fds: unknown key"},
	} {
		s, err := ParseSidecar("n.ini", []byte(base+c.section))
		switch {
		case c.err != "":
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%q: error %v, want %q", c.section, err, c.err)
			}
		case err != nil || s.Limits != c.want:
			t.Errorf("%q: limits %+v, error %v; want %+v", c.section, s.Limits, err, c.want)
		}
	}
}
