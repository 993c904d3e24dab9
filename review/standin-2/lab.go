// Command standin-2 plays the cases of the second review: it starts nodes of cardamomhatch
// as separate processes on loopback addresses, with stand-ins for the platform's store, the
// back ends and the clients in its own process, and checks one rule per case.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseLimit is the longest time that a case may take, in which it also has to end its
// processes.
const caseLimit = 110 * time.Second

// Names of one deployment. A route has the host of the deployment.
const (
	host      = "shop.example"
	tenantKey = "k3y5wsjnbanfqasnm"
	tenant    = "pulo780"
)

// Lab is one small deployment with its record.
type Lab struct {
	Trouble bool // play the disruption
	Store   *Store
	Brief   bool // leave out lines that say when a request was sent, and when its run ended

	start  time.Time
	dir    string // temporary: settings files and logs of the nodes
	subnet string // the first three numbers of the loopback addresses
	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Node is one process of cardamomhatch, and the addresses of its machine.
type Node struct {
	lab     *Lab
	Name    string
	Service string
	Zone    string
	IP      string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// App returns the address of the back end of the machine.
func (n *Node) App() string { return n.IP + ":8547" }

// Outbound returns the address for the clients of the machine.
func (n *Node) Outbound() string { return n.IP + ":8548" }

// Control returns the address for the heartbeats of the back end of the machine.
func (n *Node) Control() string { return n.IP + ":8540" }

// cannotRun ends the case with exit code 2.
type cannotRun struct{ reason string }

// Fail ends the case because it cannot run.
func (l *Lab) Fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// Log writes a line with the time since the start of the case to the record.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// Detail writes a line that Brief leaves out.
func (l *Lab) Detail(format string, args ...any) {
	if !l.Brief {
		l.Log(format, args...)
	}
}

// newLab finds free loopback addresses and starts the store.
func newLab(recordPath string) (*Lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), dir: dir, record: record}
	for range 50 {
		l.subnet = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", l.subnet+"9:8545")
		if err != nil {
			continue
		}
		listener.Close()
		l.Store = newStore(l)
		return l, nil
	}
	return nil, fmt.Errorf("no free loopback address for the store")
}

// AddNode adds a machine. Start starts its process.
func (l *Lab) AddNode(service, zone string) *Node {
	n := &Node{lab: l, Name: fmt.Sprintf("sidecar-%s-%d", zone, len(l.nodes)+1), Service: service, Zone: zone,
		IP: l.subnet + strconv.Itoa(11+len(l.nodes))}
	l.nodes = append(l.nodes, n)
	listener, err := net.Listen("tcp", n.Store())
	if err != nil {
		l.Fail("%v", err)
	}
	go func() { _ = http.Serve(listener, l.Store) }() // ends with the process
	return n
}

// Store returns the address at which the machine reaches the store. Each machine has its own.
func (n *Node) Store() string {
	_, number, _ := strings.Cut(n.IP, n.lab.subnet)
	return n.lab.subnet + "9:85" + number
}

// values returns the settings of a process, by the names that the template uses.
func (n *Node) values() map[string]string {
	return map[string]string{
		"node_name": n.Name, "zone": n.Zone, "service": n.Service, "app_addr": n.App(), "ip": n.IP,
		"listen.outbound": n.Outbound(), "listen.inbound": n.IP + ":8543", "listen.control": n.Control(), "listen.ready_addr": n.IP + ":8546",
		"platform.address": n.Store(), "heartbeat": heartbeatInterval.String(),
		"bounds.drain": drain.String(), "bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "48", "bounds.budget_window": "10s",
		"bounds.quota_window": "5s", "bounds.quota_overage": "0.1", "bounds.quota_slack": "20",
	}
}

var placeholder = regexp.MustCompile(`\{\{([#/]?)([a-z_.]+)\}\}`)

// render fills in the template of the deploy file. All values are present, so sections are
// rendered once.
func render(template string, values map[string]string) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		if m[1] != "" {
			return ""
		}
		return values[m[2]]
	})
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() {
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		n.lab.Fail("%v", err)
	}
	settings := filepath.Join(n.lab.dir, n.Name+".ini")
	if err := os.WriteFile(settings, []byte(render(string(template), n.values())), 0o600); err != nil {
		n.lab.Fail("%v", err)
	}
	out, err := os.OpenFile(filepath.Join(n.lab.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.lab.Fail("%v", err)
	}
	cmd := exec.Command("target/cardamomhatch", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50", "CARDAMOMHATCH_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the case is killed
	if err := cmd.Start(); err != nil {
		n.lab.Fail("start %s: %v", n.Name, err)
	}
	done := make(chan struct{})
	n.lab.mu.Lock()
	n.cmd, n.done = cmd, done
	n.lab.mu.Unlock()
	n.lab.Log("%s starts, process %d, service %s, %s", n.Name, cmd.Process.Pid, n.Service, n.IP)
	go func() {
		err := cmd.Wait()
		n.lab.Log("%s, process %d, has ended: %v", n.Name, cmd.Process.Pid, err)
		close(done)
	}()
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.lab.Log("%s gets the signal %q", n.Name, s)
	_ = n.cmd.Process.Signal(s) // an error means that it has ended
}

// AwaitReady waits until every started node says that it is ready.
func (l *Lab) AwaitReady() {
	for _, n := range l.nodes {
		deadline := time.Now().Add(10 * time.Second)
		for n.cmd != nil {
			response, err := http.Get("http://" + n.IP + ":8546/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				l.Fail("%s is not ready: %v", n.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the temporary folder.
func (l *Lab) close() {
	for _, n := range l.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(l.dir, keep)
	}
	_ = os.RemoveAll(l.dir)
	l.record.Close()
}

// scenario plays a case and returns the violations of its rule.
type scenario func(l *Lab) (violations []string)

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO RECORD")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, recordPath string) (code int) {
	l, err := newLab(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	timer := time.AfterFunc(caseLimit, func() {
		l.Log("the case takes too long")
		for _, n := range l.nodes {
			if n.cmd != nil {
				_ = n.cmd.Process.Kill()
			}
		}
		os.Exit(2)
	})
	defer timer.Stop()
	defer func() {
		if p := recover(); p != nil {
			failure, ok := p.(cannotRun)
			if !ok {
				failure.reason = fmt.Sprint(p)
			}
			l.Log("the case could not run: %s", failure.reason)
			fmt.Fprintln(os.Stderr, "the case could not run:", failure.reason)
			code = 2
		}
	}()
	l.Log("disruption: %t", l.Trouble)
	violations := s(l)
	for _, v := range violations {
		l.Log("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	if len(violations) > 0 {
		return 1
	}
	l.Log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind, service, timeout, target string
	exempt                                       bool
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, services []string) string {
	var resources []string
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(`{"entry_type":"routes","metadata":{"name":%q},"spec":{"host":%q,"path_prefix":%q,"route_type":%q,"timeout":%q,"target_latency":%q,"priority":1,"service":%q,"max_attempts":2,"auth_exempt":%t}}`,
			r.name, host, r.prefix, r.kind, r.timeout, r.target, r.service, r.exempt))
	}
	for _, s := range services {
		resources = append(resources, fmt.Sprintf(`{"entry_type":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_conns":748,"protocol":"h1","tls":false}}`, s))
	}
	resources = append(resources,
		fmt.Sprintf(`{"entry_type":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"priority":1,"rate_per_s":0,"burst":0}}`, tenant, tenantKey),
		`{"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`)
	return fmt.Sprintf(`{"version":"%08x","resources":[%s]}`, version, strings.Join(resources, ","))
}
