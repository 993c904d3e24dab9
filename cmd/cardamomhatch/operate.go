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
	"cardamomhatch/internal/exchange"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/operator"
)

// tokenVariable is the environment variable with the operator token, for use
// without a token file. There is no flag for the token, because command lines are
// visible to every process on the host.
const tokenVariable = "CARDAMOMHATCH_OPERATOR_TOKEN"

// access contains the flags of all commands that call operator listeners.
type access struct {
	TokenFile string `placeholder:"FILE" help:"File that contains the operator token; by default CARDAMOMHATCH_OPERATOR_TOKEN is used."`
	CAFile    string `name:"ca-file" placeholder:"FILE" help:"PEM file with the CA certificates for the operator listeners."`
	JSON      bool   `help:"Print JSON."`
}

// target contains the flags of a command that calls one operator listener.
type target struct {
	Operator string `required:"" placeholder:"URL" env:"CARDAMOMHATCH_OPERATOR" help:"URL of the operator listener of any node."`
	access
}

func (t *target) client() (*operator.Client, error) { return t.access.client(t.Operator) }

// client returns a client of the operator listener at url.
func (a *access) client(url string) (*operator.Client, error) {
	token := os.Getenv(tokenVariable)
	if a.TokenFile != "" {
		data, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read operator token")
		}
		token = string(data)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return nil, newUsageError("no operator token: give --token-file or set %s", tokenVariable)
	}
	transport := &http.Transport{}
	if a.CAFile != "" {
		pool, err := readCertPool(a.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return &operator.Client{URL: url, Token: token, Transport: exchange.Strict(transport)}, nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s contains no PEM certificate", path)
	}
	return pool, nil
}

// readFiles reads declaration files. The names in the result have no directory.
func readFiles(paths []string) ([]operator.File, error) {
	files := make([]operator.File, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read declaration")
		}
		files[i] = operator.File{Name: filepath.Base(path), Text: string(data)}
	}
	return files, nil
}

type planCommand struct {
	target
	Files []string `arg:"" name:"file" help:"Declaration files; together they declare the whole mesh."`
	Out   string   `placeholder:"FILE" help:"Write the plan to FILE, for use with confirm."`
}

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

// showPlan writes the plan to the file out, if that is set, and prints it.
func showPlan(s *streams, p operator.Plan, out string, asJSON bool) error {
	if out != "" {
		var document bytes.Buffer
		if err := operator.EncodeJSON(&document, p); err != nil {
			return err
		}
		if err := os.WriteFile(out, document.Bytes(), 0o600); err != nil {
			return errors.Wrap(err, "write plan")
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
	Plan string        `arg:"" help:"Plan file, or - for standard input."`
	Wait time.Duration `default:"10s" help:"Time to wait until all nodes have applied an accepted record, at most 1m."`
}

func (c *confirmCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := readInput(s, c.Plan)
	if err != nil {
		return errors.Wrap(err, "read plan")
	}
	var p operator.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrapf(err, "decode plan %s", c.Plan)
	}
	return confirm(ctx, s, client, p, c.Wait, c.JSON)
}

// readInput reads the file, or standard input if path is -.
func readInput(s *streams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(path)
}

func confirm(ctx context.Context, s *streams, client *operator.Client, p operator.Plan, wait time.Duration, asJSON bool) error {
	result, err := client.Confirm(ctx, p, wait)
	var rejected *operator.Error
	if err != nil && !errors.As(err, &rejected) {
		return errors.Wrap(err, "result of the confirmation is unknown; it is safe to confirm the same plan again")
	}
	if err != nil {
		return err
	}
	return showResult(s, result, asJSON)
}

// showResult prints the result of a confirmation. It returns an error unless the
// confirmation was accepted.
func showResult(s *streams, result operator.Result, asJSON bool) error {
	if asJSON {
		if err := operator.EncodeJSON(s.out, result); err != nil {
			return err
		}
	} else {
		fmt.Fprint(s.out, resultText(result))
	}
	if result.State != operator.Accepted {
		return errors.Errorf("the confirmation is %s", result.State)
	}
	return nil
}

func resultText(result operator.Result) string {
	var b strings.Builder
	b.WriteString(string(result.State))
	if result.Record != nil {
		fmt.Fprintf(&b, " as record %d", *result.Record)
	}
	if result.Detail != "" {
		b.WriteString(": " + result.Detail)
	}
	b.WriteString("\n")
	if progress := result.InForce; progress != nil {
		fmt.Fprintf(&b, "in force on %d of %d nodes", progress.Nodes, progress.Queried)
		if progress.Queried < progress.Members {
			fmt.Fprintf(&b, ", a sample of %d", progress.Members)
		}
		b.WriteString("\n")
		for _, host := range progress.Missing {
			fmt.Fprintf(&b, "  not yet on %s\n", host)
		}
	}
	if result.InForce == nil {
		for _, host := range result.Unconfirmed {
			fmt.Fprintf(&b, "not confirmed by %s\n", host)
		}
	}
	switch {
	case strings.HasPrefix(result.PollPath, "/v1/proposals/"):
		fmt.Fprintf(&b, "ask again with: cardamomhatch proposal %s\n", result.Token)
	case result.PollPath != "": // an undecided withdrawal; key list shows whether the key is withdrawn
		b.WriteString("ask again with: cardamomhatch key list\n")
	}
	if result.Secret != "" {
		fmt.Fprintf(&b, "key %s; the secret is not shown again:\n%s\n", result.KeyID, result.Secret)
	}
	return b.String()
}

type proposalCommand struct {
	target
	Token string `arg:"" help:"Token of the plan."`
}

func (c *proposalCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	token, err := config.ParseToken(c.Token)
	if err != nil {
		return usageError{err}
	}
	result, err := client.Proposal(ctx, token)
	if err != nil {
		return err
	}
	return showResult(s, result, c.JSON)
}

// confirmFlags contains the flags of commands that request a plan and confirm it in one
// run. Such a command asks the operator before it confirms the plan, unless Yes is set.
type confirmFlags struct {
	Yes bool   `help:"Confirm the plan without asking."`
	Out string `placeholder:"FILE" help:"Write the plan to FILE, for use with confirm, and exit."`
}

// promptAndConfirm shows a plan and confirms it if the operator agrees. If Out is
// set, it writes the plan to that file instead.
func (c *confirmFlags) promptAndConfirm(ctx context.Context, s *streams, client *operator.Client, p operator.Plan, asJSON bool) error {
	if c.Out != "" {
		return showPlan(s, p, c.Out, asJSON)
	}
	// The diff goes to standard error, so that with --json the standard output
	// contains only the result.
	fmt.Fprint(s.err, p.Diff)
	if !c.Yes {
		fmt.Fprint(s.err, "confirm? [y/N] ")
		answer, _ := bufio.NewReader(s.in).ReadString('\n') // end of input counts as no
		if answer = strings.ToLower(strings.TrimSpace(answer)); answer != "y" && answer != "yes" {
			return errors.New("not confirmed; nothing has changed")
		}
	}
	return confirm(ctx, s, client, p, confirmWait, asJSON)
}

// confirmWait is how long commands wait until all nodes have applied an accepted
// record.
const confirmWait = 10 * time.Second

type keyCommand struct {
	Issue    keyIssueCommand    `cmd:"" help:"Issue a key to a workspace. Its secret is shown once."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key, so that all nodes reject it."`
	List     keyListCommand     `cmd:"" help:"List the keys."`
}

type keyIssueCommand struct {
	target
	confirmFlags
	Workspace mesh.Workspace `arg:"" help:"Workspace of the key; it must be declared."`
}

func (c *keyIssueCommand) Run(ctx context.Context, s *streams) error {
	return planAndConfirmKey(ctx, s, &c.target, &c.confirmFlags, operator.KeyRequest{Workspace: c.Workspace})
}

type keyWithdrawCommand struct {
	target
	confirmFlags
	ID string `arg:"" help:"ID of the key: the 20 hexadecimal digits after ch_, not the whole key."`
}

func (c *keyWithdrawCommand) Run(ctx context.Context, s *streams) error {
	return planAndConfirmKey(ctx, s, &c.target, &c.confirmFlags, operator.KeyRequest{Withdraw: c.ID})
}

func planAndConfirmKey(ctx context.Context, s *streams, t *target, flags *confirmFlags, request operator.KeyRequest) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	p, err := client.PlanKey(ctx, request)
	if err != nil {
		return err
	}
	return flags.promptAndConfirm(ctx, s, client, p, t.JSON)
}

type keyListCommand struct{ target }

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
	confirmFlags
	Host mesh.Host `arg:"" help:"Host whose upstream to drain; it gets no new work."`
}

func (c *drainCommand) Run(ctx context.Context, s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	p, err := client.PlanDrain(ctx, c.Host)
	if err != nil {
		return err
	}
	return c.promptAndConfirm(ctx, s, client, p, c.JSON)
}
