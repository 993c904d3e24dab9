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

// Host is one host of the mesh: a node and its local upstream.
type Host struct {
	Name          mesh.Host
	DataCentre    mesh.DataCentre
	UpstreamGroup examples.UpstreamGroup
	Process       *process.Process
	Upstream      *upstream.Upstream
	Member        mesh.Member

	CallerURL   string
	OperatorURL string
	UpstreamURL string

	mesh           *Mesh
	upstreamServer *http.Server
	stopAnnouncing context.CancelFunc
	stopped        bool
}

// start starts a new incarnation of the node on new addresses, and a new upstream.
func (h *Host) start() error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.Member = mesh.Member{
		Node:       mesh.NodeID{Host: h.Name, Incarnation: h.mesh.newIncarnation()},
		DataCentre: h.DataCentre, Service: h.UpstreamGroup.Service,
		PeerAddress:     listeners.Peers.Addr().String(),
		CallerAddress:   listeners.Callers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
	}
	cfg := process.Config{
		Self: h.Member, Seeds: h.seeds(), Listeners: listeners, AllowPlaintext: !h.mesh.options.TLS,
		Log: h.mesh.client, Policy: h.mesh.options.Policy, Logger: h.mesh.options.Logger,
		NewOperatorHandler: h.mesh.options.NewOperatorHandler,
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
	h.stopped = false
	return h.startUpstream("http://" + listeners.Local.Addr().String())
}

func (h *Host) scheme() string {
	if h.mesh.options.TLS {
		return "https://"
	}
	return "http://"
}

// setTLS configures the caller and peer listeners if the mesh uses TLS.
func (h *Host) setTLS(t *node.TLS) error {
	if h.mesh.authority == nil {
		return nil
	}
	var err error
	if t.Callers, err = h.mesh.authority.ServerConfig(h.Name); err != nil {
		return err
	}
	t.Peer, err = h.mesh.authority.PeerConfig(h.Name)
	return err
}

func (h *Host) listen() (node.Listeners, error) {
	var l node.Listeners
	for _, field := range []*net.Listener{&l.Callers, &l.Local, &l.Peers, &l.Operators} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return l, err
		}
		*field = listener
	}
	return l, nil
}

// maxSeeds limits the number of peers that a starting node is given as seeds.
const maxSeeds = 3

// seeds returns the first running hosts other than h.
func (h *Host) seeds() []mesh.Member {
	var seeds []mesh.Member
	for _, other := range h.mesh.Hosts {
		if other != h && other.Process != nil && !other.stopped && len(seeds) < maxSeeds {
			seeds = append(seeds, other.Member)
		}
	}
	return seeds
}

// startUpstream starts the upstream and its announcements to the node, whose local
// listener is at localURL.
func (h *Host) startUpstream(localURL string) error {
	// upstream.New derives the random sequence from Seed and Name, so that hosts with the
	// same Seed have different sequences.
	cfg := upstream.Config{
		Service: h.UpstreamGroup.Service, Slots: h.UpstreamGroup.Slots, Connections: h.UpstreamGroup.Connections,
		Queue: 2 * h.UpstreamGroup.Slots, Median: 20 * time.Millisecond, Spread: 0.3,
		Node: localURL, Name: string(h.Name), Seed: h.mesh.options.Seed + uint64(len(h.Name)),
	}
	for _, e := range h.mesh.Declaration.Edges {
		if e.From == h.UpstreamGroup.Service {
			cfg.Downstream = append(cfg.Downstream, upstream.Call{Service: e.To, Path: "/" + string(e.To), Count: e.CallsPerParent})
		}
	}
	if h.mesh.options.ConfigureUpstream != nil {
		h.mesh.options.ConfigureUpstream(&cfg)
	}
	h.Upstream = upstream.New(cfg)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	h.UpstreamURL = "http://" + address
	var handler http.Handler = h.Upstream
	if h.mesh.options.WrapUpstream != nil {
		handler = h.mesh.options.WrapUpstream(h, handler)
	}
	h.upstreamServer = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.upstreamServer.Serve(listener) }() // returns after Close
	ctx, cancel := context.WithCancel(context.Background())
	h.stopAnnouncing = cancel
	go h.Upstream.Announce(ctx, h.UpstreamURL)
	return nil
}

// Ready reports whether the node can serve calls of every workspace in a mesh of at
// least the given number of nodes.
func (h *Host) Ready(nodes int) bool {
	ready := false
	h.Process.View(func(n *engine.Node) { ready = n.Serving(nodes) })
	return ready
}

// Stop stops the node gracefully, then the upstream.
func (h *Host) Stop(ctx context.Context) error {
	if h.stopped {
		return nil
	}
	err := h.Process.Stop(ctx)
	h.Kill()
	return err
}

// Kill stops the node and the upstream immediately.
func (h *Host) Kill() {
	if h.stopped || h.Process == nil {
		return
	}
	h.stopped = true
	h.Process.Kill()
	if h.stopAnnouncing != nil {
		h.stopAnnouncing()
	}
	if h.upstreamServer != nil {
		_ = h.upstreamServer.Close() // only closes sockets
	}
}

// Restart starts a new incarnation after Kill or Stop.
func (h *Host) Restart() error {
	if !h.stopped {
		return fmt.Errorf("host %s is running", h.Name)
	}
	return h.start()
}
