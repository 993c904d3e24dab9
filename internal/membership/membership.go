// Package membership maintains the directory of nodes and the state of the local
// upstream. The directory is built from the log. While the log is unavailable, nodes
// exchange joins and leaves by gossip, so that a node can still join through its
// seeds. The package does not check whether other nodes are alive; failed calls show
// that.
package membership

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Defaults of Config.
const (
	DefaultAnnouncementTimeout = 3 * time.Second
	DefaultMaxMembers          = 1 << 15
	DefaultMaxDeparted         = 1 << 13
	DefaultFanout              = 4
	DefaultRoundsPerUpdate     = 3
	DefaultInterval            = 200 * time.Millisecond
	DefaultUnconfirmedTTL      = 5 * time.Minute
)

// Config sets the bounds of a Directory. A zero field takes its default.
type Config struct {
	Seed                uint64        // of the random number generator that selects peers
	AnnouncementTimeout time.Duration // after which an upstream without announcements has lapsed
	MaxMembers          int           // number of members held
	MaxDeparted         int           // number of departed nodes remembered
	Fanout              int           // peers to which each round is sent
	RoundsPerUpdate     int           // rounds in which an update is sent
	Interval            time.Duration // between rounds; also the unit of other intervals
	// UnconfirmedTTL is how long a member known only from peers is kept while the
	// log is reachable. A live node has recorded its join in the log by then.
	UnconfirmedTTL time.Duration
	// Seeds are the nodes from which a new node requests the directory. A seed
	// whose incarnation is not known has incarnation zero; Lookup returns it until
	// the directory contains its host.
	Seeds []mesh.Member
}

// Announcement is the state that the local upstream reports about itself.
type Announcement struct {
	Service     mesh.Service `json:"service"`
	URL         string       `json:"url"`
	Slots       int          `json:"slots"`       // maximum number of calls at once; 0: not reported
	Connections int          `json:"connections"` // maximum number of connections; 0: not reported
	Ready       bool         `json:"ready"`
	InFlight    int          `json:"in_flight"`
}

// LocalState is the state of the local upstream as seen by its node.
type LocalState struct {
	Serving     bool // new work may be admitted
	Draining    bool // Drain was called
	Lapsed      bool // it announced itself before, but not within Config.AnnouncementTimeout
	Ready       bool
	Slots       int
	Connections int
	InFlight    int
	URL         string
}

// Update is a join or a leave of one node.
type Update struct {
	Member mesh.Member // only Node is set in a leave
	// Counter orders the joins of different incarnations of one host that the log
	// does not order. The incarnation with the highest counter is current.
	Counter   uint64
	Left      bool
	Successor mesh.NodeID // in a leave; zero if there is none
}

// Spread sends updates from one node to another.
type Spread struct{ Updates []Update }

// Ask requests the part of a peer's directory that starts at a cursor.
type Ask struct{ Cursor int }

// Roster is the answer to Ask. Next is the cursor of the next part; it is zero in the
// last part.
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
