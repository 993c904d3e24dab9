// Package outcome describes calls that ended without a complete answer: what is known
// about their execution, the reason, and the wire format in which callers and other
// nodes receive this. Outcomes are values and not Go errors, so that each refusal
// contains the same information wherever it was decided.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Execution is what is known about the execution of a call at its upstream.
type Execution uint8

// The execution states. NotRun is reported only if it is certain that the call was not
// executed and will not be.
const (
	NotRun     Execution = iota
	MayHaveRun           // unknown whether the call was executed
	RanFailed            // executed, and failed or the answer is incomplete
	Ran                  // executed without a known failure

	numExecutions
)

var executionNames = [numExecutions]string{"not-run", "may-have-run", "ran-failed", "ran"}

// String returns the name of the state in the wire format.
func (e Execution) String() string {
	if e < numExecutions {
		return executionNames[e]
	}
	return fmt.Sprintf("execution(%d)", uint8(e))
}

// Reason is the reason why a call was refused or failed.
type Reason uint8

// The reasons. None means that the call was not refused and did not fail.
const (
	None Reason = iota
	KeyMissing
	KeyInvalid
	KeyWithdrawn
	KeysStale // the node cannot confirm that its keys are current
	NoRoute
	NoConfiguration
	EdgeUndeclared // no edge permits the call, or the call chain is too long
	ParentUnknown  // a downstream call names no call that is running
	OverRate       // the workspace exceeds its rate
	NoCredit       // a holder of the workspace's rate is unreachable or inactive, or there is none
	Overloaded
	QueueTimeout
	DeadlineExceeded
	NoUpstream
	Draining
	ConnectFailed
	RetriesExhausted
	AnswerCut // the answer ended before it was complete
	UpstreamFailed
	PeerLost // the exchange with another node failed after the call may have been sent
	CallerGone
	TicketInvalid
	TicketExpired
	TicketOwnerGone
	TicketHandedOver
	AnswerNotStored
	BadRequest
	DecisionExpired // the process was paused between the decision and its execution
	TooLarge
	UpstreamShed
	UpstreamLimited // the upstream names a limit on its requests per second, which is used up
	UpstreamSilent  // the upstream answered others, but not this request until its deadline
	Evacuated       // the operator has evacuated the data centres of all upstreams that could run the call

	numReasons
)

// reasonInfo is the representation of a Reason in an HTTP response.
type reasonInfo struct {
	name   string
	status int
}

var reasons = [numReasons]reasonInfo{
	None:             {"none", http.StatusOK},
	KeyMissing:       {"key-missing", http.StatusUnauthorized},
	KeyInvalid:       {"key-invalid", http.StatusUnauthorized},
	KeyWithdrawn:     {"key-withdrawn", http.StatusUnauthorized},
	KeysStale:        {"keys-stale", http.StatusServiceUnavailable},
	NoRoute:          {"no-route", http.StatusNotFound},
	NoConfiguration:  {"no-configuration", http.StatusServiceUnavailable},
	EdgeUndeclared:   {"edge-undeclared", http.StatusForbidden},
	ParentUnknown:    {"parent-unknown", http.StatusForbidden},
	OverRate:         {"over-rate", http.StatusTooManyRequests},
	NoCredit:         {"no-credit", http.StatusServiceUnavailable},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable},
	QueueTimeout:     {"queue-timeout", http.StatusServiceUnavailable},
	DeadlineExceeded: {"deadline-exceeded", http.StatusGatewayTimeout},
	NoUpstream:       {"no-upstream", http.StatusServiceUnavailable},
	Draining:         {"draining", http.StatusServiceUnavailable},
	ConnectFailed:    {"connect-failed", http.StatusBadGateway},
	RetriesExhausted: {"retries-exhausted", http.StatusServiceUnavailable},
	AnswerCut:        {"answer-cut", http.StatusBadGateway},
	UpstreamFailed:   {"upstream-failed", http.StatusBadGateway},
	PeerLost:         {"peer-lost", http.StatusBadGateway},
	CallerGone:       {"caller-gone", 499}, // non-standard: client closed request
	TicketInvalid:    {"ticket-invalid", http.StatusBadRequest},
	TicketExpired:    {"ticket-expired", http.StatusGone},
	TicketOwnerGone:  {"ticket-owner-gone", http.StatusConflict},
	TicketHandedOver: {"ticket-handed-over", http.StatusServiceUnavailable},
	AnswerNotStored:  {"answer-not-stored", http.StatusConflict},
	BadRequest:       {"bad-request", http.StatusBadRequest},
	DecisionExpired:  {"decision-expired", http.StatusServiceUnavailable},
	TooLarge:         {"too-large", http.StatusRequestEntityTooLarge},
	UpstreamShed:     {"upstream-shed", http.StatusServiceUnavailable},
	UpstreamLimited:  {"upstream-limited", http.StatusServiceUnavailable},
	UpstreamSilent:   {"upstream-silent", http.StatusGatewayTimeout},
	Evacuated:        {"evacuated", http.StatusServiceUnavailable},
}

// String returns the name of the reason in the wire format.
func (r Reason) String() string {
	if r < numReasons {
		return reasons[r].name
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int {
	if r < numReasons {
		return reasons[r].status
	}
	return http.StatusInternalServerError
}

// Refusal describes a call that ended without a complete answer.
type Refusal struct {
	Execution  Execution
	Reason     Reason
	Node       string        // host of the node that refused the call
	RetryAfter time.Duration // zero if a retry is not expected to help
	Detail     string        // human-readable; never contains an API key
}

// Error returns the refusal as one line of text. It makes Refusal usable where a
// library requires an error.
func (r Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s (node %s)", r.Execution, r.Reason, r.Node)
	}
	return fmt.Sprintf("%s: %s (node %s): %s", r.Execution, r.Reason, r.Node, r.Detail)
}
