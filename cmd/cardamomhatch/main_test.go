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

// syncBuffer is a buffer that a command can write to while the test reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// runCLI runs one command in this process, checks its exit code, and returns its
// standard output followed by its standard error.
func runCLI(t *testing.T, wantExit int, stdin string, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if code := execute(ctx, args, &streams{strings.NewReader(stdin), &out, &errs}); code != wantExit {
		t.Fatalf("%q exited with code %d, want %d\n%s%s", args, code, wantExit, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

func writeTestFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func requireContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is not in the output:\n%s", part, text)
		}
	}
}

// settingsText is the settings file of a node. The port of the seed is closed: the nodes
// of the tests find each other through the log.
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

// startNode runs one node and returns its operator address. extraSettings is appended
// to its settings file.
func startNode(t *testing.T, dir, token, extraSettings string) (address string) {
	t.Helper()
	log := httptest.NewServer(logserver.New(logserver.Config{}).Handler())
	t.Cleanup(log.Close)
	hash := sha256.Sum256([]byte(token))
	settings := writeTestFile(t, dir, "node.ini", fmt.Sprintf(settingsText, log.URL, hex.EncodeToString(hash[:]))+extraSettings)
	requireContains(t, runCLI(t, exitOK, "", "check-settings", settings), "host-1")
	ctx, cancel := context.WithCancel(context.Background())
	var out syncBuffer
	exitCode := make(chan int, 1)
	go func() {
		exitCode <- execute(ctx, []string{"run", "--settings", settings}, &streams{nil, &out, io.Discard})
	}()
	t.Cleanup(func() {
		cancel()
		if code := <-exitCode; code != exitOK {
			t.Errorf("run exited with code %d after its context was cancelled, want 0", code)
		}
	})
	pattern := regexp.MustCompile(`operators at (\S+)\n`)
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if found := pattern.FindStringSubmatch(out.String()); found != nil {
			return found[1]
		}
		if time.Now().After(end) {
			t.Fatalf("the node has not printed its operator address after a minute; output: %s", out.String())
		}
	}
}

// Guards against operator commands that do not work with a node started from a
// settings file, and against exit codes that do not distinguish a rejected request
// from an invalid command line.
func TestOperatorCommands(t *testing.T) {
	dir := t.TempDir()
	url := "http://" + startNode(t, dir, "secret-token", "")
	access := []string{"--operator", url, "--token-file", writeTestFile(t, dir, "token", "secret-token\n")}
	run := func(wantExit int, stdin string, args ...string) string {
		t.Helper()
		return runCLI(t, wantExit, stdin, append(args, access...)...)
	}
	declaration, plan := writeTestFile(t, dir, "mesh.ini", meshText), filepath.Join(dir, "plan.json")

	requireContains(t, run(exitOK, "", "plan", declaration, "--out", plan), "+ [workspace w]", "nothing has changed")
	requireContains(t, run(exitOK, "", "status"), "configured false")
	requireContains(t, run(exitOK, "", "confirm", plan), "accepted as record", "in force on")
	requireContains(t, run(exitOK, "", "confirm", plan, "--json"), `"state": "accepted"`) // a repeated confirmation is idempotent
	requireContains(t, run(exitOK, "", "plan", declaration), "nothing changes")
	requireContains(t, run(exitOK, "", "status"), "configured true")

	requireContains(t, run(exitFailed, "n\n", "key", "issue", "w"), "nothing has changed")
	issued := run(exitOK, "y\n", "key", "issue", "w")
	found := regexp.MustCompile(`ch_([0-9a-f]{20})_`).FindStringSubmatch(issued)
	if found == nil {
		t.Fatalf("no key in the output:\n%s", issued)
	}
	requireContains(t, run(exitOK, "", "key", "list"), found[1]+" valid")
	requireContains(t, run(exitOK, "", "key", "withdraw", found[1], "--yes"), "accepted")
	requireContains(t, run(exitOK, "", "key", "list"), found[1]+" withdrawn")
	for !strings.Contains(run(exitOK, "", "status"), "1 members") {
		time.Sleep(10 * time.Millisecond) // until the node has read its own join from the log
	}
	requireContains(t, run(exitOK, "", "drain", "host-1", "--yes"), "accepted")
	requireContains(t, run(exitOK, "", "status"), "draining")

	recorded := writeTestFile(t, dir, "events.jsonl", run(exitOK, "", "timeline", "--json"))
	requireContains(t, run(exitOK, "", "timeline", "--kind", "draining"), "host-1 draining")
	page := filepath.Join(dir, "page.html")
	run(exitOK, "", "timeline", "--html", page)
	if data, err := os.ReadFile(page); err != nil || !bytes.Contains(data, []byte("<td>draining</td>")) {
		t.Fatalf("HTML page %q, error %v, want an event of kind draining", data, err)
	}
	requireContains(t, runCLI(t, exitOK, "", "replay", recorded, "--rules", writeTestFile(t, dir, "good", "count kind=draining == 1\n")), "0 violations")
	requireContains(t, runCLI(t, exitFailed, "", "replay", recorded, "--rules", writeTestFile(t, dir, "bad", "never kind=draining\n")), "1 violations")

	altered, err := os.ReadFile(plan)
	if err != nil {
		t.Fatal(err)
	}
	requireContains(t, run(exitFailed, strings.Replace(string(altered), `"burst": 2`, `"burst": 3`, 1), "confirm", "-"), "plan-altered")
	requireContains(t, run(exitFailed, "", "plan", writeTestFile(t, dir, "wrong.ini", meshText+"x = 1\n")), "wrong.ini: [workspace w] x")
	requireContains(t, run(exitFailed, "", "key", "issue", "other"), "workspace-unknown")
	run(exitUsage, "", "proposal", "xyz")
	run(exitUsage, "", "timeline", "--kind", "other")
	run(exitUsage, "", "plan")
	t.Setenv(tokenVariable, "wrong")
	requireContains(t, runCLI(t, exitFailed, "", "status", "--operator", url), "unauthorized")
	t.Setenv(tokenVariable, "")
	requireContains(t, runCLI(t, exitUsage, "", "status", "--operator", url), "no operator token")
	runCLI(t, exitUsage, "", "status")
	runCLI(t, exitUsage, "", "other")
}

// Guards against a check that accepts an invalid file, or that does not report the
// section and key in error.
func TestCheckCommands(t *testing.T) {
	dir := t.TempDir()
	requireContains(t, runCLI(t, exitOK, "", "check-declaration", writeTestFile(t, dir, "m.ini", meshText)), "1 services")
	requireContains(t, runCLI(t, exitFailed, "", "check-declaration", writeTestFile(t, dir, "bad.ini", meshText+"rat = 1\n")), "bad.ini: [workspace w] rat")
	requireContains(t, runCLI(t, exitFailed, "", "check-settings", writeTestFile(t, dir, "s.ini", "[node]\nhost = a\n")), "s.ini: [node] service")
	requireContains(t, runCLI(t, exitFailed, "", "run", "--settings", filepath.Join(dir, "s.ini")), "s.ini: [node] service")
	requireContains(t, runCLI(t, exitFailed, "", "check-settings", "--json", filepath.Join(dir, "s.ini")), `"valid": false`)
	runCLI(t, exitFailed, "", "check-settings", filepath.Join(dir, "missing.ini"))
}

// Guards against a node that ignores its TLS settings, and against a client that
// connects to an operator listener whose certificate it cannot verify.
func TestRunWithTLS(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeSelfSignedCert(t, dir)
	address := startNode(t, dir, "secret-token", fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", cert, key, cert))
	t.Setenv(tokenVariable, "secret-token")
	requireContains(t, runCLI(t, exitOK, "", "status", "--operator", "https://"+address, "--ca-file", cert), "node host-1/")
	requireContains(t, runCLI(t, exitFailed, "", "status", "--operator", "https://"+address), "certificate")
	requireContains(t, runCLI(t, exitFailed, "", "status", "--operator", "http://"+address), "answered 400")
}

// writeSelfSignedCert writes a self-signed CA certificate and its key, and returns the
// paths.
func writeSelfSignedCert(t *testing.T, dir string) (cert, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"host-1"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	block := func(kind string, data []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}))
	}
	return writeTestFile(t, dir, "cert.pem", block("CERTIFICATE", der)), writeTestFile(t, dir, "key.pem", block("PRIVATE KEY", privateDER))
}
