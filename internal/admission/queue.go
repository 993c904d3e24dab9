package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
)

// none is the index that refers to no call or flow.
const none = int32(-1)

// call is a queued or running call. Calls are stored in a slice whose entries are reused.
type call struct {
	id                 mesh.CallID
	at                 time.Duration // arrival time while queued, start time while running
	deadline           time.Duration // zero means none
	flow               int32         // index into queue.flows
	inFlight           int32         // Controller.countedInFlight when it started, itself included
	awaitingDownstream bool
	laneLink           link // list of its flow's calls in its lane
	arrivalLink        link // list of all queued calls of its class by arrival
	class              mesh.Class
	lane               uint8 // laneContinued, laneResumed or laneNew
	running            bool
}

// link holds the neighbours of a call in a doubly linked list, as indexes into queue.calls.
type link struct{ prev, next int32 }

// list is a doubly linked list of calls, as indexes into queue.calls.
type list struct{ head, tail int32 }

var emptyList = list{none, none}

// The lanes of a class, in order of service. Refusing a call wastes the work already done
// for its action, so calls of actions that have downstream answers come first, then calls
// of actions that were admitted.
const (
	laneContinued = iota
	laneResumed
	laneNew
	numLanes
)

// flow is the state of one workspace.
type flow struct {
	cost      float64 // virtual time per call: the inverse of the weight
	queued    int32   // calls of all classes
	hasCounts bool    // listed in cutState.counted
	counts    [mesh.NumClasses]counts
	lanes     [mesh.NumClasses][numLanes]list
	active    [mesh.NumClasses][numLanes]bool // has an entry in the heap of the lane
	tag       [mesh.NumClasses]float64        // start tag: the virtual start time of the next call
}

// heapEntry is a workspace's position in the heap of a lane, ordered by start tag.
type heapEntry struct {
	tag  float64
	flow int32 // index into queue.flows
}

// queue holds the calls and determines the order of service: by class, then by lane, then
// by start-time fair queueing among workspaces, then by arrival.
type queue struct {
	calls         []call
	free          []int32               // indexes of the unused entries of calls
	index         map[mesh.CallID]int32 // indexes into calls
	flows         []flow
	flowIndex     map[mesh.Workspace]int32 // indexes into flows
	heaps         [mesh.NumClasses][numLanes][]heapEntry
	byArrival     [mesh.NumClasses]list    // all queued calls of the class
	virtualTime   [mesh.NumClasses]float64 // start tag of the last call charged in the class
	queuedByClass [mesh.NumClasses]int
	queued        int
}

func newQueue() queue {
	q := queue{index: map[mesh.CallID]int32{}, flowIndex: map[mesh.Workspace]int32{}}
	for c := range q.byArrival {
		q.byArrival[c] = emptyList
	}
	return q
}

// flowOf returns the index of the workspace's flow, creating it if needed.
func (q *queue) flowOf(w mesh.Workspace) int32 {
	if i, ok := q.flowIndex[w]; ok {
		return i
	}
	i := int32(len(q.flows))
	f := flow{cost: 1}
	for c := range f.lanes {
		f.lanes[c] = [numLanes]list{emptyList, emptyList, emptyList}
	}
	q.flows = append(q.flows, f)
	q.flowIndex[w] = i
	return i
}

// allocate stores a call that is neither queued nor running yet.
func (q *queue) allocate(r Request, flow int32, now time.Duration) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.calls))
		q.calls = append(q.calls, call{})
	}
	q.calls[i] = call{id: r.Call, at: now, deadline: r.Deadline, flow: flow, class: r.Class, lane: laneOf(r)}
	q.index[r.Call] = i
	return i
}

// release removes the entry of a call that is not queued.
func (q *queue) release(i int32) {
	delete(q.index, q.calls[i].id)
	q.free = append(q.free, i)
}

func laneOf(r Request) uint8 {
	switch {
	case r.Continued:
		return laneContinued
	case r.Resumed:
		return laneResumed
	}
	return laneNew
}

func (q *queue) enqueue(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	lane := int(c.lane)
	l := &f.lanes[c.class][lane]
	c.laneLink = link{prev: l.tail, next: none}
	if l.tail == none {
		l.head = i
	} else {
		q.calls[l.tail].laneLink.next = i
	}
	l.tail = i
	a := &q.byArrival[c.class]
	c.arrivalLink = link{prev: a.tail, next: none}
	if a.tail == none {
		a.head = i
	} else {
		q.calls[a.tail].arrivalLink.next = i
	}
	a.tail = i
	f.queued++
	q.queued++
	q.queuedByClass[c.class]++
	if !f.active[c.class][lane] {
		f.active[c.class][lane] = true
		f.tag[c.class] = max(f.tag[c.class], q.virtualTime[c.class])
		heapPush(&q.heaps[c.class][lane], heapEntry{f.tag[c.class], c.flow})
	}
}

// dequeue removes a call from the queue but keeps its entry.
func (q *queue) dequeue(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	l := &f.lanes[c.class][int(c.lane)]
	if c.laneLink.prev == none {
		l.head = c.laneLink.next
	} else {
		q.calls[c.laneLink.prev].laneLink.next = c.laneLink.next
	}
	if c.laneLink.next == none {
		l.tail = c.laneLink.prev
	} else {
		q.calls[c.laneLink.next].laneLink.prev = c.laneLink.prev
	}
	a := &q.byArrival[c.class]
	if c.arrivalLink.prev == none {
		a.head = c.arrivalLink.next
	} else {
		q.calls[c.arrivalLink.prev].arrivalLink.next = c.arrivalLink.next
	}
	if c.arrivalLink.next == none {
		a.tail = c.arrivalLink.prev
	} else {
		q.calls[c.arrivalLink.next].arrivalLink.prev = c.arrivalLink.prev
	}
	f.queued--
	q.queued--
	q.queuedByClass[c.class]--
}

// charge advances the virtual time of the call's workspace by the cost of one call.
func (q *queue) charge(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	start := max(f.tag[c.class], q.virtualTime[c.class])
	q.virtualTime[c.class] = start
	f.tag[c.class] = start + f.cost
}

// next returns the queued call to serve next, or none. Within a workspace's lane it is the
// newest call if newestFirst is set for the class, otherwise the oldest. Classes more
// important than from are skipped.
func (q *queue) next(newestFirst *[mesh.NumClasses]bool, from mesh.Class) int32 {
	for class := int(from); class < mesh.NumClasses; class++ {
		if q.queuedByClass[class] == 0 {
			continue
		}
		for lane := range q.heaps[class] {
			flow := q.nextFlow(class, lane)
			if flow == none {
				continue
			}
			l := q.flows[flow].lanes[class][lane]
			if newestFirst[class] {
				return l.tail
			}
			return l.head
		}
	}
	return none
}

// nextFlow returns the workspace to serve next in the lane, or none. Heap entries of
// workspaces that have nothing queued, or that were served through another lane, are
// corrected when they reach the top.
func (q *queue) nextFlow(class, lane int) int32 {
	h := &q.heaps[class][lane]
	for len(*h) > 0 {
		top := &(*h)[0]
		f := &q.flows[top.flow]
		if f.lanes[class][lane].head == none {
			f.active[class][lane] = false
			heapPop(h)
			continue
		}
		if f.tag[class] > top.tag {
			top.tag = f.tag[class]
			siftDown(*h)
			continue
		}
		return top.flow
	}
	return none
}

// backloggedFlows returns the number of heap entries in the class. A workspace counts once
// for each lane, and also while an entry without queued calls has not been removed.
func (q *queue) backloggedFlows(class mesh.Class) int {
	n := 0
	for lane := range q.heaps[class] {
		n += len(q.heaps[class][lane])
	}
	return n
}

func (e heapEntry) less(o heapEntry) bool {
	return e.tag < o.tag || (e.tag == o.tag && e.flow < o.flow)
}

func heapPush(h *[]heapEntry, e heapEntry) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].less(s[parent]) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func heapPop(h *[]heapEntry) {
	s := *h
	last := len(s) - 1
	s[0] = s[last]
	*h = s[:last]
	siftDown(*h)
}

func siftDown(s []heapEntry) {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(s) {
			return
		}
		if child+1 < len(s) && s[child+1].less(s[child]) {
			child++
		}
		if !s[child].less(s[i]) {
			return
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
