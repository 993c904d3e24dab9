package upstream

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/engine"
)

// lognormal returns a lognormal variate with median 1.
func lognormal(spread, normalVariate float64) float64 { return math.Exp(spread * normalVariate) }

// withDeadline returns the context of a call with the timeout in its TimeoutHeader.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(engine.TimeoutHeader), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// keyPrefix is the prefix of every caller's key.
const keyPrefix = "ch_"

// containsKey reports whether the headers or the query contain what may be a caller's
// key. Nodes must remove keys from the calls that they forward.
func containsKey(r *http.Request) bool {
	if r.Header.Get("Authorization") != "" {
		return true
	}
	query := r.URL.Query()
	for _, name := range []string{"key", "api_key", "access_token"} {
		if query.Has(name) {
			return true
		}
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.HasPrefix(value, keyPrefix) {
				return true
			}
		}
	}
	return false
}

// readBody reads the whole body, then checks its trailers for a caller's key.
func (u *Upstream) readBody(r *http.Request) (int64, error) {
	n, err := io.Copy(io.Discard, r.Body)
	for name, values := range r.Trailer {
		isKey := strings.EqualFold(name, "Authorization") || strings.EqualFold(name, "Key")
		if isKey && len(values) > 0 {
			u.count(func(c *Counts) { c.KeysSeen++ })
		}
	}
	return n, err
}

// callDownstream makes the configured downstream calls through the node's local
// listener. parentHeader is the header of the call that needs them.
func (u *Upstream) callDownstream(ctx context.Context, parentHeader http.Header) error {
	if u.cfg.Node == "" {
		return nil
	}
	for _, call := range u.cfg.Downstream {
		for range max(call.Count, 1) {
			if err := u.callWithRetries(ctx, call, parentHeader); err != nil {
				return err
			}
		}
	}
	return nil
}

func (u *Upstream) callWithRetries(ctx context.Context, call Call, parentHeader http.Header) error {
	var err error
	for range call.Retries + 1 {
		if err = u.callOnce(ctx, call, parentHeader); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (u *Upstream) callOnce(ctx context.Context, call Call, parentHeader http.Header) error {
	method := call.Method
	if method == "" {
		method = http.MethodGet
	}
	target := u.cfg.Node + "/call/" + url.PathEscape(string(call.Service)) + call.Path
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return errors.Wrapf(err, "downstream call to %s", call.Service)
	}
	// By this token, the node relates the downstream call to the call that makes it.
	r.Header.Set(engine.CallHeader, parentHeader.Get(engine.CallHeader))
	if marker := parentHeader.Get(MarkerHeader); marker != "" {
		r.Header.Set(MarkerHeader, marker)
	}
	resp, err := u.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "downstream call to %s", call.Service)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrapf(err, "read the answer to the downstream call to %s", call.Service)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("downstream call to %s: status %s", call.Service, resp.Status)
	}
	return nil
}

const defaultAnswer = "done\n"

// writeAnswer writes the answer. With a truncation fault, it writes half of the answer
// and aborts the connection.
func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, f Faults, received int64) {
	size := u.cfg.AnswerSize
	if size == 0 {
		size = len(defaultAnswer)
	}
	h := w.Header()
	h.Set("X-Upstream", u.cfg.Name)
	h.Set("X-Received-Bytes", strconv.FormatInt(received, 10))
	if marker := r.Header.Get(MarkerHeader); marker != "" {
		h.Set(MarkerHeader, marker)
	}
	if !f.TruncateChunked {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	sendBytes := size
	if f.Truncate || f.TruncateChunked {
		sendBytes = size / 2
	}
	// An error means that the client has disconnected.
	_, _ = io.CopyN(w, repeatingReader(defaultAnswer), int64(sendBytes))
	if f.Truncate || f.TruncateChunked {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// repeatingReader is an endless reader that repeats its text.
type repeatingReader string

// Read implements io.Reader.
func (s repeatingReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], s)
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
