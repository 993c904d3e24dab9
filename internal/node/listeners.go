package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/engine"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
	"cardamomhatch/internal/peer"
)

const (
	ticketPath        = "/.cardamomhatch/ticket"
	announcePath      = "/announce"
	childPrefix       = "/call/"
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// servers are the HTTP servers of a node and the listeners they accept on.
type servers struct {
	callers, local, peers, operators *server
}

type server struct {
	http     *http.Server
	listener net.Listener
	sockets  gracefulListener // below TLS
}

func newServer(l net.Listener, config *tls.Config, h http.Handler) *server {
	if l == nil {
		return nil
	}
	sockets := gracefulListener{l}
	l = sockets
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &server{listener: l, sockets: sockets, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout, // the connecting side closes first
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         http1(),
		ErrorLog:          discardStandardLogger(), // its lines can contain URLs
	}}
}

// Start serves on the listeners and starts the loops. It does not block.
func (n *Node) Start() {
	l, t := n.cfg.Listeners, n.cfg.TLS
	n.servers = servers{
		callers:   newServer(l.Callers, t.Callers, http.HandlerFunc(n.serveCaller)),
		local:     newServer(l.Local, nil, n.localMux()),
		peers:     newServer(l.Peers, peerServerTLS(t.Peer), http.HandlerFunc(n.servePeer)),
		operators: newServer(l.Operators, t.Operators, n.cfg.Operators),
	}
	for _, s := range n.servers.all() {
		go func() { _ = s.http.Serve(s.listener) }() // ends when the node stops
	}
	n.loop(n.tick)
	if n.cfg.Log != nil {
		n.loop(n.readLog)
		n.loop(n.runAppends)
	}
}

// peerServerTLS demands a certificate of every peer.
func peerServerTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	c := config.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c
}

func (s *servers) all() []*server {
	out := make([]*server, 0, 4)
	for _, one := range []*server{s.callers, s.local, s.operators, s.peers} {
		if one != nil {
			out = append(out, one)
		}
	}
	return out
}

// serveCaller handles every request on the caller listener.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/") || r.Method == http.MethodConnect {
		n.refuse(w, outcome.BadRequest, "the request target is not a path")
		return
	}
	c := n.newCall(w, r, pathAndQuery(r.URL, r.URL.Path, r.URL.RawPath))
	secret := takeKey(c.header, &c.target)
	if r.Method == http.MethodPost && r.URL.Path == ticketPath {
		c.serve(&engine.TicketRequested{Call: c.id, Secret: secret})
		return
	}
	c.serve(&engine.CallArrived{
		Call:    c.id,
		Secret:  secret,
		Method:  r.Method,
		Path:    r.URL.Path,
		Ticket:  r.Header.Get(engine.TicketHeader),
		Timeout: callerTimeout(r.Header),
	})
}

// pathAndQuery drops everything else a request target may contain.
func pathAndQuery(u *url.URL, path, rawPath string) url.URL {
	return url.URL{Path: path, RawPath: rawPath, RawQuery: u.RawQuery}
}

func (n *Node) localMux() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == announcePath && r.Method == http.MethodPost:
			n.serveAnnounce(w, r)
		case strings.HasPrefix(r.URL.Path, childPrefix):
			n.serveChild(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, announcementLimit+1))
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a, base, err := decodeAnnouncement(data)
	if err != nil {
		n.logger.Warn("announcement is invalid", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.setUpstream(a, base)
	n.Step(&engine.UpstreamAnnounced{
		Service:     a.Service,
		URL:         a.URL,
		Slots:       a.Slots,
		Connections: a.Connections,
		InFlight:    a.InFlight,
		Ready:       a.Ready,
		Draining:    a.Draining,
	})
	w.WriteHeader(http.StatusNoContent)
}

// serveChild handles a downstream call of the local upstream.
func (n *Node) serveChild(w http.ResponseWriter, r *http.Request) {
	service, path, raw, ok := childTarget(r.URL)
	if !ok {
		n.refuse(w, outcome.BadRequest, "the path is not /call/<service>/<path>")
		return
	}
	token, err := engine.ParseToken(r.Header.Get(engine.CallHeader))
	if err != nil {
		n.refuse(w, outcome.ParentUnknown, err.Error())
		return
	}
	c := n.newCall(w, r, pathAndQuery(r.URL, path, raw))
	c.serve(&engine.DownstreamCallArrived{Call: c.id, ParentToken: token, Service: service})
}

// childTarget splits /call/<service>/<path> and keeps the escapes of the path.
func childTarget(u *url.URL) (service mesh.Service, path, raw string, ok bool) {
	name, rest, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), childPrefix), "/")
	if !ok || name == "" {
		return "", "", "", false
	}
	plain, err := url.PathUnescape(name)
	if err != nil {
		return "", "", "", false
	}
	raw = "/" + rest
	path, err = url.PathUnescape(raw)
	return mesh.Service(plain), path, raw, err == nil
}

// servePeer handles calls that other nodes forward and, by CONNECT, net/rpc.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		n.receiver.ServeHTTP(w, r)
		return
	}
	from, err := peer.ParseNode(r.Header.Get(peer.FromHeader))
	if err != nil {
		n.refuse(w, outcome.BadRequest, err.Error())
		return
	}
	if err := peer.CheckIdentity(r.TLS, from.Host); err != nil {
		n.logger.Warn("peer is not who it says", "from", from, "remote", r.RemoteAddr, "err", err)
		n.refuse(w, outcome.BadRequest, "the certificate does not name the sending host")
		return
	}
	hop, err := engine.ParseHop(r.Header.Get(engine.HopHeader))
	if err != nil {
		n.refuse(w, outcome.BadRequest, err.Error())
		return
	}
	c := n.newCall(w, r, pathAndQuery(r.URL, r.URL.Path, r.URL.RawPath))
	c.workspace = hop.Workspace
	c.serve(&engine.ForwardedCallArrived{Call: c.id, From: from, Hop: hop})
}

// Stop ends the node gracefully. It accepts no new connections, serves the
// open ones for the lame-duck period with Connection: close, so that a request
// that is on its way on an idle connection is still answered, waits until the
// machine reports Stopped, and lets calls in flight finish. When ctx ends, what
// is left is closed and the error of ctx is returned.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	n.stopOnce.Do(func() { err = n.stop(ctx) })
	return err
}

func (n *Node) stop(ctx context.Context) error {
	n.stopping.Store(true)
	if s := n.servers.callers; s != nil {
		s.sockets.stopAccepting()
	}
	n.Step(&engine.StopRequested{})
	err := wait(ctx, time.After(n.cfg.LameDuck))
	if e := shutdown(ctx, n.servers.callers); err == nil {
		err = e
	}
	// The local listener stays open until here: calls that are finishing make
	// downstream calls, and the peer listener takes part in the handover.
	if e := wait(ctx, n.stopped); err == nil {
		err = e
	}
	for _, s := range []*server{n.servers.local, n.servers.operators, n.servers.peers} {
		if e := shutdown(ctx, s); err == nil {
			err = e
		}
	}
	n.Close()
	return err
}

func wait[T any](ctx context.Context, done <-chan T) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func shutdown(ctx context.Context, s *server) error {
	if s == nil {
		return nil
	}
	err := s.http.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = nil // stop has closed the listener already
	}
	if err != nil {
		s.http.Close()
	}
	return err
}

// Close ends the node at once, as a crash would: open calls are aborted.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.closed)
		for _, s := range n.servers.all() {
			s.http.Close()
			s.listener.Close()
		}
		n.peers.Close()
		n.receiver.Close()
		n.loops.Wait()
		n.forward.transport.CloseIdleConnections()
		if up := n.upstream.Load(); up != nil {
			up.transport.CloseIdleConnections()
		}
	})
}
