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
	v, known := a.lookUp(p.Token)
	if !known {
		v = a.propose(r.Context(), p.Token, data)
	}
	if v.State == Accepted && wait > 0 {
		v.InForce = a.awaitInForce(r.Context(), *v.Record, wait)
	}
	return v.response()
}

// readPlan reads the body, which must be a valid plan of one of the kinds, and
// the query parameter wait.
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
// offset of the plan, so that a copy confirmed after its token has been forgotten
// is not applied again.
func (a *api) header(p Plan) config.Header {
	return config.Header{Token: p.Token, By: a.cfg.Self, At: time.Now(), After: p.After}
}

// KeyRequest requests a plan to issue a key to a workspace or to withdraw a key.
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
	p, err := a.keyPlan(request)
	if err != nil {
		return 0, nil, err
	}
	return a.sealPlan(p)
}

func (a *api) keyPlan(request KeyRequest) (p Plan, err error) {
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
	v, err := a.issue(r.Context(), p)
	if err != nil {
		return 0, nil, err
	}
	if v.State == Accepted && wait > 0 {
		v.InForce = a.awaitInForce(r.Context(), *v.Record, wait)
	}
	return v.response()
}

// issue creates a key and returns its secret. If the plan was already confirmed,
// the response to that confirmation contained the secret, and this one does not.
func (a *api) issue(ctx context.Context, p Plan) (Result, error) {
	if v, known := a.lookUp(p.Token); known {
		return alreadyConfirmed(v), nil
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
	v := a.propose(ctx, p.Token, data)
	if v.State == Accepted && !a.storedKeyMatches(key) {
		return alreadyConfirmed(v), nil
	}
	if v.State != Rejected {
		v.KeyID, v.Secret = key.ID, secret
	}
	return v, nil
}

func alreadyConfirmed(v Result) Result {
	if v.State == Accepted {
		v.Detail = "the plan was confirmed before; the answer to that confirmation carried the secret, which is not stored"
	}
	return v
}

// storedKeyMatches reports whether the given key was stored, and not that of another
// confirmation of the same plan. IDs are random, so a key with the same ID that was
// withdrawn in the meantime, of which no hash is stored, is the given one.
func (a *api) storedKeyMatches(key config.Key) (same bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		k, known := n.State().Key(key.ID)
		same = known && (k.Hash == key.Hash || k.Withdrawn)
	})
	return same
}

// withdrawTimeout is how long a withdrawal waits until all nodes have confirmed
// it. A withdrawal must be in force within 2 s.
const withdrawTimeout = 2 * time.Second

func (a *api) withdraw(ctx context.Context, p Plan) Result {
	started := time.Now()
	limit, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	d, err := a.cfg.Node.WithdrawKey(limit, p.KeyID)
	v := Result{State: Accepted, Token: p.Token.String(), KeyID: p.KeyID}
	if err != nil {
		d = &engine.Decision{Undecided: true, Reason: "the node has not answered: " + err.Error()}
	}
	for _, node := range d.Unconfirmed {
		v.Unconfirmed = append(v.Unconfirmed, node.Host)
	}
	if !d.Accepted {
		v.State, v.Reason, v.Detail, v.PollPath = Unknown, reasonLogUnavailable, d.Reason, "/v1/keys/"+p.KeyID
	} else if a.withdrawnInLog(p.KeyID) {
		// The node has discarded the list of confirmations. A member that has applied
		// the log up to here has applied the withdrawal.
		v.InForce = a.awaitInForce(ctx, a.offset()-1, max(withdrawTimeout-time.Since(started), minQueryInterval))
		v.Unconfirmed = v.InForce.Missing
	} else {
		v.InForce = a.withdrawalProgress(v.Unconfirmed)
	}
	return v
}

func (a *api) withdrawnInLog(id string) (in bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		k, known := n.State().Key(id)
		in = !known || k.Withdrawn
	})
	return in
}

// withdrawalProgress returns how many members have confirmed a pending withdrawal.
func (a *api) withdrawalProgress(missing []mesh.Host) *InForce {
	f := &InForce{Missing: append([]mesh.Host{}, missing...)}
	a.cfg.Node.View(func(n *engine.Node) { f.Members = n.Report().Members })
	f.Queried, f.Nodes = f.Members, f.Members-len(missing)
	return f
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
	v := Result{State: Accepted, Token: p.Token.String()}
	var member mesh.Member
	present := false
	a.cfg.Node.View(func(n *engine.Node) { member, present = n.State().Member(node.Host) })
	if !present || member.Node != node {
		v.State, v.Reason = Rejected, reasonDrain
		v.Detail = fmt.Sprintf("node %s has left or was replaced since the plan", node)
		return v.response()
	}
	limit, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	d, err := a.cfg.Node.DrainNode(limit, p.Token.String(), node)
	if err != nil {
		d = &engine.Decision{Reason: "the node has not answered: " + err.Error()}
	}
	if !d.Accepted {
		v.State, v.Reason = Unknown, reasonDrain
		v.Detail = fmt.Sprintf("%s; confirm again here or at its operator address %s", d.Reason, member.OperatorAddress)
		v.Unconfirmed = []mesh.Host{node.Host}
	}
	return v.response()
}
