package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
)

// PlanKind names what a plan would do.
type PlanKind string

// The kinds of plans.
const (
	PlanMesh     PlanKind = "mesh"
	PlanIssue    PlanKind = "key-issue"
	PlanWithdraw PlanKind = "key-withdraw"
	PlanDrain    PlanKind = "drain"
)

// NodeRef names a node. The incarnation is hexadecimal text, since tools that
// hold JSON numbers as float64 would round it.
type NodeRef struct {
	Host        mesh.Host `json:"host"`
	Incarnation string    `json:"incarnation"`
}

func refer(n mesh.NodeID) NodeRef {
	return NodeRef{n.Host, strconv.FormatUint(uint64(n.Incarnation), 16)}
}

func (r NodeRef) node() mesh.NodeID {
	incarnation, _ := strconv.ParseUint(r.Incarnation, 16, 64) // a sealed plan has a valid one
	return mesh.NodeID{Host: r.Host, Incarnation: mesh.Incarnation(incarnation)}
}

// Plan is what an operator reads and confirms. It carries all that its
// confirmation needs, so that any node can take it. Exactly the field of its
// kind is set.
type Plan struct {
	Kind PlanKind `json:"kind"`
	// Token makes the confirmation idempotent: whatever is confirmed twice, at
	// one node or at several, takes effect once.
	Token config.Token `json:"token"`
	// After is the log offset the plan was made at. Its record folds only within
	// config.Window offsets from there, for as long as tokens are remembered.
	After     uint64               `json:"after"`
	Diff      string               `json:"diff"` // for people
	Mesh      *config.PlanDocument `json:"mesh,omitempty"`
	Workspace mesh.Workspace       `json:"workspace,omitempty"` // of the key to issue
	KeyID     string               `json:"key_id,omitempty"`    // of the key to withdraw
	Node      *NodeRef             `json:"node,omitempty"`      // whose upstream to drain
	// Seal is an HMAC over the other fields under the hash of the operator token.
	Seal string `json:"seal"`
}

func (p Plan) seal(key []byte) (string, error) {
	p.Seal = ""
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "encode plan")
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// complete reports whether the field of the plan's kind is set.
func (p Plan) complete() bool {
	switch p.Kind {
	case PlanMesh:
		return p.Mesh != nil
	case PlanDrain:
		return p.Node != nil
	case PlanIssue:
		return p.Workspace != ""
	}
	return p.KeyID != ""
}

// finish draws the token of a plan and seals it.
func (a *api) finish(p Plan) (int, any, error) {
	token, err := config.NewToken(a.cfg.Random)
	if err != nil {
		return 0, nil, err
	}
	p.Token = token
	p.Seal, err = p.seal(a.cfg.TokenHash[:])
	return http.StatusOK, p, err
}

// check refuses a plan that is not one of the expected kinds as it was handed
// out, or too old to be folded.
func (a *api) check(p Plan, offset uint64, kinds ...PlanKind) error {
	seal, err := p.seal(a.cfg.TokenHash[:])
	if err != nil {
		return err
	}
	if !hmac.Equal([]byte(seal), []byte(p.Seal)) || !p.complete() {
		return fail(http.StatusBadRequest, CodePlanAltered, "the plan is not the document that was handed out; plan again")
	}
	matches := false
	for _, kind := range kinds {
		matches = matches || p.Kind == kind
	}
	if !matches {
		return fail(http.StatusBadRequest, CodePlanKind, "a plan of kind %q cannot be confirmed here", p.Kind)
	}
	if offset > p.After && offset-p.After > config.Window {
		return fail(http.StatusConflict, CodePlanExpired,
			"the plan was made at offset %d and the log is at %d, more than %d later; plan again", p.After, offset, config.Window)
	}
	return nil
}
