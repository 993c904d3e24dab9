package operator_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomhatch/internal/dev"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/standin/logserver"
	"cardamomhatch/internal/timeline"
)

// deadline bounds what a test waits for; it is no statement about speed.
const deadline = time.Minute

// testMesh is a running mesh and what the tests need to operate it.
type testMesh struct {
	*testing.T
	mesh *dev.Mesh
	ctx  context.Context
}

func start(t *testing.T) *testMesh {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*deadline)
	t.Cleanup(cancel)
	m, err := dev.Start(ctx, dev.Options{Deployment: "hanskasmidjan", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Kill)
	return &testMesh{T: t, mesh: m, ctx: ctx}
}

func (t *testMesh) client(host int) *operator.Client {
	return &operator.Client{URL: t.mesh.Hosts[host].OperatorURL, Token: t.mesh.OperatorToken}
}

// plan plans the deployment's declaration with one text replaced.
func (t *testMesh) plan(host int, old, replacement string) operator.Plan {
	t.Helper()
	text := string(t.mesh.Deployment.Declaration.Data)
	if !strings.Contains(text, old) {
		t.Fatalf("the declaration does not contain %q", old)
	}
	files := []operator.File{{Name: "mesh.ini", Text: strings.ReplaceAll(text, old, replacement)}}
	p, err := t.client(host).Plan(t.ctx, files)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (t *testMesh) confirm(host int, p operator.Plan) operator.Result {
	t.Helper()
	v, err := t.client(host).Confirm(t.ctx, p, deadline)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (t *testMesh) accepted(v operator.Result) operator.Result {
	t.Helper()
	if v.State != operator.Accepted {
		t.Fatalf("verdict %+v, want accepted", v)
	}
	return v
}

func (t *testMesh) planKey(r operator.KeyRequest) operator.Plan {
	t.Helper()
	p, err := t.client(0).PlanKey(t.ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (t *testMesh) fault(f logserver.Fault) {
	t.Helper()
	if err := t.mesh.Log.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

// call calls a route at a host and returns the status and the outcome.
func (t *testMesh) call(client *http.Client, host *dev.Host, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.ctx, http.MethodGet, host.CallerURL+"/catalogue", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Cardamomhatch-Outcome")
}

// served checks that a key is served at a host. A quota share starts empty, so
// the first calls may be over the rate; they must not be refused for the key.
func (t *testMesh) served(client *http.Client, host *dev.Host, key string) {
	t.Helper()
	t.until("host "+string(host.Name)+" serves the key", func() bool {
		status, why := t.call(client, host, key)
		if status == http.StatusUnauthorized {
			t.Fatalf("host %s answers %d %s", host.Name, status, why)
		}
		return status == http.StatusOK
	})
}

// until repeats f until it holds.
func (t *testMesh) until(what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(deadline); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", deadline, what)
		}
	}
}

// concurrencyAt returns the declared concurrency of stock as a host knows it.
func (t *testMesh) concurrencyAt(host int) (n int) {
	t.mesh.Hosts[host].Process.View(func(e *engine.Node) {
		n = e.State().Mesh().Services["stock"].MaxConcurrency
	})
	return n
}

const stockLimit = "[service stock]\nmax_concurrency = 50"

func limit(n string) string { return "[service stock]\nmax_concurrency = " + n }

// Guards against a plan that takes effect before its confirmation, against one
// that only the node which made it can confirm, and against an accepted change
// that some node does not have.
func TestConfirmedChangeIsInForceOnAllNodes(tt *testing.T) {
	t := start(tt)
	p := t.plan(0, stockLimit, limit("60"))
	if !strings.Contains(p.Diff, "max_concurrency: 50 -> 60") {
		t.Fatalf("diff %q", p.Diff)
	}
	for host := range t.mesh.Hosts {
		if n := t.concurrencyAt(host); n != 50 {
			t.Fatalf("host %d has %d before the confirmation", host, n)
		}
	}
	v := t.accepted(t.confirm(1, p))
	if v.InForce.Nodes != len(t.mesh.Hosts) || v.InForce.Queried != v.InForce.Nodes || len(v.InForce.Missing) != 0 {
		t.Fatalf("in force %+v", v.InForce)
	}
	for host := range t.mesh.Hosts {
		if n := t.concurrencyAt(host); n != 60 {
			t.Fatalf("host %d has %d after the confirmation", host, n)
		}
	}
	again := t.accepted(t.confirm(2, p))
	if *again.Record != *v.Record {
		t.Fatalf("the second confirmation was accepted as record %d, the first as %d", *again.Record, *v.Record)
	}
}

// Guards against a stale plan that reverts a later change, and against a refusal
// that does not say what the plan conflicts with.
func TestStalePlanNamesTheConflict(tt *testing.T) {
	t := start(tt)
	stale := t.plan(0, stockLimit, limit("61"))
	first := t.accepted(t.confirm(0, t.plan(1, stockLimit, limit("62"))))
	t.conflict(t.confirm(2, stale), first)
	if n := t.concurrencyAt(2); n != 62 {
		t.Fatalf("stock has %d, want the accepted 62", n)
	}
}

// Guards against two operators who both hear that their change was accepted.
func TestRacingOperators(tt *testing.T) {
	t := start(tt)
	for round := range 3 {
		plans := []operator.Plan{t.plan(0, stockLimit, limit("7"+string(rune('0'+round)))), t.plan(1, stockLimit, limit("8"+string(rune('0'+round))))}
		verdicts := make([]operator.Result, len(plans))
		failures := make([]error, len(plans))
		var wait sync.WaitGroup
		for i := range plans {
			wait.Go(func() { verdicts[i], failures[i] = t.client(i).Confirm(t.ctx, plans[i], deadline) })
		}
		wait.Wait()
		if err := errors.Join(failures...); err != nil {
			t.Fatal(err)
		}
		winner := slices.IndexFunc(verdicts, func(v operator.Result) bool { return v.State == operator.Accepted })
		if winner < 0 {
			t.Fatalf("none was accepted: %+v", verdicts)
		}
		t.conflict(verdicts[1-winner], verdicts[winner])
	}
}

// conflict checks that a verdict names the record that won.
func (t *testMesh) conflict(v, first operator.Result) {
	t.Helper()
	if v.State != operator.Rejected || v.Reason != "conflict" || v.Object != "service stock" ||
		v.WithRecord == nil || *v.WithRecord != *first.Record || v.WithToken != first.Token {
		t.Fatalf("verdict %+v, want a conflict on service stock with record %d, token %s", v, *first.Record, first.Token)
	}
}

// Guards against a confirmation that is reported as failed, or made twice, when
// only the reply of the log was lost.
func TestLostAppendReplies(tt *testing.T) {
	t := start(tt)
	before := t.mesh.Log.Appends()
	t.fault(logserver.Fault{LoseReplies: -1})
	v := t.accepted(t.confirm(0, t.plan(0, stockLimit, limit("63"))))
	token := v.Token
	if n := t.concurrencyAt(3); n != 63 || t.mesh.Log.Appends() == before {
		t.Fatalf("stock has %d", n)
	}
	looked, err := t.client(4).Proposal(t.ctx, parseToken(t, token))
	if err != nil || looked.State != operator.Accepted || *looked.Record != *v.Record {
		t.Fatalf("the token is looked up as %+v, %v", looked, err)
	}
}

// Guards against an outage of the log that is reported as a rejection while the
// change can still take effect, or as unknown when it cannot.
func TestLogOutageDuringConfirmation(tt *testing.T) {
	t := start(tt)
	p := t.plan(0, stockLimit, limit("64"))
	t.fault(logserver.Fault{Outage: logserver.OutageRefuse})
	if v := t.confirm(0, p); v.State != operator.Rejected || v.Reason != "log-unavailable" {
		t.Fatalf("refused by the log: %+v", v)
	}
	t.fault(logserver.Fault{Outage: logserver.OutageHang})
	v := t.confirm(0, p)
	if v.State != operator.Unknown || v.Token != p.Token.String() || v.PollPath == "" {
		t.Fatalf("no answer of the log: %+v", v)
	}
	if looked, err := t.client(1).Proposal(t.ctx, p.Token); err != nil || looked.State != operator.Unknown {
		t.Fatalf("the token is looked up as %+v, %v", looked, err)
	}
	t.fault(logserver.Fault{})
	v = t.accepted(t.confirm(1, p))
	if v.InForce.Nodes != len(t.mesh.Hosts) {
		t.Fatalf("in force %+v", v.InForce)
	}
	if looked, err := t.client(2).Proposal(t.ctx, p.Token); err != nil || looked.State != operator.Accepted {
		t.Fatalf("the token is looked up as %+v, %v", looked, err)
	}
}

// Guards against a key that does not work once its issue is in force, and
// against a secret that is shown more than once.
func TestIssuedKeyWorksAndIsShownOnce(tt *testing.T) {
	t := start(tt)
	p := t.planKey(operator.KeyRequest{Workspace: firstWorkspace(t.mesh)})
	v := t.accepted(t.confirm(1, p))
	if v.Secret == "" || !strings.HasPrefix(v.Secret, "ch_"+v.KeyID+"_") {
		t.Fatalf("key %q has no secret", v.KeyID)
	}
	for _, host := range t.mesh.Hosts {
		t.served(http.DefaultClient, host, v.Secret)
	}
	for host := range 3 {
		if again := t.accepted(t.confirm(host, p)); again.Secret != "" || *again.Record != *v.Record {
			t.Fatalf("confirmed again: %+v", again)
		}
	}
}

// Guards against two keys for one plan when it is confirmed at two nodes at once.
func TestRacingConfirmationsOfOneKey(tt *testing.T) {
	t := start(tt)
	p := t.planKey(operator.KeyRequest{Workspace: firstWorkspace(t.mesh)})
	verdicts := make([]operator.Result, 4)
	failures := make([]error, len(verdicts))
	var wait sync.WaitGroup
	for i := range verdicts {
		wait.Go(func() { verdicts[i], failures[i] = t.client(i/2).Confirm(t.ctx, p, deadline) })
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		t.Fatal(err)
	}
	var secrets []string
	for _, v := range verdicts {
		t.accepted(v)
		if v.Secret != "" {
			secrets = append(secrets, v.Secret)
		}
	}
	if len(secrets) != 1 {
		t.Fatalf("%d secrets were returned", len(secrets))
	}
	t.served(http.DefaultClient, t.mesh.Hosts[5], secrets[0])
}

// Guards against a withdrawn key that still works: on a connection that was open
// before, at another node, or while the log is down.
func TestWithdrawnKeyIsRefusedEverywhere(tt *testing.T) {
	for _, outage := range []logserver.Outage{logserver.OutageNone, logserver.OutageRefuse} {
		tt.Run("outage="+string(outage), func(tt *testing.T) {
			t := start(tt)
			secret := t.mesh.Keys[firstWorkspace(t.mesh)]
			id := strings.Split(secret, "_")[1]
			clients := make([]*http.Client, len(t.mesh.Hosts))
			for i, host := range t.mesh.Hosts {
				clients[i] = &http.Client{Transport: &http.Transport{}}
				t.served(clients[i], host, secret)
			}
			p := t.planKey(operator.KeyRequest{Withdraw: id})
			t.fault(logserver.Fault{Outage: outage})
			v := t.accepted(t.confirm(0, p))
			for i, host := range t.mesh.Hosts {
				confirmed := !slices.Contains(v.Unconfirmed, host.Name)
				if status, why := t.call(clients[i], host, secret); confirmed && status == http.StatusOK {
					t.Fatalf("host %s has confirmed and answers %d %s", host.Name, status, why)
				}
				t.until("host "+string(host.Name)+" refuses the key as withdrawn", func() bool {
					status, why := t.call(clients[i], host, secret)
					return status == http.StatusUnauthorized && strings.Contains(why, "key-withdrawn")
				})
			}
			t.accepted(t.confirm(3, p))
			t.recorded(firstWorkspace(t.mesh))
		})
	}
}

// recorded checks that the timeline of every node tells whose key was withdrawn.
func (t *testMesh) recorded(ws mesh.Workspace) {
	t.Helper()
	for i, host := range t.mesh.Hosts {
		events, err := t.client(i).Timeline(t.ctx, timeline.Filter{Workspace: ws, Kinds: []timeline.Kind{timeline.KeyWithdrawn}})
		if err != nil || len(events) != 1 {
			t.Fatalf("host %s has recorded %v, %v", host.Name, events, err)
		}
	}
}

// Guards against a drain that only works at the node beside the upstream.
func TestDrainAskedAtAnotherNode(tt *testing.T) {
	t := start(tt)
	p, err := t.client(0).PlanDrain(t.ctx, t.mesh.Hosts[5].Name)
	if err != nil {
		t.Fatal(err)
	}
	if status, err := t.client(5).Status(t.ctx, false); err != nil || status.Upstream.Draining {
		t.Fatalf("drains before the confirmation: %+v, %v", status.Upstream, err)
	}
	for range 2 {
		t.accepted(t.confirm(1, p))
	}
	status, err := t.client(5).Status(t.ctx, false)
	if err != nil || !status.Upstream.Draining || status.Upstream.Serving {
		t.Fatalf("upstream after the drain: %+v, %v", status.Upstream, err)
	}
	t.until("every member has told its offset", func() bool {
		status, err := t.client(5).Status(t.ctx, true)
		silent := func(m operator.Member) bool { return m.Offset == nil }
		return err == nil && len(status.Members) == len(t.mesh.Hosts) && !slices.ContainsFunc(status.Members, silent)
	})
	t.mesh.Hosts[5].Kill()
	if err := t.mesh.Hosts[5].Restart(); err != nil {
		t.Fatal(err)
	}
	t.until("the restarted node is known", func() bool { return t.confirm(1, p).State == operator.Rejected })
}

func firstWorkspace(m *dev.Mesh) mesh.Workspace {
	var names []mesh.Workspace
	for ws := range m.Keys {
		names = append(names, ws)
	}
	return slices.Min(names)
}
