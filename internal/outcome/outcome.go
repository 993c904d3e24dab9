// Package outcome defines how a call ended when it did not produce a whole
// answer: what is known about its execution, why, and the wire form in which
// callers and other nodes learn it. Outcomes are values, never Go errors, so
// that every refusal carries the same facts wherever it was decided.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Execution is what is known about whether a call ran at its upstream.
type Execution uint8

// The states of knowledge. NotRun is claimed only on proof.
const (
	NotRun Execution = iota
	MayHaveRun
	RanFailed
	Ran

	numExecutions
)

var executionNames = [numExecutions]string{"not-run", "may-have-run", "ran-failed", "ran"}

// String returns the name used on the wire.
func (e Execution) String() string {
	if e < numExecutions {
		return executionNames[e]
	}
	return fmt.Sprintf("execution(%d)", uint8(e))
}

// Reason is why a call was refused or failed.
type Reason uint8

// The reasons. None means that there is nothing to report.
const (
	None Reason = iota
	KeyMissing
	KeyInvalid
	KeyWithdrawn
	KeysStale
	NoRoute
	NoConfiguration
	EdgeUndeclared
	ParentUnknown
	OverRate
	NoCredit
	Overloaded
	QueueTimeout
	DeadlineExceeded
	NoUpstream
	Draining
	ConnectFailed
	RetriesExhausted
	AnswerCut
	UpstreamFailed
	PeerLost
	CallerGone
	TicketInvalid
	TicketExpired
	TicketOwnerGone
	TicketHandedOver
	AnswerNotStored
	BadRequest
	DecisionExpired
	TooLarge
	UpstreamShed

	numReasons
)

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
	CallerGone:       {"caller-gone", 499}, // the caller closed its request
	TicketInvalid:    {"ticket-invalid", http.StatusBadRequest},
	TicketExpired:    {"ticket-expired", http.StatusGone},
	TicketOwnerGone:  {"ticket-owner-gone", http.StatusConflict},
	TicketHandedOver: {"ticket-handed-over", http.StatusServiceUnavailable},
	AnswerNotStored:  {"answer-not-stored", http.StatusConflict},
	BadRequest:       {"bad-request", http.StatusBadRequest},
	DecisionExpired:  {"decision-expired", http.StatusServiceUnavailable},
	TooLarge:         {"too-large", http.StatusRequestEntityTooLarge},
	UpstreamShed:     {"upstream-shed", http.StatusServiceUnavailable},
}

// String returns the name used on the wire.
func (r Reason) String() string {
	if r < numReasons {
		return reasons[r].name
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Status returns the HTTP status that carries the reason.
func (r Reason) Status() int {
	if r < numReasons {
		return reasons[r].status
	}
	return http.StatusInternalServerError
}

// Refusal says that a call produced no whole answer, and what is known of it.
type Refusal struct {
	Execution  Execution
	Reason     Reason
	Node       string        // host that decided
	RetryAfter time.Duration // zero if a retry will not help
	Detail     string        // for people; never contains a key
}

// Error returns the refusal as one line. Refusal is usable as an error where a
// library demands one.
func (r Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s (node %s)", r.Execution, r.Reason, r.Node)
	}
	return fmt.Sprintf("%s: %s (node %s): %s", r.Execution, r.Reason, r.Node, r.Detail)
}
