package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomhatch/internal/standin/logserver"
)

// lockedBuffer is an output that a running command writes and a test reads.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// command runs one command and checks its exit code.
func command(t *testing.T, want int, in string, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if code := execute(ctx, args, &streams{strings.NewReader(in), &out, &errs}); code != want {
		t.Fatalf("%q exits with %d, want %d\n%s%s", args, code, want, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func contains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is not in:\n%s", part, text)
		}
	}
}

const settingsText = `[node]
host = host-1
data_centre = dc
service = shop
insecure_loopback = true
[listen]
callers = 127.0.0.1:0
local = 127.0.0.1:0
peers = 127.0.0.1:0
operators = 127.0.0.1:0
[log]
address = %s
[peers]
seeds = 127.0.0.1:1
[operator]
token_sha256 = %s
`

const meshText = "[mesh]\nname = m\n[service shop]\n[workspace w]\nrate_per_second = 1\nburst = 2\n"

// startNode runs one node by its settings and returns its operator URL.
func startNode(t *testing.T, dir, token string) string {
	t.Helper()
	log := httptest.NewServer(logserver.New(logserver.Config{}).Handler())
	t.Cleanup(log.Close)
	hash := sha256.Sum256([]byte(token))
	settings := write(t, dir, "node.ini", fmt.Sprintf(settingsText, log.URL, hex.EncodeToString(hash[:])))
	contains(t, command(t, exitDone, "", "check-settings", settings), "host-1")
	ctx, cancel := context.WithCancel(context.Background())
	var out lockedBuffer
	ended := make(chan int, 1)
	go func() {
		ended <- execute(ctx, []string{"run", "--settings", settings}, &streams{nil, &out, io.Discard})
	}()
	t.Cleanup(func() {
		cancel()
		if code := <-ended; code != exitDone {
			t.Errorf("run exits with %d after a signal", code)
		}
	})
	address := regexp.MustCompile(`operators at (\S+)\n`)
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if found := address.FindStringSubmatch(out.String()); found != nil {
			return "http://" + found[1]
		}
		if time.Now().After(end) {
			t.Fatalf("the node does not serve: %s", out.String())
		}
	}
}

// Guards against commands that do not reach a node started by its settings, and
// against exit codes that do not tell a refusal from a mistake in the command.
func TestOperatorCommands(t *testing.T) {
	dir := t.TempDir()
	url := startNode(t, dir, "secret-token")
	access := []string{"--operator", url, "--token-file", write(t, dir, "token", "secret-token\n")}
	run := func(want int, in string, args ...string) string {
		t.Helper()
		return command(t, want, in, append(args, access...)...)
	}
	declaration, plan := write(t, dir, "mesh.ini", meshText), filepath.Join(dir, "plan.json")

	contains(t, run(exitDone, "", "plan", declaration, "--out", plan), "+ [workspace w]", "nothing has changed")
	contains(t, run(exitDone, "", "status"), "configured false")
	contains(t, run(exitDone, "", "confirm", plan), "accepted as record", "in force on")
	contains(t, run(exitDone, "", "confirm", plan, "--json"), `"state": "accepted"`)
	contains(t, run(exitDone, "", "plan", declaration), "nothing changes")
	contains(t, run(exitDone, "", "status"), "configured true")

	contains(t, run(exitFailed, "n\n", "key", "issue", "w"), "nothing has changed")
	issued := run(exitDone, "y\n", "key", "issue", "w")
	id := regexp.MustCompile(`ch_([0-9a-f]{20})_`).FindStringSubmatch(issued)
	if id == nil {
		t.Fatalf("no secret in:\n%s", issued)
	}
	contains(t, run(exitDone, "", "key", "list"), id[1]+" valid")
	contains(t, run(exitDone, "", "key", "withdraw", id[1], "--yes"), "accepted")
	contains(t, run(exitDone, "", "key", "list"), id[1]+" withdrawn")
	for !strings.Contains(run(exitDone, "", "status"), "1 members") {
		time.Sleep(10 * time.Millisecond) // the node has not read its own join yet
	}
	contains(t, run(exitDone, "", "drain", "host-1", "--yes"), "accepted")
	contains(t, run(exitDone, "", "status"), "draining")

	recorded := write(t, dir, "events.jsonl", run(exitDone, "", "timeline", "--json"))
	contains(t, run(exitDone, "", "timeline", "--kind", "draining"), "host-1 draining")
	page := filepath.Join(dir, "page.html")
	run(exitDone, "", "timeline", "--html", page)
	if data, err := os.ReadFile(page); err != nil || !bytes.Contains(data, []byte("<td>draining</td>")) {
		t.Fatalf("page %q, %v", data, err)
	}
	contains(t, command(t, exitDone, "", "replay", recorded, "--rules", write(t, dir, "good", "count kind=draining == 1\n")), "0 violations")
	contains(t, command(t, exitFailed, "", "replay", recorded, "--rules", write(t, dir, "bad", "never kind=draining\n")), "1 violations")

	altered, err := os.ReadFile(plan)
	if err != nil {
		t.Fatal(err)
	}
	contains(t, run(exitFailed, strings.Replace(string(altered), `"burst": 2`, `"burst": 3`, 1), "confirm", "-"), "plan-altered")
	contains(t, run(exitFailed, "", "plan", write(t, dir, "wrong.ini", meshText+"x = 1\n")), "wrong.ini: [workspace w] x")
	contains(t, run(exitFailed, "", "key", "issue", "other"), "workspace-unknown")
	run(exitUsage, "", "proposal", "xyz")
	run(exitUsage, "", "timeline", "--kind", "other")
	run(exitUsage, "", "plan")
	t.Setenv(tokenVariable, "wrong")
	contains(t, command(t, exitFailed, "", "status", "--operator", url), "unauthorized")
	t.Setenv(tokenVariable, "")
	contains(t, command(t, exitUsage, "", "status", "--operator", url), "no operator token")
	command(t, exitUsage, "", "status")
	command(t, exitUsage, "", "other")
}

// Guards against a check that accepts a bad file or does not say where it is bad.
func TestChecks(t *testing.T) {
	dir := t.TempDir()
	contains(t, command(t, exitDone, "", "check-declaration", write(t, dir, "m.ini", meshText)), "1 services")
	contains(t, command(t, exitFailed, "", "check-declaration", write(t, dir, "bad.ini", meshText+"rat = 1\n")), "bad.ini: [workspace w] rat")
	contains(t, command(t, exitFailed, "", "check-settings", write(t, dir, "s.ini", "[node]\nhost = a\n")), "s.ini: [node] service")
	contains(t, command(t, exitFailed, "", "run", "--settings", filepath.Join(dir, "s.ini")), "s.ini: [node] service")
	contains(t, command(t, exitFailed, "", "check-settings", "--json", filepath.Join(dir, "s.ini")), `"valid": false`)
	command(t, exitFailed, "", "check-settings", filepath.Join(dir, "missing.ini"))
}
