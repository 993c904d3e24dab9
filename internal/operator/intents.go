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

// PlanRequest asks for the plan that makes the mesh as the files declare it.
type PlanRequest struct {
	Files []File `json:"files"`
}

func (a *api) plan(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	var request PlanRequest
	if err := readJSON(r, maxPlanBody, &request); err != nil {
		return 0, nil, err
	}
	if len(request.Files) == 0 {
		return 0, nil, fail(http.StatusBadRequest, CodeBadRequest, "the request names no files")
	}
	files := make([]declaration.File, len(request.Files))
	for i, f := range request.Files {
		files[i] = declaration.File{Name: f.Name, Data: []byte(f.Text)}
	}
	want, err := declaration.Parse(files...)
	if err != nil {
		return 0, nil, declarationError(err)
	}
	p := Plan{Kind: PlanMesh, Mesh: &config.PlanDocument{}}
	a.cfg.Node.View(func(n *engine.Node) {
		*p.Mesh, err = config.Plan(n.State(), want)
		p.After = n.State().Offset()
	})
	if err != nil {
		return 0, nil, declarationError(err)
	}
	p.Diff = p.Mesh.Diff
	return a.finish(p)
}

func (a *api) confirm(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	p, wait, err := a.readPlan(r, maxPlanBody, PlanMesh)
	if err != nil {
		return 0, nil, err
	}
	data, err := config.NewChange(a.header(p), *p.Mesh)
	if errors.Is(err, config.ErrPlanEmpty) {
		return 0, nil, fail(http.StatusUnprocessableEntity, CodePlanEmpty, "the plan changes nothing")
	}
	if err != nil {
		return 0, nil, fail(http.StatusBadRequest, CodePlanAltered, "%v", err)
	}
	v, known := a.lookUp(p.Token)
	if !known {
		v = a.propose(r.Context(), p.Token, data)
	}
	if v.State == Accepted && wait > 0 {
		v.InForce = a.awaitInForce(r.Context(), *v.Record, wait)
	}
	return v.answer()
}

// readPlan reads a plan of one of the kinds from the body and the parameter
// wait, in seconds.
func (a *api) readPlan(r *http.Request, limit int64, kinds ...PlanKind) (Plan, time.Duration, error) {
	var p Plan
	if err := readJSON(r, limit, &p); err != nil {
		return p, 0, err
	}
	wait, err := readWait(r)
	if err != nil {
		return p, 0, err
	}
	return p, wait, a.check(p, a.offset(), kinds...)
}

func readWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxWait.Seconds()) {
		return 0, fail(http.StatusBadRequest, CodeBadRequest, "wait %q is not a number of seconds from 0 to %v", text, maxWait.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func (a *api) offset() (offset uint64) {
	a.cfg.Node.View(func(n *engine.Node) { offset = n.State().Offset() })
	return offset
}

// header is the header of the record that confirms a plan. It names the offset
// of the plan: a copy that is confirmed after the token is forgotten must not
// fold.
func (a *api) header(p Plan) config.Header {
	return config.Header{Token: p.Token, By: a.cfg.Self, At: time.Now(), After: p.After}
}

// KeyRequest asks for the plan to issue a key to a workspace, or to withdraw one.
type KeyRequest struct {
	Workspace mesh.Workspace `json:"workspace,omitempty"`
	Withdraw  string         `json:"withdraw,omitempty"` // id of the key
}

func (a *api) planKey(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	var request KeyRequest
	if err := readJSON(r, maxBody, &request); err != nil {
		return 0, nil, err
	}
	if (request.Workspace == "") == (request.Withdraw == "") {
		return 0, nil, fail(http.StatusBadRequest, CodeBadRequest, "the request must name either a workspace or a key to withdraw")
	}
	p, err := a.keyPlan(request)
	if err != nil {
		return 0, nil, err
	}
	return a.finish(p)
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
		return Plan{}, fail(http.StatusNotFound, CodeWorkspaceUnknown, "workspace %q is not declared", ws)
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
		return Plan{}, fail(http.StatusNotFound, CodeKeyUnknown, "key %s is not known at this node, or was withdrawn long ago", id)
	}
	diff := fmt.Sprintf("- key %s of workspace %s; every node refuses it from then on\n", id, k.Workspace)
	if k.Withdrawn {
		diff = fmt.Sprintf("  key %s is withdrawn already; nothing changes\n", id)
	}
	return Plan{Kind: PlanWithdraw, KeyID: id, Diff: diff}, nil
}

// keyIDLength is the number of hexadecimal digits in the id of a key.
const keyIDLength = 20

// checkKeyID does not repeat what it refuses: it may be a whole key.
func checkKeyID(id string) error {
	if _, err := hex.DecodeString(id); err != nil || len(id) != keyIDLength {
		return fail(http.StatusBadRequest, CodeBadRequest, "a key is named by its id, the %d hexadecimal digits after ch_", keyIDLength)
	}
	return nil
}

func (a *api) confirmKey(_ http.ResponseWriter, r *http.Request) (int, any, error) {
	p, wait, err := a.readPlan(r, maxBody, PlanIssue, PlanWithdraw)
	if err != nil {
		return 0, nil, err
	}
	if p.Kind == PlanWithdraw {
		return a.withdraw(r.Context(), p).answer()
	}
	v, err := a.issue(r.Context(), p)
	if err != nil {
		return 0, nil, err
	}
	if v.State == Accepted && wait > 0 {
		v.InForce = a.awaitInForce(r.Context(), *v.Record, wait)
	}
	return v.answer()
}

// issue makes a key and returns its secret, unless the plan was confirmed
// before: then another answer has carried the secret.
func (a *api) issue(ctx context.Context, p Plan) (Result, error) {
	if v, known := a.lookUp(p.Token); known {
		return confirmedBefore(v), nil
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
	if v.State == Accepted && !a.issued(key) {
		return confirmedBefore(v), nil
	}
	if v.State != Rejected {
		v.KeyID, v.Secret = key.ID, secret
	}
	return v, nil
}

func confirmedBefore(v Result) Result {
	if v.State == Accepted {
		v.Detail = "the plan was confirmed before; the answer to that confirmation carried the secret, which is not stored"
	}
	return v
}

// issued reports whether the folded key is the given one, and not that of
// another confirmation of the same plan.
func (a *api) issued(key config.Key) (same bool) {
	a.cfg.Node.View(func(n *engine.Node) {
		k, known := n.State().Key(key.ID)
		same = known && (k.Hash == key.Hash || k.Withdrawn)
	})
	return same
}

// withdrawWait is how long an accepted withdrawal waits for the confirmation of
// all nodes; the bound of a withdrawal is 2 s.
const withdrawWait = 2 * time.Second

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
		v.State, v.Reason, v.Detail, v.PollPath = Unknown, reasonLog, d.Reason, "/v1/keys/"+p.KeyID
	} else if a.withdrawnInLog(p.KeyID) {
		// The node no longer keeps who confirmed: who has folded as much has the record.
		v.InForce = a.awaitInForce(ctx, a.offset()-1, max(withdrawWait-time.Since(started), minAskInterval))
		v.Unconfirmed = v.InForce.Missing
	} else {
		v.InForce = a.confirmed(v.Unconfirmed)
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

// confirmed counts the members that confirmed a pending withdrawal.
func (a *api) confirmed(missing []mesh.Host) *InForce {
	f := &InForce{Missing: append([]mesh.Host{}, missing...)}
	a.cfg.Node.View(func(n *engine.Node) { f.Members = n.Report().Members })
	f.Queried, f.Nodes = f.Members, f.Members-len(missing)
	return f
}

// Key describes a key. Its secret is not known to any node.
type Key struct {
	ID        string         `json:"id"`
	Workspace mesh.Workspace `json:"workspace,omitempty"`
	// State is valid, withdrawn, or pending: withdrawn here while the log does not
	// carry it yet.
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
		return 0, nil, fail(http.StatusNotFound, CodeKeyUnknown, "key %s is not known at this node, or was withdrawn long ago", id)
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

// DrainRequest names the host whose upstream to drain. With the fields of a plan
// instead it confirms that plan.
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
	return 0, nil, fail(http.StatusBadRequest, CodeBadRequest, "the request must be either a host or a plan")
}

func (a *api) planDrain(host mesh.Host) (int, any, error) {
	p := Plan{Kind: PlanDrain}
	found := false
	a.cfg.Node.View(func(n *engine.Node) {
		var m mesh.Member
		if m, found = n.State().Member(host); !found {
			return
		}
		node := refer(m.Node)
		p.Node, p.After = &node, n.State().Offset()
		p.Diff = fmt.Sprintf("~ upstream of %s beside %s takes no new work until its node restarts; %d other nodes serve it\n",
			m.Service, host, othersServing(n.State(), m))
	})
	if !found {
		return 0, nil, fail(http.StatusNotFound, CodeHostUnknown, "host %q has no node", host)
	}
	return a.finish(p)
}

func othersServing(s *config.State, m mesh.Member) int {
	others := 0
	for _, other := range s.Members() {
		if other.Service == m.Service && other.Node != m.Node {
			others++
		}
	}
	return others
}

// confirmDrain drains the upstream beside the node of the plan, by a control
// message if that is another node. A drain needs no record in the log: it ends
// with the node, and no other node has to know of it.
func (a *api) confirmDrain(ctx context.Context, p Plan) (int, any, error) {
	if err := a.check(p, a.offset(), PlanDrain); err != nil {
		return 0, nil, err
	}
	node := p.Node.node()
	v := Result{State: Accepted, Token: p.Token.String()}
	var member mesh.Member
	present := false
	a.cfg.Node.View(func(n *engine.Node) { member, present = n.State().Member(node.Host) })
	if !present || member.Node != node {
		v.State, v.Reason = Rejected, reasonDrain
		v.Detail = fmt.Sprintf("node %s has left or was replaced since the plan", node)
		return v.answer()
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
	return v.answer()
}
