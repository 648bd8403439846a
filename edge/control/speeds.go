package control

import (
	"sync/atomic"
	"time"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
)

// Connections tells to which addresses this host has idle connections.
type Connections interface {
	// IdleUntil returns a value that follows the time, in nanoseconds of the boot clock, until
	// which there is an idle connection to the address. Reading it does not block.
	IdleUntil(address string) *atomic.Int64
}

// replicaLink is what is known of the way to a replica.
type replicaLink struct {
	// delay is the configured round trip time.
	delay time.Duration
	// idleUntil is the result of Connections.IdleUntil, or nil.
	idleUntil *atomic.Int64
}

func (k replicaLink) isConnected(now time.Duration) bool {
	return k.idleUntil != nil && int64(now) < k.idleUntil.Load()
}

// replicaLink returns the link to a replica under the configuration in force.
func (l *Loop) replicaLink(r directory.Replica) replicaLink {
	var k replicaLink
	if l.config.Connections != nil {
		k.idleUntil = l.config.Connections.IdleUntil(r.Address)
	}
	if c := l.View().Catalog; c != nil && l.config.ZoneDelays {
		k.delay = roundTrip(c, r.Service, l.config.Zone, r.Zone)
	}
	return k
}

// roundTrip returns the configured round trip time between two zones. A plain service has no
// engine, so the delays of the others apply to it.
func roundTrip(c *catalog.Catalog, service, from, to string) time.Duration {
	if from == to {
		return 0
	}
	if s := c.Service(service); s != nil && s.Engine != nil {
		return s.Engine.RoundTrip(from, to)
	}
	for _, s := range c.Services() {
		if s.Engine == nil {
			continue
		}
		if d := s.Engine.RoundTrip(from, to); d > 0 {
			return d
		}
	}
	return 0
}

// compareConnected orders replicas to which this host has an idle connection first.
func compareConnected(x, y placement.Candidate) int {
	switch {
	case x.Connected == y.Connected:
		return 0
	case x.Connected:
		return -1
	}
	return 1
}
