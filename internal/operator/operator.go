// Package operator serves the intent API on the operator listener: operators
// state what they want, read what would change, and confirm it before anything
// takes effect. It exists to give a truthful answer to every confirmation:
// accepted, rejected with the reason, or not known yet with a place to ask.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
)

// Bounds of request bodies, in bytes.
const (
	maxPlanBody = 8 << 20
	maxBody     = 64 << 10
)

// Times of the API.
const (
	// decisionTimeout is longer than the engine takes to report a proposal as
	// undecided, so that the engine's answer arrives first.
	decisionTimeout = 15 * time.Second
	maxWait         = time.Minute
	askWait         = 500 * time.Millisecond // for the answers of members in GET /v1/status
)

// Node is the node process that the API acts on.
type Node interface {
	// View runs f with the engine while no event is processed.
	View(f func(*engine.Node))
	// Step feeds one event to the engine.
	Step(ev engine.Event)
	// Propose appends a record and waits for its verdict.
	Propose(ctx context.Context, token string, data []byte) (*engine.Decision, error)
	// WithdrawKey withdraws a key and waits until that is accepted or overdue.
	WithdrawKey(ctx context.Context, id string) (*engine.Decision, error)
	// DrainNode drains the upstream beside a node and waits for its confirmation.
	DrainNode(ctx context.Context, token string, node mesh.NodeID) (*engine.Decision, error)
}

// Config configures the handler.
type Config struct {
	Node Node
	Self mesh.NodeID
	// TokenHash is the SHA-256 of the operator token. It is the same at all nodes
	// of a mesh: it also keys the seal of plans, which any node must accept.
	TokenHash [sha256.Size]byte
	Metrics   metrics.Registry
	Random    io.Reader // cryptographically secure; for plan tokens and keys
}

// HashToken returns what is configured for a token.
func HashToken(token string) [sha256.Size]byte { return sha256.Sum256([]byte(token)) }

type api struct{ cfg Config }

// New returns the handler of the operator listener.
func New(cfg Config) (http.Handler, error) {
	if cfg.Node == nil || cfg.Random == nil || cfg.Metrics == nil {
		return nil, errors.New("operator handler needs a node, a registry of metrics and a source of random bytes")
	}
	if cfg.TokenHash == [sha256.Size]byte{} {
		return nil, errors.New("operator handler needs the hash of an operator token")
	}
	a := &api{cfg: cfg}
	mux := http.NewServeMux()
	for pattern, h := range map[string]handler{
		"POST /v1/plan":             a.plan,
		"POST /v1/confirm":          a.confirm,
		"POST /v1/keys/plan":        a.planKey,
		"POST /v1/keys/confirm":     a.confirmKey,
		"GET /v1/keys":              a.keys,
		"GET /v1/keys/{id}":         a.key,
		"POST /v1/drain":            a.drain,
		"GET /v1/proposals/{token}": a.proposal,
		"GET /v1/status":            a.status,
		"GET /v1/timeline":          a.timeline,
		"GET /metrics":              a.metrics,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { serve(w, r, h) })
	}
	return a.authorize(withJSONErrors(mux)), nil
}

// handler answers one request: with a value that is written as JSON under the
// status, with an error, or by itself if the status is 0.
type handler func(w http.ResponseWriter, r *http.Request) (status int, value any, err error)

func serve(w http.ResponseWriter, r *http.Request, h handler) {
	status, value, err := h(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if status != 0 {
		writeJSON(w, status, value)
	}
}

// authorize refuses requests without the operator token. Hashes are compared in
// constant time, so that the time of an answer does not tell how much of a guess
// was right.
func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := HashToken(token)
		same := subtle.ConstantTimeCompare(hash[:], a.cfg.TokenHash[:]) == 1
		if !bearer || !same {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, fail(http.StatusUnauthorized, CodeUnauthorized, "the request does not carry the operator token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxPlanBody)
		next.ServeHTTP(w, r)
	})
}

// withJSONErrors replaces the mux's own text answers for unknown paths and
// methods.
func withJSONErrors(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		for _, other := range []string{http.MethodGet, http.MethodPost} {
			probe := r.Clone(r.Context())
			probe.Method = other
			if _, pattern := mux.Handler(probe); pattern != "" {
				w.Header().Set("Allow", other)
				writeError(w, fail(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "%s is not allowed on %s", r.Method, r.URL.Path))
				return
			}
		}
		writeError(w, fail(http.StatusNotFound, CodeNotFound, "path %s does not exist", r.URL.Path))
	})
}
