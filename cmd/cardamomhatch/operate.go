package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/operator"
)

// tokenVariable holds the operator token if no file does. A token on the command
// line would be visible to every process of the host.
const tokenVariable = "CARDAMOMHATCH_OPERATOR_TOKEN"

// access is how a command reaches an operator listener.
type access struct {
	TokenFile string `placeholder:"FILE" help:"File that holds the operator token. Otherwise it is taken from CARDAMOMHATCH_OPERATOR_TOKEN."`
	CAFile    string `name:"ca-file" placeholder:"FILE" help:"PEM file with the CA of the operator listeners."`
	JSON      bool   `help:"Print JSON."`
}

// target is one operator listener.
type target struct {
	Operator string `required:"" placeholder:"URL" env:"CARDAMOMHATCH_OPERATOR" help:"URL of the operator listener of any node."`
	access
}

func (t *target) client() (*operator.Client, error) { return t.access.client(t.Operator) }

func (a *access) client(url string) (*operator.Client, error) {
	token := os.Getenv(tokenVariable)
	if a.TokenFile != "" {
		data, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "operator token")
		}
		token = string(data)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return nil, usage("no operator token: give --token-file or set %s", tokenVariable)
	}
	transport := &http.Transport{}
	if a.CAFile != "" {
		pool, err := readPool(a.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return &operator.Client{URL: url, Token: token, HTTP: &http.Client{Transport: transport}}, nil
}

func readPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s contains no PEM certificate", path)
	}
	return pool, nil
}

// readFiles reads declaration files; their names are shown without directory.
func readFiles(paths []string) ([]operator.File, error) {
	files := make([]operator.File, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "declaration")
		}
		files[i] = operator.File{Name: filepath.Base(path), Text: string(data)}
	}
	return files, nil
}

type planCommand struct {
	target
	Files []string `arg:"" name:"file" help:"Declaration files; together they declare the whole mesh."`
	Out   string   `placeholder:"FILE" help:"Write the plan document to FILE, for confirm."`
}

// Run prints what would change.
func (c *planCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	files, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	p, err := client.Plan(ctx, files)
	if err != nil {
		return err
	}
	return showPlan(s, p, c.Out, c.JSON)
}

func showPlan(s *streams, p operator.Plan, out string, asJSON bool) error {
	if out != "" {
		var document bytes.Buffer
		if err := operator.EncodeJSON(&document, p); err != nil {
			return err
		}
		if err := os.WriteFile(out, document.Bytes(), 0o600); err != nil {
			return errors.Wrap(err, "plan file")
		}
	}
	if asJSON {
		return operator.EncodeJSON(s.out, p)
	}
	if p.Diff == "" {
		fmt.Fprintln(s.out, "nothing changes")
		return nil
	}
	fmt.Fprint(s.out, p.Diff)
	if out != "" {
		fmt.Fprintf(s.out, "plan written to %s; nothing has changed until it is confirmed\n", out)
	}
	return nil
}

type confirmCommand struct {
	target
	Plan string        `arg:"" help:"Plan document, or - for standard input."`
	Wait time.Duration `default:"10s" help:"Time to wait until all nodes have an accepted record in force, at most 1m."`
}

// Run confirms the plan and prints the verdict.
func (c *confirmCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := readInput(s, c.Plan)
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	var p operator.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrapf(err, "plan %s", c.Plan)
	}
	return confirm(ctx, s, client, p, c.Wait, c.JSON)
}

func readInput(s *streams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(path)
}

func confirm(ctx context.Context, s *streams, client *operator.Client, p operator.Plan, wait time.Duration, asJSON bool) error {
	v, err := client.Confirm(ctx, p, wait)
	var refused *operator.Error
	if err != nil && !errors.As(err, &refused) {
		return errors.Wrap(err, "no verdict; it is safe to confirm the same plan again")
	}
	if err != nil {
		return err
	}
	return showVerdict(s, v, asJSON)
}

// showVerdict prints a verdict; one that is not accepted is an error.
func showVerdict(s *streams, v operator.Result, asJSON bool) error {
	if asJSON {
		if err := operator.EncodeJSON(s.out, v); err != nil {
			return err
		}
	} else {
		fmt.Fprint(s.out, verdictText(v))
	}
	if v.State != operator.Accepted {
		return errors.Errorf("the confirmation is %s", v.State)
	}
	return nil
}

func verdictText(v operator.Result) string {
	var b strings.Builder
	b.WriteString(string(v.State))
	if v.Record != nil {
		fmt.Fprintf(&b, " as record %d", *v.Record)
	}
	if v.Detail != "" {
		b.WriteString(": " + v.Detail)
	}
	b.WriteString("\n")
	if f := v.InForce; f != nil {
		fmt.Fprintf(&b, "in force on %d of %d nodes", f.Nodes, f.Queried)
		if f.Queried < f.Members {
			fmt.Fprintf(&b, ", a sample of %d", f.Members)
		}
		b.WriteString("\n")
		for _, host := range f.Missing {
			fmt.Fprintf(&b, "  not yet on %s\n", host)
		}
	}
	if v.InForce == nil {
		for _, host := range v.Unconfirmed {
			fmt.Fprintf(&b, "not confirmed by %s\n", host)
		}
	}
	switch {
	case strings.HasPrefix(v.PollPath, "/v1/proposals/"):
		fmt.Fprintf(&b, "ask again with: cardamomhatch proposal %s\n", v.Token)
	case v.PollPath != "":
		b.WriteString("ask again with: cardamomhatch key list\n")
	}
	if v.Secret != "" {
		fmt.Fprintf(&b, "key %s; the secret is not shown again:\n%s\n", v.KeyID, v.Secret)
	}
	return b.String()
}

type proposalCommand struct {
	target
	Token string `arg:"" help:"Token of the plan."`
}

// Run prints the verdict on a token.
func (c *proposalCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	token, err := config.ParseToken(c.Token)
	if err != nil {
		return usageError{err}
	}
	v, err := client.Proposal(ctx, token)
	if err != nil {
		return err
	}
	return showVerdict(s, v, c.JSON)
}

// consent is how a command that plans and confirms in one go gets the operator's
// confirmation in between.
type consent struct {
	Yes bool   `help:"Confirm the plan without a question."`
	Out string `placeholder:"FILE" help:"Write the plan document to FILE, for confirm, and stop."`
}

// carryOut shows a plan and confirms it if the operator agrees.
func (c *consent) carryOut(ctx context.Context, s *streams, client *operator.Client, p operator.Plan, asJSON bool) error {
	if c.Out != "" {
		return showPlan(s, p, c.Out, asJSON)
	}
	// With JSON only the verdict goes to the output.
	fmt.Fprint(s.err, p.Diff)
	if !c.Yes {
		fmt.Fprint(s.err, "confirm? [y/N] ")
		answer, _ := bufio.NewReader(s.in).ReadString('\n') // an end of input is no
		if answer = strings.ToLower(strings.TrimSpace(answer)); answer != "y" && answer != "yes" {
			return errors.New("not confirmed; nothing has changed")
		}
	}
	return confirm(ctx, s, client, p, confirmWait, asJSON)
}

// confirmWait is how long commands wait for an accepted record to be in force.
const confirmWait = 10 * time.Second

type keyCommand struct {
	Issue    keyIssueCommand    `cmd:"" help:"Issue a key to a workspace. Its secret is shown once."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key. Every node refuses it from then on."`
	List     keyListCommand     `cmd:"" help:"List the keys."`
}

type keyIssueCommand struct {
	target
	consent
	Workspace mesh.Workspace `arg:"" help:"Declared workspace."`
}

// Run issues a key.
func (c *keyIssueCommand) Run(ctx context.Context, s *streams) error {
	return changeKey(ctx, s, &c.target, &c.consent, operator.KeyRequest{Workspace: c.Workspace})
}

type keyWithdrawCommand struct {
	target
	consent
	ID string `arg:"" help:"Id of the key: the 20 hexadecimal digits after ch_, not the whole key."`
}

// Run withdraws a key.
func (c *keyWithdrawCommand) Run(ctx context.Context, s *streams) error {
	return changeKey(ctx, s, &c.target, &c.consent, operator.KeyRequest{Withdraw: c.ID})
}

func changeKey(ctx context.Context, s *streams, t *target, c *consent, request operator.KeyRequest) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	p, err := client.PlanKey(ctx, request)
	if err != nil {
		return err
	}
	return c.carryOut(ctx, s, client, p, t.JSON)
}

type keyListCommand struct{ target }

// Run lists the keys.
func (c *keyListCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Keys(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return operator.EncodeJSON(s.out, list)
	}
	for _, k := range list {
		fmt.Fprintf(s.out, "%s %-9s %s\n", k.ID, k.State, k.Workspace)
	}
	return nil
}

type drainCommand struct {
	target
	consent
	Host mesh.Host `arg:"" help:"Host whose upstream takes no more new work."`
}

// Run drains an upstream.
func (c *drainCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	p, err := client.PlanDrain(ctx, c.Host)
	if err != nil {
		return err
	}
	return c.carryOut(ctx, s, client, p, c.JSON)
}
