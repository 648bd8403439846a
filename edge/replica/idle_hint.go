package replica

import (
	"hash/fnv"
	"sync/atomic"
)

// hintCount is the number of addresses whose hints can be told apart. With the 12,000 replicas of
// the design size, an idle connection may be taken for one to another replica. That costs one new
// connection, as without the hint, and needs no table that grows.
const hintCount = 8192

func hintIndex(address string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // hash writes never fail
	return h.Sum32() % hintCount
}

// IdleUntil returns the time, a reading of the boot clock in nanoseconds, until which this host
// has an idle connection to the address, or 0. The value follows the pool, and reading it
// never blocks. It is a hint: another request may take the connection first, and addresses
// share values.
func (p *Pool) IdleUntil(address string) *atomic.Int64 { return &p.idleUntil[hintIndex(address)] }

// FullUntil returns the time, a reading of the boot clock in nanoseconds, until which requests to
// the address will probably wait for a connection, or 0. It is a hint like that of IdleUntil.
func (p *Pool) FullUntil(address string) *atomic.Int64 { return &p.fullUntil[hintIndex(address)] }

// updateHints sets the hints of an address. The caller holds mu.
func (p *Pool) updateHints(s *connections) {
	var until int64
	for _, c := range s.idle {
		until = max(until, int64(c.usableUntil))
	}
	p.idleUntil[s.hint].Store(until)
	if len(s.waiting) == 0 && len(s.idle) > 0 {
		p.fullUntil[s.hint].Store(0)
	}
}
