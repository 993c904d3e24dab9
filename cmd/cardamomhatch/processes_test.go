package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// mainVariable is an environment variable that makes the test binary run as
// cardamomhatch, so that the tests can kill and suspend separate processes.
const mainVariable = "CARDAMOMHATCH_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		go func() { // exits with the parent: standard input ends even if the parent is killed
			_, _ = io.Copy(io.Discard, os.Stdin)
			os.Exit(exitFailed)
		}()
		main()
		return
	}
	os.Exit(m.Run())
}

// childProcess is a cardamomhatch process started by a test.
type childProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	stderr *syncBuffer
	exited chan struct{}
}

// startChild starts a process and waits for a line of its output that matches the
// regular expression ready. It returns the process and the submatches of the line.
func startChild(t *testing.T, ready string, args ...string) (*childProcess, []string) {
	t.Helper()
	c := &childProcess{t: t, cmd: exec.Command(os.Args[0], args...), stderr: &syncBuffer{}, exited: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), mainVariable+"=1")
	c.cmd.Stderr = c.stderr
	if _, err := c.cmd.StdinPipe(); err != nil { // the pipe stays open until this process exits
		t.Fatal(err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.kill)
	pattern := regexp.MustCompile(ready)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if found := pattern.FindStringSubmatch(lines.Text()); found != nil {
			go func() {
				_, _ = io.Copy(io.Discard, out)
				_ = c.cmd.Wait() // a killed process has no useful exit code
				close(c.exited)
			}()
			return c, found[1:]
		}
	}
	_ = c.cmd.Wait() // its output has ended
	close(c.exited)  // kill waits for it
	t.Fatalf("%q exited without a line matching %q; standard error: %s", args, ready, c.stderr)
	return nil, nil
}

func (c *childProcess) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *childProcess) kill() {
	_ = c.cmd.Process.Kill() // fails if it has already exited
	<-c.exited
}

// processMesh is a mesh whose nodes, upstreams and log are separate processes.
type processMesh struct {
	t          *testing.T
	log        *childProcess
	nodes      []*childProcess
	upstreams  []*childProcess
	callers    []string // base URLs of the caller listeners
	access     []string // flags of operator commands; the operator URL must follow
	operators  []string // URLs of the operator listeners
	key, keyID string   // API key of workspace anna, and its ID
	client     *http.Client
}

const processesDeclaration = `[mesh]
name = processes
[service shop]
[route GET /items/{id}]
service = shop
idempotent = true
class = normal
timeout = 2s
[route POST /orders]
service = shop
idempotent = false
class = critical
timeout = 2s
[workspace anna]
rate_per_second = 1000
burst = 500
weight = 1
`

// startProcesses starts a mesh of the given number of nodes, issues a key to workspace
// anna, and waits until every node serves calls with it.
func startProcesses(t *testing.T, nodes int) *processMesh {
	t.Helper()
	dir := t.TempDir()
	m := &processMesh{t: t, client: &http.Client{Timeout: 10 * time.Second}}
	log, logURL := startChild(t, `log serves at (\S+)`, "log-standin")
	m.log = log
	hash := sha256.Sum256([]byte("token"))
	for i := range nodes {
		text := fmt.Sprintf(settingsText, logURL[0], hex.EncodeToString(hash[:]))
		text = strings.Replace(text, "host-1", fmt.Sprintf("host-%d", i+1), 1)
		settings := writeTestFile(t, dir, fmt.Sprintf("node-%d.ini", i+1), text)
		node, addresses := startChild(t, `upstream at (\S+), callers at (\S+) and operators at (\S+)$`, "run", "--settings", settings)
		upstream, _ := startChild(t, `serves at (\S+)`, "upstream-standin", "--service", "shop", "--node", "http://"+addresses[0], "--median", "5ms")
		m.nodes = append(m.nodes, node)
		m.upstreams = append(m.upstreams, upstream)
		m.callers = append(m.callers, "http://"+addresses[1])
		m.operators = append(m.operators, "http://"+addresses[2])
	}
	token := writeTestFile(t, dir, "token", "token\n")
	m.access = []string{"--token-file", token, "--operator"}
	plan := filepath.Join(dir, "plan.json")
	m.runOperatorCommand(0, "", "plan", writeTestFile(t, dir, "mesh.ini", processesDeclaration), "--out", plan)
	m.runOperatorCommand(0, "", "confirm", plan)
	issued := m.runOperatorCommand(0, "y\n", "key", "issue", "anna")
	found := regexp.MustCompile(`(ch_([0-9a-f]+)_\S+)`).FindStringSubmatch(issued)
	if found == nil {
		t.Fatalf("no key in the output %q", issued)
	}
	m.key, m.keyID = found[1], found[2]
	for i := range m.callers {
		m.waitUntil(fmt.Sprintf("node %d serves", i+1), func() bool { return m.get(i) == http.StatusOK })
	}
	return m
}

// runOperatorCommand runs an operator command against one node.
func (m *processMesh) runOperatorCommand(node int, stdin string, args ...string) string {
	m.t.Helper()
	return runCLI(m.t, exitOK, stdin, append(append(args, m.access...), m.operators[node])...)
}

// get calls an idempotent route and returns the status, or 0 without a complete
// response.
func (m *processMesh) get(node int) int {
	status, _ := m.call(node, http.MethodGet, "/items/1")
	return status
}

// call returns the status and body of the response, or 0 and the error without a
// complete response.
func (m *processMesh) call(node int, method, path string) (int, string) {
	request, err := http.NewRequest(method, m.callers[node]+path, bytes.NewReader(nil))
	if err != nil {
		m.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+m.key)
	response, err := m.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// waitUntil polls a condition and fails the test if it does not hold within a
// minute.
func (m *processMesh) waitUntil(description string, condition func() bool) {
	m.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("timed out after a minute waiting until %s", description)
		}
	}
}

// Guards against a mesh that works only within one process, and against calls that keep
// failing at the remaining nodes after a host was killed.
func TestKilledHost(t *testing.T) {
	m := startProcesses(t, 4)
	m.nodes[0].kill()
	m.upstreams[0].kill()
	m.waitUntil("ten consecutive calls at the remaining nodes succeed", func() bool {
		for i := range 10 {
			if m.get(1+i%3) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a node that accepts a withdrawn key after it was suspended during the
// withdrawal.
func TestSuspendedNodeRejectsWithdrawnKey(t *testing.T) {
	m := startProcesses(t, 4)
	m.nodes[3].signal(syscall.SIGSTOP)
	m.runOperatorCommand(0, "y\n", "key", "withdraw", m.keyID)
	time.Sleep(4 * time.Second) // the node's evidence that its configuration is current expires meanwhile
	m.nodes[3].signal(syscall.SIGCONT)
	for range 20 {
		if status, body := m.call(3, http.MethodPost, "/orders"); status == http.StatusOK {
			t.Fatalf("a call with the withdrawn key succeeded: %s", body)
		}
	}
	m.waitUntil("the node rejects the key as withdrawn", func() bool {
		status, body := m.call(3, http.MethodGet, "/items/1")
		return status == http.StatusUnauthorized && strings.Contains(body, "key-withdrawn")
	})
}

// Guards against a mesh that stops serving when its log is down. A majority of the panel,
// a set of nodes named in the log, then has to confirm that the configuration of a node
// is current.
func TestKilledLog(t *testing.T) {
	m := startProcesses(t, 4)
	m.waitUntil("a panel of all nodes has taken effect", func() bool {
		status := m.runOperatorCommand(0, "", "status", "--json")
		return strings.Contains(status, `"settled": true`) && regexp.MustCompile(`"epoch": [1-9]\d*,\s+"settled": true,\s+"members": \[(\s+"host-\d",?){4}`).MatchString(status)
	})
	m.log.kill()
	time.Sleep(5 * time.Second) // evidence from the log that the configuration is current expires meanwhile
	m.waitUntil("40 consecutive calls without the log succeed", func() bool {
		for i := range 40 {
			if m.get(i%4) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a graceful stop that interrupts the calls that other nodes forward to
// the stopping node: every call must succeed or be rejected with an error that says it
// did not run.
func TestTerminatedNodeInterruptsNoCalls(t *testing.T) {
	m := startProcesses(t, 3)
	stop := make(chan struct{})
	ended := make(chan string)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				ended <- ""
				return
			default:
			}
			status, body := m.call(1+i%2, http.MethodPost, "/orders")
			if status != http.StatusOK && !strings.Contains(body, `"execution":"not-run"`) {
				ended <- fmt.Sprintf("call %d ended with status %d and does not say that it did not run: %s", i, status, body)
				return
			}
		}
	}()
	m.nodes[0].signal(syscall.SIGTERM)
	<-m.nodes[0].exited
	close(stop)
	if failure := <-ended; failure != "" {
		t.Fatal(failure)
	}
}
