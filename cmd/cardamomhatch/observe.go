package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/timeline"
)

type statusCommand struct{ target }

// Run prints the status of one node, which queries the other members first.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx, true)
	if err != nil {
		return err
	}
	if c.JSON {
		return operator.EncodeJSON(s.out, status)
	}
	fmt.Fprint(s.out, statusText(status))
	return nil
}

// statusText formats a status for operators. In it, evidence is the recent proof that
// the configuration of the node is current, and cut is the load-shedding threshold: the
// least important class that is admitted, and the admitted share of its actions.
func statusText(s operator.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node %s/%s, %s, service %s\n", s.Node.Host, s.Node.Incarnation, s.DataCentre, s.Service)
	fmt.Fprintf(&b, "configuration: configured %t, revision %d, offset %d, digest %.16s\n", s.Configured, s.Revision, s.Offset, s.Digest)
	fmt.Fprintf(&b, "evidence: fresh %t", s.Fresh)
	if s.FreshUntil != nil {
		fmt.Fprintf(&b, " until %s", s.FreshUntil.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(&b, ", log reachable %t", s.LogReachable)
	if s.Gap {
		b.WriteString(", records are missing")
	}
	u := s.Upstream
	fmt.Fprintf(&b, "\nupstream: %s\n", upstreamState(u))
	fmt.Fprintf(&b, "admission: %d in flight, limit %d of %d slots, %d queued, wait %.1f ms, service %.1f ms, cut %s %d/1024\n",
		u.InFlight, u.Limit, u.Slots, u.Queued, u.QueueWaitMs, u.ServiceMs, u.Cut.Class, u.Cut.Share)
	for _, share := range s.Shares {
		fmt.Fprintf(&b, "share %d/%d of %s, active %t\n", share.Index+1, share.Count, share.Workspace, share.Active)
	}
	for _, id := range s.PendingWithdrawals {
		fmt.Fprintf(&b, "withdrawal of key %s is not in the log yet\n", id)
	}
	fmt.Fprintf(&b, "%d members:\n", len(s.Members))
	for _, m := range s.Members {
		fmt.Fprintf(&b, "  %-24s %-14s %-21s %s\n", m.Node.Host, m.DataCentre, m.OperatorAddress, memberState(m))
	}
	return b.String()
}

func upstreamState(u operator.Upstream) string {
	switch {
	case u.Draining:
		return "draining"
	case u.Lapsed:
		return "no longer announces itself"
	case u.Serving:
		return "serving at " + u.URL
	case u.URL == "":
		return "has not announced itself"
	}
	return "not ready"
}

func memberState(m operator.Member) string {
	state := "offset unknown"
	if m.Offset != nil {
		state = fmt.Sprintf("offset %d, %d ms ago", *m.Offset, *m.AgeMs)
	}
	if m.Unreachable {
		state += ", unreachable"
	}
	return state
}

type timelineCommand struct {
	Operator  []string       `required:"" placeholder:"URL" env:"CARDAMOMHATCH_OPERATOR" help:"URLs of operator listeners. If only one is given, the others are taken from its status."`
	Only      bool           `help:"Query only the given nodes."`
	Kind      []string       `help:"Select events of these kinds."`
	Workspace mesh.Workspace `help:"Select events of this workspace."`
	Action    string         `help:"Select events of this action ID, in hexadecimal."`
	Host      mesh.Host      `help:"Select events of this host."`
	HTML      string         `name:"html" placeholder:"FILE" help:"Write one self-contained HTML page to FILE."`
	access
}

// Run collects, merges and prints timelines. If some nodes do not respond, it
// prints the events of the others and returns an error.
func (c *timelineCommand) Run(ctx context.Context, s *streams) error {
	filter, err := c.filter()
	if err != nil {
		return err
	}
	urls, err := c.urls(ctx)
	if err != nil {
		return err
	}
	eventsByNode, failures := c.collect(ctx, urls, filter)
	events := timeline.Select(timeline.Merge(eventsByNode...), filter)
	if err := c.write(s, events); err != nil {
		return err
	}
	if len(failures) > 0 {
		return errors.Errorf("timeline is incomplete: the events of %d of %d nodes could not be read:\n%s", len(failures), len(urls), strings.Join(failures, "\n"))
	}
	return nil
}

func (c *timelineCommand) filter() (timeline.Filter, error) {
	f := timeline.Filter{Workspace: c.Workspace, Host: c.Host}
	for _, name := range c.Kind {
		kind, err := timeline.ParseKind(name)
		if err != nil {
			return f, usageError{err}
		}
		f.Kinds = append(f.Kinds, kind)
	}
	if c.Action != "" {
		action, err := timeline.ParseAction(c.Action)
		if err != nil {
			return f, usageError{err}
		}
		f.Action = action
	}
	return f, nil
}

// urls returns the URLs of the operator listeners to query: the given ones and, if
// only one is given and --only is not set, those of all members in its status.
func (c *timelineCommand) urls(ctx context.Context) ([]string, error) {
	if len(c.Operator) > 1 || c.Only {
		return c.Operator, nil
	}
	given, err := url.Parse(c.Operator[0])
	if err != nil {
		return nil, usageError{err}
	}
	client, err := c.client(c.Operator[0])
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx, false)
	if err != nil {
		return nil, err
	}
	urls := slices.Clone(c.Operator)
	for _, m := range status.Members {
		if m.Node != status.Node {
			urls = append(urls, given.Scheme+"://"+m.OperatorAddress)
		}
	}
	return urls, nil
}

// maxConcurrentRequests limits how many nodes are queried at the same time.
const maxConcurrentRequests = 16

// collect returns the events of each node that match the filter, and one message per
// node whose events could not be read.
func (c *timelineCommand) collect(ctx context.Context, urls []string, f timeline.Filter) ([][]timeline.Event, []string) {
	eventsByNode := make([][]timeline.Event, len(urls))
	failures := make([]string, len(urls))
	running := make(chan struct{}, maxConcurrentRequests)
	var wait sync.WaitGroup
	for i, u := range urls {
		running <- struct{}{}
		wait.Go(func() {
			defer func() { <-running }()
			client, err := c.client(u)
			if err == nil {
				eventsByNode[i], err = client.Timeline(ctx, f)
			}
			if err != nil {
				failures[i] = fmt.Sprintf("%s: %v", u, err)
			}
		})
	}
	wait.Wait()
	return eventsByNode, slices.DeleteFunc(failures, func(s string) bool { return s == "" })
}

func (c *timelineCommand) write(s *streams, events []timeline.Event) error {
	if c.HTML != "" {
		file, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		defer file.Close()
		return errors.Wrap(timeline.WriteHTML(file, "Timeline", events), c.HTML)
	}
	if c.JSON {
		return timeline.WriteJSON(s.out, events)
	}
	return timeline.WriteText(s.out, events)
}

type replayCommand struct {
	File  string `arg:"" help:"Timeline as JSON lines, or - for standard input."`
	Rules string `required:"" placeholder:"FILE" help:"File of rules: count, order and never."`
	JSON  bool   `help:"Print JSON."`
}

// Run checks the timeline and prints the violations.
func (c *replayCommand) Run(s *streams) error {
	text, err := os.ReadFile(c.Rules)
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	rules, err := timeline.ParseRules(strings.NewReader(string(text)))
	if err != nil {
		return errors.Wrap(err, c.Rules)
	}
	data, err := readInput(s, c.File)
	if err != nil {
		return errors.Wrap(err, "read timeline")
	}
	events, err := timeline.ReadJSON(strings.NewReader(string(data)))
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	violations := timeline.Check(events, rules)
	if err := c.write(s, len(events), len(rules), violations); err != nil {
		return err
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations found", len(violations))
	}
	return nil
}

func (c *replayCommand) write(s *streams, events, rules int, violations []timeline.Violation) error {
	lines := make([]string, len(violations))
	for i, v := range violations {
		lines[i] = v.String()
	}
	if c.JSON {
		return operator.EncodeJSON(s.out, struct {
			Events     int      `json:"events"`
			Rules      int      `json:"rules"`
			Violations []string `json:"violations"`
		}{events, rules, lines})
	}
	for _, line := range lines {
		fmt.Fprintln(s.out, line)
	}
	fmt.Fprintf(s.out, "%d events checked against %d rules: %d violations\n", events, rules, len(violations))
	return nil
}
