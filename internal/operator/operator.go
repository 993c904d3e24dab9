// Package operator implements the HTTP API of the operator listener, and a client
// for it. Changes take two steps: a request returns a plan that shows what would
// change, and nothing takes effect until the operator confirms the plan. Every
// confirmation is answered as accepted, as rejected with a reason, or as unknown
// with a path to poll for the result.
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

// Limits of request bodies, in bytes.
const (
	maxPlanBody = 8 << 20  // requests with declaration files or a plan for the mesh
	maxBody     = 64 << 10 // all other requests
)

const (
	// decisionTimeout is longer than the time after which the engine reports a
	// proposal as undecided, so that the engine's decision arrives first.
	decisionTimeout = 15 * time.Second
	// maxWait is the maximum of the wait parameter of a confirmation.
	maxWait = time.Minute
	// statusQueryTimeout limits how long GET /v1/status?ask=1 waits for other members.
	statusQueryTimeout = 500 * time.Millisecond
)

// Node is the node process that the API acts on.
type Node interface {
	// View runs f with exclusive access to the engine.
	View(f func(*engine.Node))
	// Step passes one event to the engine.
	Step(ev engine.Event)
	// Propose appends a record to the log and waits for the decision on it.
	Propose(ctx context.Context, token string, data []byte) (*engine.Decision, error)
	// WithdrawKey withdraws a key and waits until the withdrawal is accepted or
	// times out.
	WithdrawKey(ctx context.Context, id string) (*engine.Decision, error)
	// DrainNode drains the local upstream of a node and waits until that node has
	// confirmed the drain or the request times out.
	DrainNode(ctx context.Context, token string, node mesh.NodeID) (*engine.Decision, error)
}

// Config configures the handler.
type Config struct {
	Node Node
	Self mesh.NodeID
	// TokenHash is the SHA-256 hash of the operator token. All nodes of a mesh must
	// have the same token, because its hash is also the HMAC key of Plan.Seal, which
	// any node must be able to verify.
	TokenHash [sha256.Size]byte
	Metrics   metrics.Registry
	Random    io.Reader // cryptographically secure source for plan tokens and keys
}

// HashToken returns the SHA-256 hash of an operator token, for Config.TokenHash.
func HashToken(token string) [sha256.Size]byte { return sha256.Sum256([]byte(token)) }

type api struct{ cfg Config }

// New returns the handler of the operator listener.
func New(cfg Config) (http.Handler, error) {
	if cfg.Node == nil || cfg.Random == nil || cfg.Metrics == nil {
		return nil, errors.New("operator handler requires a node, a metrics registry and a source of random bytes")
	}
	if cfg.TokenHash == [sha256.Size]byte{} {
		return nil, errors.New("operator handler requires the hash of an operator token")
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

// handler returns the status of the response and the value to write as JSON, or an
// error, or status 0 if it has written the response itself.
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

// authorize rejects requests without the operator token. It compares hashes in
// constant time, so that response times do not reveal how much of a guessed token
// is right. It limits the bodies of accepted requests to maxPlanBody.
func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := HashToken(token)
		same := subtle.ConstantTimeCompare(hash[:], a.cfg.TokenHash[:]) == 1
		if !bearer || !same {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, newError(http.StatusUnauthorized, CodeUnauthorized, "the request does not carry the operator token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxPlanBody)
		next.ServeHTTP(w, r)
	})
}

// withJSONErrors replaces the plain-text responses of the mux for unknown paths
// and methods by JSON errors.
func withJSONErrors(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			probe := r.Clone(r.Context())
			probe.Method = method
			if _, pattern := mux.Handler(probe); pattern != "" {
				w.Header().Set("Allow", method)
				writeError(w, newError(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "%s is not allowed on %s", r.Method, r.URL.Path))
				return
			}
		}
		writeError(w, newError(http.StatusNotFound, CodeNotFound, "path %s does not exist", r.URL.Path))
	})
}
