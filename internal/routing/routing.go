// Package routing chooses the upstream for each call of a node. It exists
// because load reports lag and mislead: the choice rests on what this node
// measured itself, and reports can only lower a score.
package routing

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Result is how an attempt at a node ended.
type Result uint8

// The results.
const (
	OK         Result = iota
	Failed            // the upstream answered with an error, or not in time
	Refused           // the serving node or its upstream refused the call for load
	Lost              // no connection, or the connection broke
	NotServing        // the node takes no work: its upstream drains or is absent
	Cancelled         // the caller gave up; says nothing about the node
)

// Report is the load that a node states about its upstream. The zero value
// means that nothing was reported.
type Report struct {
	InFlight int
	Queued   int
	Limit    int
}

// Sample is what was measured on one attempt, and the report that its answer
// carried.
type Sample struct {
	Latency time.Duration
	Result  Result
	Report  Report
	Route   string // of the request; empty: only the node's own latency is learned
	Bytes   int64  // of request and answer
}

// Config holds the parameters of a table. Zero fields take defaults.
type Config struct {
	Seed       uint64
	DataCentre mesh.DataCentre
	Self       mesh.NodeID   // ranks the candidates, so that nodes use different subsets
	SubsetSize int           // candidates of one service
	Ramp       time.Duration // time in which a new upstream reaches its full part
}

const (
	defaultSubset = 20
	defaultRamp   = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.SubsetSize == 0 {
		c.SubsetSize = defaultSubset
	}
	if c.Ramp == 0 {
		c.Ramp = defaultRamp
	}
	return c
}
