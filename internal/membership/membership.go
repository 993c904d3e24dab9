// Package membership knows which nodes exist and whether the local upstream
// takes work. The directory comes from the log; while the log is down, nodes
// pass joins and leaves to each other, so that a node can still join through
// its seeds. Liveness of other nodes is not its concern: calls find that out.
package membership

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Defaults of Config.
const (
	DefaultAnnouncementTimeout      = 3 * time.Second
	DefaultMaxMembers = 1 << 15
	DefaultMaxDeparted    = 1 << 13
	DefaultFanout     = 4
	DefaultRoundsPerUpdate     = 3
	DefaultInterval   = 200 * time.Millisecond
	DefaultUnconfirmedTTL   = 5 * time.Minute
)

// Config sets the bounds of a Directory. A zero field takes its default.
type Config struct {
	Seed       uint64        // of the random choice of peers
	Lapse      time.Duration // without an announcement, the upstream is leaving
	MaxMembers int           // members held
	MaxLeft    int           // departed nodes remembered
	Fanout     int           // peers told per round
	Rounds     int           // rounds in which one update is told
	Interval   time.Duration // between rounds, and between questions to seeds
	// Unfolded is how long a member known only from peers is kept while the log
	// is in reach: by then a live node has repeated its join there.
	Unfolded time.Duration
	// Seeds are asked while the directory knows no other member. A seed whose
	// incarnation is unknown has incarnation zero; Lookup resolves its address.
	Seeds []mesh.Member
}

// Announcement is what the local upstream says about itself.
type Announcement struct {
	Service     mesh.Service `json:"service"`
	URL         string       `json:"url"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	Ready       bool         `json:"ready"`
	InFlight    int          `json:"in_flight"`
}

// LocalState is what the node may do with its own upstream.
type LocalState struct {
	Serving     bool // new work may be admitted
	Draining    bool // Drain was called
	Lapsed      bool // it announced itself before, but not within Config.Lapse
	Ready       bool
	Slots       int
	Connections int
	InFlight    int
	URL         string
}

// Update is a join or a leave of one node.
type Update struct {
	Member mesh.Member // only Node is set in a leave
	// Counter orders the joins of different incarnations on one host that are
	// not ordered by the log.
	Counter   uint64
	Left      bool
	Successor mesh.NodeID // of a leave; zero if none
}

// Spread passes updates from node to node.
type Spread struct{ Updates []Update }

// Ask requests the part of a peer's directory from a cursor on.
type Ask struct{ Cursor int }

// Roster answers Ask. Next is the cursor of the following part, zero at the end.
type Roster struct {
	Updates []Update
	Next    int
}

// MessageName implements mesh.Message.
func (Spread) MessageName() string { return "membership-spread" }

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "membership-ask" }

// MessageName implements mesh.Message.
func (Roster) MessageName() string { return "membership-roster" }

func init() {
	mesh.RegisterMessage(Spread{})
	mesh.RegisterMessage(Ask{})
	mesh.RegisterMessage(Roster{})
}
