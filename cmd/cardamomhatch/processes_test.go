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

// mainVariable makes the test binary run as cardamomhatch, so that the tests
// below have real processes to kill and to freeze.
const mainVariable = "CARDAMOMHATCH_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		go func() { // ends with the test, also if that is killed
			_, _ = io.Copy(io.Discard, os.Stdin)
			os.Exit(exitFailed)
		}()
		main()
		return
	}
	os.Exit(m.Run())
}

// child is one process of cardamomhatch.
type child struct {
	t      *testing.T
	cmd    *exec.Cmd
	errors *lockedBuffer
	exited chan struct{}
}

// spawn starts a process and returns it with the groups of the first line of
// its output that matches ready.
func spawn(t *testing.T, ready string, args ...string) (*child, []string) {
	t.Helper()
	c := &child{t: t, cmd: exec.Command(os.Args[0], args...), errors: &lockedBuffer{}, exited: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), mainVariable+"=1")
	c.cmd.Stderr = c.errors
	if _, err := c.cmd.StdinPipe(); err != nil { // open until this process ends
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
				_ = c.cmd.Wait() // the exit code of a killed process says nothing
				close(c.exited)
			}()
			return c, found[1:]
		}
	}
	t.Fatalf("%q ended without %q: %s", args, ready, c.errors)
	return nil, nil
}

func (c *child) signal(s syscall.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *child) kill() {
	_ = c.cmd.Process.Kill() // it may have exited
	<-c.exited
}

// processMesh is a mesh of separate processes.
type processMesh struct {
	t         *testing.T
	log       *child
	nodes     []*child
	upstreams []*child
	callers   []string
	access    []string // flags of operator commands, with the first node
	operators []string
	key, id   string
	client    *http.Client
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

func startProcesses(t *testing.T, nodes int) *processMesh {
	t.Helper()
	dir := t.TempDir()
	f := &processMesh{t: t, client: &http.Client{Timeout: 10 * time.Second}}
	log, address := spawn(t, `log serves at (\S+)`, "log-standin")
	f.log = log
	hash := sha256.Sum256([]byte("token"))
	for i := range nodes {
		text := fmt.Sprintf(settingsText, address[0], hex.EncodeToString(hash[:]))
		text = strings.Replace(text, "host-1", fmt.Sprintf("host-%d", i+1), 1)
		settings := write(t, dir, fmt.Sprintf("node-%d.ini", i+1), text)
		node, at := spawn(t, `upstream at (\S+), callers at (\S+) and operators at (\S+)$`, "run", "--settings", settings)
		upstream, _ := spawn(t, `serves at (\S+)`, "upstream-standin", "--service", "shop", "--node", "http://"+at[0], "--median", "5ms")
		f.nodes = append(f.nodes, node)
		f.upstreams = append(f.upstreams, upstream)
		f.callers = append(f.callers, "http://"+at[1])
		f.operators = append(f.operators, "http://"+at[2])
	}
	token := write(t, dir, "token", "token\n")
	f.access = []string{"--token-file", token, "--operator"}
	plan := filepath.Join(dir, "plan.json")
	f.operate(0, "", "plan", write(t, dir, "mesh.ini", processesDeclaration), "--out", plan)
	f.operate(0, "", "confirm", plan)
	issued := f.operate(0, "y\n", "key", "issue", "anna")
	found := regexp.MustCompile(`(ch_([0-9a-f]+)_\S+)`).FindStringSubmatch(issued)
	if found == nil {
		t.Fatalf("no key in %q", issued)
	}
	f.key, f.id = found[1], found[2]
	for i := range f.callers {
		f.await(fmt.Sprintf("node %d serves", i+1), func() bool { return f.get(i) == http.StatusOK })
	}
	return f
}

// operate runs an operator command at one node.
func (f *processMesh) operate(node int, in string, args ...string) string {
	f.t.Helper()
	return command(f.t, exitDone, in, append(append(args, f.access...), f.operators[node])...)
}

// get calls an idempotent route and returns the status, 0 for no answer.
func (f *processMesh) get(node int) int {
	status, _ := f.call(node, http.MethodGet, "/items/1")
	return status
}

func (f *processMesh) call(node int, method, path string) (int, string) {
	request, err := http.NewRequest(method, f.callers[node]+path, bytes.NewReader(nil))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	answer, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(body)
}

// await polls a condition that must hold in the end.
func (f *processMesh) await(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within a minute: %s", what)
		}
	}
}

// Guards against a mesh that works only inside one process, and against callers
// that notice the loss of another host for longer than a retry hides it.
func TestKilledHost(t *testing.T) {
	f := startProcesses(t, 4)
	f.nodes[0].kill()
	f.upstreams[0].kill()
	f.await("ten calls in a row at the nodes that are left", func() bool {
		for i := range 10 {
			if f.get(1+i%3) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a frozen node that wakes up and admits a key that was withdrawn
// while it was frozen.
func TestSuspendedNodeRejectsWithdrawnKey(t *testing.T) {
	f := startProcesses(t, 4)
	f.nodes[3].signal(syscall.SIGSTOP)
	f.operate(0, "y\n", "key", "withdraw", f.id)
	time.Sleep(4 * time.Second) // longer than evidence lasts
	f.nodes[3].signal(syscall.SIGCONT)
	for range 20 {
		if status, body := f.call(3, http.MethodPost, "/orders"); status == http.StatusOK {
			t.Fatalf("an order was answered with the withdrawn key: %s", body)
		}
	}
	f.await("the node knows the withdrawal", func() bool {
		status, body := f.call(3, http.MethodGet, "/items/1")
		return status == http.StatusUnauthorized && strings.Contains(body, "key-withdrawn")
	})
}

// Guards against a mesh that stops with its log.
func TestKilledLog(t *testing.T) {
	f := startProcesses(t, 4)
	f.await("a panel of all nodes is in force", func() bool {
		status := f.operate(0, "", "status", "--json")
		return strings.Contains(status, `"settled": true`) && regexp.MustCompile(`"epoch": [1-9]\d*,\s+"settled": true,\s+"members": \[(\s+"host-\d",?){4}`).MatchString(status)
	})
	f.log.kill()
	time.Sleep(5 * time.Second) // longer than evidence from the log lasts
	f.await("40 calls in a row without the log", func() bool {
		for i := range 40 {
			if f.get(i%4) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a planned stop that cuts off a call or answers one with
// anything but a refusal that says it did not run.
func TestTerminatedNodeInterruptsNoCalls(t *testing.T) {
	f := startProcesses(t, 3)
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
			status, body := f.call(1+i%2, http.MethodPost, "/orders")
			if status != http.StatusOK && !strings.Contains(body, `"execution":"not-run"`) {
				ended <- fmt.Sprintf("call %d: status %d: %s", i, status, body)
				return
			}
		}
	}()
	f.nodes[0].signal(syscall.SIGTERM)
	<-f.nodes[0].exited
	close(stop)
	if failure := <-ended; failure != "" {
		t.Fatal(failure)
	}
}
