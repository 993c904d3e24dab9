package retry


// Pool is the remaining retry allowance of one action at one node. The zero
// value has no allowance.
type Pool struct {
	left  int
	calls []edgeCalls
}

type edgeCalls struct {
	edge int
	sent int
}

// NewPool returns a pool with the given number of retries.
func NewPool(allowance int) Pool { return Pool{left: max(allowance, 0)} }

// Left returns the number of units that are neither spent nor lent.
func (p *Pool) Left() int { return p.left }

// Lend takes up to n units out of the pool for one child call and returns how
// many it took. Parts of parallel children are therefore disjoint, and a part
// that is never returned counts as spent.
func (p *Pool) Lend(n int) int {
	n = min(max(n, 0), p.left)
	p.left -= n
	return n
}

// Return gives back what the child's answer reports unspent. The caller bounds
// n by what it lent to that child.
func (p *Pool) Return(n int) { p.left += max(n, 0) }

// Spend takes one unit for a retry and reports whether there was one.
func (p *Pool) Spend() bool { return p.Lend(1) == 1 }

// Child accounts for one call that the upstream makes itself on an edge. The
// first declared calls are free; each further one costs a unit. ok is false if
// the pool is empty.
func (p *Pool) Child(edge int, declared int) (free bool, ok bool) {
	for i := range p.calls {
		if p.calls[i].edge != edge {
			continue
		}
		if p.calls[i].sent < declared {
			p.calls[i].sent++
			return true, true
		}
		return false, p.Spend()
	}
	if declared <= 0 {
		return false, p.Spend()
	}
	p.calls = append(p.calls, edgeCalls{edge: edge, sent: 1})
	return true, true
}

