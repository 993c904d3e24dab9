package engine

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cardamomhatch/internal/timeline"
)

var recordFlag = flag.Bool("record", false, "replace testdata/faulty-run.jsonl by a new recording")

const recordedRun = "testdata/faulty-run.jsonl"

// recordRun returns the timeline of a run with an outage of the log, the withdrawal of
// a key, an upstream without announcements, a planned stop and the crash of a node.
func recordRun(t *testing.T) []timeline.Event {
	c, r := newObservedCluster(t, 100)
	r.events = nil
	for _, n := range c.liveNodes() {
		r.callPeriodically(500*time.Millisecond, n, "anna")
		r.callPeriodically(150*time.Millisecond, n, "bjorn")
	}
	c.after(1*time.Second, func() { c.logDown = true })
	c.after(2*time.Second, func() { c.step(c.started[1], &KeyWithdrawalRequested{KeyID: keyID(c.secrets["anna"])}) })
	c.after(6*time.Second, func() { c.logDown = false })
	c.after(7*time.Second, func() { c.started[2].silent = true })
	c.after(12*time.Second, func() { c.stop(c.started[1]) })
	c.after(14*time.Second, func() { c.kill(c.started[4]) })
	c.run(16 * time.Second)
	return r.events
}

// Guards against a rule checker that gives other results than testdata/replay for a
// recorded run with faults, and against an engine that violates the rules in a new run
// with the same seed.
func TestRecordedRun(t *testing.T) {
	fresh := recordRun(t)
	if *recordFlag {
		writeRun(t, fresh)
	}
	file, err := os.Open(recordedRun)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	recorded, err := timeline.ReadJSON(file)
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string][]timeline.Event{"recorded": recorded, "fresh": fresh}
	datadriven.RunTest(t, "testdata/replay", func(t *testing.T, d *datadriven.TestData) string {
		rules, err := timeline.ParseRules(strings.NewReader(d.Input))
		if err != nil {
			d.Fatalf(t, "parsing the rules: %v", err)
		}
		violations := timeline.Check(runs[d.CmdArgs[0].Key], rules)
		if len(violations) == 0 {
			return "kept"
		}
		return "violated"
	})
}

func writeRun(t *testing.T, events []timeline.Event) {
	file, err := os.Create(recordedRun)
	if err != nil {
		t.Fatal(err)
	}
	if err := timeline.WriteJSON(file, timeline.Merge(events)); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}
