package config

// The streams of the log service.
const (
	Stream         = "config"    // records that need order
	SnapshotStream = "snapshots" // snapshots of the folded state
)
