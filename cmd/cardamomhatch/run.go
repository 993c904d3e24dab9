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

// Run serves one node until SIGINT or SIGTERM, then stops it gracefully.
func (c *runCommand) Run(ctx context.Context, s *streams) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	set, err := settings.Parse(filepath.Base(c.Settings), data)
	if err != nil {
		return err
	}
	p, err := newProcess(set)
	if err != nil {
		return err
	}
	p.Start()
	fmt.Fprintf(s.out, "node %s serves its upstream at %s, callers at %s and operators at %s\n",
		p.Self.Node, p.LocalAddress, p.Self.CallerAddress, p.Self.OperatorAddress)
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(p.Stop(stop), "stop the node")
}

func newProcess(set settings.Settings) (*process.Process, error) {
	secure, transport, err := readTLS(set)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(set)
	if err != nil {
		return nil, err
	}
	cfg := process.Config{
		Self: mesh.Member{
			Node:       mesh.NodeID{Host: set.Host, Incarnation: incarnation()},
			DataCentre: set.DataCentre, Service: set.Service,
			PeerAddress:     listeners.Peers.Addr().String(),
			CallerAddress:   listeners.Callers.Addr().String(),
			OperatorAddress: listeners.Operators.Addr().String(),
		},
		Seeds: seeds(set), Listeners: listeners, TLS: secure, AllowPlaintext: set.InsecureLoopback,
		Log: logservice.NewHTTPClient(set.LogAddress, transport), Logger: newLogger(),
	}
	rand.Read(cfg.Seed[:]) // crypto/rand does not fail
	var failure error
	cfg.NewOperatorHandler = func(p *process.Process) http.Handler {
		var h http.Handler
		h, failure = operator.New(operator.Config{
			Node: p, Self: p.Self.Node, TokenHash: set.OperatorTokenHash, Metrics: p.Metrics, Random: rand.Reader,
		})
		return h
	}
	p, err := process.New(cfg)
	if err == nil {
		err = failure
	}
	return p, err
}

// seeds are known by address alone. Their incarnations are placeholders that
// tell them apart.
func seeds(set settings.Settings) []mesh.Member {
	members := make([]mesh.Member, len(set.Seeds))
	for i, address := range set.Seeds {
		members[i] = mesh.Member{Node: mesh.NodeID{Incarnation: mesh.Incarnation(i + 1)}, PeerAddress: address.String()}
	}
	return members
}

func incarnation() mesh.Incarnation {
	var b [8]byte
	rand.Read(b[:])                                               // crypto/rand does not fail
	return mesh.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1) // zero names no incarnation
}

func listen(set settings.Settings) (l node.Listeners, err error) {
	specs := []listenerSpec{
		{"callers", set.Callers, &l.Callers},
		{"local", set.Local, &l.Local},
		{"peers", set.Peers, &l.Peers},
		{"operators", set.Operators, &l.Operators},
	}
	for _, one := range specs {
		if one.address.Addr().IsUnspecified() {
			return l, errors.Errorf("listener for %s: %s names no interface that other hosts could be told", one.name, one.address)
		}
	}
	err = openListeners(specs)
	return l, err
}

// listenerSpec is one listener of a node and where it is put.
type listenerSpec struct {
	name    string
	address netip.AddrPort
	target  *net.Listener
}

// openListeners opens all listeners, or none.
func openListeners(specs []listenerSpec) error {
	for i, one := range specs {
		l, err := net.Listen("tcp", one.address.String())
		if err != nil {
			for _, opened := range specs[:i] {
				(*opened.target).Close()
			}
			return errors.Wrapf(err, "listener for %s", one.name)
		}
		*one.target = l
	}
	return nil
}

// readTLS returns the security of the listeners and the transport to the log
// service, which is trusted by the same CA.
func readTLS(set settings.Settings) (node.TLS, http.RoundTripper, error) {
	if set.TLSCert == "" {
		return node.TLS{}, &http.Transport{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(set.TLSCert, set.TLSKey)
	if err != nil {
		return node.TLS{}, nil, errors.Wrap(err, "certificate of the node")
	}
	pool, err := readPool(set.TLSCA)
	if err != nil {
		return node.TLS{}, nil, err
	}
	server := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	peer := server.Clone()
	peer.RootCAs, peer.ClientCAs = pool, pool
	client := &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return node.TLS{Callers: server, Operators: server, Peer: peer}, &http.Transport{TLSClientConfig: client}, nil
}
