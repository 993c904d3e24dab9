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
	OK        Result = iota
	Failed           // the upstream answered with an error
	Refused          // the serving node or its upstream refused the call for load
	Lost             // no connection, or the connection broke
	Cancelled        // the caller gave up; says nothing about the node
)

// Report is the load that a node states about its upstream.
type Report struct {
	InFlight int
	Queued   int
	Limit    int // zero means not reported
}

// Sample is what was measured on one attempt. Report is optional.
type Sample struct {
	Latency time.Duration
	Result  Result
	Report  Report
}

// Config holds the parameters of a table. Zero fields take defaults.
type Config struct {
	Seed       uint64
	DataCentre mesh.DataCentre
	Self       mesh.NodeID // ranks the subset, so that nodes choose different ones
	SubsetSize int
}
