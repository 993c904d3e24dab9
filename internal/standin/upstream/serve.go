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

func lognormal(spread, variate float64) float64 { return math.Exp(spread * variate) }

// deadline returns the context of a call with the limit its node gave it.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(engine.TimeoutHeader), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

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

// keyPrefix begins every caller key.
const keyPrefix = "ch_"

// containsKey looks for a caller's key wherever the caller may have put one.
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

// drainBody reads the whole upload and then looks at its trailers.
func (u *Upstream) drainBody(r *http.Request) (int64, error) {
	n, err := io.Copy(io.Discard, r.Body)
	for name, values := range r.Trailer {
		key := strings.EqualFold(name, "Authorization") || strings.EqualFold(name, "Key")
		if key && len(values) > 0 {
			u.count(func(c *Counts) { c.KeysSeen++ })
		}
	}
	return n, err
}

// callDownstream makes the declared calls through the node's local listener.
func (u *Upstream) callDownstream(ctx context.Context, parent http.Header) error {
	if u.cfg.Node == "" {
		return nil
	}
	for _, call := range u.cfg.Downstream {
		for range max(call.Count, 1) {
			if err := u.callWithRetries(ctx, call, parent); err != nil {
				return err
			}
		}
	}
	return nil
}

func (u *Upstream) callWithRetries(ctx context.Context, call Call, parent http.Header) error {
	var err error
	for range call.Retries + 1 {
		if err = u.callOnce(ctx, call, parent); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (u *Upstream) callOnce(ctx context.Context, call Call, parent http.Header) error {
	method := call.Method
	if method == "" {
		method = http.MethodGet
	}
	target := u.cfg.Node + "/call/" + url.PathEscape(string(call.Service)) + call.Path
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return errors.Wrapf(err, "downstream call to %s", call.Service)
	}
	r.Header.Set(engine.CallHeader, parent.Get(engine.CallHeader))
	if marker := parent.Get(MarkerHeader); marker != "" {
		r.Header.Set(MarkerHeader, marker)
	}
	resp, err := u.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "downstream call to %s", call.Service)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrapf(err, "answer of %s", call.Service)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("%s answered %s", call.Service, resp.Status)
	}
	return nil
}

const defaultAnswer = "done\n"

// answer writes the answer, cut short if a fault says so.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, f Faults, received int64) {
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
	if !f.CutChunks {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	send := size
	if f.Truncate || f.CutChunks {
		send = size / 2
	}
	// The error is that of a connection whose other side is gone.
	_, _ = io.CopyN(w, repeated(defaultAnswer), int64(send))
	if f.Truncate || f.CutChunks {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// repeated yields its text over and over.
type repeated string

// Read implements io.Reader.
func (s repeated) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], s)
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the error is that of the connection
}
