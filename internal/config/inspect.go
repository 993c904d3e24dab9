package config

import (
	"encoding/json"

	"cardamomhatch/internal/mesh"
)

// RecordSubject names what a record is about, as far as one thing can be named.
type RecordSubject struct {
	Kind  Kind
	KeyID string    // of records about keys
	Host  mesh.Host // of records about nodes
}

// Inspect returns what a record touches. The kind is empty for data that is no
// record.
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
	t := RecordSubject{Kind: r.Kind, KeyID: r.Issued.ID, Host: r.Joined.Node.Host}
	if r.Kind == KindKeyWithdrawn {
		t.KeyID = r.Withdrawn.ID
	}
	if r.Kind == KindNodeLeft {
		t.Host = r.Left.Node.Host
	}
	return t
}
