package declaration

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is an object that differs between two meshes.
type Difference struct {
	Key string
	Old *Object // nil if the object is added
	New *Object // nil if the object is deleted
}

// Diff returns the differences that turn from into to, in canonical order with
// deletions last.
func Diff(from, to *Mesh) []Difference {
	unmatched := map[string]Object{} // objects of from that were not found in to, by key
	for _, o := range from.Objects() {
		unmatched[o.Key()] = o
	}
	var out []Difference
	for _, o := range to.Objects() {
		key := o.Key()
		before, existed := unmatched[key]
		delete(unmatched, key)
		switch {
		case !existed:
			out = append(out, Difference{Key: key, New: &o})
		case !slices.Equal(before.Fields(), o.Fields()):
			out = append(out, Difference{Key: key, Old: &before, New: &o})
		}
	}
	for _, o := range from.Objects() {
		if _, deleted := unmatched[o.Key()]; deleted {
			out = append(out, Difference{Key: o.Key(), Old: &o})
		}
	}
	return out
}

// String formats the difference for an operator: + for an added object, - for a
// deleted one, and ~ for a changed one with the old and new value of each changed
// key.
func (d Difference) String() string {
	var b strings.Builder
	switch {
	case d.Old == nil:
		fmt.Fprintf(&b, "+ [%s]\n", d.Key)
		for _, f := range d.New.Fields() {
			fmt.Fprintf(&b, "    %s = %s\n", f.Name, f.Value)
		}
	case d.New == nil:
		fmt.Fprintf(&b, "- [%s]\n", d.Key)
	default:
		fmt.Fprintf(&b, "~ [%s]\n", d.Key)
		before := d.Old.Fields()
		for i, f := range d.New.Fields() {
			if f != before[i] {
				fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Name, before[i].Value, f.Value)
			}
		}
	}
	return b.String()
}
