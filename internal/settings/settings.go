// Package settings reads the settings of one node process. A process knows its
// host, its addresses and its data centre only from here, so a wrong setting is
// refused before anything listens or connects.
package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"cardamomhatch/internal/inifile"
	"cardamomhatch/internal/mesh"
)

// Settings are the checked settings of one process.
type Settings struct {
	Host       mesh.Host
	DataCentre mesh.DataCentre
	Service    mesh.Service
	// InsecureLoopback permits plain TCP; every address is then on loopback.
	InsecureLoopback bool

	Callers   netip.AddrPort
	Local     netip.AddrPort // always on loopback: the upstream shares the host
	Peers     netip.AddrPort
	Operators netip.AddrPort

	LogAddress string // base URL of the log service
	Seeds      []netip.AddrPort

	TLSCert, TLSKey, TLSCA string // paths; empty only with InsecureLoopback

	OperatorTokenHash [32]byte // SHA-256 of the operator token
}

// Parse reads and checks settings. The error is an inifile.Problems.
func Parse(file string, data []byte) (Settings, error) {
	p := newParser(file, data)
	settings := p.read()
	p.refuseRest()
	return settings, p.problems.Err()
}

// newParser splits a file into sections.
func newParser(file string, data []byte) *parser {
	p := &parser{file: file, sections: map[string]*inifile.Section{}, problems: &inifile.Problems{}}
	for _, s := range inifile.Load(file, data, p.problems) {
		if p.sections[s.Name] != nil {
			s.AddProblem("", "section is given twice")
			continue
		}
		p.sections[s.Name] = s
	}
	return p
}

// refuseRest refuses the sections that nothing has read.
func (p *parser) refuseRest() {
	for _, name := range slices.Sorted(maps.Keys(p.sections)) {
		p.sections[name].AddProblem("", "unknown section")
	}
}

type parser struct {
	file     string
	sections map[string]*inifile.Section
	problems *inifile.Problems
	insecure bool
}

func (p *parser) read() Settings {
	var s Settings
	p.with("node", func(sec *inifile.Section) {
		s.Host = mesh.Host(sec.Text("host"))
		s.DataCentre = mesh.DataCentre(sec.Text("data_centre"))
		s.Service = mesh.Service(sec.Text("service"))
		s.InsecureLoopback = sec.BoolOr("insecure_loopback", false)
		p.insecure = s.InsecureLoopback
	})
	p.with("listen", func(sec *inifile.Section) {
		s.Callers = p.address(sec, "callers", sec.Text("callers"), p.insecure)
		s.Local = p.address(sec, "local", sec.Text("local"), true)
		s.Peers = p.address(sec, "peers", sec.Text("peers"), p.insecure)
		s.Operators = p.address(sec, "operators", sec.Text("operators"), p.insecure)
	})
	p.with("log", func(sec *inifile.Section) {
		s.LogAddress = sec.Text("address")
		p.checkLog(sec, s.LogAddress)
	})
	p.with("peers", func(sec *inifile.Section) {
		for _, seed := range strings.Split(sec.Text("seeds"), ",") {
			s.Seeds = append(s.Seeds, p.address(sec, "seeds", strings.TrimSpace(seed), p.insecure))
		}
	})
	if !p.insecure || p.sections["tls"] != nil {
		p.with("tls", func(sec *inifile.Section) {
			s.TLSCert, s.TLSKey, s.TLSCA = sec.Text("cert"), sec.Text("key"), sec.Text("ca")
		})
	}
	p.with("operator", func(sec *inifile.Section) {
		hash, err := hex.DecodeString(sec.Text("token_sha256"))
		if err != nil || len(hash) != len(s.OperatorTokenHash) {
			sec.AddProblem("token_sha256", "value is not 64 hexadecimal digits")
		}
		copy(s.OperatorTokenHash[:], hash)
	})
	return s
}

// with reads a required section and removes it from those that are left.
func (p *parser) with(name string, read func(*inifile.Section)) {
	sec := p.sections[name]
	if sec == nil {
		*p.problems = append(*p.problems, inifile.Problem{File: p.file, Section: name, Reason: "section is missing"})
		return
	}
	read(sec)
	sec.ReportUnknownKeys()
	delete(p.sections, name)
}

func (p *parser) address(sec *inifile.Section, key, text string, loopback bool) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{} // already refused as missing
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().Zone() != "" {
		sec.AddProblem(key, fmt.Sprintf("%q is not an IP address with a port", text))
		return a
	}
	if loopback && !a.Addr().IsLoopback() {
		sec.AddProblem(key, fmt.Sprintf("%s is not a loopback address", a))
	}
	return a
}

// checkLog permits http only to a loopback address with insecure_loopback.
func (p *parser) checkLog(sec *inifile.Section, address string) {
	if address == "" {
		return
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		sec.AddProblem("address", fmt.Sprintf("%q is not an http or https URL", address))
		return
	}
	if u.Scheme == "http" && !p.insecure {
		sec.AddProblem("address", "plain http needs insecure_loopback")
	}
	p.address(sec, "address", u.Host, p.insecure)
}
