package operator

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/mesh"
)

// File is one declaration file.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// PlanRequest requests a plan that brings the mesh to the state the files declare.
type PlanRequest struct {
	Files []File `json:"files"`
}

func (a *api) plan(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	var request PlanRequest
	if err := readJSON(r, maxPlanBody, &request); err != nil {
		return 0, nil, err
	}
	if len(request.Files) == 0 {
		return 0, nil, newError(http.StatusBadRequest, CodeBadRequest, "the request names no files")
	}
	files := make([]declaration.File, len(request.Files))
	for i, f := range request.Files {
		files[i] = declaration.File{Name: f.Name, Data: []byte(f.Text)}
	}
	desired, err := declaration.Parse(files...)
	if err != nil {
		return 0, nil, declarationError(err)
	}
	p := Plan{Kind: PlanMesh, Mesh: &config.PlanDocument{}}
	a.cfg.Node.View(func(n *engine.Node) {
		*p.Mesh, err = config.Plan(n.State(), desired)
		p.After = n.State().Offset()
	})
	if err != nil {
		return 0, nil, declarationError(err)
	}
	p.Diff = p.Mesh.Diff
	return a.sealPlan(p)
}

func (a *api) confirm(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	p, wait, err := a.readPlan(r, maxPlanBody, PlanMesh)
	if err != nil {
		return 0, nil, err
	}
	data, err := config.NewChange(a.header(p), *p.Mesh)
	if errors.Is(err, config.ErrPlanEmpty) {
		return 0, nil, newError(http.StatusUnprocessableEntity, CodePlanEmpty, "the plan changes nothing")
	}
	if err != nil {
		return 0, nil, newError(http.StatusBadRequest, CodePlanAltered, "%v", err)
	}
	result, known := a.lookUp(p.Token)
	if !known {
		result = a.propose(r.Context(), p.Token, data)
	}
	if result.State == Accepted && wait > 0 {
		result.InForce = a.awaitInForce(r.Context(), *result.Record, wait)
	}
	return result.response()
}

// readPlan reads the body, which must be a valid plan of one of the kinds and of at
// most limit bytes, and the query parameter wait.
func (a *api) readPlan(r *http.Request, limit int64, kinds ...PlanKind) (Plan, time.Duration, error) {
	var p Plan
	if err := readJSON(r, limit, &p); err != nil {
		return p, 0, err
	}
	wait, err := readWait(r)
	if err != nil {
		return p, 0, err
	}
	return p, wait, a.verifyPlan(p, a.offset(), kinds...)
}

// readWait returns the query parameter wait, which is in seconds.
func readWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxWait.Seconds()) {
		return 0, newError(http.StatusBadRequest, CodeBadRequest, "wait %q is not a number of seconds from 0 to %v", text, maxWait.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func (a *api) offset() (offset uint64) {
	a.cfg.Node.View(func(n *engine.Node) { offset = n.State().Offset() })
	return offset
}

// header returns the header of the record that confirms a plan. It contains the
// plan's offset, so that a plan confirmed again after its token has been forgotten is
// not applied twice.
func (a *api) header(p Plan) config.Header {
	return config.Header{Token: p.Token, By: a.cfg.Self, At: time.Now(), After: p.After}
}

// KeyRequest requests a plan to issue a key to a workspace or to withdraw a key.
// Exactly one of its fields is set.
type KeyRequest struct {
	Workspace mesh.Workspace `json:"workspace,omitempty"`
	Withdraw  string         `json:"withdraw,omitempty"` // ID of the key
}

func (a *api) planKey(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	var request KeyRequest
	if err := readJSON(r, maxBody, &request); err != nil {
		return 0, nil, err
	}
	if (request.Workspace == "") == (request.Withdraw == "") {
		return 0, nil, newError(http.StatusBadRequest, CodeBadRequest, "the request must name either a workspace or a key to withdraw")
	}
	p, err := a.buildKeyPlan(request)
	if err != nil {
		return 0, nil, err
	}
	return a.sealPlan(p)
}

func (a *api) buildKeyPlan(request KeyRequest) (p Plan, err error) {
	a.cfg.Node.View(func(n *engine.Node) {
		if request.Workspace != "" {
			p, err = planIssue(n.State(), request.Workspace)
		} else {
			p, err = planWithdraw(n.State(), request.Withdraw)
		}
		p.After = n.State().Offset()
	})
	return p, err
}

func planIssue(s *config.State, ws mesh.Workspace) (Plan, error) {
	if _, declared := s.Mesh().Workspaces[ws]; !declared {
		return Plan{}, newError(http.StatusNotFound, CodeWorkspaceUnknown, "workspace %q is not declared", ws)
	}
	valid := 0
	for _, k := range s.Keys() {
		if k.Workspace == ws {
			valid++
		}
	}
	diff := fmt.Sprintf("+ new key for workspace %s, which has %d valid keys\n", ws, valid)
	return Plan{Kind: PlanIssue, Workspace: ws, Diff: diff}, nil
}

func planWithdraw(s *config.State, id string) (Plan, error) {
	if err := checkKeyID(id); err != nil {
		return Plan{}, err
	}
	k, known := s.Key(id)
	if !known {
		return Plan{}, newError(http.StatusNotFound, CodeKeyUnknown, "key %s is not known at this node, or was withdrawn long ago", id)
	}
	diff := fmt.Sprintf("- key %s of workspace %s; every node refuses it from then on\n", id, k.Workspace)
	if k.Withdrawn {
		diff = fmt.Sprintf("  key %s is withdrawn already; nothing changes\n", id)
	}
	return Plan{Kind: PlanWithdraw, KeyID: id, Diff: diff}, nil
}

// keyIDLength is the number of hexadecimal digits in a key ID.
const keyIDLength = 20

// checkKeyID validates a key ID. The error does not contain the value, which may
// be a whole key with its secret.
func checkKeyID(id string) error {
	if _, err := hex.DecodeString(id); err != nil || len(id) != keyIDLength {
		return newError(http.StatusBadRequest, CodeBadRequest, "a key is named by its id, the %d hexadecimal digits after ch_", keyIDLength)
	}
	return nil
}

func (a *api) confirmKey(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	p, wait, err := a.readPlan(r, maxBody, PlanIssue, PlanWithdraw)
	if err != nil {
		return 0, nil, err
	}
	if p.Kind == PlanWithdraw {
		return a.withdraw(r.Context(), p).response()
	}
	result, err := a.issue(r.Context(), p)
	if err != nil {
		return 0, nil, err
	}
	if result.State == Accepted && wait > 0 {
		result.InForce = a.awaitInForce(r.Context(), *result.Record, wait)
	}
	return result.response()
}

// issue creates a key and returns its secret. If the plan was confirmed before, it
// returns no secret, because the response to that confirmation contained it.
func (a *api) issue(ctx context.Context, p Plan) (Result, error) {
	if result, known := a.lookUp(p.Token); known {
		return alreadyConfirmed(result), nil
	}
	secret, record, err := keys.Issue(a.cfg.Random, p.Workspace)
	if err != nil {
		return Result{}, err
	}
	key := config.Key{ID: string(record.ID), Hash: record.Hash, Workspace: p.Workspace}
	data, err := config.NewKeyIssued(a.header(p), key)
	if err != nil {
		return Result{}, err
	}
	result := a.propose(ctx, p.Token, data)
	if result.State == Accepted && !a.storedKeyMatches(key) {
		return alreadyConfirmed(result), nil
	}
	if result.State != Rejected {
		result.KeyID, result.Secret = key.ID, secret
	}
	return result, nil
}

func alreadyConfirmed(result Result) Result {
	if result.State == Accepted {
		result.Detail = "the plan was confirmed before; the answer to that confirmation carried the secret, which is not stored"
	}
	return result
}

// storedKeyMatches reports whether the accepted record contains the given key, rather
// than the key of another confirmation of the same plan. If the key was withdrawn in
// the meantime, its hash is no longer stored; an equal ID is then enough, because IDs
// are random.
func (a *api) storedKeyMatches(key config.Key) (matches bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		k, known := n.State().Key(key.ID)
		matches = known && (k.Hash == key.Hash || k.Withdrawn)
	})
	return matches
}

// withdrawTimeout ends the wait for the members to apply a withdrawal, counted from the
// start of its confirmation. A withdrawal must be in force within 2 s.
const withdrawTimeout = 2 * time.Second

func (a *api) withdraw(ctx context.Context, p Plan) Result {
	started := time.Now()
	decisionCtx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	decision, err := a.cfg.Node.WithdrawKey(decisionCtx, p.KeyID)
	result := Result{State: Accepted, Token: p.Token.String(), KeyID: p.KeyID}
	if err != nil {
		decision = &engine.Decision{Undecided: true, Reason: "the node has not answered: " + err.Error()}
	}
	for _, node := range decision.Unconfirmed {
		result.Unconfirmed = append(result.Unconfirmed, node.Host)
	}
	if !decision.Accepted {
		result.State, result.Reason, result.Detail, result.PollPath = Unknown, reasonLogUnavailable, decision.Reason, "/v1/keys/"+p.KeyID
	} else if a.withdrawnInLog(p.KeyID) {
		// This node no longer knows which members have confirmed the withdrawal. A member
		// that has applied the log up to the same offset has applied the withdrawal.
		result.InForce = a.awaitInForce(ctx, a.offset()-1, max(withdrawTimeout-time.Since(started), minQueryInterval))
		result.Unconfirmed = result.InForce.Missing
	} else {
		result.InForce = a.withdrawalProgress(result.Unconfirmed)
	}
	return result
}

// withdrawnInLog reports whether this node has applied a withdrawal of the key. A key
// that it does not know counts as withdrawn, because withdrawn keys are forgotten
// after config.Window records.
func (a *api) withdrawnInLog(id string) (withdrawn bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		k, known := n.State().Key(id)
		withdrawn = !known || k.Withdrawn
	})
	return withdrawn
}

// withdrawalProgress returns how many members have confirmed a pending withdrawal.
func (a *api) withdrawalProgress(missing []mesh.Host) *InForce {
	progress := &InForce{Missing: append([]mesh.Host{}, missing...)}
	a.cfg.Node.View(func(n *engine.Node) { progress.Members = n.Report().Members })
	progress.Queried, progress.Nodes = progress.Members, progress.Members-len(missing)
	return progress
}

// Key describes an API key. No node stores its secret.
type Key struct {
	ID        string         `json:"id"`
	Workspace mesh.Workspace `json:"workspace,omitempty"`
	// State is valid, withdrawn, or pending. Pending means that this node has
	// withdrawn the key, but the log does not contain the withdrawal yet.
	State string `json:"state"`
}

func (a *api) keys(_ http.ResponseWriter, _ *http.Request) (int, any, error) {
	out := []Key{}
	a.cfg.Node.View(func(n *engine.Node) {
		for _, k := range n.State().Keys() {
			out = append(out, Key{k.ID, k.Workspace, keyState(n, k)})
		}
		for _, id := range n.State().WithdrawnKeyIDs() {
			out = append(out, Key{ID: id, State: "withdrawn"})
		}
	})
	return http.StatusOK, struct {
		Keys []Key `json:"keys"`
	}{out}, nil
}

func (a *api) key(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	id := r.PathValue("id")
	if err := checkKeyID(id); err != nil {
		return 0, nil, err
	}
	var found *Key
	a.cfg.Node.View(func(n *engine.Node) {
		if k, known := n.State().Key(id); known {
			found = &Key{k.ID, k.Workspace, keyState(n, k)}
		}
	})
	if found == nil {
		return 0, nil, newError(http.StatusNotFound, CodeKeyUnknown, "key %s is not known at this node, or was withdrawn long ago", id)
	}
	return http.StatusOK, found, nil
}

func keyState(n *engine.Node, k config.Key) string {
	switch {
	case k.Withdrawn:
		return "withdrawn"
	case n.WithdrawalPending(k.ID):
		return "pending"
	}
	return "valid"
}

// DrainRequest requests a plan to drain the upstream of a host, or confirms the
// plan that it contains. Exactly one of Host and Plan is set.
type DrainRequest struct {
	Host mesh.Host `json:"host,omitempty"`
	Plan
}

func (a *api) drain(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	var request DrainRequest
	if err := readJSON(r, maxBody, &request); err != nil {
		return 0, nil, err
	}
	switch {
	case request.Kind != "" && request.Host == "":
		return a.confirmDrain(r.Context(), request.Plan)
	case request.Kind == "" && request.Host != "":
		return a.planDrain(request.Host)
	}
	return 0, nil, newError(http.StatusBadRequest, CodeBadRequest, "the request must be either a host or a plan")
}

func (a *api) planDrain(host mesh.Host) (int, any, error) {
	p := Plan{Kind: PlanDrain}
	found := false
	a.cfg.Node.View(func(n *engine.Node) {
		var m mesh.Member
		if m, found = n.State().Member(host); !found {
			return
		}
		node := newNodeRef(m.Node)
		p.Node, p.After = &node, n.State().Offset()
		p.Diff = fmt.Sprintf("~ upstream of %s beside %s takes no new work until its node restarts; %d other nodes serve it\n",
			m.Service, host, countOtherNodes(n.State(), m))
	})
	if !found {
		return 0, nil, newError(http.StatusNotFound, CodeHostUnknown, "host %q has no node", host)
	}
	return a.sealPlan(p)
}

// countOtherNodes returns how many other nodes have the service of m.
func countOtherNodes(s *config.State, m mesh.Member) int {
	others := 0
	for _, other := range s.Members() {
		if other.Service == m.Service && other.Node != m.Node {
			others++
		}
	}
	return others
}

// confirmDrain drains the local upstream of the plan's node, with a control
// message if that is another node. A drain is not recorded in the log: it ends
// when the node restarts, and no other node needs to know of it.
func (a *api) confirmDrain(ctx context.Context, p Plan) (int, any, error) {
	if err := a.verifyPlan(p, a.offset(), PlanDrain); err != nil {
		return 0, nil, err
	}
	node := p.Node.nodeID()
	result := Result{State: Accepted, Token: p.Token.String()}
	var member mesh.Member
	present := false
	a.cfg.Node.View(func(n *engine.Node) { member, present = n.State().Member(node.Host) })
	if !present || member.Node != node {
		result.State, result.Reason = Rejected, reasonDrain
		result.Detail = fmt.Sprintf("node %s has left or was replaced since the plan", node)
		return result.response()
	}
	decisionCtx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	decision, err := a.cfg.Node.DrainNode(decisionCtx, p.Token.String(), node)
	if err != nil {
		decision = &engine.Decision{Reason: "the node has not answered: " + err.Error()}
	}
	if !decision.Accepted {
		result.State, result.Reason = Unknown, reasonDrain
		result.Detail = fmt.Sprintf("%s; confirm again here or at its operator address %s", decision.Reason, member.OperatorAddress)
		result.Unconfirmed = []mesh.Host{node.Host}
	}
	return result.response()
}
