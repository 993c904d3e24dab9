// Package metricstext writes a registry of metrics as text.
package metricstext

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// Write writes one line per value, "name value" or "name.field value",
// sorted by name.
func Write(w io.Writer, r metrics.Registry) {
	all := r.GetAll()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fields := all[name]
		for _, field := range slices.Sorted(maps.Keys(fields)) {
			if field == "count" || field == "value" {
				fmt.Fprintf(w, "%s %v\n", name, fields[field])
				continue
			}
			fmt.Fprintf(w, "%s.%s %v\n", name, field, fields[field])
		}
	}
}
