package listener

// floor returns what a class gets of a resource in any case.
func (b *Budget) floor(r resource, k Class) int64 {
	if !b.served[k] {
		return 0
	}
	return b.total(r) / shares[k]
}

// serve notes that the process accepts connections of a class.
func (b *Budget) serve(k Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served[k] = true
}

// fits reports whether a class may use n more of a resource beside what the others use or are
// guaranteed.
func (b *Budget) fits(r resource, k Class, n int64) bool {
	need := b.used[r][k] + n
	for j := range classes {
		if j != k {
			need += max(b.used[r][j], b.floor(r, j))
		}
	}
	return need <= b.total(r)
}

// makeRoom closes connections until a class may use n more of a resource, and reports whether it
// may. It doesn't close the one that needs room itself.
func (b *Budget) makeRoom(r resource, k Class, n int64, self *connection) bool {
	for !b.fits(r, k, n) {
		v := b.victim(r, k)
		if v == nil || v == self {
			return false
		}
		b.drop(v, r.String())
	}
	return true
}

// victim returns the connection to close so that a class gets more of a resource, or nil.
func (b *Budget) victim(r resource, k Class) *connection {
	now := b.now()
	var best *connection
	var bestRank int
	var bestWeight int64
	for c := range b.held {
		if !b.mayClose(r, k, c.class) {
			continue
		}
		rank, weight := c.rank(r, now)
		if rank > 0 && (best == nil || rank < bestRank || rank == bestRank && weight > bestWeight) {
			best, bestRank, bestWeight = c, rank, weight
		}
	}
	return best
}

// mayClose reports whether a connection of class j may be closed for one of class k. A class that
// has less than its guaranteed share takes from those that have more than theirs.
func (b *Budget) mayClose(r resource, k, j Class) bool {
	if b.used[r][k] < b.floor(r, k) {
		return j != k && b.used[r][j] > b.floor(r, j)
	}
	return j == k
}

// closeIdle closes the idle connections of a guard, and reports whether a request arrives or is in
// progress on another one. Both are seen with the lock held, without which no connection leaves
// phaseIdle: a request that arrives meanwhile finds its connection closed and isn't run.
func (b *Budget) closeIdle(g *Guard) (busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for c := range b.held {
		switch {
		case c.guard != g:
		case c.phase == phaseIdle:
			b.forget(c)
			c.close()
		case c.phase == phaseHead:
			// A new connection of which nothing has been read is not in progress. The bytes of a
			// request are counted after its phase has begun, so they don't tell.
			busy = busy || c.arrived && now.Sub(c.since) < headTime
		default:
			busy = true
		}
	}
	return busy
}
