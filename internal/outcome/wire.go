package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the HTTP header with the execution state, reason, deciding host and retry
// delay of a refusal.
const Header = "Cardamomhatch-Outcome"

// body is the JSON body of a refusal.
type body struct {
	Execution    string `json:"execution"`
	Reason       string `json:"reason"`
	Node         string `json:"node"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Detail       string `json:"detail,omitempty"`
}

// Write sends the refusal as a complete HTTP response. It returns the error of the
// connection, if any.
func (r Refusal) Write(w http.ResponseWriter) error {
	payload, err := json.Marshal(body{
		Execution:    r.Execution.String(),
		Reason:       r.Reason.String(),
		Node:         r.Node,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Detail:       r.Detail,
	})
	if err != nil {
		return err
	}
	payload = append(payload, '\n')
	h := w.Header()
	h.Set(Header, r.HeaderValue())
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(payload)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
	}
	w.WriteHeader(r.Reason.Status())
	_, err = w.Write(payload)
	return err
}

// HeaderValue returns the value of Header for the refusal.
func (r Refusal) HeaderValue() string {
	return fmt.Sprintf("%s; reason=%s; node=%s; retry-after-ms=%d",
		r.Execution, r.Reason, r.Node, r.RetryAfter.Milliseconds())
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// Parse returns the refusal in the headers of an HTTP response. The second result is
// false if the headers contain no well-formed refusal. Unknown fields are ignored.
func Parse(h http.Header) (Refusal, bool) {
	value := h.Get(Header)
	if value == "" {
		return Refusal{}, false
	}
	fields := strings.Split(value, "; ")
	execution, ok := parseExecution(fields[0])
	if !ok {
		return Refusal{}, false
	}
	r := Refusal{Execution: execution}
	for _, field := range fields[1:] {
		name, v, _ := strings.Cut(field, "=")
		if !r.setField(name, v) {
			return Refusal{}, false
		}
	}
	return r, r.Reason != None
}

// setField sets one field of the header value. It returns false if the value is not
// valid.
func (r *Refusal) setField(name, value string) bool {
	switch name {
	case "reason":
		reason, ok := parseReason(value)
		r.Reason = reason
		return ok
	case "node":
		r.Node = value
	case "retry-after-ms":
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return false
		}
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return true
}

func parseExecution(s string) (Execution, bool) {
	for i, name := range executionNames {
		if name == s {
			return Execution(i), true
		}
	}
	return 0, false
}

func parseReason(s string) (Reason, bool) {
	for i, info := range reasons {
		if info.name == s {
			return Reason(i), true
		}
	}
	return 0, false
}
