// Package metricstext writes a metrics registry as plain text.
package metricstext

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// Write writes one line per field of each metric, sorted by name: "name value" for the
// fields "count" and "value", and "name.field value" for all others.
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
