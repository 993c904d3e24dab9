package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cardamomhatch/internal/declaration"
)

// ObjectChange is a change of one object together with the version it is based on.
type ObjectChange struct {
	declaration.Change
	Version uint64 `json:"version"` // 0: the object did not exist
}

// PlanDocument is a proposed change that an operator reviews and confirms.
type PlanDocument struct {
	BaseRevision uint64         `json:"base_revision"` // State.Revision when the plan was made
	Changes      []ObjectChange `json:"changes"`
	Diff         string         `json:"diff"`   // the changes, formatted for the operator
	Digest       string         `json:"digest"` // hexadecimal SHA-256 of the JSON document with Digest empty
}

// ErrPlanDigest means that a plan was altered after Plan returned it.
var ErrPlanDigest = errors.New("plan does not match its digest")

// ErrPlanEmpty means that a plan changes nothing.
var ErrPlanEmpty = errors.New("plan changes nothing")

// Plan returns the changes that turn the current mesh into want. A plan without
// changes is not an error here, but NewChange rejects it.
func Plan(s *State, want *declaration.Mesh) (PlanDocument, error) {
	if err := want.Check(); err != nil {
		return PlanDocument{}, err
	}
	doc := PlanDocument{BaseRevision: s.revision, Changes: []ObjectChange{}}
	var diff strings.Builder
	for _, d := range declaration.Diff(s.Mesh(), want) {
		c := ObjectChange{Change: declaration.Change{Key: d.Key, Set: d.New}, Version: s.Version(d.Key)}
		if reason := s.checkNoKeys(c.Change); reason != "" {
			return PlanDocument{}, fmt.Errorf("delete [%s]: %s", d.Key, reason)
		}
		doc.Changes = append(doc.Changes, c)
		diff.WriteString(d.String())
	}
	doc.Diff = diff.String()
	digest, err := doc.digest()
	doc.Digest = digest
	return doc, err
}

func (p PlanDocument) digest() (string, error) {
	p.Digest = ""
	data, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("encode plan: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// NewChange returns the record that makes the changes of a confirmed plan. The
// error is ErrPlanDigest for an altered document and ErrPlanEmpty for one without
// changes.
func NewChange(h Header, p PlanDocument) ([]byte, error) {
	digest, err := p.digest()
	if err != nil {
		return nil, err
	}
	if digest != p.Digest {
		return nil, ErrPlanDigest
	}
	if len(p.Changes) == 0 {
		return nil, ErrPlanEmpty
	}
	return encodeRecord(h, KindChange, func(r *record) { r.Change = &changeBody{p.Changes} })
}
