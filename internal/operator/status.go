package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/metricstext"
	"cardamomhatch/internal/timeline"
)

// Status describes one node. FreshUntil is omitted if it is unknown.
type Status struct {
	Node               NodeRef         `json:"node"`
	DataCentre         mesh.DataCentre `json:"data_centre"`
	Service            mesh.Service    `json:"service"`
	Configured         bool            `json:"configured"` // has a configuration without missing log records
	Revision           uint64          `json:"revision"`   // log offset of the last accepted change
	Offset             uint64          `json:"offset"`     // log offset of the next record to apply
	Digest             string          `json:"digest"`     // hash chain over the accepted records; equal for equal configurations
	Gap                bool            `json:"gap"`        // the log has dropped records that this node has not read
	LogReachable       bool            `json:"log_reachable"`
	Fresh              bool            `json:"fresh"` // recent evidence shows that the configuration is current
	FreshUntil         *time.Time      `json:"fresh_until,omitempty"`
	Stopping           bool            `json:"stopping"`
	Calls              int             `json:"calls"` // calls in progress at this node, as entry or serving node
	Upstream           Upstream        `json:"upstream"`
	Shares             []Share         `json:"shares"` // quota shares held by this node
	PendingWithdrawals []string        `json:"pending_withdrawals"`
	Panel              Panel           `json:"panel"`
	Members            []Member        `json:"members"`
}

// Panel is the set of nodes of which a majority must respond for a node to regard
// its configuration as current.
type Panel struct {
	Epoch    uint64      `json:"epoch"`
	Settled  bool        `json:"settled"` // the previous panel is no longer needed
	Members  []mesh.Host `json:"members"`
	Previous []mesh.Host `json:"previous,omitempty"`
}

func newPanel(p config.Panel) Panel {
	return Panel{Epoch: p.Epoch, Settled: p.Settled, Members: hostNames(p.Members), Previous: hostNames(p.Previous)}
}

func hostNames(nodes []mesh.NodeID) []mesh.Host {
	hosts := make([]mesh.Host, len(nodes))
	for i, n := range nodes {
		hosts[i] = n.Host
	}
	return hosts
}

// Upstream describes the local upstream of the node and its admission control.
type Upstream struct {
	URL         string   `json:"url,omitempty"`
	Serving     bool     `json:"serving"`
	Ready       bool     `json:"ready"`
	Draining    bool     `json:"draining"`
	Lapsed      bool     `json:"lapsed"`      // its announcements have stopped
	Slots       int      `json:"slots"`       // calls that it can run concurrently, as announced
	Connections int      `json:"connections"` // connections that it accepts, as announced
	InFlight    int      `json:"in_flight"`
	Limit       int      `json:"limit"`         // limit of InFlight
	Queued      int      `json:"queued"`        // calls that wait for admission
	QueueWaitMs float64  `json:"queue_wait_ms"` // expected queueing time of a call that arrives now
	ServiceMs   float64  `json:"service_ms"`    // expected latency of a call once it runs
	Cut         mesh.Cut `json:"cut"`           // load-shedding threshold
}

// Share is one of the parts into which the rate and burst of a workspace are
// divided.
type Share struct {
	Workspace mesh.Workspace `json:"workspace"`
	Index     int            `json:"index"`
	Count     int            `json:"count"`
	Epoch     uint64         `json:"epoch"`
	Active    bool           `json:"active"` // the assignment has taken effect
}

// Member is a member of the mesh and the last status that this node has received
// from it. Offset, Revision, Digest and AgeMs are omitted if there is none.
type Member struct {
	Node            NodeRef         `json:"node"`
	DataCentre      mesh.DataCentre `json:"data_centre"`
	Service         mesh.Service    `json:"service"`
	OperatorAddress string          `json:"operator_address"`
	Unreachable     bool            `json:"unreachable,omitempty"`
	Offset          *uint64         `json:"offset,omitempty"`
	Revision        *uint64         `json:"revision,omitempty"`
	Digest          string          `json:"digest,omitempty"`
	AgeMs           *int64          `json:"age_ms,omitempty"`
}

// status returns the status of this node. With ask=1 it first queries the other
// members; otherwise it returns what they last reported.
func (a *api) status(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	if r.URL.Query().Get("ask") == "1" {
		a.queryMembers(r.Context())
	}
	var report engine.Report
	var members []engine.MemberReport
	a.cfg.Node.View(func(n *engine.Node) { report, members = n.Report(), n.Members() })
	return http.StatusOK, newStatus(report, members), nil
}

// queryMembers requests the status of every member and waits until all have
// responded, for at most statusQueryTimeout.
func (a *api) queryMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	started := time.Now()
	a.cfg.Node.Step(&engine.StatusRequested{})
	for sleep(ctx, minQueryInterval) {
		allReported := true
		a.cfg.Node.View(func(n *engine.Node) {
			for _, m := range n.Members() {
				allReported = allReported && m.Known && m.Age <= time.Since(started)
			}
		})
		if allReported {
			return
		}
	}
}

func newStatus(r engine.Report, members []engine.MemberReport) Status {
	s := Status{
		Node: newNodeRef(r.Self.Node), DataCentre: r.Self.DataCentre, Service: r.Self.Service,
		Configured: r.Configured, Revision: r.Revision, Offset: r.Offset, Digest: r.Digest, Gap: r.Gap,
		LogReachable: r.LogReachable, Fresh: r.Fresh, Stopping: r.Stopping, Calls: r.InFlight,
		Upstream: newUpstream(r), Shares: []Share{}, Members: []Member{},
		Panel: newPanel(r.Panel), PendingWithdrawals: append([]string{}, r.Withdrawals...),
	}
	if r.FreshUntil != 0 {
		until := time.Unix(0, r.FreshUntil).UTC()
		s.FreshUntil = &until
	}
	for _, share := range r.Shares {
		s.Shares = append(s.Shares, Share{share.Workspace, share.Index, share.Count, share.Epoch, share.Active})
	}
	for _, m := range members {
		s.Members = append(s.Members, newMember(m))
	}
	return s
}

func newUpstream(r engine.Report) Upstream {
	return Upstream{
		URL: r.LocalUpstream.URL, Serving: r.LocalUpstream.Serving, Ready: r.LocalUpstream.Ready, Draining: r.LocalUpstream.Draining,
		Lapsed: r.LocalUpstream.Lapsed, Slots: r.LocalUpstream.Slots, Connections: r.LocalUpstream.Connections,
		InFlight: r.Load.InFlight, Limit: r.Load.Limit, Queued: r.Load.Queued,
		QueueWaitMs: milliseconds(r.Load.QueueWait), ServiceMs: milliseconds(r.Load.Latency), Cut: r.Cut,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newMember(r engine.MemberReport) Member {
	m := Member{
		Node: newNodeRef(r.Node), DataCentre: r.DataCentre, Service: r.Service,
		OperatorAddress: r.OperatorAddress, Unreachable: r.Unreachable,
	}
	if r.Known {
		age := r.Age.Milliseconds()
		m.Offset, m.Revision, m.Digest, m.AgeMs = &r.Status.Offset, &r.Status.Revision, r.Status.Digest, &age
	}
	return m
}

// timeline writes the events of this node as JSON Lines.
func (a *api) timeline(w http.ResponseWriter, r *http.Request) (int, any, error) {
	f, err := readFilter(r)
	if err != nil {
		return 0, nil, err
	}
	var events []timeline.Event
	a.cfg.Node.View(func(n *engine.Node) { events = n.Timeline() })
	w.Header().Set("Content-Type", "application/jsonl")
	_ = timeline.WriteJSON(w, timeline.Select(events, f)) // fails only if the client has disconnected
	return 0, nil, nil
}

func readFilter(r *http.Request) (timeline.Filter, error) {
	var f timeline.Filter
	for name, values := range r.URL.Query() {
		for _, value := range values {
			if err := addToFilter(&f, name, value); err != nil {
				return f, newError(http.StatusBadRequest, CodeBadRequest, "%v", err)
			}
		}
	}
	return f, nil
}

func addToFilter(f *timeline.Filter, name, value string) error {
	switch name {
	case "kind":
		kind, err := timeline.ParseKind(value)
		f.Kinds = append(f.Kinds, kind)
		return err
	case "workspace":
		f.Workspace = mesh.Workspace(value)
	case "action":
		action, err := timeline.ParseAction(value)
		f.Action = action
		return err
	default:
		return fmt.Errorf("filter %q is none of kind, workspace, action", name)
	}
	return nil
}

// metrics writes the metrics registry as plain text, or as JSON with format=json.
func (a *api) metrics(w http.ResponseWriter, r *http.Request) (int, any, error) {
	a.updateGauges()
	if r.URL.Query().Get("format") == "json" {
		return http.StatusOK, a.cfg.Metrics, nil
	}
	var text bytes.Buffer
	metricstext.Write(&text, a.cfg.Metrics)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(text.Bytes()) // fails only if the client has disconnected
	return 0, nil, nil
}

// updateGauges sets the gauges that describe the engine. The engine does not update
// them itself, because its steps are deterministic and access nothing that other
// goroutines share, such as the metrics registry.
func (a *api) updateGauges() {
	var r engine.Report
	a.cfg.Node.View(func(n *engine.Node) { r = n.Report() })
	set := func(name string, v int64) { metrics.GetOrRegisterGauge(name, a.cfg.Metrics).Update(v) }
	set("config.offset", int64(r.Offset))
	set("config.revision", int64(r.Revision))
	set("config.members", int64(r.Members))
	set("evidence.fresh", boolToInt64(r.Fresh))
	set("log.reachable", boolToInt64(r.LogReachable))
	set("keys.pending_withdrawals", int64(len(r.Withdrawals)))
	set("quota.shares_held", int64(len(r.Shares)))
	set("calls.in_flight", int64(r.InFlight))
	set("upstream.serving", boolToInt64(r.LocalUpstream.Serving))
	set("upstream.in_flight", int64(r.Load.InFlight))
	set("upstream.limit", int64(r.Load.Limit))
	set("upstream.queued", int64(r.Load.Queued))
	set("upstream.queue_wait_us", r.Load.QueueWait.Microseconds())
	set("upstream.service_us", r.Load.Latency.Microseconds())
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
