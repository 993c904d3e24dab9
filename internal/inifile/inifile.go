// Package inifile parses INI files strictly. The underlying library accepts
// duplicate sections, duplicate keys and unknown names, so a misspelt key would
// silently get its default. This package reports duplicate and unknown keys as
// problems; the packages that use it must report duplicate and unknown sections.
// All problems of a file are collected.
package inifile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one reason to reject a file.
type Problem struct {
	File    string // empty if the value does not come from a file
	Section string // empty if the problem concerns the whole file or a key outside any section
	Key     string // empty if the problem concerns the whole section
	Reason  string
}

// String formats the problem as "file: [section] key: reason".
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	if p.File != "" {
		parts = append(parts, p.File)
	}
	location := ""
	if p.Section != "" {
		location = "[" + p.Section + "]"
	}
	if p.Key != "" {
		location = strings.TrimSpace(location + " " + p.Key)
	}
	if location != "" {
		parts = append(parts, location)
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// Problems is an error that lists all problems found.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Section is one section of a file. Its methods read keys and record a problem
// for each required key that is missing and each value that is empty or malformed.
// A method whose name ends in Or returns its fallback if the key is missing or
// its value is empty.
type Section struct {
	File string
	Name string
	// EmptyIsUnset makes an optional key with an empty value count as missing instead of
	// as a problem: a renderer of templates leaves such a key for a value that it does not know.
	EmptyIsUnset bool

	unset    []string // optional keys that were read with an empty value
	values   map[string]string
	keys     []string        // names of the keys, in the order of the file
	readKeys map[string]bool // keys that a method has read; the others are unknown
	problems *Problems
}

// Load splits a file into sections and appends the problems found to problems.
// It reports keys outside of any section and keys given twice in one section.
// Duplicate sections are all returned, because only the code that uses them
// knows which sections may occur more than once.
func Load(file string, data []byte, problems *Problems) []*Section {
	// Values are taken literally. Shadows keep every value of a repeated key, so
	// that the repetition can be reported.
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		PreserveSurroundedQuote:    true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
	}
	f, err := ini.LoadSources(options, data)
	if err != nil {
		*problems = append(*problems, Problem{File: file, Reason: strings.TrimSpace(err.Error())})
		return nil
	}
	var sections []*Section
	for i, s := range f.Sections() {
		if i == 0 {
			checkPreamble(file, s, problems)
			continue
		}
		sections = append(sections, newSection(file, s, problems))
	}
	return sections
}

// checkPreamble reports keys before the first section, which the library
// collects in a default section.
func checkPreamble(file string, s *ini.Section, problems *Problems) {
	for _, k := range s.Keys() {
		*problems = append(*problems, Problem{File: file, Key: k.Name(), Reason: "key stands outside any section"})
	}
}

func newSection(file string, s *ini.Section, problems *Problems) *Section {
	section := &Section{File: file, Name: s.Name(), values: map[string]string{}, readKeys: map[string]bool{}, problems: problems}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 {
			section.AddProblem(k.Name(), fmt.Sprintf("key is given %d times", len(values)))
		}
		section.values[k.Name()] = k.Value()
		section.keys = append(section.keys, k.Name())
	}
	return section
}

// AddProblem records a problem with a key, or with the section if key is empty.
func (s *Section) AddProblem(key, reason string) {
	*s.problems = append(*s.problems, Problem{File: s.File, Section: s.Name, Key: key, Reason: reason})
}

// ReportUnknownKeys records a problem for every key that no method has read.
func (s *Section) ReportUnknownKeys() {
	for _, key := range s.keys {
		if !s.readKeys[key] {
			s.AddProblem(key, "unknown key")
		}
	}
}

// Has reports whether the section contains the key. It does not count as reading
// the key.
func (s *Section) Has(key string) bool {
	_, ok := s.values[key]
	return ok
}

func (s *Section) lookup(key string, required bool) (string, bool) {
	s.readKeys[key] = true
	v, ok := s.values[key]
	if !ok && required {
		s.AddProblem(key, "key is missing")
	}
	if ok && v == "" {
		if s.EmptyIsUnset && !required {
			s.unset = append(s.unset, key)
		} else {
			s.AddProblem(key, "value is empty")
		}
		return "", false
	}
	return v, ok
}

// Unset returns the optional keys that were read with an empty value and count as missing, in
// the order in which they were read. It is empty without EmptyIsUnset.
func (s *Section) Unset() []string { return s.unset }

// Text returns the value of a required key, or an empty string if there is none.
func (s *Section) Text(key string) string {
	v, _ := s.lookup(key, true)
	return v
}

// TextOr returns the value of an optional key.
func (s *Section) TextOr(key, fallback string) string {
	if v, ok := s.lookup(key, false); ok {
		return v
	}
	return fallback
}

// BoolOr returns the value of an optional key that must be true or false.
func (s *Section) BoolOr(key string, fallback bool) bool {
	v, ok := s.lookup(key, false)
	if !ok {
		return fallback
	}
	if v != "true" && v != "false" {
		s.AddProblem(key, fmt.Sprintf("%q is neither true nor false", v))
	}
	return v == "true"
}

// IntOr returns the value of an optional key that must be a decimal integer.
func (s *Section) IntOr(key string, fallback int) int {
	v, ok := s.lookup(key, false)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.AddProblem(key, fmt.Sprintf("%q is not an integer", v))
	}
	return n
}

// FloatOr returns the value of an optional key that must be a finite number.
func (s *Section) FloatOr(key string, fallback float64) float64 {
	v, ok := s.lookup(key, false)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.AddProblem(key, fmt.Sprintf("%q is not a finite number", v))
		return fallback
	}
	if n == 0 {
		return 0 // normalizes -0, whose sign bit differs, so that equal values have one representation
	}
	return n
}

// DurationOr returns the value of an optional key that must be a duration in Go
// notation, for example 250ms.
func (s *Section) DurationOr(key string, fallback time.Duration) time.Duration {
	v, ok := s.lookup(key, false)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.AddProblem(key, fmt.Sprintf("%q is not a duration such as 250ms", v))
	}
	return d
}
