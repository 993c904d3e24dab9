package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cardamomhatch/internal/logservice"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/node"
	"cardamomhatch/internal/operator"
	"cardamomhatch/internal/process"
	"cardamomhatch/internal/settings"
)

type runCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings of this node."`
}

// Run runs one node until SIGINT or SIGTERM, then shuts it down gracefully.
func (c *runCommand) Run(ctx context.Context, s *streams) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	nodeSettings, err := settings.Parse(filepath.Base(c.Settings), data)
	if err != nil {
		return err
	}
	p, err := newProcess(nodeSettings)
	if err != nil {
		return err
	}
	p.Start()
	fmt.Fprintf(s.out, "node %s serves its upstream at %s, callers at %s and operators at %s\n",
		p.Self.Node, p.LocalAddress, p.Self.CallerAddress, p.Self.OperatorAddress)
	if nodeSettings.Unset != "" {
		fmt.Fprintf(s.out, "settings without a value, which count as not set: %s\n", nodeSettings.Unset)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(p.Stop(stopCtx), "stop the node")
}

func newProcess(nodeSettings settings.Settings) (*process.Process, error) {
	tlsConfig, transport, err := readTLS(nodeSettings)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(nodeSettings)
	if err != nil {
		return nil, err
	}
	cfg := process.Config{
		Self: mesh.Member{
			Node:       mesh.NodeID{Host: nodeSettings.Host, Incarnation: newIncarnation()},
			DataCentre: nodeSettings.DataCentre, Service: nodeSettings.Service,
			PeerAddress:     listeners.Peers.Addr().String(),
			CallerAddress:   listeners.Callers.Addr().String(),
			OperatorAddress: listeners.Operators.Addr().String(),
		},
		Seeds: seeds(nodeSettings), Listeners: listeners, TLS: tlsConfig, AllowPlaintext: nodeSettings.InsecureLoopback,
		Log: logservice.NewHTTPClient(nodeSettings.LogURL, transport), Logger: newLogger(),
	}
	rand.Read(cfg.Seed[:]) // crypto/rand does not fail
	var handlerErr error
	cfg.NewOperatorHandler = func(p *process.Process) http.Handler {
		var h http.Handler
		h, handlerErr = operator.New(operator.Config{
			Node: p, Self: p.Self.Node, TokenHash: nodeSettings.OperatorTokenHash, Metrics: p.Metrics, Random: rand.Reader,
		})
		return h
	}
	p, err := process.New(cfg) // calls NewOperatorHandler
	if err == nil {
		err = handlerErr
	}
	return p, err
}

// seeds returns the seed nodes of the settings as members. Only their addresses are known; the
// incarnations are placeholders that make the IDs distinct.
func seeds(nodeSettings settings.Settings) []mesh.Member {
	members := make([]mesh.Member, len(nodeSettings.Seeds))
	for i, address := range nodeSettings.Seeds {
		members[i] = mesh.Member{Node: mesh.NodeID{Incarnation: mesh.Incarnation(i + 1)}, PeerAddress: address.String()}
	}
	return members
}

// newIncarnation returns a random incarnation.
func newIncarnation() mesh.Incarnation {
	var b [8]byte
	rand.Read(b[:])                                               // crypto/rand does not fail
	return mesh.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1) // zero is not a valid incarnation
}

// listen opens the listeners of a node. It rejects unspecified addresses, because the
// addresses of all but the local listener are announced to other hosts.
func listen(nodeSettings settings.Settings) (l node.Listeners, err error) {
	specs := []listenerSpec{
		{"callers", nodeSettings.Callers, &l.Callers},
		{"local", nodeSettings.Local, &l.Local},
		{"peers", nodeSettings.Peers, &l.Peers},
		{"operators", nodeSettings.Operators, &l.Operators},
	}
	for _, spec := range specs {
		if spec.address.Addr().IsUnspecified() {
			return l, errors.Errorf("listener for %s: %s is an unspecified address, to which other hosts cannot connect", spec.name, spec.address)
		}
	}
	err = openListeners(specs)
	return l, err
}

// listenerSpec describes a listener to open and the variable to store it in.
type listenerSpec struct {
	name     string
	address  netip.AddrPort
	listener *net.Listener
}

// openListeners opens all listeners. If one fails, it closes the others.
func openListeners(specs []listenerSpec) error {
	for i, spec := range specs {
		l, err := net.Listen("tcp", spec.address.String())
		if err != nil {
			for _, opened := range specs[:i] {
				(*opened.listener).Close()
			}
			return errors.Wrapf(err, "listener for %s", spec.name)
		}
		*spec.listener = l
	}
	return nil
}

// readTLS returns the TLS configuration of the listeners and the transport for the
// log service, whose certificate is verified with the same CA. Without a certificate
// in the settings, both use plain text.
func readTLS(nodeSettings settings.Settings) (node.TLS, *http.Transport, error) {
	if nodeSettings.TLSCert == "" {
		return node.TLS{}, &http.Transport{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(nodeSettings.TLSCert, nodeSettings.TLSKey)
	if err != nil {
		return node.TLS{}, nil, errors.Wrap(err, "load the node's certificate")
	}
	pool, err := readCertPool(nodeSettings.TLSCA)
	if err != nil {
		return node.TLS{}, nil, err
	}
	server := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	peer := server.Clone()
	peer.RootCAs, peer.ClientCAs = pool, pool // the node sets ClientAuth for its peer listener
	client := &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return node.TLS{Callers: server, Operators: server, Peer: peer}, &http.Transport{TLSClientConfig: client}, nil
}
