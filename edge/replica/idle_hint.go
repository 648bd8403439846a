package replica

import (
	"hash/fnv"
	"sync/atomic"
)

// idleHintCount is the number of addresses whose idle connections can be told apart. With the
// 12,000 replicas of the design size, an idle connection may be taken for one to another
// replica. That costs one new connection, as without the hint, and needs no table that grows.
const idleHintCount = 8192

// IdleUntil returns the time, a reading of the boot clock in nanoseconds, until which this host
// has an idle connection to the address, or 0. The value follows the pool, and reading it
// never blocks. It is a hint: another request may take the connection first, and addresses
// share values.
func (p *Pool) IdleUntil(address string) *atomic.Int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // hash writes never fail
	return &p.idleUntil[h.Sum32()%idleHintCount]
}

// updateIdleHint sets the hint of an address. The caller holds mu.
func (p *Pool) updateIdleHint(address string) {
	var until int64
	for _, c := range p.idle[address] {
		until = max(until, int64(c.usableUntil))
	}
	p.IdleUntil(address).Store(until)
}
