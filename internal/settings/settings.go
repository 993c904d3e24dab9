// Package settings reads and validates the settings of a node process. They are
// the only source of its host, addresses and data centre, so invalid settings
// are rejected before the process listens or connects anywhere.
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

// Settings holds the validated settings of a process.
type Settings struct {
	Host       mesh.Host
	DataCentre mesh.DataCentre
	Service    mesh.Service
	// InsecureLoopback permits plaintext TCP; every address must then be on
	// loopback.
	InsecureLoopback bool

	// Addresses to listen on.
	Callers   netip.AddrPort
	Local     netip.AddrPort // always on loopback, because the upstream is on the same host
	Peers     netip.AddrPort
	Operators netip.AddrPort

	LogURL string           // base URL of the log service
	Seeds  []netip.AddrPort // peer addresses of nodes to fetch state from while the log is unavailable

	TLSCert, TLSKey, TLSCA string // file paths; may be empty only with InsecureLoopback

	OperatorTokenHash [32]byte // SHA-256 of the operator token

	// Unset lists the optional settings that are present without a value and count as not
	// set, as "[section] key", separated by commas.
	Unset string
}

// Parse parses and validates settings. The error is an inifile.Problems.
func Parse(file string, data []byte) (Settings, error) {
	p := newParser(file, data)
	settings := p.readSettings()
	p.reportUnknownSections()
	settings.Unset = strings.Join(p.unset, ", ")
	return settings, p.problems.Err()
}

// newParser splits a file into sections and reports duplicate ones. If a section
// occurs twice, the first is used.
func newParser(file string, data []byte) *parser {
	p := &parser{file: file, sections: map[string]*inifile.Section{}, problems: &inifile.Problems{}}
	for _, s := range inifile.Load(file, data, p.problems) {
		if p.sections[s.Name] != nil {
			s.AddProblem("", "section is given twice")
			continue
		}
		s.EmptyIsUnset = true
		p.sections[s.Name] = s
	}
	return p
}

// reportUnknownSections reports the sections that have not been read.
func (p *parser) reportUnknownSections() {
	for _, name := range slices.Sorted(maps.Keys(p.sections)) {
		p.sections[name].AddProblem("", "unknown section")
	}
}

type parser struct {
	file             string
	sections         map[string]*inifile.Section // sections not yet read, by name
	problems         *inifile.Problems
	unset            []string // optional settings that are present without a value
	insecureLoopback bool
}

func (p *parser) readSettings() Settings {
	var s Settings
	p.readSection("node", func(sec *inifile.Section) {
		s.Host = mesh.Host(sec.Text("host"))
		s.DataCentre = mesh.DataCentre(sec.Text("data_centre"))
		s.Service = mesh.Service(sec.Text("service"))
		s.InsecureLoopback = sec.BoolOr("insecure_loopback", false)
		p.insecureLoopback = s.InsecureLoopback
	})
	p.readSection("listen", func(sec *inifile.Section) {
		s.Callers = p.parseAddress(sec, "callers", sec.Text("callers"), p.insecureLoopback)
		s.Local = p.parseAddress(sec, "local", sec.Text("local"), true)
		s.Peers = p.parseAddress(sec, "peers", sec.Text("peers"), p.insecureLoopback)
		s.Operators = p.parseAddress(sec, "operators", sec.Text("operators"), p.insecureLoopback)
	})
	p.readSection("log", func(sec *inifile.Section) {
		s.LogURL = sec.Text("address")
		p.checkLogURL(sec, s.LogURL)
	})
	p.readSection("peers", func(sec *inifile.Section) {
		for _, seed := range strings.Split(sec.Text("seeds"), ",") {
			if strings.TrimSpace(seed) == "" {
				sec.AddProblem("seeds", "an item is empty")
				continue
			}
			s.Seeds = append(s.Seeds, p.parseAddress(sec, "seeds", strings.TrimSpace(seed), p.insecureLoopback))
		}
	})
	if !p.insecureLoopback || p.sections["tls"] != nil {
		p.readSection("tls", func(sec *inifile.Section) { s.readTLS(sec) })
	}
	p.readSection("operator", func(sec *inifile.Section) {
		hash, err := hex.DecodeString(sec.Text("token_sha256"))
		if err != nil || len(hash) != len(s.OperatorTokenHash) {
			sec.AddProblem("token_sha256", "value is not 64 hexadecimal digits")
		}
		copy(s.OperatorTokenHash[:], hash)
	})
	return s
}

// readTLS reads the files of TLS. With insecure_loopback they are optional, but only together.
func (s *Settings) readTLS(sec *inifile.Section) {
	if s.InsecureLoopback && sec.TextOr("cert", "")+sec.TextOr("key", "")+sec.TextOr("ca", "") == "" {
		return
	}
	s.TLSCert, s.TLSKey, s.TLSCA = sec.Text("cert"), sec.Text("key"), sec.Text("ca")
}

// readSection passes a required section to read, and removes it from p.sections
// so that it does not count as unknown.
func (p *parser) readSection(name string, read func(*inifile.Section)) {
	sec := p.sections[name]
	if sec == nil {
		*p.problems = append(*p.problems, inifile.Problem{File: p.file, Section: name, Reason: "section is missing"})
		return
	}
	read(sec)
	sec.ReportUnknownKeys()
	for _, key := range sec.Unset() {
		p.unset = append(p.unset, "["+name+"] "+key)
	}
	delete(p.sections, name)
}

func (p *parser) parseAddress(sec *inifile.Section, key, text string, requireLoopback bool) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{} // Section.Text has reported a missing or empty value; empty items of a list are not reported
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().Zone() != "" {
		sec.AddProblem(key, fmt.Sprintf("%q is not an IP address with a port", text))
		return a
	}
	if requireLoopback && !a.Addr().IsLoopback() {
		sec.AddProblem(key, fmt.Sprintf("%s is not a loopback address", a))
	}
	return a
}

// checkLogURL reports a URL whose host is not an IP address with a port. It
// permits http only with insecure_loopback, which requires a loopback address.
func (p *parser) checkLogURL(sec *inifile.Section, address string) {
	if address == "" {
		return
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		sec.AddProblem("address", fmt.Sprintf("%q is not an http or https URL", address))
		return
	}
	if u.Scheme == "http" && !p.insecureLoopback {
		sec.AddProblem("address", "plain http needs insecure_loopback")
	}
	p.parseAddress(sec, "address", u.Host, p.insecureLoopback)
}
