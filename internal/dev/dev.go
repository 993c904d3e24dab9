// Package dev runs a complete mesh in one process on loopback: nodes, stand-in
// upstreams and a stand-in log service. It is used by the dev command, the experiments
// and the integration tests. The nodes are the same as those of the run command.
package dev

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/admission"
	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/devtls"
	"cardamomhatch/internal/examples"
	"cardamomhatch/internal/keys"
	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/node"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/process"
	"cardamomhatch/internal/standin/logserver"
	"cardamomhatch/internal/standin/upstream"
)

// Options configures a mesh.
type Options struct {
	Deployment         string
	Declaration        *declaration.Mesh        // replaces that of the deployment if not nil
	Upstreams          []examples.UpstreamGroup // replaces those of the deployment if not nil
	Policy             admission.Policy
	Seed               uint64
	TLS                bool // use TLS on the caller and peer listeners
	Logger             node.Logger
	NewOperatorHandler func(*process.Process) http.Handler // nil: the operator API with Mesh.OperatorToken
	// ConfigureUpstream may change the configuration of a stand-in upstream; may be nil.
	ConfigureUpstream func(*upstream.Config)
	// WrapUpstream may wrap the handler of a host's upstream; may be nil.
	WrapUpstream func(*Host, http.Handler) http.Handler
	// LogDelay is added to every request to the log service.
	LogDelay time.Duration
	// AppendsPerSecond is the append limit of the log service; zero means its default.
	AppendsPerSecond int
}

// Mesh is a running mesh.
type Mesh struct {
	Declaration *declaration.Mesh
	Deployment  examples.Deployment
	Log         *logserver.Server
	LogURL      string
	Keys        map[mesh.Workspace]string // API key of each workspace
	Hosts       []*Host
	// OperatorToken authenticates requests to the operator listeners.
	OperatorToken string

	options   Options
	authority *devtls.Authority
	logServer *http.Server
	transport *http.Transport // of client
	client    logservice.Client
}

// Start starts a mesh and returns when every node can serve.
func Start(ctx context.Context, o Options) (*Mesh, error) {
	deployment, err := examples.Get(o.Deployment)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		Deployment: deployment, Declaration: o.Declaration, options: o,
		Keys: make(map[mesh.Workspace]string),
	}
	if o.Upstreams != nil {
		m.Deployment.Upstreams = o.Upstreams
	}
	if m.Declaration == nil {
		if m.Declaration, err = declaration.Parse(deployment.Declaration); err != nil {
			return nil, err
		}
	}
	if m.OperatorToken, err = newOperatorToken(); err != nil {
		return nil, err
	}
	if m.options.NewOperatorHandler == nil {
		m.options.NewOperatorHandler = m.newOperatorHandler
	}
	if o.TLS {
		if m.authority, err = devtls.New(); err != nil {
			return nil, err
		}
	}
	if err := m.start(ctx); err != nil {
		m.Kill()
		return nil, err
	}
	return m, nil
}

// operatorTokenBytes is the number of random bytes in an operator token.
const operatorTokenBytes = 32

func newOperatorToken() (string, error) {
	var b [operatorTokenBytes]byte
	_, err := cryptoRandom.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

func (m *Mesh) newOperatorHandler(p *process.Process) http.Handler {
	h, err := operator.New(operator.Config{
		Node: p, Self: p.Self.Node, TokenHash: operator.HashToken(m.OperatorToken), Metrics: p.Metrics, Random: cryptoRandom,
	})
	if err != nil {
		panic(err) // cannot happen: every field is set
	}
	return h
}

func (m *Mesh) start(ctx context.Context) error {
	if err := m.startLog(); err != nil {
		return err
	}
	if err := m.configure(ctx); err != nil {
		return err
	}
	for _, group := range m.Deployment.Upstreams {
		for i := range group.Count {
			name := mesh.Host(fmt.Sprintf("%s-%d", group.Service, i+1))
			dataCentre := m.Deployment.DataCentres[i%len(m.Deployment.DataCentres)]
			h := &Host{Name: name, DataCentre: dataCentre, UpstreamGroup: group, mesh: m}
			m.Hosts = append(m.Hosts, h)
			if err := h.start(); err != nil {
				return errors.Wrapf(err, "host %s", name)
			}
		}
	}
	return m.awaitServing(ctx)
}

// pooledHosts is the number of hosts for which idle connections to the log service are
// kept open.
const pooledHosts = 32

func (m *Mesh) startLog() error {
	m.Log = logserver.New(logserver.Config{AppendsPerSecond: m.options.AppendsPerSecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.LogURL = "http://" + listener.Addr().String()
	m.logServer = &http.Server{Handler: m.Log.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.logServer.Serve(listener) }() // returns after Close
	// Every node may have a read and an append in flight.
	m.transport = &http.Transport{MaxIdleConnsPerHost: 2 * pooledHosts}
	m.client = logservice.NewHTTPClient(m.LogURL, m.transport)
	return m.Log.SetFault(logserver.Fault{DelayMs: int(m.options.LogDelay.Milliseconds())})
}

// configure appends the declaration and one key per workspace to the log before the
// first node starts. In a fleet, operators do this through the operator API.
func (m *Mesh) configure(ctx context.Context) error {
	state := config.New()
	plan, err := config.Plan(state, m.Declaration)
	if err != nil {
		return err
	}
	if err := m.appendRecord(ctx, state, func(h config.Header) ([]byte, error) { return config.NewChange(h, plan) }); err != nil {
		return err
	}
	for workspace := range m.Declaration.Workspaces {
		secret, record, err := keys.Issue(cryptoRandom, workspace)
		if err != nil {
			return err
		}
		m.Keys[workspace] = secret
		key := config.Key{ID: string(record.ID), Hash: record.Hash, Workspace: workspace}
		issued := func(h config.Header) ([]byte, error) { return config.NewKeyIssued(h, key) }
		if err := m.appendRecord(ctx, state, issued); err != nil {
			return err
		}
	}
	return nil
}

// appendRecord appends a configuration record to the log and folds it into state.
func (m *Mesh) appendRecord(ctx context.Context, state *config.State, build func(config.Header) ([]byte, error)) error {
	token, err := config.NewToken(cryptoRandom)
	if err != nil {
		return err
	}
	by := mesh.NodeID{Host: "dev", Incarnation: 1}
	data, err := build(config.Header{Token: token, By: by, At: time.Now(), After: state.Offset()})
	if err != nil {
		return err
	}
	offset, err := m.client.Append(ctx, config.Stream, data)
	if err != nil {
		return errors.Wrap(err, "append a configuration record")
	}
	if v := state.Fold(offset, data); v.Kind != config.Accepted {
		return errors.Errorf("configuration record %d was not accepted: %s", offset, v)
	}
	return nil
}

// serveTimeout limits the time that the nodes may take to become ready.
const serveTimeout = 30 * time.Second

// awaitServing waits until every node can serve every workspace.
func (m *Mesh) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for _, h := range m.Hosts {
		for !h.Ready(len(m.Hosts)) {
			select {
			case <-ctx.Done():
				return errors.Errorf("host %s does not serve after %s", h.Name, serveTimeout)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Stop stops all nodes gracefully; no request is cut off unless ctx ends. Services stop
// after their callers, because calls in flight still need the services that they call.
func (m *Mesh) Stop(ctx context.Context) error {
	var firstErr error
	for _, hosts := range m.layers() {
		if err := stopHosts(ctx, hosts); firstErr == nil {
			firstErr = err
		}
	}
	m.Kill()
	return firstErr
}

func stopHosts(ctx context.Context, hosts []*Host) error {
	var wait sync.WaitGroup
	failures := make([]error, len(hosts))
	for i, h := range hosts {
		wait.Go(func() { failures[i] = h.Stop(ctx) })
	}
	wait.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// layers groups the hosts by the length of the longest chain of declared calls that
// leads to their service. The declared call graph has no cycle.
func (m *Mesh) layers() [][]*Host {
	depth := make(map[mesh.Service]int)
	for range m.Declaration.Services {
		for _, e := range m.Declaration.Edges {
			depth[e.To] = max(depth[e.To], depth[e.From]+1)
		}
	}
	layers := make([][]*Host, len(m.Declaration.Services)+1)
	for _, h := range m.Hosts {
		d := depth[h.UpstreamGroup.Service]
		layers[d] = append(layers[d], h)
	}
	return layers
}

// Kill stops all nodes, upstreams and the log service immediately.
func (m *Mesh) Kill() {
	for _, h := range m.Hosts {
		h.Kill()
	}
	if m.logServer != nil {
		_ = m.logServer.Close() // only closes sockets
		m.transport.CloseIdleConnections()
	}
}

// Host returns the host of that name, or nil.
func (m *Mesh) Host(name mesh.Host) *Host {
	for _, h := range m.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// newIncarnation returns a random incarnation that is not zero.
func (m *Mesh) newIncarnation() mesh.Incarnation {
	var b [8]byte
	_, _ = cryptoRandom.Read(b[:]) // crypto/rand does not fail
	return mesh.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}
