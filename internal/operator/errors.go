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

// Code names a kind of error. Codes are stable, messages are for people.
type Code string

// The codes of errors.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not-found"
	CodeMethodNotAllowed         Code = "method-not-allowed"
	CodeTooLarge       Code = "body-too-large"
	CodeBadRequest     Code = "bad-request"
	CodeBadDeclaration Code = "bad-declaration"
	CodePlanAltered    Code = "plan-altered"
	CodePlanKind       Code = "plan-kind"
	CodePlanEmpty      Code = "plan-empty"
	CodePlanExpired    Code = "plan-expired"
	CodeKeyUnknown     Code = "key-unknown"
	CodeHostUnknown    Code = "host-unknown"
	CodeWorkspaceUnknown      Code = "workspace-unknown"
	CodeInternal       Code = "internal"
)

// Problem is one reason to refuse a declaration.
type Problem struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// Error is the JSON value of every answer that is neither a result nor a
// verdict. Nothing has taken effect.
type Error struct {
	Status   int       `json:"-"`
	Code     Code      `json:"code"`
	Message  string    `json:"message"`
	Problems []Problem `json:"problems,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

func fail(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// declarationError lists the problems of a declaration.
func declarationError(err error) error {
	e := fail(http.StatusUnprocessableEntity, CodeBadDeclaration, "%v", err)
	var problems inifile.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			e.Problems = append(e.Problems, Problem(p))
		}
	}
	return e
}

// errorBody is the JSON document around an Error.
type errorBody struct {
	Error *Error `json:"error"`
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = fail(http.StatusInternalServerError, CodeInternal, "%v", err)
	}
	writeJSON(w, e.Status, errorBody{e})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	if err := EncodeJSON(&body, v); err != nil {
		status, body = http.StatusInternalServerError, *bytes.NewBufferString(`{"error":{"code":"internal","message":"the answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store") // an answer can contain a new key
	w.WriteHeader(status)
	_, _ = w.Write(body.Bytes()) // an error means that the operator is gone
}

// EncodeJSON writes a value indented and without the escapes that JSON inside
// HTML needs, so that people can read the diff of a plan.
func EncodeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// readJSON reads a body of at most limit bytes strictly: an unknown field is
// likely a misspelt one.
func readJSON(r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || int64(len(data)) > limit {
		return fail(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return fail(http.StatusBadRequest, CodeBadRequest, "the body is incomplete: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fail(http.StatusBadRequest, CodeBadRequest, "the body is not the expected JSON: %v", err)
	}
	if decoder.More() {
		return fail(http.StatusBadRequest, CodeBadRequest, "the body continues after the JSON value")
	}
	return nil
}
