package config

import (
	"encoding/json"

	"cardamomhatch/internal/mesh"
)

// RecordSubject is the kind of a record and the key or host that it concerns.
type RecordSubject struct {
	Kind  Kind
	KeyID string    // set for records about keys
	Host  mesh.Host // set for records about nodes
}

// Inspect returns the subject of an encoded record without validating the record.
// The kind is empty if data is not an encoded record.
func Inspect(data []byte) RecordSubject {
	var r struct {
		Kind      Kind             `json:"kind"`
		Issued    keyIssuedBody    `json:"key_issued"`
		Withdrawn keyWithdrawnBody `json:"key_withdrawn"`
		Joined    mesh.Member      `json:"node_joined"`
		Left      nodeLeftBody     `json:"node_left"`
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return RecordSubject{}
	}
	subject := RecordSubject{Kind: r.Kind, KeyID: r.Issued.ID, Host: r.Joined.Node.Host}
	if r.Kind == KindKeyWithdrawn {
		subject.KeyID = r.Withdrawn.ID
	}
	if r.Kind == KindNodeLeft {
		subject.Host = r.Left.Node.Host
	}
	return subject
}
