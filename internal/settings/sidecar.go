package settings

import (
	"net/netip"
	"strings"
	"time"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// Sidecar holds the validated settings of a node on a platform that stores the
// operator's declaration and keeps no list of nodes.
type Sidecar struct {
	Host       mesh.Host
	DataCentre mesh.DataCentre
	Service    mesh.Service   // of the node's own upstream
	Upstream   netip.AddrPort // address of the node's own upstream

	// Addresses to listen on.
	Callers       netip.AddrPort
	Peers         netip.AddrPort
	Announcements netip.AddrPort // for announcements of the upstream
	Ready         netip.AddrPort // for readiness checks of the platform
	Metrics       netip.AddrPort

	Store netip.AddrPort // address of the platform's store, which holds the declaration

	Terms  Terms
	Limits Limits

	// Unset lists the optional settings that are present without a value and count as not
	// set, as "[section] key", separated by commas.
	Unset string
}

// Limits holds what the host has for this process and for what others send to it. Zero means
// that the settings do not say.
type Limits struct {
	MemoryMB       int // memory of the host
	MaxDescriptors int // file descriptors of the host
}

// Terms holds the operating parameters that the operator may set. Those that are
// not set have defaults.
type Terms struct {
	Heartbeat      time.Duration // interval between announcements of an upstream
	Drain          time.Duration // how long an upstream still serves after it has announced that it is draining
	Grace          time.Duration // time from SIGTERM to SIGKILL
	RetryRatio     float64       // retries per request to one service
	RetryAllowance float64       // retries to one service per window in addition to the ratio
	RetryWindow    time.Duration // length of the sliding window for retries
	QuotaWindow    time.Duration // length of the window in which overage and slack are measured
	QuotaOverage   float64       // fraction of the limit by which a workspace may exceed it in a window
	QuotaSlack     float64       // requests per window by which a workspace may exceed its limit in addition to the overage
	Evacuate       time.Duration // time from the operator's request to evacuate a data centre until its upstreams get no request; zero: data centres are not evacuated
	ColdOverage    float64       // factor of its declared rate that a cold upstream tolerates in any second
	ColdSlack      float64       // requests per second that a cold upstream tolerates in addition to the overage
}

const (
	defaultHeartbeat   = 1500 * time.Millisecond
	defaultDrain       = 2 * time.Second
	defaultGrace       = 6 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultQuotaWindow = 5 * time.Second
	defaultColdOverage = 1.0
)

// ParseSidecar parses and validates the settings of a sidecar. The error is an
// inifile.Problems.
func ParseSidecar(file string, data []byte) (Sidecar, error) {
	p := newParser(file, data)
	s := p.readSidecar()
	p.reportUnknownSections()
	s.Unset = strings.Join(p.unset, ", ")
	return s, p.problems.Err()
}

// readSidecar reads all sections. It passes false to parseAddress because no address of a
// sidecar needs to be on loopback.
func (p *parser) readSidecar() Sidecar {
	var s Sidecar
	p.readSection("node", func(sec *inifile.Section) {
		s.Host = mesh.Host(sec.Text("host"))
		s.DataCentre = mesh.DataCentre(sec.Text("data_centre"))
		s.Service = mesh.Service(sec.Text("service"))
		s.Upstream = p.parseAddress(sec, "upstream", sec.Text("upstream"), false)
	})
	p.readSection("listen", func(sec *inifile.Section) {
		s.Callers = p.parseAddress(sec, "callers", sec.Text("callers"), false)
		s.Peers = p.parseAddress(sec, "peers", sec.Text("peers"), false)
		s.Announcements = p.parseAddress(sec, "announcements", sec.Text("announcements"), false)
		s.Ready = p.parseAddress(sec, "ready", sec.Text("ready"), false)
		s.Metrics = p.parseAddress(sec, "metrics", sec.Text("metrics"), false)
	})
	p.readSection("store", func(sec *inifile.Section) {
		s.Store = p.parseAddress(sec, "address", sec.Text("address"), false)
	})
	p.readSection("terms", func(sec *inifile.Section) { s.Terms = readTerms(sec) })
	if p.sections["limits"] != nil { // the section is optional
		p.readSection("limits", func(sec *inifile.Section) { s.Limits = readLimits(sec) })
	}
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
		Evacuate:       sec.DurationOr("evacuate", 0),
		ColdOverage:    sec.FloatOr("cold_overage", defaultColdOverage),
		ColdSlack:      sec.FloatOr("cold_slack", 0),
	}
	for _, param := range []struct {
		key   string
		value time.Duration
	}{
		{"heartbeat", t.Heartbeat}, {"drain", t.Drain}, {"grace", t.Grace},
		{"retry_window", t.RetryWindow}, {"quota_window", t.QuotaWindow},
	} {
		if param.value <= 0 {
			sec.AddProblem(param.key, "value is not above zero")
		}
	}
	if t.Evacuate < 0 {
		sec.AddProblem("evacuate", "value is below zero")
	}
	for _, param := range []struct {
		key   string
		value float64
	}{
		{"retry_ratio", t.RetryRatio}, {"retry_allowance", t.RetryAllowance},
		{"quota_overage", t.QuotaOverage}, {"quota_slack", t.QuotaSlack},
		{"cold_overage", t.ColdOverage}, {"cold_slack", t.ColdSlack},
	} {
		if param.value < 0 {
			sec.AddProblem(param.key, "value is below zero")
		}
	}
	return t
}

func readLimits(sec *inifile.Section) Limits {
	const most = 1 << 30
	read := func(key string) int {
		v := sec.FloatOr(key, 0) // a platform may render whole numbers with a fraction
		switch {
		case v < 0:
			sec.AddProblem(key, "value is below zero")
			return 0
		case v > most:
			sec.AddProblem(key, "value is too large")
			return 0
		}
		return int(v)
	}
	return Limits{MemoryMB: read("memory_mb"), MaxDescriptors: read("max_descriptors")}
}
