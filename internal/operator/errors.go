package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cardamomhatch/internal/inifile"
)

// Code identifies a kind of error. Codes are stable; messages are for people and
// may change.
type Code string

// Error codes.
const (
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeTooLarge         Code = "body-too-large"
	CodeBadRequest       Code = "bad-request"
	CodeBadDeclaration   Code = "bad-declaration"
	CodePlanAltered      Code = "plan-altered"
	CodePlanKind         Code = "plan-kind"
	CodePlanEmpty        Code = "plan-empty"
	CodePlanExpired      Code = "plan-expired"
	CodeKeyUnknown       Code = "key-unknown"
	CodeHostUnknown      Code = "host-unknown"
	CodeWorkspaceUnknown Code = "workspace-unknown"
	CodeInternal         Code = "internal"
)

// Problem is one validation error in a declaration.
type Problem struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// Error is the JSON value of every error response. A request that is answered with an
// Error has not taken effect.
type Error struct {
	Status   int       `json:"-"`
	Code     Code      `json:"code"`
	Message  string    `json:"message"`
	Problems []Problem `json:"problems,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

func newError(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// declarationError returns the error response for an invalid declaration, with one
// Problem per validation error.
func declarationError(err error) error {
	e := newError(http.StatusUnprocessableEntity, CodeBadDeclaration, "%v", err)
	var problems inifile.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			e.Problems = append(e.Problems, Problem(p))
		}
	}
	return e
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = newError(http.StatusInternalServerError, CodeInternal, "%v", err)
	}
	writeJSON(w, e.Status, errorBody{e})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	if err := EncodeJSON(&body, v); err != nil {
		status, body = http.StatusInternalServerError, *bytes.NewBufferString(`{"error":{"code":"internal","message":"the answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store") // a response can contain a new key
	w.WriteHeader(status)
	_, _ = w.Write(body.Bytes()) // fails only if the client has disconnected
}

// EncodeJSON writes a value as indented JSON without HTML escapes, so that the
// diff of a plan stays readable.
func EncodeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// readJSON decodes a request body of at most limit bytes. It rejects unknown
// fields, which are most likely misspelt.
func readJSON(r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || int64(len(data)) > limit {
		return newError(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return newError(http.StatusBadRequest, CodeBadRequest, "the body is incomplete: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return newError(http.StatusBadRequest, CodeBadRequest, "the body is not the expected JSON: %v", err)
	}
	if decoder.More() {
		return newError(http.StatusBadRequest, CodeBadRequest, "the body continues after the JSON value")
	}
	return nil
}
