package admission

import (
	"time"

	"cardamomhatch/internal/mesh"
)

const none = int32(-1)

// call is a queued or running call, kept in a slab and reused.
type call struct {
	id       mesh.CallID
	at       time.Duration // arrival while queued, start while running
	deadline time.Duration
	flow     int32
	inFlight int32 // busy calls when it started, itself included
	away     bool  // waits for downstream calls
	lane     link  // queue of its flow in its lane
	age      link  // all queued calls of its class by arrival
	class    mesh.Class
	progress uint8 // lane: the less the more was done for the action
	running  bool
}

type link struct{ prev, next int32 }

type list struct{ head, tail int32 }

var emptyList = list{none, none}

// lanes per class. A refused call wastes what was done for its action, so calls
// of actions that already have answers from downstream come first, then calls of
// actions that were admitted.
const (
	laneContinued = iota
	laneResumed
	laneNew
	numLanes
)

// flow is the state of one workspace.
type flow struct {
	cost    float64 // virtual time per call: the inverse of the weight
	queued  int32
	counted bool // listed among the workspaces with counts
	counts  [mesh.NumClasses]counts
	lanes   [mesh.NumClasses][numLanes]list
	active  [mesh.NumClasses][numLanes]bool // in the heap of the lane
	tag     [mesh.NumClasses]float64        // virtual time at which the next call is due
}

// turn is one workspace's place in the order of a lane.
type turn struct {
	tag  float64
	flow int32
}

// queue holds the calls and the order in which they are served: class, calls of
// started actions before new ones, workspaces by start-time fair queueing, then arrival.
type queue struct {
	calls   []call
	free    []int32
	index   map[mesh.CallID]int32
	flows   []flow
	byName  map[mesh.Workspace]int32
	heaps   [mesh.NumClasses][numLanes][]turn
	ages    [mesh.NumClasses]list
	clock   [mesh.NumClasses]float64 // virtual time of the class
	waiting [mesh.NumClasses]int
	queued  int
}

func newQueue() queue {
	q := queue{index: map[mesh.CallID]int32{}, byName: map[mesh.Workspace]int32{}}
	for c := range q.ages {
		q.ages[c] = emptyList
	}
	return q
}

// flowOf returns the index of the workspace's state and creates it if needed.
func (q *queue) flowOf(w mesh.Workspace) int32 {
	if i, ok := q.byName[w]; ok {
		return i
	}
	i := int32(len(q.flows))
	f := flow{cost: 1}
	for c := range f.lanes {
		f.lanes[c] = [numLanes]list{emptyList, emptyList, emptyList}
	}
	q.flows = append(q.flows, f)
	q.byName[w] = i
	return i
}

// add stores a call that is not yet queued or running.
func (q *queue) add(r Request, flow int32, now time.Duration) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.calls))
		q.calls = append(q.calls, call{})
	}
	q.calls[i] = call{id: r.Call, at: now, deadline: r.Deadline, flow: flow, class: r.Class, progress: laneOf(r)}
	q.index[r.Call] = i
	return i
}

// remove forgets a call that is not queued.
func (q *queue) remove(i int32) {
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

// push queues a call.
func (q *queue) push(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	lane := int(c.progress)
	l := &f.lanes[c.class][lane]
	c.lane = link{prev: l.tail, next: none}
	if l.tail == none {
		l.head = i
	} else {
		q.calls[l.tail].lane.next = i
	}
	l.tail = i
	a := &q.ages[c.class]
	c.age = link{prev: a.tail, next: none}
	if a.tail == none {
		a.head = i
	} else {
		q.calls[a.tail].age.next = i
	}
	a.tail = i
	f.queued++
	q.queued++
	q.waiting[c.class]++
	if !f.active[c.class][lane] {
		f.active[c.class][lane] = true
		f.tag[c.class] = max(f.tag[c.class], q.clock[c.class])
		push(&q.heaps[c.class][lane], turn{f.tag[c.class], c.flow})
	}
}

// unlink takes a call out of the queue.
func (q *queue) unlink(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	l := &f.lanes[c.class][int(c.progress)]
	if c.lane.prev == none {
		l.head = c.lane.next
	} else {
		q.calls[c.lane.prev].lane.next = c.lane.next
	}
	if c.lane.next == none {
		l.tail = c.lane.prev
	} else {
		q.calls[c.lane.next].lane.prev = c.lane.prev
	}
	a := &q.ages[c.class]
	if c.age.prev == none {
		a.head = c.age.next
	} else {
		q.calls[c.age.prev].age.next = c.age.next
	}
	if c.age.next == none {
		a.tail = c.age.prev
	} else {
		q.calls[c.age.next].age.prev = c.age.prev
	}
	f.queued--
	q.queued--
	q.waiting[c.class]--
}

// charge advances the workspace's virtual time by one call.
func (q *queue) charge(i int32) {
	c := &q.calls[i]
	f := &q.flows[c.flow]
	start := max(f.tag[c.class], q.clock[c.class])
	q.clock[c.class] = start
	f.tag[c.class] = start + f.cost
}

// first returns the queued call to serve next, or none. Within a workspace it is
// the newest if newest is set for the class, else the oldest. Classes more
// important than from are left out.
func (q *queue) first(newest *[mesh.NumClasses]bool, from mesh.Class) int32 {
	for class := int(from); class < mesh.NumClasses; class++ {
		if q.waiting[class] == 0 {
			continue
		}
		for lane := range q.heaps[class] {
			f := q.turn(class, lane)
			if f == none {
				continue
			}
			l := q.flows[f].lanes[class][lane]
			if newest[class] {
				return l.tail
			}
			return l.head
		}
	}
	return none
}

// turn returns the workspace whose turn it is in the lane, or none. Turns of
// workspaces that have nothing queued or were served through the other lane are
// corrected when they come up.
func (q *queue) turn(class, lane int) int32 {
	h := &q.heaps[class][lane]
	for len(*h) > 0 {
		top := &(*h)[0]
		f := &q.flows[top.flow]
		if f.lanes[class][lane].head == none {
			f.active[class][lane] = false
			pop(h)
			continue
		}
		if f.tag[class] > top.tag {
			top.tag = f.tag[class]
			down(*h)
			continue
		}
		return top.flow
	}
	return none
}

// busy returns the number of workspaces with turns in the class.
func (q *queue) busy(class mesh.Class) int {
	n := 0
	for lane := range q.heaps[class] {
		n += len(q.heaps[class][lane])
	}
	return n
}

func (t turn) before(o turn) bool {
	return t.tag < o.tag || (t.tag == o.tag && t.flow < o.flow)
}

func push(h *[]turn, t turn) {
	*h = append(*h, t)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].before(s[parent]) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func pop(h *[]turn) {
	s := *h
	last := len(s) - 1
	s[0] = s[last]
	*h = s[:last]
	down(*h)
}

func down(s []turn) {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(s) {
			return
		}
		if child+1 < len(s) && s[child+1].before(s[child]) {
			child++
		}
		if !s[child].before(s[i]) {
			return
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
