package settings

import (
	"net/netip"
	"time"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// Sidecar are the checked settings of a node on a platform that stores the
// operator's declaration and keeps no list of nodes.
type Sidecar struct {
	Host       mesh.Host
	DataCentre mesh.DataCentre
	Service    mesh.Service   // of the upstream beside the node
	Upstream   netip.AddrPort // its address

	Callers       netip.AddrPort
	Peers         netip.AddrPort
	Announcements netip.AddrPort
	Ready         netip.AddrPort
	Metrics       netip.AddrPort

	Store netip.AddrPort

	Terms Terms
}

// Terms are the operator's bounds. Those that are left out have the defaults.
type Terms struct {
	Heartbeat      time.Duration // between announcements of an upstream
	Drain          time.Duration // a leaving upstream serves so long after its notice
	Grace          time.Duration // from SIGTERM to SIGKILL
	RetryRatio     float64       // repeats per request at one service
	RetryAllowance float64       // repeats per window beyond the ratio
	RetryWindow    time.Duration
	QuotaWindow    time.Duration
	QuotaOverage   float64 // part by which a workspace may exceed its limit in a window
	QuotaSlack     float64 // requests by which it may exceed it further
}

const (
	defaultHeartbeat   = 1500 * time.Millisecond
	defaultDrain       = 2 * time.Second
	defaultGrace       = 6 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultQuotaWindow = 5 * time.Second
)

// ParseSidecar reads and checks settings. The error is an inifile.Problems.
func ParseSidecar(file string, data []byte) (Sidecar, error) {
	p := newParser(file, data)
	s := p.readSidecar()
	p.refuseRest()
	return s, p.problems.Err()
}

func (p *parser) readSidecar() Sidecar {
	var s Sidecar
	p.with("node", func(sec *inifile.Section) {
		s.Host = mesh.Host(sec.Text("host"))
		s.DataCentre = mesh.DataCentre(sec.Text("data_centre"))
		s.Service = mesh.Service(sec.Text("service"))
		s.Upstream = p.address(sec, "upstream", sec.Text("upstream"), false)
	})
	p.with("listen", func(sec *inifile.Section) {
		s.Callers = p.address(sec, "callers", sec.Text("callers"), false)
		s.Peers = p.address(sec, "peers", sec.Text("peers"), false)
		s.Announcements = p.address(sec, "announcements", sec.Text("announcements"), false)
		s.Ready = p.address(sec, "ready", sec.Text("ready"), false)
		s.Metrics = p.address(sec, "metrics", sec.Text("metrics"), false)
	})
	p.with("store", func(sec *inifile.Section) {
		s.Store = p.address(sec, "address", sec.Text("address"), false)
	})
	p.with("terms", func(sec *inifile.Section) { s.Terms = readTerms(sec) })
	return s
}

func readTerms(sec *inifile.Section) Terms {
	t := Terms{
		Heartbeat:      sec.DurationOr("heartbeat", defaultHeartbeat),
		Drain:          sec.DurationOr("drain", defaultDrain),
		Grace:          sec.DurationOr("grace", defaultGrace),
		RetryRatio:     sec.FloatOr("retry_ratio", defaultRetryRatio),
		RetryAllowance: sec.FloatOr("retry_allowance", 0),
		RetryWindow:    sec.DurationOr("retry_window", defaultRetryWindow),
		QuotaWindow:    sec.DurationOr("quota_window", defaultQuotaWindow),
		QuotaOverage:   sec.FloatOr("quota_overage", 0),
		QuotaSlack:     sec.FloatOr("quota_slack", 0),
	}
	for _, one := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat", t.Heartbeat}, {"drain", t.Drain}, {"grace", t.Grace},
		{"retry_window", t.RetryWindow}, {"quota_window", t.QuotaWindow},
	} {
		if one.value <= 0 {
			sec.AddProblem(one.key, "value is not above zero")
		}
	}
	for _, one := range []struct {
		key   string
		value float64
	}{
		{"retry_ratio", t.RetryRatio}, {"retry_allowance", t.RetryAllowance},
		{"quota_overage", t.QuotaOverage}, {"quota_slack", t.QuotaSlack},
	} {
		if one.value < 0 {
			sec.AddProblem(one.key, "value is below zero")
		}
	}
	return t
}
