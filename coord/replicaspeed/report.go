package replicaspeed

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

const (
	// entryBytes is the size of an entry of a report: ShortID, factor and number of samples.
	entryBytes = 6
	// farthestEntries is the number of entries of a report for the factors farthest from
	// nominal. The remaining ones are for the others in rotation.
	farthestEntries = 60
	// minReportedFactor is the factor from which own evidence is reported. Other evidence is
	// reported only about replicas that another host calls slow, so that a healthy fleet
	// reports nearly nothing.
	minReportedFactor = 1.2
	// newReportInterval is the shortest time between two reports, repeatInterval that between
	// two without new samples. Three of the latter fit into Config.ReportAge.
	newReportInterval = 50 * time.Millisecond
	repeatInterval    = 900 * time.Millisecond
	// nominalCode is the code of the factor 1, codesPerOctave the number of codes up to 2.
	nominalCode    = 64
	codesPerOctave = 32
)

// reportState tells what the last report contained.
type reportState struct {
	sentAt    time.Duration
	checkedAt time.Duration
	// sampledAt is the time of the newest sample that was sent.
	sampledAt time.Duration
	// rotation is the ShortID after which the rotation continues.
	rotation uint32
}

type reportEntry struct {
	id       uint32
	factor   float64
	distance float64
	samples  int
	newest   time.Duration
}

// AppendReport appends the own evidence that other hosts need, at most maxBytes. It appends
// nothing if the last report was sent a short time ago.
func (t *Tracker) AppendReport(now time.Duration, data []byte, maxBytes int) []byte {
	if t.reports.checkedAt > 0 && now-t.reports.checkedAt < newReportInterval {
		return data
	}
	t.reports.checkedAt = now
	entries := t.reportEntries(now)
	newest := t.reports.sampledAt
	for _, e := range entries {
		newest = max(newest, e.newest)
	}
	if len(entries) == 0 || newest == t.reports.sampledAt && now-t.reports.sentAt < repeatInterval {
		return data
	}
	t.reports.sentAt, t.reports.sampledAt = now, newest
	for _, e := range t.selectEntries(entries, maxBytes/entryBytes) {
		data = binary.BigEndian.AppendUint32(data, e.id)
		data = append(data, encodeFactor(e.factor), byte(e.samples))
	}
	return data
}

// reportEntries returns the own evidence that other hosts need.
func (t *Tracker) reportEntries(now time.Duration) []reportEntry {
	var entries []reportEntry
	for id, r := range t.replicas {
		if r.count == 0 {
			continue
		}
		own := r.own(now, t.config)
		isDisputed := slices.ContainsFunc(r.reports, func(o hostReport) bool { return o.factor >= t.config.Leave })
		if own.count > 0 && (own.factor >= minReportedFactor || isDisputed) {
			entries = append(entries, reportEntry{id, own.factor, math.Abs(math.Log2(own.factor)), own.count, own.newest})
		}
	}
	return entries
}

// selectEntries returns the entries farthest from nominal and, in rotation, others.
func (t *Tracker) selectEntries(entries []reportEntry, limit int) []reportEntry {
	slices.SortFunc(entries, func(a, b reportEntry) int {
		return cmp.Or(cmp.Compare(b.distance, a.distance), cmp.Compare(a.id, b.id))
	})
	if len(entries) <= limit {
		return entries
	}
	farthest := min(farthestEntries, limit)
	others := entries[farthest:]
	slices.SortFunc(others, func(a, b reportEntry) int { return cmp.Compare(a.id, b.id) })
	start, _ := slices.BinarySearchFunc(others, t.reports.rotation, func(e reportEntry, id uint32) int {
		if e.id <= id {
			return -1
		}
		return 1
	})
	selected := slices.Clone(entries[:farthest])
	for i := range limit - farthest {
		e := others[(start+i)%len(others)]
		selected = append(selected, e)
		t.reports.rotation = e.id
	}
	return selected
}

var errInvalidReport = errors.New("replica speeds: length is no multiple of the entry size")

// MergeReport applies the report of another host.
func (t *Tracker) MergeReport(now time.Duration, host string, data []byte) error {
	if len(data)%entryBytes != 0 {
		return errInvalidReport
	}
	for ; len(data) > 0; data = data[entryBytes:] {
		id, samples := binary.BigEndian.Uint32(data), data[5]
		r := t.replicas[id]
		if r == nil {
			if len(t.replicas) >= maxReplicas {
				continue
			}
			r = &replica{}
			t.replicas[id] = r
		}
		if samples == 0 || now < r.ignoreReportsUntil {
			continue
		}
		if r.putReport(hostReport{host: host, at: now, factor: decodeFactor(data[4]), weight: float64(min(samples, maxReportWeight))}) {
			t.changed[id] = true
		}
	}
	return nil
}

// RemoveHost drops what a host has reported.
func (t *Tracker) RemoveHost(host string) {
	for id, r := range t.replicas {
		n := len(r.reports)
		r.reports = slices.DeleteFunc(r.reports, func(o hostReport) bool { return o.host == host })
		if len(r.reports) != n {
			t.changed[id] = true
		}
	}
}

func encodeFactor(factor float64) byte {
	return byte(min(max(math.Round(nominalCode+codesPerOctave*math.Log2(factor)), 0), 255))
}

func decodeFactor(code byte) float64 {
	return min(max(math.Exp2((float64(code)-nominalCode)/codesPerOctave), minFactor), maxFactor)
}
