package intake

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

var (
	crowd    = netip.MustParseAddr("10.0.0.9")
	ordinary = netip.MustParseAddr("10.0.0.1")
)

// serveOrdinary plays an ordinary request and reports whether it was accepted.
func serveOrdinary(b *Budget, now time.Duration) bool {
	c := b.Open(now, Callers, ordinary)
	if c == nil {
		return false
	}
	defer b.Close(c)
	ok := b.Received(now, c, 600, 12) == None && b.Begin(c, false) && b.Grow(c, 8<<10)
	return ok
}

// pattern is what each connection of a crowd sends, in reads of the size of net/http's buffer.
type pattern struct {
	name        string
	size, lines int // of each read
	ends        bool
	body        int64 // bytes buffered of the body, in steps of 16 KiB
}

// Guards against a process that runs out of memory under the load of
// docs/specification-uneven-load.md, part 4: connections from one address that send many short
// lines, heads without end, bodies that stop short of their end, and complete requests that
// stay in flight. An ordinary caller must be served at any time, and the budget be free again
// at the end.
func TestCrowdLeavesRoom(t *testing.T) {
	for _, p := range []pattern{
		{"short lines, unended", 4096, 800, false, 0},
		{"short lines, complete", 4096, 800, true, 0},
		{"long lines", 4096, 4, false, 0},
		{"empty lines", 4096, 2048, false, 0},
		{"small chunks", 600, 12, true, 512 << 10},
		{"nothing", 0, 0, false, 0},
	} {
		t.Run(p.name, func(t *testing.T) {
			b := New(NewPlan(Host{}))
			b.SetHeadLimit(Callers, 16<<10)
			allotment := b.parts[Callers].Allotment
			var conns []*Conn
			for i := range 2000 {
				now := time.Duration(i) * 2 * time.Millisecond
				if c := b.Open(now, Callers, crowd); c != nil {
					conns = append(conns, c)
					playCrowd(b, now, c, p)
				}
				b.Evicted()
				descriptors, held, _ := b.Usage(Callers)
				if held > allotment.Memory || descriptors > allotment.Descriptors {
					t.Fatalf("connection %d: %d bytes and %d descriptors are in use, want at most %+v", i, held, descriptors, allotment)
				}
				if !serveOrdinary(b, now) {
					t.Fatalf("connection %d: an ordinary request was refused with %d bytes and %d descriptors in use", i, held, descriptors)
				}
			}
			for _, c := range conns {
				b.Close(c)
			}
			if descriptors, held, clients := b.Usage(Callers); descriptors != 0 || held != 0 || clients != 0 {
				t.Errorf("%d descriptors, %d bytes and %d clients are in use after all connections were closed", descriptors, held, clients)
			}
		})
	}
}

// playCrowd plays one connection of a crowd up to the point where it stays or is refused.
func playCrowd(b *Budget, now time.Duration, c *Conn, p pattern) {
	for read := 0; read < 16<<10 && p.size > 0; read += p.size {
		if b.Received(now, c, p.size, p.lines) != None {
			b.Close(c)
			return
		}
		if p.body > 0 {
			break
		}
	}
	if p.ends && !b.Begin(c, true) {
		b.Close(c)
		return
	}
	for size := int64(0); size < p.body; size += 16 << 10 {
		if !b.Grow(c, 16<<10) {
			b.Close(c)
			return
		}
	}
	if p.ends && p.body == 0 {
		b.BodyRead(c)
	}
}

// Guards against limits that a client inside the declared limits reaches in calm: a head of
// 16 KiB with the shortest lines that net/http accepts and a body that is buffered up to the
// bound, on the smallest host, also right after another request on the connection; and at a
// peer, where the same head has grown.
func TestRequestThatUsesTheLimitsFully(t *testing.T) {
	const shortestLine = 3 // bytes: a letter, a colon, a line feed
	for _, c := range []struct {
		class Class
		head  int
	}{{Callers, 16 << 10}, {Peers, 32 << 10}} {
		b := New(NewPlan(Host{}))
		b.SetHeadLimit(Callers, 16<<10)
		conn := b.Open(0, c.class, ordinary)
		for range 3 {
			for read := 0; read < c.head; read += bufferSize {
				if r := b.Received(0, conn, bufferSize, bufferSize/shortestLine); r != None {
					t.Fatalf("%s: refused after %d bytes: %s", c.class, read, r)
				}
			}
			if !b.Begin(conn, false) || !b.Grow(conn, 512<<10) {
				t.Fatalf("%s: the request was refused", c.class)
			}
			b.BodyRead(conn)
			b.Received(0, conn, bufferSize, bufferSize/shortestLine) // the last of the body
			b.End(0, conn)
		}
	}
}

// Guards against a head that is not refused although it is over the limit, also if it begins
// in what was read with the request before it.
func TestHeadTooLong(t *testing.T) {
	b := New(NewPlan(Host{}))
	b.SetHeadLimit(Callers, 16<<10)
	for _, pipelined := range []bool{false, true} {
		c := b.Open(0, Callers, crowd)
		if pipelined {
			b.Received(0, c, 4096, 10)
			b.Begin(c, false)
			b.End(0, c)
		}
		read, reason := 0, None
		for ; reason == None && read < 100_000; read += 1000 {
			reason = b.Received(0, c, 1000, 1)
		}
		if reason != HeadTooLong || read > 16<<10+headMargin+1000 {
			t.Errorf("pipelined %t: %s after %d bytes, want %s after at most %d", pipelined, reason, read, HeadTooLong, 16<<10+headMargin+1000)
		}
	}
}

// Guards against ordinary callers that are refused because they share an address with clients
// that send large requests: large ones give way first.
func TestLargeRequestsGiveWayFirst(t *testing.T) {
	b := New(NewPlan(Host{}))
	for i := 0; ; i++ {
		c := b.Open(0, Callers, crowd)
		if b.Received(0, c, 4096, 1000) != None || !b.Begin(c, false) {
			break
		}
		b.BodyRead(c)
		if i > 1000 {
			t.Fatal("the large requests of one client were never refused")
		}
	}
	served := 0
	for range 50 {
		c := b.Open(0, Callers, crowd)
		if b.Received(0, c, 600, 12) == None && b.Begin(c, false) {
			served++
		}
		b.BodyRead(c)
	}
	if served < 50 {
		t.Errorf("%d of 50 ordinary requests of the same address were accepted", served)
	}
}

// Guards against callers that are refused because the answers to others of the same address
// are buffered: 300 requests, as many as the
// largest upstreams run, in any order of arrival and
// buffering.
func TestAnswersLeaveRoomForRequests(t *testing.T) {
	b := New(NewPlan(Host{}))
	for i := range 300 {
		c := b.Open(0, Callers, crowd)
		if b.Received(0, c, 600, 12) != None || !b.Begin(c, false) {
			t.Fatalf("request %d was refused", i)
		}
		for size := int64(4 << 10); size <= 64<<10 && b.GrowIfPlenty(c, size); size *= 2 {
		}
	}
}

// Guards against connections that are closed although a request runs on them or another is
// more idle, and against a new client that gets no connection.
func TestQuietConnectionsGiveWay(t *testing.T) {
	b := New(NewPlan(Host{}))
	descriptors := b.parts[Callers].Descriptors
	var conns []*Conn
	for i := range descriptors {
		c := b.Open(time.Duration(i), Callers, crowd)
		if c == nil {
			break
		}
		conns = append(conns, c)
	}
	if len(conns) > descriptors*3/4+1 || len(conns) < descriptors/2 {
		t.Fatalf("one client has %d connections of %d descriptors", len(conns), descriptors)
	}
	b.Received(0, conns[0], 600, 12)
	b.Begin(conns[0], false)
	b.BodyRead(conns[0])
	b.End(0, conns[1])
	conns[2].used = true
	if c := b.Open(minQuietTime/2, Callers, crowd); c != nil {
		t.Error("a further connection of the client was accepted although all are active")
	}
	if c := b.Open(2*minQuietTime, Callers, crowd); c == nil {
		t.Error("a further connection of the client was refused although others are quiet")
	}
	for _, e := range b.Evicted() {
		if e.Conn == conns[0] || e.Conn == conns[2] || e.Reason != DescriptorsShort {
			t.Errorf("a connection gave way that runs a request or has carried one, or for %s", e.Reason)
		}
	}
	if c := b.Open(2*minQuietTime, Callers, ordinary); c == nil {
		t.Error("a connection of another client was refused")
	}
}

// Guards against a single large charge that takes what is left for other clients.
func TestOneChargeLeavesRoom(t *testing.T) {
	b := New(NewPlan(Host{}))
	memory := b.parts[Peers].Memory
	c := b.Open(0, Peers, crowd)
	b.TakeOver(c)
	if b.GrowIfPlenty(c, memory*2/3) || b.Grow(c, memory*2/3) {
		t.Error("two thirds of the memory were charged to one large connection")
	}
	if !b.GrowIfPlenty(c, memory/3) {
		t.Error("a third of the memory was refused")
	}
}

// Guards against listeners that starve each other: with all of the callers' part in use, peers
// and the others are served.
func TestClassesAreSeparate(t *testing.T) {
	b := New(NewPlan(Host{}))
	for i := range 5000 {
		a := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		if c := b.Open(0, Callers, a); c != nil && b.Received(0, c, 4096, 1000) == None && b.Begin(c, false) {
			b.BodyRead(c)
		}
	}
	for class := Peers; class < NumClasses; class++ {
		if c := b.Open(0, class, ordinary); c == nil || b.Received(0, c, 600, 12) != None || !b.Begin(c, false) {
			t.Errorf("%s: a request was refused", class)
		}
	}
	peer := b.Open(0, Peers, ordinary)
	b.Received(0, peer, 100, 3)
	b.Begin(peer, false)
	b.TakeOver(peer)
	if peer.held != 0 || peer.descriptors != 1 {
		t.Errorf("a control connection holds %d bytes and %d descriptors, want 0 and 1", peer.held, peer.descriptors)
	}
}

// Guards against a plan that is beyond the host or leaves no room on a small or a large one.
func TestPlan(t *testing.T) {
	for _, h := range []Host{{}, {184 << 20, 4100}, {64 << 20, 420}, {1 << 20, 10}, {8 << 30, 1 << 20}} {
		p := NewPlan(h)
		var memory int64
		descriptors := 0
		for _, a := range p.Allotments {
			memory += a.Memory + int64(a.Descriptors)*connectionCost
			descriptors += a.Descriptors
			if a.Memory < requestCost || a.Descriptors < minDescriptors {
				t.Errorf("%+v: %+v leaves no room", h, a)
			}
		}
		if h.Memory >= 64<<20 && baseMemory+int64(garbageFactor*float64(memory)) > p.ProcessMemory+(2<<20) {
			t.Errorf("%+v: the parts add up to %d bytes, the process has %d", h, memory, p.ProcessMemory)
		}
		if h.Descriptors >= 400 && descriptors > h.Descriptors-fileReserve {
			t.Errorf("%+v: %d descriptors", h, descriptors)
		}
	}
	if fmt.Sprint(NewPlan(Host{})) != fmt.Sprint(NewPlan(Host{184 << 20, 4100})) {
		t.Error("the defaults are not those of the smallest host")
	}
}

// Guards against sums that differ from what the connections hold, and parts that are exceeded,
// after any order of calls.
func FuzzBudget(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := New(NewPlan(Host{Memory: 64 << 20, Descriptors: 420}))
		var conns []*Conn
		for i := range int(steps) {
			now := time.Duration(i) * 100 * time.Millisecond
			if len(conns) == 0 || r.IntN(3) == 0 {
				if c := b.Open(now, Class(r.IntN(int(NumClasses))), netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(4))})); c != nil {
					conns = append(conns, c)
				}
				continue
			}
			c := conns[r.IntN(len(conns))]
			switch r.IntN(8) {
			case 0:
				b.Received(now, c, r.IntN(70_000), r.IntN(2000))
			case 1:
				b.Begin(c, r.IntN(2) == 0)
			case 2:
				b.BodyRead(c)
			case 3:
				b.Grow(c, int64(r.IntN(600_000)))
			case 4:
				b.End(now, c)
			case 5:
				b.Close(c)
			case 7:
				b.GrowIfPlenty(c, int64(r.IntN(600_000)))
			case 6:
				b.TakeOver(c)
			}
			checkSums(t, b, conns)
		}
	})
}

func checkSums(t *testing.T, b *Budget, conns []*Conn) {
	var held [NumClasses]int64
	var descriptors [NumClasses]int
	for _, c := range conns {
		if c.closed && (c.held != 0 || c.descriptors != 0) {
			t.Fatalf("a closed connection holds %d bytes and %d descriptors", c.held, c.descriptors)
		}
		held[c.class] += c.held
		descriptors[c.class] += c.descriptors
	}
	for class := range NumClasses {
		p := &b.parts[class]
		gotDescriptors, gotHeld, _ := b.Usage(class)
		if gotHeld != held[class] || gotDescriptors != descriptors[class] || gotHeld > p.Memory || gotDescriptors > p.Descriptors {
			t.Fatalf("%s: %d bytes and %d descriptors, the connections have %d and %d of %+v", class, gotHeld, gotDescriptors, held[class], descriptors[class], p.Allotment)
		}
	}
}
