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
	downstreamPrefix  = "/call/"
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10 // of one request
)

// servers holds the HTTP servers of a node.
type servers struct {
	callers, local, peers, operators *server
}

type server struct {
	http        *http.Server
	listener    net.Listener
	tcpListener gracefulListener // underlying listener, without TLS
}

// newServer returns a server for a listener, with TLS unless config is nil. It
// returns nil if there is no listener.
func newServer(l net.Listener, config *tls.Config, h http.Handler) *server {
	if l == nil {
		return nil
	}
	tcpListener := gracefulListener{l}
	l = tcpListener
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &server{listener: l, tcpListener: tcpListener, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout, // longer than in newTransport, so that the client closes first
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         http1(),
		ErrorLog:          newDiscardStdLogger(), // its messages can contain URLs, and these can contain keys
	}}
}

// Start starts the listeners and the background loops. It does not block.
func (n *Node) Start() {
	l, t := n.cfg.Listeners, n.cfg.TLS
	n.servers = servers{
		callers:   newServer(l.Callers, t.Callers, http.HandlerFunc(n.serveCaller)),
		local:     newServer(l.Local, nil, n.localHandler()),
		peers:     newServer(l.Peers, peerServerTLS(t.Peer), http.HandlerFunc(n.servePeer)),
		operators: newServer(l.Operators, t.Operators, n.cfg.Operators),
	}
	for _, s := range n.servers.all() {
		go func() { _ = s.http.Serve(s.listener) }() // returns when the node stops
	}
	n.startLoop(n.runTicker)
	if n.cfg.Log != nil {
		n.startLoop(n.readLog)
		n.startLoop(n.runAppends)
	}
}

// peerServerTLS returns a copy of config that requires a client certificate from
// every peer.
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
	for _, srv := range []*server{s.callers, s.local, s.operators, s.peers} {
		if srv != nil {
			out = append(out, srv)
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
	secret := extractKey(c.header, &c.target)
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

// pathAndQuery returns a URL of the given path and the query of u, without the
// other parts of a request target.
func pathAndQuery(u *url.URL, path, rawPath string) url.URL {
	return url.URL{Path: path, RawPath: rawPath, RawQuery: u.RawQuery}
}

func (n *Node) localHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == announcePath && r.Method == http.MethodPost:
			n.serveAnnounce(w, r)
		case strings.HasPrefix(r.URL.Path, downstreamPrefix):
			n.serveDownstream(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes+1))
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a, base, err := decodeAnnouncement(data)
	if err != nil {
		n.logger.Warn("invalid upstream announcement", "err", err)
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

// serveDownstream handles a call that the local upstream makes to another service
// while it runs a call, the parent.
func (n *Node) serveDownstream(w http.ResponseWriter, r *http.Request) {
	service, path, rawPath, ok := parseDownstreamTarget(r.URL)
	if !ok {
		n.refuse(w, outcome.BadRequest, "the path is not /call/<service>/<path>")
		return
	}
	token, err := engine.ParseToken(r.Header.Get(engine.CallHeader))
	if err != nil {
		n.refuse(w, outcome.ParentUnknown, err.Error())
		return
	}
	c := n.newCall(w, r, pathAndQuery(r.URL, path, rawPath))
	c.serve(&engine.DownstreamCallArrived{Call: c.id, ParentToken: token, Service: service})
}

// parseDownstreamTarget splits /call/<service>/<path>. It preserves the
// percent-encoding of the path.
func parseDownstreamTarget(u *url.URL) (service mesh.Service, path, rawPath string, ok bool) {
	name, rest, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), downstreamPrefix), "/")
	if !ok || name == "" {
		return "", "", "", false
	}
	unescaped, err := url.PathUnescape(name)
	if err != nil {
		return "", "", "", false
	}
	rawPath = "/" + rest
	path, err = url.PathUnescape(rawPath)
	return mesh.Service(unescaped), path, rawPath, err == nil
}

// servePeer handles calls forwarded by other nodes, and the control messages that
// they send by net/rpc on connections opened with CONNECT.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		n.controlReceiver.ServeHTTP(w, r)
		return
	}
	from, err := peer.ParseNode(r.Header.Get(peer.FromHeader))
	if err != nil {
		n.refuse(w, outcome.BadRequest, err.Error())
		return
	}
	if err := peer.CheckIdentity(r.TLS, from.Host); err != nil {
		n.logger.Warn("peer certificate does not match the sending host", "from", from, "remote", r.RemoteAddr, "err", err)
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

// Stop shuts the node down gracefully. It stops accepting connections and
// serves the open ones with Connection: close for the lame-duck period, so that
// a request already sent on an idle connection is still answered. It then waits
// until the state machine reports Stopped and lets calls in flight complete.
// When ctx ends, the remaining connections are closed and the error of ctx is
// returned.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	n.stopOnce.Do(func() { err = n.stop(ctx) })
	return err
}

func (n *Node) stop(ctx context.Context) error {
	n.stopping.Store(true)
	if s := n.servers.callers; s != nil {
		s.tcpListener.stopAccepting()
	}
	n.Step(&engine.StopRequested{})
	err := waitFor(ctx, time.After(n.cfg.LameDuck))
	if e := shutdown(ctx, n.servers.callers); err == nil {
		err = e
	}
	// The local and peer listeners stay open until the state machine has stopped:
	// calls in flight still make downstream calls, and the handover to other nodes
	// uses the peer listener.
	if e := waitFor(ctx, n.stopped); err == nil {
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

func waitFor[T any](ctx context.Context, done <-chan T) error {
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
		err = nil // stopAccepting has already closed the listener
	}
	if err != nil {
		s.http.Close()
	}
	return err
}

// Close shuts the node down at once, as a crash would: open calls are aborted.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.closed)
		for _, s := range n.servers.all() {
			s.http.Close()
			s.listener.Close()
		}
		n.controlClient.Close()
		n.controlReceiver.Close()
		n.loops.Wait()
		n.forwarder.transport.CloseIdleConnections()
		if up := n.upstream.Load(); up != nil {
			up.transport.CloseIdleConnections()
		}
	})
}
