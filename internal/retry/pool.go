package retry

// Pool is the remaining retry allowance of one action at one node. The zero
// value has no allowance.
type Pool struct {
	left  int
	lent  int
	calls []edgeCalls // one entry per edge used; services have few edges
}

type edgeCalls struct {
	edge int
	sent int
}

// NewPool returns a pool with the given number of retries.
func NewPool(allowance int) Pool { return Pool{left: max(allowance, 0)} }

// Remaining returns the number of units that are neither spent nor lent.
func (p *Pool) Remaining() int { return p.left }

// Part returns how many units to lend to the next of the given number of
// children that may run at once: an even part, rounded up. A single child gets
// everything, because a retry next to the failure repeats the least work.
func (p *Pool) Part(children int) int {
	children = max(children, 1)
	return (p.left + children - 1) / children
}

// Lend takes up to n units out of the pool for one child call and returns how
// many it took. Parts of parallel children are therefore disjoint, and a part
// that is never returned counts as spent.
func (p *Pool) Lend(n int) int {
	n = min(max(n, 0), p.left)
	p.left -= n
	p.lent += n
	return n
}

// Return takes back what the child's answer reports unspent. The caller bounds n
// by what it lent to that child; in sum the pool never takes back more than it
// lent.
func (p *Pool) Return(n int) {
	n = min(max(n, 0), p.lent)
	p.lent -= n
	p.left += n
}

// Spend takes one unit for a retry and reports whether there was one.
func (p *Pool) Spend() bool {
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

// Exhaust gives up the units that are left, so that nothing is reported unspent.
func (p *Pool) Exhaust() { p.left = 0 }

// Child accounts for one call that the upstream itself makes on an edge. The
// first declared calls are free; each further one costs a unit. ok is false if
// the call is not free and the pool is empty.
func (p *Pool) Child(edge int, declared int) (free bool, ok bool) {
	sent := p.edge(edge)
	if *sent < declared {
		*sent++
		return true, true
	}
	return false, p.Spend()
}

func (p *Pool) edge(edge int) *int {
	for i := range p.calls {
		if p.calls[i].edge == edge {
			return &p.calls[i].sent
		}
	}
	p.calls = append(p.calls, edgeCalls{edge: edge})
	return &p.calls[len(p.calls)-1].sent
}
