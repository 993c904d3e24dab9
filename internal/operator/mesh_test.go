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

// deadline limits how long a test waits for a condition. It allows for a busy machine
// and is not a performance requirement.
const deadline = time.Minute

// testMesh is a running mesh. Its methods fail the test on errors.
type testMesh struct {
	*testing.T
	mesh *dev.Mesh
	ctx  context.Context
}

func startMesh(t *testing.T) *testMesh {
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

// plan requests a plan for the deployment's declaration in which every occurrence
// of old is replaced.
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
	result, err := t.client(host).Confirm(t.ctx, p, deadline)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func (t *testMesh) requireAccepted(result operator.Result) operator.Result {
	t.Helper()
	if result.State != operator.Accepted {
		t.Fatalf("result %+v, want accepted", result)
	}
	return result
}

func (t *testMesh) planKey(r operator.KeyRequest) operator.Plan {
	t.Helper()
	p, err := t.client(0).PlanKey(t.ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (t *testMesh) setLogFault(f logserver.Fault) {
	t.Helper()
	if err := t.mesh.Log.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

// call sends a request to a host and returns the status and the outcome header.
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

// requireKeyServed checks that a host accepts a key. A quota share starts empty, so
// the first calls may exceed the rate; they must not be rejected because of the key.
func (t *testMesh) requireKeyServed(client *http.Client, host *dev.Host, key string) {
	t.Helper()
	t.waitUntil("host "+string(host.Name)+" serves the key", func() bool {
		status, outcome := t.call(client, host, key)
		if status == http.StatusUnauthorized {
			t.Fatalf("host %s rejected the key with status %d, outcome %q", host.Name, status, outcome)
		}
		return status == http.StatusOK
	})
}

// waitUntil polls condition until it returns true, and fails the test after deadline.
func (t *testMesh) waitUntil(description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(deadline); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %s waiting until %s", deadline, description)
		}
	}
}

// concurrencyAt returns the concurrency limit of the stock service in the
// configuration of a host.
func (t *testMesh) concurrencyAt(host int) (n int) {
	t.mesh.Hosts[host].Process.View(func(e *engine.Node) {
		n = e.State().Mesh().Services["stock"].MaxConcurrency
	})
	return n
}

const stockLimit = "[service stock]\nmax_concurrency = 50"

func stockLimitOf(n string) string { return "[service stock]\nmax_concurrency = " + n }

// Guards against a plan that takes effect before it is confirmed, against a plan
// that only the node that made it can confirm, and against an accepted change that
// is missing at some node.
func TestConfirmedChangeIsInForceOnAllNodes(tt *testing.T) {
	t := startMesh(tt)
	p := t.plan(0, stockLimit, stockLimitOf("60"))
	if !strings.Contains(p.Diff, "max_concurrency: 50 -> 60") {
		t.Fatalf("diff %q does not change max_concurrency from 50 to 60", p.Diff)
	}
	for host := range t.mesh.Hosts {
		if n := t.concurrencyAt(host); n != 50 {
			t.Fatalf("host %d has max_concurrency %d before the confirmation, want 50", host, n)
		}
	}
	result := t.requireAccepted(t.confirm(1, p))
	if result.InForce.Nodes != len(t.mesh.Hosts) || result.InForce.Queried != result.InForce.Nodes || len(result.InForce.Missing) != 0 {
		t.Fatalf("in force at %+v, want all nodes", result.InForce)
	}
	for host := range t.mesh.Hosts {
		if n := t.concurrencyAt(host); n != 60 {
			t.Fatalf("host %d has max_concurrency %d after the confirmation, want 60", host, n)
		}
	}
	again := t.requireAccepted(t.confirm(2, p))
	if *again.Record != *result.Record {
		t.Fatalf("the second confirmation was accepted as record %d, the first as %d", *again.Record, *result.Record)
	}
}

// Guards against a stale plan that reverts a later change, and against a rejection
// that does not identify the conflicting record.
func TestStalePlanNamesTheConflict(tt *testing.T) {
	t := startMesh(tt)
	stale := t.plan(0, stockLimit, stockLimitOf("61"))
	first := t.requireAccepted(t.confirm(0, t.plan(1, stockLimit, stockLimitOf("62"))))
	t.requireConflict(t.confirm(2, stale), first)
	if n := t.concurrencyAt(2); n != 62 {
		t.Fatalf("stock has max_concurrency %d, want the accepted 62", n)
	}
}

// Guards against two concurrent, conflicting confirmations that are both reported
// as accepted.
func TestRacingOperators(tt *testing.T) {
	t := startMesh(tt)
	for round := range 3 {
		plans := []operator.Plan{t.plan(0, stockLimit, stockLimitOf("7"+string(rune('0'+round)))), t.plan(1, stockLimit, stockLimitOf("8"+string(rune('0'+round))))}
		results := make([]operator.Result, len(plans))
		failures := make([]error, len(plans))
		var wait sync.WaitGroup
		for i := range plans {
			wait.Go(func() { results[i], failures[i] = t.client(i).Confirm(t.ctx, plans[i], deadline) })
		}
		wait.Wait()
		if err := errors.Join(failures...); err != nil {
			t.Fatal(err)
		}
		winner := slices.IndexFunc(results, func(r operator.Result) bool { return r.State == operator.Accepted })
		if winner < 0 {
			t.Fatalf("none of the confirmations was accepted: %+v", results)
		}
		t.requireConflict(results[1-winner], results[winner])
	}
}

// requireConflict checks that the rejected result identifies the accepted record.
func (t *testMesh) requireConflict(rejected, accepted operator.Result) {
	t.Helper()
	if rejected.State != operator.Rejected || rejected.Reason != "conflict" || rejected.Object != "service stock" ||
		rejected.ConflictRecord == nil || *rejected.ConflictRecord != *accepted.Record || rejected.ConflictToken != accepted.Token {
		t.Fatalf("result %+v, want a conflict on service stock with record %d, token %s", rejected, *accepted.Record, accepted.Token)
	}
}

// Guards against a confirmation that is reported as failed, or applied twice, when
// the log has appended the record but its reply was lost. The node must find the
// record when it reads the log.
func TestLostAppendReplies(tt *testing.T) {
	t := startMesh(tt)
	before := t.mesh.Log.AppendCount()
	t.setLogFault(logserver.Fault{LoseReplies: -1}) // all replies to appends
	result := t.requireAccepted(t.confirm(0, t.plan(0, stockLimit, stockLimitOf("63"))))
	token := result.Token
	if n := t.concurrencyAt(3); n != 63 || t.mesh.Log.AppendCount() == before {
		t.Fatalf("stock has max_concurrency %d, want 63, or the log has not appended a record", n)
	}
	found, err := t.client(4).Proposal(t.ctx, parseToken(t, token))
	if err != nil || found.State != operator.Accepted || *found.Record != *result.Record {
		t.Fatalf("lookup of the token returned %+v, error %v, want the accepted record", found, err)
	}
}

// Guards against a log outage that is reported as a rejection although the change
// can still take effect, or as unknown although it cannot.
func TestLogOutageDuringConfirmation(tt *testing.T) {
	t := startMesh(tt)
	p := t.plan(0, stockLimit, stockLimitOf("64"))
	t.setLogFault(logserver.Fault{Outage: logserver.OutageRefuse})
	if result := t.confirm(0, p); result.State != operator.Rejected || result.Reason != "log-unavailable" {
		t.Fatalf("result while the log refuses connections: %+v, want rejected as log-unavailable", result)
	}
	t.setLogFault(logserver.Fault{Outage: logserver.OutageHang})
	result := t.confirm(0, p)
	if result.State != operator.Unknown || result.Token != p.Token.String() || result.PollPath == "" {
		t.Fatalf("result while the log does not respond: %+v, want unknown with the token and a path to poll", result)
	}
	if found, err := t.client(1).Proposal(t.ctx, p.Token); err != nil || found.State != operator.Unknown {
		t.Fatalf("lookup of the token during the outage returned %+v, error %v, want unknown", found, err)
	}
	t.setLogFault(logserver.Fault{})
	result = t.requireAccepted(t.confirm(1, p))
	if result.InForce.Nodes != len(t.mesh.Hosts) {
		t.Fatalf("in force at %+v, want all nodes", result.InForce)
	}
	if found, err := t.client(2).Proposal(t.ctx, p.Token); err != nil || found.State != operator.Accepted {
		t.Fatalf("lookup of the token after the outage returned %+v, error %v, want accepted", found, err)
	}
}

// Guards against a node that rejects an issued key, and against a secret that is
// returned more than once.
func TestIssuedKeyWorksAndIsShownOnce(tt *testing.T) {
	t := startMesh(tt)
	p := t.planKey(operator.KeyRequest{Workspace: firstWorkspace(t.mesh)})
	result := t.requireAccepted(t.confirm(1, p))
	if result.Secret == "" || !strings.HasPrefix(result.Secret, "ch_"+result.KeyID+"_") {
		t.Fatalf("key %q has no secret that contains its ID", result.KeyID)
	}
	for _, host := range t.mesh.Hosts {
		t.requireKeyServed(http.DefaultClient, host, result.Secret)
	}
	for host := range 3 {
		if again := t.requireAccepted(t.confirm(host, p)); again.Secret != "" || *again.Record != *result.Record {
			t.Fatalf("the repeated confirmation returned %+v, want the same record and no secret", again)
		}
	}
}

// Guards against issuing two keys for one plan that is confirmed at two nodes
// concurrently.
func TestRacingConfirmationsOfOneKey(tt *testing.T) {
	t := startMesh(tt)
	p := t.planKey(operator.KeyRequest{Workspace: firstWorkspace(t.mesh)})
	results := make([]operator.Result, 4)
	failures := make([]error, len(results))
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() { results[i], failures[i] = t.client(i/2).Confirm(t.ctx, p, deadline) })
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		t.Fatal(err)
	}
	var secrets []string
	for _, result := range results {
		t.requireAccepted(result)
		if result.Secret != "" {
			secrets = append(secrets, result.Secret)
		}
	}
	if len(secrets) != 1 {
		t.Fatalf("%d secrets were returned, want 1", len(secrets))
	}
	t.requireKeyServed(http.DefaultClient, t.mesh.Hosts[5], secrets[0])
}

// Guards against a withdrawn key that is still accepted on a connection opened
// before the withdrawal, at another node, or while the log is down.
func TestWithdrawnKeyIsRefusedEverywhere(tt *testing.T) {
	for _, outage := range []logserver.Outage{logserver.OutageNone, logserver.OutageRefuse} {
		tt.Run("outage="+string(outage), func(tt *testing.T) {
			t := startMesh(tt)
			secret := t.mesh.Keys[firstWorkspace(t.mesh)]
			id := strings.Split(secret, "_")[1]
			clients := make([]*http.Client, len(t.mesh.Hosts))
			for i, host := range t.mesh.Hosts {
				clients[i] = &http.Client{Transport: &http.Transport{}}
				t.requireKeyServed(clients[i], host, secret)
			}
			p := t.planKey(operator.KeyRequest{Withdraw: id})
			t.setLogFault(logserver.Fault{Outage: outage})
			result := t.requireAccepted(t.confirm(0, p))
			for i, host := range t.mesh.Hosts {
				confirmed := !slices.Contains(result.Unconfirmed, host.Name)
				if status, outcome := t.call(clients[i], host, secret); confirmed && status == http.StatusOK {
					t.Fatalf("host %s has confirmed the withdrawal, but responded with status %d, outcome %q", host.Name, status, outcome)
				}
				t.waitUntil("host "+string(host.Name)+" refuses the key as withdrawn", func() bool {
					status, outcome := t.call(clients[i], host, secret)
					return status == http.StatusUnauthorized && strings.Contains(outcome, "key-withdrawn")
				})
			}
			t.requireAccepted(t.confirm(3, p))
			t.requireWithdrawalEvent(firstWorkspace(t.mesh))
		})
	}
}

// requireWithdrawalEvent checks that the timeline of every node contains the
// withdrawal with the workspace of the key.
func (t *testMesh) requireWithdrawalEvent(ws mesh.Workspace) {
	t.Helper()
	for i, host := range t.mesh.Hosts {
		events, err := t.client(i).Timeline(t.ctx, timeline.Filter{Workspace: ws, Kinds: []timeline.Kind{timeline.KeyWithdrawn}})
		if err != nil || len(events) != 1 {
			t.Fatalf("events at host %s: %v, error %v, want one withdrawal", host.Name, events, err)
		}
	}
}

// Guards against a drain that works only if it is confirmed at the node of the
// upstream itself, a status that lacks the offset of a member, and a drain plan that
// stays valid after that node has restarted.
func TestDrainAskedAtAnotherNode(tt *testing.T) {
	t := startMesh(tt)
	p, err := t.client(0).PlanDrain(t.ctx, t.mesh.Hosts[5].Name)
	if err != nil {
		t.Fatal(err)
	}
	if status, err := t.client(5).Status(t.ctx, false); err != nil || status.Upstream.Draining {
		t.Fatalf("upstream before the confirmation: %+v, error %v, want not draining", status.Upstream, err)
	}
	for range 2 {
		t.requireAccepted(t.confirm(1, p))
	}
	status, err := t.client(5).Status(t.ctx, false)
	if err != nil || !status.Upstream.Draining || status.Upstream.Serving {
		t.Fatalf("upstream after the drain: %+v, error %v, want draining and not serving", status.Upstream, err)
	}
	t.waitUntil("every member has reported its offset", func() bool {
		status, err := t.client(5).Status(t.ctx, true)
		offsetUnknown := func(m operator.Member) bool { return m.Offset == nil }
		return err == nil && len(status.Members) == len(t.mesh.Hosts) && !slices.ContainsFunc(status.Members, offsetUnknown)
	})
	t.mesh.Hosts[5].Kill()
	if err := t.mesh.Hosts[5].Restart(); err != nil {
		t.Fatal(err)
	}
	t.waitUntil("the plan is rejected because the node has restarted", func() bool { return t.confirm(1, p).State == operator.Rejected })
}

func firstWorkspace(m *dev.Mesh) mesh.Workspace {
	var names []mesh.Workspace
	for ws := range m.Keys {
		names = append(names, ws)
	}
	return slices.Min(names)
}
