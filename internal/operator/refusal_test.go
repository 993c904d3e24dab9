package operator_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/standin/malformed"
)

const operatorToken = "the operator token"

func parseToken(t testing.TB, s string) config.Token {
	t.Helper()
	parsed, err := config.ParseToken(s)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// isolatedNode is a node without peers or a log. The test fails if a request
// that changes state reaches it.
type isolatedNode struct {
	engine *engine.Node
	t      *testing.T
}

func (n isolatedNode) View(f func(*engine.Node)) { f(n.engine) }
func (n isolatedNode) Step(engine.Event)         {}

func (n isolatedNode) Propose(context.Context, string, []byte) (*engine.Decision, error) {
	n.t.Error("a record was proposed")
	return &engine.Decision{}, nil
}

func (n isolatedNode) WithdrawKey(context.Context, string) (*engine.Decision, error) {
	n.t.Error("a key was withdrawn")
	return &engine.Decision{}, nil
}

func (n isolatedNode) DrainNode(context.Context, string, mesh.NodeID) (*engine.Decision, error) {
	n.t.Error("a node was drained")
	return &engine.Decision{}, nil
}

const testDeclaration = "[mesh]\nname = m\n[workspace w]\nrate_per_second = 1\nburst = 2\n"

// startIsolatedAPI serves the API of a node that has applied one declaration.
func startIsolatedAPI(t *testing.T) *operator.Client {
	self := mesh.NodeID{Host: "h", Incarnation: 1}
	n := engine.New(engine.Config{Self: mesh.Member{Node: self}})
	desired, err := declaration.Parse(declaration.File{Name: "m.ini", Data: []byte(testDeclaration)})
	if err != nil {
		t.Fatal(err)
	}
	plan, err := config.Plan(n.State(), desired)
	if err != nil {
		t.Fatal(err)
	}
	data, err := config.NewChange(config.Header{Token: config.Token{1}, By: self}, plan)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(0, &engine.LogRead{Page: logservice.Page{Records: []logservice.Record{{Data: data}}, Head: 1}}, nil)
	h, err := operator.New(operator.Config{
		Node: isolatedNode{n, t}, Self: self, TokenHash: operator.HashToken(operatorToken), Metrics: metrics.NewRegistry(), Random: rand.Reader,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &operator.Client{URL: server.URL, Token: operatorToken}
}

func send(t *testing.T, c *operator.Client, authorization, method, path, body string) (int, operator.Error) {
	t.Helper()
	r, err := http.NewRequest(method, c.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var response struct{ Error operator.Error }
	if err := json.Unmarshal(data, &response); err != nil && resp.StatusCode >= 400 {
		t.Fatalf("%s %s: response %q is not JSON", method, path, data)
	}
	return resp.StatusCode, response.Error
}

// Guards against endpoints that work without the operator token.
func TestOperatorTokenIsRequired(t *testing.T) {
	c := startIsolatedAPI(t)
	for _, path := range []string{"/v1/status", "/v1/timeline", "/v1/keys", "/metrics", "/other"} {
		for _, authorization := range []string{"", "Bearer ", "Bearer wrong", operatorToken, "Basic " + operatorToken, "Bearer " + operatorToken + " "} {
			if strings.TrimSpace(authorization) == "Bearer "+operatorToken {
				authorization += "x" // HTTP transports strip trailing spaces
			}
			status, e := send(t, c, authorization, "GET", path, "")
			if status != http.StatusUnauthorized || e.Code != operator.CodeUnauthorized {
				t.Errorf("%s with Authorization %q: status %d, code %q, want 401 and unauthorized", path, authorization, status, e.Code)
			}
		}
	}
	if status, _ := send(t, c, "Bearer "+operatorToken, "GET", "/v1/status", ""); status != http.StatusOK {
		t.Errorf("valid token: status %d, want 200", status)
	}
}

// Guards against invalid input that takes effect, that gets a response without an
// error code, or that is buffered without a size limit.
func TestBadInput(t *testing.T) {
	c := startIsolatedAPI(t)
	files := func(text string) string {
		data, err := json.Marshal(operator.PlanRequest{Files: []operator.File{{Name: "a.ini", Text: text}}})
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	for _, test := range []struct {
		method, path, body string
		status             int
		code               operator.Code
	}{
		{"POST", "/v1/plan", "", 400, operator.CodeBadRequest},
		{"POST", "/v1/plan", "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/plan", `{"files":[],"more":1}`, 400, operator.CodeBadRequest},
		{"POST", "/v1/plan", files(testDeclaration) + "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/plan", strings.Repeat(" ", 9<<20), 413, operator.CodeTooLarge},
		{"POST", "/v1/plan", files("[mesh]\nname = m\n[service s]\nmax = 1\n"), 422, operator.CodeBadDeclaration},
		{"POST", "/v1/plan", files("[mesh]\nname = m\n[edge a b]\n"), 422, operator.CodeBadDeclaration},
		{"POST", "/v1/confirm", "{}", 400, operator.CodePlanAltered},
		{"POST", "/v1/confirm", "[]", 400, operator.CodeBadRequest},
		{"POST", "/v1/confirm?wait=1h", "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/confirm?wait=-1", "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/confirm?wait=NaN", "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/keys/plan", "{}", 400, operator.CodeBadRequest},
		{"POST", "/v1/keys/plan", `{"workspace":"w","withdraw":"1"}`, 400, operator.CodeBadRequest},
		{"POST", "/v1/keys/plan", `{"workspace":"other"}`, 404, operator.CodeWorkspaceUnknown},
		{"POST", "/v1/keys/plan", `{"withdraw":"ch_secret"}`, 400, operator.CodeBadRequest},
		{"POST", "/v1/keys/plan", `{"withdraw":"01234567890123456789"}`, 404, operator.CodeKeyUnknown},
		{"POST", "/v1/keys/plan", `{"workspace":"` + strings.Repeat("w", 70<<10) + `"}`, 413, operator.CodeTooLarge},
		{"GET", "/v1/keys/ch_secret", "", 400, operator.CodeBadRequest},
		{"GET", "/v1/keys/01234567890123456789", "", 404, operator.CodeKeyUnknown},
		{"POST", "/v1/drain", `{}`, 400, operator.CodeBadRequest},
		{"POST", "/v1/drain", `{"host":"other"}`, 404, operator.CodeHostUnknown},
		{"POST", "/v1/drain", `{"kind":"drain"}`, 400, operator.CodePlanAltered},
		{"GET", "/v1/proposals/xyz", "", 400, operator.CodeBadRequest},
		{"GET", "/v1/timeline?kind=other", "", 400, operator.CodeBadRequest},
		{"GET", "/v1/timeline?host=a", "", 400, operator.CodeBadRequest},
		{"GET", "/v1/plan", "", 405, operator.CodeMethodNotAllowed},
		{"DELETE", "/v1/status", "", 405, operator.CodeMethodNotAllowed},
		{"GET", "/v1/other", "", 404, operator.CodeNotFound},
	} {
		status, e := send(t, c, "Bearer "+operatorToken, test.method, test.path, test.body)
		if status != test.status || e.Code != test.code || e.Message == "" {
			t.Errorf("%s %s %.60s: status %d, code %q, message %q, want status %d, code %q", test.method, test.path, test.body, status, e.Code, e.Message, test.status, test.code)
		}
		if strings.Contains(e.Message, "secret") {
			t.Errorf("%s %s: message contains a possible key: %s", test.method, test.path, e.Message)
		}
	}
	_, e := send(t, c, "Bearer "+operatorToken, "POST", "/v1/plan", files("[mesh]\nname = m\n[service s]\nmax = 1\n"))
	if len(e.Problems) != 1 || e.Problems[0].File != "a.ini" || e.Problems[0].Section != "service s" || e.Problems[0].Key != "max" {
		t.Errorf("problems %+v, want one for key max in section service s of a.ini", e.Problems)
	}
}

// Guards against a plan that can be confirmed after its content or seal was changed,
// at the wrong endpoint, or although it contains no changes.
func TestAlteredPlanIsRefused(t *testing.T) {
	c := startIsolatedAPI(t)
	ctx := context.Background()
	issue, err := c.PlanKey(ctx, operator.KeyRequest{Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	change, err := c.Plan(ctx, []operator.File{{Name: "m.ini", Text: strings.Replace(testDeclaration, "burst = 2", "burst = 3", 1)}})
	if err != nil {
		t.Fatal(err)
	}
	for name, alter := range map[string]func(p *operator.Plan){
		"token":   func(p *operator.Plan) { p.Token[0]++ },
		"after":   func(p *operator.Plan) { p.After++ },
		"diff":    func(p *operator.Plan) { p.Diff += " " },
		"version": func(p *operator.Plan) { p.Mesh.Changes[0].Version++ },
		"value":   func(p *operator.Plan) { p.Mesh.Changes[0].Set.Workspace.Burst++ },
		"deleted": func(p *operator.Plan) { p.Mesh.Changes[0].Set = nil },
		"seal":    func(p *operator.Plan) { p.Seal = strings.Repeat("0", 64) },
	} {
		altered := clonePlan(t, change)
		alter(&altered)
		requireConfirmError(t, name, c, altered, operator.CodePlanAltered)
	}
	issue.Workspace = "other"
	requireConfirmError(t, "workspace", c, issue, operator.CodePlanAltered)
	data, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	if status, e := send(t, c, "Bearer "+operatorToken, "POST", "/v1/keys/confirm", string(data)); status != 400 || e.Code != operator.CodePlanKind {
		t.Errorf("mesh plan at /v1/keys/confirm: status %d, code %q, want 400 and plan-kind", status, e.Code)
	}
	emptyPlan, err := c.Plan(ctx, []operator.File{{Name: "m.ini", Text: testDeclaration}})
	if err != nil || emptyPlan.Diff != "" {
		t.Fatalf("plan without changes: diff %q, error %v, want an empty diff", emptyPlan.Diff, err)
	}
	requireConfirmError(t, "empty", c, emptyPlan, operator.CodePlanEmpty)
}

// Guards against a malformed response being taken for a list of keys.
func TestMalformedResponses(t *testing.T) {
	for name, raw := range malformed.Responses(`{"keys":[]}`) {
		if strings.Contains(name, "interim") {
			continue // net/http.Transport does not show the heads of interim responses
		}
		server := httptest.NewServer(malformed.Handler(raw))
		client := operator.Client{URL: server.URL, Token: operatorToken}
		if keys, err := client.Keys(t.Context()); err == nil {
			t.Errorf("%s: got %d keys and no error", name, len(keys))
		}
		server.Close()
	}
}

func clonePlan(t *testing.T, p operator.Plan) (out operator.Plan) {
	t.Helper()
	data, err := json.Marshal(p)
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(&out)
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func requireConfirmError(t *testing.T, name string, c *operator.Client, p operator.Plan, code operator.Code) {
	t.Helper()
	result, err := c.Confirm(context.Background(), p, time.Second)
	e, ok := err.(*operator.Error)
	if !ok || e.Code != code {
		t.Errorf("%s: result %+v, error %v, want error code %s", name, result, err, code)
	}
}

// Guards against a metrics endpoint whose text or JSON lacks the metric names.
func TestMetricsAsTextAndJSON(t *testing.T) {
	c := startIsolatedAPI(t)
	for path, want := range map[string]string{"/metrics": "config.offset 1\n", "/metrics?format=json": `"config.offset": {`} {
		r, err := http.NewRequest(http.MethodGet, c.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+operatorToken)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s: body %q, error %v, want %q in the body", path, data, err, want)
		}
	}
}
