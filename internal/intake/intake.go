package intake

import (
	"net/netip"
	"time"
)

// Reason is why a connection is closed or a charge refused.
type Reason uint8

// The reasons.
const (
	None             Reason = iota
	HeadTooLong             // the head of a request is longer than the limit
	MemoryShort             // the client holds its share of the memory
	DescriptorsShort        // the client holds its share of the connections

	NumReasons
)

var reasonNames = [NumReasons]string{"none", "head-too-long", "memory-short", "connections-short"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// state is what a connection does.
type state uint8

const (
	idle    state = iota // between requests, or before the first
	reading              // a part of a head has been received
	body                 // the body of a request is being buffered; nothing has been sent on
	running              // a request runs, or the connection was taken over
)

// Conn is the account of one connection.
type Conn struct {
	Owner any // of the caller of Open; the budget does not use it

	class       Class
	client      *client
	state       state
	closed      bool
	used        bool // has carried a request
	descriptors int
	held        int64 // bytes charged for the current head or request
	headSize    int   // bytes of the current head
	charged     bool  // the bytes and lines that were read before the current head are charged
	// ahead is the last read into the buffer of net/http, which may hold the start of the
	// next head.
	aheadSize, aheadLines int
	active                time.Duration // when bytes were last received or a request ended
}

// Held returns the bytes that the connection is charged for beyond the connection itself.
func (c *Conn) Held() int64 { return c.held }

// Class returns the class of the connection.
func (c *Conn) Class() Class { return c.class }

// client is the account of one remote address within a class.
type client struct {
	address     netip.Addr
	held        int64
	descriptors int
	conns       map[*Conn]struct{}
}

// part is the state of one class.
type part struct {
	Allotment
	headLimit   int // bytes
	descriptors int // in use
	held        int64
	clients     map[netip.Addr]*client
}

// Evicted is a connection that must be closed at once. Its charges are released already.
type Evicted struct {
	Conn   *Conn
	Reason Reason
}

// Budget is the budget of a process. It is not safe for concurrent use.
type Budget struct {
	parts   [NumClasses]part
	evicted []Evicted
}

// New returns a budget of which nothing is in use.
func New(p Plan) *Budget {
	b := &Budget{}
	for i := range b.parts {
		b.parts[i] = part{Allotment: p.Allotments[i], headLimit: 64 << 10, clients: map[netip.Addr]*client{}}
	}
	return b
}

// SetHeadLimit sets the size in bytes up to which heads of a class are accepted. A margin is
// added, because heads are counted in the units in which they are read.
func (b *Budget) SetHeadLimit(class Class, bytes int) { b.parts[class].headLimit = bytes }

// Usage returns the descriptors and the memory in bytes that a class uses, and its number of clients.
func (b *Budget) Usage(class Class) (descriptors int, held int64, clients int) {
	p := &b.parts[class]
	return p.descriptors, p.held, len(p.clients)
}

// Evicted returns the connections that gave way since the last call. The caller must close
// them.
func (b *Budget) Evicted() []Evicted {
	e := b.evicted
	b.evicted = nil
	return e
}

// Open adds a connection. It returns nil if the connection must be closed, because its client
// has its share of the connections and none of them has been quiet for minQuietTime.
func (b *Budget) Open(now time.Duration, class Class, address netip.Addr) *Conn {
	p := &b.parts[class]
	key := clientKey(address)
	cl := p.clients[key]
	if cl == nil {
		cl = &client{address: key, conns: map[*Conn]struct{}{}}
	}
	for p.descriptors >= p.Descriptors || cl.descriptors+1 > descriptorMultiple*(p.Descriptors-p.descriptors) {
		largest := p.clientWithMostDescriptors(cl)
		victim := largest.quietest()
		if victim == nil || (largest == cl && now-victim.active < minQuietTime) {
			return nil
		}
		b.evict(victim, DescriptorsShort)
	}
	c := &Conn{class: class, client: cl, descriptors: 1, active: now}
	p.clients[key] = cl
	cl.conns[c] = struct{}{}
	cl.descriptors++
	p.descriptors++
	return c
}

// Received records that bytes with the given number of line ends were read from a
// connection. The reason is not None if they are part of a head and the head must be refused.
func (b *Budget) Received(now time.Duration, c *Conn, size, lines int) Reason {
	c.active = now
	if c.closed {
		return MemoryShort
	}
	if c.state == running || c.state == body {
		if size > bufferSize { // did not go through the buffer
			size, lines = 0, 0
		}
		c.aheadSize, c.aheadLines = size, lines
		return None
	}
	charge := headCharge(size, lines)
	if !c.charged {
		c.charged = true
		c.headSize += c.aheadSize
		charge += headCharge(c.aheadSize, c.aheadLines)
	}
	c.state = reading
	c.headSize += size
	c.aheadSize, c.aheadLines = min(size, bufferSize), lines
	if c.headSize > b.parts[c.class].headLimit+headMargin {
		return HeadTooLong
	}
	if !b.charge(c, charge) {
		return MemoryShort
	}
	return None
}

func headCharge(size, lines int) int64 { return int64(size)*headByteCost + int64(lines)*lineCost }

// Begin records that the head of a request has been read and the request is about to be
// handled. It returns false if the request must be refused. If its body is to be buffered, the
// connection may still give way to others until BodyRead.
func (b *Budget) Begin(c *Conn, buffersBody bool) bool {
	if c.closed {
		return false
	}
	cost := int64(requestCost)
	if c.class == Announcements {
		cost = announcementCost
	}
	if !c.charged { // the whole head was read together with the request before it
		c.charged = true
		cost += headCharge(c.aheadSize, c.aheadLines)
	}
	c.state, c.used = running, true
	if buffersBody {
		c.state = body
	}
	if !b.charge(c, cost) {
		return false
	}
	if c.class != Callers && c.class != Peers {
		return true
	}
	p := &b.parts[c.class]
	for p.descriptors >= p.Descriptors {
		victim := p.clientWithMostDescriptors(c.client).quietest()
		if victim == nil || victim == c {
			return false
		}
		b.evict(victim, DescriptorsShort)
	}
	c.descriptors++
	c.client.descriptors++
	p.descriptors++
	return true
}

// BodyRead records that the request of the connection may run from now on, so that the
// connection does not give way to others before End.
func (b *Budget) BodyRead(c *Conn) { c.state = running }

// Grow charges a connection that handles a request for more memory. It returns false if the
// memory must not be used.
func (b *Budget) Grow(c *Conn, bytes int64) bool { return !c.closed && b.charge(c, bytes) }

// GrowIfPlenty is like Grow for memory that a request can do without. No other connection
// gives way to it, and it leaves room for further requests of the same client.
func (b *Budget) GrowIfPlenty(c *Conn, bytes int64) bool {
	p := &b.parts[c.class]
	if c.closed || c.client.held+bytes > largeMultiple*(p.Memory-p.held-bytes) {
		return false
	}
	p.add(c, bytes)
	return true
}

// TakeOver records that a connection carries no HTTP requests any more, but control messages
// of another node. It does not give way to others and holds nothing that is charged.
func (b *Budget) TakeOver(c *Conn) {
	if c.closed {
		return
	}
	b.release(c, 1)
	c.state = running
}

// End records that a request has ended and its answer was sent.
func (b *Budget) End(now time.Duration, c *Conn) {
	if c.closed {
		return
	}
	b.release(c, 1)
	c.state, c.headSize, c.charged, c.active = idle, 0, false, now
}

// Close removes a connection. Calls after the first have no effect.
func (b *Budget) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	b.release(c, 0)
	delete(c.client.conns, c)
	if len(c.client.conns) == 0 {
		delete(b.parts[c.class].clients, c.client.address)
	}
}

// release gives back the memory of a connection and all but the given number of its descriptors.
func (b *Budget) release(c *Conn, descriptors int) {
	p := &b.parts[c.class]
	p.held -= c.held
	c.client.held -= c.held
	c.held = 0
	p.descriptors -= c.descriptors - descriptors
	c.client.descriptors -= c.descriptors - descriptors
	c.descriptors = descriptors
}

// charge charges a connection, if need be after others gave way. It returns false if the
// charge does not fit, because the connection itself is to give way or no other can.
func (b *Budget) charge(c *Conn, bytes int64) bool {
	p := &b.parts[c.class]
	for !p.fits(c, bytes) {
		largest := p.clientWithMostMemory(c.client, bytes)
		victim := largest.largest(c, bytes)
		if victim == nil || victim == c {
			return false
		}
		b.evict(victim, MemoryShort)
	}
	p.add(c, bytes)
	return true
}

func (p *part) add(c *Conn, bytes int64) {
	c.held += bytes
	c.client.held += bytes
	p.held += bytes
}

// fits reports whether the client of the connection stays below its threshold.
func (p *part) fits(c *Conn, bytes int64) bool {
	multiple := int64(smallMultiple)
	switch total := c.held + bytes; {
	case total > largeCharge:
		multiple = largeMultiple
	case total > smallCharge:
		multiple = mediumMultiple
	}
	return c.client.held+bytes <= multiple*(p.Memory-p.held-bytes)
}

func (b *Budget) evict(c *Conn, r Reason) {
	b.Close(c)
	b.evicted = append(b.evicted, Evicted{c, r})
}

// clientWithMostMemory returns the client that would hold the most memory if the given one
// held some more. Among equals it is the given one.
func (p *part) clientWithMostMemory(cl *client, more int64) *client {
	most := cl
	for _, other := range p.clients {
		if other != cl && other.held > cl.held+more && (most == cl || other.held > most.held) {
			most = other
		}
	}
	return most
}

// clientWithMostDescriptors returns the client that would have the most descriptors if the given one had
// one more. Among equals it is the given one.
func (p *part) clientWithMostDescriptors(cl *client) *client {
	most := cl
	for _, other := range p.clients {
		if other != cl && other.descriptors > cl.descriptors+1 && (most == cl || other.descriptors > most.descriptors) {
			most = other
		}
	}
	return most
}

// largest returns the connection of the client that holds the most memory and whose head or
// body is being read; among equals, the one without activity for the longest time. The
// connection that asks counts whatever it does, with what it asks for, so that a request that
// runs does not push out smaller ones. It returns nil if there is none.
func (cl *client) largest(asking *Conn, more int64) *Conn {
	var found *Conn
	size := func(c *Conn) int64 {
		if c == asking {
			return c.held + more
		}
		return c.held
	}
	for c := range cl.conns {
		if c != asking && c.state != reading && c.state != body {
			continue
		}
		if found == nil || size(c) > size(found) || (size(c) == size(found) && c.active < found.active) {
			found = c
		}
	}
	return found
}

// quietest returns the connection of the client that has been without activity for the
// longest time and of which no request runs. One that has carried no request goes before one
// that has. It returns nil if there is none.
func (cl *client) quietest() *Conn {
	var found *Conn
	for c := range cl.conns {
		if c.state == running {
			continue
		}
		if found == nil || (found.used && !c.used) || (found.used == c.used && c.active < found.active) {
			found = c
		}
	}
	return found
}
