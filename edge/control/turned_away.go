package control

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
)

const (
	// turnedAwayTime is how long a host reports that a replica had no connection for its requests.
	turnedAwayTime = time.Second
	// turnedAwayRowBytes is the size of a row: the short ID of the replica, and the number of
	// connections that the host has there.
	turnedAwayRowBytes = 4 + 1
)

// turnedAwaySection tells other hosts which replicas have no connection for requests of this host,
// so that they do not keep more idle connections there than this host has.
type turnedAwaySection struct {
	loop *Loop
	// at holds when a request was last without a connection, by replica ID.
	at map[string]time.Duration
}

func newTurnedAwaySection(l *Loop) *turnedAwaySection {
	return &turnedAwaySection{loop: l, at: map[string]time.Duration{}}
}

// recordTurnedAway records that a replica may have had no room for a connection of this host.
func (l *Loop) recordTurnedAway(now time.Duration, id string, err error) {
	if l.turnedAway == nil || !connfault.MayBeTurnedAway(err, l.hasScarceConnections(now, id)) {
		return
	}
	l.turnedAway.at[id] = now
	l.scheduleReport(reportSoon)
}

// hasScarceConnections reports whether there are more hosts than connections to a replica.
func (l *Loop) hasScarceConnections(now time.Duration, id string) bool {
	r, ok := l.directory.Get(now, id)
	if !ok {
		return false
	}
	s := l.View().Catalog.Service(r.Service)
	return s != nil && connlimit.NewBounds(s.MaxConnections, len(l.peers)+1, r.Slots).IsScarce
}

// Type implements ReportSection.
func (*turnedAwaySection) Type() peer.SectionType { return peer.SectionTurnedAway }

// Append implements ReportSection.
func (s *turnedAwaySection) Append(now time.Duration, data []byte) []byte {
	maps.DeleteFunc(s.at, func(_ string, at time.Duration) bool { return now-at > turnedAwayTime })
	for _, id := range slices.Sorted(maps.Keys(s.at)) {
		r, ok := s.loop.directory.Get(now, id)
		if !ok || len(data)+turnedAwayRowBytes > peer.MaxSectionBytes {
			continue
		}
		open := s.loop.config.ConnectionLimits.OpenConnections(r.Address)
		data = binary.LittleEndian.AppendUint32(data, placement.ShortID(id))
		data = append(data, byte(min(open, math.MaxUint8)))
	}
	return data
}

// Merge implements ReportSection.
func (s *turnedAwaySection) Merge(now time.Duration, _ string, data []byte) error {
	if len(data)%turnedAwayRowBytes != 0 {
		return eris.Errorf("%d bytes of replicas without a connection, want a multiple of %d", len(data), turnedAwayRowBytes)
	}
	open := map[uint32]int{}
	for row := range slices.Chunk(data, turnedAwayRowBytes) {
		open[binary.LittleEndian.Uint32(row)] = int(row[4])
	}
	for r := range s.loop.directory.All(now) {
		if n, ok := open[placement.ShortID(r.ID)]; ok {
			s.loop.config.ConnectionLimits.YieldIdle(r.Address, n)
		}
	}
	return nil
}

// RemoveHost implements ReportSection.
func (*turnedAwaySection) RemoveHost(string) {}
