// Package replicaspeed learns how much slower replicas and the links to availability zones are
// than the configured engine says, from the observed times to first events. Times are
// readings of a clock that keeps counting while the host is suspended.
package replicaspeed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config holds the tuning constants of a Tracker.
type Config struct {
	// MaxAge is the age at which a sample no longer counts. A factor approaches nominal with
	// the age of its newest sample, so that a replica that has recovered is tried again.
	MaxAge time.Duration
	// ReportAge is the age at which the report of another host no longer counts, and up to
	// which own samples limit what other hosts report.
	ReportAge time.Duration
	// Enter is the factor from which a replica or zone counts as slow, Leave the one below
	// which it no longer does.
	Enter, Leave float64
}

// DefaultConfig returns the production settings. A prompt waits for 0 to 1 pass beside decoding
// streams, which moves a single sample by up to a quarter: Enter lies beyond that.
func DefaultConfig() Config {
	return Config{MaxAge: 10 * time.Second, ReportAge: 3 * time.Second, Enter: 1.25, Leave: 1.1}
}

const (
	// minFactor and maxFactor limit a sample.
	minFactor, maxFactor = 0.5, 16
	// refreshInterval is the shortest time between two evaluations, sweepInterval between two
	// that include the replicas without new evidence, whose factors only fade. At the design
	// size, with all replicas slow, the latter takes 12 ms.
	refreshInterval = 50 * time.Millisecond
	sweepInterval   = time.Second
	// maxReplicas limits the replicas that are known only from other hosts' reports. The
	// design size is 12,000.
	maxReplicas = 16384
	// resetGrace is how long reports about a restarted replica are ignored. Other hosts learn
	// of the restart at another time.
	resetGrace = 3 * time.Second
)

// Tracker holds the evidence about all replicas. It is owned by the control goroutine.
type Tracker struct {
	config   Config
	replicas map[uint32]*replica
	zones    map[string]*zone
	// zoneCount is the number of availability zones that have replicas.
	zoneCount int
	// pending holds the requests that await their first events.
	pending map[uint64]*pendingRequest
	// changed holds the replicas with new evidence since the last evaluation.
	changed map[uint32]bool
	// slow and delays are the results of the last evaluation.
	slow        map[uint32]float64
	delays      map[string]time.Duration
	refreshedAt time.Duration
	sweptAt     time.Duration
	// overdueSearchedAt is the time of the last search of ObserveOverdue.
	overdueSearchedAt time.Duration
	reports           reportState
}

// New returns a tracker without evidence, for which every replica is nominal.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, replicas: map[uint32]*replica{}, zones: map[string]*zone{}, changed: map[uint32]bool{}, pending: map[uint64]*pendingRequest{},
		slow: map[uint32]float64{}, delays: map[string]time.Duration{}, refreshedAt: -refreshInterval, sweptAt: -sweepInterval,
	}
}

// observe records the time to the first event of a request, or the time that it has been
// overdue for. In a slow zone, it is compared with the other replicas of the zone.
func (t *Tracker) observe(now time.Duration, number uint64, p *pendingRequest, took time.Duration) {
	zoneFactor := t.observeZone(now, p, took)
	r := t.replicas[p.Replica]
	if r == nil {
		r = &replica{}
		t.replicas[p.Replica] = r
	}
	r.zone = p.Zone
	r.putSample(sample{number: number, at: now, ratio: min(max(float64(took)/(zoneFactor*float64(p.Predicted)), minFactor), maxFactor)})
	t.changed[p.Replica] = true
}

// Reset makes a replica nominal that has restarted.
func (t *Tracker) Reset(now time.Duration, id uint32) {
	maps.DeleteFunc(t.pending, func(_ uint64, p *pendingRequest) bool { return p.Replica == id })
	t.replicas[id] = &replica{ignoreReportsUntil: now + resetGrace}
	t.changed[id] = true
}

// Retain deletes the evidence about replicas that are not in known. They are in zoneCount
// availability zones.
func (t *Tracker) Retain(known map[uint32]bool, zoneCount int) {
	t.zoneCount = zoneCount
	maps.DeleteFunc(t.replicas, func(id uint32, _ *replica) bool { return !known[id] })
	maps.DeleteFunc(t.slow, func(id uint32, _ float64) bool { return !known[id] })
	maps.DeleteFunc(t.changed, func(id uint32, _ bool) bool { return !known[id] })
}

// Slow returns the factors of the replicas that counted as slow at the last Refresh, by
// ShortID. All others are nominal. The caller must not modify the map.
func (t *Tracker) Slow() map[uint32]float64 { return t.slow }

// Delays returns the added delays of the zones that counted as slow at the last Refresh. The
// caller must not modify the map.
func (t *Tracker) Delays() map[string]time.Duration { return t.delays }

// Change is a replica or a zone that has begun or ceased to count as slow.
type Change struct {
	// Replica is set unless Zone is.
	Replica uint32
	Zone    string
	IsSlow  bool
	// Factor is the factor of a replica, Delay the added delay of a zone.
	Factor float64
	Delay  time.Duration
}

// Refresh evaluates the evidence, if the last time was long enough ago, and returns what has
// changed.
func (t *Tracker) Refresh(now time.Duration) []Change {
	if now-t.refreshedAt < refreshInterval {
		return nil
	}
	t.refreshedAt = now
	changes := t.refreshZones(now)
	ids := t.changed
	if now-t.sweptAt >= sweepInterval {
		t.sweptAt = now
		for id, r := range t.replicas {
			r.expire(now, t.config)
			ids[id] = true
		}
		for id := range t.slow {
			ids[id] = true
		}
	}
	var replicas []Change
	for id := range ids {
		replicas = t.refreshReplica(now, id, replicas)
	}
	clear(t.changed)
	slices.SortFunc(replicas, func(a, b Change) int { return cmp.Compare(a.Replica, b.Replica) })
	return append(changes, replicas...)
}

// refreshReplica evaluates the evidence about one replica and appends a change.
func (t *Tracker) refreshReplica(now time.Duration, id uint32, changes []Change) []Change {
	factor := 1.0
	r := t.replicas[id]
	if r != nil {
		factor = r.factor(now, t.config)
		if r.isEmpty() && now >= r.ignoreReportsUntil {
			delete(t.replicas, id)
		}
	}
	_, wasSlow := t.slow[id]
	isSlow := factor >= t.config.Enter || wasSlow && factor >= t.config.Leave
	if isSlow {
		t.slow[id] = factor
	} else {
		delete(t.slow, id)
	}
	if isSlow != wasSlow {
		changes = append(changes, Change{Replica: id, IsSlow: isSlow, Factor: factor})
	}
	return changes
}
