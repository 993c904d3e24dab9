package main

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
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

// startNode runs one node by its settings, to which more is added, and returns
// its operator address.
func startNode(t *testing.T, dir, token, more string) (address string) {
	t.Helper()
	log := httptest.NewServer(logserver.New(logserver.Config{}).Handler())
	t.Cleanup(log.Close)
	hash := sha256.Sum256([]byte(token))
	settings := write(t, dir, "node.ini", fmt.Sprintf(settingsText, log.URL, hex.EncodeToString(hash[:]))+more)
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
	pattern := regexp.MustCompile(`operators at (\S+)\n`)
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if found := pattern.FindStringSubmatch(out.String()); found != nil {
			return found[1]
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
	url := "http://" + startNode(t, dir, "secret-token", "")
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
func TestCheckCommands(t *testing.T) {
	dir := t.TempDir()
	contains(t, command(t, exitDone, "", "check-declaration", write(t, dir, "m.ini", meshText)), "1 services")
	contains(t, command(t, exitFailed, "", "check-declaration", write(t, dir, "bad.ini", meshText+"rat = 1\n")), "bad.ini: [workspace w] rat")
	contains(t, command(t, exitFailed, "", "check-settings", write(t, dir, "s.ini", "[node]\nhost = a\n")), "s.ini: [node] service")
	contains(t, command(t, exitFailed, "", "run", "--settings", filepath.Join(dir, "s.ini")), "s.ini: [node] service")
	contains(t, command(t, exitFailed, "", "check-settings", "--json", filepath.Join(dir, "s.ini")), `"valid": false`)
	command(t, exitFailed, "", "check-settings", filepath.Join(dir, "missing.ini"))
}

// Guards against a node that ignores its TLS files, and against a client that
// talks to an operator listener it cannot verify.
func TestRunWithTLS(t *testing.T) {
	dir := t.TempDir()
	cert, key := selfSigned(t, dir)
	address := startNode(t, dir, "secret-token", fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", cert, key, cert))
	t.Setenv(tokenVariable, "secret-token")
	contains(t, command(t, exitDone, "", "status", "--operator", "https://"+address, "--ca-file", cert), "node host-1/")
	contains(t, command(t, exitFailed, "", "status", "--operator", "https://"+address), "certificate")
	contains(t, command(t, exitFailed, "", "status", "--operator", "http://"+address), "answered 400")
}

// selfSigned writes a certificate that is its own CA, and its key.
func selfSigned(t *testing.T, dir string) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"host-1"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	block := func(kind string, data []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}))
	}
	return write(t, dir, "cert.pem", block("CERTIFICATE", der)), write(t, dir, "key.pem", block("PRIVATE KEY", privateDER))
}
