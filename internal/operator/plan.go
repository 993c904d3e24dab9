package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
)

// PlanKind is the kind of change that a plan makes.
type PlanKind string

// Plan kinds.
const (
	PlanMesh     PlanKind = "mesh"
	PlanIssue    PlanKind = "key-issue"
	PlanWithdraw PlanKind = "key-withdraw"
	PlanDrain    PlanKind = "drain"
)

// NodeRef identifies a node. The incarnation is a hexadecimal string because JSON
// tools that store numbers as float64 would round it.
type NodeRef struct {
	Host        mesh.Host `json:"host"`
	Incarnation string    `json:"incarnation"`
}

func newNodeRef(n mesh.NodeID) NodeRef {
	return NodeRef{n.Host, strconv.FormatUint(uint64(n.Incarnation), 16)}
}

func (r NodeRef) nodeID() mesh.NodeID {
	incarnation, _ := strconv.ParseUint(r.Incarnation, 16, 64) // valid in any plan with a valid seal
	return mesh.NodeID{Host: r.Host, Incarnation: mesh.Incarnation(incarnation)}
}

// Plan is a change for an operator to review and confirm. It contains everything
// that the confirmation needs, so that any node can process it. Of Mesh,
// Workspace, KeyID and Node only the one for its kind is set.
type Plan struct {
	Kind PlanKind `json:"kind"`
	// Token makes the confirmation idempotent: a plan that is confirmed more than
	// once, at the same node or at several, takes effect once.
	Token config.Token `json:"token"`
	// After is the log offset at which the plan was made. The record that confirms the
	// plan is applied only up to config.Window offsets later, because Token is
	// remembered no longer than that.
	After     uint64               `json:"after"`
	Diff      string               `json:"diff"` // human-readable
	Mesh      *config.PlanDocument `json:"mesh,omitempty"`
	Workspace mesh.Workspace       `json:"workspace,omitempty"` // workspace of the key to issue
	KeyID     string               `json:"key_id,omitempty"`    // key to withdraw
	Node      *NodeRef             `json:"node,omitempty"`      // node whose upstream to drain
	// Seal is the HMAC of the other fields, keyed with the hash of the operator
	// token. It detects plans that were edited.
	Seal string `json:"seal"`
}

// computeSeal returns the value that Seal must have. key is the hash of the operator
// token.
func (p Plan) computeSeal(key []byte) (string, error) {
	p.Seal = ""
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "encode plan")
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// complete reports whether the field that the plan's kind requires is set.
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

// sealPlan completes a plan with a new token and its seal.
func (a *api) sealPlan(p Plan) (int, any, error) {
	token, err := config.NewToken(a.cfg.Random)
	if err != nil {
		return 0, nil, err
	}
	p.Token = token
	p.Seal, err = p.computeSeal(a.cfg.TokenHash[:])
	return http.StatusOK, p, err
}

// verifyPlan rejects a plan that was modified, that is not of one of the given
// kinds, or that is too old to be applied. offset is the log offset of the next
// record that this node will apply.
func (a *api) verifyPlan(p Plan, offset uint64, kinds ...PlanKind) error {
	seal, err := p.computeSeal(a.cfg.TokenHash[:])
	if err != nil {
		return err
	}
	if !hmac.Equal([]byte(seal), []byte(p.Seal)) || !p.complete() {
		return newError(http.StatusBadRequest, CodePlanAltered, "the plan is not the document that was handed out; plan again")
	}
	if !slices.Contains(kinds, p.Kind) {
		return newError(http.StatusBadRequest, CodePlanKind, "a plan of kind %q cannot be confirmed here", p.Kind)
	}
	if offset > p.After && offset-p.After > config.Window {
		return newError(http.StatusConflict, CodePlanExpired,
			"the plan was made at offset %d and the log is at %d, more than %d later; plan again", p.After, offset, config.Window)
	}
	return nil
}
