package control

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/replicaspeed"
	"siskinstand.example/edge/peer"
	"siskinstand.example/service/bootclock"
)

// Connections tells to which addresses this host has idle connections.
type Connections interface {
	// IdleUntil returns the boot clock reading, in nanoseconds, until which there is an idle
	// connection to the address. The value is kept up to date, and reading it does not block.
	IdleUntil(address string) *atomic.Int64
}

// ConnectionLimits tells at which addresses requests wait for connections, since the replica
// accepts no further ones.
type ConnectionLimits interface {
	// FullUntil returns the boot clock reading, in nanoseconds, until which a request to the address
	// will probably have to wait. The value is kept up to date, and reading it does not block.
	FullUntil(address string) *atomic.Int64
	// OpenConnections returns the number of connections to the address.
	OpenConnections(address string) int
	// YieldIdle is called if the replica turns connections of another host away, which has the given
	// number of them.
	YieldIdle(address string, theirs int)
	// RetainIdle is called when the replicas change that may get new requests, with their
	// addresses. It must not modify the map.
	RetainIdle(addresses map[string]bool)
}

// replicaLink is what is known of the way to a replica.
type replicaLink struct {
	// delay is the configured round trip time.
	delay time.Duration
	// idleUntil is the result of Connections.IdleUntil, or nil.
	idleUntil *atomic.Int64
	// fullUntil is the result of ConnectionLimits.FullUntil, or nil.
	fullUntil *atomic.Int64
}

func (k replicaLink) isFull(now time.Duration) bool {
	return k.fullUntil != nil && int64(now) < k.fullUntil.Load()
}

func (k replicaLink) isConnected(now time.Duration) bool {
	return k.idleUntil != nil && int64(now) < k.idleUntil.Load()
}

// replicaLink returns the link to a replica under the configuration in force.
func (l *Loop) replicaLink(r directory.Replica) replicaLink {
	var k replicaLink
	if l.config.ConnectionLimits != nil {
		k.fullUntil = l.config.ConnectionLimits.FullUntil(r.Address)
	}
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

// connectionBlindShare is the share of the requests, one in so many, for which connections do
// not count. Without it, a replica that returns would get no request while the load is so
// low that one replica can serve it.
const connectionBlindShare = 8

// compareConnected orders replicas to which this host has an idle connection first.
func compareConnected(requestID string, x, y placement.Candidate) int {
	switch {
	case x.Connected == y.Connected || placement.HashID(requestID)%connectionBlindShare == 0:
		return 0
	case x.Connected:
		return -1
	}
	return 1
}

// maxSampleQueue is the queued prefill up to which a request counts as having found no queue at
// its replica. The ledger counts 120 ms for an overdue request, and those are overdue at slow
// replicas. The prediction includes the queue.
const maxSampleQueue = 130 * time.Millisecond

// minFreeSlots is the number of slots, in addition to the request's own, that must be free for
// a sample: other hosts may have placed requests that are not reported yet.
const minFreeSlots = 2

// firstEvent reports the time of the first event of a stream whose Assignment is Measured.
type firstEvent struct {
	assignmentID uint64
	at           time.Duration
}

func (firstEvent) isMessage() {}

// RecordFirstEvent records that the first event of a stream has arrived now.
func (l *Loop) RecordFirstEvent(a Assignment) { l.messages <- firstEvent{a.ID, bootclock.Now()} }

// startSpeedSample reports whether the first event of a placed request is to be measured: a
// prompt that one replica serves without waiting for a slot.
func (l *Loop) startSpeedSample(now time.Duration, id uint64, req PlacementRequest, plan placement.Plan, c placement.Candidate) bool {
	model, ok := l.models[req.Service.Name]
	if l.config.Speeds == nil || !ok || req.Request.PromptTokens <= 0 || len(plan.Helpers) > 0 || c.Load.QueuedPrefill > maxSampleQueue || c.Load.Streams+minFreeSlots >= c.Slots {
		return false
	}
	r := l.replica(now, c.ID)
	l.config.Speeds.Begin(id, replicaspeed.Request{
		Replica: placement.ShortID(c.ID), Slots: c.Slots, Zone: r.Zone, SentAt: now, Delay: l.replicaLink(r).delay,
		Predicted: model.TimeToFirstEvent(model.PartPrefill(req.Request.PromptTokens, 1), c.Load.QueuedPrefill, c.Load.Streams, c.Load.Tokens+req.Request.PromptTokens),
	})
	return true
}

// mayWaitForSlot reports whether, as far as is known, a replica has become full since a
// request was sent to it.
func (l *Loop) mayWaitForSlot(r replicaspeed.Request) bool {
	return l.ledger.LastLoad(r.Replica).Streams >= r.Slots
}

// observeSpeed records the first event of a request.
func (l *Loop) observeSpeed(now time.Duration, m firstEvent) {
	if l.config.Speeds == nil {
		return
	}
	if r, ok := l.config.Speeds.Pending(m.assignmentID); ok && !l.mayWaitForSlot(r) {
		l.config.Speeds.FirstEvent(now, m.assignmentID, m.at)
	}
	l.config.Speeds.End(m.assignmentID)
}

// endSpeedSample forgets a request that has ended.
func (l *Loop) endSpeedSample(assignmentID uint64) {
	if l.config.Speeds != nil {
		l.config.Speeds.End(assignmentID)
	}
}

// resetSpeed makes a replica nominal that is about to be replaced by a new process.
func (l *Loop) resetSpeed(now time.Duration, r directory.Replica) {
	if l.config.Speeds == nil {
		return
	}
	if old, ok := l.directory.Get(now, r.ID); ok && target(old) != target(r) {
		l.config.Speeds.Reset(now, placement.ShortID(r.ID))
	}
}

// learnedSpeeds are the replicas and zones that count as slow.
type learnedSpeeds struct {
	slow   map[uint32]float64
	delays map[string]time.Duration
}

func (s learnedSpeeds) factor(shortID uint32) float64 {
	if len(s.slow) == 0 {
		return 0
	}
	return s.slow[shortID]
}

func (s learnedSpeeds) addedDelay(zone string) time.Duration {
	if len(s.delays) == 0 {
		return 0
	}
	return s.delays[zone]
}

// learnedSpeeds returns the replicas and zones that count as slow now.
func (l *Loop) learnedSpeeds(now time.Duration) learnedSpeeds {
	if l.config.Speeds == nil {
		return learnedSpeeds{}
	}
	l.config.Speeds.ObserveOverdue(now, l.mayWaitForSlot)
	if changes := l.config.Speeds.Refresh(now); len(changes) > 0 {
		l.logSpeedChanges(now, changes)
	}
	return learnedSpeeds{slow: l.config.Speeds.Slow(), delays: l.config.Speeds.Delays()}
}

func (l *Loop) logSpeedChanges(now time.Duration, changes []replicaspeed.Change) {
	names := map[uint32]string{}
	for r := range l.directory.All(now) {
		names[placement.ShortID(r.ID)] = r.ID
	}
	for _, c := range changes {
		switch {
		case c.Zone != "" && c.IsSlow:
			klog.InfoS("zone is slow from here", "zone", c.Zone, "added_ms", c.Delay.Milliseconds())
		case c.Zone != "":
			klog.InfoS("zone is no longer slow from here", "zone", c.Zone)
		case c.IsSlow:
			klog.V(1).InfoS("replica is slow", "replica", names[c.Replica], "factor", c.Factor)
		default:
			klog.V(1).InfoS("replica is no longer slow", "replica", names[c.Replica], "factor", c.Factor)
		}
	}
}

// updateSpeedGauges evaluates the speeds and sets their gauges, also while no request is placed.
func (l *Loop) updateSpeedGauges(now time.Duration) {
	l.learnedSpeeds(now)
	if l.config.Speeds == nil || l.config.Scope == nil {
		return
	}
	largest := 1.0
	for _, factor := range l.config.Speeds.Slow() {
		largest = max(largest, factor)
	}
	l.config.Scope.Gauge("slow_replicas").Update(float64(len(l.config.Speeds.Slow())))
	l.config.Scope.Gauge("largest_replica_factor").Update(largest)
	l.config.Scope.Gauge("slow_zones").Update(float64(len(l.config.Speeds.Delays())))
}

// SpeedSection reports the evidence of a tracker to other hosts.
type SpeedSection struct{ Tracker *replicaspeed.Tracker }

// Type implements ReportSection.
func (SpeedSection) Type() peer.SectionType { return peer.SectionReplicaSpeeds }

// Append implements ReportSection.
func (s SpeedSection) Append(now time.Duration, data []byte) []byte {
	return s.Tracker.AppendReport(now, data, peer.MaxSectionBytes)
}

// Merge implements ReportSection.
func (s SpeedSection) Merge(now time.Duration, host string, data []byte) error {
	return s.Tracker.MergeReport(now, host, data)
}

// RemoveHost implements ReportSection.
func (s SpeedSection) RemoveHost(host string) { s.Tracker.RemoveHost(host) }
