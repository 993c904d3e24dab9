package experiment

import (
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a run of the real mesh that breaks a guarantee to callers, and
// against scenarios that do not start. Timings are not checked.
func TestSteadySmoke(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Deployment: "himalaya", Scenario: "steady", Seed: 1, Duration: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Violations) != 0 {
		t.Fatalf("guarantees to callers were broken: %+v", result.Violations)
	}
	if result.Endings["in-time"] == 0 || len(result.Series) == 0 {
		t.Fatalf("no request was answered in time, or there is no time series; endings: %v", result.Endings)
	}
	var svg strings.Builder
	if err := result.WriteSVG(&svg); err != nil {
		t.Fatal(err)
	}
	d := xml.NewDecoder(strings.NewReader(svg.String()))
	for err = nil; err == nil; {
		_, err = d.Token()
	}
	if err != io.EOF || strings.Count(svg.String(), "<polyline") < 5 {
		t.Fatalf("plot is not well-formed XML (%v) or has fewer than 5 curves:\n%s", err, svg.String())
	}
}
