package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"time"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/examples"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/node"
	"cardamomhatch/internal/process"
	"cardamomhatch/internal/standin/upstream"
)

var cryptoRandom = rand.Reader

// Host is one host of the mesh: a node and the upstream beside it.
type Host struct {
	Name       mesh.Host
	DataCentre mesh.DataCentre
	Group      examples.UpstreamGroup
	Process    *process.Process
	Upstream   *upstream.Upstream
	Member     mesh.Member

	CallerURL   string
	OperatorURL string
	UpstreamURL string

	mesh   *Mesh
	server *http.Server
	cancel context.CancelFunc
	down   bool
}

// start starts a new incarnation of the host's node, and a new upstream.
func (h *Host) start() error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.Member = mesh.Member{
		Node:       mesh.NodeID{Host: h.Name, Incarnation: h.mesh.incarnation()},
		DataCentre: h.DataCentre, Service: h.Group.Service,
		PeerAddress:     listeners.Peers.Addr().String(),
		CallerAddress:   listeners.Callers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
	}
	cfg := process.Config{
		Self: h.Member, Seeds: h.seeds(), Listeners: listeners, Plain: !h.mesh.options.TLS,
		Log: h.mesh.client, Policy: h.mesh.options.Policy, Logger: h.mesh.options.Logger,
		Operators: h.mesh.options.Operators,
	}
	if _, err := cryptoRandom.Read(cfg.Seed[:]); err != nil {
		return err
	}
	if err := h.setTLS(&cfg.TLS); err != nil {
		return err
	}
	if h.Process, err = process.New(cfg); err != nil {
		return err
	}
	h.Process.Start()
	h.CallerURL = h.scheme() + h.Member.CallerAddress
	h.OperatorURL = "http://" + h.Member.OperatorAddress
	h.down = false
	return h.startUpstream("http://" + listeners.Local.Addr().String())
}

func (h *Host) scheme() string {
	if h.mesh.options.TLS {
		return "https://"
	}
	return "http://"
}

func (h *Host) setTLS(t *node.TLS) error {
	if h.mesh.authority == nil {
		return nil
	}
	var err error
	if t.Callers, err = h.mesh.authority.Server(h.Name); err != nil {
		return err
	}
	t.Peer, err = h.mesh.authority.Peer(h.Name)
	return err
}

func (h *Host) listen() (node.Listeners, error) {
	var l node.Listeners
	for _, target := range []*net.Listener{&l.Callers, &l.Local, &l.Peers, &l.Operators} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return l, err
		}
		*target = listener
	}
	return l, nil
}

// maxSeeds is the number of peers a node is given to start with.
const maxSeeds = 3

func (h *Host) seeds() []mesh.Member {
	var seeds []mesh.Member
	for _, other := range h.mesh.Hosts {
		if other != h && other.Process != nil && !other.down && len(seeds) < maxSeeds {
			seeds = append(seeds, other.Member)
		}
	}
	return seeds
}

func (h *Host) startUpstream(local string) error {
	cfg := upstream.Config{
		Service: h.Group.Service, Slots: h.Group.Slots, Connections: h.Group.Connections,
		Queue: 2 * h.Group.Slots, Median: 20 * time.Millisecond, Spread: 0.3,
		Node: local, Name: string(h.Name), Seed: h.mesh.options.Seed + uint64(len(h.Name)),
	}
	for _, e := range h.mesh.Declaration.Edges {
		if e.From == h.Group.Service {
			cfg.Downstream = append(cfg.Downstream, upstream.Call{Service: e.To, Path: "/" + string(e.To), Count: e.CallsPerParent})
		}
	}
	if h.mesh.options.Upstream != nil {
		h.mesh.options.Upstream(&cfg)
	}
	h.Upstream = upstream.New(cfg)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	h.UpstreamURL = "http://" + address
	var handler http.Handler = h.Upstream
	if h.mesh.options.Serve != nil {
		handler = h.mesh.options.Serve(h, handler)
	}
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.server.Serve(listener) }() // ends with Close
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.Upstream.Announce(ctx, h.UpstreamURL)
	return nil
}

// Ready reports whether the node serves: it is configured, knows all nodes, and
// its own upstream takes work.
func (h *Host) Ready(nodes int) bool {
	ready := false
	h.Process.View(func(n *engine.Node) { ready = n.Serving(nodes) })
	return ready
}

// Stop stops the node gracefully, then the upstream.
func (h *Host) Stop(ctx context.Context) error {
	if h.down {
		return nil
	}
	err := h.Process.Stop(ctx)
	h.Kill()
	return err
}

// Kill ends the node and the upstream at once.
func (h *Host) Kill() {
	if h.down || h.Process == nil {
		return
	}
	h.down = true
	h.Process.Kill()
	if h.cancel != nil {
		h.cancel()
	}
	if h.server != nil {
		_ = h.server.Close() // only closes sockets
	}
}

// Restart starts a new incarnation after Kill or Stop.
func (h *Host) Restart() error {
	if !h.down {
		return fmt.Errorf("host %s is running", h.Name)
	}
	return h.start()
}
