// Package routing chooses the node for each call. Load reports of the nodes are delayed
// and can be wrong, so the choice is based on the measurements of this node, and a report
// can only make a node less preferred.
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
	Failed            // the upstream responded with an error, or not in time
	Refused           // the node or its upstream refused the call because of load
	Lost              // no connection, or the connection broke
	NotServing        // the node accepts no work: its upstream is draining or absent
	Cancelled         // the caller cancelled the call, which says nothing about the node
	Limited           // the limit that the upstream names on its requests per second is used up
)

// Report is the load of a node's upstream as the node reports it. The zero value means
// that nothing was reported.
type Report struct {
	InFlight int // requests that the upstream runs
	Queued   int // requests that wait for the upstream
	Limit    int // requests that may run at a time
	// UsualLatency is the mean time that requests of the route take at the upstream while its
	// host is not slow; zero: not told.
	UsualLatency time.Duration
	// Slowness is the factor by which work takes longer than usual at the moment; zero: not told.
	Slowness float64
}

// Sample holds the measurements of one attempt, and the report that its response carried.
type Sample struct {
	Latency time.Duration
	Result  Result
	Report  Report
	Route   string        // of the request; if it is empty, the measurements by route are not updated
	Bytes   int64         // of the request and response bodies
	Pause   time.Duration // of a Limited attempt: mean time for which the node is to get no request
}

// Config holds the parameters of a table.
type Config struct {
	Seed       uint64
	DataCentre mesh.DataCentre
	Self       mesh.NodeID   // hashed to rank candidates, so that nodes use different subsets
	SubsetSize int           // largest number of candidates of one service; zero: defaultSubsetSize
	RampTime   time.Duration // time in which a new upstream reaches its full share of calls; zero: defaultRampTime
}

const (
	defaultSubsetSize = 20
	defaultRampTime   = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.SubsetSize == 0 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.RampTime == 0 {
		c.RampTime = defaultRampTime
	}
	return c
}
