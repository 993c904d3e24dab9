package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"cardamomhatch/internal/eventlog"
	"cardamomhatch/internal/intake"
	"cardamomhatch/internal/outcome"
)

const (
	// controlRequestTimeout limits the reading and the answering of requests other than those
	// of callers and peers, which take a few milliseconds.
	controlRequestTimeout = 10 * time.Second
	// answerTime is how long a caller or a peer may take to read an answer after the request
	// has ended, for which defaultTimeout is the limit.
	answerTime = 5 * time.Second
	// bodySlack is added to the time in which the body of a request must arrive, which is
	// the time for which its caller waits.
	bodySlack = time.Second
	// discardTime is how long the rest of a body may take to arrive after the request was
	// answered. net/http reads some of it to keep the connection.
	discardTime = 3 * time.Second
	// lingerTime is how long a connection with a refused head is read on, so that a reset
	// does not destroy the refusal. net/http takes the same time after its own refusals.
	lingerTime = 500 * time.Millisecond
	// maxLingering limits the connections that are read on. The others are closed at once.
	maxLingering  = 32
	maxLingerHeld = 32 << 10 // bytes; with a larger head, the memory is freed at once
	// crowdedDescriptors is the number of connections and running requests of a class above which
	// the kernel buffers of new connections are small, since the kernel keeps up to 128 KiB
	// and more of bytes that were not read. A larger body gets a large buffer again.
	crowdedDescriptors = 256
	crowdedKernelBytes = 32 << 10
	streamKernelBytes  = 256 << 10
	closingLogInterval = time.Second // between log lines about closed connections
	// messageTime is how long a control message above intake.SmallMessage may take to arrive,
	// and messageWait how long it waits for others if there is no memory for it. The sender
	// gives up after 2 s.
	messageTime = 3 * time.Second
	messageWait = 1500 * time.Millisecond
	// refusedRetryAfter is what refused clients are told to wait.
	refusedRetryAfter = time.Second
)

// clientLimits enforces the budget of package intake on the listeners of a node.
type clientLimits struct {
	log       *eventlog.Log
	registry  metrics.Registry
	host      string
	now       func() time.Duration
	lingering atomic.Int32
	// largeMessage holds a value while a control message beyond its client's share is
	// received; only one may be at a time, so that a declaration of any size that is accepted
	// gets through.
	largeMessage chan struct{}

	mu       sync.Mutex // guards the fields below
	budget   *intake.Budget
	counts   [intake.NumReasons]int64 // connections closed or requests refused since the last log line
	lastSeen string                   // address of the client of the last of them
	loggedAt time.Duration
}

func newClientLimits(n *Node) *clientLimits {
	return &clientLimits{
		log: n.cfg.Log, registry: n.cfg.Metrics, host: string(n.cfg.Self.Node.Host), now: n.now,
		budget:       intake.New(intake.NewPlan(n.cfg.HostLimits)),
		largeMessage: make(chan struct{}, 1),
	}
}

// clientConn is an accepted connection that is charged to its client.
type clientConn struct {
	net.Conn
	limits  *clientLimits
	account *intake.Conn
	small   bool        // the kernel buffers were made small
	ended   atomic.Bool // the budget does not know the connection any more
	control atomic.Bool // carries control messages since it was taken over
	// messages is the position in the control messages; used by the reader only.
	messages intake.Messages
	charged  bool        // a message above intake.SmallMessage is received; used by the reader only
	large    atomic.Bool // holds limits.largeMessage
	refused  error       // returned by all further reads; used by the reader only
}

// clientConnKey is the context key of the clientConn of a request.
type clientConnKey struct{}

// clientConnOf returns the connection of a request. It is nil in tests without a listener.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// limitedListener accepts connections as long as the budget allows.
type limitedListener struct {
	net.Listener
	limits *clientLimits
	class  intake.Class
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limits.open(conn, l.class); c != nil {
			return c, nil
		}
		conn.Close()
	}
}

// remoteAddress returns the address of the client of a connection.
func remoteAddress(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// open adds a connection to the budget. It returns nil if there is no room.
func (l *clientLimits) open(conn net.Conn, class intake.Class) *clientConn {
	address := remoteAddress(conn)
	c := &clientConn{Conn: conn, limits: l}
	l.mu.Lock()
	c.account = l.budget.Open(l.now(), class, address)
	if c.account == nil {
		l.count(intake.DescriptorsShort, class, address)
	} else {
		c.account.Owner = c
	}
	descriptors, _, _ := l.budget.Usage(class)
	evicted := l.evicted()
	l.mu.Unlock()
	closeAll(evicted)
	if c.account == nil {
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok && descriptors > crowdedDescriptors {
		// An error means that the connection has ended.
		_ = tcp.SetReadBuffer(crowdedKernelBytes)
		_ = tcp.SetWriteBuffer(crowdedKernelBytes)
		c.small = true
	}
	return c
}

// evicted returns the connections that must be closed, and counts them. l.mu must be held.
func (l *clientLimits) evicted() []*clientConn {
	var conns []*clientConn
	for _, e := range l.budget.Evicted() {
		c := e.Conn.Owner.(*clientConn)
		l.count(e.Reason, e.Conn.Class(), remoteAddress(c.Conn))
		conns = append(conns, c)
	}
	return conns
}

func closeAll(conns []*clientConn) {
	for _, c := range conns {
		c.Conn.Close()
	}
}

// count counts a connection that is closed or a request that is refused. l.mu must be held.
func (l *clientLimits) count(r intake.Reason, class intake.Class, address netip.Addr) {
	l.counts[r]++
	l.lastSeen = address.String()
	metrics.GetOrRegisterCounter("intake."+class.String()+".closed."+r.String(), l.registry).Inc(1)
}

// logClosed writes a log line about the connections that were closed since the last one, at
// most once in closingLogInterval. It is to be called regularly.
func (l *clientLimits) logClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == [intake.NumReasons]int64{} || l.now()-l.loggedAt < closingLogInterval {
		return
	}
	fields := []any{"last_client", l.lastSeen}
	for r := intake.None + 1; r < intake.NumReasons; r++ {
		if l.counts[r] > 0 {
			fields = append(fields, r.String(), l.counts[r])
		}
	}
	for class := range intake.NumClasses {
		if descriptors, held, clients := l.budget.Usage(class); clients > 0 && class <= intake.Peers {
			fields = append(fields, class.String()+"_descriptors", descriptors, class.String()+"_bytes", held, class.String()+"_clients", clients)
		}
	}
	l.log.Write(eventlog.Observation, "clients limited", fields...)
	l.counts, l.loggedAt = [intake.NumReasons]int64{}, l.now()
}

// updateGauges updates the metrics of what is in use.
func (l *clientLimits) updateGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for class := range intake.NumClasses {
		descriptors, held, clients := l.budget.Usage(class)
		for name, value := range map[string]int64{"descriptors": int64(descriptors), "bytes": held, "clients": int64(clients)} {
			metrics.GetOrRegisterGauge("intake."+class.String()+"."+name, l.registry).Update(value)
		}
	}
}

// setCallerHeadLimit sets the size in bytes of the longest head that callers may send.
func (l *clientLimits) setCallerHeadLimit(bytes int) {
	if bytes <= 0 || bytes > maxHeaderBytes {
		bytes = maxHeaderBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetHeadLimit(intake.Callers, bytes)
}

// Read implements net.Conn. It charges what is read of heads and refuses heads that exceed a
// limit before net/http holds them.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(p)
	if c.control.Load() {
		return c.readMessages(p[:n], err)
	}
	if n == 0 {
		return n, err
	}
	lines := 0
	if n <= maxHeadRead {
		lines = bytes.Count(p[:n], []byte{'\n'})
	}
	l := c.limits
	l.mu.Lock()
	reason := l.budget.Received(l.now(), c.account, n, lines)
	if reason != intake.None {
		l.count(reason, c.account.Class(), remoteAddress(c.Conn))
	}
	held := c.account.Held()
	evicted := l.evicted()
	l.mu.Unlock()
	closeAll(evicted)
	if reason == intake.None {
		return n, err
	}
	c.refuseHead(reason, held)
	// net/http closes the connection after this error and writes nothing.
	c.refused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New(reason.String())}
	return 0, c.refused
}

// readMessages records what was read, with the given result, from a connection that carries
// control messages. It returns the result of Read. If a message must not be received, nothing
// of it is passed on, since the decoder would allocate the length that it announces.
func (c *clientConn) readMessages(p []byte, err error) (int, error) {
	n := len(p)
	if !c.messages.Scan(p, c.beginMessage, c.endMessage) {
		n, err = 0, errMessageTooLong
	}
	if err != nil {
		c.refused = err
		c.releaseLarge()
	}
	return n, err
}

var errMessageTooLong = errors.New("a control message is too long or there is no memory for it")

// beginMessage charges the connection for a control message. It returns false if the message
// must not be received.
func (c *clientConn) beginMessage(length int) bool {
	if length <= intake.SmallMessage {
		return true
	}
	if !c.growIfPlenty(length) {
		select {
		case c.limits.largeMessage <- struct{}{}:
			c.large.Store(true)
		case <-time.After(messageWait):
			return false
		}
	}
	c.charged = true
	return c.SetReadDeadline(time.Now().Add(messageTime)) == nil
}

// endMessage releases what beginMessage has charged.
func (c *clientConn) endMessage() {
	if !c.charged {
		return
	}
	c.charged = false
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection has ended
	c.releaseLarge()
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.budget.TakeOver(c.account)
}

// releaseLarge lets another connection receive a large control message.
func (c *clientConn) releaseLarge() {
	if c.large.CompareAndSwap(true, false) {
		<-c.limits.largeMessage
	}
}

// maxHeadRead is the size of the buffer into which net/http reads heads. Larger reads are
// those of bodies.
const maxHeadRead = 4 << 10

// refuseHead writes the refusal of a request whose head was not read completely, so that it
// has not run, and reads on for lingerTime if the head is small.
func (c *clientConn) refuseHead(reason intake.Reason, held int64) {
	status, retryAfter := "431 Request Header Fields Too Large", ""
	r := outcome.Refusal{Execution: outcome.NotRun, Reason: outcome.TooLarge, Node: c.limits.host, Detail: reason.String()}
	if reason != intake.HeadTooLong {
		status, retryAfter = "503 Service Unavailable", "Retry-After: 1\r\n"
		r.Reason, r.RetryAfter = outcome.Overloaded, refusedRetryAfter
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+outcome.Header+": "+r.HeaderValue()+"\r\n"+retryAfter+"Content-Length: 0\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || held > maxLingerHeld {
		return
	}
	defer c.limits.lingering.Add(-1)
	if c.limits.lingering.Add(1) > maxLingering {
		return
	}
	if tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, tcp) // ends with the deadline at the latest
	}
}

// SyscallConn implements syscall.Conn, for socket options.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.releaseLarge()
	if !c.ended.Swap(true) {
		c.limits.mu.Lock()
		c.limits.budget.Close(c.account)
		c.limits.mu.Unlock()
	}
	return c.Conn.Close()
}

// begin charges the connection for a request whose head has been read. It returns false if
// the request must be refused. If the request has a body to be buffered, bodyRead must be
// called before the request runs.
func (c *clientConn) begin(buffersBody bool) bool {
	if c == nil {
		return true
	}
	l := c.limits
	l.mu.Lock()
	ok := l.budget.Begin(c.account, buffersBody)
	if !ok {
		l.count(intake.MemoryShort, c.account.Class(), remoteAddress(c.Conn))
	}
	evicted := l.evicted()
	l.mu.Unlock()
	closeAll(evicted)
	return ok
}

// grow charges the connection for more memory. It returns false if the memory must not be
// used.
func (c *clientConn) grow(size int) bool {
	if c == nil {
		return true
	}
	l := c.limits
	l.mu.Lock()
	ok := l.budget.Grow(c.account, int64(size))
	if !ok {
		l.count(intake.MemoryShort, c.account.Class(), remoteAddress(c.Conn))
	}
	evicted := l.evicted()
	l.mu.Unlock()
	closeAll(evicted)
	return ok
}

// growIfPlenty charges the connection for memory that its request can do without. It returns
// false if the memory must not be used.
func (c *clientConn) growIfPlenty(size int) bool {
	if c == nil {
		return true
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	return c.limits.budget.GrowIfPlenty(c.account, int64(size))
}

// bodyRead records that the request may run from now on, so that the connection is not closed
// to make room for others.
func (c *clientConn) bodyRead() {
	if c == nil {
		return
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.budget.BodyRead(c.account)
}

// prepareStream gives a connection whose body is longer than what is buffered a large kernel
// buffer again.
func (c *clientConn) prepareStream() {
	if c == nil || !c.small {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.small = false
		_ = tcp.SetReadBuffer(streamKernelBytes) // an error means that the connection has ended
	}
}

// trackState is the ConnState hook of the servers. net/http calls it with StateIdle once a
// request has ended and its answer was sent.
func (l *clientLimits) trackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || (s != http.StateIdle && s != http.StateHijacked) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle {
		l.budget.End(l.now(), c.account)
		return
	}
	c.control.Store(true)
	l.budget.TakeOver(c.account)
}

// limitRequests returns a handler that refuses requests for which the budget has no room, and
// bounds the time in which bodies must arrive. buffersBody states that the handler buffers
// bodies.
func (n *Node) limitRequests(h http.Handler, buffersBody bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := clientConnOf(r)
		if r.ContentLength != 0 && c != nil {
			// An error means that the connection has ended.
			_ = c.SetReadDeadline(time.Now().Add(defaultTimeout + bodySlack))
			defer func() { _ = c.SetReadDeadline(time.Now().Add(discardTime)) }()
		}
		if !c.begin(r.ContentLength != 0 && buffersBody) {
			n.metrics.countRefusal(outcome.Overloaded)
			w.Header()["Connection"] = []string{"close"}
			refusal := n.refusal(outcome.NotRun, outcome.Overloaded, intake.MemoryShort.String())
			refusal.RetryAfter = refusedRetryAfter
			if err := refusal.Write(w); err != nil {
				n.metrics.brokenResponses.Inc(1)
			}
			return
		}
		h.ServeHTTP(w, r)
	})
}

// limitServer wraps the listener of a server and its handler.
func (n *Node) limitServer(s *http.Server, l net.Listener, class intake.Class) net.Listener {
	s.Handler = n.limitRequests(s.Handler, class == intake.Callers || class == intake.Announcements)
	s.ConnState = n.limits.trackState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, clientConnKey{}, conn)
	}
	s.WriteTimeout = defaultTimeout + answerTime
	if class != intake.Callers && class != intake.Peers {
		s.ReadTimeout, s.WriteTimeout = controlRequestTimeout, controlRequestTimeout
	}
	return &limitedListener{Listener: l, limits: n.limits, class: class}
}
