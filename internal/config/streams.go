package config

// Streams of the log service.
const (
	Stream         = "config"    // records that need a total order
	SnapshotStream = "snapshots" // snapshots of the folded state
)
