// Package quota keeps each workspace within its rate and burst over all hosts
// together. It exists because no single host sees all calls of a workspace:
// the right to admit calls is split into shares, each kept by one holder, and
// other nodes borrow short-lived credit from the holders.
package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Call is one call in micro-calls, the unit of all amounts.
const Call int64 = 1_000_000

const (
	// LoanTerm is how long borrowed credit is valid from when it was asked for.
	LoanTerm = time.Second
	// MaxDriftPercent bounds how far two clocks drift apart over Term.
	MaxDriftPercent = 1
	// holderTerm is how long a holder counts credit as out.
	holderTerm = LoanTerm + LoanTerm*MaxDriftPercent/100

	// WaitLimit bounds how long a call waits for credit.
	WaitLimit = 50 * time.Millisecond

	maxShares     = 32
	burstPerShare = 16
	maxWaiting    = 4096 // calls per workspace that wait for credit
)

// Limit is the rate and the burst of a workspace over all hosts.
type Limit struct {
	Workspace     mesh.Workspace
	RatePerSecond float64
	Burst         float64
}

// Share is one part of a workspace's limit as the log assigns it.
type Share struct {
	Workspace mesh.Workspace
	Index     int
	Count     int
	Holder    mesh.NodeID
	Epoch     uint64
	Offset    uint64 // of the record that assigned it
	First     bool   // no share of the workspace ever had a holder
	// PredecessorEpoch is the epoch of the holder before, 0 if there was none or
	// the number of shares has changed. Epochs grow but are not consecutive.
	PredecessorEpoch uint64
}

// ShareCount returns the number of shares for a burst on so many nodes.
func ShareCount(burst float64, nodes int) int {
	return max(1, min(maxShares, int(burst/burstPerShare), nodes))
}

// Config sets the behaviour of a Ledger.
type Config struct {
	Seed uint64 // of the choice between equal holders
}

// Result is what Take decided.
type Result uint8

// The results of Take. Only Waiting calls appear in Settled later.
const (
	Taken    Result = iota
	Waiting         // credit has been asked for
	OverRate        // the holders said that there is none
	NoCredit        // no holder can be reached, or none is in force
)

var resultNames = [...]string{"taken", "waiting", "over-rate", "no-credit"}

// String returns the name used in logs.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "invalid"
}

// Decision is the decision on a call that waited: Taken, OverRate or NoCredit.
type Decision struct {
	Call   mesh.CallID
	Result Result
}

// Usage is what a borrower states of one loan. Both amounts are totals, so
// that a duplicate or an old report changes nothing.
type Usage struct {
	Loan     uint64
	Used     int64
	Returned int64 // no longer usable by the borrower
}

// Ask requests credit from the holder of a share and reports on earlier loans.
type Ask struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64
	Loan      uint64 // unique within the asking incarnation
	Need      int64  // for calls that wait now
	Want      int64  // Need and what is expected to be used soon
	Usage     []Usage
}

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "quota-ask" }

// Grant answers an Ask. Amount 0 means that there is nothing to lend.
type Grant struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64
	Loan      uint64
	Amount    int64
	Level     int64         // left at the holder
	Burst     int64         // of the share, as the holder knows it
	RetryIn   time.Duration // until there is a whole call, if Amount is 0
	Inactive  bool          // the sender may not lend: share not in force or evidence lapsed
}

// MessageName implements mesh.Message.
func (Grant) MessageName() string { return "quota-grant" }

// Report states the use of loans, and returns credit.
type Report struct {
	Workspace mesh.Workspace
	Index     int
	Usage     []Usage
}

// MessageName implements mesh.Message.
func (Report) MessageName() string { return "quota-report" }

// Recall asks a borrower for the credit that it does not need now.
type Recall struct {
	Workspace mesh.Workspace
	Index     int
}

// MessageName implements mesh.Message.
func (Recall) MessageName() string { return "quota-recall" }

// ShareReleased hands a share to its successor in a planned stop. The sender
// neither uses nor lends it any more.
type ShareReleased struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64 // that the sender held
	Count     int    // of shares at that epoch
	Level     int64
	Out       int64         // credit still out at borrowers
	OutFor    time.Duration // until the last of it expires
}

// MessageName implements mesh.Message.
func (ShareReleased) MessageName() string { return "quota-share-released" }

func init() {
	mesh.RegisterMessage(Ask{})
	mesh.RegisterMessage(Grant{})
	mesh.RegisterMessage(Report{})
	mesh.RegisterMessage(Recall{})
	mesh.RegisterMessage(ShareReleased{})
}
