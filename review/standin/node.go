package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the page on deployments shows them.
const (
	drainTime = 2 * time.Second
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
)

// Node is one process of the system beside a backend.
type Node struct {
	Name, Zone, Service                           string
	Outbound, Inbound, Control, Ready, MetricsURL string
	Backend                                       *Backend
	command                                       *exec.Cmd
	ended                                         chan struct{}
	settings                                      string
}

// program is the one that the deploy file builds and runs.
const program = "target/cardamomhatch"

// writeSettings renders the settings of a node as the template in deploy/ does.
func (n *Node) writeSettings(dir, store string) {
	text := fmt.Sprintf(`[node]
host = %s
data_centre = %s
service = %s
upstream = %s

[listen]
callers = %s
peers = %s
announcements = %s
ready = %s
metrics = %s

[store]
address = %s

[terms]
heartbeat = 1500ms
drain = %s
grace = %s
retry_ratio = 0.2
retry_allowance = 48
retry_window = 10s
quota_window = 5s
quota_overage = 0.1
quota_slack = 20
`, n.Name, n.Zone, n.Service, n.Backend.Address, n.Outbound, n.Inbound, n.Control, n.Ready, n.MetricsURL, store, drainTime, grace)
	n.settings = filepath.Join(dir, n.Name+".ini")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		unable("write settings: %v", err)
	}
}

// start starts the process with the command of the deploy file.
func (n *Node) start(dir string) {
	log, err := os.Create(filepath.Join(dir, n.Name+".log"))
	if err != nil {
		unable("create log: %v", err)
	}
	n.command = exec.Command(program, "serve")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMHATCH_SETTINGS=" + n.settings, "GOGC=50"}
	n.command.Stdout, n.command.Stderr = log, log
	// The kernel ends the process if this program dies.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		unable("start %s: %v", program, err)
	}
	n.ended = make(chan struct{})
	go func() {
		n.command.Wait()
		log.Close()
		close(n.ended)
	}()
}

func (n *Node) signal(s syscall.Signal) { n.command.Process.Signal(s) }

// kill ends the process if it still runs.
func (n *Node) kill() {
	select {
	case <-n.ended:
	default:
		n.command.Process.Signal(syscall.SIGCONT)
		n.command.Process.Kill()
		<-n.ended
	}
}

// ready asks the node once, as the platform does.
func (n *Node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.Ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pollReady asks the node once a second, as the platform does, and records changes.
func (n *Node) pollReady(r *Record, stop <-chan struct{}) {
	last := "200"
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		now := "no 200"
		if n.ready() {
			now = "200"
		}
		if now != last {
			r.add(event{Kind: "readyz", At: time.Now(), Where: n.Name, Detail: now})
		}
		last = now
	}
}

// Mesh is a deployment.
type Mesh struct {
	Dir    string
	Store  *Store
	Nodes  []*Node
	Record *Record

	network string // the first three bytes of the loopback addresses
}

// add adds a machine with a backend and a node beside it. Each machine has a loopback address
// of its own, and the ports are the same on all machines.
func (m *Mesh) add(service, zone string, slots int) *Node {
	name := fmt.Sprintf("sidecar-%s-%d", zone, len(m.Nodes)+1)
	at := func(port int) string { return fmt.Sprintf("%s.%d:%d", m.network, len(m.Nodes)+1, port) }
	b := startBackend(&Backend{ID: fmt.Sprintf("i-%04x", 0x7000+len(m.Nodes)), Service: service, Zone: zone, Address: at(8485), Slots: slots, Queue: 60, Record: m.Record})
	n := &Node{
		Name: name, Zone: zone, Service: service, Backend: b,
		Outbound: at(8488), Inbound: at(8487), Control: at(8480), Ready: at(8484), MetricsURL: at(7015),
	}
	m.Nodes = append(m.Nodes, n)
	return n
}

func newMesh(record *Record) *Mesh {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("make a folder: %v", err)
	}
	// Two runs at a time use different networks.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
	m := &Mesh{Dir: dir, Store: startStore(network + ".250:8482"), Record: record, network: network}
	running.Store(m)
	return m
}

// start starts all nodes and waits until all are ready and serve.
func (m *Mesh) start(c config) {
	m.put(c)
	for _, n := range m.Nodes {
		n.writeSettings(m.Dir, m.Store.Address)
		n.start(m.Dir)
		n.Backend.announceTo(n.Control)
	}
	end := time.Now().Add(15 * time.Second)
	for _, n := range m.Nodes {
		for !n.ready() {
			if time.Now().After(end) {
				reason := lastLine(filepath.Join(m.Dir, n.Name+".log"))
				unable("node %s is not ready: %s", n.Name, reason)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines
}

// lastLine returns the last line of a log.
func lastLine(path string) string {
	data, _ := os.ReadFile(path)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(lines[len(lines)-1])
}

// stop ends all processes of the mesh.
func (m *Mesh) stop() {
	for _, n := range m.Nodes {
		if n.command != nil {
			n.kill()
		}
	}
	os.RemoveAll(m.Dir)
}

// config is what the operator writes.
type config struct {
	Version   int
	Resources []map[string]any
}

// put writes a configuration and returns the time of the store's acknowledgement.
func (m *Mesh) put(c config) time.Time {
	body, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", c.Version), "resources": c.Resources})
	m.Store.Put("keyed.op", "config", body)
	return time.Now()
}

type route struct {
	Host, Prefix, Type, Service string
	Timeout, Target             string
	Priority                    int
	Exempt                      bool
}

func (r route) resource(name string) map[string]any {
	return map[string]any{"entry_type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": r.Host, "path_prefix": r.Prefix, "route_type": r.Type, "timeout": r.Timeout, "target_latency": r.Target,
		"priority": r.Priority, "service": r.Service, "max_attempts": 2, "auth_exempt": r.Exempt,
	}}
}

func service(name string) map[string]any {
	return map[string]any{"entry_type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"health_path": "/healthz", "max_conns": 748, "protocol": "h1", "tls": false,
	}}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"entry_type": "tenants", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"api_keys": keys, "priority": 1, "rate_per_s": 500, "burst": 500,
	}}
}

func limits() map[string]any {
	return map[string]any{"entry_type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}}
}
