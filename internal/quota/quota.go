// Package quota implements distributed rate limiting: it keeps each workspace within its
// rate and burst over all hosts together. No single host sees all calls of a workspace,
// so the limit is split into shares. Each share is a token bucket at one node, its holder,
// and the other nodes borrow short-lived credit from the holders.
package quota

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// Call is the credit for one call, in micro-calls, the unit of all amounts of credit.
const Call int64 = 1_000_000

const (
	// LoanTerm is how long borrowed credit is valid after the borrower sent the ask.
	LoanTerm = time.Second
	// MaxDriftPercent bounds how far two clocks drift apart over LoanTerm.
	MaxDriftPercent = 1
	// holderLoanTerm is how long a holder counts credit as outstanding. It exceeds LoanTerm
	// so that a loan ends at the borrower first even if the holder's clock runs faster.
	holderLoanTerm = LoanTerm + LoanTerm*MaxDriftPercent/100

	// WaitLimit bounds how long a call waits for credit.
	WaitLimit = 50 * time.Millisecond

	maxShares        = 32   // of one workspace
	minBurstPerShare = 16   // least burst of a share, in calls, if there are several shares
	maxWaiting       = 4096 // most calls of one workspace that wait at one node
)

// Limit is the rate and burst of a workspace over all hosts.
type Limit struct {
	Workspace     mesh.Workspace
	RatePerSecond float64 // calls
	Burst         float64 // calls
}

// Share is one part of a workspace's limit, as assigned by a record of the log.
type Share struct {
	Workspace mesh.Workspace
	Index     int // from 0 to Count-1
	Count     int // shares of the workspace
	Holder    mesh.NodeID
	Epoch     uint64 // increases with each new assignment; the values are not consecutive
	Offset    uint64 // log offset of the record that assigned it
	First     bool   // no share of the workspace had a holder before
	// PredecessorEpoch is the epoch of the previous holder, or 0 if there was none or
	// the share count has changed.
	PredecessorEpoch uint64
}

// ShareCount returns the number of shares into which a workspace's limit is split.
func ShareCount(burst float64, nodes int) int {
	return max(1, min(maxShares, int(burst/minBurstPerShare), nodes))
}

// Config holds the parameters of a Limiter.
type Config struct {
	Seed uint64 // seeds the choice between equally suitable holders
}

// Result is the outcome of Take.
type Result uint8

// The results of Take. A call with result Waiting is later listed by Decisions.
const (
	Taken    Result = iota
	Waiting         // credit has been requested from a holder
	OverRate        // the holders denied credit, or too many calls wait
	NoCredit        // a holder is unreachable or inactive, or there is no share
)

var resultNames = [...]string{"taken", "waiting", "over-rate", "no-credit"}

// String returns the name used in logs.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "invalid"
}

// Decision is the result for a call that waited: Taken, OverRate or NoCredit.
type Decision struct {
	Call   mesh.CallID
	Result Result
}

// Usage reports how much of one loan its borrower has used and returned. Both amounts
// are totals since the loan was granted, so that a duplicate or outdated report has no
// effect.
type Usage struct {
	Loan     uint64 // Ask.Loan of the ask that requested the credit
	Used     int64
	Returned int64 // the borrower can no longer use this amount
}

// Ask requests credit from the holder of a share and reports on earlier loans.
type Ask struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64 // epoch of the share's assignment that the sender has applied
	Loan      uint64 // ID of the loan, unique within the asking incarnation
	Need      int64  // credit for the calls that wait now
	Want      int64  // Need plus the credit that further calls are expected to need soon
	Usage     []Usage
}

// MessageName implements mesh.Message.
func (Ask) MessageName() string { return "quota-ask" }

// Grant answers an Ask. Amount 0 means that no credit was granted.
type Grant struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64
	Loan      uint64 // Ask.Loan of the answered ask
	Amount    int64
	Level     int64         // credit that remains at the holder
	Burst     int64         // burst of the share under the limit that the holder applies
	RetryIn   time.Duration // if Amount is 0: delay before the next ask
	Inactive  bool          // the sender may not lend: it does not hold an active share, or its evidence has lapsed
}

// MessageName implements mesh.Message.
func (Grant) MessageName() string { return "quota-grant" }

// Report states the use of loans and returns credit.
type Report struct {
	Workspace mesh.Workspace
	Index     int
	Usage     []Usage
}

// MessageName implements mesh.Message.
func (Report) MessageName() string { return "quota-report" }

// Recall asks a borrower to return the credit that it does not need now.
type Recall struct {
	Workspace mesh.Workspace
	Index     int
}

// MessageName implements mesh.Message.
func (Recall) MessageName() string { return "quota-recall" }

// ShareReleased passes a share to its next holder in a planned stop. The sender no longer
// uses the share or lends from it.
type ShareReleased struct {
	Workspace mesh.Workspace
	Index     int
	Epoch     uint64 // epoch of the sender's assignment
	Count     int    // share count at that epoch
	Level     int64
	Out       int64         // credit still outstanding at borrowers
	OutFor    time.Duration // time until the last of it expires
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
