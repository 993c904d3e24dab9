package config

import "encoding/json"

// Inspect returns the kind of a record and, for a record about a key, the id of
// the key. It returns an empty kind for data that is no record.
func Inspect(data []byte) (Kind, string) {
	var r struct {
		Kind      Kind             `json:"kind"`
		Issued    keyIssuedBody    `json:"key_issued"`
		Withdrawn keyWithdrawnBody `json:"key_withdrawn"`
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return "", ""
	}
	if r.Kind == KindKeyWithdrawn {
		return r.Kind, r.Withdrawn.ID
	}
	return r.Kind, r.Issued.ID
}
