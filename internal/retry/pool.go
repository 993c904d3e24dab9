package retry

// Pool is the remaining retry allowance of one customer action at one node. One unit
// allows one retry. The zero value has no allowance.
type Pool struct {
	remaining int         // units that are neither spent nor lent
	lent      int         // units that were lent to child calls and not returned
	calls     []edgeCalls // one entry per edge in use; a service has few edges
}

// edgeCalls counts the free calls on one edge.
type edgeCalls struct {
	edge  int
	calls int
}

// NewPool returns a pool with the given number of units.
func NewPool(allowance int) Pool { return Pool{remaining: max(allowance, 0)} }

// Remaining returns the number of units that are neither spent nor lent.
func (p *Pool) Remaining() int { return p.remaining }

// ChildShare returns how many units to lend to the next child call if the given number
// of children, including it, may still run concurrently: an even share, rounded up. A
// single child gets all units, because a retry close to the failure repeats the least
// work.
func (p *Pool) ChildShare(children int) int {
	children = max(children, 1)
	return (p.remaining + children - 1) / children
}

// Lend takes up to n units out of the pool for one child call and returns how many it
// took. Concurrent children therefore never hold the same unit, and units that are
// never returned count as spent.
func (p *Pool) Lend(n int) int {
	n = min(max(n, 0), p.remaining)
	p.remaining -= n
	p.lent += n
	return n
}

// Return takes back the units that the child's response reports as unspent. The caller
// must bound n by the units lent to that child; the pool only ensures that it never
// takes back more than it lent in total.
func (p *Pool) Return(n int) {
	n = min(max(n, 0), p.lent)
	p.lent -= n
	p.remaining += n
}

// Spend takes one unit for a retry. It returns false if the pool is empty.
func (p *Pool) Spend() bool {
	if p.remaining == 0 {
		return false
	}
	p.remaining--
	return true
}

// Exhaust discards the remaining units, so that none is reported as unspent.
func (p *Pool) Exhaust() { p.remaining = 0 }

// ChargeCall accounts for one call that the upstream itself makes on an edge. As many
// calls as the edge declares are free, and each further call costs a unit. ok is false
// if the call is not free and the pool is empty.
func (p *Pool) ChargeCall(edge int, declared int) (free bool, ok bool) {
	calls := p.freeCalls(edge)
	if *calls < declared {
		*calls++
		return true, true
	}
	return false, p.Spend()
}

// freeCalls returns the counter of the free calls on an edge, which it creates if needed.
func (p *Pool) freeCalls(edge int) *int {
	for i := range p.calls {
		if p.calls[i].edge == edge {
			return &p.calls[i].calls
		}
	}
	p.calls = append(p.calls, edgeCalls{edge: edge})
	return &p.calls[len(p.calls)-1].calls
}
