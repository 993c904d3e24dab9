// Package intake limits what clients may hold of the memory and the descriptors of a process.
//
// It addresses clients that ignore limits: requests made of very many short header lines,
// heads and bodies without end, bodies that stop just short of their end, connections that
// send nothing, and very many of these at once. Without it, such clients end the process,
// which runs out of memory.
//
// The budget charges each connection for what it makes the process hold: the connection
// itself, the bytes and lines of a head, a running request, and the buffered parts of a
// request body and of an answer. The listeners have separate parts of the budget, so that no
// listener starves another. Within a part, the clients, told apart by their address, share by
// a dynamic threshold: a client may hold a multiple of what is free, so that some of the part
// is always free for other clients. If a charge does not fit, the client that holds the most
// gives way first, with the connection that holds the most and of which no request runs.
package intake

import (
	"net/netip"
	"time"
)

// Class is a listener with a part of the budget of its own.
type Class uint8

// The classes.
const (
	Callers Class = iota
	Peers
	Announcements
	Ready
	Metrics

	NumClasses
)

var classNames = [NumClasses]string{"callers", "peers", "announcements", "ready", "metrics"}

// String returns the name of the listener.
func (c Class) String() string { return classNames[c] }

// The costs are estimates in bytes of what the process holds, net/http included.
const (
	// connectionCost is that of an open connection: the goroutine, two buffers of 4 KiB and
	// the state of net/http. Idle connections took 7 to 8 KB each.
	connectionCost = 12 << 10
	// requestCost is that of a running request without its head, body and answer.
	requestCost = 16 << 10
	// announcementCost includes the body of an announcement, which is read whole.
	announcementCost = requestCost + 64<<10
	// headByteCost is for the parsed names and values, and the head that is passed on.
	headByteCost = 2
	// lineCost is that of one header line, however short: a map entry, a slice and strings in
	// net/http (over a hundred bytes), and the map with the fields to pass on.
	lineCost = 256
)

const (
	// processShare is the fraction of the host's memory that the process may use. The rest is
	// for buffers of the kernel and other programs of the host.
	processShare = 0.75
	// baseMemory is what a process uses without clients, in bytes: 18 MB of RSS with two
	// nodes, more with many nodes and routes.
	baseMemory = 32 << 20
	// garbageFactor is the ratio of the heap to the live part of it, with GOGC=50.
	garbageFactor = 1.5
	minBudget     = 12 << 20 // bytes; for hosts with less memory than the product is made for
	// filesShare bounds the descriptors that are set aside for files, on hosts with few.
	filesShare          = 0.5
	fileReserve         = 200 // descriptors
	maxConnectionMemory = 0.6 // fraction of the budget that connections may use
)

// shares is the split of the descriptors and of the memory for requests between the classes.
// The rest of the descriptors is for connections to the store, idle ones to peers and the
// upstream, and listeners.
var shares = [NumClasses]struct{ descriptors, memory float64 }{
	Callers:       {0.45, 0.5},
	Peers:         {0.25, 0.32},
	Announcements: {0.03, 0.06},
	Ready:         {0.03, 0.06},
	Metrics:       {0.03, 0.06},
}

// The limits of the smallest host of the platform, which apply if the settings give none.
const (
	defaultMemory      = 184 << 20 // bytes
	DefaultDescriptors = 4100
)

// Host is what the host has. Zero means not known.
type Host struct {
	Memory      int64 // bytes
	Descriptors int
}

// Plan is the budget of a process.
type Plan struct {
	ProcessMemory int64 // bytes that the process may use
	Allotments    [NumClasses]Allotment
}

// Allotment is the part of one class.
type Allotment struct {
	// Descriptors is the number of connections and, for callers and peers, of running requests
	// together, since a running request has a connection to a peer or the upstream.
	Descriptors int
	Memory      int64 // bytes for heads, bodies, requests and answers
}

// NewPlan derives the budget from what the host has.
func NewPlan(h Host) Plan {
	if h.Memory <= 0 {
		h.Memory = defaultMemory
	}
	if h.Descriptors <= 0 {
		h.Descriptors = DefaultDescriptors
	}
	p := Plan{ProcessMemory: int64(processShare * float64(h.Memory))}
	budget := max(float64(p.ProcessMemory-baseMemory)/garbageFactor, minBudget)
	files := min(fileReserve, filesShare*float64(h.Descriptors))
	descriptors := float64(h.Descriptors) - files
	total := 0.0
	for _, s := range shares {
		total += s.descriptors
	}
	descriptors = min(descriptors, maxConnectionMemory*budget/connectionCost/total)
	rest := budget - descriptors*total*connectionCost
	for i, s := range shares {
		p.Allotments[i] = Allotment{Descriptors: max(int(s.descriptors*descriptors), minDescriptors), Memory: int64(s.memory * rest)}
	}
	return p
}

const (
	minDescriptors = 4
	// smallCharge and largeCharge separate small, medium and large connections, in bytes held
	// by one. An ordinary request without much of a body is small.
	smallCharge = 32 << 10
	largeCharge = 64 << 10
	// Of the memory of a class, one client may hold a multiple of what is then free, which depends
	// on the size of the connection to be charged. So a client alone gets a half for large
	// connections, two thirds for medium ones and seven eighths for small ones: large ones
	// give way before small ones of the same client.
	smallMultiple      = 7
	mediumMultiple     = 2
	largeMultiple      = 1
	descriptorMultiple = 3 // of the free descriptors, for the connections of one client
	// minQuietTime is how long a connection must have been without activity to give way to a
	// new one of the same client. Otherwise the new one is refused.
	minQuietTime = time.Second
	// bufferSize is the size in bytes of the buffer from which net/http parses heads. A read
	// into it may contain the start of the next head.
	bufferSize = 4 << 10
	// headMargin is added to the limit of a head: net/http reads ahead by one buffer, and the
	// last read before a head counts as part of it.
	headMargin = 2 * bufferSize
)

// clientKey returns the address by which clients are told apart. A host usually has a whole
// IPv6 network of 64 bits.
func clientKey(a netip.Addr) netip.Addr {
	a = a.Unmap().WithZone("")
	if a.Is6() {
		if p, err := a.Prefix(64); err == nil {
			return p.Addr()
		}
	}
	return a
}
