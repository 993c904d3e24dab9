package sidecar

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/pressure"
)

// The origin of a request and the cut for an origin are transmitted so that nodes without
// them still understand all messages: those nodes refuse a hop header and ignore a report
// with more fields than they know. The origin therefore has a header of its own, which they
// ignore, and the cut follows the report only if the hop says that the entry node reads it.

// originState is the state of a node that depends on the entry routes of requests. Node.mu
// guards it.
type originState struct {
	returns     *pressure.Returns // refused callers that are to come back
	fair        *pressure.Fair    // shares of workspaces
	loggedShare float64           // least share of an origin in the last log line
}

func newOriginState() originState {
	return originState{returns: pressure.NewReturns(), fair: pressure.NewFair(), loggedShare: 1}
}

// encodeOrigin returns the value of originHeader, or an empty string if it is not needed: the
// origin of a request that is not nested is its route.
func (h *hop) encodeOrigin() string {
	if !h.Nested || h.Origin == "" {
		return ""
	}
	return h.Origin + ";" + strconv.FormatFloat(h.Fanout, 'f', 2, 64)
}

// parseOrigin sets the origin and the fanout from a header value written by encodeOrigin.
func (h *hop) parseOrigin(value string) {
	h.Origin, h.Fanout = "", 1
	if !h.Nested {
		h.Origin = h.Route
		return
	}
	origin, rest, ok := strings.Cut(value, ";")
	number, _, _ := strings.Cut(rest, ";") // later versions may add fields
	fanout, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil {
		return
	}
	h.Origin, h.Fanout = origin, pressure.ClampFanout(fanout)
}

// Names of the fields of a report that tell the cut for an origin.
const (
	fieldCut     = "cut"  // as in Cut.Encode
	fieldService = "at"   // the short service, escaped as in a query
	fieldCost    = "cost" // seconds of a slot
	fieldLevels  = "rank" // first and last level that is divided by origin, with a minus between them
)

// encodeOriginCut returns the named fields of a report.
func encodeOriginCut(c pressure.OriginCut) string {
	return "," + fieldCut + "=" + c.Cut.Encode() + "," + fieldService + "=" + url.QueryEscape(string(c.Service)) +
		"," + fieldCost + "=" + strconv.FormatFloat(c.Cost, 'f', 3, 64) +
		"," + fieldLevels + "=" + strconv.Itoa(int(c.First)) + "-" + strconv.Itoa(int(c.Last))
}

// parseOriginCut parses the named fields of a report. It returns false if they contain no cut.
func parseOriginCut(fields []string) (c pressure.OriginCut, ok bool) {
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case fieldCut:
			cut, err := pressure.ParseCut(value)
			c.Cut, ok = cut, err == nil
		case fieldService:
			if service, err := url.QueryUnescape(value); err == nil {
				c.Service = mesh.Service(service)
			}
		case fieldCost:
			if cost, err := strconv.ParseFloat(value, 64); err == nil {
				c.Cost = pressure.ClampCost(cost)
			}
		case fieldLevels:
			first, last, _ := strings.Cut(value, "-")
			c.First, c.Last = parseLevel(first), parseLevel(last)
		}
	}
	return c, ok
}

// parseLevel parses a level. Numbers outside the levels are moved to the nearest one, and other
// text is level 0.
func parseLevel(text string) pressure.Level {
	number, _ := strconv.Atoi(text) // 0 or the nearest number on error
	return pressure.Level(min(max(number, 0), pressure.NumLevels-1))
}

// recordArrival counts a request for the local upstream by its level and its origin. Its
// weight leaves out requests that services called by the route would refuse. n.mu must be
// held.
func (n *Node) recordArrival(now time.Duration, req *servedRequest) {
	callees := n.callGraph.CalleeOriginCut(now, req.Route, req.Origin, req.Level, n.cuts)
	weight := callees.Cut.Weight(req.Weight, req.Level)
	n.meter.RecordArrival(now, req.Level, req.Nested, weight)
	n.meter.RecordOrigin(now, req.Level, req.Origin, req.Fanout, weight)
}

// reportedOrigin returns the cut for the origin of a request, and whether it is to be reported
// beside the cut for all requests. n.mu must be held.
func (n *Node) reportedOrigin(now time.Duration, h *hop, all pressure.Cut) (pressure.OriginCut, bool) {
	local, divided := n.meter.OriginCut(n.cfg.Self.Service, h.Origin)
	if !h.NamedReport || h.Origin == "" || !divided && !n.cuts.HasOrigins() {
		return pressure.OriginCut{}, false
	}
	if !divided {
		local = pressure.OriginCut{Cut: n.cut}
	}
	tightest := local.Tighter(n.callGraph.CalleeOriginCut(now, h.Route, h.Origin, h.Level, n.cuts), h.Level)
	return tightest, !tightest.Cut.EncodesAs(all)
}

// cutDetail describes the cut that refused the request and, if the cut depends on the origin,
// the short service and the cost of the request there.
func (c *call) cutDetail(cut pressure.OriginCut) string {
	detail := "cut " + cut.Cut.String()
	if !c.byOrigin {
		return detail
	}
	metrics.GetOrRegisterCounter("requests.refused_by_cost", c.node.metrics.registry).Inc(1)
	return detail + " of " + c.origin + " at " + string(cut.Service) + ", which takes " + strconv.FormatFloat(cut.Cost, 'f', 3, 64) + " slot seconds"
}

// updateOriginMetrics updates the gauges of the shares by origin. n.mu must be held.
func (n *Node) updateOriginMetrics() {
	count, least := n.meter.Origins()
	metrics.GetOrRegisterGauge("cut.origins", n.cfg.Metrics).Update(int64(count))
	metrics.GetOrRegisterGaugeFloat64("cut.origin_share_min", n.cfg.Metrics).Update(least)
}

// returnAttempt describes the request to the decision on returns. The draws of one request for
// different suffixes are independent.
func (c *call) returnAttempt(now time.Duration, suffix string) pressure.Attempt {
	return pressure.Attempt{Target: c.cutTarget(), Level: c.level, Share: c.share, Fair: 1 / c.weight, Left: c.expires - now, Draw: hashFraction(c.id + suffix)}
}

// returnDelay returns the time after which the caller of this request is to come back.
func (c *call) returnDelay() time.Duration {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	delay, booked := n.origins.returns.Delay(now, c.returnAttempt(now, "r"))
	c.booked = booked
	name := "returns.turned_away"
	if booked {
		name = "returns.booked"
	}
	metrics.GetOrRegisterCounter(name, n.metrics.registry).Inc(1)
	return delay
}

// recordAnswer records the time until the answer for the decision on returns.
func (c *call) recordAnswer() {
	if !c.byOrigin {
		return
	}
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origins.returns.RecordAnswer(n.now(), c.cutTarget(), c.level, n.now()-c.arrived)
}
