// Package routing chooses the upstream node for each call. Load reports of the nodes are
// delayed and can be wrong, so the choice is based on the measurements of this node, and
// a report can only make a node less preferred.
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
	Refused           // the serving node or its upstream refused the call because of load
	Lost              // no connection, or the connection broke
	NotServing        // the node accepts no work: its upstream is draining or absent
	Cancelled         // the caller cancelled the call; says nothing about the node
)

// Report is the load of its upstream as a node reports it. The zero value means that
// nothing was reported.
type Report struct {
	InFlight int
	Queued   int
	Limit    int
}

// Sample holds the measurements of one attempt, and the report that its answer carried.
type Sample struct {
	Latency time.Duration
	Result  Result
	Report  Report
	Route   string // of the request; if empty, only the latency of the node is updated
	Bytes   int64  // of request and answer
}

// Config holds the parameters of a table. Zero fields take defaults.
type Config struct {
	Seed       uint64
	DataCentre mesh.DataCentre
	Self       mesh.NodeID   // part of the hash that ranks candidates, so that nodes use different subsets
	SubsetSize int           // number of candidates of one service
	RampTime   time.Duration // time in which a new upstream reaches its full share of calls
}

const (
	defaultSubset = 20
	defaultRamp   = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.SubsetSize == 0 {
		c.SubsetSize = defaultSubset
	}
	if c.RampTime == 0 {
		c.RampTime = defaultRamp
	}
	return c
}
